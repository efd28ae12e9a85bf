package route_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/fake/runner"
)

var _ = Describe("Router", func() {
	ctx := context.Background()

	It("returns the complete answer of the upstream", func() {
		h := newHarness(harnessConfig{runners: 2})
		defer h.close()
		got := h.send(ctx, testRequest{method: http.MethodPost, id: "a", query: "body_bytes=100", body: "tank"})
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal(runner.Body("a", 100)))
		Expect(got.outcome).To(Equal(cairnbay.OutcomeDone))
		large := h.send(ctx, testRequest{method: http.MethodGet, id: "b", query: "body_bytes=300000"})
		Expect(large.err).NotTo(HaveOccurred())
		Expect(large.body).To(Equal(runner.Body("b", 300000)))
		Expect(h.runCount("a")).To(Equal(1))
	})

	type scenario struct {
		name   string
		faults runner.Faults
		method string
		// everyRequest applies the faults to every request, not only to the first.
		everyRequest bool
		status       int
		outcome      cairnbay.Outcome
		runs         int
	}
	scenarios := []scenario{
		{name: "idempotent, connection closed before headers", faults: runner.Faults{CutBeforeHeaders: true}, method: http.MethodPut, status: 200, outcome: cairnbay.OutcomeDone, runs: 2},
		{name: "not idempotent, connection closed before headers", faults: runner.Faults{CutBeforeHeaders: true}, method: http.MethodPost, status: 502, outcome: cairnbay.OutcomeUnknown, runs: 1},
		{name: "not idempotent, connection closed within a small answer", faults: runner.Faults{CutAfter: 20}, method: http.MethodPost, status: 502, outcome: cairnbay.OutcomeUnknown, runs: 1},
		{name: "idempotent, connection closed within a small answer", faults: runner.Faults{CutAfter: 20}, method: http.MethodPut, status: 200, outcome: cairnbay.OutcomeDone, runs: 2},
		{name: "idempotent, 503 from the first upstream", faults: runner.Faults{Status: 503}, method: http.MethodGet, status: 200, outcome: cairnbay.OutcomeDone, runs: 1},
		{name: "idempotent, 503 from every upstream", faults: runner.Faults{Status: 503}, everyRequest: true, method: http.MethodGet, status: 503, outcome: cairnbay.OutcomeDone, runs: 0},
		{name: "not idempotent, 503 from the first upstream", faults: runner.Faults{Status: 503}, method: http.MethodPost, status: 503, outcome: cairnbay.OutcomeDone, runs: 0},
		{name: "idempotent, answer with the ID of another request", faults: runner.Faults{Crossed: true}, method: http.MethodPut, status: 200, outcome: cairnbay.OutcomeDone, runs: 2},
		{name: "not idempotent, answer with the ID of another request", faults: runner.Faults{Crossed: true}, method: http.MethodPost, status: 502, outcome: cairnbay.OutcomeUnknown, runs: 1},
		{name: "idempotent, stalled within a small answer", faults: runner.Faults{StallAfter: 20}, method: http.MethodPut, status: 200, outcome: cairnbay.OutcomeDone, runs: 2},
		{name: "not idempotent, stalled within a small answer", faults: runner.Faults{StallAfter: 20}, method: http.MethodPost, status: 504, outcome: cairnbay.OutcomeUnknown, runs: 1},
	}
	for _, scenario := range scenarios {
		It("states the correct outcome: "+scenario.name, func() {
			// The timeout is long enough that a stalled answer must end by IdleTimeout.
			h := newHarness(harnessConfig{runners: 2, request: cairnbay.Request{IdleTimeout: 100 * time.Millisecond, Timeout: time.Hour}})
			defer h.close()
			if !scenario.everyRequest {
				scenario.faults.Times = &atomic.Int64{}
				scenario.faults.Times.Store(1)
			}
			for _, upstream := range h.runners {
				upstream.SetFaults(scenario.faults)
			}
			got := h.send(ctx, testRequest{method: scenario.method, id: "x", query: "body_bytes=1000", body: "b"})
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(scenario.status))
			Expect(got.outcome).To(Equal(scenario.outcome))
			Expect(h.runCount("x")).To(Equal(scenario.runs))
		})
	}

	It("aborts the caller's connection when a streamed answer is truncated", func() {
		h := newHarness(harnessConfig{runners: 1})
		defer h.close()
		h.runners[0].SetFaults(runner.Faults{CutAfter: 200000})
		got := h.send(ctx, testRequest{method: http.MethodGet, id: "x", query: "body_bytes=300000"})
		Expect(got.err).To(HaveOccurred())
	})

	It("retries any method when a runner refuses the connection, and states not_run when all do", func() {
		const idleTimeout = 10 * time.Millisecond
		h := newHarness(harnessConfig{runners: 2, nonIdempotentIdleTimeout: idleTimeout})
		defer h.close()
		h.runners[0].Close()
		for range 4 {
			got := h.send(ctx, testRequest{method: http.MethodPost, id: "x"})
			Expect(got.outcome).To(Equal(cairnbay.OutcomeDone))
		}
		h.runners[1].Close()
		time.Sleep(3 * idleTimeout)
		got := h.send(ctx, testRequest{method: http.MethodPost, id: "y"})
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(got.outcome).To(Equal(cairnbay.OutcomeNotRun))
	})
})
