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

	"cairnbay/internal/fake/store"
	"cairnbay/internal/process/tenure"
	"cairnbay/internal/process/timer"
)

func TestTenure(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tenure")
}

// instance is one contender and what it was told.
type instance struct {
	*tenure.Tenure
	mu     sync.Mutex
	claims map[string]tenure.Claim
	all    []tenure.Claim
}

func (i *instance) claim(class string) (tenure.Claim, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	claim, ok := i.claims[class]
	return claim, ok
}

func (i *instance) owns(class string) func() bool {
	return func() bool {
		_, ok := i.claim(class)
		return ok
	}
}

var _ = Describe("owners of classes", func() {
	const leaseTTL = 600 * time.Millisecond
	var (
		kept  *store.Store
		clock *timer.Service
		log   *logrus.Entry
	)
	BeforeEach(func() {
		clock = timer.New()
		DeferCleanup(clock.Close)
		kept = store.New(store.Config{Clock: clock})
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		log = logger.WithField("test", true)
	})
	join := func(name string, cores float64, classes ...string) *instance {
		joined := &instance{claims: make(map[string]tenure.Claim)}
		joined.Tenure = tenure.New(tenure.Config{
			Store: kept.For(name), Log: log, Clock: clock, BootTime: timer.Boot,
			Instance: name, Address: name + ":1", Cores: cores, LeaseTTL: leaseTTL, WatchStallTimeout: time.Second,
			Classes: func() []string { return classes },
			OnAcquired: func(claim tenure.Claim) {
				joined.mu.Lock()
				defer joined.mu.Unlock()
				joined.claims[claim.Class] = claim
				joined.all = append(joined.all, claim)
			},
			OnLost: func(class string) {
				joined.mu.Lock()
				defer joined.mu.Unlock()
				delete(joined.claims, class)
			},
		})
		return joined
	}

	It("go to the strongest instances, one class each", func() {
		weak := join("weak", 0.2, "a", "b")
		strong := join("strong", 0.8, "a", "b")
		DeferCleanup(weak.Close)
		DeferCleanup(strong.Close)
		Eventually(func() int {
			count := 0
			for _, class := range []string{"a", "b"} {
				if strong.owns(class)() {
					count++
				}
			}
			return count
		}, "4s").Should(Equal(1))
		Eventually(func() bool { return weak.owns("a")() || weak.owns("b")() }, "4s").Should(BeTrue())
	})

	It("follow each other under rising tokens and generations", func() {
		first := join("first", 1, "a")
		Eventually(first.owns("a"), "4s").Should(BeTrue())
		before, _ := first.claim("a")
		second := join("second", 1, "a")
		DeferCleanup(second.Close)
		first.Close()
		Eventually(second.owns("a"), "5s").Should(BeTrue())
		after, _ := second.claim("a")
		Expect(after.Token).To(BeNumerically(">", before.Token))
		Expect(after.Generation).To(Equal(before.Generation + 1))
	})

	It("hand over at once when they resign", func() {
		first := join("first", 1, "a")
		DeferCleanup(first.Close)
		Eventually(first.owns("a"), "4s").Should(BeTrue())
		second := join("second", 1, "a")
		DeferCleanup(second.Close)
		time.Sleep(300 * time.Millisecond)
		began := time.Now()
		first.Resign(context.Background())
		Expect(first.owns("a")()).To(BeFalse())
		Eventually(second.owns("a"), "4s").Should(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
		Consistently(first.owns("a"), "300ms").Should(BeFalse())
	})

	It("that restart claim again without waiting for their former lease", func() {
		first := join("first", 1, "a")
		Eventually(first.owns("a"), "4s").Should(BeTrue())
		before, _ := first.claim("a")
		first.Close()
		began := time.Now()
		again := join("first", 1, "a")
		DeferCleanup(again.Close)
		Eventually(again.owns("a"), "4s").Should(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", leaseTTL))
		after, _ := again.claim("a")
		Expect(after.Generation).To(Equal(before.Generation + 1))
	})

	It("are replaced when the store turns only them away, and learn of it", func() {
		first := join("first", 1, "a")
		DeferCleanup(first.Close)
		Eventually(first.owns("a"), "4s").Should(BeTrue())
		second := join("second", 1, "a")
		DeferCleanup(second.Close)
		time.Sleep(300 * time.Millisecond)
		kept.SetCut("first", true)
		Eventually(second.owns("a"), "5s").Should(BeTrue())
		kept.SetCut("first", false)
		Eventually(first.owns("a"), "5s").Should(BeFalse())
	})

	It("restore a key that was revoked, under the same token", func() {
		first := join("first", 1, "a")
		DeferCleanup(first.Close)
		Eventually(first.owns("a"), "4s").Should(BeTrue())
		time.Sleep(600 * time.Millisecond)
		kept.Drop("cairnbay/live/owner/a", "cairnbay/live/node/first")
		Eventually(func() bool {
			_, err := kept.Get(context.Background(), "cairnbay/live/owner/a")
			return err == nil
		}, "3s").Should(BeTrue())
		Expect(first.owns("a")()).To(BeTrue())
		Expect(first.all).To(HaveLen(1))
	})

	It("stay alone when the answer to a claim is lost", func() {
		kept.LoseAnswers(3)
		first := join("first", 1, "a")
		DeferCleanup(first.Close)
		second := join("second", 1, "a")
		DeferCleanup(second.Close)
		Eventually(func() bool { return first.owns("a")() || second.owns("a")() }, "6s").Should(BeTrue())
		Consistently(func() bool { return first.owns("a")() && second.owns("a")() }, "1s").Should(BeFalse())
	})
})
