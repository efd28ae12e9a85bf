package worker

import (
	"math"
	"sort"
	"time"

	"cairnbay"
)

// forever is the end of a task that runs until it is stopped.
const forever = time.Duration(math.MaxInt64)

// run is one task on the worker.
type run struct {
	start  cairnbay.TaskStart
	record int
	began  time.Duration
	// ends is when the task ends by itself; left is the rest of its run time
	// while it is throttled.
	ends      time.Duration
	left      time.Duration
	lapses    time.Duration
	throttled bool
}

func (r *run) view() cairnbay.RunningTask {
	return cairnbay.RunningTask{
		Task: r.start.Task, Attempt: r.start.Attempt, Size: r.start.Size,
		Throttled: r.throttled, Usage: r.charged(),
	}
}

// charged is what the task takes of the worker.
func (r *run) charged() cairnbay.Resources {
	size := r.start.Size
	if r.throttled {
		size.MilliCPU = 0
	}
	return size
}

// startOne starts a task unless that start was answered before.
func (w *Worker) startOne(task cairnbay.TaskStart, epoch cairnbay.Epoch) cairnbay.StartResult {
	key := startKey{task: task.Task, attempt: task.Attempt}
	if result, repeated := w.answered[key]; repeated {
		return result
	}
	result := w.judge(task)
	w.answered[key] = result
	if result == cairnbay.StartAccepted {
		w.begin(task, epoch)
	}
	return result
}

func (w *Worker) judge(task cairnbay.TaskStart) cairnbay.StartResult {
	if _, runs := w.running[task.Task]; runs {
		return cairnbay.StartRefused
	}
	if !w.charged().Add(task.Size).Fits(w.config.Capacity) && !w.faults.NoCapacityCheck {
		w.records.NoRoom++
		return cairnbay.StartNoRoom
	}
	return cairnbay.StartAccepted
}

func (w *Worker) begin(task cairnbay.TaskStart, epoch cairnbay.Epoch) {
	now := w.config.Clock.Now()
	started := &run{start: task, record: len(w.records.Runs), began: now, ends: forever, lapses: now + task.Lease}
	if w.config.RunTime != nil {
		if length := w.config.RunTime(task); length > 0 {
			started.ends = now + length
		}
	}
	w.running[task.Task] = started
	w.wake()
	w.records.begin(task, epoch, now, w.charged())
	if w.faults.FailStarts {
		w.end(started, cairnbay.EndFailed, now)
	}
}

func (w *Worker) charged() cairnbay.Resources {
	var sum cairnbay.Resources
	for _, run := range w.running {
		sum = sum.Add(run.charged())
	}
	return sum
}

func (w *Worker) extend(task cairnbay.TaskID, now time.Duration) {
	if run, ok := w.running[task]; ok {
		run.lapses = now + run.start.Lease
	}
}

// stopOne carries out a stop call for one task; an unknown task is no error.
func (w *Worker) stopOne(task cairnbay.TaskID, mode cairnbay.StopMode) {
	run, ok := w.running[task]
	if !ok {
		return
	}
	now := w.config.Clock.Now()
	switch mode {
	case cairnbay.StopNow:
		w.end(run, cairnbay.EndStopped, now)
	case cairnbay.StopCheckpoint:
		w.end(run, cairnbay.EndCheckpointed, now)
	case cairnbay.StopThrottle:
		run.throttle(now)
	case cairnbay.StopUnthrottle:
		run.unthrottle(now)
		w.records.charge(w.charged())
	}
}

func (r *run) throttle(now time.Duration) {
	if r.throttled {
		return
	}
	r.throttled = true
	r.left, r.ends = r.ends-now, forever
}

func (r *run) unthrottle(now time.Duration) {
	if !r.throttled {
		return
	}
	r.throttled = false
	if r.left < forever-now {
		r.ends = now + r.left
	}
}

// advance ends, in order of time, all tasks that were due by now.
func (w *Worker) advance() {
	now := w.config.Clock.Now()
	var due []*run
	for _, run := range w.running {
		if min(run.ends, run.lapses) <= now {
			due = append(due, run)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].record < due[j].record })
	sort.SliceStable(due, func(i, j int) bool {
		return min(due[i].ends, due[i].lapses) < min(due[j].ends, due[j].lapses)
	})
	for _, run := range due {
		if run.ends <= run.lapses {
			w.end(run, cairnbay.EndDone, run.ends)
		} else {
			w.end(run, cairnbay.EndLapsed, run.lapses)
		}
	}
}

func (w *Worker) end(run *run, reason cairnbay.EndReason, at time.Duration) {
	delete(w.running, run.start.Task)
	w.wake()
	w.sequence++
	w.ended = append(w.ended, cairnbay.TaskEnd{
		Sequence: w.sequence, Task: run.start.Task, Attempt: run.start.Attempt,
		Reason: reason, RanFor: at - run.began,
	})
	w.records.end(run.record, reason, at)
}
