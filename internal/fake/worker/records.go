package worker

import (
	"time"

	"cairnbay"
)

// Run is one task's life on a worker.
type Run struct {
	Task       cairnbay.TaskID
	Attempt    int
	Epoch      cairnbay.Epoch
	AtMostOnce bool
	Size       cairnbay.Resources
	Started    time.Duration
	// Ended is when it ended; meaningless while Reason is empty.
	Ended  time.Duration
	Reason cairnbay.EndReason
}

// Records are what a worker itself saw; promises are judged by them.
type Records struct {
	Worker   string
	Capacity cairnbay.Resources
	// MaxCharged is the most that ran at once, by dimension.
	MaxCharged cairnbay.Resources
	// NoRoom counts starts refused for want of capacity.
	NoRoom int
	// Runs lists all runs in order of their start.
	Runs []Run
}

// Records returns what the worker saw up to now.
func (w *Worker) Records() Records {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.faults.Paused {
		w.advance()
	}
	records := w.records
	records.Runs = append([]Run(nil), w.records.Runs...)
	return records
}

func (r *Records) begin(task cairnbay.TaskStart, epoch cairnbay.Epoch, now time.Duration, charged cairnbay.Resources) {
	r.Runs = append(r.Runs, Run{
		Task: task.Task, Attempt: task.Attempt, Epoch: epoch,
		AtMostOnce: task.AtMostOnce, Size: task.Size, Started: now,
	})
	r.charge(charged)
}

func (r *Records) charge(charged cairnbay.Resources) {
	r.MaxCharged.MilliCPU = max(r.MaxCharged.MilliCPU, charged.MilliCPU)
	r.MaxCharged.MemoryMB = max(r.MaxCharged.MemoryMB, charged.MemoryMB)
	r.MaxCharged.Accelerators = max(r.MaxCharged.Accelerators, charged.Accelerators)
}

func (r *Records) end(index int, reason cairnbay.EndReason, at time.Duration) {
	r.Runs[index].Ended = at
	r.Runs[index].Reason = reason
}
