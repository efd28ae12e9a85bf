package gate_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
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
	"cairnbay/internal/process/relay"
	"cairnbay/internal/process/tenure"
	"cairnbay/internal/request/gate"
)

func TestGate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gate")
}

// owner answers in place of another instance.
type owner struct {
	cairnbayv1connect.UnimplementedRelayHandler
	verdict cairnbayv1.SubmitVerdict
	// lose is how many calls get no answer.
	lose    atomic.Int32
	submits atomic.Int32
	state   cairnbay.WorkflowState
	known   bool
	stored  bool
}

func (o *owner) Submit(
	context.Context, *connect.Request[cairnbayv1.SubmitWorkflowRequest],
) (*connect.Response[cairnbayv1.SubmitWorkflowResponse], error) {
	o.submits.Add(1)
	if o.lose.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(&cairnbayv1.SubmitWorkflowResponse{
		Verdict: o.verdict, Reason: "why", RetryAfterMs: 1500,
	}), nil
}

func (o *owner) Inspect(
	context.Context, *connect.Request[cairnbayv1.InspectWorkflowRequest],
) (*connect.Response[cairnbayv1.InspectWorkflowResponse], error) {
	return connect.NewResponse(&cairnbayv1.InspectWorkflowResponse{Owner: true, State: uint32(o.state)}), nil
}

func (o *owner) Cancel(
	context.Context, *connect.Request[cairnbayv1.CancelWorkflowRequest],
) (*connect.Response[cairnbayv1.CancelWorkflowResponse], error) {
	return connect.NewResponse(&cairnbayv1.CancelWorkflowResponse{Owner: true, Found: o.known, Stored: o.stored}), nil
}

func (o *owner) Length(
	context.Context, *connect.Request[cairnbayv1.LengthRequest],
) (*connect.Response[cairnbayv1.LengthResponse], error) {
	return connect.NewResponse(&cairnbayv1.LengthResponse{Owner: true, Waiting: 12}), nil
}

// owners is a fixed view of who owns what.
type owners map[string]tenure.Owner

func (o owners) Owner(class string) (tenure.Owner, bool) {
	found, ok := o[class]
	return found, ok
}
func (o owners) Owners() map[string]tenure.Owner { return o }
func (o owners) Changed() <-chan struct{}        { return nil }

var routing = &cairnbay.Routing{Version: 3, Queues: []cairnbay.Queue{
	{Name: "all", Host: "x.test", Prefix: "/", Class: "a"},
	{Name: "deep", Host: "x.test", Prefix: "/deep/", Class: "b"},
}}

var _ = Describe("the gate", func() {
	var (
		served  *owner
		current *cairnbay.Routing
		known   owners
		gated   *gate.Gate
	)
	BeforeEach(func() {
		served = &owner{verdict: cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_ACCEPTED}
		mux := http.NewServeMux()
		mux.Handle(cairnbayv1connect.NewRelayHandler(served))
		server := httptest.NewServer(mux)
		DeferCleanup(server.Close)
		address := server.Listener.Addr().String()
		known = owners{"a": {Instance: "n1", Address: address}, "b": {Instance: "n1", Address: address}}
		current = routing
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		none := func(string) *drive.Drive { return nil }
		gated = gate.New(gate.Config{
			Format: gate.Format{
				DeadlineHeader: "Patience",
				DecodeWorkflow: func(id string, body []byte) (cairnbay.Workflow, error) {
					if string(body) == "bad" {
						return cairnbay.Workflow{}, cairnbay.ErrInvalid
					}
					return cairnbay.Workflow{ID: id, Steps: []cairnbay.WorkflowStep{{Tasks: 1}}}, nil
				},
				EncodeState:       func(state cairnbay.WorkflowState) ([]byte, error) { return json.Marshal(state.String()) },
				EncodeQueueLength: func(count int) ([]byte, error) { return json.Marshal(count) },
			},
			Routing: func() *cairnbay.Routing { return current }, Owners: known, Drive: none,
			Relay: relay.New(relay.Config{Client: server.Client(), Drive: none}),
			Log:   logger.WithField("test", true), Metrics: metrics.NewSet(),
		})
	})
	request := func(method, target, body string) *httptest.ResponseRecorder {
		asked := httptest.NewRequest(method, "http://x.test"+target, strings.NewReader(body))
		asked.Header.Set("Patience", "1500")
		answer := httptest.NewRecorder()
		gated.ServeHTTP(answer, asked)
		return answer
	}

	It("has no answer but 503 before a configuration", func() {
		current = nil
		answer := request(http.MethodPost, "/j", "{}")
		Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(answer.Header().Get("Retry-After")).To(Equal("1"))
	})

	It("knows queues by host and longest prefix", func() {
		asked := httptest.NewRequest(http.MethodGet, "http://other.test/deep/j", nil)
		answer := httptest.NewRecorder()
		gated.ServeHTTP(answer, asked)
		Expect(answer.Code).To(Equal(http.StatusNotFound))
		Expect(request(http.MethodGet, "/deep/", "").Body.String()).To(Equal("12"))
	})

	It("hands on acceptances", func() {
		Expect(request(http.MethodPost, "/j", "{}").Code).To(Equal(http.StatusOK))
	})

	It("hands on refusals with the time to come back", func() {
		served.verdict = cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_REFUSED
		answer := request(http.MethodPost, "/j", "{}")
		Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(answer.Header().Get("Retry-After")).To(Equal("2"))
	})

	It("sends a submission without an answer again", func() {
		served.lose.Store(1)
		Expect(request(http.MethodPost, "/j", "{}").Code).To(Equal(http.StatusOK))
		Expect(served.submits.Load()).To(BeEquivalentTo(2))
	})

	It("never refuses what may have been accepted", func() {
		served.lose.Store(1)
		served.verdict = cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_REFUSED
		Expect(request(http.MethodPost, "/j", "{}").Code).To(Equal(http.StatusGatewayTimeout))
	})

	It("does not know when the owner does not", func() {
		served.verdict = cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_UNCERTAIN
		Expect(request(http.MethodPost, "/j", "{}").Code).To(Equal(http.StatusGatewayTimeout))
	})

	It("refuses at once while a class has no owner", func() {
		delete(known, "a")
		began := time.Now()
		Expect(request(http.MethodPost, "/j", "{}").Code).To(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(gated.FailingFor()).To(BeNumerically(">", 0))
	})

	It("refuses at once, with a time to come back, what no connection could carry to the owner", func() {
		closed, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		known["a"] = tenure.Owner{Instance: "n1", Address: closed.Addr().String()}
		Expect(closed.Close()).To(Succeed())
		began := time.Now()
		answer := request(http.MethodPost, "/j", "{}")
		Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(answer.Header().Get("Retry-After")).NotTo(BeEmpty())
		Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
	})

	It("tells by probes that owners are reached again", func() {
		served.lose.Store(100)
		Expect(request(http.MethodPost, "/j", "{}").Code).To(Equal(http.StatusGatewayTimeout))
		Expect(gated.FailingFor()).To(BeNumerically(">", 0))
		gated.Probe(context.Background())
		Expect(gated.FailingFor()).To(BeZero())
	})

	It("refuses a submission that cannot be read", func() {
		Expect(request(http.MethodPost, "/j", "bad").Code).To(Equal(http.StatusBadRequest))
	})

	It("shows states, and 410 for what no owner knows", func() {
		served.state = cairnbay.WorkflowRunning
		Expect(request(http.MethodGet, "/j", "").Body.String()).To(Equal(`"running"`))
		served.state = cairnbay.WorkflowUnknown
		Expect(request(http.MethodGet, "/j", "").Code).To(Equal(http.StatusGone))
	})

	It("acknowledges a cancellation only once it is stored", func() {
		Expect(request(http.MethodDelete, "/j", "").Code).To(Equal(http.StatusGone))
		served.known = true
		Expect(request(http.MethodDelete, "/j", "").Code).To(Equal(http.StatusGatewayTimeout))
		served.stored = true
		Expect(request(http.MethodDelete, "/j", "").Code).To(Equal(http.StatusOK))
	})
})
