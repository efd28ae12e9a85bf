package timer

import (
	"context"
	"time"

	"cairnbay"
)

// WithTimeout returns a context that is cancelled once timeout has elapsed on the
// clock. Its error is context.Canceled and it has no deadline. Call the CancelFunc
// to remove the timer: the end of ctx does not.
func WithTimeout(ctx context.Context, clock cairnbay.Clock, timeout time.Duration) (context.Context, context.CancelFunc) {
	timeoutCtx, cancel := context.WithCancel(ctx)
	cancelDeadline := clock.At(clock.Now()+timeout, func(time.Duration) { cancel() })
	return timeoutCtx, func() {
		cancelDeadline()
		cancel()
	}
}
