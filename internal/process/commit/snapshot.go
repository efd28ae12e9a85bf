package commit

import (
	"context"

	"github.com/juju/errors"

	"cairnbay"
)

// addToTail appends a confirmed write to the tail and drops the oldest writes beyond
// ringSlots.
func (s *storedJournal) addToTail(write storedWrite) {
	s.tail = append(s.tail, write)
	if len(s.tail) > ringSlots {
		s.tail = append([]storedWrite(nil), s.tail[len(s.tail)-ringSlots:]...)
	}
}

// snapshotIfNeeded writes a snapshot once snapshotEvery writes have followed the
// previous snapshot. A failed snapshot is attempted again before the next write. It
// is an error only when the ring is full, because the next write would overwrite a
// slot that no snapshot covers.
func (j *Journal) snapshotIfNeeded(ctx context.Context) error {
	j.mu.Lock()
	sinceSnapshot := j.stored.state.Sequence - j.stored.snapshotSequence
	j.mu.Unlock()
	if sinceSnapshot < snapshotEvery {
		return nil
	}
	err := j.writeSnapshot(ctx)
	if err == nil || sinceSnapshot < ringSlots {
		return nil
	}
	return errors.Annotatef(err, "snapshot of shard %q", j.config.Shard)
}

// writeSnapshot writes the confirmed state to the buffer that does not hold the
// newest snapshot.
func (j *Journal) writeSnapshot(ctx context.Context) error {
	state := j.State()
	j.mu.Lock()
	buffer := 1 - j.stored.snapshotBuffer
	j.mu.Unlock()
	for _, part := range snapshot(state, j.writer) {
		if err := j.putPart(ctx, snapshotKey(j.config.Shard, buffer, part.Part), part); err != nil {
			return err
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stored.snapshotSequence, j.stored.snapshotBuffer = state.Sequence, buffer
	j.metrics.snapshots.Inc()
	return nil
}

// putPart writes a part of a snapshot. After any failed put it refreshes the key's
// revision, because an earlier attempt or a previous owner may have written the key.
func (j *Journal) putPart(ctx context.Context, key string, part *segment) error {
	value, err := part.encode()
	if err != nil {
		return err
	}
	revision, err := j.putValue(ctx, key, value, j.revision(key))
	if err != nil {
		j.refreshRevision(ctx, key, part.Generation)
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stored.revisions[key] = revision
	return nil
}

// refreshRevision reads a snapshot key and stores its revision, so that the next put
// replaces the part. It changes nothing when the read or the decoding fails or when a
// later generation wrote the part.
func (j *Journal) refreshRevision(ctx context.Context, key string, generation uint64) {
	callCtx, cancel := j.withTimeout(ctx)
	defer cancel()
	entry, err := j.config.Store.Get(callCtx, key)
	if errors.Is(err, cairnbay.ErrNotFound) {
		return
	}
	if err != nil {
		return
	}
	found, err := decodeSegment(entry.Value)
	if err != nil || found.Generation > generation {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stored.revisions[key] = entry.Revision
}
