// Package detour calls the store through other instances while this instance
// cannot reach it directly. It is meant for a partial failure of the store or the
// network, in which only some instances reach the store. Without it, an instance
// that does not reach the store loses its classes, and its callers are refused.
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

// Config configures a Detour.
type Config struct {
	// Store calls the store directly.
	Store cairnbay.BatchStore
	// Peers returns the addresses of the other live instances by name.
	Peers func() map[string]string
	// Client returns the client for the instance at an address.
	Client func(address string) cairnbayv1connect.RelayClient
	Clock  cairnbay.Clock
	// BootTime returns the time since the machine started, suspension included.
	BootTime func() time.Duration
	Log      *logrus.Entry
	// Metrics registers the counter of calls through other instances.
	Metrics *metrics.Set
}

// Detour implements cairnbay.BatchStore. It calls the store directly, or through
// peers, the other live instances, while direct calls fail.
type Detour struct {
	config Config
	// peerCalls counts the calls through peers.
	peerCalls *metrics.Counter
	cancel    func()

	mu sync.Mutex
	// directFailures counts the consecutive path failures of direct calls. A direct
	// success or a switch back to direct calls resets it.
	directFailures int
	// viaPeers is set while calls are made through peers. failoverLogged is set
	// once the switch to peers is logged. It is logged at the first answer through
	// a peer, so that an outage of the store for all instances is not logged as a
	// switch.
	viaPeers, failoverLogged bool
	// peer is the name of the preferred peer, empty if there is none.
	peer string
	// avoidUntil is the time, on the boot-time clock, until which a peer is not
	// called, by name.
	avoidUntil map[string]time.Duration
	// pausedUntil is the time, on the boot-time clock, until which no peer is
	// called, after calls through peers failed.
	pausedUntil time.Duration
	// probing is set while probeDirect waits for the store.
	probing bool
}

var _ cairnbay.BatchStore = (*Detour)(nil)

const (
	// failoverThreshold is the number of consecutive failures of direct calls
	// before calls are made through peers; a single failure may be a closed
	// connection and not an outage.
	failoverThreshold = 2
	// maxPeersPerCall bounds the peers that one call is tried on.
	maxPeersPerCall = 2
	// peerTimeout bounds a call through one peer, except for watches. The store
	// normally answers in milliseconds, and the path through a peer adds two.
	peerTimeout = 300 * time.Millisecond
	// peerBackoff is how long a peer that did not reach the store is not called.
	peerBackoff = time.Second
	// peersPause is how long no peer is called after a call failed on every peer
	// tried, or no peer could be tried.
	peersPause = 400 * time.Millisecond
	// probePeriod is the interval between direct probes of the store while calls
	// are made through peers, and probeTimeout bounds a probe.
	probePeriod  = 500 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
	// hedgeDelay is how long a repeatable direct call stays unanswered before it
	// is also made through a peer. It is above the response time of a store that
	// is slow for all instances.
	hedgeDelay = 350 * time.Millisecond
)

// New returns a Detour that starts with direct calls.
func New(config Config) *Detour {
	d := &Detour{
		config: config, avoidUntil: make(map[string]time.Duration),
		peerCalls: config.Metrics.GetOrCreateCounter("cairnbay_store_detour_calls_total"),
	}
	d.cancel = config.Clock.Every(probePeriod, func(time.Duration) { go d.probeDirect() })
	return d
}

// Close stops the direct probes.
func (d *Detour) Close() {
	d.cancel()
}

// pathFailed reports whether an error makes another path to the store worth trying:
// the store was unavailable, limited the rate or gave no answer.
func pathFailed(err error) bool {
	return errors.Is(err, cairnbay.ErrUnavailable) || errors.Is(err, cairnbay.ErrRateLimited) ||
		errors.Is(err, cairnbay.ErrUnknown) || errors.Is(err, context.DeadlineExceeded)
}

// noEffect reports whether a failed call had no effect, so that even a write
// may be repeated.
func noEffect(err error) bool {
	return errors.Is(err, cairnbay.ErrUnavailable) || errors.Is(err, cairnbay.ErrRateLimited)
}

// recordDirect records the result of a direct call, and switches to peers at
// failoverThreshold.
func (d *Detour) recordDirect(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !pathFailed(err) {
		d.directFailures = 0
		return
	}
	d.directFailures++
	if d.directFailures < failoverThreshold || d.viaPeers || d.pausedUntil > d.config.BootTime() || len(d.config.Peers()) == 0 {
		return
	}
	d.viaPeers = true
}

// logFailover logs the first success of a peer since the switch to peers.
func (d *Detour) logFailover(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.viaPeers && !d.failoverLogged {
		d.failoverLogged = true
		d.config.Log.WithFields(logrus.Fields{"peer": name, "failures": d.directFailures}).
			Warn("store turns this instance away and is called over another")
	}
}

// usesPeers reports whether calls are made through peers.
func (d *Detour) usesPeers() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.viaPeers
}

// StoreReachable reports whether no direct call has failed since the last direct
// success or switch back to direct calls.
func (d *Detour) StoreReachable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.directFailures == 0
}

// useDirect switches back to direct calls and logs the reason.
func (d *Detour) useDirect(reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.viaPeers && d.failoverLogged {
		d.config.Log.WithField("reason", reason).Info("store is called directly again")
	}
	d.viaPeers, d.failoverLogged, d.directFailures = false, false, 0
}

// probeDirect reads a key directly while calls are made through peers, and
// switches back to direct calls if the store answers.
func (d *Detour) probeDirect() {
	d.mu.Lock()
	if !d.viaPeers || d.probing {
		d.mu.Unlock()
		return
	}
	d.probing = true
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	_, err := d.config.Store.Get(ctx, probeKey)
	cancel()
	d.mu.Lock()
	d.probing = false
	d.mu.Unlock()
	if err == nil || errors.Is(err, cairnbay.ErrNotFound) {
		d.useDirect("answers")
	}
}

// probeKey is the key that probeDirect reads; it need not exist.
const probeKey = "cairnbay/probe"

// choosePeer returns the peer for a call: the preferred one, or a random one that
// becomes preferred. The name is empty if no peer may be called.
func (d *Detour) choosePeer(tried map[string]bool) (name, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.BootTime()
	if now < d.pausedUntil {
		return "", ""
	}
	peers := d.config.Peers()
	if address, ok := peers[d.peer]; ok && !tried[d.peer] && d.avoidUntil[d.peer] <= now {
		return d.peer, address
	}
	var names []string
	for name := range peers {
		if !tried[name] && d.avoidUntil[name] <= now {
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

// avoidPeer excludes a peer from calls for peerBackoff.
func (d *Detour) avoidPeer(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoidUntil[name] = d.config.BootTime() + peerBackoff
	if d.peer == name {
		d.peer = ""
	}
}

// pausePeers stops calls through peers for peersPause and switches back to direct
// calls.
func (d *Detour) pausePeers() {
	d.mu.Lock()
	d.pausedUntil = d.config.BootTime() + peersPause
	d.mu.Unlock()
	d.useDirect("no call through another instance succeeded")
}

// callPeers makes a call through one peer after another. Errors: of the store;
// cairnbay.ErrUnavailable if no peer tried reached it; cairnbay.ErrUnknown if a
// peer may have made a commit.
func (d *Detour) callPeers(ctx context.Context, call *cairnbayv1.StoreCall) (*cairnbayv1.StoreAnswer, error) {
	tried := make(map[string]bool)
	for len(tried) < maxPeersPerCall {
		name, address := d.choosePeer(tried)
		if name == "" {
			break
		}
		tried[name] = true
		answer, err := d.callPeer(ctx, address, call)
		if !pathFailed(err) {
			d.logFailover(name)
			return answer, err
		}
		if ctx.Err() != nil {
			return nil, err
		}
		d.avoidPeer(name)
		if !noEffect(err) && call.GetCommit() != nil {
			return nil, err
		}
	}
	d.pausePeers()
	return nil, cairnbay.ErrUnavailable
}

// callPeer makes a call through the peer at an address. Errors: of the store;
// cairnbay.ErrUnknown if the peer did not answer.
func (d *Detour) callPeer(ctx context.Context, address string, call *cairnbayv1.StoreCall) (*cairnbayv1.StoreAnswer, error) {
	d.peerCalls.Inc()
	if call.GetWatch() == nil {
		timeoutCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		ctx = timeoutCtx
	}
	answer, err := d.config.Client(address).Store(ctx, connect.NewRequest(call))
	if err != nil {
		return nil, errors.Join(cairnbay.ErrUnknown, err)
	}
	return answer.Msg, decodeError(answer.Msg)
}

// call makes a call directly, or through peers while direct calls fail. A commit is
// tried on the other path only if it had no effect; all other calls may be repeated.
func (d *Detour) call(ctx context.Context, call *cairnbayv1.StoreCall) (*cairnbayv1.StoreAnswer, error) {
	if d.usesPeers() {
		answer, err := d.callPeers(ctx, call)
		if d.usesPeers() || ctx.Err() != nil || !noEffect(err) {
			return answer, err
		}
	}
	if call.GetCommit() == nil {
		return d.callHedged(ctx, call)
	}
	answer, err := perform(ctx, d.config.Store, call)
	d.recordDirect(err)
	if noEffect(err) && d.usesPeers() && ctx.Err() == nil {
		return d.callPeers(ctx, call)
	}
	return answer, err
}

// callResult is the result of a call.
type callResult struct {
	answer *cairnbayv1.StoreAnswer
	err    error
}

// callHedged makes a repeatable call directly, and also through peers if the direct
// call is unanswered after hedgeDelay. It returns the first result that is not a
// path failure, or else the last failure.
func (d *Detour) callHedged(ctx context.Context, call *cairnbayv1.StoreCall) (*cairnbayv1.StoreAnswer, error) {
	direct := make(chan callResult, 1)
	go func() {
		answer, err := perform(ctx, d.config.Store, call)
		direct <- callResult{answer, err}
	}()
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	select {
	case result := <-direct:
		d.recordDirect(result.err)
		if pathFailed(result.err) && d.usesPeers() && ctx.Err() == nil {
			return d.callPeers(ctx, call)
		}
		return result.answer, result.err
	case <-hedge.C:
	}
	viaPeers := make(chan callResult, 1)
	go func() {
		answer, err := d.callPeers(ctx, call)
		viaPeers <- callResult{answer, err}
	}()
	for {
		select {
		case result := <-direct:
			d.recordDirect(result.err)
			if !pathFailed(result.err) || viaPeers == nil {
				return result.answer, result.err
			}
			direct = nil
		case result := <-viaPeers:
			if !pathFailed(result.err) {
				if direct != nil {
					// The direct call is still unanswered and counts as failed.
					d.recordDirect(cairnbay.ErrUnknown)
				}
				return result.answer, result.err
			}
			if direct == nil {
				return result.answer, result.err
			}
			viaPeers = nil
		}
	}
}
