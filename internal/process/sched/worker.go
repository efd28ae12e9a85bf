package sched

import (
	"cmp"
	"slices"
	"time"

	"cairnbay"
	"cairnbay/internal/process/learn"
)

// worker is one run of a worker process; the run after a restart is another worker.
type worker struct {
	entry cairnbay.WorkerEntry
	// used is the capacity that the attached attempts reserve.
	used cairnbay.Resources
	// claimed is set once the worker has accepted this owner's fencing token.
	claimed bool
	// listed is set while the platform's list contains the worker.
	listed bool
	// unsizedAttempts counts attempts of unknown tasks and thus of unknown
	// size. Until they end, the worker gets no new tasks.
	unsizedAttempts int
	attempts        map[cairnbay.WorkflowTask]*attempt
	// lastEndSequence is the sequence of the last end that was handled.
	lastEndSequence uint64
	// refusedUntil prevents new tasks on a worker that refused one.
	refusedUntil time.Duration
	health       health
	// reservedFor is the stage for which tasks are being preempted here. The
	// worker is reserved for it until reservedUntil.
	reservedFor   *stage
	reservedUntil time.Duration
	// serving and bestEffort count the attempts of steps with a tail target and
	// of best-effort steps.
	serving, bestEffort int
	// unreachable is set while calls to the worker fail, since unreachableSince.
	unreachable      bool
	unreachableSince time.Duration
	// trials counts the attempts on trial.
	trials int
	// disturbedUntil is how long the worker counts as disturbed, disturbedSince when that
	// began, and steadyAt when a run last progressed as expected.
	disturbedUntil, disturbedSince, steadyAt time.Duration
	// logSlowness is the logarithm of the usual run time here relative to other workers.
	logSlowness float64
	// clock is the worker's clock in its latest answer.
	clock time.Duration
	// sharing is that of the worker between best-effort and serving tasks.
	sharing sharing
	// speed is what is known of the worker's speed, nil if nothing is learned.
	speed *learn.Worker
}

// phase is the state of an attempt.
type phase uint8

const (
	// phaseReserved holds capacity during a call for tickets.
	phaseReserved phase = iota
	// phaseStarting is ordered but not answered.
	phaseStarting
	// phaseRunning is confirmed by the worker.
	phaseRunning
	// phaseUncertain has an answer to its start that does not tell whether the
	// task runs, or is no longer listed by its worker.
	phaseUncertain
)

// attempt is one start of a task on a worker. It holds capacity there until its
// end is known.
type attempt struct {
	stage  *stage
	task   *task
	ref    cairnbay.WorkflowTask
	number int
	worker *worker
	size   cairnbay.Resources
	phase  phase
	// phaseSince is when the phase began.
	phaseSince time.Duration
	// orderedAt is when the start was ordered, 0 for an attempt that was adopted, and
	// startedAt when the task was first known to run.
	orderedAt, startedAt time.Duration
	// known is set once the worker has answered the start or listed the attempt, and
	// knownAt is the worker's clock by then.
	known   bool
	knownAt time.Duration
	// trialWeight is above 0 while the attempt is on trial, see beginTrial.
	trialWeight int
	// harmless is set once the attempt is known not to have crashed its worker.
	harmless bool
	// partial is set where the work began in an earlier attempt or under
	// another owner. The run time of such an attempt is not used for estimates.
	partial bool
	// percent is the last reported progress, percentAt when its change was handled, and
	// percentClock the worker's clock in the report of the change.
	percent                 int
	percentAt, percentClock time.Duration
	// stable is set once a long-running task has been at work for longer than stableRunTime.
	stable bool
	// savedAt is when the worker last reported a new checkpoint, 0 for never.
	savedAt time.Duration
	// predicted is the predicted run time, 0 for none.
	predicted time.Duration
	// progress is the recent progress, for attempts whose slowness counts.
	progress progress
	// tail is that of a serving attempt.
	tail tail
	// stopCause is why the attempt is being stopped, empty while it is not.
	stopCause EndCause
	// stopSentAt is when the last stop was sent, stopAnsweredAt when one was
	// first answered; 0 for never.
	stopSentAt     time.Duration
	stopAnsweredAt time.Duration
	// stopInFlight is set until the result of the last stop is handled.
	stopInFlight bool
	// assumed is set while the attempt is known from the journal only.
	assumed bool
}

// EndCause is the reason for which the owner stops an attempt.
type EndCause string

// Causes of a stop. CauseStartUnanswered is also used for a running attempt
// that its worker no longer lists, CauseOrphan for one whose task is unknown,
// done or placed elsewhere, CauseDone where another attempt completed the task,
// CauseStraggling for one that ends sooner on another worker, and CauseDisturbing for a
// best-effort one beside a serving task whose tail is near its target.
const (
	CauseCancelled       EndCause = "cancelled"
	CausePreempted       EndCause = "preempted"
	CauseStartUnanswered EndCause = "start_not_answered"
	CauseGangIncomplete  EndCause = "gang_incomplete"
	CauseOrphan          EndCause = "no_such_task"
	CauseStalled         EndCause = "no_progress"
	CauseDone            EndCause = "already_done"
	CauseStraggling      EndCause = "slow_progress"
	CauseDisturbing      EndCause = "disturbs_serving"
)

// ranAtLeast is how long the worker is known to have run the attempt, on its own clock,
// whenever the owner has handled its answers.
func (a *attempt) ranAtLeast() time.Duration {
	if !a.known {
		return 0
	}
	return a.worker.clock - a.knownAt
}

func (a *attempt) proven() bool {
	return a.ranAtLeast() >= provingTime
}

// crashedPromptly reports whether the worker has certainly ceased to answer within
// promptTime of the start. The task started between the order and its answer. An answer
// that was handled later shows that the worker was still there, and nobody knows for how
// long.
func (a *attempt) crashedPromptly() bool {
	lostAt := a.worker.unreachableSince
	return a.known && a.worker.unreachable && a.orderedAt > 0 && lostAt >= a.startedAt && lostAt-a.orderedAt <= promptTime
}

func (w *worker) usable() bool {
	return w.claimed && w.listed && !w.entry.Draining && w.unsizedAttempts == 0 && !w.unreachable
}

func (w *worker) free() cairnbay.Resources {
	return w.entry.Capacity.Sub(w.used)
}

// overcommitted reports whether the worker has shrunk below what its attempts reserve.
func (w *worker) overcommitted() bool {
	return !w.used.Fits(w.entry.Capacity)
}

// canRun reports whether the empty worker could run a task of the step.
func (w *worker) canRun(spec *cairnbay.WorkflowStep) bool {
	return demand(spec).Fits(w.entry.Capacity) && (spec.Label == "" || slices.Contains(w.entry.Labels, spec.Label))
}

// attach adds an attempt to its worker and reserves its capacity there.
func (w *worker) attach(a *attempt) {
	w.attempts[a.ref] = a
	w.used = w.used.Add(a.size)
	if a.stage == nil {
		w.unsizedAttempts++
		return
	}
	a.stage.job.attempts++
	a.stage.job.charge(a.size)
	a.stage.liveAttempts++
	a.stage.attemptsPerWorker[w.entry.ID]++
	if a.stage.spec.TailTarget > 0 {
		w.serving++
	}
	if a.stage.spec.BestEffort {
		w.bestEffort++
	}
}

// detach removes an attempt from its worker and frees its capacity.
func (c *Core) detach(a *attempt) {
	w := a.worker
	if w.attempts[a.ref] != a {
		return
	}
	delete(w.attempts, a.ref)
	delete(c.slow, a)
	w.used = w.used.Sub(a.size)
	a.dropRun()
	c.endTrial(a)
	if a.phase != phaseReserved {
		c.changeCount++
	}
	if a.stage == nil {
		w.unsizedAttempts--
		return
	}
	a.stage.job.attempts--
	a.stage.job.charge(cairnbay.Resources{}.Sub(a.size))
	a.stage.liveAttempts--
	a.stage.attemptsPerWorker[w.entry.ID]--
	if a.stage.spec.TailTarget > 0 {
		w.serving--
	}
	if a.stage.spec.BestEffort {
		w.bestEffort--
	}
	a.detachFromTask()
	if a.stage.liveAttempts == 0 {
		a.stage.gangAborting = false
	}
	c.updateReadyStages(a.stage.job)
}

// position returns the index of a worker in sortedWorkers, or where it would be
// inserted.
func (c *Core) position(id string) (index int, found bool) {
	return slices.BinarySearchFunc(c.sortedWorkers, id, func(w *worker, id string) int {
		return cmp.Compare(w.entry.ID, id)
	})
}

// SetWorker adds a worker from the platform's list or updates its entry.
func (c *Core) SetWorker(entry cairnbay.WorkerEntry) {
	existing := c.workers[entry.ID]
	if existing == nil {
		existing = &worker{entry: entry, attempts: make(map[cairnbay.WorkflowTask]*attempt)}
		c.workers[entry.ID] = existing
		index, _ := c.position(entry.ID)
		c.sortedWorkers = slices.Insert(c.sortedWorkers, index, existing)
	}
	existing.entry = entry
	existing.listed = true
	c.addSpeed(existing)
	c.changeCount++
}

// SetUnlisted excludes a worker that the platform's list no longer contains
// from new tasks. Its attempts go on.
func (c *Core) SetUnlisted(id string) {
	if worker := c.workers[id]; worker != nil {
		worker.listed = false
	}
}

// SetReachable records whether calls to a worker succeed.
func (c *Core) SetReachable(now Moment, id string, reachable bool) {
	worker := c.workers[id]
	if worker == nil || worker.unreachable == !reachable {
		return
	}
	worker.unreachable = !reachable
	c.changeCount++
	if !reachable {
		worker.unreachableSince = now.BootTime
		c.expectCrash(now, worker)
	}
}

// HandleAnswer records the clock in a worker's answer to an order.
func (c *Core) HandleAnswer(id string, clock time.Duration) {
	if worker := c.workers[id]; worker != nil {
		worker.clock = max(worker.clock, clock)
	}
}

// LostAttempt is an attempt that was lost with its worker.
type LostAttempt struct {
	Task    cairnbay.WorkflowTask
	Attempt int
	// RanAtLeast is how long the worker is known to have run the attempt, on its own
	// clock.
	RanAtLeast time.Duration
}

// WorkerLoss is the outcome of HandleWorkerLoss.
type WorkerLoss struct {
	Lost []LostAttempt
	// Records must be stored, so that the next owner knows which tasks crash their
	// workers.
	Records []Record
}

// HandleRestart is HandleWorkerLoss for a run of a worker's process after which another
// one has answered with a state, which must not be truncated. The attempts that the state
// lists are not lost, see HandOver.
func (c *Core) HandleRestart(now Moment, id string, cause LossCause, state cairnbay.AgentState) WorkerLoss {
	c.HandOver(id, state)
	return c.HandleWorkerLoss(now, id, cause)
}

// HandOver detaches the attempts of a former run of a worker's process that the state of
// the current one lists; the next HandleHold attaches them there: the current run has
// carried out orders for the former one.
func (c *Core) HandOver(formerID string, state cairnbay.AgentState) {
	former := c.workers[formerID]
	if former == nil {
		return
	}
	listed := func(task cairnbay.WorkflowTask, number int) {
		if a := former.attempts[task]; a != nil && a.number == number {
			c.detach(a)
		}
	}
	for _, running := range state.Running {
		listed(running.Task, running.Attempt)
	}
	for _, ended := range state.Ended {
		listed(ended.Task, ended.Attempt)
	}
}

// HandleWorkerLoss removes a worker whose tasks have certainly ended. It may be called
// again for a silent worker, once more is known.
func (c *Core) HandleWorkerLoss(now Moment, id string, cause LossCause) WorkerLoss {
	loss := c.HandlePartialLoss(now, id, cause, nil)
	if lostWorker := c.workers[id]; lostWorker != nil {
		delete(c.workers, id)
		index, _ := c.position(id)
		c.sortedWorkers = slices.Delete(c.sortedWorkers, index, index+1)
		c.removeSpeed(lostWorker)
	}
	return loss
}

// HandlePartialLoss is HandleWorkerLoss for a worker that may still run some attempts, which
// stay attached to it.
func (c *Core) HandlePartialLoss(now Moment, id string, cause LossCause, kept []PlacedAttempt) WorkerLoss {
	var loss WorkerLoss
	switch silent := c.crashes[id]; {
	case silent != nil && cause == LossCrashed && !silent.confirmed:
		loss.Records = c.confirmCrash(now, silent)
	case silent != nil && cause == LossDeparted:
		c.withdrawCrash(id)
	}
	lostWorker := c.workers[id]
	if lostWorker == nil {
		return loss
	}
	if cause != LossDeparted && lostWorker.claimed {
		loss.Records = append(loss.Records, c.noteCrash(now, lostWorker, cause)...)
		// The loss of the rest is the same crash.
		lostWorker.claimed = false
	}
	for _, attempt := range lostWorker.attempts {
		if slices.Contains(kept, PlacedAttempt{attempt.ref, attempt.number}) {
			continue
		}
		loss.Lost = append(loss.Lost, LostAttempt{attempt.ref, attempt.number, attempt.ranAtLeast()})
		c.detach(attempt)
		c.abortGang(attempt)
	}
	return loss
}
