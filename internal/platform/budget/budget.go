// Package budget limits the rate of calls to the platform's store; every call to the
// store passes through it, except the long polls of open watches. It divides the
// rates between purposes by precedence, backs off while the store fails, then ramps
// the rates up again, bounds each call by a deadline and counts calls by purpose.
package budget

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"cairnbay"
)

var _ cairnbay.PurposedStore = (*Budget)(nil)

// Defaults of a Config, and of its Limits for the whole store.
const (
	defaultWritesPerSecond = 300
	defaultReadsPerSecond  = 1000
	defaultTimeout         = 3 * time.Second
)

// Limits are the maximum rates of all sharers together, in calls per second.
type Limits struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Config configures a Budget.
type Config struct {
	Store cairnbay.Store
	Clock cairnbay.Clock
	// Limits apply to the whole store; zero values default to 300 writes and
	// 1,000 reads per second.
	Limits Limits
	// Sharers returns the number of instances that share the limits; nil means
	// one.
	Sharers func() int
	// Timeout bounds each call, including its wait for the budget; 0 defaults
	// to 3 s. An earlier end of the caller's context takes effect first.
	Timeout time.Duration
	// Seed seeds the random jitter of the back-off.
	Seed uint64
	// Metrics registers the counters; nil registers them in a private set.
	Metrics *metrics.Set
}

// Budget implements cairnbay.PurposedStore.
type Budget struct {
	config  Config
	limiter *limiter
	counts  [cairnbay.Purposes]counters
}

// counters counts the calls of one purpose by their result.
type counters struct {
	ok, refused, failed, unknown, heldBack *metrics.Counter
	wait                                   *metrics.Histogram
}

// New returns a Budget for the store; it makes no call.
func New(config Config) *Budget {
	config = withDefaults(config)
	budget := &Budget{config: config, limiter: newLimiter(config)}
	for purpose := range cairnbay.Purposes {
		budget.counts[purpose] = newCounters(config.Metrics, purpose)
	}
	return budget
}

func withDefaults(config Config) Config {
	if config.Limits.WritesPerSecond == 0 {
		config.Limits.WritesPerSecond = defaultWritesPerSecond
	}
	if config.Limits.ReadsPerSecond == 0 {
		config.Limits.ReadsPerSecond = defaultReadsPerSecond
	}
	if config.Sharers == nil {
		config.Sharers = func() int { return 1 }
	}
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	return config
}

func newCounters(set *metrics.Set, purpose cairnbay.Purpose) counters {
	calls := func(result string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf(
			`cairnbay_store_calls_total{purpose=%q,result=%q}`, purpose, result))
	}
	return counters{
		ok: calls("ok"), refused: calls("refused"), failed: calls("failed"),
		unknown: calls("unknown"), heldBack: calls("held_back"),
		wait: set.GetOrCreateHistogram(fmt.Sprintf(`cairnbay_store_budget_wait_seconds{purpose=%q}`, purpose)),
	}
}

// For implements cairnbay.PurposedStore.
func (b *Budget) For(purpose cairnbay.Purpose) cairnbay.Store {
	return &purposeStore{budget: b, purpose: purpose}
}

// Health is the state of the store according to the results of this instance's calls,
// with the counts of these calls.
type Health struct {
	// Reachable is true while the store answers.
	Reachable bool `json:"reachable"`
	// FailingFor is the time since the first of the current consecutive failures, in
	// nanoseconds in JSON; 0 while reachable.
	FailingFor time.Duration `json:"failing_for,omitempty"`
	// LastError is the text of the last failure; empty while reachable.
	LastError string `json:"last_error,omitempty"`
	// Waiting is the number of calls that wait for the budget.
	Waiting int `json:"waiting"`
	// Calls counts the calls since the start, by purpose.
	Calls map[string]Calls `json:"calls"`
}

// Calls counts the calls of one purpose by their result.
type Calls struct {
	OK uint64 `json:"ok"`
	// Refused calls were answered with an error, such as ErrConflict or
	// ErrRateLimited.
	Refused uint64 `json:"refused"`
	// Failed calls got no answer and had no effect.
	Failed uint64 `json:"failed"`
	// Unknown calls ended with ErrUnknown: a write that may have taken effect.
	Unknown uint64 `json:"unknown"`
	// HeldBack counts the calls that were never sent, because the rate limit or
	// the back-off did not admit them in time.
	HeldBack uint64 `json:"held_back"`
}

// Health returns the current state of the store and the call counts.
func (b *Budget) Health() Health {
	health := b.limiter.health()
	health.Calls = make(map[string]Calls, cairnbay.Purposes)
	for purpose := range cairnbay.Purposes {
		counters := &b.counts[purpose]
		health.Calls[purpose.String()] = Calls{
			OK: counters.ok.Get(), Refused: counters.refused.Get(), Failed: counters.failed.Get(),
			Unknown: counters.unknown.Get(), HeldBack: counters.heldBack.Get(),
		}
	}
	return health
}

// do waits until the limiter admits the call, then runs operation once and returns
// its error. A call that is not admitted fails with ErrRateLimited or ErrUnavailable
// and has no effect.
func (b *Budget) do(
	ctx context.Context, class callClass, purpose cairnbay.Purpose, operation func(ctx context.Context) error,
) error {
	bounded, cancel := b.bounded(ctx)
	defer cancel()
	counters := &b.counts[purpose]
	queuedAt := b.config.Clock.Now()
	if err := b.limiter.acquire(bounded, class, purpose); err != nil {
		counters.heldBack.Inc()
		return errors.Annotatef(err, "store call for %s held back", purpose)
	}
	counters.wait.Update((b.config.Clock.Now() - queuedAt).Seconds())
	err := operation(bounded)
	counters.add(err)
	if isFailure(err) && errors.Is(ctx.Err(), context.Canceled) {
		b.limiter.abandon()
		return err
	}
	b.limiter.recordResult(err)
	return err
}

// bounded returns a context that is cancelled after the configured timeout.
func (b *Budget) bounded(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	stop := b.config.Clock.At(b.config.Clock.Now()+b.config.Timeout, func(time.Duration) { cancel() })
	return ctx, func() {
		stop()
		cancel()
	}
}

// add counts a call by its error; see Calls.
func (c *counters) add(err error) {
	switch {
	case err == nil:
		c.ok.Inc()
	case errors.Is(err, cairnbay.ErrUnknown):
		c.unknown.Inc()
	case isFailure(err):
		c.failed.Inc()
	default:
		c.refused.Inc()
	}
}

// isFailure reports whether the store failed to answer, as opposed to answering
// with a refusal.
func isFailure(err error) bool {
	return errors.Is(err, cairnbay.ErrUnavailable) || errors.Is(err, cairnbay.ErrUnknown) ||
		errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
