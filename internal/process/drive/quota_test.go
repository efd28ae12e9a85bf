package drive_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
	"cairnbay/internal/fake/agent"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/process/allot"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/sched"
	"cairnbay/internal/process/tenure"
	"cairnbay/internal/process/timer"
)

const (
	quotaWorkers = 4
	// configApply is how long after a change the former quota counts as well.
	configApply = 3 * time.Second
	// quotaOverage is the share above the quota that is no violation, beyond one task.
	quotaOverage = 0.1
)

// quotaAgent compares the running total at each start with the quota.
type quotaAgent struct {
	*agent.Fleet
	system *quotaSystem

	mu      sync.Mutex
	highest int
	broken  []string
}

func (a *quotaAgent) Start(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentStart) (time.Duration, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	clock, err := a.Fleet.Start(ctx, target, order)
	total := 0
	for _, worker := range a.system.workers {
		total += len(a.Running(worker))
	}
	bound := a.system.bound()
	a.highest = max(a.highest, total)
	if err == nil && float64(total) > float64(bound)*(1+quotaOverage)+1 {
		a.broken = append(a.broken, fmt.Sprintf("%d tasks run after the start of %v, of a quota of %d", total, order.Task, bound))
	}
	return clock, err
}

// quotaSystem is two shards with their owners over one store, and one workspace.
type quotaSystem struct {
	store   *store.Store
	clock   *timer.Service
	log     *logrus.Entry
	fleet   *quotaAgent
	workers []string
	cut     atomic.Bool

	mu     sync.Mutex
	owners map[string]*quotaOwner
	quota  int
	// former is the highest quota that may still count, until formerUntil.
	former      int
	formerUntil time.Time
}

type quotaOwner struct {
	drive      *drive.Drive
	quotas     *allot.Owner
	generation uint64
	fence      cairnbay.Expectation
}

func newQuotaSystem(quota int) *quotaSystem {
	clock := timer.New()
	DeferCleanup(clock.Close)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := &quotaSystem{
		store: store.New(store.Config{Clock: clock}), clock: clock, log: logger.WithField("test", true),
		owners: make(map[string]*quotaOwner), quota: quota,
	}
	s.fleet = &quotaAgent{system: s, Fleet: agent.New(agent.Config{
		Now:     timer.Boot,
		RunTime: func(cairnbay.WorkflowTask) time.Duration { return 2 * runTime },
		Size:    func(cairnbay.WorkflowTask) cairnbay.Resources { return cairnbay.Resources{MilliCPU: 1000} },
	})}
	for _, shard := range s.shards() {
		for i := range quotaWorkers {
			id := fmt.Sprint(shard, "-w", i)
			s.workers = append(s.workers, id)
			s.fleet.Add(id, cairnbay.Resources{MilliCPU: 4000})
		}
	}
	return s
}

func (s *quotaSystem) shards() []string { return []string{"c1", "c2"} }

func (s *quotaSystem) bound() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.formerUntil) {
		return max(s.quota, s.former)
	}
	return s.quota
}

func (s *quotaSystem) workspaces() []cairnbay.Workspace {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []cairnbay.Workspace{{Name: "a", Weight: 1, Quota: cairnbay.Resources{MilliCPU: int64(s.quota) * 1000}}}
}

// setQuota changes the quota, which the owners adopt after delays.
func (s *quotaSystem) setQuota(quota int, delay time.Duration) {
	s.mu.Lock()
	if time.Now().After(s.formerUntil) {
		s.former = 0
	}
	s.former, s.formerUntil = max(s.quota, s.former), time.Now().Add(configApply)
	s.quota = quota
	owners := []*quotaOwner{s.owners["c1"], s.owners["c2"]}
	s.mu.Unlock()
	owners[0].quotas.SetWorkspaces(s.workspaces())
	time.Sleep(delay)
	owners[1].quotas.SetWorkspaces(s.workspaces())
}

type quotaRelay struct {
	cairnbayv1connect.RelayClient
	system *quotaSystem
}

func (r quotaRelay) RequestQuota(
	ctx context.Context, request *connect.Request[cairnbayv1.RequestQuotaRequest],
) (*connect.Response[cairnbayv1.RequestQuotaResponse], error) {
	owner := r.system.owner(request.Msg.GetShard())
	if owner == nil || r.system.cut.Load() {
		return nil, connect.NewError(connect.CodeUnavailable, cairnbay.ErrUnavailable)
	}
	return connect.NewResponse(owner.quotas.Give(ctx, request.Msg)), nil
}

func (s *quotaSystem) owner(shard string) *quotaOwner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owners[shard]
}

// start starts the next owner of a shard, beside the former one, and returns that.
func (s *quotaSystem) start(shard string) (former *quotaOwner) {
	former = s.owner(shard)
	next := &quotaOwner{generation: 1, fence: cairnbay.Expectation{Key: "generation/" + shard}}
	if former != nil {
		next.generation, next.fence = former.generation+1, former.fence
	}
	Eventually(func() (err error) {
		var revision cairnbay.Revision
		revision, err = s.store.Put(context.Background(), next.fence.Key, []byte{byte(next.generation)}, next.fence.Revision, 0)
		if err == nil {
			next.fence.Revision = revision
		} else if entry, getErr := s.store.Get(context.Background(), next.fence.Key); getErr == nil {
			next.fence.Revision = entry.Revision
		}
		return err
	}, "10s").Should(Succeed())
	claim := tenure.Claim{
		Shard: shard, Token: uint64(next.fence.Revision), Generation: next.generation, Fence: next.fence,
		ClaimedAt: timer.Boot(),
	}
	next.quotas = allot.New(allot.Config{
		Claim: claim, Store: s.store, Workspaces: s.workspaces(), Shards: s.shards, Address: func(shard string) string { return shard },
		Client: func(string) cairnbayv1connect.RelayClient { return quotaRelay{system: s} },
		Clock:  s.clock, BootTime: timer.Boot, Log: s.log, WatchStallTimeout: time.Second,
	})
	next.drive = drive.New(drive.Config{
		Claim: claim, Store: s.store, Agent: s.fleet, Clock: s.clock, BootTime: timer.Boot, Log: s.log, Lease: lease, MaxLease: maxWorkerLease,
		AdviceLimits: func() (int, int) { return 4, 4 }, MaxSegments: 1000, MaxGrowth: 1 << 20,
		Sched: sched.Config{Retention: time.Minute, StopTime: 50 * time.Millisecond}, OnFenced: func() {},
		Workspaces: next.quotas.Terms, OnQuotaHeld: next.quotas.Wake,
	})
	next.quotas.Start(next.drive)
	var entries []cairnbay.WorkerEntry
	for i := range quotaWorkers {
		id := fmt.Sprint(shard, "-w", i)
		entries = append(entries, cairnbay.WorkerEntry{ID: id, Class: shard, Address: id, Capacity: cairnbay.Resources{MilliCPU: 4000}})
	}
	next.drive.SetWorkers(entries)
	s.mu.Lock()
	s.owners[shard] = next
	s.mu.Unlock()
	DeferCleanup(next.close)
	return former
}

func (o *quotaOwner) close() {
	o.quotas.Close()
	o.drive.Close()
}

// submit submits a job until it is accepted or the time is up.
func (s *quotaSystem) submit(shard, id string, tasks int, gang bool) bool {
	workflow := cairnbay.Workflow{
		ID: id, Workspace: "a", Queue: cairnbay.Queue{Name: "q", Stretch: 100, TargetLatency: time.Minute},
		Steps: []cairnbay.WorkflowStep{{Tasks: tasks, Gang: gang, Size: cairnbay.Resources{MilliCPU: 1000}, RunTime: 2 * runTime, Checkpoints: !gang}},
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return s.owner(shard).drive.Submit(ctx, drive.Submission{Workflow: workflow}).Kind == cairnbayv1.SubmitVerdict_SUBMIT_VERDICT_ACCEPTED
}

func (s *quotaSystem) awaitCompleted(shard, id string) {
	Eventually(func() cairnbay.WorkflowState {
		state, _ := s.owner(shard).drive.Inspect(context.Background(), id)
		return state
	}, "40s", "20ms").Should(Equal(cairnbay.WorkflowCompleted), id)
}

var _ = Describe("owners of two shards with one quota", func() {
	It("start work at once after the first claim, and use the quota together", func() {
		s := newQuotaSystem(10)
		s.start("c1")
		s.start("c2")
		startedAt := time.Now()
		Eventually(func() bool { return s.submit("c1", "j", 20, false) }, "5s", "5ms").Should(BeTrue())
		s.awaitCompleted("c1", "j")
		// Two rounds of ten tasks, where the half of the quota would take four.
		Expect(time.Since(startedAt)).To(BeNumerically("<", 4*2*runTime+time.Second))
		Expect(s.fleet.broken).To(BeEmpty())
		Expect(s.fleet.highest).To(BeNumerically(">", 5))
	})

	// Guards against starts above the quota while owners are replaced, the store fails and
	// quotas fall, and against work that does not start afterwards.
	DescribeTable("keep within it under faults", func(seed uint64) {
		random := rand.New(rand.NewPCG(seed, 1))
		s := newQuotaSystem(12)
		s.start("c1")
		s.start("c2")
		accepted := make(map[string]string)
		jobs := 0
		submit := func() {
			shard, id := s.shards()[random.IntN(2)], fmt.Sprint("j", jobs)
			jobs++
			if s.submit(shard, id, 1+random.IntN(8), random.IntN(4) == 0) {
				accepted[id] = shard
			}
		}
		var later sync.WaitGroup
		after := func(undo func()) {
			length := time.Duration(random.IntN(1500)) * time.Millisecond
			later.Go(func() { time.Sleep(length); undo() })
		}
		for began := time.Now(); time.Since(began) < 10*time.Second; {
			switch random.IntN(16) {
			case 0:
				s.store.SetDown(true)
				after(func() { s.store.SetDown(false) })
			case 1:
				s.store.LoseAnswers(1 + random.IntN(3))
			case 2:
				s.store.LoseWrites(1 + random.IntN(3))
			case 3:
				s.store.SilenceWatches()
			case 4:
				s.cut.Store(true)
				after(func() { s.cut.Store(false) })
			case 5:
				if former := s.start(s.shards()[random.IntN(2)]); former != nil {
					after(former.close)
				}
			case 6, 7:
				s.setQuota(3+random.IntN(15), time.Duration(random.IntN(300))*time.Millisecond)
			default:
				submit()
			}
			time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
		}
		later.Wait()
		s.setQuota(12, 0)
		for id, shard := range accepted {
			s.awaitCompleted(shard, id)
		}
		Expect(s.fleet.broken).To(BeEmpty())
		Expect(len(accepted)).To(BeNumerically(">", 10))
	},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)),
	)
})
