package drive

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/sched"
)

// link is the connection to one life of a worker. Its fields are guarded by the
// drive's lock.
type link struct {
	entry cairnbay.WorkerEntry
	// journaled says that the journal names the worker, so that a successor
	// claims it before it trusts that nothing runs there.
	journaled bool
	// clock is the worker's clock at the moment heard.
	clock, heard time.Duration
	// leaseEnd is the latest lease end that any order has named.
	leaseEnd time.Duration
	// confirmed is when the last call that the worker accepted was sent.
	confirmed time.Duration
	// acked is the last end that is in the store.
	acked    uint64
	failures int
	// draining says that the worker was last seen to be leaving.
	draining bool
	replaced bool
	// lapsed says that what ran when the worker was last heard is given up.
	lapsed bool
}

const (
	// holdWait is how long a worker may wait for an end before it answers. Three
	// rounds fit into confirmWindow.
	holdWait = 500 * time.Millisecond
	// holdMargin bounds the rest of such a call. Answers take milliseconds; ends
	// are seen late by as much when one is lost.
	holdMargin = 250 * time.Millisecond
	// renewPatience is how long a worker's lease is renewed without answers.
	renewPatience = 1500 * time.Millisecond
	// holdRetry is the pause after a call that failed.
	holdRetry = 250 * time.Millisecond
	// unlistedGiveUp is how long an unlisted worker is called after its lease
	// has ended.
	unlistedGiveUp = 5 * time.Second
	// leftPatience is how long a worker that was leaving, and is no longer listed,
	// may be silent before it counts as gone.
	leftPatience = 2300 * time.Millisecond
	// ackPatience is how long ends wait for the journal before the lease is
	// renewed without acknowledging them.
	ackPatience = 700 * time.Millisecond
)

// open starts to hold a worker; the caller holds the lock.
func (d *Drive) open(entry cairnbay.WorkerEntry, journaled bool) {
	added := &link{entry: entry, journaled: journaled, draining: entry.Draining}
	d.links[entry.ID] = added
	if !journaled {
		d.core.SetReachable(entry.ID, false)
	}
	d.done.Go(func() { d.hold(added) })
}

func (l *link) target() cairnbay.AgentTarget {
	return cairnbay.AgentTarget{Worker: l.entry.ID, Address: l.entry.Address}
}

// grant names the lease end of an order sent now, 0 while the worker's clock is
// not known.
func (l *link) grant(now, lease time.Duration) time.Duration {
	if l.heard == 0 {
		return 0
	}
	end := l.clock + (now - l.heard) + lease
	l.leaseEnd = max(l.leaseEnd, end)
	return end
}

// ended says whether every lease that was granted has certainly ended, even on
// a clock that is slow.
func (l *link) ended(now time.Duration) bool {
	if l.heard == 0 {
		return false
	}
	left := time.Duration(float64(l.leaseEnd-l.clock) * driftFactor)
	return now-l.heard > left+settleMargin
}

// hear takes the worker's clock from an answer to a call sent at sent.
func (l *link) hear(clock, sent, now time.Duration) {
	if clock <= 0 {
		return
	}
	l.clock, l.heard = clock, now
	l.confirmed = max(l.confirmed, sent)
}

// hold renews the worker's lease and takes its state until the worker is gone.
func (d *Drive) hold(l *link) {
	for d.ctx.Err() == nil {
		wait, ok := d.holdOnce(l)
		if !ok {
			return
		}
		if wait <= 0 {
			continue
		}
		select {
		case <-d.ctx.Done():
		case <-time.After(wait):
		}
	}
}

// holdOnce makes one call and returns the pause before the next; false once the
// worker is gone.
func (d *Drive) holdOnce(l *link) (time.Duration, bool) {
	d.mu.Lock()
	sent := d.config.BootTime()
	order := cairnbay.AgentHold{Token: d.config.Claim.Token, Acked: l.acked, Wait: holdWait}
	// A renewal without an answer may have been carried out. A worker that stays
	// silent gets no more, so that the end of its lease can be told.
	if d.inForce(sent) && (l.failures == 0 || sent-l.heard <= renewPatience) {
		order.LeaseEnd = l.grant(sent, d.config.Lease)
	}
	if l.heard == 0 || l.failures > 0 {
		order.Wait = 0
	}
	fenced := d.fenced
	d.mu.Unlock()
	if fenced {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(d.ctx, order.Wait+holdMargin)
	state, err := d.config.Agent.Hold(ctx, l.target(), order)
	cancel()
	if d.ctx.Err() != nil {
		return 0, false
	}
	if err != nil {
		return d.holdFailed(l, err)
	}
	return d.held(l, sent, state), true
}

func (d *Drive) holdFailed(l *link, err error) (time.Duration, bool) {
	if errors.Is(err, cairnbay.ErrFenced) {
		d.fence(l.entry.ID)
		return 0, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.BootTime()
	if errors.Is(err, cairnbay.ErrReplaced) {
		d.drop(l, "replaced")
		return 0, false
	}
	l.failures++
	if l.failures == 1 {
		d.config.Log.WithError(err).WithField("worker", l.entry.ID).Warn("worker not reached")
	}
	d.core.SetReachable(l.entry.ID, false)
	_, listed := d.listed[l.entry.ID]
	if l.ended(now) && !l.lapsed {
		l.lapsed = true
		d.lose(l.entry.ID, "lease_ended")
		d.released(l)
		if listed {
			d.core.SetWorker(l.entry)
			d.core.SetReachable(l.entry.ID, false)
		}
	}
	if !listed && l.draining && l.heard > 0 && now-l.heard > leftPatience {
		d.drop(l, "left")
		return 0, false
	}
	_, inherited := d.inherited[l.entry.ID]
	if !listed && !inherited && (l.lapsed || l.heard == 0) && now-max(l.heard, d.config.Claim.ClaimedAt) > unlistedGiveUp {
		d.drop(l, "unlisted")
		return 0, false
	}
	if l.failures == 1 {
		return 0, true
	}
	return holdRetry, true
}

// drop forgets a worker for good; the caller holds the lock.
func (d *Drive) drop(l *link, why string) {
	l.replaced = true
	delete(d.links, l.entry.ID)
	d.lose(l.entry.ID, why)
	d.released(l)
}

// released notes that nothing runs on a worker, so that a successor need not
// wait for it. It is journaled again before it is used again. The caller holds
// the lock.
func (d *Drive) released(l *link) {
	if !l.journaled {
		return
	}
	l.journaled = false
	d.writer.Append([]*cairnbayv1.WorkRecord{{Released: l.entry.ID}}, d.logUnstored("worker release"))
}

func (d *Drive) logUnstored(what string) func(error) {
	return func(err error) {
		if err != nil {
			d.config.Log.WithError(err).Warn(what + " not stored")
		}
	}
}

// held takes a worker's state and returns the pause before the next call.
func (d *Drive) held(l *link, sent time.Duration, state cairnbay.AgentState) time.Duration {
	d.mu.Lock()
	now := d.now()
	l.hear(state.Clock, sent, now.BootTime)
	if l.failures > 0 {
		d.config.Log.WithFields(logrus.Fields{"worker": l.entry.ID, "failures": l.failures}).Info("worker regained")
		l.failures, l.lapsed = 0, false
	}
	first := !l.journaled
	if !first {
		d.core.SetReachable(l.entry.ID, true)
	}
	result := d.core.HandleHold(now, l.entry.ID, sent, state)
	d.answered(l.entry.ID)
	d.mu.Unlock()
	d.logEnds(l, result.Ends)
	records := encodeRecords(result.Records)
	if first {
		records = append(records, &cairnbayv1.WorkRecord{Worker: encodeWorker(l.entry)})
	}
	if len(result.Ends) > 0 || first {
		d.nudge()
	}
	if result.LastSequence <= l.ackedNow(d) && len(records) == 0 {
		return 0
	}
	return d.acknowledge(l, records, result)
}

func (l *link) ackedNow(d *Drive) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return l.acked
}

// acknowledge stores records and lets the worker forget the ends that they
// stand for. It returns the pause before the next call.
func (d *Drive) acknowledge(l *link, records []*cairnbayv1.WorkRecord, result sched.HoldResult) time.Duration {
	stored := make(chan struct{})
	d.writer.Append(records, func(err error) {
		defer close(stored)
		if err != nil {
			return
		}
		d.mu.Lock()
		if !l.journaled {
			l.journaled = true
			d.core.SetReachable(l.entry.ID, true)
			d.nudge()
		}
		l.acked = max(l.acked, result.LastSequence)
		d.core.RecordsStored(result.Records)
		close(d.noted)
		d.noted = make(chan struct{})
		d.mu.Unlock()
	})
	select {
	case <-stored:
		return 0
	case <-time.After(ackPatience):
		// The ends are listed again with each call until the store answers.
		return holdRetry
	case <-d.ctx.Done():
		return 0
	}
}

func (d *Drive) logEnds(l *link, ends []sched.AttemptEnd) {
	for _, note := range ends {
		d.meters.end(note.End.Reason)
		d.config.Log.WithFields(logrus.Fields{
			"job": note.End.Task.Job, "task": taskFields(note.End.Task), "attempt": note.End.Attempt,
			"worker": l.entry.ID, "reason": note.End.Reason, "ran_ms": note.RunTime.Milliseconds(), "known": note.JobKnown,
		}).Info("attempt ended")
	}
}
