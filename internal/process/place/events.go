package place

import (
	"time"

	"cairnbay"
)

// reasonStopGang is the reason for stopping the other tasks of a gang.
const reasonStopGang = "its gang starts again or ends as a whole"

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
	updateReclaimable(started)
	e.reindex(started.worker, now)
	if owner.spec.Kind == cairnbay.KindGang {
		e.confirmGang(owner, now)
	}
}

// confirmGang runs when a task of a gang is confirmed: the last one makes all of
// them reclaimable. If the gang is being stopped, this task is stopped too.
func (e *Engine) confirmGang(gang *job, now time.Duration) {
	if gang.stoppingGang {
		e.stopGang(gang, cairnbay.DecideStop, reasonStopGang, now)
		return
	}
	if gang.counts.of(cairnbay.TaskStarting) > 0 {
		return
	}
	for _, run := range gang.runs {
		updateReclaimable(run)
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

// NotStarted undoes a decided start that certainly did not happen.
func (e *Engine) NotStarted(task cairnbay.TaskID, attempt int, result cairnbay.StartResult, now time.Duration) {
	undone := e.runOf(task)
	if undone == nil || undone.attempt != attempt || undone.confirmed {
		return
	}
	e.detach(undone, now)
	if result == cairnbay.StartNoRoom {
		e.repeatThrottles(undone.worker)
	}
	if result == cairnbay.StartRefused {
		e.observe(undone, true, now)
	}
	if result == cairnbay.StartNoRoom || result == cairnbay.StartRefused {
		e.backOff(undone.worker, now+refusalBackoff, now)
	}
	e.undoStart(undone, now)
	e.updateJob(undone.job, now)
}

func (e *Engine) undoStart(undone *run, now time.Duration) {
	owner := undone.job
	switch {
	case owner.cancelled:
		owner.setState(undone.index, cairnbay.TaskCancelled)
	case owner.failed:
		owner.setState(undone.index, cairnbay.TaskFailed)
	default:
		owner.setState(undone.index, cairnbay.TaskWaiting)
		owner.returnWaiting(undone.index, undone.waitingSince)
		if owner.spec.Kind == cairnbay.KindGang {
			e.stopGang(owner, cairnbay.DecideStop, reasonStopGang, now)
		}
	}
}

// repeatThrottles repeats the throttles of a worker that refused a start for
// lack of capacity: a throttle may have been lost.
func (e *Engine) repeatThrottles(host *worker) {
	var lost []*run
	for _, run := range host.runs {
		if run.isThrottled {
			lost = append(lost, run)
		}
	}
	sortRuns(lost)
	for _, run := range lost {
		e.pendingDecisions = append(e.pendingDecisions, pendingDecision{run: run, kind: cairnbay.DecideThrottle, reason: "repeated because the worker has no room"})
	}
}

// Ended applies the end of a task and returns the task's new state.
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
	e.updateJob(ended.job, now)
	return ended.job.states[ended.index]
}

func (e *Engine) endOrphan(id string, end cairnbay.TaskEnd, now time.Duration) bool {
	host, ok := e.workers[id]
	if !ok {
		return false
	}
	ended, ok := host.orphans[end.Task]
	if !ok || ended.running.Attempt != end.Attempt {
		return false
	}
	delete(host.orphans, end.Task)
	e.orphanCount--
	e.charge(host, negative(ended.size()), now)
	return true
}

func (e *Engine) stateOf(task cairnbay.TaskID) cairnbay.TaskState {
	owner, ok := e.jobs[task.Job]
	if !ok || task.Index < 0 || task.Index >= len(owner.states) {
		return cairnbay.TaskUnknown
	}
	return owner.states[task.Index]
}

// applyEnd sets the next state of an ended task.
func (e *Engine) applyEnd(ended *run, end cairnbay.TaskEnd, now time.Duration) {
	owner := ended.job
	switch end.Reason {
	case cairnbay.EndDone:
		owner.setState(ended.index, cairnbay.TaskDone)
		kind, reference := owner.learnKind()
		e.runTimes.Observe(kind, reference, end.RanFor)
		e.observe(ended, false, now)
		owner.pauseCount = 0
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
			e.stopGang(owner, cairnbay.DecideStop, reasonStopGang, now)
		}
	}
}

// failGang ends a gang after one of its tasks has failed for good: waiting tasks
// fail at once, the others after they have been stopped. The tasks of an
// at-most-once gang are not stopped and run to their own end.
func (e *Engine) failGang(gang *job, now time.Duration) {
	if gang.spec.Kind != cairnbay.KindGang || gang.failed {
		return
	}
	gang.failed = true
	gang.endWaiting(cairnbay.TaskFailed)
	e.stopGang(gang, cairnbay.DecideStop, reasonStopGang, now)
}

// exhausted reports whether a task has used up its attempts.
func (j *job) exhausted(index int) bool {
	limit := j.maxAttempts()
	return limit > 0 && j.failures[index] >= limit
}

// applyStop handles an end that the task did not cause itself.
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
			e.stopGang(owner, cairnbay.DecideStop, reasonStopGang, now)
		}
	}
}

// endLost ends a run whose worker is gone and returns the task's new state.
func (e *Engine) endLost(lost *run, now time.Duration) cairnbay.TaskState {
	e.detach(lost, now)
	if lost.job.spec.AtMostOnce {
		lost.job.setState(lost.index, cairnbay.TaskUnknown)
	} else {
		e.applyStop(lost, now)
	}
	e.updateJob(lost.job, now)
	return lost.job.states[lost.index]
}

// updateJob updates a job's place in the queue and its timer after its tasks
// have changed.
func (e *Engine) updateJob(changed *job, now time.Duration) {
	if len(changed.runs) == 0 {
		changed.stoppingGang = false
	}
	e.updateQueue(changed, now)
	e.setAgeingTimer(changed, now)
}

// setAgeingTimer sets a timer for the next time that a waiting job ages into a
// higher band.
func (e *Engine) setAgeingTimer(pending *job, now time.Duration) {
	boost := pending.branch.Placing.AgeBoost
	if pending.timerSet || pending.waiting() == 0 || boost <= 0 || pending.spec.Band == 0 {
		return
	}
	starving := pending.starvingSince()
	steps := (now-starving)/boost + 1
	if steps > time.Duration(pending.spec.Band) {
		return
	}
	pending.timerSet = true
	e.timers.add(timer{at: starving + steps*boost, job: pending})
}

func (e *Engine) onJobTimer(target *job, now time.Duration) {
	target.timerSet = false
	e.updateJob(target, now)
}

// Finalise sets a final state on a task for which no worker reports an end.
func (e *Engine) Finalise(task cairnbay.TaskID, state cairnbay.TaskState, now time.Duration) {
	owner, ok := e.jobs[task.Job]
	if !ok || !state.Final() || task.Index < 0 || task.Index >= len(owner.states) {
		return
	}
	if run := owner.runs[task.Index]; run != nil {
		e.detach(run, now)
	}
	owner.setState(task.Index, state)
	e.updateJob(owner, now)
}

// Cancel ends the job's waiting tasks and returns those that are on a worker.
func (e *Engine) Cancel(id cairnbay.JobID, now time.Duration) []cairnbay.TaskView {
	target, ok := e.jobs[id]
	if !ok {
		return nil
	}
	target.cancelled = true
	if target.waiting() > 0 {
		target.endWaiting(cairnbay.TaskCancelled)
	}
	e.updateJob(target, now)
	return e.viewRuns(target)
}

// endWaiting sets a final state on all waiting tasks.
func (j *job) endWaiting(final cairnbay.TaskState) {
	for index, state := range j.states {
		if state == cairnbay.TaskWaiting {
			j.setState(index, final)
		}
	}
	j.requeued, j.nextIndex = nil, len(j.states)
}

// Forget removes a job whose tasks are all final.
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

// Adopt adds a running task that a worker reported when the shard's new owner
// claimed it (not a claim in the sense of type claim).
func (e *Engine) Adopt(id string, running cairnbay.RunningTask, now time.Duration) {
	host, ok := e.workers[id]
	if !ok {
		e.SetWorker(cairnbay.WorkerState{ID: id, UnusableReason: "unlisted"}, now)
		host = e.workers[id]
	}
	if existing := host.runs[running.Task]; existing != nil && existing.attempt == running.Attempt {
		e.Started(running.Task, running.Attempt, now)
		return
	}
	if _, existing := host.orphans[running.Task]; existing {
		return
	}
	owner := e.jobs[running.Task.Job]
	if owner == nil || !owner.canAdopt(running) {
		found := orphan{running: running}
		host.orphans[running.Task] = found
		e.orphanCount++
		e.charge(host, found.size(), now)
		return
	}
	e.adoptRun(owner, host, running, now)
}

// canAdopt reports whether a running task is one of the job's waiting tasks.
func (j *job) canAdopt(running cairnbay.RunningTask) bool {
	index := running.Task.Index
	return index >= 0 && index < len(j.states) && j.states[index] == cairnbay.TaskWaiting
}

// adoptOrphans adds the tasks to a job that were found running before it was
// enqueued.
func (e *Engine) adoptOrphans(owner *job, now time.Duration) {
	if e.orphanCount == 0 {
		return
	}
	for _, host := range e.workers {
		for task, found := range host.orphans {
			if task.Job != owner.spec.ID || !owner.canAdopt(found.running) {
				continue
			}
			delete(host.orphans, task)
			e.orphanCount--
			e.charge(host, negative(found.size()), now)
			e.adoptRun(owner, host, found.running, now)
		}
	}
}

func (e *Engine) adoptRun(owner *job, host *worker, running cairnbay.RunningTask, now time.Duration) {
	index := running.Task.Index
	if owner.attempts == nil {
		owner.attempts = make(map[int]int)
	}
	owner.attempts[index] = max(owner.attempts[index], running.Attempt)
	owner.setState(index, cairnbay.TaskRunning)
	e.attach(&run{
		job: owner, index: index, attempt: running.Attempt, worker: host,
		size: running.Size, waitingSince: now, placedAt: now, confirmed: true,
		reason: "found running when the shard was taken over",
	}, now)
	if running.Throttled {
		e.throttle(owner.runs[index], now)
	}
	e.updateJob(owner, now)
}
