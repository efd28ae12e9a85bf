// Package check watches the calls to workers and upstreams from outside of the
// parts that decide, and tells the audit whether the promises about them held.
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

// WorkerConfig is what a Worker is made of.
type WorkerConfig struct {
	// Worker makes the calls.
	Worker   cairnbay.Worker
	Clock    cairnbay.Clock
	Recorder cairnbay.Recorder
}

// Bounds on what is remembered.
const (
	maxStarted     = 100_000
	rememberStarts = 24 * time.Hour
	// forgetSights is how long a task's place is remembered that its worker has
	// not spoken of since.
	forgetSights = time.Hour
)

// Worker passes calls on and checks answers: that no worker runs more than it
// has, that no task runs on two workers at once, and that no at-most-once task
// is started twice.
type Worker struct {
	config WorkerConfig

	mu         sync.Mutex
	capacities map[string]cairnbay.Resources
	sights     map[cairnbay.TaskID][]sight
	// believed is what each worker should be running: its last list, with the
	// starts that it accepted and without the ends that it reported since. A
	// brief answer confirms it by its digest.
	believed map[string]map[cairnbay.TaskID]cairnbay.RunningTask
	started  *expirable.LRU[cairnbay.TaskID, start]
}

// sight is an attempt of a task on a worker, which certainly ran there from
// since until last.
type sight struct {
	address     string
	attempt     int
	since, last time.Duration
}

// start is a start that may have taken effect.
type start struct {
	address string
	attempt int
}

// NewWorker returns a Worker that has seen nothing.
func NewWorker(config WorkerConfig) *Worker {
	return &Worker{
		config:     config,
		capacities: make(map[string]cairnbay.Resources),
		sights:     make(map[cairnbay.TaskID][]sight),
		believed:   make(map[string]map[cairnbay.TaskID]cairnbay.RunningTask),
		started:    expirable.NewLRU[cairnbay.TaskID, start](maxStarted, nil, rememberStarts),
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
		w.see(address, answer.Running, sent)
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
	running, known := w.confirmed(address, answer)
	if known {
		w.see(address, running, sent)
	}
	return answer, nil
}

// confirmed returns what the answer shows as running; false where a brief
// answer differs from what was believed.
func (w *Worker) confirmed(address string, answer cairnbay.RenewAnswer) ([]cairnbay.RunningTask, bool) {
	if !answer.Brief {
		return answer.Running, true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	running := slices.Collect(maps.Values(w.believed[address]))
	return running, cairnbay.DigestRunning(running) == answer.Digest
}

func (w *Worker) dropEnded(address string, ended []cairnbay.TaskEnd) {
	now := w.config.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, end := range ended {
		if w.believed[address][end.Task].Attempt == end.Attempt {
			delete(w.believed[address], end.Task)
			w.forget(end.Task, address, now)
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
	w.throttled(address, request)
	return answer, nil
}

// throttled follows which tasks hold no processors.
func (w *Worker) throttled(address string, request cairnbay.StopRequest) {
	if request.Mode != cairnbay.StopThrottle && request.Mode != cairnbay.StopUnthrottle {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range request.Tasks {
		if task, ok := w.believed[address][name]; ok {
			task.Throttled = request.Mode == cairnbay.StopThrottle
			w.believed[address][name] = task
		}
	}
}

// Start implements cairnbay.Worker.
func (w *Worker) Start(ctx context.Context, address string, request cairnbay.StartRequest) (cairnbay.StartAnswer, error) {
	w.noteStarts(address, request)
	answer, err := w.config.Worker.Start(ctx, address, request)
	w.settleStarts(address, request, answer, err)
	return answer, err
}

// noteStarts remembers at-most-once tasks before they are sent.
func (w *Worker) noteStarts(address string, request cairnbay.StartRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, task := range request.Tasks {
		if !task.AtMostOnce {
			continue
		}
		now := start{address: address, attempt: task.Attempt}
		before, known := w.started.Get(task.Task)
		if known && before != now {
			w.broken(cairnbay.PromiseAtMostOnce, "task_started_twice", map[string]string{
				"task": task.Task.String(), "first_worker": before.address, "first_attempt": strconv.Itoa(before.attempt),
				"worker": address, "attempt": strconv.Itoa(task.Attempt),
			})
			continue
		}
		w.started.Add(task.Task, now)
		w.config.Recorder.CountPromise(cairnbay.PromiseAtMostOnce, 1)
	}
}

// settleStarts forgets the starts that certainly did not happen.
func (w *Worker) settleStarts(address string, request cairnbay.StartRequest, answer cairnbay.StartAnswer, err error) {
	nothing := errors.Is(err, cairnbay.ErrUnavailable) || errors.Is(err, cairnbay.ErrFenced)
	if err != nil && !nothing {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, task := range request.Tasks {
		refused := i < len(answer.Results) && answer.Results[i] != cairnbay.StartAccepted
		if !nothing && !refused {
			w.believe(address, task)
		}
		before, known := w.started.Peek(task.Task)
		if known && before.address == address && (nothing || refused) {
			w.started.Remove(task.Task)
		}
	}
}

// believe adds a started task to what the worker should be running.
func (w *Worker) believe(address string, task cairnbay.TaskStart) {
	if w.believed[address] == nil {
		w.believed[address] = make(map[cairnbay.TaskID]cairnbay.RunningTask)
	}
	w.believed[address][task.Task] = cairnbay.RunningTask{Task: task.Task, Attempt: task.Attempt, Size: task.Size}
}

// see checks what a worker says that it runs. The answer was true at some
// moment between sending and now.
func (w *Worker) see(address string, running []cairnbay.RunningTask, sent time.Duration) {
	now := w.config.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkCapacity(address, running)
	seen := make(map[cairnbay.TaskID]cairnbay.RunningTask, len(running))
	for _, task := range running {
		seen[task.Task] = task
		w.checkPlace(address, task, sent, now)
	}
	for task := range w.believed[address] {
		if _, still := seen[task]; !still {
			w.forget(task, address, now)
		}
	}
	w.believed[address] = seen
}

// checkCapacity sums up what a worker runs. Throttled tasks hold no processors.
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
	w.broken(cairnbay.PromiseCapacity, "worker_over_capacity", map[string]string{
		"worker": address, "running": amount(total), "capacity": amount(capacity),
	})
}

func amount(resources cairnbay.Resources) string {
	return strconv.FormatInt(resources.MilliCPU, 10) + " milli_cpu, " +
		strconv.FormatInt(resources.MemoryMB, 10) + " memory_mb, " +
		strconv.FormatInt(resources.Accelerators, 10) + " accelerators"
}

// checkPlace compares the time for which the task certainly ran here with the
// times for which it certainly ran elsewhere.
func (w *Worker) checkPlace(address string, task cairnbay.RunningTask, sent, now time.Duration) {
	here := w.sight(address, task, sent, now)
	for _, there := range w.sights[task.Task] {
		if there.address == here.address || there.since >= here.last || here.since >= there.last {
			continue
		}
		w.broken(cairnbay.PromiseOnePlace, "task_in_two_places", map[string]string{
			"task": task.Task.String(), "worker": here.address, "attempt": strconv.Itoa(here.attempt),
			"other_worker": there.address, "other_attempt": strconv.Itoa(there.attempt),
		})
		return
	}
	w.config.Recorder.CountPromise(cairnbay.PromiseOnePlace, 1)
}

// sight extends what is known of the attempt on the worker.
func (w *Worker) sight(address string, task cairnbay.RunningTask, sent, now time.Duration) sight {
	known := w.sights[task.Task]
	for i := range known {
		if known[i].address == address && known[i].attempt == task.Attempt {
			known[i].last = sent
			return known[i]
		}
	}
	first := sight{address: address, attempt: task.Attempt, since: now, last: sent}
	w.sights[task.Task] = append(known, first)
	return first
}

// forget drops the task's sights on a worker that no longer runs it, and those
// that are too old.
func (w *Worker) forget(task cairnbay.TaskID, address string, now time.Duration) {
	var kept []sight
	for _, known := range w.sights[task] {
		if known.address != address && now-known.last < forgetSights {
			kept = append(kept, known)
		}
	}
	if len(kept) == 0 {
		delete(w.sights, task)
		return
	}
	w.sights[task] = kept
}

func (w *Worker) broken(promise cairnbay.Promise, name string, fields map[string]string) {
	w.config.Recorder.RecordException(cairnbay.Exception{
		UnixMS: w.config.Clock.Wall().UnixMilli(), Name: name, Promise: promise, Broken: true, Fields: fields,
	})
}
