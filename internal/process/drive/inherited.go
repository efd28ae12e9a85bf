package drive

import (
	"time"

	"github.com/sirupsen/logrus"

	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/sched"
)

// inheritance is what the journal says of a worker that former owners used.
type inheritance struct {
	// confined says that the journal lists all that may run there. The tasks of other
	// workers do not wait for such a worker.
	confined bool
}

// inherit takes over a worker from the journal; the caller holds the lock.
func (d *Drive) inherit(now sched.Moment, ref *cairnbayv1.WorkerRef) {
	entry := decodeWorker(ref)
	d.core.SetWorker(entry)
	if _, ok := d.listed[entry.ID]; !ok {
		d.core.SetUnlisted(entry.ID)
	}
	confined := ref.GetConfined() && d.core.Assume(now, entry.ID, decodePlaced(ref))
	d.inherited[entry.ID] = inheritance{confined}
	l := d.openLink(entry, true)
	l.used = &usedWorker{since: ref.GetUsedSince(), certain: true}
	d.addUsed(entry.ID, l.used)
	d.addFormer(l)
	l.confined, l.longLease = confined, ref.GetLongLease()
	if !ref.GetConfined() {
		l.unanswered, l.unansweredAt = decodePlaced(ref), now.BootTime
	}
}

// resolveInherited removes a worker from the inherited ones after it answered with all
// its ends or was counted as lost, and ends the recovery with the last one whose tasks
// are not known; the caller holds the lock.
func (d *Drive) resolveInherited(id string) {
	if _, ok := d.inherited[id]; !ok {
		return
	}
	delete(d.inherited, id)
	d.endRecovery()
	if len(d.inherited) == 0 {
		d.journalSettled()
	}
}

// endRecovery lets the tasks of former owners start once it is known where they may run;
// the caller holds the lock.
func (d *Drive) endRecovery() {
	if !d.recovering {
		return
	}
	for _, left := range d.inherited {
		if !left.confined {
			return
		}
	}
	d.recovering = false
	incompleteGangs := d.core.EndRecovery()
	d.config.Log.WithFields(logrus.Fields{
		"took_ms": (d.config.BootTime() - d.config.Claim.ClaimedAt).Milliseconds(), "incomplete_gangs": incompleteGangs,
		"unanswered": len(d.inherited), "evidence": d.formerSilentBy,
	}).Info("former owner settled")
}

// expireInherited counts inherited workers that have not answered as lost, once
// their leases have certainly ended; the caller holds the lock. A worker that has answered,
// and has not listed all its ends yet, holds a lease of this owner, also after a restart:
// its tasks and those of the others must not start again before that one has ended. One that
// is no longer listed is waited for as well: it does not reach the platform, but the former
// owner may have reached it.
func (d *Drive) expireInherited(now time.Duration) {
	if len(d.inherited) == 0 {
		return
	}
	if d.formerSilentAt == 0 {
		d.formerSilentAt, d.formerSilentBy = d.formerSilence(now)
		return
	}
	for id := range d.inherited {
		l := d.findLink(id)
		answered := l != nil && l.answeredAt > 0
		if answered || !d.hasLapsed(d.inheritedLeaseEndsBy(l), now) || l != nil && d.awaitUnanswered(l, now) {
			continue
		}
		if l != nil {
			d.config.Log.WithFields(logrus.Fields{
				"worker": id, "silent_ms": (now - d.config.Claim.ClaimedAt).Milliseconds(), "granted": false, "long": l.mayHoldLongest(),
				"store_age_ms": (now - d.ownedAt).Milliseconds(), "accepted": d.acceptedSince(d.inheritedLeaseEndsBy(l)), "used": len(d.usedNames),
			}).Info("lease ended")
			l.lapsed = l.lapsed || l.superseded
			d.journalRelease(l)
		}
		d.handleWorkerLoss(id, "inherited_lease_ended", sched.LossSilent)
		if entry, ok := d.listed[id]; ok {
			d.core.SetWorker(entry)
		}
	}
}

// awaitUnanswered says whether an inherited worker that has not answered may still run, though
// its usual lease has ended, attempts of which a start had no answer. The tasks of other
// attempts no longer wait for it. The caller holds the lock.
func (d *Drive) awaitUnanswered(l *link, now time.Duration) bool {
	id := l.entry.ID
	if len(l.unanswered) == 0 || d.hasLapsed(d.formerSilentAt+leaseTime(d.config.MaxLease), now) {
		return false
	}
	if !d.inherited[id].confined {
		if !d.core.Assume(d.now(), id, l.unanswered) {
			return true
		}
		d.inherited[id] = inheritance{confined: true}
		d.endRecovery()
	}
	return len(d.unansweredOn(l)) > 0
}

// silenceEvidence is what shows that no former owner extends leases.
type silenceEvidence string

const (
	// evidenceAnswers: every worker that may run their tasks has answered.
	evidenceAnswers silenceEvidence = "answers"
	evidenceRestart silenceEvidence = "restart"
	evidenceWorkers silenceEvidence = "workers"
	evidenceStore   silenceEvidence = "store_silence"
)

// formerSilence returns the boot time from which no former owner extends leases, 0 while it
// is not known, and what shows it; the caller holds the lock.
func (d *Drive) formerSilence(now time.Duration) (time.Duration, silenceEvidence) {
	switch {
	case d.onlyOwnFormer():
		return d.config.Claim.ClaimedAt, evidenceRestart
	case d.excludesFormerQuorums():
		// A former owner stops confirmWindow after its last quorum.
		return now + confirmWindow, evidenceWorkers
	case now >= d.detachedUntil():
		return d.detachedUntil(), evidenceStore
	}
	return 0, evidenceAnswers
}

// journalSettled records, for the next owner, that no owner before this one can
// give orders any more; the caller holds the lock.
func (d *Drive) journalSettled() {
	d.settled = d.config.Claim.Generation
	d.writer.Append([]*cairnbayv1.WorkRecord{{Settled: d.settled}}, d.logStoreFailure("settlement"))
}
