// Package pool sends requests to upstream instances over pooled connections.
package pool

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"cairnbay"
)

var _ cairnbay.Upstream = (*Pool)(nil)

// Config configures a Pool. Zero values are replaced by those of DefaultConfig, except
// for Clock, which is required.
type Config struct {
	Clock cairnbay.Clock
	// DialTimeout bounds the time to establish a connection.
	DialTimeout time.Duration
	// NonIdempotentIdleTimeout is how long a connection for requests that are not
	// idempotent may be idle before it is closed.
	NonIdempotentIdleTimeout time.Duration
	// IdleTimeout is how long a connection for idempotent requests may be idle before
	// it is closed.
	IdleTimeout time.Duration
	// MaxIdlePerUpstream bounds the idle connections to one upstream, separately for
	// idempotent and for other requests.
	MaxIdlePerUpstream int
	// UserTimeout is how long sent bytes may stay unacknowledged before the
	// connection is closed (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
	// KeepAlive is the idle time before the first TCP keepalive probe and the
	// interval between probes. Three unanswered probes close the connection.
	KeepAlive time.Duration
}

// DefaultConfig returns the values that replace zero values in a Config. It has no
// Clock.
func DefaultConfig() Config {
	return Config{
		DialTimeout:              time.Second,
		NonIdempotentIdleTimeout: time.Second,
		IdleTimeout:              30 * time.Second,
		MaxIdlePerUpstream:       3,
		UserTimeout:              5 * time.Second,
		KeepAlive:                2 * time.Second,
	}
}

func (c Config) withDefaults() Config {
	defaults := DefaultConfig()
	c.DialTimeout = orDefault(c.DialTimeout, defaults.DialTimeout)
	c.NonIdempotentIdleTimeout = orDefault(c.NonIdempotentIdleTimeout, defaults.NonIdempotentIdleTimeout)
	c.IdleTimeout = orDefault(c.IdleTimeout, defaults.IdleTimeout)
	c.MaxIdlePerUpstream = orDefault(c.MaxIdlePerUpstream, defaults.MaxIdlePerUpstream)
	c.UserTimeout = orDefault(c.UserTimeout, defaults.UserTimeout)
	c.KeepAlive = orDefault(c.KeepAlive, defaults.KeepAlive)
	return c
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

const (
	// shardCount is the number of locks over which the endpoints are spread.
	shardCount = 16
	// endpointTTL is how long an endpoint stays in the pool without an exchange. It
	// is longer than the default IdleTimeout, so that no connection is idle by then.
	endpointTTL = 5 * time.Minute
	sweepPeriod = time.Minute
)

var (
	dials           = metrics.GetOrCreateCounter("cairnbay_conn_dials_total")
	condemned       = metrics.GetOrCreateCounter("cairnbay_conn_condemned_total")
	exchanges       = metrics.GetOrCreateCounter("cairnbay_conn_exchanges_total")
	failedExchanges = metrics.GetOrCreateCounter("cairnbay_conn_exchanges_failed_total")
)

// Pool implements cairnbay.Upstream with separate connections for each upstream.
type Pool struct {
	config    Config
	dialer    *net.Dialer
	shards    [shardCount]shard
	stopSweep func()
}

type shard struct {
	mu        sync.RWMutex
	endpoints map[string]*endpoint
}

// New returns a pool. Call Close to release it.
func New(config Config) *Pool {
	config = config.withDefaults()
	pool := &Pool{config: config, dialer: newDialer(config)}
	for i := range pool.shards {
		pool.shards[i].endpoints = map[string]*endpoint{}
	}
	pool.stopSweep = config.Clock.Every(sweepPeriod, pool.sweep)
	return pool
}

// Close closes idle connections; those in use are closed after their request.
func (p *Pool) Close() {
	p.stopSweep()
	for i := range p.shards {
		p.shards[i].mu.Lock()
		for _, endpoint := range p.shards[i].endpoints {
			endpoint.close()
		}
		p.shards[i].mu.Unlock()
	}
}

// Exchange sends the request to the address. A request that is not idempotent never
// uses a connection that was idle for longer than NonIdempotentIdleTimeout. Errors:
// *cairnbay.UpstreamError, with MaybeSent if there was a connection, else NotSent.
func (p *Pool) Exchange(ctx context.Context, address string, request *http.Request) (*http.Response, error) {
	exchanges.Inc()
	endpoint := p.endpoint(address)
	endpoint.lastUsed.Store(int64(p.config.Clock.Now()))
	// No byte can have been sent before the transport has a connection.
	var gotConn atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	response, err := endpoint.transport(Idempotent(request.Method)).RoundTrip(request)
	if err == nil {
		return response, nil
	}
	failedExchanges.Inc()
	failure := &cairnbay.UpstreamError{Address: address, Err: err}
	if gotConn.Load() {
		failure.Sent = cairnbay.MaybeSent
	}
	return nil, failure
}

// ReplaceConnections replaces the connections to the address after an exchange on one
// of them timed out: idle ones are closed, and those in use after their request.
func (p *Pool) ReplaceConnections(address string) {
	condemned.Inc()
	p.endpoint(address).replace(p.config, p.dialer)
}

// Idempotent reports whether a request with this method may be sent more than once.
//
// Source: RFC 9110, section 9.2.2.
func Idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

func (p *Pool) endpoint(address string) *endpoint {
	shard := &p.shards[xxhash.Sum64String(address)%shardCount]
	shard.mu.RLock()
	cached := shard.endpoints[address]
	shard.mu.RUnlock()
	if cached != nil {
		return cached
	}
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if cached = shard.endpoints[address]; cached == nil {
		cached = newEndpoint(p.config, p.dialer)
		shard.endpoints[address] = cached
	}
	return cached
}

// sweep removes endpoints that were not used for endpointTTL.
func (p *Pool) sweep(now time.Duration) {
	for i := range p.shards {
		shard := &p.shards[i]
		shard.mu.Lock()
		for address, endpoint := range shard.endpoints {
			if now-time.Duration(endpoint.lastUsed.Load()) > endpointTTL {
				endpoint.close()
				delete(shard.endpoints, address)
			}
		}
		shard.mu.Unlock()
	}
}
