package keys

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

const (
	// maxWriteAttempts limits the attempts to write one batch of claims.
	maxWriteAttempts = 4
	// storeTimeout limits one call to the store.
	storeTimeout = 2 * time.Second
)

// write writes the waiting claims and the unwritten outcomes with one compare-and-swap,
// and sends each claim its verdict. It retries after a conflict.
func (b *bucket) write() {
	b.mu.Lock()
	batch := b.takeWaiting()
	b.mu.Unlock()
	for range maxWriteAttempts {
		if !b.load() {
			break
		}
		var claims map[*pendingClaim]*cairnbayv1.KeyEntry
		batch, claims = b.resolve(batch)
		if len(claims) == 0 && !b.isDirty() {
			return
		}
		if b.put(claims) {
			return
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refuse(batch)
}

func (b *bucket) isDirty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dirty
}

// resolve sends the verdict to the claims that can be decided from memory, and returns
// the remaining claims with a new record for each. A claim of a key that is running,
// or that is claimed earlier in the batch, receives nil and looks the key up again.
func (b *bucket) resolve(batch []*pendingClaim) ([]*pendingClaim, map[*pendingClaim]*cairnbayv1.KeyEntry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var remaining []*pendingClaim
	claims := map[*pendingClaim]*cairnbayv1.KeyEntry{}
	claimed := map[keyHash]bool{}
	for _, pending := range batch {
		existing := b.entries[pending.hash]
		switch {
		case claimed[pending.hash], existing != nil && existing.done != nil && !b.expired(existing.record):
			pending.verdict <- nil
		case existing != nil && !b.expired(existing.record):
			pending.verdict <- existing.verdictFor(pending)
		default:
			claimed[pending.hash] = true
			claims[pending] = b.newRecord(pending)
			remaining = append(remaining, pending)
		}
	}
	return remaining, claims
}

// put writes the bucket with the claims, and grants the claims once the write is
// confirmed. It returns false if the claims have to be resolved again.
func (b *bucket) put(claims map[*pendingClaim]*cairnbayv1.KeyEntry) bool {
	writeID := rand.Uint64()
	value, err := b.encode(claims, writeID)
	if err != nil || len(value) > maxBucketBytes {
		b.refuseClaims(claims)
		return true
	}
	ctx, cancel := context.WithTimeout(b.keys.ctx, storeTimeout)
	defer cancel()
	storeWrites.Inc()
	revision, err := b.keys.config.Store.Put(ctx, b.name, value, b.revision, 0)
	switch {
	case err == nil:
		b.revision = revision
		b.grant(claims)
		return true
	case errors.Is(err, cairnbay.ErrUnavailable), errors.Is(err, cairnbay.ErrRateLimited):
		b.markDirty()
		b.refuseClaims(claims)
		return true
	}
	b.markDirty()
	b.loaded = false
	if !errors.Is(err, cairnbay.ErrConflict) && b.load() && b.isLastWrite(writeID) {
		b.grant(claims)
		return true
	}
	return false
}

// markDirty schedules another write of the outcomes, after a write that failed or was
// not confirmed.
func (b *bucket) markDirty() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dirty = true
}

func (b *bucket) refuseClaims(claims map[*pendingClaim]*cairnbayv1.KeyEntry) {
	for pending := range claims {
		pending.verdict <- verdict(VerdictNotRun, "store_unavailable")
	}
}

// grant creates the entries of confirmed claims and sends their verdicts. Abandoned
// claims get no entry, and the next write removes them from the store.
func (b *bucket) grant(claims map[*pendingClaim]*cairnbayv1.KeyEntry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for pending, record := range claims {
		if pending.abandoned {
			b.dirty = true
			continue
		}
		b.entries[pending.hash] = &entry{record: record, done: make(chan struct{}), startedAt: b.keys.config.Clock.Now()}
		pending.verdict <- verdict(VerdictRun, "")
	}
}

// encode returns the value to store: the entries of the bucket and the claims. Expired
// entries are removed.
func (b *bucket) encode(claims map[*pendingClaim]*cairnbayv1.KeyEntry, writeID uint64) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dirty = false
	value := &cairnbayv1.KeyBucket{Write: writeID}
	for hash, existing := range b.entries {
		if existing.done == nil && b.expired(existing.record) {
			delete(b.entries, hash)
			continue
		}
		value.Entries = append(value.Entries, existing.record)
	}
	for _, record := range claims {
		value.Entries = append(value.Entries, record)
	}
	return proto.Marshal(value)
}

// load reads the bucket from the store unless it is loaded already, and reports
// whether it is loaded.
func (b *bucket) load() bool {
	if b.loaded {
		return true
	}
	ctx, cancel := context.WithTimeout(b.keys.ctx, storeTimeout)
	defer cancel()
	storeReads.Inc()
	stored, err := b.keys.config.Store.Get(ctx, b.name)
	if err != nil && !errors.Is(err, cairnbay.ErrNotFound) {
		return false
	}
	value := &cairnbayv1.KeyBucket{}
	if err == nil {
		if err := proto.Unmarshal(stored.Value, value); err != nil {
			b.keys.config.Log.WithError(err).WithField("key", b.name).Error("cannot decode a bucket of idempotency keys")
			return false
		}
	}
	b.loaded = true
	b.revision = stored.Revision
	b.writeID = value.GetWrite()
	b.merge(value)
	return true
}

// isLastWrite reports whether the last read of the store returned the given write.
func (b *bucket) isLastWrite(writeID uint64) bool {
	return b.writeID == writeID
}

// merge replaces the entries with those from the store, except for claims granted by
// this life, for which memory is authoritative: a stored claim of this life that is not
// in memory was never granted, or has been released.
func (b *bucket) merge(value *cairnbayv1.KeyBucket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := map[keyHash]*entry{}
	for hash, existing := range b.entries {
		if existing.record.GetHome() == b.keys.config.Life {
			own[hash] = existing
		}
	}
	b.entries = own
	for _, record := range value.GetEntries() {
		if record.GetHome() == b.keys.config.Life || len(record.GetHash()) != len(keyHash{}) {
			continue
		}
		hash := keyHash(record.GetHash())
		if existing := b.entries[hash]; existing == nil || existing.done == nil {
			b.entries[hash] = &entry{record: record}
		}
	}
}
