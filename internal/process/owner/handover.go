package owner

import (
	"context"
	"time"

	"cairnbay/internal/process/shard"
)

// handoverPollPeriod is the time between two checks whether a handover is complete.
const handoverPollPeriod = 50 * time.Millisecond

// Handover prepares a planned stop: it places no new tasks and takes over no
// shards, but renews the leases of running tasks. It returns when a successor has
// claimed every shard or ctx ends. The member must already be announced as
// leaving. Errors: the context's.
func (o *Owner) Handover(ctx context.Context) error {
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
	for _, runner := range o.runners() {
		runner.step(func(core *shard.Core, _ time.Duration) { core.Drain() })
	}
	completed := make(chan struct{}, 1)
	cancel := o.config.Clock.Every(handoverPollPeriod, func(time.Duration) {
		if len(o.runners()) == 0 {
			select {
			case completed <- struct{}{}:
			default:
			}
		}
	})
	defer cancel()
	select {
	case <-completed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
