package sched

import (
	"cmp"
	"time"

	"cairnbay"
)

// minSurplusRemaining is the least remaining run time of a surplus task that yields to
// work of its own priority. Tasks save their progress at least every 2 s, and a stop and
// a resume take up to 1 s: below it the stop costs more capacity than it frees.
const minSurplusRemaining = 1500 * time.Millisecond

// mayPreempt reports whether a stage may stop other work at all: surplus never does.
func (c *Core) mayPreempt(now Moment, stage *stage) bool {
	return c.urgency(now, stage) == urgencyInTime && !c.isSurplus(stage.job)
}

// yieldsTo reports whether work with a checkpoint may be stopped for an urgent job, by
// priority and share. Work of the same group and all surplus yields to a higher priority.
// While some group overloads the class, other work yields to urgent work of other groups
// only if its own group overloads it, and to another such group only if that is less well
// served: so an overload displaces nothing of the others, and what it delays of theirs takes
// the capacity back from it. Surplus also yields to the same priority, for a group
// that is no better served.
func (c *Core) yieldsTo(now Moment, a *attempt, urgent *job) bool {
	victim := a.stage.job
	priority, urgentPriority := victim.workflow.Queue.Priority, urgent.workflow.Queue.Priority
	if priority < urgentPriority || priority == urgentPriority && !victim.surplus {
		return false
	}
	if !c.fairness.applies() {
		return priority > urgentPriority
	}
	switch {
	case priority == urgentPriority:
		return !urgent.surplus && urgent.group.current() <= victim.group.current() &&
			c.remainingTime(now, a) > minSurplusRemaining
	case victim.group == urgent.group || victim.surplus:
		return true
	default:
		if victim.group.overloads() {
			return !urgent.group.overloads() || urgent.group.current() < victim.group.current()
		}
		return !urgent.group.overloads() && !c.fairness.order.overloaded
	}
}

// Ranks of the attempts that may be stopped; those of a lower rank are stopped first.
const (
	// victimOverloading is of a group whose work waits because it holds its part.
	victimOverloading = iota
	victimSurplus
	victimEntitled
)

func (c *Core) victimRank(a *attempt) int {
	switch {
	case !c.fairness.applies():
		return victimEntitled
	case a.stage.job.group.overloads():
		return victimOverloading
	case a.stage.job.surplus:
		return victimSurplus
	default:
		return victimEntitled
	}
}

// costsLess reports whether stopping some attempts costs less than stopping others: less
// entitled work, or else fewer attempts, or else less work that is discarded.
func (c *Core) costsLess(now Moment, attempts, others []*attempt) bool {
	order := cmp.Or(
		cmp.Compare(c.countEntitled(attempts), c.countEntitled(others)),
		cmp.Compare(len(attempts), len(others)),
	)
	if order == 0 && c.uses.Reserve {
		order = cmp.Compare(lostWork(now, attempts), lostWork(now, others))
	}
	return order < 0
}

func (c *Core) countEntitled(attempts []*attempt) (count int) {
	if !c.fairness.applies() {
		return 0
	}
	for _, attempt := range attempts {
		if c.victimRank(attempt) == victimEntitled {
			count++
		}
	}
	return count
}

const (
	// maxReservingGangsOfGroup bounds the gangs with reservations of one group while
	// others have jobs, so that one with many gangs leaves a reservation to others.
	maxReservingGangsOfGroup = maxReservingGangs - 1
	// maxReservingSurplusGangs bounds those that are surplus.
	maxReservingSurplusGangs = 1
)

// mayReserve reports whether a waiting gang may get reservations beside those of others.
func (c *Core) mayReserve(waiting *stage, reservations gangReservations) bool {
	if reservations.gangs() >= maxReservingGangs ||
		len(reservations) > 0 && float64(len(reservations)+len(waiting.tasks)) > reservablePart*float64(len(c.workers)) {
		return false
	}
	if !c.fairness.applies() {
		return true
	}
	ofGroup, surplus := make(map[*stage]struct{}), make(map[*stage]struct{})
	for _, reservation := range reservations {
		if reservation.stage.job.group == waiting.job.group {
			ofGroup[reservation.stage] = struct{}{}
		}
		if reservation.surplus {
			surplus[reservation.stage] = struct{}{}
		}
	}
	if c.isSurplus(waiting.job) && len(surplus) >= maxReservingSurplusGangs {
		return false
	}
	return len(ofGroup) < maxReservingGangsOfGroup
}

// fitsBesideReservation reports whether a worker has capacity for a task of a stage beside
// the task of another stage for which it is reserved.
func (c *Core) fitsBesideReservation(now Moment, stage *stage, w *worker) bool {
	c.fairness.now = now.BootTime
	return c.fairness.applies() && demand(stage.spec).Fits(c.freeFor(stage, w))
}

// freeFor is the free capacity of a worker that a stage may use. While several groups have
// jobs, a reservation holds the capacity of one task instead of the whole worker: a full
// class has so many of them that patient work would find no worker.
func (c *Core) freeFor(stage *stage, w *worker) cairnbay.Resources {
	if w.reservedFor == nil || w.reservedFor == stage || w.reservedUntil <= c.fairness.now || !c.fairness.applies() ||
		w.reservedFor.job.ended || stage.job.workflow.Queue.Priority < w.reservedFor.job.workflow.Queue.Priority {
		return w.free()
	}
	return w.free().Sub(demand(w.reservedFor.spec))
}
