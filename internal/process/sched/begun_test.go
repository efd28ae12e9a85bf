package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

var _ = Describe("a job that began under a former owner", func() {
	It("is still shown as begun while its next tasks wait", func() {
		now := sched.Moment{BootTime: time.Second, UnixMS: 1000}
		core := sched.New(config)
		core.Accept(now, singleStep("j", catalogue, 2, cores(1, 100), time.Second), true)
		core.Replay(now, sched.Record{Kind: sched.RecordDone, Task: task("j", 0), Attempt: formerAttempt})
		Expect(core.State("j")).To(Equal(cairnbay.WorkflowRunning))
		Expect(core.WaitingJobs(catalogue.Path(), catalogue.Name)).To(BeZero())
	})

	It("is still shown as begun after its only attempt failed", func() {
		now := sched.Moment{BootTime: time.Second, UnixMS: 1000}
		core := sched.New(config)
		core.Accept(now, singleStep("j", catalogue, 1, cores(1, 100), time.Second), true)
		core.Replay(now, sched.Record{Kind: sched.RecordFailed, Task: task("j", 0), Attempt: formerAttempt})
		Expect(core.State("j")).To(Equal(cairnbay.WorkflowRunning))
		Expect(core.WaitingJobs(catalogue.Path(), catalogue.Name)).To(BeZero())
	})
})
