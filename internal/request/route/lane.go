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

// lane is what the router keeps for one service.
type lane struct {
	queue    *queue.Queue
	budget   *retry.Budget
	circuits *retry.Circuits
}

// retryElsewhere is when a caller may come back to another entry instance, or
// to this one after a passing fault.
const retryElsewhere = time.Second

func (r *Router) newLane(service string, seed uint64) *lane {
	circuits := retry.NewCircuits(r.config.Clock, seed)
	return &lane{
		queue: queue.New(queue.Config{
			Service: service,
			Clock:   r.config.Clock,
			Slots:   r.config.Slots,
			Limits:  func() queue.Limits { return limits(r.rules(service)) },
			Blocked: func(upstream string) bool {
				return circuits.OpenCount() > 0 && circuits.Avoid(upstream, r.config.Slots.UpstreamCount(service))
			},
		}),
		budget:   retry.NewBudget(),
		circuits: circuits,
	}
}

func limits(rules cairnbay.Request) queue.Limits {
	return queue.Limits{Length: rules.QueueLength, Bytes: rules.QueueBytes, PatientFloor: rules.PatientFloor}
}

// held is a slot in use by a call.
type held struct {
	router *Router
	lane   *lane
	item   *queue.Item
	slot   slots.Slot
	since  time.Duration
	done   bool
}

// release returns the slot; later calls do nothing.
func (h *held) release(timed bool) {
	if h.done {
		return
	}
	h.done = true
	h.lane.queue.Finish(h.item, h.router.config.Clock.Now()-h.since)
	h.router.config.Slots.Release(h.slot, timed)
}

// acquire waits in the queue for a slot of an upstream that was not tried yet.
func (r *Router) acquire(ctx context.Context, call *call, lane *lane, tried []string) (*held, *refusal) {
	results := make(chan queue.Result, 1)
	item := &queue.Item{
		Team:     call.team,
		Band:     call.band,
		Weight:   call.weight,
		Bytes:    int64(len(call.body)),
		Deadline: call.deadline,
		Done:     func(result queue.Result) { results <- result },
	}
	if len(tried) > 0 {
		item.Avoid = func(upstream string) bool { return slices.Contains(tried, upstream) }
	}
	lane.queue.Push(item)
	select {
	case result := <-results:
		return r.accept(lane, item, result)
	case <-ctx.Done():
	}
	if lane.queue.Remove(item) {
		return nil, cancelled(ctx)
	}
	held, refusal := r.accept(lane, item, <-results)
	if held != nil {
		held.release(false)
		refusal = cancelled(ctx)
	}
	return nil, refusal
}

func (r *Router) accept(lane *lane, item *queue.Item, result queue.Result) (*held, *refusal) {
	if result.Err != nil {
		return nil, queueRefusal(result)
	}
	held := &held{router: r, lane: lane, item: item, slot: result.Slot, since: r.config.Clock.Now()}
	return held, nil
}

// cancelled is the answer when the caller left, or this instance stops.
func cancelled(ctx context.Context) *refusal {
	if errors.Is(context.Cause(ctx), errStopped) {
		return stopping()
	}
	return refused(statusCallerLeft, "caller_left", "the caller closed its connection", 0)
}

// statusCallerLeft is for records only: nobody reads the answer.
const statusCallerLeft = 499

func queueRefusal(result queue.Result) *refusal {
	switch {
	case errors.Is(result.Err, cairnbay.ErrQueueFull):
		return refused(http.StatusTooManyRequests, "queue_full", "too many requests wait for the service", result.RetryAfter)
	case errors.Is(result.Err, cairnbay.ErrUnavailable):
		return refused(http.StatusServiceUnavailable, "no_upstream", "no upstream takes requests", result.RetryAfter)
	case errors.Is(result.Err, cairnbay.ErrDeadline):
		return refused(http.StatusServiceUnavailable, "deadline", "the request cannot end before its deadline", result.RetryAfter)
	default:
		return stopping()
	}
}
