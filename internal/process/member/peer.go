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

// peerState holds what this member knows about another entry instance.
type peerState struct {
	member cairnbay.Member
	// observed says that a heartbeat or digest has described the peer; until then
	// only the platform's list names it.
	observed bool
	// gone says that the peer is no longer live; a new heartbeat or digest clears
	// it.
	gone bool
	// remoteContact is the last contact as reported from another data centre, or
	// zero; this member distributes it to its local peers. Like the two below it is
	// a time on Config.Clock.
	remoteContact time.Duration
	lastContact   time.Duration
	nextHeartbeat time.Duration
	// inFlight says that a call to the peer has not ended yet.
	inFlight bool
	// waiters are released by a further heartbeat, which is sent once the call in
	// flight has ended.
	waiters       []*sync.WaitGroup
	failures      int
	client        cairnbayv1connect.MemberServiceClient
	clientAddress string
	// sentDigests holds the digest state last sent to this peer, by member ID.
	sentDigests map[string]digestState
	// missing lists the members whose full digests this peer is asked to send.
	missing []string
	// listed says that the platform's list names the peer.
	listed bool
	// revision counts the changes of member; sentDigests are compared with it.
	revision uint64
}

// digestState identifies the state of a member that a digest describes.
type digestState struct {
	revision    uint64
	lastContact time.Duration
}

func (m *Member) isLocal(peer *peerState) bool {
	return peer.member.DataCentre == m.config.DataCentre
}

// localPeriod is the time between two heartbeats of a pair in this data centre.
func (m *Member) localPeriod() time.Duration {
	locals := 0
	for _, peer := range m.peers {
		if m.isLocal(peer) && !peer.gone {
			locals++
		}
	}
	timing := m.config.Timing
	if locals <= timing.MaxPeersAtPeriod {
		return timing.Period
	}
	return timing.Period * time.Duration(locals) / time.Duration(timing.MaxPeersAtPeriod)
}

// periodTo is the time between two heartbeats from this member to a peer.
func (m *Member) periodTo(peer *peerState) time.Duration {
	if m.isLocal(peer) {
		return m.localPeriod()
	}
	return m.config.Timing.Period * remotePeriods
}

func (m *Member) suspectAfter(peer *peerState) time.Duration {
	if !m.isLocal(peer) {
		return m.config.Timing.RemoteSuspectAfter
	}
	return m.localPeriod() * time.Duration(m.config.Timing.SuspectAfter)
}

func (m *Member) goneAfter(peer *peerState) time.Duration {
	if !m.isLocal(peer) {
		return m.config.Timing.RemoteGoneAfter
	}
	return m.localPeriod() * time.Duration(m.config.Timing.GoneAfter)
}

// expirePeers marks peers as gone that have been silent for goneAfter, or that are
// suspect and either leaving or no longer on the platform's list.
func (m *Member) expirePeers(now time.Duration) {
	for id, peer := range m.peers {
		if peer.gone || !peer.observed {
			continue
		}
		silence := now - peer.lastContact
		unlisted := !peer.listed && m.anyListed() && silence > m.suspectAfter(peer)
		departed := peer.member.Leaving && silence > m.suspectAfter(peer)
		if silence <= m.goneAfter(peer) && !unlisted && !departed {
			continue
		}
		peer.gone = true
		peer.remoteContact = 0
		delete(m.unconfirmed, id)
		m.config.Log.WithField("member", id).Warn("member is gone")
		if !peer.listed {
			delete(m.peers, id)
		}
	}
}

func (m *Member) anyListed() bool {
	for _, peer := range m.peers {
		if peer.listed {
			return true
		}
	}
	return false
}

// syncList adds the entry instances on the platform's list to the peers, and
// removes unlisted ones that are gone or were never observed.
func (m *Member) syncList() {
	for _, peer := range m.peers {
		peer.listed = false
	}
	for _, instance := range m.config.Instances() {
		if instance.Kind != cairnbay.InstanceEntry || instance.ID == m.config.ID {
			continue
		}
		peer, ok := m.peers[instance.ID]
		if !ok {
			peer = &peerState{
				member:        cairnbay.Member{ID: instance.ID, DataCentre: instance.DataCentre},
				nextHeartbeat: m.config.Clock.Now(), sentDigests: make(map[string]digestState),
			}
			m.peers[instance.ID] = peer
		}
		peer.listed = true
		if !peer.observed || peer.gone {
			peer.member.Address = instance.Address
			peer.member.DataCentre = instance.DataCentre
		}
	}
	for id, peer := range m.peers {
		if !peer.listed && (peer.gone || !peer.observed) {
			delete(m.peers, id)
		}
	}
}

// targets lists the peers that this member calls, ordered by ID. Of each local
// pair the member with the lower ID calls; the other one calls only while leaving,
// or after 1.5 periods without contact, half a period after the heartbeat was due.
// A remote data centre is called by the gateway to it only.
func (m *Member) targets() []*peerState {
	now := m.config.Clock.Now()
	var targets []*peerState
	for id, peer := range m.peers {
		if !m.isLocal(peer) {
			continue
		}
		silent := !peer.observed || peer.gone || now-peer.lastContact > m.localPeriod()*3/2
		if m.config.ID < id || silent || m.leaving {
			targets = append(targets, peer)
		}
	}
	targets = append(targets, m.remoteTargets(now)...)
	sort.Slice(targets, func(i, j int) bool { return targets[i].member.ID < targets[j].member.ID })
	return targets
}

// broadcastTargets lists all local peers, and one member of each data centre that
// this member is the gateway to.
func (m *Member) broadcastTargets() []*peerState {
	var peers []*peerState
	for _, peer := range m.peers {
		if m.isLocal(peer) {
			peers = append(peers, peer)
		}
	}
	return append(peers, m.remoteTargets(m.config.Clock.Now())...)
}

// remoteTargets lists one member of each data centre that this member is the
// gateway to.
func (m *Member) remoteTargets(now time.Duration) []*peerState {
	byDataCentre := make(map[string][]*peerState)
	for _, peer := range m.peers {
		if !m.isLocal(peer) && peer.member.Address != "" {
			byDataCentre[peer.member.DataCentre] = append(byDataCentre[peer.member.DataCentre], peer)
		}
	}
	var targets []*peerState
	for dataCentre, candidates := range byDataCentre {
		if m.isGateway(dataCentre, now) {
			targets = append(targets, m.pickRemote(candidates))
		}
	}
	return targets
}

// isGateway says whether this member exchanges heartbeats with another data
// centre: of the local members that are neither suspect nor leaving, the one with
// the highest rendezvous hash does.
func (m *Member) isGateway(dataCentre string, now time.Duration) bool {
	own := gatewayHash(dataCentre, m.config.ID)
	for id, peer := range m.peers {
		if !m.isLocal(peer) || peer.gone || !peer.observed || peer.member.Leaving {
			continue
		}
		if now-peer.lastContact <= m.suspectAfter(peer) && gatewayHash(dataCentre, id) > own {
			return false
		}
	}
	return !m.leaving
}

func gatewayHash(dataCentre, id string) uint64 {
	return xxhash.Sum64String(dataCentre + "\x00" + id)
}

// pickRemote returns the candidate with the fewest failures in a row; the gateway
// hash breaks ties.
func (m *Member) pickRemote(candidates []*peerState) *peerState {
	return slices.MinFunc(candidates, func(a, b *peerState) int {
		if a.failures != b.failures {
			return a.failures - b.failures
		}
		if gatewayHash(m.config.DataCentre, a.member.ID) > gatewayHash(m.config.DataCentre, b.member.ID) {
			return -1
		}
		return 1
	})
}

func (m *Member) clientOf(peer *peerState) cairnbayv1connect.MemberServiceClient {
	if peer.client == nil || peer.clientAddress != peer.member.Address {
		peer.client = m.config.Dial(peer.member.Address)
		peer.clientAddress = peer.member.Address
	}
	return peer.client
}

// sendLatest sends a heartbeat with the current state to a peer, after the call in
// flight if there is one, and releases the waiter when its call has ended. The
// caller holds the lock.
func (m *Member) sendLatest(target *peerState, waiter *sync.WaitGroup) {
	if m.closed || target.member.Address == "" {
		return
	}
	waiter.Add(1)
	if target.inFlight {
		target.waiters = append(target.waiters, waiter)
		return
	}
	m.send(target, waiter)
}

// send calls a peer on a goroutine, one call at a time, and releases the waiters
// when the call has ended. The caller holds the lock.
func (m *Member) send(target *peerState, waiters ...*sync.WaitGroup) {
	if target.inFlight || m.closed || target.member.Address == "" {
		releaseWaiters(waiters)
		return
	}
	target.inFlight = true
	target.nextHeartbeat = m.config.Clock.Now() + m.periodTo(target)
	client := m.clientOf(target)
	to := target.member
	out := m.newHeartbeat(to)
	m.calls.Go(func() {
		defer releaseWaiters(waiters)
		for _, delegate := range out.delegates {
			delegate.FillHeartbeat(to, out.beat)
		}
		m.exchange(target, client, out)
	})
}

func releaseWaiters(waiters []*sync.WaitGroup) {
	for _, waiter := range waiters {
		waiter.Done()
	}
}

// exchange sends one heartbeat and processes the answer.
func (m *Member) exchange(target *peerState, client cairnbayv1connect.MemberServiceClient, out outgoingHeartbeat) {
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	clock := m.config.Clock
	defer clock.At(clock.Now()+m.beatTimeout(), func(time.Duration) { cancel() })()
	answer, err := client.Beat(ctx, connect.NewRequest(&cairnbayv1.BeatRequest{Heartbeat: out.beat}))
	m.counters.sent.Inc()
	if err == nil {
		m.receive(answer.Msg.GetHeartbeat())
	}
	m.finishCall(target, out.digests, err)
	m.notify(m.updateLive())
}

// beatTimeout limits one heartbeat call.
func (m *Member) beatTimeout() time.Duration {
	return m.config.Timing.Period
}

func (m *Member) finishCall(target *peerState, digests map[string]digestState, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	target.inFlight = false
	m.recordResult(target, digests, err)
	if waiters := target.waiters; len(waiters) > 0 {
		target.waiters = nil
		m.send(target, waiters...)
	}
}

// recordResult updates the peer after a call, and drops its client after every
// failuresPerRedial failures in a row.
func (m *Member) recordResult(target *peerState, digests map[string]digestState, err error) {
	if err == nil {
		target.failures = 0
		target.markSent(digests)
		return
	}
	m.counters.failed.Inc()
	target.failures++
	if target.failures%failuresPerRedial == 0 {
		m.counters.redials.Inc()
		target.client = nil
	}
}
