package drive_test

import (
	"context"
	"os"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/timer"
)

// severedAgent delivers no calls to a worker, or to one run of it, once it is severed, and
// notes the last start sent there before.
type severedAgent struct {
	cairnbay.Agent
	worker string

	// lose says that the next start does not arrive, truncate that the worker always has
	// more ends than it lists.
	lose, truncate atomic.Bool

	mu      sync.Mutex
	severed bool
	start   cairnbay.AgentStart
}

func (a *severedAgent) sever() cairnbay.AgentStart {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.severed = true
	return a.start
}

func (a *severedAgent) refuses(target cairnbay.AgentTarget) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.severed && (cairnbay.WorkerName(target.Worker) == a.worker || target.Worker == a.worker)
}

func (a *severedAgent) Start(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentStart) (time.Duration, error) {
	if a.refuses(target) {
		return 0, cairnbay.ErrUnknown
	}
	if cairnbay.WorkerName(target.Worker) == a.worker {
		a.mu.Lock()
		a.start = order
		a.mu.Unlock()
		if a.lose.Swap(false) {
			<-ctx.Done()
			return 0, cairnbay.ErrUnknown
		}
	}
	return a.Agent.Start(ctx, target, order)
}

func (a *severedAgent) Hold(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentHold) (cairnbay.AgentState, error) {
	if a.refuses(target) {
		return cairnbay.AgentState{}, cairnbay.ErrUnknown
	}
	state, err := a.Agent.Hold(ctx, target, order)
	if a.refuses(target) {
		return cairnbay.AgentState{}, cairnbay.ErrUnknown
	}
	state.EndsTruncated = state.EndsTruncated || a.truncate.Load() && cairnbay.WorkerName(target.Worker) == a.worker
	return state, err
}

func (a *severedAgent) Stop(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentStop) (time.Duration, error) {
	if a.refuses(target) {
		return 0, cairnbay.ErrUnknown
	}
	return a.Agent.Stop(ctx, target, order)
}

// restartOwner replaces the owner by a later process of its instance.
func (c *restartCluster) restartOwner() {
	c.afterRestart = true
	c.replaceOwner()
}

// awaitUsable waits until all workers have answered the owner and are in its journal.
func (c *restartCluster) awaitUsable() {
	Eventually(func() int { return c.owner.Counts().Usable }, "5s", "10ms").Should(Equal(len(c.names)))
}

// useOnly leaves room for tasks on one worker only; useAll undoes it.
func (c *restartCluster) useOnly(name string) {
	for _, other := range c.names {
		if other != name {
			c.fleet.Resize(other, cairnbay.Resources{})
		}
	}
}

func (c *restartCluster) useAll() {
	for _, name := range c.names {
		c.fleet.Resize(name, restartSize)
	}
}

// Guards against tasks that run twice (TWICE): the next owner, which has had no answer of a
// restarted worker, counted the lease that a call for its former run has given it as ended.
var _ = DescribeTable("a restarted worker counts as running for the lease that a renewal for its former run has given it",
	func(cutOff func(c *restartCluster)) {
		c := newRestartCluster()
		c.runTime.Store(int64(2 * maxWorkerLease))
		c.awaitUsable()
		c.useOnly("w0")
		c.listBorn("w0", c.born("w0")) // The owner learns of the restart by a renewal.
		c.fleet.Restart("w0", 0, restartSize)
		time.Sleep(restartPause)
		c.listBorn("w0", 0)
		c.accept(c.owner, "j")
		Eventually(func() any { return c.fleet.Running("w0") }, "5s", "1ms").Should(HaveLen(3))
		cutOff(c)
		c.useAll()
		Eventually(c.fleet.Starts, "15s", "10ms").Should(BeNumerically(">", 3))
		Expect(c.fleet.Broken()).To(BeEmpty())
	},
	Entry("under the same owner", func(c *restartCluster) { c.fleet.Cut("w0", true) }),
	Entry("under the next owner", func(c *restartCluster) {
		c.fleet.Cut("w0", true)
		c.replaceOwner()
	}),
	Entry("under the next owner, which it has answered", func(c *restartCluster) {
		c.replaceOwner()
		c.awaitUsable()
		c.fleet.Cut("w0", true)
	}),
	Entry("under its owner after a restart", func(c *restartCluster) {
		c.fleet.Cut("w0", true)
		c.restartOwner()
	}),
)

// Guards against tasks that run twice (TWICE): a worker has restarted and has carried out a
// start for its former run before it was cut off, so that no owner has had an answer of it.
var _ = DescribeTable("a restarted worker that has never answered counts as running for the lease that a start for its former run has given it",
	func(list, disrupt func(c *restartCluster)) {
		c := newRestartCluster()
		c.runTime.Store(int64(2 * maxWorkerLease))
		severed := &severedAgent{Agent: c.agent, worker: "w0"}
		c.agent = severed
		c.replaceOwner()
		c.useOnly("w0")
		Eventually(func() any { return submit(c.owner, flatJob("j", 1), time.Second) }, "10s", "20ms").Should(Equal(accepted))
		Eventually(func() any { return c.fleet.Running("w0") }, "5s", "1ms").Should(HaveLen(1))
		late := severed.sever()
		list(c)
		c.fleet.Restart("w0", 0, restartSize)
		c.fleet.StartLate(timer.Boot(), cairnbay.AgentTarget{Worker: "w0"}, late)
		Expect(c.fleet.Running("w0")).To(HaveLen(1))
		time.Sleep(restartPause) // The list tells of the restart.
		disrupt(c)
		c.useAll()
		Eventually(c.fleet.Starts, "15s", "10ms").Should(BeNumerically(">", 2))
		Expect(c.fleet.Broken()).To(BeEmpty())
	},
	Entry("under the same owner", listHere, untouched),
	Entry("under the same owner, though it is no longer listed", listHere, listElsewhere),
	Entry("under the next owner", listHere, (*restartCluster).replaceOwner),
	Entry("under its owner after a restart", listHere, (*restartCluster).restartOwner),
	Entry("under its owner after a restart, though it is no longer listed", listHere, func(c *restartCluster) {
		listElsewhere(c)
		c.restartOwner()
	}),
	Entry("under the same owner, though it is listed in another class only", listElsewhere, untouched),
	Entry("under its owner after a restart, though it is listed in another class only", listElsewhere, (*restartCluster).restartOwner),
	Entry("under its owner after a restart, to which it is listed in another class only", listFormer, func(c *restartCluster) {
		c.restartOwner()
		c.listBorn("w0", 0)
		listElsewhere(c)
	}),
	// Guards against a mark that was not journaled: the worker was about to be used again.
	Entry("under its owner after a restart, which reads an older list, though it drained before", func(c *restartCluster) {
		c.drain("w0", true)
		time.Sleep(renewals) // The renewal that is under way is answered.
		c.drain("w0", false)
		listFormer(c)
	}, func(c *restartCluster) {
		former := c.listedBorn["w0"]
		c.listBorn("w0", 0)
		time.Sleep(restartPause)
		c.listBorn("w0", former)
		c.restartOwner()
	}),
)

// Guards against tasks that run twice (TWICE): a worker that had answered the next owner, with
// more ends than it lists, counted as silent since the claim once it had restarted.
var _ = It("a restarted worker that had more ends than it listed counts as running for the lease that a start for its former run has given it", func() {
	c := newRestartCluster()
	c.runTime.Store(int64(4 * maxWorkerLease))
	severed := &severedAgent{Agent: c.agent, worker: "w0"}
	c.agent = severed
	c.replaceOwner()
	c.useOnly("w0")
	c.acceptTask("j", 1)
	severed.truncate.Store(true)
	c.replaceOwner()
	time.Sleep(maxWorkerLease + 3*time.Second)
	late := severed.sever()
	c.fleet.Restart("w0", 0, restartSize)
	c.fleet.StartLate(timer.Boot(), cairnbay.AgentTarget{Worker: "w0"}, late)
	Expect(c.fleet.Running("w0")).To(HaveLen(1))
	c.useAll()
	Eventually(c.fleet.Starts, "15s", "10ms").Should(Equal(3))
	Expect(c.fleet.Broken()).To(BeEmpty())
})

// listHere, listElsewhere and listFormer set what the list tells of the next run of a worker:
// its class is the same or another one, or the former run is still listed.
func listHere(*restartCluster)        {}
func listElsewhere(c *restartCluster) { c.listElsewhere("w0") }
func listFormer(c *restartCluster)    { c.listBorn("w0", c.born("w0")) }

func untouched(*restartCluster) {}

// restartingAgent severs and restarts a worker just before the next start, once armed, and
// delivers that start alone. A silent worker does not answer it.
type restartingAgent struct {
	*severedAgent
	armed   atomic.Bool
	silent  bool
	restart func()
	// mute, if it is set, leaves the worker connected and withholds its answers after that start.
	mute func()
	// answerTime is how long the owner does not notice that there is no answer.
	answerTime time.Duration
}

// useRestarting starts an owner whose next start, once armed, w0 carries out as another run
// of which the list does not tell.
func (c *restartCluster) useRestarting(silent bool) *restartingAgent {
	agent := &restartingAgent{severedAgent: &severedAgent{Agent: c.agent, worker: "w0"}, silent: silent}
	agent.restart = func() {
		c.listBorn("w0", c.born("w0"))
		c.fleet.Restart("w0", 0, restartSize)
	}
	c.agent = agent
	c.replaceOwner()
	c.useOnly("w0")
	c.awaitUsable()
	return agent
}

// acceptTask submits a job of one task until it is accepted, and awaits a number of starts.
func (c *restartCluster) acceptTask(id string, starts int) {
	Eventually(func() any { return submit(c.owner, flatJob(id, 1), time.Second) }, "10s", "20ms").Should(Equal(accepted))
	Eventually(c.fleet.Starts, "5s", "1ms").Should(Equal(starts))
}

func (a *restartingAgent) Start(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentStart) (time.Duration, error) {
	if !a.armed.Swap(false) {
		return a.severedAgent.Start(ctx, target, order)
	}
	if a.mute == nil {
		a.sever()
	}
	a.restart()
	clock, err := a.Agent.Start(ctx, target, order)
	if a.mute != nil {
		a.mute()
	}
	if a.silent {
		time.Sleep(a.answerTime)
		<-ctx.Done()
		return 0, cairnbay.ErrUnknown
	}
	return clock, err
}

// Guards against tasks that run twice (TWICE): the next run has answered a start for the
// former one, and the lease that it has from that start was counted on the former one's clock.
var _ = DescribeTable("a restarted worker that has answered nothing but a start for its former run counts as running until its lease has ended",
	func(clockBehind time.Duration, mute bool) {
		c := newRestartCluster()
		c.clockBehind.Store(int64(clockBehind))
		c.runTime.Store(int64(2 * maxWorkerLease))
		agent := c.useRestarting(false)
		if mute {
			agent.mute = func() { c.fleet.Mute("w0", true) }
		}
		agent.armed.Store(true)
		c.acceptTask("j", 1)
		c.useAll()
		Eventually(c.fleet.Starts, "15s", "1ms").Should(Equal(2))
		Expect(c.fleet.Broken()).To(BeEmpty())
	},
	Entry("by a clock that is hours behind", time.Duration(0), false),
	Entry("by a clock that is hours behind, while it takes calls without an answer", time.Duration(0), true),
	Entry("by a clock that is less than a second behind, while it takes calls without an answer", 900*time.Millisecond, true),
	Entry("by a clock that is ahead, while it takes calls without an answer", -lease/2, true),
)

// Guards against tasks that run twice (TWICE): the next run has carried out a start for the
// former one without an answer, and no owner hears of that run.
var _ = DescribeTable("a start without an answer holds back its task for the longest lease, and the others on its worker for the usual one",
	func(disrupt func(c *restartCluster)) {
		c := newRestartCluster()
		c.runTime.Store(int64(3 * maxWorkerLease))
		agent := c.useRestarting(true)
		c.acceptTask("answered", 1)
		agent.armed.Store(true)
		c.acceptTask("unanswered", 2)
		disrupt(c)
		c.useAll()
		Eventually(c.fleet.Starts, "15s", "1ms").Should(BeNumerically(">", 2))
		Consistently(c.fleet.Broken, lease, "10ms").Should(BeEmpty())
		Expect(c.fleet.Starts()).To(Equal(3))
		Eventually(c.fleet.Starts, "15s", "10ms").Should(Equal(4))
		Expect(c.fleet.Broken()).To(BeEmpty())
	},
	Entry("under the same owner", func(*restartCluster) {}),
	Entry("under the next owner", func(c *restartCluster) {
		time.Sleep(restartPause)
		c.replaceOwner()
	}),
	Entry("under its owner after a restart", func(c *restartCluster) {
		time.Sleep(restartPause)
		c.restartOwner()
	}),
	Entry("under the next owner but one", func(c *restartCluster) {
		time.Sleep(restartPause)
		c.replaceOwner()
		time.Sleep(restartPause)
		c.replaceOwner()
	}),
)

// Guards against tasks that run twice (TWICE): a start was repeated and answered, and the next
// run carries out the first try.
var _ = DescribeTable("an attempt whose first start had no answer counts as running for the longest lease after its worker has restarted",
	func(disrupt func(c *restartCluster)) {
		c := newRestartCluster()
		c.runTime.Store(int64(3 * maxWorkerLease))
		agent := c.useRestarting(true)
		agent.lose.Store(true)
		c.acceptTask("j", 1)
		time.Sleep(restartPause)
		late := agent.sever()
		agent.restart()
		c.fleet.StartLate(timer.Boot(), cairnbay.AgentTarget{Worker: "w0"}, late)
		Expect(c.fleet.Running("w0")).To(HaveLen(1))
		disrupt(c)
		c.useAll()
		Eventually(c.fleet.Starts, "15s", "10ms").Should(Equal(3))
		Expect(c.fleet.Broken()).To(BeEmpty())
	},
	Entry("under the same owner", func(*restartCluster) {}),
	Entry("under its owner after a restart", (*restartCluster).restartOwner),
)

var _ = It("an attempt whose first start had no answer counts as running for the usual lease once that start is older than the longest one", func() {
	c := newRestartCluster()
	c.runTime.Store(int64(3 * maxWorkerLease))
	agent := c.useRestarting(true)
	agent.lose.Store(true)
	c.acceptTask("j", 1)
	time.Sleep(maxWorkerLease + renewals)
	agent.sever()
	c.useAll()
	Eventually(c.fleet.Starts, maxWorkerLease, "10ms").Should(Equal(2))
})

// See docs/incidents/restarted_then_cut.md, "What remains".
var _ = DescribeTable("a start for the former run of a worker that nobody reaches does not run its task twice",
	func(disrupt func(c *restartCluster, agent *restartingAgent)) {
		if os.Getenv("CAIRNBAY_SKIP_KNOWN_RED") != "" {
			Skip("listed in KNOWN-RED.txt")
		}
		c := newRestartCluster()
		c.runTime.Store(int64(3 * maxWorkerLease))
		disrupt(c, c.useRestarting(true))
		c.useAll()
		Eventually(c.fleet.Starts, "15s", "10ms").Should(BeNumerically(">", 1))
		Consistently(c.fleet.Broken, maxWorkerLease, "10ms").Should(BeEmpty())
	},
	Entry("if its owner dies before the start counts as unanswered", func(c *restartCluster, agent *restartingAgent) {
		agent.answerTime = restartPause
		agent.armed.Store(true)
		c.acceptTask("j", 1)
		c.restartOwner()
	}),
	Entry("if it arrives after the longest lease", func(c *restartCluster, agent *restartingAgent) {
		agent.lose.Store(true)
		c.acceptTask("j", 1)
		late := agent.sever()
		agent.restart()
		c.useAll()
		Eventually(c.fleet.Starts, "15s", "10ms").Should(Equal(2))
		c.fleet.StartLate(timer.Boot(), cairnbay.AgentTarget{Worker: "w0"}, late)
	}),
)
