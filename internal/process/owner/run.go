package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cairnbay"
	"cairnbay/internal/process/commit"
	"cairnbay/internal/process/shard"
	"cairnbay/internal/process/timer"
)

// run is one owned shard: its core under a lock, its journal, and the calls
// under way.
type run struct {
	owner *Owner
	shard cairnbay.ShardID
	epoch cairnbay.Epoch
	// journal is nil while the run works from a copy.
	journal *commit.Journal
	wake    chan struct{}
	done    chan struct{}
	forget  func()
	figures func()
	calls   sync.WaitGroup
	loop    sync.WaitGroup
	// lostJournal says that another member took the journal over.
	lostJournal atomic.Bool
	closing     sync.Once

	mu     sync.Mutex
	core   *shard.Core
	closed bool
}

func (r *run) start() {
	r.forget = r.owner.config.Clock.Every(tickPeriod, func(time.Duration) {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	})
	r.loop.Go(func() {
		for {
			select {
			case <-r.done:
				return
			case <-r.wake:
				r.step(r.tick)
			}
		}
	})
	r.figures = r.owner.config.Clock.Every(figuresPeriod, func(time.Duration) { r.publish() })
	if r.journal == nil {
		r.loop.Go(r.awaitStore)
	}
}

func (r *run) tick(core *shard.Core, now time.Duration) {
	if r.lostJournal.Load() {
		core.Fence(core.FencedBy())
		return
	}
	core.Tick(now)
}

// awaitStore tries to reach the journal until it can be taken over.
func (r *run) awaitStore() {
	due := make(chan struct{}, 1)
	cancel := r.owner.config.Clock.Every(reopenPeriod, func(time.Duration) {
		select {
		case due <- struct{}{}:
		default:
		}
	})
	defer cancel()
	for {
		select {
		case <-r.done:
			return
		case <-due:
			r.owner.reopen(r)
		}
	}
}

// step lets the core act under the lock and carries out what it asks for.
func (r *run) step(act func(core *shard.Core, now time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	act(r.core, r.owner.config.Clock.Now())
	for _, action := range r.core.TakeActions() {
		r.carryOut(action)
	}
}

func (r *run) carryOut(action shard.Action) {
	if action.Kind == shard.ActJournal {
		r.append(action)
		return
	}
	r.calls.Go(func() { r.call(action) })
}

// append journals records. A run on a copy keeps none: workers hold on to ends
// that are not acknowledged.
func (r *run) append(action shard.Action) {
	if r.journal == nil {
		return
	}
	urgency := commit.Lazy
	if action.Urgent {
		urgency = commit.Urgent
	}
	r.journal.Append(urgency, action.Records, func(err error) {
		if err != nil {
			r.lostJournal.Store(true)
			return
		}
		r.step(func(core *shard.Core, now time.Duration) { core.ConfirmRecords(action.Token, now) })
	})
}

// call makes one call to a worker and gives the core its answer.
func (r *run) call(action shard.Action) {
	ctx, cancel := timer.WithTimeout(r.owner.context, r.owner.config.Clock, callTimeout+action.Renew.Wait)
	defer cancel()
	workers := r.owner.config.Worker
	switch action.Kind {
	case shard.ActClaim:
		answer, err := workers.Claim(ctx, action.Address, action.Claim)
		r.step(func(core *shard.Core, now time.Duration) { core.HandleClaimAnswer(action, answer, err, now) })
	case shard.ActStart:
		ctx, span := r.owner.spans.start(ctx, action, r.owner.config.Clock.Wall())
		answer, err := workers.Start(ctx, action.Address, action.Start)
		span.End()
		r.step(func(core *shard.Core, now time.Duration) { core.HandleStartAnswer(action, answer, err, now) })
	case shard.ActRenew:
		answer, err := workers.Renew(ctx, action.Address, action.Renew)
		r.step(func(core *shard.Core, now time.Duration) { core.HandleRenewAnswer(action, answer, err, now) })
	case shard.ActStop:
		answer, err := workers.Stop(ctx, action.Address, action.Stop)
		r.step(func(core *shard.Core, now time.Duration) { core.HandleStopAnswer(action, answer, err, now) })
	}
}

func (r *run) setInstances(workers []cairnbay.Instance) {
	r.step(func(core *shard.Core, now time.Duration) { core.SetInstances(workers, now) })
}

// fencedBy returns the epoch that outbid the run, if one did.
func (r *run) fencedBy() (cairnbay.Epoch, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.FencedBy(), r.core.Phase() == shard.PhaseFenced
}

// close ends the run and waits for its calls.
func (r *run) close() {
	r.closing.Do(func() {
		r.forget()
		r.figures()
		r.mu.Lock()
		r.closed = true
		r.mu.Unlock()
		close(r.done)
	})
	r.loop.Wait()
	r.calls.Wait()
	r.unpublish()
	if r.journal != nil {
		r.journal.Close()
	}
}

// bounded limits a call to a member in time.
func (o *Owner) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	return timer.WithTimeout(ctx, o.config.Clock, peerTimeout)
}
