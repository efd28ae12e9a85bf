package budget

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"cairnbay"
)

// callClass selects the rate limit that applies to a call.
type callClass uint8

const (
	classRead callClass = iota
	classWrite
	// callClasses is the number of classes.
	callClasses
)

// Back-off, recovery and queue limits of the limiter.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// minRateFraction is the lowest fraction of the rate after a failure; the
	// fraction doubles every rateDoublingPeriod until it is 1.
	minRateFraction    = 1.0 / 16
	rateDoublingPeriod = time.Second
	// maxWaiting is the maximum number of waiting calls of one purpose; a further
	// call fails with ErrRateLimited.
	maxWaiting = 256
	// burstSeconds is the size of a burst in seconds of the current rate; a burst is
	// at least one call.
	burstSeconds = 0.25
)

// waiter is a queued call; admitted is closed when the call may be made.
type waiter struct {
	class    callClass
	admitted chan struct{}
}

// limiter admits calls by rate and by the precedence of their purposes. It holds
// a token bucket for each class.
type limiter struct {
	clock   cairnbay.Clock
	rates   [callClasses]float64
	sharers func() int

	mu         sync.Mutex
	random     *rand.Rand
	queues     [cairnbay.Purposes][]*waiter
	tokens     [callClasses]float64
	refilledAt time.Duration
	// rateFraction is the fraction of the rate in effect, from minRateFraction to 1;
	// fractionChangedAt is the time of its last change.
	rateFraction      float64
	fractionChangedAt time.Duration
	// backoff is the length of the current back-off before jitter.
	backoff time.Duration
	// backoffUntil is the end of the back-off; afterwards a single call probes the
	// store.
	backoffUntil time.Duration
	// failing is true from a failed call until a call that did not fail; failedAt is
	// its start. probing is true while a probe is in progress.
	failing     bool
	probing     bool
	failedAt    time.Duration
	lastError   string
	cancelTimer func()
}

func newLimiter(config Config) *limiter {
	limiter := &limiter{
		clock:        config.Clock,
		rates:        [callClasses]float64{config.Limits.ReadsPerSecond, config.Limits.WritesPerSecond},
		sharers:      config.Sharers,
		random:       rand.New(rand.NewPCG(config.Seed, 1)),
		refilledAt:   config.Clock.Now(),
		rateFraction: 1,
	}
	for class := range callClasses {
		limiter.tokens[class] = limiter.burst(class)
	}
	return limiter
}

// acquire waits until a call of the class may be made. After an error the call must
// not be made: ErrRateLimited if the queue is full or the context ended,
// ErrUnavailable if the context ended while the store was failing. It never returns
// the error of the context.
func (l *limiter) acquire(ctx context.Context, class callClass, purpose cairnbay.Purpose) error {
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

func (l *limiter) enqueue(class callClass, purpose cairnbay.Purpose) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queues[purpose]) >= maxWaiting {
		return nil, errors.Annotatef(cairnbay.ErrRateLimited, "%d calls of this purpose are already waiting", maxWaiting)
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
func (l *limiter) tryAdmit(class callClass) bool {
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
	for l.rateFraction < 1 && now-l.fractionChangedAt >= rateDoublingPeriod {
		l.rateFraction = min(1, l.rateFraction*2)
		l.fractionChangedAt += rateDoublingPeriod
	}
	elapsed := (now - l.refilledAt).Seconds()
	l.refilledAt = now
	for class := range callClasses {
		l.tokens[class] = min(l.burst(class), l.tokens[class]+elapsed*l.rate(class))
	}
}

func (l *limiter) rate(class callClass) float64 {
	return l.rates[class] * l.rateFraction / float64(max(1, l.sharers()))
}

func (l *limiter) burst(class callClass) float64 {
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

// nextAdmission returns the wait until the next queued call may be admitted. No timer
// is needed if no call is queued or a probe is in progress.
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
		l.reduceRate(l.rateFraction / 2)
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

// recordFailure starts the back-off, or doubles it after a failed probe. The late
// failure of a call that was admitted before the back-off restarts its wait.
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

// endBackoff ends the back-off after a call that did not fail. The rates restart at
// minRateFraction unless the failure lasted less than rateDoublingPeriod.
func (l *limiter) endBackoff() {
	if !l.failing {
		return
	}
	now := l.clock.Now()
	if now-l.failedAt >= rateDoublingPeriod {
		l.reduceRate(minRateFraction)
	}
	l.failing = false
	l.probing = false
	l.lastError = ""
	l.refilledAt = now
}

// reduceRate sets the fraction of the rates and drops accumulated bursts.
func (l *limiter) reduceRate(fraction float64) {
	l.rateFraction = max(minRateFraction, fraction)
	l.fractionChangedAt = l.clock.Now()
	for class := range callClasses {
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

// jittered returns a random duration from half of maxWait to maxWait.
func jittered(random *rand.Rand, maxWait time.Duration) time.Duration {
	half := maxWait / 2
	return half + time.Duration(random.Int64N(int64(half)+1))
}
