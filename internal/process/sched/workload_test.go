package sched_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cairnbay"
)

// Queues of the simulated loads. Their terms and rates come from the users'
// load sheets.
var (
	quotes = cairnbay.Queue{
		Name: "quotes", Prefix: "/quotes/", Priority: 0, MaxAttempts: 4, Stretch: 1.5, TargetLatency: 250 * time.Millisecond,
	}
	catalogue = cairnbay.Queue{
		Name: "catalogue", Prefix: "/catalogue/", Priority: 2, MaxAttempts: 3, Stretch: 4, TargetLatency: 3 * time.Second,
	}
	meshes = cairnbay.Queue{
		Name: "meshes", Prefix: "/meshes/", Priority: 1, MaxAttempts: 4, Stretch: 2.2, TargetLatency: time.Second,
	}
	models = cairnbay.Queue{
		Name: "models", Prefix: "/models/", Priority: 2, MaxAttempts: 4, Stretch: 4, TargetLatency: 3 * time.Second,
	}
)

func cores(count float64, memory int64) cairnbay.Resources {
	return cairnbay.Resources{MilliCPU: int64(count * 1000), MemoryMB: memory}
}

// normal draws a normally distributed value of at least a tenth of the mean.
// spread is the standard deviation as a share of the mean.
func normal(random *rand.Rand, mean, spread float64) float64 {
	return max(mean*(1+spread*random.NormFloat64()), mean/10)
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second)).Round(time.Millisecond)
}

// poissonArrivals draws the arrival times of a Poisson process.
func poissonArrivals(random *rand.Rand, perSecond float64, from, until time.Duration) []time.Duration {
	var moments []time.Duration
	for moment := from; ; {
		moment += seconds(random.ExpFloat64() / perSecond)
		if moment >= until {
			return moments
		}
		moments = append(moments, moment)
	}
}

type load struct {
	at       time.Duration
	job      cairnbay.Workflow
	runTimes []time.Duration
}

func sortByTime(loads []load) []load {
	slices.SortStableFunc(loads, func(a, b load) int { return cmp.Compare(a.at, b.at) })
	return loads
}

// replay submits loads at their times, then runs the simulation for the drain
// time.
func (sim *simulation) replay(loads []load, admit bool, drain time.Duration) {
	for _, load := range sortByTime(loads) {
		if load.at > sim.now {
			sim.advance(load.at - sim.now)
		}
		sim.submit(load.job, admit, load.runTimes...)
	}
	sim.advance(drain)
}

func singleStep(id string, queue cairnbay.Queue, tasks int, size cairnbay.Resources, declared time.Duration) cairnbay.Workflow {
	return cairnbay.Workflow{ID: id, Queue: queue, Steps: []cairnbay.WorkflowStep{{
		Tasks: tasks, Size: size, RunTime: declared, Checkpoints: queue.Priority > 0,
	}}}
}

// nthID is the ID of a queue's n-th job.
func nthID(queue cairnbay.Queue, n int) string {
	return fmt.Sprintf("%s%03d", queue.Name, n)
}
