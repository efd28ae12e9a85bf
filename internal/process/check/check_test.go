package check_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/conn/pool"
	"cairnbay/internal/fake/clock"
	fakeworker "cairnbay/internal/fake/worker"
	"cairnbay/internal/process/check"
)

func TestCheck(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "check")
}

// tally keeps what is recorded of promises.
type tally struct {
	mu     sync.Mutex
	held   map[cairnbay.Promise]uint64
	broken map[cairnbay.Promise]int
}

func newTally() *tally {
	return &tally{held: make(map[cairnbay.Promise]uint64), broken: make(map[cairnbay.Promise]int)}
}

func (t *tally) ObserveWait(cairnbay.Labels, time.Duration) {}
func (t *tally) CountOutcome(cairnbay.Labels, string)       {}
func (t *tally) CountRefusal(cairnbay.Labels, string)       {}

func (t *tally) CountPromise(promise cairnbay.Promise, checks uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held[promise] += checks
}

func (t *tally) RecordException(exception cairnbay.Exception) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if exception.Broken {
		t.broken[exception.Promise]++
	}
}

// fleet is two workers with room for two tasks each.
type fleet struct {
	clock   *clock.Clock
	tally   *tally
	workers map[string]*fakeworker.Worker
	checked *check.Worker
	epoch   cairnbay.Epoch
}

var small = cairnbay.Resources{MilliCPU: 1000, MemoryMB: 1000}

func newFleet() *fleet {
	made := &fleet{
		clock: clock.New(), tally: newTally(), workers: make(map[string]*fakeworker.Worker),
		epoch: cairnbay.Epoch{Generation: 1, Instance: "entry-1"},
	}
	calls := fakeworker.NewFleet()
	for _, id := range []string{"w1", "w2"} {
		worker, err := fakeworker.New(fakeworker.Config{ID: id, Capacity: small.Times(2), Clock: made.clock})
		Expect(err).NotTo(HaveOccurred())
		made.workers[id] = worker
		calls.Add(worker)
	}
	made.checked = check.NewWorker(check.WorkerConfig{Worker: calls, Clock: made.clock, Recorder: made.tally})
	for id := range made.workers {
		_, err := made.checked.Claim(context.Background(), id, cairnbay.ClaimRequest{Epoch: made.epoch})
		Expect(err).NotTo(HaveOccurred())
	}
	return made
}

func (f *fleet) start(worker string, attempt int, once bool, indices ...int) {
	request := cairnbay.StartRequest{Epoch: f.epoch}
	for _, index := range indices {
		request.Tasks = append(request.Tasks, cairnbay.TaskStart{
			Task: cairnbay.TaskID{Job: "job", Index: index}, Attempt: attempt, Size: small, AtMostOnce: once, Lease: time.Hour,
		})
	}
	_, _ = f.checked.Start(context.Background(), worker, request)
}

// renew asks both workers, a second after each other, rounds times.
func (f *fleet) renew(rounds int, brief bool) {
	for range rounds {
		for _, id := range []string{"w1", "w2"} {
			f.clock.Advance(time.Second)
			_, err := f.checked.Renew(context.Background(), id, cairnbay.RenewRequest{Epoch: f.epoch, All: true, Brief: brief})
			Expect(err).NotTo(HaveOccurred())
		}
	}
}

type workerScenario struct {
	name    string
	promise cairnbay.Promise
	broken  bool
	act     func(f *fleet)
}

var workerScenarios = []workerScenario{
	{"full workers", cairnbay.PromiseCapacity, false, func(f *fleet) { f.start("w1", 1, false, 0, 1) }},
	{"a worker given more than it has", cairnbay.PromiseCapacity, true, func(f *fleet) {
		f.workers["w1"].SetFaults(fakeworker.Faults{NoCapacityCheck: true})
		f.start("w1", 1, false, 0, 1, 2)
	}},
	{"a task that moved after it ended", cairnbay.PromiseOnePlace, false, func(f *fleet) {
		f.start("w1", 1, false, 0)
		f.renew(2, false)
		_, err := f.checked.Stop(context.Background(), "w1", cairnbay.StopRequest{
			Epoch: f.epoch, Mode: cairnbay.StopNow, Tasks: []cairnbay.TaskID{{Job: "job", Index: 0}},
		})
		Expect(err).NotTo(HaveOccurred())
		f.start("w2", 2, false, 0)
	}},
	{"a task on two workers at once", cairnbay.PromiseOnePlace, true, func(f *fleet) {
		f.start("w1", 1, false, 0)
		f.start("w2", 2, false, 0)
	}},
	{"a task started elsewhere while its worker was silent", cairnbay.PromiseOnePlace, true, func(f *fleet) {
		f.start("w1", 1, false, 0)
		f.renew(2, false)
		f.clock.Advance(10 * time.Second)
		f.start("w2", 2, false, 0)
	}},
	{"an at-most-once task sent again under the same attempt", cairnbay.PromiseAtMostOnce, false, func(f *fleet) {
		f.start("w1", 1, true, 0)
		f.start("w1", 1, true, 0)
	}},
	{"an at-most-once task that the first worker refused", cairnbay.PromiseAtMostOnce, false, func(f *fleet) {
		f.start("w1", 1, false, 1, 2)
		f.start("w1", 1, true, 0)
		f.start("w2", 1, true, 0)
	}},
	{"an at-most-once task started on two workers", cairnbay.PromiseAtMostOnce, true, func(f *fleet) {
		f.start("w1", 1, true, 0)
		f.start("w2", 2, true, 0)
	}},
	{"an at-most-once task started again after a lost answer", cairnbay.PromiseAtMostOnce, true, func(f *fleet) {
		f.workers["w1"].SetFaults(fakeworker.Faults{DropAnswers: true})
		f.start("w1", 1, true, 0)
		f.workers["w1"].SetFaults(fakeworker.Faults{})
		f.start("w2", 2, true, 0)
	}},
}

var _ = Describe("Worker", func() {
	for _, scenario := range workerScenarios {
		It("judges "+scenario.name, func() {
			fleet := newFleet()
			scenario.act(fleet)
			fleet.renew(3, false)
			Expect(fleet.tally.broken[scenario.promise] > 0).To(Equal(scenario.broken), "%v", fleet.tally.broken)
			if !scenario.broken {
				Expect(fleet.tally.held[scenario.promise]).NotTo(BeZero())
			}
		})

		It("judges "+scenario.name+" by brief answers", func() {
			fleet := newFleet()
			scenario.act(fleet)
			fleet.renew(3, true)
			Expect(fleet.tally.broken[scenario.promise] > 0).To(Equal(scenario.broken), "%v", fleet.tally.broken)
		})
	}

	It("checks nothing by a brief answer that differs from what it knows", func() {
		fleet := newFleet()
		fleet.workers["w1"].SetFaults(fakeworker.Faults{DropAnswers: true})
		fleet.start("w1", 1, false, 0)
		fleet.workers["w1"].SetFaults(fakeworker.Faults{})
		before := fleet.tally.held[cairnbay.PromiseCapacity]
		fleet.renew(1, true)
		Expect(fleet.tally.held[cairnbay.PromiseCapacity]).To(Equal(before+1), "of the other worker only")
	})
})

// answers is an upstream that answers as told.
type answers struct {
	err    error
	status int
	header http.Header
}

func (a *answers) Exchange(context.Context, string, *http.Request) (*http.Response, error) {
	if a.err != nil {
		return nil, a.err
	}
	return &http.Response{StatusCode: a.status, Header: a.header}, nil
}

type upstreamScenario struct {
	name    string
	promise cairnbay.Promise
	broken  bool
	method  string
	// first is how the first exchange goes.
	first   answers
	leaving time.Duration
}

var leavingHeader = http.Header{cairnbay.LeavingHeader: {"1"}}

var upstreamScenarios = []upstreamScenario{
	{name: "work for an upstream within the grace", promise: cairnbay.PromiseLeaving, leaving: 3 * time.Second, method: "GET"},
	{name: "work for an upstream that left long ago", promise: cairnbay.PromiseLeaving, leaving: 9 * time.Second, method: "GET", broken: true},
	{name: "an idempotent request sent twice", promise: cairnbay.PromiseAtMostOnce, method: "PUT"},
	{name: "a request sent twice", promise: cairnbay.PromiseAtMostOnce, method: "POST", broken: true},
	{
		name: "a request sent again when no byte had left", promise: cairnbay.PromiseAtMostOnce, method: "POST",
		first: answers{err: &cairnbay.UpstreamError{Sent: cairnbay.NotSent, Err: cairnbay.ErrUnavailable}},
	},
	{
		name: "a request sent again when a byte may have left", promise: cairnbay.PromiseAtMostOnce, method: "POST", broken: true,
		first: answers{err: &cairnbay.UpstreamError{Sent: cairnbay.MaybeSent, Err: cairnbay.ErrUnavailable}},
	},
	{
		name: "a request sent again after a leaving upstream refused it", promise: cairnbay.PromiseAtMostOnce, method: "POST",
		first: answers{status: http.StatusServiceUnavailable, header: leavingHeader},
	},
}

var _ = Describe("Upstream", func() {
	for _, scenario := range upstreamScenarios {
		It("judges "+scenario.name, func() {
			hand, tally := clock.New(), newTally()
			instances := []cairnbay.Instance{{Kind: cairnbay.InstanceUpstream, Address: "r1", Leaving: scenario.leaving > 0}}
			inner := scenario.first
			if inner.err == nil && inner.status == 0 {
				inner.status = http.StatusOK
			}
			checked := check.NewUpstream(check.UpstreamConfig{
				Upstream: &inner, Clock: hand, Recorder: tally,
				Instances: func() []cairnbay.Instance { return instances }, Idempotent: pool.Idempotent,
			})
			defer checked.Close()
			hand.Advance(time.Second + scenario.leaving)
			request := &http.Request{Method: scenario.method, Header: http.Header{cairnbay.RequestHeader: {"a"}}}
			_, _ = checked.Exchange(context.Background(), "r1", request)
			inner = answers{status: http.StatusOK}
			_, err := checked.Exchange(context.Background(), "r1", request)
			Expect(err).NotTo(HaveOccurred())
			Expect(tally.broken[scenario.promise] > 0).To(Equal(scenario.broken))
		})
	}
})

func BenchmarkRenew(b *testing.B) {
	RegisterTestingT(b)
	fleet := newFleet()
	fleet.start("w1", 1, false, 0, 1)
	request := cairnbay.RenewRequest{Epoch: fleet.epoch, All: true, Brief: true}
	for b.Loop() {
		_, _ = fleet.checked.Renew(context.Background(), "w1", request)
	}
}
