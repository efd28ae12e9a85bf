package lister_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/fake/clock"
	fakelister "cairnbay/internal/fake/lister"
	"cairnbay/internal/platform/lister"
)

func TestLister(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lister")
}

const lag = 3 * time.Second

// scenarios are the ways to call the fake lister; each must satisfy the contract.
var scenarios = map[string]func(fake *fakelister.Lister) (cairnbay.Lister, func()){
	"in process": func(fake *fakelister.Lister) (cairnbay.Lister, func()) {
		return fake, func() {}
	},
	"over HTTP": func(fake *fakelister.Lister) (cairnbay.Lister, func()) {
		server := httptest.NewServer(fake.Handler())
		return lister.New(lister.Config{URL: server.URL, Client: http.DefaultClient}), server.Close
	},
}

var _ = Describe("the contract of cairnbay.Lister", func() {
	for name, connect := range scenarios {
		It("applies the lag of the platform, omits forgotten instances and fails while down, "+name, func(ctx context.Context) {
			fakeClock := clock.New()
			fake := fakelister.New(fakelister.Config{Clock: fakeClock, Lag: lag})
			tested, stop := connect(fake)
			defer stop()
			ids := func() []string {
				snapshot, err := tested.List(ctx)
				Expect(err).NotTo(HaveOccurred())
				var listed []string
				for _, instance := range snapshot.Instances {
					listed = append(listed, instance.ID)
				}
				return listed
			}

			fake.Set(cairnbay.Instance{ID: "b", Kind: cairnbay.InstanceWorker})
			fake.Set(cairnbay.Instance{ID: "a", Kind: cairnbay.InstanceEntry, Leaving: true})
			Expect(ids()).To(BeEmpty())
			fakeClock.Advance(lag)
			Expect(ids()).To(Equal([]string{"a", "b"}))
			Expect(ids()).To(Equal([]string{"a", "b"}))

			fake.SetForgotten("a", true)
			Expect(ids()).To(Equal([]string{"b"}))
			fake.SetForgotten("a", false)
			fake.Remove("b")
			Expect(ids()).To(Equal([]string{"a", "b"}))
			fakeClock.Advance(lag)
			Expect(ids()).To(Equal([]string{"a"}))

			fake.SetDown(true)
			_, err := tested.List(ctx)
			Expect(err).To(MatchError(cairnbay.ErrUnavailable))
		})
	}
})
