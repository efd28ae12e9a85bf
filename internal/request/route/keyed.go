package route

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"net/http"
	"time"

	"cairnbay"
)

// usesKey reports whether the call's idempotency key is claimed. Idempotent
// methods don't need it, and for a forwarded call the first data centre has
// already claimed it.
func (r *Router) usesKey(call *call) bool {
	return r.config.Keys != nil && call.key != "" && !call.idempotent && !call.forwarded
}

// keyCall returns the data by which Keys identifies the call.
func (c *call) keyCall() KeyCall {
	digest := sha256.New()
	for _, part := range []string{c.request.Method, c.request.URL.RequestURI()} {
		digest.Write([]byte(part))
		digest.Write([]byte{0})
	}
	digest.Write(c.body)
	return KeyCall{Service: c.service, Key: c.key, RequestID: c.id, Digest: digest.Sum(nil), Claim: rand.Uint64()}
}

// handleKeyed claims the key of the call, runs the call if the claim allows it,
// and stores the outcome under the key.
func (r *Router) handleKeyed(ctx context.Context, call *call) (*answer, *refusal) {
	key := call.keyCall()
	claimCtx, cancel := r.withDeadline(ctx, call)
	claim := r.config.Keys.Claim(claimCtx, key)
	cancel()
	if claim.Verdict != KeyRun {
		return answerForClaim(claim)
	}
	answer, refusal := r.handle(ctx, call)
	switch {
	case refusal != nil && refusal.outcome == cairnbay.OutcomeNotRun:
		r.config.Keys.Release(ctx, key)
	case refusal != nil, answer.stream != nil:
		r.config.Keys.MarkUnknown(ctx, key)
	case answer.outcome(call) == cairnbay.OutcomeNotRun:
		r.config.Keys.Release(ctx, key)
	case answer.outcome(call) == cairnbay.OutcomeUnknown:
		r.config.Keys.MarkUnknown(ctx, key)
	default:
		r.config.Keys.Complete(ctx, key, KeyAnswer{Status: answer.status, Header: endToEndHeaders(answer.header, 0), Body: answer.body})
	}
	return answer, refusal
}

// withDeadline returns a context that is cancelled at the call's deadline. The
// returned function releases the timer and the context.
func (r *Router) withDeadline(ctx context.Context, call *call) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stopTimer := r.config.Clock.At(call.deadline, func(time.Duration) { cancel(errDeadline) })
	return ctx, func() {
		stopTimer()
		cancel(nil)
	}
}

// answerForClaim returns the result of a call that must not run, by the verdict on
// its key.
func answerForClaim(claim KeyClaim) (*answer, *refusal) {
	switch claim.Verdict {
	case KeyDone:
		return &answer{status: claim.Answer.Status, header: claim.Answer.Header, body: claim.Answer.Body, length: int64(len(claim.Answer.Body))}, nil
	case KeyReused:
		return nil, notRunRefusal(http.StatusUnprocessableEntity, "key_reused", claim.Reason, 0)
	case KeyUnknown:
		return nil, unknownRefusal(http.StatusConflict, "key_"+claim.Reason, "a request with this key may have run, and is not run again")
	default:
		return nil, notRunRefusal(http.StatusServiceUnavailable, claim.Reason, "the idempotency key cannot be claimed now", defaultRetryAfter)
	}
}
