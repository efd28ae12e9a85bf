package shard

import (
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"cairnbay"
)

// The attempt number on the wire is unique across owners and starts, so that a
// worker never mistakes one start for a repetition of another. Bit fields from
// the highest: generation, bump, count of starts, the placer's attempt. Each
// field holds only the low bits of its value; 63 bits in all leave the number
// positive.
const (
	attemptBits = 16
	countBits   = 23
	bumpBits    = 8
	genBits     = 16
)

func lowBits(value uint64, bits uint) uint64 {
	return value & (1<<bits - 1)
}

// nextWireAttempt returns the attempt number on the wire for the next start.
func (c *Core) nextWireAttempt(attempt int) int {
	c.startCount++
	epoch := c.config.Epoch
	number := lowBits(epoch.Generation, genBits)
	number = number<<bumpBits | lowBits(epoch.Bump, bumpBits)
	number = number<<countBits | lowBits(c.startCount, countBits)
	number = number<<attemptBits | lowBits(uint64(attempt), attemptBits)
	return int(number)
}

// placerAttempt extracts the placer's attempt from a wire attempt.
func placerAttempt(number int) int {
	return int(lowBits(uint64(number), attemptBits))
}

// placement is a task that the placer charges to a worker.
type placement struct {
	task   cairnbay.TaskID
	worker *worker
	// wireAttempt is the number that the worker receives for the placer's
	// attempt.
	wireAttempt int
	attempt     int
	// started says that the worker confirmed the start. since is the time of that
	// confirmation; until then it is the time of the decision for a start that
	// waits for its mark, and 0 for any other.
	started bool
	since   time.Duration
	// inFlight says that a start call is in flight, maybeStarted that an
	// unanswered one may have reached the worker.
	inFlight     bool
	maybeStarted bool
	// waited is how long the task had waited when the start was decided.
	waited time.Duration
}

// place applies the placer's decisions and sends the resulting calls.
func (c *Core) place(now time.Duration) {
	if !c.canPlace(now) {
		return
	}
	for {
		decisions := c.placer.Decide(now, maxDecisionsPerCall)
		for _, decision := range decisions {
			c.applyDecision(decision, now)
		}
		if len(decisions) < maxDecisionsPerCall {
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

func (c *Core) applyDecision(decision cairnbay.Decision, now time.Duration) {
	target := c.workers[decision.Worker]
	if target == nil {
		return
	}
	if mode, isStop := stopModes[decision.Kind]; isStop {
		c.queueStop(target, mode, decision.Task)
		return
	}
	placed := &placement{
		task: decision.Task, worker: target, wireAttempt: c.nextWireAttempt(decision.Attempt),
		attempt: decision.Attempt, waited: decision.Waited,
	}
	c.placements[decision.Task] = placed
	job := c.jobs[decision.Task.Job]
	if job.Job.AtMostOnce {
		c.requireMark(job, decision.Task.Index)
	}
	if job.Job.AtMostOnce && decision.Task.Index >= job.Mark && c.defect != defectLateMark {
		placed.since = now
		job.awaitingMark = append(job.awaitingMark, placed)
		return
	}
	c.queueStart(placed)
}

func (c *Core) queueStart(placed *placement) {
	job := c.jobs[placed.task.Job]
	placed.worker.startQueue = append(placed.worker.startQueue, cairnbay.TaskStart{
		Task: placed.task, Attempt: placed.wireAttempt, Size: job.Job.Size,
		AtMostOnce: job.Job.AtMostOnce, Checkpoints: job.Job.Checkpoints,
		Command: job.Job.Command, Lease: c.config.TaskLease,
	})
}

// sendStarts sends the queued starts to a worker in one call. Stops go first
// because they free the capacity for the starts.
func (c *Core) sendStarts(worker *worker, now time.Duration) {
	if worker.starting || worker.stopping || len(worker.startQueue) == 0 || len(worker.stopQueue) > 0 {
		return
	}
	if !c.mayAct(now) || now < worker.nextStartOrStop || !worker.reachable(now) {
		return
	}
	tasks := c.unconfirmedStarts(worker.startQueue)
	worker.startQueue = nil
	if len(tasks) == 0 {
		return
	}
	worker.starting = true
	for _, task := range tasks {
		c.placements[task.Task].inFlight = true
	}
	worker.effectUntil = max(worker.effectUntil, c.actUntil()+c.config.TaskLease)
	c.actions = append(c.actions, Action{
		Kind: ActStart, Worker: worker.ref.ID, Address: worker.ref.Address, DecidedAt: now,
		Start: cairnbay.StartRequest{Epoch: c.config.Epoch, Tasks: tasks, NotAfter: c.notAfter(worker)},
	})
}

// unconfirmedStarts leaves out the starts that the worker confirmed in another
// answer and those that were withdrawn.
func (c *Core) unconfirmedStarts(queue []cairnbay.TaskStart) []cairnbay.TaskStart {
	var tasks []cairnbay.TaskStart
	for _, task := range queue {
		placed := c.placements[task.Task]
		if placed != nil && placed.wireAttempt == task.Attempt && !placed.started {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// HandleStartAnswer processes the answer to an ActStart.
func (c *Core) HandleStartAnswer(action Action, answer cairnbay.StartAnswer, err error, now time.Duration) {
	worker := c.workers[action.Worker]
	if c.phase == PhaseFenced || worker == nil {
		return
	}
	worker.starting = false
	if err != nil || len(answer.Results) != len(action.Start.Tasks) {
		c.requeueStarts(worker, action.Start.Tasks, answer, err, now)
		return
	}
	c.recordAnswer(worker, action.DecidedAt, 0, now)
	for i, task := range action.Start.Tasks {
		c.handleStartResult(worker, task, answer.Results[i], now)
	}
	c.place(now)
}

// requeueStarts queues the starts of a failed call again. That is safe because
// a worker answers a repeated start as it answered the first.
func (c *Core) requeueStarts(worker *worker, tasks []cairnbay.TaskStart, answer cairnbay.StartAnswer, err error, now time.Duration) {
	if c.recordFailure(worker, answer.Accepted, err, now) || worker.dropped {
		return
	}
	worker.nextStartOrStop = now + callRetryDelay
	if errors.Is(err, cairnbay.ErrDeadline) {
		worker.nextStartOrStop = now
	}
	unconfirmed := c.unconfirmedStarts(tasks)
	notStarted := errors.Is(err, cairnbay.ErrUnavailable) || errors.Is(err, cairnbay.ErrDeadline) || errors.Is(err, cairnbay.ErrFenced)
	for _, task := range unconfirmed {
		placed := c.placements[task.Task]
		placed.inFlight = false
		placed.maybeStarted = placed.maybeStarted || !notStarted
	}
	worker.startQueue = append(unconfirmed, worker.startQueue...)
}

func (c *Core) handleStartResult(worker *worker, task cairnbay.TaskStart, result cairnbay.StartResult, now time.Duration) {
	placed := c.placements[task.Task]
	if placed == nil || placed.worker != worker || placed.wireAttempt != task.Attempt {
		return
	}
	if result == cairnbay.StartAccepted {
		c.confirmStart(placed, now)
		return
	}
	delete(c.placements, task.Task)
	c.placer.NotStarted(task.Task, placed.attempt, result, now)
}

func (c *Core) confirmStart(placed *placement, now time.Duration) {
	if placed.started {
		return
	}
	placed.started, placed.since = true, now
	c.placer.Started(placed.task, placed.attempt, now)
	job := c.jobs[placed.task.Job]
	c.config.OnTaskStart(job.Job, placed.waited)
	if job.Cancelled {
		c.queueStop(placed.worker, cairnbay.StopNow, placed.task)
	}
}

// withdrawStarts withdraws the queued starts of an unreachable worker. A start
// that an unanswered call may have delivered stays queued.
func (c *Core) withdrawStarts(worker *worker, now time.Duration) {
	var remaining []cairnbay.TaskStart
	for _, task := range c.unconfirmedStarts(worker.startQueue) {
		placed := c.placements[task.Task]
		if placed.maybeStarted {
			remaining = append(remaining, task)
			continue
		}
		delete(c.placements, task.Task)
		c.placer.NotStarted(task.Task, placed.attempt, "", now)
	}
	worker.startQueue = remaining
}

// placementsOn lists the placements on a worker by job and index.
func (c *Core) placementsOn(worker *worker) []*placement {
	var found []*placement
	for _, placed := range c.placements {
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
