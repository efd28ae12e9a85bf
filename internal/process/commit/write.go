package commit

import (
	"context"
	"time"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/process/timer"
)

// run writes what is due until the context ends or the journal is fenced.
func (j *Journal) run(ctx context.Context) {
	for ctx.Err() == nil && j.alive() {
		wait, any := j.untilDue()
		if any && wait <= 0 {
			j.flush(ctx)
			continue
		}
		cancel := func() {}
		if any {
			cancel = j.config.Clock.At(j.config.Clock.Now()+wait, func(time.Duration) { j.nudge() })
		}
		select {
		case <-ctx.Done():
		case <-j.wake:
		}
		cancel()
	}
}

func (j *Journal) alive() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.fault == nil
}

// untilDue is the time until the next write; ok is false when none waits.
func (j *Journal) untilDue() (wait time.Duration, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.pending) == 0 {
		return 0, false
	}
	due := j.pending[0].since + j.config.MaxLazyDelay
	for _, ticket := range j.pending {
		if ticket.urgent {
			due = min(due, ticket.since)
		}
	}
	due = max(due, j.last+j.config.MinInterval, j.notUntil)
	return due - j.config.Clock.Now(), true
}

// flush writes the records that wait, as far as one write holds them.
func (j *Journal) flush(ctx context.Context) {
	if err := j.snapshotIfNeeded(ctx); err != nil {
		j.refused(err)
		return
	}
	batch, write := j.take()
	started := j.config.Clock.Now()
	err := j.put(ctx, write)
	switch {
	case err == nil:
		j.confirmed(batch, j.config.Clock.Now()-started)
	case errors.Is(err, cairnbay.ErrFenced):
		j.config.Log.WithField("shard", j.config.Shard).Warn("journal taken over by another member")
		j.giveBack(batch, false)
		j.fail(cairnbay.ErrFenced)
	default:
		j.giveBack(batch, errors.Is(err, cairnbay.ErrUnknown))
		j.refused(err)
	}
}

// take moves waiting tickets into a write. A write that may have reached the
// store goes out again as it was.
func (j *Journal) take() ([]*Ticket, *segment) {
	j.mu.Lock()
	defer j.mu.Unlock()
	write := &segment{
		Generation: j.at.state.Generation, Sequence: j.at.state.Sequence + 1, Writer: j.writer,
	}
	retry := j.pending[0].maybe
	count, weight := 0, 0
	for _, ticket := range j.pending {
		weight += ticket.weight()
		if count > 0 && weight > maxWeightPerWrite {
			break
		}
		if retry && !ticket.maybe {
			break
		}
		write.Records = append(write.Records, ticket.records...)
		count++
	}
	batch := j.pending[:count:count]
	j.pending = j.pending[count:]
	return batch, write
}

func (j *Journal) confirmed(batch []*Ticket, took time.Duration) {
	j.mu.Lock()
	j.last = j.config.Clock.Now()
	j.down = false
	j.mu.Unlock()
	j.metrics.wrote(len(batch), took)
	for _, ticket := range batch {
		ticket.done(nil)
	}
}

// giveBack puts a batch that was not confirmed back to the front. Once a try
// may have reached the store, a later refusal does not change that.
func (j *Journal) giveBack(batch []*Ticket, maybe bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, ticket := range batch {
		ticket.maybe = ticket.maybe || maybe
	}
	j.pending = append(batch, j.pending...)
}

// refused waits before the next try.
func (j *Journal) refused(err error) {
	j.metrics.refusals.Inc()
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.down {
		j.config.Log.WithField("shard", j.config.Shard).WithError(err).Warn("journal write refused")
	}
	j.down = true
	j.notUntil = j.config.Clock.Now() + j.config.Backoff
}

// put writes the next slot and settles lost answers by reading back. Errors:
// ErrFenced, ErrUnavailable (certainly not written), ErrUnknown.
func (j *Journal) put(ctx context.Context, write *segment) error {
	value, err := write.encode()
	if err != nil {
		return err
	}
	key := slotKey(j.config.Shard, write.Sequence)
	expect := j.revision(key)
	revision, err := j.call(ctx, key, value, expect)
	if errors.Is(err, cairnbay.ErrConflict) || errors.Is(err, cairnbay.ErrUnknown) {
		revision, err = j.settle(ctx, key, write, expect)
	}
	if err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.at.revisions[key] = revision
	j.at.state.applySegment(write)
	j.at.keep(storedWrite{sequence: write.Sequence, value: value})
	return nil
}

// call makes one put, bounded by the clock. A call that ran out of time may
// have taken effect.
func (j *Journal) call(ctx context.Context, key string, value []byte, expect cairnbay.Revision) (cairnbay.Revision, error) {
	bounded, cancel := j.bound(ctx)
	defer cancel()
	revision, err := j.config.Store.Put(bounded, key, value, expect, 0)
	if err != nil && !certain(err) {
		err = errors.Annotatef(cairnbay.ErrUnknown, "put %q: %v", key, err)
	}
	return revision, err
}

// certain says whether an error leaves no doubt about a write.
func certain(err error) bool {
	for _, known := range []error{
		cairnbay.ErrConflict, cairnbay.ErrUnavailable, cairnbay.ErrRateLimited, cairnbay.ErrTooLarge,
	} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// settle reads a slot back: it holds this write, another member's, or what was
// there before.
func (j *Journal) settle(ctx context.Context, key string, write *segment, expect cairnbay.Revision) (cairnbay.Revision, error) {
	j.metrics.readbacks.Inc()
	bounded, cancel := j.bound(ctx)
	defer cancel()
	entry, err := j.config.Store.Get(bounded, key)
	if errors.Is(err, cairnbay.ErrNotFound) && expect == 0 {
		return 0, errors.Annotatef(cairnbay.ErrUnknown, "put %q: not there yet", key)
	}
	if err != nil {
		return 0, errors.Annotatef(cairnbay.ErrUnknown, "put %q: read back: %v", key, err)
	}
	if entry.Revision == expect {
		return 0, errors.Annotatef(cairnbay.ErrUnknown, "put %q: not there yet", key)
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
	return j.at.revisions[key]
}

// bound limits a store call in time.
func (j *Journal) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	return timer.WithTimeout(ctx, j.config.Clock, j.config.Timeout)
}
