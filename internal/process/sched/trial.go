package sched

import (
	"slices"
	"time"

	"cairnbay"
)

const (
	// trialShare bounds the crashes expected of the trials under way, and the workers
	// away because of one, in a class that is full: one worker in trialShare, and at least
	// one.
	trialShare = 6
	// trialReservationTime is how long a worker is reserved for a trial.
	trialReservationTime = 1500 * time.Millisecond
	// trialReservationMargin before the end of the reservation the trial starts beside
	// attempts that have not ended. It exceeds the interval of plans.
	trialReservationMargin = 500 * time.Millisecond
)

// oneCrash is the weight of a trial that certainly crashes its worker.
const oneCrash = 1000

// needsTrial reports whether a task may start on trial only, for its own history or
// because so many tasks of its queue crash their workers.
func (c *Core) needsTrial(stage *stage, task *task) bool {
	queue := c.queueRisks[stage.job.workflow.Queue.Name]
	return queue != nil && queue.share >= maxQueueRisk || stage.history(task).needsTrial()
}

// trialWeight is the number of crashes expected of a trial, in thousandths.
func (c *Core) trialWeight(stage *stage, task *task) int {
	share := stage.history(task).share()
	if queue := c.queueRisks[stage.job.workflow.Queue.Name]; queue != nil {
		share = max(share, queue.share)
	}
	return max(int(oneCrash*share), 1)
}

// trialBounds bounds the trials of a plan: the crashes expected of all under way, in
// thousandths, or the workers of those that begin, all of which may crash.
type trialBounds struct {
	crashes, workers int
}

// countTrialBounds returns the bounds of the trials for a plan.
func (c *Core) countTrialBounds() trialBounds {
	var used, capacity cairnbay.Resources
	usable, onTrial := 0, 0
	for _, worker := range c.workers {
		if !worker.usable() {
			if worker.unreachable {
				// What runs there will run elsewhere.
				used = used.Add(worker.used)
			}
			continue
		}
		used = used.Add(worker.used)
		usable++
		capacity = capacity.Add(worker.entry.Capacity)
		if worker.trials > 0 {
			onTrial++
		}
	}
	for stage := range c.readyStages {
		used = used.Add(demand(stage.spec).Times(stage.waiting - c.waitingSuspects(stage)))
	}
	// Crashes on what is free once all other tasks that wait are running delay none of
	// them.
	free := int((1 - used.DominantShare(capacity)) * float64(usable))
	return trialBounds{crashes: max(oneCrash*len(c.workers)/trialShare, oneCrash), workers: free - onTrial}
}

// mayTry reports whether the trial of a task, or of its gang, is within the bounds.
func (c *Core) mayTry(stage *stage, task *task) bool {
	if c.maxTrials.crashes == 0 {
		c.maxTrials = c.countTrialBounds()
	}
	workers := 1
	if stage.spec.Gang {
		workers = len(stage.tasks)
	}
	return c.trials+c.trialWeight(stage, task) <= c.maxTrials.crashes || workers <= c.maxTrials.workers
}

// beginTrial marks an attempt of a task under which workers have crashed. Until it has
// proven itself, its worker starts nothing else: a crash would leave no doubt about its
// cause, and would harm few others.
func (c *Core) beginTrial(a *attempt) {
	a.trialWeight = c.trialWeight(a.stage, a.task)
	if a.worker.trials == 0 {
		c.maxTrials.workers--
	}
	a.worker.trials++
	c.trials += a.trialWeight
}

// expectCrash prepares for the crash of a worker that has ceased to answer, seconds
// before it is certain: a trial there counts as one, so that others wait until the
// worker is back, and the queues of what it started last count as risky.
func (c *Core) expectCrash(now Moment, w *worker) {
	counted := false
	for _, attempt := range w.attempts {
		if attempt.stage != nil && attempt.known && !attempt.proven() {
			c.queueRisk(attempt.stage).until = now.BootTime + riskTime
		}
		if attempt.trialWeight > 0 && !counted {
			counted = true
			c.trials += oneCrash - attempt.trialWeight
			attempt.trialWeight = oneCrash
		}
	}
}

func (c *Core) endTrial(a *attempt) {
	if a.trialWeight == 0 {
		return
	}
	a.worker.trials--
	c.trials -= a.trialWeight
	a.trialWeight = 0
	c.changeCount++
}

// waitingSuspects counts the waiting tasks of a stage that may start on trial only.
func (c *Core) waitingSuspects(stage *stage) int {
	count := 0
	if !stage.crashed && len(c.queueRisks) == 0 {
		return count
	}
	for i := range stage.tasks {
		if c.isWaitingSuspect(stage, &stage.tasks[i]) {
			count++
		}
	}
	return count
}

func (c *Core) isWaitingSuspect(stage *stage, task *task) bool {
	return !task.done && task.attempt == nil && c.needsTrial(stage, task)
}

// waitsForTrial reports whether all waiting tasks of a stage are suspects of which none
// may be tried now.
func (c *Core) waitsForTrial(stage *stage) bool {
	if c.waitingSuspects(stage) < stage.waiting {
		return false
	}
	return !slices.ContainsFunc(stage.tasks, func(one task) bool {
		return c.isWaitingSuspect(stage, &one) && c.mayTry(stage, &one)
	})
}

// quiet reports whether every attempt on the worker has proven itself.
func (w *worker) quiet() bool {
	for _, attempt := range w.attempts {
		if !attempt.proven() {
			return false
		}
	}
	return true
}

// chooseTrialWorker returns a worker for a trial, nil to wait for one. Unless a worker
// has no other tasks, it reserves the one on which a crash harms the fewest, and waits
// until the attempts that end soon are gone and all others have proven themselves.
func (c *Core) chooseTrialWorker(now Moment, stage *stage, task *task, candidates []*worker) *worker {
	if !c.mayTry(stage, task) {
		return nil
	}
	reserved := c.pendingPreemptions(now, stage) > 0
	var best *worker
	fewest := 0
	for _, target := range candidates {
		if target.trials > 0 || c.chooseWorker(now, stage, task, []*worker{target}) == nil {
			continue
		}
		left := target.reservedUntil - now.BootTime
		mine := target.reservedFor == stage && left > 0
		lasting := c.lastingAttempts(now, target)
		emptied := len(target.attempts) == lasting || left < trialReservationMargin
		if len(target.attempts) == 0 || mine && emptied && target.quiet() {
			return target
		}
		if best == nil || lasting < fewest {
			best, fewest = target, lasting
		}
	}
	if best != nil && !reserved {
		best.reservedFor, best.reservedUntil = stage, now.BootTime+trialReservationTime
	}
	return nil
}

// lastingAttempts counts the attempts that will outlast the reservation for a trial.
func (c *Core) lastingAttempts(now Moment, w *worker) int {
	count := 0
	for _, attempt := range w.attempts {
		if c.remainingTime(now, attempt) > trialReservationTime {
			count++
		}
	}
	return count
}

// trialGroup leaves the quiet workers for a gang under which workers have crashed, none
// while too many attempts are on trial.
func (c *Core) trialGroup(stage *stage, candidates []*worker) []*worker {
	if !c.mayTry(stage, &stage.tasks[0]) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(w *worker) bool { return !w.quiet() })
}
