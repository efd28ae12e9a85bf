package budget

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"cairnbay"
)

// class selects the rate limit that applies to a call.
type class uint8

const (
	classRead class = iota
	classWrite
	classes
)

// Back-off and recovery of the limiter.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// rampStart is the lowest fraction of the rate after a failure; the
	// fraction doubles every rampStep until it is 1.
	rampStart = 1.0 / 16
	rampStep  = time.Second
	// maxWaiting is the maximum number of waiting calls of one purpose.
	maxWaiting = 256
	// burstSeconds is the size of a burst, in seconds of the rate.
	burstSeconds = 0.25
)

// waiter is a queued call; admitted is closed when the call may be made.
type waiter struct {
	class    class
	admitted chan struct{}
}

// limiter admits calls by rate and by the precedence of their purposes. It holds
// a token bucket for each class.
type limiter struct {
	clock   cairnbay.Clock
	rates   [classes]float64
	sharers func() int

	mu         sync.Mutex
	random     *rand.Rand
	queues     [cairnbay.Purposes][]*waiter
	tokens     [classes]float64
	refilledAt time.Duration
	// ramp is the fraction of the rate in effect, from rampStart to 1.
	ramp     float64
	rampedAt time.Duration
	backoff  time.Duration
	// backoffUntil is the end of the back-off; afterwards a single call probes
	// the store.
	backoffUntil time.Duration
	failing      bool
	probing      bool
	failedAt     time.Duration
	lastError    string
	cancelTimer  func()
}

func newLimiter(config Config) *limiter {
	limiter := &limiter{
		clock:      config.Clock,
		rates:      [classes]float64{config.Limits.ReadsPerSecond, config.Limits.WritesPerSecond},
		sharers:    config.Sharers,
		random:     rand.New(rand.NewPCG(config.Seed, 1)),
		refilledAt: config.Clock.Now(),
		ramp:       1,
	}
	for class := range classes {
		limiter.tokens[class] = limiter.burst(class)
	}
	return limiter
}

// acquire waits until a call of the class may be made. After an error the call
// must not be made: ErrRateLimited if the queue is full or the context ended,
// ErrUnavailable if the context ended while the store was failing.
func (l *limiter) acquire(ctx context.Context, class class, purpose cairnbay.Purpose) error {
	queued, err := l.enqueue(class, purpose)
	if err != nil {
		return err
	}
	select {
	case <-queued.admitted:
		return nil
	case <-ctx.Done():
		return l.cancelWait(queued, purpose)
	}
}

func (l *limiter) enqueue(class class, purpose cairnbay.Purpose) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queues[purpose]) >= maxWaiting {
		return nil, errors.Annotatef(cairnbay.ErrRateLimited, "%d calls are already waiting", maxWaiting)
	}
	queued := &waiter{class: class, admitted: make(chan struct{})}
	l.queues[purpose] = append(l.queues[purpose], queued)
	l.admitWaiting()
	return queued, nil
}

// cancelWait removes a waiter whose context ended from its queue. It returns nil
// if the call was admitted in the meantime.
func (l *limiter) cancelWait(cancelled *waiter, purpose cairnbay.Purpose) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-cancelled.admitted:
		return nil
	default:
	}
	queue := l.queues[purpose]
	for i, queued := range queue {
		if queued == cancelled {
			l.queues[purpose] = append(queue[:i:i], queue[i+1:]...)
			break
		}
	}
	if l.failing {
		return errors.Annotatef(cairnbay.ErrUnavailable, "store is failing: %s", l.lastError)
	}
	return cairnbay.ErrRateLimited
}

// admitWaiting admits queued calls in the precedence of their purposes, the
// journal first, and sets a timer for the remaining ones. The caller holds mu.
func (l *limiter) admitWaiting() {
	l.refill()
	for purpose := range l.queues {
		for len(l.queues[purpose]) > 0 && l.tryAdmit(l.queues[purpose][0].class) {
			close(l.queues[purpose][0].admitted)
			l.queues[purpose] = l.queues[purpose][1:]
		}
	}
	l.setTimer()
}

// tryAdmit reports whether a call may be made now, and takes its token. While the
// store fails, it admits a single probe after the back-off.
func (l *limiter) tryAdmit(class class) bool {
	if l.failing {
		if l.probing || l.clock.Now() < l.backoffUntil {
			return false
		}
		l.probing = true
		return true
	}
	if l.tokens[class] < 1 {
		return false
	}
	l.tokens[class]--
	return true
}

func (l *limiter) refill() {
	now := l.clock.Now()
	for l.ramp < 1 && now-l.rampedAt >= rampStep {
		l.ramp = min(1, l.ramp*2)
		l.rampedAt += rampStep
	}
	elapsed := (now - l.refilledAt).Seconds()
	l.refilledAt = now
	for class := range classes {
		l.tokens[class] = min(l.burst(class), l.tokens[class]+elapsed*l.rate(class))
	}
}

func (l *limiter) rate(class class) float64 {
	return l.rates[class] * l.ramp / float64(max(1, l.sharers()))
}

func (l *limiter) burst(class class) float64 {
	return max(1, l.rate(class)*burstSeconds)
}

// setTimer replaces the timer by one that fires when the next queued call may be
// admitted.
func (l *limiter) setTimer() {
	if l.cancelTimer != nil {
		l.cancelTimer()
		l.cancelTimer = nil
	}
	wait, needed := l.nextAdmission()
	if !needed {
		return
	}
	l.cancelTimer = l.clock.At(l.clock.Now()+wait, func(time.Duration) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.admitWaiting()
	})
}

// nextAdmission returns the wait until the next queued call may be admitted, and
// whether a timer is needed.
func (l *limiter) nextAdmission() (wait time.Duration, needed bool) {
	if l.failing {
		return max(time.Millisecond, l.backoffUntil-l.clock.Now()), !l.probing && l.waiting() > 0
	}
	for _, queue := range l.queues {
		if len(queue) == 0 {
			continue
		}
		shortfall := 1 - l.tokens[queue[0].class]
		next := time.Duration(shortfall / l.rate(queue[0].class) * float64(time.Second))
		if !needed || next < wait {
			wait, needed = next, true
		}
	}
	return max(time.Millisecond, wait), needed
}

func (l *limiter) waiting() int {
	waiting := 0
	for _, queue := range l.queues {
		waiting += len(queue)
	}
	return waiting
}

// recordResult updates the back-off and the rates by the result of an admitted
// call.
func (l *limiter) recordResult(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case errors.Is(err, cairnbay.ErrRateLimited):
		l.endBackoff()
		l.reduceRate(l.ramp / 2)
	case isFailure(err):
		l.recordFailure(err)
	default:
		l.endBackoff()
	}
	l.admitWaiting()
}

// abandon records that the caller cancelled an admitted call, which is no evidence
// about the store.
func (l *limiter) abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probing = false
	l.admitWaiting()
}

// recordFailure starts the back-off, or doubles it after a failed probe.
func (l *limiter) recordFailure(err error) {
	now := l.clock.Now()
	if !l.failing {
		l.failing = true
		l.failedAt = now
		l.backoff = firstBackoff
	} else if l.probing {
		l.backoff = min(maxBackoff, l.backoff*2)
	}
	l.probing = false
	l.lastError = err.Error()
	l.backoffUntil = now + jittered(l.random, l.backoff)
}

// endBackoff ends the back-off after an answer. The rates restart at rampStart
// unless the failure lasted less than rampStep.
func (l *limiter) endBackoff() {
	if !l.failing {
		return
	}
	now := l.clock.Now()
	if now-l.failedAt >= rampStep {
		l.reduceRate(rampStart)
	}
	l.failing = false
	l.probing = false
	l.lastError = ""
	l.refilledAt = now
}

// reduceRate sets the fraction of the rates and drops accumulated bursts.
func (l *limiter) reduceRate(ramp float64) {
	l.ramp = max(rampStart, ramp)
	l.rampedAt = l.clock.Now()
	for class := range classes {
		l.tokens[class] = min(l.tokens[class], 1)
	}
}

func (l *limiter) health() Health {
	l.mu.Lock()
	defer l.mu.Unlock()
	health := Health{Reachable: !l.failing, LastError: l.lastError, Waiting: l.waiting()}
	if l.failing {
		health.FailingFor = l.clock.Now() - l.failedAt
	}
	return health
}

// jittered returns a random duration from half the span to the full span.
func jittered(random *rand.Rand, span time.Duration) time.Duration {
	half := span / 2
	return half + time.Duration(random.Int64N(int64(half)+1))
}
