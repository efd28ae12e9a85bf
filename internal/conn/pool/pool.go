// Package pool keeps connections to upstream instances and sends requests on
// them.
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

// Config is what a Pool is made of. Zero values take those of DefaultConfig.
type Config struct {
	Clock cairnbay.Clock
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// NonIdempotentIdleTimeout is how long after its last answer a connection may carry a
	// request that is not idempotent.
	NonIdempotentIdleTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept for idempotent requests.
	IdleTimeout time.Duration
	// MaxIdlePerUpstream bounds the unused connections to one upstream, each for
	// idempotent and for other requests.
	MaxIdlePerUpstream int
	// UserTimeout is after how long unacknowledged bytes end a connection.
	UserTimeout time.Duration
	// KeepAlive is the pause before and between keepalive probes; three that
	// stay unanswered end a connection.
	KeepAlive time.Duration
}

// DefaultConfig returns the configuration that zero values stand for.
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

func (c Config) filled() Config {
	defaults := DefaultConfig()
	c.DialTimeout = or(c.DialTimeout, defaults.DialTimeout)
	c.NonIdempotentIdleTimeout = or(c.NonIdempotentIdleTimeout, defaults.NonIdempotentIdleTimeout)
	c.IdleTimeout = or(c.IdleTimeout, defaults.IdleTimeout)
	c.MaxIdlePerUpstream = or(c.MaxIdlePerUpstream, defaults.MaxIdlePerUpstream)
	c.UserTimeout = or(c.UserTimeout, defaults.UserTimeout)
	c.KeepAlive = or(c.KeepAlive, defaults.KeepAlive)
	return c
}

func or[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

const (
	shardCount = 16
	// forgetAfter is how long an upstream's connections are kept without use.
	forgetAfter = 5 * time.Minute
	sweepPeriod = time.Minute
)

var (
	dials      = metrics.GetOrCreateCounter("cairnbay_conn_dials_total")
	condemned  = metrics.GetOrCreateCounter("cairnbay_conn_condemned_total")
	exchanges  = metrics.GetOrCreateCounter("cairnbay_conn_exchanges_total")
	exchangeKO = metrics.GetOrCreateCounter("cairnbay_conn_exchanges_failed_total")
)

// Pool implements cairnbay.Upstream with one set of connections an upstream.
type Pool struct {
	config Config
	dialer *net.Dialer
	shards [shardCount]shard
	cancel func()
}

type shard struct {
	mu    sync.RWMutex
	lines map[string]*line
}

// New returns a pool. Close ends it.
func New(config Config) *Pool {
	config = config.filled()
	pool := &Pool{config: config, dialer: newDialer(config)}
	for i := range pool.shards {
		pool.shards[i].lines = map[string]*line{}
	}
	pool.cancel = config.Clock.Every(sweepPeriod, pool.sweep)
	return pool
}

// Close closes unused connections; those in use end with their request.
func (p *Pool) Close() {
	p.cancel()
	for i := range p.shards {
		p.shards[i].mu.Lock()
		for _, line := range p.shards[i].lines {
			line.close()
		}
		p.shards[i].mu.Unlock()
	}
}

// Exchange sends the request to the address. A connection that was silent for
// longer than NonIdempotentIdleTimeout never carries a request that is not idempotent.
func (p *Pool) Exchange(ctx context.Context, address string, request *http.Request) (*http.Response, error) {
	exchanges.Inc()
	line := p.line(address)
	line.used.Store(int64(p.config.Clock.Now()))
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	answer, err := line.transport(Idempotent(request.Method)).RoundTrip(request)
	if err == nil {
		return answer, nil
	}
	exchangeKO.Inc()
	failure := &cairnbay.UpstreamError{Address: address, Err: err}
	if sent.Load() {
		failure.Sent = cairnbay.MaybeSent
	}
	return nil, failure
}

// Condemn is called after one connection to the address was found silent: the
// unused ones are closed, and those in use are not used again.
func (p *Pool) Condemn(address string) {
	condemned.Inc()
	p.line(address).replace(p.config, p.dialer)
}

// Idempotent says whether a request by this method may be sent again.
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

func (p *Pool) line(address string) *line {
	shard := &p.shards[xxhash.Sum64String(address)%shardCount]
	shard.mu.RLock()
	known := shard.lines[address]
	shard.mu.RUnlock()
	if known != nil {
		return known
	}
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if known = shard.lines[address]; known == nil {
		known = newLine(p.config, p.dialer)
		shard.lines[address] = known
	}
	return known
}

func (p *Pool) sweep(now time.Duration) {
	for i := range p.shards {
		shard := &p.shards[i]
		shard.mu.Lock()
		for address, line := range shard.lines {
			if now-time.Duration(line.used.Load()) > forgetAfter {
				line.close()
				delete(shard.lines, address)
			}
		}
		shard.mu.Unlock()
	}
}
