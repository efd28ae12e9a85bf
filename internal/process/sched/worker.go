package sched

import (
	"cmp"
	"slices"
	"time"

	"cairnbay"
)

// worker is one life of a worker.
type worker struct {
	entry cairnbay.WorkerEntry
	used  cairnbay.Resources
	// claimed says that the worker has accepted this owner's token.
	claimed bool
	// listed says that the platform's list names the worker.
	listed bool
	// unknownLoad counts attempts whose size is not known.
	unknownLoad int
	attempts    map[cairnbay.WorkflowTask]*attempt
	// seen is the sequence of the last end that was handled.
	seen uint64
	// quietUntil keeps new tasks away from a worker that fails or refuses them.
	quietUntil time.Duration
	// strikes counts failures and refusals since the last success.
	strikes int
	// heldFor keeps room that is being made for a stage, until heldUntil.
	heldFor   *stage
	heldUntil time.Duration
	// serving and bestEffort count the attempts of these kinds.
	serving, bestEffort int
	// unreachableSince is set while calls to the worker fail; 0 otherwise.
	unreachable bool
}

// phase is where an attempt stands.
type phase uint8

const (
	// phaseReserved holds capacity while a ticket is fetched.
	phaseReserved phase = iota
	// phaseStarting was ordered and not answered.
	phaseStarting
	phaseRunning
	// phaseDoubtful has an order without an answer, which may take effect late.
	phaseDoubtful
)

// attempt is one start of a task on a worker. It holds the worker's capacity
// until its end is known.
type attempt struct {
	stage  *stage
	task   *task
	ref    cairnbay.WorkflowTask
	number int
	worker *worker
	size   cairnbay.Resources
	phase  phase
	// since is when the phase began.
	since time.Duration
	// startedAt is when the task was first seen to run.
	startedAt time.Duration
	// partial says that the task's work began before that, with another attempt or
	// under another owner, so that its run time tells nothing.
	partial bool
	// percent and percentAt are the last progress and when it changed.
	percent   int
	percentAt time.Duration
	// ending says why the attempt is being stopped; empty while it is not.
	ending EndCause
	// stopSent and stopAnswered are when the last stop was sent, and when one
	// was first answered; 0 for never.
	stopSent     time.Duration
	stopAnswered time.Duration
}

// EndCause says why the owner ends an attempt.
type EndCause string

// Causes of a stop.
const (
	CauseCancelled       EndCause = "cancelled"
	CausePreempted       EndCause = "preempted"
	CauseStartUnanswered EndCause = "start_not_answered"
	CauseGangIncomplete  EndCause = "gang_incomplete"
	CauseOrphan          EndCause = "no_such_task"
	CauseStalled         EndCause = "no_progress"
	CauseDone            EndCause = "already_done"
)

func (w *worker) usable() bool {
	return w.claimed && w.listed && !w.entry.Draining && w.unknownLoad == 0 && !w.unreachable
}

func (w *worker) free() cairnbay.Resources {
	return w.entry.Capacity.Sub(w.used)
}

// admits says whether the worker may ever run the step.
func (w *worker) admits(spec *cairnbay.WorkflowStep) bool {
	return need(spec).Fits(w.entry.Capacity) && (spec.Label == "" || slices.Contains(w.entry.Labels, spec.Label))
}

// attach puts an attempt on its worker.
func (w *worker) attach(a *attempt) {
	w.attempts[a.ref] = a
	w.used = w.used.Add(a.size)
	if a.stage == nil {
		w.unknownLoad++
		return
	}
	a.stage.job.attempts++
	a.stage.live++
	a.stage.perWorker[w.entry.ID]++
	if a.stage.spec.TailTarget > 0 {
		w.serving++
	}
	if a.stage.spec.BestEffort {
		w.bestEffort++
	}
}

// detach takes an attempt off its worker and frees its capacity.
func (c *Core) detach(a *attempt) {
	w := a.worker
	if w.attempts[a.ref] != a {
		return
	}
	delete(w.attempts, a.ref)
	w.used = w.used.Sub(a.size)
	if a.phase != phaseReserved {
		c.changes++
	}
	if a.stage == nil {
		w.unknownLoad--
		return
	}
	a.stage.job.attempts--
	a.stage.live--
	a.stage.perWorker[w.entry.ID]--
	if a.stage.spec.TailTarget > 0 {
		w.serving--
	}
	if a.stage.spec.BestEffort {
		w.bestEffort--
	}
	if a.task.attempt == a {
		a.task.attempt = nil
		if !a.task.done {
			a.stage.waiting++
		}
	}
	if a.stage.live == 0 {
		a.stage.gangBroken = false
	}
	c.reindex(a.stage.job)
}

// position is where a worker stands, or belongs, among the ordered ones.
func (c *Core) position(id string) (at int, found bool) {
	return slices.BinarySearchFunc(c.ordered, id, func(w *worker, id string) int {
		return cmp.Compare(w.entry.ID, id)
	})
}

// SetWorker takes a row of the platform's list.
func (c *Core) SetWorker(entry cairnbay.WorkerEntry) {
	known := c.workers[entry.ID]
	if known == nil {
		known = &worker{entry: entry, attempts: make(map[cairnbay.WorkflowTask]*attempt)}
		c.workers[entry.ID] = known
		at, _ := c.position(entry.ID)
		c.ordered = slices.Insert(c.ordered, at, known)
	}
	known.entry = entry
	known.listed = true
	c.changes++
}

// SetUnlisted says that the platform's list no longer names a worker. What runs
// there still counts.
func (c *Core) SetUnlisted(id string) {
	if worker := c.workers[id]; worker != nil {
		worker.listed = false
	}
}

// SetReachable says whether calls to a worker succeed.
func (c *Core) SetReachable(id string, reachable bool) {
	worker := c.workers[id]
	if worker == nil || worker.unreachable == !reachable {
		return
	}
	worker.unreachable = !reachable
	c.changes++
}

// LostAttempt is an attempt that ended with its worker.
type LostAttempt struct {
	Task    cairnbay.WorkflowTask
	Attempt int
}

// HandleWorkerLoss says that nothing of what a worker ran can still run, and returns what
// it ran.
func (c *Core) HandleWorkerLoss(id string) (lost []LostAttempt) {
	gone := c.workers[id]
	if gone == nil {
		return nil
	}
	for _, attempt := range gone.attempts {
		lost = append(lost, LostAttempt{attempt.ref, attempt.number})
		c.detach(attempt)
		c.breakGang(attempt)
	}
	delete(c.workers, id)
	at, _ := c.position(id)
	c.ordered = slices.Delete(c.ordered, at, at+1)
	return lost
}
