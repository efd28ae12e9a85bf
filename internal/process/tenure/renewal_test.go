package tenure_test

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"cairnbay/internal/fake/store"
	"cairnbay/internal/process/tenure"
	"cairnbay/internal/process/timer"
)

var _ = Describe("an owner that claims another shard", func() {
	It("keeps the shards that it has, though each call takes most of its time", func() {
		const (
			leaseTTL   = 1400 * time.Millisecond
			slowAnswer = 500 * time.Millisecond
		)
		clock := timer.New()
		DeferCleanup(clock.Close)
		fakeStore := store.New(store.Config{Clock: clock})
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		var lost, claimed atomic.Int32
		start := func(name string, classes ...string) *tenure.Tenure {
			started := tenure.New(tenure.Config{
				Store: fakeStore.For(name), Log: logger.WithField("test", true), Clock: clock, BootTime: timer.Boot,
				Instance: name, Address: name + ":1", Cores: 1, LeaseTTL: leaseTTL, WatchStallTimeout: 2 * time.Second,
				Classes: func() []string { return classes }, Divide: undivided,
				OnAcquired: func(claim tenure.Claim) {
					if name == "owner" && claim.Shard == "b" {
						claimed.Add(1)
					}
				},
				OnLost: func(claim tenure.Claim) {
					if name == "owner" && claim.Shard == "a" {
						lost.Add(1)
					}
				},
			})
			DeferCleanup(started.Close)
			return started
		}
		ownerOf := func(observer *tenure.Tenure, shard string) func() string {
			return func() string {
				owner, _ := observer.Owner(shard)
				return owner.Instance
			}
		}
		leaving := start("leaving", "b")
		Eventually(ownerOf(leaving, "b"), "4s").Should(Equal("leaving"))
		owner := start("owner", "a", "b")
		Eventually(ownerOf(owner, "a"), "4s").Should(Equal("owner"))
		rival := start("rival", "a")
		Eventually(func() int { return len(rival.Nodes()) }, "4s").Should(Equal(3))

		fakeStore.SetSlow(slowAnswer)
		Consistently(ownerOf(rival, "a"), "4s", "10ms").Should(Equal("owner"), "before the claim")
		leaving.Resign(context.Background())
		Eventually(claimed.Load, "4s").Should(BeEquivalentTo(1))
		Consistently(ownerOf(rival, "a"), "3s", "10ms").Should(Equal("owner"), "after the claim")
		Expect(lost.Load()).To(BeZero())
	})
})
