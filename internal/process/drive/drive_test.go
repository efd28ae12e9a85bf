package drive_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/fake/agent"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/fake/suite"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/sched"
	"cairnbay/internal/process/tenure"
	"cairnbay/internal/process/timer"
)

func TestDrive(t *testing.T) {
	suite.Run(t, "drive")
}

const (
	class = "c"
	// lease is the lease that the owners under test grant.
	lease = time.Second
	// runTime is the default run time of a task.
	runTime = 150 * time.Millisecond
)

// cluster is a store and a fleet of workers, with successive owners.
type cluster struct {
	store   *store.Store
	fleet   *agent.Fleet
	clock   *timer.Service
	log     *logrus.Entry
	workers []string
	// listed returns the platform's list; nil for one entry for each of workers.
	listed     func() []cairnbay.WorkerEntry
	generation uint64
	fence      cairnbay.Expectation
	// afterRestart says that the next owner is the former owner, restarted.
	afterRestart bool
	// agent is what owners call in place of the fleet; nil for the fleet itself.
	agent cairnbay.Agent
	// caller is the store as owners call it; nil for the store itself.
	caller cairnbay.BatchStore
	// maxStoreSilence is how long owners go on without the store; 0 for the default.
	maxStoreSilence time.Duration
	// maxSegments and maxGrowth are the number of segments and the bytes of growth
	// from which owners rewrite the journal.
	maxSegments, maxGrowth int
	// lease, learn and metrics are those of the owners.
	lease   time.Duration
	learn   sched.LearnUses
	metrics *metrics.Set

	// runTime is how long each task runs, in nanoseconds.
	runTime atomic.Int64
}

func newCluster(workers int) *cluster {
	clock := timer.New()
	DeferCleanup(clock.Close)
	logger := logrus.New()
	logger.SetOutput(GinkgoWriter) // printed beside a failure
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, TimestampFormat: time.StampMicro})
	c := &cluster{
		store: store.New(store.Config{Clock: clock}), clock: clock, log: logger.WithField("test", true),
		maxSegments: 1000, maxGrowth: 1 << 20, lease: lease,
	}
	c.runTime.Store(int64(runTime))
	c.fleet = agent.New(agent.Config{
		Now:     timer.Boot,
		RunTime: func(cairnbay.WorkflowTask) time.Duration { return time.Duration(c.runTime.Load()) },
		// The second task of a step fails on odd attempts, so that it is retried.
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

// startOwner starts the next owner of the class.
func (c *cluster) startOwner() *drive.Drive {
	ctx := context.Background()
	c.generation++
	var revision cairnbay.Revision
	Eventually(func() (err error) {
		revision, err = c.store.Put(ctx, "generation", []byte{byte(c.generation)}, c.fence.Revision, 0)
		return err
	}, "10s").Should(Succeed())
	c.fence = cairnbay.Expectation{Key: "generation", Revision: revision}
	owner := drive.New(drive.Config{
		Claim: tenure.Claim{Shard: class, Token: uint64(revision), Generation: c.generation, Fence: c.fence, ClaimedAt: timer.Boot(), AfterRestart: c.afterRestart},
		Store: cmp.Or[cairnbay.BatchStore](c.caller, c.store), Agent: cmp.Or[cairnbay.Agent](c.agent, c.fleet), Clock: c.clock, BootTime: timer.Boot, Log: c.log, Lease: c.lease, MaxLease: maxWorkerLease,
		AdviceLimits: func() (int, int) { return 4, 4 }, Advise: c.advise,
		MaxStoreSilence: c.maxStoreSilence, MaxSegments: c.maxSegments, MaxGrowth: c.maxGrowth, Metrics: c.metrics, OnFenced: func() {},
		Sched: sched.Config{Retention: time.Minute, StopTime: 50 * time.Millisecond, Learn: c.learn},
	})
	owner.SetWorkers(c.entries())
	return owner
}

func (c *cluster) advise(_ context.Context, action *sched.AdviseAction) ([]cairnbay.Ticket, error) {
	var tickets []cairnbay.Ticket
	for _, worker := range action.Workers {
		tickets = append(tickets, cairnbay.Ticket{Worker: worker, Ticket: "t"})
	}
	return tickets, nil
}

func (c *cluster) entries() []cairnbay.WorkerEntry {
	if c.listed != nil {
		return c.listed()
	}
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

func submit(owner *drive.Drive, workflow cairnbay.Workflow, timeout time.Duration) cairnbayv1.SubmitVerdict {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return owner.Submit(ctx, drive.Submission{Workflow: workflow}).Kind
}

const (
	accepted  = cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_ACCEPTED
	refused   = cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_REFUSED
	uncertain = cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_UNCERTAIN
	notOwner  = cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_NOT_OWNER
)

// accept submits a job until it is accepted.
func (c *cluster) accept(owner *drive.Drive, id string) {
	Eventually(func() cairnbayv1.SubmitVerdict { return submit(owner, job(id, 3), time.Second) }, "10s", "20ms").Should(Equal(accepted))
}

// acceptWide submits a job of ten tasks, of which a worker runs at most four, and
// waits until each worker runs one.
func (c *cluster) acceptWide(owner *drive.Drive, id string) {
	c.runTime.Store(int64(800 * time.Millisecond))
	Eventually(func() cairnbayv1.SubmitVerdict { return submit(owner, job(id, 10), time.Second) }, "10s", "20ms").
		Should(Equal(accepted))
	for _, worker := range c.workers {
		Eventually(func() []cairnbay.WorkflowTask { return c.fleet.Running(worker) }, "3s", "1ms").ShouldNot(BeEmpty())
	}
}

func jobState(owner *drive.Drive, id string) func() cairnbay.WorkflowState {
	return func() cairnbay.WorkflowState {
		state, _ := owner.Inspect(context.Background(), id)
		return state
	}
}

var _ = Describe("an owner", func() {
	It("does not run a task again that ended before its repeated start arrived", func() {
		c := newCluster(2)
		c.runTime.Store(int64(40 * time.Millisecond))
		faulty := &faultyAgent{Fleet: c.fleet}
		c.agent = faulty
		owner := c.startOwner()
		DeferCleanup(owner.Close)
		c.accept(owner, "first")
		Eventually(jobState(owner, "first"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
		faulty.lostStarts.Store(4)
		faulty.holdDelay.Store(int64(400 * time.Millisecond))
		c.accept(owner, "j")
		Eventually(jobState(owner, "j"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
		Expect(c.fleet.Broken()).To(BeEmpty())
	})

	It("runs a job to its end", func() {
		c := newCluster(2)
		owner := c.startOwner()
		DeferCleanup(owner.Close)
		c.accept(owner, "j")
		Eventually(jobState(owner, "j"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
		Expect(c.fleet.Broken()).To(BeEmpty())
	})

	It("treats a repeated submission as the same job", func() {
		c := newCluster(2)
		owner := c.startOwner()
		DeferCleanup(owner.Close)
		c.accept(owner, "j")
		Eventually(jobState(owner, "j"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
		starts := c.fleet.Starts()
		Expect(submit(owner, job("j", 3), time.Second)).To(Equal(accepted))
		Consistently(c.fleet.Starts, "400ms").Should(Equal(starts))
	})

	It("refuses submissions at once while the store is down, and starts none of their tasks", func() {
		c := newCluster(2)
		owner := c.startOwner()
		DeferCleanup(owner.Close)
		c.accept(owner, "first")
		Eventually(jobState(owner, "first"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
		c.store.SetDown(true)
		submittedAt := time.Now()
		Expect(submit(owner, job("j", 3), 3*time.Second)).To(Equal(refused))
		Expect(time.Since(submittedAt)).To(BeNumerically("<", 700*time.Millisecond))
		c.store.SetDown(false)
		starts := c.fleet.Starts()
		Consistently(c.fleet.Starts, "700ms").Should(Equal(starts))
		state, err := owner.Inspect(context.Background(), "j")
		Expect(err).NotTo(HaveOccurred())
		Expect(state).To(Equal(cairnbay.WorkflowUnknown))
	})

	It("goes on placing accepted jobs while the store is down", func() {
		c := newCluster(2)
		owner := c.startOwner()
		DeferCleanup(owner.Close)
		c.accept(owner, "j")
		c.store.SetDown(true)
		Eventually(c.fleet.Starts, "5s").Should(BeNumerically(">=", 4))
		Expect(jobState(owner, "j")()).NotTo(Equal(cairnbay.WorkflowCompleted))
		c.store.SetDown(false)
		Eventually(jobState(owner, "j"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
		Expect(c.fleet.Broken()).To(BeEmpty())
	})

	It("does not refuse a submission that is stored while the owner stops", func() {
		c := newCluster(2)
		owner := c.startOwner()
		c.accept(owner, "first")
		c.store.SetSlow(300 * time.Millisecond)
		verdict := make(chan cairnbayv1.SubmitVerdict, 1)
		go func() { verdict <- submit(owner, job("j", 3), 3*time.Second) }()
		time.Sleep(100 * time.Millisecond)
		owner.Close()
		got := <-verdict
		c.store.SetSlow(0)
		next := c.startOwner()
		DeferCleanup(next.Close)
		Eventually(func() bool { _, err := next.Inspect(context.Background(), "j"); return err == nil }, "5s").Should(BeTrue())
		if state, _ := next.Inspect(context.Background(), "j"); state != cairnbay.WorkflowUnknown {
			Expect(got).To(BeElementOf(accepted, uncertain))
		}
		Expect(got).NotTo(Equal(refused))
		Expect(got).NotTo(Equal(notOwner))
	})

	It("reports the end of a job as soon as it is stored, and not before", Label(suite.Timing), func() {
		c := newCluster(3)
		owner := c.startOwner()
		DeferCleanup(owner.Close)
		c.accept(owner, "j")
		c.store.SetSlow(60 * time.Millisecond)
		// A job has three tasks in its first step and one in its second.
		Eventually(func() int { return c.fleet.Done("j") }, "10s", "1ms").Should(Equal(4))
		endedAt := time.Now()
		state, _ := owner.Inspect(context.Background(), "j")
		for state == cairnbay.WorkflowRunning && time.Since(endedAt) < 50*time.Millisecond {
			// The next renewal reports the end.
			time.Sleep(time.Millisecond)
			state, _ = owner.Inspect(context.Background(), "j")
		}
		Expect(state).To(Equal(cairnbay.WorkflowCompleted))

		c.store.SetSlow(0)
		c.accept(owner, "unstored")
		c.store.SetDown(true)
		Eventually(func() int { return c.fleet.Done("unstored") }, "10s", "1ms").Should(Equal(4))
		inspectedAt := time.Now()
		state, _ = owner.Inspect(context.Background(), "unstored")
		Expect(state).To(Equal(cairnbay.WorkflowRunning))
		Expect(time.Since(inspectedAt)).To(BeNumerically("<", time.Second))
		c.store.SetDown(false)
		Eventually(jobState(owner, "unstored"), "5s").Should(Equal(cairnbay.WorkflowCompleted))
	})

	It("stops a cancelled job", func() {
		c := newCluster(1)
		owner := c.startOwner()
		DeferCleanup(owner.Close)
		c.accept(owner, "j")
		Expect(owner.Cancel(context.Background(), drive.Cancellation{ID: "j"})).To(Succeed())
		Expect(owner.Cancel(context.Background(), drive.Cancellation{ID: "none"})).To(MatchError(cairnbay.ErrNotFound))
		Eventually(func() []cairnbay.WorkflowTask { return c.fleet.Running("w0") }, "3s").Should(BeEmpty())
		Expect(jobState(owner, "j")()).To(Equal(cairnbay.WorkflowCancelled))
	})

	It("runs the tasks of a silent worker again once its lease has ended, and not before", func() {
		c := newCluster(3)
		owner := c.startOwner()
		DeferCleanup(owner.Close)
		c.acceptWide(owner, "j")
		c.fleet.Cut("w0", true)
		Eventually(jobState(owner, "j"), "15s").Should(Equal(cairnbay.WorkflowCompleted))
		Expect(c.fleet.Broken()).To(BeEmpty())
	})

	It("does not start tasks that may still run on a worker that does not answer the new owner", func() {
		c := newCluster(3)
		owner := c.startOwner()
		c.acceptWide(owner, "j")
		c.fleet.Cut("w0", true)
		owner.Close()
		next := c.startOwner()
		DeferCleanup(next.Close)
		Eventually(jobState(next, "j"), "20s").Should(Equal(cairnbay.WorkflowCompleted))
		Expect(c.fleet.Broken()).To(BeEmpty())
	})

	It("waits for a silent worker only until its lease ends when the former owner restarts", func() {
		c := newCluster(3)
		owner := c.startOwner()
		c.acceptWide(owner, "j")
		c.fleet.Cut("w0", true)
		owner.Close()
		c.afterRestart = true
		next := c.startOwner()
		DeferCleanup(next.Close)
		c.runTime.Store(int64(runTime))
		// The lease ends 1.33 s after the claim. The new owner would wait for 3.83 s
		// if another instance had been the former owner.
		Eventually(jobState(next, "j"), "3s").Should(Equal(cairnbay.WorkflowCompleted))
		Expect(c.fleet.Broken()).To(BeEmpty())
	})

	It("does not wait for a worker whose lease ended under the former owner", func() {
		c := newCluster(3)
		owner := c.startOwner()
		c.acceptWide(owner, "j")
		c.fleet.Cut("w0", true)
		Eventually(jobState(owner, "j"), "15s").Should(Equal(cairnbay.WorkflowCompleted))
		c.runTime.Store(int64(300 * time.Millisecond))
		Expect(submit(owner, job("waiting", 20), time.Second)).To(Equal(accepted))
		owner.Close()
		next := c.startOwner()
		DeferCleanup(next.Close)
		// Waiting for the worker would take at least 3.83 s.
		Eventually(jobState(next, "waiting"), "3s").Should(Equal(cairnbay.WorkflowCompleted))
		Expect(c.fleet.Broken()).To(BeEmpty())
	})

	It("rewrites a long journal, from which the next owner loads the same state", func() {
		c := newCluster(3)
		c.maxSegments = 5
		owner := c.startOwner()
		for n := range 6 {
			c.accept(owner, fmt.Sprint("j", n))
		}
		for n := range 6 {
			Eventually(jobState(owner, fmt.Sprint("j", n)), "10s").Should(Equal(cairnbay.WorkflowCompleted))
		}
		c.accept(owner, "gone")
		Expect(owner.Cancel(context.Background(), drive.Cancellation{ID: "gone"})).To(Succeed())
		Eventually(func() int {
			listing, err := c.store.List(context.Background(), "cairnbay/journal/")
			Expect(err).NotTo(HaveOccurred())
			return len(listing.Entries)
		}, "10s").Should(BeNumerically("<=", 6))
		starts := c.fleet.Starts()
		owner.Close()
		next := c.startOwner()
		DeferCleanup(next.Close)
		for n := range 6 {
			Eventually(jobState(next, fmt.Sprint("j", n)), "5s").Should(Equal(cairnbay.WorkflowCompleted))
		}
		Eventually(jobState(next, "gone"), "5s").Should(Equal(cairnbay.WorkflowCancelled))
		Consistently(c.fleet.Starts, "300ms").Should(Equal(starts))
		Expect(c.fleet.Broken()).To(BeEmpty())
	})

	It("refuses submissions once a newer owner has claimed its workers", func() {
		c := newCluster(2)
		former := c.startOwner()
		DeferCleanup(former.Close)
		c.accept(former, "j")
		next := c.startOwner()
		DeferCleanup(next.Close)
		Eventually(jobState(next, "j"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
		Eventually(func() cairnbayv1.SubmitVerdict { return submit(former, job("k", 3), time.Second) }, "5s").
			Should(Equal(notOwner))
		Expect(c.fleet.Broken()).To(BeEmpty())
	})
})

// Owners stop or are fenced, workers are cut off, carry out calls without
// answering or crash, and the store is down or loses answers and writes, all at
// random times. Every accepted job must still complete, no task may run twice,
// and no worker may exceed its capacity.
var _ = Describe("owners under faults", func() {
	for seed := uint64(1); seed <= 4; seed++ {
		It(fmt.Sprintf("complete every accepted job and run no task twice (seed %d)", seed), func() {
			random := rand.New(rand.NewPCG(seed, 9))
			c := newCluster(5)
			c.maxSegments = 8
			owner := c.startOwner()
			var acceptedIDs []string
			uncertainIDs := make(map[string]bool)
			for round := range 14 {
				id := fmt.Sprintf("j%02d", round)
				switch submit(owner, job(id, 1+random.IntN(5)), 400*time.Millisecond) {
				case accepted:
					acceptedIDs = append(acceptedIDs, id)
				case uncertain:
					uncertainIDs[id] = true
				}
				worker := c.workers[random.IntN(len(c.workers))]
				switch random.IntN(9) {
				case 0:
					owner.Close()
					owner = c.startOwner()
				case 1:
					former := owner
					owner = c.startOwner()
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
			for _, id := range acceptedIDs {
				Eventually(jobState(owner, id), "40s").Should(Equal(cairnbay.WorkflowCompleted), id)
			}
			DeferCleanup(owner.Close)
			Expect(c.fleet.Broken()).To(BeEmpty())
		})
	}
})
