package route

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"cairnbay"
)

// Causes of failed exchanges and cancelled requests.
const (
	errDeadline   = errors.ConstError("deadline passed")
	errNoProgress = errors.ConstError("no progress in time")
	errStopping   = errors.ConstError("entry instance stops")
)

// watchdog cancels an exchange that makes no progress for its timeout. Progress is
// the receipt of response headers, or a part of the answer written to the caller.
type watchdog struct {
	clock  cairnbay.Clock
	cancel context.CancelCauseFunc
	// onTimeout is called before an exchange without progress is cancelled.
	onTimeout func()
	// lastProgress is a time on clock, as time.Duration.
	lastProgress atomic.Int64

	mu        sync.Mutex
	timeout   time.Duration
	stopTimer func()
	stopped   bool
}

func newWatchdog(clock cairnbay.Clock, cancel context.CancelCauseFunc, onTimeout func()) *watchdog {
	watchdog := &watchdog{clock: clock, cancel: cancel, onTimeout: onTimeout}
	watchdog.recordProgress()
	return watchdog
}

// addTimeoutHook adds a function that is called after onTimeout.
func (w *watchdog) addTimeoutHook(hook func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	onTimeout := w.onTimeout
	w.onTimeout = func() {
		onTimeout()
		hook()
	}
}

// recordProgress stores the time of the progress. It takes no lock and leaves the
// timer alone, which checkProgress starts again when it fires too early.
func (w *watchdog) recordProgress() {
	w.lastProgress.Store(int64(w.clock.Now()))
}

// setTimeout cancels the exchange once it has made no progress for timeout, which
// starts at the last recorded progress.
func (w *watchdog) setTimeout(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timeout = timeout
	if w.stopTimer != nil {
		w.stopTimer()
	}
	w.startTimer()
}

// startTimer starts the timer for the rest of the timeout. The caller holds mu.
func (w *watchdog) startTimer() {
	if !w.stopped {
		w.stopTimer = w.clock.At(time.Duration(w.lastProgress.Load())+w.timeout, w.checkProgress)
	}
}

// checkProgress is called by the timer. It cancels the exchange if the timeout has
// passed since the last progress, else it restarts the timer.
func (w *watchdog) checkProgress(now time.Duration) {
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	if now-time.Duration(w.lastProgress.Load()) < w.timeout {
		w.startTimer()
		w.mu.Unlock()
		return
	}
	w.stopped = true
	onTimeout := w.onTimeout
	w.mu.Unlock()
	onTimeout()
	w.cancel(errNoProgress)
}

// stop releases the timer; the exchange is no longer cancelled.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.stopTimer != nil {
		w.stopTimer()
	}
}
