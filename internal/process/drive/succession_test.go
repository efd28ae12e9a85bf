package drive_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/fake/agent"
	"cairnbay/internal/fake/suite"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/timer"
)

const (
	// gangMembers is the number of tasks of the gangs under test, and of their
	// workers, each with room for one.
	gangMembers = 4
	// gangTime is how long a member waits for the others before it ends alone.
	gangTime = 2 * time.Second
	// gangRestart is the longest time that the next owner takes to start a gang anew
	// that it found incomplete. Members started just before it must not end alone.
	gangRestart = time.Second
)

// withholdingAgent withholds the starts of some members: they never leave the owner
// with the token withheldFrom.
type withholdingAgent struct {
	*agent.Fleet
	withheldFrom atomic.Uint64
	withhold     func(index int) bool

	mu sync.Mutex
	// started are the indexes that a worker has started, by token, and startedAt the
	// last of these starts.
	started   map[uint64][]int
	startedAt map[uint64]time.Time
	// stopped are the attempts whose stop a worker has answered.
	stopped []cairnbay.AgentStop
}

func (a *withholdingAgent) Start(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentStart) (time.Duration, error) {
	if order.Token == a.withheldFrom.Load() && a.withhold(order.Task.Index) {
		<-ctx.Done()
		return 0, cairnbay.ErrUnknown
	}
	clock, err := a.Fleet.Start(ctx, target, order)
	if err == nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.started[order.Token] = append(a.started[order.Token], order.Task.Index)
		a.startedAt[order.Token] = time.Now()
	}
	return clock, err
}

func (a *withholdingAgent) Stop(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentStop) (time.Duration, error) {
	clock, err := a.Fleet.Stop(ctx, target, order)
	if err == nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.stopped = append(a.stopped, order)
	}
	return clock, err
}

// startedBy lists the indexes that workers have started for an owner.
func (a *withholdingAgent) startedBy(token uint64) func() []int {
	return func() []int {
		a.mu.Lock()
		defer a.mu.Unlock()
		return slices.Clone(a.started[token])
	}
}

// lastStart is when a worker last started a member for an owner.
func (a *withholdingAgent) lastStart(token uint64) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.startedAt[token]
}

func (a *withholdingAgent) stops() []cairnbay.AgentStop {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.stopped)
}

// gangCluster is a cluster that runs nothing but gangs.
type gangCluster struct {
	*cluster
	faulty *withholdingAgent
}

func newGangCluster() *gangCluster {
	c := newCluster(0)
	size := cairnbay.Resources{MilliCPU: 4000, MemoryMB: 400}
	c.fleet = agent.New(agent.Config{
		Now:      timer.Boot,
		RunTime:  func(cairnbay.WorkflowTask) time.Duration { return time.Duration(c.runTime.Load()) },
		Size:     func(cairnbay.WorkflowTask) cairnbay.Resources { return size },
		Gang:     func(cairnbay.WorkflowTask) int { return gangMembers },
		GangTime: gangTime,
	})
	for i := range gangMembers {
		id := fmt.Sprint("w", i)
		c.workers = append(c.workers, id)
		c.fleet.Add(id, size)
	}
	faulty := &withholdingAgent{Fleet: c.fleet, started: make(map[uint64][]int), startedAt: make(map[uint64]time.Time)}
	c.agent = faulty
	return &gangCluster{c, faulty}
}

// token is the token of the latest owner.
func (c *gangCluster) token() uint64 { return uint64(c.fence.Revision) }

// submit submits a gang until it is accepted.
func (c *gangCluster) submit(owner *drive.Drive, id string) {
	workflow := job(id, gangMembers)
	workflow.Steps = workflow.Steps[:1]
	workflow.Steps[0].Gang = true
	workflow.Steps[0].Size = cairnbay.Resources{MilliCPU: 4000, MemoryMB: 400}
	Eventually(func() any { return submit(owner, workflow, time.Second) }, "10s", "20ms").Should(Equal(accepted))
}

// running lists the members that run, by worker.
func (c *gangCluster) running() map[string]int {
	running := make(map[string]int)
	for _, id := range c.workers {
		for _, task := range c.fleet.Running(id) {
			running[id] = task.Index
		}
	}
	return running
}

// submitPart submits a gang of which the first two members start and the starts of
// the others are withheld.
func (c *gangCluster) submitPart(owner *drive.Drive, id string) {
	c.faulty.withhold = func(index int) bool { return index >= gangMembers/2 }
	c.faulty.withheldFrom.Store(c.token())
	c.submit(owner, id)
	Eventually(c.faulty.startedBy(c.token()), "5s", "1ms").Should(ConsistOf(0, 1))
}

// expectRestart starts the next owner and expects that it stops the members of
// former runs, starts the gang as a whole before a member ends alone, and completes it.
func (c *gangCluster) expectRestart(id string, formerRuns ...int) {
	claimedAt := time.Now()
	next := c.startOwner()
	DeferCleanup(next.Close)
	Eventually(jobState(next, id), "10s").Should(Equal(cairnbay.WorkflowCompleted))
	Expect(c.fleet.IncompleteEnds()).To(BeEmpty(), "members that ended alone")
	Expect(c.faulty.startedBy(c.token())()).To(ConsistOf(0, 1, 2, 3), "members started by the next owner")
	Expect(c.faulty.lastStart(c.token()).Sub(claimedAt)).To(BeNumerically("<", gangRestart))
	for _, run := range formerRuns {
		Expect(c.faulty.stops()).To(ContainElement(And(HaveField("Attempt", run), HaveField("Token", c.token()))),
			"stops of run %d by the next owner", run)
	}
	Expect(c.fleet.Done(id)).To(Equal(gangMembers))
	Expect(c.fleet.Broken()).To(BeEmpty())
}

var _ = Describe("a gang", func() {
	It("starts whole and completes", func() {
		c := newGangCluster()
		owner := c.startOwner()
		DeferCleanup(owner.Close)
		c.submit(owner, "j")
		Eventually(jobState(owner, "j"), "5s").Should(Equal(cairnbay.WorkflowCompleted))
		Expect(c.fleet.Starts()).To(Equal(gangMembers))
		Expect(c.fleet.IncompleteEnds()).To(BeEmpty())
		Expect(c.fleet.Broken()).To(BeEmpty())
	})

	It("is not left incomplete when its owner is replaced while it starts the members", func() {
		c := newGangCluster()
		former := c.startOwner()
		c.submitPart(former, "j")
		former.Close()
		c.expectRestart("j", 1)
	})

	It("is not left incomplete when its owner is fenced while it starts the members", func() {
		c := newGangCluster()
		former := c.startOwner()
		DeferCleanup(former.Close)
		c.submitPart(former, "j")
		c.expectRestart("j", 1)
	})

	It("starts anew when the next owner finds members of two runs of it", func() {
		c := newGangCluster()
		former := c.startOwner()
		c.submitPart(former, "j")
		former.Close()
		occupied := c.running()
		index := gangMembers / 2
		for _, id := range c.workers {
			if _, ok := occupied[id]; ok {
				continue
			}
			// Starts of the former owner's second run, carried out late.
			_, err := c.fleet.Start(context.Background(), cairnbay.AgentTarget{Worker: id}, cairnbay.AgentStart{
				Task: cairnbay.WorkflowTask{Job: "j", Index: index}, Attempt: 2, Token: c.token(), LeaseEnd: timer.Boot() + lease,
			})
			Expect(err).NotTo(HaveOccurred())
			index++
		}
		Expect(c.running()).To(HaveLen(gangMembers))
		c.expectRestart("j", 1, 2)
	})

	It("goes on when its owner is replaced while it works", func() {
		c := newGangCluster()
		c.runTime.Store(int64(1500 * time.Millisecond))
		former := c.startOwner()
		c.submit(former, "j")
		Eventually(c.running, "5s", "1ms").Should(HaveLen(gangMembers))
		former.Close()
		next := c.startOwner()
		DeferCleanup(next.Close)
		Eventually(jobState(next, "j"), "5s").Should(Equal(cairnbay.WorkflowCompleted))
		Expect(c.fleet.Starts()).To(Equal(gangMembers))
		Expect(c.faulty.stops()).To(BeEmpty())
		Expect(c.fleet.Broken()).To(BeEmpty())
	})

	It("goes on when its owner is replaced while it works and one of its workers is silent", func() {
		c := newGangCluster()
		c.runTime.Store(int64(700 * time.Millisecond))
		c.lease = 3 * time.Second
		former := c.startOwner()
		c.submit(former, "j")
		Eventually(c.running, "5s", "1ms").Should(HaveLen(gangMembers))
		c.fleet.Cut("w0", true)
		former.Close()
		next := c.startOwner()
		DeferCleanup(next.Close)
		Eventually(jobState(next, "j"), "5s").Should(Equal(cairnbay.WorkflowCompleted))
		Expect(c.fleet.Starts()).To(Equal(gangMembers))
		Expect(c.faulty.stops()).To(BeEmpty())
		Expect(c.fleet.Broken()).To(BeEmpty())
	})
})

var _ = Describe("a gang that a former owner left incomplete", func() {
	It("is stopped before its members end alone, though a worker is silent for longer", Label(suite.Timing), func() {
		// The values of the platform: gang-ms, the workers' lease, and the time in which
		// the store finds that an owner is gone.
		const (
			waitTime = 3 * time.Second
			takeover = 1400 * time.Millisecond
		)
		c := newGangCluster()
		c.lease = 5 * time.Second
		size := cairnbay.Resources{MilliCPU: 4000, MemoryMB: 400}
		c.fleet = agent.New(agent.Config{
			Now:     timer.Boot,
			RunTime: func(cairnbay.WorkflowTask) time.Duration { return time.Second },
			Size:    func(cairnbay.WorkflowTask) cairnbay.Resources { return size },
			Gang:    func(cairnbay.WorkflowTask) int { return gangMembers }, GangTime: waitTime,
		})
		c.workers = nil
		for i := range gangMembers + 1 {
			id := fmt.Sprint("w", i)
			c.workers = append(c.workers, id)
			c.fleet.Add(id, size)
		}
		c.faulty.Fleet = c.fleet
		former := c.startOwner()
		c.submitPart(former, "j")
		occupied := c.running()
		for _, id := range c.workers {
			if _, ok := occupied[id]; !ok {
				c.fleet.Cut(id, true)
				break
			}
		}
		former.Close()
		time.Sleep(takeover)
		next := c.startOwner()
		DeferCleanup(next.Close)
		Consistently(c.fleet.IncompleteEnds, waitTime, "50ms").Should(BeEmpty())
	})
})
