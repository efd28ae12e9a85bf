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

const (
	// disturbedFactor and disturbance are the slowdown of a disturbed worker and its
	// length, disturbedShare the share of workers that are disturbed at a time.
	disturbedFactor = 5
	disturbance     = 6 * time.Second
	disturbedShare  = 0.1
	// disturbanceLoads is how long the loads beside disturbances last.
	disturbanceLoads = 20 * time.Second
)

// quotesBesidePatient are interactive jobs, a third of them with speculative steps,
// beside patient work with checkpoints on 480 slots.
func quotesBesidePatient(seed uint64) []load {
	random := rand.New(rand.NewPCG(seed, 8))
	var loads []load
	advice := &cairnbay.AdviceTerms{Decide: 60 * time.Millisecond, PerWorker: 500 * time.Microsecond, Valid: 2 * time.Second}
	for n, at := range poissonArrivals(random, 9, time.Second, disturbanceLoads) {
		runTime := seconds(normal(random, 0.6, 0.2))
		job := singleStep(nthID(quotes, n), quotes, 10, cores(4, 8_000), runTime)
		runTimes := []time.Duration{runTime}
		job.Steps[0].Speculative = n%3 == 0
		if n%2 == 0 {
			second := job.Steps[0]
			second.After = []int{0}
			job.Steps = append(job.Steps, second)
			runTimes = append(runTimes, runTime)
		}
		if n%4 == 1 {
			job.Queue.Advice = advice
		}
		loads = append(loads, load{at, job, runTimes})
	}
	for n, at := range poissonArrivals(random, 2.4, time.Second, disturbanceLoads) {
		runTime := seconds(normal(random, 4, 0.2))
		job := singleStep(nthID(catalogue, n), catalogue, 20, cores(4, 8_000), runTime)
		loads = append(loads, load{at, job, []time.Duration{runTime}})
	}
	return loads
}

// newDisturbedSimulation has 60 workers, of which a tenth are disturbed at any time.
func newDisturbedSimulation(seed uint64, stragglers bool) *simulation {
	const workers = 60
	sim := newSimulation(sched.Config{StopTime: 300 * time.Millisecond, Retention: time.Hour, Learn: sched.LearnUses{Straggler: stragglers}})
	sim.stopTime, sim.holdPeriod, sim.saves = 300*time.Millisecond, 500*time.Millisecond, time.Second
	sim.variation = func(task cairnbay.WorkflowTask) float64 {
		random := rand.New(rand.NewPCG(xxhash.Sum64String(fmt.Sprint(task)), seed))
		return max(1+0.2*random.NormFloat64(), 0.5)
	}
	for i := range workers {
		sim.addWorker(nthID(cairnbay.Queue{Name: "w"}, i), cores(32, 131_072))
	}
	sim.setLanes(4, 2)
	random := rand.New(rand.NewPCG(seed, 9))
	var disturbed []string
	nextAt := 4 * time.Second
	sim.eachStep = func() {
		if sim.now < nextAt {
			return
		}
		nextAt = sim.now + disturbance
		for _, id := range disturbed {
			sim.fleet.Slow(id, 1)
		}
		disturbed = nil
		for _, i := range random.Perm(workers)[:int(disturbedShare*workers)] {
			disturbed = append(disturbed, sim.ids[i])
			sim.fleet.Slow(sim.ids[i], disturbedFactor)
		}
	}
	return sim
}

func (sim *simulation) discardedBySlowness() time.Duration {
	return sim.discarded[sched.CauseStraggling] + sim.discarded[sched.CauseDone]
}

// watchDiscards follows the largest share of the running time of ten seconds that moves and
// copies discard. Tasks are of one size.
func (sim *simulation) watchDiscards() *float64 {
	const window = 10
	type totals struct{ ran, discarded time.Duration }
	var history []totals
	worst, inner := new(float64), sim.eachStep
	sim.eachStep = func() {
		inner()
		if sim.now%time.Second != 0 {
			return
		}
		history = append(history, totals{sim.ran, sim.discardedBySlowness()})
		if len(history) > window && sim.now <= disturbanceLoads {
			last, first := history[len(history)-1], history[len(history)-1-window]
			*worst = max(*worst, (last.discarded-first.discarded).Seconds()/(last.ran-first.ran).Seconds())
		}
	}
	return worst
}

var _ = Describe("interactive jobs beside patient work, with a tenth of the workers slow for some seconds", func() {
	for _, seed := range []uint64{1, 2} {
		It(fmt.Sprintf("are in time more often if stragglers are moved or copied, within the bound of discarded work (seed %d)", seed), func() {
			var inTime, patient [2]float64
			for i, stragglers := range []bool{false, true} {
				sim := newDisturbedSimulation(seed, stragglers)
				worst := sim.watchDiscards()
				sim.replay(quotesBesidePatient(seed), false, 20*time.Second)
				Expect(sim.fleet.Broken()).To(BeEmpty())
				inTime[i], _, _ = sim.outcomeShares(quotes.Name)
				patient[i], _, _ = sim.outcomeShares(catalogue.Name)
				discarded := sim.discardedBySlowness()
				AddReportEntry("in time", fmt.Sprintf("stragglers %v: quotes %.3f, catalogue %.3f, stops %v, discarded %.4f, at most %.4f in ten seconds",
					stragglers, inTime[i], patient[i], sim.stops, discarded.Seconds()/sim.ran.Seconds(), *worst))
				Expect(*worst).To(BeNumerically("<=", 0.05))
			}
			Expect(inTime[1]).To(BeNumerically(">", inTime[0]+0.05))
			Expect(patient[1]).To(BeNumerically(">=", patient[0]-0.02))
		})
	}
})
