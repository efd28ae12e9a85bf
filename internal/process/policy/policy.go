// Package policy decides for each kind of work in which order its jobs wait,
// which worker suits a task, and what it costs to hold a task back.
package policy

import (
	"time"

	"cairnbay"
)

// Costs of holding a task back, in the unit of lost work: core seconds.
const (
	// checkpointCost is the work lost by a checkpoint and a resumption.
	checkpointCost = 5 * time.Second
	// bandCost sets best effort apart from batch: it is the lost work of a
	// batch task that equals none of a best-effort task.
	bandCost = 10 * time.Minute
)

// For returns the policy of a kind of work; ok is false for an unknown kind.
func For(kind cairnbay.Kind) (chosen cairnbay.Policy, ok bool) {
	switch kind {
	case cairnbay.KindService:
		return service{}, true
	case cairnbay.KindBatch:
		return batch{}, true
	case cairnbay.KindGang:
		return gang{}, true
	default:
		return nil, false
	}
}

// tightness rates how little of a worker stays free: 0 for an empty worker that
// gets an empty task, up to 1 when nothing is left in any dimension.
func tightness(size cairnbay.Resources, worker cairnbay.WorkerView) float64 {
	left := worker.Free.Sub(size).Values()
	whole := worker.Capacity.Values()
	sum, dimensions := 0.0, 0
	for i := range left {
		if whole[i] <= 0 {
			continue
		}
		sum += float64(left[i]) / float64(whole[i])
		dimensions++
	}
	if dimensions == 0 {
		return 0
	}
	return 1 - sum/float64(dimensions)
}

// lostWork rates a victim by the work that is thrown away with it, in core
// seconds; a task without processors counts as one core.
func lostWork(victim cairnbay.VictimView) float64 {
	const milliPerCore = 1000
	cores := max(1, float64(victim.Charged.MilliCPU)/milliPerCore)
	lost := victim.RanFor
	if victim.Job.Checkpoints {
		lost = min(lost, checkpointCost)
	}
	if victim.Job.Band != cairnbay.BandBestEffort {
		lost += bandCost
	}
	return cores * lost.Seconds()
}

// untouchable says whether a task must never be held back: one that may not run
// twice, and one that is not patient.
func untouchable(job cairnbay.Job) bool {
	return job.AtMostOnce || job.Band < cairnbay.BandBatch
}

// sooner orders jobs by when they would end if they had started on arrival: a
// short job overtakes a long one, but only one that has not waited for as much
// longer as its run time is longer.
func sooner(a, b cairnbay.QueuedJob) bool {
	first, second := a.WaitingSince+a.ExpectedRunTime, b.WaitingSince+b.ExpectedRunTime
	if first != second {
		return first < second
	}
	return a.Job.ID < b.Job.ID
}
