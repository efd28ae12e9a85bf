// Package route takes requests of callers and answers them through an upstream
// instance: at most once unless idempotent, whole or not at all, and with an
// outcome that says whether the request ran.
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

// Slots is where the router takes slots of upstreams from.
type Slots interface {
	queue.Slots
	Release(slot slots.Slot, timed bool)
	MarkLeaving(upstream string)
	UpstreamCount(service string) int
	Listed(service, upstream string) bool
	OnFree(free func(service string))
}

// Config is what a Router is made of.
type Config struct {
	Self       string
	DataCentre string
	Clock      cairnbay.Clock
	Settings   cairnbay.SettingsSource
	Members    cairnbay.Members
	Upstream   cairnbay.Upstream
	Slots      Slots
	// Keys remembers outcomes by idempotency key; nil passes keys on unused.
	Keys     Keys
	Recorder cairnbay.Recorder
	Log      *logrus.Entry
}

// Router is the http.Handler for callers.
type Router struct {
	config   Config
	tracer   trace.Tracer
	flights  *flights
	cancel   func()
	leaving  atomic.Bool
	draining atomic.Bool

	mu    sync.RWMutex
	lanes map[string]*lane
}

// New returns a router. Close ends it.
func New(config Config) *Router {
	router := &Router{
		config:  config,
		tracer:  otel.Tracer("cairnbay/internal/request/route"),
		flights: newFlights(),
		lanes:   map[string]*lane{},
	}
	config.Slots.OnFree(router.pump)
	router.cancel = config.Clock.Every(tidyPeriod, router.tidy)
	return router
}

// tidyPeriod is how often what is kept of gone upstreams is forgotten.
const tidyPeriod = 10 * time.Second

func (r *Router) tidy(time.Duration) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for service, lane := range r.lanes {
		lane.circuits.Prune(func(upstream string) bool { return r.config.Slots.Listed(service, upstream) })
	}
}

// Close refuses what waits. Call Drain before it to finish what runs.
func (r *Router) Close() {
	r.cancel()
	r.draining.Store(true)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, lane := range r.lanes {
		lane.queue.Close()
	}
}

func (r *Router) pump(service string) {
	r.mu.RLock()
	lane := r.lanes[service]
	r.mu.RUnlock()
	if lane != nil {
		lane.queue.Dispatch()
	}
}

// lane returns what is kept for a service; it must have upstreams, which bounds
// how many there are.
func (r *Router) lane(service string) *lane {
	r.mu.RLock()
	known := r.lanes[service]
	r.mu.RUnlock()
	if known != nil {
		return known
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if known = r.lanes[service]; known == nil {
		known = r.newLane(service, xxhash.Sum64String(r.config.Self+service))
		r.lanes[service] = known
	}
	return known
}

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	ctx := propagation.TraceContext{}.Extract(request.Context(), propagation.HeaderCarrier(request.Header))
	ctx, span := r.tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	call, refusal := r.read(writer, request)
	span.SetAttributes(attribute.String("cairnbay.service", call.service), attribute.String("cairnbay.request", call.id))
	if refusal != nil {
		r.refuse(writer, call, refusal)
		return
	}
	run := r.answer
	if r.keyed(call) {
		// Repeats may wait for this outcome, so its caller's leaving does not end it.
		ctx = context.WithoutCancel(ctx)
		run = r.answerKeyed
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.flights.add(call, cancel)
	defer r.flights.remove(call)
	if r.draining.Load() {
		r.refuse(writer, call, stopping())
		return
	}
	if r.config.Settings.Current() == nil {
		r.refuse(writer, call, unsettled())
		return
	}
	answer, refusal := run(ctx, call)
	r.reply(ctx, writer, call, answer, refusal)
}

// reply tells the caller what became of the call.
func (r *Router) reply(ctx context.Context, writer http.ResponseWriter, call *call, answer *answer, refusal *refusal) {
	if refusal != nil {
		r.refuse(writer, call, refusal)
		return
	}
	err := r.write(writer, call, answer)
	if err == nil {
		r.countOutcome(call, answer.outcome(call))
		r.config.Recorder.CountPromise(cairnbay.PromiseWholeReply, 1)
		return
	}
	r.noteAborted(ctx, call, err)
	panic(http.ErrAbortHandler)
}

func (r *Router) refuse(writer http.ResponseWriter, call *call, refusal *refusal) {
	r.countOutcome(call, refusal.outcome)
	r.config.Recorder.CountRefusal(call.labels(), refusal.reason)
	countRefusal(refusal.reason)
	if refusal.outcome == cairnbay.OutcomeUnknown {
		r.noteUnknown(call, refusal)
	}
	refusal.close = refusal.close || r.leaving.Load()
	refusal.write(writer, call.id)
}

// unsettled refuses while no settings are in force: limits and precedence would
// have to be guessed.
func unsettled() *refusal {
	return refused(http.StatusServiceUnavailable, "no_settings", "this entry instance holds no settings yet", retryElsewhere)
}

func stopping() *refusal {
	refusal := refused(http.StatusServiceUnavailable, "stopping", "this entry instance is shutting down", retryElsewhere)
	refusal.close = true
	return refusal
}
