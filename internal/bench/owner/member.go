package owner

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
	"cairnbay/internal/process/owner"
)

// member is one entry instance of a cell.
type member struct {
	cairnbayv1connect.UnimplementedMemberServiceHandler
	cell  *cell
	self  cairnbay.Member
	gate  *gate
	lease *leaseHolder

	mu sync.Mutex
	// quiet is since when it is silent, 0 while it is not.
	quiet time.Duration
	owner *owner.Owner
}

func newMember(cell *cell, id string) *member {
	return &member{
		cell: cell, gate: &gate{},
		self: cairnbay.Member{ID: id, DataCentre: cellCentre, StartedUnixMS: 1},
	}
}

// start makes the member's owner; with leases in the store the owner lives as
// long as the lease.
func (m *member) start() {
	if m.cell.config.lease {
		m.lease = newLeaseHolder(m)
		return
	}
	m.setOwner(owner.New(m.ownerConfig()))
}

func (m *member) setOwner(made *owner.Owner) (former *owner.Owner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	former, m.owner = m.owner, made
	return former
}

func (m *member) current() *owner.Owner {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner
}

// stop ends the member for good, as a crash does: nothing is handed over.
func (m *member) stop() {
	m.gate.resume()
	if m.lease != nil {
		m.lease.close()
	}
	if former := m.setOwner(nil); former != nil {
		former.Close()
	}
}

// setSilent makes the others hear nothing of the member, or hear it again.
func (m *member) setSilent(silent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.quiet = 0
	if silent {
		m.quiet = m.cell.clock.Now()
	}
}

func (m *member) silent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.quiet > 0
}

// gone says whether the others have noticed that it is silent.
func (m *member) gone(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.quiet > 0 && now-m.quiet >= detect
}

func (m *member) shards() []owner.ShardStatus {
	if current := m.current(); current != nil {
		return current.Shards()
	}
	return nil
}

func (m *member) fill(peer *member, beat *cairnbayv1.Heartbeat) {
	if current := m.current(); current != nil {
		current.FillHeartbeat(peer.self, beat)
	}
}

func (m *member) hear(peer *member, beat *cairnbayv1.Heartbeat) {
	if current := m.current(); current != nil {
		current.HandleHeartbeat(peer.self, beat)
	}
}

// Self implements cairnbay.Members.
func (m *member) Self() cairnbay.Member { return m.self }

// Live implements cairnbay.Members.
func (m *member) Live() []cairnbay.Member {
	if m.lease != nil {
		return []cairnbay.Member{m.self}
	}
	now := m.cell.clock.Now()
	var live []cairnbay.Member
	for _, other := range m.cell.members {
		if other == m || !other.gone(now) {
			live = append(live, other.self)
		}
	}
	return live
}

// Trusted implements cairnbay.Members.
func (m *member) Trusted() bool { return true }

// OnChange implements cairnbay.Members.
func (m *member) OnChange(func()) {}

// PullJournal implements the members' protocol in process.
func (m *member) PullJournal(ctx context.Context, asked *connect.Request[cairnbayv1.PullJournalRequest]) (*connect.Response[cairnbayv1.PullJournalResponse], error) {
	current := m.current()
	if current == nil {
		return nil, connect.NewError(connect.CodeUnavailable, cairnbay.ErrUnavailable)
	}
	answer, err := current.HandlePullJournal(ctx, asked.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(answer), nil
}
