package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

// succession is a new owner of workers on which a former owner started tasks.
type succession struct {
	core *sched.Core
	now  sched.Moment
}

const (
	// tick is the interval of plans.
	tick = 200 * time.Millisecond
	// formerAttempt is an attempt number of the former owner. The new owner uses
	// numbers above successionBase.
	formerAttempt  = 1001
	successionBase = 2000
)

// newSuccession returns an owner in recovery that has inherited a gang of one
// task for each worker. A worker has room for one task.
func newSuccession(workers ...string) *succession {
	s := &succession{
		core: sched.New(sched.Config{AttemptBase: successionBase, StopTime: config.StopTime, Retention: time.Minute}),
		now:  sched.Moment{BootTime: time.Second, UnixMS: 1000},
	}
	s.core.Accept(s.now, gangOf("g", len(workers)), true)
	for _, id := range workers {
		s.core.SetWorker(cairnbay.WorkerEntry{ID: id, Address: id, Capacity: cores(4, 4000)})
	}
	s.core.BeginRecovery()
	return s
}

func gangOf(id string, tasks int) cairnbay.Workflow {
	job := singleStep(id, meshes, tasks, cores(4, 100), 10*time.Second)
	job.Steps[0].Gang = true
	return job
}

func member(index, attempt, percent int) cairnbay.AgentTask {
	return cairnbay.AgentTask{Task: task("g", index), Attempt: attempt, Percent: percent}
}

func runs(tasks ...cairnbay.AgentTask) cairnbay.AgentState {
	return cairnbay.AgentState{Running: tasks}
}

// answers processes a worker's answer to a hold, which it gives now.
func (s *succession) answers(worker string, state cairnbay.AgentState) {
	state.Clock = s.now.BootTime
	s.core.HandleHold(s.now, worker, s.now.BootTime, state)
}

// orders are the starts and stops of a plan, by task, with their attempt numbers.
type orders struct {
	starts, stops map[cairnbay.WorkflowTask]int
}

// plan makes the plan that follows a tick and carries its orders out at once.
func (s *succession) plan() orders {
	s.now.BootTime += tick
	s.core.Tick()
	planned := orders{make(map[cairnbay.WorkflowTask]int), make(map[cairnbay.WorkflowTask]int)}
	for _, action := range s.core.Plan(s.now) {
		switch {
		case action.Start != nil:
			planned.starts[action.Start.Task] = action.Start.Attempt
			s.core.HandleStart(s.now, action.Start, nil)
		case action.Stop != nil:
			planned.stops[action.Stop.Task] = action.Stop.Attempt
			s.core.HandleStop(s.now, action.Stop, nil)
		}
	}
	return planned
}

// expectRestart expects the next plan to start the whole gang under one number that
// no former owner has used.
func (s *succession) expectRestart(tasks int) {
	GinkgoHelper()
	planned := s.plan()
	Expect(planned.stops).To(BeEmpty())
	Expect(planned.starts).To(HaveLen(tasks))
	number := planned.starts[task("g", 0)]
	Expect(number).To(BeNumerically(">", successionBase))
	for _, other := range planned.starts {
		Expect(other).To(Equal(number))
	}
}

var _ = Describe("a gang that a former owner has not started whole", func() {
	It("is stopped once every worker has answered, and starts again whole", func() {
		s := newSuccession("a", "b")
		s.answers("a", runs(member(0, formerAttempt, 0)))
		s.answers("b", runs())
		s.core.EndRecovery()
		planned := s.plan()
		Expect(planned.starts).To(BeEmpty())
		Expect(planned.stops).To(Equal(map[cairnbay.WorkflowTask]int{task("g", 0): formerAttempt}))
		s.answers("a", cairnbay.AgentState{Ended: []cairnbay.AgentEnd{end(1, task("g", 0), formerAttempt, cairnbay.AgentStopped)}})
		s.expectRestart(2)
	})

	It("is stopped if a silent worker's lease ends without an answer", func() {
		s := newSuccession("a", "b")
		s.answers("a", runs(member(0, formerAttempt, 0)))
		Expect(s.plan().stops).To(BeEmpty())
		s.core.HandleWorkerLoss(s.now, "b", sched.LossCrashed)
		s.core.EndRecovery()
		Expect(s.plan().stops).To(Equal(map[cairnbay.WorkflowTask]int{task("g", 0): formerAttempt}))
	})

	It("is stopped if another member's end is listed", func() {
		s := newSuccession("a", "b")
		s.answers("a", runs(member(0, formerAttempt, 0)))
		s.answers("b", cairnbay.AgentState{Ended: []cairnbay.AgentEnd{end(1, task("g", 1), formerAttempt, cairnbay.AgentStopped)}})
		s.core.EndRecovery()
		Expect(s.plan().stops).To(Equal(map[cairnbay.WorkflowTask]int{task("g", 0): formerAttempt}))
		s.answers("a", cairnbay.AgentState{Ended: []cairnbay.AgentEnd{end(1, task("g", 0), formerAttempt, cairnbay.AgentStopped)}})
		s.expectRestart(2)
	})

	It("is stopped if its members have different numbers", func() {
		s := newSuccession("a", "b")
		s.answers("a", runs(member(0, formerAttempt, 0)))
		s.answers("b", runs(member(1, formerAttempt+1, 0)))
		s.core.EndRecovery()
		Expect(s.plan().stops).To(Equal(map[cairnbay.WorkflowTask]int{
			task("g", 0): formerAttempt, task("g", 1): formerAttempt + 1,
		}))
		s.answers("a", cairnbay.AgentState{Ended: []cairnbay.AgentEnd{end(1, task("g", 0), formerAttempt, cairnbay.AgentStopped)}})
		Expect(s.plan().starts).To(BeEmpty())
		s.answers("b", cairnbay.AgentState{Ended: []cairnbay.AgentEnd{end(1, task("g", 1), formerAttempt+1, cairnbay.AgentStopped)}})
		s.expectRestart(2)
	})

	It("is stopped if a worker lists a member only after the recovery", func() {
		s := newSuccession("a", "b")
		s.answers("b", runs())
		s.core.HandleWorkerLoss(s.now, "a", sched.LossCrashed)
		s.core.EndRecovery()
		s.core.SetWorker(cairnbay.WorkerEntry{ID: "a", Address: "a", Capacity: cores(4, 4000)})
		Expect(s.plan().starts).To(BeEmpty())
		s.answers("a", runs(member(0, formerAttempt, 0)))
		Expect(s.plan().stops).To(Equal(map[cairnbay.WorkflowTask]int{task("g", 0): formerAttempt}))
		s.answers("a", cairnbay.AgentState{Ended: []cairnbay.AgentEnd{end(1, task("g", 0), formerAttempt, cairnbay.AgentStopped)}})
		s.expectRestart(2)
	})

	It("is stopped during the recovery if it shows no progress for a second", func() {
		s := newSuccession("a", "b")
		s.answers("a", runs(member(0, formerAttempt, 0)))
		s.now.BootTime += time.Second
		s.answers("a", runs(member(0, formerAttempt, 0)))
		Expect(s.plan().stops).To(BeEmpty())
		s.answers("a", runs(member(0, formerAttempt, 0)))
		planned := s.plan()
		Expect(planned.stops).To(Equal(map[cairnbay.WorkflowTask]int{task("g", 0): formerAttempt}))
		s.answers("a", cairnbay.AgentState{Ended: []cairnbay.AgentEnd{end(1, task("g", 0), formerAttempt, cairnbay.AgentStopped)}})
		Expect(s.plan().starts).To(BeEmpty(), "before the recovery ends")
		s.answers("b", runs())
		s.core.EndRecovery()
		s.expectRestart(2)
	})

	// Guards against gangs that are stopped because their owner was paused.
	It("is not stopped for a report without progress that is older than a pause of its owner", func() {
		s := newSuccession("a", "b")
		s.answers("a", runs(member(0, formerAttempt, 0)))
		sent, old := s.now.BootTime, runs(member(0, formerAttempt, 0))
		old.Clock = sent + 200*time.Millisecond
		s.now.BootTime += 5 * time.Second
		s.core.HandleHold(s.now, "a", sent, old)
		Expect(s.plan().stops).To(BeEmpty())
		s.answers("a", runs(member(0, formerAttempt, 0)))
		Expect(s.plan().stops).To(HaveLen(1))
	})

	It("is not stopped while its other members may run on a silent worker", func() {
		s := newSuccession("a", "b", "c")
		s.answers("a", runs(member(0, formerAttempt, 0)))
		s.answers("b", runs(member(1, formerAttempt, 0)))
		for range 10 {
			Expect(s.plan()).To(Equal(orders{map[cairnbay.WorkflowTask]int{}, map[cairnbay.WorkflowTask]int{}}))
		}
		s.answers("c", runs(member(2, formerAttempt, 20)))
		s.core.EndRecovery()
		for percent := 20; percent < 40; percent += 2 {
			s.answers("a", runs(member(0, formerAttempt, percent)))
			s.answers("b", runs(member(1, formerAttempt, percent)))
			s.answers("c", runs(member(2, formerAttempt, percent)))
			Expect(s.plan().stops).To(BeEmpty())
		}
	})
})

var _ = Describe("a gang that runs whole when its owner is replaced", func() {
	It("goes on during the recovery and after it", func() {
		s := newSuccession("a", "b")
		for percent := 10; percent < 50; percent += 2 {
			s.answers("a", runs(member(0, formerAttempt, percent)))
			if percent >= 20 {
				s.answers("b", runs(member(1, formerAttempt, percent)))
			}
			if percent == 30 {
				s.core.EndRecovery()
			}
			Expect(s.plan()).To(Equal(orders{map[cairnbay.WorkflowTask]int{}, map[cairnbay.WorkflowTask]int{}}))
		}
	})

	It("is not stopped when the first of its ends is listed", func() {
		s := newSuccession("a", "b")
		s.answers("a", runs(member(0, formerAttempt, 90)))
		s.answers("b", runs(member(1, formerAttempt, 90)))
		s.core.EndRecovery()
		s.answers("a", cairnbay.AgentState{Ended: []cairnbay.AgentEnd{end(1, task("g", 0), formerAttempt, cairnbay.AgentDone)}})
		Expect(s.plan()).To(Equal(orders{map[cairnbay.WorkflowTask]int{}, map[cairnbay.WorkflowTask]int{}}))
	})

	It("is not stopped if the new owner has started it during the recovery", func() {
		s := newSuccession("a", "b", "c")
		s.core.Accept(s.now, gangOf("new", 2), false)
		s.answers("a", runs())
		s.answers("b", runs())
		s.now.BootTime += tick
		s.core.Tick()
		actions := s.core.Plan(s.now)
		Expect(actions).To(HaveLen(2))
		// The answer to the second start comes after the recovery.
		s.core.HandleStart(s.now, actions[0].Start, nil)
		s.answers("c", runs())
		s.core.EndRecovery()
		Expect(s.plan().stops).To(BeEmpty())
		s.core.HandleStart(s.now, actions[1].Start, nil)
		Expect(s.plan().stops).To(BeEmpty())
	})
})

var _ = Describe("the number of gangs that a former owner left incomplete", func() {
	It("does not contain a gang that was cancelled while it ran whole", func() {
		s := newSuccession("a", "b")
		s.core.Cancel(s.now, "g")
		s.answers("a", runs(member(0, formerAttempt, 50)))
		s.answers("b", runs(member(1, formerAttempt, 50)))
		Expect(s.core.EndRecovery()).To(BeZero())
	})
})

var _ = Describe("a gang of which one member's end done is known when the recovery ends", func() {
	It("is not stopped, though the others are still listed as running", func() {
		s := newSuccession("a", "b", "c")
		s.answers("a", runs(member(0, formerAttempt, 99)))
		s.answers("b", cairnbay.AgentState{Ended: []cairnbay.AgentEnd{end(1, task("g", 1), formerAttempt, cairnbay.AgentDone)}})
		s.answers("c", runs())
		Expect(s.core.EndRecovery()).To(BeZero())
		Expect(s.plan().stops).To(BeEmpty())
	})
})
