package node

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"cairnbay/internal/fake/store"
	"cairnbay/internal/process/layout"
	"cairnbay/internal/process/relay"
	"cairnbay/internal/process/sched"
	"cairnbay/internal/process/tenure"
	"cairnbay/internal/process/timer"
	"cairnbay/platform"
)

var _ = Describe("a shard that this instance has claimed again", func() {
	// Guards against a shard without a scheduler: the late release of a former claim closed the
	// drive of the present one.
	It("is kept when the loss of the former claim is reported late", func() {
		clock := timer.New()
		DeferCleanup(clock.Close)
		logger := logrus.New()
		logger.SetOutput(GinkgoWriter)
		log := logger.WithField("test", true)
		n := &Node{ownedShards: make(map[string]*ownedShard), config: Config{
			Clock: clock, Log: log, Lease: time.Second, MaxLease: 4 * time.Second, Sched: sched.Config{Retention: time.Minute},
			Platform: Platform{Store: store.New(store.Config{Clock: clock}), WorkerPrefix: platform.WorkerPrefix, DecodeWorker: platform.DecodeWorker},
		}}
		n.relay = relay.New(relay.Config{})
		n.advicePool = relay.NewAdvicePool(n.relay, "n", func() map[string]string { return nil })
		claims := make(chan tenure.Claim, 2)
		report, reported := make(chan struct{}), make(chan struct{})
		n.tenure = tenure.New(tenure.Config{
			Store: n.config.Platform.Store, Log: log, Clock: clock, BootTime: timer.Boot, Instance: "n", Address: "n:1", Cores: 1,
			LeaseTTL: 10 * time.Second, WatchStallTimeout: time.Second, Classes: func() []string { return []string{"a"} },
			Divide: func(_ context.Context, class string) (layout.Layout, bool) {
				return layout.Layout{Class: class, Shards: 1}, true
			},
			OnAcquired: func(claim tenure.Claim) {
				n.acquire(claim)
				claims <- claim
			},
			OnLost: func(claim tenure.Claim) {
				<-report
				n.release(claim)
				close(reported)
			},
		})
		DeferCleanup(n.tenure.Close)
		var first, second tenure.Claim
		Eventually(claims, "5s").Should(Receive(&first))
		former := n.drive("a")
		go n.tenure.Abandon(first)
		Eventually(claims, "5s").Should(Receive(&second))
		Expect(second.Generation).To(BeNumerically(">", first.Generation))
		current := n.drive("a")
		DeferCleanup(current.Close)
		Expect(current).NotTo(BeIdenticalTo(former))
		close(report)
		Eventually(reported, "5s").Should(BeClosed())
		n.background.Wait()
		Expect(n.drive("a")).To(BeIdenticalTo(current))
	})
})
