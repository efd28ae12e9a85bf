// Package fault distinguishes faulty workers, which fail the tasks that they start,
// from faulty jobs, which fail on every worker, and quarantines faulty workers.
package fault

import (
	"maps"
	"slices"
	"time"

	"gonum.org/v1/gonum/mathext"
)

const (
	// window is how long the ends of a job on a worker are kept after the last of
	// them.
	window = 30 * time.Minute
	// minFailures is the minimum of failed jobs on a worker, as counted by
	// failureProbability, before the worker is quarantined.
	minFailures = 3
	// significance is the probability of a worker's failures, assuming that it
	// is like the others, below which they are not attributed to chance.
	significance = 1e-4
	// priorEnds and priorFailures are pseudo-counts that are added to the observed
	// counts: the failure rate without evidence is priorFailures/priorEnds.
	priorEnds     = 100
	priorFailures = 1
	// suspectWorkers is how many workers a job must have failed on, and how many
	// failures it must have, without any success, to be considered faulty.
	suspectWorkers = 3
)

// count is the number of tasks that ended and of those that failed.
type count struct {
	ends     float64
	failures float64
	last     time.Duration
}

func (c *count) add(failed bool, now time.Duration) {
	c.ends++
	if failed {
		c.failures++
	}
	c.last = now
}

// evidence counts the ends of tasks by worker and job. The pair of a worker and a job
// is dropped when its last end is older than the window.
type evidence struct {
	pairs   map[string]map[string]*count
	jobs    map[string]*count
	total   count
	sweptAt time.Duration
}

func newEvidence() *evidence {
	return &evidence{pairs: make(map[string]map[string]*count), jobs: make(map[string]*count)}
}

func (e *evidence) observe(worker, job string, failed bool, now time.Duration) {
	e.sweep(now)
	onWorker := e.pairs[worker]
	if onWorker == nil {
		onWorker = make(map[string]*count)
		e.pairs[worker] = onWorker
	}
	if onWorker[job] == nil {
		onWorker[job] = &count{}
	}
	if e.jobs[job] == nil {
		e.jobs[job] = &count{}
	}
	onWorker[job].add(failed, now)
	e.jobs[job].add(failed, now)
	e.total.add(failed, now)
}

// sweep drops the pairs whose last end is older than the window, once per tenth of
// the window.
func (e *evidence) sweep(now time.Duration) {
	if now-e.sweptAt < window/10 {
		return
	}
	e.sweptAt = now
	for worker, onWorker := range e.pairs {
		for job, pair := range onWorker {
			if now-pair.last > window {
				e.dropPair(worker, job)
			}
		}
	}
}

// dropPair removes the ends of a job on a worker from all counts.
func (e *evidence) dropPair(worker, job string) {
	pair, jobCount := e.pairs[worker][job], e.jobs[job]
	jobCount.ends -= pair.ends
	jobCount.failures -= pair.failures
	e.total.ends -= pair.ends
	e.total.failures -= pair.failures
	if jobCount.ends <= 0 {
		delete(e.jobs, job)
	}
	delete(e.pairs[worker], job)
}

func (e *evidence) dropWorker(worker string) {
	for job := range e.pairs[worker] {
		e.dropPair(worker, job)
	}
	delete(e.pairs, worker)
}

// failureProbability returns the number of failed jobs on the worker, and the
// probability of at least that many on a worker like the others. Each job counts as
// one trial: the fraction of its ends on the worker that failed; the number of failed
// jobs is the sum of these fractions. The expected value of a trial is the failure
// rate of the job on other workers, so a job that fails everywhere is no evidence
// against a worker. The sum is approximated by a Poisson variable of the same mean.
func (e *evidence) failureProbability(worker string) (failedJobs, probability float64) {
	base := e.baseRate(worker)
	expected := 0.0
	// Floating-point sums depend on the order; sorting makes the result
	// deterministic.
	for _, job := range slices.Sorted(maps.Keys(e.pairs[worker])) {
		pair := e.pairs[worker][job]
		failedJobs += pair.failures / pair.ends
		elsewhere := e.jobs[job]
		expected += (elsewhere.failures - pair.failures + base) / (elsewhere.ends - pair.ends + 1)
	}
	if failedJobs == 0 {
		return 0, 1
	}
	return failedJobs, mathext.GammaIncReg(failedJobs, expected)
}

// baseRate returns the failure rate on all workers except the given worker, with
// the prior included.
func (e *evidence) baseRate(worker string) float64 {
	others := e.total
	for _, pair := range e.pairs[worker] {
		others.ends -= pair.ends
		others.failures -= pair.failures
	}
	return (others.failures + priorFailures) / (others.ends + priorEnds)
}

// isSuspect reports whether a job has failed at least suspectWorkers times, on that
// many workers or on all workers with evidence if they are fewer, and has never
// succeeded.
func (e *evidence) isSuspect(job string) bool {
	jobCount := e.jobs[job]
	if jobCount == nil || jobCount.failures < jobCount.ends {
		return false
	}
	workers := 0
	for _, onWorker := range e.pairs {
		if onWorker[job] != nil {
			workers++
		}
	}
	return workers >= min(suspectWorkers, len(e.pairs)) && jobCount.failures >= suspectWorkers
}
