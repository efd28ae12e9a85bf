package sched

import (
	"errors"
	"time"

	"cairnbay"
)

const (
	// refusedBackoff is the pause for new tasks on a worker that refused one.
	refusedBackoff = 800 * time.Millisecond
	// stallTimeout is the longest time without a change of progress. A task
	// takes a fraction of a second per percent, and progress is read with each
	// hold.
	stallTimeout = 2500 * time.Millisecond
	// startupStallTimeout is the same for a long-running task that is still
	// starting; it exceeds the usual startup.
	startupStallTimeout = 4 * time.Second
	// startedUpPercent is the progress of a long-running task after its
	// startup.
	startedUpPercent = 100
	// invalidStartBackoff delays the next start of a task that its worker
	// refused as invalid.
	invalidStartBackoff = time.Second
	// restartBackoffBase is the delay before the third restart in a row of a
	// long-running task. It doubles up to restartBackoffMax, which is well
	// below the time within which such a task must be available again.
	restartBackoffBase = 100 * time.Millisecond
	restartBackoffMax  = 800 * time.Millisecond
	// stableRunTime is the run time beyond which the end of a long-running task does not
	// count as a failed start.
	stableRunTime = 3 * time.Second
)

// findAttempt returns the attempt that a worker's answer concerns, nil if it is
// no longer attached.
func (c *Core) findAttempt(worker string, task cairnbay.WorkflowTask, number int) *attempt {
	target := c.workers[worker]
	if target == nil {
		return nil
	}
	found := target.attempts[task]
	if found == nil || found.number != number {
		return nil
	}
	return found
}

// IsOrdered reports whether the attempt of a start is still attached to its worker. A start
// of any other attempt must not be sent: its task may run elsewhere.
func (c *Core) IsOrdered(action *StartAction) bool {
	return c.findAttempt(action.Target.Worker, action.Task, action.Attempt) != nil
}

// HandleStart processes the answer to a start. An attempt becomes uncertain
// after an error that does not exclude that it runs, including ErrFenced and
// ErrReplaced; a lost worker is reported by HandleWorkerLoss. The answer for an attempt
// that is no longer attached changes nothing.
func (c *Core) HandleStart(now Moment, action *StartAction, err error) {
	a := c.findAttempt(action.Target.Worker, action.Task, action.Attempt)
	if a == nil || a.phase != phaseStarting {
		return
	}
	switch {
	case err == nil:
		c.markRunning(now, a)
		if a.stage.advice != nil {
			a.stage.advice.noteAccepted(action)
			c.changeCount++
		}
	case errors.Is(err, cairnbay.ErrUnknown):
		a.phase = phaseUncertain
		a.phaseSince = now.BootTime
		a.worker.health.addUnanswered(now.BootTime)
	case errors.Is(err, cairnbay.ErrInvalidTicket):
		c.handleRefusedTicket(now, a, action)
		c.undoStart(now, a)
	case errors.Is(err, cairnbay.ErrStaleAttempt), errors.Is(err, cairnbay.ErrStartExpired):
		c.undoStart(now, a)
	case errors.Is(err, cairnbay.ErrNoRoom), errors.Is(err, cairnbay.ErrOverloaded), errors.Is(err, cairnbay.ErrUnavailable):
		a.worker.refusedUntil = now.BootTime + refusedBackoff
		c.undoStart(now, a)
	case errors.Is(err, cairnbay.ErrInvalid):
		a.task.notBefore = now.BootTime + invalidStartBackoff
		c.undoStart(now, a)
	default:
		a.phase = phaseUncertain
		a.phaseSince = now.BootTime
	}
}

func (c *Core) markRunning(now Moment, a *attempt) {
	if a.stage != nil {
		a.stage.job.started = true
		if a.stage.advice != nil {
			a.stage.advice.wait = adviceWait{}
		}
	}
	a.phase = phaseRunning
	a.phaseSince = now.BootTime
	a.startedAt = now.BootTime
	a.percentAt, a.percentClock = now.BootTime, a.worker.clock
	a.worker.health.addAnswered()
	if !a.known {
		a.known, a.knownAt = true, a.worker.clock
	}
}

// undoStart detaches an attempt that certainly did not start.
func (c *Core) undoStart(_ Moment, a *attempt) {
	if a == a.task.copy {
		a.task.relocated = false
	}
	c.detach(a)
	c.abortGang(a)
}

// HandleStop processes the answer to a stop.
func (c *Core) HandleStop(now Moment, action *StopAction, err error) {
	a := c.findAttempt(action.Target.Worker, action.Task, action.Attempt)
	if a == nil {
		return
	}
	a.stopInFlight = false
	if err != nil || a.stopAnsweredAt > 0 {
		return
	}
	a.stopAnsweredAt = now.BootTime
}

// abortGang stops the other members of an attempt's gang.
func (c *Core) abortGang(a *attempt) {
	if a.stage == nil || !a.stage.spec.Gang || a.stage.done == len(a.stage.tasks) {
		return
	}
	for i := range a.stage.tasks {
		other := a.stage.tasks[i].attempt
		if other == nil || other == a || other.number != a.number {
			continue
		}
		c.stop(other, CauseGangIncomplete)
	}
	a.stage.gangAborting = a.stage.liveAttempts > 0
	c.updateReadyStages(a.stage.job)
}

// AttemptEnd is an end listed by a worker, for logs.
type AttemptEnd struct {
	End cairnbay.AgentEnd
	// RunTime is how long the attempt ran, 0 if unknown.
	RunTime time.Duration
	// Predicted is the run time that was predicted at the start, 0 unless the attempt
	// completed its task as a whole. Queue is the queue of the job.
	Predicted time.Duration
	Queue     string
	// JobKnown is set if the core has the job and the job has the task.
	JobKnown bool
	// Incomplete is why the gang was incomplete, empty unless the attempt ended with
	// cairnbay.AgentGangIncomplete.
	Incomplete IncompleteCause
}

// HoldResult is the outcome of HandleHold.
type HoldResult struct {
	// Records must be in the store before the ends up to LastSequence are
	// acknowledged.
	Records []Record
	// LastSequence is the sequence of the last end that was handled.
	LastSequence uint64
	Ends         []AttemptEnd
	// Unlisted are the attempts that were running and that the worker no longer lists.
	Unlisted []LostAttempt
}

// HandleHold processes the state that a worker returned to a hold, the call
// that renews its lease. sent is the boot time at which the hold was sent;
// later starts may be missing from the state. Attempts that a truncated state does not
// list are left as they are until the worker lists all ends. The result is empty for
// an unknown worker.
func (c *Core) HandleHold(now Moment, id string, sent time.Duration, state cairnbay.AgentState) HoldResult {
	worker := c.workers[id]
	if worker == nil {
		return HoldResult{}
	}
	c.withdrawCrash(id)
	worker.clock = max(worker.clock, state.Clock)
	if !worker.claimed {
		worker.claimed = true
		c.changeCount++
	}
	var result HoldResult
	for _, end := range state.Ended {
		if end.Sequence <= worker.lastEndSequence {
			continue
		}
		worker.lastEndSequence = end.Sequence
		records, attemptEnd := c.handleEnd(now, worker, end)
		result.Records = append(result.Records, records...)
		result.Ends = append(result.Ends, attemptEnd)
	}
	result.LastSequence = worker.lastEndSequence
	listed := make(map[cairnbay.WorkflowTask]int, len(state.Running))
	for _, running := range state.Running {
		listed[running.Task] = running.Attempt
		result.Records = append(result.Records, c.handleRunning(now, worker, state.Clock, running)...)
	}
	c.judgeProgress(now, worker)
	c.judgeSharing(now, worker)
	if state.EndsTruncated {
		return result
	}
	for ref, attempt := range worker.attempts {
		if number, ok := listed[ref]; !ok || number != attempt.number {
			if c.handleMissing(now, attempt, sent) {
				result.Unlisted = append(result.Unlisted, LostAttempt{attempt.ref, attempt.number, attempt.ranAtLeast()})
			}
		}
	}
	return result
}

// handleRunning processes one running task of a worker's state. clock is the worker's
// clock in that state: an order that was answered later may have been handled before.
func (c *Core) handleRunning(now Moment, worker *worker, clock time.Duration, running cairnbay.AgentTask) []Record {
	a := worker.attempts[running.Task]
	if a == nil {
		a = c.adopt(now, worker, running)
	}
	if a.number != running.Attempt {
		return nil
	}
	if a.phase == phaseStarting || a.phase == phaseUncertain || a.assumed {
		a.assumed = false
		c.markRunning(now, a)
	}
	if running.Percent != a.percent {
		a.percent, a.percentAt, a.percentClock = running.Percent, now.BootTime, clock
		c.observeProgress(now, a)
	}
	if !a.stable && a.stage != nil && a.stage.spec.LongRunning && a.percent >= startedUpPercent && now.BootTime-a.startedAt > stableRunTime {
		a.stable = true
		worker.health.addSuccess()
	}
	c.sampleProgress(now, a, clock, running.Percent)
	a.noteTail(now, running.Load)
	c.checkProgress(now, a, clock)
	if a.task != nil {
		former := a.task.checkpoint
		a.stage.saveCheckpoint(a.task, running.Attempt, running.Checkpoint)
		if a.task.checkpoint != former {
			a.savedAt = now.BootTime
			a.task.checkpointPercent = running.Percent
		}
	}
	return c.proveAttempt(now, a)
}

// checkProgress stops an attempt whose progress has not changed for the stall
// timeout, and pauses new tasks on its worker. The worker may look healthy by
// every other sign. The time counts on the worker's clock, up to its report: this
// process may have been paused since.
func (c *Core) checkProgress(now Moment, a *attempt, clock time.Duration) {
	if a.stage == nil || a.stopCause != "" || a.phase != phaseRunning || a.stage.spec.BestEffort {
		return
	}
	if c.inheritedGangStalled(a, clock) {
		c.stopIncompleteGang(a.stage)
		return
	}
	limit := stallTimeout
	if a.stage.spec.LongRunning {
		if a.percent >= startedUpPercent {
			return
		}
		limit = startupStallTimeout
	}
	if clock-a.percentClock <= limit {
		return
	}
	a.worker.health.addStall(now.BootTime)
	a.task.failedOn = a.worker.entry.ID
	c.stop(a, CauseStalled)
	c.abortGang(a)
}

// adopt attaches an attempt that a worker runs but the core does not have:
// another owner ordered it, or its start was assumed to be refused. Unless its
// task waits for a start, the attempt is marked for a stop.
func (c *Core) adopt(now Moment, w *worker, running cairnbay.AgentTask) *attempt {
	adopted := &attempt{ref: running.Task, number: running.Attempt, worker: w, stopCause: CauseOrphan, partial: true}
	if job := c.jobs[running.Task.Job]; job != nil {
		adopted.stage = job.stageAt(running.Task.Occurrence, running.Task.Step)
	}
	if adopted.stage != nil {
		adopted.task = adopted.stage.task(running.Task.Index)
	}
	if adopted.task == nil {
		adopted.stage = nil
		w.attach(adopted)
		c.markRunning(now, adopted)
		return adopted
	}
	stage, task := adopted.stage, adopted.task
	adopted.size = demand(stage.spec)
	task.lastAttempt = max(task.lastAttempt, running.Attempt)
	c.endAssumed(task, running.Attempt)
	w.attach(adopted)
	c.markRunning(now, adopted)
	if task.attempt == nil && !task.done && !stage.job.ended && !stage.gangAborting {
		adopted.stopCause = ""
		task.attempt = adopted
		stage.waiting--
		c.updateReadyStages(stage.job)
		if !c.blockInherited {
			c.stopIncompleteGang(stage)
		}
	} else if c.adoptCopy(adopted) {
		adopted.stopCause = ""
	}
	return adopted
}

// handleMissing processes an attempt that its worker lists neither as running
// nor as ended. It is over if a stop was answered before the hold was sent. It
// becomes uncertain if it was running by then, and handleMissing returns true;
// otherwise its start may have arrived after the hold.
func (c *Core) handleMissing(now Moment, a *attempt, sent time.Duration) (unlisted bool) {
	switch {
	case a.assumed:
		// The worker has listed all that it runs, and refuses orders of former owners.
		c.detach(a)
		c.abortGang(a)
	case a.stopAnsweredAt > 0 && a.stopAnsweredAt < sent:
		if a.phase == phaseUncertain && !a.known {
			a.worker.health.addUnanswered(now.BootTime)
		}
		c.detach(a)
		c.abortGang(a)
	case a.phase == phaseRunning && a.phaseSince < sent:
		a.phase = phaseUncertain
		a.phaseSince = now.BootTime
		return true
	}
	return false
}

// handleEnd processes one end of a worker's state.
func (c *Core) handleEnd(now Moment, w *worker, end cairnbay.AgentEnd) ([]Record, AttemptEnd) {
	attemptEnd := AttemptEnd{End: end}
	a := w.attempts[end.Task]
	if a != nil && a.number != end.Attempt {
		a = nil
	}
	if end.Reason == cairnbay.AgentGangIncomplete {
		attemptEnd.Incomplete = c.incompleteCause(a, end.Attempt)
	}
	if a != nil && a.startedAt > 0 {
		attemptEnd.RunTime = now.BootTime - a.startedAt
	}
	job := c.jobs[end.Task.Job]
	var stage *stage
	if job != nil {
		stage = job.stageAt(end.Task.Occurrence, end.Task.Step)
	}
	if stage == nil || stage.task(end.Task.Index) == nil {
		if a != nil {
			c.detach(a)
		}
		if stage == nil && job != nil && end.Reason == cairnbay.AgentDone {
			return job.recordUnappliedDone(end), attemptEnd
		}
		return nil, attemptEnd
	}
	attemptEnd.JobKnown = true
	job.started = true
	task := stage.task(end.Task.Index)
	task.lastAttempt = max(task.lastAttempt, end.Attempt)
	attemptEnd.Queue = job.workflow.Queue.Name
	if a != nil && end.Reason == cairnbay.AgentDone && !a.partial {
		attemptEnd.Predicted = a.predicted
	}
	var records []Record
	switch end.Reason {
	case cairnbay.AgentDone:
		records = c.handleDone(now, stage, task, a, end.Attempt)
		w.health.addSuccess()
	case cairnbay.AgentFailed:
		if blamesWorker(stage, attemptEnd.RunTime) {
			w.health.addFailure(now.BootTime)
		}
		task.failedOn = w.entry.ID
		records = c.handleFailure(now, stage, task, end.Attempt)
	default:
		// A former owner may have ordered the attempt, so it need not be attached.
		stage.saveCheckpoint(task, end.Attempt, end.Checkpoint)
	}
	if a != nil {
		c.detach(a)
		if end.Reason != cairnbay.AgentDone {
			c.abortGang(a)
		}
	}
	if stage.spec.LongRunning && !job.ended {
		task.delayRestart(now.BootTime, attemptEnd.RunTime)
	}
	c.updateReadyStages(job)
	return records, attemptEnd
}

// handleDone processes an end that completes a task or a whole gang.
func (c *Core) handleDone(now Moment, stage *stage, task *task, a *attempt, number int) []Record {
	if task.done {
		return nil
	}
	if a != nil && a.startedAt > 0 && !a.partial && !stage.spec.BestEffort {
		ran := now.BootTime - a.startedAt
		c.observeRunTime(stage.job.workflow.Queue.Name, stage.spec.RunTime, ran)
		stage.longestRunTime = max(stage.longestRunTime, c.observeDone(now, a, ran))
	}
	record := Record{Kind: RecordDone, Task: stage.ref(task.index), Attempt: number}
	if stage.spec.Gang {
		record.Task.Index = wholeGang
		stage.finishAll()
	} else {
		stage.finish(task)
		for _, other := range task.attempts() {
			if other != a {
				c.stop(other, CauseDone)
			}
		}
	}
	if stage.done == len(stage.tasks) {
		stage.closeRuns()
	}
	if a != nil {
		c.observeSpeed(now, a)
	}
	c.updateDeadline(stage.job)
	stage.job.unwritten++
	stage.job.endIfComplete(now)
	records := []Record{record}
	if a != nil {
		c.observeHarmlessStart(a)
	}
	if h := stage.history(task); h.suspected() {
		records = append(records, c.acquit(now, h)...)
	}
	return records
}

// handleFailure processes an end that uses up an attempt.
func (c *Core) handleFailure(now Moment, stage *stage, task *task, number int) []Record {
	if stage.spec.LongRunning || task.done {
		return nil
	}
	alreadyEnded := stage.job.ended
	if !c.countFailure(now, stage, task, number) {
		return nil
	}
	stage.job.unwritten++
	if stage.job.ended && !alreadyEnded {
		c.endJob(now, stage.job)
	}
	return []Record{{Kind: RecordFailed, Task: stage.ref(task.index), Attempt: number}}
}

// saveCheckpoint stores an attempt's checkpoint for the next attempt, unless a later
// attempt is known; all members of a gang share one. An empty one changes nothing.
func (s *stage) saveCheckpoint(task *task, attempt int, checkpoint string) {
	if checkpoint == "" || !s.mayResumeFrom(task, attempt) {
		return
	}
	if s.spec.Gang {
		for i := range s.tasks {
			s.tasks[i].checkpoint = checkpoint
		}
		return
	}
	task.checkpoint = checkpoint
}

// delayRestart delays the next start of a long-running task that ends
// repeatedly after at most stableRunTime. An unknown run time counts as 0.
func (t *task) delayRestart(now, ran time.Duration) {
	if ran > stableRunTime {
		t.restarts = 0
	}
	t.restarts++
	if t.restarts > 2 {
		t.notBefore = now + min(restartBackoffBase<<min(t.restarts-3, 8), restartBackoffMax)
	}
}
