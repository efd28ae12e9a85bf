package drive_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/fake/agent"
)

// refusingAgent refuses the first start for want of room.
type refusingAgent struct {
	*agent.Fleet
	refused atomic.Bool
}

func (a *refusingAgent) Start(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentStart) (time.Duration, error) {
	if a.refused.CompareAndSwap(false, true) {
		return 0, cairnbay.ErrNoRoom
	}
	return a.Fleet.Start(ctx, target, order)
}

var _ = Describe("a task whose only worker refused it", func() {
	It("starts once the worker's pause has passed, though no event tells of it", func() {
		c := newCluster(1)
		refusing := &refusingAgent{Fleet: c.fleet}
		c.agent = refusing
		owner := c.startOwner()
		DeferCleanup(owner.Close)
		workflow := job("j", 1)
		workflow.Steps = workflow.Steps[:1]
		Eventually(func() any { return submit(owner, workflow, time.Second) }, "10s", "20ms").Should(Equal(accepted))
		Eventually(refusing.refused.Load, "5s").Should(BeTrue())
		Eventually(jobState(owner, "j"), "5s").Should(Equal(cairnbay.WorkflowCompleted))
	})
})
