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

// init creates the process-wide encoder outside any synctest bubble, because a channel
// made inside one bubble must not be used in another.
func init() {
	empty, err := tree.New(nil, nil)
	if err == nil {
		_, err = empty.Encode()
	}
	if err != nil {
		panic(err)
	}
}

// node is a member with its follower and applier.
type node struct {
	cairnbayv1connect.UnimplementedMemberServiceHandler

	id       string
	member   *member.Member
	follower *apply.Follower
	applier  *apply.Applier

	mu sync.Mutex
	// adopted lists the versions that came into force, in order of adoption.
	adopted []*cairnbay.Settings
}

func (n *node) Beat(
	ctx context.Context, request *connect.Request[cairnbayv1.BeatRequest],
) (*connect.Response[cairnbayv1.BeatResponse], error) {
	response, err := n.member.HandleBeat(ctx, request.Msg)
	return connect.NewResponse(response), err
}

func (n *node) PullSettings(
	ctx context.Context, request *connect.Request[cairnbayv1.PullSettingsRequest],
) (*connect.Response[cairnbayv1.PullSettingsResponse], error) {
	response, err := n.follower.HandlePullSettings(ctx, request.Msg)
	return connect.NewResponse(response), err
}

func (n *node) versions() []*cairnbay.Settings {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]*cairnbay.Settings(nil), n.adopted...)
}

// cluster is a set of members in data centres a and b with one store, in virtual time.
type cluster struct {
	clock     *timer.Service
	store     *store.Store
	mesh      *mesh.Mesh
	instances []cairnbay.Instance
	nodes     map[string]*node
	// startCount is the seed and the start time, in milliseconds, of the next node, so
	// that a restarted member is newer.
	startCount int64
}

// newCluster starts a cluster of members; the first letter of an ID is the data centre.
func newCluster(ids ...string) *cluster {
	clock := timer.New()
	c := &cluster{
		clock: clock, store: store.New(store.Config{Clock: clock, WritesPerSecond: 300, ReadsPerSecond: 2000}),
		mesh: mesh.New(clock, 1500*time.Microsecond), nodes: make(map[string]*node),
	}
	for _, id := range ids {
		c.instances = append(c.instances, cairnbay.Instance{ID: id, Kind: cairnbay.InstanceEntry, DataCentre: id[:1], Address: id})
	}
	for _, id := range ids {
		c.start(id)
	}
	return c
}

func (c *cluster) start(id string) {
	c.startCount++
	started := &node{id: id}
	settingsStore := budget.New(budget.Config{
		Store: c.store.For(id), Clock: c.clock, Seed: uint64(c.startCount), Sharers: func() int { return len(c.instances) },
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
		ID: id, DataCentre: id[:1], Address: id, StartedUnixMS: c.startCount, Clock: c.clock,
		Instances:       func() []cairnbay.Instance { return c.instances },
		SettingsVersion: version, Dial: c.mesh.Dialer(id),
	})
	follower := apply.NewFollower(apply.FollowerConfig{
		Store: settingsStore, Clock: c.clock, Members: started.member, Peer: started.member.Peer,
		Announce: func() { started.member.HeartbeatNow() }, Seed: uint64(c.startCount),
	})
	started.mu.Lock()
	started.follower = follower
	started.mu.Unlock()
	follower.OnChange(func(settings *cairnbay.Settings) {
		started.mu.Lock()
		defer started.mu.Unlock()
		started.adopted = append(started.adopted, settings)
	})
	started.member.AddDelegate(follower)
	started.applier = apply.New(apply.Config{Store: settingsStore, Clock: c.clock})
	c.nodes[id] = started
	c.mesh.Attach(id, started)
}

func (c *cluster) stop(id string) {
	c.mesh.Attach(id, nil)
	c.nodes[id].follower.Close()
	c.nodes[id].member.Close()
	delete(c.nodes, id)
}

func (c *cluster) close() {
	for _, instance := range c.instances {
		if c.nodes[instance.ID] != nil {
			c.stop(instance.ID)
		}
	}
	c.clock.Close()
}

// setPartitioned interrupts or restores the network between the data centres a and b.
func (c *cluster) setPartitioned(partitioned bool) {
	for _, a := range c.instances {
		for _, b := range c.instances {
			if a.DataCentre != b.DataCentre {
				c.mesh.Cut(a.ID, b.ID, partitioned)
			}
		}
	}
}

// withWeight returns a copy of the base with the weight of one branch set.
func withWeight(base *tree.Tree, path string, weight int) *tree.Tree {
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
