package sched_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

// BenchmarkPlan measures HandleHold and Plan on full workers with many waiting
// tasks. Most of the reported ends match no attempt and free nothing. It
// reports the 99th percentile beside the mean.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ workers, waiting int }{{35, 200}, {252, 2_000}, {252, 10_000}, {900, 10_000}} {
		b.Run(fmt.Sprintf("workers=%d,waiting=%d", size.workers, size.waiting), func(b *testing.B) {
			core, now := newFullCore(size.workers, size.waiting)
			latencies := make([]time.Duration, 0, b.N)
			b.ResetTimer()
			for n := range b.N {
				startedAt := time.Now()
				now.BootTime += time.Millisecond
				id := nthID(cairnbay.Queue{Name: "w"}, n%size.workers)
				core.HandleHold(now, id, now.BootTime, cairnbay.AgentState{
					Ended: []cairnbay.AgentEnd{end(uint64(n+1), task(nthID(models, 0), n%10), 1, cairnbay.AgentStopped)},
				})
				core.Plan(now)
				latencies = append(latencies, time.Since(startedAt))
			}
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "p99-ms")
		})
	}
}

// BenchmarkPlanWithSuspects plans while tasks wait for their trial in a class that is full,
// so that each is considered and none is tried.
func BenchmarkPlanWithSuspects(b *testing.B) {
	const workers, suspects = 800, 1000
	core, now := newFullCore(workers, 0)
	for n := range suspects {
		id := fmt.Sprint("suspect", n)
		core.Accept(now, singleStep(id, models, 1, cores(1, 100), time.Second), false)
		core.Replay(now, sched.Record{
			Kind: sched.RecordCrashed, Task: task(id, 0), Attempt: 1, Worker: fmt.Sprint("gone", n), Suspect: true, Started: true,
		})
	}
	for b.Loop() {
		now.BootTime += time.Millisecond
		core.Tick()
		core.Plan(now)
	}
}

// BenchmarkPlanWithStragglers measures HandleHold, Tick and Plan while every worker reports
// its attempts and a tenth of the workers hang, without and with mitigation.
func BenchmarkPlanWithStragglers(b *testing.B) {
	const workers, waiting, runTime = 800, 2000, 8 * time.Second
	for _, stragglers := range []bool{false, true} {
		b.Run(fmt.Sprintf("stragglers=%v", stragglers), func(b *testing.B) {
			mitigating := config
			mitigating.Learn.Straggler = stragglers
			core, now := newFullCoreWith(mitigating, workers, waiting, runTime)
			running := make(map[string][]cairnbay.AgentTask)
			for _, action := range core.Plan(now) {
				core.HandleStart(now, action.Start, nil)
				id := action.Start.Target.Worker
				running[id] = append(running[id], cairnbay.AgentTask{Task: action.Start.Task, Attempt: action.Start.Attempt})
			}
			for n := range b.N {
				now.BootTime += 600 * time.Microsecond
				id := nthID(cairnbay.Queue{Name: "w"}, n%workers)
				elapsed := (now.BootTime - time.Second).Seconds()
				if n%10 > 0 {
					for i := range running[id] {
						running[id][i].Percent = min(int(100*elapsed/runTime.Seconds()), 94)
					}
				}
				core.HandleHold(now, id, now.BootTime, cairnbay.AgentState{Clock: now.BootTime, Running: running[id]})
				if n%50 == 0 {
					core.Tick()
				}
				core.Plan(now)
			}
		})
	}
}

// newFullCore returns a core with full workers and jobs of ten waiting tasks
// each.
func newFullCore(workers, waiting int) (*sched.Core, sched.Moment) {
	core, now := newFullCoreWith(config, workers, waiting, time.Minute)
	core.Plan(now)
	return core, now
}

// newFullCoreWith is newFullCore before the first plan.
func newFullCoreWith(config sched.Config, workers, waiting int, runTime time.Duration) (*sched.Core, sched.Moment) {
	core := sched.New(config)
	now := sched.Moment{BootTime: time.Second}
	for i := range workers {
		id := nthID(cairnbay.Queue{Name: "w"}, i)
		core.SetWorker(cairnbay.WorkerEntry{ID: id, Address: id, Capacity: cores(8, 8000)})
		core.HandleHold(now, id, now.BootTime, cairnbay.AgentState{})
	}
	for n := range (workers*8 + waiting) / 10 {
		core.Accept(now, singleStep(nthID(models, n), models, 10, cores(1, 100), runTime), false)
	}
	return core, now
}

// BenchmarkPlanWithWorkspaces plans a class that is full, with each waiting stage considered
// again, for jobs without workspaces and for those of 290 that compete.
func BenchmarkPlanWithWorkspaces(b *testing.B) {
	const workers, jobs = 800, 2000
	for _, workspaces := range []int{0, 290} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			core, now := newFullCore(workers, 0)
			var terms []sched.WorkspaceTerms
			for n := range workspaces {
				terms = append(terms, sched.WorkspaceTerms{Name: fmt.Sprint("workspace", n), Weight: 20})
			}
			core.SetWorkspaces(terms)
			for n := range jobs {
				job := singleStep(fmt.Sprint("waiting", n), models, 1, cores(1, 100), time.Minute)
				if workspaces > 0 {
					job.Workspace = terms[n%workspaces].Name
				}
				core.Accept(now, job, false)
			}
			for b.Loop() {
				now.BootTime += time.Millisecond
				core.Tick()
				core.Plan(now)
			}
		})
	}
}
