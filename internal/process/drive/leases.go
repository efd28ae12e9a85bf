package drive

import (
	"time"

	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// grantLease returns the lease end, on the worker's clock, of an order sent now;
// 0 while the worker's clock is not known.
func (l *link) grantLease(now, lease time.Duration) time.Duration {
	if l.answeredAt == 0 {
		return 0
	}
	end := l.clock + (now - l.answeredAt) + lease
	l.leaseEnd, l.granted = max(l.leaseEnd, end), true
	return end
}

// leaseEnded says whether every lease from this owner and former ones has certainly ended,
// even on a slow worker clock.
func (l *link) leaseEnded(now time.Duration) bool {
	return l.answeredAt > 0 && now > l.leaseEndsBy()
}

// leaseEndsBy is the boot time at which every lease from this owner and former ones has
// certainly ended, for a worker that has answered.
func (l *link) leaseEndsBy() time.Duration {
	return l.answeredAt + time.Duration(float64(l.leaseEnd-l.clock)*clockDriftFactor) + transitMargin
}

// leaseTime is how long after its grant a lease has certainly ended, even on a slow worker
// clock.
func leaseTime(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*clockDriftFactor) + transitMargin
}

// inheritLease starts from the longest lease that a worker may hold from former owners, or
// from calls for its former runs, when it first answers, with its clock in that answer. It
// refuses such calls from then on. The caller holds the lock.
func (d *Drive) inheritLease(l *link, clock time.Duration) {
	if l.mayHoldLongest() {
		l.longLeaseEnd = clock + d.config.MaxLease
		l.leaseEnd = max(l.leaseEnd, l.longLeaseEnd)
		return
	}
	// The former owner extrapolated the worker's clock, which may be slow.
	l.leaseEnd = max(l.leaseEnd, clock+time.Duration(float64(d.config.Lease)*clockDriftFactor))
}

// updateLongLease journals, after an answer, whether the worker may hold the longest lease;
// the caller holds the lock.
func (d *Drive) updateLongLease(l *link) {
	if long := l.clock < l.longLeaseEnd; long != l.longLease {
		d.setLongLease(l, long)
	}
}

// setLongLease journals whether a worker may hold the longest lease, so that the next owner
// waits for that long if the worker does not answer it; the caller holds the lock.
func (d *Drive) setLongLease(l *link, long bool) {
	l.longLease = long
	if l.journaled {
		d.writer.Append([]*cairnbayv1.WorkRecord{d.workerRecord(l)}, d.logStoreFailure("longest lease"))
	}
}

// extendFormerLease raises the assumed lease of a run after which another one is known: that
// one may have carried out the last calls for it, and holds the longest lease then, as its
// clock has nothing to do with theirs. The caller holds the lock.
func (d *Drive) extendFormerLease(former *link) {
	if former.answeredAt > 0 {
		clock := former.clock + (d.config.BootTime() - former.answeredAt)
		former.leaseEnd = max(former.leaseEnd, clock+d.config.MaxLease)
	}
	if !former.longLease {
		d.setLongLease(former, true)
	}
}

// inheritedLeaseEndsBy is the boot time at which every lease of an inherited worker that has
// not answered this owner has certainly ended; formerSilentAt must be known. The caller
// holds the lock.
func (d *Drive) inheritedLeaseEndsBy(l *link) time.Duration {
	if l != nil && l.mayHoldLongest() {
		return d.formerSilentAt + leaseTime(d.config.MaxLease)
	}
	return d.formerSilentAt + leaseTime(d.config.Lease)
}

// mayHoldLongest says whether a worker that has not answered may hold the longest lease, by
// the journal or because another run of it is known.
func (l *link) mayHoldLongest() bool {
	return l.longLease || l.lineage.restarted()
}

// formerMayRun says whether tasks may run under a former run of a worker, or on the current
// one by calls for a former one; the caller holds the lock.
func (d *Drive) formerMayRun(g *lineage) bool {
	for _, former := range g.former {
		_, inherited := d.inherited[former.entry.ID]
		if inherited || former.answeredAt > 0 && !former.lapsed {
			return true
		}
	}
	return false
}

// maxClockError is by how much the clock in an answer may lie behind the expected one, because
// the worker's clock is slow or answers overtake each other.
const maxClockError = time.Second

// isOtherRun says whether an answer to an order sent at a boot time is of another run than
// that of the link. The clock of each run starts anywhere, but one that is ahead refuses the
// order as late.
func (l *link) isOtherRun(clock, sent time.Duration) bool {
	return l.restartable() && l.answeredAt > 0 && clock > 0 && clock+maxClockError < l.clock+(sent-l.answeredAt)
}
