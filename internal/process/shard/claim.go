package shard

import (
	"time"

	"cairnbay"
)

// claim sends a claim to a worker that has not accepted the epoch.
func (c *Core) claim(worker *worker, now time.Duration) {
	if worker.claiming || now < worker.nextClaim {
		return
	}
	worker.claiming = true
	c.actions = append(c.actions, Action{
		Kind: ActClaim, Worker: worker.ref.ID, Address: worker.ref.Address, DecidedAt: now,
		Claim: cairnbay.ClaimRequest{Shard: c.config.Shard, Epoch: c.config.Epoch},
	})
}

// HandleClaimAnswer takes the answer to an ActClaim.
func (c *Core) HandleClaimAnswer(action Action, answer cairnbay.ClaimAnswer, err error, now time.Duration) {
	worker := c.workers[action.Worker]
	if c.phase == PhaseFenced || worker == nil {
		return
	}
	worker.claiming = false
	if err != nil {
		worker.nextClaim = now + retryCall
		c.failed(worker, answer.Accepted, err, now)
		return
	}
	worker.claimed = true
	worker.blank = answer.Former == cairnbay.Epoch{}
	worker.ref.Capacity = answer.Capacity
	// Whatever ran there was renewed before the claim at the latest.
	worker.effectUntil = max(worker.effectUntil, now+c.config.TaskLease)
	c.answered(worker, action.DecidedAt, answer.Now, now)
	c.show(worker, now)
	c.sync(worker, action.DecidedAt, answer.Running, answer.Ended, now)
	c.advance(now)
	c.renew(worker, now)
	c.place(now)
}

// sync compares what a worker shows with what the owner holds there.
func (c *Core) sync(worker *worker, decided time.Duration, running []cairnbay.RunningTask, ended []cairnbay.TaskEnd, now time.Duration) {
	c.takeEnds(worker, ended, now)
	shown := make(map[cairnbay.TaskID]bool, len(running))
	for _, task := range running {
		shown[task.Task] = true
		c.sawRunning(worker, task, now)
	}
	for task := range worker.strays {
		if !shown[task] {
			c.dropStray(worker, task, now)
		}
	}
	c.sawMissing(worker, decided, shown, now)
	if worker.dropped && len(running) == 0 && !worker.gone {
		worker.dropped = false
		c.show(worker, now)
	}
}

// sawRunning takes one task that a worker shows as running.
func (c *Core) sawRunning(worker *worker, running cairnbay.RunningTask, now time.Duration) {
	placed := c.held[running.Task]
	if placed != nil && placed.worker == worker && placed.number == running.Attempt {
		c.confirmStart(placed, now)
		return
	}
	if worker.dropped {
		c.stop(worker, cairnbay.StopNow, running.Task)
		return
	}
	if known := c.jobs[running.Task.Job]; known != nil && known.enqueued {
		c.sawStray(worker, known, running, now)
		return
	}
	c.addStray(worker, running, now)
	if c.phase == PhaseActive {
		c.stopUnknown(worker)
	}
}

// addStray charges a task that is not held to its worker.
func (c *Core) addStray(worker *worker, running cairnbay.RunningTask, now time.Duration) {
	if _, known := worker.strays[running.Task]; known {
		return
	}
	worker.strays[running.Task] = running
	c.placer.Adopt(worker.ref.ID, asPlaced(running), now)
}

// dropStray frees what a task without a job took of a worker.
func (c *Core) dropStray(worker *worker, task cairnbay.TaskID, now time.Duration) {
	running, ok := worker.strays[task]
	if !ok {
		return
	}
	delete(worker.strays, task)
	c.placer.Ended(worker.ref.ID, cairnbay.TaskEnd{
		Task: task, Attempt: attemptOf(running.Attempt), Reason: cairnbay.EndLapsed,
	}, now)
}

// sawStray takes a task of an enqueued job that is not held on the worker: it
// is adopted while it waits, else it must not run there.
func (c *Core) sawStray(worker *worker, known *job, running cairnbay.RunningTask, now time.Duration) {
	_, final := known.FinalState(running.Task.Index)
	if final || known.Cancelled || c.held[running.Task] != nil {
		c.addStray(worker, running, now)
		c.stop(worker, cairnbay.StopNow, running.Task)
		return
	}
	c.placer.Adopt(worker.ref.ID, asPlaced(running), now)
	c.hold(worker, running, now)
}

// hold notes a task found running on a worker.
func (c *Core) hold(worker *worker, running cairnbay.RunningTask, now time.Duration) {
	c.held[running.Task] = &placement{
		task: running.Task, worker: worker, number: running.Attempt,
		attempt: attemptOf(running.Attempt), started: true, since: now,
	}
}

// sawMissing ends the tasks that a worker had confirmed and no longer shows,
// neither as running nor as ended.
func (c *Core) sawMissing(worker *worker, decided time.Duration, shown map[cairnbay.TaskID]bool, now time.Duration) {
	for _, placed := range c.heldOn(worker) {
		if shown[placed.task] || !placed.started || placed.since >= decided {
			continue
		}
		c.applyEnd(worker, cairnbay.TaskEnd{Task: placed.task, Attempt: placed.number, Reason: cairnbay.EndLapsed}, now)
	}
}

// asPlaced gives a running task the attempt that the placer knows.
func asPlaced(running cairnbay.RunningTask) cairnbay.RunningTask {
	running.Attempt = attemptOf(running.Attempt)
	return running
}
