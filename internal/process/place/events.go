package place

import (
	"time"

	"cairnbay"
)

// reasonUnwind is the reason of stops of a gang's other tasks.
const reasonUnwind = "its gang starts again or ends as a whole"

// Started confirms a decided start.
func (e *Engine) Started(task cairnbay.TaskID, attempt int, now time.Duration) {
	started := e.runOf(task)
	if started == nil || started.attempt != attempt || started.confirmed {
		return
	}
	e.confirm(started, now)
}

func (e *Engine) confirm(started *run, now time.Duration) {
	owner := started.job
	started.confirmed = true
	owner.setState(started.index, cairnbay.TaskRunning)
	recountRun(started)
	e.reindex(started.worker, now)
	if owner.spec.Kind == cairnbay.KindGang {
		e.confirmGang(owner, now)
	}
}

// confirmGang follows up when a gang's task is confirmed: the last one makes
// all of them reclaimable, and a gang that is being stopped stops this one too.
func (e *Engine) confirmGang(confirmed *job, now time.Duration) {
	if confirmed.unwinding {
		e.unwind(confirmed, cairnbay.DecideStop, reasonUnwind, now)
		return
	}
	if confirmed.counts.of(cairnbay.TaskStarting) > 0 {
		return
	}
	for _, run := range confirmed.runs {
		recountRun(run)
		e.reindex(run.worker, now)
	}
}

func (e *Engine) runOf(task cairnbay.TaskID) *run {
	owner, ok := e.jobs[task.Job]
	if !ok {
		return nil
	}
	return owner.runs[task.Index]
}

// NotStarted takes back a decided start that certainly did not happen.
func (e *Engine) NotStarted(task cairnbay.TaskID, attempt int, result cairnbay.StartResult, now time.Duration) {
	refused := e.runOf(task)
	if refused == nil || refused.attempt != attempt || refused.confirmed {
		return
	}
	e.detach(refused, now)
	if result == cairnbay.StartNoRoom {
		e.throttleAgain(refused.worker)
	}
	if result == cairnbay.StartRefused {
		e.observe(refused, true, now)
	}
	if result == cairnbay.StartNoRoom || result == cairnbay.StartRefused {
		e.rest(refused.worker, now+roomRetry, now)
	}
	e.takeBackStart(refused, now)
	e.settle(refused.job, now)
}

func (e *Engine) takeBackStart(refused *run, now time.Duration) {
	owner := refused.job
	switch {
	case owner.cancelled:
		owner.setState(refused.index, cairnbay.TaskCancelled)
	case owner.failed:
		owner.setState(refused.index, cairnbay.TaskFailed)
	default:
		owner.setState(refused.index, cairnbay.TaskWaiting)
		owner.putBack(refused.index, refused.waitingSince)
		if owner.spec.Kind == cairnbay.KindGang {
			e.unwind(owner, cairnbay.DecideStop, reasonUnwind, now)
		}
	}
}

// throttleAgain repeats the throttles on a worker that has no room for what
// they should have freed: one of them may have been lost.
func (e *Engine) throttleAgain(on *worker) {
	var lost []*run
	for _, run := range on.runs {
		if run.throttled {
			lost = append(lost, run)
		}
	}
	sortRuns(lost)
	for _, run := range lost {
		e.outbox = append(e.outbox, pending{run: run, kind: cairnbay.DecideThrottle, reason: "repeated after no room"})
	}
}

// Ended takes the end of a task and returns its new state.
func (e *Engine) Ended(id string, end cairnbay.TaskEnd, now time.Duration) cairnbay.TaskState {
	if e.endOrphan(id, end, now) {
		return e.stateOf(end.Task)
	}
	ended := e.runOf(end.Task)
	if ended == nil || ended.worker.state.ID != id || ended.attempt != end.Attempt {
		return e.stateOf(end.Task)
	}
	e.detach(ended, now)
	e.applyEnd(ended, end, now)
	e.settle(ended.job, now)
	return ended.job.states[ended.index]
}

func (e *Engine) endOrphan(id string, end cairnbay.TaskEnd, now time.Duration) bool {
	on, ok := e.workers[id]
	if !ok {
		return false
	}
	ended, ok := on.orphans[end.Task]
	if !ok || ended.running.Attempt != end.Attempt {
		return false
	}
	delete(on.orphans, end.Task)
	e.orphans--
	e.charge(on, negative(ended.size()), now)
	return true
}

func (e *Engine) stateOf(task cairnbay.TaskID) cairnbay.TaskState {
	owner, ok := e.jobs[task.Job]
	if !ok || task.Index < 0 || task.Index >= len(owner.states) {
		return cairnbay.TaskUnknown
	}
	return owner.states[task.Index]
}

// applyEnd gives an ended task its next state.
func (e *Engine) applyEnd(ended *run, end cairnbay.TaskEnd, now time.Duration) {
	owner := ended.job
	switch end.Reason {
	case cairnbay.EndDone:
		owner.setState(ended.index, cairnbay.TaskDone)
		e.learned.Observe(owner.learnKey(), end.RanFor)
		e.observe(ended, false, now)
		owner.pauses = 0
	case cairnbay.EndFailed:
		e.applyFailure(ended, now)
	default:
		e.applyStop(ended, now)
	}
}

func (e *Engine) applyFailure(failed *run, now time.Duration) {
	owner := failed.job
	increment(&owner.failures, failed.index)
	e.observe(failed, true, now)
	e.pauseSuspect(owner, now)
	gang := owner.spec.Kind == cairnbay.KindGang
	switch {
	case owner.cancelled:
		owner.setState(failed.index, cairnbay.TaskCancelled)
	case owner.failed, owner.spec.AtMostOnce, owner.exhausted(failed.index), gang && !owner.spec.GangRestart:
		owner.setState(failed.index, cairnbay.TaskFailed)
		e.failGang(owner, now)
	default:
		owner.requeue(failed.index, now)
		if gang {
			e.unwind(owner, cairnbay.DecideStop, reasonUnwind, now)
		}
	}
}

// failGang ends a gang one of whose tasks failed for good: its waiting tasks
// fail at once, the others when they have been stopped.
func (e *Engine) failGang(failed *job, now time.Duration) {
	if failed.spec.Kind != cairnbay.KindGang || failed.failed {
		return
	}
	failed.failed = true
	failed.endWaiting(cairnbay.TaskFailed)
	e.unwind(failed, cairnbay.DecideStop, reasonUnwind, now)
}

// exhausted says whether a task has failed as often as it may start.
func (j *job) exhausted(index int) bool {
	limit := j.maxAttempts()
	return limit > 0 && j.failures[index] >= limit
}

// applyStop handles an end that is not the task's own doing.
func (e *Engine) applyStop(stopped *run, now time.Duration) {
	owner := stopped.job
	switch {
	case owner.cancelled:
		owner.setState(stopped.index, cairnbay.TaskCancelled)
	case owner.spec.AtMostOnce:
		owner.setState(stopped.index, cairnbay.TaskUnknown)
	case owner.failed:
		owner.setState(stopped.index, cairnbay.TaskFailed)
	default:
		owner.requeue(stopped.index, now)
		if owner.spec.Kind == cairnbay.KindGang {
			e.unwind(owner, cairnbay.DecideStop, reasonUnwind, now)
		}
	}
}

// lose ends a run whose worker is gone and returns the task's new state.
func (e *Engine) lose(lost *run, now time.Duration) cairnbay.TaskState {
	e.detach(lost, now)
	if lost.job.spec.AtMostOnce {
		lost.job.setState(lost.index, cairnbay.TaskUnknown)
	} else {
		e.applyStop(lost, now)
	}
	e.settle(lost.job, now)
	return lost.job.states[lost.index]
}

// settle puts a job where it belongs after a change of its tasks.
func (e *Engine) settle(settled *job, now time.Duration) {
	if len(settled.runs) == 0 {
		settled.unwinding = false
	}
	e.refresh(settled, now)
	e.setAlarm(settled, now)
}

// setAlarm makes sure that a waiting job is looked at when it ages.
func (e *Engine) setAlarm(waiting *job, now time.Duration) {
	boost := waiting.branch.Placing.AgeBoost
	if waiting.alarmed || waiting.waiting() == 0 || boost <= 0 || waiting.spec.Band == 0 {
		return
	}
	starving := waiting.starvingSince()
	steps := (now-starving)/boost + 1
	if steps > time.Duration(waiting.spec.Band) {
		return
	}
	waiting.alarmed = true
	e.alarms.add(alarm{at: starving + steps*boost, job: waiting})
}

func (e *Engine) wakeJob(woken *job, now time.Duration) {
	woken.alarmed = false
	e.settle(woken, now)
}

// Finalise makes a task final without an end from a worker.
func (e *Engine) Finalise(task cairnbay.TaskID, state cairnbay.TaskState, now time.Duration) {
	owner, ok := e.jobs[task.Job]
	if !ok || !state.Final() || task.Index < 0 || task.Index >= len(owner.states) {
		return
	}
	if run := owner.runs[task.Index]; run != nil {
		e.detach(run, now)
	}
	owner.setState(task.Index, state)
	e.settle(owner, now)
}

// Cancel ends the job's waiting tasks and returns those that are on a worker.
func (e *Engine) Cancel(id cairnbay.JobID, now time.Duration) []cairnbay.TaskView {
	cancelled, ok := e.jobs[id]
	if !ok {
		return nil
	}
	cancelled.cancelled = true
	if cancelled.waiting() > 0 {
		cancelled.endWaiting(cairnbay.TaskCancelled)
	}
	e.settle(cancelled, now)
	return e.viewRuns(cancelled)
}

// endWaiting gives all waiting tasks a final state.
func (j *job) endWaiting(final cairnbay.TaskState) {
	for index, state := range j.states {
		if state == cairnbay.TaskWaiting {
			j.setState(index, final)
		}
	}
	j.requeued, j.next = nil, len(j.states)
}

// Forget drops a job whose tasks are all final.
func (e *Engine) Forget(id cairnbay.JobID) {
	forgotten, ok := e.jobs[id]
	if !ok || !forgotten.done() {
		return
	}
	e.queue.remove(forgotten)
	delete(e.jobs, id)
	forgotten.team.jobs--
	if forgotten.team.jobs == 0 {
		delete(e.queue.teams, forgotten.team.name)
	}
}

// Adopt takes a task that a worker's claim answer shows as running.
func (e *Engine) Adopt(id string, running cairnbay.RunningTask, now time.Duration) {
	on, ok := e.workers[id]
	if !ok {
		e.SetWorker(cairnbay.WorkerState{ID: id, UnusableReason: "unlisted"}, now)
		on = e.workers[id]
	}
	if known := on.runs[running.Task]; known != nil && known.attempt == running.Attempt {
		e.Started(running.Task, running.Attempt, now)
		return
	}
	if _, known := on.orphans[running.Task]; known {
		return
	}
	owner := e.jobs[running.Task.Job]
	if owner == nil || !owner.adopts(running) {
		found := orphan{running: running}
		on.orphans[running.Task] = found
		e.orphans++
		e.charge(on, found.size(), now)
		return
	}
	e.adoptRun(owner, on, running, now)
}

// adopts says whether the job takes a running task as its own.
func (j *job) adopts(running cairnbay.RunningTask) bool {
	index := running.Task.Index
	return index >= 0 && index < len(j.states) && j.states[index] == cairnbay.TaskWaiting
}

// adoptOrphans gives a job its tasks that were found running before it came.
func (e *Engine) adoptOrphans(owner *job, now time.Duration) {
	if e.orphans == 0 {
		return
	}
	for _, on := range e.workers {
		for task, found := range on.orphans {
			if task.Job != owner.spec.ID || !owner.adopts(found.running) {
				continue
			}
			delete(on.orphans, task)
			e.orphans--
			e.charge(on, negative(found.size()), now)
			e.adoptRun(owner, on, found.running, now)
		}
	}
}

func (e *Engine) adoptRun(owner *job, on *worker, running cairnbay.RunningTask, now time.Duration) {
	index := running.Task.Index
	if owner.attempts == nil {
		owner.attempts = make(map[int]int)
	}
	owner.attempts[index] = max(owner.attempts[index], running.Attempt)
	owner.setState(index, cairnbay.TaskRunning)
	e.attach(&run{
		job: owner, index: index, attempt: running.Attempt, worker: on,
		size: running.Size, waitingSince: now, placedAt: now, confirmed: true,
		reason: "found running when the shard was taken over",
	}, now)
	if running.Throttled {
		e.throttle(owner.runs[index], now)
	}
	e.settle(owner, now)
}
