// Package detour reaches the store over other instances while it turns this one
// away. It answers a store, or a network, that serves some instances and not
// others: without it the owner of a class must change, and callers of the
// instances turned away are refused.
package detour

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
)

// Config sets up a Detour.
type Config struct {
	// Store is this instance's own way to the store.
	Store cairnbay.BatchStore
	// Peers lists the addresses of the other live instances by name.
	Peers func() map[string]string
	// Client returns the client of the instance at an address.
	Client func(address string) cairnbayv1connect.RelayClient
	Clock  cairnbay.Clock
	// BootTime is the boot-time clock.
	BootTime func() time.Duration
	Log      *logrus.Entry
	// Metrics takes the counter of calls over other instances.
	Metrics *metrics.Set
}

// Detour implements cairnbay.BatchStore.
type Detour struct {
	config Config
	calls  *metrics.Counter
	cancel func()

	mu sync.Mutex
	// failures counts calls on the own way that failed in a row.
	failures int
	// away says that calls go over other instances, told that the log says so:
	// during an outage none of them reaches the store, which is no news.
	away, told bool
	// peer is the instance that calls go over, empty before the first.
	peer string
	// avoid is until when an instance is left out, on the boot-time clock.
	avoid map[string]time.Duration
	// hopeless is until when no other instance is asked, since none reached the
	// store.
	hopeless time.Duration
	trying   bool
}

var _ cairnbay.BatchStore = (*Detour)(nil)

const (
	// failuresToLeave is how many calls in a row must fail on the own way; one
	// may be a connection that ended.
	failuresToLeave = 2
	// mostPeers bounds the instances that one call is tried on.
	mostPeers = 2
	// peerTimeout bounds a call over one instance, but for watches. The store
	// answers in milliseconds and the instance is two of them away.
	peerTimeout = 300 * time.Millisecond
	// peerAvoid keeps calls off an instance that did not reach the store.
	peerAvoid = time.Second
	// hopelessPause is the pause between tries of other instances while none of
	// them reaches the store.
	hopelessPause = 400 * time.Millisecond
	// returnPeriod is how often the own way is tried while calls go over others,
	// and returnTimeout bounds the try.
	returnPeriod  = 500 * time.Millisecond
	returnTimeout = 300 * time.Millisecond
	// hedgeAfter is how long a call that may be made twice stays unanswered
	// before it is made over another instance as well. It is above the answer of
	// a store that is slow for everybody.
	hedgeAfter = 350 * time.Millisecond
)

// New returns a way to the store.
func New(config Config) *Detour {
	d := &Detour{
		config: config, avoid: make(map[string]time.Duration),
		calls: config.Metrics.GetOrCreateCounter("cairnbay_store_detour_calls_total"),
	}
	d.cancel = config.Clock.Every(returnPeriod, func(time.Duration) { go d.tryReturn() })
	return d
}

// Close stops trying the own way.
func (d *Detour) Close() {
	d.cancel()
}

// failed says whether an error shows that the own way does not lead to the
// store. ErrUnknown is an answer that did not come.
func failed(err error) bool {
	return errors.Is(err, cairnbay.ErrUnavailable) || errors.Is(err, cairnbay.ErrRateLimited) ||
		errors.Is(err, cairnbay.ErrUnknown) || errors.Is(err, context.DeadlineExceeded)
}

// noEffect says whether a call that failed may be made again whatever it was.
func noEffect(err error) bool {
	return errors.Is(err, cairnbay.ErrUnavailable) || errors.Is(err, cairnbay.ErrRateLimited)
}

// note takes the outcome of a call on the own way.
func (d *Detour) note(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !failed(err) {
		d.failures = 0
		return
	}
	d.failures++
	if d.failures < failuresToLeave || d.away || d.hopeless > d.config.BootTime() || len(d.config.Peers()) == 0 {
		return
	}
	d.away = true
}

// served takes note that an instance has reached the store for this one.
func (d *Detour) served(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.away && !d.told {
		d.told = true
		d.config.Log.WithFields(logrus.Fields{"peer": name, "failures": d.failures}).
			Warn("store turns this instance away and is called over another")
	}
}

// isAway says whether calls go over other instances.
func (d *Detour) isAway() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.away
}

// StoreReachable says whether the last call on the own way reached the store.
func (d *Detour) StoreReachable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failures == 0
}

// comeBack makes calls on the own way again.
func (d *Detour) comeBack(why string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.away && d.told {
		d.config.Log.WithField("reason", why).Info("store is called directly again")
	}
	d.away, d.told, d.failures = false, false, 0
}

// tryReturn looks whether the own way leads to the store again.
func (d *Detour) tryReturn() {
	d.mu.Lock()
	if !d.away || d.trying {
		d.mu.Unlock()
		return
	}
	d.trying = true
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	_, err := d.config.Store.Get(ctx, probeKey)
	cancel()
	d.mu.Lock()
	d.trying = false
	d.mu.Unlock()
	if err == nil || errors.Is(err, cairnbay.ErrNotFound) {
		d.comeBack("answers")
	}
}

// probeKey is read to see whether the store answers; it need not exist.
const probeKey = "cairnbay/probe"

// next chooses the instance for a call: the last one that served, or another at
// random.
func (d *Detour) next(tried map[string]bool) (name, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.BootTime()
	if now < d.hopeless {
		return "", ""
	}
	peers := d.config.Peers()
	if address, ok := peers[d.peer]; ok && !tried[d.peer] && d.avoid[d.peer] <= now {
		return d.peer, address
	}
	var names []string
	for name := range peers {
		if !tried[name] && d.avoid[name] <= now {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return "", ""
	}
	name = names[rand.IntN(len(names))]
	d.peer = name
	return name, peers[name]
}

// leaveOut keeps calls off an instance for a while.
func (d *Detour) leaveOut(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoid[name] = d.config.BootTime() + peerAvoid
	if d.peer == name {
		d.peer = ""
	}
}

// giveUp stops asking others for a moment.
func (d *Detour) giveUp() {
	d.mu.Lock()
	d.hopeless = d.config.BootTime() + hopelessPause
	d.mu.Unlock()
	d.comeBack("no other instance reaches it either")
}

// over makes a call over other instances. Errors: of the store;
// ErrUnavailable if no instance reaches it; ErrUnknown if one may have made the
// call.
func (d *Detour) over(ctx context.Context, call *cairnbayv1.StoreCall) (*cairnbayv1.StoreAnswer, error) {
	tried := make(map[string]bool)
	for len(tried) < mostPeers {
		name, address := d.next(tried)
		if name == "" {
			break
		}
		tried[name] = true
		answer, err := d.ask(ctx, address, call)
		if !failed(err) {
			d.served(name)
			return answer, err
		}
		if ctx.Err() != nil {
			return nil, err
		}
		d.leaveOut(name)
		if !noEffect(err) && call.GetCommit() != nil {
			return nil, err
		}
	}
	d.giveUp()
	return nil, cairnbay.ErrUnavailable
}

// ask makes one call over the instance at an address.
func (d *Detour) ask(ctx context.Context, address string, call *cairnbayv1.StoreCall) (*cairnbayv1.StoreAnswer, error) {
	d.calls.Inc()
	if call.GetWatch() == nil {
		bounded, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		ctx = bounded
	}
	answer, err := d.config.Client(address).Store(ctx, connect.NewRequest(call))
	if err != nil {
		return nil, errors.Join(cairnbay.ErrUnknown, err)
	}
	return answer.Msg, decodeError(answer.Msg)
}

// call makes a call on the own way, and over others where that does not lead to
// the store.
func (d *Detour) call(ctx context.Context, call *cairnbayv1.StoreCall) (*cairnbayv1.StoreAnswer, error) {
	if d.isAway() {
		answer, err := d.over(ctx, call)
		if d.isAway() || ctx.Err() != nil || !noEffect(err) {
			return answer, err
		}
	}
	if call.GetCommit() == nil {
		return d.hedged(ctx, call)
	}
	answer, err := perform(ctx, d.config.Store, call)
	d.note(err)
	if noEffect(err) && d.isAway() && ctx.Err() == nil {
		return d.over(ctx, call)
	}
	return answer, err
}

// outcome is what a call brought.
type outcome struct {
	answer *cairnbayv1.StoreAnswer
	err    error
}

// hedged makes a call that may be made twice: over another instance as well if
// the own way is silent.
func (d *Detour) hedged(ctx context.Context, call *cairnbayv1.StoreCall) (*cairnbayv1.StoreAnswer, error) {
	own := make(chan outcome, 1)
	go func() {
		answer, err := perform(ctx, d.config.Store, call)
		own <- outcome{answer, err}
	}()
	silent := time.NewTimer(hedgeAfter)
	defer silent.Stop()
	select {
	case got := <-own:
		d.note(got.err)
		if failed(got.err) && d.isAway() && ctx.Err() == nil {
			return d.over(ctx, call)
		}
		return got.answer, got.err
	case <-silent.C:
	}
	other := make(chan outcome, 1)
	go func() {
		answer, err := d.over(ctx, call)
		other <- outcome{answer, err}
	}()
	for {
		select {
		case got := <-own:
			d.note(got.err)
			if !failed(got.err) || other == nil {
				return got.answer, got.err
			}
			own = nil
		case got := <-other:
			if !failed(got.err) {
				if own != nil {
					d.note(cairnbay.ErrUnknown)
				}
				return got.answer, got.err
			}
			if own == nil {
				return got.answer, got.err
			}
			other = nil
		}
	}
}
