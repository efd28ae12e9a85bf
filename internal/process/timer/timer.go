// Package timer provides the process's timer service: a single goroutine that runs
// the callbacks of all periodic ticks and deadlines.
package timer

import (
	"container/heap"
	"sync"
	"time"

	"cairnbay"
)

var _ cairnbay.Clock = (*Service)(nil)

// subscription is a registered callback; period is 0 for a one-time deadline.
type subscription struct {
	due      time.Duration
	period   time.Duration
	callback func(now time.Duration)
	// index is the position in the heap, -1 after removal; a
	// one-time callback is removed before it runs.
	index     int
	cancelled bool
}

// Service implements cairnbay.Clock with the machine's monotonic clock. Callbacks
// run one after another on a single goroutine, so a slow callback delays the
// others.
type Service struct {
	started time.Time
	wake    chan struct{}
	closing chan struct{}
	stopped chan struct{}

	mu   sync.Mutex
	subs subscriptions
}

// New starts the service's goroutine; Close stops it.
func New() *Service {
	service := &Service{
		started: time.Now(),
		wake:    make(chan struct{}, 1),
		closing: make(chan struct{}),
		stopped: make(chan struct{}),
	}
	go func() {
		defer close(service.stopped)
		service.run()
	}()
	return service
}

// Close stops the service; no callback runs after it returns. It must be
// called once, and not from a callback, which would deadlock.
func (s *Service) Close() {
	close(s.closing)
	<-s.stopped
}

// Now returns the monotonic time since New.
func (s *Service) Now() time.Duration {
	return time.Since(s.started)
}

// Wall returns the wall-clock time.
func (s *Service) Wall() time.Time {
	return time.Now()
}

// Every calls tick once per period until cancelled; a tick already due may still
// run after cancel returns. Ticks missed during a delay are skipped. period must
// be positive.
func (s *Service) Every(period time.Duration, tick func(now time.Duration)) (cancel func()) {
	return s.add(&subscription{due: s.Now() + period, period: period, callback: tick})
}

// At calls due once, at or after deadline (a time as returned by Now). A callback
// that is already due may still run after cancel returns.
func (s *Service) At(deadline time.Duration, due func(now time.Duration)) (cancel func()) {
	return s.add(&subscription{due: deadline, callback: due})
}

func (s *Service) add(sub *subscription) (cancel func()) {
	s.mu.Lock()
	heap.Push(&s.subs, sub)
	first := sub.index == 0
	s.mu.Unlock()
	if first {
		s.wakeUp()
	}
	return func() { s.remove(sub) }
}

func (s *Service) remove(sub *subscription) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sub.cancelled {
		return
	}
	sub.cancelled = true
	if sub.index >= 0 {
		heap.Remove(&s.subs, sub.index)
	}
}

func (s *Service) wakeUp() {
	Signal(s.wake)
}

// Signal wakes the receiver of a channel with a buffer of one, without blocking.
// Callbacks use it to leave work that may wait to a goroutine of its own.
func Signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// idleWait is the sleep of the goroutine while no callback is registered;
// add wakes the goroutine earlier.
const idleWait = time.Hour

func (s *Service) run() {
	sleep := time.NewTimer(idleWait)
	defer sleep.Stop()
	for {
		sleep.Reset(s.fire())
		select {
		case <-s.closing:
			return
		case <-s.wake:
		case <-sleep.C:
		}
	}
}

// fire runs all callbacks that are due and returns the time until the
// next one, or idleWait if there is none.
func (s *Service) fire() time.Duration {
	for {
		now := s.Now()
		sub, wait := s.next(now)
		if sub == nil {
			return wait
		}
		sub.callback(now)
	}
}

// next returns the earliest subscription that is due, or nil and the time until
// one is due. It removes a one-time subscription from the heap and reschedules a
// periodic one to its first tick after now.
func (s *Service) next(now time.Duration) (*subscription, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.subs) == 0 {
		return nil, idleWait
	}
	sub := s.subs[0]
	if sub.due > now {
		return nil, sub.due - now
	}
	if sub.period == 0 {
		heap.Pop(&s.subs)
		return sub, 0
	}
	skipped := (now - sub.due) / sub.period
	sub.due += (skipped + 1) * sub.period
	heap.Fix(&s.subs, 0)
	return sub, 0
}

// subscriptions is a min-heap ordered by due time.
type subscriptions []*subscription

func (h subscriptions) Len() int           { return len(h) }
func (h subscriptions) Less(i, j int) bool { return h[i].due < h[j].due }

func (h subscriptions) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *subscriptions) Push(x any) {
	sub := x.(*subscription)
	sub.index = len(*h)
	*h = append(*h, sub)
}

// Pop implements heap.Interface.
func (h *subscriptions) Pop() any {
	old := *h
	last := old[len(old)-1]
	last.index = -1
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
