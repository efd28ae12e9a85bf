package place

import (
	"slices"

	"cairnbay"
)

// maxSearchedRacks limits the racks that are searched for one task of a service.
const maxSearchedRacks = 32

// choose returns the best worker for the job's next task, nil if it fits on
// none.
func (e *Engine) choose(pending *job) *worker {
	e.findCandidates(pending)
	return e.best(pending)
}

// best returns the candidate that the job's policy scores highest, nil if there
// is none. The worker on which a task of the job failed last is left out if there
// are others.
func (e *Engine) best(pending *job) *worker {
	if len(e.candidates) > 1 && pending.avoidedWorker != nil {
		e.candidates = slices.DeleteFunc(e.candidates, func(candidate *worker) bool { return candidate == pending.avoidedWorker })
	}
	queued := pending.queued()
	var best *worker
	bestScore := 0.0
	for _, candidate := range e.candidates {
		score, ok := pending.policy.Score(queued, e.viewOf(pending, candidate))
		if ok && (best == nil || score > bestScore) {
			best, bestScore = candidate, score
		}
	}
	return best
}

// chooseAll returns a worker for each waiting task of a gang, nil if they do not
// all fit. It leaves nothing charged.
func (e *Engine) chooseAll(pending *job) []*worker {
	count := pending.waiting()
	if !pending.spec.Size.Times(count).Fits(e.total.Sub(e.charged)) {
		return nil
	}
	chosen := make([]*worker, 0, count)
	for range count {
		next := e.choose(pending)
		if next == nil {
			break
		}
		chosen = append(chosen, next)
		e.chargeTentatively(pending, next, pending.spec.Size, 1)
	}
	for _, charged := range chosen {
		e.chargeTentatively(pending, charged, negative(pending.spec.Size), -1)
	}
	if len(chosen) < count {
		return nil
	}
	return chosen
}

// chargeTentatively changes a worker's charge and its trees by size, and the number
// of the job's tasks in the rack by taskChange, without unblocking shapes. A
// negative size and change undo it.
func (e *Engine) chargeTentatively(pending *job, target *worker, size cairnbay.Resources, taskChange int) {
	target.charged = target.charged.Add(size)
	target.indexedFree = target.available()
	for _, tree := range e.trees {
		tree.Set(target.slot, target.indexedFree)
	}
	pending.countRack(target.rack, taskChange)
}

// findCandidates fills e.candidates with workers on which the job's next task
// fits: up to candidateLimit with the least free of the scarcest resource, and for
// services that spread over racks one from each of several racks as well.
func (e *Engine) findCandidates(pending *job) {
	e.candidates = e.candidates[:0]
	tree := e.trees[e.scarcest(pending.spec.Size)]
	add := func(slot int) bool {
		e.candidates = append(e.candidates, e.bySlot[slot])
		return len(e.candidates) < candidateLimit
	}
	tree.Ascend(pending.spec.Size, add)
	if len(e.candidates) > 0 && pending.spec.Kind == cairnbay.KindService && pending.needsCounts() {
		e.addRackCandidates(pending)
	}
}

// addRackCandidates adds one candidate from each of up to maxSearchedRacks racks,
// starting after the last rack of the previous call. A shard of one data centre
// has fewer racks, so that each call searches all.
func (e *Engine) addRackCandidates(pending *job) {
	for range min(maxSearchedRacks, len(e.rackList)) {
		e.rackCursor = (e.rackCursor + 1) % len(e.rackList)
		for _, candidate := range e.rackList[e.rackCursor].workers {
			if candidate.isIndexed && candidate.reserved == nil && pending.spec.Size.Fits(candidate.indexedFree) {
				e.candidates = append(e.candidates, candidate)
				break
			}
		}
	}
}

// scarcest returns the dimension with the largest charged share, including a
// task of the given size.
func (e *Engine) scarcest(size cairnbay.Resources) int {
	charged, total := e.charged.Add(size).Values(), e.total.Values()
	best, bestShare := 0, -1.0
	for dimension := range total {
		if total[dimension] <= 0 {
			continue
		}
		share := float64(charged[dimension]) / float64(total[dimension])
		if share > bestShare {
			best, bestShare = dimension, share
		}
	}
	return best
}

func (e *Engine) viewOf(pending *job, candidate *worker) cairnbay.WorkerView {
	view := cairnbay.WorkerView{
		Worker: candidate.state.ID, Rack: candidate.state.Rack,
		Capacity: candidate.state.Capacity, Free: candidate.available(),
	}
	if !pending.needsCounts() {
		return view
	}
	view.SameJobInRack = pending.racks[candidate.rack]
	if view.SameJobInRack == 0 {
		return view
	}
	for _, run := range pending.runs {
		if run.worker == candidate {
			view.SameJob++
		}
	}
	return view
}

// needsCounts reports whether the policy takes the job's other tasks into
// account. Services of a path without settings are spread over racks too.
func (j *job) needsCounts() bool {
	switch j.spec.Kind {
	case cairnbay.KindService:
		return j.branch.Placing.SpreadRacks || j.branch == &emptyBranch
	case cairnbay.KindGang:
		return true
	default:
		return false
	}
}
