package links

import (
	"net"
	"os"
	"sync"
	"time"
)

// conn is an open connection; once silent, what is written vanishes and
// nothing is ever read, as when something between the ends has lost track of
// it.
type conn struct {
	net.Conn
	links  *Links
	silent chan struct{}
	closed chan struct{}

	silenceOnce sync.Once
	closeOnce   sync.Once

	mu       sync.Mutex
	deadline time.Time
}

func (c *conn) silence() {
	c.silenceOnce.Do(func() { close(c.silent) })
}

func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read implements net.Conn.
func (c *conn) Read(into []byte) (int, error) {
	if c.isSilent() {
		return 0, c.hang()
	}
	n, err := c.Conn.Read(into)
	if c.isSilent() {
		return 0, c.hang()
	}
	return n, err
}

// hang blocks until the connection is closed or its read deadline passes.
func (c *conn) hang() error {
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	if deadline.IsZero() {
		<-c.closed
		return net.ErrClosed
	}
	wait := time.NewTimer(time.Until(deadline))
	defer wait.Stop()
	select {
	case <-c.closed:
		return net.ErrClosed
	case <-wait.C:
		return os.ErrDeadlineExceeded
	}
}

// Write implements net.Conn.
func (c *conn) Write(content []byte) (int, error) {
	if !c.isSilent() {
		return c.Conn.Write(content)
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
		return len(content), nil
	}
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(deadline time.Time) error {
	c.keepDeadline(deadline)
	return c.Conn.SetDeadline(deadline)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.keepDeadline(deadline)
	return c.Conn.SetReadDeadline(deadline)
}

func (c *conn) keepDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.links.forget(c)
	})
	return c.Conn.Close()
}
