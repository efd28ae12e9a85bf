package route_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/request/route"
)

// waitUntilRunning waits until a runner has started the request.
func (h *harness) waitUntilRunning(id string) {
	Eventually(func() int { return h.runCount(id) }).Should(Equal(1))
}

var _ = Describe("Planned stops", func() {
	ctx := context.Background()

	// sendAsync sends the request in the background.
	sendAsync := func(h *harness, request testRequest) chan reply {
		replies := make(chan reply, 1)
		go func() { replies <- h.send(ctx, request) }()
		return replies
	}

	It("sends no new requests to a leaving upstream, and returns the answers of running ones", func() {
		h := newHarness(harnessConfig{runners: 1})
		defer h.close()
		long := sendAsync(h, testRequest{method: http.MethodPost, id: "long", query: "work_ms=400"})
		h.waitUntilRunning("long")
		h.runners[0].SetLeaving(true)
		got := h.send(ctx, testRequest{method: http.MethodPost, id: "refused"})
		Expect(got.outcome).To(Equal(cairnbay.OutcomeNotRun))
		got = h.send(ctx, testRequest{method: http.MethodPost, id: "later"})
		Expect(got.outcome).To(Equal(cairnbay.OutcomeNotRun))
		Expect(got.header.Get("Retry-After")).To(Equal("1"))
		Expect((<-long).outcome).To(Equal(cairnbay.OutcomeDone))
		afterLeaving := 0
		for _, record := range h.runners[0].Records() {
			if record.AfterLeaving > 0 {
				afterLeaving++
			}
		}
		Expect(afterLeaving).To(Equal(1), "only the request that the upstream refused with LeavingHeader")
	})

	It("sends no requests to an upstream that the list shows as leaving", func() {
		h := newHarness(harnessConfig{runners: 2})
		defer h.close()
		h.listMu.Lock()
		h.list = append([]cairnbay.Instance(nil), h.list...)
		h.list[0].Leaving = true
		h.listMu.Unlock()
		Eventually(func() int { return h.table.Totals(service).Upstreams }).Should(Equal(1))
		for i := range 20 {
			got := h.send(ctx, testRequest{method: http.MethodPost, id: fmt.Sprint(i)})
			Expect(got.outcome).To(Equal(cairnbay.OutcomeDone))
		}
		Expect(h.runners[0].Records()).To(BeEmpty())
	})

	It("finishes running requests and refuses new ones", func() {
		h := newHarness(harnessConfig{runners: 1})
		defer h.close()
		long := sendAsync(h, testRequest{method: http.MethodPost, id: "long", query: "work_ms=300"})
		h.waitUntilRunning("long")
		drained := make(chan error, 1)
		go func() { drained <- h.router.Drain(ctx) }()
		Eventually(func() string {
			return string(h.send(ctx, testRequest{method: http.MethodGet, id: "new"}).outcome)
		}).Should(Equal("not_run"))
		Expect((<-long).outcome).To(Equal(cairnbay.OutcomeDone))
		Expect(<-drained).To(Succeed())
	})

	It("lists the requests that it cancels when the context ends", func() {
		h := newHarness(harnessConfig{runners: 1})
		defer h.close()
		long := sendAsync(h, testRequest{method: http.MethodPost, id: "long", query: "work_ms=5000"})
		h.waitUntilRunning("long")
		limited, cancel := context.WithCancel(ctx)
		cancel()
		err := h.router.Drain(limited)
		var cut *route.CutError
		Expect(errors.As(err, &cut)).To(BeTrue())
		Expect(cut.Requests).To(Equal([]string{"long"}))
		Expect((<-long).outcome).To(Equal(cairnbay.OutcomeUnknown))
		Expect(h.recorder.exceptions).To(ContainElement(HaveField("Name", "request_cut_by_stop")))
	})

	It("cancels no request in a rolling replacement of seven instances under load", func() {
		first := newHarness(harnessConfig{runners: 4, peaksOnly: true, request: cairnbay.Request{SlotGrants: "equal"}})
		defer first.close()
		// The load balancer tracks the requests in flight to each instance, and sends
		// none to an instance that is no longer ready.
		var mu sync.Mutex
		var ready []*harness
		sent := map[*harness]int{}
		for i := range 7 {
			ready = append(ready, newHarness(harnessConfig{self: fmt.Sprintf("entry-%d", i), peer: first, request: cairnbay.Request{SlotGrants: "equal"}}))
		}
		pick := func(i int) *harness {
			mu.Lock()
			defer mu.Unlock()
			entry := ready[i%len(ready)]
			sent[entry]++
			return entry
		}
		finish := func(entry *harness) {
			mu.Lock()
			defer mu.Unlock()
			sent[entry]--
		}
		inFlight := func(entry *harness) int {
			mu.Lock()
			defer mu.Unlock()
			return sent[entry]
		}
		var stop atomic.Bool
		var requests, failures atomic.Int64
		var group sync.WaitGroup
		for worker := range 8 {
			group.Go(func() {
				for i := worker; !stop.Load(); i += 8 {
					entry := pick(i)
					got := entry.send(ctx, testRequest{method: http.MethodPost, id: fmt.Sprint(i), query: "work_ms=5"})
					finish(entry)
					requests.Add(1)
					if got.err != nil || got.outcome == cairnbay.OutcomeUnknown {
						failures.Add(1)
						GinkgoWriter.Println(got.err, got.status, got.body)
					}
				}
			})
		}
		for i := range 7 {
			replacement := newHarness(harnessConfig{self: fmt.Sprintf("entry-new-%d", i), peer: first, request: cairnbay.Request{SlotGrants: "equal"}})
			mu.Lock()
			old := ready[0]
			ready = append(ready[1:], replacement)
			mu.Unlock()
			old.router.Leave()
			Eventually(func() int { return inFlight(old) }).Should(BeZero())
			Expect(old.router.Drain(ctx)).To(Succeed())
			old.client.CloseIdleConnections()
			Expect(old.server.Config.Shutdown(ctx)).To(Succeed())
			old.close()
			time.Sleep(50 * time.Millisecond)
		}
		stop.Store(true)
		group.Wait()
		for _, entry := range ready {
			entry.close()
		}
		GinkgoWriter.Println("requests", requests.Load())
		Expect(requests.Load()).To(BeNumerically(">", 100))
		Expect(failures.Load()).To(BeZero())
	})
})
