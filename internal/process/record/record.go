// Package record stores the journal of a worker class: segments of records in
// the store, written only while the writer belongs to the newest owner.
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

// Prefix returns the prefix of the store keys of a class's journal.
func Prefix(class string) string {
	return "cairnbay/journal/" + class + "/"
}

// Journal is the stored journal of a class.
type Journal struct {
	// Records are, oldest first, those of the last complete rewrite and all later
	// ones; all records if there was no rewrite.
	Records []*cairnbayv1.WorkRecord
	// SegmentKeys are the store keys of all segments, including those that a
	// rewrite has superseded and not removed yet.
	SegmentKeys []string
}

// Load reads the whole journal of a class. It returns the store's error, or that
// of a segment that cannot be decoded.
func Load(ctx context.Context, store cairnbay.Store, class string) (Journal, error) {
	listing, err := store.List(ctx, Prefix(class))
	if err != nil {
		return Journal{}, jujuerrors.Annotatef(err, "journal of %s", class)
	}
	var journal Journal
	segments := make([]*cairnbayv1.WorkSegment, 0, len(listing.Entries))
	// A rewrite ends with the record that names its first segment, so an incomplete
	// one is ignored. The latest complete one has the greatest key.
	restartAt := ""
	for _, entry := range listing.Entries {
		segment := &cairnbayv1.WorkSegment{}
		if err := proto.Unmarshal(entry.Value, segment); err != nil {
			return Journal{}, jujuerrors.Annotatef(err, "journal segment %s", entry.Key)
		}
		for _, record := range segment.GetRecords() {
			restartAt = max(restartAt, record.GetRestartAt())
		}
		segments = append(segments, segment)
		journal.SegmentKeys = append(journal.SegmentKeys, entry.Key)
	}
	for i, segment := range segments {
		if journal.SegmentKeys[i] >= restartAt {
			journal.Records = append(journal.Records, segment.GetRecords()...)
		}
	}
	return journal, nil
}

// Config sets up a Writer.
type Config struct {
	Store cairnbay.Store
	// Commit writes a batch, as cairnbay.BatchStore does.
	Commit     func(ctx context.Context, batch cairnbay.Batch) (cairnbay.Revision, error)
	Class      string
	Generation uint64
	// Fence is the store key that every new owner writes, and the revision at which
	// this owner wrote it. Each journal write expects that revision.
	Fence cairnbay.Expectation
	Log   *logrus.Entry
}

// Writer appends records to the journal. Records that are queued during a write
// share the next one.
type Writer struct {
	config   Config
	cancel   context.CancelFunc
	done     sync.WaitGroup
	wake     chan struct{}
	sequence uint64
	// writeStartedAt is when the first try of the write under way began, in
	// nanoseconds since the Unix epoch; 0 while there is no write.
	writeStartedAt atomic.Int64
	writes         atomic.Uint64

	mu      sync.Mutex
	pending []entry
	// stopped says that the writer was fenced or closed.
	stopped bool
	// keys are the keys of the segments in the store, oldest first.
	keys []string
}

// entry is the records of one Append, TryAppend or Compact.
type entry struct {
	records []*cairnbayv1.WorkRecord
	done    func(error)
	// bytes is the encoded size of the records.
	bytes int
	// withdrawable entries are dropped after withdrawAfter refused tries.
	withdrawable bool
	// rewrite says that the records replace the whole journal so far.
	rewrite bool
}

const (
	// maxSegmentBytes is well below cairnbay.MaxValueBytes. A single entry that is
	// larger still becomes one segment.
	maxSegmentBytes = 256 << 10
	// writeTimeout bounds one try of a write. The store answers in milliseconds,
	// and a retry is safe since the write expects that the segment does not exist.
	writeTimeout = 800 * time.Millisecond
	// minRetryPause is the pause after the first failed try; it doubles up to
	// maxRetryPause.
	minRetryPause = 40 * time.Millisecond
	maxRetryPause = 200 * time.Millisecond
	// maxRemovedPerCall is how many segments one call removes. With the fence they
	// stay below the store's limit of 32 entries a call.
	maxRemovedPerCall = 24
	// withdrawAfter is the number of refused tries after which withdrawable entries
	// are dropped; a single refusal may be transient.
	withdrawAfter = 3
	// batchDelay is how long a write waits for more records when the queue was
	// empty, which limits the rate of calls at low load to about twenty a second.
	// Records queued during a write are written next without a delay.
	batchDelay = 40 * time.Millisecond
)

// New starts a writer. Close stops it.
func New(config Config) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Writer{config: config, cancel: cancel, wake: make(chan struct{}, 1)}
	w.done.Go(func() { w.run(ctx) })
	return w
}

// Append queues records. done is called once: with nil when they are stored; with
// ErrFenced when a newer owner exists or the writer had stopped before, and they
// are certainly not stored; with ErrUnknown when the writer is closed while they
// are queued or being written; or with the error of encoding them.
func (w *Writer) Append(records []*cairnbayv1.WorkRecord, done func(error)) {
	w.append(entry{records: records, done: done})
}

// TryAppend is Append for records that should fail rather than wait for an
// unavailable store. When the store has refused several tries, done is called with
// ErrUnavailable, and the records are certainly not stored.
func (w *Writer) TryAppend(records []*cairnbayv1.WorkRecord, done func(error)) {
	w.append(entry{records: records, done: done, withdrawable: true})
}

// Compact replaces everything appended so far, by this owner and earlier ones,
// with equivalent records, and then removes the older segments. done is called
// as by Append.
func (w *Writer) Compact(records []*cairnbayv1.WorkRecord, done func(error)) {
	w.append(entry{records: records, done: done, rewrite: true})
}

// Segments returns the number of segments in the store.
func (w *Writer) Segments() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.keys)
}

// AddSegments adds the keys of the segments that former owners stored, so that
// Segments counts them and Compact removes them.
func (w *Writer) AddSegments(keys []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keys = append(slices.Clone(keys), w.keys...)
}

// append adds an entry to the queue; a stopped writer fails it with ErrFenced.
func (w *Writer) append(queued entry) {
	for _, record := range queued.records {
		queued.bytes += proto.Size(record)
	}
	w.mu.Lock()
	stopped := w.stopped
	if !stopped {
		w.pending = append(w.pending, queued)
	}
	w.mu.Unlock()
	if stopped {
		// A caller may hold a lock that done acquires.
		go queued.done(cairnbay.ErrFenced)
		return
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// StalledFor returns the time since the first try of the write under way began; 0
// while there is no write.
func (w *Writer) StalledFor() time.Duration {
	since := w.writeStartedAt.Load()
	if since == 0 {
		return 0
	}
	return time.Duration(time.Now().UnixNano() - since)
}

// Writes returns the number of segments that this writer stored.
func (w *Writer) Writes() uint64 {
	return w.writes.Load()
}

// Close stops the writer. Entries that are not stored fail with ErrUnknown.
func (w *Writer) Close() {
	w.cancel()
	w.done.Wait()
	w.fail(nil, cairnbay.ErrUnknown)
}

// Flush waits until everything appended so far is stored. Errors: those of
// Append, or the context's error when it ends first.
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
		if !sleep(ctx, batchDelay) {
			return
		}
		for {
			batch := w.nextBatch()
			if len(batch) == 0 {
				break
			}
			write := w.write
			if batch[0].rewrite {
				write = w.rewrite
			}
			remaining, err := write(ctx, batch)
			if err != nil {
				w.fail(remaining, err)
				return
			}
			for _, entry := range remaining {
				entry.done(nil)
			}
		}
	}
}

// nextBatch removes the entries of the next segment from the queue; a rewrite is
// a batch of its own.
func (w *Writer) nextBatch() []entry {
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

// fail stops the writer, and fails the batch and all queued entries with err.
func (w *Writer) fail(batch []entry, err error) {
	w.mu.Lock()
	w.stopped = true
	pending := w.pending
	w.pending = nil
	w.mu.Unlock()
	for _, entry := range append(batch, pending...) {
		entry.done(err)
	}
}

// write stores one segment, with retries, and returns the entries of the batch
// that were not withdrawn. Errors: ErrFenced when a newer owner exists and the
// segment is certainly not stored, ErrUnknown when the writer closes.
func (w *Writer) write(ctx context.Context, batch []entry) ([]entry, error) {
	key := w.nextKey()
	w.writeStartedAt.Store(time.Now().UnixNano())
	defer w.writeStartedAt.Store(0)
	value, err := encode(batch)
	if err != nil || len(value) == 0 {
		return batch, err
	}
	pause := minRetryPause
	// refusedOnly says that every try had certainly no effect, so that entries can
	// still be withdrawn from the segment.
	refusedOnly := true
	for try := 1; ; try++ {
		err := w.tryWrite(ctx, key, value)
		if err == nil {
			w.writes.Add(1)
			w.mu.Lock()
			w.keys = append(w.keys, key)
			w.mu.Unlock()
			if try > 1 {
				// An earlier try was logged as failed.
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
		refusedOnly = refusedOnly && (errors.Is(err, cairnbay.ErrUnavailable) || errors.Is(err, cairnbay.ErrRateLimited))
		if refusedOnly && try >= withdrawAfter {
			batch = w.withdraw(batch, err)
			if value, err = encode(batch); err != nil || len(value) == 0 {
				return batch, err
			}
		}
		if !sleep(ctx, pause) {
			return batch, cairnbay.ErrUnknown
		}
		pause = min(2*pause, maxRetryPause)
	}
}

func (w *Writer) nextKey() string {
	w.sequence++
	return fmt.Sprintf("%s%08x-%08x", Prefix(w.config.Class), w.config.Generation, w.sequence)
}

// rewrite stores the records of a rewrite in as many segments as they need. The
// last record supersedes all older segments, so that an interrupted rewrite
// changes nothing.
func (w *Writer) rewrite(ctx context.Context, batch []entry) ([]entry, error) {
	firstKey := fmt.Sprintf("%s%08x-%08x", Prefix(w.config.Class), w.config.Generation, w.sequence+1)
	records := append(slices.Clone(batch[0].records), &cairnbayv1.WorkRecord{RestartAt: firstKey})
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
	w.removeBefore(ctx, firstKey)
	return batch, nil
}

// removeBefore deletes the segments before a key. Segments that a failure leaves
// behind are deleted by the next rewrite.
func (w *Writer) removeBefore(ctx context.Context, firstKey string) {
	w.mu.Lock()
	obsolete := slices.DeleteFunc(slices.Clone(w.keys), func(key string) bool { return key >= firstKey })
	w.mu.Unlock()
	for len(obsolete) > 0 {
		chunk := obsolete[:min(len(obsolete), maxRemovedPerCall)]
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		_, err := w.config.Commit(ctx, cairnbay.Batch{Expect: []cairnbay.Expectation{w.config.Fence}, Delete: chunk})
		cancel()
		if err != nil {
			w.config.Log.WithError(err).WithField("class", w.config.Class).Warn("old journal segments not removed")
			return
		}
		w.mu.Lock()
		w.keys = slices.DeleteFunc(w.keys, func(key string) bool { return slices.Contains(chunk, key) })
		w.mu.Unlock()
		obsolete = obsolete[len(chunk):]
	}
}

// withdraw removes the withdrawable entries from the batch and the queue, fails
// them with ErrUnavailable, and returns the rest of the batch.
func (w *Writer) withdraw(batch []entry, cause error) []entry {
	var remaining, withdrawn []entry
	split := func(entries []entry) (rest []entry) {
		for _, entry := range entries {
			if entry.withdrawable {
				withdrawn = append(withdrawn, entry)
			} else {
				rest = append(rest, entry)
			}
		}
		return rest
	}
	remaining = split(batch)
	w.mu.Lock()
	w.pending = split(w.pending)
	w.mu.Unlock()
	for _, entry := range withdrawn {
		entry.done(jujuerrors.Annotate(cairnbay.ErrUnavailable, cause.Error()))
	}
	return remaining
}

// encode returns the encoded segment of a batch; nil if the batch has no records.
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

// tryWrite writes the segment once. On a conflict it checks whether an earlier
// try, whose answer was lost, has stored the segment.
func (w *Writer) tryWrite(ctx context.Context, key string, value []byte) error {
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

// sleep waits for the pause; it returns false if the context ends first.
func sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}
