package owner_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
	"cairnbay/internal/fake/clock"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/fake/worker"
	"cairnbay/internal/process/owner"
	"cairnbay/internal/process/place"
)

const testDataCentre = "tallinn-a"

// cluster is a set of members, workers and a store in one process, all on one
// manually advanced clock.
type cluster struct {
	clock   *clock.Clock
	store   *store.Store
	fleet   *worker.Fleet
	workers []*worker.Worker

	mu      sync.Mutex
	members []*member
	runTime time.Duration
}

// member is one member of the cluster. It implements cairnbay.Members for its Owner
// and the member service for the other members.
type member struct {
	cairnbayv1connect.UnimplementedMemberServiceHandler
	cluster *cluster
	self    cairnbay.Member
	owner   *owner.Owner
	down    bool
	// alone says that the member sees no other member, unlisted that its list of instances
	// is empty.
	alone, unlisted bool
}

func newCluster(workers int) *cluster {
	cluster := &cluster{clock: clock.New(), runTime: time.Hour}
	cluster.clock.Advance(time.Second)
	cluster.store = store.New(store.Config{Clock: cluster.clock})
	cluster.fleet = worker.NewFleet()
	for i := range workers {
		added, err := worker.New(worker.Config{
			ID: fmt.Sprintf("w%d", i), DataCentre: testDataCentre, Class: "survey", Rack: fmt.Sprintf("r%d", i%3),
			Capacity: cairnbay.Resources{MilliCPU: 4000}, Clock: cluster.clock,
			RunTime: func(cairnbay.TaskStart) time.Duration { return cluster.runTime },
		})
		Expect(err).NotTo(HaveOccurred())
		cluster.workers = append(cluster.workers, added)
		cluster.fleet.Add(added)
	}
	return cluster
}

// join adds a member. All members must join before start.
func (c *cluster) join(id string) *member {
	added := &member{cluster: c, self: cairnbay.Member{ID: id, DataCentre: testDataCentre, StartedUnixMS: 1}}
	c.members = append(c.members, added)
	return added
}

func (c *cluster) start() {
	for _, member := range c.members {
		member.owner = owner.New(owner.Config{
			Clock: c.clock, Members: member, Store: c.store.For(member.self.ID), Worker: c.fleet,
			NewPlacer: func(id cairnbay.ShardID) cairnbay.Placer { return place.New(place.Config{Shard: id}) },
			Settings:  noSettings{}, Instances: member.instances, Peer: c.peer, Log: discardLogger(),
		})
		DeferCleanup(member.owner.Close)
	}
}

func (c *cluster) peer(id string) (cairnbayv1connect.MemberServiceClient, bool) {
	for _, member := range c.members {
		if member.self.ID == id {
			return member, !c.isDown(member)
		}
	}
	return nil, false
}

func (c *cluster) isDown(member *member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return member.down
}

func (c *cluster) setDown(member *member) {
	c.mu.Lock()
	member.down = true
	c.mu.Unlock()
}

func (c *cluster) setUp(member *member) {
	c.mu.Lock()
	member.down = false
	c.mu.Unlock()
}

// setAlone says whether every member sees no other one.
func (c *cluster) setAlone(alone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, member := range c.members {
		member.alone = alone
	}
}

// takeovers counts the takeovers of the shard's journal during a time.
func (c *cluster) takeovers(length time.Duration) int {
	GinkgoHelper()
	first, last := 0, 0
	end := c.clock.Now() + length
	c.advanceUntil(func() bool {
		for _, member := range c.members {
			for _, status := range member.owner.Shards() {
				generation, _, _ := strings.Cut(status.Epoch, ".")
				number, err := strconv.Atoi(generation)
				Expect(err).NotTo(HaveOccurred())
				last = max(last, number)
			}
		}
		if first == 0 {
			first = last
		}
		return c.clock.Now() >= end
	})
	return last - first
}

func (c *cluster) isAlone(member *member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return member.alone
}

// advanceUntil advances the clock in small steps, with heartbeats, until done
// returns true.
func (c *cluster) advanceUntil(done func() bool) {
	GinkgoHelper()
	Eventually(func() bool {
		c.clock.Advance(50 * time.Millisecond)
		c.exchangeHeartbeats()
		return done()
	}).WithTimeout(20 * time.Second).WithPolling(time.Millisecond).Should(BeTrue())
}

func (c *cluster) exchangeHeartbeats() {
	for _, from := range c.members {
		for _, to := range c.members {
			if from == to || c.isDown(from) || c.isDown(to) {
				continue
			}
			heartbeat := &cairnbayv1.Heartbeat{}
			from.owner.FillHeartbeat(to.self, heartbeat)
			to.owner.HandleHeartbeat(from.self, heartbeat)
		}
	}
}

// activeMember returns the first member with an active shard, nil if there is none.
func (c *cluster) activeMember() *member {
	for _, member := range c.members {
		if c.isDown(member) {
			continue
		}
		for _, status := range member.owner.Shards() {
			if status.Phase == "active" {
				return member
			}
		}
	}
	return nil
}

func (c *cluster) submit(at *member, job cairnbay.Job) cairnbay.JobID {
	GinkgoHelper()
	type result struct {
		id  cairnbay.JobID
		err error
	}
	results := make(chan result, 1)
	go func() {
		id, _, err := at.owner.Submit(context.Background(), job)
		results <- result{id: id, err: err}
	}()
	var submitted result
	c.advanceUntil(func() bool {
		select {
		case submitted = <-results:
			return true
		default:
			return false
		}
	})
	Expect(submitted.err).NotTo(HaveOccurred())
	return submitted.id
}

// runningCounts counts the runs in progress, by task.
func (c *cluster) runningCounts() map[cairnbay.TaskID]int {
	counts := map[cairnbay.TaskID]int{}
	for _, worker := range c.workers {
		for _, run := range worker.Records().Runs {
			if run.Reason == "" {
				counts[run.Task]++
			}
		}
	}
	return counts
}

// startCounts counts all started runs, by task.
func (c *cluster) startCounts() map[cairnbay.TaskID]int {
	counts := map[cairnbay.TaskID]int{}
	for _, worker := range c.workers {
		for _, run := range worker.Records().Runs {
			counts[run.Task]++
		}
	}
	return counts
}

func (m *member) instances() []cairnbay.Instance {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	if m.unlisted {
		return nil
	}
	return m.cluster.fleet.Instances()
}

func (c *cluster) setUnlisted(member *member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	member.unlisted = true
}

// Self implements cairnbay.Members.
func (m *member) Self() cairnbay.Member { return m.self }

// Live implements cairnbay.Members.
func (m *member) Live() []cairnbay.Member {
	var live []cairnbay.Member
	for _, other := range m.cluster.members {
		if !m.cluster.isDown(other) && (other == m || !m.cluster.isAlone(m)) {
			live = append(live, other.self)
		}
	}
	return live
}

// Trusted implements cairnbay.Members.
func (m *member) Trusted() bool { return true }

// OnChange implements cairnbay.Members.
func (m *member) OnChange(func()) {}

// Submit implements cairnbayv1connect.MemberServiceClient.
func (m *member) Submit(ctx context.Context, request *connect.Request[cairnbayv1.SubmitRequest]) (*connect.Response[cairnbayv1.SubmitResponse], error) {
	return respond(m.owner.HandleSubmit(ctx, request.Msg))
}

// Cancel implements cairnbayv1connect.MemberServiceClient.
func (m *member) Cancel(ctx context.Context, request *connect.Request[cairnbayv1.CancelRequest]) (*connect.Response[cairnbayv1.CancelResponse], error) {
	return respond(m.owner.HandleCancel(ctx, request.Msg))
}

// Query implements cairnbayv1connect.MemberServiceClient.
func (m *member) Query(ctx context.Context, request *connect.Request[cairnbayv1.QueryRequest]) (*connect.Response[cairnbayv1.QueryResponse], error) {
	return respond(m.owner.HandleQuery(ctx, request.Msg))
}

// PullJournal implements cairnbayv1connect.MemberServiceClient.
func (m *member) PullJournal(ctx context.Context, request *connect.Request[cairnbayv1.PullJournalRequest]) (*connect.Response[cairnbayv1.PullJournalResponse], error) {
	return respond(m.owner.HandlePullJournal(ctx, request.Msg))
}

func respond[T any](response *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

type noSettings struct{}

// Current implements cairnbay.SettingsSource.
func (noSettings) Current() *cairnbay.Settings { return nil }

// OnChange implements cairnbay.SettingsSource.
func (noSettings) OnChange(func(*cairnbay.Settings)) {}
