package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

// services is the queue of tasks that last.
var services = cairnbay.Queue{Name: "services", Prefix: "/services/", Priority: 1, MaxAttempts: 3, Stretch: 2.2, TargetLatency: time.Second}

// lasting returns a job with one task that lasts on each of a number of workers of 16 cores.
func lasting(id, workspace string, tasks int) cairnbay.Workflow {
	job := singleStep(id, services, tasks, cores(12, 100), time.Hour)
	job.Workspace, job.Steps[0].LongRunning, job.Steps[0].MaxPerWorker = workspace, true, 1
	return job
}

var _ = Describe("a task that lasts and waits to run again", func() {
	It("is reported with the cause after 2 s, and each time its wait has doubled", func() {
		core, now := sched.New(config), sched.Moment{BootTime: time.Second, UnixMS: 1000}
		core.SetWorker(cairnbay.WorkerEntry{ID: "a", Address: "a", Capacity: cores(16, 64000)})
		core.HandleHold(now, "a", now.BootTime, cairnbay.AgentState{})
		core.Accept(now, lasting("j", "", 1), false)
		for _, action := range core.Plan(now) {
			core.HandleStart(now, action.Start, nil)
		}
		core.HandleWorkerLoss(now, "a", sched.LossDeparted)
		var waited []time.Duration
		for range 100 {
			core.Tick()
			core.Plan(now)
			for _, wait := range core.TakeRestartWaits() {
				Expect(wait.Reason).To(Equal(sched.RestartWaitRoom))
				Expect(wait.Waiting).To(Equal(1))
				waited = append(waited, wait.Waited)
			}
			now.BootTime += 100 * time.Millisecond
		}
		Expect(waited).To(Equal([]time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second}))
	})
})
