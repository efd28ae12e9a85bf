package slots

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// sent notes when each peer was last sent a report.
type sent struct {
	mu   sync.Mutex
	last map[string]time.Duration
}

func (s *sent) due(peer string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, known := s.last[peer]
	if known && now-last < reportPeriod {
		return false
	}
	s.last[peer] = now
	return true
}

// homes are the ledgers of the upstreams that this member is home of.
type homes struct {
	mu      sync.Mutex
	ledgers map[string]*ledger
}

// Home is the member that lends the upstream's slots: the one with the highest
// hash of both names. It is empty without members.
//
// Source: Thaler and Ravishankar, rendezvous hashing, 1998.
func Home(upstream string, members []string) string {
	best, highest := "", uint64(0)
	for _, member := range members {
		digest := xxhash.New()
		_, _ = digest.WriteString(member)
		_, _ = digest.WriteString("\x00")
		_, _ = digest.WriteString(upstream)
		if sum := digest.Sum64(); best == "" || sum > highest {
			best, highest = member, sum
		}
	}
	return best
}

// members returns who may hold slots in this data centre.
func (t *Table) members() members {
	var view members
	for _, member := range t.config.Members.Live() {
		if member.DataCentre != t.config.DataCentre {
			continue
		}
		view.listed = append(view.listed, member.ID)
		if !member.Leaving {
			view.live = append(view.live, member.ID)
		}
	}
	for _, instance := range t.config.Instances() {
		if instance.Kind == cairnbay.InstanceEntry && instance.DataCentre == t.config.DataCentre {
			view.listed = append(view.listed, instance.ID)
		}
	}
	slices.Sort(view.listed)
	view.listed = slices.Compact(view.listed)
	return view
}

// startOf spreads the rounding of split over the upstreams of a service, so that
// each member's whole is close to its share.
//
// Source: Weyl's sequence of multiples of the golden ratio.
func startOf(rank int) float64 {
	const golden = 0.6180339887498949
	_, part := math.Modf(float64(rank) * golden)
	return part
}

// tick divides the slots of every upstream that this member is home of, and
// applies its own part.
func (h *homes) tick(t *Table, now time.Duration) {
	view := t.members()
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[string]bool{}
	t.each(func(service *service, entry *upstream) {
		id := entry.instance.ID
		if service.mode != ModeGrants {
			entry.granted = fixedShare(t.config.Self, entry, view)
			return
		}
		if Home(id, view.live) != t.config.Self || entry.gone {
			return
		}
		seen[id] = true
		h.lendSelf(t, service, entry, view, now)
	})
	for id := range h.ledgers {
		if !seen[id] {
			delete(h.ledgers, id)
		}
	}
}

// fixedShare is this member's part of equal shares; no messages are needed.
func fixedShare(self string, entry *upstream, view members) int {
	shares := make([]share, 0, len(view.listed))
	for _, id := range view.listed {
		shares = append(shares, share{member: id, weight: 1})
	}
	return split(entry.instance.Slots, startOf(entry.rank), shares)[self]
}

// lendSelf hears this member's own demand and applies its own grant.
func (h *homes) lendSelf(t *Table, service *service, entry *upstream, view members, now time.Duration) {
	id := entry.instance.ID
	book := h.ledgers[id]
	if book == nil {
		book = newLedger(uint64(t.config.Clock.Wall().UnixMilli()))
		h.ledgers[id] = book
	}
	book.slots = entry.instance.Slots
	book.rank = entry.rank
	if entry.reportTo(t.config.Self, now) {
		book.hear(report{
			member:   t.config.Self,
			wanted:   service.wanted(),
			held:     held(entry, now),
			sequence: entry.sequence,
			stampMS:  now.Milliseconds(),
		}, now)
	}
	book.divide(view, now)
	own := book.loans[t.config.Self]
	if own != nil && own.sequence != 0 && book.majority && entry.home == t.config.Self {
		entry.granted = own.granted
		entry.sequence = own.sequence
		entry.expires = now + lease
	}
}

// reportTo says whether this member may report to home now. When the home has
// changed it first lets its last report to the former one go stale; grants of
// that one are held until they lapse, and its sequence no longer counts.
func (u *upstream) reportTo(home string, now time.Duration) bool {
	if u.home != home {
		if u.home != "" && now-u.reported < turnWait {
			return false
		}
		u.home = home
		u.sequence = 0
	}
	u.reported = now
	return true
}

// held is the most that this member uses or may use.
func held(entry *upstream, now time.Duration) int {
	return max(entry.used, entry.limit(ModeGrants, now))
}

// each visits every upstream under its service's lock.
func (t *Table) each(visit func(*service, *upstream)) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, known := range t.services {
		known.mu.Lock()
		for _, entry := range known.upstreams {
			visit(known, entry)
		}
		known.mu.Unlock()
	}
}

// FillHeartbeat adds this member's demands to their home, and the grants of
// the upstreams that this member is home of.
func (t *Table) FillHeartbeat(peer cairnbay.Member, beat *cairnbayv1.Heartbeat) {
	if peer.DataCentre != t.config.DataCentre {
		return
	}
	now := t.config.Clock.Now()
	if !t.sent.due(peer.ID, now) {
		return
	}
	view := t.members()
	t.each(func(service *service, entry *upstream) {
		if service.mode != ModeGrants || entry.gone || Home(entry.instance.ID, view.live) != peer.ID {
			return
		}
		if !entry.reportTo(peer.ID, now) {
			return
		}
		beat.SlotDemands = append(beat.SlotDemands, &cairnbayv1.SlotDemand{
			Upstream: entry.instance.ID,
			Wanted:   uint32(service.wanted() * 1000),
			Used:     uint32(entry.used),
			Held:     uint32(held(entry, now)),
			Sequence: entry.sequence,
			StampMs:  now.Milliseconds(),
		})
	})
	t.homes.fill(peer.ID, beat, now)
}

func (h *homes) fill(peer string, beat *cairnbayv1.Heartbeat, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, book := range h.ledgers {
		loan := book.loans[peer]
		if loan == nil || loan.sequence == 0 || !book.majority || now-loan.heard >= reportFresh {
			continue
		}
		beat.SlotGrants = append(beat.SlotGrants, &cairnbayv1.SlotGrant{
			Upstream: id,
			Slots:    uint32(loan.granted),
			LeaseMs:  uint32(lease.Milliseconds()),
			Sequence: loan.sequence,
			StampMs:  loan.stampMS,
		})
	}
}

// HandleHeartbeat takes a peer's demands and grants.
func (t *Table) HandleHeartbeat(peer cairnbay.Member, beat *cairnbayv1.Heartbeat) {
	if peer.DataCentre != t.config.DataCentre {
		return
	}
	now := t.config.Clock.Now()
	t.homes.hear(peer.ID, beat.GetSlotDemands(), now)
	grants := map[string]*cairnbayv1.SlotGrant{}
	for _, grant := range beat.GetSlotGrants() {
		grants[grant.GetUpstream()] = grant
	}
	if len(grants) == 0 {
		return
	}
	raised := map[string]bool{}
	t.each(func(service *service, entry *upstream) {
		if grant := grants[entry.instance.ID]; grant != nil && entry.apply(peer.ID, grant) {
			raised[service.name] = true
		}
	})
	for name := range raised {
		t.freed(name)
	}
}

func (h *homes) hear(peer string, demands []*cairnbayv1.SlotDemand, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, demand := range demands {
		book := h.ledgers[demand.GetUpstream()]
		if book == nil {
			continue
		}
		book.hear(report{
			member:   peer,
			wanted:   float64(demand.GetWanted()) / 1000,
			held:     int(demand.GetHeld()),
			sequence: demand.GetSequence(),
			stampMS:  demand.GetStampMs(),
		}, now)
	}
}

// apply takes a grant of the upstream's home, and says whether it raised what
// may be used. A grant of another home, or an older one, is passed over.
func (u *upstream) apply(home string, grant *cairnbayv1.SlotGrant) bool {
	if u.home != home || grant.GetSequence() < u.sequence {
		return false
	}
	raised := int(grant.GetSlots()) > u.granted
	expires := time.Duration(grant.GetStampMs()+int64(grant.GetLeaseMs())) * time.Millisecond
	if u.sequence != 0 {
		expires = max(expires, u.expires)
	}
	u.expires = expires
	u.sequence = grant.GetSequence()
	u.granted = int(grant.GetSlots())
	return raised
}
