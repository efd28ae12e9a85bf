// Package record keeps the journal of a worker class in the store: segments of
// records, written only while the writer's generation is the newest.
package record

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	jujuerrors "github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// Prefix is where the journal of a class lies.
func Prefix(class string) string {
	return "cairnbay/journal/" + class + "/"
}

// Journal is what the store holds of a class.
type Journal struct {
	// Records are all that counts, oldest first.
	Records []*cairnbayv1.WorkRecord
	// SegmentKeys are the segments, also those that a reset has made needless.
	SegmentKeys []string
}

// Load reads the whole journal of a class.
func Load(ctx context.Context, store cairnbay.Store, class string) (Journal, error) {
	listing, err := store.List(ctx, Prefix(class))
	if err != nil {
		return Journal{}, jujuerrors.Annotatef(err, "journal of %s", class)
	}
	var journal Journal
	segments := make([]*cairnbayv1.WorkSegment, 0, len(listing.Entries))
	reset := ""
	for _, entry := range listing.Entries {
		segment := &cairnbayv1.WorkSegment{}
		if err := proto.Unmarshal(entry.Value, segment); err != nil {
			return Journal{}, jujuerrors.Annotatef(err, "journal segment %s", entry.Key)
		}
		for _, one := range segment.GetRecords() {
			reset = max(reset, one.GetRestartAt())
		}
		segments = append(segments, segment)
		journal.SegmentKeys = append(journal.SegmentKeys, entry.Key)
	}
	for i, segment := range segments {
		if journal.SegmentKeys[i] >= reset {
			journal.Records = append(journal.Records, segment.GetRecords()...)
		}
	}
	return journal, nil
}

// Config sets up a Writer.
type Config struct {
	Store cairnbay.Store
	// Commit writes a batch; it is part of cairnbay.BatchStore.
	Commit     func(ctx context.Context, batch cairnbay.Batch) (cairnbay.Revision, error)
	Class      string
	Generation uint64
	// Fence is the key, with its revision, that changes with the owner.
	Fence cairnbay.Expectation
	Log   *logrus.Entry
}

// Writer appends records. Records handed in while a write is under way share
// the next one.
type Writer struct {
	config   Config
	cancel   context.CancelFunc
	done     sync.WaitGroup
	wake     chan struct{}
	sequence uint64
	// stalledSince is when the present write was first tried, in nanoseconds
	// since the epoch, 0 while there is none.
	stalledSince atomic.Int64
	writes       atomic.Uint64

	mu      sync.Mutex
	pending []entry
	lost    bool
	// keys are the segments in the store.
	keys []string
}

// entry is what one Append handed in.
type entry struct {
	records []*cairnbayv1.WorkRecord
	done    func(error)
	bytes   int
	// withdrawable entries are given up when the store refuses to write.
	withdrawable bool
	// rewrite says that the records stand for the whole journal so far.
	rewrite bool
}

const (
	// maxSegmentBytes keeps a segment well under the store's value limit.
	maxSegmentBytes = 256 << 10
	// writeTimeout bounds one try; the store answers in milliseconds, and a
	// retry is harmless since the key of the segment is new.
	writeTimeout = 800 * time.Millisecond
	// retryFirst and retryMost are the pauses between failed tries.
	retryFirst = 40 * time.Millisecond
	retryMost  = 200 * time.Millisecond
	// maxRemoved is how many segments one call removes; the store takes 32 entries
	// a call.
	maxRemoved = 24
	// withdrawAfter is the try at whose refusal records that are worth nothing
	// later are given up; a single refusal may pass.
	withdrawAfter = 3
	// gather is how long a write waits for more records; it bounds the rate of
	// calls at about twenty a second.
	gather = 40 * time.Millisecond
)

// New starts a writer.
func New(config Config) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Writer{config: config, cancel: cancel, wake: make(chan struct{}, 1)}
	w.done.Go(func() { w.run(ctx) })
	return w
}

// Append queues records. done is called once they are stored (nil), are
// certainly not stored since another owner has begun (ErrFenced), or the writer
// was closed before either is known (ErrUnknown).
func (w *Writer) Append(records []*cairnbayv1.WorkRecord, done func(error)) {
	w.append(entry{records: records, done: done})
}

// TryAppend is Append for records that are worth nothing later: when the store
// refuses to write them, done is called with ErrUnavailable, and they are
// certainly not stored.
func (w *Writer) TryAppend(records []*cairnbayv1.WorkRecord, done func(error)) {
	w.append(entry{records: records, done: done, withdrawable: true})
}

// Compact replaces all that was appended so far, by this owner and those before,
// with records that say the same. Older segments are removed afterwards.
func (w *Writer) Compact(records []*cairnbayv1.WorkRecord, done func(error)) {
	w.append(entry{records: records, done: done, rewrite: true})
}

// Segments counts the segments in the store.
func (w *Writer) Segments() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.keys)
}

// AddSegments tells the writer the segments of former owners.
func (w *Writer) AddSegments(keys []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keys = append(slices.Clone(keys), w.keys...)
}

func (w *Writer) append(added entry) {
	for _, record := range added.records {
		added.bytes += proto.Size(record)
	}
	w.mu.Lock()
	lost := w.lost
	if !lost {
		w.pending = append(w.pending, added)
	}
	w.mu.Unlock()
	if lost {
		// Callers may hold a lock that done takes.
		go added.done(cairnbay.ErrFenced)
		return
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// StalledFor is how long the write under way has been tried, 0 while there is
// none.
func (w *Writer) StalledFor() time.Duration {
	since := w.stalledSince.Load()
	if since == 0 {
		return 0
	}
	return time.Duration(time.Now().UnixNano() - since)
}

// Writes counts the segments written.
func (w *Writer) Writes() uint64 {
	return w.writes.Load()
}

// Close gives up what is not stored.
func (w *Writer) Close() {
	w.cancel()
	w.done.Wait()
	w.fail(nil, cairnbay.ErrUnknown)
}

// Flush waits until all that was appended is stored, or the context ends.
func (w *Writer) Flush(ctx context.Context) error {
	stored := make(chan error, 1)
	w.Append(nil, func(err error) { stored <- err })
	select {
	case err := <-stored:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *Writer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		if !sleep(ctx, gather) {
			return
		}
		for {
			batch := w.take()
			if len(batch) == 0 {
				break
			}
			write := w.write
			if batch[0].rewrite {
				write = w.rewrite
			}
			left, err := write(ctx, batch)
			if err != nil {
				w.fail(left, err)
				return
			}
			for _, entry := range left {
				entry.done(nil)
			}
		}
	}
}

// take removes the entries of the next segment from the queue; a rewrite stands
// alone.
func (w *Writer) take() []entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	size, count := 0, 0
	for count < len(w.pending) && (count == 0 || size+w.pending[count].bytes <= maxSegmentBytes) {
		if w.pending[count].rewrite && count > 0 {
			break
		}
		size += w.pending[count].bytes
		count++
		if w.pending[count-1].rewrite {
			break
		}
	}
	batch := w.pending[:count:count]
	w.pending = w.pending[count:]
	return batch
}

// fail ends the writer and tells everyone who waits.
func (w *Writer) fail(batch []entry, err error) {
	w.mu.Lock()
	w.lost = true
	rest := w.pending
	w.pending = nil
	w.mu.Unlock()
	for _, entry := range append(batch, rest...) {
		entry.done(err)
	}
}

// write stores one segment and returns the entries that it holds. It returns
// ErrFenced once another owner has begun and the segment is certainly not
// stored, ErrUnknown when the writer closes.
func (w *Writer) write(ctx context.Context, batch []entry) ([]entry, error) {
	key := w.nextKey()
	w.stalledSince.Store(time.Now().UnixNano())
	defer w.stalledSince.Store(0)
	value, err := encode(batch)
	if err != nil || len(value) == 0 {
		return batch, err
	}
	pause := retryFirst
	// certain says that the store has refused every try, so that the segment can
	// still be changed.
	certain := true
	for try := 1; ; try++ {
		err := w.try(ctx, key, value)
		if err == nil {
			w.writes.Add(1)
			w.mu.Lock()
			w.keys = append(w.keys, key)
			w.mu.Unlock()
			if try > 1 {
				w.config.Log.WithFields(logrus.Fields{"class": w.config.Class, "tries": try}).Info("journal regained")
			}
			return batch, nil
		}
		if errors.Is(err, cairnbay.ErrFenced) {
			return batch, err
		}
		if try == 1 {
			w.config.Log.WithError(err).WithField("class", w.config.Class).Warn("journal write failed")
		}
		certain = certain && (errors.Is(err, cairnbay.ErrUnavailable) || errors.Is(err, cairnbay.ErrRateLimited))
		if certain && try >= withdrawAfter {
			batch = w.withdraw(batch, err)
			if value, err = encode(batch); err != nil || len(value) == 0 {
				return batch, err
			}
		}
		if !sleep(ctx, pause) {
			return batch, cairnbay.ErrUnknown
		}
		pause = min(2*pause, retryMost)
	}
}

func (w *Writer) nextKey() string {
	w.sequence++
	return fmt.Sprintf("%s%08x-%08x", Prefix(w.config.Class), w.config.Generation, w.sequence)
}

// rewrite stores the records of a rewrite in as many segments as they need. The
// last one makes all older segments needless, so that a rewrite that is broken
// off changes nothing.
func (w *Writer) rewrite(ctx context.Context, batch []entry) ([]entry, error) {
	first := fmt.Sprintf("%s%08x-%08x", Prefix(w.config.Class), w.config.Generation, w.sequence+1)
	records := append(slices.Clone(batch[0].records), &cairnbayv1.WorkRecord{RestartAt: first})
	for len(records) > 0 {
		size, count := 0, 0
		for count < len(records) && (count == 0 || size+proto.Size(records[count]) <= maxSegmentBytes) {
			size += proto.Size(records[count])
			count++
		}
		if _, err := w.write(ctx, []entry{{records: records[:count]}}); err != nil {
			return batch, err
		}
		records = records[count:]
	}
	w.remove(ctx, first)
	return batch, nil
}

// remove deletes the segments before a key. What is left by a failure is deleted
// with the next rewrite.
func (w *Writer) remove(ctx context.Context, first string) {
	w.mu.Lock()
	old := slices.DeleteFunc(slices.Clone(w.keys), func(key string) bool { return key >= first })
	w.mu.Unlock()
	for len(old) > 0 {
		some := old[:min(len(old), maxRemoved)]
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		_, err := w.config.Commit(ctx, cairnbay.Batch{Expect: []cairnbay.Expectation{w.config.Fence}, Delete: some})
		cancel()
		if err != nil {
			w.config.Log.WithError(err).WithField("class", w.config.Class).Warn("old journal segments not removed")
			return
		}
		w.mu.Lock()
		w.keys = slices.DeleteFunc(w.keys, func(key string) bool { return slices.Contains(some, key) })
		w.mu.Unlock()
		old = old[len(some):]
	}
}

// withdraw gives up the entries that are worth nothing later, of the batch and
// of those that wait, and returns the rest of the batch.
func (w *Writer) withdraw(batch []entry, cause error) []entry {
	var kept, given []entry
	split := func(entries []entry) (kept []entry) {
		for _, entry := range entries {
			if entry.withdrawable {
				given = append(given, entry)
			} else {
				kept = append(kept, entry)
			}
		}
		return kept
	}
	kept = split(batch)
	w.mu.Lock()
	w.pending = split(w.pending)
	w.mu.Unlock()
	for _, entry := range given {
		entry.done(jujuerrors.Annotate(cairnbay.ErrUnavailable, cause.Error()))
	}
	return kept
}

// encode returns the segment of a batch, nil if it has no records.
func encode(batch []entry) ([]byte, error) {
	segment := &cairnbayv1.WorkSegment{}
	for _, entry := range batch {
		segment.Records = append(segment.Records, entry.records...)
	}
	if len(segment.GetRecords()) == 0 {
		return nil, nil
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(segment)
	return value, jujuerrors.Annotate(err, "journal segment")
}

// try writes the segment once. After a conflict the segment may be there, from
// an earlier try whose answer was lost.
func (w *Writer) try(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := w.config.Commit(ctx, cairnbay.Batch{
		Expect: []cairnbay.Expectation{w.config.Fence, {Key: key}},
		Puts:   []cairnbay.Put{{Key: key, Value: value}},
	})
	if !errors.Is(err, cairnbay.ErrConflict) {
		return err
	}
	stored, err := w.config.Store.Get(ctx, key)
	switch {
	case err == nil && bytes.Equal(stored.Value, value):
		return nil
	case err == nil, errors.Is(err, cairnbay.ErrNotFound):
		return jujuerrors.Annotatef(cairnbay.ErrFenced, "journal of %s", w.config.Class)
	default:
		return err
	}
}

// sleep waits, and returns false if the context ended first.
func sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}
