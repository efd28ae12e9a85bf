package drive_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/fake/agent"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/timer"
)

const (
	// deadlyJob has a task that crashes its workers, which are away for crashDowntime.
	deadlyJob     = "deadly"
	crashDowntime = 300 * time.Millisecond
	// maxCrashes is how often such a task may start: a third start after three crashes
	// breaks a rule.
	maxCrashes = 5
)

var deadlyTask = cairnbay.WorkflowTask{Job: deadlyJob, Index: 2}

// ownedCluster is a cluster whose owner is replaced while other goroutines call it.
type ownedCluster struct {
	*cluster
	mu    sync.Mutex
	owner *drive.Drive
}

func (c *ownedCluster) replaceOwner() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner != nil {
		c.owner.Close()
	}
	c.owner = c.startOwner()
	DeferCleanup(c.owner.Close)
}

// crashPlan crashes workers under deadlyTask.
var crashPlan = agent.CrashPlan{
	Deadly:   func(task cairnbay.WorkflowTask) bool { return task == deadlyTask },
	After:    func() time.Duration { return 10 * time.Millisecond },
	Downtime: crashDowntime,
}

// crashCluster is a cluster whose workers crash under a task and come back.
type crashCluster struct {
	ownedCluster
}

func newCrashCluster() *crashCluster {
	c := &crashCluster{ownedCluster{cluster: newCluster(0)}}
	c.fleet = agent.New(agent.Config{
		Now:     timer.Boot,
		RunTime: func(cairnbay.WorkflowTask) time.Duration { return time.Duration(c.runTime.Load()) },
		Size: func(cairnbay.WorkflowTask) cairnbay.Resources {
			return cairnbay.Resources{MilliCPU: 1000, MemoryMB: 100}
		},
		Crash: crashPlan,
	})
	for i := range 4 {
		c.fleet.Add(fmt.Sprint("w", i), cairnbay.Resources{MilliCPU: 4000, MemoryMB: 400})
	}
	DeferCleanup(c.clock.Every(20*time.Millisecond, func(time.Duration) { c.list() }))
	c.replaceOwner()
	return c
}

// list tells the owner of the workers that answer.
func (c *crashCluster) list() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers = nil
	for _, life := range c.fleet.Lives() {
		c.workers = append(c.workers, life.ID)
	}
	slices.Sort(c.workers)
	if c.owner != nil {
		c.owner.SetWorkers(c.entries())
	}
}

func (c *crashCluster) crashes() int { return c.fleet.CrashCount(deadlyTask) }

var _ = Describe("a task that crashes the workers that start it", func() {
	DescribeTable("is given up, and others are not", func(disrupt func(*crashCluster)) {
		c := newCrashCluster()
		for i := range 5 {
			c.accept(c.owner, fmt.Sprint("innocent", i))
		}
		c.accept(c.owner, deadlyJob)
		disrupt(c)
		Eventually(func() any { return jobState(c.owner, deadlyJob)() }, "20s").Should(Equal(cairnbay.WorkflowFailed))
		for i := range 5 {
			Eventually(func() any { return jobState(c.owner, fmt.Sprint("innocent", i))() }, "20s").Should(Equal(cairnbay.WorkflowCompleted))
		}
		crashes := c.crashes()
		Expect(crashes).To(And(BeNumerically(">=", 2), BeNumerically("<=", maxCrashes)))
		c.replaceOwner()
		Eventually(func() any { return jobState(c.owner, deadlyJob)() }, "5s").Should(Equal(cairnbay.WorkflowFailed))
		Consistently(c.crashes, 4*crashDowntime).Should(Equal(crashes))
		Expect(c.fleet.Broken()).To(BeEmpty())
	},
		Entry("by one owner", func(*crashCluster) {}),
		Entry("by the next owner, if the first is replaced as the worker crashes", func(c *crashCluster) {
			Eventually(c.crashes, "10s", "1ms").Should(Equal(1))
			c.replaceOwner()
		}),
		Entry("by the next owner, if the first is replaced after it has counted a crash", func(c *crashCluster) {
			Eventually(c.crashes, "10s", "1ms").Should(Equal(2))
			c.replaceOwner()
		}),
		Entry("while the store is away", func(c *crashCluster) {
			c.store.SetDown(true)
			time.Sleep(6 * crashDowntime)
			c.store.SetDown(false)
		}),
	)
})

// countingAgent counts the renewals that are sent to replaced workers.
type countingAgent struct {
	*agent.Fleet
	replaced atomic.Int64
}

func (a *countingAgent) Hold(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentHold) (cairnbay.AgentState, error) {
	state, err := a.Fleet.Hold(ctx, target, order)
	if errors.Is(err, cairnbay.ErrReplaced) {
		a.replaced.Add(1)
	}
	return state, err
}

var _ = Describe("a replaced worker that stays on the list for a while", func() {
	It("is not called again with each change of the list", func() {
		c := newCluster(3)
		counting := &countingAgent{Fleet: c.fleet}
		c.agent = counting
		owner := c.startOwner()
		DeferCleanup(owner.Close)
		c.accept(owner, "j")
		c.fleet.Crash("w0")
		Eventually(counting.replaced.Load, "5s").Should(BeNumerically(">", 0))
		for range 20 {
			owner.SetWorkers(c.entries())
			time.Sleep(10 * time.Millisecond)
		}
		Expect(counting.replaced.Load()).To(BeNumerically("<=", 2))
		Eventually(jobState(owner, "j"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
	})
})
