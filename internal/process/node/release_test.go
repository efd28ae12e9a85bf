package node

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/process/layout"
	"cairnbay/internal/process/relay"
	"cairnbay/internal/process/sched"
	"cairnbay/internal/process/tenure"
	"cairnbay/internal/process/timer"
	"cairnbay/platform"
)

var _ = Describe("a claim that has ended", func() {
	var (
		n         *Node
		fakeStore *store.Store
		// acquired has the claims, each after its OnAcquired.
		acquired chan tenure.Claim
	)
	BeforeEach(func() {
		clock := timer.New()
		DeferCleanup(clock.Close)
		logger := logrus.New()
		logger.SetOutput(GinkgoWriter)
		fakeStore = store.New(store.Config{Clock: clock})
		n = &Node{ownedShards: make(map[string]*ownedShard), config: Config{
			Clock: clock, Log: logger.WithField("test", true), Lease: time.Second, MaxLease: 4 * time.Second,
			Sched:    sched.Config{Retention: time.Minute},
			Platform: Platform{Store: fakeStore, WorkerPrefix: platform.WorkerPrefix, DecodeWorker: platform.DecodeWorker},
		}}
		n.relay = relay.New(relay.Config{})
		n.advicePool = relay.NewAdvicePool(n.relay, "n", func() map[string]string { return nil })
		acquired = make(chan tenure.Claim, 2)
	})
	start := func(onAcquired, onLost func(claim tenure.Claim)) {
		n.tenure = tenure.New(tenure.Config{
			Store: fakeStore, Log: n.config.Log, Clock: n.config.Clock, BootTime: timer.Boot, Instance: "n", Address: "n:1", Cores: 1,
			LeaseTTL: 10 * time.Second, WatchStallTimeout: time.Second, Classes: func() []string { return []string{"a"} },
			Divide: func(_ context.Context, class string) (layout.Layout, bool) {
				return layout.Layout{Class: class, Shards: 1}, true
			},
			OnAcquired: func(claim tenure.Claim) {
				onAcquired(claim)
				acquired <- claim
			},
			OnLost: onLost,
		})
		DeferCleanup(n.tenure.Close)
	}

	// Guards against a shard without a scheduler: the late release of a former claim closed the
	// drive of the present one.
	It("does not end a later one when it is reported late", func() {
		report, reported := make(chan struct{}), make(chan struct{})
		start(n.acquire, func(claim tenure.Claim) {
			<-report
			n.release(claim)
			close(reported)
		})
		var first, second tenure.Claim
		Eventually(acquired, "5s").Should(Receive(&first))
		former := n.drive("a")
		go n.tenure.Abandon(first)
		Eventually(acquired, "5s").Should(Receive(&second))
		Expect(second.Generation).To(BeNumerically(">", first.Generation))
		current := n.drive("a")
		DeferCleanup(current.Close)
		Expect(current).NotTo(BeIdenticalTo(former))
		close(report)
		Eventually(reported, "5s").Should(BeClosed())
		n.background.Wait()
		Expect(n.drive("a")).To(BeIdenticalTo(current))
	})

	// Guards against an instance that goes on asking its own fenced drive for a shard of
	// another one.
	It("leaves no drive behind when its loss is reported before its acquisition", func() {
		claimed, lost := make(chan struct{}), make(chan struct{})
		start(func(claim tenure.Claim) {
			close(claimed)
			<-lost
			n.acquire(claim)
		}, func(claim tenure.Claim) {
			n.release(claim)
			close(lost)
		})
		Eventually(claimed, "5s").Should(BeClosed())
		successor, err := proto.Marshal(&cairnbayv1.Holding{Instance: "other", Address: "other:1", Generation: 2})
		Expect(err).NotTo(HaveOccurred())
		fakeStore.Force("cairnbay/generation/a", successor)
		fakeStore.Force("cairnbay/live/owner/a", successor)
		Eventually(acquired, "5s").Should(Receive())
		Eventually(func() bool { return n.drive("a") == nil }, "5s").Should(BeTrue())
	})
})
