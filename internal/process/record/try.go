package record

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	jujuerrors "github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"cairnbay"
)

// errOvertaken says that a newer owner exists and that an earlier try of the write may have
// taken effect before: that owner removes segments once it has rewritten the journal.
var errOvertaken = fmt.Errorf("written before the claim of a newer owner or not at all: %w", cairnbay.ErrUnknown)

// outcome is the result of one try of a write. latency is that of the store, 0 if
// the try does not tell; revision is that of the write.
type outcome struct {
	err      error
	latency  time.Duration
	revision cairnbay.Revision
}

// store makes a write. While no try is answered it repeats the write after
// repeatAfter beside the earlier tries, after a failed try it pauses. Entries
// that are withdrawn meanwhile are removed from the write. Errors: ErrFenced when a
// newer owner exists and the write certainly had no effect, errOvertaken when it may have
// had one, ErrUnknown when the writer closes.
func (w *Writer) store(ctx context.Context, next *write) error {
	if err := next.encode(); err != nil || next.empty() {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome)
	tries, unanswered := 0, 0
	pause := minRetryPause
	// refusedOnly says that every try had certainly no effect, so that entries can
	// still be withdrawn.
	refusedOnly := true
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return cairnbay.ErrUnknown
		case <-timer.C:
			timer.Reset(w.repeatAfter(tries))
			if unanswered < maxUnanswered {
				tries++
				unanswered++
				w.startTry(ctx, next, outcomes)
			}
			continue
		case ended := <-outcomes:
			unanswered--
			if ended.err == nil {
				w.observe(ended)
				if tries > 1 {
					w.config.Log.WithFields(logrus.Fields{"shard": w.config.Shard, "tries": tries}).Info("journal regained")
				}
				return nil
			}
			if errors.Is(ended.err, cairnbay.ErrFenced) {
				if !refusedOnly || unanswered > 0 {
					return errOvertaken
				}
				return ended.err
			}
			if pause == minRetryPause {
				w.config.Log.WithError(ended.err).WithField("shard", w.config.Shard).Warn("journal write failed")
			}
			refusedOnly = refusedOnly && (errors.Is(ended.err, cairnbay.ErrUnavailable) || errors.Is(ended.err, cairnbay.ErrRateLimited))
			if refusedOnly && unanswered == 0 && tries >= withdrawAfter {
				next.entries = w.withdraw(next.entries, ended.err)
				if err := next.encode(); err != nil || next.empty() {
					return err
				}
			}
		}
		if unanswered == 0 {
			timer.Reset(pause)
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// startTry makes a write once in the background.
func (w *Writer) startTry(ctx context.Context, next *write, outcomes chan<- outcome) {
	batch := cairnbay.Batch{Expect: []cairnbay.Expectation{w.config.Fence}, Puts: next.puts, Delete: next.remove}
	for _, put := range next.puts {
		batch.Expect = append(batch.Expect, cairnbay.Expectation{Key: put.Key})
	}
	w.done.Go(func() {
		ended := w.tryWrite(ctx, batch)
		select {
		case outcomes <- ended:
		case <-ctx.Done():
		}
	})
}

// tryWrite makes a write once. On a conflict it checks whether another try, whose
// answer was lost, took effect; it then returns no latency.
func (w *Writer) tryWrite(ctx context.Context, batch cairnbay.Batch) outcome {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	startedAt := time.Now()
	revision, err := w.config.Commit(ctx, batch)
	if !errors.Is(err, cairnbay.ErrConflict) {
		return outcome{err: err, latency: time.Since(startedAt), revision: revision}
	}
	fenced := jujuerrors.Annotatef(cairnbay.ErrFenced, "journal of %s", w.config.Shard)
	if len(batch.Puts) == 0 {
		return outcome{err: fenced}
	}
	// The changes are atomic, so that one key tells about all of them.
	stored, err := w.config.Store.Get(ctx, batch.Puts[0].Key)
	switch {
	case err == nil && bytes.Equal(stored.Value, batch.Puts[0].Value):
		return outcome{revision: stored.Revision}
	case err == nil, errors.Is(err, cairnbay.ErrNotFound):
		return outcome{err: fenced}
	default:
		return outcome{err: err}
	}
}

// repeatAfter is how long a try after earlier ones may go without an answer before
// the next one. It doubles once, since an owner that is short of processor time
// must not spend it on repeats.
func (w *Writer) repeatAfter(earlier int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(minRepeatInterval<<min(earlier, 1), stallFactor*w.latency)
}

// observe updates the revision, and the latency of recent writes. A rise counts at
// once, so that the first slow write is not taken for a stall twice.
func (w *Writer) observe(stored outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision = max(w.revision, stored.revision)
	w.latency = max(stored.latency, w.latency-w.latency/latencySmoothing)
}

// Revision returns the latest revision at which this writer has stored records, 0 before
// the first. Every write expects the fence, so it lies between the revision at which this
// owner wrote the fence and the one at which the next owner will.
func (w *Writer) Revision() cairnbay.Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}
