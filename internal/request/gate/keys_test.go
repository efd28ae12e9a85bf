package gate_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/relay"
	"cairnbay/internal/request/gate"
)

// unreadBody fails the test when it is read.
type unreadBody struct{}

func (unreadBody) Read([]byte) (int, error) {
	defer GinkgoRecover()
	Fail("the body of a refused call was read")
	return 0, io.EOF
}

var _ = Describe("Gate with keys", func() {
	const northKey, northNext, southKey = "north-secret-1", "north-secret-2", "south-secret-1"
	queues := []cairnbay.Queue{
		{Name: "all", Host: "x.test", Prefix: "/", Class: "a"},
		{Name: "open", Host: "x.test", Prefix: "/open/", Class: "a", Public: true},
	}
	version := func(number uint64, workspaces ...cairnbay.Workspace) *cairnbay.Routing {
		return &cairnbay.Routing{Version: number, Queues: queues, KeysRequired: true, Workspaces: workspaces}
	}
	workspace := func(name string, keys ...string) cairnbay.Workspace {
		made := cairnbay.Workspace{Name: name}
		for _, key := range keys {
			made.Keys = append(made.Keys, cairnbay.DigestKey(key))
		}
		return made
	}
	longKey := strings.Repeat("k", 257)
	var (
		remote  *owner
		current *cairnbay.Routing
		handler *gate.Gate
		set     *metrics.Set
		out     *gbytes.Buffer
	)
	BeforeEach(func() {
		remote = &owner{}
		remote.verdict.Store(int32(cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_ACCEPTED))
		remote.state.Store(uint32(cairnbay.WorkflowRunning))
		remote.found.Store(true)
		remote.stored.Store(true)
		mux := http.NewServeMux()
		mux.Handle(cairnbayv1connect.NewRelayHandler(remote))
		server := httptest.NewServer(mux)
		DeferCleanup(server.Close)
		current = version(7, workspace("north", northKey, longKey), workspace("south", southKey))
		out, set = gbytes.NewBuffer(), metrics.NewSet()
		logger := logrus.New()
		logger.SetOutput(out)
		noDrive := func(string) *drive.Drive { return nil }
		handler = gate.New(gate.Config{
			Format: gate.Format{
				DeadlineHeader: "Deadline-Ms",
				CountObjects:   func([]byte) int { return 1 },
				DecodeWorkflow: func(id string, _ []byte) (cairnbay.Workflow, error) {
					return cairnbay.Workflow{ID: id, Workspace: "forged", Steps: []cairnbay.WorkflowStep{{Tasks: 1}}}, nil
				},
				EncodeState:       func(state cairnbay.WorkflowState) ([]byte, error) { return json.Marshal(state.String()) },
				EncodeQueueLength: func(count int) ([]byte, error) { return json.Marshal(count) },
			},
			Routing: func() *cairnbay.Routing { return current },
			Owners:  ownersAt(server.Listener.Addr().String()), Drive: noDrive,
			Relay: relay.New(relay.Config{Client: server.Client(), Drive: noDrive}),
			Log:   logger.WithField("test", true), Metrics: set,
		})
	})
	send := func(method, target string, body io.Reader, authorization ...string) *httptest.ResponseRecorder {
		request := httptest.NewRequest(method, "http://x.test"+target, body)
		for _, value := range authorization {
			request.Header.Add("Authorization", value)
		}
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, request)
		return response
	}

	// Guards against jobs that run for keys that no configuration holds, against work
	// done for such calls, and against calls that are refused although their key is held.
	DescribeTable("decides by the queue and the key",
		func(method, target string, authorization []string, status int, seen string) {
			body := io.Reader(strings.NewReader("{}"))
			if status == http.StatusUnauthorized {
				body = unreadBody{}
			}
			response := send(method, target, body, authorization...)
			Expect(response.Code).To(Equal(status))
			if status == http.StatusUnauthorized {
				Expect(response.Header().Get("WWW-Authenticate")).To(Equal("Token"))
				Expect(remote.scopes).To(BeEmpty())
				return
			}
			Expect(response.Header()).NotTo(HaveKey("Www-Authenticate"))
			Expect(remote.scopes).To(Equal([]string{seen}))
		},
		Entry("held key", "POST", "/j", []string{"Token " + northKey}, 200, "north"),
		Entry("scheme in other case", "POST", "/j", []string{"token " + southKey}, 200, "south"),
		Entry("two spaces", "GET", "/j", []string{"Token  " + southKey}, 200, "south"),
		Entry("state", "GET", "/j", []string{"Token " + northKey}, 200, "north"),
		Entry("cancellation", "DELETE", "/j", []string{"Token " + northKey}, 200, "north"),
		Entry("public queue without a key", "POST", "/open/j", nil, 200, ""),
		Entry("public queue with a held key", "POST", "/open/j", []string{"Token " + northKey}, 200, ""),
		Entry("public queue with an unknown key", "GET", "/open/j", []string{"Token x"}, 200, ""),
		Entry("no key", "POST", "/j", nil, 401, ""),
		Entry("no key, state", "GET", "/j", nil, 401, ""),
		Entry("no key, length", "GET", "/", nil, 401, ""),
		Entry("no key, cancellation", "DELETE", "/j", nil, 401, ""),
		Entry("no key, method that does not exist", "PUT", "/j", nil, 401, ""),
		Entry("empty header", "POST", "/j", []string{""}, 401, ""),
		Entry("empty key", "POST", "/j", []string{"Token "}, 401, ""),
		Entry("scheme only", "POST", "/j", []string{"Token"}, 401, ""),
		Entry("key only", "POST", "/j", []string{northKey}, 401, ""),
		Entry("other scheme", "POST", "/j", []string{"Bearer " + northKey}, 401, ""),
		Entry("two headers", "POST", "/j", []string{"Token " + northKey, "Token " + southKey}, 401, ""),
		Entry("unknown key", "POST", "/j", []string{"Token north"}, 401, ""),
		Entry("key of other case", "POST", "/j", []string{"Token " + strings.ToUpper(northKey)}, 401, ""),
		Entry("key and more", "POST", "/j", []string{"Token " + northKey + " x"}, 401, ""),
		Entry("held key of 257 bytes", "POST", "/j", []string{"Token " + longKey}, 401, ""),
	)

	It("checks the configuration and the queue before the key", func() {
		request := httptest.NewRequest(http.MethodPost, "http://other.test/j", unreadBody{})
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, request)
		Expect(response.Code).To(Equal(http.StatusNotFound))
		current = nil
		Expect(send(http.MethodPost, "/j", unreadBody{}).Code).To(Equal(http.StatusServiceUnavailable))
	})

	It("decides by the version in force", func() {
		submit := func(key string) int {
			return send(http.MethodPost, "/j", strings.NewReader("{}"), "Token "+key).Code
		}
		Expect([]int{submit(northKey), submit(northNext), submit(southKey)}).To(Equal([]int{200, 401, 200}))
		current = version(8, workspace("north", northNext), workspace("south"))
		Expect([]int{submit(northKey), submit(northNext), submit(southKey)}).To(Equal([]int{401, 200, 401}))
		current = &cairnbay.Routing{Version: 9, Queues: queues}
		Expect([]int{submit(northKey), submit(southKey)}).To(Equal([]int{200, 200}))
		Expect(send(http.MethodGet, "/j", nil).Code).To(Equal(http.StatusOK))
		Expect(remote.scopes).To(Equal([]string{"north", "south", "north", "", "", "unlimited"}))
	})

	It("responds with 409 to the ID of another workspace's job, also after a lost response", func() {
		remote.verdict.Store(int32(cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_CONFLICT))
		remote.dropResponses.Store(1)
		Expect(send(http.MethodPost, "/j", strings.NewReader("{}"), "Token "+northKey).Code).To(Equal(http.StatusConflict))
	})

	// Guards against a flood that takes memory, log lines or calls to owners, or that
	// delays the calls of others.
	It("bears a flood of 10,000 unknown keys a second", func() {
		const second, seconds = 10_000, 2
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		slowest := make(chan time.Duration, 1)
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			longest := time.Duration(0)
			for {
				select {
				case <-done:
					slowest <- longest
					return
				case <-time.After(20 * time.Millisecond):
				}
				sentAt := time.Now()
				Expect(send(http.MethodPost, "/j", strings.NewReader("{}"), "Token "+southKey).Code).To(Equal(http.StatusOK))
				longest = max(longest, time.Since(sentAt))
			}
		}()
		startedAt := time.Now()
		for n := range second * seconds {
			if n%100 == 0 {
				time.Sleep(time.Until(startedAt.Add(time.Duration(n) * time.Second / second)))
			}
			Expect(send(http.MethodPost, "/flood", nil, fmt.Sprintf("Token guess-%d", n)).Code).To(Equal(http.StatusUnauthorized))
		}
		took := time.Since(startedAt)
		close(done)
		longest := <-slowest
		time.Sleep(1100 * time.Millisecond)
		runtime.GC()
		runtime.ReadMemStats(&after)
		GinkgoWriter.Printf("flood of %d took %v, slowest other call %v, heap %d to %d bytes\n",
			second*seconds, took, longest, before.HeapAlloc, after.HeapAlloc)
		Expect(took).To(BeNumerically("<", 3*time.Second))
		Expect(longest).To(BeNumerically("<", 250*time.Millisecond))
		Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(BeNumerically("<", 4<<20))
		logged := string(out.Contents())
		lines := strings.Count(logged, "calls refused because of their key")
		Expect(lines).To(BeNumerically(">=", 1))
		Expect(lines).To(BeNumerically("<=", int(took/time.Second)+1))
		_, flooded := remote.submitted.Load("flood")
		Expect(flooded).To(BeFalse())
		var metricsText bytes.Buffer
		set.WritePrometheus(&metricsText)
		Expect(metricsText.String()).To(ContainSubstring(fmt.Sprintf(`cairnbay_requests_unauthorised_total{reason="unknown"} %d`, second*seconds)))
		for _, text := range []string{logged, metricsText.String()} {
			Expect(text).NotTo(Or(ContainSubstring("guess-"), ContainSubstring("secret")))
		}
	})
})
