package agent

import (
	"fmt"
	"strconv"
	"time"

	"cairnbay"
)

// run is an attempt that runs on a worker.
type run struct {
	attempt int
	// started is when the worker carried out the start.
	started time.Duration
	// began and ends are not used for a member of a gang, which is set for one. base is
	// the share of the work that was done at began: before a checkpoint, or at another
	// speed of the worker.
	began, ends time.Duration
	base        float64
	// resumed is the saved progress in percent with which the attempt began.
	resumed int
	gang    *gang
}

// lastsFrom is the run time from which a task counts as one that lasts.
const lastsFrom = time.Hour

// maxCopies is the number of attempts that a task may have at a time if it may be copied.
const maxCopies = 2

// percent is the progress that a worker shows of a run.
func (r run) percent(now time.Duration) int {
	if r.gang != nil {
		return r.gang.percent(now)
	}
	if r.base == 0 {
		return percent(r.began, r.ends, now)
	}
	return int(100 * r.share(now))
}

func percent(began, ends, now time.Duration) int {
	if ends-began >= lastsFrom {
		return 100
	}
	return int(100 * max(now-began, 0) / max(ends-began, 1))
}

// share is the part of the work that is done.
func (r run) share(now time.Duration) float64 {
	left := float64(r.ends-max(now, r.began)) / float64(max(r.ends-r.began, 1))
	return 1 - (1-r.base)*max(left, 0)
}

// schedule sets when a run begins to work and ends.
func (f *Fleet) schedule(w *worker, order cairnbay.AgentStart, one *run) {
	one.began = f.config.Now()
	if saved, err := strconv.Atoi(order.Checkpoint); err == nil {
		one.resumed, one.base = saved, float64(saved)/100
		one.began += f.config.ResumeTime
	}
	one.ends = one.began + time.Duration((1-one.base)*w.speedFactor()*float64(f.runTime(w, order.Task)))
}

// speedFactor multiplies the run times on the worker.
func (w *worker) speedFactor() float64 {
	if w.slowness == 0 {
		return 1
	}
	return w.slowness
}

// Slow multiplies the run times on a worker from now on, also of what is left of the
// single tasks that run there; 1 is the usual speed.
func (f *Fleet) Slow(id string, slowness float64) {
	f.set(id, func(w *worker) {
		now, former := f.config.Now(), w.speedFactor()
		w.slowness = slowness
		for task, one := range w.running {
			if one.gang != nil {
				continue
			}
			if now > one.began {
				one.base, one.began = one.share(now), now
			}
			one.ends = one.began + time.Duration(float64(one.ends-one.began)*slowness/former)
			w.running[task] = one
		}
	})
}

// checkpoint is the progress in percent that a run has saved, empty for none.
func (f *Fleet) checkpoint(task cairnbay.WorkflowTask, one run) string {
	if f.config.Saves == nil || one.gang != nil {
		return ""
	}
	interval := f.config.Saves(task)
	if interval <= 0 {
		return ""
	}
	total := f.config.RunTime(task)
	done := time.Duration(one.share(f.config.Now()) * float64(total))
	saved := max(int(100*(done-done%interval)/max(total, 1)), one.resumed)
	if saved <= 0 {
		return ""
	}
	return strconv.Itoa(saved)
}

func (f *Fleet) mayCopy(task cairnbay.WorkflowTask) bool {
	return f.config.Copies != nil && f.config.Copies(task)
}

// judgeCopies notes a start of a task that has as many attempts elsewhere as it may have.
func (f *Fleet) judgeCopies(target cairnbay.AgentTarget, order cairnbay.AgentStart) {
	allowed := 1
	if f.mayCopy(order.Task) {
		allowed = maxCopies
	}
	var elsewhere []string
	for id, w := range f.workers {
		if _, ok := w.running[order.Task]; ok && !w.gone {
			elsewhere = append(elsewhere, id)
		}
	}
	if len(elsewhere) >= allowed {
		f.broken = append(f.broken, fmt.Sprintf("%v started on %s while it runs on %v", order.Task, target.Worker, elsewhere))
	}
}

// HasEnds reports whether a worker has ends that are not acknowledged. It may be asked
// for all workers at one time, so only the first call at a time settles.
func (f *Fleet) HasEnds(id string, acked uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := f.config.Now(); f.polledAt != now {
		f.polledAt = now
		f.settle()
	}
	w := f.current[cairnbay.WorkerName(id)]
	return len(w.ends) > 0 && w.ends[len(w.ends)-1].Sequence > acked
}

// Unsaved is the time that an attempt has run beyond its saved progress; 0 if the task
// does not run on the worker.
func (f *Fleet) Unsaved(id string, task cairnbay.WorkflowTask) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	w := f.current[cairnbay.WorkerName(id)]
	one, ok := w.running[task]
	if !ok {
		return 0
	}
	now := f.config.Now()
	saved, err := strconv.Atoi(f.checkpoint(task, one))
	if err != nil {
		return now - one.started
	}
	unsaved := one.share(now) - float64(saved)/100
	return min(time.Duration(unsaved*w.speedFactor()*float64(f.config.RunTime(task))), now-one.started)
}
