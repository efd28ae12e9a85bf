package drive

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/sched"
)

// link is the connection to one run of a worker's process.
type link struct {
	entry   cairnbay.WorkerEntry
	lineage *lineage
	// superseded says that another run of the worker is known, and that this one is not
	// called any more; renewing says that the loop of renewals has not ended yet.
	superseded, renewing bool
	// openedAt is the boot time at which the link was opened.
	openedAt time.Duration
	// unlisted says that the run is known from an answer or from the list of another shard
	// only, and that entry is that of the former one.
	unlisted bool
	// journaled says that the journal lists the worker as used, so that the next
	// owner assumes that tasks run there until the worker answers it; unconfining that the
	// record by which a confined worker takes tasks again is not stored yet; journaling that a
	// record is being stored after which the worker is journaled.
	journaled, unconfining, journaling bool
	// used is the worker's entry among those that the journal may list, nil if it lists none.
	used *usedWorker
	// releases counts the records by which the worker is no longer used.
	releases int
	// clock is the worker's clock in its last answer, and answeredAt the boot time
	// at which that answer arrived; both are 0 before the first one.
	clock, answeredAt time.Duration
	// leaseEnd is the latest lease end, on the worker's clock, that this owner or a former
	// one may have granted.
	leaseEnd time.Duration
	// longLease says that the journal lists the worker as one that may hold the longest
	// lease, which ends at longLeaseEnd on its clock; 0 before the first answer.
	longLease    bool
	longLeaseEnd time.Duration
	// grantedAt is the boot time at which this owner last sent a call that grants a lease; 0
	// before the first one.
	grantedAt time.Duration
	// doubtedAt is the boot time at which another run has answered an order; 0 since the run
	// of the link has answered a later renewal.
	doubtedAt time.Duration
	// unanswered are attempts with a start that had no answer, the last one at the boot time
	// unansweredAt. Another run of the worker may carry out that start.
	unanswered   []sched.PlacedAttempt
	unansweredAt time.Duration
	// confirmedAt is the boot time at which the last accepted renewal was sent: its answer tells
	// which run has accepted it.
	confirmedAt time.Duration
	// formerRuns says that the latest answer listed runs that former owners ordered.
	formerRuns bool
	// acked is the sequence of the last attempt end that is in the store.
	acked uint64
	// listsEnds says that the latest answer listed ends, which the worker keeps until
	// they are acknowledged.
	listsEnds bool
	// endsTruncated says that the latest answer may not have listed all ends.
	endsTruncated bool
	// storing holds the sequences of the last ends of the records that are being
	// stored, oldest first. Later records may be stored before earlier ones.
	storing []*storingEnds
	// failures counts the renewals that failed since the last answer.
	failures int
	// draining says that the worker's latest list entry was draining, confined that the
	// journal lists all that may run there.
	draining, confined bool
	// dropped says that the link was removed from the drive.
	dropped bool
	// departed says that the worker has most likely left: it was draining, is not listed
	// and does not answer. Its tasks may run until its lease ends all the same.
	departed bool
	// lapsed says that the worker's lease has ended without an answer, and that
	// its attempts were counted as lost; usualLapsed says the same of the attempts whose
	// starts were answered.
	lapsed, usualLapsed bool
}

// storingEnds is the state of records about attempt ends of a worker.
type storingEnds struct {
	lastSequence uint64
	stored       bool
}

// endsStored updates acked to the last end before which all are stored.
func (l *link) endsStored() {
	for len(l.storing) > 0 && l.storing[0].stored {
		l.acked = max(l.acked, l.storing[0].lastSequence)
		l.storing = l.storing[1:]
	}
}

const (
	// renewWait is how long a worker may delay its answer to a renewal until an
	// attempt ends.
	renewWait = 500 * time.Millisecond
	// renewMargin is what the timeout of a renewal adds to renewWait. An answer
	// takes milliseconds; a lost one delays the report of ends by this margin.
	renewMargin = 250 * time.Millisecond
	// maxRenewTimeout bounds the timeout of a renewal after failed ones. An owner
	// that is short of processor time or bandwidth handles answers late; without
	// them it would count workers as lost whose tasks have ended.
	maxRenewTimeout = 2 * time.Second
	// maxRenewSilence is how long after its last answer a worker's lease is
	// still renewed.
	maxRenewSilence = 1500 * time.Millisecond
	// renewRetryPause is the pause after the second and each later failed renewal,
	// and after one whose attempt ends were not stored within ackTimeout.
	renewRetryPause = 250 * time.Millisecond
	// tokenRetryPause is the pause while the token for a restarted worker must rise and
	// cannot.
	tokenRetryPause = 20 * time.Millisecond
	// unlistedTimeout is the time after its last answer, or after the claim if it
	// never answered, at which an unlisted worker is dropped. Its lease must have
	// ended, and it must not be inherited.
	unlistedTimeout = 5 * time.Second
	// departedTimeout is the time after its last answer at which a draining worker
	// that is no longer listed counts as departed.
	departedTimeout = 2300 * time.Millisecond
	// ackTimeout bounds how long the next renewal waits for the journal to store
	// attempt ends; then the lease is renewed without acknowledging them.
	ackTimeout = 700 * time.Millisecond
)

// openLink starts to renew the lease of a worker, in place of a former run of it; the
// caller holds the lock.
func (d *Drive) openLink(entry cairnbay.WorkerEntry, journaled bool) *link {
	added := &link{entry: entry, lineage: d.lineage(entry.ID), journaled: journaled, draining: entry.Draining, renewing: true, openedAt: d.config.BootTime()}
	d.supersede(added.lineage)
	added.lineage.current, d.links[entry.ID] = added, added
	if !journaled {
		d.core.SetReachable(d.now(), entry.ID, false)
	}
	d.done.Go(func() { d.renewLoop(added) })
	return added
}

func (l *link) target() cairnbay.AgentTarget {
	return cairnbay.AgentTarget{Worker: l.entry.ID, Address: l.entry.Address}
}

// renewTimeout is how long a renewal sent now may take beyond its wait. It doubles
// with each failed one, but a worker whose lease ends is noticed in time.
func (l *link) renewTimeout(now time.Duration) time.Duration {
	timeout := min(renewMargin<<min(l.failures, 8), maxRenewTimeout)
	if l.answeredAt > 0 {
		timeout = min(timeout, max(l.leaseEndsBy()-now, renewMargin))
	}
	return timeout
}

// updateClock stores the worker's clock from an answer at a boot time. A clock of 0 changes
// nothing, nor does one that has gone back, in an answer that was overtaken.
func (l *link) updateClock(clock, now time.Duration) {
	if clock <= 0 || l.restartable() && clock < l.clock {
		return
	}
	l.clock, l.answeredAt = clock, now
}

// renewLoop renews the worker's lease and reads its state until the worker is
// dropped or the drive closes.
func (d *Drive) renewLoop(l *link) {
	for d.ctx.Err() == nil {
		pause, ok := d.renew(l)
		if !ok {
			return
		}
		if pause <= 0 {
			continue
		}
		select {
		case <-d.ctx.Done():
		case <-time.After(pause):
		}
	}
}

// renew makes one renewal call and returns the pause before the next; false to
// make no more.
func (d *Drive) renew(l *link) (time.Duration, bool) {
	d.mu.Lock()
	if l.superseded || l.dropped {
		l.renewing = false
		d.mu.Unlock()
		return 0, false
	}
	if !d.raiseToken(l) {
		// A newer owner may have extended the leases of a worker that has refused the token.
		if _, refused := d.refusals[l.entry.ID]; !refused {
			d.expireFormer(l.lineage)
		}
		d.mu.Unlock()
		return tokenRetryPause, true
	}
	sent := d.config.BootTime()
	target := l.target()
	order := cairnbay.AgentHold{Token: l.lineage.token, Wait: renewWait}
	// A renewal after one without an answer may reach another run, which numbers its ends
	// anew and must not drop any of them. Those of a worker of another shard are acknowledged
	// by its owner there, once it has read them.
	if !l.restartable() || l.listsEnds && l.failures == 0 && !l.unlisted {
		order.Acked = l.acked
	}
	// A renewal without an answer may have extended the lease. Renewals of a silent worker
	// stop, so that its lease is known to end; those of a draining one that is no longer
	// listed stop after the first failure.
	confirmed := d.ownershipConfirmed(sent)
	if confirmed {
		d.unconfirmed = false
	} else {
		d.logUnconfirmed(sent)
	}
	if confirmed && l.doubtedAt == 0 && d.mayExtend(l, sent) && (l.failures == 0 || sent-l.answeredAt <= maxRenewSilence && !d.leaving(l)) {
		order.LeaseEnd = l.grantLease(sent, d.config.Lease)
	}
	if l.answeredAt == 0 || l.failures > 0 {
		order.Wait = 0
	}
	timeout := order.Wait + l.renewTimeout(sent) + patience*d.late.recent
	fenced := d.fenced
	d.mu.Unlock()
	if fenced {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(d.ctx, timeout)
	state, err := d.config.Agent.Hold(ctx, target, order)
	cancel()
	if d.ctx.Err() != nil {
		return 0, false
	}
	if err != nil {
		return d.handleRenewFailure(l, target.Address, order.Token, err)
	}
	return d.handleState(l, sent, state), true
}

// leaving says whether a worker was draining and is no longer listed; the caller holds the
// lock.
func (d *Drive) leaving(l *link) bool {
	_, listed := d.listed[l.entry.ID]
	return d.listRead && l.draining && !listed
}

// handleRenewFailure handles a failed renewal that was sent to an address. It returns the
// pause before the next one; false to make no more.
func (d *Drive) handleRenewFailure(l *link, address string, token uint64, err error) (time.Duration, bool) {
	if errors.Is(err, cairnbay.ErrFenced) && d.handleFencedCall(l, token) {
		return 0, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.superseded || l.dropped {
		return 0, true
	}
	now := d.config.BootTime()
	if errors.Is(err, cairnbay.ErrReplaced) {
		return 0, !d.dropReplaced(l, address)
	}
	l.failures++
	if l.failures == 1 {
		d.config.Log.WithError(err).WithField("worker", l.entry.ID).Warn("worker not reached")
	}
	d.core.SetReachable(d.now(), l.entry.ID, false)
	d.expireFormer(l.lineage)
	_, listed := d.listed[l.entry.ID]
	l.departed = d.leaving(l) && l.answeredAt > 0 && now-l.answeredAt > departedTimeout
	formerRuns := d.formerMayRun(l.lineage)
	if d.leaving(l) && d.leaseEnded(l, now) && !formerRuns && len(d.unansweredMayRun(l, now)) == 0 {
		d.drop(l, "left")
		return 0, false
	}
	if !l.lapsed && d.leaseEnded(l, now) {
		d.expireLease(l, now)
	}
	_, inherited := d.inherited[l.entry.ID]
	since := max(l.answeredAt, d.config.Claim.ClaimedAt)
	if l.unlisted {
		since = max(since, l.openedAt)
	}
	if !listed && !inherited && !formerRuns && (l.lapsed || l.answeredAt == 0) && now-since > unlistedTimeout {
		d.drop(l, "unlisted")
		return 0, false
	}
	if l.failures == 1 {
		return 0, true
	}
	return renewRetryPause, true
}

// logStoreFailure returns a callback that logs the error of a record that was not
// stored.
func (d *Drive) logStoreFailure(record string) func(error) {
	return func(err error) {
		if err != nil {
			d.config.Log.WithError(err).Warn(record + " not stored")
		}
	}
}

// handleState handles the answer to a renewal and returns the pause before the
// next one.
func (d *Drive) handleState(l *link, sent time.Duration, state cairnbay.AgentState) time.Duration {
	d.mu.Lock()
	if l.superseded || l.dropped {
		d.mu.Unlock()
		return 0
	}
	if state.Worker != l.entry.ID {
		d.handleOtherRun(l, state.Worker)
		d.mu.Unlock()
		return 0
	}
	now := d.now()
	if l.answeredAt == 0 {
		d.inheritLease(l, state.Clock)
	}
	l.updateClock(state.Clock, now.BootTime)
	l.confirmedAt = max(l.confirmedAt, sent)
	d.updateFormerRuns(l, state)
	if sent >= l.doubtedAt {
		l.doubtedAt = 0
	}
	if state.EndsTruncated && !l.endsTruncated {
		d.config.Log.WithFields(logrus.Fields{"worker": l.entry.ID, "ends": len(state.Ended), "acked": l.acked}).
			Warn("worker has more ends than it lists")
	}
	l.listsEnds, l.endsTruncated = len(state.Ended) > 0, state.EndsTruncated
	if l.failures > 0 {
		d.config.Log.WithFields(logrus.Fields{"worker": l.entry.ID, "failures": l.failures}).Info("worker regained")
	}
	// The lease of a reinstated run may have ended without a failed renewal.
	l.failures, l.lapsed, l.usualLapsed, l.departed = 0, false, false, false
	unjournaled := !l.journaled || l.unconfining
	if !unjournaled {
		d.core.SetReachable(d.now(), l.entry.ID, true)
	}
	delete(d.refusals, l.entry.ID)
	delete(d.replaced, l.entry.ID)
	ended, released := d.endFormer(l, state)
	d.updateLongLease(l, sent)
	result := d.core.HandleHold(now, l.entry.ID, sent, state)
	d.logGivenUp()
	if !state.EndsTruncated {
		ended = append(ended, l.entry.ID)
	}
	for _, id := range ended {
		d.resolveInherited(id)
	}
	if d.worksElsewhere(l, now.BootTime, state, result) {
		d.drop(l, "unlisted")
	}
	var used []*cairnbayv1.WorkRecord
	if unjournaled && !l.dropped {
		l.confined, l.journaling = false, true
		used = append(used, d.workerRecord(l))
	}
	d.confine(l)
	pause := time.Duration(0)
	if l.unlisted && l.listsEnds {
		// The worker answers at once while its ends are not acknowledged.
		pause = renewRetryPause
	}
	d.mu.Unlock()
	d.logEnds(l, result)
	records := append(encodeRecords(result.Records), used...)
	// The next owner must know of the current run before it forgets the former ones.
	for _, former := range released {
		records = append(records, former.record)
	}
	if len(result.Ends) > 0 || unjournaled {
		d.requestPlan()
	}
	if result.LastSequence <= l.lastAcked(d) && len(records) == 0 {
		return pause
	}
	return max(pause, d.acknowledge(l, records, result, len(used) > 0, released))
}

// worksElsewhere says whether a run that is still not listed belongs to another class, or
// shard: its answer tells of no task of this one. The caller holds the lock.
func (d *Drive) worksElsewhere(l *link, now time.Duration, state cairnbay.AgentState, result sched.HoldResult) bool {
	return l.unlisted && now-l.openedAt > unlistedTimeout && !state.EndsTruncated &&
		!slices.ContainsFunc(state.Running, func(running cairnbay.AgentTask) bool { return d.core.HasJob(running.Task.Job) }) &&
		!slices.ContainsFunc(result.Ends, func(end sched.AttemptEnd) bool { return end.JobKnown })
}

// handleJournaled lets a worker take tasks once the journal lists it as used, or releases
// one that is gone by then; the caller holds the lock.
func (d *Drive) handleJournaled(l *link) {
	switch {
	case l.dropped:
		if next := d.findLink(l.entry.ID); next != nil {
			// The same run is used again: its new link releases it.
			next.journaled, next.used = true, l.used
			if next.answeredAt > 0 && next.failures == 0 {
				d.handleJournaled(next)
			}
			return
		}
		d.journalRelease(l)
	case !l.superseded:
		d.core.SetReachable(d.now(), l.entry.ID, true)
		d.requestPlan()
	}
}

func (l *link) lastAcked(d *Drive) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return l.acked
}

// acknowledge stores records, after which the next renewal acknowledges their
// ends to the worker. used says that one of the records lists the worker as used; others may
// release former runs. It returns the pause before that renewal.
func (d *Drive) acknowledge(
	l *link, records []*cairnbayv1.WorkRecord, result sched.HoldResult, used bool, released []release,
) time.Duration {
	stored := make(chan struct{})
	ends := &storingEnds{lastSequence: result.LastSequence}
	d.mu.Lock()
	l.storing = append(l.storing, ends)
	releases := l.releases
	d.mu.Unlock()
	d.writer.Append(records, func(err error) {
		defer close(stored)
		if err != nil {
			return
		}
		d.mu.Lock()
		l.journaling = l.journaling && !used
		if used && (!l.journaled || l.unconfining) && l.releases == releases {
			l.journaled, l.unconfining = true, false
			d.markListed(l)
			d.handleJournaled(l)
		}
		for _, former := range released {
			former.stored()
		}
		ends.stored = true
		l.endsStored()
		d.handleStored(result.Records)
		d.mu.Unlock()
	})
	select {
	case <-stored:
		return 0
	case <-time.After(ackTimeout):
		// The worker reports the ends again with each renewal until they are
		// acknowledged.
		return renewRetryPause
	case <-d.ctx.Done():
		return 0
	}
}

// logEnds logs what has become of the attempts on a worker.
func (d *Drive) logEnds(l *link, result sched.HoldResult) {
	for _, unlisted := range result.Unlisted {
		d.meters.attemptUnlisted()
		d.config.Log.WithFields(logrus.Fields{
			"job": unlisted.Task.Job, "task": taskIndexes(unlisted.Task), "attempt": unlisted.Attempt,
			"worker": l.entry.ID, "ran_at_least_ms": unlisted.RanAtLeast.Milliseconds(),
		}).Warn("attempt no longer listed")
	}
	for _, ended := range result.Ends {
		d.meters.attemptEnded(ended.End.Reason)
		d.meters.reportRunTime(ended)
		if ended.Incomplete != "" {
			d.meters.gangIncomplete(ended.Incomplete)
			d.config.Log.WithFields(logrus.Fields{
				"job": ended.End.Task.Job, "task": taskIndexes(ended.End.Task), "attempt": ended.End.Attempt,
				"worker": l.entry.ID, "cause": ended.Incomplete,
			}).Warn("gang incomplete")
		}
		d.config.Log.WithFields(logrus.Fields{
			"job": ended.End.Task.Job, "task": taskIndexes(ended.End.Task), "attempt": ended.End.Attempt,
			"worker": l.entry.ID, "reason": ended.End.Reason, "ran_ms": ended.RunTime.Milliseconds(), "known": ended.JobKnown,
			"sequence": ended.End.Sequence,
		}).Info("attempt ended")
	}
}
