package sched

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
)

var _ = Describe("the crashes of silent workers", func() {
	DescribeTable("do not keep jobs in memory beyond their retention", func(inParts bool) {
		const retention = time.Minute
		core := New(Config{Retention: retention})
		now := Moment{BootTime: time.Second}
		size := cairnbay.Resources{MilliCPU: 1000, MemoryMB: 100}
		crashUnder := func(jobs ...string) {
			for _, id := range jobs {
				core.Accept(now, cairnbay.Workflow{ID: id, Steps: []cairnbay.WorkflowStep{{Tasks: 1, Size: size, RunTime: time.Second}}}, false)
			}
			worker := fmt.Sprint("w", now.BootTime)
			core.SetWorker(cairnbay.WorkerEntry{ID: worker, Capacity: size.Times(2)})
			core.HandleHold(now, worker, now.BootTime, cairnbay.AgentState{})
			for _, action := range core.Plan(now) {
				core.HandleStart(now, action.Start, nil)
			}
			if inParts {
				kept := []PlacedAttempt{{cairnbay.WorkflowTask{Job: jobs[0]}, 1}}
				Expect(core.HandlePartialLoss(now, worker, LossSilent, kept).Lost).To(HaveLen(1))
			}
			core.HandleWorkerLoss(now, worker, LossSilent)
			Expect(core.HandleWorkerLoss(now, worker, LossCrashed).Records).To(HaveLen(2))
		}
		crashUnder("cancelled", "waiting")
		shared := core.jobs["waiting"].stageAt(0, 0).tasks[0].crashes
		for _, job := range core.jobs {
			job.unwritten = 0
		}
		core.Cancel(now, "cancelled")
		now.BootTime += retention + time.Second
		Expect(core.RemoveExpired(now)).To(Equal([]string{"cancelled"}))
		Expect(core.crashes).To(HaveLen(1))
		Expect(shared.marks[0].crash.marked).To(HaveLen(1))
		Expect(shared.marks[0].crash.unknownSuspects).To(Equal(1))

		core.Cancel(now, "waiting")
		now.BootTime += retention + time.Second
		Expect(core.RemoveExpired(now)).To(Equal([]string{"waiting"}))
		Expect(core.crashes).To(BeEmpty())
	},
		Entry("for a worker lost as a whole", false),
		Entry("for a worker lost in two parts", true),
	)
})
