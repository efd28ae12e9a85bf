package entry

import (
	"net/http"

	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"cairnbay/internal/process/trace"
)

// traced wraps a client's transport to create a span for each call. Without a
// trace exporter it returns the transport unchanged.
func (e *Entry) traced(inner http.RoundTripper) http.RoundTripper {
	if !e.tracing() {
		return inner
	}
	return otelhttp.NewTransport(inner)
}

// tracedHandler wraps a handler to create a span for each call, as a child of the
// span in the request's headers. Without a trace exporter it returns the handler
// unchanged.
func (e *Entry) tracedHandler(name string, inner http.Handler) http.Handler {
	if !e.tracing() {
		return inner
	}
	return otelhttp.NewHandler(inner, name)
}

func (e *Entry) tracing() bool {
	return e.config.Settings.Traces != trace.ExportNone
}
