package node

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"cairnbay"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/layout"
	"cairnbay/internal/process/sched"
	"cairnbay/internal/process/tenure"
	"cairnbay/internal/process/timer"
	"cairnbay/platform"
	"cairnbay/platform/stand"
)

// silentAgent notes the workers that are called. None of them answers.
type silentAgent struct {
	cairnbay.Agent
	mu     sync.Mutex
	called map[string]bool
}

func (a *silentAgent) Hold(_ context.Context, target cairnbay.AgentTarget, _ cairnbay.AgentHold) (cairnbay.AgentState, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.called[target.Worker+" at "+target.Address] = true
	return cairnbay.AgentState{}, cairnbay.ErrUnknown
}

func (a *silentAgent) wasCalled(target string) func() bool {
	return func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.called[target]
	}
}

// Guards against tasks that run twice (TWICE): the owner of a worker's former class is not told
// of a later run that works for another one, and that may have carried out its last starts.
var _ = DescribeTable("the list of a shard's workers tells the drive of a later run of one of them",
	func(laterClass func(shard string) string) {
		clock := timer.New()
		DeferCleanup(clock.Close)
		logger := logrus.New()
		logger.SetOutput(GinkgoWriter)
		log := logger.WithField("test", true)
		backend := store.New(store.Config{Clock: clock})
		var revision cairnbay.Revision
		put := func(class string, born int64, address string) {
			value := stand.Entry(class, address, "z", "r", cairnbay.Resources{MilliCPU: 4000, MemoryMB: 400}, born)
			written, err := backend.Put(context.Background(), platform.WorkerPrefix+"w", value, revision, 0)
			Expect(err).NotTo(HaveOccurred())
			revision = written
		}
		n := &Node{config: Config{Clock: clock, Log: log, Platform: Platform{
			Store: backend, WorkerPrefix: platform.WorkerPrefix, DecodeWorker: platform.DecodeWorker,
		}}}
		claims := make(chan tenure.Claim, 2)
		elected := tenure.New(tenure.Config{
			Store: backend, Log: log, Clock: clock, BootTime: timer.Boot, Instance: "n", Address: "n:1", Cores: 1,
			LeaseTTL: 10 * time.Second, WatchStallTimeout: time.Second, Classes: func() []string { return []string{"a", "b"} },
			Divide: func(_ context.Context, class string) (layout.Layout, bool) {
				return layout.Layout{Class: class, Shards: 1}, true
			},
			OnAcquired: func(claim tenure.Claim) { claims <- claim }, OnLost: func(tenure.Claim) {},
		})
		DeferCleanup(elected.Close)
		n.publishedTenure.Store(elected)
		var claim tenure.Claim
		Eventually(claims, "5s").Should(Receive(&claim))
		Eventually(func() int { return len(elected.Layouts()) }, "5s").Should(Equal(2))
		shard := claim.Shard
		calls := &silentAgent{called: make(map[string]bool)}
		owner := drive.New(drive.Config{
			Claim: claim, Store: backend, Agent: calls, Clock: clock, BootTime: timer.Boot, Log: log, Lease: time.Second, MaxLease: 4 * time.Second,
			MaxSegments: 1000, MaxGrowth: 1 << 20, OnFenced: func() {},
			AdviceLimits: func() (int, int) { return 1, 1 }, Sched: sched.Config{Retention: time.Minute},
		})
		DeferCleanup(owner.Close)
		put(shard, 1, "former:1")
		list := newWorkerList(n, shard, owner)
		DeferCleanup(list.close)
		Eventually(calls.wasCalled("w@1 at former:1"), "5s").Should(BeTrue())
		put(laterClass(shard), 2, "later:1")
		Eventually(calls.wasCalled("w@2 at later:1"), "5s").Should(BeTrue())
	},
	Entry("in the same class", func(shard string) string { return shard }),
	Entry("in another class", func(shard string) string { return map[string]string{"a": "b", "b": "a"}[shard] }),
	Entry("in a class without a layout", func(string) string { return "c" }),
)
