package sched

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minPreemptGain is how much earlier than without preemption a task must
	// start, beyond the time that the stop takes, and the least remaining run
	// time of a victim.
	minPreemptGain = 250 * time.Millisecond
	// minVictimSlack is the slack that the job of a preempted task must have to
	// wait for capacity again, unless it is late already.
	minVictimSlack = 3 * time.Second
	// preemptReservationTime is how long the freed capacity is reserved for the
	// stage that preempts.
	preemptReservationTime = 1200 * time.Millisecond
)

// preempt frees capacity for the waiting tasks of an urgent stage by stopping
// lower-priority tasks with checkpoints. Otherwise a burst of urgent work waits
// behind the lower-priority work that fills the workers.
func (c *Core) preempt(now Moment, stage *stage, reservations gangReservations) {
	if stage.spec.Gang || stage.replacesOnly || !c.mayPreempt(now, stage) {
		return
	}
	wanted := stage.waiting - stage.waitingForFaster - c.waitingSuspects(stage)
	wanted = min(wanted, c.quotaRoom(now, stage)) - c.pendingPreemptions(now, stage)
	if wanted <= 0 {
		return
	}
	allowed := c.candidates(now, stage, reservations, func(w *worker) bool {
		return (w.reservedFor == nil || w.reservedUntil <= now.BootTime) && (stage.advice == nil || stage.advice.trusted(w.entry.ID))
	})
	for ; wanted > 0 && len(allowed) > 0; wanted-- {
		target, victims := c.choosePreemption(now, stage, allowed)
		if target == nil {
			return
		}
		for _, victim := range victims {
			c.stop(victim, CausePreempted)
		}
		target.reservedFor, target.reservedUntil = stage, now.BootTime+preemptReservationTime
		allowed = slices.DeleteFunc(allowed, func(w *worker) bool { return w == target })
	}
}

// pendingPreemptions counts the workers on which tasks are being stopped for
// the stage.
func (c *Core) pendingPreemptions(now Moment, stage *stage) int {
	count := 0
	for _, worker := range c.sortedWorkers {
		if worker.reservedFor == stage && worker.reservedUntil > now.BootTime {
			count++
		}
	}
	return count
}

// choosePreemption returns the worker on which the fewest tasks must stop, and among
// those the one on which the least work is lost by it; nil if waiting is as fast.
func (c *Core) choosePreemption(now Moment, stage *stage, allowed []*worker) (target *worker, victims []*attempt) {
	for _, worker := range allowed {
		attempts := c.victims(now, stage, worker)
		if attempts == nil || target != nil && !c.costsLess(now, attempts, victims) {
			continue
		}
		target, victims = worker, attempts
	}
	return target, victims
}

// lostWork is what stops of attempts discard: the time since each last saved its
// progress.
func lostWork(now Moment, attempts []*attempt) (lost time.Duration) {
	for _, attempt := range attempts {
		lost += now.BootTime - max(attempt.startedAt, attempt.savedAt)
	}
	return lost
}

// victims lists the fewest attempts to preempt on a worker for one task. It is
// nil if they free too little, or if the task fits soon without preemption.
func (c *Core) victims(now Moment, stage *stage, target *worker) []*attempt {
	if limit := stage.spec.MaxPerWorker; limit > 0 && stage.attemptsPerWorker[target.entry.ID] >= limit {
		return nil
	}
	if c.timeUntilFit(now, target, stage.spec) <= minPreemptGain+c.config.StopTime {
		return nil
	}
	var preemptible []*attempt
	for _, attempt := range target.attempts {
		if c.preemptibleFor(now, attempt, stage) && c.remainingTime(now, attempt) > minPreemptGain {
			preemptible = append(preemptible, attempt)
		}
	}
	size, free := demand(stage.spec), target.free()
	slices.SortFunc(preemptible, func(a, b *attempt) int {
		return cmp.Or(
			cmp.Compare(c.victimRank(a), c.victimRank(b)),
			-cmp.Compare(a.size.DominantShare(target.entry.Capacity), b.size.DominantShare(target.entry.Capacity)),
			cmp.Compare(a.ref.Job, b.ref.Job),
			cmp.Compare(a.ref.Index, b.ref.Index),
		)
	})
	for i, attempt := range preemptible {
		free = free.Add(attempt.size)
		if size.Fits(free) {
			return preemptible[:i+1]
		}
	}
	return nil
}

// preemptibleFor reports whether the attempt may be stopped for the stage: it
// can resume from a checkpoint, and its job either has enough slack, is late
// already, or is surplus.
func (c *Core) preemptibleFor(now Moment, a *attempt, urgent *stage) bool {
	if a.stage == nil || a.phase != phaseRunning || a.stopCause != "" ||
		!a.stage.spec.Checkpoints || a.stage.spec.Gang || a.stage.spec.LongRunning || !c.yieldsTo(now, a, urgent.job) {
		return false
	}
	if c.isSurplus(a.stage.job) {
		return true
	}
	slack := a.stage.job.deadline - now.BootTime - c.remainingTime(now, a)
	return slack < 0 || slack > minVictimSlack
}
