package shard

import (
	"time"

	"cairnbay"
	"cairnbay/internal/process/commit"
)

// ends tracks which ends of a worker may be acknowledged: all up to a sequence
// that are in the journal, or need not be.
type ends struct {
	seen uint64
	// open are the sequences that wait for the journal or for their job.
	open map[uint64]bool
	// kept are ends of jobs that are not enqueued yet, oldest first.
	kept []cairnbay.TaskEnd
}

func (e *ends) acked() uint64 {
	acked := e.seen
	for sequence := range e.open {
		acked = min(acked, sequence-1)
	}
	return acked
}

func (e *ends) wait(sequence uint64) {
	if e.open == nil {
		e.open = map[uint64]bool{}
	}
	e.open[sequence] = true
}

// takeEnds takes the ends that a worker reports, each once.
func (c *Core) takeEnds(worker *worker, reported []cairnbay.TaskEnd, now time.Duration) {
	for _, end := range reported {
		if end.Sequence <= worker.ends.seen {
			continue
		}
		worker.ends.seen = end.Sequence
		if c.awaitsJob(end.Task.Job) {
			worker.ends.wait(end.Sequence)
			worker.ends.kept = append(worker.ends.kept, end)
			c.dropStray(worker, end.Task, now)
			continue
		}
		c.applyEnd(worker, end, now)
	}
}

// awaitsJob says whether ends of the job have to wait until it is enqueued.
func (c *Core) awaitsJob(id cairnbay.JobID) bool {
	known := c.jobs[id]
	if known == nil {
		return c.config.FromReplica
	}
	return !known.enqueued
}

// applyEnd takes the end of a task of an enqueued job, or of no job at all.
func (c *Core) applyEnd(worker *worker, end cairnbay.TaskEnd, now time.Duration) {
	if running, stray := worker.strays[end.Task]; stray && running.Attempt == end.Attempt {
		c.dropStray(worker, end.Task, now)
	}
	known := c.jobs[end.Task.Job]
	if known == nil {
		return
	}
	placed := c.held[end.Task]
	switch {
	case placed != nil && placed.worker == worker && placed.number == end.Attempt:
		delete(c.held, end.Task)
		c.ended(worker, known, end, placed.attempt, now)
	case placed != nil:
	default:
		c.endedUnheld(worker, known, end, now)
	}
}

// endedUnheld takes the end of a task that waits here: it ran under a former
// owner, or was given up. What the worker saw counts.
func (c *Core) endedUnheld(worker *worker, known *job, end cairnbay.TaskEnd, now time.Duration) {
	if _, final := known.FinalState(end.Task.Index); final {
		c.ackJournaled(worker, known, end)
		return
	}
	counts := end.Reason == cairnbay.EndDone || end.Reason == cairnbay.EndFailed
	if !counts && !known.Job.AtMostOnce {
		return
	}
	attempt := attemptOf(end.Attempt)
	c.placer.Adopt(worker.ref.ID, cairnbay.RunningTask{Task: end.Task, Attempt: attempt, Size: known.Job.Size}, now)
	c.ended(worker, known, end, attempt, now)
}

// ended tells the placer and journals what became of the task.
func (c *Core) ended(worker *worker, known *job, end cairnbay.TaskEnd, attempt int, now time.Duration) {
	sequence := end.Sequence
	end.Attempt = attempt
	state := c.placer.Ended(worker.ref.ID, end, now)
	if !state.Final() {
		return
	}
	c.settled(end.Task, state, now)
	end.Sequence = sequence
	c.ackJournaled(worker, known, end)
	if known.Job.Kind == cairnbay.KindGang {
		c.settleGang(known, now)
	}
}

// ackJournaled lets the worker forget an end once the journal has the final
// state of its task. Until then only the worker knows that the task ran.
func (c *Core) ackJournaled(worker *worker, known *job, end cairnbay.TaskEnd) {
	waiting, pending := known.unjournaled[end.Task.Index]
	if !pending || end.Sequence == 0 {
		return
	}
	worker.ends.wait(end.Sequence)
	known.unjournaled[end.Task.Index] = append(waiting, func(time.Duration) {
		delete(worker.ends.open, end.Sequence)
	})
}

// settled journals a final state.
func (c *Core) settled(task cairnbay.TaskID, state cairnbay.TaskState, now time.Duration) {
	known := c.jobs[task.Job]
	if known == nil {
		return
	}
	if _, final := known.FinalState(task.Index); final {
		return
	}
	if known.unjournaled == nil {
		known.unjournaled = map[int][]func(time.Duration){}
	}
	known.unjournaled[task.Index] = nil
	known.Final[state] = known.Final[state].Add(task.Index)
	known.changed = now
	c.journal(now, false, []commit.Record{{End: &commit.End{Task: task, State: state}}}, func(now time.Duration) {
		then := known.unjournaled[task.Index]
		delete(known.unjournaled, task.Index)
		for _, act := range then {
			act(now)
		}
	})
	c.config.OnTaskFinal(known.Job, task, state)
}

// settleGang journals the other tasks of a gang that became final with one.
func (c *Core) settleGang(known *job, now time.Duration) {
	explained, err := c.placer.Explain(known.Job.ID, now)
	if err != nil {
		return
	}
	for _, task := range explained.Tasks {
		if task.State.Final() {
			c.settled(task.Task, task.State, now)
		}
	}
}
