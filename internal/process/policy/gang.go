package policy

import "cairnbay"

// sameRackBonus is added for a worker in a rack that runs tasks of the gang. It
// outweighs tightness, which is at most 1.
const sameRackBonus = 2.0

// gang is the policy for tasks that must all start together.
type gang struct{}

func (gang) Kind() cairnbay.Kind { return cairnbay.KindGang }

// Less orders gangs by arrival time plus expected run time (see
// earlierVirtualEnd).
func (gang) Less(a, b cairnbay.QueuedJob) bool { return earlierVirtualEnd(a, b) }

// Score prefers racks that already run tasks of the gang, since these exchange
// data, and then the worker with the least capacity left (best fit).
func (gang) Score(job cairnbay.QueuedJob, worker cairnbay.WorkerView) (score float64, ok bool) {
	if !job.Job.Size.Fits(worker.Free) {
		return 0, false
	}
	score = tightness(job.Job.Size, worker)
	if worker.SameJobInRack > 0 {
		score += sameRackBonus
	}
	return score, true
}

// VictimCost returns the work lost by the whole gang, in core seconds, since
// preempting one of its tasks stops all of them; ok is false if the task must not
// be preempted.
func (gang) VictimCost(victim cairnbay.VictimView) (cost float64, ok bool) {
	if neverPreempted(victim.Job) {
		return 0, false
	}
	return lostWork(victim) * float64(max(1, victim.Job.Tasks)), true
}
