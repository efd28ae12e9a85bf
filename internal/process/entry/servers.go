package entry

import (
	"bytes"
	"context"
	"crypto/tls"
	stderrors "errors"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"cairnbay"
	"cairnbay/internal/process/certs"
	"cairnbay/internal/process/config"
)

const (
	// readHeaderTimeout bounds the time to read a request's headers.
	readHeaderTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request's headers; beyond it the answer is 431.
	maxHeaderBytes = 64 << 10
	// serverErrorInterval is the minimum time between two logged server errors.
	serverErrorInterval = time.Minute
)

// servers holds the servers of an instance's three addresses.
type servers struct {
	callers   *server
	members   *server
	operators *server
	group     errgroup.Group
}

// open opens the three listeners. The callers' listener has no TLS, because the
// platform's balancer forwards plain connections.
func (s *servers) open(settings config.Settings, keeper *certs.Keeper) error {
	var tlsConfig *tls.Config
	if keeper != nil {
		tlsConfig = keeper.Server()
	}
	var err error
	if s.callers, err = listen("callers", settings.CallersAddress, nil); err != nil {
		return err
	}
	if s.members, err = listen("members", settings.MembersAddress, tlsConfig); err != nil {
		return stderrors.Join(err, s.callers.listener.Close())
	}
	if s.operators, err = listen("operators", settings.OperatorsAddress, tlsConfig); err != nil {
		return stderrors.Join(err, s.callers.listener.Close(), s.members.listener.Close())
	}
	return nil
}

func (s *servers) serve(callers, members, operators http.Handler, logger *serverErrorLog) {
	s.callers.serve(&s.group, callers, logger)
	s.members.serve(&s.group, members, logger)
	s.operators.serve(&s.group, operators, logger)
}

// shutdown stops all servers, the callers' server first: gracefully until ctx
// ends, then at once.
func (s *servers) shutdown(ctx context.Context) error {
	return stderrors.Join(s.callers.shutdown(ctx), s.operators.shutdown(ctx), s.members.shutdown(ctx), s.group.Wait())
}

// kill closes all servers and their connections at once.
func (s *servers) kill() {
	for _, srv := range []*server{s.callers, s.members, s.operators} {
		_ = srv.http.Close()
	}
	_ = s.group.Wait()
}

// server is an HTTP server and its listener.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
}

// listen opens a TCP listener, with TLS if tlsConfig is set. Errors: those of
// net.Listen, annotated with the server's name.
func listen(name, address string, tlsConfig *tls.Config) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "%s' address", name)
	}
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	return &server{name: name, listener: listener}, nil
}

// address returns the host:port of the listener, with the port chosen by the
// operating system if port 0 was configured.
func (s *server) address() string {
	return s.listener.Addr().String()
}

// serve runs the server in a goroutine of the group.
func (s *server) serve(group *errgroup.Group, handler http.Handler, logger *serverErrorLog) {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(logger, "", 0),
	}
	group.Go(func() error {
		err := s.http.Serve(s.listener)
		if stderrors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Annotatef(err, "%s' address", s.name)
	})
}

// shutdown stops the server: gracefully until ctx ends, then at once.
func (s *server) shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return stderrors.Join(err, s.http.Close())
	}
	return nil
}

// serverErrorLog is the error log of the three HTTP servers. It logs at most
// one entry per serverErrorInterval in total, with the number of entries
// suppressed since the last. It prevents a misconfigured peer that retries
// from flooding the log.
type serverErrorLog struct {
	clock cairnbay.Clock
	log   *logrus.Entry

	mu         sync.Mutex
	next       time.Duration
	suppressed int
}

// Write implements io.Writer for the standard library's logger.
func (l *serverErrorLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if now < l.next {
		l.suppressed++
		return len(line), nil
	}
	l.log.WithField("left_out", l.suppressed).Warn(string(bytes.TrimSpace(line)))
	l.next = now + serverErrorInterval
	l.suppressed = 0
	return len(line), nil
}
