package sched_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

var config = sched.Config{StopTime: 200 * time.Millisecond, Retention: time.Minute}

func task(job string, index int) cairnbay.WorkflowTask {
	return cairnbay.WorkflowTask{Job: job, Index: index}
}

func end(sequence uint64, of cairnbay.WorkflowTask, attempt int, reason cairnbay.AgentEndReason) cairnbay.AgentEnd {
	return cairnbay.AgentEnd{Sequence: sequence, Task: of, Attempt: attempt, Reason: reason}
}

var _ = Describe("ends", func() {
	var (
		core *sched.Core
		now  sched.Moment
	)
	BeforeEach(func() {
		now = sched.Moment{BootTime: time.Second, UnixMS: 1000}
		core = sched.New(config)
		core.SetWorker(cairnbay.WorkerEntry{ID: "w", Capacity: cores(8, 8000)})
		core.HandleHold(now, "w", now.BootTime, cairnbay.AgentState{})
		core.Accept(now, singleStep("j", quotes, 1, cores(1, 100), time.Second), false)
	})

	It("counts a stored failed attempt once, even if the worker lists it to a new owner", func() {
		for range 3 {
			newOwner := sched.New(config)
			newOwner.Accept(now, singleStep("j", quotes, 1, cores(1, 100), time.Second), true)
			for attempt := 1; attempt <= 3; attempt++ {
				newOwner.Replay(now, sched.Record{Kind: sched.RecordFailed, Task: task("j", 0), Attempt: attempt})
			}
			newOwner.SetWorker(cairnbay.WorkerEntry{ID: "w", Capacity: cores(8, 8000)})
			result := newOwner.HandleHold(now, "w", now.BootTime, cairnbay.AgentState{
				Ended: []cairnbay.AgentEnd{end(9, task("j", 0), 2, cairnbay.AgentFailed)},
			})
			Expect(result.Records).To(BeEmpty())
			Expect(newOwner.State("j")).NotTo(Equal(cairnbay.WorkflowFailed))
		}
	})

	It("fails a job when the attempts are used up", func() {
		for attempt := 1; attempt <= 4; attempt++ {
			Expect(core.State("j")).NotTo(Equal(cairnbay.WorkflowFailed))
			result := core.HandleHold(now, "w", now.BootTime, cairnbay.AgentState{
				Ended: []cairnbay.AgentEnd{end(uint64(attempt), task("j", 0), attempt, cairnbay.AgentFailed)},
			})
			core.RecordsStored(result.Records)
		}
		Expect(core.State("j")).To(Equal(cairnbay.WorkflowFailed))
	})

	It("shows a job as completed only once that is stored", func() {
		result := core.HandleHold(now, "w", now.BootTime, cairnbay.AgentState{
			Ended: []cairnbay.AgentEnd{end(1, task("j", 0), 1, cairnbay.AgentDone)},
		})
		Expect(result.Records).To(HaveLen(1))
		Expect(core.State("j")).NotTo(Equal(cairnbay.WorkflowCompleted))
		core.RecordsStored(result.Records)
		Expect(core.State("j")).To(Equal(cairnbay.WorkflowCompleted))
	})

	// Guards against tasks that run again while their ends wait to be listed.
	DescribeTable("leaves an attempt as it is until its worker lists all ends", func(restarted bool, after ...cairnbay.AgentState) {
		core.Accept(now, singleStep("k", quotes, 3, cores(1, 100), time.Second), false)
		for _, action := range core.Plan(now) {
			core.HandleStart(now, action.Start, nil)
		}
		worker := "w"
		if restarted {
			worker = "next run of w"
			core.SetReachable(now, "w", false)
			core.SetWorker(cairnbay.WorkerEntry{ID: worker, Capacity: cores(8, 8000)})
		}
		answer := func(state cairnbay.AgentState) (starts int) {
			for range 5 {
				now.BootTime += 200 * time.Millisecond
				switch {
				case restarted && state.EndsTruncated:
					core.HandOver("w", state)
				case restarted:
					core.HandleRestart(now, "w", sched.LossCrashed, state)
				}
				core.RecordsStored(core.HandleHold(now, worker, now.BootTime, state).Records)
				core.Tick()
				for _, action := range core.Plan(now) {
					switch {
					case action.Start != nil:
						starts++
					case action.Stop != nil:
						core.HandleStop(now, action.Stop, nil)
					}
				}
			}
			return starts
		}
		starts := 0
		for _, state := range after {
			starts += answer(state)
		}
		Expect(starts).To(BeZero())
		Expect(core.State("k")).To(Equal(cairnbay.WorkflowCompleted))
	},
		Entry("in two parts", false,
			cairnbay.AgentState{EndsTruncated: true, Ended: []cairnbay.AgentEnd{end(1, task("j", 0), 1, cairnbay.AgentDone)}},
			cairnbay.AgentState{Ended: []cairnbay.AgentEnd{
				end(2, task("k", 0), 1, cairnbay.AgentDone), end(3, task("k", 1), 1, cairnbay.AgentDone), end(4, task("k", 2), 1, cairnbay.AgentDone),
			}}),
		Entry("one at a time", false,
			cairnbay.AgentState{EndsTruncated: true, Ended: []cairnbay.AgentEnd{end(1, task("j", 0), 1, cairnbay.AgentDone)}},
			cairnbay.AgentState{EndsTruncated: true, Ended: []cairnbay.AgentEnd{end(2, task("k", 0), 1, cairnbay.AgentDone)}},
			cairnbay.AgentState{EndsTruncated: true, Ended: []cairnbay.AgentEnd{end(3, task("k", 1), 1, cairnbay.AgentDone)}},
			cairnbay.AgentState{EndsTruncated: true, Ended: []cairnbay.AgentEnd{end(4, task("k", 2), 1, cairnbay.AgentDone)}},
			cairnbay.AgentState{}),
		Entry("after a restart of the worker's process", true,
			cairnbay.AgentState{EndsTruncated: true, Ended: []cairnbay.AgentEnd{end(1, task("j", 0), 1, cairnbay.AgentDone)}},
			cairnbay.AgentState{Ended: []cairnbay.AgentEnd{
				end(2, task("k", 0), 1, cairnbay.AgentDone), end(3, task("k", 1), 1, cairnbay.AgentDone), end(4, task("k", 2), 1, cairnbay.AgentDone),
			}}),
	)

	It("handles an end only once", func() {
		state := cairnbay.AgentState{Ended: []cairnbay.AgentEnd{end(1, task("j", 0), 1, cairnbay.AgentDone)}}
		Expect(core.HandleHold(now, "w", now.BootTime, state).Records).To(HaveLen(1))
		Expect(core.HandleHold(now, "w", now.BootTime, state).Records).To(BeEmpty())
	})
})

var _ = Describe("a start without an answer", func() {
	It("is settled by a stop before its task starts on another worker", func() {
		sim := newSimulation(config)
		sim.addWorker("a", cores(4, 4000))
		sim.fleet.Mute("a", true)
		sim.submit(singleStep("j", quotes, 1, cores(4, 100), time.Second), false, time.Second)
		sim.fleet.Mute("a", false)
		sim.fleet.Cut("a", true)
		sim.addWorker("b", cores(4, 4000))
		sim.advance(2 * time.Second)
		Expect(sim.fleet.Running("b")).To(BeEmpty())
		sim.fleet.Cut("a", false)
		sim.advance(4 * time.Second)
		Expect(sim.completed).To(HaveKey("j"))
		Expect(sim.fleet.Broken()).To(BeEmpty())
	})

	It("has no effect if it arrives after its stop", func() {
		sim := newSimulation(config)
		sim.addWorker("a", cores(4, 4000))
		sim.fleet.Cut("a", true)
		sim.submit(singleStep("j", quotes, 1, cores(4, 100), time.Second), false, time.Second)
		sim.fleet.StartLate(sim.now+3*time.Second, cairnbay.AgentTarget{Worker: "a"}, cairnbay.AgentStart{
			Task: task("j", 0), Attempt: 1, LeaseEnd: sim.now + lease, Token: token,
		})
		sim.fleet.Cut("a", false)
		sim.addWorker("b", cores(4, 4000))
		sim.advance(6 * time.Second)
		Expect(sim.completed).To(HaveKey("j"))
		Expect(sim.fleet.Broken()).To(BeEmpty())
	})
})

var _ = Describe("gangs", func() {
	gang := func(id string, tasks int) cairnbay.Workflow {
		job := singleStep(id, meshes, tasks, cores(4, 100), 2*time.Second)
		job.Steps[0].Gang = true
		return job
	}

	It("start completely or not at all", func() {
		sim := newSimulation(config)
		sim.addWorker("a", cores(4, 4000))
		sim.submit(gang("g", 2), false, 2*time.Second)
		sim.advance(time.Second)
		Expect(sim.fleet.Starts()).To(BeZero())
		sim.addWorker("b", cores(4, 4000))
		sim.advance(3 * time.Second)
		Expect(sim.completed).To(HaveKey("g"))
	})

	It("end and start again when a member's worker is lost", func() {
		sim := newSimulation(config)
		sim.addWorker("a", cores(4, 4000))
		sim.addWorker("b", cores(4, 4000))
		sim.submit(gang("g", 2), false, 2*time.Second)
		sim.advance(500 * time.Millisecond)
		sim.fleet.Crash("b")
		loss := sim.core.HandleWorkerLoss(sim.moment(), "b", sched.LossCrashed)
		Expect(loss.Lost).To(HaveLen(1))
		sim.core.RecordsStored(loss.Records)
		sim.ids = []string{"a"}
		sim.addWorker("c", cores(4, 4000))
		sim.advance(5 * time.Second)
		Expect(sim.stops[sched.CauseGangIncomplete]).To(Equal(1))
		Expect(sim.completed).To(HaveKey("g"))
		Expect(sim.fleet.Broken()).To(BeEmpty())
	})
})

var _ = Describe("steps", func() {
	It("start after the steps that they depend on", func() {
		sim := newSimulation(config)
		sim.addWorker("a", cores(8, 8000))
		job := singleStep("j", quotes, 2, cores(1, 100), time.Second)
		job.Steps = append(job.Steps, cairnbay.WorkflowStep{Tasks: 1, Size: cores(1, 100), RunTime: time.Second, After: []int{0}})
		sim.submit(job, false, time.Second, time.Second)
		sim.advance(900 * time.Millisecond)
		Expect(sim.fleet.Starts()).To(Equal(2))
		sim.advance(1500 * time.Millisecond)
		Expect(sim.fleet.Starts()).To(Equal(3))
		Expect(sim.completed).To(HaveKey("j"))
	})

	It("get their tickets before they are ready", func() {
		sim := newSimulation(config)
		sim.addWorker("a", cores(8, 8000))
		queue := quotes
		queue.Advice = &cairnbay.AdviceTerms{Decide: 300 * time.Millisecond, Valid: 2 * time.Second}
		job := singleStep("j", queue, 1, cores(1, 100), time.Second)
		job.Steps = append(job.Steps, cairnbay.WorkflowStep{Tasks: 1, Size: cores(1, 100), RunTime: time.Second, After: []int{0}})
		sim.submit(job, false, time.Second, time.Second)
		sim.advance(2500 * time.Millisecond)
		Expect(sim.completed).To(HaveKey("j"))
	})
})

var _ = Describe("occurrences", func() {
	It("start at their due time and not before", func() {
		sim := newSimulation(config)
		sim.addWorker("a", cores(8, 8000))
		job := singleStep("j", catalogue, 1, cores(1, 100), 100*time.Millisecond)
		job.Occurrences, job.FirstDueUnixMS, job.IntervalMS = 2, sim.moment().UnixMS+1000, 1000
		sim.submit(job, false, 100*time.Millisecond)
		sim.advance(950 * time.Millisecond)
		Expect(sim.fleet.Starts()).To(BeZero())
		sim.advance(250 * time.Millisecond)
		Expect(sim.fleet.Starts()).To(Equal(1))
		sim.advance(1500 * time.Millisecond)
		Expect(sim.completed).To(HaveKey("j"))
	})
})

var _ = Describe("placing", func() {
	It("respects labels and bounds the tasks on one worker", func() {
		sim := newSimulation(config)
		sim.addWorker("a", cores(8, 8000))
		sim.core.SetWorker(cairnbay.WorkerEntry{ID: "a", Capacity: cores(8, 8000), Labels: []string{"fast"}})
		sim.addWorker("b", cores(8, 8000))
		job := singleStep("j", quotes, 3, cores(1, 100), 5*time.Second)
		job.Steps[0].Label, job.Steps[0].MaxPerWorker = "fast", 2
		sim.submit(job, false, 5*time.Second)
		sim.advance(time.Second)
		Expect(sim.fleet.Running("a")).To(HaveLen(2))
		Expect(sim.fleet.Running("b")).To(BeEmpty())
	})

	It("separates best-effort tasks from serving ones whose tail is near its target", func() {
		sim := newSimulation(config)
		sim.load = func(cairnbay.WorkflowTask, []cairnbay.WorkflowTask) int { return 45 }
		sim.addWorker("a", cores(8, 8000))
		serving := singleStep("s", quotes, 1, cores(1, 100), time.Second)
		serving.Steps[0].LongRunning, serving.Steps[0].TailTarget = true, 50*time.Millisecond
		sim.submit(serving, false, time.Hour)
		bestEffort := singleStep("f", catalogue, 1, cores(1, 100), time.Second)
		bestEffort.Steps[0].BestEffort = true
		sim.submit(bestEffort, false, time.Second)
		sim.advance(time.Second)
		Expect(sim.fleet.Running("a")).To(Equal([]cairnbay.WorkflowTask{task("s", 0)}))
	})

	It("uses only workers that the policy allows", func() {
		sim := newSimulation(config)
		sim.addWorker("a", cores(8, 8000))
		sim.addWorker("b", cores(8, 8000))
		sim.allow = func(_ cairnbay.WorkflowTask, worker string) bool { return worker == "b" }
		queue := quotes
		queue.Advice = &cairnbay.AdviceTerms{Decide: 20 * time.Millisecond, Valid: 2 * time.Second}
		sim.submit(singleStep("j", queue, 4, cores(2, 100), time.Second), false, time.Second)
		sim.advance(300 * time.Millisecond)
		Expect(sim.fleet.Running("a")).To(BeEmpty())
		Expect(sim.fleet.Running("b")).To(HaveLen(4))
	})
})

var _ = Describe("a new owner", func() {
	It("starts no task of a former owner while a worker may still run it", func() {
		sim := newSimulation(config)
		sim.addWorker("a", cores(8, 8000))
		sim.submit(singleStep("j", quotes, 1, cores(1, 100), 3*time.Second), false, 3*time.Second)

		newOwner := sched.New(sched.Config{AttemptBase: 1000, Retention: time.Minute})
		now := sim.moment()
		newOwner.SetWorker(cairnbay.WorkerEntry{ID: "a", Capacity: cores(8, 8000)})
		newOwner.SetWorker(cairnbay.WorkerEntry{ID: "b", Capacity: cores(8, 8000)})
		newOwner.Accept(now, sim.jobs["j"], true)
		newOwner.BeginRecovery()
		newOwner.HandleHold(now, "b", now.BootTime, cairnbay.AgentState{})
		Expect(newOwner.Plan(now)).To(BeEmpty())

		state, err := sim.fleet.Hold(context.Background(), cairnbay.AgentTarget{Worker: "a"}, cairnbay.AgentHold{Token: token + 1})
		Expect(err).NotTo(HaveOccurred())
		newOwner.HandleHold(now, "a", now.BootTime, state)
		newOwner.EndRecovery()
		Expect(newOwner.Plan(now)).To(BeEmpty())
		Expect(newOwner.State("j")).To(Equal(cairnbay.WorkflowRunning))
	})

	It("stops an attempt that belongs to no job", func() {
		newOwner := sched.New(config)
		now := sched.Moment{BootTime: time.Second}
		newOwner.SetWorker(cairnbay.WorkerEntry{ID: "a", Capacity: cores(8, 8000)})
		newOwner.HandleHold(now, "a", now.BootTime, cairnbay.AgentState{
			Running: []cairnbay.AgentTask{{Task: task("gone", 0), Attempt: 3}},
		})
		actions := newOwner.Plan(now)
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].Stop.Cause).To(Equal(sched.CauseOrphan))
	})
})

var _ = Describe("a cancellation", func() {
	It("stops running tasks and prevents further starts", func() {
		sim := newSimulation(config)
		sim.addWorker("a", cores(2, 8000))
		sim.submit(singleStep("j", quotes, 4, cores(1, 100), 3*time.Second), false, 3*time.Second)
		sim.advance(200 * time.Millisecond)
		Expect(sim.core.Cancel(sim.moment(), "j")).To(BeTrue())
		sim.plan()
		sim.advance(time.Second)
		Expect(sim.fleet.Running("a")).To(BeEmpty())
		Expect(sim.fleet.Starts()).To(Equal(2))
		Expect(sim.core.State("j")).To(Equal(cairnbay.WorkflowCancelled))
	})

	It("reports an unknown job", func() {
		Expect(sched.New(config).Cancel(sched.Moment{}, "x")).To(BeFalse())
	})
})

var _ = Describe("admission", func() {
	It("refuses while no worker is known, with a time to retry", func() {
		admission := sched.New(config).Admit(sched.Moment{}, singleStep("j", quotes, 1, cores(1, 1), time.Second))
		Expect(admission.Accept).To(BeFalse())
		Expect(admission.Reason).To(Equal(sched.ReasonNoWorkers))
		Expect(admission.RetryAfter).To(BeNumerically(">", 0))
	})

	It("accepts before the workers have answered a new owner", func() {
		core := sched.New(config)
		core.SetWorker(cairnbay.WorkerEntry{ID: "a", Capacity: cores(8, 8000)})
		Expect(core.Admit(sched.Moment{}, singleStep("j", quotes, 1, cores(1, 1), time.Second)).Accept).To(BeTrue())
	})

	It("accepts while workers are free", func() {
		sim := newSimulation(config)
		sim.addWorker("a", cores(8, 8000))
		Expect(sim.core.Admit(sim.moment(), singleStep("j", quotes, 8, cores(1, 100), time.Second)).Accept).To(BeTrue())
	})
})

var _ = Describe("a draining worker", func() {
	drain := func(sim *simulation, id string) {
		sim.core.SetWorker(cairnbay.WorkerEntry{ID: id, Address: id, Capacity: cores(8, 8000), Draining: true})
	}

	It("stops tasks with checkpoints and lets others run on", func() {
		sim := newSimulation(config)
		sim.addWorker("a", cores(8, 8000))
		sim.submit(singleStep("saved", catalogue, 1, cores(1, 100), 5*time.Second), false, 5*time.Second)
		sim.submit(singleStep("plain", quotes, 1, cores(1, 100), 5*time.Second), false, 5*time.Second)
		sim.advance(200 * time.Millisecond)
		sim.addWorker("b", cores(8, 8000))
		drain(sim, "a")
		sim.advance(400 * time.Millisecond)
		Expect(sim.fleet.Running("a")).To(Equal([]cairnbay.WorkflowTask{task("plain", 0)}))
		Expect(sim.fleet.Running("b")).To(Equal([]cairnbay.WorkflowTask{task("saved", 0)}))
	})

	It("stops long-running tasks once another worker can take them", func() {
		sim := newSimulation(config)
		sim.addWorker("a", cores(8, 8000))
		queue := meshes
		queue.Advice = &cairnbay.AdviceTerms{Decide: 500 * time.Millisecond, Valid: 2 * time.Second}
		longRunning := singleStep("l", queue, 1, cores(1, 100), time.Second)
		longRunning.Steps[0].LongRunning = true
		sim.submit(longRunning, false, time.Hour)
		sim.advance(time.Second)
		Expect(sim.fleet.Running("a")).To(HaveLen(1))
		drain(sim, "a")
		sim.advance(time.Second)
		Expect(sim.fleet.Running("a")).To(HaveLen(1))
		sim.addWorker("b", cores(8, 8000))
		sim.advance(1500 * time.Millisecond)
		Expect(sim.fleet.Running("b")).To(HaveLen(1))
		Expect(sim.fleet.Broken()).To(BeEmpty())
	})
})

var _ = Describe("an ended job", func() {
	It("is retained for the whole retention time, also by a new owner", func() {
		now := sched.Moment{BootTime: time.Hour}
		core := sched.New(config)
		core.Accept(now, singleStep("j", quotes, 1, cores(1, 100), time.Second), true)
		core.Replay(now, sched.Record{Kind: sched.RecordDone, Task: task("j", 0), Attempt: 1})
		Expect(core.RemoveExpired(now)).To(BeEmpty())
		now.BootTime += config.Retention
		Expect(core.RemoveExpired(now)).To(BeEmpty())
		now.BootTime += time.Second
		Expect(core.RemoveExpired(now)).To(Equal([]string{"j"}))
		Expect(core.State("j")).To(Equal(cairnbay.WorkflowUnknown))
	})
})

// Guards against tasks that wait for the stop of a start that was never sent.
var _ = DescribeTable("a start that was not sent goes to another worker at once", func(err error) {
	now := sched.Moment{BootTime: time.Second, UnixMS: 1000}
	core := sched.New(config)
	for _, id := range []string{"a", "b"} {
		core.SetWorker(cairnbay.WorkerEntry{ID: id, Capacity: cores(8, 8000)})
		core.HandleHold(now, id, now.BootTime, cairnbay.AgentState{})
	}
	core.Accept(now, singleStep("j", quotes, 1, cores(1, 100), time.Second), false)
	first := core.Plan(now)
	Expect(first).To(HaveLen(1))
	core.HandleStart(now, first[0].Start, err)
	second := core.Plan(now)
	Expect(second).To(HaveLen(1))
	Expect(second[0].Start).NotTo(BeNil())
	Expect(second[0].Start.Target.Worker).NotTo(Equal(first[0].Start.Target.Worker))
},
	Entry("no connection", cairnbay.ErrUnavailable),
	Entry("no room", cairnbay.ErrNoRoom),
	Entry("overloaded", cairnbay.ErrOverloaded),
)
