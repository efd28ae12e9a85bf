package route

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"cairnbay"
	"cairnbay/internal/process/slots"
)

// shouldForward reports whether the call is sent to another data centre first:
// when this one has no upstream of the service, or more waiting requests than the
// settings allow. A request is forwarded at most once.
func (r *Router) shouldForward(call *call, totals slots.Totals) bool {
	if call.forwarded {
		return false
	}
	if totals.Upstreams == 0 {
		return true
	}
	limit := call.settings.ForwardQueue
	return limit > 0 && r.serviceState(call.service).queue.Waiting() > limit
}

// forward sends the call to a member of another data centre. The bool is false if the
// call should be sent to an upstream of this data centre next: if no member is
// available, or if this data centre has upstreams and the request is idempotent and
// failed, or certainly did not run.
func (r *Router) forward(ctx context.Context, call *call, state *attemptState, totals slots.Totals) (*answer, *refusal, bool) {
	member, ok := r.remoteMember(call)
	if !ok {
		return nil, nil, false
	}
	countForward()
	answer, failure := r.attempt(ctx, call, target{id: member.ID, address: member.CallerAddress, forwardedBy: r.config.DataCentre})
	if failure != nil {
		state.anyMayHaveRun = state.anyMayHaveRun || failure.mayHaveRun
		state.lastFailure = failure
		if totals.Upstreams > 0 && (!failure.mayHaveRun || call.idempotent) {
			return nil, nil, false
		}
		final, refusal := state.result(ctx)
		return final, refusal, true
	}
	if totals.Upstreams > 0 && reportsNotRun(answer) {
		return nil, nil, false
	}
	call.fromOtherDataCentre = true
	return answer, nil, true
}

// reportsNotRun reports whether the answer of another data centre states the outcome
// not_run. Such an answer is small and therefore never streamed.
func reportsNotRun(answer *answer) bool {
	return answer.stream == nil && answer.header.Get(cairnbay.OutcomeHeader) == string(cairnbay.OutcomeNotRun)
}

// remoteMember chooses a live member of another data centre by the hash of the
// request ID.
func (r *Router) remoteMember(call *call) (cairnbay.Member, bool) {
	var candidates []cairnbay.Member
	for _, member := range r.config.Members.Live() {
		usable := !member.Leaving && !member.Suspect && member.CallerAddress != ""
		if usable && member.DataCentre != r.config.DataCentre {
			candidates = append(candidates, member)
		}
	}
	if len(candidates) == 0 {
		return cairnbay.Member{}, false
	}
	return candidates[xxhash.Sum64String(call.id)%uint64(len(candidates))], true
}

// forwardedOutcome returns the outcome that another member stated, or unknown if
// it stated none.
func forwardedOutcome(header http.Header) cairnbay.Outcome {
	outcome := cairnbay.Outcome(header.Get(cairnbay.OutcomeHeader))
	if outcome == "" {
		return cairnbay.OutcomeUnknown
	}
	return outcome
}
