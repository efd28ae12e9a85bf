package sched_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

// overloadedMeshes is more work than 308 workers can do: gangs of up to 26 members, of
// which a worker has memory for one, and wide jobs of lower priority. Declared run times
// are off by up to 1.9 times.
func overloadedMeshes(seed uint64) []load {
	random := rand.New(rand.NewPCG(seed, 5))
	logNormal := func(mean, deviation, most float64) float64 {
		variance := math.Log(1 + deviation*deviation)
		return min(mean*math.Exp(math.Sqrt(variance)*random.NormFloat64()-variance/2), most)
	}
	var loads []load
	add := func(queue cairnbay.Queue, perSecond float64, job func(id string) (cairnbay.Workflow, time.Duration)) {
		for _, at := range poissonArrivals(random, perSecond, time.Second, 25*time.Second) {
			workflow, runTime := job(nthID(queue, len(loads)))
			workflow.Steps[0].RunTime = seconds(runTime.Seconds() * math.Exp((2*random.Float64()-1)*math.Log(1.9)))
			loads = append(loads, load{at, workflow, []time.Duration{runTime}})
		}
	}
	add(meshes, 10.4, func(id string) (cairnbay.Workflow, time.Duration) {
		runTime := seconds(logNormal(5.6, 0.5, 14))
		size := cairnbay.Resources{MilliCPU: 31_000, MemoryMB: 81_000, Accelerators: []int64{2, 4, 8, 8}[random.IntN(4)]}
		gang := singleStep(id, meshes, max(int(math.Round(logNormal(5.1, 0.6, 26))), 1), size, 0)
		gang.Steps[0].Gang = true
		gang.Queue.Advice = &cairnbay.AdviceTerms{Decide: 637 * time.Millisecond, PerWorker: 9100 * time.Microsecond, Valid: 2 * time.Second}
		return gang, runTime
	})
	add(models, 9.5, func(id string) (cairnbay.Workflow, time.Duration) {
		runTime := seconds(logNormal(3.8, 0.5, 9.4))
		size := cairnbay.Resources{MilliCPU: 5_600, MemoryMB: 15_000, Accelerators: 1}
		job := singleStep(id, models, max(int(math.Round(logNormal(26, 0.6, 130))), 1), size, 0)
		job.Queue.Advice = &cairnbay.AdviceTerms{Decide: 208 * time.Millisecond, PerWorker: 2990 * time.Microsecond, Valid: 2 * time.Second}
		return job, runTime
	})
	return loads
}

// servedShare is the share of jobs that completed within three times their objective.
func (sim *simulation) servedShare(loads []load) float64 {
	served := 0.0
	for _, load := range loads {
		objective := sched.LatencyObjective(load.job.Queue, load.runTimes[0])
		if completed, ok := sim.completed[load.job.ID]; ok && completed-sim.submitted[load.job.ID] <= 3*objective {
			served++
		}
	}
	return served / float64(len(loads))
}

var _ = Describe("gangs on a class of hundreds of workers with too much work", func() {
	const workers = 308

	It("are served whatever their size: of the largest tenth at least half as often as of all", func() {
		loads := overloadedMeshes(8)
		sim := newSimulation(sched.Config{StopTime: 400 * time.Millisecond, Retention: time.Hour})
		sim.allow = func(step cairnbay.WorkflowTask, worker string) bool {
			allowedShare := uint64(45)
			if sim.jobs[step.Job].Queue.Name == meshes.Name {
				allowedShare = 30
			}
			return xxhash.Sum64String(step.Job+worker)%100 < allowedShare
		}
		sim.setLanes(58, 88)
		sim.holdPeriod = time.Second
		for i := range workers {
			sim.addWorker(nthID(cairnbay.Queue{Name: "w"}, i), cairnbay.Resources{MilliCPU: 64_000, MemoryMB: 131_072, Accelerators: 8})
		}
		sim.replay(loads, true, 14*time.Second)
		Expect(sim.fleet.Broken()).To(BeEmpty())

		gangs := slices.DeleteFunc(loads, func(load load) bool { return !load.job.Steps[0].Gang })
		slices.SortFunc(gangs, func(a, b load) int {
			work := func(load load) time.Duration { return time.Duration(load.job.Steps[0].Tasks) * load.runTimes[0] }
			return cmp.Compare(work(b), work(a))
		})
		all, largest := sim.servedShare(gangs), sim.servedShare(gangs[:len(gangs)/10])
		AddReportEntry("served", fmt.Sprintf("of all %.2f, of the largest tenth %.2f", all, largest))
		Expect(largest).To(BeNumerically(">=", all/2))
	})
})

var _ = Describe("a gang that asks for tickets of the workers on which it can start soon", func() {
	// The policy allows the gang on three of six workers, on one of which a task still runs
	// when it asks for tickets. Small tasks that come meanwhile fit on all workers.
	It("keeps these workers until the call ends", func() {
		sim := newSimulation(sched.Config{StopTime: 200 * time.Millisecond, Retention: time.Hour})
		for i := range 6 {
			sim.addWorker(nthID(cairnbay.Queue{Name: "w"}, i), cores(32, 65_536))
		}
		sim.allow = func(step cairnbay.WorkflowTask, worker string) bool { return worker < "w003" }
		calls := 0
		sim.trace = func(actions []sched.Action) {
			for _, action := range actions {
				if action.Advise != nil && sim.completed["gang"] == 0 {
					calls++
				}
			}
		}
		small := cairnbay.Queue{Name: "small", Priority: 1, MaxAttempts: 4, Stretch: 4, TargetLatency: 3 * time.Second}
		for i := range 6 {
			runTime := time.Duration(25+i) * 100 * time.Millisecond
			sim.submit(singleStep(nthID(small, i), small, 1, cores(30, 1000), runTime), false, runTime)
		}
		gang := singleStep("gang", meshes, 3, cores(30, 1000), 2*time.Second)
		gang.Steps[0].Gang = true
		gang.Queue.Advice = &cairnbay.AdviceTerms{Decide: 600 * time.Millisecond, Valid: time.Second}
		sim.submit(gang, false, 2*time.Second)
		for n := range 60 {
			sim.submit(singleStep(nthID(small, 100+n), small, 1, cores(30, 1000), 2*time.Second), false, 2*time.Second)
			sim.advance(100 * time.Millisecond)
		}
		Expect(sim.completed).To(HaveKey("gang"))
		Expect(calls).To(Equal(2), "one for the decision, one for tickets")
	})
})
