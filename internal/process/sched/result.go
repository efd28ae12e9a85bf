package sched

import (
	"errors"
	"time"

	"cairnbay"
)

const (
	// refusedQuiet keeps new tasks away from a worker that refused one.
	refusedQuiet = 800 * time.Millisecond
	// failedQuiet is the first pause after strikesToQuiet failures in a row; it
	// doubles with each further one, up to failedQuietMost.
	failedQuiet     = time.Second
	failedQuietMost = 8 * time.Second
	strikesToQuiet  = 3
	// standsStill is how long a task may show no progress. Progress is told in
	// hundredths, which take a fraction of a second each, and seen with each hold.
	standsStill = 2500 * time.Millisecond
	// standsIdle is the same for a task that lasts and is not at work yet, beyond
	// its startup.
	standsIdle = 4 * time.Second
	// atWork is the progress of a task that lasts once it is at work.
	atWork = 100
	// stalledQuiet keeps new tasks away from a worker on which one stood still.
	stalledQuiet = 3 * time.Second
	// retryPause delays the next start of a task whose order was refused as
	// invalid.
	retryPause = time.Second
	// restartPause is the delay before the third restart in a row of a
	// long-running task; it doubles up to restartPauseMost, which stays well
	// below the time within which such a task must be back.
	restartPause     = 100 * time.Millisecond
	restartPauseMost = 800 * time.Millisecond
)

// find returns the attempt that a worker's answer is about, nil if it is gone.
func (c *Core) find(worker string, task cairnbay.WorkflowTask, number int) *attempt {
	on := c.workers[worker]
	if on == nil {
		return nil
	}
	found := on.attempts[task]
	if found == nil || found.number != number {
		return nil
	}
	return found
}

// HandleStart takes the answer to a start. ErrFenced and ErrReplaced concern the
// whole worker and are handled by HandleWorkerLoss.
func (c *Core) HandleStart(now Moment, action *StartAction, err error) {
	a := c.find(action.Target.Worker, action.Task, action.Attempt)
	if a == nil || a.phase != phaseStarting {
		return
	}
	switch {
	case err == nil:
		c.confirm(now, a)
	case errors.Is(err, cairnbay.ErrUnknown):
		a.phase = phaseDoubtful
		a.since = now.BootTime
	case errors.Is(err, cairnbay.ErrInvalidTicket):
		delete(a.stage.advice.tickets, action.Target.Worker)
		c.refuse(now, a)
	case errors.Is(err, cairnbay.ErrStaleAttempt), errors.Is(err, cairnbay.ErrStartExpired):
		c.refuse(now, a)
	case errors.Is(err, cairnbay.ErrNoRoom), errors.Is(err, cairnbay.ErrOverloaded):
		a.worker.quietUntil = now.BootTime + refusedQuiet
		c.refuse(now, a)
	case errors.Is(err, cairnbay.ErrInvalid):
		a.task.notBefore = now.BootTime + retryPause
		c.refuse(now, a)
	default:
		a.phase = phaseDoubtful
		a.since = now.BootTime
	}
}

func (c *Core) confirm(now Moment, a *attempt) {
	a.phase = phaseRunning
	a.since = now.BootTime
	a.startedAt = now.BootTime
	a.percentAt = now.BootTime
}

// refuse takes back an attempt that certainly did not start.
func (c *Core) refuse(_ Moment, a *attempt) {
	c.detach(a)
	c.breakGang(a)
}

// HandleStop takes the answer to a stop.
func (c *Core) HandleStop(now Moment, action *StopAction, err error) {
	a := c.find(action.Target.Worker, action.Task, action.Attempt)
	if a == nil || err != nil || a.stopAnswered > 0 {
		return
	}
	a.stopAnswered = now.BootTime
}

// breakGang ends the other members of an attempt's gang.
func (c *Core) breakGang(a *attempt) {
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
	a.stage.gangBroken = a.stage.live > 0
	c.reindex(a.stage.job)
}

// AttemptEnd is an end that a worker has listed, for logs.
type AttemptEnd struct {
	End cairnbay.AgentEnd
	// RunTime is how long the attempt ran, 0 if that is not known.
	RunTime time.Duration
	// JobKnown says that the task is of a job that is kept.
	JobKnown bool
}

// HoldResult is what a worker's state brought about.
type HoldResult struct {
	// Records must be in the store before the ends up to LastSequence are acknowledged.
	Records []Record
	// LastSequence is the sequence of the last end that was handled.
	LastSequence uint64
	Ends         []AttemptEnd
}

// HandleHold takes a worker's state. sent is when the call left.
func (c *Core) HandleHold(now Moment, id string, sent time.Duration, state cairnbay.AgentState) HoldResult {
	worker := c.workers[id]
	if worker == nil {
		return HoldResult{}
	}
	if !worker.claimed {
		worker.claimed = true
		c.changes++
	}
	var result HoldResult
	for _, end := range state.Ended {
		if end.Sequence <= worker.seen {
			continue
		}
		worker.seen = end.Sequence
		records, note := c.ended(now, worker, end)
		result.Records = append(result.Records, records...)
		result.Ends = append(result.Ends, note)
	}
	result.LastSequence = worker.seen
	listed := make(map[cairnbay.WorkflowTask]int, len(state.Running))
	for _, running := range state.Running {
		listed[running.Task] = running.Attempt
		c.running(now, worker, running)
	}
	for ref, attempt := range worker.attempts {
		if number, ok := listed[ref]; !ok || number != attempt.number {
			c.missing(now, attempt, sent)
		}
	}
	return result
}

// running takes one row of what a worker runs.
func (c *Core) running(now Moment, worker *worker, row cairnbay.AgentTask) {
	known := worker.attempts[row.Task]
	if known == nil {
		known = c.adopt(now, worker, row)
	}
	if known.number != row.Attempt {
		return
	}
	if known.phase == phaseStarting || known.phase == phaseDoubtful {
		c.confirm(now, known)
	}
	if row.Percent != known.percent {
		known.percent, known.percentAt = row.Percent, now.BootTime
	}
	c.checkProgress(now, known)
	if row.Checkpoint != "" && known.task != nil {
		known.keepCheckpoint(row.Checkpoint)
	}
}

// checkProgress stops an attempt that stands still, so that it runs elsewhere. It
// answers workers that are healthy by every other sign.
func (c *Core) checkProgress(now Moment, a *attempt) {
	if a.stage == nil || a.ending != "" || a.phase != phaseRunning || a.stage.spec.BestEffort {
		return
	}
	limit := standsStill
	if a.stage.spec.LongRunning {
		if a.percent >= atWork {
			return
		}
		limit = standsIdle
	}
	if now.BootTime-a.percentAt <= limit {
		return
	}
	a.worker.strikes++
	a.worker.quietUntil = max(a.worker.quietUntil, now.BootTime+stalledQuiet)
	a.task.failedOn = a.worker.entry.ID
	c.stop(a, CauseStalled)
	c.breakGang(a)
}

// adopt takes over an attempt that another owner ordered, or that was taken for
// refused. One that no task needs is stopped.
func (c *Core) adopt(now Moment, on *worker, row cairnbay.AgentTask) *attempt {
	adopted := &attempt{ref: row.Task, number: row.Attempt, worker: on, ending: CauseOrphan, partial: true}
	if job := c.jobs[row.Task.Job]; job != nil {
		adopted.stage = job.stageAt(row.Task.Occurrence, row.Task.Step)
	}
	if adopted.stage != nil {
		adopted.task = adopted.stage.task(row.Task.Index)
	}
	if adopted.task == nil {
		adopted.stage = nil
		on.attach(adopted)
		c.confirm(now, adopted)
		return adopted
	}
	stage, task := adopted.stage, adopted.task
	adopted.size = need(stage.spec)
	task.last = max(task.last, row.Attempt)
	on.attach(adopted)
	c.confirm(now, adopted)
	if task.attempt == nil && !task.done && !stage.job.ended && !stage.gangBroken {
		adopted.ending = ""
		task.attempt = adopted
		stage.waiting--
		stage.job.begun = true
		c.reindex(stage.job)
	}
	return adopted
}

// missing takes note that a worker does not list an attempt as running, nor has
// listed its end. A start may have come after the call; a stop that was
// answered before it settles the attempt.
func (c *Core) missing(now Moment, a *attempt, sent time.Duration) {
	switch {
	case a.stopAnswered > 0 && a.stopAnswered < sent:
		c.detach(a)
		c.breakGang(a)
	case a.phase == phaseRunning && a.since < sent:
		a.phase = phaseDoubtful
		a.since = now.BootTime
	}
}

// ended takes one end that a worker lists.
func (c *Core) ended(now Moment, on *worker, end cairnbay.AgentEnd) ([]Record, AttemptEnd) {
	note := AttemptEnd{End: end}
	a := on.attempts[end.Task]
	if a != nil && a.number != end.Attempt {
		a = nil
	}
	if a != nil && a.startedAt > 0 {
		note.RunTime = now.BootTime - a.startedAt
	}
	job := c.jobs[end.Task.Job]
	if job == nil {
		if a != nil {
			c.detach(a)
		}
		return nil, note
	}
	stage := job.stageAt(end.Task.Occurrence, end.Task.Step)
	if stage == nil || stage.task(end.Task.Index) == nil {
		return nil, note
	}
	note.JobKnown = true
	task := stage.task(end.Task.Index)
	task.last = max(task.last, end.Attempt)
	var records []Record
	switch end.Reason {
	case cairnbay.AgentDone:
		records = c.done(now, stage, task, a, end.Attempt)
		on.strikes = 0
	case cairnbay.AgentFailed:
		records = c.failed(now, on, stage, task, end.Attempt)
	default:
		if a != nil && end.Checkpoint != "" {
			a.keepCheckpoint(end.Checkpoint)
		}
	}
	if a != nil {
		c.detach(a)
		if end.Reason != cairnbay.AgentDone {
			c.breakGang(a)
		}
	}
	if stage.spec.LongRunning && !job.ended {
		task.delayRestart(now.BootTime, note.RunTime)
	}
	c.reindex(job)
	return records, note
}

// done takes an end that completes a task, or a whole gang.
func (c *Core) done(now Moment, stage *stage, task *task, a *attempt, number int) []Record {
	if task.done {
		return nil
	}
	if a != nil && a.startedAt > 0 && !a.partial && !stage.spec.BestEffort {
		ran := now.BootTime - a.startedAt
		c.learn(stage.job.workflow.Queue.Name, stage.spec.RunTime, ran)
		stage.longest = max(stage.longest, ran)
	}
	record := Record{RecordDone, stage.ref(task.index), number}
	if stage.spec.Gang {
		record.Task.Index = wholeGang
		stage.finishAll()
	} else {
		stage.finish(task)
		if other := task.attempt; other != nil && other != a {
			c.stop(other, CauseDone)
		}
	}
	c.schedule(stage.job)
	stage.job.unwritten++
	stage.job.settle(now)
	return []Record{record}
}

// failed takes an end that uses up an attempt.
func (c *Core) failed(now Moment, on *worker, stage *stage, task *task, number int) []Record {
	on.strikes++
	if on.strikes >= strikesToQuiet {
		pause := failedQuiet << min(on.strikes-strikesToQuiet, 3)
		on.quietUntil = max(on.quietUntil, now.BootTime+min(pause, failedQuietMost))
	}
	task.failedOn = on.entry.ID
	if stage.spec.LongRunning || task.done {
		return nil
	}
	wasEnded := stage.job.ended
	if !c.countFailure(now, stage, task, number) {
		return nil
	}
	stage.job.unwritten++
	if stage.job.ended && !wasEnded {
		c.end(now, stage.job)
	}
	return []Record{{RecordFailed, stage.ref(task.index), number}}
}

// keepCheckpoint stores progress for the next attempt; a gang has one value.
func (a *attempt) keepCheckpoint(checkpoint string) {
	if a.stage.spec.Gang {
		for i := range a.stage.tasks {
			a.stage.tasks[i].checkpoint = checkpoint
		}
		return
	}
	a.task.checkpoint = checkpoint
}

// delayRestart backs off from a long-running task that keeps ending at once.
func (t *task) delayRestart(now, ran time.Duration) {
	const settled = 3 * time.Second
	if ran > settled {
		t.restarts = 0
	}
	t.restarts++
	if t.restarts > 2 {
		t.notBefore = now + min(restartPause<<min(t.restarts-3, 8), restartPauseMost)
	}
}
