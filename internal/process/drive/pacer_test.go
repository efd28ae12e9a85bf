package drive

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the bound of the starts in flight", func() {
	answer := func(p *pacer, count int, took time.Duration) {
		for range count {
			p.answered(took)
		}
	}

	It("stays at its maximum while answers are fast", func() {
		p := newPacer()
		answer(&p, 1000, 5*time.Millisecond)
		Expect(p.free()).To(Equal(maxStartsInFlight))
	})

	It("falls while answers take long, to no less than its minimum, and rises again", func() {
		p := newPacer()
		answer(&p, 1000, startTimeout)
		Expect(p.free()).To(Equal(minStartsInFlight))
		answer(&p, 1000, 5*time.Millisecond)
		Expect(p.free()).To(Equal(maxStartsInFlight))
	})

	It("ignores a few slow answers", func() {
		p := newPacer()
		for range 100 {
			answer(&p, 20, 5*time.Millisecond)
			answer(&p, 1, startTimeout)
		}
		Expect(p.free()).To(BeNumerically(">", maxStartsInFlight/2))
	})
})

var _ = Describe("the lateness of an owner", func() {
	It("rises at once and falls within few plans", func() {
		var late lateness
		late.observe(800 * time.Millisecond)
		Expect(late.overloaded()).To(BeTrue())
		late.observe(0)
		late.observe(0)
		Expect(late.overloaded()).To(BeFalse())
	})

	It("counts a suspension as at most maxLateness", func() {
		var late lateness
		late.observe(time.Hour)
		Expect(late.recent).To(Equal(maxLateness))
	})

	It("gives a time to return that is never shorter than the minimum", func() {
		var late lateness
		Expect(late.retryAfter()).To(Equal(minOverloadRetryAfter))
		late.raise(maxLateness)
		Expect(late.retryAfter()).To(Equal(overloadRetryFactor * maxLateness))
	})
})
