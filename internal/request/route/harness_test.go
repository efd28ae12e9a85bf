package route_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/conn/pool"
	"cairnbay/internal/fake/runner"
	"cairnbay/internal/process/slots"
	"cairnbay/internal/process/timer"
	"cairnbay/internal/request/route"
)

const service = "quoting"

// fixedSettings is a SettingsSource whose settings never change.
type fixedSettings struct{ current *cairnbay.Settings }

func (s fixedSettings) Current() *cairnbay.Settings                { return s.current }
func (s fixedSettings) OnChange(callback func(*cairnbay.Settings)) { callback(s.current) }

func settingsWithRequest(request cairnbay.Request) fixedSettings {
	branch := &cairnbay.Branch{Path: "vihmavesi/quoting", Service: service, Request: request}
	return fixedSettings{&cairnbay.Settings{
		Version:  1,
		Services: map[string]*cairnbay.Branch{service: branch},
	}}
}

// fakeMembers is a Members whose list is set by tests.
type fakeMembers struct {
	self string
	mu   sync.Mutex
	all  []cairnbay.Member
}

func (f *fakeMembers) Live() []cairnbay.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]cairnbay.Member(nil), f.all...)
}

func (f *fakeMembers) Self() cairnbay.Member {
	for _, member := range f.Live() {
		if member.ID == f.self {
			return member
		}
	}
	return cairnbay.Member{ID: f.self}
}

func (f *fakeMembers) Trusted() bool   { return true }
func (f *fakeMembers) OnChange(func()) {}
func (f *fakeMembers) add(m cairnbay.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = append(f.all, m)
}

// recorder is a Recorder that counts refusals by reason and collects exceptions.
type recorder struct {
	mu         sync.Mutex
	refusals   map[string]int
	exceptions []cairnbay.Exception
}

func (r *recorder) ObserveWait(cairnbay.Labels, time.Duration) {}
func (r *recorder) CountOutcome(cairnbay.Labels, string)       {}
func (r *recorder) CountPromise(cairnbay.Promise, uint64)      {}

func (r *recorder) CountRefusal(_ cairnbay.Labels, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals[reason]++
}

func (r *recorder) RecordException(exception cairnbay.Exception) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exceptions = append(r.exceptions, exception)
}

// harness is one entry instance and the runners behind it.
type harness struct {
	self     string
	peer     *harness
	clock    *timer.Service
	runners  []*runner.Runner
	listMu   sync.Mutex
	list     []cairnbay.Instance
	members  *fakeMembers
	pool     *pool.Pool
	table    *slots.Table
	router   *route.Router
	server   *httptest.Server
	recorder *recorder
	client   *http.Client
}

// harnessConfig configures a harness.
type harnessConfig struct {
	runners    int
	dataCentre string
	request    cairnbay.Request
	keys       route.Keys
	// peaksOnly makes the runners keep no record of single requests.
	peaksOnly                bool
	nonIdempotentIdleTimeout time.Duration
	// self defaults to "entry-1-" and the data centre.
	self string
	// peer is a harness whose clock, runners and list are shared; nil shares none.
	peer *harness
}

func newHarness(config harnessConfig) *harness {
	if config.dataCentre == "" {
		config.dataCentre = "tallinn-a"
	}
	if config.request.RetryBudget == 0 {
		config.request.RetryBudget = 0.1
	}
	self := config.self
	if self == "" {
		self = "entry-1-" + config.dataCentre
	}
	h := &harness{
		self:     self,
		members:  &fakeMembers{self: self},
		recorder: &recorder{refusals: map[string]int{}},
		peer:     config.peer,
	}
	h.members.add(cairnbay.Member{ID: self, DataCentre: config.dataCentre})
	if h.peer == nil {
		h.clock = timer.New()
	} else {
		h.clock = h.peer.clock
	}
	for i := range config.runners {
		upstream, err := runner.New(runner.Config{
			ID: "runner-" + strconv.Itoa(i), Service: service, DataCentre: config.dataCentre,
			Slots: 8, Connections: 64, Listen: "127.0.0.1:0", Clock: h.clock, PeaksOnly: config.peaksOnly,
		})
		if err != nil {
			panic(err)
		}
		h.runners = append(h.runners, upstream)
	}
	h.refreshList()
	source := settingsWithRequest(config.request)
	log := logrus.New()
	log.SetOutput(io.Discard)
	h.pool = pool.New(pool.Config{Clock: h.clock, NonIdempotentIdleTimeout: config.nonIdempotentIdleTimeout})
	h.table = slots.New(slots.Config{
		Self: self, DataCentre: config.dataCentre, Clock: h.clock,
		Members: h.members, Settings: source, Instances: h.instances,
	})
	h.router = route.New(route.Config{
		Self: self, DataCentre: config.dataCentre, Clock: h.clock, Settings: source, Members: h.members,
		Upstream: h.pool, Slots: h.table, Keys: config.keys, Recorder: h.recorder, Log: logrus.NewEntry(log),
	})
	h.server = httptest.NewServer(h.router)
	h.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	return h
}

func (h *harness) instances() []cairnbay.Instance {
	if h.peer != nil {
		return h.peer.instances()
	}
	h.listMu.Lock()
	defer h.listMu.Unlock()
	return h.list
}

// refreshList sets the list to the current runners.
func (h *harness) refreshList() {
	h.listMu.Lock()
	defer h.listMu.Unlock()
	h.list = nil
	for _, upstream := range h.runners {
		h.list = append(h.list, upstream.Instance())
	}
}

func (h *harness) close() {
	h.client.CloseIdleConnections()
	h.server.CloseClientConnections()
	h.server.Close()
	h.router.Close()
	h.table.Close()
	h.pool.Close()
	for _, upstream := range h.runners {
		upstream.Close()
	}
	if h.peer == nil {
		h.clock.Close()
	}
}

// reply is what a caller received.
type reply struct {
	status  int
	header  http.Header
	body    string
	outcome cairnbay.Outcome
	err     error
}

// testRequest describes a request; query is the query string without "?".
type testRequest struct {
	method string
	id     string
	query  string
	body   string
	header map[string]string
}

func (h *harness) send(ctx context.Context, spec testRequest) reply {
	request, err := http.NewRequestWithContext(ctx, spec.method, h.server.URL+"/"+service+"/price?"+spec.query, strings.NewReader(spec.body))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set(cairnbay.RequestHeader, spec.id)
	for name, value := range spec.header {
		request.Header.Set(name, value)
	}
	response, err := h.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode, header: response.Header, body: string(body),
		outcome: cairnbay.Outcome(response.Header.Get(cairnbay.OutcomeHeader)), err: err,
	}
}

// runCount counts the runs of a request over all runners.
func (h *harness) runCount(id string) int {
	count := 0
	for _, upstream := range h.runners {
		for _, record := range upstream.Records() {
			if record.RequestID == id && !record.Refused {
				count++
			}
		}
	}
	return count
}

// joinMembers adds each entry instance to the members of the other.
func joinMembers(a, b *harness) {
	a.members.add(cairnbay.Member{ID: b.self, DataCentre: a.members.Self().DataCentre})
	b.members.add(cairnbay.Member{ID: a.self, DataCentre: a.members.Self().DataCentre})
}

// exchangeHeartbeats delivers one heartbeat in each direction.
func exchangeHeartbeats(a, b *harness) {
	for _, pair := range [][2]*harness{{a, b}, {b, a}} {
		heartbeat := &cairnbayv1.Heartbeat{}
		pair[0].table.FillHeartbeat(pair[1].members.Self(), heartbeat)
		pair[1].table.HandleHeartbeat(pair[0].members.Self(), heartbeat)
	}
}
