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

// reportTimes records when slot reports were last sent to each peer.
type reportTimes struct {
	mu       sync.Mutex
	lastSent map[string]time.Duration
}

// markIfDue records a report to the peer as sent now and returns true, unless the
// last one was less than reportPeriod ago.
func (r *reportTimes) markIfDue(peer string, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, sent := r.lastSent[peer]
	if sent && now-last < reportPeriod {
		return false
	}
	r.lastSent[peer] = now
	return true
}

// homeLedgers holds the ledgers of the upstreams whose home is this member.
type homeLedgers struct {
	mu      sync.Mutex
	ledgers map[string]*ledger
}

// Home returns the member that grants the upstream's slots: the one with the
// highest hash of both names. It is empty when there are no members.
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

// memberView returns the entry instances of this data centre that are listed, and
// those that are live.
func (t *Table) memberView() membership {
	var view membership
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

// splitStart returns a start for split that distributes its rounding errors over
// the upstreams of a service, so that each member's total is close to its share.
//
// Source: Weyl's sequence of multiples of the golden ratio.
func splitStart(rank int) float64 {
	// golden is the fractional part of the golden ratio; its multiples modulo 1 are
	// evenly spread.
	const golden = 0.6180339887498949
	_, fraction := math.Modf(float64(rank) * golden)
	return fraction
}

// tick divides the slots of every upstream whose home is this member, and applies
// the member's own grants. With ModeEqual it sets the fixed shares instead.
func (h *homeLedgers) tick(t *Table, now time.Duration) {
	view := t.memberView()
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[string]bool{}
	t.forEachUpstream(func(svc *service, u *upstream) {
		id := u.instance.ID
		if svc.mode != ModeGrants {
			u.granted = fixedShare(t.config.Self, u, view)
			return
		}
		if Home(id, view.live) != t.config.Self || u.gone {
			return
		}
		seen[id] = true
		h.grantSelf(t, svc, u, view, now)
	})
	for id := range h.ledgers {
		if !seen[id] {
			delete(h.ledgers, id)
		}
	}
}

// fixedShare returns this member's slots when all listed members have equal
// shares. Each member computes it alone, without messages.
func fixedShare(self string, u *upstream, view membership) int {
	shares := make([]share, 0, len(view.listed))
	for _, id := range view.listed {
		shares = append(shares, share{member: id, weight: 1})
	}
	return split(u.instance.Slots, splitStart(u.rank), shares)[self]
}

// grantSelf records this member's own demand, divides the slots and applies the
// member's own grant.
func (h *homeLedgers) grantSelf(t *Table, svc *service, u *upstream, view membership, now time.Duration) {
	id := u.instance.ID
	ledger := h.ledgers[id]
	if ledger == nil {
		ledger = newLedger(uint64(t.config.Clock.Wall().UnixMilli()))
		h.ledgers[id] = ledger
	}
	ledger.slots = u.instance.Slots
	ledger.rank = u.rank
	if u.beginReport(t.config.Self, now) {
		ledger.recordReport(report{
			member:   t.config.Self,
			wanted:   svc.wantedSlots(),
			held:     heldSlots(u, now),
			sequence: u.sequence,
			stampMS:  now.Milliseconds(),
		}, now)
	}
	ledger.divide(view, now)
	own := ledger.allocations[t.config.Self]
	if own != nil && own.sequence != 0 && ledger.majority && u.home == t.config.Self {
		u.granted = own.granted
		u.sequence = own.sequence
		u.expires = now + grantLease
	}
}

// beginReport records that this member reports to home now and returns true, unless
// the last report to another home is less than homeSwitchWait ago and may not be
// stale yet. A change of home resets the sequence; the grant of the former home
// stays in use until it expires.
func (u *upstream) beginReport(home string, now time.Duration) bool {
	if u.home != home {
		if u.home != "" && now-u.lastReport < homeSwitchWait {
			return false
		}
		u.home = home
		u.sequence = 0
	}
	u.lastReport = now
	return true
}

// heldSlots returns the larger of the slots that this member uses and may use.
func heldSlots(u *upstream, now time.Duration) int {
	return max(u.used, u.limit(ModeGrants, now))
}

// forEachUpstream calls visit for every upstream while it holds the lock of the
// upstream's service.
func (t *Table) forEachUpstream(visit func(*service, *upstream)) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, svc := range t.services {
		svc.mu.Lock()
		for _, u := range svc.upstreams {
			visit(svc, u)
		}
		svc.mu.Unlock()
	}
}

// FillHeartbeat adds this member's demands for upstreams whose home is the peer,
// and the grants to the peer for upstreams whose home is this member. It adds
// nothing for a peer in another data centre, or within reportPeriod of the last
// report to the peer.
func (t *Table) FillHeartbeat(peer cairnbay.Member, beat *cairnbayv1.Heartbeat) {
	if peer.DataCentre != t.config.DataCentre {
		return
	}
	now := t.config.Clock.Now()
	if !t.reportTimes.markIfDue(peer.ID, now) {
		return
	}
	view := t.memberView()
	t.forEachUpstream(func(svc *service, u *upstream) {
		if svc.mode != ModeGrants || u.gone || Home(u.instance.ID, view.live) != peer.ID {
			return
		}
		if !u.beginReport(peer.ID, now) {
			return
		}
		beat.SlotDemands = append(beat.SlotDemands, &cairnbayv1.SlotDemand{
			Upstream: u.instance.ID,
			Wanted:   uint32(svc.wantedSlots() * 1000),
			Used:     uint32(u.used),
			Held:     uint32(heldSlots(u, now)),
			Sequence: u.sequence,
			StampMs:  now.Milliseconds(),
		})
	})
	t.homeLedgers.addGrants(peer.ID, beat, now)
}

func (h *homeLedgers) addGrants(peer string, beat *cairnbayv1.Heartbeat, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, ledger := range h.ledgers {
		alloc := ledger.allocations[peer]
		if alloc == nil || alloc.sequence == 0 || !ledger.majority || now-alloc.reportedAt >= reportMaxAge {
			continue
		}
		beat.SlotGrants = append(beat.SlotGrants, &cairnbayv1.SlotGrant{
			Upstream: id,
			Slots:    uint32(alloc.granted),
			LeaseMs:  uint32(grantLease.Milliseconds()),
			Sequence: alloc.sequence,
			StampMs:  alloc.stampMS,
		})
	}
}

// HandleHeartbeat records the peer's demands for upstreams whose home is this
// member, and applies the grants that the peer issued as home. Heartbeats from other
// data centres are ignored.
func (t *Table) HandleHeartbeat(peer cairnbay.Member, beat *cairnbayv1.Heartbeat) {
	if peer.DataCentre != t.config.DataCentre {
		return
	}
	now := t.config.Clock.Now()
	t.homeLedgers.recordDemands(peer.ID, beat.GetSlotDemands(), now)
	grants := map[string]*cairnbayv1.SlotGrant{}
	for _, grant := range beat.GetSlotGrants() {
		grants[grant.GetUpstream()] = grant
	}
	if len(grants) == 0 {
		return
	}
	raised := map[string]bool{}
	t.forEachUpstream(func(svc *service, u *upstream) {
		if grant := grants[u.instance.ID]; grant != nil && u.applyGrant(peer.ID, grant) {
			raised[svc.name] = true
		}
	})
	for name := range raised {
		t.notifyFree(name)
	}
}

func (h *homeLedgers) recordDemands(peer string, demands []*cairnbayv1.SlotDemand, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, demand := range demands {
		ledger := h.ledgers[demand.GetUpstream()]
		if ledger == nil {
			continue
		}
		ledger.recordReport(report{
			member:   peer,
			wanted:   float64(demand.GetWanted()) / 1000,
			held:     int(demand.GetHeld()),
			sequence: demand.GetSequence(),
			stampMS:  demand.GetStampMs(),
		}, now)
	}
}

// applyGrant applies a grant from the upstream's home, and says whether it raised
// the number of slots. Grants from another member and older ones are ignored.
func (u *upstream) applyGrant(home string, grant *cairnbayv1.SlotGrant) bool {
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
