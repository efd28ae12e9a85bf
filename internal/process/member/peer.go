package member

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
)

// peer is another entry instance, as far as it is known.
type peer struct {
	member cairnbay.Member
	// met says that it, or a member of its data centre, told of it; until then
	// only the list did.
	met bool
	// gone says that it is no longer live; it is met again when heard.
	gone bool
	// outside is heard as last told by another data centre; this member has to
	// spread it in its own.
	outside time.Duration
	heard   time.Duration
	due     time.Duration
	busy    bool
	// again is told of another heartbeat, sent once the one under way is over.
	again     []*sync.WaitGroup
	fails     int
	client    cairnbayv1connect.MemberServiceClient
	dialledTo string
	// told holds what was last sent to this peer of members elsewhere.
	told map[string]told
	// missing lists the members whose whole digests this peer is to send.
	missing []string
	// listed says that the platform's list names it.
	listed bool
	// fresh counts the changes of member, for told.
	fresh uint64
}

// told is the state of a member when a peer was last told of it.
type told struct {
	fresh uint64
	heard time.Duration
}

func (m *Member) isLocal(known *peer) bool {
	return known.member.DataCentre == m.config.DataCentre
}

// period is the time between two heartbeats of a pair in this data centre.
func (m *Member) period() time.Duration {
	locals := 0
	for _, known := range m.peers {
		if m.isLocal(known) && !known.gone {
			locals++
		}
	}
	timing := m.config.Timing
	if locals <= timing.MaxPeersAtPeriod {
		return timing.Period
	}
	return timing.Period * time.Duration(locals) / time.Duration(timing.MaxPeersAtPeriod)
}

// periodOf is the time between two heartbeats that this member sends to a peer.
func (m *Member) periodOf(known *peer) time.Duration {
	if m.isLocal(known) {
		return m.period()
	}
	return m.config.Timing.Period * remotePeriods
}

func (m *Member) suspectAfter(known *peer) time.Duration {
	if !m.isLocal(known) {
		return m.config.Timing.RemoteSuspectAfter
	}
	return m.period() * time.Duration(m.config.Timing.SuspectAfter)
}

func (m *Member) goneAfter(known *peer) time.Duration {
	if !m.isLocal(known) {
		return m.config.Timing.RemoteGoneAfter
	}
	return m.period() * time.Duration(m.config.Timing.GoneAfter)
}

// expire marks the members gone that were silent for long, or that are suspect
// and not on the list any more.
func (m *Member) expire(now time.Duration) {
	for id, known := range m.peers {
		if known.gone || !known.met {
			continue
		}
		silent := now - known.heard
		dropped := !known.listed && m.anyListed() && silent > m.suspectAfter(known)
		left := known.member.Leaving && silent > m.suspectAfter(known)
		if silent <= m.goneAfter(known) && !dropped && !left {
			continue
		}
		known.gone = true
		known.outside = 0
		delete(m.check, id)
		m.config.Log.WithField("member", id).Warn("member is gone")
		if !known.listed {
			delete(m.peers, id)
		}
	}
}

func (m *Member) anyListed() bool {
	for _, known := range m.peers {
		if known.listed {
			return true
		}
	}
	return false
}

// discover takes over what the platform's list says.
func (m *Member) discover() {
	for _, known := range m.peers {
		known.listed = false
	}
	for _, instance := range m.config.Instances() {
		if instance.Kind != cairnbay.InstanceEntry || instance.ID == m.config.ID {
			continue
		}
		known, ok := m.peers[instance.ID]
		if !ok {
			known = &peer{
				member: cairnbay.Member{ID: instance.ID, DataCentre: instance.DataCentre},
				due:    m.config.Clock.Now(), told: make(map[string]told),
			}
			m.peers[instance.ID] = known
		}
		known.listed = true
		if !known.met || known.gone {
			known.member.Address = instance.Address
			known.member.DataCentre = instance.DataCentre
		}
	}
	for id, known := range m.peers {
		if !known.listed && (known.gone || !known.met) {
			delete(m.peers, id)
		}
	}
}

// targets lists the peers that this member has to call: of each pair the lower
// ID calls, and the other only when it has heard nothing for a while. Other data
// centres are called by the member that carries for them.
func (m *Member) targets() []*peer {
	now := m.config.Clock.Now()
	var targets []*peer
	for id, known := range m.peers {
		if !m.isLocal(known) {
			continue
		}
		silent := !known.met || known.gone || now-known.heard > m.period()*3/2
		if m.config.ID < id || silent || m.leaving {
			targets = append(targets, known)
		}
	}
	targets = append(targets, m.remoteTargets(now)...)
	sort.Slice(targets, func(i, j int) bool { return targets[i].member.ID < targets[j].member.ID })
	return targets
}

// nearby lists all peers of this data centre, and those elsewhere that this
// member carries for.
func (m *Member) nearby() []*peer {
	var peers []*peer
	for _, known := range m.peers {
		if m.isLocal(known) {
			peers = append(peers, known)
		}
	}
	return append(peers, m.remoteTargets(m.config.Clock.Now())...)
}

// remoteTargets lists one member of each data centre that this one carries for.
func (m *Member) remoteTargets(now time.Duration) []*peer {
	byCentre := make(map[string][]*peer)
	for _, known := range m.peers {
		if !m.isLocal(known) && known.member.Address != "" {
			byCentre[known.member.DataCentre] = append(byCentre[known.member.DataCentre], known)
		}
	}
	var targets []*peer
	for centre, candidates := range byCentre {
		if m.carries(centre, now) {
			targets = append(targets, m.pickRemote(candidates))
		}
	}
	return targets
}

// carries says whether this member exchanges with another data centre: the one
// with the highest hash (rendezvous) of those that look live.
func (m *Member) carries(centre string, now time.Duration) bool {
	own := carrierHash(centre, m.config.ID)
	for id, known := range m.peers {
		if !m.isLocal(known) || known.gone || !known.met || known.member.Leaving {
			continue
		}
		if now-known.heard <= m.suspectAfter(known) && carrierHash(centre, id) > own {
			return false
		}
	}
	return !m.leaving
}

func carrierHash(centre, id string) uint64 {
	return xxhash.Sum64String(centre + "\x00" + id)
}

// pickRemote prefers a member that answers; those that failed come last.
func (m *Member) pickRemote(candidates []*peer) *peer {
	return slices.MinFunc(candidates, func(a, b *peer) int {
		if a.fails != b.fails {
			return a.fails - b.fails
		}
		if carrierHash(m.config.DataCentre, a.member.ID) > carrierHash(m.config.DataCentre, b.member.ID) {
			return -1
		}
		return 1
	})
}

func (m *Member) clientOf(known *peer) cairnbayv1connect.MemberServiceClient {
	if known.client == nil || known.dialledTo != known.member.Address {
		known.client = m.config.Dial(known.member.Address)
		known.dialledTo = known.member.Address
	}
	return known.client
}

// sendAgain calls a peer with the state of now, after the call that is under
// way. It needs the lock.
func (m *Member) sendAgain(target *peer, done *sync.WaitGroup) {
	if m.closed || target.member.Address == "" {
		return
	}
	done.Add(1)
	if target.busy {
		target.again = append(target.again, done)
		return
	}
	m.send(target, done)
}

// send calls a peer on a goroutine, one call at a time, and marks each of done
// once it is over. It needs the lock.
func (m *Member) send(target *peer, done ...*sync.WaitGroup) {
	if target.busy || m.closed || target.member.Address == "" {
		finished(done)
		return
	}
	target.busy = true
	target.due = m.config.Clock.Now() + m.periodOf(target)
	client := m.clientOf(target)
	to := target.member
	filled := m.fill(to)
	m.sending.Go(func() {
		defer finished(done)
		for _, beater := range filled.beaters {
			beater.FillHeartbeat(to, filled.beat)
		}
		m.exchange(target, client, filled)
	})
}

func finished(done []*sync.WaitGroup) {
	for _, group := range done {
		group.Done()
	}
}

// exchange makes one call and takes its answer.
func (m *Member) exchange(target *peer, client cairnbayv1connect.MemberServiceClient, filled outgoing) {
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	clock := m.config.Clock
	defer clock.At(clock.Now()+m.beatTimeout(), func(time.Duration) { cancel() })()
	answer, err := client.Beat(ctx, connect.NewRequest(&cairnbayv1.BeatRequest{Heartbeat: filled.beat}))
	m.counters.sent.Inc()
	if err == nil {
		m.hear(answer.Msg.GetHeartbeat())
	}
	m.finish(target, filled.tells, err)
	m.notify(m.refresh())
}

// beatTimeout is how long an answer is waited for.
func (m *Member) beatTimeout() time.Duration {
	return m.config.Timing.Period
}

func (m *Member) finish(target *peer, tells map[string]told, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	target.busy = false
	m.settle(target, tells, err)
	if again := target.again; len(again) > 0 {
		target.again = nil
		m.send(target, again...)
	}
}

// settle notes how a call ended.
func (m *Member) settle(target *peer, tells map[string]told, err error) {
	if err == nil {
		target.fails = 0
		target.confirm(tells)
		return
	}
	m.counters.failed.Inc()
	target.fails++
	if target.fails%redialAfter == 0 {
		m.counters.redials.Inc()
		target.client = nil
	}
}
