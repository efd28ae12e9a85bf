package shard

import (
	"time"

	"cairnbay"
	"cairnbay/internal/process/commit"
)

// endTracker tracks the ends that a worker reported. An end may be acknowledged
// when it and all earlier ones are in the journal or need no record there.
type endTracker struct {
	lastSequence uint64
	// pending are the sequences that wait for the journal or for their job.
	pending map[uint64]bool
	// deferred are ends of jobs that are not enqueued yet, oldest first.
	deferred []cairnbay.TaskEnd
}

// acked returns the last sequence that may be acknowledged.
func (e *endTracker) acked() uint64 {
	acked := e.lastSequence
	for sequence := range e.pending {
		acked = min(acked, sequence-1)
	}
	return acked
}

func (e *endTracker) addPending(sequence uint64) {
	if e.pending == nil {
		e.pending = map[uint64]bool{}
	}
	e.pending[sequence] = true
}

// handleEnds processes the ends that a worker reports, each one once.
func (c *Core) handleEnds(worker *worker, reported []cairnbay.TaskEnd, now time.Duration) {
	for _, end := range reported {
		if end.Sequence <= worker.ends.lastSequence {
			continue
		}
		worker.ends.lastSequence = end.Sequence
		if c.mustDefer(end.Task.Job) {
			worker.ends.addPending(end.Sequence)
			worker.ends.deferred = append(worker.ends.deferred, end)
			c.removeOrphan(worker, end.Task, now)
			continue
		}
		c.applyEnd(worker, end, now)
	}
}

// mustDefer reports whether ends of the job wait until it is enqueued.
func (c *Core) mustDefer(id cairnbay.JobID) bool {
	job := c.jobs[id]
	if job == nil {
		return c.config.FromReplica
	}
	return !job.enqueued
}

// applyEnd applies the end of a task whose job is enqueued or does not exist.
func (c *Core) applyEnd(worker *worker, end cairnbay.TaskEnd, now time.Duration) {
	if running, orphaned := worker.orphans[end.Task]; orphaned && running.Attempt == end.Attempt {
		c.removeOrphan(worker, end.Task, now)
	}
	job := c.jobs[end.Task.Job]
	if job == nil {
		return
	}
	placed := c.placements[end.Task]
	switch {
	case placed != nil && placed.worker == worker && placed.wireAttempt == end.Attempt:
		delete(c.placements, end.Task)
		c.recordEnd(worker, job, end, placed.attempt, now)
	case placed != nil:
		// The end belongs to an earlier attempt or another worker.
	default:
		c.applyUnplacedEnd(worker, job, end, now)
	}
}

// applyUnplacedEnd applies the end of a task without a placement: the task ran
// under a former owner or was given up. A task that is already final stays as
// it is. An end for another reason than done or failed counts only for
// at-most-once jobs; other tasks are started again.
func (c *Core) applyUnplacedEnd(worker *worker, job *trackedJob, end cairnbay.TaskEnd, now time.Duration) {
	if _, final := job.FinalState(end.Task.Index); final {
		c.ackWhenJournaled(worker, job, end)
		return
	}
	finished := end.Reason == cairnbay.EndDone || end.Reason == cairnbay.EndFailed
	if !finished && !job.Job.AtMostOnce {
		return
	}
	attempt := placerAttempt(end.Attempt)
	c.placer.Adopt(worker.ref.ID, cairnbay.RunningTask{Task: end.Task, Attempt: attempt, Size: job.Job.Size}, now)
	c.recordEnd(worker, job, end, attempt, now)
}

// recordEnd passes an end to the placer and journals the task's final state.
func (c *Core) recordEnd(worker *worker, job *trackedJob, end cairnbay.TaskEnd, attempt int, now time.Duration) {
	sequence := end.Sequence
	end.Attempt = attempt
	state := c.placer.Ended(worker.ref.ID, end, now)
	if !state.Final() {
		return
	}
	c.journalFinal(end.Task, state, now)
	end.Sequence = sequence
	c.ackWhenJournaled(worker, job, end)
	if job.Job.Kind == cairnbay.KindGang {
		c.journalGangFinals(job, now)
	}
}

// ackWhenJournaled delays the acknowledgement of an end until the journal has
// the final state of its task. Until then only the worker knows that the task
// ran.
func (c *Core) ackWhenJournaled(worker *worker, job *trackedJob, end cairnbay.TaskEnd) {
	callbacks, pending := job.unconfirmedFinals[end.Task.Index]
	if !pending || end.Sequence == 0 {
		return
	}
	worker.ends.addPending(end.Sequence)
	job.unconfirmedFinals[end.Task.Index] = append(callbacks, func(time.Duration) {
		delete(worker.ends.pending, end.Sequence)
	})
}

// journalFinal records and journals the final state of a task.
func (c *Core) journalFinal(task cairnbay.TaskID, state cairnbay.TaskState, now time.Duration) {
	job := c.jobs[task.Job]
	if job == nil {
		return
	}
	if _, final := job.FinalState(task.Index); final {
		return
	}
	if job.unconfirmedFinals == nil {
		job.unconfirmedFinals = map[int][]func(time.Duration){}
	}
	job.unconfirmedFinals[task.Index] = nil
	job.Final[state] = job.Final[state].Add(task.Index)
	job.changedAt = now
	c.appendRecords(now, false, []commit.Record{{End: &commit.End{Task: task, State: state}}}, func(now time.Duration) {
		callbacks := job.unconfirmedFinals[task.Index]
		delete(job.unconfirmedFinals, task.Index)
		for _, callback := range callbacks {
			callback(now)
		}
	})
	c.config.OnTaskFinal(job.Job, task, state)
}

// journalGangFinals journals the final states of all tasks of a gang: the end
// of one task can end the others.
func (c *Core) journalGangFinals(job *trackedJob, now time.Duration) {
	explained, err := c.placer.Explain(job.Job.ID, now)
	if err != nil {
		return
	}
	for _, task := range explained.Tasks {
		if task.State.Final() {
			c.journalFinal(task.Task, task.State, now)
		}
	}
}
