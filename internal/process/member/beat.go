package member

import (
	"slices"
	"time"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// outgoing is a heartbeat for a peer, and what the peer knows once it has it.
type outgoing struct {
	beat    *cairnbayv1.Heartbeat
	tells   map[string]told
	beaters []cairnbay.HeartbeatDelegate
}

// fill makes a heartbeat for a peer, without the beaters' parts. It needs the
// lock.
func (m *Member) fill(to cairnbay.Member) outgoing {
	m.sequence++
	now := m.config.Clock.Now()
	beat := &cairnbayv1.Heartbeat{Self: toDigest(m.self(), 0), Sequence: m.sequence}
	known, ok := m.peers[to.ID]
	if ok && laterLife(known.member, to) {
		// The sender is an earlier life of this ID; it has to learn that.
		beat.Digest = append(beat.Digest, toDigest(known.member, now-known.heard))
	}
	filled := outgoing{beat: beat, beaters: slices.Clone(m.beaters), tells: make(map[string]told)}
	if ok {
		m.addDigests(&filled, known, now)
		beat.Missing = known.missing
		known.missing = nil
	}
	return filled
}

// addDigests adds the members that a peer has to hear of: for another data
// centre those of this one, for a member of this one those elsewhere.
func (m *Member) addDigests(filled *outgoing, to *peer, now time.Duration) {
	for id, known := range m.peers {
		if known.gone || !known.met || id == to.member.ID || m.isLocal(known) == m.isLocal(to) {
			continue
		}
		news, ok := m.news(to, known, now)
		if !ok {
			continue
		}
		digest := toDigest(known.member, now-known.heard)
		if last, told := to.told[id]; told && m.isRefresh(last, news) {
			digest = &cairnbayv1.MemberDigest{Id: digest.Id, StartedUnixMs: digest.StartedUnixMs, AgeMs: digest.AgeMs}
		}
		filled.tells[id] = news
		filled.beat.Digest = append(filled.beat.Digest, digest)
	}
}

// news says whether a peer has to hear of a member: when it changed, or was
// heard again a refresh later than what the peer knows.
func (m *Member) news(to, known *peer, now time.Duration) (told, bool) {
	refresh := m.config.Timing.RemoteRefresh
	heard := known.heard
	if m.isLocal(to) {
		heard = known.outside
		if heard == 0 || now-heard > 2*refresh {
			return told{}, false
		}
	}
	last, ok := to.told[known.member.ID]
	changed := !ok || last.fresh != known.fresh || heard-last.heard >= refresh
	return told{fresh: known.fresh, heard: heard}, changed
}

// forget takes back what a peer was told, for the members that it misses.
func (p *peer) forget(missing []string) {
	for _, id := range missing {
		delete(p.told, id)
	}
}

// isRefresh says whether a peer that was told of a member lately needs no more
// than its age.
func (m *Member) isRefresh(last, news told) bool {
	return last.fresh == news.fresh && news.heard-last.heard < 2*m.config.Timing.RemoteRefresh
}

// confirm notes what a peer was told.
func (p *peer) confirm(tells map[string]told) {
	for id, news := range tells {
		p.told[id] = news
	}
}

// hear takes a heartbeat; false says that its sender is an earlier life of a
// known ID, or of this one.
func (m *Member) hear(beat *cairnbayv1.Heartbeat) bool {
	if beat.GetSelf().GetId() == "" {
		return false
	}
	now := m.config.Clock.Now()
	sender := fromDigest(beat.GetSelf())
	m.mu.Lock()
	m.noticePause(now)
	outside := sender.DataCentre != m.config.DataCentre
	heard := m.learn(sender, now, outside)
	for _, digest := range beat.GetDigest() {
		heardAt := now - time.Duration(digest.GetAgeMs())*time.Millisecond
		if digest.GetAddress() == "" {
			m.refreshAge(digest, heardAt, outside, m.peers[sender.ID])
			continue
		}
		m.learn(fromDigest(digest), heardAt, outside)
	}
	if heard {
		m.checked(sender.ID)
		m.peers[sender.ID].forget(beat.GetMissing())
	}
	beaters := slices.Clone(m.beaters)
	m.mu.Unlock()
	if !heard {
		return false
	}
	for _, beater := range beaters {
		beater.HandleHeartbeat(sender, beat)
	}
	return true
}

// refreshAge takes a digest that holds only the age of a member that this one
// was told of before; where it was not, the sender is asked for the whole. It
// needs the lock.
func (m *Member) refreshAge(digest *cairnbayv1.MemberDigest, heardAt time.Duration, outside bool, from *peer) {
	known, ok := m.peers[digest.GetId()]
	if !ok || !known.met || known.member.StartedUnixMS != digest.GetStartedUnixMs() {
		if from != nil && len(from.missing) < maxMissing {
			from.missing = append(from.missing, digest.GetId())
		}
		return
	}
	if heardAt >= known.heard {
		m.update(known, known.member, heardAt, outside)
	}
}

// learn takes what is said of one member. It needs the lock.
func (m *Member) learn(said cairnbay.Member, heardAt time.Duration, outside bool) bool {
	if said.ID == "" {
		return false
	}
	if said.ID == m.config.ID {
		m.meetSelf(said)
		return false
	}
	known, ok := m.peers[said.ID]
	if !ok {
		if m.config.Clock.Now()-heardAt > m.config.Timing.RemoteSuspectAfter {
			return false
		}
		known = &peer{told: make(map[string]told), due: m.config.Clock.Now()}
		m.peers[said.ID] = known
	}
	if laterLife(known.member, said) {
		return false
	}
	if known.met && heardAt < known.heard && !laterLife(said, known.member) {
		return true
	}
	m.update(known, said, heardAt, outside)
	return true
}

func (m *Member) update(known *peer, said cairnbay.Member, heardAt time.Duration, outside bool) {
	if laterLife(said, known.member) {
		known.client = nil
		known.fails = 0
		known.told = make(map[string]told)
	}
	said.Heard, said.Suspect = 0, false
	if known.member != said {
		known.member = said
		known.fresh++
	}
	known.heard = heardAt
	known.met = true
	if outside {
		known.outside = max(heardAt, 1)
	}
	known.gone = false
}

// laterLife says whether a is a later life than b of the same ID. Of two that
// started in the same millisecond the higher address counts.
func laterLife(a, b cairnbay.Member) bool {
	if a.StartedUnixMS != b.StartedUnixMS {
		return a.StartedUnixMS > b.StartedUnixMS
	}
	return b.StartedUnixMS != 0 && a.Address > b.Address
}

// meetSelf is told of a member with this one's ID.
func (m *Member) meetSelf(said cairnbay.Member) {
	if m.superseded || !laterLife(said, m.self()) {
		return
	}
	m.superseded = true
	m.config.Log.WithField("address", said.Address).Error("a later life of this member's ID is running")
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
