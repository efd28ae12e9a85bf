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
	// Digest is of method, path and body.
	Digest []byte
	// Claim is drawn at random for each claim.
	Claim uint64
}

// KeyVerdict says what to do with a keyed request.
type KeyVerdict string

// Verdicts of Keys.Claim.
const (
	// KeyRun says that this request is the one to run.
	KeyRun KeyVerdict = "run"
	// KeyDone says that it ran, and what the answer was.
	KeyDone KeyVerdict = "done"
	// KeyUnknown says that nobody can tell whether it ran.
	KeyUnknown KeyVerdict = "unknown"
	// KeyReused says that the key came with another request before.
	KeyReused KeyVerdict = "reused"
	// KeyNotRun says that it cannot be claimed now and was not run.
	KeyNotRun KeyVerdict = "not_run"
)

// KeyAnswer is what is remembered of a keyed request's answer.
type KeyAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// KeyClaim is the answer to a claim.
type KeyClaim struct {
	Verdict KeyVerdict
	Answer  KeyAnswer
	Reason  string
}

// Keys remembers outcomes of requests with an idempotency key. A repeat of a
// request that is running waits for its outcome within Claim.
type Keys interface {
	Claim(ctx context.Context, call KeyCall) KeyClaim
	// Complete remembers the whole answer, MarkUnknown that nobody can tell whether the
	// request ran, and Release that it certainly did not and may be claimed again.
	Complete(ctx context.Context, call KeyCall, answer KeyAnswer)
	MarkUnknown(ctx context.Context, call KeyCall)
	Release(ctx context.Context, call KeyCall)
}
