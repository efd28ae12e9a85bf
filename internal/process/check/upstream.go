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

// UpstreamConfig is what an Upstream is made of.
type UpstreamConfig struct {
	// Upstream makes the exchanges.
	Upstream cairnbay.Upstream
	Clock    cairnbay.Clock
	Recorder cairnbay.Recorder
	// Instances is the platform's list as this member knows it.
	Instances func() []cairnbay.Instance
	// Idempotent says whether a method may be sent again.
	Idempotent func(method string) bool
}

const (
	// leavingGrace is how long a leaving upstream may still get new work.
	leavingGrace = 5 * time.Second
	// listPeriod is how often the list is looked at.
	listPeriod = time.Second
	// maxSent and rememberSent bound the requests that are remembered.
	maxSent      = 100_000
	rememberSent = 10 * time.Minute
)

// Upstream passes exchanges on and checks that no leaving upstream gets new
// work and that no request that is not idempotent is sent twice. A caller that
// itself sends a request again under the same ID is seen as well.
type Upstream struct {
	config UpstreamConfig
	cancel func()

	mu sync.Mutex
	// leaving holds since when each leaving address is known to leave.
	leaving map[string]time.Duration
	sent    *expirable.LRU[string, string]
}

// NewUpstream returns an Upstream; Close ends its look at the list.
func NewUpstream(config UpstreamConfig) *Upstream {
	upstream := &Upstream{
		config:  config,
		leaving: make(map[string]time.Duration),
		sent:    expirable.NewLRU[string, string](maxSent, nil, rememberSent),
	}
	upstream.cancel = config.Clock.Every(listPeriod, upstream.look)
	return upstream
}

// Close ends the look at the list.
func (u *Upstream) Close() {
	u.cancel()
}

// look notes which upstreams are leaving.
func (u *Upstream) look(now time.Duration) {
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
	late := u.late(address)
	name := u.onceName(request)
	first := u.remember(name, address)
	response, err := u.config.Upstream.Exchange(ctx, address, request)
	if notSent(err) || refused(response) {
		u.forget(name)
		return response, err
	}
	u.judge(address, request, late, name, first)
	return response, err
}

func (u *Upstream) late(address string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	since, leaving := u.leaving[address]
	return leaving && u.config.Clock.Now()-since > leavingGrace
}

// onceName names a request that may be sent once: by its key, else by its ID;
// empty for one that may be sent again.
func (u *Upstream) onceName(request *http.Request) string {
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

// remember returns where the request was sent before, empty for nowhere.
func (u *Upstream) remember(name, address string) (first string) {
	if name == "" {
		return ""
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if known, ok := u.sent.Get(name); ok {
		return known
	}
	u.sent.Add(name, address)
	return ""
}

func (u *Upstream) forget(name string) {
	if name == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sent.Remove(name)
}

// notSent says that no byte can have reached the upstream.
func notSent(err error) bool {
	var failure *cairnbay.UpstreamError
	return errors.As(err, &failure) && failure.Sent == cairnbay.NotSent
}

// refused says that the upstream did not run the request since it is leaving.
func refused(response *http.Response) bool {
	return response != nil && response.StatusCode == http.StatusServiceUnavailable &&
		response.Header.Get(cairnbay.LeavingHeader) != ""
}

func (u *Upstream) judge(address string, request *http.Request, late bool, name, first string) {
	id := request.Header.Get(cairnbay.RequestHeader)
	if late {
		u.broken(cairnbay.PromiseLeaving, "work_for_leaving_upstream", map[string]string{"upstream": address, "request_id": id})
	} else {
		u.config.Recorder.CountPromise(cairnbay.PromiseLeaving, 1)
	}
	switch {
	case name == "":
	case first != "":
		u.broken(cairnbay.PromiseAtMostOnce, "request_sent_twice", map[string]string{
			"name": strconv.Quote(name), "first_upstream": first, "upstream": address, "request_id": id,
		})
	default:
		u.config.Recorder.CountPromise(cairnbay.PromiseAtMostOnce, 1)
	}
}

func (u *Upstream) broken(promise cairnbay.Promise, name string, fields map[string]string) {
	u.config.Recorder.RecordException(cairnbay.Exception{
		UnixMS: u.config.Clock.Wall().UnixMilli(), Name: name, Promise: promise, Broken: true, Fields: fields,
	})
}
