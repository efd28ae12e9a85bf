package shard

import (
	"time"

	"cairnbay"
)

// sendClaim sends a claim to a worker that has not accepted the epoch.
func (c *Core) sendClaim(worker *worker, now time.Duration) {
	if worker.claiming || now < worker.nextClaim {
		return
	}
	worker.claiming = true
	c.actions = append(c.actions, Action{
		Kind: ActClaim, Worker: worker.ref.ID, Address: worker.ref.Address, DecidedAt: now,
		Claim: cairnbay.ClaimRequest{Shard: c.config.Shard, Epoch: c.config.Epoch},
	})
}

// HandleClaimAnswer processes the answer to an ActClaim.
func (c *Core) HandleClaimAnswer(action Action, answer cairnbay.ClaimAnswer, err error, now time.Duration) {
	worker := c.workers[action.Worker]
	if c.phase == PhaseFenced || worker == nil {
		return
	}
	worker.claiming = false
	if err != nil {
		worker.nextClaim = now + callRetryDelay
		c.recordFailure(worker, answer.Accepted, err, now)
		return
	}
	worker.claimed = true
	worker.hadNoEpoch = answer.Former == cairnbay.Epoch{}
	worker.ref.Capacity = answer.Capacity
	// A former owner can have renewed the tasks until the claim was accepted, so
	// their leases end at most one TaskLease from now.
	worker.effectUntil = max(worker.effectUntil, now+c.config.TaskLease)
	c.recordAnswer(worker, action.DecidedAt, answer.Now, now)
	c.reportWorker(worker, now)
	c.reconcile(worker, action.DecidedAt, answer.Running, answer.Ended, now)
	c.advancePhase(now)
	c.sendRenewal(worker, now)
	c.place(now)
}

// reconcile compares the tasks that a worker reports with the owner's
// placements there.
func (c *Core) reconcile(worker *worker, decided time.Duration, running []cairnbay.RunningTask, ended []cairnbay.TaskEnd, now time.Duration) {
	c.handleEnds(worker, ended, now)
	reported := make(map[cairnbay.TaskID]bool, len(running))
	for _, task := range running {
		reported[task.Task] = true
		c.reconcileRunning(worker, task, now)
	}
	for task := range worker.orphans {
		if !reported[task] {
			c.removeOrphan(worker, task, now)
		}
	}
	c.endMissing(worker, decided, reported, now)
	if worker.dropped && len(running) == 0 && !worker.gone {
		worker.dropped = false
		c.reportWorker(worker, now)
	}
}

// reconcileRunning processes one task that a worker reports as running.
func (c *Core) reconcileRunning(worker *worker, running cairnbay.RunningTask, now time.Duration) {
	placed := c.placements[running.Task]
	if placed != nil && placed.worker == worker && placed.wireAttempt == running.Attempt {
		c.confirmStart(placed, now)
		return
	}
	if worker.dropped {
		c.queueStop(worker, cairnbay.StopNow, running.Task)
		return
	}
	if job := c.jobs[running.Task.Job]; job != nil && job.enqueued {
		c.adoptOrStop(worker, job, running, now)
		return
	}
	c.addOrphan(worker, running, now)
	if c.phase == PhaseActive {
		c.stopOrphans(worker)
	}
}

// addOrphan charges a task without a placement to its worker.
func (c *Core) addOrphan(worker *worker, running cairnbay.RunningTask, now time.Duration) {
	if _, exists := worker.orphans[running.Task]; exists {
		return
	}
	worker.orphans[running.Task] = running
	c.placer.Adopt(worker.ref.ID, withPlacerAttempt(running), now)
}

// removeOrphan releases the resources of a task without a placement.
func (c *Core) removeOrphan(worker *worker, task cairnbay.TaskID, now time.Duration) {
	running, ok := worker.orphans[task]
	if !ok {
		return
	}
	delete(worker.orphans, task)
	c.placer.Ended(worker.ref.ID, cairnbay.TaskEnd{
		Task: task, Attempt: placerAttempt(running.Attempt), Reason: cairnbay.EndLapsed,
	}, now)
}

// adoptOrStop processes a running task of an enqueued job that has no placement
// on the worker: a waiting task is adopted, any other is stopped.
func (c *Core) adoptOrStop(worker *worker, job *trackedJob, running cairnbay.RunningTask, now time.Duration) {
	_, final := job.FinalState(running.Task.Index)
	if final || job.Cancelled || c.placements[running.Task] != nil {
		c.addOrphan(worker, running, now)
		c.queueStop(worker, cairnbay.StopNow, running.Task)
		return
	}
	c.placer.Adopt(worker.ref.ID, withPlacerAttempt(running), now)
	c.addPlacement(worker, running, now)
}

// addPlacement records a placement for a task found running on a worker.
func (c *Core) addPlacement(worker *worker, running cairnbay.RunningTask, now time.Duration) {
	c.placements[running.Task] = &placement{
		task: running.Task, worker: worker, wireAttempt: running.Attempt,
		attempt: placerAttempt(running.Attempt), started: true, since: now,
	}
}

// endMissing ends the tasks whose start a worker confirmed before decided and
// that it reports neither as running nor as ended.
func (c *Core) endMissing(worker *worker, decided time.Duration, reported map[cairnbay.TaskID]bool, now time.Duration) {
	for _, placed := range c.placementsOn(worker) {
		if reported[placed.task] || !placed.started || placed.since >= decided {
			continue
		}
		c.applyEnd(worker, cairnbay.TaskEnd{Task: placed.task, Attempt: placed.wireAttempt, Reason: cairnbay.EndLapsed}, now)
	}
}

// withPlacerAttempt returns the task with the placer's attempt instead of the
// wire attempt.
func withPlacerAttempt(running cairnbay.RunningTask) cairnbay.RunningTask {
	running.Attempt = placerAttempt(running.Attempt)
	return running
}
