// Package proxy is a TCP proxy on loopback that delays, resets, cuts and
// silences connections, for faults between real processes.
package proxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does to connections.
type Mode int

// Modes of a proxy.
const (
	// Pass carries bytes both ways.
	Pass Mode = iota
	// Delay holds each piece of bytes back for Config.Delay.
	Delay
	// Silence carries nothing either way, and leaves connections open. They stay
	// silent for good.
	Silence
	// OneWay carries what the caller sends, and nothing back.
	OneWay
	// Reset ends connections at once.
	Reset
	// Modes is how many there are.
	Modes
)

// String names the mode.
func (m Mode) String() string {
	return [...]string{"pass", "delay", "silence", "one_way", "reset"}[m]
}

// Config sets up a Proxy.
type Config struct {
	// Target is where connections lead, host:port.
	Target string
	Delay  time.Duration
}

// Proxy listens on a loopback port of its own.
type Proxy struct {
	config   Config
	listener net.Listener

	mu    sync.Mutex
	mode  Mode
	pairs map[*pair]struct{}
}

// pair is one connection with its continuation to the target.
type pair struct {
	caller, target net.Conn
	// silent says that the connection carries nothing any more.
	silent bool
}

// dialTimeout bounds the connection to the target, which is on this machine.
const dialTimeout = time.Second

// New starts a proxy. Errors: of its listener.
func New(config Config) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{config: config, listener: listener, pairs: make(map[*pair]struct{})}
	go p.accept()
	return p, nil
}

// Address is where callers connect.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// Set changes what happens to present and future connections.
func (p *Proxy) Set(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	for pair := range p.pairs {
		switch mode {
		case Reset:
			pair.close()
		case Silence:
			pair.silent = true
		}
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.Set(Reset)
}

func (p *Proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(caller)
	}
}

func (p *Proxy) serve(caller net.Conn) {
	target, err := net.DialTimeout("tcp", p.config.Target, dialTimeout)
	if err != nil {
		reset(caller)
		return
	}
	opened := &pair{caller: caller, target: target}
	p.mu.Lock()
	mode := p.mode
	opened.silent = mode == Silence
	p.pairs[opened] = struct{}{}
	p.mu.Unlock()
	if mode == Reset {
		opened.close()
	}
	var both sync.WaitGroup
	both.Go(func() { p.carry(opened, target, caller, false) })
	both.Go(func() { p.carry(opened, caller, target, true) })
	both.Wait()
	opened.close()
	p.mu.Lock()
	delete(p.pairs, opened)
	p.mu.Unlock()
}

// carry copies one direction until either end closes.
func (p *Proxy) carry(over *pair, to, from net.Conn, back bool) {
	defer over.close()
	piece := make([]byte, 32<<10)
	for {
		n, err := from.Read(piece)
		if n > 0 && !p.pass(over, back) {
			if _, err := io.Copy(io.Discard, from); err != nil {
				return
			}
			return
		}
		if n > 0 {
			if _, err := to.Write(piece[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pass says whether a piece of bytes goes on, after its delay.
func (p *Proxy) pass(over *pair, back bool) bool {
	p.mu.Lock()
	mode, silent := p.mode, over.silent
	if mode == OneWay && back {
		over.silent, silent = true, true
	}
	p.mu.Unlock()
	if mode == Delay {
		time.Sleep(p.config.Delay)
	}
	return !silent
}

func (p *pair) close() {
	reset(p.caller)
	reset(p.target)
}

// reset closes a connection so that its peer sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Without lingering the close discards what is unsent and resets.
		if err := tcp.SetLinger(0); err != nil {
			conn.Close()
			return
		}
	}
	conn.Close()
}
