package route

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/process/slots"
	"cairnbay/internal/request/queue"
	"cairnbay/internal/request/retry"
)

// serviceState holds the queue, retry budget and circuit breakers of one service.
type serviceState struct {
	queue    *queue.Queue
	budget   *retry.Budget
	circuits *retry.Circuits
}

// defaultRetryAfter is the Retry-After of refusals for which the queue gives no
// estimate. Another entry instance may serve the caller by then, or this one after a
// transient fault.
const defaultRetryAfter = time.Second

func (r *Router) newServiceState(service string, seed uint64) *serviceState {
	circuits := retry.NewCircuits(r.config.Clock, seed)
	return &serviceState{
		queue: queue.New(queue.Config{
			Service: service,
			Clock:   r.config.Clock,
			Slots:   r.config.Slots,
			Limits:  func() queue.Limits { return queueLimits(r.requestSettings(service)) },
			Blocked: func(upstream string) bool {
				return circuits.OpenCount() > 0 && circuits.Avoid(upstream, r.config.Slots.UpstreamCount(service))
			},
		}),
		budget:   retry.NewBudget(),
		circuits: circuits,
	}
}

func queueLimits(settings cairnbay.Request) queue.Limits {
	return queue.Limits{Length: settings.QueueLength, Bytes: settings.QueueBytes, PatientFloor: settings.PatientFloor}
}

// acquiredSlot is a slot that a call has taken from the queue.
type acquiredSlot struct {
	router     *Router
	svc        *serviceState
	item       *queue.Item
	slot       slots.Slot
	acquiredAt time.Duration
	released   bool
}

// release returns the slot; only the first call has an effect. isSpeedSample
// says whether the time in use is a sample of the upstream's speed.
func (s *acquiredSlot) release(isSpeedSample bool) {
	if s.released {
		return
	}
	s.released = true
	s.svc.queue.Finish(s.item, s.router.config.Clock.Now()-s.acquiredAt)
	s.router.config.Slots.Release(s.slot, isSpeedSample)
}

// acquire waits in the queue for a slot, and avoids upstreams that were tried
// before if another one is free. After a cancellation it releases a slot that it got
// meanwhile.
func (r *Router) acquire(ctx context.Context, call *call, svc *serviceState, triedUpstreams []string) (*acquiredSlot, *refusal) {
	results := make(chan queue.Result, 1)
	item := &queue.Item{
		Team:     call.team,
		Band:     call.band,
		Weight:   call.weight,
		Bytes:    int64(len(call.body)),
		Deadline: call.deadline,
		Done:     func(result queue.Result) { results <- result },
	}
	if len(triedUpstreams) > 0 {
		item.Avoid = func(upstream string) bool { return slices.Contains(triedUpstreams, upstream) }
	}
	svc.queue.Push(item)
	select {
	case result := <-results:
		return r.slotFromResult(svc, item, result)
	case <-ctx.Done():
	}
	if svc.queue.Remove(item) {
		return nil, cancelledRefusal(ctx)
	}
	acquired, refusal := r.slotFromResult(svc, item, <-results)
	if acquired != nil {
		acquired.release(false)
		refusal = cancelledRefusal(ctx)
	}
	return nil, refusal
}

func (r *Router) slotFromResult(svc *serviceState, item *queue.Item, result queue.Result) (*acquiredSlot, *refusal) {
	if result.Err != nil {
		return nil, queueRefusal(result)
	}
	acquired := &acquiredSlot{router: r, svc: svc, item: item, slot: result.Slot, acquiredAt: r.config.Clock.Now()}
	return acquired, nil
}

// cancelledRefusal returns the refusal of a call whose caller disconnected, or that was
// cancelled by the stop of this instance.
func cancelledRefusal(ctx context.Context) *refusal {
	if errors.Is(context.Cause(ctx), errStopping) {
		return stoppingRefusal()
	}
	return notRunRefusal(statusCallerClosed, "caller_left", "the caller closed its connection", 0)
}

// statusCallerClosed is nginx's status for a closed client connection. No caller
// receives it.
const statusCallerClosed = 499

func queueRefusal(result queue.Result) *refusal {
	switch {
	case errors.Is(result.Err, cairnbay.ErrQueueFull):
		return notRunRefusal(http.StatusTooManyRequests, "queue_full", "too many requests wait for the service", result.RetryAfter)
	case errors.Is(result.Err, cairnbay.ErrUnavailable):
		return notRunRefusal(http.StatusServiceUnavailable, "no_upstream", "no upstream takes requests", result.RetryAfter)
	case errors.Is(result.Err, cairnbay.ErrDeadline):
		return notRunRefusal(http.StatusServiceUnavailable, "deadline", "the request cannot end before its deadline", result.RetryAfter)
	default:
		return stoppingRefusal()
	}
}
