// Package pull propagates the operators' configuration between instances, so that an
// instance that cannot reach the store, or reads a stale value, adopts a newer version
// within the time in which one must be in force. It also tells how long ago the version
// in force was known to be the newest.
package pull

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
)

// Config configures a Puller.
type Config struct {
	// Current returns the version in force, 0 for none, and its value as sent to other
	// instances, without API keys in clear.
	Current func() (version uint64, value []byte)
	// Adopt adopts the value of another instance if it is newer than the version in
	// force.
	Adopt func(value []byte)
	// Peers returns the addresses of the other live instances by name.
	Peers func() map[string]string
	// Client returns the client for the instance at an address.
	Client func(address string) cairnbayv1connect.RelayClient
	// BootTime returns the time since the machine started, suspension included.
	BootTime func() time.Duration
	Log      *logrus.Entry
	Metrics  *metrics.Set
}

const (
	// MaxAge is the age above which the version in force may be out of date: the time
	// within which a configuration must be in force.
	MaxAge = 3 * time.Second
	// period is the interval of the rounds. Six of them fit into MaxAge, so that an
	// instance adopts a version in time even if two thirds of the others do not have it.
	period = 500 * time.Millisecond
	// startPeriod is the interval until the first answer of an instance that is up to
	// date, so that a start takes little longer.
	startPeriod = 100 * time.Millisecond
	// startTimeout is how long a start waits for such an answer. Without one, no other
	// instance may be running.
	startTimeout = 2 * time.Second
	// urgentAge is the age from which a round asks urgentPeers instances. The store
	// confirms the version every 0.9 s, so that this is not reached in calm times.
	urgentAge   = 1800 * time.Millisecond
	urgentPeers = 3
	// callTimeout bounds a call. An instance normally answers in milliseconds; a new
	// configuration of 100 KB takes 80 ms at 10 Mbit/s.
	callTimeout = 400 * time.Millisecond
	// awaitTimeout bounds the wait of a caller's request for a round.
	awaitTimeout = 400 * time.Millisecond
)

// Puller asks other instances for newer configurations until it is closed.
type Puller struct {
	config  Config
	cancel  context.CancelFunc
	done    sync.WaitGroup
	pulls   map[result]*metrics.Counter
	started time.Duration
	// wanted asks for a round at once.
	wanted chan struct{}

	mu sync.Mutex
	// confirmed is the boot time at which the version in force was the newest, as far
	// as an answer of the store says; hasConfirmed is false before the first answer.
	confirmed    time.Duration
	hasConfirmed bool
	// checked says that another instance that is up to date has answered.
	checked bool
	// staleAnswerAt is the boot time of the last call that an instance has answered which
	// is out of date as well; hasStaleAnswer is false before the first.
	staleAnswerAt  time.Duration
	hasStaleAnswer bool
	// lastRoundAt is the boot time at which the last finished round began; unanswered
	// says that no instance answered in it.
	// roundDone is closed at the end of the present or next round.
	lastRoundAt time.Duration
	unanswered  bool
	roundDone   chan struct{}
	// reportedAge says that the age was logged since it rose above MaxAge.
	reportedAge bool
}

// New returns a Puller that begins its rounds with Start.
func New(config Config) *Puller {
	p := &Puller{
		config: config, started: config.BootTime(), wanted: make(chan struct{}, 1), roundDone: make(chan struct{}),
		pulls: make(map[result]*metrics.Counter), cancel: func() {},
	}
	for _, outcome := range []result{resultNewer, resultCurrent, resultFailed} {
		p.pulls[outcome] = config.Metrics.GetOrCreateCounter(outcome.metric())
	}
	config.Metrics.NewGauge("cairnbay_configuration_age_seconds", func() float64 { return p.Age().Seconds() })
	config.Metrics.NewGauge("cairnbay_configuration_version", func() float64 {
		version, _ := config.Current()
		return float64(version)
	})
	return p
}

// Start begins the rounds.
func (p *Puller) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.done.Go(func() {
		for ctx.Err() == nil {
			startedAt := time.Now()
			p.Round(ctx)
			p.reportAge()
			wait := period
			if !p.Checked() {
				wait = startPeriod
			}
			// An instance that does not answer must not delay the next round.
			wait -= time.Since(startedAt)
			select {
			case <-ctx.Done():
			case <-p.wanted:
			case <-time.After(wait):
			}
		}
	})
}

// Close ends the rounds.
func (p *Puller) Close() {
	p.cancel()
	p.done.Wait()
}

// Round asks one instance chosen at random, or urgentPeers of them if the version in
// force may soon be out of date or the last round had no answer, and adopts what is newer.
func (p *Puller) Round(ctx context.Context) {
	startedAt := p.config.BootTime()
	peers := p.config.Peers()
	addresses := make([]string, 0, len(peers))
	for _, address := range peers {
		addresses = append(addresses, address)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	count := 1
	p.mu.Lock()
	unanswered := p.unanswered
	p.mu.Unlock()
	if unanswered || p.Age() > urgentAge || !p.Checked() {
		count = urgentPeers
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var calls sync.WaitGroup
	var answers atomic.Int32
	for _, address := range addresses[:min(count, len(addresses))] {
		calls.Go(func() {
			if p.pull(ctx, address) {
				answers.Add(1)
			}
		})
	}
	calls.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastRoundAt, p.unanswered = startedAt, answers.Load() == 0
	close(p.roundDone)
	p.roundDone = make(chan struct{})
}

// AwaitFresh returns at once if the version in force is known to be up to date.
// Otherwise it waits up to awaitTimeout for a round that begins now, unless one of the
// last period was in vain: an instance that was suspended, or has just started, adopts
// a newer version before it serves a caller.
func (p *Puller) AwaitFresh(ctx context.Context) {
	if p.Fresh() {
		return
	}
	since := p.config.BootTime() - period
	timeout := time.NewTimer(awaitTimeout)
	defer timeout.Stop()
	for !p.Fresh() {
		p.mu.Lock()
		roundDone, roundAt := p.roundDone, p.lastRoundAt
		p.mu.Unlock()
		if roundAt > since {
			return
		}
		select {
		case p.wanted <- struct{}{}:
		default:
		}
		select {
		case <-roundDone:
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
