package route

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"net/http"
	"time"

	"cairnbay"
)

// keyed says whether the call's idempotency key is looked at: not for methods
// that may be sent again anyway, nor twice on the way between data centres.
func (r *Router) keyed(call *call) bool {
	return r.config.Keys != nil && call.key != "" && !call.idempotent && !call.forwarded
}

// keyCall identifies the call by its key.
func (c *call) keyCall() KeyCall {
	digest := sha256.New()
	for _, part := range []string{c.request.Method, c.request.URL.RequestURI()} {
		digest.Write([]byte(part))
		digest.Write([]byte{0})
	}
	digest.Write(c.body)
	return KeyCall{Service: c.service, Key: c.key, RequestID: c.id, Digest: digest.Sum(nil), Claim: rand.Uint64()}
}

// answerKeyed runs the call unless its key has run, and remembers the outcome.
func (r *Router) answerKeyed(ctx context.Context, call *call) (*answer, *refusal) {
	key := call.keyCall()
	limited, cancel := r.until(ctx, call)
	claim := r.config.Keys.Claim(limited, key)
	cancel()
	if claim.Verdict != KeyRun {
		return claimed(claim)
	}
	answer, refusal := r.answer(ctx, call)
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
		r.config.Keys.Complete(ctx, key, KeyAnswer{Status: answer.status, Header: endToEnd(answer.header, 0), Body: answer.body})
	}
	return answer, refusal
}

// until is a context that ends with the call's deadline.
func (r *Router) until(ctx context.Context, call *call) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	disarm := r.config.Clock.At(call.deadline, func(time.Duration) { cancel(errDeadline) })
	return ctx, func() {
		disarm()
		cancel(nil)
	}
}

// claimed is the answer to a call whose key is not its own to run.
func claimed(claim KeyClaim) (*answer, *refusal) {
	switch claim.Verdict {
	case KeyDone:
		return &answer{status: claim.Answer.Status, header: claim.Answer.Header, body: claim.Answer.Body, length: int64(len(claim.Answer.Body))}, nil
	case KeyReused:
		return nil, refused(http.StatusUnprocessableEntity, "key_reused", claim.Reason, 0)
	case KeyUnknown:
		return nil, unknown(http.StatusConflict, "key_"+claim.Reason, "a request with this key may have run, and is not run again")
	default:
		return nil, refused(http.StatusServiceUnavailable, claim.Reason, "the idempotency key cannot be claimed now", retryElsewhere)
	}
}
