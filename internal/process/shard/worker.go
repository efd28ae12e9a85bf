package shard

import (
	"cmp"
	"time"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/process/commit"
)

// worker is what the owner knows of one worker.
type worker struct {
	ref cairnbay.WorkerState
	// recorded says that the worker is in the journal's set: only there tasks
	// are started, and only these make up a quorum.
	recorded bool
	// claimed says that the worker accepted the epoch.
	claimed bool
	// blank says that it had accepted no epoch before: what the journal says to
	// have been started there may have been forgotten.
	blank bool
	// forgot says that it lost the epoch again; it is not used any more.
	forgot bool
	// gone says that the platform's list has dropped it for long enough.
	gone bool
	// dropped says that its tasks were given up; it must show itself empty
	// before it is used again.
	dropped bool
	leaving bool
	// missing is since when the list has not shown it, -1 while it does.
	missing time.Duration

	// heard is when the last answer came, confirmed the decision time of the
	// newest answered call.
	heard     time.Duration
	confirmed time.Duration
	// patience is how long it may be silent; failures counts the failed calls
	// since its last answer.
	patience time.Duration
	failures int
	// wantList says that its digest did not match, and that its running tasks
	// are to be listed.
	wantList bool
	// answeredNow is the worker's clock in the answer that came at answeredAt.
	answeredNow time.Duration
	answeredAt  time.Duration
	// effectUntil is when the last effect of a call, a lease, has ended.
	effectUntil time.Duration

	claiming, renewing, starting, stopping bool
	nextClaim, nextRenew, nextTry          time.Duration

	queue []cairnbay.TaskStart
	stops map[cairnbay.StopMode][]cairnbay.TaskID
	// strays run there and belong to no enqueued job, by task.
	strays map[cairnbay.TaskID]cairnbay.RunningTask
	ends   ends
	// why names what makes it unusable; shown is what the placer was last told,
	// zero when it was told nothing.
	why   string
	shown cairnbay.WorkerState
}

func compareWorkers(a, b *worker) int {
	return cmp.Compare(a.ref.ID, b.ref.ID)
}

func (c *Core) addWorker(ref commit.WorkerRef, now time.Duration) *worker {
	added := &worker{
		ref:     cairnbay.WorkerState{ID: ref.ID, Address: ref.Address, Rack: ref.Rack, Capacity: ref.Capacity},
		missing: now, heard: now, patience: c.config.RenewWait + unreachableAfter,
		stops:  map[cairnbay.StopMode][]cairnbay.TaskID{},
		strays: map[cairnbay.TaskID]cairnbay.RunningTask{},
	}
	c.workers[ref.ID] = added
	c.show(added, now)
	return added
}

// SetInstances takes the shard's workers as the platform's list shows them.
func (c *Core) SetInstances(listed []cairnbay.Instance, now time.Duration) {
	if c.phase == PhaseFenced {
		return
	}
	seen := make(map[string]bool, len(listed))
	for _, instance := range listed {
		seen[instance.ID] = true
		c.setInstance(instance, now)
	}
	for _, worker := range c.sortedWorkers() {
		c.setMissing(worker, !seen[worker.ref.ID], now)
	}
	c.recordWorkers(now)
}

func (c *Core) setInstance(instance cairnbay.Instance, now time.Duration) {
	known, ok := c.workers[instance.ID]
	if !ok {
		known = c.addWorker(commit.WorkerRef{
			ID: instance.ID, Address: instance.Address, Rack: instance.Rack, Capacity: instance.Capacity,
		}, now)
	}
	known.ref.Address, known.ref.Rack = instance.Address, instance.Rack
	known.leaving = instance.Leaving
	c.show(known, now)
}

func (c *Core) setMissing(worker *worker, missing bool, now time.Duration) {
	switch {
	case !missing:
		worker.missing = -1
	case worker.missing < 0:
		worker.missing = now
	case !worker.gone && now-worker.missing >= c.config.GoneAfter && now-worker.heard >= c.config.GoneAfter:
		worker.gone = true
		c.drop(worker, now)
	}
}

// recordWorkers journals the set of workers when it has changed. A worker is
// used, and counts for the quorum, once the set that names it is confirmed. One
// that is gone stays in the set until the journal has what became of the tasks
// there: the set tells a successor who may have been given a task.
func (c *Core) recordWorkers(now time.Duration) {
	if c.config.FromReplica {
		return
	}
	var refs []commit.WorkerRef
	changed := false
	for _, worker := range c.sortedWorkers() {
		keep := !worker.gone || (worker.recorded && c.phase != PhaseActive)
		changed = changed || worker.recorded != keep
		if keep {
			refs = append(refs, commit.WorkerRef{
				ID: worker.ref.ID, Address: worker.ref.Address, Rack: worker.ref.Rack, Capacity: worker.ref.Capacity,
			})
		}
	}
	if !changed || len(refs) == 0 || c.recording {
		return
	}
	c.recording = true
	c.journal(now, true, []commit.Record{{Workers: refs}}, func(now time.Duration) {
		c.recording = false
		c.setRecorded(refs, now)
	})
}

func (c *Core) setRecorded(refs []commit.WorkerRef, now time.Duration) {
	for _, worker := range c.workers {
		worker.recorded = false
	}
	for _, ref := range refs {
		if worker := c.workers[ref.ID]; worker != nil {
			worker.recorded = true
		}
	}
	for _, worker := range c.sortedWorkers() {
		if worker.gone && !worker.recorded {
			delete(c.workers, worker.ref.ID)
			continue
		}
		c.show(worker, now)
	}
	c.reconfirm()
	c.advance(now)
}

// show tells the placer whether the worker can be used, when that has changed.
func (c *Core) show(worker *worker, now time.Duration) {
	worker.why = worker.hindrance(now)
	if worker.gone || worker.dropped {
		return
	}
	state := worker.ref
	state.Usable, state.UnusableReason = worker.why == "", worker.why
	if state == worker.shown {
		return
	}
	worker.shown = state
	c.placer.SetWorker(state, now)
}

// hindrance names what makes the worker unusable.
func (w *worker) hindrance(now time.Duration) string {
	switch {
	case w.gone:
		return "gone"
	case w.forgot:
		return "forgot its epoch"
	case !w.claimed:
		return "not claimed yet"
	case w.dropped:
		return "back after its tasks were given up"
	case w.silentFor(now):
		return "unreachable"
	case w.leaving:
		return "leaving"
	case !w.recorded:
		return "not in the journal yet"
	default:
		return ""
	}
}

// reachable says whether the worker answers under the epoch.
func (w *worker) reachable(now time.Duration) bool {
	return w.claimed && !w.forgot && !w.dropped && !w.silentFor(now)
}

// silentFor says whether an answer is overdue.
func (w *worker) silentFor(now time.Duration) bool {
	silent := now - w.heard
	return silent >= w.patience || (w.failures >= maxFailures && silent >= unreachableAfter)
}

// tickWorker sends the calls to a worker that are due.
func (c *Core) tickWorker(worker *worker, now time.Duration) {
	if worker.gone {
		return
	}
	if worker.hindrance(now) != worker.why {
		c.show(worker, now)
	}
	if !worker.claimed {
		c.claim(worker, now)
		return
	}
	if !worker.reachable(now) && len(worker.queue) > 0 {
		c.takeBack(worker, now)
	}
	c.renew(worker, now)
	c.sendStops(worker, now)
	c.sendStarts(worker, now)
	if !worker.dropped && c.silent(worker, now) && now >= worker.effectUntil+withDrift(c.config.TaskLease)-c.config.TaskLease {
		c.drop(worker, now)
	}
}

// silent says whether renewals of the worker have ended.
func (c *Core) silent(worker *worker, now time.Duration) bool {
	return worker.forgot || now-worker.heard >= stopRenewAfter
}

// drop gives up the tasks of a worker on which none can run any more.
func (c *Core) drop(worker *worker, now time.Duration) {
	worker.dropped = true
	worker.shown = cairnbay.WorkerState{}
	worker.queue = nil
	worker.stops = map[cairnbay.StopMode][]cairnbay.TaskID{}
	worker.strays = map[cairnbay.TaskID]cairnbay.RunningTask{}
	for task, placement := range c.held {
		if placement.worker == worker {
			delete(c.held, task)
		}
	}
	for _, task := range c.placer.DropWorker(worker.ref.ID, now) {
		c.settled(task, cairnbay.TaskUnknown, now)
	}
	c.show(worker, now)
}

// answered notes a successful call.
func (c *Core) answered(worker *worker, decided, workerNow, now time.Duration) {
	worker.heard = now
	worker.failures = 0
	worker.confirmed = max(worker.confirmed, decided)
	if workerNow > 0 {
		worker.answeredNow, worker.answeredAt = workerNow, now
	}
	c.reconfirm()
	if worker.hindrance(now) != worker.why {
		c.show(worker, now)
	}
}

// failed notes a failed call and returns whether the owner was fenced by it.
func (c *Core) failed(worker *worker, accepted cairnbay.Epoch, err error, now time.Duration) bool {
	if !errors.Is(err, cairnbay.ErrFenced) {
		worker.failures++
		return false
	}
	if accepted.Compare(c.config.Epoch) > 0 {
		c.Fence(accepted)
		return c.phase == PhaseFenced
	}
	worker.forgot = true
	c.show(worker, now)
	return false
}
