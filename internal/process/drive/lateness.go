package drive

import "time"

// lateness is how late the owner handles its events, because it is short of processor
// time or because its calls take long: the delay of plans, and the time for which
// starts have waited for answers to earlier ones. It rises at once and falls by
// latenessDecay with each observation.
type lateness struct {
	recent time.Duration
	// hurriedUntil is the boot time until which the owner counts as hurried.
	hurriedUntil time.Duration
}

const (
	// maxLateness bounds an observation: a process that was suspended is late once,
	// not short of processor time.
	maxLateness = time.Second
	// latenessDecay is the part of the lateness that one observation in time takes
	// off. Observations come at least once every planPeriod.
	latenessDecay = 2
	// overloadLateness is the lateness from which new jobs are refused and the
	// journal is not rewritten. The starts of a burst that the owner can order within
	// it are not refused.
	overloadLateness = 300 * time.Millisecond
	// hurriedLateness is the lateness from which decisions do without what only improves
	// them, before jobs are refused, and hurriedTime how long they do after it.
	hurriedLateness = overloadLateness / 3
	hurriedTime     = 2 * time.Second
	// minOverloadRetryAfter is the least Retry-After of an owner that is overloaded.
	minOverloadRetryAfter = time.Second
	// overloadRetryFactor times the lateness is the Retry-After: the work that makes
	// the owner late is handled, and the tasks that it has started have ended.
	overloadRetryFactor = 5
)

// observe notes that an event was handled after a delay.
func (l *lateness) observe(delay time.Duration) {
	l.recent -= l.recent / latenessDecay
	l.raise(delay)
}

// raise notes that an event has been waiting for a time and is not handled yet.
func (l *lateness) raise(wait time.Duration) {
	l.recent = max(l.recent, min(wait, maxLateness))
}

func (l *lateness) overloaded() bool {
	return l.recent > overloadLateness
}

// hurried reports whether the owner has lately been late enough to save processor time.
func (l *lateness) hurried(now time.Duration) bool {
	if l.recent > hurriedLateness {
		l.hurriedUntil = now + hurriedTime
	}
	return now < l.hurriedUntil
}

func (l *lateness) retryAfter() time.Duration {
	return max(overloadRetryFactor*l.recent, minOverloadRetryAfter)
}

// observeHeldStarts notes whether the last plan has left starts out; the caller holds
// the lock.
func (d *Drive) observeHeldStarts(now time.Duration) {
	d.startsHeld = d.core.StartsHeld()
	switch {
	case !d.startsHeld:
		d.heldSince = 0
	case d.heldSince == 0:
		d.heldSince = now
	default:
		d.late.raise(now - d.heldSince)
	}
}
