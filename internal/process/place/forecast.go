package place

import (
	"cmp"
	"slices"
	"time"

	"cairnbay"
)

// planTaskReservation returns a reservation of the worker that is expected to fit
// the task first, of up to reservationCandidates workers. It returns nil if the limit of
// reserved workers is reached or the task fits on none of them.
func (e *Engine) planTaskReservation(pending *job, now time.Duration) *reservation {
	reserved := 0
	for _, current := range e.reservations {
		reserved += len(current.workers)
	}
	if reserved >= min(maxReserved, max(1, int(reservedShare*float64(len(e.workers))))) {
		return nil
	}
	var best *worker
	var soonest time.Duration
	for range min(reservationCandidates, len(e.bySlot)) {
		e.reservationCursor = (e.reservationCursor + 1) % len(e.bySlot)
		candidate := e.bySlot[e.reservationCursor]
		if candidate == nil || candidate.reserved != nil || candidate.probation || !e.isSchedulable(candidate, now) {
			continue
		}
		if at, ok := candidate.fitsAt(pending.spec.Size, now); ok && (best == nil || at < soonest) {
			best, soonest = candidate, at
		}
	}
	if best == nil {
		return nil
	}
	return &reservation{job: pending, workers: []*worker{best}, expectedStart: soonest}
}

// fitsAt returns when a size is expected to fit on the worker; ok is false if it
// does not fit even after all expected ends.
func (w *worker) fitsAt(size cairnbay.Resources, now time.Duration) (at time.Duration, ok bool) {
	ends := w.expectedEnds(nil, now)
	sortEnds(ends)
	free := w.available()
	at = now
	for _, next := range ends {
		if size.Fits(free) {
			break
		}
		free = free.Add(next.run.size)
		at = next.at
	}
	return at, size.Fits(free)
}

// planGangReservation returns a reservation of the workers on which a gang is
// expected to fit first. It returns nil if the gang does not fit even after all
// expected ends, because services take the rest. Only one gang at a time has a
// reservation.
func (e *Engine) planGangReservation(pending *job, now time.Duration) *reservation {
	if now < e.nextGangPlan || !e.displaceGangReservation(pending, now) {
		return nil
	}
	e.nextGangPlan = now + gangPlanInterval
	size, needed := pending.spec.Size, pending.waiting()
	free, fitting := e.freeNow(size, now)
	expectedStart := now
	for _, next := range e.expectedEnds(now) {
		if fitting >= needed {
			break
		}
		freed := free[next.run.worker].Add(next.run.size)
		fitting += fitCount(size, freed) - fitCount(size, free[next.run.worker])
		free[next.run.worker] = freed
		expectedStart = next.at
	}
	if fitting < needed {
		return nil
	}
	return &reservation{job: pending, workers: fewestWorkers(free, size, needed), expectedStart: expectedStart}
}

// displaceGangReservation drops the reservation of a gang in a lower band. It
// returns false if a gang in the same or a higher band has one.
func (e *Engine) displaceGangReservation(pending *job, now time.Duration) bool {
	for _, current := range e.reservations {
		if current.job.spec.Kind != cairnbay.KindGang {
			continue
		}
		if pending.band >= current.job.band {
			return false
		}
		e.dropReservation(current, now)
		return true
	}
	return true
}

// freeNow returns the free capacity of each schedulable worker, and how many tasks
// of the size fit in all.
func (e *Engine) freeNow(size cairnbay.Resources, now time.Duration) (free map[*worker]cairnbay.Resources, fitting int) {
	free = make(map[*worker]cairnbay.Resources, len(e.workers))
	for _, candidate := range e.bySlot {
		if candidate == nil || candidate.reserved != nil || !e.isSchedulable(candidate, now) {
			continue
		}
		free[candidate] = candidate.available()
		fitting += fitCount(size, free[candidate])
	}
	return free, fitting
}

// expectedEnd is the time at which a run is expected to end.
type expectedEnd struct {
	run *run
	at  time.Duration
}

// expectedEnds returns the expected ends on schedulable workers, the earliest
// first.
func (e *Engine) expectedEnds(now time.Duration) []expectedEnd {
	var ends []expectedEnd
	for _, host := range e.bySlot {
		if host != nil && host.reserved == nil && e.isSchedulable(host, now) {
			ends = host.expectedEnds(ends, now)
		}
	}
	sortEnds(ends)
	return ends
}

// expectedEnds appends the expected ends on the worker; services are not expected
// to end.
func (w *worker) expectedEnds(ends []expectedEnd, now time.Duration) []expectedEnd {
	for _, run := range w.runs {
		if run.job.spec.Kind != cairnbay.KindService {
			ends = append(ends, expectedEnd{run: run, at: run.expectedEnd(now)})
		}
	}
	return ends
}

func sortEnds(ends []expectedEnd) {
	slices.SortFunc(ends, func(a, b expectedEnd) int {
		return cmp.Or(cmp.Compare(a.at, b.at), compareTasks(a.run.task(), b.run.task()))
	})
}

// expectedEnd returns when a run is expected to end; an overdue run is expected to
// run for as long again.
func (r *run) expectedEnd(now time.Duration) time.Duration {
	expected := r.job.expectedRunTime
	if expected <= 0 {
		expected = unknownRunTime
	}
	if at := r.placedAt + expected; at > now {
		return at
	}
	return now + (now - r.placedAt)
}

// fewestWorkers returns the smallest set of workers on which need tasks fit.
func fewestWorkers(free map[*worker]cairnbay.Resources, size cairnbay.Resources, needed int) []*worker {
	var chosen []*worker
	for host, amount := range free {
		if fitCount(size, amount) > 0 {
			chosen = append(chosen, host)
		}
	}
	slices.SortFunc(chosen, func(a, b *worker) int {
		return cmp.Or(
			cmp.Compare(fitCount(size, free[b]), fitCount(size, free[a])),
			cmp.Compare(a.slot, b.slot),
		)
	})
	for i, host := range chosen {
		needed -= fitCount(size, free[host])
		if needed <= 0 {
			return chosen[:i+1]
		}
	}
	return chosen
}
