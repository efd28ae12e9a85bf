package drive_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
)

var _ = Describe("a worker whose capacity shrinks and whose lease ends afterwards", func() {
	It("gets no more tasks than it has room for when it answers again", func() {
		c := newCluster(1)
		owner := c.startOwner()
		DeferCleanup(owner.Close)
		c.accept(owner, "first")
		Eventually(jobState(owner, "first"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
		shrunk := cairnbay.Resources{MilliCPU: 1000, MemoryMB: 400}
		c.fleet.Resize("w0", shrunk)
		owner.SetWorkers([]cairnbay.WorkerEntry{{ID: "w0", Class: class, Address: "w0", Capacity: shrunk}})
		c.fleet.Cut("w0", true)
		time.Sleep(3 * lease)
		c.fleet.Cut("w0", false)
		c.accept(owner, "j")
		Eventually(jobState(owner, "j"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
		Expect(c.fleet.Broken()).To(BeEmpty())
	})
})
