package gate_test

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/layout"
	"cairnbay/internal/process/relay"
	"cairnbay/internal/process/sched"
	"cairnbay/internal/process/tenure"
	"cairnbay/internal/request/gate"
	"cairnbay/platform"
)

func TestGate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gate")
}

// remoteReason is the reason in the verdicts of the remote owner.
const remoteReason = "why"

// owner is a stub of a remote instance that owns the classes. Its answers are
// atomic, since a repeated call may still arrive when a test changes them.
type owner struct {
	cairnbayv1connect.UnimplementedRelayHandler
	// verdict is a cairnbayv1.SubmitVerdict.
	verdict atomic.Int32
	// dropResponses is how many of the next submissions get no response.
	dropResponses atomic.Int32
	submits       atomic.Int32
	cancels       atomic.Int32
	// state is a cairnbay.WorkflowState.
	state         atomic.Uint32
	found, stored atomic.Bool
	// silent makes Inspect wait until its caller gives up.
	silent atomic.Bool
	// submitted are the shards to which each job was submitted, by job ID.
	submitted sync.Map
	mu        sync.Mutex
	// scopes are the workspaces that the calls came with; "unlimited" stands for none.
	scopes []string
}

func (o *owner) record(scope *cairnbayv1.AccessScope) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if scope == nil {
		scope = &cairnbayv1.AccessScope{Workspace: "unlimited"}
	}
	o.scopes = append(o.scopes, scope.GetWorkspace())
}

func (o *owner) Submit(
	_ context.Context, request *connect.Request[cairnbayv1.SubmitWorkflowRequest],
) (*connect.Response[cairnbayv1.SubmitWorkflowResponse], error) {
	o.submits.Add(1)
	o.record(&cairnbayv1.AccessScope{Workspace: request.Msg.GetWorkflow().GetWorkspace()})
	shards, _ := o.submitted.LoadOrStore(request.Msg.GetWorkflow().GetId(), &sync.Map{})
	shards.(*sync.Map).Store(request.Msg.GetShard(), true)
	if o.dropResponses.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(&cairnbayv1.SubmitWorkflowResponse{
		Verdict: cairnbayv1.SubmitVerdict(o.verdict.Load()), Reason: remoteReason, RetryAfterMs: 1500,
	}), nil
}

func (o *owner) Inspect(
	ctx context.Context, request *connect.Request[cairnbayv1.InspectWorkflowRequest],
) (*connect.Response[cairnbayv1.InspectWorkflowResponse], error) {
	if o.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !hasQueue(request.Msg.GetShard(), request.Msg.GetQueue()) {
		return connect.NewResponse(&cairnbayv1.InspectWorkflowResponse{Owner: true, QueueAbsent: true}), nil
	}
	o.record(request.Msg.GetScope())
	return connect.NewResponse(&cairnbayv1.InspectWorkflowResponse{Owner: true, State: o.state.Load()}), nil
}

// hasQueue says whether the shard is of the class that runs the jobs of a queue.
func hasQueue(shard string, path *cairnbayv1.QueuePath) bool {
	class, _, _ := strings.Cut(shard, "~")
	return class == cmp.Or(map[string]string{"/deep/": "b", "/wide/": "c"}[path.GetPrefix()], "a")
}

func (o *owner) Cancel(
	_ context.Context, request *connect.Request[cairnbayv1.CancelWorkflowRequest],
) (*connect.Response[cairnbayv1.CancelWorkflowResponse], error) {
	o.record(request.Msg.GetScope())
	o.cancels.Add(1)
	return connect.NewResponse(&cairnbayv1.CancelWorkflowResponse{Owner: true, Found: o.found.Load(), Stored: o.stored.Load()}), nil
}

func (o *owner) Length(
	_ context.Context, request *connect.Request[cairnbayv1.LengthRequest],
) (*connect.Response[cairnbayv1.LengthResponse], error) {
	if !hasQueue(request.Msg.GetShard(), request.Msg.GetPath()) {
		return connect.NewResponse(&cairnbayv1.LengthResponse{Owner: true, QueueAbsent: true}), nil
	}
	return connect.NewResponse(&cairnbayv1.LengthResponse{Owner: true, Waiting: 12}), nil
}

// owners implements gate.Owners with fixed owners by shard. Class c has two shards, all
// others have one.
type owners map[string]tenure.Owner

// ownersAt says that the instance at an address owns all shards.
func ownersAt(address string) owners {
	all := owners{}
	for _, shard := range []string{"a", "b", "c~0", "c~1"} {
		all[shard] = tenure.Owner{Instance: "n1", Address: address}
	}
	return all
}

func (o owners) Owner(shard string) (tenure.Owner, bool) {
	entry, ok := o[shard]
	return entry, ok
}

func (o owners) Layout(class string) (layout.Layout, bool) {
	if class == "c" {
		return layout.Layout{Class: class, Shards: 2}, true
	}
	return layout.Layout{Class: class, Shards: 1}, true
}

func (o owners) Layouts() map[string]layout.Layout {
	layouts := make(map[string]layout.Layout)
	for _, class := range []string{"a", "b", "c"} {
		layouts[class], _ = o.Layout(class)
	}
	return layouts
}

func (o owners) ReadLayouts(context.Context) (map[string]layout.Layout, error) {
	return o.Layouts(), nil
}

func (o owners) Owners() map[string]tenure.Owner { return o }
func (o owners) Changed() <-chan struct{}        { return nil }

var routing = &cairnbay.Routing{Version: 3, Queues: []cairnbay.Queue{
	{Name: "all", Host: "x.test", Prefix: "/", Class: "a"},
	{Name: "deep", Host: "x.test", Prefix: "/deep/", Class: "b"},
	{Name: "wide", Host: "x.test", Prefix: "/wide/", Class: "c"},
}}

var _ = Describe("Gate", func() {
	var (
		remoteOwner *owner
		current     *cairnbay.Routing
		classOwners owners
		handler     *gate.Gate
		// lasting is the number of tasks of submitted jobs whose tasks last; 0 for jobs
		// of one task that ends.
		lasting int
	)
	BeforeEach(func() {
		lasting = 0
		remoteOwner = &owner{}
		remoteOwner.verdict.Store(int32(cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_ACCEPTED))
		mux := http.NewServeMux()
		mux.Handle(cairnbayv1connect.NewRelayHandler(remoteOwner))
		server := httptest.NewServer(mux)
		DeferCleanup(server.Close)
		classOwners = ownersAt(server.Listener.Addr().String())
		current = routing
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		noDrive := func(string) *drive.Drive { return nil }
		handler = gate.New(gate.Config{
			Format: gate.Format{
				DeadlineHeader: "Deadline-Ms",
				CountObjects:   platform.CountObjects,
				DecodeWorkflow: func(id string, body []byte) (cairnbay.Workflow, error) {
					if string(body) == "bad" {
						return cairnbay.Workflow{}, cairnbay.ErrInvalid
					}
					return cairnbay.Workflow{ID: id, Steps: []cairnbay.WorkflowStep{{Tasks: max(lasting, 1), LongRunning: lasting > 0}}}, nil
				},
				EncodeState:       func(state cairnbay.WorkflowState) ([]byte, error) { return json.Marshal(state.String()) },
				EncodeQueueLength: func(count int) ([]byte, error) { return json.Marshal(count) },
			},
			Routing: func() *cairnbay.Routing { return current }, Owners: classOwners, Drive: noDrive,
			Relay: relay.New(relay.Config{Client: server.Client(), Drive: noDrive}),
			Log:   logger.WithField("test", true), Metrics: metrics.NewSet(),
		})
	})
	send := func(method, target, body string) *httptest.ResponseRecorder {
		request := httptest.NewRequest(method, "http://x.test"+target, strings.NewReader(body))
		request.Header.Set("Deadline-Ms", "1500")
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, request)
		return response
	}

	It("responds with 503 until a configuration was read", func() {
		current = nil
		response := send(http.MethodPost, "/j", "{}")
		Expect(response.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header().Get("Retry-After")).To(Equal("1"))
	})

	It("selects queues by host and longest prefix", func() {
		request := httptest.NewRequest(http.MethodGet, "http://other.test/deep/j", nil)
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, request)
		Expect(response.Code).To(Equal(http.StatusNotFound))
		Expect(send(http.MethodGet, "/deep/", "").Body.String()).To(Equal("12"))
	})

	It("responds with 200 to an accepted submission", func() {
		Expect(send(http.MethodPost, "/j", "{}").Code).To(Equal(http.StatusOK))
	})

	It("forwards refusals with 503 and the time to retry after", func() {
		remoteOwner.verdict.Store(int32(cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_REFUSED))
		response := send(http.MethodPost, "/j", "{}")
		Expect(response.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header().Get("Retry-After")).To(Equal("2"))
	})

	It("responds with 400 and the reason to a job that no owner accepts, also if it may have been delivered", func() {
		remoteOwner.verdict.Store(int32(cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_INVALID))
		for _, lost := range []int32{0, 1} {
			remoteOwner.dropResponses.Store(lost)
			response := send(http.MethodPost, "/j", "{}")
			Expect(response.Code).To(Equal(http.StatusBadRequest))
			Expect(response.Header().Get("Retry-After")).To(BeEmpty())
			Expect(response.Body.String()).To(ContainSubstring(remoteReason))
		}
	})

	It("submits a job of a divided class always to the same shard", func() {
		used := make(map[string]bool)
		for i := range 40 {
			id := strconv.Itoa(i)
			for range 2 {
				Expect(send(http.MethodPost, "/wide/"+id, "{}").Code).To(Equal(http.StatusOK))
			}
			shards, _ := remoteOwner.submitted.Load(id)
			count := 0
			shards.(*sync.Map).Range(func(shard, _ any) bool {
				used[shard.(string)] = true
				count++
				return true
			})
			Expect(count).To(Equal(1))
		}
		Expect(used).To(HaveLen(2))
	})

	It("submits a job that is spread over the shards to each of them, and cancels it in each", func() {
		lasting = 40
		Expect(send(http.MethodPost, "/wide/j", "{}").Code).To(Equal(http.StatusOK))
		Expect(remoteOwner.submits.Load()).To(BeEquivalentTo(2))
		remoteOwner.found.Store(true)
		remoteOwner.stored.Store(true)
		Expect(send(http.MethodDelete, "/wide/j", "").Code).To(Equal(http.StatusOK))
		Expect(remoteOwner.cancels.Load()).To(BeEquivalentTo(2))
	})

	It("does not refuse a spread job of which one shard has accepted its portion", func() {
		lasting = 40
		home, _ := classOwners.Layout("c")
		for _, shard := range home.Names() {
			if shard != home.ShardOfJob("j") {
				delete(classOwners, shard)
			}
		}
		Expect(send(http.MethodPost, "/wide/j", "{}").Code).To(Equal(http.StatusGatewayTimeout))
	})

	It("sums the length of a queue over the shards of its class", func() {
		Expect(send(http.MethodGet, "/wide/", "").Body.String()).To(Equal("24"))
	})

	It("does not respond with the length of a part of the shards", func() {
		delete(classOwners, "c~1")
		Expect(send(http.MethodGet, "/wide/", "").Code).To(Equal(http.StatusServiceUnavailable))
	})

	It("repeats a submission that got no response", func() {
		remoteOwner.dropResponses.Store(1)
		Expect(send(http.MethodPost, "/j", "{}").Code).To(Equal(http.StatusOK))
		Expect(remoteOwner.submits.Load()).To(BeEquivalentTo(2))
	})

	It("does not refuse a submission that may have been accepted", func() {
		// The owners of the other classes have no jobs of the queue, and are not asked again.
		Eventually(func() int { return send(http.MethodPost, "/j", "{}").Code }, "5s").Should(Equal(http.StatusOK))
		remoteOwner.silent.Store(true)
		remoteOwner.dropResponses.Store(1)
		remoteOwner.verdict.Store(int32(cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_REFUSED))
		Expect(send(http.MethodPost, "/j", "{}").Code).To(Equal(http.StatusGatewayTimeout))
	})

	It("refuses a submission that was sent to no owner, since those of the other classes do not answer", func() {
		remoteOwner.silent.Store(true)
		Expect(send(http.MethodPost, "/j", "{}").Code).To(Equal(http.StatusServiceUnavailable))
		Expect(remoteOwner.submits.Load()).To(BeZero())
	})

	It("responds with 504 if the owner does not know whether the job was stored", func() {
		remoteOwner.verdict.Store(int32(cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_UNCERTAIN))
		Expect(send(http.MethodPost, "/j", "{}").Code).To(Equal(http.StatusGatewayTimeout))
	})

	It("refuses in at most 500 ms while a class has no owner", func() {
		delete(classOwners, "a")
		startedAt := time.Now()
		Expect(send(http.MethodPost, "/j", "{}").Code).To(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(startedAt)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(handler.FailingFor()).To(BeNumerically(">", 0))
	})

	It("refuses in at most 500 ms, with Retry-After, when the owner accepts no connection", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		classOwners["a"] = tenure.Owner{Instance: "n1", Address: listener.Addr().String()}
		Expect(listener.Close()).To(Succeed())
		startedAt := time.Now()
		response := send(http.MethodPost, "/j", "{}")
		Expect(response.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header().Get("Retry-After")).NotTo(BeEmpty())
		Expect(time.Since(startedAt)).To(BeNumerically("<", 500*time.Millisecond))
	})

	It("detects by a probe that an owner responds again", func() {
		remoteOwner.dropResponses.Store(100)
		Expect(send(http.MethodPost, "/j", "{}").Code).To(Equal(http.StatusGatewayTimeout))
		Expect(handler.FailingFor()).To(BeNumerically(">", 0))
		handler.Probe(context.Background())
		Expect(handler.FailingFor()).To(BeZero())
	})

	It("refuses a submission that is too large, or has too many steps, before it is decoded", func() {
		Expect(send(http.MethodPost, "/j", strings.Repeat(" ", 256<<10)).Code).To(Equal(http.StatusOK))
		Expect(send(http.MethodPost, "/j", strings.Repeat(" ", 256<<10+1)).Code).To(Equal(http.StatusRequestEntityTooLarge))
		response := send(http.MethodPost, "/j", strings.Repeat("{}", 20_000))
		Expect(response.Code).To(Equal(http.StatusBadRequest))
		Expect(response.Body.String()).To(ContainSubstring(sched.ReasonJobTooLarge))
	})

	It("responds with 400 to a submission that cannot be decoded", func() {
		Expect(send(http.MethodPost, "/j", "bad").Code).To(Equal(http.StatusBadRequest))
	})

	It("responds with the job's state, or with 410 if no owner has the job", func() {
		remoteOwner.state.Store(uint32(cairnbay.WorkflowRunning))
		Expect(send(http.MethodGet, "/j", "").Body.String()).To(Equal(`"running"`))
		remoteOwner.state.Store(uint32(cairnbay.WorkflowUnknown))
		Expect(send(http.MethodGet, "/j", "").Code).To(Equal(http.StatusGone))
	})

	It("confirms a cancellation only after it is stored", func() {
		Expect(send(http.MethodDelete, "/j", "").Code).To(Equal(http.StatusGone))
		remoteOwner.found.Store(true)
		Expect(send(http.MethodDelete, "/j", "").Code).To(Equal(http.StatusGatewayTimeout))
		remoteOwner.stored.Store(true)
		Expect(send(http.MethodDelete, "/j", "").Code).To(Equal(http.StatusOK))
	})
})
