// Package listen serves HTTP on one address of a process and bounds what its clients can
// make the process hold: connections, memory for requests, and both for how long.
package listen

import (
	"context"
	"crypto/tls"
	"errors"
	"log"
	"net"
	"net/http"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"cairnbay"
)

// Config sets up a Server.
type Config struct {
	// Name is the listener's name in logs and metrics.
	Name string
	// Address is the host:port to listen on; port 0 takes a free one.
	Address string
	// TLS is nil for a listener without encryption.
	TLS *tls.Config
	// HTTP2 allows HTTP/2, over TLS and in plain.
	HTTP2   bool
	Limits  Limits
	Clock   cairnbay.Clock
	Log     *logrus.Entry
	Metrics *metrics.Set
}

// Server is an HTTP server and its listener.
type Server struct {
	config   Config
	account  *account
	listener net.Listener
	http     *http.Server
}

// Limits of a connection with HTTP/2: requests at once, and received bytes of one of them and
// of all that handlers have not read.
const (
	maxStreams            = 100
	maxStreamReceiveBytes = 64 << 10
	maxConnReceiveBytes   = 256 << 10
)

// New opens the listener. Errors: those of net.Listen.
func New(config Config) (*Server, error) {
	listenConfig := net.ListenConfig{Control: config.Limits.limitReceiveBuffer}
	opened, err := listenConfig.Listen(context.Background(), "tcp", config.Address)
	if err != nil {
		return nil, err
	}
	s := &Server{config: config, account: newAccount(config)}
	s.listener = &listener{Listener: opened, account: s.account}
	if config.TLS != nil {
		s.listener = tls.NewListener(s.listener, config.TLS)
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(config.HTTP2)
	protocols.SetUnencryptedHTTP2(config.HTTP2)
	s.http = &http.Server{
		Protocols:         protocols,
		ReadHeaderTimeout: config.Limits.HeaderTimeout,
		IdleTimeout:       config.Limits.IdleTimeout,
		MaxHeaderBytes:    config.Limits.HeaderBytes,
		ErrorLog:          log.New(&errorLog{clock: config.Clock, log: config.Log}, "", 0),
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return withConn(ctx, connOf(c)) },
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				connOf(c).awaitRequest()
			}
		},
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: maxConnReceiveBytes, MaxReceiveBufferPerStream: maxStreamReceiveBytes,
		},
	}
	return s, nil
}

// limitReceiveBuffer bounds the bytes that the system holds for a connection before they are
// read. Not every platform offers it, and the listener works without.
func (l *Limits) limitReceiveBuffer(_, _ string, conn syscall.RawConn) error {
	if l.ReceiveBuffer == 0 {
		return nil
	}
	return conn.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, l.ReceiveBuffer)
	})
}

// Address returns the host:port of the listener.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Serve serves requests until the server is closed. Errors: those of http.Server.Serve but
// for http.ErrServerClosed.
func (s *Server) Serve(handler http.Handler) error {
	s.http.Handler = s.limit(handler)
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown closes the listener and waits for the requests in progress until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	err := s.http.Close()
	// The server does not know the listener before Serve.
	if closing := s.listener.Close(); !errors.Is(closing, net.ErrClosed) {
		err = errors.Join(err, closing)
	}
	return err
}

// limit wraps a handler: the memory of each request is accounted for, and reading its body is
// limited in time.
func (s *Server) limit(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, httpRequest *http.Request) {
		r := s.account.begin(connFrom(httpRequest.Context()), writer, httpRequest)
		defer r.end()
		if r.body != nil {
			httpRequest = httpRequest.WithContext(context.WithValue(httpRequest.Context(), requestKey{}, r))
		}
		handler.ServeHTTP(writer, httpRequest)
	})
}
