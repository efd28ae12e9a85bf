package slots

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"cairnbay"
)

// upstream is this member's view of one upstream; its service's lock guards it.
type upstream struct {
	instance cairnbay.Instance
	// rank is its place in the list's order.
	rank int
	gone bool
	// said is the address under which the upstream itself said that it leaves.
	said    string
	used    int
	granted int
	expires time.Duration
	// sequence is of the grant in force, home is whom this member reports to and
	// reported is when it did so last.
	sequence uint64
	home     string
	reported time.Duration
	// runTime is a moving mean of how long a slot is held.
	runTime time.Duration
}

// service is the upstreams of one service, under one lock.
type service struct {
	name    string
	waiting atomic.Int64
	arrived atomic.Int64
	live    atomic.Int64

	mu        sync.Mutex
	mode      Mode
	upstreams []*upstream
	next      int
	// demand is a moving mean of the slots that arriving requests need: their
	// rate times how long they run, which a backlog does not change.
	demand   float64
	runTime  time.Duration
	samples  int
	measured time.Duration
}

// Weights of the newest sample in moving means.
const (
	runTimeWeight = 0.05
	serviceWeight = 0.005
	demandWeight  = 0.1
)

func newService(name string) *service {
	return &service{name: name, mode: ModeGrants}
}

// follow takes the rows of the list; an upstream in use is kept until it is
// free, so that its slots are returned.
func (s *service) follow(rows []cairnbay.Instance, mode Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	known := make(map[string]*upstream, len(s.upstreams))
	for _, entry := range s.upstreams {
		entry.gone = true
		known[entry.instance.ID] = entry
	}
	for rank, row := range rows {
		if row.Slots == 0 {
			row.Slots = defaultSlots
		}
		entry := known[row.ID]
		if entry == nil {
			entry = &upstream{}
			s.upstreams = append(s.upstreams, entry)
		}
		if entry.said != row.Address {
			entry.said = ""
		}
		entry.instance = row
		entry.rank = rank
		entry.gone = false
	}
	kept := s.upstreams[:0]
	for _, entry := range s.upstreams {
		if !entry.gone || entry.used > 0 {
			kept = append(kept, entry)
		}
	}
	clear(s.upstreams[len(kept):])
	s.upstreams = kept
	s.live.Store(int64(len(rows)))
}

func (s *service) lists(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range s.upstreams {
		if entry.instance.ID == id {
			return !entry.gone
		}
	}
	return false
}

func (s *service) markLeaving(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range s.upstreams {
		if entry.instance.ID == id {
			entry.said = entry.instance.Address
		}
	}
}

// takesWork says whether the upstream may be given new requests at all.
func (u *upstream) takesWork() bool {
	return !u.gone && !u.instance.Leaving && u.said == ""
}

// limit is how many slots this member may use now.
func (u *upstream) limit(mode Mode, now time.Duration) int {
	switch {
	case mode == ModeLeastLoaded:
		return u.instance.Slots
	case mode == ModeEqual, now < u.expires:
		return u.granted
	default:
		return min(u.granted, floorSlots)
	}
}

func (s *service) take(now time.Duration, avoid func(string) bool) (Slot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := s.best(now, avoid)
	if best == nil {
		return Slot{}, false
	}
	best.used++
	return Slot{Upstream: best.instance, AcquiredAt: now, service: s, entry: best}, true
}

// best is the upstream with a free slot where a request is expected to end
// first. The scan starts further on each time, so that equals take turns.
func (s *service) best(now time.Duration, avoid func(string) bool) *upstream {
	var best *upstream
	lowest := math.Inf(1)
	s.next++
	for i := range s.upstreams {
		entry := s.upstreams[(i+s.next)%len(s.upstreams)]
		limit := entry.limit(s.mode, now)
		if entry.used >= limit || !entry.takesWork() {
			continue
		}
		if avoid != nil && avoid(entry.instance.ID) {
			continue
		}
		if cost := s.cost(entry, limit); cost < lowest {
			best, lowest = entry, cost
		}
	}
	return best
}

func (s *service) cost(entry *upstream, limit int) float64 {
	if s.mode == ModeLeastLoaded {
		return float64(entry.used)
	}
	return float64(entry.runTime+time.Microsecond) * (1 + float64(entry.used)/float64(limit))
}

func (s *service) give(slot Slot, now time.Duration, timed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slot.entry.used--
	if !timed {
		return
	}
	ran := now - slot.AcquiredAt
	slot.entry.runTime = blend(slot.entry.runTime, ran, runTimeWeight)
	s.samples++
	s.runTime = blend(s.runTime, ran, max(serviceWeight, 1/float64(s.samples)))
}

func blend(mean, sample time.Duration, weight float64) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(weight*float64(sample-mean))
}

// recovery is the part of its distance from the mean by which an upstream's
// run time returns in a tick, so that a slow one is tried again.
const recovery = 0.02

// backlogTime is how fast a member asks to work off what waits.
const backlogTime = 5 * time.Second

// measure updates the demand and lets stale run times fade.
func (s *service) measure(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range s.upstreams {
		entry.runTime = blend(entry.runTime, s.runTime, recovery)
	}
	passed := now - s.measured
	if passed <= 0 {
		return
	}
	s.measured = now
	rate := float64(s.arrived.Swap(0)) / passed.Seconds()
	backlog := float64(s.waiting.Load()) / backlogTime.Seconds()
	s.demand += demandWeight * ((rate+backlog)*s.runTime.Seconds() - s.demand)
}

// wanted is the demand with room for its variation: the square-root rule for
// staffing.
//
// Source: Halfin and Whitt, Heavy-traffic limits for queues with many
// exponential servers, 1981.
func (s *service) wanted() float64 {
	return s.demand + math.Sqrt(s.demand)
}

func (s *service) totals(now time.Duration) Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	totals := Totals{MeanHoldTime: s.runTime}
	for _, entry := range s.upstreams {
		totals.Used += entry.used
		if !entry.takesWork() {
			continue
		}
		totals.Upstreams++
		totals.Slots += entry.limit(s.mode, now)
	}
	return totals
}
