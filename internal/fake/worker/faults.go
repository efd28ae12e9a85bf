package worker

import (
	"context"

	"github.com/juju/errors"

	"cairnbay"
)

// Faults are what is wrong with a worker; the zero value is none.
type Faults struct {
	// Paused holds every call, and the worker's own view of time, until the
	// fault is taken away. Leases lapse in the meantime.
	Paused bool
	// DropRequests loses calls on their way in: they have no effect.
	DropRequests bool
	// DropAnswers loses answers on their way out: calls take effect.
	DropAnswers bool
	// LoseAnswers is the share of answers lost at random, from 0 to 1.
	LoseAnswers float64
	// FailStarts makes every task fail as soon as it is started.
	FailStarts bool
	// NoFencing accepts calls under any epoch.
	NoFencing bool
	// NoCapacityCheck accepts tasks that do not fit.
	NoCapacityCheck bool
}

// SetFaults replaces the worker's faults.
func (w *Worker) SetFaults(faults Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Paused && !faults.Paused {
		close(w.resume)
	}
	if faults.Paused && !w.faults.Paused {
		w.resume = make(chan struct{})
	}
	w.faults = faults
	w.wake()
}

// Kill ends every task and the worker itself, as a power cut does: nothing
// reaches it any more.
func (w *Worker) Kill() {
	w.SetFaults(Faults{DropRequests: true})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, run := range w.running {
		w.end(run, cairnbay.EndLapsed, w.config.Clock.Now())
	}
}

// Faults returns the worker's faults.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// call lets a call through as the faults allow. Errors: ErrUnavailable when it
// had no effect, ErrUnknown when its answer was lost or it still waits.
func call[answer any](ctx context.Context, worker *Worker, serve func() (answer, error)) (answer, error) {
	var none answer
	if err := worker.awaitResume(ctx); err != nil {
		return none, err
	}
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if worker.faults.DropRequests {
		return none, errors.Annotatef(cairnbay.ErrUnavailable, "worker %q", worker.config.ID)
	}
	got, err := serve()
	if worker.faults.DropAnswers || worker.random.Float64() < worker.faults.LoseAnswers {
		return none, errors.Annotatef(cairnbay.ErrUnknown, "worker %q: answer lost", worker.config.ID)
	}
	return got, err
}

func (w *Worker) awaitResume(ctx context.Context) error {
	w.mu.Lock()
	paused, resume := w.faults.Paused, w.resume
	w.mu.Unlock()
	if !paused {
		return nil
	}
	select {
	case <-resume:
		return nil
	case <-ctx.Done():
		return errors.Annotatef(cairnbay.ErrUnavailable, "worker %q is paused", w.config.ID)
	}
}
