package policy

import "cairnbay"

// Score penalties for each task of the same job in the rack and on the worker.
// The rack outweighs the worker while a worker has fewer than 100 tasks of the
// job, and the worker outweighs tightness.
const (
	sameRackPenalty   = 1000.0
	sameWorkerPenalty = 10.0
)

// service is the policy for long-running tasks; it spreads the tasks of a job
// over racks and workers.
type service struct{}

func (service) Kind() cairnbay.Kind { return cairnbay.KindService }

// Less is first come, first served: a service has no meaningful run time.
func (service) Less(a, b cairnbay.QueuedJob) bool {
	if a.WaitingSince != b.WaitingSince {
		return a.WaitingSince < b.WaitingSince
	}
	return a.Job.ID < b.Job.ID
}

// Score prefers the rack, then the worker, with the fewest tasks of the job, and
// among equals the worker with the least capacity left (best fit).
func (service) Score(job cairnbay.QueuedJob, worker cairnbay.WorkerView) (score float64, ok bool) {
	if !job.Job.Size.Fits(worker.Free) {
		return 0, false
	}
	score = tightness(job.Job.Size, worker)
	score -= sameRackPenalty * float64(worker.SameJobInRack)
	score -= sameWorkerPenalty * float64(worker.SameJob)
	return score, true
}

// VictimCost returns the work lost by preempting the task, in core seconds; ok is
// false if the task must not be preempted.
func (service) VictimCost(victim cairnbay.VictimView) (cost float64, ok bool) {
	if neverPreempted(victim.Job) {
		return 0, false
	}
	return lostWork(victim), true
}
