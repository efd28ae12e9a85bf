// Package route forwards requests of callers to upstream instances. A request that
// is not idempotent runs at most once, an incomplete answer aborts the caller's
// connection, and each response states an outcome: whether the request ran.
package route

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"cairnbay"
	"cairnbay/internal/process/slots"
	"cairnbay/internal/request/queue"
)

// Slots provides the slots of upstreams.
type Slots interface {
	queue.Slots
	// Release returns a slot. isSpeedSample says whether the time in use is a
	// sample of the upstream's speed.
	Release(slot slots.Slot, isSpeedSample bool)
	// MarkLeaving stops new requests to the upstream.
	MarkLeaving(upstream string)
	// UpstreamCount returns the number of live upstreams of the service.
	UpstreamCount(service string) int
	// Listed reports whether the list shows the upstream for the service.
	Listed(service, upstream string) bool
	// OnFree calls callback whenever a slot of a service may have become free.
	OnFree(callback func(service string))
}

// Config configures a Router. All fields but Keys are required.
type Config struct {
	// Self is the ID of this member.
	Self       string
	DataCentre string
	Clock      cairnbay.Clock
	Settings   cairnbay.SettingsSource
	Members    cairnbay.Members
	// Upstream may implement ReplaceConnections, which is called after a timeout.
	Upstream cairnbay.Upstream
	Slots    Slots
	// Keys stores outcomes by idempotency key. If nil, the header is forwarded and has
	// no effect here.
	Keys     Keys
	Recorder cairnbay.Recorder
	Log      *logrus.Entry
}

// Router is the http.Handler for requests of callers.
type Router struct {
	config      Config
	tracer      trace.Tracer
	inFlight    *inFlightCalls
	stopPruning func()
	leaving     atomic.Bool
	draining    atomic.Bool

	mu       sync.RWMutex
	services map[string]*serviceState
}

// New returns a router. Call Close to release it.
func New(config Config) *Router {
	router := &Router{
		config:   config,
		tracer:   otel.Tracer("cairnbay/internal/request/route"),
		inFlight: newInFlightCalls(),
		services: map[string]*serviceState{},
	}
	config.Slots.OnFree(router.dispatchQueued)
	router.stopPruning = config.Clock.Every(prunePeriod, router.pruneCircuits)
	return router
}

// prunePeriod is how often the circuit breakers of unlisted upstreams are removed.
const prunePeriod = 10 * time.Second

func (r *Router) pruneCircuits(time.Duration) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for service, svc := range r.services {
		svc.circuits.Prune(func(upstream string) bool { return r.config.Slots.Listed(service, upstream) })
	}
}

// Close refuses waiting and new requests, and does not wait for running ones. Call
// Drain before it to finish them.
func (r *Router) Close() {
	r.stopPruning()
	r.draining.Store(true)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, svc := range r.services {
		svc.queue.Close()
	}
}

func (r *Router) dispatchQueued(service string) {
	r.mu.RLock()
	svc := r.services[service]
	r.mu.RUnlock()
	if svc != nil {
		svc.queue.Dispatch()
	}
}

// serviceState returns the state of a service, and creates it on first use. Call it
// only for a service with upstreams, which bounds the number of states.
func (r *Router) serviceState(service string) *serviceState {
	r.mu.RLock()
	cached := r.services[service]
	r.mu.RUnlock()
	if cached != nil {
		return cached
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if cached = r.services[service]; cached == nil {
		cached = r.newServiceState(service, xxhash.Sum64String(r.config.Self+service))
		r.services[service] = cached
	}
	return cached
}

// ServeHTTP answers one request with the answer of an upstream or with a Problem. It
// panics with http.ErrAbortHandler if the answer cannot be written completely.
func (r *Router) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	ctx := propagation.TraceContext{}.Extract(request.Context(), propagation.HeaderCarrier(request.Header))
	ctx, span := r.tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	call, refusal := r.readCall(writer, request)
	span.SetAttributes(attribute.String("cairnbay.service", call.service), attribute.String("cairnbay.request", call.id))
	if refusal != nil {
		r.refuse(writer, call, refusal)
		return
	}
	handler := r.handle
	if r.usesKey(call) {
		// Repeated requests may wait for this outcome, so the call continues after its
		// caller disconnects.
		ctx = context.WithoutCancel(ctx)
		handler = r.handleKeyed
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.inFlight.add(call, cancel)
	defer r.inFlight.remove(call)
	if r.draining.Load() {
		r.refuse(writer, call, stoppingRefusal())
		return
	}
	if r.config.Settings.Current() == nil {
		r.refuse(writer, call, noSettingsRefusal())
		return
	}
	answer, refusal := handler(ctx, call)
	r.reply(ctx, writer, call, answer, refusal)
}

// reply writes the refusal or the answer to the caller, and counts the outcome. It
// panics with http.ErrAbortHandler if the answer is incomplete.
func (r *Router) reply(ctx context.Context, writer http.ResponseWriter, call *call, answer *answer, refusal *refusal) {
	if refusal != nil {
		r.refuse(writer, call, refusal)
		return
	}
	err := r.writeAnswer(writer, call, answer)
	if err == nil {
		r.countOutcome(call, answer.outcome(call))
		r.config.Recorder.CountPromise(cairnbay.PromiseWholeReply, 1)
		return
	}
	r.recordAborted(ctx, call, err)
	panic(http.ErrAbortHandler)
}

func (r *Router) refuse(writer http.ResponseWriter, call *call, refusal *refusal) {
	r.countOutcome(call, refusal.outcome)
	r.config.Recorder.CountRefusal(call.labels(), refusal.reason)
	countRefusal(refusal.reason)
	if refusal.outcome == cairnbay.OutcomeUnknown {
		r.recordUnknown(call, refusal)
	}
	refusal.close = refusal.close || r.leaving.Load()
	refusal.write(writer, call.id)
}

// noSettingsRefusal is the refusal before the first settings are loaded, because limits
// and priorities are unknown until then.
func noSettingsRefusal() *refusal {
	return notRunRefusal(http.StatusServiceUnavailable, "no_settings", "this entry instance holds no settings yet", defaultRetryAfter)
}

func stoppingRefusal() *refusal {
	refusal := notRunRefusal(http.StatusServiceUnavailable, "stopping", "this entry instance is shutting down", defaultRetryAfter)
	refusal.close = true
	return refusal
}
