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
	// lingerTime is how long a stopping instance still takes new requests, so
	// that the balancer has seen its failed check before they are refused.
	lingerTime = time.Second
	// handoverLimit bounds the wait for successors of the shards.
	handoverLimit = 3 * time.Second
	// flushLimit bounds the last write of the audit.
	flushLimit = time.Second
)

// Wait returns when ctx ends, or with the error of an address that failed.
func (e *Entry) Wait(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- e.servers.group.Wait() }()
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

// Stop makes a planned stop: readiness fails, running requests finish, shards
// are handed over, the audit is written. When ctx ends first, what still runs
// is cut and named in the error.
func (e *Entry) Stop(ctx context.Context) error {
	e.setStopping()
	e.router.Leave()
	e.member.Leave(ctx)
	var work errgroup.Group
	work.Go(func() error { return e.drainRequests(ctx) })
	work.Go(func() error { return e.handOver(ctx) })
	drained := work.Wait()
	e.router.Close()
	shut := e.servers.shut(ctx)
	e.flush(ctx)
	e.closeParts()
	return stderrors.Join(drained, shut)
}

func (e *Entry) setStopping() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopping = true
}

// drainRequests goes on taking requests until the balancer has noticed, then
// finishes those in progress.
func (e *Entry) drainRequests(ctx context.Context) error {
	wait := time.NewTimer(lingerTime)
	defer wait.Stop()
	select {
	case <-ctx.Done():
	case <-wait.C:
	}
	err := e.router.Drain(ctx)
	if err == nil {
		e.audit.CountPromise(cairnbay.PromiseGraceful, 1)
		return nil
	}
	e.noteCut(err)
	return err
}

// noteCut keeps what the planned stop cut.
func (e *Entry) noteCut(err error) {
	e.config.Log.WithError(err).Error("the planned stop cut requests")
	e.audit.RecordException(cairnbay.Exception{
		UnixMS: e.config.Clock.Wall().UnixMilli(), Name: "planned_stop_cut", Promise: cairnbay.PromiseGraceful, Broken: true,
		Fields: map[string]string{"cut": err.Error()},
	})
}

// handOver waits for successors of the shards. Without one in time the shards
// are left to be taken over, which loses no task.
func (e *Entry) handOver(ctx context.Context) error {
	if !e.hasSuccessor() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	if err := e.owner.Handover(ctx); err != nil {
		e.config.Log.WithError(err).Warn("no successor took every shard before the stop")
	}
	return nil
}

// hasSuccessor says whether another member of the data centre stays.
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
	ctx, cancel := context.WithTimeout(ctx, flushLimit)
	defer cancel()
	if err := e.audit.Flush(ctx); err != nil {
		e.config.Log.WithError(err).Error("the last audit records were not written")
	}
}

// Kill ends the instance at once, as a crash does, for tests and the demo:
// nothing is finished, handed over or written.
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
