package sched_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

// The class of the heterogeneous load: a quarter of the workers runs at 0.55 and the rest
// at 1.2 times the usual speed.
const (
	speedWorkers = 48
	workerCores  = 32
)

func twoSpeeds(worker string) float64 {
	if xxhash.Sum64String(worker)%4 == 0 {
		return 1 / 0.55
	}
	return 1 / 1.2
}

func sameSpeed(string) float64 { return 1 }

// newSpeedSimulation has workers of the given slowness, and a policy service that allows
// 30 to 70 % of them for a step.
func newSpeedSimulation(uses sched.LearnUses, slowness func(string) float64) *simulation {
	sim := newSimulation(sched.Config{StopTime: 200 * time.Millisecond, Retention: time.Hour, Learn: uses})
	sim.slowness, sim.noise = slowness, 0.2
	sim.allow = func(step cairnbay.WorkflowTask, worker string) bool {
		return xxhash.Sum64String(step.Job+worker)%100 < 30+xxhash.Sum64String(step.Job)%41
	}
	for i := range speedWorkers {
		sim.addWorker(nthID(cairnbay.Queue{Name: "w"}, i), cores(workerCores, 131_072))
	}
	return sim
}

// speedLoad offers factor times what the class can do: interactive jobs of one or two
// steps of ten short tasks, latency-tolerant jobs of two wide steps, and gangs on whole
// workers. Declared run times are off by up to 2.5 per job.
func speedLoad(seed uint64, factor float64) []load {
	random := rand.New(rand.NewPCG(seed, 11))
	capacity := factor * speedWorkers * workerCores
	var loads []load
	add := func(queue cairnbay.Queue, share, coreSeconds float64, steps func() (int, int, float64, time.Duration), gang bool, terms *cairnbay.AdviceTerms) {
		for _, at := range poissonArrivals(random, share*capacity/coreSeconds, time.Second, 21*time.Second) {
			count, tasks, size, runTime := steps()
			off := math.Exp(math.Log(2.5) * (2*random.Float64() - 1))
			job := cairnbay.Workflow{ID: nthID(queue, len(loads)), Queue: queue}
			job.Queue.Advice = terms
			var runTimes []time.Duration
			for step := range count {
				spec := cairnbay.WorkflowStep{
					Tasks: tasks, Size: cores(size, 4000), RunTime: time.Duration(float64(runTime) * off),
					Checkpoints: queue.Priority > 0 && !gang, Gang: gang,
				}
				if step > 0 {
					spec.After = []int{step - 1}
				}
				job.Steps = append(job.Steps, spec)
				runTimes = append(runTimes, runTime)
			}
			loads = append(loads, load{at, job, runTimes})
		}
	}
	add(quotes, 0.3, 27, func() (int, int, float64, time.Duration) {
		return 1 + random.IntN(2), 10, 3, seconds(normal(random, 0.6, 0.15))
	}, false, &cairnbay.AdviceTerms{Decide: 20 * time.Millisecond, PerWorker: time.Millisecond, Valid: 2 * time.Second})
	add(catalogue, 0.35, 960, func() (int, int, float64, time.Duration) {
		return 2, 18 + random.IntN(5), 6, seconds(normal(random, 4, 0.1))
	}, false, &cairnbay.AdviceTerms{Decide: 150 * time.Millisecond, PerWorker: 2 * time.Millisecond, Valid: 2 * time.Second})
	add(meshes, 0.2, 512, func() (int, int, float64, time.Duration) {
		return 1, 4, workerCores, seconds(normal(random, 4, 0.1))
	}, true, &cairnbay.AdviceTerms{Decide: 150 * time.Millisecond, PerWorker: 2 * time.Millisecond, Valid: 2 * time.Second})
	return loads
}

// speedSeeds is the number of seeds over which a load is averaged.
const speedSeeds = 3

// averageCredit replays a load and returns the mean credit and share in time of each queue.
func averageCredit(factor float64, uses sched.LearnUses) (credit, inTime map[string]float64) {
	credit, inTime = make(map[string]float64), make(map[string]float64)
	sims := inParallel(speedSeeds, func(index int) *simulation {
		sim := newSpeedSimulation(uses, twoSpeeds)
		sim.replay(speedLoad(uint64(index+1), factor), true, 30*time.Second)
		return sim
	})
	for _, sim := range sims {
		Expect(sim.fleet.Broken()).To(BeEmpty())
		for _, queue := range []cairnbay.Queue{quotes, catalogue, meshes} {
			share, _, _ := sim.outcomeShares(queue.Name)
			inTime[queue.Name] += share / speedSeeds
			credit[queue.Name] += sim.credit(queue.Name) / speedSeeds
		}
	}
	return credit, inTime
}

// placeTrace replays a load and returns its starts in order.
func placeTrace(uses sched.LearnUses, slowness func(string) float64) []string {
	return startTrace(newSpeedSimulation(uses, slowness))
}

func startTrace(sim *simulation) (trace []string) {
	sim.onStart = func(start *sched.StartAction) {
		trace = append(trace, fmt.Sprint(sim.now, start.Task, start.Target.Worker, start.UsualWorker))
	}
	sim.replay(speedLoad(1, 1), true, 10*time.Second)
	return trace
}

var _ = Describe("a class of fast and slow workers", func() {
	// Guards against interactive jobs that are late because of one task on a slow worker.
	for _, factor := range []float64{0.7, 1, 1.3} {
		It(fmt.Sprintf("serves interactive jobs on the fast ones (%.1f times the capacity)", factor), func() {
			others := sched.LearnUses{Order: true, Reserve: true, Admit: true}
			before, inTimeBefore := averageCredit(factor, others)
			after, inTimeAfter := averageCredit(factor, sched.AllLearnUses)
			AddReportEntry("in time", fmt.Sprintf("without %v, with %v", inTimeBefore, inTimeAfter))
			Expect(inTimeBefore[quotes.Name]).To(BeNumerically("<", 0.6))
			Expect(inTimeAfter[quotes.Name]).To(BeNumerically(">", 0.85))
			// Three seeds have about 60 latency-tolerant jobs and 40 gangs, of which four are a
			// tenth.
			Expect(after[meshes.Name]).To(BeNumerically(">=", before[meshes.Name]-0.1))
			Expect(after[catalogue.Name]).To(BeNumerically(">=", before[catalogue.Name]-0.05))
		})
	}

	It("is placed as before where all workers are alike", func() {
		// Guards against placement by noise: run times of one step differ by 20 %.
		Expect(placeTrace(sched.LearnUses{Place: true}, sameSpeed)).To(Equal(placeTrace(sched.LearnUses{}, sameSpeed)))
	})

	It("is placed as before while the owner is hurried", func() {
		// Guards against an owner that spends processor time on better placement while it
		// refuses jobs because it is late.
		sim := newSpeedSimulation(sched.LearnUses{Place: true, Reserve: true, Admit: true}, twoSpeeds)
		sim.core.SetHurried(true)
		Expect(startTrace(sim)).To(Equal(placeTrace(sched.LearnUses{}, twoSpeeds)))
	})
})

// newTwoSpeedSimulation has eight workers with room for one task each, of which the first
// four take twice as long, and a core that knows them.
func newTwoSpeedSimulation(uses sched.LearnUses) *simulation {
	sim := newSimulation(sched.Config{StopTime: 200 * time.Millisecond, Retention: time.Hour, Learn: uses})
	disturbed := 1.0
	sim.slowness = func(worker string) float64 {
		switch {
		case worker == "w007":
			return disturbed
		case worker < "w004":
			return 2
		}
		return 1
	}
	sim.disturb = func(factor float64) { disturbed = factor }
	for i := range 8 {
		sim.addWorker(nthID(cairnbay.Queue{Name: "w"}, i), cores(8, 8000))
	}
	for n := range 12 {
		sim.submit(singleStep(fmt.Sprint("train", n), models, 8, cores(8, 1000), time.Second), false, time.Second)
		sim.advance(2200 * time.Millisecond)
	}
	return sim
}

var _ = Describe("an urgent task while only slow workers are free", func() {
	DescribeTable("starts where it ends first", func(busy time.Duration, uses sched.LearnUses, onFast bool) {
		// Guards against tasks that wait for a fast worker though a slow one finishes sooner.
		sim := newTwoSpeedSimulation(uses)
		sim.submit(singleStep("all", quotes, 8, cores(8, 1000), time.Second), false, time.Second)
		sim.advance(1100 * time.Millisecond)
		sim.submit(singleStep("fast", quotes, 4, cores(8, 1000), busy), false, busy)
		sim.advance(time.Second)
		var started time.Duration
		worker := ""
		sim.onStart = func(start *sched.StartAction) { started, worker = sim.now, start.Target.Worker }
		submitted := sim.now
		sim.submit(singleStep("urgent", quotes, 1, cores(8, 1000), 600*time.Millisecond), false, 600*time.Millisecond)
		sim.advance(time.Second)
		Expect(worker >= "w004").To(Equal(onFast), worker)
		Expect(started - submitted).To(BeNumerically("<", 500*time.Millisecond))
	},
		Entry("on a fast one that is free soon", 1300*time.Millisecond, sched.LearnUses{Place: true, Order: true}, true),
		Entry("on a slow one at once", 3*time.Second, sched.LearnUses{Place: true, Order: true}, false),
		Entry("on a slow one without learned speeds", 1300*time.Millisecond, sched.LearnUses{Order: true}, false),
	)
})

var _ = Describe("a worker that is five times slower for 6 s", func() {
	// Guards against interactive tasks on it for all that time, and against a worker that
	// stays without work afterwards.
	It("gets few interactive tasks meanwhile, and as many after it as before", func() {
		sim := newTwoSpeedSimulation(sched.LearnUses{Place: true, Order: true})
		count := 0
		sim.onStart = func(start *sched.StartAction) {
			if start.Target.Worker == "w007" {
				count++
			}
		}
		submit := func(phase string, seconds int) (starts int) {
			count = 0
			for n := range seconds {
				sim.submit(singleStep(fmt.Sprint(phase, n), quotes, 4, cores(8, 1000), 600*time.Millisecond), false, 600*time.Millisecond)
				sim.advance(time.Second)
			}
			return count
		}
		before := submit("before", 12)
		sim.disturb(5)
		during := submit("during", 6)
		sim.disturb(1)
		submit("recovering", 6)
		after := submit("after", 12)
		AddReportEntry("starts", fmt.Sprint(before, during, after))
		Expect(before).To(BeNumerically(">=", 10))
		Expect(after).To(BeNumerically(">=", 10))
		Expect(during).To(BeNumerically("<=", 2))
	})
})
