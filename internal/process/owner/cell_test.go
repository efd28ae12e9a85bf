package owner_test

import (
	"context"
	"fmt"
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

const cellCentre = "tallinn-a"

// cell is a few members, workers and a store in one process on one hand-driven
// clock.
type cell struct {
	hand    *clock.Clock
	store   *store.Store
	fleet   *worker.Fleet
	workers []*worker.Worker

	mu      sync.Mutex
	members []*member
	runTime time.Duration
}

// member is one entry instance as its Owner sees it.
type member struct {
	cairnbayv1connect.UnimplementedMemberServiceHandler
	cell  *cell
	self  cairnbay.Member
	owner *owner.Owner
	down  bool
}

func newCell(workers int) *cell {
	made := &cell{hand: clock.New(), runTime: time.Hour}
	made.hand.Advance(time.Second)
	made.store = store.New(store.Config{Clock: made.hand})
	made.fleet = worker.NewFleet()
	for i := range workers {
		fake, err := worker.New(worker.Config{
			ID: fmt.Sprintf("w%d", i), DataCentre: cellCentre, Class: "survey", Rack: fmt.Sprintf("r%d", i%3),
			Capacity: cairnbay.Resources{MilliCPU: 4000}, Clock: made.hand,
			RunTime: func(cairnbay.TaskStart) time.Duration { return made.runTime },
		})
		Expect(err).NotTo(HaveOccurred())
		made.workers = append(made.workers, fake)
		made.fleet.Add(fake)
	}
	return made
}

// join adds a member; all members must join before the first owner starts.
func (c *cell) join(id string) *member {
	joined := &member{cell: c, self: cairnbay.Member{ID: id, DataCentre: cellCentre, StartedUnixMS: 1}}
	c.members = append(c.members, joined)
	return joined
}

func (c *cell) start() {
	for _, member := range c.members {
		member.owner = owner.New(owner.Config{
			Clock: c.hand, Members: member, Store: c.store.For(member.self.ID), Worker: c.fleet,
			NewPlacer: func(id cairnbay.ShardID) cairnbay.Placer { return place.New(place.Config{Shard: id}) },
			Settings:  noSettings{}, Instances: c.fleet.Instances, Peer: c.peer, Log: quiet(),
		})
		DeferCleanup(member.owner.Close)
	}
}

func (c *cell) peer(id string) (cairnbayv1connect.MemberServiceClient, bool) {
	for _, member := range c.members {
		if member.self.ID == id {
			return member, !c.isDown(member)
		}
	}
	return nil, false
}

func (c *cell) isDown(member *member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return member.down
}

func (c *cell) setDown(member *member) {
	c.mu.Lock()
	member.down = true
	c.mu.Unlock()
}

// pass lets time pass in small steps, with heartbeats, until done.
func (c *cell) pass(done func() bool) {
	GinkgoHelper()
	Eventually(func() bool {
		c.hand.Advance(50 * time.Millisecond)
		c.beat()
		return done()
	}).WithTimeout(20 * time.Second).WithPolling(time.Millisecond).Should(BeTrue())
}

func (c *cell) beat() {
	for _, from := range c.members {
		for _, to := range c.members {
			if from == to || c.isDown(from) || c.isDown(to) {
				continue
			}
			beat := &cairnbayv1.Heartbeat{}
			from.owner.FillHeartbeat(to.self, beat)
			to.owner.HandleHeartbeat(from.self, beat)
		}
	}
}

// active returns the member whose shard is active.
func (c *cell) active() *member {
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

func (c *cell) submit(at *member, job cairnbay.Job) cairnbay.JobID {
	GinkgoHelper()
	type answer struct {
		id  cairnbay.JobID
		err error
	}
	answers := make(chan answer, 1)
	go func() {
		id, _, err := at.owner.Submit(context.Background(), job)
		answers <- answer{id: id, err: err}
	}()
	var got answer
	c.pass(func() bool {
		select {
		case got = <-answers:
			return true
		default:
			return false
		}
	})
	Expect(got.err).NotTo(HaveOccurred())
	return got.id
}

// alive counts the runs going on, by task.
func (c *cell) alive() map[cairnbay.TaskID]int {
	alive := map[cairnbay.TaskID]int{}
	for _, fake := range c.workers {
		for _, run := range fake.Records().Runs {
			if run.Reason == "" {
				alive[run.Task]++
			}
		}
	}
	return alive
}

// starts counts all runs that ever began, by task.
func (c *cell) starts() map[cairnbay.TaskID]int {
	starts := map[cairnbay.TaskID]int{}
	for _, fake := range c.workers {
		for _, run := range fake.Records().Runs {
			starts[run.Task]++
		}
	}
	return starts
}

// Self implements cairnbay.Members.
func (m *member) Self() cairnbay.Member { return m.self }

// Live implements cairnbay.Members.
func (m *member) Live() []cairnbay.Member {
	var live []cairnbay.Member
	for _, other := range m.cell.members {
		if !m.cell.isDown(other) {
			live = append(live, other.self)
		}
	}
	return live
}

// Trusted implements cairnbay.Members.
func (m *member) Trusted() bool { return true }

// OnChange implements cairnbay.Members.
func (m *member) OnChange(func()) {}

// Submit implements the members' protocol in process.
func (m *member) Submit(ctx context.Context, asked *connect.Request[cairnbayv1.SubmitRequest]) (*connect.Response[cairnbayv1.SubmitResponse], error) {
	return respond(m.owner.HandleSubmit(ctx, asked.Msg))
}

// Cancel implements the members' protocol in process.
func (m *member) Cancel(ctx context.Context, asked *connect.Request[cairnbayv1.CancelRequest]) (*connect.Response[cairnbayv1.CancelResponse], error) {
	return respond(m.owner.HandleCancel(ctx, asked.Msg))
}

// Query implements the members' protocol in process.
func (m *member) Query(ctx context.Context, asked *connect.Request[cairnbayv1.QueryRequest]) (*connect.Response[cairnbayv1.QueryResponse], error) {
	return respond(m.owner.HandleQuery(ctx, asked.Msg))
}

// PullJournal implements the members' protocol in process.
func (m *member) PullJournal(ctx context.Context, asked *connect.Request[cairnbayv1.PullJournalRequest]) (*connect.Response[cairnbayv1.PullJournalResponse], error) {
	return respond(m.owner.HandlePullJournal(ctx, asked.Msg))
}

func respond[message any](answer *message, err error) (*connect.Response[message], error) {
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(answer), nil
}

type noSettings struct{}

// Current implements cairnbay.SettingsSource.
func (noSettings) Current() *cairnbay.Settings { return nil }

// OnChange implements cairnbay.SettingsSource.
func (noSettings) OnChange(func(*cairnbay.Settings)) {}
