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

// answer is what an upstream answered.
type answer struct {
	status int
	header http.Header
	// body is the whole body, unless stream is set.
	body   []byte
	stream io.ReadCloser
	// length is the stated length of a stream, -1 if there is none.
	length int64
	// finish ends the exchange once a stream is over.
	finish func()
	watch  *watch
}

// fault says why one attempt gave no answer.
type fault struct {
	// ran is false only when the request certainly did not run.
	ran bool
	// leaving says that the upstream said so and refused the request.
	leaving bool
	cause   error
	// answer is the upstream's own, when it tells of a passing failure.
	answer *answer
}

// wholeBytes is the largest answer that is read whole before any of it is
// passed on, so that a cut one can be told or tried again.
const wholeBytes = 64 << 10

// target is where one attempt goes.
type target struct {
	id      string
	address string
	// forwardedBy is this data centre when the target is an entry instance of
	// another one.
	forwardedBy string
}

// attempt sends the request to the target once.
func (r *Router) attempt(ctx context.Context, call *call, target target) (*answer, *fault) {
	if !trace.SpanFromContext(ctx).IsRecording() {
		return r.exchange(ctx, call, target)
	}
	ctx, span := r.tracer.Start(ctx, "exchange", trace.WithSpanKind(trace.SpanKindClient))
	span.SetAttributes(attribute.String("cairnbay.upstream", target.id))
	defer span.End()
	answer, failed := r.exchange(ctx, call, target)
	if failed != nil && failed.cause != nil {
		span.SetStatus(codes.Error, failed.cause.Error())
	}
	return answer, failed
}

func (r *Router) exchange(ctx context.Context, call *call, target target) (*answer, *fault) {
	now := r.config.Clock.Now()
	if now >= call.deadline {
		return nil, &fault{cause: errDeadline}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	watch := newWatch(r.config.Clock, cancel, func() { r.condemn(target.address) })
	finish := func() {
		watch.stop()
		cancel(nil)
	}
	watch.within(call.headerTimeout(now))
	response, err := r.config.Upstream.Exchange(ctx, target.address, call.outgoing(ctx, target, now))
	if err != nil {
		finish()
		return nil, failedExchange(ctx, err)
	}
	if failed := check(call, target, response); failed != nil {
		closeBody(response)
		finish()
		return nil, failed
	}
	return r.take(ctx, call, response, watch, finish)
}

// headerTimeout is how long an answer's beginning is waited for. A request that
// may be sent again is given up early enough for another try.
func (c *call) headerTimeout(now time.Duration) time.Duration {
	left := c.deadline - now
	if c.idempotent {
		return min(left, c.rules.IdleTimeout)
	}
	return left
}

func (c *call) outgoing(ctx context.Context, target target, now time.Duration) *http.Request {
	header := endToEnd(c.request.Header, 4)
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
		// A reader of its own keeps net/http from sending a keyed request twice,
		// which it does for requests without a body.
		out.Body = io.NopCloser(bytes.NewReader(c.body))
	}
	return out
}

// failedExchange says whether the request may have run, and why it failed.
func failedExchange(ctx context.Context, err error) *fault {
	cause := err
	if known := context.Cause(ctx); known != nil {
		cause = known
	}
	var failure *cairnbay.UpstreamError
	ran := !errors.As(err, &failure) || failure.Sent != cairnbay.NotSent
	return &fault{ran: ran, cause: cause}
}

// check finds answers that are not this request's, or that say that it was not
// run.
func check(call *call, target target, response *http.Response) *fault {
	if echo := response.Header.Get(cairnbay.RequestHeader); echo != "" && echo != call.id {
		return &fault{ran: true, cause: errors.Errorf("upstream %q answered request %q on the connection of %q", target.id, echo, call.id)}
	}
	if target.forwardedBy != "" {
		return nil
	}
	leaving := response.Header.Get(cairnbay.LeavingHeader) != ""
	if leaving && response.StatusCode == http.StatusServiceUnavailable {
		return &fault{leaving: true, cause: errors.Errorf("upstream %q is leaving", target.id)}
	}
	return nil
}

// take reads a small answer whole, and leaves a large or unbounded one to be
// streamed.
func (r *Router) take(ctx context.Context, call *call, response *http.Response, watch *watch, finish func()) (*answer, *fault) {
	taken := &answer{status: response.StatusCode, header: response.Header, length: response.ContentLength}
	bodiless := call.request.Method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
	if !bodiless && (response.ContentLength < 0 || response.ContentLength > wholeBytes) {
		watch.seen()
		watch.within(call.rules.IdleTimeout)
		taken.stream, taken.finish, taken.watch = response.Body, finish, watch
		return taken, nil
	}
	defer finish()
	defer closeBody(response)
	if bodiless {
		return taken, nil
	}
	watch.seen()
	watch.within(min(call.rules.IdleTimeout, max(1, call.deadline-r.config.Clock.Now())))
	body, err := readAll(response.Body, response.ContentLength)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &fault{ran: true, cause: errors.Annotate(err, "answer cut")}
	}
	taken.body = body
	return taken, nil
}

func closeBody(response *http.Response) {
	_ = response.Body.Close()
}

// condemner is an Upstream that can be told of a silent connection.
type condemner interface {
	Condemn(address string)
}

func (r *Router) condemn(address string) {
	if upstream, ok := r.config.Upstream.(condemner); ok {
		upstream.Condemn(address)
	}
}
