package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay/internal/fake/clock"
	"cairnbay/internal/request/retry"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

var _ = Describe("Budget", func() {
	It("allows retries for a tenth of the requests, plus the accumulated tokens", func() {
		const maxTokens, requests = 10, 1000
		budget := retry.NewBudget()
		retries := 0
		for range requests {
			budget.Deposit(0.1)
			if budget.TryWithdraw() {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("<=", maxTokens+requests/10))
		Expect(retries).To(BeNumerically(">=", requests/10))
	})
})

var _ = Describe("Circuits", func() {
	const total = 4
	var fakeClock *clock.Clock
	var circuits *retry.Circuits
	fail := func(upstream string, times int) {
		for range times {
			circuits.Failed(upstream)
		}
	}
	BeforeEach(func() {
		fakeClock = clock.New()
		circuits = retry.NewCircuits(fakeClock, 1)
	})

	It("opens after three failures in a row and closes after a successful probe", func() {
		fail("a", 2)
		circuits.Succeeded("a")
		fail("a", 2)
		Expect(circuits.Avoid("a", total)).To(BeFalse())
		fail("a", 1)
		Expect(circuits.Avoid("a", total)).To(BeTrue())
		Expect(circuits.Avoid("b", total)).To(BeFalse())
		fakeClock.Advance(time.Second)
		Expect(circuits.Avoid("a", total)).To(BeFalse())
		circuits.Begin("a")
		Expect(circuits.Avoid("a", total)).To(BeTrue(), "one probe at a time")
		circuits.Succeeded("a")
		Expect(circuits.Avoid("a", total)).To(BeFalse())
		Expect(circuits.OpenCount()).To(BeZero())
	})

	It("limits the open time after many failures while open", func() {
		fail("a", 3)
		for range 20 {
			fail("a", 1)
		}
		fakeClock.Advance(20 * time.Second)
		Expect(circuits.Avoid("a", total)).To(BeTrue())
		fakeClock.Advance(20 * time.Second)
		Expect(circuits.Avoid("a", total)).To(BeFalse())
	})

	It("avoids no upstream when most of them fail", func() {
		for _, upstream := range []string{"a", "b", "c"} {
			fail(upstream, 3)
		}
		Expect(circuits.Avoid("a", total)).To(BeFalse())
	})

	It("prunes upstreams that are gone", func() {
		fail("a", 3)
		circuits.Prune(func(string) bool { return false })
		Expect(circuits.OpenCount()).To(BeZero())
	})
})
