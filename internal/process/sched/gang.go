package sched

import (
	"cmp"
	"slices"
	"time"

	"cairnbay"
)

// reserveForGang reserves the workers on which a waiting gang can start soonest, and
// preempts tasks there if the gang is in time. Without it, small tasks fill capacity as it
// becomes free, and a large gang may never start. It returns the reserved workers, nil for
// none.
func (c *Core) reserveForGang(now Moment, stage *stage, reservations gangReservations) []string {
	reservations.release(stage)
	if !stage.spec.Gang || stage.gangAborting || c.quotaRoom(now, stage) < stage.startUnit() {
		return nil
	}
	if !c.mayReserve(stage, reservations) {
		c.noteGangWait(now, stage, GangWaitReservation)
		return nil
	}
	allowed := c.candidates(now, stage, reservations, func(w *worker) bool {
		return stage.advice == nil || stage.advice.usable(w.entry.ID, now.BootTime)
	})
	preempt := c.mayPreempt(now, stage)
	fits := c.chooseGangWorkers(now, stage, allowed, preempt)
	startsAt := now.BootTime
	for _, fit := range fits {
		startsAt = max(startsAt, now.BootTime+fit.wait)
	}
	if len(fits) == 0 {
		c.noteGangWait(now, stage, GangWaitWorkers)
		return nil
	}
	c.noteGangWait(now, stage, GangWaitCapacity)
	for _, fit := range fits {
		if !preempt {
			break
		}
		for _, victim := range fit.victims {
			c.stop(victim, CausePreempted)
		}
	}
	reservations.add(now, stage, c.isSurplus(stage.job), fits, startsAt)
	return stage.held.workers
}

// stopIncompleteGang stops the members of a gang if they are not all attached under
// one attempt number, and reports whether it did. The others would wait for the
// missing ones in vain: the owner starts a gang only as a whole.
func (c *Core) stopIncompleteGang(stage *stage) bool {
	if !stage.spec.Gang || stage.job.ended || stage.liveAttempts == 0 || stage.gangAborting ||
		stage.done == len(stage.tasks) || stage.gangComplete() {
		return false
	}
	for i := range stage.tasks {
		if member := stage.tasks[i].attempt; member != nil {
			c.stop(member, CauseGangIncomplete)
		}
	}
	stage.gangAborting = stage.liveAttempts > 0
	c.updateReadyStages(stage.job)
	return true
}

const (
	// gangBeginTimeout is how long an inherited member may show no progress while
	// others of its gang are not known. It is well below the time for which a member
	// waits for the others.
	gangBeginTimeout = time.Second
	// gangBeginShare is the part of its estimated run time within which a complete
	// gang certainly shows its first percent.
	gangBeginShare = 50
)

// inheritedGangStalled reports whether an inherited attempt belongs to a gang that has
// certainly not begun to work, though workers that may run its other members have not
// answered yet. Such a worker may stay silent for longer than the members wait.
func (c *Core) inheritedGangStalled(a *attempt, clock time.Duration) bool {
	if !c.blockInherited || !a.stage.spec.Gang || a.percent > 0 || a.stage.gangComplete() {
		return false
	}
	limit := max(gangBeginTimeout, c.runTime(a.stage.job.workflow.Queue.Name, a.stage.spec)/gangBeginShare)
	return clock-a.knownAt > limit
}

// gangComplete reports whether every member is attached under one attempt number.
func (s *stage) gangComplete() bool {
	for i := range s.tasks {
		if member := s.tasks[i].attempt; member == nil || member.number != s.tasks[0].attempt.number {
			return false
		}
	}
	return true
}

// IncompleteCause is why a member of a gang waited in vain for the others.
type IncompleteCause string

// Causes of an incomplete gang.
const (
	// IncompleteInherited is a member that a former owner ordered.
	IncompleteInherited IncompleteCause = "former_owner"
	// IncompleteStopping is a member that this owner had given up or decided to stop.
	IncompleteStopping IncompleteCause = "stop_pending"
	// IncompleteStarting is a member whose fellows this owner has ordered, none of
	// them known to have failed.
	IncompleteStarting IncompleteCause = "starts_pending"
)

// incompleteCause explains the end of a member that waited in vain; a is nil if the
// attempt is no longer attached.
func (c *Core) incompleteCause(a *attempt, number int) IncompleteCause {
	switch {
	case number <= c.config.AttemptBase:
		return IncompleteInherited
	case a == nil || a.stopCause != "":
		return IncompleteStopping
	default:
		return IncompleteStarting
	}
}

// gangFit is the number of gang members that fit on a worker.
type gangFit struct {
	worker *worker
	// tasks is how many members fit after wait, once the victims have stopped.
	tasks   int
	victims []*attempt
	wait    time.Duration
}

// chooseGangWorkers picks workers for every member of a gang, those with the
// shortest wait first; nil if the gang does not fit on all of them together.
func (c *Core) chooseGangWorkers(now Moment, stage *stage, allowed []*worker, preempt bool) []gangFit {
	fits := make([]gangFit, 0, len(allowed))
	for _, worker := range allowed {
		if fit := c.fitGang(now, stage, worker, preempt); fit.tasks > 0 {
			fits = append(fits, fit)
		}
	}
	slices.SortFunc(fits, func(a, b gangFit) int {
		return cmp.Or(
			cmp.Compare(a.wait, b.wait),
			cmp.Compare(len(a.victims), len(b.victims)),
			cmp.Compare(a.worker.entry.ID, b.worker.entry.ID),
		)
	})
	unplaced := len(stage.tasks)
	for i, fit := range fits {
		fits[i].tasks = min(fit.tasks, unplaced)
		unplaced -= fit.tasks
		if unplaced <= 0 {
			return fits[:i+1]
		}
	}
	return nil
}

// fitGang counts the members of a gang that fit on a worker and lists the
// attempts to preempt for that. Attempts are assumed to end in order of their
// wait; with preempt set, preemptible ones end within StopTime.
func (c *Core) fitGang(now Moment, stage *stage, target *worker, preempt bool) gangFit {
	fit := gangFit{worker: target}
	size, free := demand(stage.spec), target.free()
	limit := maxTasksOn(target, stage.spec)
	count := func() int {
		return min(countFits(size, free), limit)
	}
	if fit.tasks = count(); fit.tasks >= min(limit, len(stage.tasks)) {
		return fit
	}
	running := make([]*attempt, 0, len(target.attempts))
	for _, attempt := range target.attempts {
		running = append(running, attempt)
	}
	wait := func(a *attempt) time.Duration {
		switch {
		case a.stopCause != "", preempt && c.preemptibleFor(now, a, stage):
			return min(c.remainingTime(now, a), c.config.StopTime)
		default:
			return c.remainingTime(now, a)
		}
	}
	slices.SortFunc(running, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(wait(a), wait(b)), cmp.Compare(a.ref.Job, b.ref.Job), cmp.Compare(a.ref.Index, b.ref.Index))
	})
	var victims []*attempt
	for _, attempt := range running {
		if fit.tasks >= min(limit, len(stage.tasks)) || wait(attempt) >= indefinite {
			break
		}
		free = free.Add(attempt.size)
		if preempt && c.preemptibleFor(now, attempt, stage) {
			victims = append(victims, attempt)
		}
		if tasks := count(); tasks > fit.tasks {
			fit.tasks, fit.wait, fit.victims = tasks, wait(attempt), slices.Clone(victims)
		}
	}
	return fit
}

// maxTasksOn counts the tasks of a step that fit on the empty worker.
func maxTasksOn(w *worker, spec *cairnbay.WorkflowStep) int {
	empty := worker{entry: w.entry}
	return empty.fitCount(spec)
}

// timeUntilFit estimates how long it takes until one task of the step fits on
// the worker.
func (c *Core) timeUntilFit(now Moment, w *worker, spec *cairnbay.WorkflowStep) time.Duration {
	size, free := demand(spec), w.free()
	if size.Fits(free) {
		return 0
	}
	running := make([]*attempt, 0, len(w.attempts))
	for _, attempt := range w.attempts {
		running = append(running, attempt)
	}
	slices.SortFunc(running, func(a, b *attempt) int {
		return cmp.Compare(c.remainingTime(now, a), c.remainingTime(now, b))
	})
	for _, attempt := range running {
		free = free.Add(attempt.size)
		if size.Fits(free) {
			return c.remainingTime(now, attempt)
		}
	}
	return indefinite
}
