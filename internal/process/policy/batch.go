package policy

import "cairnbay"

// batch is the policy for tasks that run to completion independently of each
// other.
type batch struct{}

func (batch) Kind() cairnbay.Kind { return cairnbay.KindBatch }

// Less orders jobs by arrival time plus expected run time (see
// earlierVirtualEnd).
func (batch) Less(a, b cairnbay.QueuedJob) bool { return earlierVirtualEnd(a, b) }

// Score prefers the worker with the least capacity left after the placement
// (best fit).
func (batch) Score(job cairnbay.QueuedJob, worker cairnbay.WorkerView) (score float64, ok bool) {
	if !job.Job.Size.Fits(worker.Free) {
		return 0, false
	}
	return tightness(job.Job.Size, worker), true
}

// VictimCost returns the work lost by preempting the task, in core seconds; ok is
// false if the task must not be preempted.
func (batch) VictimCost(victim cairnbay.VictimView) (cost float64, ok bool) {
	if neverPreempted(victim.Job) {
		return 0, false
	}
	return lostWork(victim), true
}
