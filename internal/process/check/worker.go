// Package check verifies the promises about workers and upstreams from the calls
// made to them, independently of the code that makes the decisions, and records in
// the audit whether they hold.
package check

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
	"github.com/juju/errors"

	"cairnbay"
)

var _ cairnbay.Worker = (*Worker)(nil)

// WorkerConfig configures a Worker.
type WorkerConfig struct {
	// Worker makes the calls.
	Worker   cairnbay.Worker
	Clock    cairnbay.Clock
	Recorder cairnbay.Recorder
}

// Limits of the recorded starts and placements.
const (
	// maxStarts is the number of at-most-once tasks whose first start is recorded,
	// and startRetention how long; later a second start is not detected.
	maxStarts      = 100_000
	startRetention = 24 * time.Hour
	// placementRetention is how long the placement of a task is stored after the
	// worker last reported it.
	placementRetention = time.Hour
)

// Worker forwards calls to another Worker. From the answers it checks that no worker
// runs more than its capacity, that no task runs on two workers at once, and that no
// at-most-once task is started twice.
type Worker struct {
	config WorkerConfig

	mu         sync.Mutex
	capacities map[string]cairnbay.Resources
	placements map[cairnbay.TaskID][]placement
	// expectedTasks is what each worker should be running: the tasks that it last
	// listed, plus the starts that it accepted and minus the ends that it reported
	// since. A brief answer confirms them by a digest.
	expectedTasks map[string]map[cairnbay.TaskID]cairnbay.RunningTask
	// started maps each at-most-once task to its first start.
	started *expirable.LRU[cairnbay.TaskID, sentStart]
}

// placement is an attempt of a task on a worker. The first answer that lists the
// attempt arrived at since; the call with the latest such answer was sent at last.
// The task was certainly running there from since until last; that period is empty
// until a second answer.
type placement struct {
	address     string
	attempt     int
	since, last time.Duration
}

// sentStart is a start of an at-most-once task that may have taken effect.
type sentStart struct {
	address string
	attempt int
}

// NewWorker returns a Worker without recorded starts and placements.
func NewWorker(config WorkerConfig) *Worker {
	return &Worker{
		config:        config,
		capacities:    make(map[string]cairnbay.Resources),
		placements:    make(map[cairnbay.TaskID][]placement),
		expectedTasks: make(map[string]map[cairnbay.TaskID]cairnbay.RunningTask),
		started:       expirable.NewLRU[cairnbay.TaskID, sentStart](maxStarts, nil, startRetention),
	}
}

// Claim implements cairnbay.Worker.
func (w *Worker) Claim(ctx context.Context, address string, request cairnbay.ClaimRequest) (cairnbay.ClaimAnswer, error) {
	sent := w.config.Clock.Now()
	answer, err := w.config.Worker.Claim(ctx, address, request)
	if err == nil {
		w.mu.Lock()
		w.capacities[address] = answer.Capacity
		w.mu.Unlock()
		w.checkRunning(address, answer.Running, sent)
	}
	return answer, err
}

// Renew implements cairnbay.Worker.
func (w *Worker) Renew(ctx context.Context, address string, request cairnbay.RenewRequest) (cairnbay.RenewAnswer, error) {
	sent := w.config.Clock.Now()
	answer, err := w.config.Worker.Renew(ctx, address, request)
	if err != nil {
		return answer, err
	}
	w.dropEnded(address, answer.Ended)
	running, confirmed := w.runningTasks(address, answer)
	if confirmed {
		w.checkRunning(address, running, sent)
	}
	return answer, nil
}

// runningTasks returns the running tasks according to the answer. False means that
// the digest of a brief answer differs from that of the expected tasks.
func (w *Worker) runningTasks(address string, answer cairnbay.RenewAnswer) ([]cairnbay.RunningTask, bool) {
	if !answer.Brief {
		return answer.Running, true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	running := slices.Collect(maps.Values(w.expectedTasks[address]))
	return running, cairnbay.DigestRunning(running) == answer.Digest
}

// dropEnded removes the ended attempts from the expected tasks and placements.
func (w *Worker) dropEnded(address string, ended []cairnbay.TaskEnd) {
	now := w.config.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, end := range ended {
		if w.expectedTasks[address][end.Task].Attempt == end.Attempt {
			delete(w.expectedTasks[address], end.Task)
			w.dropPlacements(end.Task, address, now)
		}
	}
}

// Stop implements cairnbay.Worker.
func (w *Worker) Stop(ctx context.Context, address string, request cairnbay.StopRequest) (cairnbay.StopAnswer, error) {
	answer, err := w.config.Worker.Stop(ctx, address, request)
	if err != nil {
		return answer, err
	}
	w.dropEnded(address, answer.Ended)
	w.updateThrottled(address, request)
	return answer, nil
}

// updateThrottled updates which of the expected tasks are throttled.
func (w *Worker) updateThrottled(address string, request cairnbay.StopRequest) {
	if request.Mode != cairnbay.StopThrottle && request.Mode != cairnbay.StopUnthrottle {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range request.Tasks {
		if task, ok := w.expectedTasks[address][name]; ok {
			task.Throttled = request.Mode == cairnbay.StopThrottle
			w.expectedTasks[address][name] = task
		}
	}
}

// Start implements cairnbay.Worker.
func (w *Worker) Start(ctx context.Context, address string, request cairnbay.StartRequest) (cairnbay.StartAnswer, error) {
	w.recordStarts(address, request)
	answer, err := w.config.Worker.Start(ctx, address, request)
	w.applyStartResults(address, request, answer, err)
	return answer, err
}

// recordStarts records the starts of at-most-once tasks before they are sent.
func (w *Worker) recordStarts(address string, request cairnbay.StartRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, task := range request.Tasks {
		if !task.AtMostOnce {
			continue
		}
		current := sentStart{address: address, attempt: task.Attempt}
		previous, known := w.started.Get(task.Task)
		if known && previous != current {
			w.reportBroken(cairnbay.PromiseAtMostOnce, "task_started_twice", map[string]string{
				"task": task.Task.String(), "first_worker": previous.address, "first_attempt": strconv.Itoa(previous.attempt),
				"worker": address, "attempt": strconv.Itoa(task.Attempt),
			})
			continue
		}
		w.started.Add(task.Task, current)
		w.config.Recorder.CountPromise(cairnbay.PromiseAtMostOnce, 1)
	}
}

// applyStartResults adds the accepted starts to the expected tasks. It drops the
// record of a start that certainly had no effect, also if an earlier start on the
// same worker made it.
func (w *Worker) applyStartResults(address string, request cairnbay.StartRequest, answer cairnbay.StartAnswer, err error) {
	noEffect := errors.Is(err, cairnbay.ErrUnavailable) || errors.Is(err, cairnbay.ErrFenced)
	if err != nil && !noEffect {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, task := range request.Tasks {
		refused := i < len(answer.Results) && answer.Results[i] != cairnbay.StartAccepted
		if !noEffect && !refused {
			w.expectRunning(address, task)
		}
		previous, known := w.started.Peek(task.Task)
		if known && previous.address == address && (noEffect || refused) {
			w.started.Remove(task.Task)
		}
	}
}

// expectRunning adds a started task to the expected tasks of the worker.
func (w *Worker) expectRunning(address string, task cairnbay.TaskStart) {
	if w.expectedTasks[address] == nil {
		w.expectedTasks[address] = make(map[cairnbay.TaskID]cairnbay.RunningTask)
	}
	w.expectedTasks[address][task.Task] = cairnbay.RunningTask{Task: task.Task, Attempt: task.Attempt, Size: task.Size}
}

// checkRunning checks the tasks that a worker reports as running. The report is from
// some time between sent and now.
func (w *Worker) checkRunning(address string, running []cairnbay.RunningTask, sent time.Duration) {
	now := w.config.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkCapacity(address, running)
	reported := make(map[cairnbay.TaskID]cairnbay.RunningTask, len(running))
	for _, task := range running {
		reported[task.Task] = task
		w.checkOneWorker(address, task, sent, now)
	}
	for task := range w.expectedTasks[address] {
		if _, listed := reported[task]; !listed {
			w.dropPlacements(task, address, now)
		}
	}
	w.expectedTasks[address] = reported
}

// checkCapacity compares the sizes of a worker's running tasks with its capacity.
// Throttled tasks use no processors.
func (w *Worker) checkCapacity(address string, running []cairnbay.RunningTask) {
	capacity, known := w.capacities[address]
	if !known {
		return
	}
	total := cairnbay.Resources{}
	for _, task := range running {
		size := task.Size
		if task.Throttled {
			size.MilliCPU = 0
		}
		total = total.Add(size)
	}
	if total.Fits(capacity) {
		w.config.Recorder.CountPromise(cairnbay.PromiseCapacity, 1)
		return
	}
	w.reportBroken(cairnbay.PromiseCapacity, "worker_over_capacity", map[string]string{
		"worker": address, "running": formatResources(total), "capacity": formatResources(capacity),
	})
}

func formatResources(resources cairnbay.Resources) string {
	return strconv.FormatInt(resources.MilliCPU, 10) + " milli_cpu, " +
		strconv.FormatInt(resources.MemoryMB, 10) + " memory_mb, " +
		strconv.FormatInt(resources.Accelerators, 10) + " accelerators"
}

// checkOneWorker checks that the time in which the task was certainly running on this
// worker does not overlap with those on other workers.
func (w *Worker) checkOneWorker(address string, task cairnbay.RunningTask, sent, now time.Duration) {
	current := w.extendPlacement(address, task, sent, now)
	for _, other := range w.placements[task.Task] {
		if other.address == current.address || other.since >= current.last || current.since >= other.last {
			continue
		}
		w.reportBroken(cairnbay.PromiseOnePlace, "task_in_two_places", map[string]string{
			"task": task.Task.String(), "worker": current.address, "attempt": strconv.Itoa(current.attempt),
			"other_worker": other.address, "other_attempt": strconv.Itoa(other.attempt),
		})
		return
	}
	w.config.Recorder.CountPromise(cairnbay.PromiseOnePlace, 1)
}

// extendPlacement extends the placement of the attempt on the worker up to sent, or
// adds one that starts now.
func (w *Worker) extendPlacement(address string, task cairnbay.RunningTask, sent, now time.Duration) placement {
	placements := w.placements[task.Task]
	for i := range placements {
		if placements[i].address == address && placements[i].attempt == task.Attempt {
			placements[i].last = sent
			return placements[i]
		}
	}
	first := placement{address: address, attempt: task.Attempt, since: now, last: sent}
	w.placements[task.Task] = append(placements, first)
	return first
}

// dropPlacements drops the placements of a task on a worker that no longer runs it,
// and those past the retention.
func (w *Worker) dropPlacements(task cairnbay.TaskID, address string, now time.Duration) {
	var remaining []placement
	for _, other := range w.placements[task] {
		if other.address != address && now-other.last < placementRetention {
			remaining = append(remaining, other)
		}
	}
	if len(remaining) == 0 {
		delete(w.placements, task)
		return
	}
	w.placements[task] = remaining
}

func (w *Worker) reportBroken(promise cairnbay.Promise, name string, fields map[string]string) {
	w.config.Recorder.RecordException(cairnbay.Exception{
		UnixMS: w.config.Clock.Wall().UnixMilli(), Name: name, Promise: promise, Broken: true, Fields: fields,
	})
}
