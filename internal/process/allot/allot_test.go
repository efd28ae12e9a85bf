package allot_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/fake/suite"
	"cairnbay/internal/process/allot"
	"cairnbay/internal/process/sched"
	"cairnbay/internal/process/tenure"
	"cairnbay/internal/process/timer"
)

func TestAllot(t *testing.T) {
	suite.Run(t, "allot")
}

// system is a store and the owners of some shards, which call each other directly.
type system struct {
	store *store.Store
	clock *timer.Service
	log   *logrus.Entry

	mu     sync.Mutex
	shards []string
	owners map[string]*shardOwner
	// generations counts the owners of each shard.
	generations map[string]int
	// deaf shards do not answer requests.
	deaf map[string]bool
}

// shardOwner is the owner of one shard, with the core of which it plans.
type shardOwner struct {
	*allot.Owner
	shard string
	claim tenure.Claim

	mu      sync.Mutex
	core    *sched.Core
	running []*sched.StartAction
	ended   uint64
	// loading says that the core does not know yet what may run.
	loading bool
}

func newSystem(shards ...string) *system {
	clock := timer.New()
	DeferCleanup(clock.Close)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return &system{
		store: store.New(store.Config{Clock: clock}), clock: clock, log: logger.WithField("test", true), shards: shards,
		owners: make(map[string]*shardOwner), generations: make(map[string]int), deaf: make(map[string]bool),
	}
}

func (s *system) names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.shards...)
}

func (s *system) owner(shard string) *shardOwner {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deaf[shard] {
		return nil
	}
	return s.owners[shard]
}

// relay calls the owner whose shard a request names.
type relay struct {
	cairnbayv1connect.RelayClient
	system *system
}

func (r relay) RequestQuota(
	ctx context.Context, request *connect.Request[cairnbayv1.RequestQuotaRequest],
) (*connect.Response[cairnbayv1.RequestQuotaResponse], error) {
	owner := r.system.owner(request.Msg.GetShard())
	if owner == nil {
		return nil, connect.NewError(connect.CodeUnavailable, cairnbay.ErrUnavailable)
	}
	return connect.NewResponse(owner.Give(ctx, request.Msg)), nil
}

func now() sched.Moment {
	return sched.Moment{BootTime: timer.Boot(), UnixMS: time.Now().UnixMilli()}
}

// started counts the owners of a shard, the next one included.
func (s *system) started(shard string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generations[shard]++
	return s.generations[shard]
}

// start claims a shard, with one large worker.
func (s *system) start(shard string, workspaces ...cairnbay.Workspace) *shardOwner {
	ctx := context.Background()
	key := "cairnbay/generation/" + shard
	expect := cairnbay.Revision(0)
	if entry, err := s.store.Get(ctx, key); err == nil {
		expect = entry.Revision
	}
	revision, err := s.store.Put(ctx, key, []byte(shard), expect, 0)
	Expect(err).NotTo(HaveOccurred())
	owner := &shardOwner{
		shard: shard, core: sched.New(sched.Config{Retention: time.Minute}),
		claim: tenure.Claim{Shard: shard, Generation: uint64(s.started(shard)), Fence: cairnbay.Expectation{Key: key, Revision: revision}},
	}
	owner.Owner = allot.New(allot.Config{
		Claim: owner.claim, Store: s.store, Workspaces: workspaces, Shards: s.names,
		Address: func(shard string) string { return shard },
		Client:  func(string) cairnbayv1connect.RelayClient { return relay{system: s} },
		Clock:   s.clock, BootTime: timer.Boot, Log: s.log, WatchStallTimeout: 2 * time.Second,
	})
	owner.core.SetWorkspaces(owner.Terms())
	owner.core.SetWorker(cairnbay.WorkerEntry{
		ID: shard, Address: shard, Capacity: cairnbay.Resources{MilliCPU: 100_000, MemoryMB: 100_000, Accelerators: 100},
	})
	owner.core.HandleHold(now(), shard, timer.Boot(), cairnbay.AgentState{})
	owner.Start(owner)
	DeferCleanup(owner.Close)
	s.mu.Lock()
	s.owners[shard] = owner
	s.mu.Unlock()
	return owner
}

// Edit implements allot.Core.
func (o *shardOwner) Edit(edit func(now sched.Moment, core *sched.Core)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.loading {
		edit(now(), nil)
		return
	}
	edit(now(), o.core)
}

// run plans, and returns the number of tasks that run.
func (o *shardOwner) run() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.core.Tick()
	for _, action := range o.core.Plan(now()) {
		if action.Start != nil {
			o.core.HandleStart(now(), action.Start, nil)
			o.running = append(o.running, action.Start)
		}
	}
	if o.core.QuotaHeld() {
		o.Wake()
	}
	return len(o.running)
}

// end ends the oldest running tasks.
func (o *shardOwner) end(count int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var ends []cairnbay.AgentEnd
	for _, start := range o.running[:count] {
		o.ended++
		ends = append(ends, cairnbay.AgentEnd{Sequence: o.ended, Task: start.Task, Attempt: start.Attempt, Reason: cairnbay.AgentDone})
	}
	o.running = o.running[count:]
	o.core.HandleHold(now(), o.shard, 0, cairnbay.AgentState{Ended: ends})
}

// submit accepts a job of the workspace "a" with one step.
func (o *shardOwner) submit(id string, tasks int, gang bool, size cairnbay.Resources, target time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.core.Accept(now(), cairnbay.Workflow{
		ID: id, Workspace: "a", AcceptedUnixMS: now().UnixMS,
		Queue: cairnbay.Queue{Name: "q", Stretch: 2, TargetLatency: target},
		Steps: []cairnbay.WorkflowStep{{Tasks: tasks, Gang: gang, Size: size, RunTime: time.Second}},
	}, false)
}

// division reads the stored parts of the workspace "a".
func (s *system) division() (parts map[string]uint32, total uint32) {
	entry, err := s.store.Get(context.Background(), "cairnbay/quota/a")
	if err != nil {
		return nil, 0
	}
	var message cairnbayv1.QuotaDivision
	Expect(proto.Unmarshal(entry.Value, &message)).To(Succeed())
	parts = make(map[string]uint32)
	for _, part := range message.GetParts() {
		parts[part.GetShard()] = part.GetMilliCpu()
		total += part.GetMilliCpu()
	}
	return parts, total
}

func workspaceA(quota cairnbay.Resources) cairnbay.Workspace {
	return cairnbay.Workspace{Name: "a", Weight: 1, Quota: quota}
}

var (
	oneCore = cairnbay.Resources{MilliCPU: 1000, MemoryMB: 10}
	tenCore = cairnbay.Resources{MilliCPU: 10_000}
)

var _ = Describe("the division of quotas", func() {
	It("calls neither store nor other owners without a workspace that has a quota", func() {
		s := newSystem("s0", "s1")
		s.start("s0")
		s.start("s1", cairnbay.Workspace{Name: "a", Weight: 1})
		before := s.store.Counts().Total()
		Consistently(func() int { return s.store.Counts().Total() }, "600ms").Should(Equal(before))
	})

	It("is created in milliseconds when all owners start at once", func() {
		s := newSystem("s0", "s1", "s2", "s3")
		var many []cairnbay.Workspace
		for i := range 50 {
			many = append(many, cairnbay.Workspace{Name: fmt.Sprint("w", i), Weight: 1, Quota: tenCore})
		}
		many = append(many, workspaceA(tenCore))
		startedAt := time.Now()
		for _, shard := range s.names() {
			s.start(shard, many...).submit("j-"+shard, 2, false, oneCore, time.Second)
		}
		for _, shard := range s.names() {
			Eventually(s.owner(shard).run, "1s", "2ms").Should(Equal(2))
		}
		Expect(time.Since(startedAt)).To(BeNumerically("<", 500*time.Millisecond))
		_, total := s.division()
		Expect(total).To(BeNumerically("==", 1_000_000))
	})

	It("gives nearly all accelerators to the only shard that uses them within a second", func() {
		s := newSystem("s0", "s1", "s2", "s3", "s4", "s5")
		quota := cairnbay.Resources{MilliCPU: 60_000, Accelerators: 12}
		for _, shard := range s.names() {
			s.start(shard, workspaceA(quota))
		}
		owner := s.owner("s3")
		owner.submit("j", 12, false, cairnbay.Resources{MilliCPU: 100, Accelerators: 1}, time.Second)
		Eventually(owner.run, "1s", "10ms").Should(Equal(12))
	})

	It("lets two gangs that each need more than half run one after the other", func() {
		s := newSystem("s0", "s1")
		first, second := s.start("s0", workspaceA(tenCore)), s.start("s1", workspaceA(tenCore))
		first.submit("later", 6, true, oneCore, 9*time.Second)
		second.submit("sooner", 7, true, oneCore, time.Second)
		Eventually(func() int { first.run(); return second.run() }, "2s", "10ms").Should(Equal(7))
		Expect(first.run()).To(BeZero())
		second.end(7)
		Eventually(func() int { second.run(); return first.run() }, "2s", "10ms").Should(Equal(6))
	})

	It("lets a gang collect its part from a shard whose small tasks end one by one", func() {
		s := newSystem("s0", "s1")
		small, gang := s.start("s0", workspaceA(tenCore)), s.start("s1", workspaceA(tenCore))
		small.submit("small", 100, false, oneCore, time.Minute)
		Eventually(small.run, "2s", "10ms").Should(Equal(10))
		gang.submit("gang", 4, true, oneCore, time.Second)
		ended := time.Now()
		Eventually(func() int {
			if time.Since(ended) > 900*time.Millisecond {
				small.end(1)
				ended = time.Now()
			}
			small.run()
			return gang.run()
		}, "8s", "10ms").Should(Equal(4))
	})

	It("gives a shard that joins later, and a workspace that is new, their parts", func() {
		s := newSystem("s0", "s1")
		s.start("s0", workspaceA(tenCore))
		s.start("s1", workspaceA(tenCore))
		Eventually(func() uint32 { _, total := s.division(); return total }).Should(BeNumerically("==", 1_000_000))
		s.mu.Lock()
		s.shards = append(s.shards, "s2")
		s.mu.Unlock()
		joined := s.start("s2", workspaceA(tenCore))
		joined.submit("j", 8, false, oneCore, time.Second)
		Eventually(joined.run, "1s", "10ms").Should(Equal(8))
		added := cairnbay.Workspace{Name: "b", Weight: 1, Quota: tenCore}
		joined.SetWorkspaces([]cairnbay.Workspace{workspaceA(tenCore), added})
		Eventually(func() []sched.WorkspaceTerms { return joined.Terms() }, "500ms").Should(ContainElement(
			HaveField("Part", cairnbay.Resources{MilliCPU: 3333})))
	})

	It("keeps a part lowered after a write without an answer, until the key is read", func() {
		s := newSystem("s0", "s1")
		giver, taker := s.start("s0", workspaceA(tenCore)), s.start("s1", workspaceA(tenCore))
		part := func(owner *shardOwner) int64 { return owner.Terms()[0].Part.MilliCPU }
		Eventually(func() int64 { return part(giver) + part(taker) }).Should(BeNumerically("==", 10_000))
		s.store.SetWatchesSilent(true)
		s.store.LoseWrites(1)
		taker.submit("j", 8, false, oneCore, time.Second)
		taker.run()
		Eventually(func() int64 { return part(giver) }, "1s", "5ms").Should(BeNumerically("<", 5000))
		Expect(part(giver) + part(taker)).To(BeNumerically("<", 10_000))
		Eventually(taker.run, "4s", "10ms").Should(Equal(8))
	})

	It("moves nothing on behalf of an owner that has been replaced", func() {
		s := newSystem("s0", "s1")
		former := s.start("s0", workspaceA(tenCore))
		s.start("s1", workspaceA(tenCore))
		Eventually(func() uint32 { _, total := s.division(); return total }).Should(BeNumerically("==", 1_000_000))
		next := s.start("s0", workspaceA(tenCore))
		before, _ := s.division()
		response := former.Give(context.Background(), &cairnbayv1.RequestQuotaRequest{
			Shard: "s0", ForShard: "s1", Needs: []*cairnbayv1.QuotaNeed{{Workspace: "a", MilliCpu: 300_000, LatestStartUnixMs: 1}},
		})
		Expect(response.GetMoved()).To(BeEmpty())
		after, _ := s.division()
		Expect(after).To(Equal(before))
		Eventually(func() int64 { return next.Terms()[0].Part.MilliCPU }).Should(BeNumerically("==", 5000))
	})

	// Guards against a new owner that gives away what the tasks of the former one use.
	It("gives no part before it knows what runs", func() {
		s := newSystem("s0", "s1")
		s.start("s0", workspaceA(tenCore))
		next := s.start("s1", workspaceA(tenCore))
		Eventually(func() uint32 { _, total := s.division(); return total }).Should(BeNumerically("==", 1_000_000))
		setLoading := func(loading bool) {
			next.mu.Lock()
			defer next.mu.Unlock()
			next.loading = loading
		}
		give := func() []string {
			return next.Give(context.Background(), &cairnbayv1.RequestQuotaRequest{
				Shard: "s1", ForShard: "s0", Needs: []*cairnbayv1.QuotaNeed{{Workspace: "a", MilliCpu: 300_000, LatestStartUnixMs: 1}},
			}).GetMoved()
		}
		setLoading(true)
		Consistently(give, "300ms", "20ms").Should(BeEmpty())
		setLoading(false)
		Eventually(give, "2s", "20ms").Should(Equal([]string{"a"}))
	})

	// Guards against a new owner that starts tasks in its part while another shard runs more
	// than its own part of a lowered quota.
	It("starts nothing with a new owner that has not been told of an overdraft", func() {
		s := newSystem("s0", "s1")
		quota := cairnbay.Resources{MilliCPU: 20_000}
		overdrawn := s.start("s0", workspaceA(quota))
		former := s.start("s1", workspaceA(quota))
		overdrawn.submit("j0", 14, false, oneCore, time.Second)
		Eventually(overdrawn.run, "2s", "10ms").Should(Equal(14))
		lowered := workspaceA(tenCore)
		overdrawn.SetWorkspaces([]cairnbay.Workspace{lowered})
		former.Close()
		next := s.start("s1", lowered)
		next.submit("j1", 3, false, oneCore, time.Second)
		Consistently(next.run, "1s", "5ms").Should(BeZero())
		overdrawn.end(10)
		Eventually(next.run, "2s", "10ms").Should(Equal(3))
	})

	It("starts nothing anywhere while the use is above a lowered quota", func() {
		s := newSystem("s0", "s1", "s2")
		quota := cairnbay.Resources{MilliCPU: 30_000}
		var owners []*shardOwner
		for _, shard := range s.names() {
			owners = append(owners, s.start(shard, workspaceA(quota)))
		}
		owners[0].submit("j0", 20, false, oneCore, time.Second)
		Eventually(owners[0].run, "2s", "10ms").Should(Equal(20))
		lowered := workspaceA(cairnbay.Resources{MilliCPU: 9000})
		for _, owner := range owners {
			owner.SetWorkspaces([]cairnbay.Workspace{lowered})
		}
		// The overdraft is told within a period of requests.
		time.Sleep(250 * time.Millisecond)
		owners[1].submit("j1", 3, false, oneCore, time.Second)
		Consistently(func() int { return owners[1].run() + owners[0].run() }, "1500ms", "10ms").Should(Equal(20))
		owners[0].end(12)
		Eventually(func() int { return owners[1].run() }, "3s", "10ms").Should(Equal(1))
	})
})
