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

// runner drives one owned shard: its core, its journal and the calls to its
// workers.
type runner struct {
	owner *Owner
	shard cairnbay.ShardID
	epoch cairnbay.Epoch
	// journal is nil while the runner works from a replica.
	journal *commit.Journal
	// wake requests a tick.
	wake           chan struct{}
	done           chan struct{}
	stopTicking    func()
	stopPublishing func()
	// calls counts the worker calls in progress, loops the runner's own goroutines.
	calls sync.WaitGroup
	loops sync.WaitGroup
	// journalLost is set when an append fails because the journal was taken over or
	// closed.
	journalLost atomic.Bool
	closeOnce   sync.Once

	mu     sync.Mutex
	core   *shard.Core
	closed bool
}

func (r *runner) start() {
	r.stopTicking = r.owner.config.Clock.Every(tickPeriod, func(time.Duration) {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	})
	r.loops.Go(func() {
		for {
			select {
			case <-r.done:
				return
			case <-r.wake:
				r.step(r.tick)
			}
		}
	})
	r.stopPublishing = r.owner.config.Clock.Every(statsPeriod, func(time.Duration) { r.publishStats() })
	if r.journal == nil {
		r.loops.Go(r.reopenLoop)
	}
}

// tick advances the core, or fences it once the journal is lost. The epoch of the
// next owner is unknown then, so the recorded epoch stays.
func (r *runner) tick(core *shard.Core, now time.Duration) {
	if r.journalLost.Load() {
		core.Fence(core.FencedBy())
		return
	}
	core.Tick(now)
}

// reopenLoop retries the takeover of the journal until it succeeds.
func (r *runner) reopenLoop() {
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
			r.owner.switchToJournal(r)
		}
	}
}

// step runs an operation on the core under the lock and executes the actions that
// result.
func (r *runner) step(operation func(core *shard.Core, now time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	operation(r.core, r.owner.config.Clock.Now())
	for _, action := range r.core.TakeActions() {
		r.execute(action)
	}
}

func (r *runner) execute(action shard.Action) {
	if action.Kind == shard.ActJournal {
		r.append(action)
		return
	}
	r.calls.Go(func() { r.callWorker(action) })
}

// append journals the records of an action. A runner on a replica drops them. No task
// end is lost: its worker retains it until a journal has confirmed it.
func (r *runner) append(action shard.Action) {
	if r.journal == nil {
		return
	}
	urgency := commit.Lazy
	if action.Urgent {
		urgency = commit.Urgent
	}
	r.journal.Append(urgency, action.Records, func(err error) {
		if err != nil {
			r.journalLost.Store(true)
			return
		}
		r.step(func(core *shard.Core, now time.Duration) { core.ConfirmRecords(action.Token, now) })
	})
}

// callWorker makes one call to a worker and passes the answer to the core.
func (r *runner) callWorker(action shard.Action) {
	ctx, cancel := timer.WithTimeout(r.owner.context, r.owner.config.Clock, workerCallTimeout+action.Renew.Wait)
	defer cancel()
	client := r.owner.config.Worker
	switch action.Kind {
	case shard.ActClaim:
		answer, err := client.Claim(ctx, action.Address, action.Claim)
		r.step(func(core *shard.Core, now time.Duration) { core.HandleClaimAnswer(action, answer, err, now) })
	case shard.ActStart:
		ctx, span := r.owner.spans.startTasks(ctx, action, r.owner.config.Clock.Wall())
		answer, err := client.Start(ctx, action.Address, action.Start)
		span.End()
		r.step(func(core *shard.Core, now time.Duration) { core.HandleStartAnswer(action, answer, err, now) })
	case shard.ActRenew:
		answer, err := client.Renew(ctx, action.Address, action.Renew)
		r.step(func(core *shard.Core, now time.Duration) { core.HandleRenewAnswer(action, answer, err, now) })
	case shard.ActStop:
		answer, err := client.Stop(ctx, action.Address, action.Stop)
		r.step(func(core *shard.Core, now time.Duration) { core.HandleStopAnswer(action, answer, err, now) })
	}
}

func (r *runner) setInstances(workers []cairnbay.Instance) {
	r.step(func(core *shard.Core, now time.Duration) { core.SetInstances(workers, now) })
}

// fencedBy returns the epoch that fenced the runner, false when it is not fenced.
func (r *runner) fencedBy() (cairnbay.Epoch, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.FencedBy(), r.core.Phase() == shard.PhaseFenced
}

// close stops the runner and waits for its calls.
func (r *runner) close() {
	r.closeOnce.Do(func() {
		r.stopTicking()
		r.stopPublishing()
		r.mu.Lock()
		r.closed = true
		r.mu.Unlock()
		close(r.done)
	})
	r.loops.Wait()
	r.calls.Wait()
	r.clearStats()
	if r.journal != nil {
		r.journal.Close()
	}
}

// withPeerTimeout bounds a call to another member by peerCallTimeout.
func (o *Owner) withPeerTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return timer.WithTimeout(ctx, o.config.Clock, peerCallTimeout)
}
