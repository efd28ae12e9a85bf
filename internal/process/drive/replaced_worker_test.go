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

// replacedAgent has a worker at whose address another one answers while replaced is set.
type replacedAgent struct {
	*agent.Fleet
	replaced atomic.Bool
	calls    atomic.Int64
}

func (a *replacedAgent) Hold(
	ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentHold,
) (cairnbay.AgentState, error) {
	a.calls.Add(1)
	if a.replaced.Load() {
		return cairnbay.AgentState{}, cairnbay.ErrReplaced
	}
	return a.Fleet.Hold(ctx, target, order)
}

var _ = Describe("a listed worker at whose address another one answers", func() {
	// Guards against workers that get no tasks again after a moment at the address of others.
	It("gets tasks once it answers itself, and is called seldom until then", func() {
		c := newCluster(1)
		moved := &replacedAgent{Fleet: c.fleet}
		moved.replaced.Store(true)
		c.agent = moved
		owner := c.startOwner()
		DeferCleanup(owner.Close)
		time.Sleep(2500 * time.Millisecond)
		Expect(moved.calls.Load()).To(BeNumerically("<=", 3))
		moved.replaced.Store(false)
		Eventually(func() any { return submit(owner, flatJob("j", 1), time.Second) }, "10s", "20ms").Should(Equal(accepted))
		Eventually(jobState(owner, "j"), "5s").Should(Equal(cairnbay.WorkflowCompleted))
	})
})
