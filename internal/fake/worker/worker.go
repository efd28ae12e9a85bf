// Package worker is a stand-in for the platform's workers: it keeps the
// contract of cairnbay.Worker, runs tasks on a clock and records every run.
package worker

import (
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/juju/errors"

	"cairnbay"
)

// Config says what a Worker is.
type Config struct {
	ID         string
	DataCentre string
	Rack       string
	Class      string
	Capacity   cairnbay.Resources
	// Listen is the host:port that the worker serves HTTP on; empty serves
	// none.
	Listen string
	// Address names a worker without Listen; empty takes the ID.
	Address string
	Clock   cairnbay.Clock
	// Seed feeds the random faults.
	Seed uint64
	// RunTime gives how long a task runs; nil, or a result of 0, runs it until
	// it is stopped.
	RunTime func(task cairnbay.TaskStart) time.Duration
}

// startKey names one start.
type startKey struct {
	task    cairnbay.TaskID
	attempt int
}

// Worker is one stand-in worker. Time passes for it whenever it is looked at.
type Worker struct {
	config Config
	server *http.Server
	served chan struct{}

	mu     sync.Mutex
	faults Faults
	// changed is closed and replaced when a held answer may have to go out.
	changed  chan struct{}
	random   *rand.Rand
	resume   chan struct{}
	accepted cairnbay.Epoch
	running  map[cairnbay.TaskID]*run
	answered map[startKey]cairnbay.StartResult
	ended    []cairnbay.TaskEnd
	sequence uint64
	records  Records
}

// New returns a worker, serving HTTP when Config.Listen is set. Errors: those
// of listening.
func New(config Config) (*Worker, error) {
	worker := &Worker{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, 0)),
		changed:  make(chan struct{}),
		running:  map[cairnbay.TaskID]*run{},
		answered: map[startKey]cairnbay.StartResult{},
		records:  Records{Worker: config.ID, Capacity: config.Capacity},
	}
	if worker.config.Address == "" {
		worker.config.Address = config.ID
	}
	if config.Listen == "" {
		return worker, nil
	}
	if err := worker.serve(); err != nil {
		return nil, errors.Annotatef(err, "worker %q", config.ID)
	}
	return worker, nil
}

// Close stops serving. Tasks are left as they are.
func (w *Worker) Close() {
	w.SetFaults(Faults{})
	if w.server == nil {
		return
	}
	_ = w.server.Close()
	<-w.served
}

// Instance is the worker's row on the platform's list.
func (w *Worker) Instance() cairnbay.Instance {
	return cairnbay.Instance{
		ID: w.config.ID, Kind: cairnbay.InstanceWorker,
		DataCentre: w.config.DataCentre, Rack: w.config.Rack, Class: w.config.Class,
		Address: w.config.Address, Capacity: w.config.Capacity,
	}
}

// claim takes a claim. Errors: ErrFenced.
func (w *Worker) claim(request cairnbay.ClaimRequest) (cairnbay.ClaimAnswer, error) {
	w.advance()
	if request.Epoch.Compare(w.accepted) < 0 && !w.faults.NoFencing {
		return cairnbay.ClaimAnswer{Accepted: w.accepted}, w.fenced("claim", request.Epoch)
	}
	former := w.accepted
	w.wake()
	w.accepted = request.Epoch
	return cairnbay.ClaimAnswer{
		Accepted: w.accepted, Former: former, Capacity: w.config.Capacity,
		Running: w.runningTasks(), Ended: w.endedTasks(), Now: w.config.Clock.Now(),
	}, nil
}

// start starts tasks. Errors: ErrFenced, ErrDeadline.
func (w *Worker) start(request cairnbay.StartRequest) (cairnbay.StartAnswer, error) {
	w.advance()
	answer := cairnbay.StartAnswer{Accepted: w.accepted}
	if err := w.admit("start", request.Epoch, request.NotAfter); err != nil {
		return answer, err
	}
	for _, task := range request.Tasks {
		answer.Results = append(answer.Results, w.startOne(task, request.Epoch))
	}
	return answer, nil
}

// renew renews leases. Errors: ErrFenced, ErrDeadline.
func (w *Worker) renew(request cairnbay.RenewRequest) (cairnbay.RenewAnswer, error) {
	w.advance()
	answer := cairnbay.RenewAnswer{Accepted: w.accepted}
	if err := w.admit("renew", request.Epoch, request.NotAfter); err != nil {
		return answer, err
	}
	w.acknowledge(request.Acked)
	now := w.config.Clock.Now()
	for _, task := range request.Tasks {
		w.extend(task, now)
	}
	if request.All {
		for task := range w.running {
			w.extend(task, now)
		}
	}
	w.report(&answer, request)
	return answer, nil
}

// report fills in an answer to a renewal.
func (w *Worker) report(answer *cairnbay.RenewAnswer, request cairnbay.RenewRequest) {
	answer.Running, answer.Now = w.runningTasks(), w.config.Clock.Now()
	for _, end := range w.endedTasks() {
		if end.Sequence > request.Seen {
			answer.Ended = append(answer.Ended, end)
		}
	}
	if request.Brief {
		answer.Digest, answer.Brief = cairnbay.DigestRunning(answer.Running), true
		answer.Running = nil
	}
}

// stop stops, checkpoints or throttles tasks. Errors: ErrFenced.
func (w *Worker) stop(request cairnbay.StopRequest) (cairnbay.StopAnswer, error) {
	w.advance()
	answer := cairnbay.StopAnswer{Accepted: w.accepted}
	if err := w.admit("stop", request.Epoch, 0); err != nil {
		return answer, err
	}
	for _, task := range request.Tasks {
		w.stopOne(task, request.Mode)
	}
	answer.Ended = w.endedTasks()
	return answer, nil
}

// admit checks a call's epoch and deadline.
func (w *Worker) admit(call string, epoch cairnbay.Epoch, notAfter time.Duration) error {
	if epoch != w.accepted && !w.faults.NoFencing {
		return w.fenced(call, epoch)
	}
	if notAfter > 0 && w.config.Clock.Now() > notAfter {
		return errors.Annotatef(cairnbay.ErrDeadline, "worker %q: %s under epoch %s came late", w.config.ID, call, epoch)
	}
	return nil
}

func (w *Worker) fenced(call string, epoch cairnbay.Epoch) error {
	return errors.Annotatef(cairnbay.ErrFenced, "worker %q: %s under epoch %s, accepted is %s", w.config.ID, call, epoch, w.accepted)
}

// acknowledge forgets ends up to a sequence.
func (w *Worker) acknowledge(acked uint64) {
	kept := w.ended[:0]
	for _, end := range w.ended {
		if end.Sequence > acked {
			kept = append(kept, end)
		}
	}
	w.ended = kept
}

func (w *Worker) endedTasks() []cairnbay.TaskEnd {
	return append([]cairnbay.TaskEnd(nil), w.ended...)
}

// runningTasks lists what runs, in order of task.
func (w *Worker) runningTasks() []cairnbay.RunningTask {
	tasks := make([]cairnbay.RunningTask, 0, len(w.running))
	for _, run := range w.running {
		tasks = append(tasks, run.view())
	}
	sort.Slice(tasks, func(i, j int) bool {
		if tasks[i].Task.Job != tasks[j].Task.Job {
			return tasks[i].Task.Job < tasks[j].Task.Job
		}
		return tasks[i].Task.Index < tasks[j].Task.Index
	})
	return tasks
}
