package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

var _ = Describe("a task whose attempt ended between two owners", func() {
	It("resumes from the checkpoint of that end", func() {
		now := sched.Moment{BootTime: time.Second, UnixMS: 1000}
		core := sched.New(sched.Config{AttemptBase: successionBase, StopTime: config.StopTime, Retention: time.Minute})
		core.Accept(now, singleStep("j", catalogue, 1, cores(1, 100), 10*time.Second), true)
		core.SetWorker(cairnbay.WorkerEntry{ID: "a", Address: "a", Capacity: cores(4, 4000)})
		core.BeginRecovery()
		stopped := end(1, task("j", 0), formerAttempt, cairnbay.AgentStopped)
		stopped.Checkpoint = "saved"
		core.HandleHold(now, "a", now.BootTime, cairnbay.AgentState{Ended: []cairnbay.AgentEnd{stopped}})
		core.EndRecovery()
		actions := core.Plan(now)
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].Start.Checkpoint).To(Equal("saved"))
	})

	It("keeps the checkpoint of a later attempt", func() {
		now := sched.Moment{BootTime: time.Second, UnixMS: 1000}
		core := sched.New(sched.Config{AttemptBase: successionBase, StopTime: config.StopTime, Retention: time.Minute})
		core.Accept(now, singleStep("j", catalogue, 1, cores(1, 100), 10*time.Second), true)
		for _, id := range []string{"a", "b"} {
			core.SetWorker(cairnbay.WorkerEntry{ID: id, Address: id, Capacity: cores(1, 4000)})
		}
		core.BeginRecovery()
		core.HandleHold(now, "a", now.BootTime, cairnbay.AgentState{
			Running: []cairnbay.AgentTask{{Task: task("j", 0), Attempt: formerAttempt + 1, Checkpoint: "later"}},
		})
		earlier := end(1, task("j", 0), formerAttempt, cairnbay.AgentStopped)
		earlier.Checkpoint = "earlier"
		core.HandleHold(now, "b", now.BootTime, cairnbay.AgentState{Ended: []cairnbay.AgentEnd{earlier}})
		core.EndRecovery()
		core.HandleHold(now, "a", now.BootTime, cairnbay.AgentState{
			Ended: []cairnbay.AgentEnd{end(1, task("j", 0), formerAttempt+1, cairnbay.AgentLapsed)},
		})
		actions := core.Plan(now)
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].Start.Checkpoint).To(Equal("later"))
	})
})

var _ = Describe("a gang of which a former owner started two runs", func() {
	It("resumes from the checkpoint of the later run, whichever worker answers last", func() {
		s := newSuccession("a", "b")
		later := member(0, formerAttempt+1, 50)
		later.Checkpoint = "later"
		s.answers("a", runs(later))
		earlier := end(1, task("g", 1), formerAttempt, cairnbay.AgentStopped)
		earlier.Checkpoint = "earlier"
		s.answers("b", cairnbay.AgentState{Ended: []cairnbay.AgentEnd{earlier}})
		s.core.EndRecovery()
		s.plan()
		s.answers("a", cairnbay.AgentState{Ended: []cairnbay.AgentEnd{end(1, task("g", 0), formerAttempt+1, cairnbay.AgentLapsed)}})
		s.now.BootTime += tick
		s.core.Tick()
		actions := s.core.Plan(s.now)
		Expect(actions).To(HaveLen(2))
		for _, action := range actions {
			Expect(action.Start.Checkpoint).To(Equal("later"))
		}
	})
})

// Guards against tasks that start again although they run, or have ended, on a worker that
// has not answered the next owner.
var _ = DescribeTable("a task that may run on a draining worker, as the journal says",
	func(happens func(core *sched.Core, now sched.Moment), starts int) {
		now := sched.Moment{BootTime: time.Second, UnixMS: 1000}
		core := sched.New(sched.Config{AttemptBase: successionBase, StopTime: config.StopTime, Retention: time.Minute})
		job := singleStep("j", catalogue, 1, cores(1, 100), 10*time.Second)
		job.Steps[0].Checkpoints = false
		core.Accept(now, job, true)
		core.SetWorker(cairnbay.WorkerEntry{ID: "a", Address: "a", Capacity: cores(4, 4000), Draining: true})
		core.SetWorker(cairnbay.WorkerEntry{ID: "b", Address: "b", Capacity: cores(4, 4000)})
		core.BeginRecovery()
		Expect(core.Assume(now, "a", []sched.PlacedAttempt{{Task: task("j", 0), Attempt: formerAttempt}, {Task: task("gone", 0), Attempt: 1}})).To(BeTrue())
		core.HandleHold(now, "b", now.BootTime, cairnbay.AgentState{})
		happens(core, now)
		core.EndRecovery()
		actions := core.Plan(now)
		Expect(actions).To(HaveLen(starts))
		for _, action := range actions {
			Expect(action.Start.Target.Worker).To(Equal("b"))
			Expect(action.Start.Attempt).To(BeNumerically(">", successionBase))
		}
	},
	Entry("waits while the worker is silent", func(*sched.Core, sched.Moment) {}, 0),
	Entry("goes on where the worker lists it", func(core *sched.Core, now sched.Moment) {
		core.HandleHold(now, "a", now.BootTime, runs(cairnbay.AgentTask{Task: task("j", 0), Attempt: formerAttempt, Percent: 90}))
	}, 0),
	Entry("is done where the worker lists its end", func(core *sched.Core, now sched.Moment) {
		result := core.HandleHold(now, "a", now.BootTime, cairnbay.AgentState{Ended: []cairnbay.AgentEnd{end(1, task("j", 0), formerAttempt, cairnbay.AgentDone)}})
		core.RecordsStored(result.Records)
		Expect(core.State("j")).To(Equal(cairnbay.WorkflowCompleted))
	}, 0),
	Entry("goes on where a later attempt runs on another worker", func(core *sched.Core, now sched.Moment) {
		core.HandleHold(now, "b", now.BootTime, runs(cairnbay.AgentTask{Task: task("j", 0), Attempt: formerAttempt + 1}))
	}, 0),
	Entry("starts again once the worker does not list it", func(core *sched.Core, now sched.Moment) {
		core.HandleHold(now, "a", now.BootTime, cairnbay.AgentState{})
	}, 1),
	Entry("starts again once the worker is lost", func(core *sched.Core, now sched.Moment) {
		Expect(core.HandleWorkerLoss(now, "a", sched.LossSilent).Lost).To(HaveLen(1))
	}, 1),
)

var _ = It("a task that failed on a draining worker, as the journal says, starts again at once", func() {
	now := sched.Moment{BootTime: time.Second, UnixMS: 1000}
	core := sched.New(sched.Config{AttemptBase: successionBase, StopTime: config.StopTime, Retention: time.Minute})
	core.Accept(now, singleStep("j", catalogue, 1, cores(1, 100), 10*time.Second), true)
	core.SetWorker(cairnbay.WorkerEntry{ID: "a", Address: "a", Capacity: cores(4, 4000), Draining: true})
	core.Replay(now, sched.Record{Kind: sched.RecordFailed, Task: task("j", 0), Attempt: formerAttempt})
	Expect(core.Assume(now, "a", []sched.PlacedAttempt{{Task: task("j", 0), Attempt: formerAttempt}})).To(BeTrue())
	Expect(core.PlacedOn("a")).To(BeEmpty())
})
