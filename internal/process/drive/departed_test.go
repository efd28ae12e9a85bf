package drive_test

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/fake/agent"
	"cairnbay/internal/process/drive"
)

// stalledAgent fails the first Hold call to a worker after a pause.
type stalledAgent struct {
	*agent.Fleet
	worker string
	pause  atomic.Int64
}

func (a *stalledAgent) Hold(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentHold) (cairnbay.AgentState, error) {
	if target.Worker == a.worker {
		if pause := time.Duration(a.pause.Swap(0)); pause > 0 {
			time.Sleep(pause)
			return cairnbay.AgentState{}, cairnbay.ErrUnknown
		}
	}
	return a.Fleet.Hold(ctx, target, order)
}

// Guards against tasks that run twice, since a draining worker that leaves the list while
// its owner is paused, or cut off from it, counts as gone though its lease has not ended.
var _ = Describe("a draining worker that is no longer listed and does not answer", func() {
	var (
		c      *cluster
		owner  *drive.Drive
		worker string
	)
	BeforeEach(func() {
		c = newCluster(3)
		c.lease = 4 * lease
		c.runTime.Store(int64(time.Minute))
		owner = c.startOwner()
		DeferCleanup(func() { owner.Close() })
		Eventually(func() any { return submit(owner, flatJob("j", 1), time.Second) }, "10s", "20ms").Should(Equal(accepted))
		Eventually(func() int {
			return slices.IndexFunc(c.workers, func(id string) bool { return len(c.fleet.Running(id)) > 0 })
		}, "5s").ShouldNot(BeNumerically("<", 0))
		at := slices.IndexFunc(c.workers, func(id string) bool { return len(c.fleet.Running(id)) > 0 })
		worker = c.workers[at]
		entries := c.entries()
		entries[at].Draining = true
		owner.SetWorkers(entries)
		c.workers = slices.Delete(slices.Clone(c.workers), at, at+1)
		owner.SetWorkers(c.entries())
		c.fleet.Cut(worker, true)
	})

	It("keeps its tasks until its lease has ended", func() {
		Eventually(c.fleet.Starts, "10s", "1ms").Should(Equal(2))
		Expect(c.fleet.Running(worker)).To(BeEmpty())
	})

	It("goes on with its tasks if it answers before that", func() {
		time.Sleep(3 * time.Second)
		c.fleet.Cut(worker, false)
		Consistently(c.fleet.Starts, "3s").Should(Equal(1))
		Expect(c.fleet.Running(worker)).To(Equal([]cairnbay.WorkflowTask{{Job: "j"}}))
	})

	It("goes on with its tasks if the next owner takes its own pause for silence", func() {
		c.fleet.Cut(worker, false)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(owner.Flush(ctx)).To(Succeed())
		owner.Close()
		stalled := &stalledAgent{Fleet: c.fleet, worker: worker}
		stalled.pause.Store(int64(3 * time.Second))
		c.agent = stalled
		owner = c.startOwner()
		Consistently(c.fleet.Starts, "5s").Should(Equal(1))
		Expect(c.fleet.Running(worker)).To(Equal([]cairnbay.WorkflowTask{{Job: "j"}}))
	})

	It("keeps its tasks under the next owner until the lease from the former one has ended", func() {
		c.fleet.Cut(worker, false)
		// The former owner renews its lease until the claim.
		time.Sleep(1500 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(owner.Flush(ctx)).To(Succeed())
		owner.Close()
		c.fleet.Cut(worker, true)
		Expect(c.fleet.Running(worker)).To(HaveLen(1))
		owner = c.startOwner()
		Eventually(c.fleet.Starts, "15s", "1ms").Should(Equal(2))
		Expect(c.fleet.Running(worker)).To(BeEmpty())
	})
})

// Guards against tasks that start again after they have ended (TWICE), since a draining
// worker that reached the former owner, but neither the platform nor the next owner, counts
// as gone.
var _ = It("a draining worker that is no longer listed is asked for the ends that no owner has read", func() {
	c := newCluster(3)
	c.lease = 4 * lease
	c.runTime.Store(int64(2 * time.Second))
	former := c.startOwner()
	Eventually(func() any { return submit(former, flatJob("j", 1), time.Second) }, "10s", "20ms").Should(Equal(accepted))
	at := -1
	Eventually(func() int {
		at = slices.IndexFunc(c.workers, func(id string) bool { return len(c.fleet.Running(id)) > 0 })
		return at
	}, "5s").ShouldNot(BeNumerically("<", 0))
	worker := c.workers[at]
	entries := c.entries()
	entries[at].Draining = true
	former.SetWorkers(entries)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	Expect(former.Flush(ctx)).To(Succeed())
	former.Close()
	c.fleet.Cut(worker, true)
	c.workers = slices.Delete(slices.Clone(c.workers), at, at+1)
	next := c.startOwner()
	DeferCleanup(next.Close)
	Consistently(c.fleet.Starts, "3s").Should(Equal(1))
	c.fleet.Cut(worker, false)
	Eventually(jobState(next, "j"), "5s").Should(Equal(cairnbay.WorkflowCompleted))
	Expect(c.fleet.Starts()).To(Equal(1))
})

// Guards against jobs that wait at a takeover for a worker that leaves, though nothing of them
// runs there.
var _ = It("waits for a draining worker that is no longer listed with the tasks that may run there only", func() {
	c := newCluster(3)
	owner := c.startOwner()
	c.acceptWide(owner, "j")
	leaving := c.entries()
	leaving[0].Draining = true
	owner.SetWorkers(leaving)
	Expect(submit(owner, job("waiting", 20), time.Second)).To(Equal(accepted))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	Expect(owner.Flush(ctx)).To(Succeed())
	c.fleet.Cut("w0", true)
	owner.Close()
	c.workers = c.workers[1:]
	c.runTime.Store(int64(runTime))
	next := c.startOwner()
	DeferCleanup(next.Close)
	// The former owner may extend the lease until 2.5 s after the claim; it has ended
	// 3.83 s after the claim.
	Eventually(jobState(next, "waiting"), "3500ms").Should(Equal(cairnbay.WorkflowCompleted))
	Expect(jobState(next, "j")()).To(Equal(cairnbay.WorkflowRunning))
	Eventually(jobState(next, "j"), "4s").Should(Equal(cairnbay.WorkflowCompleted))
	Expect(c.fleet.Broken()).To(BeEmpty())
})
