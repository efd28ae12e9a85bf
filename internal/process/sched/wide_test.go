package sched_test

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

var _ = Describe("a wide gang on partly used workers behind a slow policy service", func() {
	// Each worker has capacity for one member, and the policy allows 35 % of the
	// workers: forty workers hold too few allowed ones for the gang.
	const workers, members = 100, 24
	wideGang := cairnbay.Queue{
		Name: "wide", Priority: 1, MaxAttempts: 4, Stretch: 2.2, TargetLatency: time.Second,
		Advice: &cairnbay.AdviceTerms{Decide: 440 * time.Millisecond, PerWorker: 6 * time.Millisecond, Valid: 2 * time.Second},
	}

	It("starts after one call", func() {
		sim := newSimulation(sched.Config{StopTime: 400 * time.Millisecond, Retention: time.Hour})
		sim.allow = func(_ cairnbay.WorkflowTask, worker string) bool { return xxhash.Sum64String(worker)%100 < 35 }
		for i := range workers {
			sim.addWorker(nthID(cairnbay.Queue{Name: "w"}, i), cores(32, 65_536))
		}
		base := cairnbay.Queue{Name: "base", Priority: 0, MaxAttempts: 4, Stretch: 2, TargetLatency: time.Second}
		for i := range workers {
			sim.submit(singleStep(fmt.Sprintf("base%03d", i), base, 1, cores(20, 1000), time.Minute), false, time.Minute)
		}
		gang := singleStep("gang", wideGang, members, cores(9, 9000), 4*time.Second)
		gang.Steps[0].Gang = true
		sim.submit(gang, false, 4*time.Second)
		oneCall := wideGang.Advice.Decide + workers*wideGang.Advice.PerWorker
		sim.advance(oneCall + 4*time.Second + 300*time.Millisecond)
		Expect(sim.fleet.Broken()).To(BeEmpty())
		Expect(sim.completed).To(HaveKey("gang"))
	})
})
