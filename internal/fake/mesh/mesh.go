// Package mesh is an in-memory network between members, with cuts in each
// direction, silent connections and counts of bytes.
package mesh

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
)

var _ cairnbayv1connect.MemberServiceClient = (*client)(nil)

// Mesh connects addresses to handlers.
type Mesh struct {
	clock cairnbay.Clock
	delay time.Duration

	mu       sync.Mutex
	handlers map[string]cairnbayv1connect.MemberServiceHandler
	cuts     map[link]bool
	// silenced counts the clients of a link that are silent for good.
	silenced map[link]int
	dials    map[link]int
	bytes    map[string]int
}

// link is one direction between two addresses.
type link struct{ from, to string }

// New returns a mesh whose messages take delay one way.
func New(clock cairnbay.Clock, delay time.Duration) *Mesh {
	return &Mesh{
		clock: clock, delay: delay,
		handlers: make(map[string]cairnbayv1connect.MemberServiceHandler),
		cuts:     make(map[link]bool),
		silenced: make(map[link]int),
		dials:    make(map[link]int),
		bytes:    make(map[string]int),
	}
}

// Attach makes a handler answer at an address; nil detaches it.
func (m *Mesh) Attach(address string, handler cairnbayv1connect.MemberServiceHandler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if handler == nil {
		delete(m.handlers, address)
		return
	}
	m.handlers[address] = handler
}

// Cut drops calls from one address to another while set; answers on calls the
// other way still pass.
func (m *Mesh) Cut(from, to string, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cuts[link{from, to}] = cut
}

// Silence makes the clients that exist now for a link silent for good.
func (m *Mesh) Silence(from, to string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.silenced[link{from, to}] = m.dials[link{from, to}]
}

// Bytes returns the bytes of messages sent and received by an address.
func (m *Mesh) Bytes(address string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytes[address]
}

// Dialer returns what makes clients for calls from an address.
func (m *Mesh) Dialer(from string) func(address string) cairnbayv1connect.MemberServiceClient {
	return func(address string) cairnbayv1connect.MemberServiceClient {
		m.mu.Lock()
		defer m.mu.Unlock()
		at := link{from, address}
		m.dials[at]++
		return &client{mesh: m, link: at, number: m.dials[at]}
	}
}

// client makes calls over one link.
type client struct {
	cairnbayv1connect.MemberServiceClient

	mesh   *Mesh
	link   link
	number int
}

// Beat implements cairnbayv1connect.MemberServiceClient.
func (c *client) Beat(
	ctx context.Context, request *connect.Request[cairnbayv1.BeatRequest],
) (*connect.Response[cairnbayv1.BeatResponse], error) {
	handler, err := c.reach(ctx, request.Msg)
	if err != nil {
		return nil, err
	}
	response, err := handler.Beat(ctx, connect.NewRequest(proto.CloneOf(request.Msg)))
	if err != nil {
		return nil, err
	}
	return response, c.carry(ctx, response.Msg)
}

// PullSettings implements cairnbayv1connect.MemberServiceClient.
func (c *client) PullSettings(
	ctx context.Context, request *connect.Request[cairnbayv1.PullSettingsRequest],
) (*connect.Response[cairnbayv1.PullSettingsResponse], error) {
	handler, err := c.reach(ctx, request.Msg)
	if err != nil {
		return nil, err
	}
	response, err := handler.PullSettings(ctx, connect.NewRequest(proto.CloneOf(request.Msg)))
	if err != nil {
		return nil, err
	}
	return response, c.carry(ctx, response.Msg)
}

// reach carries a request to the handler at the other end.
func (c *client) reach(ctx context.Context, message proto.Message) (cairnbayv1connect.MemberServiceHandler, error) {
	c.mesh.mu.Lock()
	handler, ok := c.mesh.handlers[c.link.to]
	lost := c.mesh.cuts[c.link] || c.mesh.silenced[c.link] >= c.number
	c.mesh.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, errors.Annotatef(cairnbay.ErrUnknown, "call from %s to %s: %v", c.link.from, c.link.to, ctx.Err())
	}
	if !ok {
		return nil, errors.Annotatef(cairnbay.ErrUnavailable, "nobody listens at %s", c.link.to)
	}
	return handler, c.carry(ctx, message)
}

// carry waits for the delay and counts the message at both ends.
func (c *client) carry(ctx context.Context, message proto.Message) error {
	size := proto.Size(message)
	c.mesh.mu.Lock()
	c.mesh.bytes[c.link.from] += size
	c.mesh.bytes[c.link.to] += size
	c.mesh.mu.Unlock()
	if c.mesh.delay == 0 {
		return nil
	}
	over := make(chan struct{})
	clock := c.mesh.clock
	defer clock.At(clock.Now()+c.mesh.delay, func(time.Duration) { close(over) })()
	select {
	case <-over:
		return nil
	case <-ctx.Done():
		return errors.Annotatef(cairnbay.ErrUnknown, "call from %s to %s: %v", c.link.from, c.link.to, ctx.Err())
	}
}
