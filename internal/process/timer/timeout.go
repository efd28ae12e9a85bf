package timer

import (
	"context"
	"time"

	"cairnbay"
)

// WithTimeout returns a context that is cancelled once timeout has elapsed on the
// clock. Calling the CancelFunc releases the timer.
func WithTimeout(ctx context.Context, clock cairnbay.Clock, timeout time.Duration) (context.Context, context.CancelFunc) {
	timeoutCtx, cancel := context.WithCancel(ctx)
	cancelDeadline := clock.At(clock.Now()+timeout, func(time.Duration) { cancel() })
	return timeoutCtx, func() {
		cancelDeadline()
		cancel()
	}
}
