package sched

import "time"

// ticket is the latest ticket for a worker that may run a step.
type ticket struct {
	value string
	// calledAt is when the service was called for the ticket, arrivedAt when it answered.
	calledAt, arrivedAt time.Duration
	// certainUntil is until when the ticket certainly lasts, counted from the earliest moment
	// of its decision, and endsAt when it has certainly expired, counted from its arrival.
	certainUntil, endsAt time.Duration
	// refusals counts the starts since the last accepted one that the worker refused for
	// their ticket, and pausedUntil is until when the step uses other workers.
	refusals    int
	pausedUntil time.Duration
}

const (
	// ticketMargin is the least remaining validity of a ticket in use, so that
	// the start reaches its worker in time.
	ticketMargin = 150 * time.Millisecond
	// maxAdviceBackoff bounds the pause before the next call for a step whose calls fail, or
	// whose tickets are refused, one after the other, and that of a worker that refuses
	// them. There is none after the first failure, minAdviceBackoff after the second, and
	// twice as much after each further one.
	maxAdviceBackoff    = 800 * time.Millisecond
	minAdviceBackoff    = 100 * time.Millisecond
	maxBackoffDoublings = 10
)

// adviceBackoff is the pause after a number of failures in a row.
func adviceBackoff(failures int) time.Duration {
	if failures < 2 {
		return 0
	}
	return min(minAdviceBackoff<<min(failures-2, maxBackoffDoublings), maxAdviceBackoff)
}

// newTicket returns a ticket that arrives now. The service issued it at the earliest after
// the usual duration of a call that was sent at calledAt.
func newTicket(now Moment, value string, calledAt, duration, valid time.Duration) ticket {
	return ticket{
		value: value, calledAt: calledAt, arrivedAt: now.BootTime,
		certainUntil: min(calledAt+duration, now.BootTime) + valid, endsAt: now.BootTime + valid,
	}
}

// valid reports whether the worker's ticket may be used at a time: it lasts for ticketMargin
// more, unless it has expired before its arrival.
func (a *advice) valid(worker string, at time.Duration) bool {
	granted, ok := a.tickets[worker]
	return ok && granted.endsAt > at+ticketMargin && granted.pausedUntil <= at
}

// uncertain reports whether the worker's ticket may have expired, and no worker has accepted
// a ticket of the same call. How long a call waited at the service before the decision is
// not known, so a ticket that comes late may still last.
func (a *advice) uncertain(worker string, now Moment) bool {
	granted := a.tickets[worker]
	return granted.certainUntil <= now.BootTime+ticketMargin && granted.calledAt != a.confirmedCall
}

// usable reports whether the worker is allowed and does not pause after refusals.
func (a *advice) usable(worker string, at time.Duration) bool {
	granted, ok := a.tickets[worker]
	return ok && granted.pausedUntil <= at
}

// trusted reports whether the worker is allowed and has refused no ticket since the last one
// that it accepted.
func (a *advice) trusted(worker string) bool {
	granted, ok := a.tickets[worker]
	return ok && granted.refusals == 0
}

// distrusts reports whether an allowed worker is not trusted.
func (a *advice) distrusts() bool {
	for worker := range a.tickets {
		if !a.trusted(worker) {
			return true
		}
	}
	return false
}

// keepProbe detaches all attempts with uncertain tickets but one, or that one too while
// another such start is not answered. A late answer then costs one refused start. The members
// of a gang stay together.
func (c *Core) keepProbe(now Moment, stage *stage, placed []*attempt) (kept []*attempt) {
	if stage.spec.Gang {
		return placed
	}
	probing := false
	for i := range stage.tasks {
		a := stage.tasks[i].attempt
		probing = probing || a != nil && a.phase == phaseStarting && stage.advice.uncertain(a.worker.entry.ID, now)
	}
	for _, a := range placed {
		uncertain := stage.advice.uncertain(a.worker.entry.ID, now)
		if uncertain && probing {
			c.detach(a)
			continue
		}
		probing = probing || uncertain
		kept = append(kept, a)
	}
	return kept
}

// noteFailure counts the last call as a failed one, once, and delays the next one.
func (a *advice) noteFailure(now Moment) {
	if a.failed {
		return
	}
	a.failed = true
	a.failures++
	a.retryAt = now.BootTime + adviceBackoff(a.failures)
}

// noteAccepted ends the backoff of a step and of a worker that has accepted its ticket.
func (a *advice) noteAccepted(action *StartAction) {
	a.failures, a.retryAt, a.confirmedCall = 0, 0, action.TicketCalledAt
	if granted, ok := a.tickets[action.Target.Worker]; ok {
		granted.refusals, granted.pausedUntil = 0, 0
		a.tickets[action.Target.Worker] = granted
	}
}

// handleRefusedTicket ends the validity of a ticket that its worker refused, and of those of
// the same call that may have expired too. A newer one that has arrived since the start was
// ordered remains valid.
func (c *Core) handleRefusedTicket(now Moment, a *attempt, action *StartAction) {
	advice := a.stage.advice
	if advice == nil {
		// The queue had no policy service when the job was accepted.
		c.learnAdviceTerms(a.stage.job)
		return
	}
	advice.refusals++
	advice.noteFailure(now)
	for worker, granted := range advice.tickets {
		refused := worker == action.Target.Worker
		if refused {
			granted.refusals++
			granted.pausedUntil = now.BootTime + adviceBackoff(granted.refusals)
		}
		if granted.calledAt == action.TicketCalledAt && (refused || granted.certainUntil <= now.BootTime+ticketMargin) {
			granted.endsAt = min(granted.endsAt, now.BootTime)
		}
		advice.tickets[worker] = granted
	}
}

// TicketExpired reports whether the ticket of a start has certainly expired at a boot time.
func (s *StartAction) TicketExpired(at time.Duration) bool {
	return s.Ticket != "" && at >= s.TicketEndsAt
}
