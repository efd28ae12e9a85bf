package sched_test

import (
	"fmt"
	"testing"
	"time"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

// BenchmarkPlanLearned plans for 800 workers and 2,000 waiting jobs while one worker after
// the other has room for some tasks, without learned run times and with all their uses, for
// which a quarter of the workers is known to be slow. It includes the ticks and holds.
func BenchmarkPlanLearned(b *testing.B) {
	for name, uses := range map[string]sched.LearnUses{"none": {}, "all": sched.AllLearnUses} {
		b.Run("uses="+name, func(b *testing.B) {
			core, now := newLearnedCore(uses)
			attempt := 0
			b.ResetTimer()
			for n := range b.N {
				now.BootTime += time.Millisecond
				id := nthID(cairnbay.Queue{Name: "w"}, n%learnedWorkers)
				attempt++
				core.HandleHold(now, id, now.BootTime, cairnbay.AgentState{
					Ended: []cairnbay.AgentEnd{end(uint64(1_000_000+n), task("none", 0), 1, cairnbay.AgentStopped)},
				})
				if n%50 == 0 {
					core.Tick()
				}
				core.Plan(now)
			}
		})
	}
}

const learnedWorkers = 800

// newLearnedCore returns a core whose workers are full, after each has run a task of steps
// on 20 workers.
func newLearnedCore(uses sched.LearnUses) (*sched.Core, sched.Moment) {
	core := sched.New(sched.Config{StopTime: 200 * time.Millisecond, Retention: time.Minute, Learn: uses})
	now := sched.Moment{BootTime: time.Second}
	for i := range learnedWorkers {
		id := nthID(cairnbay.Queue{Name: "w"}, i)
		core.SetWorker(cairnbay.WorkerEntry{ID: id, Address: id, Capacity: cores(8, 8000)})
		core.HandleHold(now, id, now.BootTime, cairnbay.AgentState{})
	}
	running := make(map[string][]cairnbay.AgentTask)
	start := func() {
		for _, action := range core.Plan(now) {
			if action.Start != nil {
				core.HandleStart(now, action.Start, nil)
				running[action.Start.Target.Worker] = append(running[action.Start.Target.Worker],
					cairnbay.AgentTask{Task: action.Start.Task, Attempt: action.Start.Attempt})
			}
		}
	}
	sequence := uint64(0)
	for round := range 4 {
		for n := range learnedWorkers / 20 {
			core.Accept(now, singleStep(fmt.Sprint("warm", round, "-", n), models, 20, cores(8, 100), time.Second), false)
		}
		start()
		for slow := range 2 {
			now.BootTime += time.Second
			for i := range learnedWorkers {
				id := nthID(cairnbay.Queue{Name: "w"}, i)
				if (i%4 == 0) != (slow == 1) || len(running[id]) == 0 {
					continue
				}
				sequence++
				core.HandleHold(now, id, now.BootTime, cairnbay.AgentState{Ended: []cairnbay.AgentEnd{
					end(sequence, running[id][0].Task, running[id][0].Attempt, cairnbay.AgentDone),
				}})
				delete(running, id)
			}
		}
		core.Tick()
		core.Plan(now)
	}
	for n := range learnedWorkers*8/10 + 2000 {
		core.Accept(now, singleStep(nthID(models, n), models, 10, cores(1, 100), time.Minute), false)
	}
	core.Plan(now)
	return core, now
}
