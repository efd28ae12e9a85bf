// Package record stores the journal of a shard: segments of records in
// the store, written only while the writer belongs to the newest owner.
package record

import (
	"context"
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

// Config sets up a Writer.
type Config struct {
	Store cairnbay.Store
	// Commit writes a batch, as cairnbay.BatchStore does.
	Commit     func(ctx context.Context, batch cairnbay.Batch) (cairnbay.Revision, error)
	Shard      string
	Generation uint64
	// Fence is the store key that every new owner writes, and the revision at which
	// this owner wrote it. Each journal write expects that revision.
	Fence cairnbay.Expectation
	// OnFenced is called when the store has refused a write because of a newer owner,
	// before the entries fail. It may be called several times and must not call Close,
	// which waits for it; nil for none.
	OnFenced func()
	Log      *logrus.Entry
}

// Writer appends records to the journal. Records that are queued during a write
// share the next one. While the store is slow, several writes are in flight.
type Writer struct {
	config   Config
	cancel   context.CancelFunc
	done     sync.WaitGroup
	wake     chan struct{}
	sequence uint64
	writes   atomic.Uint64
	// slots bounds the writes in flight.
	slots chan struct{}

	mu      sync.Mutex
	pending []entry
	// stopped says that the writer was fenced or closed.
	stopped bool
	// keys are the keys of the segments in the store.
	keys []string
	// growth is the size of the records stored since the last call of Compact.
	growth int
	// rewrite is the rewrite under way, nil without one. rewriteInFlight says that
	// a write in flight has a part of it.
	rewrite         *rewrite
	rewriteInFlight bool
	// inFlight holds the start times of the writes in flight, by sequence.
	inFlight map[uint64]time.Time
	// latency is the duration of recent writes: it rises at once and falls slowly.
	latency time.Duration
	// revision is the latest one at which records were stored.
	revision cairnbay.Revision
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
	// writeTimeout bounds one try of a write. A retry is safe since the write
	// expects that the segment does not exist.
	writeTimeout = 800 * time.Millisecond
	// minRepeatInterval is the time without an answer after which a write is tried
	// again beside the earlier tries: their connection may be dead, and a store
	// that was silent answers only new calls. With a slow store it is stallFactor
	// times the recent latency.
	minRepeatInterval = 250 * time.Millisecond
	// maxUnanswered bounds the tries of a write that are under way at a time.
	maxUnanswered = 2
	// minRetryPause is the pause after the first failed try; it doubles up to
	// maxRetryPause.
	minRetryPause = 40 * time.Millisecond
	maxRetryPause = 200 * time.Millisecond
	// maxRewriteSegmentBytes is the size of a rewrite's segments. It is small, since
	// each shares a call with the records that are queued meanwhile and takes time
	// on a slow link.
	maxRewriteSegmentBytes = 32 << 10
	// maxRemovedPerWrite is how many obsolete segments one write removes. With the
	// fence, its segments and their expectations they stay below the store's limit
	// of 32 entries a call.
	maxRemovedPerWrite = 24
	// withdrawAfter is the number of refused tries after which withdrawable entries
	// are dropped; a single refusal may be transient.
	withdrawAfter = 3
	// batchDelay is how long a write waits for more records when the queue was
	// empty, which limits the rate of calls at low load to about twenty a second.
	// Records queued during a write are written next without a delay.
	batchDelay = 40 * time.Millisecond
	// maxInFlight bounds the writes in flight. More than one is in flight only if
	// recent writes took longer than batchDelay, which is then their interval.
	maxInFlight = 8
	// minStall is how long a write must be in flight for the store to count as
	// stalled, many times its usual latency; with a slow store it is stallFactor
	// times the recent latency.
	minStall    = 300 * time.Millisecond
	stallFactor = 2
	// latencySmoothing is the number of writes over which a higher latency is
	// forgotten.
	latencySmoothing = 4
)

// New starts a writer. Close stops it.
func New(config Config) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Writer{
		config: config, cancel: cancel, wake: make(chan struct{}, 1),
		slots: make(chan struct{}, maxInFlight), inFlight: make(map[uint64]time.Time),
	}
	w.done.Go(func() { w.run(ctx) })
	return w
}

// Append queues records. done is called once: with nil when they are stored; with
// ErrFenced when a newer owner exists or the writer had stopped before, and they
// are certainly not stored; with ErrUnknown when the writer is closed while they
// are queued or being written, or when a newer owner exists and they may have been
// stored before its claim; or with the error of encoding them.
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
// with equivalent records, and then removes the older segments. It does so in
// small steps beside the writes of other records. done is called as by Append,
// once the older segments are removed.
func (w *Writer) Compact(records []*cairnbayv1.WorkRecord, done func(error)) {
	w.mu.Lock()
	w.growth = 0
	w.mu.Unlock()
	w.append(entry{records: records, done: done, rewrite: true})
}

// Segments returns the number of segments in the store.
func (w *Writer) Segments() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.keys)
}

// Growth returns the number of bytes that the journal has grown by since the last
// call of Compact.
func (w *Writer) Growth() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.growth
}

// AddSegments adds the segments that former owners stored, so that Segments and
// Growth count them and Compact removes them.
func (w *Writer) AddSegments(keys []string, size int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keys = append(slices.Clone(keys), w.keys...)
	w.growth += size
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

// Stalled reports whether the store has not answered a write for much longer than
// recent writes took. A store that is only slow does not count.
func (w *Writer) Stalled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := max(minStall, stallFactor*w.latency)
	for _, startedAt := range w.inFlight {
		if time.Since(startedAt) > limit {
			return true
		}
	}
	return false
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

// run writes the queued records, and the rewrite under way, until the writer is
// closed or fenced. Between the parts of a rewrite it pauses like an idle writer,
// so that a rewrite never takes the store's time from records.
func (w *Writer) run(ctx context.Context) {
	for {
		if _, rewriting := w.state(); !rewriting {
			select {
			case <-ctx.Done():
				return
			case <-w.wake:
			}
		}
		if !sleep(ctx, batchDelay) {
			return
		}
		for first := true; ; first = false {
			if queued, rewriting := w.state(); !queued && (!first || !rewriting) {
				break
			}
			if !w.awaitTurn(ctx, w.startWrite(ctx)) {
				return
			}
		}
	}
}

// state reports whether records are queued and whether a rewrite is under way.
func (w *Writer) state() (queued, rewriting bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending) > 0, w.rewrite != nil
}

// awaitTurn waits until the next write may start: when the last one is finished or,
// with a store that is slower than batchDelay, after batchDelay. It returns false
// when the writer has stopped.
func (w *Writer) awaitTurn(ctx context.Context, finished <-chan struct{}) bool {
	w.mu.Lock()
	slow := w.latency > batchDelay
	w.mu.Unlock()
	var interval <-chan time.Time
	if slow {
		interval = time.After(batchDelay)
	}
	select {
	case <-finished:
	case <-interval:
	case <-ctx.Done():
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.stopped
}

// nextBatch removes the entries of the next segment from the queue. A rewrite is a
// batch of its own, and stays queued while another is under way. The caller holds
// the lock.
func (w *Writer) nextBatch() []entry {
	size, count := 0, 0
	for count < len(w.pending) && (count == 0 || size+w.pending[count].bytes <= maxSegmentBytes) {
		if w.pending[count].rewrite && (count > 0 || w.rewrite != nil) {
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
	failed := slices.Concat(batch, w.pending)
	w.pending = nil
	if w.rewrite != nil {
		failed = append(failed, entry{done: w.rewrite.done})
		w.rewrite = nil
	}
	w.mu.Unlock()
	for _, entry := range failed {
		entry.done(err)
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
