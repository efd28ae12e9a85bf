package listen

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
)

// listener accounts for the connections that it accepts.
type listener struct {
	net.Listener
	account *account
}

// Accept implements net.Listener. Connections without room are closed at once.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, account: l.account}
		c.holding.evict = func() { _ = c.Close() }
		c.countsHeader.Store(true)
		if l.account.openConnection(&c.holding) {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// conn is a connection of a client.
type conn struct {
	net.Conn
	account *account
	holding holding
	// countsHeader is set while bytes that arrive are of a request's header. It stays unset
	// once the connection has a request of HTTP/2, whose server bounds headers by itself.
	countsHeader atomic.Bool
	http2        atomic.Bool
	// receiving is set once bytes of the next request have arrived.
	receiving atomic.Bool
}

// Read implements net.Conn. Errors: net.ErrClosed if the connection was evicted.
func (c *conn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count == 0 || !c.countsHeader.Load() {
		return count, err
	}
	if c.receiving.CompareAndSwap(false, true) {
		c.account.restart(&c.holding)
	}
	if !c.account.add(&c.holding, headerWeight*int64(count)) {
		return 0, net.ErrClosed
	}
	return count, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.account.closeConnection(&c.holding)
	return c.Conn.Close()
}

// CloseWrite ends the writing direction, so that the server can close a connection after the
// client has received the response.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// awaitRequest notes that the connection waits for its next request.
func (c *conn) awaitRequest() {
	if !c.http2.Load() {
		c.receiving.Store(false)
		c.countsHeader.Store(true)
	}
}

type connKey struct{}

func withConn(ctx context.Context, c *conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connFrom(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// connOf returns the accepted connection below a connection of the server.
func connOf(c net.Conn) *conn {
	if encrypted, ok := c.(*tls.Conn); ok {
		c = encrypted.NetConn()
	}
	return c.(*conn)
}
