package sched

import (
	"cmp"
	"slices"
	"time"
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
)

// gangReservations holds the workers reserved for waiting gangs, by worker ID.
// A task may backfill a reserved worker if it ends before the gang starts.
type gangReservations map[string]gangReservation

type gangReservation struct {
	stage *stage
	// surplus is set for a gang that is surplus; it keeps no worker from entitled work.
	surplus bool
	// startsAt is when the gang is expected to start there.
	startsAt time.Duration
	// earlier is set for a reservation of an earlier plan. It keeps no worker from work of
	// a higher priority, which may precede the gang now.
	earlier bool
}

// heldReservations are the workers that a waiting gang keeps between plans and during a
// call for their tickets. Without that, other work would take them before the call ends,
// and the gang would ask again and again.
type heldReservations struct {
	workers         []string
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
			reservations[id] = gangReservation{stage, c.isSurplus(stage.job), stage.held.startsAt, true}
		}
	}
	return reservations
}

// add reserves workers for a gang.
func (r gangReservations) add(now Moment, stage *stage, surplus bool, workers []string, startsAt time.Duration) {
	stage.held = heldReservations{workers, startsAt, now.BootTime + reservationTime}
	for _, id := range workers {
		r[id] = gangReservation{stage: stage, surplus: surplus, startsAt: startsAt}
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

func (r gangReservations) gangs() int {
	stages := make(map[*stage]struct{})
	for _, reservation := range r {
		stages[reservation.stage] = struct{}{}
	}
	return len(stages)
}
