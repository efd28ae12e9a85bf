package drive_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/drive"
)

// Guards against tasks that stay down: each stop of a cancelled job's task on a silent worker
// put off the end of its assumed lease, and with it the loss of all that ran there.
var _ = It("a silent worker is lost as soon with cancellations of its jobs as without", func() {
	const (
		cancelled   = 3
		cancelPause = 2 * time.Second
		workerLease = 3 * lease
		// maxDowntime is a lease, its slack and the time of the renewals that fail first.
		maxDowntime = workerLease + 3*time.Second
	)
	c := newCluster(1)
	c.lease = workerLease
	c.runTime.Store(int64(time.Minute))
	owner := c.startOwner()
	DeferCleanup(owner.Close)
	ids := []string{"stays"}
	for i := range cancelled {
		ids = append(ids, fmt.Sprint("cancelled", i))
	}
	for _, id := range ids {
		Eventually(func() any { return submit(owner, flatJob(id, 1), time.Second) }, "10s", "20ms").Should(Equal(accepted))
	}
	Eventually(func() any { return c.fleet.Running("w0") }, "5s").Should(HaveLen(len(ids)))
	for _, id := range []string{"w1", "w2"} {
		c.workers = append(c.workers, id)
		c.fleet.Add(id, cairnbay.Resources{MilliCPU: 4000, MemoryMB: 400})
	}
	owner.SetWorkers(c.entries())
	Eventually(func() int { return owner.Counts().Usable }, "5s").Should(Equal(3))
	c.fleet.Cut("w0", true)
	cutAt := time.Now()
	done := make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(done)
		for _, id := range ids[1:] {
			Expect(owner.Cancel(context.Background(), drive.Cancellation{ID: id})).To(Succeed())
			time.Sleep(cancelPause)
		}
	}()
	Eventually(func() []cairnbay.WorkflowTask { return append(c.fleet.Running("w1"), c.fleet.Running("w2")...) }, "20s", "10ms").
		Should(ContainElement(cairnbay.WorkflowTask{Job: "stays"}))
	Expect(time.Since(cutAt)).To(BeNumerically("<", maxDowntime))
	Expect(c.fleet.Broken()).To(BeEmpty())
	<-done
})
