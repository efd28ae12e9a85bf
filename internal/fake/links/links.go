// Package links is a stand-in for the network between data centres: links can
// be cut, and connections that were open over a cut link stay silent for good,
// also once new ones work again.
package links

import (
	"context"
	"net"
	"sync"

	"github.com/juju/errors"

	"cairnbay"
)

// link is a direction-less pair of places.
type link struct {
	a, b string
}

func between(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a: a, b: b}
}

// Links knows where addresses stand, and which links are cut.
type Links struct {
	mu     sync.Mutex
	places map[string]string
	cuts   map[link]bool
	open   map[*conn]link
}

// New returns links of which none is cut.
func New() *Links {
	return &Links{
		places: make(map[string]string),
		cuts:   make(map[link]bool),
		open:   make(map[*conn]link),
	}
}

// Register says in which place an address (host:port) stands.
func (l *Links) Register(address, place string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.places[address] = place
}

// Cut cuts the link between two places and silences what is open over it.
func (l *Links) Cut(a, b string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cut := between(a, b)
	l.cuts[cut] = true
	for open, over := range l.open {
		if over == cut {
			open.silence()
		}
	}
}

// Heal lets new connections through again.
func (l *Links) Heal(a, b string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.cuts, between(a, b))
}

// Dialer returns a dial function for processes that stand in a place. A dial
// over a cut link hangs until its context ends.
func (l *Links) Dialer(place string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		over := l.over(place, address)
		if l.isCut(over) {
			<-ctx.Done()
			return nil, errors.Annotatef(cairnbay.ErrUnavailable, "dial %s: no answer", address)
		}
		var dialer net.Dialer
		inner, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return l.keep(inner, over), nil
	}
}

func (l *Links) over(place, address string) link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return between(place, l.places[address])
}

func (l *Links) isCut(over link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts[over]
}

func (l *Links) keep(inner net.Conn, over link) net.Conn {
	kept := &conn{Conn: inner, links: l, silent: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[kept] = over
	if l.cuts[over] {
		kept.silence()
	}
	return kept
}

func (l *Links) forget(closed *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, closed)
}
