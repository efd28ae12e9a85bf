package commit

import (
	"context"
	"time"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/process/timer"
)

// run writes queued records when they are due, until the context ends or the
// journal is fenced.
func (j *Journal) run(ctx context.Context) {
	for ctx.Err() == nil && j.isOpen() {
		wait, found := j.untilDue()
		if found && wait <= 0 {
			j.flush(ctx)
			continue
		}
		cancel := func() {}
		if found {
			cancel = j.config.Clock.At(j.config.Clock.Now()+wait, func(time.Duration) { j.notify() })
		}
		select {
		case <-ctx.Done():
		case <-j.wake:
		}
		cancel()
	}
}

func (j *Journal) isOpen() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.terminalErr == nil
}

// untilDue returns the time until the next write, false when no records are queued.
func (j *Journal) untilDue() (wait time.Duration, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.pending) == 0 {
		return 0, false
	}
	due := j.pending[0].queuedAt + j.config.MaxLazyDelay
	for _, ticket := range j.pending {
		if ticket.urgent {
			due = min(due, ticket.queuedAt)
		}
	}
	due = max(due, j.lastWrite+j.config.MinInterval, j.retryAt)
	return due - j.config.Clock.Now(), true
}

// flush writes the queued records, as many as fit into one write.
func (j *Journal) flush(ctx context.Context) {
	if err := j.snapshotIfNeeded(ctx); err != nil {
		j.backOff(err)
		return
	}
	batch, write := j.takeBatch()
	started := j.config.Clock.Now()
	err := j.put(ctx, write)
	switch {
	case err == nil:
		j.confirm(batch, j.config.Clock.Now()-started)
	case errors.Is(err, cairnbay.ErrFenced):
		j.config.Log.WithField("shard", j.config.Shard).Warn("journal taken over by another member")
		j.requeue(batch, false)
		j.terminate(cairnbay.ErrFenced)
	default:
		j.requeue(batch, errors.Is(err, cairnbay.ErrUnknown))
		j.backOff(err)
	}
}

// takeBatch moves tickets from the front of the queue into a write. If the first
// ticket is uncertain, it takes uncertain tickets only, so that the write has the
// same records as the attempt with the unclear outcome.
func (j *Journal) takeBatch() ([]*Ticket, *segment) {
	j.mu.Lock()
	defer j.mu.Unlock()
	write := &segment{
		Generation: j.stored.state.Generation, Sequence: j.stored.state.Sequence + 1, Writer: j.writer,
	}
	retry := j.pending[0].uncertain
	count, weight := 0, 0
	for _, ticket := range j.pending {
		weight += ticket.weight()
		if count > 0 && weight > maxWeightPerWrite {
			break
		}
		if retry && !ticket.uncertain {
			break
		}
		write.Records = append(write.Records, ticket.records...)
		count++
	}
	batch := j.pending[:count:count]
	j.pending = j.pending[count:]
	return batch, write
}

func (j *Journal) confirm(batch []*Ticket, took time.Duration) {
	j.mu.Lock()
	j.lastWrite = j.config.Clock.Now()
	j.storeDown = false
	j.mu.Unlock()
	j.metrics.observeWrite(len(batch), took)
	for _, ticket := range batch {
		ticket.done(nil)
	}
}

// requeue returns an unconfirmed batch to the front of the queue. A ticket stays
// uncertain once one attempt may have reached the store, even when a later attempt
// is refused.
func (j *Journal) requeue(batch []*Ticket, uncertain bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, ticket := range batch {
		ticket.uncertain = ticket.uncertain || uncertain
	}
	j.pending = append(batch, j.pending...)
}

// backOff delays the next attempt after a failed flush.
func (j *Journal) backOff(err error) {
	j.metrics.failedFlushes.Inc()
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.storeDown {
		j.config.Log.WithField("shard", j.config.Shard).WithError(err).Warn("journal write refused")
	}
	j.storeDown = true
	j.retryAt = j.config.Clock.Now() + j.config.Backoff
}

// put writes the next slot. When the outcome is unclear, it reads the slot back.
// Errors: ErrFenced; ErrUnavailable, ErrRateLimited and ErrTooLarge (not written);
// ErrUnknown and ErrInvalid (may have been written).
func (j *Journal) put(ctx context.Context, write *segment) error {
	value, err := write.encode()
	if err != nil {
		return err
	}
	key := slotKey(j.config.Shard, write.Sequence)
	expect := j.revision(key)
	revision, err := j.putValue(ctx, key, value, expect)
	if errors.Is(err, cairnbay.ErrConflict) || errors.Is(err, cairnbay.ErrUnknown) {
		revision, err = j.readBack(ctx, key, write, expect)
	}
	if err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stored.revisions[key] = revision
	j.stored.state.applySegment(write)
	j.stored.addToTail(storedWrite{sequence: write.Sequence, value: value})
	return nil
}

// putValue makes one put call, bounded by Config.Timeout. It returns ErrUnknown when
// the put may have taken effect, for example after a timeout.
func (j *Journal) putValue(ctx context.Context, key string, value []byte, expect cairnbay.Revision) (cairnbay.Revision, error) {
	callCtx, cancel := j.withTimeout(ctx)
	defer cancel()
	revision, err := j.config.Store.Put(callCtx, key, value, expect, 0)
	if err != nil && !provesNotWritten(err) {
		err = errors.Annotatef(cairnbay.ErrUnknown, "put %q: %v", key, err)
	}
	return revision, err
}

// provesNotWritten reports whether an error shows that the put had no effect.
func provesNotWritten(err error) bool {
	for _, sentinel := range []error{
		cairnbay.ErrConflict, cairnbay.ErrUnavailable, cairnbay.ErrRateLimited, cairnbay.ErrTooLarge,
	} {
		if errors.Is(err, sentinel) {
			return true
		}
	}
	return false
}

// readBack reads a slot after a put with an unclear outcome. It returns the slot's
// revision if the slot holds the write, with the same writer and sequence. Errors:
// ErrFenced if it holds another write, ErrUnknown if it is unchanged or cannot be
// read, ErrInvalid if it cannot be decoded.
func (j *Journal) readBack(ctx context.Context, key string, write *segment, expect cairnbay.Revision) (cairnbay.Revision, error) {
	j.metrics.readbacks.Inc()
	callCtx, cancel := j.withTimeout(ctx)
	defer cancel()
	entry, err := j.config.Store.Get(callCtx, key)
	if errors.Is(err, cairnbay.ErrNotFound) && expect == 0 {
		return 0, errors.Annotatef(cairnbay.ErrUnknown, "put %q: not found when read back", key)
	}
	if err != nil {
		return 0, errors.Annotatef(cairnbay.ErrUnknown, "put %q: read back: %v", key, err)
	}
	if entry.Revision == expect {
		return 0, errors.Annotatef(cairnbay.ErrUnknown, "put %q: unchanged when read back", key)
	}
	found, err := decodeSegment(entry.Value)
	if err != nil {
		return 0, err
	}
	if found.Writer == write.Writer && found.Sequence == write.Sequence {
		return entry.Revision, nil
	}
	return 0, errors.Annotatef(cairnbay.ErrFenced, "slot %q was written by %q", key, found.Writer)
}

func (j *Journal) revision(key string) cairnbay.Revision {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stored.revisions[key]
}

// withTimeout bounds a store call by Config.Timeout.
func (j *Journal) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return timer.WithTimeout(ctx, j.config.Clock, j.config.Timeout)
}
