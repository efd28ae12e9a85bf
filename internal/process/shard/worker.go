package shard

import (
	"cmp"
	"time"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/process/commit"
)

// worker is the owner's view of one worker.
type worker struct {
	ref cairnbay.WorkerState
	// recorded says that the worker is in the journal's set: tasks are started
	// only on these workers, and only they count for the quorum.
	recorded bool
	// claimed says that the worker accepted the epoch.
	claimed bool
	// hadNoEpoch says that the worker had accepted no epoch before this one, so
	// it may have lost tasks that were started there according to the journal.
	hadNoEpoch bool
	// lostEpoch says that the worker lost the accepted epoch; it is not used any
	// more.
	lostEpoch bool
	// gone says that the worker has been missing from the platform's list for
	// GoneAfter.
	gone bool
	// dropped says that the worker's tasks were given up; it is used again only
	// after it reports that no task runs there.
	dropped bool
	leaving bool
	// missingSince is when the worker disappeared from the platform's list, or
	// when it was added if no list has shown it; -1 while listed.
	missingSince time.Duration

	// lastAnswerAt is when the last answer arrived, confirmedAt the decision time
	// of the newest answered call.
	lastAnswerAt time.Duration
	confirmedAt  time.Duration
	// maxSilence is how long the worker may go without an answer; failures counts
	// the failed calls since the last answer.
	maxSilence time.Duration
	failures   int
	// listRequired says that the worker's digest did not match, so the next
	// renewal requests the list of its running tasks.
	listRequired bool
	// clockReading is the worker's clock in the answer that arrived at
	// clockReadAt.
	clockReading time.Duration
	clockReadAt  time.Duration
	// effectUntil is the owner's time, without a margin for drift, by which every
	// lease from the calls sent so far has ended.
	effectUntil time.Duration

	// claiming, renewing, starting and stopping say that such a call is in
	// flight; nextClaim, nextRenew and nextStartOrStop are when the next one may
	// be sent.
	claiming, renewing, starting, stopping bool
	nextClaim, nextRenew, nextStartOrStop  time.Duration

	startQueue []cairnbay.TaskStart
	stopQueue  map[cairnbay.StopMode][]cairnbay.TaskID
	// orphans are tasks that run on the worker and belong to no enqueued job.
	orphans map[cairnbay.TaskID]cairnbay.RunningTask
	ends    endTracker
	// lastReason is the last result of unusableReason; reported is the state that
	// the placer last received, zero before the first.
	lastReason string
	reported   cairnbay.WorkerState
}

func compareWorkers(a, b *worker) int {
	return cmp.Compare(a.ref.ID, b.ref.ID)
}

func (c *Core) addWorker(ref commit.WorkerRef, now time.Duration) *worker {
	added := &worker{
		ref:          cairnbay.WorkerState{ID: ref.ID, Address: ref.Address, Rack: ref.Rack, Capacity: ref.Capacity},
		missingSince: now, lastAnswerAt: now, maxSilence: c.config.RenewWait + unreachableAfter,
		stopQueue: map[cairnbay.StopMode][]cairnbay.TaskID{},
		orphans:   map[cairnbay.TaskID]cairnbay.RunningTask{},
	}
	c.workers[ref.ID] = added
	c.reportWorker(added, now)
	return added
}

// SetInstances takes the platform's list of the shard's workers: it adds new
// workers, marks those missing for GoneAfter as gone, gives up their tasks, and
// journals the set of workers when it has changed.
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
	current, ok := c.workers[instance.ID]
	if !ok {
		current = c.addWorker(commit.WorkerRef{
			ID: instance.ID, Address: instance.Address, Rack: instance.Rack, Capacity: instance.Capacity,
		}, now)
	}
	current.ref.Address, current.ref.Rack = instance.Address, instance.Rack
	current.leaving = instance.Leaving
	c.reportWorker(current, now)
}

func (c *Core) setMissing(worker *worker, missing bool, now time.Duration) {
	switch {
	case !missing:
		worker.missingSince = -1
	case worker.missingSince < 0:
		worker.missingSince = now
	case !worker.gone && now-worker.missingSince >= c.config.GoneAfter && now-worker.lastAnswerAt >= c.config.GoneAfter:
		worker.gone = true
		c.dropWorker(worker, now)
	}
}

// recordWorkers journals the set of workers when it has changed; an empty set
// is not journaled. A worker is used, and counts for the quorum, once a set
// with it is confirmed. A gone worker stays in the set until PhaseActive, when
// every task from before the takeover is accounted for: from the set, a
// successor learns which workers may have been given a task.
func (c *Core) recordWorkers(now time.Duration) {
	if c.config.FromReplica {
		return
	}
	var refs []commit.WorkerRef
	changed := false
	for _, worker := range c.sortedWorkers() {
		included := !worker.gone || (worker.recorded && c.phase != PhaseActive)
		changed = changed || worker.recorded != included
		if included {
			refs = append(refs, commit.WorkerRef{
				ID: worker.ref.ID, Address: worker.ref.Address, Rack: worker.ref.Rack, Capacity: worker.ref.Capacity,
			})
		}
	}
	if !changed || len(refs) == 0 || c.recordingWorkers {
		return
	}
	c.recordingWorkers = true
	c.appendRecords(now, true, []commit.Record{{Workers: refs}}, func(now time.Duration) {
		c.recordingWorkers = false
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
		c.reportWorker(worker, now)
	}
	c.updateQuorum()
	c.advancePhase(now)
}

// reportWorker updates the placer when the worker's state has changed.
func (c *Core) reportWorker(worker *worker, now time.Duration) {
	worker.lastReason = worker.unusableReason(now)
	if worker.gone || worker.dropped {
		return
	}
	state := worker.ref
	state.Usable, state.UnusableReason = worker.lastReason == "", worker.lastReason
	if state == worker.reported {
		return
	}
	worker.reported = state
	c.placer.SetWorker(state, now)
}

// unusableReason returns why the worker is unusable, empty if it is usable.
func (w *worker) unusableReason(now time.Duration) string {
	switch {
	case w.gone:
		return "gone"
	case w.lostEpoch:
		return "without its accepted epoch"
	case !w.claimed:
		return "not claimed yet"
	case w.dropped:
		return "not confirmed empty after its tasks were given up"
	case w.answerOverdue(now):
		return "unreachable"
	case w.leaving:
		return "leaving"
	case !w.recorded:
		return "not in the journal yet"
	default:
		return ""
	}
}

// reachable reports whether the worker has accepted the epoch and still has it,
// was not dropped, and its answers are not overdue.
func (w *worker) reachable(now time.Duration) bool {
	return w.claimed && !w.lostEpoch && !w.dropped && !w.answerOverdue(now)
}

// answerOverdue reports whether the worker has been without an answer for too
// long.
func (w *worker) answerOverdue(now time.Duration) bool {
	silence := now - w.lastAnswerAt
	return silence >= w.maxSilence || (w.failures >= unreachableFailures && silence >= unreachableAfter)
}

// tickWorker sends the calls to a worker that are due.
func (c *Core) tickWorker(worker *worker, now time.Duration) {
	if worker.gone {
		return
	}
	if worker.unusableReason(now) != worker.lastReason {
		c.reportWorker(worker, now)
	}
	if !worker.claimed {
		c.sendClaim(worker, now)
		return
	}
	if !worker.reachable(now) && len(worker.startQueue) > 0 {
		c.withdrawStarts(worker, now)
	}
	c.sendRenewal(worker, now)
	c.sendStops(worker, now)
	c.sendStarts(worker, now)
	// effectUntil includes the lease, so only its drift margin is added.
	if !worker.dropped && c.renewalsEnded(worker, now) && now >= worker.effectUntil+withDrift(c.config.TaskLease)-c.config.TaskLease {
		c.dropWorker(worker, now)
	}
}

// renewalsEnded reports whether the owner has stopped renewing the worker's
// tasks: the worker lost the epoch or has not answered for stopRenewAfter.
func (c *Core) renewalsEnded(worker *worker, now time.Duration) bool {
	return worker.lostEpoch || now-worker.lastAnswerAt >= stopRenewAfter
}

// dropWorker gives up the tasks of a worker on which no task can run any more.
func (c *Core) dropWorker(worker *worker, now time.Duration) {
	worker.dropped = true
	worker.reported = cairnbay.WorkerState{}
	worker.startQueue = nil
	worker.stopQueue = map[cairnbay.StopMode][]cairnbay.TaskID{}
	worker.orphans = map[cairnbay.TaskID]cairnbay.RunningTask{}
	for task, placement := range c.placements {
		if placement.worker == worker {
			delete(c.placements, task)
		}
	}
	for _, task := range c.placer.DropWorker(worker.ref.ID, now) {
		c.journalFinal(task, cairnbay.TaskUnknown, now)
	}
	c.reportWorker(worker, now)
}

// recordAnswer records a successful call. decided is the owner's time of the
// decision, workerNow the worker's clock in the answer, 0 if it has none.
func (c *Core) recordAnswer(worker *worker, decided, workerNow, now time.Duration) {
	worker.lastAnswerAt = now
	worker.failures = 0
	worker.confirmedAt = max(worker.confirmedAt, decided)
	if workerNow > 0 {
		worker.clockReading, worker.clockReadAt = workerNow, now
	}
	c.updateQuorum()
	if worker.unusableReason(now) != worker.lastReason {
		c.reportWorker(worker, now)
	}
}

// recordFailure records a failed call and reports whether it fenced the owner.
func (c *Core) recordFailure(worker *worker, accepted cairnbay.Epoch, err error, now time.Duration) bool {
	if !errors.Is(err, cairnbay.ErrFenced) {
		worker.failures++
		return false
	}
	if accepted.Compare(c.config.Epoch) > 0 {
		c.Fence(accepted)
		return c.phase == PhaseFenced
	}
	worker.lostEpoch = true
	c.reportWorker(worker, now)
	return false
}
