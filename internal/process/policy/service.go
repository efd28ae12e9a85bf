package policy

import "cairnbay"

// Weights of a service's tasks in the same place; each outweighs all of what
// stands below it.
const (
	sameRackPenalty   = 1000.0
	sameWorkerPenalty = 10.0
)

// service places long-running tasks apart from each other.
type service struct{}

func (service) Kind() cairnbay.Kind { return cairnbay.KindService }

// Less is first come, first served: run times of services mean nothing.
func (service) Less(a, b cairnbay.QueuedJob) bool {
	if a.WaitingSince != b.WaitingSince {
		return a.WaitingSince < b.WaitingSince
	}
	return a.Job.ID < b.Job.ID
}

// Score prefers the rack, then the worker, with the fewest tasks of the job.
func (service) Score(job cairnbay.QueuedJob, worker cairnbay.WorkerView) (score float64, ok bool) {
	if !job.Job.Size.Fits(worker.Free) {
		return 0, false
	}
	score = tightness(job.Job.Size, worker)
	score -= sameRackPenalty * float64(worker.SameJobInRack)
	score -= sameWorkerPenalty * float64(worker.SameJob)
	return score, true
}

// VictimCost rates patient services by their lost work, as for batch.
func (service) VictimCost(victim cairnbay.VictimView) (cost float64, ok bool) {
	if untouchable(victim.Job) {
		return 0, false
	}
	return lostWork(victim), true
}
