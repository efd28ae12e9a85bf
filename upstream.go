package cairnbay

import (
	"context"
	"net/http"
)

// SendState is whether a request may have reached an upstream.
type SendState uint8

// Send states.
const (
	// NotSent means that no byte of the request can have reached the upstream.
	NotSent SendState = iota
	// MaybeSent means that part of the request may have reached the upstream.
	MaybeSent
)

// UpstreamError is a failed exchange with an upstream.
type UpstreamError struct {
	Address string
	Sent    SendState
	// Silent means that the connection made no progress within its timeout.
	Silent bool
	Err    error
}

// Error returns the address of the upstream and the cause.
func (e *UpstreamError) Error() string {
	return "upstream " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UpstreamError) Unwrap() error {
	return e.Err
}

// Upstream sends requests to upstream instances.
type Upstream interface {
	// Exchange sends the request to the address (host:port) and returns the
	// response. The caller must read the body to its end and close it. Errors:
	// *UpstreamError.
	Exchange(ctx context.Context, address string, request *http.Request) (*http.Response, error)
}
