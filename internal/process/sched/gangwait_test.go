package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

var _ = Describe("the waiting time of a gang", func() {
	var sim *simulation

	BeforeEach(func() {
		sim = newSimulation(sched.Config{StopTime: 200 * time.Millisecond, Retention: time.Hour})
		for i := range 4 {
			sim.addWorker(nthID(cairnbay.Queue{Name: "w"}, i), cores(32, 65_536))
		}
	})

	submitGang := func(id string, members int) {
		gang := singleStep(id, meshes, members, cores(20, 1000), 2*time.Second)
		gang.Steps[0].Gang = true
		gang.Queue.Advice = &cairnbay.AdviceTerms{Decide: 600 * time.Millisecond, Valid: 2 * time.Second}
		sim.submit(gang, false, 2*time.Second)
	}

	It("is told by reason when the gang starts", func() {
		submitGang("gang", 4)
		sim.advance(time.Second)
		waits := sim.core.TakeGangWaits()
		Expect(waits).To(HaveLen(1))
		Expect(waits[0].Event).To(Equal(sched.GangStarted))
		Expect(waits[0].Members).To(Equal(4))
		Expect(waits[0].Evaluated).To(Equal(4))
		Expect(waits[0].Allowed).To(Equal(4))
		Expect(waits[0].ByReason).To(HaveKeyWithValue(sched.GangWaitDecision, waits[0].Waited))
		Expect(waits[0].Waited).To(BeNumerically("~", 600*time.Millisecond, 100*time.Millisecond))
		Expect(sim.core.TakeGangWaits()).To(BeEmpty())
	})

	It("is told once when the gang is late, and when its job ends without a start", func() {
		submitGang("wide", 5)
		sim.advance(20 * time.Second)
		waits := sim.core.TakeGangWaits()
		Expect(waits).To(HaveLen(1))
		Expect(waits[0].Event).To(Equal(sched.GangLate))
		Expect(waits[0].ByReason[sched.GangWaitWorkers]).To(BeNumerically(">", time.Second))

		sim.core.Cancel(sim.moment(), "wide")
		waits = sim.core.TakeGangWaits()
		Expect(waits).To(HaveLen(1))
		Expect(waits[0].Event).To(Equal(sched.GangNotBegun))
		Expect(waits[0].Waited).To(BeNumerically("~", 20*time.Second, time.Second))
	})
})
