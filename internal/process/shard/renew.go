package shard

import (
	"time"

	"cairnbay"
)

// sendRenewal renews the tasks of a worker when that is due. The worker answers
// when a task ends or when the wait is over. Without a confirmed quorum, or for
// a worker whose leases are to lapse, the call renews no task and only queries
// the worker.
func (c *Core) sendRenewal(worker *worker, now time.Duration) {
	if worker.renewing || !worker.claimed || worker.lostEpoch || now < worker.nextRenew {
		return
	}
	worker.renewing = true
	worker.nextRenew = now + probeInterval
	request := cairnbay.RenewRequest{Epoch: c.config.Epoch, Acked: worker.ends.acked(), Seen: worker.ends.lastSequence}
	if c.mayAct(now) && !c.renewalsEnded(worker, now) && !worker.dropped {
		worker.nextRenew = now + minRenewInterval
		worker.effectUntil = max(worker.effectUntil, c.actUntil()+c.config.TaskLease)
		request.All, request.NotAfter = true, c.notAfter(worker)
		if !worker.listRequired && worker.failures == 0 {
			request.Brief, request.Wait = true, c.config.RenewWait
		}
	}
	c.actions = append(c.actions, Action{
		Kind: ActRenew, Worker: worker.ref.ID, Address: worker.ref.Address, DecidedAt: now, Renew: request,
	})
}

// HandleRenewAnswer processes the answer to an ActRenew.
func (c *Core) HandleRenewAnswer(action Action, answer cairnbay.RenewAnswer, err error, now time.Duration) {
	worker := c.workers[action.Worker]
	if c.phase == PhaseFenced || worker == nil {
		return
	}
	worker.renewing = false
	if err != nil {
		worker.nextRenew = min(worker.nextRenew, now+callRetryDelay)
		c.recordFailure(worker, answer.Accepted, err, now)
		return
	}
	c.recordAnswer(worker, action.DecidedAt, answer.Now, now)
	if answer.Brief {
		c.handleEnds(worker, answer.Ended, now)
		c.compareDigest(worker, answer.Digest)
	} else {
		worker.listRequired = false
		c.reconcile(worker, action.DecidedAt, answer.Running, answer.Ended, now)
	}
	c.advancePhase(now)
	c.place(now)
	c.sendRenewal(worker, now)
}

// compareDigest requests the list of running tasks when the worker's digest
// differs from that of the owner's placements. It skips the check while a start
// or stop is in flight, which can cause a difference.
func (c *Core) compareDigest(worker *worker, digest uint64) {
	if worker.starting || worker.stopping {
		return
	}
	var expected []cairnbay.RunningTask
	for _, placed := range c.placements {
		if placed.worker == worker && placed.started {
			expected = append(expected, cairnbay.RunningTask{Task: placed.task, Attempt: placed.wireAttempt})
		}
	}
	for _, orphan := range worker.orphans {
		expected = append(expected, orphan)
	}
	worker.listRequired = cairnbay.DigestRunning(expected) != digest
}

// queueStop queues a stop, checkpoint or throttle of a task on a worker.
func (c *Core) queueStop(worker *worker, mode cairnbay.StopMode, task cairnbay.TaskID) {
	for _, queued := range worker.stopQueue[mode] {
		if queued == task {
			return
		}
	}
	worker.stopQueue[mode] = append(worker.stopQueue[mode], task)
}

// sendStops sends the queued stops of one mode to a worker.
func (c *Core) sendStops(worker *worker, now time.Duration) {
	if worker.stopping || worker.starting || now < worker.nextStartOrStop || !worker.claimed || worker.lostEpoch {
		return
	}
	for _, mode := range []cairnbay.StopMode{
		cairnbay.StopNow, cairnbay.StopCheckpoint, cairnbay.StopThrottle, cairnbay.StopUnthrottle,
	} {
		tasks := worker.stopQueue[mode]
		if len(tasks) == 0 {
			continue
		}
		delete(worker.stopQueue, mode)
		worker.stopping = true
		c.actions = append(c.actions, Action{
			Kind: ActStop, Worker: worker.ref.ID, Address: worker.ref.Address, DecidedAt: now,
			Stop: cairnbay.StopRequest{Epoch: c.config.Epoch, Mode: mode, Tasks: tasks},
		})
		return
	}
}

// HandleStopAnswer processes the answer to an ActStop. A failed stop is sent
// again.
func (c *Core) HandleStopAnswer(action Action, answer cairnbay.StopAnswer, err error, now time.Duration) {
	worker := c.workers[action.Worker]
	if c.phase == PhaseFenced || worker == nil {
		return
	}
	worker.stopping = false
	if err != nil {
		if c.recordFailure(worker, answer.Accepted, err, now) || worker.dropped {
			return
		}
		worker.nextStartOrStop = now + callRetryDelay
		for _, task := range action.Stop.Tasks {
			c.queueStop(worker, action.Stop.Mode, task)
		}
		return
	}
	c.recordAnswer(worker, action.DecidedAt, 0, now)
	c.handleEnds(worker, answer.Ended, now)
	c.sendStops(worker, now)
	c.sendStarts(worker, now)
	c.place(now)
}
