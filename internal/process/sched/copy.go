package sched

// attempts lists the live attempts of a task: none, one, or two of a speculative step.
func (t *task) attempts() []*attempt {
	switch {
	case t.attempt == nil:
		return nil
	case t.copy == nil:
		return []*attempt{t.attempt}
	default:
		return []*attempt{t.attempt, t.copy}
	}
}

// mayCopy reports whether a task that runs may have a second attempt at the same time.
// Both may fail, and a task must not fail more often than MaxAttempts.
func (c *Core) mayCopy(stage *stage, task *task) bool {
	spec, limit := stage.spec, stage.job.workflow.Queue.MaxAttempts
	return c.config.Learn.Straggler && spec.Speculative && !spec.Gang && !spec.LongRunning && !spec.BestEffort &&
		!task.done && !stage.job.ended && task.attempt != nil && task.copy == nil &&
		(limit == 0 || len(task.failures)+2 <= limit)
}

// reserveCopy reserves a worker for a second attempt of a task.
func (c *Core) reserveCopy(now Moment, stage *stage, task *task, target *worker) *attempt {
	number := max(task.lastAttempt, c.config.AttemptBase) + 1
	reserved := &attempt{
		stage: stage, task: task, ref: stage.ref(task.index), number: number,
		worker: target, size: demand(stage.spec), phase: phaseReserved, phaseSince: now.BootTime,
	}
	task.lastAttempt = number
	task.copy = reserved
	target.attach(reserved)
	return reserved
}

// adoptCopy takes an attempt that a worker runs as the second one of its task, if the
// task may have two, and reports whether it did. A former owner may have started both.
func (c *Core) adoptCopy(adopted *attempt) bool {
	if adopted.stage.gangAborting || !c.mayCopy(adopted.stage, adopted.task) || adopted.task.attempt.worker == adopted.worker {
		return false
	}
	adopted.task.copy = adopted
	adopted.task.relocated = true
	return true
}

// detachFromTask removes an ended attempt from its task. The other one of two remains;
// without one the task waits again unless it is done.
func (a *attempt) detachFromTask() {
	switch a {
	case a.task.copy:
		a.task.copy = nil
	case a.task.attempt:
		a.task.attempt, a.task.copy = a.task.copy, nil
		if a.task.attempt == nil && !a.task.done {
			a.stage.waiting++
		}
	}
}

// mayResumeFrom reports whether checkpoints of an attempt are kept for the next one:
// those of the latest attempt and, of two live ones, those of the first.
func (s *stage) mayResumeFrom(task *task, attempt int) bool {
	if task.relocated && task.attempt != nil {
		if task.attempt.number == attempt {
			return true
		}
		if task.copy != nil {
			return false
		}
	}
	return attempt >= s.latestAttempt(task)
}
