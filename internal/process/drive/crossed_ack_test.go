package drive_test

import (
	"context"
	"os"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/timer"
)

// crossingAgent restarts w0 under the first acknowledgement of ends, which reaches the next
// run after that has carried out, and ended, a start of the job j for the former one.
type crossingAgent struct {
	cairnbay.Agent
	c *restartCluster
	// acking is closed once the acknowledgement was sent, started once the start was, and
	// crossed once the acknowledgement is delivered.
	acking, started, crossed chan struct{}
	once                     sync.Once

	mu    sync.Mutex
	start cairnbay.AgentStart
}

func (a *crossingAgent) Start(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentStart) (time.Duration, error) {
	a.mu.Lock()
	if order.Task.Job == "j" && a.start.Task.Job == "" {
		a.start = order
		close(a.started)
	}
	late := order.Task == a.start.Task && order.Attempt == a.start.Attempt
	a.mu.Unlock()
	if late {
		<-ctx.Done()
		return 0, cairnbay.ErrUnknown
	}
	return a.Agent.Start(ctx, target, order)
}

func (a *crossingAgent) Hold(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentHold) (cairnbay.AgentState, error) {
	if order.Acked > 0 {
		a.once.Do(func() {
			a.cross(target)
			ctx = context.WithoutCancel(ctx) // The call is delivered though the owner has given it up.
		})
	}
	return a.Agent.Hold(ctx, target, order)
}

func (a *crossingAgent) cross(target cairnbay.AgentTarget) {
	defer GinkgoRecover()
	close(a.acking)
	Eventually(a.started, "5s").Should(BeClosed())
	listFormer(a.c) // The list tells of the restart later.
	a.c.fleet.Restart("w0", 0, restartSize)
	a.mu.Lock()
	late := a.start
	a.mu.Unlock()
	a.c.fleet.StartLate(timer.Boot(), target, late)
	Eventually(func() any { return a.c.fleet.Running("w0") }, "5s", "1ms").Should(BeEmpty())
	Expect(a.c.fleet.Done("j")).To(Equal(1))
	close(a.crossed)
}

// Guards against tasks that run again after they have ended (TWICE): the next run of a worker
// takes an acknowledgement that was meant for the former one, and drops an end of its own.
var _ = DescribeTable("a restarted worker lists the end of a late start though it takes an acknowledgement for its former run",
	func(submitAfter func(a *crossingAgent)) {
		if os.Getenv("CAIRNBAY_SKIP_KNOWN_RED") != "" {
			Skip("listed in KNOWN-RED.txt")
		}
		c := newRestartCluster()
		crossing := &crossingAgent{Agent: c.agent, c: c, acking: make(chan struct{}), started: make(chan struct{}), crossed: make(chan struct{})}
		c.agent = crossing
		c.replaceOwner()
		c.useOnly("w0")
		Eventually(func() any { return submit(c.owner, flatJob("first", 1), time.Second) }, "10s", "20ms").Should(Equal(accepted))
		Eventually(func() any { return c.fleet.Running("w0") }, "5s", "1ms").Should(HaveLen(1))
		submitAfter(crossing)
		Expect(submit(c.owner, flatJob("j", 1), time.Second)).To(Equal(accepted))
		Eventually(crossing.crossed, "5s").Should(BeClosed())
		c.listBorn("w0", 0)
		Eventually(jobState(c.owner, "j"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
		Expect(c.fleet.Broken()).To(BeEmpty())
	},
	Entry("that was sent after the start", func(*crossingAgent) {}),
	Entry("that was sent before the start", func(a *crossingAgent) { Eventually(a.acking, "5s").Should(BeClosed()) }),
)
