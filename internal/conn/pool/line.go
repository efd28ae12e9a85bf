package pool

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// transports are the connections to one upstream, apart by whether a request
// may be sent again: only those heard from lately carry one that may not.
type transports struct {
	steady *http.Transport
	fresh  *http.Transport
}

// line is what the pool keeps for one upstream.
type line struct {
	current atomic.Pointer[transports]
	// used is the time of the last exchange, as time.Duration.
	used atomic.Int64
}

func newLine(config Config, dialer *net.Dialer) *line {
	line := &line{}
	line.current.Store(newTransports(config, dialer))
	return line
}

func newTransports(config Config, dialer *net.Dialer) *transports {
	return &transports{
		steady: newTransport(config, dialer, config.IdleTimeout),
		fresh:  newTransport(config, dialer, config.NonIdempotentIdleTimeout),
	}
}

const ioBufferBytes = 16 << 10

func newTransport(config Config, dialer *net.Dialer, idleFor time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			dials.Inc()
			return dialer.DialContext(ctx, network, address)
		},
		MaxIdleConns:        config.MaxIdlePerUpstream,
		MaxIdleConnsPerHost: config.MaxIdlePerUpstream,
		IdleConnTimeout:     idleFor,
		DisableCompression:  true,
		WriteBufferSize:     ioBufferBytes,
		ReadBufferSize:      ioBufferBytes,
	}
}

func (l *line) transport(idempotent bool) *http.Transport {
	if idempotent {
		return l.current.Load().steady
	}
	return l.current.Load().fresh
}

// replace gives later requests new connections. Connections of the old set
// that are in use end with their answer, because their set keeps none.
func (l *line) replace(config Config, dialer *net.Dialer) {
	old := l.current.Swap(newTransports(config, dialer))
	old.close()
}

func (l *line) close() {
	l.current.Load().close()
}

// close closes unused connections, and those in use once they are returned:
// net/http keeps none after CloseIdleConnections until the next request.
func (t *transports) close() {
	t.steady.CloseIdleConnections()
	t.fresh.CloseIdleConnections()
}

func newDialer(config Config) *net.Dialer {
	return &net.Dialer{
		Timeout: config.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     config.KeepAlive,
			Interval: config.KeepAlive,
			Count:    3,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, config.UserTimeout)
		},
	}
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
//
// Source: RFC 5482.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
