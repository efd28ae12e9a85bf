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

// cuttingAgent cuts a worker off after its first answer to an owner with a token above
// formerToken, 0 for none. The others answer that owner after its second call of the worker.
type cuttingAgent struct {
	*agent.Fleet
	worker      string
	formerToken atomic.Uint64
	calls       atomic.Int32
}

func (a *cuttingAgent) Hold(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentHold) (cairnbay.AgentState, error) {
	former := a.formerToken.Load()
	if former == 0 || order.Token <= former {
		return a.Fleet.Hold(ctx, target, order)
	}
	if target.Worker != a.worker && a.calls.Load() < 2 {
		return cairnbay.AgentState{}, cairnbay.ErrUnknown
	}
	state, err := a.Fleet.Hold(ctx, target, order)
	if target.Worker == a.worker && a.calls.Add(1) == 1 {
		a.Cut(a.worker, true)
	}
	return state, err
}

// leasingAgent counts the renewals with a lease of an owner with a token above formerToken.
type leasingAgent struct {
	*agent.Fleet
	formerToken atomic.Uint64
	leases      atomic.Int32
}

func (a *leasingAgent) Hold(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentHold) (cairnbay.AgentState, error) {
	if former := a.formerToken.Load(); former > 0 && order.Token > former && order.LeaseEnd > 0 {
		a.leases.Add(1)
	}
	return a.Fleet.Hold(ctx, target, order)
}

// Guards against tasks that run twice: an owner that has read its journal late, and has
// granted no lease yet, takes the lease from the former owner for ended when a worker falls
// silent after its first answer.
var _ = DescribeTable("a worker cut off after its first answer to an owner that read its journal late keeps its tasks until its lease has ended",
	func(startOwner func(c *cluster) *drive.Drive) {
		c := newCluster(3)
		c.lease = 8 * lease
		c.runTime.Store(int64(time.Minute))
		cutting := &cuttingAgent{Fleet: c.fleet}
		c.agent = cutting
		former := c.startOwner()
		Eventually(func() any { return submit(former, flatJob("j", 1), time.Second) }, "10s", "20ms").Should(Equal(accepted))
		runs := func(id string) bool { return len(c.fleet.Running(id)) > 0 }
		Eventually(func() bool { return slices.ContainsFunc(c.workers, runs) }, "5s").Should(BeTrue())
		cutting.worker = c.workers[slices.IndexFunc(c.workers, runs)]
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(former.Flush(ctx)).To(Succeed())
		former.Close()
		cutting.formerToken.Store(uint64(c.fence.Revision))
		next := startOwner(c)
		DeferCleanup(next.Close)
		Eventually(c.fleet.Starts, "20s", "1ms").Should(Equal(2))
		Expect(c.fleet.Running(cutting.worker)).To(BeEmpty())
		Expect(c.fleet.Broken()).To(BeEmpty())
	},
	Entry("because the store was down", startOwnerInOutage),
	// Such a store does not confirm the ownership in time either.
	Entry("because the store is slow", func(c *cluster) *drive.Drive {
		c.store.SetSlow(2700 * time.Millisecond)
		return c.startOwner()
	}),
)

// startOwnerInOutage starts the next owner just before an outage of the store.
func startOwnerInOutage(c *cluster) *drive.Drive {
	next := c.startOwner()
	c.store.SetDown(true)
	time.Sleep(2700 * time.Millisecond)
	c.store.SetDown(false)
	return next
}

// Guards against leases that run out while the next owner, which has read its journal late,
// waits for a majority of the workers.
var _ = It("an owner that has read its journal late extends leases before a majority of the workers has answered", func() {
	c := newCluster(3)
	leasing := &leasingAgent{Fleet: c.fleet}
	c.agent = leasing
	former := c.startOwner()
	c.accept(former, "j")
	Eventually(jobState(former, "j"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
	former.Close()
	leasing.formerToken.Store(uint64(c.fence.Revision))
	for _, id := range c.workers[1:] {
		c.fleet.Cut(id, true)
	}
	next := startOwnerInOutage(c)
	DeferCleanup(next.Close)
	Eventually(leasing.leases.Load, "2s", "10ms").ShouldNot(BeZero())
})
