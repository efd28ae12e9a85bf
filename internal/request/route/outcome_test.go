package route_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnbay"
	"cairnbay/internal/fake/runner"
)

// cluster is two entry instances in front of failing runners, with all requests and
// the replies that their callers received.
type cluster struct {
	entries []*harness
	// allRunners includes replaced runners, because their records still count.
	allRunners   []*runner.Runner
	requestCount int

	mu        sync.Mutex
	exchanges map[string]exchange
}

// exchange is one request and its reply.
type exchange struct {
	request testRequest
	reply   reply
}

func newCluster() *cluster {
	request := cairnbay.Request{Timeout: 300 * time.Millisecond, IdleTimeout: 60 * time.Millisecond, RetryBudget: 0.5}
	first := newHarness(harnessConfig{runners: 3, request: request})
	second := newHarness(harnessConfig{request: request, self: "entry-2", peer: first})
	joinMembers(first, second)
	c := &cluster{entries: []*harness{first, second}, exchanges: map[string]exchange{}}
	c.allRunners = append(c.allRunners, first.runners...)
	c.waitForSlots()
	return c
}

func (c *cluster) close() {
	for i := len(c.entries) - 1; i >= 0; i-- {
		c.entries[i].close()
	}
}

// waitForSlots exchanges heartbeats until both entry instances have slots, for 100
// rounds at most.
func (c *cluster) waitForSlots() {
	for range 100 {
		exchangeHeartbeats(c.entries[0], c.entries[1])
		if c.entries[0].table.Totals(service).Slots > 0 && c.entries[1].table.Totals(service).Slots > 0 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// sendBurst sends 1 to 8 concurrent requests and records their replies.
func (c *cluster) sendBurst(t *rapid.T) {
	var group sync.WaitGroup
	for range rapid.IntRange(1, 8).Draw(t, "requests") {
		c.requestCount++
		request := testRequest{
			id:     fmt.Sprintf("request-%d", c.requestCount),
			method: rapid.SampledFrom([]string{http.MethodPost, http.MethodPost, http.MethodPut, http.MethodGet}).Draw(t, "method"),
			query:  fmt.Sprintf("work_ms=%d&body_bytes=%d", rapid.IntRange(0, 5).Draw(t, "work"), rapid.SampledFrom([]int{50, 5000, 100000}).Draw(t, "bytes")),
			body:   strings.Repeat("b", rapid.SampledFrom([]int{0, 10, 100000}).Draw(t, "body")),
		}
		entry := c.entries[rapid.IntRange(0, 1).Draw(t, "entry")]
		ctx, cancel := context.WithCancel(context.Background())
		if rapid.IntRange(0, 9).Draw(t, "caller leaves") == 0 {
			time.AfterFunc(2*time.Millisecond, cancel)
		}
		group.Go(func() {
			defer cancel()
			got := entry.send(ctx, request)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.exchanges[request.id] = exchange{request, got}
		})
	}
	group.Wait()
}

func (c *cluster) injectFaults(t *rapid.T) {
	times := &atomic.Int64{}
	times.Store(int64(rapid.IntRange(1, 4).Draw(t, "times")))
	faults := rapid.SampledFrom([]runner.Faults{
		{CutBeforeHeaders: true},
		{CutAfter: 30},
		{CutAfter: 90000},
		{StallAfter: 30},
		{StallAfter: 90000},
		{Crossed: true},
		{Status: http.StatusServiceUnavailable},
		{Delay: 100 * time.Millisecond},
		{Delay: 400 * time.Millisecond},
	}).Draw(t, "faults")
	faults.Times = times
	c.randomRunner(t).SetFaults(faults)
}

func (c *cluster) randomRunner(t *rapid.T) *runner.Runner {
	current := c.entries[0].runners
	return current[rapid.IntRange(0, len(current)-1).Draw(t, "runner")]
}

// replaceRunner closes a runner and starts another one with the same ID. The list
// shows the new address only after refreshList.
func (c *cluster) replaceRunner(t *rapid.T) {
	first := c.entries[0]
	index := rapid.IntRange(0, len(first.runners)-1).Draw(t, "runner")
	old := first.runners[index].Instance()
	first.runners[index].Close()
	replacement, err := runner.New(runner.Config{
		ID: old.ID, Service: service, DataCentre: old.DataCentre, Slots: 8, Connections: 64,
		Listen: "127.0.0.1:0", Clock: first.clock,
	})
	if err != nil {
		t.Fatal(err)
	}
	first.runners[index] = replacement
	c.allRunners = append(c.allRunners, replacement)
}

// runs counts the runs of each request over current and replaced runners.
func (c *cluster) runs() map[string]int {
	runs := map[string]int{}
	for _, upstream := range c.allRunners {
		for _, record := range upstream.Records() {
			if !record.Refused {
				runs[record.RequestID]++
			}
		}
	}
	return runs
}

// check compares each reply with the number of runs of its request.
func (c *cluster) check(t *rapid.T) {
	runs := c.runs()
	for id, exchange := range c.exchanges {
		got := exchange.reply
		switch {
		case got.outcome == cairnbay.OutcomeNotRun && runs[id] > 0:
			t.Fatalf("%s %s got the outcome not_run (%d %s) and ran %d times", exchange.request.method, id, got.status, got.body, runs[id])
		case exchange.request.method == http.MethodPost && runs[id] > 1:
			t.Fatalf("POST %s ran %d times", id, runs[id])
		case got.err == nil && got.outcome == "":
			t.Fatalf("%s %s got no outcome", exchange.request.method, id)
		case got.err == nil && got.status == http.StatusOK && !strings.HasPrefix(got.body, id+"\n"):
			t.Fatalf("%s got the answer of another request: %.40q", id, got.body)
		case got.err == nil && got.status == http.StatusOK && runs[id] == 0:
			t.Fatalf("%s got status 200 and never ran", id)
		}
	}
}

// TestOutcomesAreTrue checks that replies agree with what the runners ran, under
// random faults, silent connections and replaced runners.
func TestOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster()
		defer c.close()
		t.Repeat(map[string]func(*rapid.T){
			// Two keys make bursts more frequent than other actions.
			"burst":       c.sendBurst,
			"burst_again": c.sendBurst,
			"fault":       c.injectFaults,
			"silence": func(t *rapid.T) {
				c.randomRunner(t).Silence(rapid.Bool().Draw(t, "drop received"), rapid.Bool().Draw(t, "drop sent"))
			},
			"replace": c.replaceRunner,
			"relist":  func(*rapid.T) { c.entries[0].refreshList() },
			"leaving": func(t *rapid.T) { c.randomRunner(t).SetLeaving(rapid.Bool().Draw(t, "leaving")) },
			"beat":    func(*rapid.T) { exchangeHeartbeats(c.entries[0], c.entries[1]) },
			"":        c.check,
		})
	})
}
