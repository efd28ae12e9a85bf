// Package member exchanges heartbeats with the other entry instances and shows
// which of them are live.
//
// Members of one data centre exchange with each other. One member a data centre
// carries a digest of its members to each other data centre, and spreads what
// it hears there among its own.
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
	// pauseTicks without a tick mean that this process was paused.
	pauseTicks = 10
	// redialAfter is how many failures in a row open a new connection.
	redialAfter = 2
	// remotePeriods is the period towards other data centres, in periods.
	remotePeriods = 2
	// maxMissing bounds what one heartbeat asks for.
	maxMissing = 256
)

// Member implements cairnbay.Members.
type Member struct {
	config  Config
	cancel  context.CancelFunc
	ctx     context.Context
	stop    func()
	sending sync.WaitGroup

	mu         sync.Mutex
	closed     bool
	leaving    bool
	superseded bool
	sequence   uint64
	peers      map[string]*peer
	beaters    []cairnbay.HeartbeatDelegate
	changes    []func()
	lastTick   time.Duration
	// check holds the members that have to be heard again after a pause, and
	// until when that is waited for.
	check      map[string]bool
	checkUntil time.Duration
	live       []cairnbay.Member
	counters   counters
}

type counters struct {
	sent, failed, pauses, redials *metrics.Counter
}

// New starts a member. Close ends it.
func New(config Config) *Member {
	config = withDefaults(config)
	ctx, cancel := context.WithCancel(context.Background())
	member := &Member{
		config: config, ctx: ctx, cancel: cancel,
		peers:    make(map[string]*peer),
		beaters:  slices.Clone(config.Beaters),
		lastTick: config.Clock.Now(),
		counters: newCounters(config.Metrics),
	}
	member.live = member.view(config.Clock.Now())
	config.Metrics.GetOrCreateGauge("cairnbay_member_live_count", func() float64 {
		return float64(len(member.Live()))
	})
	member.stop = config.Clock.Every(config.Timing.Period/ticksPerPeriod, member.tick)
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

// Close ends the heartbeats and waits for those under way.
func (m *Member) Close() {
	m.stop()
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.sending.Wait()
}

// AddBeater adds a part that sends and hears state on heartbeats.
func (m *Member) AddBeater(beater cairnbay.HeartbeatDelegate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.beaters = append(m.beaters, beater)
}

// OnChange implements cairnbay.Members.
func (m *Member) OnChange(changed func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changes = append(m.changes, changed)
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
	return m.view(m.config.Clock.Now())
}

// Trusted implements cairnbay.Members.
func (m *Member) Trusted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Clock.Now()
	if m.superseded || now-m.lastTick > m.pauseAfter() {
		return false
	}
	return len(m.check) == 0 || now >= m.checkUntil
}

// Superseded says that a later life of this member's ID is running; this one
// must hand over and end.
func (m *Member) Superseded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.superseded
}

// Peer returns the client of a member that is known.
func (m *Member) Peer(id string) (cairnbayv1connect.MemberServiceClient, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.peers[id]
	if !ok || known.member.Address == "" {
		return nil, false
	}
	return m.clientOf(known), true
}

// Leave tells all peers at once that this member takes no new work, and waits
// until they were told or the context ends.
func (m *Member) Leave(ctx context.Context) {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.notify(m.refresh())
	told := m.HeartbeatNow()
	select {
	case <-told:
	case <-ctx.Done():
	}
}

// HeartbeatNow sends a heartbeat to every peer that this member exchanges with; the
// channel is closed once all are answered or have failed.
func (m *Member) HeartbeatNow() <-chan struct{} {
	var sent sync.WaitGroup
	m.mu.Lock()
	for _, target := range m.nearby() {
		m.sendAgain(target, &sent)
	}
	m.mu.Unlock()
	told := make(chan struct{})
	go func() {
		sent.Wait()
		close(told)
	}()
	return told
}

// HandleBeat takes a peer's heartbeat and answers with this member's.
func (m *Member) HandleBeat(
	_ context.Context, request *cairnbayv1.BeatRequest,
) (*cairnbayv1.BeatResponse, error) {
	beat := request.GetHeartbeat()
	if beat.GetSelf().GetId() == "" {
		return nil, errors.Annotate(cairnbay.ErrInvalid, "heartbeat without a sender")
	}
	heard := m.hear(beat)
	sender := fromDigest(beat.GetSelf())
	m.mu.Lock()
	known, ok := m.peers[sender.ID]
	if ok && heard {
		sender = known.member
	}
	filled := m.fill(sender)
	if ok && heard {
		known.confirm(filled.tells)
	}
	m.mu.Unlock()
	if !heard {
		return &cairnbayv1.BeatResponse{Heartbeat: filled.beat}, nil
	}
	for _, beater := range filled.beaters {
		beater.FillHeartbeat(sender, filled.beat)
	}
	return &cairnbayv1.BeatResponse{Heartbeat: filled.beat}, nil
}

// pauseAfter is the time without a tick that counts as a pause.
func (m *Member) pauseAfter() time.Duration {
	return m.config.Timing.Period / ticksPerPeriod * pauseTicks
}

// tick sends the heartbeats that are due and looks at who went silent.
func (m *Member) tick(now time.Duration) {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return
	}
	m.noticePause(now)
	m.lastTick = now
	m.discover()
	for _, target := range m.targets() {
		if target.due <= now {
			m.send(target)
		}
	}
	m.mu.Unlock()
	m.notify(m.refresh())
}

// noticePause distrusts what is held after a pause of this process. Whatever
// runs first after the pause has to call it before it judges by the time since
// a peer was heard. It needs the lock.
func (m *Member) noticePause(now time.Duration) {
	if now-m.lastTick > m.pauseAfter() {
		m.distrust(now)
		m.lastTick = now
	}
}

// distrust is called after a pause of this process: the silence of the peers
// was its own, and what it holds has to be checked again.
func (m *Member) distrust(now time.Duration) {
	m.counters.pauses.Inc()
	m.config.Log.WithField("paused_for", now-m.lastTick).Warn("this process was paused")
	timing := m.config.Timing
	m.check = make(map[string]bool)
	m.checkUntil = now + m.period()*time.Duration(timing.GoneAfter)
	for id, known := range m.peers {
		if known.gone {
			continue
		}
		known.heard += now - m.lastTick
		known.due = now
		if m.isLocal(known) {
			m.check[id] = true
		}
	}
}

// checked takes an answer of a peer after a pause; a majority is enough.
func (m *Member) checked(id string) {
	if len(m.check) == 0 {
		return
	}
	before := len(m.check)
	delete(m.check, id)
	if len(m.check) == before {
		return
	}
	locals := 0
	for _, known := range m.peers {
		if m.isLocal(known) && !known.gone {
			locals++
		}
	}
	if 2*len(m.check) < locals {
		m.check = nil
	}
}

// refresh looks whether the live members changed.
func (m *Member) refresh() (callbacks []func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Clock.Now()
	m.noticePause(now)
	m.expire(now)
	live := m.view(now)
	if slices.EqualFunc(live, m.live, sameMember) {
		return nil
	}
	m.live = live
	return slices.Clone(m.changes)
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

// view lists the members that are not gone, by ID.
func (m *Member) view(now time.Duration) []cairnbay.Member {
	live := []cairnbay.Member{m.self()}
	for _, known := range m.peers {
		if known.gone || !known.met {
			continue
		}
		member := known.member
		member.Heard = known.heard
		member.Suspect = now-known.heard > m.suspectAfter(known)
		live = append(live, member)
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ID < live[j].ID })
	return live
}
