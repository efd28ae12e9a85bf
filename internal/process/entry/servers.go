package entry

import (
	"context"
	"crypto/tls"
	stderrors "errors"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"cairnbay/internal/conn/listen"
	"cairnbay/internal/process/certs"
)

const (
	// headerTimeout and bodyTimeout limit how long a client may take to send a header and a
	// body. The deadline of a caller's request limits its body too.
	headerTimeout = 10 * time.Second
	bodyTimeout   = 5 * time.Minute
	// headerBytes bounds a request's header; beyond it the answer is 431.
	headerBytes = 64 << 10
)

// Parts of the instance's memory and sockets that each listener may use. The rest of the
// sockets is for upstreams, workers, the store and the list.
const (
	callerMemory, callerSockets     = 0.4, 0.45
	memberMemory, memberSockets     = 0.1, 0.1
	operatorMemory, operatorSockets = 0.1, 0.05
	// leastMemory is that of a listener in bytes.
	leastMemory = 32 << 20
)

// limits are those of all listeners.
var limits = listen.Limits{HeaderBytes: headerBytes, HeaderTimeout: headerTimeout, BodyTimeout: bodyTimeout}

// servers holds the servers of an instance's three addresses.
type servers struct {
	callers   *listen.Server
	members   *listen.Server
	operators *listen.Server
	group     errgroup.Group
}

// open opens the three listeners. The callers' listener has no TLS, because the
// platform's balancer forwards plain connections.
func (s *servers) open(config Config, keeper *certs.Keeper, set *metrics.Set) error {
	settings := config.Settings
	var tlsConfig *tls.Config
	if keeper != nil {
		tlsConfig = keeper.Server()
	}
	open := func(name, address string, tlsConfig *tls.Config, memory, sockets float64) (*listen.Server, error) {
		server, err := listen.New(listen.Config{
			Name: name, Address: address, TLS: tlsConfig, HTTP2: true, Limits: config.Machine.Share(limits, memory, sockets, leastMemory),
			Clock: config.Clock, Log: config.Log, Metrics: set,
		})
		return server, errors.Annotatef(err, "%s' address", name)
	}
	var err error
	if s.callers, err = open("callers", settings.CallersAddress, nil, callerMemory, callerSockets); err != nil {
		return err
	}
	if s.members, err = open("members", settings.MembersAddress, tlsConfig, memberMemory, memberSockets); err != nil {
		return stderrors.Join(err, s.callers.Close())
	}
	if s.operators, err = open("operators", settings.OperatorsAddress, tlsConfig, operatorMemory, operatorSockets); err != nil {
		return stderrors.Join(err, s.callers.Close(), s.members.Close())
	}
	return nil
}

func (s *servers) serve(callers, members, operators http.Handler) {
	s.group.Go(func() error { return errors.Annotate(s.callers.Serve(callers), "callers' address") })
	s.group.Go(func() error { return errors.Annotate(s.members.Serve(members), "members' address") })
	s.group.Go(func() error { return errors.Annotate(s.operators.Serve(operators), "operators' address") })
}

// shutdown stops all servers, the callers' server first: gracefully until ctx
// ends, then at once.
func (s *servers) shutdown(ctx context.Context) error {
	var failed []error
	for _, server := range []*listen.Server{s.callers, s.operators, s.members} {
		if err := server.Shutdown(ctx); err != nil {
			failed = append(failed, err, server.Close())
		}
	}
	return stderrors.Join(append(failed, s.group.Wait())...)
}

// kill closes all servers and their connections at once.
func (s *servers) kill() {
	for _, server := range []*listen.Server{s.callers, s.members, s.operators} {
		_ = server.Close()
	}
	_ = s.group.Wait()
}
