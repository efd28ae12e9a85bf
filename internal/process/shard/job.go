package shard

import (
	"time"

	"cairnbay"
	"cairnbay/internal/process/commit"
)

// job is a job of the journal as the owner works on it.
type job struct {
	*commit.JobState
	// enqueued says that the placer has it.
	enqueued bool
	// asked is the mark that was last asked for, wanted the one to ask for
	// next; marking are the starts that wait.
	asked   int
	wanted  int
	marking []*placement
	// unjournaled are the tasks whose final state the journal has not
	// confirmed, with what to do then.
	unjournaled map[int][]func(now time.Duration)
	// changed is when a task last became final.
	changed    time.Duration
	forgetting bool
}

// done says whether every task is final.
func (j *job) done() bool {
	return j.FinalCount() >= j.Job.Tasks
}

// Check says whether the shard could run a job. Errors: ErrNeverFits,
// ErrInvalid.
func (c *Core) Check(asked cairnbay.Job, now time.Duration) error {
	type checker interface{ Check(cairnbay.Job) error }
	if placer, ok := c.placer.(checker); ok {
		return placer.Check(asked)
	}
	if err := c.placer.Enqueue(asked, cairnbay.Progress{}, now); err != nil {
		return err
	}
	c.placer.Cancel(asked.ID, now)
	c.placer.Forget(asked.ID)
	return nil
}

// AddJob takes up a job whose acceptance is in the journal.
func (c *Core) AddJob(accepted cairnbay.Job, now time.Duration) {
	if c.phase == PhaseFenced || c.jobs[accepted.ID] != nil {
		return
	}
	known := &job{
		JobState: &commit.JobState{Job: accepted, Final: map[cairnbay.TaskState]commit.Spans{}},
		changed:  now,
	}
	c.jobs[accepted.ID] = known
	c.enqueue(known, now)
	c.place(now)
}

// enqueueOld takes up the jobs from before the takeover, now that every task
// is accounted for.
func (c *Core) enqueueOld(now time.Duration) {
	for _, known := range c.config.State.JobsByOrder() {
		old := c.jobs[known.Job.ID]
		if old == nil || old.enqueued || (c.config.FromReplica && known.Job.AtMostOnce) {
			continue
		}
		c.enqueue(old, now)
	}
	for _, worker := range c.sortedWorkers() {
		c.stopUnknown(worker)
	}
}

// enqueue gives a job to the placer with all that is known of its tasks.
func (c *Core) enqueue(known *job, now time.Duration) {
	progress := cairnbay.Progress{Final: map[int]cairnbay.TaskState{}}
	for index := range known.Job.Tasks {
		if state, final := known.FinalState(index); final {
			progress.Final[index] = state
		}
	}
	known.enqueued = true
	known.asked, known.wanted = known.Mark, known.Mark
	known.changed = now
	if err := c.placer.Enqueue(known.Job, progress, now); err != nil {
		known.enqueued = false
		return
	}
	for _, worker := range c.sortedWorkers() {
		c.adoptStrays(worker, known, now)
		c.applyKept(worker, known.Job.ID, now)
	}
	if known.Job.AtMostOnce && !c.allClaimed {
		c.settleBelowMark(known, now)
	}
	if known.Cancelled {
		c.cancelPlaced(known, now)
	}
}

// adoptStrays holds the job's tasks that a worker showed as running. The
// placer has adopted those that were not final.
func (c *Core) adoptStrays(worker *worker, known *job, now time.Duration) {
	for task, running := range worker.strays {
		if task.Job != known.Job.ID {
			continue
		}
		if _, final := known.FinalState(task.Index); final || c.held[task] != nil {
			c.stop(worker, cairnbay.StopNow, task)
			continue
		}
		delete(worker.strays, task)
		c.hold(worker, running, now)
	}
}

// applyKept takes the ends that waited for the job.
func (c *Core) applyKept(worker *worker, id cairnbay.JobID, now time.Duration) {
	kept := worker.ends.kept
	worker.ends.kept = nil
	for _, end := range kept {
		if end.Task.Job != id {
			worker.ends.kept = append(worker.ends.kept, end)
			continue
		}
		delete(worker.ends.open, end.Sequence)
		c.applyEnd(worker, end, now)
	}
}

// settleBelowMark ends, as unknown, the tasks that may have been started on a
// worker which has not accepted the claim.
func (c *Core) settleBelowMark(known *job, now time.Duration) {
	for index := range min(known.Mark, known.Job.Tasks) {
		task := cairnbay.TaskID{Job: known.Job.ID, Index: index}
		if _, final := known.FinalState(index); final || c.held[task] != nil {
			continue
		}
		c.placer.Finalise(task, cairnbay.TaskUnknown, now)
		c.settled(task, cairnbay.TaskUnknown, now)
	}
}

// stopUnknown stops what runs for no job of a journal that is whole.
func (c *Core) stopUnknown(worker *worker) {
	if c.config.FromReplica {
		return
	}
	for task := range worker.strays {
		if c.jobs[task.Job] == nil {
			c.stop(worker, cairnbay.StopNow, task)
		}
	}
}

// Cancel ends jobs whose cancellation is in the journal, and returns how many
// of them were not finished.
func (c *Core) Cancel(ids []cairnbay.JobID, now time.Duration) int {
	count := 0
	for _, id := range ids {
		known := c.jobs[id]
		if known == nil || known.Cancelled || known.done() {
			continue
		}
		count++
		known.Cancelled = true
		if known.enqueued {
			c.cancelPlaced(known, now)
		}
	}
	c.place(now)
	for _, worker := range c.sortedWorkers() {
		c.sendStops(worker, now)
	}
	return count
}

func (c *Core) cancelPlaced(known *job, now time.Duration) {
	known.changed = now
	for _, view := range c.placer.Cancel(known.Job.ID, now) {
		c.cancelTask(view.Task, now)
	}
}

// cancelTask stops a task of a cancelled job, or takes its start back if no
// call with it was ever sent.
func (c *Core) cancelTask(task cairnbay.TaskID, now time.Duration) {
	placed := c.held[task]
	if placed == nil {
		return
	}
	if placed.started || placed.sent || placed.maybe {
		c.stop(placed.worker, cairnbay.StopNow, task)
		return
	}
	delete(c.held, task)
	kept := placed.worker.queue[:0]
	for _, queued := range placed.worker.queue {
		if queued.Task != task {
			kept = append(kept, queued)
		}
	}
	placed.worker.queue = kept
	c.placer.NotStarted(task, placed.attempt, "", now)
}

// forgetFinished drops jobs that have been finished for a while.
func (c *Core) forgetFinished(now time.Duration) {
	for id, known := range c.jobs {
		finished := known.done() || (known.Cancelled && known.enqueued && !c.holds(id))
		if !finished || known.forgetting || now-known.changed < keepFinished {
			continue
		}
		known.forgetting = true
		c.journal(now, false, []commit.Record{{Forget: []cairnbay.JobID{id}}}, func(time.Duration) {
			c.placer.Forget(id)
			c.ReleaseKey(known.Job.Key, id)
			delete(c.jobs, id)
		})
	}
}

func (c *Core) holds(id cairnbay.JobID) bool {
	for task := range c.held {
		if task.Job == id {
			return true
		}
	}
	return false
}

// FindKey returns the job that was submitted under a key, if one was, and
// whether its acceptance is in the journal.
func (c *Core) FindKey(key string) (id cairnbay.JobID, accepted bool) {
	id = c.keys[key]
	return id, c.jobs[id] != nil
}

// ReserveKey notes that a job is being submitted under a key.
func (c *Core) ReserveKey(key string, id cairnbay.JobID) {
	if key != "" {
		c.keys[key] = id
	}
}

// ReleaseKey forgets a reservation of a job that was not accepted.
func (c *Core) ReleaseKey(key string, id cairnbay.JobID) {
	if c.keys[key] == id {
		delete(c.keys, key)
	}
}
