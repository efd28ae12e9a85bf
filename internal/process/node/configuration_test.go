package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"cairnbay"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
	"cairnbay/internal/process/pull"
)

var _ = Describe("the adoption of configurations", func() {
	// Guards against an older version that replaces a newer one when the store and
	// another instance report versions at the same time.
	It("never goes back, whatever the source and the order", func() {
		n := &Node{config: Config{Log: logrus.NewEntry(&logrus.Logger{}), Platform: Platform{
			RoutingKey: "config",
			DecodeRouting: func(value []byte) (cairnbay.Routing, error) {
				version, err := strconv.ParseUint(string(value), 10, 64)
				return cairnbay.Routing{Version: version, KeysRequired: true}, err
			},
			DigestKeys: func(value []byte) ([]byte, error) { return value, nil },
		}}}
		const versions = 400
		var sources sync.WaitGroup
		for source := range 4 {
			sources.Go(func() {
				defer GinkgoRecover()
				last := uint64(0)
				for step := range versions {
					// The sources go up in other orders, each now and then back.
					version := []byte(strconv.Itoa(max(step-step*(source+3)%7, 0) + 1))
					if source == 0 {
						n.applyRouting([]cairnbay.Event{{Kind: cairnbay.EventPut, Entry: cairnbay.Entry{Key: "config", Value: version}}})
					} else {
						n.adoptPulled(version)
					}
					current := n.routing.Load().Version
					Expect(current).To(BeNumerically(">=", last))
					last = current
				}
			})
		}
		sources.Wait()
		version, value := n.currentRouting()
		Expect(version).To(Equal(n.routing.Load().Version))
		Expect(string(value)).To(Equal(strconv.FormatUint(version, 10)))
		n.adoptPulled([]byte("not a number"))
		n.adoptPulled([]byte("3"))
		Expect(n.routing.Load().Version).To(Equal(version))
	})

	// Guards against a configuration without tenants that makes instances unready or
	// callers wait, and against an old version of the keys that nobody notices.
	It("matters for readiness and for callers' waits only where keys are required", func() {
		n := &Node{}
		boot := atomic.Int64{}
		boot.Store(int64(time.Hour))
		silent := httptest.NewServer(http.NotFoundHandler())
		DeferCleanup(silent.Close)
		n.puller = pull.New(pull.Config{
			Current: n.currentRouting, Adopt: n.adoptPulled,
			Peers: func() map[string]string { return map[string]string{"other": silent.URL} },
			Client: func(address string) cairnbayv1connect.RelayClient {
				return cairnbayv1connect.NewRelayClient(silent.Client(), address)
			},
			BootTime: func() time.Duration { return time.Duration(boot.Load()) },
			Log:      logrus.NewEntry(&logrus.Logger{}), Metrics: metrics.NewSet(),
		})
		n.puller.Confirm(time.Hour)
		boot.Add(int64(pull.MaxAge + time.Second))
		Expect(n.outOfDate()).To(BeFalse(), "no configuration")
		for _, required := range []bool{false, true} {
			n.routing.Store(&cairnbay.Routing{Version: 1, KeysRequired: required})
			n.puller.Round(context.Background())
			Expect(n.outOfDate()).To(Equal(required))
		}
		n.routing.Store(&cairnbay.Routing{Version: 2})
		boot.Add(int64(time.Minute))
		startedAt := time.Now()
		n.awaitFresh(context.Background())
		Expect(time.Since(startedAt)).To(BeNumerically("<", 100*time.Millisecond))
	})
})
