package drive

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/sched"
	"cairnbay/internal/process/timer"
)

// grantLease returns the lease end, on the worker's clock, of an order sent now;
// 0 while the worker's clock is not known.
func (l *link) grantLease(now, lease time.Duration) time.Duration {
	if l.answeredAt == 0 {
		return 0
	}
	end := l.clock + (now - l.answeredAt) + lease
	l.leaseEnd, l.grantedAt = max(l.leaseEnd, end), now
	return end
}

// leaseEnded says whether every lease of a worker that has answered has certainly ended; the
// caller holds the lock.
func (d *Drive) leaseEnded(l *link, now time.Duration) bool {
	return l.answeredAt > 0 && d.hasLapsed(l.leaseEndsBy(), now)
}

// hasLapsed says whether leases from this owner and former ones, which end by a boot time, have
// ended without an extension by a newer owner. Either the store has shown none since, or a
// quorum of the workers has accepted the token since: a newer owner extends such leases only
// once there can be none. It requests a read of the store if neither is known. The caller holds
// the lock.
func (d *Drive) hasLapsed(endsBy, now time.Duration) bool {
	if now <= endsBy {
		return false
	}
	if d.ownedAt > endsBy || d.isQuorum(d.acceptedSince(endsBy)) {
		return true
	}
	if endsBy > d.lapseAt {
		d.lapseAt = endsBy
		timer.Signal(d.confirmDue)
	}
	return false
}

// expireSilent counts the attempts on silent workers as lost, after the store has shown that
// nobody has extended their leases; the caller holds the lock.
func (d *Drive) expireSilent(now time.Duration) {
	for _, l := range d.links {
		if l.failures == 0 {
			continue
		}
		d.expireFormer(l.lineage)
		if !l.lapsed && !d.leaving(l) && d.leaseEnded(l, now) {
			d.expireLease(l, now)
		}
	}
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

// updateLongLease journals, after an answer to a renewal sent at a boot time, whether the
// worker may hold the longest lease; the caller holds the lock.
func (d *Drive) updateLongLease(l *link, sent time.Duration) {
	long := l.clock < l.longLeaseEnd
	settled := len(l.unanswered) > 0 && sent > l.unansweredAt+d.config.MaxLease
	if settled {
		l.unanswered = nil
	}
	if settled || long != l.longLease {
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

// noteUnanswered journals the attempt of a start without an answer. Another run of the worker
// may have carried it out, and holds the longest lease then. The caller holds the lock.
func (d *Drive) noteUnanswered(l *link, attempt sched.PlacedAttempt) {
	if !l.restartable() || l.dropped {
		return
	}
	l.unansweredAt = d.config.BootTime()
	if slices.Contains(l.unanswered, attempt) {
		return
	}
	l.unanswered = append(d.unansweredOn(l), attempt)
	d.setLongLease(l, l.longLease)
}

// unansweredOn returns the attempts on a worker of which a start had no answer; the caller
// holds the lock.
func (d *Drive) unansweredOn(l *link) (attempts []sched.PlacedAttempt) {
	if len(l.unanswered) == 0 {
		return nil
	}
	for _, placed := range d.core.PlacedOn(l.entry.ID) {
		if slices.Contains(l.unanswered, placed) {
			attempts = append(attempts, placed)
		}
	}
	return attempts
}

// unansweredMayRun returns the attempts that another run of a silent worker may still run,
// though the lease of the known one has ended; the caller holds the lock.
func (d *Drive) unansweredMayRun(l *link, now time.Duration) []sched.PlacedAttempt {
	unanswered := d.unansweredOn(l)
	if len(unanswered) > 0 && d.hasLapsed(max(l.answeredAt, l.grantedAt)+leaseTime(d.config.MaxLease), now) {
		return nil
	}
	return unanswered
}

// expireLease counts the attempts on a silent worker as lost whose leases have certainly
// ended; the caller holds the lock.
func (d *Drive) expireLease(l *link, now time.Duration) {
	kept := d.unansweredMayRun(l, now)
	l.lapsed = len(kept) == 0
	if !l.lapsed && l.usualLapsed {
		return
	}
	d.config.Log.WithFields(logrus.Fields{
		"worker": l.entry.ID, "silent_ms": (now - l.answeredAt).Milliseconds(), "granted": l.grantedAt > 0,
		"long": l.longLease || l.usualLapsed, "unanswered": len(kept), "store_age_ms": (now - d.ownedAt).Milliseconds(),
		"accepted": d.acceptedSince(l.leaseEndsBy()), "used": len(d.usedNames),
	}).Info("lease ended")
	if !l.lapsed {
		l.usualLapsed = true
		d.reportLoss(l.entry.ID, "lease_ended", d.core.HandlePartialLoss(d.now(), l.entry.ID, sched.LossSilent, kept))
		return
	}
	d.handleWorkerLoss(l.entry.ID, "lease_ended", sched.LossSilent)
	d.journalRelease(l)
	if entry, listed := d.listed[l.entry.ID]; listed {
		d.core.SetWorker(entry)
		d.core.SetReachable(d.now(), l.entry.ID, false)
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

// maxClockError is by how much the clock in an answer may lie behind that of a worker whose
// clock is slow. The lease of another run within it lasts longer by as much, for which
// transitMargin allows.
const maxClockError = 100 * time.Millisecond

// isOtherRun says whether an answer to an order sent at a boot time is of another run than
// that of the link. The clock of each run starts anywhere, but one that is ahead refuses the
// order as late.
func (l *link) isOtherRun(clock, sent time.Duration) bool {
	elapsed := sent - l.answeredAt
	drift := time.Duration(float64(elapsed.Abs()) * (clockDriftFactor - 1))
	return l.restartable() && l.answeredAt > 0 && clock > 0 && clock+maxClockError+drift < l.clock+elapsed
}

// handleOtherClock handles an answer to an order by the clock of another run. Further calls
// would extend its lease beyond what is counted here, so they grant none until a renewal has
// told which run it is. The caller holds the lock.
func (d *Drive) handleOtherClock(l *link, clock, sent time.Duration) {
	d.config.Log.WithFields(logrus.Fields{
		"worker": l.entry.ID, "clock_ms": clock.Milliseconds(), "expected_ms": (l.clock + sent - l.answeredAt).Milliseconds(),
	}).Info("order answered by another run")
	l.doubtedAt = d.config.BootTime()
	d.extendFormerLease(l)
}
