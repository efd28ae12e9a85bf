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
	// Digest is the SHA-256 of method, NUL, request URI, NUL and body.
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
	// Answer is set with KeyDone.
	Answer KeyAnswer
	// Reason is the text of the refusal with KeyReused, the reason code without the
	// prefix "key_" with KeyUnknown, and the reason code with KeyNotRun.
	Reason string
}

// Keys stores the outcomes of requests by idempotency key. Complete, MarkUnknown and
// Release end a claim; if one of them fails, a repeated request gets KeyUnknown.
type Keys interface {
	// Claim claims the key. It blocks while another request with the key is running,
	// until the context ends.
	Claim(ctx context.Context, call KeyCall) KeyClaim
	// Complete stores the answer.
	Complete(ctx context.Context, call KeyCall, answer KeyAnswer)
	// MarkUnknown records that the request may have run.
	MarkUnknown(ctx context.Context, call KeyCall)
	// Release frees the key for another claim, because the request did not run.
	Release(ctx context.Context, call KeyCall)
}
