package runner

import (
	"net"
	"sync"
	"sync/atomic"
)

// connection is one accepted connection that can go silent.
type connection struct {
	net.Conn
	number int
	// deaf drops what arrives; mute drops what is sent.
	deaf, mute atomic.Bool
	closed     chan struct{}
	close      sync.Once
	onClose    func(*connection)
}

// Read returns what arrives, or blocks until the connection is closed once it
// is deaf.
func (c *connection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if c.deaf.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write sends, or pretends to once the connection is mute.
func (c *connection) Write(content []byte) (int, error) {
	if c.mute.Load() {
		return len(content), nil
	}
	return c.Conn.Write(content)
}

// Close closes the connection. A mute one stays open towards the peer until
// the runner is closed, since its end must not be heard either.
func (c *connection) Close() error {
	var err error
	c.close.Do(func() {
		close(c.closed)
		if !c.mute.Load() {
			err = c.Conn.Close()
		}
		c.onClose(c)
	})
	return err
}

// listener hands out connections that can go silent.
type listener struct {
	net.Listener
	journal *journal

	mu     sync.Mutex
	count  int
	open   map[*connection]struct{}
	silent []*connection
}

func newListener(inner net.Listener, journal *journal) *listener {
	return &listener{Listener: inner, journal: journal, open: map[*connection]struct{}{}}
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.journal.connected(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	conn := &connection{Conn: inner, number: l.count, closed: make(chan struct{}), onClose: l.forget}
	l.open[conn] = struct{}{}
	return conn, nil
}

func (l *listener) forget(conn *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, conn)
	l.journal.connected(-1)
}

// silence makes the connections that are open now silent for good.
func (l *listener) silence(deaf, mute bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		if deaf {
			conn.deaf.Store(true)
		}
		if mute {
			conn.mute.Store(true)
		}
		l.silent = append(l.silent, conn)
	}
	return len(l.open)
}

func (l *listener) cut() {
	l.mu.Lock()
	conns := append([]*connection(nil), l.silent...)
	for conn := range l.open {
		conns = append(conns, conn)
	}
	l.mu.Unlock()
	for _, conn := range conns {
		conn.Conn.Close()
	}
}
