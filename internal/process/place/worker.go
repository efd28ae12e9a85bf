package place

import (
	"maps"
	"slices"
	"time"

	"cairnbay"
	"cairnbay/internal/process/fault"
)

// refusalBackoff is how long no task is placed on a worker after it refused a
// start. A refusal for lack of room means that the worker still counts capacity as
// used that the engine counts as free.
const refusalBackoff = time.Second

// worker is a worker with the tasks that are charged to it.
type worker struct {
	state cairnbay.WorkerState
	// slot is the worker's number in the index trees and in Engine.bySlot; it is
	// reused after the worker is dropped.
	slot int
	rack *rack
	// charged is the capacity that its tasks take.
	charged cairnbay.Resources
	runs    map[cairnbay.TaskID]*run
	// orphans are tasks that run on the worker and belong to no job held here.
	orphans map[cairnbay.TaskID]orphan
	// reclaimable is the capacity that preemption could free, releasing the
	// capacity of tasks that are being stopped, and claimed the capacity that is
	// set aside for claims.
	reclaimable cairnbay.Resources
	releasing   cairnbay.Resources
	claimed     cairnbay.Resources
	// backoffUntil is the time before which no task is placed here.
	backoffUntil time.Duration
	// indexedFree is the free capacity that the index trees hold.
	indexedFree cairnbay.Resources
	isIndexed   bool
	// throttledCount counts the throttled tasks; unthrottleQueued is set while
	// the worker is in the engine's unthrottleQueue.
	throttledCount   int
	unthrottleQueued bool
	// A worker that is reserved or on probation is not in the trees of free
	// capacity.
	reserved  *reservation
	probation bool
	// inTotals is set while the engine's totals include the worker.
	inTotals bool
}

// rack is a group of workers that can fail together.
type rack struct {
	name    string
	workers []*worker
}

// orphan is a task on a worker that belongs to no job held here. It is charged
// to the worker until it ends.
type orphan struct {
	running cairnbay.RunningTask
}

// size returns the capacity that the orphan takes.
func (o orphan) size() cairnbay.Resources {
	size := o.running.Size
	if o.running.Throttled {
		size.MilliCPU = 0
	}
	return size
}

func (w *worker) free() cairnbay.Resources {
	return w.state.Capacity.Sub(w.charged)
}

// available returns the free capacity that is not set aside for a claim.
func (w *worker) available() cairnbay.Resources {
	return w.free().Sub(w.claimed)
}

// SetWorker adds a worker or changes its state.
func (e *Engine) SetWorker(state cairnbay.WorkerState, now time.Duration) {
	existing, ok := e.workers[state.ID]
	if !ok {
		existing = e.addWorker(state.ID)
	}
	before := existing.state
	e.removeFromTotals(existing)
	e.moveRack(existing, state.Rack)
	existing.state = state
	e.addToTotals(existing)
	e.reindex(existing, now)
	if before.Capacity != state.Capacity {
		e.countCapacity(before.Capacity, -1)
		e.countCapacity(state.Capacity, 1)
	}
	e.stale = true
}

func (e *Engine) addWorker(id string) *worker {
	added := &worker{
		state:   cairnbay.WorkerState{ID: id},
		slot:    e.freeSlot(),
		runs:    make(map[cairnbay.TaskID]*run),
		orphans: make(map[cairnbay.TaskID]orphan),
	}
	e.bySlot[added.slot] = added
	e.workers[id] = added
	e.countCapacity(cairnbay.Resources{}, 1)
	return added
}

// countCapacity changes the number of workers with a capacity.
func (e *Engine) countCapacity(capacity cairnbay.Resources, change int) {
	e.capacities[capacity] += change
	if e.capacities[capacity] == 0 {
		delete(e.capacities, capacity)
	}
}

func (e *Engine) freeSlot() int {
	for slot, holder := range e.bySlot {
		if holder == nil {
			return slot
		}
	}
	e.bySlot = append(e.bySlot, nil)
	return len(e.bySlot) - 1
}

func (e *Engine) moveRack(target *worker, name string) {
	if target.rack != nil && target.rack.name == name {
		return
	}
	e.leaveRack(target)
	newRack, ok := e.racks[name]
	if !ok {
		newRack = &rack{name: name}
		e.racks[name] = newRack
		e.rackList = append(e.rackList, newRack)
	}
	newRack.workers = append(newRack.workers, target)
	target.rack = newRack
	for _, run := range target.runs {
		run.job.countRack(newRack, 1)
	}
}

func (e *Engine) leaveRack(target *worker) {
	if target.rack == nil {
		return
	}
	for _, run := range target.runs {
		run.job.countRack(target.rack, -1)
	}
	oldRack := target.rack
	oldRack.workers = slices.DeleteFunc(oldRack.workers, func(existing *worker) bool { return existing == target })
	if len(oldRack.workers) == 0 {
		delete(e.racks, oldRack.name)
		e.rackList = slices.DeleteFunc(e.rackList, func(existing *rack) bool { return existing == oldRack })
	}
	target.rack = nil
}

// addToTotals adds a usable worker to the engine's totals.
func (e *Engine) addToTotals(target *worker) {
	if target.inTotals || !target.state.Usable {
		return
	}
	target.inTotals = true
	e.total = e.total.Add(target.state.Capacity)
	e.charged = e.charged.Add(target.charged)
}

func (e *Engine) removeFromTotals(target *worker) {
	if !target.inTotals {
		return
	}
	target.inTotals = false
	e.total = e.total.Sub(target.state.Capacity)
	e.charged = e.charged.Sub(target.charged)
}

// charge changes the capacity that is charged to a worker; a negative size
// releases it.
func (e *Engine) charge(target *worker, size cairnbay.Resources, now time.Duration) {
	target.charged = target.charged.Add(size)
	if target.inTotals {
		e.charged = e.charged.Add(size)
	}
	e.reindex(target, now)
}

func negative(size cairnbay.Resources) cairnbay.Resources {
	return cairnbay.Resources{}.Sub(size)
}

// isSchedulable reports whether new tasks may be placed on the worker.
func (e *Engine) isSchedulable(candidate *worker, now time.Duration) bool {
	return candidate.state.Usable && now >= candidate.backoffUntil &&
		e.faults.State(candidate.state.ID, now) != fault.Quarantined
}

// reindex updates the trees with a worker's free capacity and unblocks the
// shapes that have come to fit there.
func (e *Engine) reindex(target *worker, now time.Duration) {
	e.updateProbation(target, now)
	if target.probation || !e.isSchedulable(target, now) {
		e.unindex(target)
		return
	}
	free := target.available()
	grown := !target.isIndexed || !free.Fits(target.indexedFree)
	target.indexedFree, target.isIndexed = free, true
	for _, tree := range e.trees {
		if target.reserved != nil {
			tree.Remove(target.slot)
		} else {
			tree.Set(target.slot, free)
		}
	}
	e.reclaimable.Set(target.slot, target.claimable().Add(target.reclaimable))
	if grown && target.reserved != nil {
		target.reserved.capacityFreed = true
	}
	if grown {
		e.queue.unblock(free)
	}
	if target.throttledCount > 0 && free.MilliCPU > 0 && !target.unthrottleQueued {
		target.unthrottleQueued = true
		e.unthrottleQueue = append(e.unthrottleQueue, target)
	}
}

func (e *Engine) unindex(target *worker) {
	if !target.isIndexed {
		return
	}
	target.isIndexed = false
	for _, tree := range e.trees {
		tree.Remove(target.slot)
	}
	e.reclaimable.Remove(target.slot)
}

// backOff places no task on a worker until the given time.
func (e *Engine) backOff(target *worker, until, now time.Duration) {
	target.backoffUntil = max(target.backoffUntil, until)
	e.timers.add(timer{at: target.backoffUntil, worker: target})
	e.reindex(target, now)
}

// DropWorker removes a worker that is certainly gone. It returns the tasks that
// must not run twice, which end as unknown.
func (e *Engine) DropWorker(id string, now time.Duration) []cairnbay.TaskID {
	dropped, ok := e.workers[id]
	if !ok {
		return nil
	}
	var unknown []cairnbay.TaskID
	lost := slices.Collect(maps.Values(dropped.runs))
	sortRuns(lost)
	for _, run := range lost {
		if e.endLost(run, now) == cairnbay.TaskUnknown {
			unknown = append(unknown, run.task())
		}
	}
	e.removeFromTotals(dropped)
	// Claims may still refer to the worker; they must not index it again.
	dropped.state.Usable = false
	e.updateProbation(dropped, now)
	e.unindex(dropped)
	e.faults.Forget(id)
	e.leaveRack(dropped)
	e.bySlot[dropped.slot] = nil
	delete(e.workers, id)
	e.countCapacity(dropped.state.Capacity, -1)
	e.orphanCount -= len(dropped.orphans)
	e.stale = true
	sortTasks(unknown)
	return unknown
}
