package sched

import (
	"cmp"
	"slices"
	"time"

	"cairnbay"
)

const (
	// maxReservingGangs bounds the gangs with reservations, and reservablePart the part of
	// the workers that more than one may reserve together. Without the bounds they would
	// leave no capacity for single tasks.
	maxReservingGangs = 3
	reservablePart    = 0.25
	// reservationTime is how long reservations last after the plan that made them. It
	// exceeds the interval between plans, in which a gang renews them.
	reservationTime = 500 * time.Millisecond
	// maxReservedWait is how long reservations may keep a long-running step from starting,
	// and any other one on a class of which less than idleShare has been in use for as
	// long. It is below the time within which a task must start if there is capacity for it.
	maxReservedWait = 2 * time.Second
	idleShare       = 0.5
)

// gangReservations holds the workers reserved for waiting gangs, by worker ID.
// A task may backfill a reserved worker if it ends before the gang starts, or is
// long-running and fits there beside the gang.
type gangReservations map[string]gangReservation

type gangReservation struct {
	stage *stage
	// surplus is set for a gang that is surplus; it keeps no worker from entitled work.
	surplus bool
	// startsAt is when the gang is expected to start there, members how many of its tasks.
	startsAt time.Duration
	members  int
	// earlier is set for a reservation of an earlier plan. It keeps no worker from work of
	// a higher priority, which may precede the gang now.
	earlier bool
}

// heldReservations are the workers that a waiting gang keeps between plans and during a
// call for their tickets. Without that, other work would take them before the call ends,
// and the gang would ask again and again.
type heldReservations struct {
	workers []string
	// members are the numbers of tasks of the gang, by worker.
	members         map[string]int
	startsAt, until time.Duration
}

// heldReservations returns the reservations of earlier plans that still hold.
func (c *Core) heldReservations(now Moment) gangReservations {
	var holders []*stage
	for stage := range c.readyStages {
		if stage.held.until > now.BootTime {
			holders = append(holders, stage)
		}
	}
	slices.SortFunc(holders, func(a, b *stage) int {
		return cmp.Or(
			cmp.Compare(a.held.startsAt, b.held.startsAt),
			cmp.Compare(a.job.workflow.ID, b.job.workflow.ID),
			cmp.Compare(a.key.occurrence, b.key.occurrence),
			cmp.Compare(a.key.step, b.key.step),
		)
	})
	reservations := make(gangReservations)
	for _, stage := range holders {
		for _, id := range stage.held.workers {
			reservations[id] = gangReservation{stage, c.isSurplus(stage.job), stage.held.startsAt, stage.held.members[id], true}
		}
	}
	return reservations
}

// add reserves workers for a gang.
func (r gangReservations) add(now Moment, stage *stage, surplus bool, fits []gangFit, startsAt time.Duration) {
	stage.held = heldReservations{members: make(map[string]int, len(fits)), startsAt: startsAt, until: now.BootTime + reservationTime}
	for _, fit := range fits {
		id := fit.worker.entry.ID
		stage.held.workers = append(stage.held.workers, id)
		stage.held.members[id] = fit.tasks
		r[id] = gangReservation{stage: stage, surplus: surplus, startsAt: startsAt, members: fit.tasks}
	}
}

// release drops the reservations of a gang.
func (r gangReservations) release(stage *stage) {
	for _, id := range stage.held.workers {
		if r[id].stage == stage {
			delete(r, id)
		}
	}
	stage.held = heldReservations{}
}

// blocks reports whether a worker is reserved for another stage and a task of
// this stage would still run when that one starts.
func (r gangReservations) blocks(stage *stage, worker string, endsAt time.Duration) bool {
	reservation, ok := r[worker]
	if !ok || reservation.stage == stage || endsAt <= reservation.startsAt {
		return false
	}
	precedes := reservation.earlier && stage.job.workflow.Queue.Priority < reservation.stage.job.workflow.Queue.Priority
	return !precedes && (!reservation.surplus || stage.job.surplus)
}

// spareFor is the capacity of a reserved worker that the gang leaves free when it starts
// there.
func (c *Core) spareFor(now Moment, w *worker, reservation gangReservation) cairnbay.Resources {
	spare := w.entry.Capacity.Sub(demand(reservation.stage.spec).Times(reservation.members))
	for _, a := range w.attempts {
		if remaining := c.remainingTime(now, a); remaining >= indefinite || now.BootTime+remaining > reservation.startsAt+reservationTime {
			spare = spare.Sub(a.size)
		}
	}
	return spare
}

// mayUseReserved reports whether a task of a stage may start on a worker as far as
// reservations are concerned: it ends before the gang starts there, or is long-running and
// fits beside the gang, or the stage has waited for long enough. Work that ends later than
// the gang starts may not start beside it: the gang would find fewer workers if another one
// becomes free first. If a reservation blocks the worker, that is noted on the stage.
func (c *Core) mayUseReserved(now Moment, stage *stage, w *worker, reservations gangReservations) bool {
	reservation, reserved := reservations[w.entry.ID]
	if !reserved || reservation.stage == stage {
		return true
	}
	runTime := indefinite
	switch {
	case stage.spec.LongRunning:
	case c.uses.Reserve:
		runTime = c.runTimeOn(stage, w)
	default:
		runTime = c.runTime(stage.job.workflow.Queue.Name, stage.spec)
	}
	if !reservations.blocks(stage, w.entry.ID, now.BootTime+runTime) {
		return true
	}
	stage.blockedByGang = true
	return c.outwaits(now, stage) || stage.spec.LongRunning && demand(stage.spec).Fits(c.spareFor(now, w, reservation))
}

// outwaits reports whether reservations no longer keep a stage from starting. On a class
// that is mostly idle they would keep out work that takes nothing from the gang but the
// choice of its workers; on a busy one small work would start before any gang.
func (c *Core) outwaits(now Moment, stage *stage) bool {
	if stage.reservedOutSince == 0 || now.BootTime-stage.reservedOutSince < maxReservedWait {
		return false
	}
	return stage.spec.LongRunning || c.idleSince > 0 && now.BootTime-c.idleSince >= maxReservedWait
}

// noteReservedOut updates since when reservations have kept a stage from starting, after
// it was placed.
func (s *stage) noteReservedOut(now Moment) {
	switch {
	case !s.blockedByGang || s.waiting == 0:
		s.reservedOutSince = 0
	case s.reservedOutSince == 0:
		s.reservedOutSince = now.BootTime
	}
}

// updateIdle updates since when less than idleShare of the usable workers' capacity is in
// use.
func (c *Core) updateIdle(now Moment) {
	var used, capacity cairnbay.Resources
	for _, w := range c.sortedWorkers {
		if w.usable() {
			used, capacity = used.Add(w.used), capacity.Add(w.entry.Capacity)
		}
	}
	switch {
	case used.DominantShare(capacity) >= idleShare:
		c.idleSince = 0
	case c.idleSince == 0:
		c.idleSince = now.BootTime
	}
}

func (r gangReservations) gangs() int {
	stages := make(map[*stage]struct{})
	for _, reservation := range r {
		stages[reservation.stage] = struct{}{}
	}
	return len(stages)
}
