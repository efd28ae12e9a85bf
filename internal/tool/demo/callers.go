package demo

import (
	"cmp"
	"context"
	"encoding/json"
	stderrors "errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"cairnbay"
	"cairnbay/internal/fake/judge"
)

// shape is one kind of request that callers send.
type shape struct {
	method string
	path   string
	band   string
	team   string
	keyed  bool
	// patience is the deadline that the caller names; 0 takes callerPatience.
	patience time.Duration
	// weight is its share of the load.
	weight int
}

// shapes are what callers of Vihmavesi send.
var shapes = []shape{
	{method: http.MethodGet, path: "/quoting/tank?work_ms=8&body_bytes=400", band: "interactive", team: "sales", weight: 50},
	{method: http.MethodPost, path: "/quoting/invoice?work_ms=10&body_bytes=200", band: "interactive", team: "sales", keyed: true, weight: 20},
	{method: http.MethodPost, path: "/quoting/order?work_ms=10&body_bytes=200", band: "interactive", team: "sales", weight: 10},
	{method: http.MethodGet, path: "/quoting/catalogue?work_ms=25&body_bytes=2000", band: "patient", team: "prices", weight: 15},
	{method: http.MethodPost, path: "/quoting/order?work_ms=10&body_bytes=200", band: "interactive", team: "sales", patience: time.Millisecond, weight: 1},
	{method: http.MethodGet, path: "/survey/scan?work_ms=20&body_bytes=1000", band: "patient", team: "survey", weight: 5},
}

const (
	// callerPatience is what callers name as their deadline.
	callerPatience = 4 * time.Second
	// callerTimeout is when a caller gives up on its own.
	callerTimeout = 6 * time.Second
)

// caller sends requests at a steady rate, whether or not answers come, and
// records each as it saw it.
type caller struct {
	clock    cairnbay.Clock
	balancer *balancer
	client   *http.Client
	random   *rand.Rand

	flying sync.WaitGroup
	mu     sync.Mutex
	calls  []judge.Call
	bands  map[string]string
	// unreached counts the requests for which no entry instance could be
	// dialled.
	unreached int
	refusals  map[string]int
}

func newCaller(clock cairnbay.Clock, balancer *balancer, seed uint64) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}
	return &caller{
		clock:    clock,
		balancer: balancer,
		client:   &http.Client{Transport: transport, Timeout: callerTimeout},
		random:   rand.New(rand.NewPCG(seed, 1)),
		bands:    make(map[string]string),
		refusals: make(map[string]int),
	}
}

// run sends perSecond requests a second until ctx ends, then waits for the
// answers.
func (c *caller) run(ctx context.Context, perSecond int) {
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			c.flying.Wait()
			c.client.CloseIdleConnections()
			return
		case <-tick.C:
			next := c.choose()
			c.flying.Go(func() { c.send(next) })
		}
	}
}

func (c *caller) choose() shape {
	total := 0
	for _, known := range shapes {
		total += known.weight
	}
	pick := c.random.IntN(total)
	for _, known := range shapes {
		if pick < known.weight {
			return known
		}
		pick -= known.weight
	}
	return shapes[0]
}

// send makes one request and records what the caller saw of it.
func (c *caller) send(next shape) {
	via, address, ok := c.balancer.choose()
	if !ok {
		c.miss()
		return
	}
	call := judge.Call{RequestID: uuid.NewString(), Via: via}
	request, err := http.NewRequest(next.method, "http://"+address+next.path, bodyOf(next))
	if err != nil {
		c.miss()
		return
	}
	request.Header.Set(cairnbay.RequestHeader, call.RequestID)
	request.Header.Set(cairnbay.BandHeader, next.band)
	request.Header.Set(cairnbay.TeamHeader, next.team)
	request.Header.Set(cairnbay.DeadlineHeader, fmt.Sprint(cmp.Or(next.patience, callerPatience).Milliseconds()))
	if next.keyed {
		call.Key = uuid.NewString()
		request.Header.Set(cairnbay.KeyHeader, call.Key)
	}
	call.FromMS = c.clock.Now().Milliseconds()
	response, err := c.client.Do(request)
	if isDial(err) {
		c.miss()
		return
	}
	reason := c.read(&call, response, err)
	call.UntilMS = max(c.clock.Now().Milliseconds(), 1)
	c.record(call, next, reason)
}

func bodyOf(next shape) io.Reader {
	if next.method == http.MethodGet {
		return http.NoBody
	}
	return strings.NewReader(`{"tank": "4 m3", "gutter_m": 31}`)
}

// isDial says whether a request failed before its connection was made.
func isDial(err error) bool {
	var failed *net.OpError
	return stderrors.As(err, &failed) && failed.Op == "dial"
}

// read takes the answer, and returns the reason where it is a refusal. The
// first line of a runner's answer names the request that it belongs to.
func (c *caller) read(call *judge.Call, response *http.Response, err error) (reason string) {
	if err != nil {
		call.Cut = true
		return ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	call.Outcome = cairnbay.Outcome(response.Header.Get(cairnbay.OutcomeHeader))
	if err != nil {
		call.Cut = true
		return ""
	}
	if response.StatusCode >= http.StatusBadRequest {
		return reasonOf(call.Outcome, response.StatusCode, body)
	}
	if call.Outcome == cairnbay.OutcomeDone {
		call.Answer, _, _ = strings.Cut(string(body), "\n")
	}
	return ""
}

// reasonOf is the refusal's reason as the problem body names it.
func reasonOf(outcome cairnbay.Outcome, status int, body []byte) string {
	var problem struct {
		Reason string `json:"reason"`
		Title  string `json:"title"`
	}
	_ = json.Unmarshal(body, &problem)
	if problem.Reason == "" {
		problem.Reason = problem.Title
	}
	return fmt.Sprintf("%s %d %s", outcome, status, problem.Reason)
}

func (c *caller) miss() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreached++
}

func (c *caller) record(call judge.Call, next shape, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, call)
	c.bands[call.RequestID] = next.band
	if reason != "" {
		c.refusals[reason]++
	}
}

// balancer is a small stand-in of the platform's: it sends requests in turn to
// the instances whose readiness check passed last.
type balancer struct {
	client *http.Client

	mu      sync.Mutex
	targets []target
	turn    int
}

// target is one entry instance as the balancer knows it.
type target struct {
	id        string
	callers   string
	operators string
	ready     bool
}

const (
	// checkPeriod is how often the balancer checks readiness.
	checkPeriod = 200 * time.Millisecond
	// checkTimeout bounds one check.
	checkTimeout = 500 * time.Millisecond
)

func newBalancer() *balancer {
	return &balancer{client: &http.Client{Timeout: checkTimeout}}
}

func (b *balancer) add(id, callers, operators string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targets = append(b.targets, target{id: id, callers: callers, operators: operators})
}

func (b *balancer) choose() (id, address string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.targets {
		b.turn++
		next := b.targets[b.turn%len(b.targets)]
		if next.ready {
			return next.id, next.callers, true
		}
	}
	return "", "", false
}

// ready counts the instances that pass their check.
func (b *balancer) ready() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, known := range b.targets {
		if known.ready {
			count++
		}
	}
	return count
}

// run checks readiness until ctx ends.
func (b *balancer) run(ctx context.Context) {
	tick := time.NewTicker(checkPeriod)
	defer tick.Stop()
	for {
		b.check(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (b *balancer) check(ctx context.Context) {
	b.mu.Lock()
	targets := append([]target(nil), b.targets...)
	b.mu.Unlock()
	var checks sync.WaitGroup
	for i := range targets {
		checks.Go(func() { targets[i].ready = b.passes(ctx, targets[i]) })
	}
	checks.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range targets {
		b.targets[i].ready = targets[i].ready
	}
}

func (b *balancer) passes(ctx context.Context, checked target) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+checked.operators+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusNoContent
}
