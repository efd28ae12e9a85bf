package route

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/process/slots"
)

// maxUpstreamAttempts bounds how often one request is sent to upstreams of this data
// centre. An earlier attempt at another data centre is not counted.
const maxUpstreamAttempts = 3

// attemptState collects the failed attempts of one call.
type attemptState struct {
	triedUpstreams []string
	// anyMayHaveRun is set once a failed attempt may have run the request.
	anyMayHaveRun bool
	lastFailure   *attemptFailure
}

// handle sends the call to an upstream of this data centre or to a member of
// another one, and returns the answer.
func (r *Router) handle(ctx context.Context, call *call) (*answer, *refusal) {
	var state attemptState
	totals := r.config.Slots.Totals(call.service)
	if r.shouldForward(call, totals) {
		answer, refusal, handled := r.forward(ctx, call, &state, totals)
		if handled {
			return answer, refusal
		}
	}
	if totals.Upstreams == 0 {
		return nil, state.adjustOutcome(noUpstreamRefusal(call.service))
	}
	return r.tryUpstreams(ctx, call, &state)
}

func noUpstreamRefusal(service string) *refusal {
	return notRunRefusal(http.StatusServiceUnavailable, "no_upstream", "no upstream of service "+quoted(service)+" takes requests", defaultRetryAfter)
}

// adjustOutcome changes the outcome of a refusal from not_run to unknown when an
// earlier attempt may have run the request. The status becomes 502, and Retry-After
// is omitted.
func (s *attemptState) adjustOutcome(refusal *refusal) *refusal {
	if s.anyMayHaveRun && refusal.outcome == cairnbay.OutcomeNotRun {
		return unknownRefusal(http.StatusBadGateway, refusal.reason, refusal.detail)
	}
	return refusal
}

// tryUpstreams sends the call to one upstream after the other, until one answers or
// mayRetry forbids another attempt.
func (r *Router) tryUpstreams(ctx context.Context, call *call, state *attemptState) (*answer, *refusal) {
	svc := r.serviceState(call.service)
	svc.budget.Deposit(call.settings.RetryBudget)
	for {
		acquired, refusal := r.acquire(ctx, call, svc, state.triedUpstreams)
		if refusal != nil {
			return state.resultWithoutSlot(refusal)
		}
		if len(state.triedUpstreams) == 0 {
			r.observeWait(call, acquired.acquiredAt-call.arrivedAt)
		}
		answer, failure := r.sendWithSlot(ctx, call, svc, acquired)
		if failure == nil {
			return answer, nil
		}
		state.addFailure(acquired.slot, failure)
		if !r.mayRetry(ctx, call, svc, state) {
			return state.result(ctx)
		}
		countRetry()
	}
}

func (s *attemptState) addFailure(slot slots.Slot, failure *attemptFailure) {
	s.triedUpstreams = append(s.triedUpstreams, slot.Upstream.ID)
	s.anyMayHaveRun = s.anyMayHaveRun || failure.mayHaveRun
	s.lastFailure = failure
}

// resultWithoutSlot returns the result when no slot is available for another attempt:
// the transient error that an upstream answered, if there is one, else the refusal.
func (s *attemptState) resultWithoutSlot(refusal *refusal) (*answer, *refusal) {
	if s.lastFailure != nil && s.lastFailure.answer != nil {
		return s.lastFailure.answer, nil
	}
	return nil, s.adjustOutcome(refusal)
}

// sendWithSlot sends the call to the upstream of the slot, and counts success or
// failure in the upstream's circuit breaker. It releases the slot before it returns,
// except for a streamed answer, which may hold it until its end.
func (r *Router) sendWithSlot(ctx context.Context, call *call, svc *serviceState, acquired *acquiredSlot) (*answer, *attemptFailure) {
	upstream := acquired.slot.Upstream
	svc.circuits.Begin(upstream.ID)
	answer, failure := r.attempt(ctx, call, target{id: upstream.ID, address: upstream.Address})
	if failure != nil {
		acquired.release(false)
		r.recordFailure(ctx, svc, upstream.ID, failure)
		return nil, failure
	}
	if isTransient(answer.status) {
		svc.circuits.Failed(upstream.ID)
	} else {
		svc.circuits.Succeeded(upstream.ID)
	}
	if answer.stream != nil {
		r.releaseAfterStream(call, answer, acquired)
		return answer, nil
	}
	acquired.release(!isTransient(answer.status))
	if answer.header.Get(cairnbay.LeavingHeader) != "" {
		r.config.Slots.MarkLeaving(upstream.ID)
	}
	if isTransient(answer.status) && call.idempotent {
		return nil, &attemptFailure{mayHaveRun: true, cause: errors.Errorf("upstream %q answered %d", upstream.ID, answer.status), answer: answer}
	}
	return answer, nil
}

// releaseAfterStream releases the slot when the answer ends, or at once when its
// length is unknown and StreamsOutsideSlots is set. Only an answer of known length is
// a sample of the upstream's speed.
func (r *Router) releaseAfterStream(call *call, answer *answer, acquired *acquiredSlot) {
	if answer.length < 0 && call.settings.StreamsOutsideSlots {
		acquired.release(false)
		return
	}
	finish := answer.finish
	answer.finish = func() {
		finish()
		acquired.release(answer.length >= 0)
	}
}

// isTransient reports whether the status is 502, 503 or 504, after which another
// upstream may succeed.
func isTransient(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// recordFailure counts the failure in the upstream's circuit breaker, unless the
// upstream is leaving, the call was cancelled or its deadline has passed.
func (r *Router) recordFailure(ctx context.Context, svc *serviceState, upstream string, failure *attemptFailure) {
	switch {
	case failure.leaving:
		r.config.Slots.MarkLeaving(upstream)
	case ctx.Err() != nil, errors.Is(failure.cause, errDeadline):
	default:
		svc.circuits.Failed(upstream)
	}
}

// mayRetry reports whether the call may be sent again. If an earlier attempt may have
// run the request, the call must be idempotent. A retry after the refusal of a leaving
// upstream doesn't use the retry budget.
func (r *Router) mayRetry(ctx context.Context, call *call, svc *serviceState, state *attemptState) bool {
	if ctx.Err() != nil || len(state.triedUpstreams) >= maxUpstreamAttempts {
		return false
	}
	if r.config.Clock.Now() >= call.deadline {
		return false
	}
	if state.anyMayHaveRun && !call.idempotent {
		return false
	}
	return state.lastFailure.leaving || svc.budget.TryWithdraw()
}

// result returns the final answer or refusal after the last attempt failed.
func (s *attemptState) result(ctx context.Context) (*answer, *refusal) {
	if s.lastFailure.answer != nil {
		return s.lastFailure.answer, nil
	}
	refusal := s.toRefusal(ctx)
	return nil, s.adjustOutcome(refusal)
}

// toRefusal returns the refusal for the last failure, or for the cancellation of the
// call.
func (s *attemptState) toRefusal(ctx context.Context) *refusal {
	detail := s.lastFailure.cause.Error()
	switch {
	case ctx.Err() != nil:
		return cancelledRefusal(ctx)
	case s.lastFailure.leaving:
		return notRunRefusal(http.StatusServiceUnavailable, "upstream_leaving", detail, defaultRetryAfter)
	case !s.lastFailure.mayHaveRun:
		return notRunRefusal(http.StatusBadGateway, "upstream_unreachable", detail, defaultRetryAfter)
	case errors.Is(s.lastFailure.cause, errNoProgress):
		return unknownRefusal(http.StatusGatewayTimeout, "upstream_silent", detail)
	default:
		return unknownRefusal(http.StatusBadGateway, "upstream_failed", detail)
	}
}

// observeWait records how long the call waited for its first slot.
func (r *Router) observeWait(call *call, waited time.Duration) {
	r.config.Recorder.ObserveWait(call.labels(), waited)
	waitSeconds.Update(waited.Seconds())
}
