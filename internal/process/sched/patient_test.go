package sched_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

var _ = Describe("a gang that is late while patient work fills the workers", func() {
	const workers, slotsPerWorker = 4, 8
	gangQueue := cairnbay.Queue{Name: "gangs", Priority: 1, MaxAttempts: 4, Stretch: 2.2, TargetLatency: time.Second}
	patientQueue := cairnbay.Queue{Name: "patient", Priority: 2, MaxAttempts: 4, Stretch: 4, TargetLatency: 3 * time.Second}

	It("completes while its completion has a value, and the patient work is in time", func() {
		sim := newSimulation(sched.Config{StopTime: 400 * time.Millisecond, Retention: time.Hour})
		for i := range workers {
			sim.addWorker(nthID(cairnbay.Queue{Name: "w"}, i), cores(32, 65_536))
		}
		// Long tasks occupy the workers until the gang is late.
		base := cairnbay.Queue{Name: "base", Priority: 0, MaxAttempts: 4, Stretch: 2, TargetLatency: time.Second}
		sim.submit(singleStep("base", base, workers, cores(30, 1000), 8*time.Second), false, 8*time.Second)
		gang := singleStep("gang", gangQueue, workers, cores(16, 1000), 2*time.Second)
		gang.Steps[0].Gang = true
		sim.submit(gang, false, 2*time.Second)
		submittedAt := sim.now
		// The patient work alone takes five sixths of the workers.
		var loads []load
		for n := range 40 {
			job := singleStep(fmt.Sprintf("patient%02d", n), patientQueue, slotsPerWorker, cores(4, 1000), 2*time.Second)
			job.Steps[0].Checkpoints = false
			loads = append(loads, load{sim.now + 5*time.Second + time.Duration(n)*600*time.Millisecond, job, []time.Duration{2 * time.Second}})
		}
		sim.replay(loads, false, 15*time.Second)
		Expect(sim.fleet.Broken()).To(BeEmpty())
		Expect(sim.completed["gang"] - submittedAt).To(BeNumerically("<", 3*sched.LatencyObjective(gangQueue, 2*time.Second)))
		inTime, _, _ := sim.outcomeShares(patientQueue.Name)
		Expect(inTime).To(BeNumerically(">=", 0.95))
	})
})
