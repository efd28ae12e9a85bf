package tenure_test

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"cairnbay"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/process/tenure"
	"cairnbay/internal/process/timer"
)

// heldReads holds up the reads of generation keys, with which claims begin.
type heldReads struct {
	cairnbay.BatchStore
	begun, release chan struct{}
}

func (h *heldReads) Get(ctx context.Context, key string) (cairnbay.Entry, error) {
	if strings.HasPrefix(key, "cairnbay/generation/") {
		select {
		case h.begun <- struct{}{}:
		default:
		}
		<-h.release
	}
	return h.BatchStore.Get(ctx, key)
}

var _ = Describe("an instance that resigns while it claims a shard", func() {
	It("leaves no owner key behind that never lapses", func() {
		const leaseTTL = 1400 * time.Millisecond
		clock := timer.New()
		DeferCleanup(clock.Close)
		fakeStore := store.New(store.Config{Clock: clock})
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		start := func(name string, callerStore cairnbay.BatchStore) *tenure.Tenure {
			return tenure.New(tenure.Config{
				Store: callerStore, Log: logger.WithField("test", true), Clock: clock, BootTime: timer.Boot,
				Instance: name, Address: name + ":1", Cores: 1, LeaseTTL: leaseTTL, WatchStallTimeout: 2 * time.Second,
				Classes: func() []string { return []string{"a"} }, Divide: undivided,
				OnAcquired: func(tenure.Claim) {}, OnLost: func(tenure.Claim) {},
			})
		}
		held := &heldReads{fakeStore.For("leaving"), make(chan struct{}, 1), make(chan struct{})}
		leaving := start("leaving", held)
		Eventually(held.begun, "4s").Should(Receive())
		leaving.Resign(context.Background())
		close(held.release)
		time.Sleep(200 * time.Millisecond)
		leaving.Close()

		next := start("next", fakeStore.For("next"))
		DeferCleanup(next.Close)
		Eventually(func() string {
			owner, _ := next.Owner("a")
			return owner.Instance
		}, "6s").Should(Equal("next"))
	})
})

// heldRenewals holds up the renewals of leases once armed.
type heldRenewals struct {
	cairnbay.BatchStore
	armed          atomic.Bool
	begun, release chan struct{}
}

func (h *heldRenewals) Renew(ctx context.Context, lease cairnbay.LeaseID) error {
	if h.armed.Load() {
		select {
		case h.begun <- struct{}{}:
		default:
		}
		<-h.release
	}
	return h.BatchStore.Renew(ctx, lease)
}

var _ = Describe("an instance that resigns while it renews its lease", func() {
	It("does not register again", func() {
		clock := timer.New()
		DeferCleanup(clock.Close)
		fakeStore := store.New(store.Config{Clock: clock})
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		held := &heldRenewals{BatchStore: fakeStore.For("leaving"), begun: make(chan struct{}, 1), release: make(chan struct{})}
		leaving := tenure.New(tenure.Config{
			Store: held, Log: logger.WithField("test", true), Clock: clock, BootTime: timer.Boot,
			Instance: "leaving", Address: "leaving:1", Cores: 1, LeaseTTL: 1400 * time.Millisecond, WatchStallTimeout: 2 * time.Second,
			Classes: func() []string { return nil }, Divide: undivided,
			OnAcquired: func(tenure.Claim) {}, OnLost: func(tenure.Claim) {},
		})
		DeferCleanup(leaving.Close)
		Eventually(func() int { return len(leaving.Nodes()) }, "4s").Should(Equal(1))
		held.armed.Store(true)
		Eventually(held.begun, "4s").Should(Receive())
		leaving.Resign(context.Background())
		Eventually(func() int { return len(leaving.Nodes()) }, "4s").Should(BeZero())
		held.armed.Store(false)
		close(held.release)
		Consistently(func() int { return len(leaving.Nodes()) }, "600ms", "10ms").Should(BeZero())
	})
})
