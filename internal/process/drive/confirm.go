package drive

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"cairnbay"
	"cairnbay/internal/process/fresh"
)

const (
	// confirmWindow is how long an owner may give orders after the store last showed it as the
	// owner, or after a quorum of its workers last accepted its fencing token. Three
	// renewals, each of at most renewWait + renewMargin, fit into it.
	confirmWindow = 2500 * time.Millisecond
	// FenceTimeout bounds the wait for a read of the fence, below the time that another
	// instance waits for an answer of this one. The reads begin fenceInterval apart at
	// least, so that they stay a small part of what the store allows.
	FenceTimeout  = 600 * time.Millisecond
	fenceInterval = 20 * time.Millisecond
	// fenceReadTimeout bounds one read of the fence.
	fenceReadTimeout = 4 * time.Second
	// confirmPeriod is the time between reads of the fence by an owner that does not reach a
	// quorum of its workers. Two of them may fail within confirmWindow.
	confirmPeriod = 700 * time.Millisecond
	// storeReporter stands for the store as the source of the news of another owner.
	storeReporter = "store"
)

// newFence returns a reader of the revision at which the shard was last claimed.
func newFence(store cairnbay.Store, key string) *fresh.Reader[cairnbay.Revision] {
	return fresh.New(fresh.Config[cairnbay.Revision]{
		Timeout: fenceReadTimeout, Interval: fenceInterval,
		Read: func(ctx context.Context) (cairnbay.Revision, error) {
			entry, err := store.Get(ctx, key)
			return entry.Revision, err
		},
	})
}

// confirm returns nil if the shard had no newer owner at some time after the call. An
// answer that something does not exist needs it: a replaced owner lacks what its successor
// has accepted. Errors: ErrNotOwner; ErrUnconfirmed if the store does not answer.
func (d *Drive) confirm(ctx context.Context) error {
	return d.confirmWithin(ctx, FenceTimeout)
}

func (d *Drive) confirmWithin(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	calledAt := d.config.BootTime()
	revision, err := d.fence.Get(ctx)
	switch {
	case err == nil && revision == d.config.Claim.Fence.Revision:
		d.handleOwned(calledAt)
		return nil
	case err == nil, errors.Is(err, cairnbay.ErrNotFound):
		d.handleFenced(storeReporter)
		return cairnbay.ErrNotOwner
	case errors.Is(err, cairnbay.ErrClosed):
		return cairnbay.ErrNotOwner
	default:
		return cairnbay.ErrUnconfirmed
	}
}

// handleOwned handles that the store has shown no newer owner at some time after a boot time.
func (d *Drive) handleOwned(calledAt time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	awaited := d.ownedAt <= d.lapseAt
	d.ownedAt = max(d.ownedAt, calledAt)
	if awaited && d.ownedAt > d.lapseAt {
		d.expireSilent(d.config.BootTime())
		d.requestPlan()
	}
}

// confirmRecent is confirm for answers that may be up to confirmWindow old. It needs no
// call while a quorum of the workers accepts this owner's orders.
func (d *Drive) confirmRecent(ctx context.Context) error {
	d.mu.Lock()
	confirmed := d.ownershipConfirmed(d.config.BootTime())
	d.mu.Unlock()
	if confirmed {
		return nil
	}
	return d.confirm(ctx)
}

// presentLinks is the number of workers that have not departed; the caller holds the lock.
func (d *Drive) presentLinks() (count int) {
	for _, link := range d.links {
		if !link.departed {
			count++
		}
	}
	return count
}

// ownershipConfirmed says whether orders may be given: within confirmWindow, the store showed no
// newer owner, or a quorum of the workers accepted the token and the store was not silent for
// too long. The caller holds the lock.
func (d *Drive) ownershipConfirmed(now time.Duration) bool {
	return d.authority(now) != authorityNone
}

// confirmLoop confirms the ownership by the store while a quorum of the workers does not answer,
// so that those that do are served, and else at times, until the drive closes.
func (d *Drive) confirmLoop() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.confirmDue:
		}
		if d.needsStore() {
			// A slow store takes longer than confirmPeriod, and shows all the same that leases
			// have ended. What fails is repeated, and logged once no orders can be given.
			d.done.Go(func() { _ = d.confirmWithin(d.ctx, fenceReadTimeout) })
		}
		d.logAuthority()
	}
}

// needsStore says whether the store has to confirm the ownership: the workers alone soon will not,
// have done so for long, or leases count as ended only once it has.
func (d *Drive) needsStore() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.BootTime()
	// Half of the window leaves time for the read before the workers no longer confirm it.
	confirmed := d.isQuorum(d.acceptedSince(now - confirmWindow/2))
	return !d.fenced && d.presentLinks() > 0 && (d.ownedAt <= d.lapseAt || now-d.ownedAt > d.storePeriod() || !confirmed)
}

// confirmLoaded confirms the ownership after the journal was read late. The first renewals
// would extend no lease otherwise, and the leases from the former owner would run out while
// this one waits for a quorum. Without an answer of the store it goes on.
func (d *Drive) confirmLoaded() {
	if d.config.BootTime()-d.config.Claim.ClaimedAt <= confirmWindow/2 {
		return
	}
	if err := d.confirm(d.ctx); err != nil {
		d.config.Log.WithError(err).Warn("ownership not confirmed after the journal was read")
	}
}

// logUnconfirmed logs that leases are no longer extended, once until they are again; the
// caller holds the lock.
func (d *Drive) logUnconfirmed(now time.Duration) {
	if d.unconfirmed || d.fenced {
		return
	}
	d.unconfirmed = true
	d.config.Log.WithFields(logrus.Fields{
		"owned_ms": (now - d.config.Claim.ClaimedAt).Milliseconds(), "confirmed_before_ms": (now - d.ownedAt).Milliseconds(),
		"accepted": d.acceptedSince(now - confirmWindow), "used": len(d.usedNames),
	}).Warn("renewals without a lease: ownership is not confirmed")
}

// logAuthority logs when the ownership begins or ceases to rest on the workers because the store
// does not answer.
func (d *Drive) logAuthority() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.BootTime()
	detached := d.authority(now) == authorityWorkers && now-d.ownedAt > d.storePeriod()+confirmWindow
	if detached == d.detached {
		return
	}
	d.detached = detached
	log := d.config.Log.WithFields(logrus.Fields{
		"store_age_ms": (now - d.ownedAt).Milliseconds(), "accepted": d.acceptedSince(now - confirmWindow), "used": len(d.usedNames), "authority": d.authority(now),
	})
	if detached {
		log.Warn("ownership rests on the workers: the store does not answer")
	} else {
		log.Info("ownership no longer rests on the workers alone")
	}
}

// handleFenced stops this owner after the reporter, a worker or the store, has told of a
// newer one.
func (d *Drive) handleFenced(reporter string) {
	d.mu.Lock()
	first, now := !d.fenced, d.config.BootTime()
	log := d.config.Log.WithFields(logrus.Fields{
		"reporter": reporter, "token": d.config.Claim.Token, "authority": d.authority(now), "store_age_ms": (now - d.ownedAt).Milliseconds(),
	})
	d.fenced = true
	d.mu.Unlock()
	if first {
		log.Warn("fenced by a newer owner")
		d.cancel()
		d.config.OnFenced()
	}
}
