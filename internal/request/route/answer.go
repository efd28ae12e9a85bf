package route

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/process/slots"
)

// maxTries bounds how often one request is sent.
const maxTries = 3

// progress is what is known of a call while it is tried.
type progress struct {
	tried []string
	// maybe says that some try may have run.
	maybe bool
	last  *fault
}

// answer gets the call's answer from this data centre or another.
func (r *Router) answer(ctx context.Context, call *call) (*answer, *refusal) {
	var state progress
	totals := r.config.Slots.Totals(call.service)
	if r.shouldForward(call, totals) {
		answer, refusal, settled := r.forward(ctx, call, &state, totals)
		if settled {
			return answer, refusal
		}
	}
	if totals.Upstreams == 0 {
		return nil, state.verdict(noUpstream(call.service))
	}
	return r.tryUpstreams(ctx, call, &state)
}

func noUpstream(service string) *refusal {
	return refused(http.StatusServiceUnavailable, "no_upstream", "no upstream of service "+quoted(service)+" takes requests", retryElsewhere)
}

// verdict turns a refusal into one that owns up to an earlier try.
func (p *progress) verdict(refusal *refusal) *refusal {
	if p.maybe && refusal.outcome == cairnbay.OutcomeNotRun {
		return unknown(http.StatusBadGateway, refusal.reason, refusal.detail)
	}
	return refusal
}

func (r *Router) tryUpstreams(ctx context.Context, call *call, state *progress) (*answer, *refusal) {
	lane := r.lane(call.service)
	lane.budget.Deposit(call.rules.RetryBudget)
	for {
		held, refusal := r.acquire(ctx, call, lane, state.tried)
		if refusal != nil {
			return state.fallback(refusal)
		}
		if len(state.tried) == 0 {
			r.observeWait(call, held.since-call.arrived)
		}
		answer, failed := r.tryOne(ctx, call, lane, held)
		if failed == nil {
			return answer, nil
		}
		state.add(held.slot, failed)
		if !r.mayRetry(ctx, call, lane, state) {
			return state.end(ctx)
		}
		countRetry()
	}
}

func (p *progress) add(slot slots.Slot, failed *fault) {
	p.tried = append(p.tried, slot.Upstream.ID)
	p.maybe = p.maybe || failed.ran
	p.last = failed
}

// fallback is used when no slot can be had for another try: an answer that was
// kept is passed on after all.
func (p *progress) fallback(refusal *refusal) (*answer, *refusal) {
	if p.last != nil && p.last.answer != nil {
		return p.last.answer, nil
	}
	return nil, p.verdict(refusal)
}

// tryOne sends the call to the upstream of the slot. The slot is returned at
// once, or at the end of a long answer.
func (r *Router) tryOne(ctx context.Context, call *call, lane *lane, held *held) (*answer, *fault) {
	upstream := held.slot.Upstream
	lane.circuits.Begin(upstream.ID)
	answer, failed := r.attempt(ctx, call, target{id: upstream.ID, address: upstream.Address})
	if failed != nil {
		held.release(false)
		r.blame(ctx, lane, upstream.ID, failed)
		return nil, failed
	}
	if passing(answer.status) {
		lane.circuits.Failed(upstream.ID)
	} else {
		lane.circuits.Succeeded(upstream.ID)
	}
	if answer.stream != nil {
		r.keepForStream(call, answer, held)
		return answer, nil
	}
	held.release(!passing(answer.status))
	if answer.header.Get(cairnbay.LeavingHeader) != "" {
		r.config.Slots.MarkLeaving(upstream.ID)
	}
	if passing(answer.status) && call.idempotent {
		return nil, &fault{ran: true, cause: errors.Errorf("upstream %q answered %d", upstream.ID, answer.status), answer: answer}
	}
	return answer, nil
}

// keepForStream holds the slot until the answer ends, unless settings count
// long answers apart.
func (r *Router) keepForStream(call *call, answer *answer, held *held) {
	if answer.length < 0 && call.rules.StreamsOutsideSlots {
		held.release(false)
		return
	}
	finish := answer.finish
	answer.finish = func() {
		finish()
		held.release(answer.length >= 0)
	}
}

// passing says whether the status tells of a fault that another upstream may
// not have.
func passing(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// blame counts a failure against the upstream, unless the fault is not its own.
func (r *Router) blame(ctx context.Context, lane *lane, upstream string, failed *fault) {
	switch {
	case failed.leaving:
		r.config.Slots.MarkLeaving(upstream)
	case ctx.Err() != nil, errors.Is(failed.cause, errDeadline):
	default:
		lane.circuits.Failed(upstream)
	}
}

// mayRetry says whether the call may be sent again: never when it may have run
// and is not idempotent.
func (r *Router) mayRetry(ctx context.Context, call *call, lane *lane, state *progress) bool {
	if ctx.Err() != nil || len(state.tried) >= maxTries {
		return false
	}
	if r.config.Clock.Now() >= call.deadline {
		return false
	}
	if state.maybe && !call.idempotent {
		return false
	}
	return state.last.leaving || lane.budget.TryWithdraw()
}

// end is the final answer after the last try failed.
func (p *progress) end(ctx context.Context) (*answer, *refusal) {
	if p.last.answer != nil {
		return p.last.answer, nil
	}
	refusal := p.refusal(ctx)
	return nil, p.verdict(refusal)
}

func (p *progress) refusal(ctx context.Context) *refusal {
	detail := p.last.cause.Error()
	switch {
	case ctx.Err() != nil:
		return cancelled(ctx)
	case p.last.leaving:
		return refused(http.StatusServiceUnavailable, "upstream_leaving", detail, retryElsewhere)
	case !p.last.ran:
		return refused(http.StatusBadGateway, "upstream_unreachable", detail, retryElsewhere)
	case errors.Is(p.last.cause, errSilent):
		return unknown(http.StatusGatewayTimeout, "upstream_silent", detail)
	default:
		return unknown(http.StatusBadGateway, "upstream_failed", detail)
	}
}

// observeWait records how long the call waited for its slot.
func (r *Router) observeWait(call *call, waited time.Duration) {
	r.config.Recorder.ObserveWait(call.labels(), waited)
	waitSeconds.Update(waited.Seconds())
}
