package sched

import (
	"cmp"
	"slices"
	"time"
)

const (
	// preemptGain is how much sooner than by waiting an urgent task must start for
	// patient ones to be stopped; stopping takes part of it.
	preemptGain = 250 * time.Millisecond
	// victimSpare is the time that a stopped task's job has left beyond its work,
	// to wait for room again.
	victimSpare = 3 * time.Second
	// preemptHold is how long the room that is being made is kept for the task.
	preemptHold = 1200 * time.Millisecond
)

// preempt makes room for the waiting tasks of an urgent stage by stopping
// patient tasks that resume where they stop. It answers a burst of urgent work
// on workers that patient work fills.
func (c *Core) preempt(now Moment, stage *stage, kept held) {
	if stage.spec.Gang || c.urgency(now, stage) != urgencyInTime {
		return
	}
	wanted := stage.waiting - c.roomBeingMade(now, stage)
	if wanted <= 0 {
		return
	}
	allowed := c.candidates(now, stage, kept, func(w *worker) bool {
		return (w.heldFor == nil || w.heldUntil <= now.BootTime) && (stage.advice == nil || stage.advice.allowed(w.entry.ID))
	})
	for ; wanted > 0 && len(allowed) > 0; wanted-- {
		target, victims := c.cheapest(now, stage, allowed)
		if target == nil {
			return
		}
		for _, victim := range victims {
			c.stop(victim, CausePreempted)
		}
		target.heldFor, target.heldUntil = stage, now.BootTime+preemptHold
		allowed = slices.DeleteFunc(allowed, func(w *worker) bool { return w == target })
	}
}

// roomBeingMade counts the workers on which patient tasks are being stopped for
// the stage.
func (c *Core) roomBeingMade(now Moment, stage *stage) int {
	count := 0
	for _, worker := range c.ordered {
		if worker.heldFor == stage && worker.heldUntil > now.BootTime {
			count++
		}
	}
	return count
}

// cheapest returns the worker on which the fewest patient tasks must stop, nil
// if waiting is as good.
func (c *Core) cheapest(now Moment, stage *stage, allowed []*worker) (target *worker, victims []*attempt) {
	for _, worker := range allowed {
		found := c.victims(now, stage, worker)
		if found == nil || target != nil && len(found) >= len(victims) {
			continue
		}
		target, victims = worker, found
	}
	return target, victims
}

// victims lists the fewest patient attempts on a worker that make room for one
// task; nil if they do not, or if the worker has room soon anyway.
func (c *Core) victims(now Moment, stage *stage, on *worker) []*attempt {
	if limit := stage.spec.MaxPerWorker; limit > 0 && stage.perWorker[on.entry.ID] >= limit {
		return nil
	}
	if c.freeIn(now, on, stage.spec) <= preemptGain+c.config.StopTime {
		return nil
	}
	var patient []*attempt
	for _, attempt := range on.attempts {
		if c.patientFor(now, attempt, stage) && c.remaining(now, attempt) > preemptGain {
			patient = append(patient, attempt)
		}
	}
	size, free := need(stage.spec), on.free()
	slices.SortFunc(patient, func(a, b *attempt) int {
		return cmp.Or(
			-cmp.Compare(a.size.DominantShare(on.entry.Capacity), b.size.DominantShare(on.entry.Capacity)),
			cmp.Compare(a.ref.Job, b.ref.Job),
			cmp.Compare(a.ref.Index, b.ref.Index),
		)
	})
	for i, attempt := range patient {
		free = free.Add(attempt.size)
		if size.Fits(free) {
			return patient[:i+1]
		}
	}
	return nil
}

// patientFor says whether the attempt may be stopped for the stage: it loses
// little by it, and its job can still be in time, or no longer.
func (c *Core) patientFor(now Moment, a *attempt, urgent *stage) bool {
	if a.stage == nil || a.phase != phaseRunning || a.ending != "" ||
		!a.stage.spec.Checkpoints || a.stage.spec.Gang || a.stage.spec.LongRunning ||
		a.stage.job.workflow.Queue.Priority <= urgent.job.workflow.Queue.Priority {
		return false
	}
	spare := a.stage.job.deadline - now.BootTime - c.remaining(now, a)
	return spare < 0 || spare > victimSpare
}
