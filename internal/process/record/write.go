package record

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	jujuerrors "github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// write is one atomic change of the store: a segment with queued entries, the next
// segment of the rewrite under way, and the removal of segments that a rewrite has
// made obsolete. Each part may be absent.
type write struct {
	entries []entry
	// key is that of the segment with the entries.
	key string
	// rewriteRecords counts the records in the rewrite's segment.
	rewriteRecords int
	puts           []cairnbay.Put
	// remove is sorted.
	remove []string
}

func (w *Writer) nextKey() string {
	w.sequence++
	return fmt.Sprintf("%s%08x-%08x", Prefix(w.config.Class), w.config.Generation, w.sequence)
}

// writeNext stores the next write. It returns false when the writer has stopped.
func (w *Writer) writeNext(ctx context.Context) bool {
	batch := w.nextBatch()
	if len(batch) == 1 && batch[0].rewrite {
		w.rewrite = newRewrite(w.nextKey(), batch[0].records, batch[0].done)
		return true
	}
	next := write{entries: batch, key: w.nextKey()}
	err := w.prepare(&next)
	if err == nil && (len(next.puts) > 0 || len(next.remove) > 0) {
		err = w.store(ctx, &next)
	}
	if err != nil {
		w.fail(next.entries, err)
		return false
	}
	w.finish(&next)
	return true
}

// prepare sets the changes of a write from its entries and the rewrite under way.
func (w *Writer) prepare(next *write) error {
	next.puts, next.remove, next.rewriteRecords = nil, nil, 0
	var records []*cairnbayv1.WorkRecord
	for _, entry := range next.entries {
		records = append(records, entry.records...)
	}
	if err := next.put(next.key, records); err != nil {
		return err
	}
	if w.rewrite == nil {
		return nil
	}
	key, records := w.rewrite.nextSegment()
	next.rewriteRecords = len(records)
	next.remove = w.rewrite.obsolete[:min(len(w.rewrite.obsolete), maxRemovedPerWrite)]
	return next.put(key, records)
}

// put adds a segment, unless it has no records.
func (next *write) put(key string, records []*cairnbayv1.WorkRecord) error {
	if len(records) == 0 {
		return nil
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(&cairnbayv1.WorkSegment{Records: records})
	if err != nil {
		return jujuerrors.Annotate(err, "journal segment")
	}
	next.puts = append(next.puts, cairnbay.Put{Key: key, Value: value})
	return nil
}

// finish applies a stored write to the lists of keys and to the rewrite, and
// confirms its entries.
func (w *Writer) finish(stored *write) {
	w.writes.Add(uint64(len(stored.puts)))
	w.mu.Lock()
	for _, put := range stored.puts {
		w.keys = append(w.keys, put.Key)
	}
	if len(stored.remove) > 0 {
		w.keys = slices.DeleteFunc(w.keys, func(key string) bool {
			_, found := slices.BinarySearch(stored.remove, key)
			return found
		})
	}
	keys := w.keys
	w.mu.Unlock()
	for _, entry := range stored.entries {
		entry.done(nil)
	}
	if w.rewrite == nil {
		return
	}
	w.rewrite.obsolete = w.rewrite.obsolete[len(stored.remove):]
	if stored.rewriteRecords > 0 {
		w.rewrite.segmentStored(stored.rewriteRecords, keys)
	}
	if len(w.rewrite.records) == 0 && len(w.rewrite.obsolete) == 0 {
		w.rewrite.done(nil)
		w.rewrite = nil
	}
}

// store makes a write, with retries. Entries that are withdrawn meanwhile are
// removed from it. Errors: ErrFenced when a newer owner exists and the write
// certainly had no effect, ErrUnknown when the writer closes.
func (w *Writer) store(ctx context.Context, next *write) error {
	w.writeStartedAt.Store(time.Now().UnixNano())
	defer w.writeStartedAt.Store(0)
	pause := minRetryPause
	// refusedOnly says that every try had certainly no effect, so that entries can
	// still be withdrawn.
	refusedOnly := true
	for try := 1; ; try++ {
		err := w.tryWrite(ctx, next)
		if err == nil {
			if try > 1 {
				// An earlier try was logged as failed.
				w.config.Log.WithFields(logrus.Fields{"class": w.config.Class, "tries": try}).Info("journal regained")
			}
			return nil
		}
		if errors.Is(err, cairnbay.ErrFenced) {
			return err
		}
		if try == 1 {
			w.config.Log.WithError(err).WithField("class", w.config.Class).Warn("journal write failed")
		}
		refusedOnly = refusedOnly && (errors.Is(err, cairnbay.ErrUnavailable) || errors.Is(err, cairnbay.ErrRateLimited))
		if refusedOnly && try >= withdrawAfter {
			next.entries = w.withdraw(next.entries, err)
			if err := w.prepare(next); err != nil || len(next.puts)+len(next.remove) == 0 {
				return err
			}
		}
		if !sleep(ctx, pause) {
			return cairnbay.ErrUnknown
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// tryWrite makes a write once. On a conflict it checks whether an earlier try,
// whose answer was lost, took effect.
func (w *Writer) tryWrite(ctx context.Context, next *write) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	batch := cairnbay.Batch{Expect: []cairnbay.Expectation{w.config.Fence}, Puts: next.puts, Delete: next.remove}
	for _, put := range next.puts {
		batch.Expect = append(batch.Expect, cairnbay.Expectation{Key: put.Key})
	}
	_, err := w.config.Commit(ctx, batch)
	if !errors.Is(err, cairnbay.ErrConflict) {
		return err
	}
	fenced := jujuerrors.Annotatef(cairnbay.ErrFenced, "journal of %s", w.config.Class)
	if len(next.puts) == 0 {
		return fenced
	}
	// The changes are atomic, so that one key tells about all of them.
	stored, err := w.config.Store.Get(ctx, next.puts[0].Key)
	switch {
	case err == nil && bytes.Equal(stored.Value, next.puts[0].Value):
		return nil
	case err == nil, errors.Is(err, cairnbay.ErrNotFound):
		return fenced
	default:
		return err
	}
}
