package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/fake/advice"
	"cairnbay/internal/process/sched"
)

// ticketTerms are those of the queues in the specs on tickets.
var ticketTerms = cairnbay.AdviceTerms{Decide: 20 * time.Millisecond, Valid: 1500 * time.Millisecond}

// newTicketSimulation has four workers that check tickets, of which two are permitted.
func newTicketSimulation() *simulation {
	sim := newSimulation(sched.Config{StopTime: 200 * time.Millisecond, Retention: time.Hour})
	sim.policy = advice.New(advice.Config{Now: func() time.Duration { return sim.now }, Valid: ticketTerms.Valid})
	sim.allow = func(_ cairnbay.WorkflowTask, worker string) bool { return worker == "w0" || worker == "w1" }
	for _, id := range []string{"w0", "w1", "w2", "w3"} {
		sim.addWorker(id, cores(4, 4000))
	}
	return sim
}

var _ = Describe("steps whose tickets are refused", func() {
	var sim *simulation
	late := time.Duration(0)

	BeforeEach(func() {
		sim = newTicketSimulation()
		sim.transit = func() time.Duration { return late }
	})

	// Guards against jobs that wait for ever beside free workers: a refused ticket took its
	// worker away from the step.
	DescribeTable("start again once tickets arrive in time",
		func(prepare func(job *cairnbay.Workflow)) {
			late = ticketTerms.Valid + 100*time.Millisecond
			job := singleStep("j", meshes, 2, cores(4, 1000), 2*time.Second)
			job.Queue.Advice = &ticketTerms
			prepare(&job)
			sim.submit(job, false, 2*time.Second)
			sim.advance(6 * time.Second)
			Expect(sim.fleet.Starts()).To(BeZero())
			Expect(sim.policy.Counts().Refusals).To(BeNumerically(">=", 2))

			late = 0
			sim.advance(3 * time.Second)
			Expect(sim.fleet.Starts()).To(Equal(2))
			Expect(sim.fleet.Broken()).To(BeEmpty())
		},
		Entry("of separate tasks", func(*cairnbay.Workflow) {}),
		Entry("of tasks that last", func(job *cairnbay.Workflow) { job.Steps[0].LongRunning = true }),
		Entry("of a gang", func(job *cairnbay.Workflow) { job.Steps[0].Gang = true }),
	)

	// Guards against calls without a pause, which the service does not abort.
	DescribeTable("are asked about with growing pauses",
		func(failure error) {
			sim.policy = advice.New(advice.Config{Now: func() time.Duration { return sim.now }})
			job := singleStep("j", meshes, 2, cores(4, 1000), 2*time.Second)
			job.Queue.Advice = &ticketTerms
			sim.submit(job, false, 2*time.Second)
			sim.advance(100 * time.Millisecond)
			sim.adviceFails = failure
			sim.advance(10 * time.Second)
			Expect(sim.fleet.Starts()).To(BeZero())
			Expect(sim.adviceCount).To(BeNumerically(">", 8))
			Expect(sim.adviceCount).To(BeNumerically("<", 20))
		},
		Entry("while workers refuse tickets that are new", nil),
		Entry("while calls fail", cairnbay.ErrRateLimited),
	)

	// Guards against workers that are excluded for good because the service did not know them.
	It("are asked about again while no worker is allowed, less and less often", func() {
		known := false
		sim.allow = func(cairnbay.WorkflowTask, string) bool { return known }
		job := singleStep("j", meshes, 2, cores(4, 1000), 2*time.Second)
		job.Queue.Advice = &ticketTerms
		sim.submit(job, false, 2*time.Second)
		sim.advance(60 * time.Second)
		Expect(sim.policy.Counts().Calls).To(BeNumerically("~", 5, 1))
		known = true
		sim.advance(40 * time.Second)
		Expect(sim.fleet.Starts()).To(Equal(2))
	})

	It("are reported with what they wait for", func() {
		sim.allow = func(cairnbay.WorkflowTask, string) bool { return false }
		job := singleStep("j", meshes, 1, cores(1, 1000), 2*time.Second)
		job.Queue.Advice = &ticketTerms
		sim.submit(job, false, 2*time.Second)
		sim.advance(5 * time.Second)
		waits := sim.core.TakeAdviceWaits()
		Expect(waits).To(HaveLen(2))
		Expect(waits[0].Reason).To(Equal(sched.AdviceWaitWorkers))
		Expect(waits[0].Evaluated).To(Equal(4))
		Expect(waits[0].Permitted).To(BeZero())
		Expect(waits[1].Waited).To(BeNumerically("~", 2*waits[0].Waited, 200*time.Millisecond))
		Expect(sim.core.WaitingSteps()).To(HaveKeyWithValue(sched.AdviceWaitWorkers, 1))
	})
})
