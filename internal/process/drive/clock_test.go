package drive_test

import (
	"io"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"cairnbay"
)

// slowLog holds the owner's lock for a while: the owner logs a new worker under it.
type slowLog struct {
	pause time.Duration
}

func (l slowLog) Levels() []logrus.Level { return logrus.AllLevels }

func (l slowLog) Fire(entry *logrus.Entry) error {
	if entry.Message == "worker listed" {
		time.Sleep(l.pause)
	}
	return nil
}

var _ = Describe("an owner that is busy", func() {
	It("does not hold up the clock, by which the instance renews its lease", func() {
		const (
			busy     = time.Second
			period   = 50 * time.Millisecond
			maxDelay = 400 * time.Millisecond
		)
		c := newCluster(2)
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		logger.AddHook(slowLog{busy})
		c.log = logger.WithField("test", true)
		owner := c.startOwner()
		DeferCleanup(owner.Close)
		c.accept(owner, "j")
		Eventually(jobState(owner, "j"), "10s").Should(Equal(cairnbay.WorkflowCompleted))

		var last, longest atomic.Int64
		last.Store(int64(c.clock.Now()))
		DeferCleanup(c.clock.Every(period, func(now time.Duration) {
			longest.Store(max(longest.Load(), int64(now)-last.Swap(int64(now))))
		}))
		time.Sleep(busy)
		Expect(time.Duration(longest.Load())).To(BeNumerically("<", maxDelay), "at rest")
		c.fleet.Add("late", cairnbay.Resources{MilliCPU: 4000, MemoryMB: 400})
		c.workers = append(c.workers, "late")
		counted := make(chan time.Duration, 1)
		go func() {
			time.Sleep(period)
			began := time.Now()
			owner.Counts()
			counted <- time.Since(began)
		}()
		owner.SetWorkers(c.entries())
		Expect(<-counted).To(BeNumerically(">", busy/2), "wait for the owner's lock")
		time.Sleep(2 * period)
		Expect(time.Duration(longest.Load())).To(BeNumerically("<", maxDelay))
	})
})
