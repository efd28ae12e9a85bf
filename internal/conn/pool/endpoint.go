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

// transportPair holds the connections to one upstream. Requests that are not
// idempotent have a transport of their own, whose connections are closed after a
// short idle time, because a connection idle for longer may be broken unnoticed.
type transportPair struct {
	forIdempotent    *http.Transport
	forNonIdempotent *http.Transport
}

// endpoint holds the connections of the pool to one upstream.
type endpoint struct {
	transports atomic.Pointer[transportPair]
	// lastUsed is the time of the last exchange on the clock of the pool, as
	// time.Duration.
	lastUsed atomic.Int64
}

func newEndpoint(config Config, dialer *net.Dialer) *endpoint {
	endpoint := &endpoint{}
	endpoint.transports.Store(newTransportPair(config, dialer))
	return endpoint
}

func newTransportPair(config Config, dialer *net.Dialer) *transportPair {
	return &transportPair{
		forIdempotent:    newTransport(config, dialer, config.IdleTimeout),
		forNonIdempotent: newTransport(config, dialer, config.NonIdempotentIdleTimeout),
	}
}

const ioBufferBytes = 16 << 10

func newTransport(config Config, dialer *net.Dialer, idleTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			dials.Inc()
			return dialer.DialContext(ctx, network, address)
		},
		MaxIdleConns:        config.MaxIdlePerUpstream,
		MaxIdleConnsPerHost: config.MaxIdlePerUpstream,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		WriteBufferSize:     ioBufferBytes,
		ReadBufferSize:      ioBufferBytes,
	}
}

func (e *endpoint) transport(idempotent bool) *http.Transport {
	if idempotent {
		return e.transports.Load().forIdempotent
	}
	return e.transports.Load().forNonIdempotent
}

// replace makes later requests use new connections. Connections in use are closed
// after their response.
func (e *endpoint) replace(config Config, dialer *net.Dialer) {
	old := e.transports.Swap(newTransportPair(config, dialer))
	old.close()
}

func (e *endpoint) close() {
	e.transports.Load().close()
}

// close closes idle connections. Those in use are closed after their response,
// because after CloseIdleConnections a transport pools no connection until its
// next request.
func (t *transportPair) close() {
	t.forIdempotent.CloseIdleConnections()
	t.forNonIdempotent.CloseIdleConnections()
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
		Control: func(_, _ string, conn syscall.RawConn) error {
			return setUserTimeout(conn, config.UserTimeout)
		},
	}
}

// setUserTimeout sets the TCP user timeout: the connection is closed once sent
// bytes stay unacknowledged for that long.
//
// Source: RFC 5482.
func setUserTimeout(conn syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := conn.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
