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
		core.Accept(now, simple("j", quotes, 1, cores(1, 100), time.Second), false)
	})

	It("counts a failed attempt once, however often it is listed", func() {
		for range 3 {
			next := sched.New(config)
			next.Accept(now, simple("j", quotes, 1, cores(1, 100), time.Second), true)
			for attempt := 1; attempt <= 3; attempt++ {
				next.Replay(now, sched.Record{Kind: sched.RecordFailed, Task: task("j", 0), Attempt: attempt})
			}
			next.SetWorker(cairnbay.WorkerEntry{ID: "w", Capacity: cores(8, 8000)})
			result := next.HandleHold(now, "w", now.BootTime, cairnbay.AgentState{
				Ended: []cairnbay.AgentEnd{end(9, task("j", 0), 2, cairnbay.AgentFailed)},
			})
			Expect(result.Records).To(BeEmpty())
			Expect(next.State("j")).NotTo(Equal(cairnbay.WorkflowFailed))
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

	It("takes an end only once", func() {
		state := cairnbay.AgentState{Ended: []cairnbay.AgentEnd{end(1, task("j", 0), 1, cairnbay.AgentDone)}}
		Expect(core.HandleHold(now, "w", now.BootTime, state).Records).To(HaveLen(1))
		Expect(core.HandleHold(now, "w", now.BootTime, state).Records).To(BeEmpty())
	})
})

var _ = Describe("a start without an answer", func() {
	It("is settled by a stop before the task starts elsewhere", func() {
		w := newWorld(config)
		w.addWorker("a", cores(4, 4000))
		w.fleet.Mute("a", true)
		w.submit(simple("j", quotes, 1, cores(4, 100), time.Second), false, time.Second)
		w.fleet.Mute("a", false)
		w.fleet.Cut("a", true)
		w.addWorker("b", cores(4, 4000))
		w.advance(2 * time.Second)
		Expect(w.fleet.Running("b")).To(BeEmpty())
		w.fleet.Cut("a", false)
		w.advance(4 * time.Second)
		Expect(w.completed).To(HaveKey("j"))
		Expect(w.fleet.Broken()).To(BeEmpty())
	})

	It("that arrives after its stop does nothing", func() {
		w := newWorld(config)
		w.addWorker("a", cores(4, 4000))
		w.fleet.Cut("a", true)
		w.submit(simple("j", quotes, 1, cores(4, 100), time.Second), false, time.Second)
		w.fleet.StartLate(w.now+3*time.Second, cairnbay.AgentTarget{Worker: "a"}, cairnbay.AgentStart{
			Task: task("j", 0), Attempt: 1, LeaseEnd: w.now + lease, Token: token,
		})
		w.fleet.Cut("a", false)
		w.addWorker("b", cores(4, 4000))
		w.advance(6 * time.Second)
		Expect(w.completed).To(HaveKey("j"))
		Expect(w.fleet.Broken()).To(BeEmpty())
	})
})

var _ = Describe("gangs", func() {
	gang := func(id string, tasks int) cairnbay.Workflow {
		job := simple(id, meshes, tasks, cores(4, 100), 2*time.Second)
		job.Steps[0].Gang = true
		return job
	}

	It("start whole or not at all", func() {
		w := newWorld(config)
		w.addWorker("a", cores(4, 4000))
		w.submit(gang("g", 2), false, 2*time.Second)
		w.advance(time.Second)
		Expect(w.fleet.Starts()).To(BeZero())
		w.addWorker("b", cores(4, 4000))
		w.advance(3 * time.Second)
		Expect(w.completed).To(HaveKey("g"))
	})

	It("end and start again when a member's worker is lost", func() {
		w := newWorld(config)
		w.addWorker("a", cores(4, 4000))
		w.addWorker("b", cores(4, 4000))
		w.submit(gang("g", 2), false, 2*time.Second)
		w.advance(500 * time.Millisecond)
		w.fleet.Crash("b")
		Expect(w.core.HandleWorkerLoss("b")).To(HaveLen(1))
		w.ids = []string{"a"}
		w.addWorker("c", cores(4, 4000))
		w.advance(5 * time.Second)
		Expect(w.stops[sched.CauseGangIncomplete]).To(Equal(1))
		Expect(w.completed).To(HaveKey("g"))
		Expect(w.fleet.Broken()).To(BeEmpty())
	})
})

var _ = Describe("steps", func() {
	It("start after the steps before them", func() {
		w := newWorld(config)
		w.addWorker("a", cores(8, 8000))
		job := simple("j", quotes, 2, cores(1, 100), time.Second)
		job.Steps = append(job.Steps, cairnbay.WorkflowStep{Tasks: 1, Size: cores(1, 100), RunTime: time.Second, After: []int{0}})
		w.submit(job, false, time.Second, time.Second)
		w.advance(900 * time.Millisecond)
		Expect(w.fleet.Starts()).To(Equal(2))
		w.advance(1500 * time.Millisecond)
		Expect(w.fleet.Starts()).To(Equal(3))
		Expect(w.completed).To(HaveKey("j"))
	})

	It("are asked for before they are ready", func() {
		w := newWorld(config)
		w.addWorker("a", cores(8, 8000))
		queue := quotes
		queue.Advice = &cairnbay.AdviceTerms{Decide: 300 * time.Millisecond, Valid: 2 * time.Second}
		job := simple("j", queue, 1, cores(1, 100), time.Second)
		job.Steps = append(job.Steps, cairnbay.WorkflowStep{Tasks: 1, Size: cores(1, 100), RunTime: time.Second, After: []int{0}})
		w.submit(job, false, time.Second, time.Second)
		w.advance(2500 * time.Millisecond)
		Expect(w.completed).To(HaveKey("j"))
	})
})

var _ = Describe("occurrences", func() {
	It("start at their time and not before", func() {
		w := newWorld(config)
		w.addWorker("a", cores(8, 8000))
		job := simple("j", catalogue, 1, cores(1, 100), 100*time.Millisecond)
		job.Occurrences, job.FirstDueUnixMS, job.IntervalMS = 2, w.moment().UnixMS+1000, 1000
		w.submit(job, false, 100*time.Millisecond)
		w.advance(950 * time.Millisecond)
		Expect(w.fleet.Starts()).To(BeZero())
		w.advance(250 * time.Millisecond)
		Expect(w.fleet.Starts()).To(Equal(1))
		w.advance(1500 * time.Millisecond)
		Expect(w.completed).To(HaveKey("j"))
	})
})

var _ = Describe("placing", func() {
	It("keeps to labels, bounds a worker and kinds", func() {
		w := newWorld(config)
		w.addWorker("a", cores(8, 8000))
		w.core.SetWorker(cairnbay.WorkerEntry{ID: "a", Capacity: cores(8, 8000), Labels: []string{"fast"}})
		w.addWorker("b", cores(8, 8000))
		job := simple("j", quotes, 3, cores(1, 100), 5*time.Second)
		job.Steps[0].Label, job.Steps[0].MaxPerWorker = "fast", 2
		w.submit(job, false, 5*time.Second)
		w.advance(time.Second)
		Expect(w.fleet.Running("a")).To(HaveLen(2))
		Expect(w.fleet.Running("b")).To(BeEmpty())
	})

	It("keeps best-effort tasks away from serving ones", func() {
		w := newWorld(config)
		w.addWorker("a", cores(8, 8000))
		serving := simple("s", quotes, 1, cores(1, 100), time.Second)
		serving.Steps[0].LongRunning, serving.Steps[0].TailTarget = true, 50*time.Millisecond
		w.submit(serving, false, time.Hour)
		filler := simple("f", catalogue, 1, cores(1, 100), time.Second)
		filler.Steps[0].BestEffort = true
		w.submit(filler, false, time.Second)
		w.advance(time.Second)
		Expect(w.fleet.Running("a")).To(Equal([]cairnbay.WorkflowTask{task("s", 0)}))
	})

	It("uses only workers that the policy allows", func() {
		w := newWorld(config)
		w.addWorker("a", cores(8, 8000))
		w.addWorker("b", cores(8, 8000))
		w.allow = func(_ cairnbay.WorkflowTask, worker string) bool { return worker == "b" }
		queue := quotes
		queue.Advice = &cairnbay.AdviceTerms{Decide: 20 * time.Millisecond, Valid: 2 * time.Second}
		w.submit(simple("j", queue, 4, cores(2, 100), time.Second), false, time.Second)
		w.advance(300 * time.Millisecond)
		Expect(w.fleet.Running("a")).To(BeEmpty())
		Expect(w.fleet.Running("b")).To(HaveLen(4))
	})
})

var _ = Describe("a new owner", func() {
	It("starts nothing of a former owner while a worker may still run it", func() {
		w := newWorld(config)
		w.addWorker("a", cores(8, 8000))
		w.submit(simple("j", quotes, 1, cores(1, 100), 3*time.Second), false, 3*time.Second)

		next := sched.New(sched.Config{AttemptBase: 1000, Retention: time.Minute})
		now := w.moment()
		next.SetWorker(cairnbay.WorkerEntry{ID: "a", Capacity: cores(8, 8000)})
		next.SetWorker(cairnbay.WorkerEntry{ID: "b", Capacity: cores(8, 8000)})
		next.Accept(now, w.jobs["j"], true)
		next.BeginRecovery()
		next.HandleHold(now, "b", now.BootTime, cairnbay.AgentState{})
		Expect(next.Plan(now)).To(BeEmpty())

		state, err := w.fleet.Hold(context.Background(), cairnbay.AgentTarget{Worker: "a"}, cairnbay.AgentHold{Token: token + 1})
		Expect(err).NotTo(HaveOccurred())
		next.HandleHold(now, "a", now.BootTime, state)
		next.EndRecovery()
		Expect(next.Plan(now)).To(BeEmpty())
		Expect(next.State("j")).To(Equal(cairnbay.WorkflowRunning))
	})

	It("stops what no job needs", func() {
		next := sched.New(config)
		now := sched.Moment{BootTime: time.Second}
		next.SetWorker(cairnbay.WorkerEntry{ID: "a", Capacity: cores(8, 8000)})
		next.HandleHold(now, "a", now.BootTime, cairnbay.AgentState{
			Running: []cairnbay.AgentTask{{Task: task("gone", 0), Attempt: 3}},
		})
		actions := next.Plan(now)
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].Stop.Cause).To(Equal(sched.CauseOrphan))
	})
})

var _ = Describe("a cancellation", func() {
	It("stops what runs and starts nothing more", func() {
		w := newWorld(config)
		w.addWorker("a", cores(2, 8000))
		w.submit(simple("j", quotes, 4, cores(1, 100), 3*time.Second), false, 3*time.Second)
		w.advance(200 * time.Millisecond)
		Expect(w.core.Cancel(w.moment(), "j")).To(BeTrue())
		w.plan()
		w.advance(time.Second)
		Expect(w.fleet.Running("a")).To(BeEmpty())
		Expect(w.fleet.Starts()).To(Equal(2))
		Expect(w.core.State("j")).To(Equal(cairnbay.WorkflowCancelled))
	})

	It("of an unknown job says so", func() {
		Expect(sched.New(config).Cancel(sched.Moment{}, "x")).To(BeFalse())
	})
})

var _ = Describe("admission", func() {
	It("refuses while no worker is known, and says when to come back", func() {
		verdict := sched.New(config).Admit(sched.Moment{}, simple("j", quotes, 1, cores(1, 1), time.Second))
		Expect(verdict.Accept).To(BeFalse())
		Expect(verdict.Reason).To(Equal(sched.ReasonNoWorkers))
		Expect(verdict.RetryAfter).To(BeNumerically(">", 0))
	})

	It("accepts while the workers have not answered a new owner yet", func() {
		core := sched.New(config)
		core.SetWorker(cairnbay.WorkerEntry{ID: "a", Capacity: cores(8, 8000)})
		Expect(core.Admit(sched.Moment{}, simple("j", quotes, 1, cores(1, 1), time.Second)).Accept).To(BeTrue())
	})

	It("accepts while workers are free", func() {
		w := newWorld(config)
		w.addWorker("a", cores(8, 8000))
		Expect(w.core.Admit(w.moment(), simple("j", quotes, 8, cores(1, 100), time.Second)).Accept).To(BeTrue())
	})
})

var _ = Describe("a worker that leaves", func() {
	leave := func(w *world, id string) {
		w.core.SetWorker(cairnbay.WorkerEntry{ID: id, Address: id, Capacity: cores(8, 8000), Draining: true})
	}

	It("gives up tasks that resume, and keeps those that would lose their work", func() {
		w := newWorld(config)
		w.addWorker("a", cores(8, 8000))
		w.submit(simple("saved", catalogue, 1, cores(1, 100), 5*time.Second), false, 5*time.Second)
		w.submit(simple("plain", quotes, 1, cores(1, 100), 5*time.Second), false, 5*time.Second)
		w.advance(200 * time.Millisecond)
		w.addWorker("b", cores(8, 8000))
		leave(w, "a")
		w.advance(400 * time.Millisecond)
		Expect(w.fleet.Running("a")).To(Equal([]cairnbay.WorkflowTask{task("plain", 0)}))
		Expect(w.fleet.Running("b")).To(Equal([]cairnbay.WorkflowTask{task("saved", 0)}))
	})

	It("gives up tasks that last once they have another place", func() {
		w := newWorld(config)
		w.addWorker("a", cores(8, 8000))
		queue := meshes
		queue.Advice = &cairnbay.AdviceTerms{Decide: 500 * time.Millisecond, Valid: 2 * time.Second}
		lasting := simple("l", queue, 1, cores(1, 100), time.Second)
		lasting.Steps[0].LongRunning = true
		w.submit(lasting, false, time.Hour)
		w.advance(time.Second)
		Expect(w.fleet.Running("a")).To(HaveLen(1))
		leave(w, "a")
		w.advance(time.Second)
		Expect(w.fleet.Running("a")).To(HaveLen(1))
		w.addWorker("b", cores(8, 8000))
		w.advance(1500 * time.Millisecond)
		Expect(w.fleet.Running("b")).To(HaveLen(1))
		Expect(w.fleet.Broken()).To(BeEmpty())
	})
})

var _ = Describe("a task that stands still", func() {
	// state lists one running task at a progress.
	state := func(percent int) cairnbay.AgentState {
		return cairnbay.AgentState{Running: []cairnbay.AgentTask{{Task: task("j", 0), Attempt: 1, Percent: percent}}}
	}
	var (
		core *sched.Core
		now  sched.Moment
	)
	begin := func(change func(step *cairnbay.WorkflowStep)) {
		now = sched.Moment{BootTime: time.Second}
		core = sched.New(config)
		core.SetWorker(cairnbay.WorkerEntry{ID: "a", Capacity: cores(8, 8000)})
		job := simple("j", quotes, 1, cores(1, 100), 10*time.Second)
		change(&job.Steps[0])
		core.Accept(now, job, false)
		core.HandleHold(now, "a", now.BootTime, state(0))
	}
	stops := func(after time.Duration, percent int) (causes []sched.EndCause) {
		now.BootTime += after
		core.HandleHold(now, "a", now.BootTime, state(percent))
		for _, action := range core.Plan(now) {
			if action.Stop != nil {
				causes = append(causes, action.Stop.Cause)
			}
		}
		return causes
	}

	It("is stopped, and not while it makes progress", func() {
		begin(func(*cairnbay.WorkflowStep) {})
		for percent := range 5 {
			Expect(stops(2*time.Second, percent+1)).To(BeEmpty())
		}
		Expect(stops(3*time.Second, 5)).To(Equal([]sched.EndCause{sched.CauseStalled}))
	})

	It("is left alone where it is at work, or has no processors of its own", func() {
		begin(func(step *cairnbay.WorkflowStep) { step.LongRunning = true })
		Expect(stops(time.Second, 100)).To(BeEmpty())
		Expect(stops(time.Minute, 100)).To(BeEmpty())
		begin(func(step *cairnbay.WorkflowStep) { step.BestEffort = true })
		Expect(stops(time.Minute, 0)).To(BeEmpty())
	})
})

var _ = Describe("an ended job", func() {
	It("is kept for the whole retention, also by a new owner", func() {
		now := sched.Moment{BootTime: time.Hour}
		core := sched.New(config)
		core.Accept(now, simple("j", quotes, 1, cores(1, 100), time.Second), true)
		core.Replay(now, sched.Record{Kind: sched.RecordDone, Task: task("j", 0), Attempt: 1})
		Expect(core.RemoveExpired(now)).To(BeEmpty())
		now.BootTime += config.Retention
		Expect(core.RemoveExpired(now)).To(BeEmpty())
		now.BootTime += time.Second
		Expect(core.RemoveExpired(now)).To(Equal([]string{"j"}))
		Expect(core.State("j")).To(Equal(cairnbay.WorkflowUnknown))
	})
})
