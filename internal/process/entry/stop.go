package entry

import (
	"context"
	stderrors "errors"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"cairnbay"
)

const (
	// balancerDelay is how long a stopping instance still accepts new requests,
	// so that the balancer sees the failed readiness check before any request is
	// refused.
	balancerDelay = time.Second
	// handoverTimeout bounds the wait for other members to take over the shards.
	handoverTimeout = 3 * time.Second
	// flushTimeout bounds the final write of the audit records.
	flushTimeout = time.Second
)

// Wait blocks until ctx ends or all three servers have ended. Errors: that of
// the first server that failed.
func (e *Entry) Wait(ctx context.Context) error {
	serveErr := make(chan error, 1)
	go func() { serveErr <- e.servers.group.Wait() }()
	select {
	case <-ctx.Done():
		return nil
	case err := <-serveErr:
		return err
	}
}

// Stop stops the instance gracefully: it fails the readiness check, finishes
// running requests, hands the shards over and writes the audit records. If ctx
// ends first, Stop cuts the remaining requests, and the last audit records may
// not be written. Errors: the cut requests, joined with the errors of the
// servers' shutdown.
func (e *Entry) Stop(ctx context.Context) error {
	e.setStopping()
	e.router.Leave()
	e.member.Leave(ctx)
	var group errgroup.Group
	group.Go(func() error { return e.drainRequests(ctx) })
	group.Go(func() error { return e.handOver(ctx) })
	drainErr := group.Wait()
	e.router.Close()
	shutdownErr := e.servers.shutdown(ctx)
	e.flush(ctx)
	e.closeParts()
	return stderrors.Join(drainErr, shutdownErr)
}

func (e *Entry) setStopping() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopping = true
}

// drainRequests accepts new requests for balancerDelay or until ctx ends, then
// drains the router. Errors: those of Router.Drain, if requests were cut.
func (e *Entry) drainRequests(ctx context.Context) error {
	timer := time.NewTimer(balancerDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	err := e.router.Drain(ctx)
	if err == nil {
		e.audit.CountPromise(cairnbay.PromiseGraceful, 1)
		return nil
	}
	e.recordCut(err)
	return err
}

// recordCut logs the requests that a planned stop cut and records them in the
// audit.
func (e *Entry) recordCut(err error) {
	e.config.Log.WithError(err).Error("planned stop cut requests")
	e.audit.RecordException(cairnbay.Exception{
		UnixMS: e.config.Clock.Wall().UnixMilli(), Name: "planned_stop_cut", Promise: cairnbay.PromiseGraceful, Broken: true,
		Fields: map[string]string{"cut": err.Error()},
	})
}

// handOver waits at most handoverTimeout until other members have taken over
// the shards, and returns at once if there is no possible successor. The
// remaining shards are left for a later takeover, which loses no task. An
// incomplete handover is logged and is no error.
func (e *Entry) handOver(ctx context.Context) error {
	if !e.hasSuccessor() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := e.owner.Handover(ctx); err != nil {
		e.config.Log.WithError(err).Warn("shard handover incomplete at stop")
	}
	return nil
}

// hasSuccessor reports whether the data centre has another member that is not
// leaving. A suspect member counts too.
func (e *Entry) hasSuccessor() bool {
	self := e.member.Self()
	for _, other := range e.member.Live() {
		if other.ID != self.ID && other.DataCentre == self.DataCentre && !other.Leaving {
			return true
		}
	}
	return false
}

func (e *Entry) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := e.audit.Flush(ctx); err != nil {
		e.config.Log.WithError(err).Error("the last audit records were not written")
	}
}

// Kill ends the instance at once and simulates a crash for tests and the demo: it
// finishes no request, hands over no shard and writes no audit record.
func (e *Entry) Kill() {
	e.servers.kill()
	e.closeParts()
}

func (e *Entry) closeParts() {
	e.cutoff.Close()
	e.owner.Close()
	e.router.Close()
	e.keys.Close()
	e.slots.Close()
	e.audit.Close()
	e.follower.Close()
	e.member.Close()
	e.roster.Close()
	e.upstream.Close()
	e.pool.Close()
	e.closeCerts()
	for _, client := range []*http.Client{e.store, e.list, e.workers} {
		client.CloseIdleConnections()
	}
	e.cancel()
}
