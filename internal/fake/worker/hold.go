package worker

import (
	"context"
	"time"

	"cairnbay"
)

// wake makes held answers look again.
func (w *Worker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// hold waits until a held answer has to go out.
func (w *Worker) hold(ctx context.Context, request cairnbay.RenewRequest) {
	deadline := w.config.Clock.Now() + request.Wait
	for ctx.Err() == nil {
		changed, due, ready := w.ready(request, deadline)
		if ready {
			return
		}
		passed := make(chan struct{})
		cancel := w.config.Clock.At(due, func(time.Duration) { close(passed) })
		select {
		case <-ctx.Done():
		case <-changed:
		case <-passed:
		}
		cancel()
	}
}

// ready says whether a held answer has to go out, else when to look again.
func (w *Worker) ready(request cairnbay.RenewRequest, deadline time.Duration) (changed chan struct{}, due time.Duration, ready bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Paused {
		return w.changed, deadline, false
	}
	w.advance()
	if w.sequence > request.Seen || w.accepted != request.Epoch || w.config.Clock.Now() >= deadline {
		return nil, 0, true
	}
	due = deadline
	for _, run := range w.running {
		due = min(due, run.ends, run.lapses)
	}
	return w.changed, due, false
}

// look answers a renewal that was held. Errors: ErrFenced.
func (w *Worker) look(request cairnbay.RenewRequest) (cairnbay.RenewAnswer, error) {
	w.advance()
	answer := cairnbay.RenewAnswer{Accepted: w.accepted}
	if err := w.admit("renew", request.Epoch, 0); err != nil {
		return answer, err
	}
	w.report(&answer, request)
	return answer, nil
}
