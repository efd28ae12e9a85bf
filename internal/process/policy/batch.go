package policy

import "cairnbay"

// batch packs tasks that run to their end one by one.
type batch struct{}

func (batch) Kind() cairnbay.Kind { return cairnbay.KindBatch }

// Less lets short jobs go first within bounds.
func (batch) Less(a, b cairnbay.QueuedJob) bool { return sooner(a, b) }

// Score prefers the worker that is left with the least.
func (batch) Score(job cairnbay.QueuedJob, worker cairnbay.WorkerView) (score float64, ok bool) {
	if !job.Job.Size.Fits(worker.Free) {
		return 0, false
	}
	return tightness(job.Job.Size, worker), true
}

// VictimCost is the lost work.
func (batch) VictimCost(victim cairnbay.VictimView) (cost float64, ok bool) {
	if untouchable(victim.Job) {
		return 0, false
	}
	return lostWork(victim), true
}
