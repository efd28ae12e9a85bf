package timer_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay/internal/process/timer"
)

func TestTimer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "timer")
}

var _ = Describe("Service", func() {
	It("calls one-time callbacks in order of their deadlines, calls a periodic one repeatedly, and accepts a second cancel", func() {
		service := timer.New()
		defer service.Close()
		calls := make(chan string, 100)
		now := service.Now()
		service.At(now+2*time.Millisecond, func(time.Duration) { calls <- "second" })
		service.At(now+time.Millisecond, func(time.Duration) { calls <- "first" })
		Eventually(calls).Should(Receive(Equal("first")))
		Eventually(calls).Should(Receive(Equal("second")))

		ticks := make(chan time.Duration, 100)
		cancel := service.Every(time.Millisecond, func(now time.Duration) { ticks <- now })
		Eventually(ticks).Should(Receive())
		Eventually(ticks).Should(Receive())
		cancel()
		cancel()
	})

	It("does not run a callback that was cancelled before its deadline", func() {
		service := timer.New()
		cancel := service.At(service.Now()+time.Hour, func(time.Duration) { Fail("cancelled callback was called") })
		cancel()
		service.Close()
	})
})
