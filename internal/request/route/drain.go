package route

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const inFlightShardCount = 16

// inFlightCalls tracks the requests in progress, so that a planned stop can wait
// for them and list those that it cancelled.
type inFlightCalls struct {
	shards [inFlightShardCount]inFlightShard
}

type inFlightShard struct {
	mu    sync.Mutex
	calls map[*call]context.CancelCauseFunc
	empty *sync.Cond
}

func newInFlightCalls() *inFlightCalls {
	inFlight := &inFlightCalls{}
	for i := range inFlight.shards {
		shard := &inFlight.shards[i]
		shard.calls = map[*call]context.CancelCauseFunc{}
		shard.empty = sync.NewCond(&shard.mu)
	}
	return inFlight
}

func (f *inFlightCalls) shard(call *call) *inFlightShard {
	return &f.shards[xxhash.Sum64String(call.id)%inFlightShardCount]
}

func (f *inFlightCalls) add(call *call, cancel context.CancelCauseFunc) {
	shard := f.shard(call)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.calls[call] = cancel
}

func (f *inFlightCalls) remove(call *call) {
	shard := f.shard(call)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.calls, call)
	if len(shard.calls) == 0 {
		shard.empty.Broadcast()
	}
}

// wait returns after each shard has been empty once. Router.draining must be set
// before, so that a request added later is refused and removed at once.
func (f *inFlightCalls) wait() {
	for i := range f.shards {
		shard := &f.shards[i]
		shard.mu.Lock()
		for len(shard.calls) > 0 {
			shard.empty.Wait()
		}
		shard.mu.Unlock()
	}
}

// cancelAll cancels all requests in progress and returns their sorted IDs.
func (f *inFlightCalls) cancelAll() []string {
	var ids []string
	for i := range f.shards {
		shard := &f.shards[i]
		shard.mu.Lock()
		for call, cancel := range shard.calls {
			ids = append(ids, call.id)
			cancel(errStopping)
		}
		shard.mu.Unlock()
	}
	slices.Sort(ids)
	return ids
}

// CutError lists the IDs of the requests that a stop cancelled.
type CutError struct {
	Requests []string
}

// Error lists the IDs of the requests.
func (e *CutError) Error() string {
	return fmt.Sprintf("%d requests were cut: %s", len(e.Requests), strings.Join(e.Requests, " "))
}

// Leave is the first step of a planned stop: requests are still served, and each
// answer asks the caller to close its connection. Call Drain once the load
// balancer sends no more requests.
func (r *Router) Leave() {
	r.leaving.Store(true)
}

// Drain refuses new requests and waits for those in progress. If the context ends
// first, it cancels them, waits until they have returned, and returns a *CutError
// that lists them.
func (r *Router) Drain(ctx context.Context) error {
	r.leaving.Store(true)
	r.draining.Store(true)
	done := make(chan struct{})
	go func() {
		r.inFlight.wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	cut := r.inFlight.cancelAll()
	<-done
	if len(cut) == 0 {
		return nil
	}
	r.recordCut(cut)
	return &CutError{Requests: cut}
}
