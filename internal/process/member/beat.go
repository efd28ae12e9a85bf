package member

import (
	"slices"
	"time"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// outgoingHeartbeat is a heartbeat for a peer, with the digest states to record as
// sent: for a call after its answer, for an answer at once.
type outgoingHeartbeat struct {
	beat      *cairnbayv1.Heartbeat
	digests   map[string]digestState
	delegates []cairnbay.HeartbeatDelegate
}

// newHeartbeat builds a heartbeat for a peer, without the state of the delegates.
// The caller holds the lock.
func (m *Member) newHeartbeat(to cairnbay.Member) outgoingHeartbeat {
	m.sequence++
	now := m.config.Clock.Now()
	beat := &cairnbayv1.Heartbeat{Self: toDigest(m.self(), 0), Sequence: m.sequence}
	peer, ok := m.peers[to.ID]
	if ok && laterLife(peer.member, to) {
		// The recipient is an earlier life of its ID; the digest of the later life
		// tells it that it is superseded.
		beat.Digest = append(beat.Digest, toDigest(peer.member, now-peer.lastContact))
	}
	out := outgoingHeartbeat{beat: beat, delegates: slices.Clone(m.delegates), digests: make(map[string]digestState)}
	if ok {
		m.addDigests(&out, peer, now)
		beat.Missing = peer.missing
		peer.missing = nil
	}
	return out
}

// addDigests adds the digests that are due to a peer: of local members to a peer
// in another data centre, of remote members to a local peer.
func (m *Member) addDigests(out *outgoingHeartbeat, to *peerState, now time.Duration) {
	for id, peer := range m.peers {
		if peer.gone || !peer.observed || id == to.member.ID || m.isLocal(peer) == m.isLocal(to) {
			continue
		}
		state, ok := m.digestDue(to, peer, now)
		if !ok {
			continue
		}
		digest := toDigest(peer.member, now-peer.lastContact)
		if last, sent := to.sentDigests[id]; sent && m.mayOmitState(last, state) {
			digest = &cairnbayv1.MemberDigest{Id: digest.Id, StartedUnixMs: digest.StartedUnixMs, AgeMs: digest.AgeMs}
		}
		out.digests[id] = state
		out.beat.Digest = append(out.beat.Digest, digest)
	}
}

// digestDue returns a member's current digest state and whether to send it to the
// peer: when the member changed, or its last contact is at least RemoteRefresh
// later than the one sent before. A local peer gets the contact that another data
// centre reported, and nothing when that is older than two RemoteRefresh.
func (m *Member) digestDue(to, peer *peerState, now time.Duration) (digestState, bool) {
	refresh := m.config.Timing.RemoteRefresh
	contactAt := peer.lastContact
	if m.isLocal(to) {
		contactAt = peer.remoteContact
		if contactAt == 0 || now-contactAt > 2*refresh {
			return digestState{}, false
		}
	}
	last, ok := to.sentDigests[peer.member.ID]
	changed := !ok || last.revision != peer.revision || contactAt-last.lastContact >= refresh
	return digestState{revision: peer.revision, lastContact: contactAt}, changed
}

// clearSent discards the sent digests of the members that the peer reports as
// missing, so that the next heartbeat holds their full digests.
func (p *peerState) clearSent(missing []string) {
	for _, id := range missing {
		delete(p.sentDigests, id)
	}
}

// mayOmitState says whether a digest may hold only the member's age: the last one
// recorded as sent has the same revision, and its contact is less than two
// RemoteRefresh earlier.
func (m *Member) mayOmitState(last, state digestState) bool {
	return last.revision == state.revision && state.lastContact-last.lastContact < 2*m.config.Timing.RemoteRefresh
}

// markSent records the digests that the peer has received.
func (p *peerState) markSent(digests map[string]digestState) {
	for id, state := range digests {
		p.sentDigests[id] = state
	}
}

// receive processes a heartbeat. It returns false when the sender has no ID, is an
// earlier life of a member, or uses this member's own ID. The digests of a sender
// with an ID are recorded in any case.
func (m *Member) receive(beat *cairnbayv1.Heartbeat) bool {
	if beat.GetSelf().GetId() == "" {
		return false
	}
	now := m.config.Clock.Now()
	sender := fromDigest(beat.GetSelf())
	m.mu.Lock()
	m.detectPause(now)
	remote := sender.DataCentre != m.config.DataCentre
	accepted := m.recordReport(sender, now, remote)
	for _, digest := range beat.GetDigest() {
		contactAt := now - time.Duration(digest.GetAgeMs())*time.Millisecond
		if digest.GetAddress() == "" {
			m.refreshAge(digest, contactAt, remote, m.peers[sender.ID])
			continue
		}
		m.recordReport(fromDigest(digest), contactAt, remote)
	}
	if accepted {
		m.confirmPeer(sender.ID)
		m.peers[sender.ID].clearSent(beat.GetMissing())
	}
	delegates := slices.Clone(m.delegates)
	m.mu.Unlock()
	if !accepted {
		return false
	}
	for _, delegate := range delegates {
		delegate.HandleHeartbeat(sender, beat)
	}
	return true
}

// refreshAge processes a digest that holds only a member's age. When the member or
// its current life is unknown here, the full digest is requested from the sender.
// The caller holds the lock.
func (m *Member) refreshAge(digest *cairnbayv1.MemberDigest, contactAt time.Duration, remote bool, from *peerState) {
	peer, ok := m.peers[digest.GetId()]
	if !ok || !peer.observed || peer.member.StartedUnixMS != digest.GetStartedUnixMs() {
		if from != nil && len(from.missing) < maxMissingIDs {
			from.missing = append(from.missing, digest.GetId())
		}
		return
	}
	if contactAt >= peer.lastContact {
		m.update(peer, peer.member, contactAt, remote)
	}
}

// recordReport processes a member's state as reported by itself or by a peer. It
// returns false when the report is of an earlier life, of this member's own ID, or
// too old to add an unknown member. The caller holds the lock.
func (m *Member) recordReport(reported cairnbay.Member, contactAt time.Duration, remote bool) bool {
	if reported.ID == "" {
		return false
	}
	if reported.ID == m.config.ID {
		m.checkOwnID(reported)
		return false
	}
	peer, ok := m.peers[reported.ID]
	if !ok {
		if m.config.Clock.Now()-contactAt > m.config.Timing.RemoteSuspectAfter {
			return false
		}
		peer = &peerState{sentDigests: make(map[string]digestState), nextHeartbeat: m.config.Clock.Now()}
		m.peers[reported.ID] = peer
	}
	if laterLife(peer.member, reported) {
		return false
	}
	if peer.observed && contactAt < peer.lastContact && !laterLife(reported, peer.member) {
		return true
	}
	m.update(peer, reported, contactAt, remote)
	return true
}

func (m *Member) update(peer *peerState, reported cairnbay.Member, contactAt time.Duration, remote bool) {
	if laterLife(reported, peer.member) {
		peer.client = nil
		peer.failures = 0
		peer.sentDigests = make(map[string]digestState)
	}
	reported.Heard, reported.Suspect = 0, false
	if peer.member != reported {
		peer.member = reported
		peer.revision++
	}
	peer.lastContact = contactAt
	peer.observed = true
	if remote {
		peer.remoteContact = max(contactAt, 1) // 0 means none
	}
	peer.gone = false
}

// laterLife says whether a is a later life of the same ID than b. Of two lives that
// started in the same millisecond, the one with the higher address is the later.
func laterLife(a, b cairnbay.Member) bool {
	if a.StartedUnixMS != b.StartedUnixMS {
		return a.StartedUnixMS > b.StartedUnixMS
	}
	return b.StartedUnixMS != 0 && a.Address > b.Address
}

// checkOwnID marks this member as superseded when a reported member with the same
// ID is a later life.
func (m *Member) checkOwnID(reported cairnbay.Member) {
	if m.superseded || !laterLife(reported, m.self()) {
		return
	}
	m.superseded = true
	m.config.Log.WithField("address", reported.Address).Error("a later life of this member's ID is running")
}

func toDigest(member cairnbay.Member, age time.Duration) *cairnbayv1.MemberDigest {
	return &cairnbayv1.MemberDigest{
		Id: member.ID, DataCentre: member.DataCentre,
		Address: member.Address, CallerAddress: member.CallerAddress,
		StartedUnixMs: member.StartedUnixMS, SettingsVersion: member.SettingsVersion,
		Leaving: member.Leaving, AgeMs: uint32(max(0, age.Milliseconds())),
	}
}

func fromDigest(digest *cairnbayv1.MemberDigest) cairnbay.Member {
	return cairnbay.Member{
		ID: digest.GetId(), DataCentre: digest.GetDataCentre(),
		Address: digest.GetAddress(), CallerAddress: digest.GetCallerAddress(),
		StartedUnixMS: digest.GetStartedUnixMs(), SettingsVersion: digest.GetSettingsVersion(),
		Leaving: digest.GetLeaving(),
	}
}
