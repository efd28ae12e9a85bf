package lister_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
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

			fake.Set(cairnbay.Instance{ID: "b", Kind: cairnbay.InstanceWorker, Address: "10.0.0.2:7000"})
			fake.Set(cairnbay.Instance{ID: "a", Kind: cairnbay.InstanceEntry, Address: "10.0.0.1:7000", Leaving: true})
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

var _ = Describe("a list with a malformed row of another writer", func() {
	const good = `{"id":"a","kind":"worker","data_centre":"d","address":"10.0.0.1:7000","capacity":{"milli_cpu":4000}}`
	nested := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)

	DescribeTable("is followed, and the instance of the row stays as it was",
		func(ctx context.Context, odd string) {
			text := `{"instances":[` + good + `,` + strings.Replace(good, `"a"`, `"b"`, 1) + `]}`
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = writer.Write([]byte(text))
			}))
			defer server.Close()
			tested := lister.New(lister.Config{URL: server.URL, Client: http.DefaultClient})
			before, err := tested.List(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(before.Instances).To(HaveLen(2))

			text = `{"instances":[` + odd + `, ` + strings.Replace(good, `"a"`, `"c"`, 1) + `,` + good + `],"at":1}`
			after, err := tested.List(ctx)
			Expect(err).NotTo(HaveOccurred())
			byID := make(map[string]cairnbay.Instance)
			for _, instance := range after.Instances {
				byID[instance.ID] = instance
			}
			Expect(byID).To(HaveLen(3))
			Expect(byID["b"]).To(Equal(before.Instances[1]))
		},
		Entry("nested deeply", `{"id":"b","address":"10.0.0.1:7000","extra":`+nested+`}`),
		Entry("nested deeply in a field that is read", `{"address":`+nested+`,"id":"b"}`),
		Entry("a number too large", `{"id":"b","address":"10.0.0.1:7000","slots":1e400}`),
		Entry("more than 64 bits", `{"id":"b","address":"10.0.0.1:7000","capacity":{"milli_cpu":9223372036854775808}}`),
		Entry("the largest 64-bit number", `{"id":"b","address":"10.0.0.1:7000","capacity":{"memory_mb":9223372036854775807}}`),
		Entry("a negative number", `{"id":"b","address":"10.0.0.1:7000","connections":-1}`),
		Entry("a port out of range", `{"id":"b","address":"10.0.0.1:70000"}`),
		Entry("no port", `{"id":"b","address":"10.0.0.1"}`),
		Entry("a row that is no object, beside one without an address", `17,[{"id":"b"}],{"id":"b"}`),
	)
})
