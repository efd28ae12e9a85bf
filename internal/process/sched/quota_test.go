package sched_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

// quotaJob is a job of the workspace "a" with one step of one-core tasks.
func quotaJob(id string, queue cairnbay.Queue, tasks int) cairnbay.Workflow {
	job := singleStep(id, queue, tasks, cores(1, 100), time.Second)
	job.Workspace = "a"
	return job
}

func terms(quota, part cairnbay.Resources) []sched.WorkspaceTerms {
	return []sched.WorkspaceTerms{{Name: "a", Weight: 1, Quota: quota, Part: part}}
}

// starts counts the starts and calls to the policy service among actions.
func starts(actions []sched.Action) (starts, advice, stops int) {
	for _, action := range actions {
		switch {
		case action.Start != nil:
			starts++
		case action.Advise != nil:
			advice++
		default:
			stops++
		}
	}
	return starts, advice, stops
}

var _ = Describe("the part of a quota", func() {
	var (
		core *sched.Core
		now  sched.Moment
	)
	addWorker := func(id string, capacity cairnbay.Resources) {
		core.SetWorker(cairnbay.WorkerEntry{ID: id, Address: id, Capacity: capacity})
		core.HandleHold(now, id, now.BootTime, cairnbay.AgentState{})
	}
	BeforeEach(func() {
		now = sched.Moment{BootTime: time.Second, UnixMS: 1000}
		core = sched.New(config)
		addWorker("w", cores(32, 64_000))
	})
	DescribeTable("bounds the starts of its workspace",
		func(quota, part cairnbay.Resources, tasks int, gang bool, expected int) {
			core.SetWorkspaces(terms(quota, part))
			job := quotaJob("j", quotes, tasks)
			job.Steps[0].Gang = gang
			core.Accept(now, job, false)
			started, _, _ := starts(core.Plan(now))
			Expect(started).To(Equal(expected))
			Expect(core.QuotaUse("a")).To(Equal(cores(1, 100).Times(expected)))
		},
		Entry("no quota is no limit", cairnbay.Resources{}, cairnbay.Resources{}, 20, false, 20),
		Entry("a part that is not known starts nothing", cores(20, 0), cairnbay.Resources{}, 5, false, 0),
		Entry("tasks up to the part", cores(20, 0), cores(7, 0), 20, false, 7),
		Entry("a part that is no multiple of a task", cores(20, 0), cores(7.9, 0), 20, false, 7),
		Entry("memory only", cairnbay.Resources{MemoryMB: 9000}, cairnbay.Resources{MemoryMB: 350}, 20, false, 3),
		Entry("a resource that the task does not need", cairnbay.Resources{Accelerators: 4}, cairnbay.Resources{}, 20, false, 20),
		Entry("no gang that exceeds it", cores(20, 0), cores(7, 0), 8, true, 0),
		Entry("a gang that fits", cores(20, 0), cores(8, 0), 8, true, 8),
		Entry("more tasks than the count of a worker that is bounded", cairnbay.Resources{MemoryMB: 9000}, cairnbay.Resources{MemoryMB: 9000}, 32, false, 32),
	)

	It("counts an attempt from its reservation until its end, also while it is being stopped", func() {
		core.SetWorkspaces(terms(cores(4, 0), cores(2, 0)))
		core.Accept(now, quotaJob("j", quotes, 2), false)
		Expect(starts(core.Plan(now))).To(Equal(2))
		core.Cancel(now, "j")
		core.Accept(now, quotaJob("k", quotes, 1), false)
		now.BootTime += time.Millisecond
		started, _, stops := starts(core.Plan(now))
		Expect(started).To(BeZero(), "stops sent: %d", stops)
		core.HandleHold(now, "w", now.BootTime, cairnbay.AgentState{Ended: []cairnbay.AgentEnd{
			end(1, task("j", 0), 1, cairnbay.AgentStopped), end(2, task("j", 1), 1, cairnbay.AgentStopped),
		}})
		Expect(starts(core.Plan(now))).To(Equal(1))
	})

	It("stops nothing when a quota falls below the use, and starts nothing until the use is below it", func() {
		core.SetWorkspaces(terms(cores(8, 0), cores(8, 0)))
		core.Accept(now, quotaJob("j", quotes, 9), false)
		Expect(starts(core.Plan(now))).To(Equal(8))
		core.SetWorkspaces(terms(cores(2, 0), cores(2, 0)))
		core.Tick()
		Expect(core.Plan(now)).To(BeEmpty())
		demands := core.QuotaDemands(now)
		Expect(demands).To(BeEmpty(), "the part is the whole quota")
	})

	It("starts no attempt that waited for tickets while its quota fell", func() {
		queue := quotes
		queue.Advice = &cairnbay.AdviceTerms{Decide: 50 * time.Millisecond, Valid: 100 * time.Millisecond}
		core.SetWorkspaces(terms(cores(8, 0), cores(8, 0)))
		core.Accept(now, quotaJob("j", queue, 4), false)
		ticket := []cairnbay.Ticket{{Worker: "w", Ticket: "t"}}
		step := task("j", 0)
		Expect(core.Plan(now)).To(HaveLen(1))
		core.HandleAdvice(now, step, now.BootTime, []string{"w"}, ticket, nil)
		// The ticket has lapsed, so that the capacity is reserved during the next call.
		now.BootTime += time.Second
		core.Tick()
		Expect(core.Plan(now)).To(HaveLen(1))
		Expect(core.QuotaUse("a")).To(Equal(cores(4, 400)))
		core.SetWorkspaces(terms(cores(3, 0), cores(3, 0)))
		queue.Advice.Valid = time.Minute
		started, _, _ := starts(core.HandleAdvice(now, step, now.BootTime, []string{"w"}, ticket, nil))
		Expect(started).To(Equal(3))
	})

	It("lets a stage that it blocks neither preempt nor reserve workers nor call the policy service", func() {
		queue := quotes
		queue.Advice = &cairnbay.AdviceTerms{Decide: 50 * time.Millisecond, Valid: time.Minute}
		core.Accept(now, singleStep("victim", models, 32, cores(1, 100), time.Minute), false)
		Expect(starts(core.Plan(now))).To(Equal(32))
		var running []cairnbay.AgentTask
		for i := range 32 {
			running = append(running, cairnbay.AgentTask{Task: task("victim", i), Attempt: 1, Percent: 1})
		}
		core.HandleHold(now, "w", now.BootTime, cairnbay.AgentState{Running: running})
		core.SetWorkspaces(terms(cores(8, 0), cores(3, 0)))
		gang := quotaJob("gang", quotes, 4)
		gang.Steps[0].Gang = true
		core.Accept(now, gang, false)
		core.Accept(now, quotaJob("advised", queue, 4), false)
		core.SetWorkspaces(terms(cores(8, 0), cairnbay.Resources{}))
		core.Accept(now, quotaJob("urgent", quotes, 4), false)
		core.Tick()
		Expect(core.Plan(now)).To(BeEmpty())
		Expect(core.QuotaHeld()).To(BeTrue())
	})

	It("gives its room first to the replacement of a long-running task", func() {
		core.SetWorkspaces(terms(cores(4, 0), cores(4, 0)))
		service := quotaJob("service", models, 4)
		service.Steps[0].LongRunning = true
		core.Accept(now, service, false)
		Expect(starts(core.Plan(now))).To(Equal(4))
		// The job can wait for nothing, so that it precedes the service by its priority.
		pressing := quotes
		pressing.Stretch, pressing.TargetLatency = 1, 100*time.Millisecond
		core.Accept(now, quotaJob("j", pressing, 4), false)
		core.HandleHold(now, "w", now.BootTime, cairnbay.AgentState{
			Ended: []cairnbay.AgentEnd{end(1, task("service", 2), 1, cairnbay.AgentFailed)},
		})
		now.BootTime += 10 * time.Millisecond
		core.Tick()
		actions := core.Plan(now)
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].Start.Task.Job).To(Equal("service"))
	})

	It("keeps room for a gang that single tasks would take, for a limited time", func() {
		core.SetWorkspaces(terms(cores(4, 0), cores(4, 0)))
		core.Accept(now, quotaJob("first", quotes, 3), false)
		Expect(starts(core.Plan(now))).To(Equal(3))
		gang := quotaJob("a-gang", quotes, 4)
		gang.Steps[0].Gang = true
		core.Accept(now, gang, false)
		core.Accept(now, quotaJob("b-small", models, 1), false)
		Expect(core.Plan(now)).To(BeEmpty())
		now.BootTime += 2500 * time.Millisecond
		core.Tick()
		Expect(starts(core.Plan(now))).To(Equal(1))
	})

	It("holds the jobs of a workspace that the configuration does not have yet, and not for ever", func() {
		core.SetWorkspaces([]sched.WorkspaceTerms{{Name: "other"}})
		core.Accept(now, quotaJob("j", quotes, 2), false)
		Expect(core.Plan(now)).To(BeEmpty())
		now.BootTime += 11 * time.Second
		core.Tick()
		Expect(starts(core.Plan(now))).To(Equal(2))
	})

	It("refuses a job that can never fit the quota, and names what is too small", func() {
		core.SetWorkspaces(terms(cores(4, 0), cores(1, 0)))
		gang := quotaJob("gang", quotes, 5)
		gang.Steps[0].Gang = true
		admission := core.Admit(now, gang)
		Expect(admission.Reason).To(Equal(sched.ReasonQuotaTooSmall))
		Expect(admission.Detail).To(Equal("workspace a, processors"))
		Expect(core.Admit(now, quotaJob("j", quotes, 5)).Accept).To(BeTrue())
	})

	It("is demanded for what fits on workers now, in order of the latest start", func() {
		core.SetWorkspaces(terms(cores(40, 0), cores(2, 0)))
		core.Accept(now, quotaJob("j", quotes, 100), false)
		Expect(starts(core.Plan(now))).To(Equal(2))
		demands := core.QuotaDemands(now)
		Expect(demands).To(HaveLen(1))
		Expect(demands[0].Missing).To(Equal(cairnbay.Resources{MilliCPU: 30_000}), fmt.Sprint(demands))
		Expect(demands[0].Job).To(Equal("j"))
	})

	DescribeTable("counts what a former owner may have started until recovery ends",
		func(silentCores, tasks, expected int) {
			core = sched.New(config)
			core.SetWorkspaces(terms(cores(20, 0), cores(10, 0)))
			core.Accept(now, quotaJob("old", quotes, tasks), true)
			core.SetWorker(cairnbay.WorkerEntry{ID: "silent", Capacity: cores(float64(silentCores), 64_000)})
			core.BeginRecovery()
			addWorker("w", cores(32, 64_000))
			core.Accept(now, quotaJob("new", quotes, 20), false)
			Expect(starts(core.Plan(now))).To(Equal(expected))
			core.HandleHold(now, "silent", now.BootTime, cairnbay.AgentState{})
			core.EndRecovery()
			core.Plan(now)
			Expect(core.QuotaUse("a").MilliCPU).To(Equal(int64(10_000)))
		},
		Entry("unfinished tasks", 32, 4, 6),
		Entry("no more than the silent workers hold", 3, 9, 7),
		Entry("more than the part", 32, 30, 0),
	)
})
