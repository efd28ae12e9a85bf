package route_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
)

// A silent connection stays open, but its bytes are dropped in one or both directions.
var _ = Describe("Silent connections", func() {
	ctx := context.Background()
	const maxIdle = 50 * time.Millisecond
	request := cairnbay.Request{IdleTimeout: 150 * time.Millisecond, Timeout: 400 * time.Millisecond}

	type scenario struct {
		name                   string
		dropReceived, dropSent bool
	}
	scenarios := []scenario{
		{name: "towards the upstream", dropReceived: true},
		{name: "from the upstream", dropSent: true},
		{name: "both ways", dropReceived: true, dropSent: true},
	}
	for _, scenario := range scenarios {
		It("sends no request on a silent connection that was idle for longer than the idle timeout: "+scenario.name, func() {
			h := newHarness(harnessConfig{runners: 1, request: request, nonIdempotentIdleTimeout: maxIdle})
			defer h.close()
			for i := range 6 {
				Expect(h.send(ctx, testRequest{method: http.MethodPost, id: fmt.Sprint("warm", i)}).outcome).To(Equal(cairnbay.OutcomeDone))
			}
			Expect(h.runners[0].Silence(scenario.dropReceived, scenario.dropSent)).To(BeNumerically(">", 0))
			time.Sleep(2 * maxIdle)
			for i := range 6 {
				got := h.send(ctx, testRequest{method: http.MethodPost, id: fmt.Sprint("after", i)})
				Expect(got.outcome).To(Equal(cairnbay.OutcomeDone))
			}
		})

		It("answers idempotent requests, and replaces all connections after the first timeout: "+scenario.name, func() {
			h := newHarness(harnessConfig{runners: 1, request: request})
			defer h.close()
			Expect(h.send(ctx, testRequest{method: http.MethodGet, id: "warm"}).outcome).To(Equal(cairnbay.OutcomeDone))
			h.runners[0].Silence(scenario.dropReceived, scenario.dropSent)
			Expect(h.send(ctx, testRequest{method: http.MethodGet, id: "first"}).outcome).To(Equal(cairnbay.OutcomeDone))
			for i := range 5 {
				got := h.send(ctx, testRequest{method: http.MethodPost, id: fmt.Sprint("next", i)})
				Expect(got.outcome).To(Equal(cairnbay.OutcomeDone))
			}
		})

		It("states unknown when a recently used connection goes silent: "+scenario.name, func() {
			h := newHarness(harnessConfig{runners: 1, request: request})
			defer h.close()
			Expect(h.send(ctx, testRequest{method: http.MethodPost, id: "warm"}).outcome).To(Equal(cairnbay.OutcomeDone))
			h.runners[0].Silence(scenario.dropReceived, scenario.dropSent)
			got := h.send(ctx, testRequest{method: http.MethodPost, id: "lost"})
			Expect(got.status).To(Equal(http.StatusGatewayTimeout))
			Expect(got.outcome).To(Equal(cairnbay.OutcomeUnknown))
			Expect(h.send(ctx, testRequest{method: http.MethodPost, id: "next"}).outcome).To(Equal(cairnbay.OutcomeDone))
		})
	}

	It("cancels an upload that the upstream does not receive, at the deadline", func() {
		h := newHarness(harnessConfig{runners: 1, request: request})
		defer h.close()
		Expect(h.send(ctx, testRequest{method: http.MethodPost, id: "warm"}).outcome).To(Equal(cairnbay.OutcomeDone))
		h.runners[0].Silence(true, false)
		got := h.send(ctx, testRequest{method: http.MethodPost, id: "lost", body: string(make([]byte, 7<<20))})
		Expect(got.outcome).To(Equal(cairnbay.OutcomeUnknown))
	})
})

var _ = Describe("Streamed answers", func() {
	ctx := context.Background()

	It("forward each part as it arrives, also after the deadline", func() {
		h := newHarness(harnessConfig{runners: 1, request: cairnbay.Request{Timeout: 200 * time.Millisecond}})
		defer h.close()
		response, err := h.client.Get(h.server.URL + "/" + service + "/listen?chunks=6&chunk_ms=80")
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		lines := bufio.NewScanner(response.Body)
		Expect(lines.Scan()).To(BeTrue())
		Expect(h.table.Totals(service).Used).To(Equal(1), "the first part arrived before the end of the answer")
		count := 1
		for lines.Scan() {
			count++
		}
		Expect(lines.Err()).NotTo(HaveOccurred())
		Expect(count).To(Equal(6))
		Eventually(func() int { return h.table.Totals(service).Used }).Should(BeZero())
	})

	It("use no slot when the settings exclude them", func() {
		h := newHarness(harnessConfig{runners: 1, request: cairnbay.Request{StreamsOutsideSlots: true}})
		defer h.close()
		response, err := h.client.Get(h.server.URL + "/" + service + "/listen?chunks=4&chunk_ms=80")
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(h.table.Totals(service).Used).To(BeZero())
	})

	It("end after the idle timeout, and abort the caller's connection", func() {
		h := newHarness(harnessConfig{runners: 1, request: cairnbay.Request{IdleTimeout: 100 * time.Millisecond}})
		defer h.close()
		got := h.send(ctx, testRequest{method: http.MethodGet, id: "x", query: "chunks=3&chunk_ms=2000"})
		Expect(got.err).To(HaveOccurred())
	})
})

var _ = Describe("Data centres", func() {
	ctx := context.Background()

	// twoDataCentres returns harnesses in two data centres; the first has no runners.
	twoDataCentres := func(runners int) (*harness, *harness) {
		local := newHarness(harnessConfig{dataCentre: "tallinn-a"})
		remote := newHarness(harnessConfig{dataCentre: "maardu", runners: runners})
		local.members.add(cairnbay.Member{ID: remote.self, DataCentre: "maardu", CallerAddress: remote.server.Listener.Addr().String()})
		remote.members.add(cairnbay.Member{ID: local.self, DataCentre: "tallinn-a", CallerAddress: local.server.Listener.Addr().String()})
		return local, remote
	}

	It("forwards when there is no local upstream, and returns the remote outcome", func() {
		local, remote := twoDataCentres(1)
		defer remote.close()
		defer local.close()
		got := local.send(ctx, testRequest{method: http.MethodPost, id: "x"})
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.outcome).To(Equal(cairnbay.OutcomeDone))
		remote.runners[0].Close()
		got = local.send(ctx, testRequest{method: http.MethodPost, id: "y"})
		Expect(got.outcome).To(Equal(cairnbay.OutcomeNotRun))
	})

	It("forwards at most once", func() {
		local, remote := twoDataCentres(0)
		defer remote.close()
		defer local.close()
		got := local.send(ctx, testRequest{method: http.MethodPost, id: "x"})
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.outcome).To(Equal(cairnbay.OutcomeNotRun))
	})

	It("states not_run when the other data centre cannot be reached", func() {
		local, remote := twoDataCentres(1)
		remote.close()
		defer local.close()
		got := local.send(ctx, testRequest{method: http.MethodPost, id: "x"})
		Expect(got.outcome).To(Equal(cairnbay.OutcomeNotRun))
	})
})
