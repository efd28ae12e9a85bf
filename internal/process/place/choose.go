package place

import (
	"slices"

	"cairnbay"
)

// rackProbes bounds the racks that are looked at for one task of a service.
const rackProbes = 32

// choose returns the worker that suits the job's next task best; nil when it
// fits nowhere.
func (e *Engine) choose(asked *job) *worker {
	e.findCandidates(asked)
	return e.best(asked)
}

// best returns the found candidate that the job's policy rates highest; nil
// when there is none.
func (e *Engine) best(asked *job) *worker {
	if len(e.found) > 1 && asked.avoided != nil {
		e.found = slices.DeleteFunc(e.found, func(known *worker) bool { return known == asked.avoided })
	}
	queued := asked.queued()
	var best *worker
	bestScore := 0.0
	for _, candidate := range e.found {
		score, ok := asked.policy.Score(queued, e.viewOf(asked, candidate))
		if ok && (best == nil || score > bestScore) {
			best, bestScore = candidate, score
		}
	}
	return best
}

// chooseAll returns a worker for each waiting task of a gang; nil when they do
// not all fit. Nothing stays charged.
func (e *Engine) chooseAll(asked *job) []*worker {
	count := asked.waiting()
	if !asked.spec.Size.Times(count).Fits(e.total.Sub(e.charged)) {
		return nil
	}
	chosen := make([]*worker, 0, count)
	for range count {
		next := e.choose(asked)
		if next == nil {
			break
		}
		chosen = append(chosen, next)
		e.tentative(asked, next, asked.spec.Size, 1)
	}
	for _, undone := range chosen {
		e.tentative(asked, undone, negative(asked.spec.Size), -1)
	}
	if len(chosen) < count {
		return nil
	}
	return chosen
}

// tentative charges a task to a worker without waking anything.
func (e *Engine) tentative(asked *job, target *worker, size cairnbay.Resources, count int) {
	target.charged = target.charged.Add(size)
	target.indexed = target.available()
	for _, tree := range e.trees {
		tree.Set(target.slot, target.indexed)
	}
	asked.countRack(target.rack, count)
}

// findCandidates fills e.found with workers that the job's next task fits on:
// those with the least free of the scarcest resource, and for spread services
// also some with the most.
func (e *Engine) findCandidates(asked *job) {
	e.found = e.found[:0]
	tree := e.trees[e.scarcest(asked.spec.Size)]
	take := func(slot int) bool {
		e.found = append(e.found, e.bySlot[slot])
		return len(e.found) < candidateLimit
	}
	tree.Ascend(asked.spec.Size, take)
	if len(e.found) > 0 && asked.spec.Kind == cairnbay.KindService && asked.needsCounts() {
		e.probeRacks(asked)
	}
}

// probeRacks adds one candidate from each of some racks, other ones at each
// call. A shard of a data centre has fewer racks than are probed.
func (e *Engine) probeRacks(asked *job) {
	for range min(rackProbes, len(e.rackList)) {
		e.rackCursor = (e.rackCursor + 1) % len(e.rackList)
		for _, candidate := range e.rackList[e.rackCursor].workers {
			if candidate.isIndexed && candidate.reserved == nil && asked.spec.Size.Fits(candidate.indexed) {
				e.found = append(e.found, candidate)
				break
			}
		}
	}
}

// scarcest returns the dimension of which the largest share is charged, counting
// a task of the given size.
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

func (e *Engine) viewOf(asked *job, candidate *worker) cairnbay.WorkerView {
	view := cairnbay.WorkerView{
		Worker: candidate.state.ID, Rack: candidate.state.Rack,
		Capacity: candidate.state.Capacity, Free: candidate.available(),
	}
	if !asked.needsCounts() {
		return view
	}
	view.SameJobInRack = asked.racks[candidate.rack]
	if view.SameJobInRack == 0 {
		return view
	}
	for _, run := range asked.runs {
		if run.worker == candidate {
			view.SameJob++
		}
	}
	return view
}

// needsCounts says whether the policy looks at the job's other tasks.
func (j *job) needsCounts() bool {
	switch j.spec.Kind {
	case cairnbay.KindService:
		return j.branch.Placing.SpreadRacks || j.branch == &noBranch
	case cairnbay.KindGang:
		return true
	default:
		return false
	}
}
