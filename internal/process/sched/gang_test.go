package sched_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

// wideGangLoads is half of the accelerator class of the users' load sheets
// after growth, close to its capacity: gangs of about five tasks with 2 to 8
// accelerators each, wide jobs of tasks with one accelerator, and a burst of
// gangs. Declared run times are rough.
func wideGangLoads(seed uint64) []load {
	random := rand.New(rand.NewPCG(seed, 7))
	var loads []load
	addGangs := func(perSecond float64, from, until time.Duration) {
		for _, at := range poissonArrivals(random, perSecond, from, until) {
			runTime := seconds(normal(random, 3.6, 0.4))
			size := cairnbay.Resources{MilliCPU: 15_000, MemoryMB: 20_000, Accelerators: []int64{2, 4, 8, 8}[random.IntN(4)]}
			job := singleStep(nthID(meshes, len(loads)), meshes, max(1, int(normal(random, 4, 0.5))), size, seconds(normal(random, runTime.Seconds(), 0.2)))
			job.Steps[0].Gang = true
			job.Queue.Advice = &cairnbay.AdviceTerms{Decide: 560 * time.Millisecond, PerWorker: 8 * time.Millisecond, Valid: 2 * time.Second}
			loads = append(loads, load{at, job, []time.Duration{runTime}})
		}
	}
	addGangs(2.23, time.Second, 18*time.Second)
	addGangs(2.23*0.8, 8*time.Second, 12*time.Second)
	for _, at := range poissonArrivals(random, 2.52, time.Second, 18*time.Second) {
		runTime := seconds(normal(random, 3.8, 0.4))
		job := singleStep(nthID(models, len(loads)), models, max(1, int(normal(random, 12, 0.6))),
			cairnbay.Resources{MilliCPU: 2_800, MemoryMB: 6_000, Accelerators: 1}, seconds(normal(random, runTime.Seconds(), 0.5)))
		job.Queue.Advice = &cairnbay.AdviceTerms{Decide: 150 * time.Millisecond, PerWorker: 2 * time.Millisecond, Valid: 2 * time.Second}
		loads = append(loads, load{at, job, []time.Duration{runTime}})
	}
	return loads
}

// newLargeAcceleratorSimulation has 49 workers. The policy allows gangs on 30 %
// of them and single tasks on 45 %.
func newLargeAcceleratorSimulation() *simulation {
	sim := newSimulation(sched.Config{StopTime: 400 * time.Millisecond, Retention: time.Hour})
	sim.allow = func(step cairnbay.WorkflowTask, worker string) bool {
		allowedShare := 0.45
		if sim.jobs[step.Job].Queue.Name == meshes.Name {
			allowedShare = 0.3
		}
		return float64(xxhash.Sum64String(step.Job+worker)%1000) < 1000*allowedShare
	}
	for i := range 49 {
		sim.addWorker(nthID(cairnbay.Queue{Name: "w"}, i), cairnbay.Resources{MilliCPU: 32_000, MemoryMB: 128_000, Accelerators: 8})
	}
	return sim
}

var _ = Describe("wide gangs on a class that is nearly full", func() {
	// A limited policy service must cost gangs little credit against one that
	// answers any number of calls at once.
	const minCreditShare = 0.9

	for _, seed := range []uint64{1} {
		It(fmt.Sprintf("lose little credit to the limits of the policy service (seed %d)", seed), func() {
			unlimited := newLargeAcceleratorSimulation()
			loads := wideGangLoads(seed)
			for i := range loads {
				loads[i].job.Queue.Advice = &cairnbay.AdviceTerms{Decide: time.Millisecond, Valid: 2 * time.Second}
			}
			unlimited.replay(loads, true, 20*time.Second)
			sim := newLargeAcceleratorSimulation()
			sim.setLanes(4, 10)
			sim.replay(wideGangLoads(seed), true, 20*time.Second)
			AddReportEntry("credit of gangs and single tasks", fmt.Sprintf("%.3f %.3f, without limits %.3f %.3f, stops %v",
				sim.credit(meshes.Name), sim.credit(models.Name), unlimited.credit(meshes.Name), unlimited.credit(models.Name), sim.stops))
			Expect(sim.fleet.Broken()).To(BeEmpty())
			Expect(sim.credit(meshes.Name)).To(BeNumerically(">", minCreditShare*unlimited.credit(meshes.Name)))
			Expect(sim.credit(models.Name)).To(BeNumerically(">", minCreditShare*unlimited.credit(models.Name)))
		})
	}
})
