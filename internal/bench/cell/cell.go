// Package cell runs members of several data centres in one process, over
// loopback connections whose bytes are counted, around the store stand-in.
package cell

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
	fake "cairnbay/internal/fake/store"
	"cairnbay/internal/platform/budget"
	"cairnbay/internal/platform/store"
	"cairnbay/internal/process/member"
	"cairnbay/internal/process/timer"
	"cairnbay/internal/version/apply"
)

// Rates of the store stand-in, those of the platform's service.
const (
	storeWritesPerSecond = 300
	storeReadsPerSecond  = 2000
)

// Config sets up a Cell.
type Config struct {
	Centres   int
	PerCentre int
	// Settings starts a follower on each member.
	Settings bool
	Seed     uint64
}

// Cell is a set of running members.
type Cell struct {
	Clock *timer.Service
	Store *fake.Store
	Nodes []*Node

	config  Config
	server  *http.Server
	address string
	list    []cairnbay.Instance

	mu  sync.Mutex
	cut string
}

// Node is one member with its parts.
type Node struct {
	cairnbayv1connect.UnimplementedMemberServiceHandler

	ID         string
	DataCentre string
	Member     *member.Member
	Follower   *apply.Follower
	Applier    *apply.Applier
	// Budget is the member's way to the store.
	Budget *budget.Budget

	cell     *Cell
	listener net.Listener
	server   *http.Server
	ready    chan struct{}
	bytes    atomic.Int64
	stopped  atomic.Bool
}

// New starts a cell. Close ends it.
func New(config Config) (*Cell, error) {
	clock := timer.New()
	started := &Cell{
		Clock: clock, config: config,
		Store: fake.New(fake.Config{
			Clock: clock, WritesPerSecond: storeWritesPerSecond, ReadsPerSecond: storeReadsPerSecond,
		}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "listen for the store")
	}
	started.address = listener.Addr().String()
	started.server = &http.Server{Handler: started.Store.Handler()}
	go func() { _ = started.server.Serve(listener) }()
	if err := started.listen(); err != nil {
		started.Close()
		return nil, err
	}
	for _, node := range started.Nodes {
		node.start()
	}
	return started, nil
}

// listen opens every member's address, so that the list is whole before the
// first member starts.
func (c *Cell) listen() error {
	for centre := range c.config.Centres {
		for number := range c.config.PerCentre {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return errors.Annotate(err, "listen for a member")
			}
			node := &Node{
				cell: c, listener: listener, ready: make(chan struct{}),
				DataCentre: fmt.Sprintf("centre-%d", centre),
				ID:         fmt.Sprintf("centre-%d-entry-%02d", centre, number),
			}
			c.Nodes = append(c.Nodes, node)
			c.list = append(c.list, cairnbay.Instance{
				ID: node.ID, Kind: cairnbay.InstanceEntry, DataCentre: node.DataCentre,
				Address: listener.Addr().String(),
			})
		}
	}
	return nil
}

// CutCentre cuts a data centre off from the others; an empty name heals that.
func (c *Cell) CutCentre(centre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = centre
}

func (c *Cell) isCut(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut != "" && from != to && (from == c.cut || to == c.cut)
}

// Close stops every member and the store.
func (c *Cell) Close() {
	for _, node := range c.Nodes {
		node.Stop()
	}
	_ = c.server.Close()
	c.Clock.Close()
}

func (n *Node) start() {
	c := n.cell
	address := n.listener.Addr().String()
	dialer := member.NewDialer(member.DialerConfig{WrapConn: n.counted})
	centres := make(map[string]string, len(c.list))
	for _, instance := range c.list {
		centres[instance.Address] = instance.DataCentre
	}
	n.Member = member.New(member.Config{
		ID: n.ID, DataCentre: n.DataCentre, Address: address, CallerAddress: address,
		StartedUnixMS: c.Clock.Wall().UnixMilli(), Clock: c.Clock,
		Instances:       func() []cairnbay.Instance { return c.list },
		SettingsVersion: n.version,
		Dial: func(address string) cairnbayv1connect.MemberServiceClient {
			return &link{dialer.Dial(address), c, n.DataCentre, centres[address]}
		},
	})
	n.Budget = budget.New(budget.Config{
		Store: store.New(store.Config{Address: c.address, Caller: n.ID, Client: &http.Client{Transport: &http.Transport{}}}),
		Clock: c.Clock, Seed: c.config.Seed, Sharers: func() int { return len(c.list) },
	})
	settings := n.Budget.For(cairnbay.PurposeSettings)
	n.Applier = apply.New(apply.Config{Store: settings, Clock: c.Clock})
	if c.config.Settings {
		n.Follower = apply.NewFollower(apply.FollowerConfig{
			Store: settings, Clock: c.Clock, Members: n.Member, Peer: n.Member.Peer,
			Announce: func() { n.Member.HeartbeatNow() }, Seed: c.config.Seed,
		})
		n.Member.AddDelegate(n.Follower)
	}
	close(n.ready)
	n.serve()
}

func (n *Node) serve() {
	mux := http.NewServeMux()
	mux.Handle(cairnbayv1connect.NewMemberServiceHandler(n))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	n.server = &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = n.server.Serve(&counting{n.listener, n}) }()
}

func (n *Node) version() (uint64, string) {
	select {
	case <-n.ready:
	default:
		return 0, ""
	}
	if n.Follower == nil {
		return 0, ""
	}
	return n.Follower.Version()
}

// Stop ends the member at once, as a crash does.
func (n *Node) Stop() {
	if n.Member == nil || n.stopped.Swap(true) {
		_ = n.listener.Close()
		return
	}
	_ = n.server.Close()
	if n.Follower != nil {
		n.Follower.Close()
	}
	n.Member.Close()
}

// Bytes is what the member has sent and received over connections to other
// members, without the headers of TCP and IP.
func (n *Node) Bytes() int64 {
	return n.bytes.Load()
}

// Beat implements cairnbayv1connect.MemberServiceHandler.
func (n *Node) Beat(
	ctx context.Context, request *connect.Request[cairnbayv1.BeatRequest],
) (*connect.Response[cairnbayv1.BeatResponse], error) {
	answer, err := n.Member.HandleBeat(ctx, request.Msg)
	return connect.NewResponse(answer), err
}

// PullSettings implements cairnbayv1connect.MemberServiceHandler.
func (n *Node) PullSettings(
	ctx context.Context, request *connect.Request[cairnbayv1.PullSettingsRequest],
) (*connect.Response[cairnbayv1.PullSettingsResponse], error) {
	answer, err := n.Follower.HandlePullSettings(ctx, request.Msg)
	return connect.NewResponse(answer), err
}
