package check

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
	"github.com/juju/errors"

	"cairnbay"
)

var _ cairnbay.Upstream = (*Upstream)(nil)

// UpstreamConfig configures an Upstream.
type UpstreamConfig struct {
	// Upstream makes the exchanges.
	Upstream cairnbay.Upstream
	Clock    cairnbay.Clock
	Recorder cairnbay.Recorder
	// Instances returns the platform's list as last read by this member.
	Instances func() []cairnbay.Instance
	// Idempotent reports whether requests of a method may be sent again.
	Idempotent func(method string) bool
}

const (
	// leavingGrace is how long a leaving upstream may still get new work, counted
	// from the check that first finds it leaving.
	leavingGrace = 5 * time.Second
	// listPeriod is the interval between checks of Instances for leaving upstreams.
	listPeriod = time.Second
	// maxSent is the number of non-idempotent requests that are recorded, and
	// sentRetention how long; later a repeated request is not detected.
	maxSent       = 100_000
	sentRetention = 10 * time.Minute
)

// Upstream forwards exchanges to another Upstream. It checks that no leaving
// upstream gets new work and that no non-idempotent request is sent twice. A request
// that the caller itself repeats under the same ID counts as sent twice too.
type Upstream struct {
	config UpstreamConfig
	cancel func()

	mu sync.Mutex
	// leaving maps the address of each leaving upstream to the time of the check that
	// first found it leaving.
	leaving map[string]time.Duration
	// sent maps the identity of each request to the upstream that it was sent to
	// first.
	sent *expirable.LRU[string, string]
}

// NewUpstream returns an Upstream that checks Instances for leaving upstreams once a
// second until Close.
func NewUpstream(config UpstreamConfig) *Upstream {
	upstream := &Upstream{
		config:  config,
		leaving: make(map[string]time.Duration),
		sent:    expirable.NewLRU[string, string](maxSent, nil, sentRetention),
	}
	upstream.cancel = config.Clock.Every(listPeriod, upstream.refreshLeaving)
	return upstream
}

// Close stops the checks of Instances.
func (u *Upstream) Close() {
	u.cancel()
}

// refreshLeaving updates the leaving upstreams from Instances.
func (u *Upstream) refreshLeaving(now time.Duration) {
	instances := u.config.Instances()
	u.mu.Lock()
	defer u.mu.Unlock()
	leaving := make(map[string]time.Duration)
	for _, instance := range instances {
		if instance.Kind != cairnbay.InstanceUpstream || !instance.Leaving {
			continue
		}
		since, known := u.leaving[instance.Address]
		if !known {
			since = now
		}
		leaving[instance.Address] = since
	}
	u.leaving = leaving
}

// Exchange implements cairnbay.Upstream.
func (u *Upstream) Exchange(ctx context.Context, address string, request *http.Request) (*http.Response, error) {
	pastGrace := u.pastGrace(address)
	identity := u.requestIdentity(request)
	firstUpstream := u.recordSent(identity, address)
	response, err := u.config.Upstream.Exchange(ctx, address, request)
	if notSent(err) || refusedAsLeaving(response) {
		u.dropSent(identity)
		return response, err
	}
	u.recordChecks(address, request, pastGrace, identity, firstUpstream)
	return response, err
}

// pastGrace reports whether the upstream has been leaving for longer than the grace.
func (u *Upstream) pastGrace(address string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	since, leaving := u.leaving[address]
	return leaving && u.config.Clock.Now()-since > leavingGrace
}

// requestIdentity returns "key SERVICE KEY" for a non-idempotent request with an
// idempotency key, else "request ID". It is empty if the request may be sent again or
// has neither.
func (u *Upstream) requestIdentity(request *http.Request) string {
	if u.config.Idempotent(request.Method) {
		return ""
	}
	if key := request.Header.Get(cairnbay.KeyHeader); key != "" {
		return "key " + request.Header.Get(cairnbay.ServiceHeader) + " " + key
	}
	if id := request.Header.Get(cairnbay.RequestHeader); id != "" {
		return "request " + id
	}
	return ""
}

// recordSent records that the request is sent to the address, and returns the
// upstream to which it was sent before, or an empty string.
func (u *Upstream) recordSent(identity, address string) (firstUpstream string) {
	if identity == "" {
		return ""
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if recorded, ok := u.sent.Get(identity); ok {
		return recorded
	}
	u.sent.Add(identity, address)
	return ""
}

// dropSent removes the record of a request that the upstream did not run, also if an
// earlier exchange made it.
func (u *Upstream) dropSent(identity string) {
	if identity == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sent.Remove(identity)
}

// notSent reports whether the exchange failed before any byte was sent.
func notSent(err error) bool {
	var failure *cairnbay.UpstreamError
	return errors.As(err, &failure) && failure.Sent == cairnbay.NotSent
}

// refusedAsLeaving reports whether the upstream refused to run the request because
// it is leaving.
func refusedAsLeaving(response *http.Response) bool {
	return response != nil && response.StatusCode == http.StatusServiceUnavailable &&
		response.Header.Get(cairnbay.LeavingHeader) != ""
}

// recordChecks records the result of both checks of an exchange.
func (u *Upstream) recordChecks(address string, request *http.Request, pastGrace bool, identity, firstUpstream string) {
	id := request.Header.Get(cairnbay.RequestHeader)
	if pastGrace {
		u.reportBroken(cairnbay.PromiseLeaving, "work_for_leaving_upstream", map[string]string{"upstream": address, "request_id": id})
	} else {
		u.config.Recorder.CountPromise(cairnbay.PromiseLeaving, 1)
	}
	switch {
	case identity == "":
	case firstUpstream != "":
		u.reportBroken(cairnbay.PromiseAtMostOnce, "request_sent_twice", map[string]string{
			"name": strconv.Quote(identity), "first_upstream": firstUpstream, "upstream": address, "request_id": id,
		})
	default:
		u.config.Recorder.CountPromise(cairnbay.PromiseAtMostOnce, 1)
	}
}

func (u *Upstream) reportBroken(promise cairnbay.Promise, name string, fields map[string]string) {
	u.config.Recorder.RecordException(cairnbay.Exception{
		UnixMS: u.config.Clock.Wall().UnixMilli(), Name: name, Promise: promise, Broken: true, Fields: fields,
	})
}
