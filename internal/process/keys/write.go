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

// write stores the waiting claims and the unwritten outcomes with one compare-and-swap
// and responds to each claim. After a conflict or an unconfirmed write it tries again,
// up to maxWriteAttempts times; then it refuses the claims.
func (b *bucket) write() {
	b.mu.Lock()
	batch := b.takeWaiting()
	b.mu.Unlock()
	for range maxWriteAttempts {
		if !b.load() {
			break
		}
		var records map[*pendingClaim]*cairnbayv1.KeyEntry
		batch, records = b.resolve(batch)
		if len(records) == 0 && !b.isDirty() {
			return
		}
		if b.put(records) {
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

// resolve responds to the claims that can be decided from memory, and returns the
// others with a new record for each. If the request of the key is running, or an
// earlier claim of the batch has the same key, it sends nil, and the key is looked up
// again.
func (b *bucket) resolve(batch []*pendingClaim) ([]*pendingClaim, map[*pendingClaim]*cairnbayv1.KeyEntry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var remaining []*pendingClaim
	records := map[*pendingClaim]*cairnbayv1.KeyEntry{}
	claimed := map[keyHash]bool{}
	for _, pending := range batch {
		existing := b.entries[pending.hash]
		switch {
		case claimed[pending.hash], existing != nil && existing.done != nil && !b.expired(existing.record):
			pending.responses <- nil
		case existing != nil && !b.expired(existing.record):
			pending.responses <- existing.verdictFor(pending)
		default:
			claimed[pending.hash] = true
			records[pending] = b.newRecord(pending)
			remaining = append(remaining, pending)
		}
	}
	return remaining, records
}

// put writes the bucket with the records of new claims. It returns true when every claim
// has its response: granted after a confirmed write, or refused because the store is
// unavailable or the bucket full. It returns false after a conflict or an unconfirmed
// write; the claims must then be resolved again.
func (b *bucket) put(records map[*pendingClaim]*cairnbayv1.KeyEntry) bool {
	writeID := rand.Uint64()
	value, err := b.encode(records, writeID)
	if err != nil || len(value) > maxBucketBytes {
		b.refuseClaims(records)
		return true
	}
	ctx, cancel := context.WithTimeout(b.keys.ctx, storeTimeout)
	defer cancel()
	storeWritesTotal.Inc()
	revision, err := b.keys.config.Store.Put(ctx, b.storeKey, value, b.revision, 0)
	switch {
	case err == nil:
		b.revision = revision
		b.grant(records)
		return true
	case errors.Is(err, cairnbay.ErrUnavailable), errors.Is(err, cairnbay.ErrRateLimited):
		b.markDirty()
		b.refuseClaims(records)
		return true
	}
	b.markDirty()
	b.loaded = false
	if !errors.Is(err, cairnbay.ErrConflict) && b.load() && b.isLastWrite(writeID) {
		b.grant(records)
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

// refuseClaims is like refuse, for claims that already have a record.
func (b *bucket) refuseClaims(records map[*pendingClaim]*cairnbayv1.KeyEntry) {
	for pending := range records {
		pending.responses <- newResponse(VerdictNotRun, "store_unavailable")
	}
}

// grant creates the entries of confirmed claims and sends their verdicts. Abandoned
// claims get no entry, and the next write removes them from the store.
func (b *bucket) grant(records map[*pendingClaim]*cairnbayv1.KeyEntry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for pending, record := range records {
		if pending.abandoned {
			b.dirty = true
			continue
		}
		b.entries[pending.hash] = &entry{record: record, done: make(chan struct{}), startedAt: b.keys.config.Clock.Now()}
		pending.responses <- newResponse(VerdictRun, "")
	}
}

// encode returns the value to store: the entries of the bucket and the records of new
// claims. Expired entries are removed.
func (b *bucket) encode(records map[*pendingClaim]*cairnbayv1.KeyEntry, writeID uint64) ([]byte, error) {
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
	for _, record := range records {
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
	storeReadsTotal.Inc()
	stored, err := b.keys.config.Store.Get(ctx, b.storeKey)
	if err != nil && !errors.Is(err, cairnbay.ErrNotFound) {
		return false
	}
	value := &cairnbayv1.KeyBucket{}
	if err == nil {
		if err := proto.Unmarshal(stored.Value, value); err != nil {
			b.keys.config.Log.WithError(err).WithField("key", b.storeKey).Error("cannot decode a stored bucket of idempotency keys; new claims in it are refused")
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

// merge replaces the entries with the stored ones. Entries of claims that this process
// granted are kept, unless the run has ended and another process has stored a record
// for the key. Stored records of this process are skipped: one that is not in memory
// was never granted, or has been released.
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
