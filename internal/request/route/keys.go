package route

import (
	"context"
	"net/http"
)

// KeyCall identifies a request by its idempotency key.
type KeyCall struct {
	Service   string
	Key       string
	RequestID string
	// Digest is the SHA-256 of method, request URI and body.
	Digest []byte
	// Claim is a random number that identifies this claim.
	Claim uint64
}

// KeyVerdict is the decision on a request with an idempotency key.
type KeyVerdict string

// Verdicts of Keys.Claim.
const (
	// KeyRun means that the claim succeeded and this request must run.
	KeyRun KeyVerdict = "run"
	// KeyDone means that the request ran; KeyClaim.Answer is its answer.
	KeyDone KeyVerdict = "done"
	// KeyUnknown means that the request may have run.
	KeyUnknown KeyVerdict = "unknown"
	// KeyReused means that the key was used with a different request before.
	KeyReused KeyVerdict = "reused"
	// KeyNotRun means that the key cannot be claimed now and the request was not run.
	KeyNotRun KeyVerdict = "not_run"
)

// KeyAnswer is the stored answer of a request with an idempotency key.
type KeyAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// KeyClaim is the result of a claim.
type KeyClaim struct {
	Verdict KeyVerdict
	Answer  KeyAnswer
	Reason  string
}

// Keys stores the outcomes of requests by idempotency key. Claim of a repeated
// request blocks while the first one is running.
type Keys interface {
	Claim(ctx context.Context, call KeyCall) KeyClaim
	// Complete stores the complete answer. MarkUnknown records that the request may
	// have run. Release frees the key for another claim, because the request did not
	// run.
	Complete(ctx context.Context, call KeyCall, answer KeyAnswer)
	MarkUnknown(ctx context.Context, call KeyCall)
	Release(ctx context.Context, call KeyCall)
}
