package tenure_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"cairnbay"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/process/layout"
	"cairnbay/internal/process/tenure"
	"cairnbay/internal/process/timer"
)

func TestTenure(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tenure")
}

// testInstance is a Tenure with the claims reported by its callbacks.
type testInstance struct {
	*tenure.Tenure
	mu     sync.Mutex
	claims map[string]tenure.Claim
	// acquired holds every claim reported to OnAcquired.
	acquired []tenure.Claim
}

func (i *testInstance) claim(shard string) (tenure.Claim, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	claim, ok := i.claims[shard]
	return claim, ok
}

func (i *testInstance) owns(shard string) func() bool {
	return func() bool {
		_, ok := i.claim(shard)
		return ok
	}
}

// undivided gives a class one shard.
func undivided(_ context.Context, class string) (layout.Layout, bool) {
	return layout.Layout{Class: class, Shards: 1}, true
}

var _ = Describe("owners of shards", func() {
	const leaseTTL = 600 * time.Millisecond
	var (
		fakeStore *store.Store
		clock     *timer.Service
		log       *logrus.Entry
	)
	BeforeEach(func() {
		clock = timer.New()
		DeferCleanup(clock.Close)
		fakeStore = store.New(store.Config{Clock: clock})
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		log = logger.WithField("test", true)
	})
	startOn := func(ownStore cairnbay.BatchStore, name string, cores float64, classes ...string) *testInstance {
		started := &testInstance{claims: make(map[string]tenure.Claim)}
		started.Tenure = tenure.New(tenure.Config{
			Store: ownStore, Log: log, Clock: clock, BootTime: timer.Boot,
			Instance: name, Address: name + ":1", Cores: cores, LeaseTTL: leaseTTL, WatchStallTimeout: time.Second,
			Classes: func() []string { return classes },
			Divide:  undivided,
			OnAcquired: func(claim tenure.Claim) {
				started.mu.Lock()
				defer started.mu.Unlock()
				started.claims[claim.Shard] = claim
				started.acquired = append(started.acquired, claim)
			},
			OnLost: func(claim tenure.Claim) {
				started.mu.Lock()
				defer started.mu.Unlock()
				delete(started.claims, claim.Shard)
			},
		})
		return started
	}
	start := func(name string, cores float64, classes ...string) *testInstance {
		return startOn(fakeStore.For(name), name, cores, classes...)
	}

	It("are the instances with the most cores, one shard each", func() {
		weak := start("weak", 0.2, "a", "b")
		strong := start("strong", 0.8, "a", "b")
		DeferCleanup(weak.Close)
		DeferCleanup(strong.Close)
		Eventually(func() int {
			count := 0
			for _, shard := range []string{"a", "b"} {
				if strong.owns(shard)() {
					count++
				}
			}
			return count
		}, "4s").Should(Equal(1))
		Eventually(func() bool { return weak.owns("a")() || weak.owns("b")() }, "4s").Should(BeTrue())
	})

	It("succeed each other with higher tokens and generations", func() {
		first := start("first", 1, "a")
		Eventually(first.owns("a"), "4s").Should(BeTrue())
		before, _ := first.claim("a")
		second := start("second", 1, "a")
		DeferCleanup(second.Close)
		first.Close()
		Eventually(second.owns("a"), "5s").Should(BeTrue())
		after, _ := second.claim("a")
		Expect(after.Token).To(BeNumerically(">", before.Token))
		Expect(after.Generation).To(Equal(before.Generation + 1))
	})

	It("are replaced without delay when they resign", func() {
		first := start("first", 1, "a")
		DeferCleanup(first.Close)
		Eventually(first.owns("a"), "4s").Should(BeTrue())
		second := start("second", 1, "a")
		DeferCleanup(second.Close)
		time.Sleep(300 * time.Millisecond)
		startedAt := time.Now()
		first.Resign(context.Background())
		Expect(first.owns("a")()).To(BeFalse())
		Eventually(second.owns("a"), "4s").Should(BeTrue())
		Expect(time.Since(startedAt)).To(BeNumerically("<", 500*time.Millisecond))
		Consistently(first.owns("a"), "300ms").Should(BeFalse())
	})

	It("are not the first to return after an outage that outlasted the leases", func() {
		strong := start("strong", 0.8, "a")
		DeferCleanup(strong.Close)
		weak := start("weak", 0.2, "a")
		DeferCleanup(weak.Close)
		Eventually(strong.owns("a"), "4s").Should(BeTrue())
		Eventually(func() int { return len(weak.Nodes()) }, "2s").Should(Equal(2))
		// The strong instance is out of reach of the store a little longer, in which
		// the keys of both lapse.
		fakeStore.SetCut("strong", true)
		fakeStore.SetCut("weak", true)
		time.Sleep(2 * leaseTTL)
		fakeStore.SetCut("weak", false)
		Eventually(func() int { return len(weak.Nodes()) }, "2s", "5ms").Should(Equal(1))
		Consistently(weak.owns("a"), "150ms").Should(BeFalse())
		fakeStore.SetCut("strong", false)
		Eventually(func() string {
			owner, _ := weak.Owner("a")
			return owner.Instance
		}, "4s").Should(Equal("strong"))
		Expect(weak.owns("a")()).To(BeFalse())
	})

	It("are not claimed by an instance that does not know yet that its lease has lapsed", func() {
		strong := start("strong", 0.8, "a")
		DeferCleanup(strong.Close)
		Eventually(strong.owns("a"), "4s").Should(BeTrue())
		renewals := &heldRenewals{BatchStore: fakeStore.For("weak"), begun: make(chan struct{}, 1), release: make(chan struct{})}
		claims := &heldReads{renewals, make(chan struct{}, 1), make(chan struct{})}
		weak := startOn(claims, "weak", 0.2, "a")
		DeferCleanup(weak.Close)
		DeferCleanup(func() {
			close(renewals.release)
			close(claims.release)
		})
		Eventually(func() int { return len(weak.Nodes()) }, "2s").Should(Equal(2))
		renewals.armed.Store(true)
		fakeStore.SetCut("strong", true)
		fakeStore.SetCut("weak", true)
		time.Sleep(2 * leaseTTL)
		fakeStore.SetCut("weak", false)
		Eventually(func() int { return len(weak.Nodes()) }, "4s", "5ms").Should(BeZero())
		Consistently(claims.begun, "300ms").ShouldNot(Receive())
	})

	It("claim a shard in a store that takes most of the time of a call", func() {
		const slowAnswer = 400 * time.Millisecond
		claimed := make(chan tenure.Claim, 10)
		claimant := tenure.New(tenure.Config{
			Store: fakeStore.For("slow"), Log: log, Clock: clock, BootTime: timer.Boot,
			Instance: "slow", Address: "slow:1", Cores: 1, LeaseTTL: 1400 * time.Millisecond, WatchStallTimeout: 2 * time.Second,
			Classes:    func() []string { return []string{"a"} },
			Divide:     undivided,
			OnAcquired: func(claim tenure.Claim) { claimed <- claim },
			OnLost:     func(tenure.Claim) {},
		})
		DeferCleanup(claimant.Close)
		fakeStore.SetSlow(slowAnswer)
		var claim tenure.Claim
		Eventually(claimed, "6s").Should(Receive(&claim))
		// A claim that was given up and carried out later takes a generation.
		Expect(claim.Generation).To(Equal(uint64(1)))
	})

	It("claim again after a restart without waiting for their former lease", func() {
		first := start("first", 1, "a")
		Eventually(first.owns("a"), "4s").Should(BeTrue())
		before, _ := first.claim("a")
		first.Close()
		startedAt := time.Now()
		restarted := start("first", 1, "a")
		DeferCleanup(restarted.Close)
		Eventually(restarted.owns("a"), "4s").Should(BeTrue())
		Expect(time.Since(startedAt)).To(BeNumerically("<", leaseTTL))
		after, _ := restarted.claim("a")
		Expect(after.Generation).To(Equal(before.Generation + 1))
	})

	It("are replaced when only they cannot reach the store, and lose their claim", func() {
		first := start("first", 1, "a")
		DeferCleanup(first.Close)
		Eventually(first.owns("a"), "4s").Should(BeTrue())
		second := start("second", 1, "a")
		DeferCleanup(second.Close)
		time.Sleep(300 * time.Millisecond)
		fakeStore.SetCut("first", true)
		Eventually(second.owns("a"), "5s").Should(BeTrue())
		fakeStore.SetCut("first", false)
		Eventually(first.owns("a"), "5s").Should(BeFalse())
	})

	It("restore deleted keys without a new claim", func() {
		first := start("first", 1, "a")
		DeferCleanup(first.Close)
		Eventually(first.owns("a"), "4s").Should(BeTrue())
		time.Sleep(600 * time.Millisecond)
		fakeStore.Drop("cairnbay/live/owner/a", "cairnbay/live/node/first")
		Eventually(func() bool {
			_, err := fakeStore.Get(context.Background(), "cairnbay/live/owner/a")
			return err == nil
		}, "3s").Should(BeTrue())
		Expect(first.owns("a")()).To(BeTrue())
		Expect(first.acquired).To(HaveLen(1))
	})

	It("are never two when the answer to a claim is lost", func() {
		fakeStore.LoseAnswers(3)
		first := start("first", 1, "a")
		DeferCleanup(first.Close)
		second := start("second", 1, "a")
		DeferCleanup(second.Close)
		Eventually(func() bool { return first.owns("a")() || second.owns("a")() }, "6s").Should(BeTrue())
		Consistently(func() bool { return first.owns("a")() && second.owns("a")() }, "1s").Should(BeFalse())
	})
})
