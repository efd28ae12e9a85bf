package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

var _ = Describe("a gang member that waited in vain for the others", func() {
	var (
		core *sched.Core
		now  sched.Moment
	)
	BeforeEach(func() {
		now = sched.Moment{BootTime: time.Second, UnixMS: 1000}
		base := config
		base.AttemptBase = 1000
		core = sched.New(base)
		for _, worker := range []string{"a", "b"} {
			core.SetWorker(cairnbay.WorkerEntry{ID: worker, Capacity: cores(4, 4000)})
			core.HandleHold(now, worker, now.BootTime, cairnbay.AgentState{})
		}
		job := singleStep("g", meshes, 2, cores(4, 100), time.Second)
		job.Steps[0].Gang = true
		core.Accept(now, job, false)
	})
	// causeOf reports the end of member 0 and returns the cause that the core gives.
	causeOf := func(worker string, attempt int) sched.IncompleteCause {
		result := core.HandleHold(now, worker, now.BootTime, cairnbay.AgentState{
			Ended: []cairnbay.AgentEnd{end(1, task("g", 0), attempt, cairnbay.AgentGangIncomplete)},
		})
		Expect(result.Ends).To(HaveLen(1))
		return result.Ends[0].Incomplete
	}

	It("was ordered by a former owner", func() {
		Expect(causeOf("a", 1000)).To(Equal(sched.IncompleteInherited))
	})

	It("is one of a gang whose starts are under way", func() {
		starts := core.Plan(now)
		Expect(starts).To(HaveLen(2))
		for _, member := range starts {
			core.HandleStart(now, member.Start, nil)
		}
		first := starts[0].Start
		Expect(first.Task).To(Equal(task("g", 0)))
		Expect(causeOf(first.Target.Worker, first.Attempt)).To(Equal(sched.IncompleteStarting))
	})

	It("is one that the owner has decided to stop", func() {
		starts := core.Plan(now)
		core.HandleStart(now, starts[0].Start, nil)
		core.HandleStart(now, starts[1].Start, cairnbay.ErrNoRoom)
		Expect(causeOf(starts[0].Start.Target.Worker, starts[0].Start.Attempt)).To(Equal(sched.IncompleteStopping))
	})
})
