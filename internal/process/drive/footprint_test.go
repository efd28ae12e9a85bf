package drive_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/record"
)

// Guards against owners that end one after the other because of one job: its tasks take more
// memory than an instance has, or their count does not fit into the journal's form.
var _ = Describe("a job of very many tasks", func() {
	It("is refused before it is stored", func() {
		c := newCluster(2)
		owner := c.startOwner()
		DeferCleanup(owner.Close)
		c.accept(owner, "j")
		verdict := owner.Submit(context.Background(), drive.Submission{Workflow: flatJob("wide", 2_500_000)})
		Expect(verdict.Kind).To(Equal(cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_INVALID))
		Expect(verdict.Reason).To(ContainSubstring("at most 16 MB"))
		Expect(jobState(owner, "wide")()).To(Equal(cairnbay.WorkflowUnknown))
		Eventually(jobState(owner, "j"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
	})

	It("that a former version has stored does not end an owner, and other jobs complete", func() {
		c := newCluster(2)
		c.startOwner().Close()
		writer := record.New(record.Config{
			Store: c.store, Commit: c.store.Commit, Shard: class, Generation: c.generation, Fence: c.fence, Log: c.log,
		})
		wide := flatJob("wide", 3_000_000_000)
		stored := make(chan error, 1)
		writer.Append([]*cairnbayv1.WorkRecord{{Accepted: drive.EncodeWorkflow(&wide)}}, func(err error) { stored <- err })
		Eventually(stored, "5s").Should(Receive(BeNil()))
		writer.Close()
		owner := c.startOwner()
		DeferCleanup(owner.Close)
		c.accept(owner, "j")
		Eventually(jobState(owner, "j"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
		Expect(jobState(owner, "wide")()).To(Equal(cairnbay.WorkflowPending))
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(owner.Cancel(ctx, drive.Cancellation{ID: "wide"})).To(Succeed())
	})
})
