package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

var _ = Describe("a task without progress", func() {
	var (
		core *sched.Core
		now  sched.Moment
	)
	// state lists one running task with its progress.
	state := func(percent int) cairnbay.AgentState {
		return cairnbay.AgentState{
			Clock: now.BootTime, Running: []cairnbay.AgentTask{{Task: task("j", 0), Attempt: 1, Percent: percent}},
		}
	}
	setUp := func(change func(step *cairnbay.WorkflowStep)) {
		now = sched.Moment{BootTime: time.Second}
		core = sched.New(config)
		core.SetWorker(cairnbay.WorkerEntry{ID: "a", Capacity: cores(8, 8000)})
		job := singleStep("j", quotes, 1, cores(1, 100), 10*time.Second)
		change(&job.Steps[0])
		core.Accept(now, job, false)
		core.HandleHold(now, "a", now.BootTime, state(0))
	}
	handle := func(sent time.Duration, state cairnbay.AgentState) (causes []sched.EndCause) {
		core.HandleHold(now, "a", sent, state)
		for _, action := range core.Plan(now) {
			if action.Stop != nil {
				causes = append(causes, action.Stop.Cause)
			}
		}
		return causes
	}
	stopCauses := func(after time.Duration, percent int) (causes []sched.EndCause) {
		now.BootTime += after
		return handle(now.BootTime, state(percent))
	}

	It("is stopped, but not while it makes progress", func() {
		setUp(func(*cairnbay.WorkflowStep) {})
		for percent := range 5 {
			Expect(stopCauses(2*time.Second, percent+1)).To(BeEmpty())
		}
		Expect(stopCauses(3*time.Second, 5)).To(Equal([]sched.EndCause{sched.CauseStalled}))
	})

	// Guards against tasks that are stopped because their owner was paused.
	It("is left running if the report without progress is older than the pause of its owner", func() {
		setUp(func(*cairnbay.WorkflowStep) {})
		Expect(stopCauses(time.Second, 10)).To(BeEmpty())
		now.BootTime += 200 * time.Millisecond
		sent, old := now.BootTime, state(10)
		now.BootTime += 5 * time.Second
		core.HandleAnswer("a", now.BootTime)
		Expect(handle(sent, old)).To(BeEmpty())
		Expect(stopCauses(0, 60)).To(BeEmpty())
		Expect(stopCauses(3*time.Second, 60)).To(Equal([]sched.EndCause{sched.CauseStalled}))
	})

	It("is left running if it has started up or is best-effort", func() {
		setUp(func(step *cairnbay.WorkflowStep) { step.LongRunning = true })
		Expect(stopCauses(time.Second, 100)).To(BeEmpty())
		Expect(stopCauses(time.Minute, 100)).To(BeEmpty())
		setUp(func(step *cairnbay.WorkflowStep) { step.BestEffort = true })
		Expect(stopCauses(time.Minute, 0)).To(BeEmpty())
	})
})
