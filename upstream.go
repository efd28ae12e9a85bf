package cairnbay

import (
	"context"
	"net/http"
)

// SendState says how far a request got towards an upstream.
type SendState uint8

// Stages of sending.
const (
	// NotSent says that no byte can have reached the upstream.
	NotSent SendState = iota
	// MaybeSent says that some byte may have reached it.
	MaybeSent
)

// UpstreamError is a failed exchange with an upstream.
type UpstreamError struct {
	Address string
	Sent    SendState
	// Silent says that the connection made no progress in time.
	Silent bool
	Err    error
}

// Error names the upstream and the cause.
func (e *UpstreamError) Error() string {
	return "upstream " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UpstreamError) Unwrap() error {
	return e.Err
}

// Upstream sends requests to upstream instances.
type Upstream interface {
	// Exchange sends the request to the address and returns its answer, whose
	// body must be read to its end and closed. Errors: *UpstreamError.
	Exchange(ctx context.Context, address string, request *http.Request) (*http.Response, error)
}
