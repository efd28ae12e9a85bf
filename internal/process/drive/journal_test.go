package drive_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
)

var _ = Describe("the journal of an owner with a slow link", func() {
	journalBytes := func(c *cluster) (size int) {
		listing, err := c.store.List(context.Background(), "cairnbay/journal/")
		Expect(err).NotTo(HaveOccurred())
		for _, entry := range listing.Entries {
			size += len(entry.Value)
		}
		return size
	}

	// With long tasks all jobs live at the last rewrite before they end.
	DescribeTable("stays in proportion to what lives, however many jobs have ended", func(taskTime time.Duration) {
		const payloadBytes, jobs = 2000, 60
		c := newCluster(6)
		c.runTime.Store(int64(taskTime))
		c.maxGrowth = 8 * payloadBytes
		owner := c.startOwner()
		DeferCleanup(owner.Close)
		for n := range jobs {
			workflow := job(fmt.Sprint("j", n), 1)
			workflow.Payload = fmt.Sprintf("%0*d", payloadBytes, n)
			Eventually(func() any { return submit(owner, workflow, time.Second) }, "5s").Should(Equal(accepted))
		}
		for n := range jobs {
			Eventually(jobState(owner, fmt.Sprint("j", n)), "20s").Should(Equal(cairnbay.WorkflowCompleted))
		}
		Eventually(func() int { return journalBytes(c) }, "10s").Should(BeNumerically("<", jobs*payloadBytes/2))
		Expect(c.fleet.Broken()).To(BeEmpty())
	},
		Entry("with short tasks", runTime),
		Entry("with long tasks", 1500*time.Millisecond),
	)

	It("is read although that takes longer than the first attempt may", func() {
		c := newCluster(2)
		owner := c.startOwner()
		c.accept(owner, "j")
		Eventually(jobState(owner, "j"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
		owner.Close()
		c.store.SetSlow(4500 * time.Millisecond)
		next := c.startOwner()
		DeferCleanup(next.Close)
		Eventually(jobState(next, "j"), "12s").Should(Equal(cairnbay.WorkflowCompleted))
		c.store.SetSlow(0)
	})
})
