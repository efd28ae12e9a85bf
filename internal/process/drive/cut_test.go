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
	"cairnbay/internal/process/drive"
)

// cutAgent is the workers as one instance reaches them: all but those that are cut off from it.
type cutAgent struct {
	*agent.Fleet

	// unleased counts the renewals that arrive without a lease.
	unleased atomic.Int64

	mu  sync.Mutex
	cut []string
}

func (a *cutAgent) setCut(workers ...string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cut = workers
}

func (a *cutAgent) reaches(target cairnbay.AgentTarget) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !slices.Contains(a.cut, target.Worker)
}

func (a *cutAgent) Hold(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentHold) (cairnbay.AgentState, error) {
	if !a.reaches(target) {
		return cairnbay.AgentState{}, cairnbay.ErrUnknown
	}
	if order.LeaseEnd == 0 {
		a.unleased.Add(1)
	}
	return a.Fleet.Hold(ctx, target, order)
}

func (a *cutAgent) Start(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentStart) (time.Duration, error) {
	if !a.reaches(target) {
		return 0, cairnbay.ErrUnknown
	}
	return a.Fleet.Start(ctx, target, order)
}

func (a *cutAgent) Stop(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentStop) (time.Duration, error) {
	if !a.reaches(target) {
		return 0, cairnbay.ErrUnknown
	}
	return a.Fleet.Stop(ctx, target, order)
}

// splitCluster is a cluster whose first owner can be cut off, with some workers, from the store
// and from the other workers.
type splitCluster struct {
	*cluster
	// inside is the workers as the first owner reaches them, outside as the later ones do.
	inside, outside *cutAgent
	former          *drive.Drive
	// size is the capacity of each worker that the list shows.
	size cairnbay.Resources
}

// splitTask is the size of a task of the first owner's job.
var splitTask = cairnbay.Resources{MilliCPU: 1000, MemoryMB: 100}

// newSplitCluster starts an owner of workers that each run a task.
func newSplitCluster(workers int, maxStoreSilence time.Duration) *splitCluster {
	c := &splitCluster{cluster: newCluster(workers), size: splitTask}
	c.maxStoreSilence = maxStoreSilence
	c.listed = func() (entries []cairnbay.WorkerEntry) {
		for _, id := range c.workers {
			entries = append(entries, cairnbay.WorkerEntry{ID: id, Class: class, Address: id, Capacity: c.size})
		}
		return entries
	}
	c.lease = 3 * lease
	c.runTime.Store(int64(time.Minute))
	c.inside, c.outside = &cutAgent{Fleet: c.fleet}, &cutAgent{Fleet: c.fleet}
	c.agent, c.caller = c.inside, c.store.For("former")
	c.former = c.startOwner()
	c.agent, c.caller = c.outside, nil
	DeferCleanup(c.former.Close)
	Eventually(func() int { return c.former.Counts().Usable }, "5s", "10ms").Should(Equal(workers))
	workflow := flatJob("j", workers)
	workflow.Steps[0].Size = splitTask
	Eventually(func() any { return submit(c.former, workflow, time.Second) }, "10s", "20ms").Should(Equal(accepted))
	Eventually(c.fleet.Starts, "5s", "1ms").Should(Equal(workers))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	Expect(c.former.Flush(ctx)).To(Succeed())
	c.size = splitTask.Times(workers)
	for _, id := range c.workers {
		c.fleet.Resize(id, c.size)
	}
	c.former.SetWorkers(c.entries())
	return c
}

// cutOff cuts the first owner off with the first workers.
func (c *splitCluster) cutOff(workers int) {
	c.store.SetCut("former", true)
	c.inside.setCut(c.workers[workers:]...)
	c.outside.setCut(c.workers[:workers]...)
}

// lose ends the first owner, and the first workers with it.
func (c *splitCluster) lose(workers int) {
	c.former.Close()
	for _, id := range c.workers[:workers] {
		c.fleet.Cut(id, true)
	}
}

// addWorkers adds workers outside that run nothing.
func (c *splitCluster) addWorkers(count int) {
	for range count {
		id := fmt.Sprint("w", len(c.workers))
		c.workers = append(c.workers, id)
		c.fleet.Add(id, c.size)
	}
}

// heal ends the cut.
func (c *splitCluster) heal() {
	c.store.SetCut("former", false)
	c.inside.setCut()
	c.outside.setCut()
}

// expectOneOwner expects that no rule is broken while the first owner is cut off, nor after the
// cut, and that the later owner has all tasks then.
func (c *splitCluster) expectOneOwner(later *drive.Drive) {
	Consistently(c.fleet.Broken, 4*c.lease, "50ms").Should(BeEmpty())
	c.heal()
	Eventually(later.Counts, "5s").Should(HaveField("Running", 5))
	Expect(c.fleet.Broken()).To(BeEmpty())
}

// Guards against tasks that run twice (TWICE): an owner that is cut off from the store, and that
// most workers accept, counts the leases of the others as ended while its successor extends them.
var _ = It("an owner that is cut off with most of its workers starts no task of the others again", func() {
	c := newSplitCluster(5, 0)
	c.cutOff(4)
	successor := c.startOwner()
	DeferCleanup(successor.Close)
	c.expectOneOwner(successor)
})

// Guards against tasks that stand still for good (LOST): a successor waited for a majority of the
// workers in the journal, which it never had after the loss of half of them with their owner.
var _ = DescribeTable("a successor starts the tasks again that it does not reach, once the former owner has certainly stopped",
	func(total, workers int, part func(c *splitCluster, workers int), maxStoreSilence time.Duration) {
		c := newSplitCluster(total, maxStoreSilence)
		part(c, workers)
		successor := c.startOwner()
		DeferCleanup(successor.Close)
		running := func() (tasks int) {
			for _, id := range c.workers[workers:] {
				tasks += len(c.fleet.Running(id))
			}
			return tasks
		}
		Eventually(running, "12s", "10ms").Should(Equal(total))
		Expect(c.fleet.Broken()).To(BeEmpty())
	},
	Entry("after the loss of half of the workers with it", 8, 4, (*splitCluster).lose, time.Duration(0)),
	Entry("after the loss of most workers with it", 9, 5, (*splitCluster).lose, time.Duration(0)),
	Entry("after the loss of nearly all workers with it", 8, 7, (*splitCluster).lose, 3*time.Second),
	Entry("when it is cut off with most workers", 9, 5, (*splitCluster).cutOff, time.Duration(0)),
	Entry("when it is cut off with nearly all workers", 8, 7, (*splitCluster).cutOff, 3*time.Second),
)

// Guards against tasks that run twice (TWICE): workers that only a former successor has used do
// not show that the owner before it has stopped.
var _ = It("an owner that is cut off goes on with its workers while its second successor has many new ones", func() {
	c := newSplitCluster(5, 0)
	c.cutOff(4)
	c.addWorkers(8)
	successor := c.startOwner()
	Eventually(successor.Counts, "5s").Should(HaveField("Usable", 9))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	Expect(successor.Flush(ctx)).To(Succeed())
	successor.Close()
	second := c.startOwner()
	DeferCleanup(second.Close)
	c.expectOneOwner(second)
})

// Guards against pauses of a healthy owner: between its last quorum and the next read of the
// store, which answers, it extended no lease and started nothing.
var _ = It("an owner that loses a quorum of its workers extends the leases of the others without a pause", func() {
	c := newCluster(5)
	workers := &cutAgent{Fleet: c.fleet}
	c.agent = workers
	owner := c.startOwner()
	DeferCleanup(owner.Close)
	Eventually(func() int { return owner.Counts().Usable }, "5s", "10ms").Should(Equal(5))
	time.Sleep(lease)
	before := workers.unleased.Load()
	workers.setCut(c.workers[:3]...)
	Consistently(workers.unleased.Load, "4s", "20ms").Should(Equal(before))
})
