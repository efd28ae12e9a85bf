package route

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"cairnbay"
)

// answer is the response of an upstream, or of a member of another data centre.
type answer struct {
	status int
	header http.Header
	// body is the complete body, unless stream is set.
	body   []byte
	stream io.ReadCloser
	// length is the Content-Length in bytes, -1 if unknown.
	length int64
	// finish must be called at the end of a stream. It stops the watchdog, cancels the
	// context of the exchange and releases the slot, if the answer holds one.
	finish   func()
	watchdog *watchdog
}

// attemptFailure describes why one attempt returned no usable answer.
type attemptFailure struct {
	// mayHaveRun is false if the request certainly did not run.
	mayHaveRun bool
	// leaving is set when the upstream refused the request because it is leaving.
	leaving bool
	cause   error
	// answer is set when the upstream answered with a transient error status.
	answer *answer
}

// maxBufferedBytes is the largest answer that is read completely before any of it
// is written to the caller, so that a truncated one can still be retried or
// reported. It bounds the memory for each request in progress.
const maxBufferedBytes = 64 << 10

// target is the destination of one attempt.
type target struct {
	id      string
	address string
	// forwardedBy is this data centre if the target is an entry instance of another
	// one, else empty.
	forwardedBy string
}

// attempt sends the request to the target once, within a span if the request is
// traced.
func (r *Router) attempt(ctx context.Context, call *call, target target) (*answer, *attemptFailure) {
	if !trace.SpanFromContext(ctx).IsRecording() {
		return r.exchange(ctx, call, target)
	}
	ctx, span := r.tracer.Start(ctx, "exchange", trace.WithSpanKind(trace.SpanKindClient))
	span.SetAttributes(attribute.String("cairnbay.upstream", target.id))
	defer span.End()
	answer, failure := r.exchange(ctx, call, target)
	if failure != nil && failure.cause != nil {
		span.SetStatus(codes.Error, failure.cause.Error())
	}
	return answer, failure
}

// exchange sends the request and reads the answer, under a watchdog. For a streamed
// answer, answer.finish releases the watchdog and the context.
func (r *Router) exchange(ctx context.Context, call *call, target target) (*answer, *attemptFailure) {
	now := r.config.Clock.Now()
	if now >= call.deadline {
		return nil, &attemptFailure{cause: errDeadline}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	watchdog := newWatchdog(r.config.Clock, cancel, func() { r.replaceConnections(target.address) })
	finish := func() {
		watchdog.stop()
		cancel(nil)
	}
	watchdog.setTimeout(call.headerTimeout(now))
	response, err := r.config.Upstream.Exchange(ctx, target.address, call.outgoingRequest(ctx, target, now))
	if err != nil {
		finish()
		return nil, exchangeFailure(ctx, err)
	}
	if failure := checkResponse(call, target, response); failure != nil {
		closeBody(response)
		finish()
		return nil, failure
	}
	return r.readAnswer(ctx, call, response, watchdog, finish)
}

// headerTimeout bounds the time from the start of an exchange to the response headers.
// For an idempotent request it is at most the idle timeout, which may leave time for
// another attempt.
func (c *call) headerTimeout(now time.Duration) time.Duration {
	left := c.deadline - now
	if c.idempotent {
		return min(left, c.settings.IdleTimeout)
	}
	return left
}

func (c *call) outgoingRequest(ctx context.Context, target target, now time.Duration) *http.Request {
	header := endToEndHeaders(c.request.Header, 4)
	header.Set(cairnbay.RequestHeader, c.id)
	header.Set(cairnbay.DeadlineHeader, strconv.FormatInt(max(1, (c.deadline-now).Milliseconds()), 10))
	if target.forwardedBy != "" {
		header.Set(cairnbay.ForwardedHeader, target.forwardedBy)
		header.Set(cairnbay.ServiceHeader, c.service)
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(header))
	out := &http.Request{
		Method: c.request.Method,
		URL: &url.URL{
			Scheme: "http", Host: target.address,
			Path: c.request.URL.Path, RawPath: c.request.URL.RawPath, RawQuery: c.request.URL.RawQuery,
		},
		Host:          c.request.Host,
		Header:        header,
		ContentLength: int64(len(c.body)),
	}
	if len(c.body) > 0 || c.key != "" && !c.idempotent {
		// net/http resends a request with an Idempotency-Key header by itself if the
		// body is nil or can be read again; a body without GetBody prevents that.
		out.Body = io.NopCloser(bytes.NewReader(c.body))
	}
	return out
}

// exchangeFailure describes a failed exchange. The request may have run unless err is
// an UpstreamError with NotSent.
func exchangeFailure(ctx context.Context, err error) *attemptFailure {
	cause := err
	if cancelCause := context.Cause(ctx); cancelCause != nil {
		cause = cancelCause
	}
	var upstreamErr *cairnbay.UpstreamError
	mayHaveRun := !errors.As(err, &upstreamErr) || upstreamErr.Sent != cairnbay.NotSent
	return &attemptFailure{mayHaveRun: mayHaveRun, cause: cause}
}

// checkResponse returns a failure if the response has the ID of another request, or
// is the refusal of a leaving upstream: status 503 with LeavingHeader, which means that
// the request did not run. A member of another data centre sends no such refusal.
func checkResponse(call *call, target target, response *http.Response) *attemptFailure {
	if echoedID := response.Header.Get(cairnbay.RequestHeader); echoedID != "" && echoedID != call.id {
		return &attemptFailure{mayHaveRun: true, cause: errors.Errorf("upstream %q answered request %q instead of %q", target.id, echoedID, call.id)}
	}
	if target.forwardedBy != "" {
		return nil
	}
	leaving := response.Header.Get(cairnbay.LeavingHeader) != ""
	if leaving && response.StatusCode == http.StatusServiceUnavailable {
		return &attemptFailure{leaving: true, cause: errors.Errorf("upstream %q is leaving", target.id)}
	}
	return nil
}

// readAnswer reads a small answer completely; one that is large or of unknown
// length is streamed later.
func (r *Router) readAnswer(ctx context.Context, call *call, response *http.Response, watchdog *watchdog, finish func()) (*answer, *attemptFailure) {
	result := &answer{status: response.StatusCode, header: response.Header, length: response.ContentLength}
	bodiless := call.request.Method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
	if !bodiless && (response.ContentLength < 0 || response.ContentLength > maxBufferedBytes) {
		watchdog.recordProgress()
		watchdog.setTimeout(call.settings.IdleTimeout)
		result.stream, result.finish, result.watchdog = response.Body, finish, watchdog
		return result, nil
	}
	defer finish()
	defer closeBody(response)
	if bodiless {
		return result, nil
	}
	watchdog.recordProgress()
	watchdog.setTimeout(min(call.settings.IdleTimeout, max(1, call.deadline-r.config.Clock.Now())))
	body, err := readAll(response.Body, response.ContentLength)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &attemptFailure{mayHaveRun: true, cause: errors.Annotate(err, "reading the answer")}
	}
	result.body = body
	return result, nil
}

func closeBody(response *http.Response) {
	_ = response.Body.Close()
}

// connectionReplacer is implemented by an Upstream that can replace its connections
// to an address after an exchange there timed out.
type connectionReplacer interface {
	ReplaceConnections(address string)
}

func (r *Router) replaceConnections(address string) {
	if upstream, ok := r.config.Upstream.(connectionReplacer); ok {
		upstream.ReplaceConnections(address)
	}
}

// readAll reads exactly size bytes, or up to EOF if size is negative. Errors: those
// of io.ReadFull.
func readAll(reader io.Reader, size int64) ([]byte, error) {
	if size < 0 {
		return io.ReadAll(reader)
	}
	content := make([]byte, size)
	_, err := io.ReadFull(reader, content)
	return content, err
}
