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

// settings is a SettingsSource with one version.
type settings struct{ current *cairnbay.Settings }

func (s settings) Current() *cairnbay.Settings               { return s.current }
func (s settings) OnChange(adopted func(*cairnbay.Settings)) { adopted(s.current) }

func withRequest(request cairnbay.Request) settings {
	branch := &cairnbay.Branch{Path: "vihmavesi/quoting", Service: service, Request: request}
	return settings{&cairnbay.Settings{
		Version:  1,
		Services: map[string]*cairnbay.Branch{service: branch},
	}}
}

// crowd is a Members that tests set.
type crowd struct {
	self string
	mu   sync.Mutex
	all  []cairnbay.Member
}

func (c *crowd) Live() []cairnbay.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]cairnbay.Member(nil), c.all...)
}

func (c *crowd) Self() cairnbay.Member {
	for _, member := range c.Live() {
		if member.ID == c.self {
			return member
		}
	}
	return cairnbay.Member{ID: c.self}
}

func (c *crowd) Trusted() bool   { return true }
func (c *crowd) OnChange(func()) {}
func (c *crowd) add(m cairnbay.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, m)
}

// recorder counts refusals and keeps exceptions.
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

// stage is one entry instance before some runners.
type stage struct {
	self     string
	beside   *stage
	clock    *timer.Service
	runners  []*runner.Runner
	listMu   sync.Mutex
	list     []cairnbay.Instance
	members  *crowd
	pool     *pool.Pool
	table    *slots.Table
	router   *route.Router
	server   *httptest.Server
	recorder *recorder
	direct   *http.Client
}

// stageConfig is what a stage is made of.
type stageConfig struct {
	runners    int
	dataCentre string
	request    cairnbay.Request
	keys       route.Keys
	peaksOnly  bool
	freshFor   time.Duration
	// self is "entry-1-" and the data centre where it is empty.
	self string
	// beside is a stage whose clock, runners and list are shared.
	beside *stage
}

func newStage(config stageConfig) *stage {
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
	s := &stage{
		self:     self,
		members:  &crowd{self: self},
		recorder: &recorder{refusals: map[string]int{}},
		beside:   config.beside,
	}
	s.members.add(cairnbay.Member{ID: self, DataCentre: config.dataCentre})
	if s.beside == nil {
		s.clock = timer.New()
	} else {
		s.clock = s.beside.clock
	}
	for i := range config.runners {
		made, err := runner.New(runner.Config{
			ID: "runner-" + strconv.Itoa(i), Service: service, DataCentre: config.dataCentre,
			Slots: 8, Connections: 64, Listen: "127.0.0.1:0", Clock: s.clock, PeaksOnly: config.peaksOnly,
		})
		if err != nil {
			panic(err)
		}
		s.runners = append(s.runners, made)
	}
	s.relist()
	source := withRequest(config.request)
	log := logrus.New()
	log.SetOutput(io.Discard)
	s.pool = pool.New(pool.Config{Clock: s.clock, NonIdempotentIdleTimeout: config.freshFor})
	s.table = slots.New(slots.Config{
		Self: self, DataCentre: config.dataCentre, Clock: s.clock,
		Members: s.members, Settings: source, Instances: s.instances,
	})
	s.router = route.New(route.Config{
		Self: self, DataCentre: config.dataCentre, Clock: s.clock, Settings: source, Members: s.members,
		Upstream: s.pool, Slots: s.table, Keys: config.keys, Recorder: s.recorder, Log: logrus.NewEntry(log),
	})
	s.server = httptest.NewServer(s.router)
	s.direct = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	return s
}

func (s *stage) instances() []cairnbay.Instance {
	if s.beside != nil {
		return s.beside.instances()
	}
	s.listMu.Lock()
	defer s.listMu.Unlock()
	return s.list
}

// relist makes the list show the runners as they are.
func (s *stage) relist() {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	s.list = nil
	for _, made := range s.runners {
		s.list = append(s.list, made.Instance())
	}
}

func (s *stage) close() {
	s.direct.CloseIdleConnections()
	s.server.CloseClientConnections()
	s.server.Close()
	s.router.Close()
	s.table.Close()
	s.pool.Close()
	for _, made := range s.runners {
		made.Close()
	}
	if s.beside == nil {
		s.clock.Close()
	}
}

// reply is what a caller saw.
type reply struct {
	status  int
	header  http.Header
	body    string
	outcome cairnbay.Outcome
	err     error
}

type ask struct {
	method string
	id     string
	query  string
	body   string
	header map[string]string
}

func (s *stage) ask(ctx context.Context, ask ask) reply {
	request, err := http.NewRequestWithContext(ctx, ask.method, s.server.URL+"/"+service+"/price?"+ask.query, strings.NewReader(ask.body))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set(cairnbay.RequestHeader, ask.id)
	for name, value := range ask.header {
		request.Header.Set(name, value)
	}
	response, err := s.direct.Do(request)
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

// ran counts the runs of a request over all runners.
func (s *stage) ran(id string) int {
	count := 0
	for _, made := range s.runners {
		for _, record := range made.Records() {
			if record.RequestID == id && !record.Refused {
				count++
			}
		}
	}
	return count
}

// meet makes two entry instances know each other.
func meet(a, b *stage) {
	a.members.add(cairnbay.Member{ID: b.self, DataCentre: a.members.Self().DataCentre})
	b.members.add(cairnbay.Member{ID: a.self, DataCentre: a.members.Self().DataCentre})
}

// beat carries one heartbeat each way.
func beat(a, b *stage) {
	for _, pair := range [][2]*stage{{a, b}, {b, a}} {
		heartbeat := &cairnbayv1.Heartbeat{}
		pair[0].table.FillHeartbeat(pair[1].members.Self(), heartbeat)
		pair[1].table.HandleHeartbeat(pair[0].members.Self(), heartbeat)
	}
}
