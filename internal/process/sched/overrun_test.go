package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

var _ = Describe("a job whose first step ran far longer than declared", func() {
	It("completes in time before lower-priority work, which is in time as well", func() {
		sim := newSimulation(sched.Config{StopTime: 200 * time.Millisecond, Retention: time.Hour})
		sim.addWorker("w", cores(4, 16_000))

		quote := cairnbay.Workflow{ID: "quote", Queue: quotes, Steps: []cairnbay.WorkflowStep{
			{Tasks: 1, Size: cores(4, 1000), RunTime: 700 * time.Millisecond},
			{Tasks: 1, Size: cores(4, 1000), RunTime: 900 * time.Millisecond, After: []int{0}},
		}}
		sim.submit(quote, true, 2700*time.Millisecond, 900*time.Millisecond)
		// Lower-priority work that cannot be preempted waits for the same
		// worker.
		for n := range 3 {
			lowPriority := singleStep(nthID(catalogue, n), catalogue, 1, cores(4, 1000), 3*time.Second)
			lowPriority.Steps[0].Checkpoints = false
			sim.submit(lowPriority, true, 3*time.Second)
		}
		sim.advance(20 * time.Second)
		inTime, _, _ := sim.outcomeShares(quotes.Name)
		Expect(inTime).To(Equal(1.0))
		lowPriorityInTime, _, _ := sim.outcomeShares(catalogue.Name)
		Expect(lowPriorityInTime).To(Equal(1.0))
	})
})
