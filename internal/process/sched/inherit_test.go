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
