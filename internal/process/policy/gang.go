package policy

import "cairnbay"

// sameRackBonus outweighs tightness, which is at most 1.
const sameRackBonus = 2.0

// gang places tasks that must all start together.
type gang struct{}

func (gang) Kind() cairnbay.Kind { return cairnbay.KindGang }

// Less lets short gangs go first within bounds.
func (gang) Less(a, b cairnbay.QueuedJob) bool { return sooner(a, b) }

// Score keeps a gang in few racks, since its tasks talk to each other, and
// packs within the rack.
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

// VictimCost is the lost work of the whole gang, since its other tasks are
// stopped with the one.
func (gang) VictimCost(victim cairnbay.VictimView) (cost float64, ok bool) {
	if untouchable(victim.Job) {
		return 0, false
	}
	return lostWork(victim) * float64(max(1, victim.Job.Tasks)), true
}
