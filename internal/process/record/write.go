package record

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	jujuerrors "github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// write is one atomic change of the store: a segment with queued entries, the next
// segment of the rewrite under way, and the removal of segments that a rewrite has
// made obsolete. Each part may be absent.
type write struct {
	sequence uint64
	// key is that of the segment with the entries.
	key     string
	entries []entry
	// rewriteKey is the key of the rewrite's segment, rewriteRecords its records.
	rewriteKey     string
	rewriteRecords []*cairnbayv1.WorkRecord
	// remove is sorted.
	remove []string
	// puts are the segments in encoded form.
	puts []cairnbay.Put
}

func (w *Writer) nextKey() string {
	w.sequence++
	return fmt.Sprintf("%s%08x-%08x", Prefix(w.config.Shard), w.config.Generation, w.sequence)
}

// startWrite starts the next write. The channel is closed when it is finished.
func (w *Writer) startWrite(ctx context.Context) <-chan struct{} {
	finished := make(chan struct{})
	w.slots <- struct{}{}
	next := w.nextWrite()
	w.done.Go(func() {
		defer close(finished)
		if next != nil {
			w.finish(next, w.store(ctx, next))
		}
		<-w.slots
	})
	return finished
}

// nextWrite takes the next batch from the queue, and the next part of the rewrite
// unless one is in flight; nil if the batch only begins a rewrite.
func (w *Writer) nextWrite() *write {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch := w.nextBatch()
	if len(batch) == 1 && batch[0].rewrite {
		w.rewrite = newRewrite(w.nextKey(), batch[0].records, batch[0].done)
		return nil
	}
	next := &write{key: w.nextKey(), sequence: w.sequence, entries: batch}
	w.inFlight[next.sequence] = time.Now()
	if w.rewrite != nil && !w.rewriteInFlight {
		w.rewriteInFlight = true
		next.rewriteKey, next.rewriteRecords = w.rewrite.nextSegment()
		next.remove = w.rewrite.obsolete[:min(len(w.rewrite.obsolete), maxRemovedPerWrite)]
	}
	return next
}

// encode sets the puts of a write.
func (next *write) encode() error {
	next.puts = nil
	var records []*cairnbayv1.WorkRecord
	for _, entry := range next.entries {
		records = append(records, entry.records...)
	}
	if err := next.put(next.key, records); err != nil {
		return err
	}
	return next.put(next.rewriteKey, next.rewriteRecords)
}

func (next *write) empty() bool {
	return len(next.puts) == 0 && len(next.remove) == 0
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

// finish confirms the entries of a write, or stops the writer if the write failed.
func (w *Writer) finish(ended *write, err error) {
	w.mu.Lock()
	delete(w.inFlight, ended.sequence)
	w.mu.Unlock()
	if err != nil {
		w.stop(ended, err)
		return
	}
	w.writes.Add(uint64(len(ended.puts)))
	rewritten := w.apply(ended)
	for _, entry := range ended.entries {
		entry.done(nil)
	}
	if rewritten != nil {
		rewritten.done(nil)
	}
}

// stop stops the writer after a failed write.
func (w *Writer) stop(failed *write, err error) {
	overtaken := errors.Is(err, errOvertaken)
	if (overtaken || errors.Is(err, cairnbay.ErrFenced)) && w.config.OnFenced != nil {
		w.config.OnFenced()
	}
	if !overtaken {
		w.fail(failed.entries, err)
		return
	}
	w.fail(nil, cairnbay.ErrFenced)
	for _, entry := range failed.entries {
		entry.done(err)
	}
}

// apply updates the list of keys and the rewrite under way after a write. It
// returns the rewrite if this was its last part.
func (w *Writer) apply(stored *write) *rewrite {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, put := range stored.puts {
		w.keys = append(w.keys, put.Key)
		if put.Key == stored.key {
			w.growth += len(put.Value)
		}
	}
	if len(stored.remove) > 0 {
		w.keys = slices.DeleteFunc(w.keys, func(key string) bool {
			_, found := slices.BinarySearch(stored.remove, key)
			return found
		})
	}
	rewrite := w.rewrite
	if rewrite == nil || len(stored.rewriteRecords) == 0 && len(stored.remove) == 0 {
		return nil
	}
	w.rewriteInFlight = false
	rewrite.obsolete = rewrite.obsolete[len(stored.remove):]
	if len(stored.rewriteRecords) > 0 {
		rewrite.segmentStored(len(stored.rewriteRecords), w.keys)
	}
	if len(rewrite.records) > 0 || len(rewrite.obsolete) > 0 {
		return nil
	}
	w.rewrite = nil
	return rewrite
}
