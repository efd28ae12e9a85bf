package shard

import (
	"time"

	"cairnbay"
	"cairnbay/internal/process/commit"
)

// trackedJob is a job with its journaled state and the owner's progress on it.
type trackedJob struct {
	*commit.JobState
	// enqueued says that the placer has the job.
	enqueued bool
	// requestedMark is the newest mark whose journaling was requested,
	// requiredMark the one to request next; awaitingMark lists the starts that
	// wait for a mark.
	requestedMark int
	requiredMark  int
	awaitingMark  []*placement
	// unconfirmedFinals has an entry for each task whose final state the journal
	// has not confirmed, with the callbacks for the confirmation.
	unconfirmedFinals map[int][]func(now time.Duration)
	// changedAt is when the job was enqueued or cancelled or a task last became
	// final.
	changedAt  time.Duration
	forgetting bool
}

// done reports whether every task is final.
func (j *trackedJob) done() bool {
	return j.FinalCount() >= j.Job.Tasks
}

// Check reports whether the shard could run a job. For a placer without a Check
// method the job is enqueued, cancelled and forgotten, so its ID must not be in
// use. Errors: ErrNeverFits, ErrInvalid.
func (c *Core) Check(candidate cairnbay.Job, now time.Duration) error {
	type checker interface{ Check(cairnbay.Job) error }
	if placer, ok := c.placer.(checker); ok {
		return placer.Check(candidate)
	}
	if err := c.placer.Enqueue(candidate, cairnbay.Progress{}, now); err != nil {
		return err
	}
	c.placer.Cancel(candidate.ID, now)
	c.placer.Forget(candidate.ID)
	return nil
}

// AddJob enqueues a job whose acceptance is in the journal.
func (c *Core) AddJob(accepted cairnbay.Job, now time.Duration) {
	if c.phase == PhaseFenced || c.jobs[accepted.ID] != nil {
		return
	}
	added := &trackedJob{
		JobState:  &commit.JobState{Job: accepted, Final: map[cairnbay.TaskState]commit.Spans{}},
		changedAt: now,
	}
	c.jobs[accepted.ID] = added
	c.enqueue(added, now)
	c.place(now)
}

// enqueueInherited enqueues the jobs from before the takeover once every task
// is accounted for.
func (c *Core) enqueueInherited(now time.Duration) {
	for _, state := range c.config.State.JobsByOrder() {
		inherited := c.jobs[state.Job.ID]
		if inherited == nil || inherited.enqueued || (c.config.FromReplica && state.Job.AtMostOnce) {
			continue
		}
		c.enqueue(inherited, now)
	}
	for _, worker := range c.sortedWorkers() {
		c.stopOrphans(worker)
	}
}

// enqueue passes a job to the placer with the known states of its tasks.
func (c *Core) enqueue(job *trackedJob, now time.Duration) {
	progress := cairnbay.Progress{Final: map[int]cairnbay.TaskState{}}
	for index := range job.Job.Tasks {
		if state, final := job.FinalState(index); final {
			progress.Final[index] = state
		}
	}
	job.enqueued = true
	job.requestedMark, job.requiredMark = job.Mark, job.Mark
	job.changedAt = now
	if err := c.placer.Enqueue(job.Job, progress, now); err != nil {
		job.enqueued = false
		return
	}
	for _, worker := range c.sortedWorkers() {
		c.adoptOrphans(worker, job, now)
		c.applyDeferredEnds(worker, job.Job.ID, now)
	}
	if job.Job.AtMostOnce && !c.allClaimed {
		c.finaliseBelowMark(job, now)
	}
	if job.Cancelled {
		c.cancelTasks(job, now)
	}
}

// adoptOrphans records placements for the job's tasks that a worker reported as
// running. The placer has already adopted those that are not final.
func (c *Core) adoptOrphans(worker *worker, job *trackedJob, now time.Duration) {
	for task, running := range worker.orphans {
		if task.Job != job.Job.ID {
			continue
		}
		if _, final := job.FinalState(task.Index); final || c.placements[task] != nil {
			c.queueStop(worker, cairnbay.StopNow, task)
			continue
		}
		delete(worker.orphans, task)
		c.addPlacement(worker, running, now)
	}
}

// applyDeferredEnds applies the ends that were deferred until the job was
// enqueued.
func (c *Core) applyDeferredEnds(worker *worker, id cairnbay.JobID, now time.Duration) {
	deferred := worker.ends.deferred
	worker.ends.deferred = nil
	for _, end := range deferred {
		if end.Task.Job != id {
			worker.ends.deferred = append(worker.ends.deferred, end)
			continue
		}
		delete(worker.ends.pending, end.Sequence)
		c.applyEnd(worker, end, now)
	}
}

// finaliseBelowMark gives the state unknown to the at-most-once tasks below the
// journal's mark that are neither final nor placed: a worker that may have run
// them has not reported, see allWorkersClaimed.
func (c *Core) finaliseBelowMark(job *trackedJob, now time.Duration) {
	for index := range min(job.Mark, job.Job.Tasks) {
		task := cairnbay.TaskID{Job: job.Job.ID, Index: index}
		if _, final := job.FinalState(index); final || c.placements[task] != nil {
			continue
		}
		c.placer.Finalise(task, cairnbay.TaskUnknown, now)
		c.journalFinal(task, cairnbay.TaskUnknown, now)
	}
}

// stopOrphans stops running tasks whose job is not in the journal. A replica
// may lack an accepted job, so nothing is stopped from one.
func (c *Core) stopOrphans(worker *worker) {
	if c.config.FromReplica {
		return
	}
	for task := range worker.orphans {
		if c.jobs[task.Job] == nil {
			c.queueStop(worker, cairnbay.StopNow, task)
		}
	}
}

// Cancel cancels jobs whose cancellation is in the journal and returns how many
// of them were unfinished.
func (c *Core) Cancel(ids []cairnbay.JobID, now time.Duration) int {
	count := 0
	for _, id := range ids {
		job := c.jobs[id]
		if job == nil || job.Cancelled || job.done() {
			continue
		}
		count++
		job.Cancelled = true
		if job.enqueued {
			c.cancelTasks(job, now)
		}
	}
	c.place(now)
	for _, worker := range c.sortedWorkers() {
		c.sendStops(worker, now)
	}
	return count
}

func (c *Core) cancelTasks(job *trackedJob, now time.Duration) {
	job.changedAt = now
	for _, view := range c.placer.Cancel(job.Job.ID, now) {
		c.cancelTask(view.Task, now)
	}
}

// cancelTask stops a task of a cancelled job, or withdraws its start if no call
// with it was ever sent.
func (c *Core) cancelTask(task cairnbay.TaskID, now time.Duration) {
	placed := c.placements[task]
	if placed == nil {
		return
	}
	if placed.started || placed.inFlight || placed.maybeStarted {
		c.queueStop(placed.worker, cairnbay.StopNow, task)
		return
	}
	delete(c.placements, task)
	remaining := placed.worker.startQueue[:0]
	for _, queued := range placed.worker.startQueue {
		if queued.Task != task {
			remaining = append(remaining, queued)
		}
	}
	placed.worker.startQueue = remaining
	c.placer.NotStarted(task, placed.attempt, "", now)
}

// forgetFinished removes jobs that have been finished for finishedRetention.
func (c *Core) forgetFinished(now time.Duration) {
	for id, job := range c.jobs {
		finished := job.done() || (job.Cancelled && job.enqueued && !c.hasPlacements(id))
		if !finished || job.forgetting || now-job.changedAt < finishedRetention {
			continue
		}
		job.forgetting = true
		c.appendRecords(now, false, []commit.Record{{Forget: []cairnbay.JobID{id}}}, func(time.Duration) {
			c.placer.Forget(id)
			c.ReleaseKey(job.Job.Key, id)
			delete(c.jobs, id)
		})
	}
}

func (c *Core) hasPlacements(id cairnbay.JobID) bool {
	for task := range c.placements {
		if task.Job == id {
			return true
		}
	}
	return false
}

// FindKey returns the job that was submitted under a key, or an empty ID, and
// whether its acceptance is in the journal.
func (c *Core) FindKey(key string) (id cairnbay.JobID, accepted bool) {
	id = c.keys[key]
	return id, c.jobs[id] != nil
}

// ReserveKey records that a job is being submitted under a key.
func (c *Core) ReserveKey(key string, id cairnbay.JobID) {
	if key != "" {
		c.keys[key] = id
	}
}

// ReleaseKey removes the reservation of a job that was not accepted or has been
// forgotten.
func (c *Core) ReleaseKey(key string, id cairnbay.JobID) {
	if c.keys[key] == id {
		delete(c.keys, key)
	}
}
