package slots

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"cairnbay"
)

// upstream is this member's state of one upstream, guarded by the lock of its
// service.
type upstream struct {
	instance cairnbay.Instance
	// rank is the position among the service's upstreams, ordered by ID; splitStart
	// depends on it.
	rank int
	gone bool
	// leavingAddress is the address at which the upstream itself announced that it
	// leaves, or empty.
	leavingAddress string
	// used is the number of slots in use by this member.
	used int
	// granted is the number of slots of the last grant, or with ModeEqual the fixed
	// share. A grant is valid until expires on the table's clock.
	granted int
	expires time.Duration
	// sequence is that of the last grant applied, or 0 when the current home has
	// sent none.
	sequence uint64
	// home is the member that receives this member's reports.
	home       string
	lastReport time.Duration
	// holdTime is the moving mean of the time that a slot is held.
	holdTime time.Duration
}

// service holds the upstreams of one service under one lock.
type service struct {
	name string
	// waiting is the number of requests that wait.
	waiting atomic.Int64
	// arrived is the number of requests since the last measurement.
	arrived atomic.Int64
	// listedCount is the number of upstreams on the platform's list.
	listedCount atomic.Int64

	mu        sync.Mutex
	mode      Mode
	upstreams []*upstream
	// scanStart is the index, modulo the number of upstreams, at which pickUpstream
	// starts.
	scanStart int
	// demand is the moving mean of the slots that requests need: the rate of
	// arrivals and of the queue over backlogTime, times the mean hold time. The hold
	// time does not grow with the queue.
	demand   float64
	holdTime time.Duration
	// samples counts the hold times in holdTime.
	samples      int
	lastMeasured time.Duration
}

// Weights of the newest sample in moving means, as fractions. For serviceHoldWeight
// it is a minimum: the first samples have equal weights.
const (
	upstreamHoldWeight = 0.05
	serviceHoldWeight  = 0.005
	demandWeight       = 0.1
)

func newService(name string) *service {
	return &service{name: name, mode: ModeGrants}
}

// syncUpstreams updates the upstreams from the platform's list. An unlisted one
// stays until its slots in use are released.
func (s *service) syncUpstreams(rows []cairnbay.Instance, mode Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	byID := make(map[string]*upstream, len(s.upstreams))
	for _, u := range s.upstreams {
		u.gone = true
		byID[u.instance.ID] = u
	}
	for rank, row := range rows {
		if row.Slots == 0 {
			row.Slots = defaultSlots
		}
		u := byID[row.ID]
		if u == nil {
			u = &upstream{}
			s.upstreams = append(s.upstreams, u)
		}
		if u.leavingAddress != row.Address {
			u.leavingAddress = ""
		}
		u.instance = row
		u.rank = rank
		u.gone = false
	}
	remaining := s.upstreams[:0]
	for _, u := range s.upstreams {
		if !u.gone || u.used > 0 {
			remaining = append(remaining, u)
		}
	}
	clear(s.upstreams[len(remaining):])
	s.upstreams = remaining
	s.listedCount.Store(int64(len(rows)))
}

func (s *service) isListed(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		if u.instance.ID == id {
			return !u.gone
		}
	}
	return false
}

func (s *service) markLeaving(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		if u.instance.ID == id {
			u.leavingAddress = u.instance.Address
		}
	}
}

// takesWork says whether the upstream accepts new requests.
func (u *upstream) takesWork() bool {
	return !u.gone && !u.instance.Leaving && u.leavingAddress == ""
}

// limit returns the number of slots that this member may use now.
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

func (s *service) acquire(now time.Duration, avoid func(string) bool) (Slot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := s.pickUpstream(now, avoid)
	if best == nil {
		return Slot{}, false
	}
	best.used++
	return Slot{Upstream: best.instance, AcquiredAt: now, service: s, upstream: best}, true
}

// pickUpstream returns the upstream with a free slot and the lowest cost, or nil.
// The scan starts one further each time, so that equal ones are used in turn.
func (s *service) pickUpstream(now time.Duration, avoid func(string) bool) *upstream {
	var best *upstream
	lowest := math.Inf(1)
	s.scanStart++
	for i := range s.upstreams {
		u := s.upstreams[(i+s.scanStart)%len(s.upstreams)]
		limit := u.limit(s.mode, now)
		if u.used >= limit || !u.takesWork() {
			continue
		}
		if avoid != nil && avoid(u.instance.ID) {
			continue
		}
		if cost := s.cost(u, limit); cost < lowest {
			best, lowest = u, cost
		}
	}
	return best
}

// cost returns a value that orders upstreams: the mean hold time in nanoseconds,
// raised in proportion to the slots in use. The added microsecond makes the slots
// count before the first sample. With ModeLeastLoaded it is the number of slots in
// use.
func (s *service) cost(u *upstream, limit int) float64 {
	if s.mode == ModeLeastLoaded {
		return float64(u.used)
	}
	return float64(u.holdTime+time.Microsecond) * (1 + float64(u.used)/float64(limit))
}

func (s *service) release(slot Slot, now time.Duration, sampleHoldTime bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slot.upstream.used--
	if !sampleHoldTime {
		return
	}
	heldFor := now - slot.AcquiredAt
	slot.upstream.holdTime = movingMean(slot.upstream.holdTime, heldFor, upstreamHoldWeight)
	s.samples++
	s.holdTime = movingMean(s.holdTime, heldFor, max(serviceHoldWeight, 1/float64(s.samples)))
}

func movingMean(mean, sample time.Duration, weight float64) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(weight*float64(sample-mean))
}

// holdTimeRecovery is the fraction of its distance from the service's mean by which
// an upstream's mean hold time returns per tick, so that a slow one is tried again.
const holdTimeRecovery = 0.02

// backlogTime is the time in which the requested slots should clear the queue.
const backlogTime = 5 * time.Second

// measure updates the demand and moves each hold time towards the service's mean.
func (s *service) measure(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		u.holdTime = movingMean(u.holdTime, s.holdTime, holdTimeRecovery)
	}
	elapsed := now - s.lastMeasured
	if elapsed <= 0 {
		return
	}
	s.lastMeasured = now
	rate := float64(s.arrived.Swap(0)) / elapsed.Seconds()
	backlog := float64(s.waiting.Load()) / backlogTime.Seconds()
	s.demand += demandWeight * ((rate+backlog)*s.holdTime.Seconds() - s.demand)
}

// wantedSlots returns the demand plus its square root as a margin for variation,
// the square-root staffing rule.
//
// Source: Halfin and Whitt, Heavy-traffic limits for queues with many
// exponential servers, 1981.
func (s *service) wantedSlots() float64 {
	return s.demand + math.Sqrt(s.demand)
}

func (s *service) totals(now time.Duration) Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	totals := Totals{MeanHoldTime: s.holdTime}
	for _, u := range s.upstreams {
		totals.Used += u.used
		if !u.takesWork() {
			continue
		}
		totals.Upstreams++
		totals.Slots += u.limit(s.mode, now)
	}
	return totals
}
