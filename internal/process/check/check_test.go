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

// recorder counts the checks and the broken promises.
type recorder struct {
	mu     sync.Mutex
	checks map[cairnbay.Promise]uint64
	broken map[cairnbay.Promise]int
}

func newRecorder() *recorder {
	return &recorder{checks: make(map[cairnbay.Promise]uint64), broken: make(map[cairnbay.Promise]int)}
}

func (r *recorder) ObserveWait(cairnbay.Labels, time.Duration) {}
func (r *recorder) CountOutcome(cairnbay.Labels, string)       {}
func (r *recorder) CountRefusal(cairnbay.Labels, string)       {}

func (r *recorder) CountPromise(promise cairnbay.Promise, checks uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checks[promise] += checks
}

func (r *recorder) RecordException(exception cairnbay.Exception) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if exception.Broken {
		r.broken[exception.Promise]++
	}
}

// fleet is two workers with capacity for two tasks each.
type fleet struct {
	clock    *clock.Clock
	recorder *recorder
	workers  map[string]*fakeworker.Worker
	checked  *check.Worker
	epoch    cairnbay.Epoch
}

var small = cairnbay.Resources{MilliCPU: 1000, MemoryMB: 1000}

func newFleet() *fleet {
	created := &fleet{
		clock: clock.New(), recorder: newRecorder(), workers: make(map[string]*fakeworker.Worker),
		epoch: cairnbay.Epoch{Generation: 1, Instance: "entry-1"},
	}
	inner := fakeworker.NewFleet()
	for _, id := range []string{"w1", "w2"} {
		worker, err := fakeworker.New(fakeworker.Config{ID: id, Capacity: small.Times(2), Clock: created.clock})
		Expect(err).NotTo(HaveOccurred())
		created.workers[id] = worker
		inner.Add(worker)
	}
	created.checked = check.NewWorker(check.WorkerConfig{Worker: inner, Clock: created.clock, Recorder: created.recorder})
	for id := range created.workers {
		_, err := created.checked.Claim(context.Background(), id, cairnbay.ClaimRequest{Epoch: created.epoch})
		Expect(err).NotTo(HaveOccurred())
	}
	return created
}

func (f *fleet) start(worker string, attempt int, atMostOnce bool, indices ...int) {
	request := cairnbay.StartRequest{Epoch: f.epoch}
	for _, index := range indices {
		request.Tasks = append(request.Tasks, cairnbay.TaskStart{
			Task: cairnbay.TaskID{Job: "job", Index: index}, Attempt: attempt, Size: small, AtMostOnce: atMostOnce, Lease: time.Hour,
		})
	}
	_, _ = f.checked.Start(context.Background(), worker, request)
}

// renew renews both workers in each round, one second apart.
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
	run     func(f *fleet)
}

var workerScenarios = []workerScenario{
	{"a worker whose tasks use its whole capacity", cairnbay.PromiseCapacity, false, func(f *fleet) { f.start("w1", 1, false, 0, 1) }},
	{"a worker started with tasks over its capacity", cairnbay.PromiseCapacity, true, func(f *fleet) {
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
	{"a task started elsewhere after its worker was not renewed for a while", cairnbay.PromiseOnePlace, true, func(f *fleet) {
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
		It("checks "+scenario.name, func() {
			fleet := newFleet()
			scenario.run(fleet)
			fleet.renew(3, false)
			Expect(fleet.recorder.broken[scenario.promise] > 0).To(Equal(scenario.broken), "%v", fleet.recorder.broken)
			if !scenario.broken {
				Expect(fleet.recorder.checks[scenario.promise]).NotTo(BeZero())
			}
		})

		It("checks "+scenario.name+" by brief answers", func() {
			fleet := newFleet()
			scenario.run(fleet)
			fleet.renew(3, true)
			Expect(fleet.recorder.broken[scenario.promise] > 0).To(Equal(scenario.broken), "%v", fleet.recorder.broken)
		})
	}

	It("skips the checks on a brief answer whose digest differs", func() {
		fleet := newFleet()
		fleet.workers["w1"].SetFaults(fakeworker.Faults{DropAnswers: true})
		fleet.start("w1", 1, false, 0)
		fleet.workers["w1"].SetFaults(fakeworker.Faults{})
		checksBefore := fleet.recorder.checks[cairnbay.PromiseCapacity]
		fleet.renew(1, true)
		Expect(fleet.recorder.checks[cairnbay.PromiseCapacity]).To(Equal(checksBefore+1), "for the other worker only")
	})
})

// fakeUpstream answers every exchange with err, else with status and header.
type fakeUpstream struct {
	err    error
	status int
	header http.Header
}

func (u *fakeUpstream) Exchange(context.Context, string, *http.Request) (*http.Response, error) {
	if u.err != nil {
		return nil, u.err
	}
	return &http.Response{StatusCode: u.status, Header: u.header}, nil
}

type upstreamScenario struct {
	name    string
	promise cairnbay.Promise
	broken  bool
	method  string
	// firstAnswer is what the first exchange returns; later exchanges succeed.
	firstAnswer fakeUpstream
	// leaving is how long the upstream has been listed as leaving; 0 if it is not.
	leaving time.Duration
}

var leavingHeader = http.Header{cairnbay.LeavingHeader: {"1"}}

var upstreamScenarios = []upstreamScenario{
	{name: "work for a leaving upstream within the grace", promise: cairnbay.PromiseLeaving, leaving: 3 * time.Second, method: "GET"},
	{name: "work for a leaving upstream after the grace", promise: cairnbay.PromiseLeaving, leaving: 9 * time.Second, method: "GET", broken: true},
	{name: "an idempotent request sent twice", promise: cairnbay.PromiseAtMostOnce, method: "PUT"},
	{name: "a request sent twice", promise: cairnbay.PromiseAtMostOnce, method: "POST", broken: true},
	{
		name: "a request sent again when no byte was sent", promise: cairnbay.PromiseAtMostOnce, method: "POST",
		firstAnswer: fakeUpstream{err: &cairnbay.UpstreamError{Sent: cairnbay.NotSent, Err: cairnbay.ErrUnavailable}},
	},
	{
		name: "a request sent again when a byte may have been sent", promise: cairnbay.PromiseAtMostOnce, method: "POST", broken: true,
		firstAnswer: fakeUpstream{err: &cairnbay.UpstreamError{Sent: cairnbay.MaybeSent, Err: cairnbay.ErrUnavailable}},
	},
	{
		name: "a request sent again after a leaving upstream refused it", promise: cairnbay.PromiseAtMostOnce, method: "POST",
		firstAnswer: fakeUpstream{status: http.StatusServiceUnavailable, header: leavingHeader},
	},
}

var _ = Describe("Upstream", func() {
	for _, scenario := range upstreamScenarios {
		It("checks "+scenario.name, func() {
			fakeClock, recorder := clock.New(), newRecorder()
			instances := []cairnbay.Instance{{Kind: cairnbay.InstanceUpstream, Address: "r1", Leaving: scenario.leaving > 0}}
			upstream := scenario.firstAnswer
			if upstream.err == nil && upstream.status == 0 {
				upstream.status = http.StatusOK
			}
			checked := check.NewUpstream(check.UpstreamConfig{
				Upstream: &upstream, Clock: fakeClock, Recorder: recorder,
				Instances: func() []cairnbay.Instance { return instances }, Idempotent: pool.Idempotent,
			})
			defer checked.Close()
			fakeClock.Advance(time.Second + scenario.leaving)
			request := &http.Request{Method: scenario.method, Header: http.Header{cairnbay.RequestHeader: {"a"}}}
			_, _ = checked.Exchange(context.Background(), "r1", request)
			upstream = fakeUpstream{status: http.StatusOK}
			_, err := checked.Exchange(context.Background(), "r1", request)
			Expect(err).NotTo(HaveOccurred())
			Expect(recorder.broken[scenario.promise] > 0).To(Equal(scenario.broken))
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
