// Package clock is a hand-driven cairnbay.Clock for tests and seeded
// experiments.
package clock

import (
	"sort"
	"sync"
	"time"

	"cairnbay"
)

var _ cairnbay.Clock = (*Clock)(nil)

type subscription struct {
	due    time.Duration
	period time.Duration
	order  int
	call   func(now time.Duration)
}

// Clock stands still until Advance or Jump is called.
type Clock struct {
	mu    sync.Mutex
	now   time.Duration
	order int
	subs  []*subscription
}

// epoch is the wall clock at monotonic zero.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// New returns a clock at zero.
func New() *Clock {
	return &Clock{}
}

// Now is the time advanced so far.
func (c *Clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Wall is a fixed date plus Now.
func (c *Clock) Wall() time.Time {
	return epoch.Add(c.Now())
}

// Every calls tick once a period of advanced time.
func (c *Clock) Every(period time.Duration, tick func(now time.Duration)) (cancel func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.add(&subscription{due: c.now + period, period: period, call: tick})
}

// At calls due once when deadline is reached.
func (c *Clock) At(deadline time.Duration, due func(now time.Duration)) (cancel func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.add(&subscription{due: deadline, call: due})
}

func (c *Clock) add(sub *subscription) (cancel func()) {
	c.order++
	sub.order = c.order
	c.subs = append(c.subs, sub)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.remove(sub)
	}
}

func (c *Clock) remove(sub *subscription) {
	for i, known := range c.subs {
		if known == sub {
			c.subs = append(c.subs[:i], c.subs[i+1:]...)
			return
		}
	}
}

// Advance moves time forward and makes every callback on the way, in order, on
// the caller's goroutine.
func (c *Clock) Advance(by time.Duration) {
	end := c.Now() + by
	for {
		sub := c.next(end)
		if sub == nil {
			break
		}
		sub.call(c.Now())
	}
	c.mu.Lock()
	c.now = end
	c.mu.Unlock()
}

// Jump moves time forward at once, as a paused process sees it: ticks missed
// are skipped, deadlines missed are called once.
func (c *Clock) Jump(by time.Duration) {
	c.mu.Lock()
	c.now += by
	for _, sub := range c.subs {
		sub.due = max(sub.due, c.now)
	}
	c.mu.Unlock()
	c.Advance(0)
}

// next steps to the first subscription due by end, or returns nil.
func (c *Clock) next(end time.Duration) *subscription {
	c.mu.Lock()
	defer c.mu.Unlock()
	sort.Slice(c.subs, func(i, j int) bool {
		if c.subs[i].due != c.subs[j].due {
			return c.subs[i].due < c.subs[j].due
		}
		return c.subs[i].order < c.subs[j].order
	})
	if len(c.subs) == 0 || c.subs[0].due > end {
		return nil
	}
	sub := c.subs[0]
	c.now = max(c.now, sub.due)
	if sub.period == 0 {
		c.remove(sub)
		return sub
	}
	sub.due += sub.period
	return sub
}
