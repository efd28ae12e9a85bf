package store

import (
	"time"

	"cairnbay"
)

// faults is what is wrong with the store at the moment.
type faults struct {
	down        bool
	slow        time.Duration
	loseAnswers int
	loseWrites  int
	silent      bool
	// silentUpTo is the last watch that stays silent for ever.
	silentUpTo int
	cut        map[string]bool
}

// Counts is how many calls came, by operation, those refused included.
type Counts struct {
	Gets, Lists, Waits, Puts, Deletes, Grants, Renews int
	// RateLimited counts the calls refused because of the rate.
	RateLimited int
}

// Total sums all calls.
func (c Counts) Total() int {
	return c.Gets + c.Lists + c.Waits + c.Puts + c.Deletes + c.Grants + c.Renews
}

// Counts returns the calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetDown makes every call fail without effect, and breaks watches.
func (s *Store) SetDown(down bool) {
	s.setFault(func(faults *faults) { faults.down = down })
}

// SetSlow delays every answer; writes take effect before the delay.
func (s *Store) SetSlow(delay time.Duration) {
	s.setFault(func(faults *faults) { faults.slow = delay })
}

// LoseAnswers lets the next writes take effect and fail with
// cairnbay.ErrUnknown.
func (s *Store) LoseAnswers(writes int) {
	s.setFault(func(faults *faults) { faults.loseAnswers = writes })
}

// LoseWrites makes the next writes fail with cairnbay.ErrUnknown without
// effect.
func (s *Store) LoseWrites(writes int) {
	s.setFault(func(faults *faults) { faults.loseWrites = writes })
}

// SilenceWatches makes the watches that are open now return nothing for ever.
func (s *Store) SilenceWatches() {
	s.setFault(func(faults *faults) { faults.silentUpTo = s.watches })
}

// SetWatchesSilent makes all watches return nothing while it is set.
func (s *Store) SetWatchesSilent(silent bool) {
	s.setFault(func(faults *faults) { faults.silent = silent })
}

// SetCut cuts a named caller off from the store.
func (s *Store) SetCut(caller string, cut bool) {
	s.setFault(func(faults *faults) { faults.cut[caller] = cut })
}

// Compact forgets all events, so that watches from an old revision fail.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compact(len(s.events))
}

func (s *Store) setFault(set func(faults *faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set(&s.faults)
	s.wakeWatches()
}

// bucket is a token bucket of one second's calls.
type bucket struct {
	rate   float64
	tokens float64
	last   time.Duration
}

func newBucket(perSecond int) bucket {
	return bucket{rate: float64(perSecond), tokens: float64(perSecond)}
}

// take says whether a call is within the rate.
func (b *bucket) take(now time.Duration) bool {
	if b.rate == 0 {
		return true
	}
	b.tokens = min(b.rate, b.tokens+(now-b.last).Seconds()*b.rate)
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// admit counts a call and refuses it where the store cannot be reached or its
// rate is used up.
func (s *Store) admit(caller string, count *int, limit *bucket) error {
	*count++
	if s.faults.down || s.faults.cut[caller] {
		return cairnbay.ErrUnavailable
	}
	if !limit.take(s.config.Clock.Now()) {
		s.counts.RateLimited++
		return cairnbay.ErrRateLimited
	}
	s.endLapsed()
	return nil
}

// lost says whether the fault that counts down applies to this write.
func lost(writes *int) bool {
	if *writes == 0 {
		return false
	}
	*writes--
	return true
}
