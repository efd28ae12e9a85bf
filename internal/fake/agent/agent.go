// Package agent is an in-memory stand-in for workers that run workflow tasks
// under one lease each. It keeps what the platform promises of them, misbehaves
// as it is told, and records each violation of what must hold.
package agent

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"cairnbay"
)

// Config sets up a Fleet.
type Config struct {
	// Now is the clock of the workers.
	Now func() time.Duration
	// RunTime is how long a task runs, by its step.
	RunTime func(task cairnbay.WorkflowTask) time.Duration
	// Slowness is the factor by which a task that starts now takes longer on a worker,
	// by its name; nil for 1.
	Slowness func(worker string) float64
	// Load is the load that a worker reports of a task while these tasks run there; nil
	// for 0.
	Load func(task cairnbay.WorkflowTask, running []cairnbay.WorkflowTask) int
	// Fails says whether an attempt ends failed; nil for never.
	Fails func(task cairnbay.WorkflowTask, attempt int) bool
	// Size is what a task takes.
	Size func(task cairnbay.WorkflowTask) cairnbay.Resources
	// Gang is the number of tasks of a task's gang, 0 for a task that belongs to
	// none; nil for no gangs. A gang works from the moment at which all members of
	// one run are present, for the longest run time of its tasks.
	Gang func(task cairnbay.WorkflowTask) int
	// GangTime is how long a member waits for the others.
	GangTime time.Duration
	// Copies says whether a task may have two attempts at a time; nil for none.
	Copies func(task cairnbay.WorkflowTask) bool
	// Saves is the run time after which a task saves its progress again, 0 for a task
	// that does not; nil for none. ResumeTime is how long a resumed one makes none.
	Saves      func(task cairnbay.WorkflowTask) time.Duration
	ResumeTime time.Duration
	// Admit checks the ticket of a start on a run of a worker's process, by its ID; nil
	// accepts any.
	Admit func(worker string, order cairnbay.AgentStart) error
	// Crash says which tasks crash their workers.
	Crash CrashPlan
	// Incarnations says that the workers tell the start of their process, and have the
	// same name after a crash.
	Incarnations bool
	// ClockStart is what a worker's clock shows at the start of a life, by its number from
	// 1, if the workers tell it; nil for 0.
	ClockStart func(life int) time.Duration
	// MaxLease is the longest lease of a worker; 0 for no limit.
	MaxLease time.Duration
	// ListedEnds is the number of ends that a worker lists at a time; 0 for all.
	ListedEnds int
	// ShrinkGrace is how long after a change of its capacity a worker may still be
	// given what it had room for before, whatever changes have followed.
	ShrinkGrace time.Duration
}

// Fleet is a set of workers.
type Fleet struct {
	config Config

	mu      sync.Mutex
	workers map[string]*worker
	// current are the latest lives of the workers, by name.
	current map[string]*worker
	late    []lateOrder
	// polledAt is when HasEnds last settled the fleet.
	polledAt time.Duration
	// done are the tasks whose end done was acknowledged.
	done map[cairnbay.WorkflowTask]bool
	// broken are the violations seen.
	broken []string
	starts int
	// started are the jobs of which a task has begun; ended are the tasks that
	// ended done, by job.
	started map[string]bool
	ended   map[string]map[cairnbay.WorkflowTask]bool
	// begun is when a task last began.
	begun map[cairnbay.WorkflowTask]time.Duration
	// gangs are the gangs of which members run. incomplete are the ends of members that
	// waited too long, and together the tasks that ended done at once, by each.
	gangs      map[gangRun]*gang
	incomplete []IncompleteEnd
	together   map[cairnbay.WorkflowTask][]cairnbay.WorkflowTask
	// crashes counts the workers that crashed under a deadly task.
	crashes map[cairnbay.WorkflowTask]int
	// lost are the run times of the attempts that ended with their worker, by task.
	lost map[cairnbay.WorkflowTask][]time.Duration
}

type worker struct {
	// id is what AgentState.Worker says of this life. Its clock began at epoch.
	id    string
	epoch time.Duration
	// address is the ID of the first life at the worker's address, life the number
	// of this one.
	address  string
	life     int
	capacity cairnbay.Resources
	// former are the capacities that the worker has had within ShrinkGrace.
	former []formerCapacity
	// lease is the end of the lease, on the clock of the fleet.
	lease   time.Duration
	token   uint64
	running map[cairnbay.WorkflowTask]run
	// sorted holds the keys of running in order; nil after a change of the keys.
	sorted []cairnbay.WorkflowTask
	ends   []cairnbay.AgentEnd
	// endedAt is when each end happened, by sequence.
	endedAt  map[uint64]time.Duration
	sequence uint64
	// highest is the latest attempt that was stopped or ended, by task.
	highest map[cairnbay.WorkflowTask]int
	// cut workers get no calls; mute ones carry out calls without an answer.
	cut, mute bool
	// down workers have crashed and answer nothing until backAt; gone ones are
	// replaced by another life, with the same name if keepsName is set.
	down      bool
	backAt    time.Duration
	gone      bool
	keepsName bool
	// slowness multiplies the run times of what runs, 0 for the usual speed.
	slowness float64
	// lapsed says that the lease has ended once; ends from before then do not
	// forbid another start.
	lapsed bool
}

// formerCapacity is what a worker has had until a change of its capacity.
type formerCapacity struct {
	capacity cairnbay.Resources
	until    time.Duration
}

// lateOrder is a start that is carried out at a later time.
type lateOrder struct {
	at     time.Duration
	target cairnbay.AgentTarget
	order  cairnbay.AgentStart
}

// New returns a fleet without workers.
func New(config Config) *Fleet {
	return &Fleet{
		config: config, workers: make(map[string]*worker), current: make(map[string]*worker), done: make(map[cairnbay.WorkflowTask]bool),
		started: make(map[string]bool), ended: make(map[string]map[cairnbay.WorkflowTask]bool),
		begun: make(map[cairnbay.WorkflowTask]time.Duration), gangs: make(map[gangRun]*gang),
		together: make(map[cairnbay.WorkflowTask][]cairnbay.WorkflowTask),
		crashes:  make(map[cairnbay.WorkflowTask]int), lost: make(map[cairnbay.WorkflowTask][]time.Duration),
	}
}

var _ cairnbay.Agent = (*Fleet)(nil)

// Add adds a worker and returns its first life.
func (f *Fleet) Add(name string, capacity cairnbay.Resources) Life {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.describe(f.add(name, capacity))
}

// add adds the first life of a worker; the caller holds the lock.
func (f *Fleet) add(name string, capacity cairnbay.Resources) *worker {
	return f.addLife(name, &worker{address: name, life: 1, capacity: capacity})
}

// addLife adds a life of a worker; the caller holds the lock.
func (f *Fleet) addLife(name string, added *worker) *worker {
	added.id = name
	if f.config.Incarnations {
		added.id = cairnbay.IncarnationID(name, bornUnixMS(added.life))
		added.epoch = f.config.Now()
		if f.config.ClockStart != nil {
			added.epoch -= f.config.ClockStart(added.life)
		}
	}
	added.running = make(map[cairnbay.WorkflowTask]run)
	added.highest = make(map[cairnbay.WorkflowTask]int)
	added.endedAt = make(map[uint64]time.Duration)
	f.workers[added.id], f.current[name] = added, added
	return added
}

// Cut cuts a worker off, or heals it.
func (f *Fleet) Cut(id string, cut bool) {
	f.set(id, func(w *worker) { w.cut = cut })
}

// Mute lets a worker carry out calls without answers.
func (f *Fleet) Mute(id string, mute bool) {
	f.set(id, func(w *worker) { w.mute = mute })
}

// Crash ends a worker; another life answers at its address.
func (f *Fleet) Crash(id string) {
	f.set(id, func(w *worker) {
		w.gone = true
		f.clear(w, f.config.Now())
	})
}

// StartLate carries out a start at a later time, as a network may.
func (f *Fleet) StartLate(at time.Duration, target cairnbay.AgentTarget, order cairnbay.AgentStart) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late = append(f.late, lateOrder{at, target, order})
}

func (f *Fleet) set(id string, change func(*worker)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	change(f.current[cairnbay.WorkerName(id)])
}

// Broken lists the violations seen so far.
func (f *Fleet) Broken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.broken)
}

// Running lists the tasks that run on a worker.
func (f *Fleet) Running(id string) []cairnbay.WorkflowTask {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	var tasks []cairnbay.WorkflowTask
	for task := range f.current[cairnbay.WorkerName(id)].running {
		tasks = append(tasks, task)
	}
	return tasks
}

// Starts counts the attempts that began.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// inOrder lists what runs in a fixed order, so that a replay repeats. The caller does not
// change the list. It is kept until the next start or end, since each call to the fleet
// lists the tasks of all workers.
func (w *worker) inOrder() []cairnbay.WorkflowTask {
	if w.sorted == nil && len(w.running) > 0 {
		w.sorted = slices.SortedFunc(maps.Keys(w.running), func(a, b cairnbay.WorkflowTask) int {
			return cmp.Or(
				cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence),
				cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index),
			)
		})
	}
	return w.sorted
}

// settle carries out what time has brought; the caller holds the lock.
func (f *Fleet) settle() {
	now := f.config.Now()
	f.settleCrashes(now)
	for _, w := range f.workers {
		if w.lease > 0 && w.lease < now {
			w.lapsed = true
		}
		for _, task := range w.inOrder() {
			one := w.running[task]
			switch {
			case one.gang != nil:
			case w.lease < min(now, one.ends):
				w.lapsed = true
				f.end(w, task, one, cairnbay.AgentLapsed)
			case one.ends <= now && f.config.Fails != nil && f.config.Fails(task, one.attempt):
				f.end(w, task, one, cairnbay.AgentFailed)
			case one.ends <= now:
				f.end(w, task, one, cairnbay.AgentDone)
			}
		}
	}
	f.settleGangs(now)
	var later []lateOrder
	for _, order := range f.late {
		if order.at > now {
			later = append(later, order)
			continue
		}
		if w := f.current[cairnbay.WorkerName(order.target.Worker)]; !w.gone && !w.cut && !w.down {
			_ = f.begin(w, order.target, order.order)
		}
	}
	f.late = later
}

func (f *Fleet) end(w *worker, task cairnbay.WorkflowTask, one run, reason cairnbay.AgentEndReason) {
	delete(w.running, task)
	w.sorted = nil
	w.highest[task] = max(w.highest[task], one.attempt)
	if reason == cairnbay.AgentDone {
		if f.ended[task.Job] == nil {
			f.ended[task.Job] = make(map[cairnbay.WorkflowTask]bool)
		}
		f.ended[task.Job][task] = true
	}
	w.sequence++
	w.endedAt[w.sequence] = f.config.Now()
	w.ends = append(w.ends, cairnbay.AgentEnd{
		Sequence: w.sequence, Task: task, Attempt: one.attempt, Reason: reason, Checkpoint: f.checkpoint(task, one),
	})
	f.endGang(one.gang, cairnbay.AgentGangEnded)
}

// call finds the worker of a call, whichever life of it the call was meant for; answers
// says whether it answers.
func (f *Fleet) call(target cairnbay.AgentTarget, token uint64) (w *worker, answers bool, err error) {
	f.settle()
	w = f.current[cairnbay.WorkerName(target.Worker)]
	switch {
	case w == nil || w.cut || w.down:
		return nil, false, cairnbay.ErrUnknown
	case w.gone:
		return nil, false, cairnbay.ErrReplaced
	case token < w.token:
		return nil, false, cairnbay.ErrFenced
	}
	w.token = token
	return w, !w.mute, nil
}

// Start implements cairnbay.Agent.
func (f *Fleet) Start(_ context.Context, target cairnbay.AgentTarget, order cairnbay.AgentStart) (time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, answers, err := f.call(target, order.Token)
	if err != nil {
		return 0, err
	}
	err = f.begin(w, target, order)
	if !answers {
		return 0, cairnbay.ErrUnknown
	}
	return f.config.Now() - w.epoch, err
}

// extendLease renews the lease up to a time on the worker's clock.
func (f *Fleet) extendLease(w *worker, end time.Duration) {
	if f.config.MaxLease > 0 {
		end = min(end, f.config.Now()-w.epoch+f.config.MaxLease)
	}
	w.lease = max(w.lease, end+w.epoch)
}

func (f *Fleet) begin(w *worker, target cairnbay.AgentTarget, order cairnbay.AgentStart) error {
	now := f.config.Now()
	switch {
	case order.Token < w.token:
		return cairnbay.ErrFenced
	case order.LeaseEnd+w.epoch <= now:
		return cairnbay.ErrStartExpired
	}
	w.token = order.Token
	f.extendLease(w, order.LeaseEnd)
	if one, ok := w.running[order.Task]; ok && one.attempt == order.Attempt {
		return nil
	}
	if order.Attempt <= w.highest[order.Task] {
		return cairnbay.ErrStaleAttempt
	}
	if f.config.Admit != nil {
		if err := f.config.Admit(w.id, order); err != nil {
			return err
		}
	}
	f.judge(w, target, order)
	replaced := w.running[order.Task].gang
	one := run{attempt: order.Attempt, started: now, gang: f.join(target.Worker, w, order, now)}
	if one.gang == nil {
		f.schedule(w, order, &one)
	}
	w.running[order.Task] = one
	w.sorted = nil
	f.endGang(replaced, cairnbay.AgentGangEnded)
	f.starts++
	f.begun[order.Task] = now
	f.started[order.Task.Job] = true
	return nil
}

// judge notes what a start breaks.
func (f *Fleet) judge(on *worker, target cairnbay.AgentTarget, order cairnbay.AgentStart) {
	if f.done[order.Task] {
		f.broken = append(f.broken, fmt.Sprintf("%v started on %s after an acknowledged end", order.Task, target.Worker))
	}
	f.judgeCopies(target, order)
	used := f.config.Size(order.Task)
	for task := range on.running {
		used = used.Add(f.config.Size(task))
	}
	fitted := func(former formerCapacity) bool {
		return f.config.Now()-former.until < f.config.ShrinkGrace && used.Fits(former.capacity)
	}
	if !used.Fits(on.capacity) && !slices.ContainsFunc(on.former, fitted) {
		f.broken = append(f.broken, fmt.Sprintf("%v brings %s over its capacity", order.Task, target.Worker))
	}
}

// Stop implements cairnbay.Agent.
func (f *Fleet) Stop(_ context.Context, target cairnbay.AgentTarget, order cairnbay.AgentStop) (time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, answers, err := f.call(target, order.Token)
	if err != nil {
		return 0, err
	}
	if one, ok := w.running[order.Task]; ok && one.attempt <= order.Attempt {
		f.end(w, order.Task, one, cairnbay.AgentStopped)
	}
	w.highest[order.Task] = max(w.highest[order.Task], order.Attempt)
	if !answers {
		return 0, cairnbay.ErrUnknown
	}
	return f.config.Now() - w.epoch, nil
}

// Throttle implements cairnbay.Agent.
func (f *Fleet) Throttle(_ context.Context, target cairnbay.AgentTarget, order cairnbay.AgentThrottle) (time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, _, err := f.call(target, order.Token)
	if err != nil {
		return 0, err
	}
	return f.config.Now() - w.epoch, nil
}

// Hold implements cairnbay.Agent. It answers at once.
func (f *Fleet) Hold(_ context.Context, target cairnbay.AgentTarget, order cairnbay.AgentHold) (cairnbay.AgentState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, answers, err := f.call(target, order.Token)
	if err != nil {
		return cairnbay.AgentState{}, err
	}
	if order.LeaseEnd > 0 {
		f.extendLease(w, order.LeaseEnd)
	}
	w.ends = slices.DeleteFunc(w.ends, func(end cairnbay.AgentEnd) bool {
		if end.Sequence > order.Acked {
			return false
		}
		if end.Reason == cairnbay.AgentDone {
			f.acknowledged(w, end)
		}
		return true
	})
	if !answers {
		return cairnbay.AgentState{}, cairnbay.ErrUnknown
	}
	state := cairnbay.AgentState{Worker: w.id, Clock: f.config.Now() - w.epoch, Ended: slices.Clone(w.ends)}
	if limit := f.config.ListedEnds; limit > 0 && len(state.Ended) >= limit {
		state.Ended, state.EndsTruncated = state.Ended[:limit], true
	}
	for _, task := range w.inOrder() {
		one := w.running[task]
		state.Running = append(state.Running, cairnbay.AgentTask{
			Task: task, Attempt: one.attempt, Percent: one.percent(f.config.Now()), Checkpoint: f.checkpoint(task, one),
			Load: f.load(task, w),
		})
	}
	return state, nil
}

// load is the load that a worker reports of a task.
func (f *Fleet) load(task cairnbay.WorkflowTask, w *worker) int {
	if f.config.Load == nil {
		return 0
	}
	return f.config.Load(task, w.inOrder())
}

// acknowledged notes an end done, of a whole gang for any of its members.
func (f *Fleet) acknowledged(w *worker, end cairnbay.AgentEnd) {
	for _, task := range f.represented(end.Task) {
		f.done[task] = true
		// A copy may start until the owner knows of the end.
		if f.begun[task] > w.endedAt[end.Sequence] && !w.lapsed && !f.mayCopy(task) {
			f.broken = append(f.broken, fmt.Sprintf("%v started again after an end that is acknowledged now", task))
		}
	}
}
