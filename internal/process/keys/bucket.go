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

// entry is one key with what only this life of the home knows of it.
type entry struct {
	kept *cairnbayv1.KeyEntry
	// over is closed when the run that holds the claim has ended; nil when it
	// does not run under this life.
	over chan struct{}
	// began is when the claim was granted.
	began  time.Duration
	answer *cairnbayv1.KeyResponse
}

// pending is one claim that waits to be written.
type pending struct {
	hash    hashOf
	claim   uint64
	digest  []byte
	ttl     time.Duration
	verdict chan *cairnbayv1.KeyResponse
	// left says that nobody waits for the verdict.
	left bool
}

// bucket is the keys of one value of the store.
type bucket struct {
	keys *Keys
	name string

	mu       sync.Mutex
	entries  map[hashOf]*entry
	waiting  []*pending
	writing  bool
	dirty    bool
	answers  []*entry
	answered int

	hurry chan struct{}

	// Only the writer uses what follows.
	loaded   bool
	revision cairnbay.Revision
	// mark is of the write that the store held when it was read last.
	mark uint64
}

func newBucket(keys *Keys, number int) *bucket {
	return &bucket{
		keys:    keys,
		name:    "keys/" + strconv.Itoa(number),
		entries: map[hashOf]*entry{},
		hurry:   make(chan struct{}, 1),
	}
}

const (
	digestBytes = 8
	// runLimit is longer than any request may run.
	runLimit = 6 * time.Minute
)

func shortDigest(digest []byte) []byte {
	return digest[:min(len(digest), digestBytes)]
}

func verdict(name, reason string) *cairnbayv1.KeyResponse {
	return &cairnbayv1.KeyResponse{Verdict: name, Reason: reason}
}

// claim settles a claim from memory, or by the next write.
func (b *bucket) claim(ctx context.Context, request *cairnbayv1.KeyRequest) *cairnbayv1.KeyResponse {
	wanted := &pending{
		hash:   hashKey(request.GetService(), request.GetKey()),
		claim:  request.GetClaim(),
		digest: shortDigest(request.GetBodyDigest()),
		ttl:    b.keys.ttl(request.GetService()),
	}
	for {
		over, known := b.enter(wanted)
		if known != nil {
			return known
		}
		select {
		case <-over:
		case answer := <-wanted.verdict:
			if answer != nil {
				return answer
			}
		case <-ctx.Done():
			return b.abandon(wanted)
		}
	}
}

// abandon is the answer to a claim whose caller left. A claim that was granted
// meanwhile, or is later, is given back, since nothing runs under it.
func (b *bucket) abandon(wanted *pending) *cairnbayv1.KeyResponse {
	b.mu.Lock()
	defer b.mu.Unlock()
	wanted.left = true
	select {
	case answer := <-wanted.verdict:
		if answer.GetVerdict() == VerdictRun {
			b.end(wanted.hash, wanted.claim, func(*entry) { delete(b.entries, wanted.hash) })
		}
	default:
	}
	return verdict(VerdictNotRun, "caller_left")
}

// enter returns the verdict when memory holds it, what to wait for when the key
// runs, and otherwise queues the claim for the next write.
func (b *bucket) enter(wanted *pending) (<-chan struct{}, *cairnbayv1.KeyResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	wanted.verdict = nil
	if known := b.entries[wanted.hash]; known != nil && !b.expired(known.kept) {
		b.giveUp(known)
		if known.over != nil && bytes.Equal(known.kept.GetDigest(), wanted.digest) {
			joins.Inc()
			return known.over, nil
		}
		return nil, known.settled(wanted)
	}
	wanted.verdict = make(chan *cairnbayv1.KeyResponse, 1)
	b.waiting = append(b.waiting, wanted)
	b.wake()
	return nil, nil
}

// giveUp ends a run that nobody has finished for longer than one may take: the
// member that ran it has died, and nobody can tell whether it ran.
func (b *bucket) giveUp(known *entry) {
	if known.over == nil || b.keys.config.Clock.Now()-known.began < runLimit {
		return
	}
	b.end(hashOf(known.kept.GetHash()), known.kept.GetClaim(), func(entry *entry) {
		entry.kept.State = cairnbayv1.KeyState_KEY_STATE_UNKNOWN
	})
}

// settled is the verdict on a key that does not run under this life.
func (e *entry) settled(wanted *pending) *cairnbayv1.KeyResponse {
	switch {
	case !bytes.Equal(e.kept.GetDigest(), wanted.digest):
		return verdict(VerdictReused, "the key came with another request")
	case e.answer != nil:
		return e.answer
	case e.kept.GetState() == cairnbayv1.KeyState_KEY_STATE_DONE:
		return &cairnbayv1.KeyResponse{Verdict: VerdictUnknown, Reason: "ran_answer_not_kept", Status: e.kept.GetStatus()}
	default:
		return verdict(VerdictUnknown, "may_have_run")
	}
}

func (b *bucket) expired(kept *cairnbayv1.KeyEntry) bool {
	return kept.GetExpiresUnixMs() <= b.keys.config.Clock.Wall().UnixMilli()
}

// finish takes the outcome of the run that holds the claim.
func (b *bucket) finish(request *cairnbayv1.KeyRequest) {
	hash := hashKey(request.GetService(), request.GetKey())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(hash, request.GetClaim(), func(entry *entry) {
		switch request.GetOutcome() {
		case VerdictNotRun:
			delete(b.entries, hash)
		case VerdictDone:
			entry.kept.State = cairnbayv1.KeyState_KEY_STATE_DONE
			entry.kept.Status = request.GetStatus()
			b.remember(entry, request)
		default:
			entry.kept.State = cairnbayv1.KeyState_KEY_STATE_UNKNOWN
		}
	})
}

// end applies the outcome of a run, wakes those that joined it, and has the
// outcome written with the next claims or soon. It is called with the lock held.
func (b *bucket) end(hash hashOf, claim uint64, apply func(*entry)) {
	known := b.entries[hash]
	if known == nil || known.over == nil || known.kept.GetClaim() != claim {
		return
	}
	apply(known)
	close(known.over)
	known.over = nil
	b.dirty = true
	b.wake()
}

// remember keeps the answer, and forgets the oldest ones beyond the bound.
func (b *bucket) remember(entry *entry, request *cairnbayv1.KeyRequest) {
	if len(request.GetBody()) > maxAnswerBytes {
		return
	}
	entry.answer = &cairnbayv1.KeyResponse{
		Verdict: VerdictDone, Status: request.GetStatus(), Headers: request.GetHeaders(), Body: request.GetBody(),
	}
	b.answers = append(b.answers, entry)
	b.answered += answerSize(entry)
	for b.answered > answersBytes && len(b.answers) > 1 {
		oldest := b.answers[0]
		b.answers = b.answers[1:]
		b.answered -= answerSize(oldest)
		oldest.answer = nil
	}
}

func answerSize(entry *entry) int {
	return len(entry.answer.GetBody()) + len(entry.answer.GetHeaders())
}

// wake starts the writer unless it runs, and tells one that waits with outcomes
// only that a claim has come. It is called with the lock held.
func (b *bucket) wake() {
	if b.keys.ctx.Err() != nil {
		b.refuse(b.take())
		return
	}
	if b.writing {
		select {
		case b.hurry <- struct{}{}:
		default:
		}
		return
	}
	b.writing = true
	b.keys.group.Go(b.run)
}

// run writes until nothing waits.
func (b *bucket) run() {
	for {
		b.mu.Lock()
		claims := len(b.waiting) > 0
		if b.keys.ctx.Err() != nil {
			b.refuse(b.take())
		}
		if b.keys.ctx.Err() != nil || !claims && !b.dirty {
			b.writing = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		if !claims {
			b.pause(settleDelay, b.hurry)
		}
		b.pause(b.keys.config.BatchWindow, nil)
		b.write()
	}
}

// pause lets claims and outcomes gather that share a write.
func (b *bucket) pause(length time.Duration, hurry <-chan struct{}) {
	if length <= 0 {
		return
	}
	due := make(chan struct{})
	clock := b.keys.config.Clock
	cancel := clock.At(clock.Now()+length, func(time.Duration) { close(due) })
	defer cancel()
	select {
	case <-due:
	case <-hurry:
	case <-b.keys.ctx.Done():
	}
}

func (b *bucket) take() []*pending {
	waiting := b.waiting
	b.waiting = nil
	return waiting
}

func (b *bucket) refuse(waiting []*pending) {
	for _, wanted := range waiting {
		wanted.verdict <- verdict(VerdictNotRun, "store_unavailable")
	}
}

// newEntry is the claim of a pending request.
func (b *bucket) newEntry(wanted *pending) *cairnbayv1.KeyEntry {
	return &cairnbayv1.KeyEntry{
		Hash:          wanted.hash[:],
		Digest:        wanted.digest,
		State:         cairnbayv1.KeyState_KEY_STATE_CLAIMED,
		ExpiresUnixMs: b.keys.config.Clock.Wall().Add(wanted.ttl).UnixMilli(),
		Claim:         wanted.claim,
		Home:          b.keys.config.Life,
	}
}
