// Package policy implements cairnbay.Policy for each kind of work: the order of
// waiting jobs, the choice of a worker for a task, and the cost of preempting a
// running task.
package policy

import (
	"time"

	"cairnbay"
)

// Run times used by lostWork, which multiplies the total by the task's cores.
const (
	// maxCheckpointLoss is the most run time that the preemption of a checkpointing
	// task loses: taking the checkpoint and resuming from it.
	maxCheckpointLoss = 5 * time.Second
	// bandCost is added for tasks above the best-effort band. A best-effort task
	// that ran for up to this time is preempted before any batch task of as many
	// cores.
	bandCost = 10 * time.Minute
)

// For returns the policy for a kind of work; ok is false for an unknown kind.
func For(kind cairnbay.Kind) (policy cairnbay.Policy, ok bool) {
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

// tightness returns how full a worker is after it gets a task of the size, as the
// mean over the resource dimensions: 0 for an empty worker, 1 for one with
// nothing free.
func tightness(size cairnbay.Resources, worker cairnbay.WorkerView) float64 {
	remaining := worker.Free.Sub(size).Values()
	capacity := worker.Capacity.Values()
	sum, dimensions := 0.0, 0
	for i := range remaining {
		if capacity[i] <= 0 {
			continue
		}
		sum += float64(remaining[i]) / float64(capacity[i])
		dimensions++
	}
	if dimensions == 0 {
		return 0
	}
	return 1 - sum/float64(dimensions)
}

// lostWork returns the cost of preempting a task, in core seconds: its run time so
// far, at most maxCheckpointLoss if it takes checkpoints, plus bandCost if it is
// above the best-effort band. A task below one core counts as one core.
func lostWork(victim cairnbay.VictimView) float64 {
	const milliPerCore = 1000
	cores := max(1, float64(victim.Charged.MilliCPU)/milliPerCore)
	lost := victim.RanFor
	if victim.Job.Checkpoints {
		lost = min(lost, maxCheckpointLoss)
	}
	if victim.Job.Band != cairnbay.BandBestEffort {
		lost += bandCost
	}
	return cores * lost.Seconds()
}

// neverPreempted reports whether a job's tasks must keep running: those that may
// run at most once, and those in a band above batch.
func neverPreempted(job cairnbay.Job) bool {
	return job.AtMostOnce || job.Band < cairnbay.BandBatch
}

// earlierVirtualEnd orders jobs by virtual end: arrival time plus expected run
// time. A short job overtakes a longer one unless the longer one arrived earlier
// by more than the difference of their run times.
func earlierVirtualEnd(a, b cairnbay.QueuedJob) bool {
	endA, endB := a.WaitingSince+a.ExpectedRunTime, b.WaitingSince+b.ExpectedRunTime
	if endA != endB {
		return endA < endB
	}
	return a.Job.ID < b.Job.ID
}
