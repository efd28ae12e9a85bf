package drive_test

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/timer"
)

// list lists workers again after listElsewhere, all at once.
func (c *restartCluster) list(names ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		delete(c.listedElsewhere, name)
	}
}

func (a *severedAgent) reconnect() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.severed = false
}

// startLate starts a task on a worker, which restarts and carries out that start again. The
// list does not tell of the restart.
func (c *restartCluster) startLate(name string) {
	severed := &severedAgent{Agent: c.agent, worker: name}
	c.agent = severed
	c.replaceOwner()
	c.useOnly(name)
	c.acceptTask("j", 1)
	c.listBorn(name, c.born(name))
	late := severed.sever()
	c.fleet.Restart(name, 0, restartSize)
	c.fleet.StartLate(timer.Boot(), cairnbay.AgentTarget{Worker: name}, late)
	Expect(c.fleet.Running(name)).To(HaveLen(1))
	severed.reconnect()
}

const (
	// dropTime is enough for a worker that is cut off and not listed to be dropped.
	dropTime = 8 * time.Second
	// longRun ends after the time for which a run that is not listed is kept.
	longRun = 6500 * time.Millisecond
)

// Guards against owners that take themselves for replaced: they forgot the token that they
// had raised for restarted workers, and called these with an older one.
var _ = DescribeTable("workers that have restarted do not end their owner when they are back after a long cut",
	func(names ...string) {
		c := newRestartCluster()
		c.awaitUsable()
		c.restart(0, names...)
		c.awaitUsable()
		for _, name := range names {
			c.fleet.Cut(name, true)
			c.listElsewhere(name)
		}
		time.Sleep(dropTime)
		for _, name := range names {
			c.fleet.Cut(name, false)
		}
		c.list(names...)
		Eventually(func() int { return c.owner.Counts().Usable }, "5s", "10ms").Should(Equal(len(c.names)))
		Expect(submit(c.owner, job("j", 3), time.Second)).To(Equal(accepted))
	},
	Entry("one of them", "w0"),
	Entry("two of them", "w0", "w1"),
)

// Guards against tasks that are done and run again (TWICE): a run that the list had not
// shown yet was dropped, with the end that it listed for the first time.
var _ = DescribeTable("the ends of a restarted worker are read whenever the list shows the restart", func(listedAfter time.Duration) {
	c := newRestartCluster()
	c.runTime.Store(int64(longRun))
	c.startLate("w0")
	c.useAll()
	time.Sleep(listedAfter)
	c.listBorn("w0", 0)
	Eventually(jobState(c.owner, "j"), "20s").Should(Equal(cairnbay.WorkflowCompleted))
	time.Sleep(renewals)
	Expect(c.fleet.Broken()).To(BeEmpty())
	Expect(c.fleet.Starts()).To(Equal(2))
},
	Entry("within a second", time.Second),
	Entry("after its task has ended", longRun+time.Second),
)

// Guards against tasks that run twice (TWICE): a run that the list did not show was dropped with
// what it ran, as it refused the token of this owner for that of another class.
var _ = It("the tasks of a restarted worker that refuses its owner before it is listed count as running until its lease has ended", func() {
	c := newRestartCluster()
	c.runTime.Store(int64(3 * maxWorkerLease))
	c.startLate("w0")
	time.Sleep(restartPause) // A renewal for the former run tells of the next one.
	_, err := c.fleet.Hold(context.Background(), cairnbay.AgentTarget{Worker: "w0"}, cairnbay.AgentHold{Token: math.MaxInt64})
	Expect(err).NotTo(HaveOccurred())
	c.useAll()
	Eventually(c.fleet.Starts, "15s", "10ms").Should(Equal(3))
	Expect(c.fleet.Broken()).To(BeEmpty())
})

// Guards against tasks that run twice (TWICE): the release of a worker that was dropped before
// its record was stored came after the record by which it was used again.
var _ = DescribeTable("a worker that was dropped and is used again is waited for by the next owner", func(outage bool) {
	c := newRestartCluster()
	severed := &severedAgent{Agent: c.agent, worker: "w9"}
	c.agent = severed
	c.replaceOwner()
	c.awaitUsable()
	c.store.SetDown(outage)
	c.mu.Lock()
	c.fleet.Add("w9", restartSize)
	c.mu.Unlock()
	time.Sleep(restartPause)
	severed.sever()
	c.listElsewhere("w9")
	time.Sleep(dropTime)
	severed.reconnect()
	c.list("w9")
	time.Sleep(300 * time.Millisecond)
	c.store.SetDown(false)
	Eventually(func() int { return c.owner.Counts().Usable }, "5s", "10ms").Should(Equal(len(c.names) + 1))
	c.runTime.Store(int64(2 * maxWorkerLease))
	c.useOnly("w9")
	Eventually(func() any { return submit(c.owner, flatJob("j", 1), time.Second) }, "10s", "20ms").Should(Equal(accepted))
	Eventually(func() any { return c.fleet.Running("w9") }, "5s", "1ms").Should(HaveLen(1))
	severed.sever()
	c.useAll()
	c.replaceOwner()
	Eventually(c.fleet.Starts, "15s", "10ms").Should(Equal(2))
	Expect(c.fleet.Broken()).To(BeEmpty())
},
	Entry("with a store that answers", false),
	Entry("after an outage of the store", true),
)

// Guards against tasks that run twice (TWICE): the late record of an end, of a worker that was
// released and dropped meanwhile, counted as the record by which the worker is used again.
var _ = It("a worker that was released after its last ends is in the journal before it is used again", func() {
	c := newRestartCluster()
	severed := &severedAgent{Agent: c.agent, worker: "w0"}
	c.agent = severed
	c.replaceOwner()
	c.awaitUsable()
	c.useOnly("w0")
	c.acceptTask("j", 1)
	c.store.SetDown(true)
	time.Sleep(time.Duration(c.runTime.Load()) + restartPause) // The end is listed and not stored.
	c.listElsewhere("w0")
	severed.sever()
	time.Sleep(dropTime)
	c.list("w0")
	time.Sleep(300 * time.Millisecond)
	c.store.SetDown(false)
	time.Sleep(2 * time.Second)
	severed.reconnect()
	c.runTime.Store(int64(2 * maxWorkerLease))
	c.acceptTask("k", 2)
	time.Sleep(100 * time.Millisecond)
	severed.sever()
	c.useAll()
	c.replaceOwner()
	Eventually(c.fleet.Starts, "15s", "10ms").Should(Equal(3))
	Expect(c.fleet.Broken()).To(BeEmpty())
})

// Guards against tasks that wait for good (LOST): the lease of a worker had ended behind an entry
// that was read late, and its end was not noticed again.
var _ = DescribeTable("the tasks of a worker that is back after an entry that was read late run again once its lease has ended",
	func(disrupt func(c *restartCluster)) {
		c := newRestartCluster()
		const staleBorn = 17
		severed := &severedAgent{Agent: c.agent, worker: cairnbay.IncarnationID("w0", staleBorn)}
		severed.sever()
		c.agent = severed
		c.replaceOwner()
		c.awaitUsable()
		c.listBorn("w0", staleBorn)
		time.Sleep(maxWorkerLease + renewals)
		c.store.SetDown(true)
		severed.reconnect()
		c.listBorn("w0", 0)
		Consistently(func() int { return c.owner.Counts().Usable }, renewals).Should(Equal(len(c.names)-1), "not in the journal yet")
		c.store.SetDown(false)
		c.awaitUsable()
		c.runTime.Store(int64(5 * maxWorkerLease))
		c.useOnly("w0")
		c.acceptTask("j", 1)
		c.useAll()
		c.fleet.Cut("w0", true)
		disrupt(c)
		Eventually(c.fleet.Starts, "15s", "10ms").Should(Equal(2))
		Expect(c.fleet.Broken()).To(BeEmpty())
	},
	Entry("in silence", untouched),
	Entry("after a restart", func(c *restartCluster) { c.fleet.Restart("w0", 0, restartSize) }),
)

// Guards against tasks that run twice (TWICE): a worker was dropped with what it ran, as another
// one answered at an address that is not its own.
var _ = DescribeTable("the tasks of a worker that the list shows at the address of another one run on",
	func(born int64, use func(c *restartCluster)) {
		c := newRestartCluster()
		c.awaitUsable()
		c.runTime.Store(int64(3 * maxWorkerLease))
		c.useOnly("w0")
		c.acceptTask("j", 1)
		c.listAt("w0", "w1", born)
		time.Sleep(restartPause)
		use(c)
		c.acceptTask("k", 2)
		c.useAll()
		Consistently(c.fleet.Starts, 2*lease).Should(Equal(2))
		Expect(c.fleet.Broken()).To(BeEmpty())
		c.listAt("w0", "w0", 0)
		c.awaitUsable()
	},
	Entry("in an entry of a former run that is read late", int64(17), (*restartCluster).useAll),
	Entry("in a wrong entry", int64(0), untouched),
)

// Guards against tasks that run twice (TWICE): a run that had answered before the list showed it
// was called at the address of its first entry, and dropped.
var _ = It("a restarted worker keeps what it runs though its first entry shows it at the address of another one", func() {
	c := newRestartCluster()
	c.runTime.Store(int64(3 * maxWorkerLease))
	c.startLate("w0")
	time.Sleep(renewals)
	c.listAt("w0", "w1", 0)
	c.useAll()
	Consistently(c.fleet.Starts, 2*lease).Should(Equal(2))
	Expect(c.fleet.Broken()).To(BeEmpty())
})

// Guards against tasks that wait for the end of an outage of the store: the token for a worker
// that has restarted twice cannot rise, and the end of the lease before was not noticed.
var _ = It("the tasks of a worker that restarts twice while the store is away run again once their lease has ended", func() {
	c := newRestartCluster()
	c.runTime.Store(int64(4 * maxWorkerLease))
	severed := &severedAgent{Agent: c.agent, worker: "w0"}
	c.agent = severed
	c.replaceOwner()
	c.useOnly("w0")
	c.acceptTask("j", 1)
	time.Sleep(restartPause)
	late := severed.sever()
	c.store.SetDown(true)
	c.fleet.Restart("w0", 0, restartSize)
	c.fleet.StartLate(timer.Boot(), cairnbay.AgentTarget{Worker: "w0"}, late)
	Expect(c.fleet.Running("w0")).To(HaveLen(1))
	severed.reconnect()
	time.Sleep(renewals) // The next run answers under the last token that can be had.
	severed.sever()
	c.fleet.Restart("w0", 0, restartSize)
	c.useAll()
	Eventually(c.fleet.Starts, "15s", "10ms").Should(Equal(3))
	Expect(c.fleet.Broken()).To(BeEmpty())
})

// runElsewhere restarts a worker in another class, where its owner starts a task.
func (c *restartCluster) runElsewhere(name string, ran time.Duration) {
	severed := &severedAgent{Agent: c.agent, worker: name}
	c.agent = severed
	c.replaceOwner()
	c.awaitUsable()
	c.runTime.Store(int64(ran))
	severed.sever()
	time.Sleep(renewals) // The renewal that is under way is answered.
	c.restartElsewhere(name)
	target := cairnbay.AgentTarget{Worker: name}
	// The other owner claimed its shard before this one.
	state, err := c.fleet.Hold(context.Background(), target, cairnbay.AgentHold{Token: 1})
	Expect(err).NotTo(HaveOccurred())
	_, err = c.fleet.Start(context.Background(), target, cairnbay.AgentStart{
		Task: cairnbay.WorkflowTask{Job: "foreign"}, Attempt: 1, Token: 1, LeaseEnd: state.Clock + maxWorkerLease,
	})
	Expect(err).NotTo(HaveOccurred())
	severed.reconnect()
}

// Guards against work that is lost: the owner of a worker's former run stopped what the owner
// of the class in which the worker is back had started there.
var _ = It("a worker that is back in another class keeps the tasks that its owner there has started", func() {
	c := newRestartCluster()
	c.runElsewhere("w0", 2*maxWorkerLease)
	time.Sleep(2 * time.Second)
	Expect(c.fleet.Running("w0")).To(HaveLen(1))
})

// Guards against tasks that are done and run again (TWICE): the owner of a worker's former run
// acknowledged an end before the owner of the class in which the worker is back had read it.
var _ = It("a worker that is back in another class keeps the ends of the tasks that its owner there has started", func() {
	c := newRestartCluster()
	calls := &meteredAgent{Agent: c.agent}
	c.agent = calls
	c.runElsewhere("w0", restartPause)
	time.Sleep(2 * time.Second)
	state, err := c.fleet.Hold(context.Background(), cairnbay.AgentTarget{Worker: "w0"}, cairnbay.AgentHold{Token: math.MaxInt64})
	Expect(err).NotTo(HaveOccurred())
	Expect(state.Ended).To(HaveLen(1))
	Expect(calls.holds.Load()).To(BeNumerically("<", 100))
})

// meteredAgent counts the renewals of w0.
type meteredAgent struct {
	cairnbay.Agent
	holds atomic.Int64
}

func (a *meteredAgent) Hold(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentHold) (cairnbay.AgentState, error) {
	if cairnbay.WorkerName(target.Worker) == "w0" {
		a.holds.Add(1)
	}
	return a.Agent.Hold(ctx, target, order)
}

// Guards against leases that two owners extend: that of a worker's former run renewed them for
// as long as the worker ran tasks in its other class.
var _ = It("a worker that is back in another class is left to its owner there, though it is never idle", func() {
	c := newRestartCluster()
	calls := &meteredAgent{Agent: c.agent}
	c.agent = calls
	c.runElsewhere("w0", time.Minute)
	time.Sleep(dropTime)
	before := calls.holds.Load()
	time.Sleep(renewals)
	Expect(calls.holds.Load()).To(Equal(before))
})

// Guards against tasks that run on after their job was cancelled (UNASKED): the core keeps no
// more than the identity of a job that has ended.
var _ = It("a worker that is back in another class runs no task of a job that its former owner has cancelled", func() {
	c := newRestartCluster()
	c.runTime.Store(int64(2 * maxWorkerLease))
	severed := &severedAgent{Agent: c.agent, worker: "w0"}
	c.agent = severed
	c.replaceOwner()
	c.useOnly("w0")
	c.acceptTask("j", 1)
	Expect(c.owner.Cancel(context.Background(), drive.Cancellation{ID: "j"})).To(Succeed())
	Eventually(func() any { return c.fleet.Running("w0") }, "5s", "10ms").Should(BeEmpty())
	time.Sleep(renewals)
	late := severed.sever()
	time.Sleep(renewals) // The renewal that is under way is answered.
	c.listElsewhere("w0")
	c.fleet.Restart("w0", 0, restartSize)
	c.fleet.StartLate(timer.Boot(), cairnbay.AgentTarget{Worker: "w0"}, late)
	Expect(c.fleet.Running("w0")).To(HaveLen(1))
	severed.reconnect()
	Eventually(func() any { return c.fleet.Running("w0") }, "2s", "10ms").Should(BeEmpty())
})

// Guards against tasks that run twice (TWICE): the lease of a run that has refused the token of
// this owner counted as ended, though a newer owner had extended it.
var _ = It("a restarted worker that has refused the token keeps its tasks while the store is away", func() {
	c := newRestartCluster()
	c.runTime.Store(int64(4 * maxWorkerLease))
	severed := &severedAgent{Agent: c.agent, worker: "w0"}
	c.agent = severed
	c.replaceOwner()
	c.useOnly("w0")
	c.acceptTask("j", 1)
	time.Sleep(restartPause)
	late := severed.sever()
	c.store.SetDown(true)
	c.fleet.Restart("w0", 0, restartSize)
	c.fleet.StartLate(timer.Boot(), cairnbay.AgentTarget{Worker: "w0"}, late)
	Expect(c.fleet.Running("w0")).To(HaveLen(1))
	renewByNewerOwner := func() {
		target := cairnbay.AgentTarget{Worker: "w0"}
		state, err := c.fleet.Hold(context.Background(), target, cairnbay.AgentHold{Token: math.MaxInt64})
		Expect(err).NotTo(HaveOccurred())
		_, err = c.fleet.Hold(context.Background(), target, cairnbay.AgentHold{Token: math.MaxInt64, LeaseEnd: state.Clock + maxWorkerLease})
		Expect(err).NotTo(HaveOccurred())
	}
	renewByNewerOwner()
	severed.reconnect()
	c.useAll()
	for range 4 {
		time.Sleep(maxWorkerLease / 2)
		renewByNewerOwner()
	}
	Expect(c.fleet.Broken()).To(BeEmpty())
	Expect(c.fleet.Running("w0")).To(HaveLen(1))
})
