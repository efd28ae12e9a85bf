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

// Gangs of up to 26 tasks on 308 workers, of which the policy allows 30 % and most are
// in use: decisions on 100 workers take 1.5 s, and a gang can wait for less than 8 s.
var _ = Describe("a wide gang in a class of hundreds of workers", func() {
	const workers = 308
	plan := func(tasks, lanes int) (named [][]string) {
		core := sched.New(config)
		now := sched.Moment{BootTime: time.Second, UnixMS: 1000}
		for i := range workers {
			id := nthID(cairnbay.Queue{Name: "w"}, i)
			core.SetWorker(cairnbay.WorkerEntry{ID: id, Capacity: cores(64, 128_000)})
			core.HandleHold(now, id, now.BootTime, cairnbay.AgentState{})
		}
		gang := singleStep("g", meshes, tasks, cores(31, 81_000), 5600*time.Millisecond)
		gang.Steps[0].Gang = true
		gang.Queue.Advice = &cairnbay.AdviceTerms{Decide: 637 * time.Millisecond, PerWorker: 9 * time.Millisecond, Valid: 2 * time.Second}
		core.SetAdviceLimits(1, lanes)
		core.Accept(now, gang, false)
		for _, action := range core.Plan(now) {
			if action.Advise != nil {
				named = append(named, action.Advise.Workers)
			}
		}
		return named
	}

	It("asks about enough workers for all its members at once", func() {
		seen := make(map[string]bool)
		calls := plan(20, 88)
		Expect(calls).To(HaveLen(4))
		for _, workers := range calls {
			Expect(len(workers)).To(BeNumerically("<=", 100))
			for _, worker := range workers {
				Expect(seen[worker]).To(BeFalse())
				seen[worker] = true
			}
		}
		Expect(seen).To(HaveLen(workers))
	})

	It("makes one call while the policy service has little capacity, as a narrow one does", func() {
		Expect(plan(20, 2)).To(HaveLen(1))
		Expect(plan(3, 88)).To(HaveLen(1))
	})
})
