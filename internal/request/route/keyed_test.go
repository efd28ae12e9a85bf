package route_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"cairnbay"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
	"cairnbay/internal/fake/runner"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/process/keys"
	"cairnbay/internal/request/dedup"
	"cairnbay/internal/request/route"
)

// lazyKeys is set after the harness is created, because the keys need its clock.
type lazyKeys struct{ route.Keys }

var _ = Describe("Idempotency keys", func() {
	ctx := context.Background()
	var h *harness
	var keyStore *store.Store
	var localKeys *keys.Keys

	BeforeEach(func() {
		lazy := &lazyKeys{}
		h = newHarness(harnessConfig{runners: 2, keys: lazy, request: cairnbay.Request{Timeout: time.Second}})
		log := logrus.New()
		log.SetOutput(io.Discard)
		keyStore = store.New(store.Config{Clock: h.clock})
		localKeys = keys.New(keys.Config{Life: 1, Clock: h.clock, Store: keyStore, Log: logrus.NewEntry(log)})
		lazy.Keys = dedup.New(dedup.Config{
			Self: h.self, Members: h.members, Local: localKeys, Log: logrus.NewEntry(log),
			Peer: func(string) (cairnbayv1connect.MemberServiceClient, bool) { return nil, false },
		})
		DeferCleanup(func() {
			localKeys.Close()
			h.close()
		})
	})

	post := func(id, body string) reply {
		return h.send(ctx, testRequest{
			method: http.MethodPost, id: id, query: "work_ms=20", body: body,
			header: map[string]string{cairnbay.KeyHeader: "notice-1"},
		})
	}
	runs := func() int {
		count := 0
		for _, upstream := range h.runners {
			count += len(upstream.Records())
		}
		return count
	}

	It("runs a request with a key once, and answers repeated requests with its answer", func() {
		var group sync.WaitGroup
		for range 5 {
			group.Go(func() {
				defer GinkgoRecover()
				got := post("a", "notice")
				Expect(got.outcome).To(Equal(cairnbay.OutcomeDone))
				Expect(got.body).To(Equal(runner.Body("a", 0)))
			})
		}
		group.Wait()
		Expect(post("b", "notice").body).To(Equal(runner.Body("a", 0)))
		Expect(runs()).To(Equal(1))
	})

	It("refuses a key that was used with another body", func() {
		Expect(post("a", "notice").outcome).To(Equal(cairnbay.OutcomeDone))
		got := post("b", "another notice")
		Expect(got.status).To(Equal(http.StatusUnprocessableEntity))
		Expect(got.outcome).To(Equal(cairnbay.OutcomeNotRun))
	})

	It("does not run a request again that may have run", func() {
		for _, upstream := range h.runners {
			upstream.SetFaults(runner.Faults{CutBeforeHeaders: true})
		}
		Expect(post("a", "notice").outcome).To(Equal(cairnbay.OutcomeUnknown))
		for _, upstream := range h.runners {
			upstream.SetFaults(runner.Faults{})
		}
		got := post("b", "notice")
		Expect(got.status).To(Equal(http.StatusConflict))
		Expect(got.outcome).To(Equal(cairnbay.OutcomeUnknown))
		Expect(runs()).To(Equal(1))
	})

	It("runs no request while the store cannot confirm its claim", func() {
		keyStore.SetDown(true)
		got := post("a", "notice")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.outcome).To(Equal(cairnbay.OutcomeNotRun))
		keyStore.SetDown(false)
		Expect(post("b", "notice").outcome).To(Equal(cairnbay.OutcomeDone))
		Expect(runs()).To(Equal(1))
	})
})
