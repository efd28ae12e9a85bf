package apply_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
	"cairnbay/internal/fake/mesh"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/platform/budget"
	"cairnbay/internal/process/member"
	"cairnbay/internal/process/timer"
	"cairnbay/internal/version/apply"
	"cairnbay/internal/version/tree"
)

// The process's encoder is made outside the bubbles of virtual time, which may
// not share channels.
func init() {
	empty, err := tree.New(nil, nil)
	if err == nil {
		_, err = empty.Encode()
	}
	if err != nil {
		panic(err)
	}
}

// node is one member with its follower.
type node struct {
	cairnbayv1connect.UnimplementedMemberServiceHandler

	id       string
	member   *member.Member
	follower *apply.Follower
	applier  *apply.Applier

	mu sync.Mutex
	// seen lists the versions that came into force, in order.
	seen []*cairnbay.Settings
}

func (n *node) Beat(
	ctx context.Context, request *connect.Request[cairnbayv1.BeatRequest],
) (*connect.Response[cairnbayv1.BeatResponse], error) {
	answer, err := n.member.HandleBeat(ctx, request.Msg)
	return connect.NewResponse(answer), err
}

func (n *node) PullSettings(
	ctx context.Context, request *connect.Request[cairnbayv1.PullSettingsRequest],
) (*connect.Response[cairnbayv1.PullSettingsResponse], error) {
	answer, err := n.follower.HandlePullSettings(ctx, request.Msg)
	return connect.NewResponse(answer), err
}

func (n *node) versions() []*cairnbay.Settings {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]*cairnbay.Settings(nil), n.seen...)
}

// cell is members in data centres around one store, in virtual time.
type cell struct {
	clock *timer.Service
	store *store.Store
	mesh  *mesh.Mesh
	list  []cairnbay.Instance
	nodes map[string]*node
	life  int64
}

func newCell(ids ...string) *cell {
	clock := timer.New()
	c := &cell{
		clock: clock, store: store.New(store.Config{Clock: clock, WritesPerSecond: 300, ReadsPerSecond: 2000}),
		mesh: mesh.New(clock, 1500*time.Microsecond), nodes: make(map[string]*node),
	}
	for _, id := range ids {
		c.list = append(c.list, cairnbay.Instance{ID: id, Kind: cairnbay.InstanceEntry, DataCentre: id[:1], Address: id})
	}
	for _, id := range ids {
		c.start(id)
	}
	return c
}

func (c *cell) start(id string) {
	c.life++
	started := &node{id: id}
	held := budget.New(budget.Config{
		Store: c.store.For(id), Clock: c.clock, Seed: uint64(c.life), Sharers: func() int { return len(c.list) },
	}).For(cairnbay.PurposeSettings)
	version := func() (uint64, string) {
		started.mu.Lock()
		defer started.mu.Unlock()
		if started.follower == nil {
			return 0, ""
		}
		return started.follower.Version()
	}
	started.member = member.New(member.Config{
		ID: id, DataCentre: id[:1], Address: id, StartedUnixMS: c.life, Clock: c.clock,
		Instances:       func() []cairnbay.Instance { return c.list },
		SettingsVersion: version, Dial: c.mesh.Dialer(id),
	})
	follower := apply.NewFollower(apply.FollowerConfig{
		Store: held, Clock: c.clock, Members: started.member, Peer: started.member.Peer,
		Announce: func() { started.member.HeartbeatNow() }, Seed: uint64(c.life),
	})
	started.mu.Lock()
	started.follower = follower
	started.mu.Unlock()
	follower.OnChange(func(settings *cairnbay.Settings) {
		started.mu.Lock()
		defer started.mu.Unlock()
		started.seen = append(started.seen, settings)
	})
	started.member.AddDelegate(follower)
	started.applier = apply.New(apply.Config{Store: held, Clock: c.clock})
	c.nodes[id] = started
	c.mesh.Attach(id, started)
}

func (c *cell) stop(id string) {
	c.mesh.Attach(id, nil)
	c.nodes[id].follower.Close()
	c.nodes[id].member.Close()
	delete(c.nodes, id)
}

func (c *cell) close() {
	for _, instance := range c.list {
		if c.nodes[instance.ID] != nil {
			c.stop(instance.ID)
		}
	}
	c.clock.Close()
}

// split cuts the data centres a and b off from each other, or heals that.
func (c *cell) split(cut bool) {
	for _, a := range c.list {
		for _, b := range c.list {
			if a.DataCentre != b.DataCentre {
				c.mesh.Cut(a.ID, b.ID, cut)
			}
		}
	}
}

// weighted returns the base with one branch's weight set.
func weighted(base *tree.Tree, path string, weight int) *tree.Tree {
	if base == nil {
		base, _ = tree.New(nil, nil)
	}
	edited, err := base.WithEdits([]tree.Edit{
		{Path: path, Text: "present"},
		{Path: path, Name: "request.weight", Text: fmt.Sprint(weight)},
	})
	if err != nil {
		panic(err)
	}
	return edited
}

func weightOf(settings *cairnbay.Settings, path string) int {
	branch, ok := settings.Branches[path]
	if !ok {
		return 0
	}
	return int(branch.Request.Weight)
}
