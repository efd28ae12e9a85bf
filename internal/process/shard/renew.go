package shard

import (
	"time"

	"cairnbay"
)

// renew renews the tasks of a worker when it is due; the worker answers when
// one of them ends, or after a while. Without a confirmed quorum, or to a worker
// whose tasks are to lapse, the call names no task and only asks.
func (c *Core) renew(worker *worker, now time.Duration) {
	if worker.renewing || !worker.claimed || worker.forgot || now < worker.nextRenew {
		return
	}
	worker.renewing = true
	worker.nextRenew = now + probePeriod
	request := cairnbay.RenewRequest{Epoch: c.config.Epoch, Acked: worker.ends.acked(), Seen: worker.ends.seen}
	if c.mayAct(now) && !c.silent(worker, now) && !worker.dropped {
		worker.nextRenew = now + renewGap
		worker.effectUntil = max(worker.effectUntil, c.actUntil()+c.config.TaskLease)
		request.All, request.NotAfter = true, c.notAfter(worker)
		if !worker.wantList && worker.failures == 0 {
			request.Brief, request.Wait = true, c.config.RenewWait
		}
	}
	c.actions = append(c.actions, Action{
		Kind: ActRenew, Worker: worker.ref.ID, Address: worker.ref.Address, DecidedAt: now, Renew: request,
	})
}

// HandleRenewAnswer takes the answer to an ActRenew.
func (c *Core) HandleRenewAnswer(action Action, answer cairnbay.RenewAnswer, err error, now time.Duration) {
	worker := c.workers[action.Worker]
	if c.phase == PhaseFenced || worker == nil {
		return
	}
	worker.renewing = false
	if err != nil {
		worker.nextRenew = min(worker.nextRenew, now+retryCall)
		c.failed(worker, answer.Accepted, err, now)
		return
	}
	c.answered(worker, action.DecidedAt, answer.Now, now)
	if answer.Brief {
		c.takeEnds(worker, answer.Ended, now)
		c.compare(worker, answer.Digest)
	} else {
		worker.wantList = false
		c.sync(worker, action.DecidedAt, answer.Running, answer.Ended, now)
	}
	c.advance(now)
	c.place(now)
	c.renew(worker, now)
}

// compare asks for the list of running tasks when the worker has others than
// the owner thinks. Calls under way explain a difference.
func (c *Core) compare(worker *worker, digest uint64) {
	if worker.starting || worker.stopping {
		return
	}
	var held []cairnbay.RunningTask
	for _, placed := range c.held {
		if placed.worker == worker && placed.started {
			held = append(held, cairnbay.RunningTask{Task: placed.task, Attempt: placed.number})
		}
	}
	for _, stray := range worker.strays {
		held = append(held, stray)
	}
	worker.wantList = cairnbay.DigestRunning(held) != digest
}

// stop asks for a task of a worker to be stopped or held back.
func (c *Core) stop(worker *worker, mode cairnbay.StopMode, task cairnbay.TaskID) {
	for _, queued := range worker.stops[mode] {
		if queued == task {
			return
		}
	}
	worker.stops[mode] = append(worker.stops[mode], task)
}

// sendStops sends the stops of one mode that wait for a worker.
func (c *Core) sendStops(worker *worker, now time.Duration) {
	if worker.stopping || worker.starting || now < worker.nextTry || !worker.claimed || worker.forgot {
		return
	}
	for _, mode := range []cairnbay.StopMode{
		cairnbay.StopNow, cairnbay.StopCheckpoint, cairnbay.StopThrottle, cairnbay.StopUnthrottle,
	} {
		tasks := worker.stops[mode]
		if len(tasks) == 0 {
			continue
		}
		delete(worker.stops, mode)
		worker.stopping = true
		c.actions = append(c.actions, Action{
			Kind: ActStop, Worker: worker.ref.ID, Address: worker.ref.Address, DecidedAt: now,
			Stop: cairnbay.StopRequest{Epoch: c.config.Epoch, Mode: mode, Tasks: tasks},
		})
		return
	}
}

// HandleStopAnswer takes the answer to an ActStop. A failed stop is sent again.
func (c *Core) HandleStopAnswer(action Action, answer cairnbay.StopAnswer, err error, now time.Duration) {
	worker := c.workers[action.Worker]
	if c.phase == PhaseFenced || worker == nil {
		return
	}
	worker.stopping = false
	if err != nil {
		if c.failed(worker, answer.Accepted, err, now) || worker.dropped {
			return
		}
		worker.nextTry = now + retryCall
		for _, task := range action.Stop.Tasks {
			c.stop(worker, action.Stop.Mode, task)
		}
		return
	}
	c.answered(worker, action.DecidedAt, 0, now)
	c.takeEnds(worker, answer.Ended, now)
	c.sendStops(worker, now)
	c.sendStarts(worker, now)
	c.place(now)
}
