package drive_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/fake/agent"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/sched"
	"cairnbay/internal/process/tenure"
	"cairnbay/internal/process/timer"
)

func TestDrive(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "drive")
}

const (
	class = "c"
	// lease is what the owners under test grant.
	lease = time.Second
	// runTime is how long each task runs.
	runTime = 150 * time.Millisecond
)

// cell is a store and a fleet, with owners that come and go.
type cell struct {
	store      *store.Store
	fleet      *agent.Fleet
	clock      *timer.Service
	log        *logrus.Entry
	workers    []string
	generation uint64
	fence      cairnbay.Expectation
	// formerLife says that the next owner follows its own former life.
	formerLife bool
	// agent stands between owners and the fleet; nil for the fleet itself.
	agent cairnbay.Agent
	// maxSegments is the length at which owners rewrite their journal.
	maxSegments int

	// runTime is how long each task runs, in nanoseconds.
	runTime atomic.Int64
}

func newCell(workers int) *cell {
	clock := timer.New()
	DeferCleanup(clock.Close)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	c := &cell{
		store: store.New(store.Config{Clock: clock}), clock: clock, log: logger.WithField("test", true),
		maxSegments: 1000,
	}
	c.runTime.Store(int64(runTime))
	c.fleet = agent.New(agent.Config{
		Now:     timer.Boot,
		RunTime: func(cairnbay.WorkflowTask) time.Duration { return time.Duration(c.runTime.Load()) },
		Fails: func(task cairnbay.WorkflowTask, attempt int) bool {
			return task.Index == 1 && attempt%2 == 1
		},
		Size: func(cairnbay.WorkflowTask) cairnbay.Resources {
			return cairnbay.Resources{MilliCPU: 1000, MemoryMB: 100}
		},
	})
	for i := range workers {
		id := fmt.Sprint("w", i)
		c.workers = append(c.workers, id)
		c.fleet.Add(id, cairnbay.Resources{MilliCPU: 4000, MemoryMB: 400})
	}
	return c
}

// own starts the next owner of the class.
func (c *cell) own() *drive.Drive {
	ctx := context.Background()
	c.generation++
	var revision cairnbay.Revision
	Eventually(func() (err error) {
		revision, err = c.store.Put(ctx, "generation", []byte{byte(c.generation)}, c.fence.Revision, 0)
		return err
	}, "10s").Should(Succeed())
	c.fence = cairnbay.Expectation{Key: "generation", Revision: revision}
	owner := drive.New(drive.Config{
		Claim: tenure.Claim{Class: class, Token: uint64(revision), Generation: c.generation, Fence: c.fence, ClaimedAt: timer.Boot(), AfterRestart: c.formerLife, StoreHealthyFor: time.Hour},
		Store: c.store, Agent: cmp.Or[cairnbay.Agent](c.agent, c.fleet), Clock: c.clock, BootTime: timer.Boot, Log: c.log, Lease: lease, EntryTTL: 4500 * time.Millisecond,
		AdviceLimits: func() (int, int) { return 4, 4 },
		Advise:       c.advise,
		MaxSegments:  c.maxSegments,
		Sched:        sched.Config{Retention: time.Minute, StopTime: 50 * time.Millisecond},
		OnFenced:     func() {},
	})
	owner.SetWorkers(c.entries())
	return owner
}

func (c *cell) advise(_ context.Context, action *sched.AdviseAction) ([]cairnbay.Ticket, error) {
	var tickets []cairnbay.Ticket
	for _, worker := range action.Workers {
		tickets = append(tickets, cairnbay.Ticket{Worker: worker, Ticket: "t"})
	}
	return tickets, nil
}

func (c *cell) entries() []cairnbay.WorkerEntry {
	entries := make([]cairnbay.WorkerEntry, 0, len(c.workers))
	for _, id := range c.workers {
		entries = append(entries, cairnbay.WorkerEntry{
			ID: id, Class: class, Address: id, Capacity: cairnbay.Resources{MilliCPU: 4000, MemoryMB: 400},
		})
	}
	return entries
}

func job(id string, tasks int) cairnbay.Workflow {
	size := cairnbay.Resources{MilliCPU: 1000, MemoryMB: 100}
	return cairnbay.Workflow{
		ID: id, Class: class,
		Queue: cairnbay.Queue{
			Name: "q", Class: class, MaxAttempts: 50, Stretch: 100, TargetLatency: time.Minute,
			Advice: &cairnbay.AdviceTerms{Decide: time.Millisecond, Valid: 2 * time.Second},
		},
		Steps: []cairnbay.WorkflowStep{
			{Tasks: tasks, Size: size, RunTime: runTime},
			{Tasks: 1, Size: size, RunTime: runTime, After: []int{0}},
		},
	}
}

func submit(owner *drive.Drive, workflow cairnbay.Workflow, patience time.Duration) cairnbayv1.SubmitVerdict {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return owner.Submit(ctx, workflow).Kind
}

const (
	accepted  = cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_ACCEPTED
	refused   = cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_REFUSED
	uncertain = cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_UNCERTAIN
	notOwner  = cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_NOT_OWNER
)

// accept submits a job until it is accepted.
func (c *cell) accept(owner *drive.Drive, id string) {
	Eventually(func() cairnbayv1.SubmitVerdict { return submit(owner, job(id, 3), time.Second) }, "10s", "20ms").
		Should(Equal(accepted))
}

// acceptWide submits a job that needs three workers, and waits until each runs
// some of it.
func (c *cell) acceptWide(owner *drive.Drive, id string) {
	c.runTime.Store(int64(800 * time.Millisecond))
	Eventually(func() cairnbayv1.SubmitVerdict { return submit(owner, job(id, 10), time.Second) }, "10s", "20ms").
		Should(Equal(accepted))
	for _, worker := range c.workers {
		Eventually(func() []cairnbay.WorkflowTask { return c.fleet.Running(worker) }, "3s", "1ms").ShouldNot(BeEmpty())
	}
}

func stateOf(owner *drive.Drive, id string) func() cairnbay.WorkflowState {
	return func() cairnbay.WorkflowState {
		state, _ := owner.Inspect(context.Background(), id)
		return state
	}
}

// forgetful loses the answers to some starts that were carried out, and takes
// its time to show a worker's state.
type forgetful struct {
	*agent.Fleet
	lose atomic.Int32
	slow atomic.Int64
}

func (f *forgetful) Hold(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentHold) (cairnbay.AgentState, error) {
	time.Sleep(time.Duration(f.slow.Load()))
	return f.Fleet.Hold(ctx, target, order)
}

func (f *forgetful) Start(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentStart) (time.Duration, error) {
	clock, err := f.Fleet.Start(ctx, target, order)
	if f.lose.Add(-1) < 0 {
		return clock, err
	}
	<-ctx.Done()
	return 0, cairnbay.ErrUnknown
}

var _ = Describe("an owner", func() {
	It("takes no task that ended before its repeated start for one that never ran", func() {
		c := newCell(2)
		c.runTime.Store(int64(40 * time.Millisecond))
		losing := &forgetful{Fleet: c.fleet}
		c.agent = losing
		owner := c.own()
		DeferCleanup(owner.Close)
		c.accept(owner, "first")
		Eventually(stateOf(owner, "first"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
		losing.lose.Store(4)
		losing.slow.Store(int64(400 * time.Millisecond))
		c.accept(owner, "j")
		Eventually(stateOf(owner, "j"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
		Expect(c.fleet.Broken()).To(BeEmpty())
	})

	It("runs a job to its end", func() {
		c := newCell(2)
		owner := c.own()
		DeferCleanup(owner.Close)
		c.accept(owner, "j")
		Eventually(stateOf(owner, "j"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
		Expect(c.fleet.Broken()).To(BeEmpty())
	})

	It("takes a repeated submission for the same job", func() {
		c := newCell(2)
		owner := c.own()
		DeferCleanup(owner.Close)
		c.accept(owner, "j")
		Eventually(stateOf(owner, "j"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
		starts := c.fleet.Starts()
		Expect(submit(owner, job("j", 3), time.Second)).To(Equal(accepted))
		Consistently(c.fleet.Starts, "400ms").Should(Equal(starts))
	})

	It("refuses at once while the store refuses, and runs nothing of it", func() {
		c := newCell(2)
		owner := c.own()
		DeferCleanup(owner.Close)
		c.accept(owner, "first")
		Eventually(stateOf(owner, "first"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
		c.store.SetDown(true)
		began := time.Now()
		Expect(submit(owner, job("j", 3), 3*time.Second)).To(Equal(refused))
		Expect(time.Since(began)).To(BeNumerically("<", 700*time.Millisecond))
		c.store.SetDown(false)
		starts := c.fleet.Starts()
		Consistently(c.fleet.Starts, "700ms").Should(Equal(starts))
		state, owns := owner.Inspect(context.Background(), "j")
		Expect(owns).To(BeTrue())
		Expect(state).To(Equal(cairnbay.WorkflowUnknown))
	})

	It("goes on placing what is accepted while the store is down", func() {
		c := newCell(2)
		owner := c.own()
		DeferCleanup(owner.Close)
		c.accept(owner, "j")
		c.store.SetDown(true)
		Eventually(c.fleet.Starts, "5s").Should(BeNumerically(">=", 4))
		Expect(stateOf(owner, "j")()).NotTo(Equal(cairnbay.WorkflowCompleted))
		c.store.SetDown(false)
		Eventually(stateOf(owner, "j"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
		Expect(c.fleet.Broken()).To(BeEmpty())
	})

	It("answers an acceptance that is stored, even when it stops meanwhile", func() {
		c := newCell(2)
		owner := c.own()
		c.accept(owner, "first")
		c.store.SetSlow(300 * time.Millisecond)
		verdict := make(chan cairnbayv1.SubmitVerdict, 1)
		go func() { verdict <- submit(owner, job("j", 3), 3*time.Second) }()
		time.Sleep(100 * time.Millisecond)
		owner.Close()
		got := <-verdict
		c.store.SetSlow(0)
		next := c.own()
		DeferCleanup(next.Close)
		Eventually(func() bool { _, owns := next.Inspect(context.Background(), "j"); return owns }, "5s").Should(BeTrue())
		if state, _ := next.Inspect(context.Background(), "j"); state != cairnbay.WorkflowUnknown {
			Expect(got).To(BeElementOf(accepted, uncertain))
		}
		Expect(got).NotTo(Equal(refused))
		Expect(got).NotTo(Equal(notOwner))
	})

	It("tells of a job's end as soon as it is stored, and not before", func() {
		c := newCell(3)
		owner := c.own()
		DeferCleanup(owner.Close)
		c.accept(owner, "j")
		c.store.SetSlow(60 * time.Millisecond)
		Eventually(func() int { return c.fleet.Done("j") }, "10s", "1ms").Should(Equal(4))
		last := time.Now()
		state, _ := owner.Inspect(context.Background(), "j")
		for state == cairnbay.WorkflowRunning && time.Since(last) < 50*time.Millisecond {
			// The end itself takes a moment to reach the owner.
			time.Sleep(time.Millisecond)
			state, _ = owner.Inspect(context.Background(), "j")
		}
		Expect(state).To(Equal(cairnbay.WorkflowCompleted))

		c.store.SetSlow(0)
		c.accept(owner, "unstored")
		c.store.SetDown(true)
		Eventually(func() int { return c.fleet.Done("unstored") }, "10s", "1ms").Should(Equal(4))
		began := time.Now()
		state, _ = owner.Inspect(context.Background(), "unstored")
		Expect(state).To(Equal(cairnbay.WorkflowRunning))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		c.store.SetDown(false)
		Eventually(stateOf(owner, "unstored"), "5s").Should(Equal(cairnbay.WorkflowCompleted))
	})

	It("stops a cancelled job", func() {
		c := newCell(1)
		owner := c.own()
		DeferCleanup(owner.Close)
		c.accept(owner, "j")
		Expect(owner.Cancel(context.Background(), "j")).To(Succeed())
		Expect(owner.Cancel(context.Background(), "none")).To(MatchError(cairnbay.ErrNotFound))
		Eventually(func() []cairnbay.WorkflowTask { return c.fleet.Running("w0") }, "3s").Should(BeEmpty())
		Expect(stateOf(owner, "j")()).To(Equal(cairnbay.WorkflowCancelled))
	})

	It("gives up what a silent worker ran once its lease has ended, and not before", func() {
		c := newCell(3)
		owner := c.own()
		DeferCleanup(owner.Close)
		c.acceptWide(owner, "j")
		c.fleet.Cut("w0", true)
		Eventually(stateOf(owner, "j"), "15s").Should(Equal(cairnbay.WorkflowCompleted))
		Expect(c.fleet.Broken()).To(BeEmpty())
	})

	It("starts nothing that may still run on a worker that does not answer the new owner", func() {
		c := newCell(3)
		owner := c.own()
		c.acceptWide(owner, "j")
		c.fleet.Cut("w0", true)
		owner.Close()
		next := c.own()
		DeferCleanup(next.Close)
		Eventually(stateOf(next, "j"), "20s").Should(Equal(cairnbay.WorkflowCompleted))
		Expect(c.fleet.Broken()).To(BeEmpty())
	})

	It("waits for a silent worker no longer than for its lease when its former life was the owner", func() {
		c := newCell(3)
		owner := c.own()
		c.acceptWide(owner, "j")
		c.fleet.Cut("w0", true)
		owner.Close()
		c.formerLife = true
		next := c.own()
		DeferCleanup(next.Close)
		c.runTime.Store(int64(runTime))
		Eventually(stateOf(next, "j"), "3s").Should(Equal(cairnbay.WorkflowCompleted))
		Expect(c.fleet.Broken()).To(BeEmpty())
	})

	It("does not wait for a worker that had announced its leaving and is not listed any more", func() {
		c := newCell(3)
		owner := c.own()
		c.acceptWide(owner, "j")
		leaving := c.entries()
		leaving[0].Draining = true
		owner.SetWorkers(leaving)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(owner.Flush(ctx)).To(Succeed())
		c.fleet.Cut("w0", true)
		owner.Close()
		c.workers = c.workers[1:]
		c.runTime.Store(int64(runTime))
		next := c.own()
		DeferCleanup(next.Close)
		Eventually(stateOf(next, "j"), "3500ms").Should(Equal(cairnbay.WorkflowCompleted))
		Expect(c.fleet.Broken()).To(BeEmpty())
	})

	It("does not wait for a worker whose lease had ended before its predecessor did", func() {
		c := newCell(3)
		owner := c.own()
		c.acceptWide(owner, "j")
		c.fleet.Cut("w0", true)
		Eventually(stateOf(owner, "j"), "15s").Should(Equal(cairnbay.WorkflowCompleted))
		c.runTime.Store(int64(300 * time.Millisecond))
		Expect(submit(owner, job("waiting", 20), time.Second)).To(Equal(accepted))
		owner.Close()
		next := c.own()
		DeferCleanup(next.Close)
		Eventually(stateOf(next, "waiting"), "3s").Should(Equal(cairnbay.WorkflowCompleted))
		Expect(c.fleet.Broken()).To(BeEmpty())
	})

	It("rewrites a long journal, and the next owner knows the same", func() {
		c := newCell(3)
		c.maxSegments = 5
		owner := c.own()
		for n := range 6 {
			c.accept(owner, fmt.Sprint("j", n))
		}
		for n := range 6 {
			Eventually(stateOf(owner, fmt.Sprint("j", n)), "10s").Should(Equal(cairnbay.WorkflowCompleted))
		}
		c.accept(owner, "gone")
		Expect(owner.Cancel(context.Background(), "gone")).To(Succeed())
		Eventually(func() int {
			listing, err := c.store.List(context.Background(), "cairnbay/journal/")
			Expect(err).NotTo(HaveOccurred())
			return len(listing.Entries)
		}, "10s").Should(BeNumerically("<=", 6))
		starts := c.fleet.Starts()
		owner.Close()
		next := c.own()
		DeferCleanup(next.Close)
		for n := range 6 {
			Eventually(stateOf(next, fmt.Sprint("j", n)), "5s").Should(Equal(cairnbay.WorkflowCompleted))
		}
		Eventually(stateOf(next, "gone"), "5s").Should(Equal(cairnbay.WorkflowCancelled))
		Consistently(c.fleet.Starts, "300ms").Should(Equal(starts))
		Expect(c.fleet.Broken()).To(BeEmpty())
	})

	It("orders nothing once a newer owner has claimed its workers", func() {
		c := newCell(2)
		former := c.own()
		DeferCleanup(former.Close)
		c.accept(former, "j")
		next := c.own()
		DeferCleanup(next.Close)
		Eventually(stateOf(next, "j"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
		Eventually(func() cairnbayv1.SubmitVerdict { return submit(former, job("k", 3), time.Second) }, "5s").
			Should(Equal(notOwner))
		Expect(c.fleet.Broken()).To(BeEmpty())
	})
})

// Owners die, workers are cut, mute and replaced, the store is down and loses
// answers, all at random moments; every accepted job must still complete, and
// nothing may run twice or over a worker's capacity.
var _ = Describe("owners under faults", func() {
	for seed := uint64(1); seed <= 4; seed++ {
		It(fmt.Sprintf("lose and double nothing (seed %d)", seed), func() {
			random := rand.New(rand.NewPCG(seed, 9))
			c := newCell(5)
			c.maxSegments = 8
			owner := c.own()
			var taken []string
			maybe := make(map[string]bool)
			for round := range 14 {
				id := fmt.Sprintf("j%02d", round)
				switch submit(owner, job(id, 1+random.IntN(5)), 400*time.Millisecond) {
				case accepted:
					taken = append(taken, id)
				case uncertain:
					maybe[id] = true
				}
				worker := c.workers[random.IntN(len(c.workers))]
				switch random.IntN(9) {
				case 0:
					owner.Close()
					owner = c.own()
				case 1:
					former := owner
					owner = c.own()
					DeferCleanup(former.Close)
				case 2:
					c.fleet.Cut(worker, true)
					time.AfterFunc(time.Duration(random.IntN(2000))*time.Millisecond, func() { c.fleet.Cut(worker, false) })
				case 3:
					c.fleet.Mute(worker, true)
					time.AfterFunc(time.Duration(random.IntN(900))*time.Millisecond, func() { c.fleet.Mute(worker, false) })
				case 4:
					c.store.SetDown(true)
					time.AfterFunc(time.Duration(random.IntN(900))*time.Millisecond, func() { c.store.SetDown(false) })
				case 5:
					c.store.LoseAnswers(1 + random.IntN(3))
				case 6:
					c.store.LoseWrites(1 + random.IntN(3))
				case 7:
					c.fleet.Crash(worker)
					c.workers = slices.DeleteFunc(c.workers, func(id string) bool { return id == worker })
					fresh := fmt.Sprintf("x%d", round)
					c.workers = append(c.workers, fresh)
					c.fleet.Add(fresh, cairnbay.Resources{MilliCPU: 4000, MemoryMB: 400})
					owner.SetWorkers(c.entries())
				}
				time.Sleep(time.Duration(random.IntN(250)) * time.Millisecond)
			}
			for _, id := range taken {
				Eventually(stateOf(owner, id), "40s").Should(Equal(cairnbay.WorkflowCompleted), id)
			}
			DeferCleanup(owner.Close)
			Expect(c.fleet.Broken()).To(BeEmpty())
		})
	}
})
