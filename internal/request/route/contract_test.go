package route_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/fake/golden"
	"cairnbay/internal/fake/runner"
)

// render formats a response as its caller receives it, without the Date header.
func render(response *http.Response, body string) []byte {
	var text bytes.Buffer
	fmt.Fprintln(&text, response.StatusCode)
	var names []string
	for name := range response.Header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if name != "Date" {
			fmt.Fprintf(&text, "%s: %s\n", name, strings.Join(response.Header[name], ", "))
		}
	}
	fmt.Fprintf(&text, "\n%s\n", body)
	return text.Bytes()
}

var _ = Describe("Answers to callers", func() {
	type scenario struct {
		name    string
		method  string
		path    string
		header  map[string]string
		body    string
		faults  runner.Faults
		prepare func(*harness)
	}
	closeRouter := func(h *harness) { h.router.Close() }
	leave := func(h *harness) { h.router.Leave() }
	scenarios := []scenario{
		{name: "done", method: http.MethodPost, path: "/quoting/price?body_bytes=10", body: "tank"},
		{name: "done_head", method: http.MethodHead, path: "/quoting/price"},
		{name: "done_by_header", method: http.MethodGet, path: "/price", header: map[string]string{cairnbay.ServiceHeader: "quoting"}},
		{name: "own_error_passed_on", method: http.MethodPost, path: "/quoting/price?status=404"},
		{name: "leaving_instance", method: http.MethodGet, path: "/quoting/price", prepare: leave},
		{name: "stopping_instance", method: http.MethodGet, path: "/quoting/price", prepare: closeRouter},
		{name: "no_upstream", method: http.MethodGet, path: "/survey/roof"},
		{name: "bad_deadline", method: http.MethodGet, path: "/quoting/price", header: map[string]string{cairnbay.DeadlineHeader: "soon"}},
		{name: "body_too_large", method: http.MethodPost, path: "/quoting/price", body: strings.Repeat("b", 2000)},
		{name: "upstream_leaving", method: http.MethodPost, path: "/quoting/price", prepare: func(h *harness) { h.runners[0].SetLeaving(true) }},
		{name: "upstream_silent", method: http.MethodPost, path: "/quoting/price", header: map[string]string{cairnbay.DeadlineHeader: "50"}, faults: runner.Faults{Delay: 10 * time.Second}},
	}
	for _, scenario := range scenarios {
		It("match the golden file: "+scenario.name, func() {
			h := newHarness(harnessConfig{runners: 1, request: cairnbay.Request{MaxBodyBytes: 1000, Timeout: time.Second}})
			defer h.close()
			h.runners[0].SetFaults(scenario.faults)
			if scenario.prepare != nil {
				scenario.prepare(h)
			}
			request := httptest.NewRequest(scenario.method, scenario.path, strings.NewReader(scenario.body))
			request.Header.Set(cairnbay.RequestHeader, "request-1")
			for name, value := range scenario.header {
				request.Header.Set(name, value)
			}
			recorder := httptest.NewRecorder()
			h.router.ServeHTTP(recorder, request)
			response := recorder.Result()
			Expect(response.Header.Get(cairnbay.OutcomeHeader)).NotTo(BeEmpty())
			golden.Check(scenario.name, render(response, recorder.Body.String()))
		})
	}
})
