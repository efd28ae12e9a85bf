// Package member exchanges heartbeats with the other entry instances and reports
// which of them are live.
//
// All members of a data centre exchange heartbeats with each other. For each other
// data centre, one member is the gateway: it exchanges digests of the members on
// both sides and distributes the remote ones in its own data centre.
package member

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
)

var _ cairnbay.Members = (*Member)(nil)

const (
	// ticksPerPeriod spreads the heartbeats of one member over the period.
	ticksPerPeriod = 5
	// pauseTicks is the time without a tick, in tick periods, after which this
	// process counts as paused. It is less than the default SuspectAfter.
	pauseTicks = 10
	// failuresPerRedial is the number of failures in a row that open a new
	// connection.
	failuresPerRedial = 2
	// remotePeriods is the time between heartbeats to another data centre, in
	// multiples of Timing.Period.
	remotePeriods = 2
	// maxMissingIDs limits the full digests that one heartbeat requests.
	maxMissingIDs = 256
)

// Member implements cairnbay.Members.
type Member struct {
	config    Config
	cancel    context.CancelFunc
	ctx       context.Context
	stopTicks func()
	calls     sync.WaitGroup

	mu         sync.Mutex
	closed     bool
	leaving    bool
	superseded bool
	// sequence is that of the last heartbeat sent.
	sequence        uint64
	peers           map[string]*peerState
	delegates       []cairnbay.HeartbeatDelegate
	changeCallbacks []func()
	// lastTick is the time of the last tick or detected pause.
	lastTick time.Duration
	// unconfirmed holds the local members that have sent no heartbeat since a
	// pause. They are waited for until recheckDeadline.
	unconfirmed     map[string]bool
	recheckDeadline time.Duration
	// lastLive holds the live members as of the last change that was reported.
	lastLive []cairnbay.Member
	counters counters
}

type counters struct {
	sent, failed, pauses, redials *metrics.Counter
}

// New starts a member. Close stops it.
func New(config Config) *Member {
	config = withDefaults(config)
	ctx, cancel := context.WithCancel(context.Background())
	member := &Member{
		config: config, ctx: ctx, cancel: cancel,
		peers:     make(map[string]*peerState),
		delegates: slices.Clone(config.Delegates),
		lastTick:  config.Clock.Now(),
		counters:  newCounters(config.Metrics),
	}
	member.lastLive = member.liveMembers(config.Clock.Now())
	config.Metrics.GetOrCreateGauge("cairnbay_member_live_count", func() float64 {
		return float64(len(member.Live()))
	})
	member.stopTicks = config.Clock.Every(config.Timing.Period/ticksPerPeriod, member.tick)
	return member
}

func newCounters(set *metrics.Set) counters {
	return counters{
		sent:    set.GetOrCreateCounter("cairnbay_member_beats_sent_total"),
		failed:  set.GetOrCreateCounter("cairnbay_member_beats_failed_total"),
		pauses:  set.GetOrCreateCounter("cairnbay_member_pauses_total"),
		redials: set.GetOrCreateCounter("cairnbay_member_redials_total"),
	}
}

// Close stops the heartbeats and waits for the calls in flight.
func (m *Member) Close() {
	m.stopTicks()
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.calls.Wait()
}

// AddDelegate adds a component whose state is carried on heartbeats.
func (m *Member) AddDelegate(delegate cairnbay.HeartbeatDelegate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delegates = append(m.delegates, delegate)
}

// OnChange implements cairnbay.Members.
func (m *Member) OnChange(changed func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changeCallbacks = append(m.changeCallbacks, changed)
}

// Self implements cairnbay.Members.
func (m *Member) Self() cairnbay.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self()
}

func (m *Member) self() cairnbay.Member {
	version, _ := m.config.SettingsVersion()
	return cairnbay.Member{
		ID: m.config.ID, DataCentre: m.config.DataCentre,
		Address: m.config.Address, CallerAddress: m.config.CallerAddress,
		StartedUnixMS: m.config.StartedUnixMS, SettingsVersion: version,
		Leaving: m.leaving || m.superseded, Heard: m.config.Clock.Now(),
	}
}

// Live implements cairnbay.Members.
func (m *Member) Live() []cairnbay.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.liveMembers(m.config.Clock.Now())
}

// Trusted implements cairnbay.Members.
func (m *Member) Trusted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Clock.Now()
	if m.superseded || now-m.lastTick > m.pauseThreshold() {
		return false
	}
	return len(m.unconfirmed) == 0 || now >= m.recheckDeadline
}

// Superseded says that a later life of this member's ID is running; this process
// must release its work and exit.
func (m *Member) Superseded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.superseded
}

// Peer returns a client for the member with the given ID, or false when its
// address is unknown.
func (m *Member) Peer(id string) (cairnbayv1connect.MemberServiceClient, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	peer, ok := m.peers[id]
	if !ok || peer.member.Address == "" {
		return nil, false
	}
	return m.clientOf(peer), true
}

// Leave announces to all peers that this member takes no new work, and waits until
// these heartbeats are answered or have failed, or the context is done.
func (m *Member) Leave(ctx context.Context) {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.notify(m.updateLive())
	done := m.HeartbeatNow()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// HeartbeatNow sends a heartbeat to all local peers and to the data centres that
// this member is the gateway to. The channel is closed once every call has been
// answered or has failed.
func (m *Member) HeartbeatNow() <-chan struct{} {
	var sent sync.WaitGroup
	m.mu.Lock()
	for _, target := range m.broadcastTargets() {
		m.sendLatest(target, &sent)
	}
	m.mu.Unlock()
	done := make(chan struct{})
	go func() {
		sent.Wait()
		close(done)
	}()
	return done
}

// HandleBeat processes a peer's heartbeat and answers with this member's. It fails
// with ErrInvalid when the heartbeat names no sender.
func (m *Member) HandleBeat(
	_ context.Context, request *cairnbayv1.BeatRequest,
) (*cairnbayv1.BeatResponse, error) {
	beat := request.GetHeartbeat()
	if beat.GetSelf().GetId() == "" {
		return nil, errors.Annotate(cairnbay.ErrInvalid, "heartbeat without a sender")
	}
	accepted := m.receive(beat)
	sender := fromDigest(beat.GetSelf())
	m.mu.Lock()
	peer, ok := m.peers[sender.ID]
	if ok && accepted {
		sender = peer.member
	}
	out := m.newHeartbeat(sender)
	if ok && accepted {
		peer.markSent(out.digests)
	}
	m.mu.Unlock()
	if !accepted {
		return &cairnbayv1.BeatResponse{Heartbeat: out.beat}, nil
	}
	for _, delegate := range out.delegates {
		delegate.FillHeartbeat(sender, out.beat)
	}
	return &cairnbayv1.BeatResponse{Heartbeat: out.beat}, nil
}

// pauseThreshold is the time without a tick that counts as a pause.
func (m *Member) pauseThreshold() time.Duration {
	return m.config.Timing.Period / ticksPerPeriod * pauseTicks
}

// tick sends the heartbeats that are due and expires silent members.
func (m *Member) tick(now time.Duration) {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return
	}
	m.detectPause(now)
	m.lastTick = now
	m.syncList()
	for _, target := range m.targets() {
		if target.nextHeartbeat <= now {
			m.send(target)
		}
	}
	m.mu.Unlock()
	m.notify(m.updateLive())
}

// detectPause starts a recheck after a pause of this process. Every entry point
// calls it before it uses the time since a peer's last contact, because any of
// them may run first after the pause. The caller holds the lock.
func (m *Member) detectPause(now time.Duration) {
	if now-m.lastTick > m.pauseThreshold() {
		m.startRecheck(now)
		m.lastTick = now
	}
}

// startRecheck adds the length of the pause to the last contact of each peer, as
// no heartbeat could be received meanwhile. Trusted stays false until most local
// peers have sent a heartbeat or recheckDeadline has passed.
func (m *Member) startRecheck(now time.Duration) {
	m.counters.pauses.Inc()
	m.config.Log.WithField("paused_for", now-m.lastTick).Warn("this process was paused")
	timing := m.config.Timing
	m.unconfirmed = make(map[string]bool)
	m.recheckDeadline = now + m.localPeriod()*time.Duration(timing.GoneAfter)
	for id, peer := range m.peers {
		if peer.gone {
			continue
		}
		peer.lastContact += now - m.lastTick
		peer.nextHeartbeat = now
		if m.isLocal(peer) {
			m.unconfirmed[id] = true
		}
	}
}

// confirmPeer records a heartbeat from a peer after a pause. The recheck ends once
// more than half of the local peers are confirmed.
func (m *Member) confirmPeer(id string) {
	if len(m.unconfirmed) == 0 {
		return
	}
	before := len(m.unconfirmed)
	delete(m.unconfirmed, id)
	if len(m.unconfirmed) == before {
		return
	}
	locals := 0
	for _, peer := range m.peers {
		if m.isLocal(peer) && !peer.gone {
			locals++
		}
	}
	if 2*len(m.unconfirmed) < locals {
		m.unconfirmed = nil
	}
}

// updateLive expires silent peers and returns the callbacks to run when the live
// members changed.
func (m *Member) updateLive() (callbacks []func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Clock.Now()
	m.detectPause(now)
	m.expirePeers(now)
	live := m.liveMembers(now)
	if slices.EqualFunc(live, m.lastLive, sameMember) {
		return nil
	}
	m.lastLive = live
	return slices.Clone(m.changeCallbacks)
}

func sameMember(a, b cairnbay.Member) bool {
	a.Heard, b.Heard = 0, 0
	return a == b
}

func (m *Member) notify(callbacks []func()) {
	for _, changed := range callbacks {
		changed()
	}
}

// liveMembers lists this member and the peers that are not gone, ordered by ID.
func (m *Member) liveMembers(now time.Duration) []cairnbay.Member {
	live := []cairnbay.Member{m.self()}
	for _, peer := range m.peers {
		if peer.gone || !peer.observed {
			continue
		}
		member := peer.member
		member.Heard = peer.lastContact
		member.Suspect = now-peer.lastContact > m.suspectAfter(peer)
		live = append(live, member)
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ID < live[j].ID })
	return live
}
