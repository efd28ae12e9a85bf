package shard

import (
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"cairnbay"
)

// A start's number on the wire is unique over owners and starts, so that a
// worker never takes one start for a repetition of another. From the top:
// generation, bump, count of starts, the placer's attempt.
const (
	attemptBits = 16
	countBits   = 23
	bumpBits    = 8
	genBits     = 16
)

func masked(value uint64, bits uint) uint64 {
	return value & (1<<bits - 1)
}

// number makes the wire number of the next start.
func (c *Core) number(attempt int) int {
	c.starts++
	epoch := c.config.Epoch
	number := masked(epoch.Generation, genBits)
	number = number<<bumpBits | masked(epoch.Bump, bumpBits)
	number = number<<countBits | masked(c.starts, countBits)
	number = number<<attemptBits | masked(uint64(attempt), attemptBits)
	return int(number)
}

// attemptOf is the placer's attempt in a wire number.
func attemptOf(number int) int {
	return int(masked(uint64(number), attemptBits))
}

// placement is a task that the placer charges to a worker.
type placement struct {
	task    cairnbay.TaskID
	worker  *worker
	number  int
	attempt int
	// started says that the worker confirmed the start, since when.
	started bool
	since   time.Duration
	// sent says that a start call is under way, maybe that one may have reached
	// the worker unanswered.
	sent   bool
	maybe  bool
	waited time.Duration
}

// place lets the placer decide and sends what it decided.
func (c *Core) place(now time.Duration) {
	if !c.mayPlace(now) {
		return
	}
	for {
		decisions := c.placer.Decide(now, decideLimit)
		for _, decision := range decisions {
			c.decided(decision, now)
		}
		if len(decisions) < decideLimit {
			break
		}
	}
	c.raiseMarks(now)
	for _, worker := range c.sortedWorkers() {
		c.sendStops(worker, now)
		c.sendStarts(worker, now)
	}
}

var stopModes = map[cairnbay.DecisionKind]cairnbay.StopMode{
	cairnbay.DecideThrottle:   cairnbay.StopThrottle,
	cairnbay.DecideUnthrottle: cairnbay.StopUnthrottle,
	cairnbay.DecideCheckpoint: cairnbay.StopCheckpoint,
	cairnbay.DecideStop:       cairnbay.StopNow,
}

func (c *Core) decided(decision cairnbay.Decision, now time.Duration) {
	target := c.workers[decision.Worker]
	if target == nil {
		return
	}
	if mode, stops := stopModes[decision.Kind]; stops {
		c.stop(target, mode, decision.Task)
		return
	}
	placed := &placement{
		task: decision.Task, worker: target, number: c.number(decision.Attempt),
		attempt: decision.Attempt, waited: decision.Waited,
	}
	c.held[decision.Task] = placed
	known := c.jobs[decision.Task.Job]
	if known.Job.AtMostOnce {
		c.wantMark(known, decision.Task.Index)
	}
	if known.Job.AtMostOnce && decision.Task.Index >= known.Mark && c.defect != defectMarkLate {
		placed.since = now
		known.marking = append(known.marking, placed)
		return
	}
	c.queueStart(placed)
}

func (c *Core) queueStart(placed *placement) {
	known := c.jobs[placed.task.Job]
	placed.worker.queue = append(placed.worker.queue, cairnbay.TaskStart{
		Task: placed.task, Attempt: placed.number, Size: known.Job.Size,
		AtMostOnce: known.Job.AtMostOnce, Checkpoints: known.Job.Checkpoints,
		Command: known.Job.Command, Lease: c.config.TaskLease,
	})
}

// sendStarts sends the starts that wait for a worker, in one call. Stops go
// first: they make the room.
func (c *Core) sendStarts(worker *worker, now time.Duration) {
	if worker.starting || worker.stopping || len(worker.queue) == 0 || len(worker.stops) > 0 {
		return
	}
	if !c.mayAct(now) || now < worker.nextTry || !worker.reachable(now) {
		return
	}
	tasks := c.unmade(worker.queue)
	worker.queue = nil
	if len(tasks) == 0 {
		return
	}
	worker.starting = true
	for _, task := range tasks {
		c.held[task.Task].sent = true
	}
	worker.effectUntil = max(worker.effectUntil, c.actUntil()+c.config.TaskLease)
	c.actions = append(c.actions, Action{
		Kind: ActStart, Worker: worker.ref.ID, Address: worker.ref.Address, DecidedAt: now,
		Start: cairnbay.StartRequest{Epoch: c.config.Epoch, Tasks: tasks, NotAfter: c.notAfter(worker)},
	})
}

// unmade leaves out the starts that a worker has confirmed in another answer,
// and those taken back.
func (c *Core) unmade(queue []cairnbay.TaskStart) []cairnbay.TaskStart {
	var tasks []cairnbay.TaskStart
	for _, task := range queue {
		placed := c.held[task.Task]
		if placed != nil && placed.number == task.Attempt && !placed.started {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// HandleStartAnswer takes the answer to an ActStart.
func (c *Core) HandleStartAnswer(action Action, answer cairnbay.StartAnswer, err error, now time.Duration) {
	worker := c.workers[action.Worker]
	if c.phase == PhaseFenced || worker == nil {
		return
	}
	worker.starting = false
	if err != nil || len(answer.Results) != len(action.Start.Tasks) {
		c.startFailed(worker, action.Start.Tasks, answer, err, now)
		return
	}
	c.answered(worker, action.DecidedAt, 0, now)
	for i, task := range action.Start.Tasks {
		c.startAnswered(worker, task, answer.Results[i], now)
	}
	c.place(now)
}

// startFailed sends the starts again: a worker answers a repetition as it
// answered the first.
func (c *Core) startFailed(worker *worker, tasks []cairnbay.TaskStart, answer cairnbay.StartAnswer, err error, now time.Duration) {
	if c.failed(worker, answer.Accepted, err, now) || worker.dropped {
		return
	}
	worker.nextTry = now + retryCall
	if errors.Is(err, cairnbay.ErrDeadline) {
		worker.nextTry = now
	}
	again := c.unmade(tasks)
	certain := errors.Is(err, cairnbay.ErrUnavailable) || errors.Is(err, cairnbay.ErrDeadline) || errors.Is(err, cairnbay.ErrFenced)
	for _, task := range again {
		placed := c.held[task.Task]
		placed.sent = false
		placed.maybe = placed.maybe || !certain
	}
	worker.queue = append(again, worker.queue...)
}

func (c *Core) startAnswered(worker *worker, task cairnbay.TaskStart, result cairnbay.StartResult, now time.Duration) {
	placed := c.held[task.Task]
	if placed == nil || placed.worker != worker || placed.number != task.Attempt {
		return
	}
	if result == cairnbay.StartAccepted {
		c.confirmStart(placed, now)
		return
	}
	delete(c.held, task.Task)
	c.placer.NotStarted(task.Task, placed.attempt, result, now)
}

func (c *Core) confirmStart(placed *placement, now time.Duration) {
	if placed.started {
		return
	}
	placed.started, placed.since = true, now
	c.placer.Started(placed.task, placed.attempt, now)
	known := c.jobs[placed.task.Job]
	c.config.OnTaskStart(known.Job, placed.waited)
	if known.Cancelled {
		c.stop(placed.worker, cairnbay.StopNow, placed.task)
	}
}

// takeBack gives up the starts queued for a worker that cannot be reached and
// that were certainly not made.
func (c *Core) takeBack(worker *worker, now time.Duration) {
	var kept []cairnbay.TaskStart
	for _, task := range c.unmade(worker.queue) {
		placed := c.held[task.Task]
		if placed.maybe {
			kept = append(kept, task)
			continue
		}
		delete(c.held, task.Task)
		c.placer.NotStarted(task.Task, placed.attempt, "", now)
	}
	worker.queue = kept
}

// heldOn lists the tasks held on a worker, in order.
func (c *Core) heldOn(worker *worker) []*placement {
	var found []*placement
	for _, placed := range c.held {
		if placed.worker == worker {
			found = append(found, placed)
		}
	}
	slices.SortFunc(found, func(a, b *placement) int {
		if order := strings.Compare(string(a.task.Job), string(b.task.Job)); order != 0 {
			return order
		}
		return a.task.Index - b.task.Index
	})
	return found
}
