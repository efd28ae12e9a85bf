package keys

import (
	"bytes"
	"context"
	"strconv"
	"sync"
	"time"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// entry is the stored record of a key, with state that is kept only in the memory of
// this process.
type entry struct {
	record *cairnbayv1.KeyEntry
	// done is closed when the request that holds the claim has ended; nil if no
	// request runs under a claim that this process granted.
	done chan struct{}
	// startedAt is when the claim was granted, on Config.Clock.
	startedAt time.Duration
	// answer is the cached answer of the request; nil if there is none.
	answer *cairnbayv1.KeyResponse
}

// pendingClaim is a claim that waits for the next write.
type pendingClaim struct {
	hash keyHash
	// claimID is the random number of the claim, from KeyRequest.Claim.
	claimID uint64
	digest  []byte
	ttl     time.Duration
	// responses receives the response to the claim; a nil response means that the key
	// must be looked up again.
	responses chan *cairnbayv1.KeyResponse
	// abandoned is set when the caller no longer waits for the verdict.
	abandoned bool
}

// bucket holds the keys that are stored in one value of the store. While there are
// claims or outcomes to write, one goroutine, the writer, runs runWriter.
type bucket struct {
	keys *Keys
	// storeKey is the key of the bucket's value in the store.
	storeKey string

	mu      sync.Mutex
	entries map[keyHash]*entry
	waiting []*pendingClaim
	// writing is set while the writer goroutine runs.
	writing bool
	// dirty is set while entries have changes that are not written yet.
	dirty bool
	// cached lists the entries with a cached answer, oldest first; an entry stays in
	// it until its answer is evicted, also when the entry has expired.
	cached      []*entry
	cachedBytes int

	// wakeup ends the outcomeDelay of the writer when a claim arrives or a run ends.
	wakeup chan struct{}

	// Only the writer uses the fields below.
	loaded   bool
	revision cairnbay.Revision
	// writeID is the random ID in the bucket as last read from the store; it tells
	// whether an unconfirmed write of this process was stored.
	writeID uint64
}

func newBucket(keys *Keys, number int) *bucket {
	return &bucket{
		keys:     keys,
		storeKey: "keys/" + strconv.Itoa(number),
		entries:  map[keyHash]*entry{},
		wakeup:   make(chan struct{}, 1),
	}
}

const (
	// digestBytes is the number of leading bytes of a request digest that are stored
	// and compared.
	digestBytes = 8
	// maxRunTime is the time after which a claim without a reported outcome becomes
	// unknown; it is longer than the timeout of any request.
	maxRunTime = 6 * time.Minute
)

func shortDigest(digest []byte) []byte {
	return digest[:min(len(digest), digestBytes)]
}

func newResponse(verdict, reason string) *cairnbayv1.KeyResponse {
	return &cairnbayv1.KeyResponse{Verdict: verdict, Reason: reason}
}

// claim returns the verdict on a claim, from memory or after the next write. It waits
// while another request with the key and digest is running.
func (b *bucket) claim(ctx context.Context, request *cairnbayv1.KeyRequest) *cairnbayv1.KeyResponse {
	pending := &pendingClaim{
		hash:    hashKey(request.GetService(), request.GetKey()),
		claimID: request.GetClaim(),
		digest:  shortDigest(request.GetBodyDigest()),
		ttl:     b.keys.ttl(request.GetService()),
	}
	for {
		done, response := b.lookupOrQueue(pending)
		if response != nil {
			return response
		}
		select {
		case <-done:
		case answer := <-pending.responses:
			if answer != nil {
				return answer
			}
		case <-ctx.Done():
			return b.abandon(pending)
		}
	}
}

// abandon marks a claim whose caller has disconnected and returns VerdictNotRun. A
// claim that was granted meanwhile is released; one that is still to be written gets
// no entry from grant.
func (b *bucket) abandon(pending *pendingClaim) *cairnbayv1.KeyResponse {
	b.mu.Lock()
	defer b.mu.Unlock()
	pending.abandoned = true
	select {
	case answer := <-pending.responses:
		if answer.GetVerdict() == VerdictRun {
			b.endRun(pending.hash, pending.claimID, func(*entry) { delete(b.entries, pending.hash) })
		}
	default:
	}
	return newResponse(VerdictNotRun, "caller_left")
}

// lookupOrQueue returns a response if the key has an entry, or a channel that is closed
// when the running request with the same key and digest ends. Without a valid entry, it
// queues the claim for the next write and returns nil, nil.
func (b *bucket) lookupOrQueue(pending *pendingClaim) (<-chan struct{}, *cairnbayv1.KeyResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pending.responses = nil
	if existing := b.entries[pending.hash]; existing != nil && !b.expired(existing.record) {
		b.expireRun(existing)
		if existing.done != nil && bytes.Equal(existing.record.GetDigest(), pending.digest) {
			joinsTotal.Inc()
			return existing.done, nil
		}
		return nil, existing.verdictFor(pending)
	}
	pending.responses = make(chan *cairnbayv1.KeyResponse, 1)
	b.waiting = append(b.waiting, pending)
	b.wakeWriter()
	return nil, nil
}

// expireRun marks a run as unknown if its outcome was not reported within maxRunTime,
// for instance because the member that ran the request has crashed. The lock must be
// held.
func (b *bucket) expireRun(running *entry) {
	if running.done == nil || b.keys.config.Clock.Now()-running.startedAt < maxRunTime {
		return
	}
	b.endRun(keyHash(running.record.GetHash()), running.record.GetClaim(), func(entry *entry) {
		entry.record.State = cairnbayv1.KeyState_KEY_STATE_UNKNOWN
	})
}

// verdictFor returns the verdict on a claim of a key that has an entry but no
// request to wait for.
func (e *entry) verdictFor(pending *pendingClaim) *cairnbayv1.KeyResponse {
	switch {
	case !bytes.Equal(e.record.GetDigest(), pending.digest):
		return newResponse(VerdictReused, "the key came with another request")
	case e.answer != nil:
		return e.answer
	case e.record.GetState() == cairnbayv1.KeyState_KEY_STATE_DONE:
		return &cairnbayv1.KeyResponse{Verdict: VerdictUnknown, Reason: "ran_answer_not_kept", Status: e.record.GetStatus()}
	default:
		return newResponse(VerdictUnknown, "may_have_run")
	}
}

func (b *bucket) expired(record *cairnbayv1.KeyEntry) bool {
	return record.GetExpiresUnixMs() <= b.keys.config.Clock.Wall().UnixMilli()
}

// finish applies the reported outcome, if the request still holds the claim.
func (b *bucket) finish(request *cairnbayv1.KeyRequest) {
	hash := hashKey(request.GetService(), request.GetKey())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endRun(hash, request.GetClaim(), func(entry *entry) {
		switch request.GetOutcome() {
		case VerdictNotRun:
			delete(b.entries, hash)
		case VerdictDone:
			entry.record.State = cairnbayv1.KeyState_KEY_STATE_DONE
			entry.record.Status = request.GetStatus()
			b.cacheAnswer(entry, request)
		default:
			entry.record.State = cairnbayv1.KeyState_KEY_STATE_UNKNOWN
		}
	})
}

// endRun applies the outcome of the run that holds the claim, closes its done channel
// and schedules a write. It does nothing if the claim has no run. The lock must be
// held.
func (b *bucket) endRun(hash keyHash, claimID uint64, apply func(*entry)) {
	existing := b.entries[hash]
	if existing == nil || existing.done == nil || existing.record.GetClaim() != claimID {
		return
	}
	apply(existing)
	close(existing.done)
	existing.done = nil
	b.dirty = true
	b.wakeWriter()
}

// cacheAnswer caches the answer and evicts the oldest answers above maxCachedBytes.
func (b *bucket) cacheAnswer(entry *entry, request *cairnbayv1.KeyRequest) {
	if len(request.GetBody()) > maxAnswerBytes {
		return
	}
	entry.answer = &cairnbayv1.KeyResponse{
		Verdict: VerdictDone, Status: request.GetStatus(), Headers: request.GetHeaders(), Body: request.GetBody(),
	}
	b.cached = append(b.cached, entry)
	b.cachedBytes += answerSize(entry)
	for b.cachedBytes > maxCachedBytes && len(b.cached) > 1 {
		oldest := b.cached[0]
		b.cached = b.cached[1:]
		b.cachedBytes -= answerSize(oldest)
		oldest.answer = nil
	}
}

func answerSize(entry *entry) int {
	return len(entry.answer.GetBody()) + len(entry.answer.GetHeaders())
}

// wakeWriter starts the writer, or interrupts the outcome delay of a running writer.
// The lock must be held.
func (b *bucket) wakeWriter() {
	if b.keys.ctx.Err() != nil {
		b.refuse(b.takeWaiting())
		return
	}
	if b.writing {
		select {
		case b.wakeup <- struct{}{}:
		default:
		}
		return
	}
	b.writing = true
	b.keys.writers.Go(b.runWriter)
}

// runWriter writes until there are no claims or outcomes left to write.
func (b *bucket) runWriter() {
	for {
		b.mu.Lock()
		hasClaims := len(b.waiting) > 0
		if b.keys.ctx.Err() != nil {
			b.refuse(b.takeWaiting())
		}
		if b.keys.ctx.Err() != nil || !hasClaims && !b.dirty {
			b.writing = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		if !hasClaims {
			b.delay(outcomeDelay, b.wakeup)
		}
		b.delay(b.keys.config.BatchWindow, nil)
		b.write()
	}
}

// delay waits for the duration, so that more claims and outcomes share the next write.
// It ends early on a wakeup or on Close; a nil wakeup never ends it.
func (b *bucket) delay(duration time.Duration, wakeup <-chan struct{}) {
	if duration <= 0 {
		return
	}
	due := make(chan struct{})
	clock := b.keys.config.Clock
	cancel := clock.At(clock.Now()+duration, func(time.Duration) { close(due) })
	defer cancel()
	select {
	case <-due:
	case <-wakeup:
	case <-b.keys.ctx.Done():
	}
}

func (b *bucket) takeWaiting() []*pendingClaim {
	waiting := b.waiting
	b.waiting = nil
	return waiting
}

// refuse responds to the claims with VerdictNotRun, reason store_unavailable.
func (b *bucket) refuse(waiting []*pendingClaim) {
	for _, pending := range waiting {
		pending.responses <- newResponse(VerdictNotRun, "store_unavailable")
	}
}

// newRecord returns the record to store for a pending claim.
func (b *bucket) newRecord(pending *pendingClaim) *cairnbayv1.KeyEntry {
	return &cairnbayv1.KeyEntry{
		Hash:          pending.hash[:],
		Digest:        pending.digest,
		State:         cairnbayv1.KeyState_KEY_STATE_CLAIMED,
		ExpiresUnixMs: b.keys.config.Clock.Wall().Add(pending.ttl).UnixMilli(),
		Claim:         pending.claimID,
		Home:          b.keys.config.Life,
	}
}
