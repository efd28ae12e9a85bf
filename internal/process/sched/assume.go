package sched

import (
	"cmp"
	"slices"

	"cairnbay"
)

// PlacedAttempt is an attempt of a task on a worker.
type PlacedAttempt struct {
	Task    cairnbay.WorkflowTask
	Attempt int
}

// PlacedOn returns the attempts that may run on a worker, in a fixed order. Those of former
// owners are missing until the worker has listed all that it runs.
func (c *Core) PlacedOn(id string) (placed []PlacedAttempt) {
	w := c.workers[id]
	if w == nil {
		return nil
	}
	for _, a := range w.attempts {
		// A reserved attempt starts only on a usable worker.
		if a.phase != phaseReserved {
			placed = append(placed, PlacedAttempt{a.ref, a.number})
		}
	}
	slices.SortFunc(placed, func(a, b PlacedAttempt) int {
		return cmp.Or(
			cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Occurrence, b.Task.Occurrence),
			cmp.Compare(a.Task.Step, b.Task.Step), cmp.Compare(a.Task.Index, b.Task.Index),
		)
	})
	return placed
}

// Assume attaches attempts of a former owner to a worker that has not answered this one, so
// that their tasks start nowhere else until the worker answers or is lost. Some of them may
// have ended. It returns false, and attaches nothing, if it can't keep one of the tasks from
// starting elsewhere.
func (c *Core) Assume(now Moment, id string, placed []PlacedAttempt) bool {
	w := c.workers[id]
	if w == nil {
		return false
	}
	var assumed []*attempt
	for _, one := range placed {
		job := c.jobs[one.Task.Job]
		if job == nil || job.ended || !job.has(one.Task.Occurrence, one.Task.Step) {
			continue
		}
		stage := job.stageAt(one.Task.Occurrence, one.Task.Step)
		if stage == nil {
			return false
		}
		task := stage.task(one.Task.Index)
		if task == nil || task.done || stage.hasFailed(task, one.Attempt) {
			continue
		}
		assumed = append(assumed, &attempt{
			stage: stage, task: task, ref: one.Task, number: one.Attempt, worker: w, size: demand(stage.spec),
			phase: phaseRunning, phaseSince: now.BootTime, startedAt: now.BootTime, partial: true, assumed: true,
		})
	}
	for _, a := range assumed {
		c.attachAssumed(a)
	}
	return true
}

// attachAssumed attaches an assumed attempt, unless a later one of its task is attached.
func (c *Core) attachAssumed(a *attempt) {
	a.task.lastAttempt = max(a.task.lastAttempt, a.number)
	a.stage.job.started = true
	c.endAssumed(a.task, a.number)
	switch {
	case a.task.attempt == nil:
		a.worker.attach(a)
		a.task.attempt = a
		a.stage.waiting--
		c.updateReadyStages(a.stage.job)
	case c.mayCopy(a.stage, a.task) && a.task.attempt.worker != a.worker:
		a.worker.attach(a)
		c.adoptCopy(a)
	}
}

// endAssumed detaches the assumed attempt of a task that has a later one, unless that may be
// a copy: a former owner starts a task again only after the attempt before has ended.
func (c *Core) endAssumed(task *task, number int) {
	if a := task.attempt; a != nil && a.assumed && a.number < number && !c.mayCopy(a.stage, task) {
		c.detach(a)
	}
}

// hasFailed reports whether an attempt of a task has ended failed.
func (s *stage) hasFailed(task *task, number int) bool {
	if s.spec.Gang {
		return slices.Contains(s.gangFailures, number)
	}
	return slices.Contains(task.failures, number)
}
