package place

import (
	"fmt"
	"math"
	"slices"
	"time"

	"cairnbay"
)

const (
	// taskReserveDelay is how long a single task waits before a worker is
	// reserved for it. A gang does not wait when its own start fails, but
	// reserveMore applies the delay to gangs as well.
	taskReserveDelay = 2 * time.Second
	// maxReservationOverdue is how far past its expected start a reservation is
	// dropped, to be planned again.
	maxReservationOverdue = 30 * time.Second
	// gangPlanInterval is the shortest time between two gang plans of the engine;
	// each plan looks at every run.
	gangPlanInterval = time.Second
	// A single task gets a reservation only while fewer than reservedShare of the
	// workers (or one), and fewer than maxReserved, are reserved, including those
	// reserved for gangs.
	reservedShare = 0.125
	maxReserved   = 16
	// reserveInterval is the shortest time between two searches for a job that
	// needs a reservation, and planRetryInterval that between two for one job.
	reserveInterval   = 50 * time.Millisecond
	planRetryInterval = time.Second
	// A team starts nothing in a band while its share exceeds overtakeFactor x
	// share + overtakeShare of a team with a reservation there (dominant shares
	// divided by the team's weight). overtakeShare lets teams start beside a team
	// that uses nothing.
	overtakeFactor = 1.2
	overtakeShare  = 0.03
	// reservationCandidates limits the workers that are searched for a single
	// task, and so the time of one Decide.
	reservationCandidates = 16
	// unknownRunTime is assumed for a run time that is neither given nor learnt.
	unknownRunTime = 10 * time.Minute
	// reasonBackfill is the reason of a start on a reserved worker.
	reasonBackfill = "ends before the reservation of its worker begins"
	// reasonPrecedence is the reason of a start by precedence over a reservation.
	reasonPrecedence = "has precedence over the job that its worker is reserved for"
	// reasonReserved is the reason of a start on a worker reserved for the job.
	reasonReserved = "the worker was reserved for it"
)

// reservation reserves workers for a job that needs much capacity at once, so
// that small work does not take each part as it becomes free. Other work may
// start there if it is expected to end before the job can start (backfill).
//
// Source: Lifka, The ANL/IBM SP Scheduling System, JSSPP 1995 (EASY backfilling).
type reservation struct {
	job           *job
	workers       []*worker
	expectedStart time.Duration
	// capacityFreed is set when capacity has become free on the workers since the
	// last attempt to start the job.
	capacityFreed bool
}

// reserveFor reserves workers for a job that fits nowhere.
func (e *Engine) reserveFor(pending *job, now time.Duration) {
	if mayPreempt(pending) || pending.reserved != nil || pending.claimedTasks > 0 {
		return
	}
	var planned *reservation
	if pending.spec.Kind == cairnbay.KindGang {
		planned = e.planGangReservation(pending, now)
	} else if now-pending.lastStartAt >= taskReserveDelay {
		planned = e.planTaskReservation(pending, now)
	}
	if planned == nil {
		return
	}
	pending.reserved = planned
	e.reservations = append(e.reservations, planned)
	e.setReserved(planned, planned, now)
}

// reserveMore reserves workers for one more job that waits for capacity.
func (p *pass) reserveMore() {
	e := p.engine
	if p.now < e.nextReserve {
		return
	}
	e.nextReserve = p.now + reserveInterval
	head := e.firstUnreserved(p.now)
	if head == nil {
		return
	}
	head.nextPlan = p.now + planRetryInterval
	if p.admitByQuota(head) {
		e.reserveFor(head, p.now)
	}
}

// firstInHeadGroup returns an eligible job of the subqueue's first group. The jobs
// of the group are searched in heap order, which is not their policy's order.
func (s *subqueue) firstInHeadGroup(eligible func(*job) bool) *job {
	if s.groups.Len() == 0 {
		return nil
	}
	for _, head := range s.groups[0].jobs {
		if eligible(head) {
			return head
		}
	}
	return nil
}

// firstUnreserved returns the first job that waits for capacity and may get a
// reservation, nil if there is none.
func (e *Engine) firstUnreserved(now time.Duration) *job {
	eligible := func(pending *job) bool {
		return pending.reserved == nil && now >= pending.nextPlan && now-pending.lastStartAt >= taskReserveDelay
	}
	for band := range cairnbay.Bands {
		var first *job
		for _, candidate := range e.queue.subqueues[band] {
			if !candidate.shape.blocked {
				continue
			}
			if head := candidate.firstInHeadGroup(eligible); head != nil && (first == nil || head.group.before(first.group)) {
				first = head
			}
		}
		if first != nil {
			return first
		}
	}
	return nil
}

// shareLimit returns the share above which a team starts nothing in a band,
// because a team with a smaller share has workers reserved there. Otherwise
// capacity that becomes free in small pieces always goes to teams with small
// work and never adds up to what the other team needs.
func (e *Engine) shareLimit(band cairnbay.Band) float64 {
	limit := math.Inf(1)
	for _, current := range e.reservations {
		if current.job.band == band {
			limit = min(limit, current.job.team.share*overtakeFactor+overtakeShare)
		}
	}
	return limit
}

// setReserved marks the workers of a reservation as reserved for holder; nil
// makes them usable for all.
func (e *Engine) setReserved(changed, holder *reservation, now time.Duration) {
	for _, host := range changed.workers {
		host.reserved = holder
		e.reindex(host, now)
	}
}

// dropReservation ends a reservation and unblocks the shapes that fit on its
// workers.
func (e *Engine) dropReservation(dropped *reservation, now time.Duration) {
	e.reservations = slices.DeleteFunc(e.reservations, func(existing *reservation) bool { return existing == dropped })
	dropped.job.reserved = nil
	e.setReserved(dropped, nil, now)
	for _, host := range dropped.workers {
		if host.isIndexed {
			e.queue.unblock(host.indexedFree)
		}
	}
}

// checkReservations drops the reservations whose job no longer waits for
// capacity, whose workers are gone, or that are long overdue.
func (e *Engine) checkReservations(now time.Duration) {
	for _, current := range slices.Clone(e.reservations) {
		if e.isReservationVoid(current, now) {
			e.dropReservation(current, now)
		}
	}
}

func (e *Engine) isReservationVoid(checked *reservation, now time.Duration) bool {
	holder := checked.job
	if e.jobs[holder.spec.ID] != holder || holder.group == nil || holder.group.parkedOn != nil || holder.claimedTasks > 0 {
		return true
	}
	if now-checked.expectedStart > maxReservationOverdue {
		return true
	}
	for _, host := range checked.workers {
		if e.workers[host.state.ID] != host || !e.isSchedulable(host, now) {
			return true
		}
	}
	return false
}

// startReserved starts the jobs whose reserved workers have gained enough capacity.
func (p *pass) startReserved() {
	for _, current := range slices.Clone(p.engine.reservations) {
		if p.full() {
			return
		}
		if !current.capacityFreed || !p.fitsLimit(tasksPerStart(current.job.spec)) {
			continue
		}
		current.capacityFreed = false
		if current.job.group != nil && p.admitByQuota(current.job) {
			p.startOnReserved(current)
		}
	}
}

func (p *pass) startOnReserved(current *reservation) {
	holder := current.job
	if holder.spec.Kind == cairnbay.KindGang {
		p.engine.withReserved(holder, p.now, func() bool { return p.startGang(holder, false) })
		return
	}
	for _, host := range current.workers {
		if holder.spec.Size.Fits(host.available()) {
			p.start(holder, host, reasonReserved, false)
			p.engine.dropReservation(current, p.now)
			p.engine.updateJob(holder, p.now)
			return
		}
	}
}

// withReserved makes the reserved workers of a job usable while start runs, and
// ends the reservation if start succeeds.
func (e *Engine) withReserved(pending *job, now time.Duration, start func() bool) bool {
	current := pending.reserved
	if current == nil {
		return start()
	}
	e.setReserved(current, nil, now)
	if start() {
		e.dropReservation(current, now)
		return true
	}
	e.setReserved(current, current, now)
	return false
}

// chooseReserved returns a reserved worker on which the job's next task may start
// all the same, nil if there is none.
func (e *Engine) chooseReserved(pending *job, now time.Duration) (chosen *worker, reason string) {
	if pending.spec.Kind == cairnbay.KindGang {
		return nil, ""
	}
	for _, current := range e.reservations {
		switch {
		case pending.spec.Band < current.job.band:
			reason = reasonPrecedence
		case pending.canBackfill(current.expectedStart, now):
			reason = reasonBackfill
		default:
			continue
		}
		if chosen := e.chooseAmong(pending, current.workers); chosen != nil {
			return chosen, reason
		}
	}
	return nil, ""
}

// chooseAmong returns the best of the given workers for the job's next task.
func (e *Engine) chooseAmong(pending *job, workers []*worker) *worker {
	e.candidates = e.candidates[:0]
	for _, host := range workers {
		if pending.spec.Size.Fits(host.available()) {
			e.candidates = append(e.candidates, host)
		}
	}
	return e.best(pending)
}

// canBackfill reports whether a task that starts now may use workers before their
// reservation begins: it is expected to end by then, and may be stopped if it
// does not.
func (j *job) canBackfill(expectedStart, now time.Duration) bool {
	return j.spec.Kind == cairnbay.KindBatch && !j.spec.AtMostOnce &&
		j.expectedRunTime > 0 && now+j.expectedRunTime <= expectedStart
}

// describeReservations describes the reservations that make a job wait.
func (e *Engine) describeReservations(pending *job, now time.Duration) string {
	if current := pending.reserved; current != nil {
		return fmt.Sprintf("; %d workers are reserved for it; they are expected to have enough free capacity in %s",
			len(current.workers), max(0, current.expectedStart-now).Round(time.Second))
	}
	if len(e.reservations) == 0 {
		return ""
	}
	first := e.reservations[0]
	return fmt.Sprintf("; workers are reserved for %d jobs, the first of them job %q, expected to start in %s",
		len(e.reservations), first.job.spec.ID, max(0, first.expectedStart-now).Round(time.Second))
}
