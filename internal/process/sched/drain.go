package sched

import "time"

// CauseDrained stops an attempt whose worker drains.
const CauseDrained EndCause = "worker_leaves"

// minDrainRemaining is the remaining run time from which an attempt is moved
// off a draining worker; a shorter one is likely to end before the worker
// leaves.
const minDrainRemaining = 1500 * time.Millisecond

// planDrains stops tasks on draining workers so that they start elsewhere,
// since a task that is lost with its worker can start again only after the
// worker's lease has ended. Tasks with checkpoints are stopped at once,
// long-running tasks once another worker can take them. Other tasks run on,
// since a stop would discard their work.
func (c *Core) planDrains(now Moment) (actions []Action) {
	for _, worker := range c.sortedWorkers {
		if !worker.entry.Draining || worker.unreachable {
			continue
		}
		for _, attempt := range worker.attempts {
			if attempt.stage == nil || attempt.phase != phaseRunning || attempt.stopCause != "" || attempt.assumed {
				continue
			}
			switch {
			case attempt.stage.spec.LongRunning:
				actions = append(actions, c.moveLongRunning(now, attempt)...)
			case attempt.stage.spec.Checkpoints && c.remainingTime(now, attempt) > minDrainRemaining:
				c.stop(attempt, CauseDrained)
			}
		}
	}
	return actions
}

// moveLongRunning stops a long-running task once another worker can take it,
// and requests the tickets that it needs there.
func (c *Core) moveLongRunning(now Moment, a *attempt) []Action {
	stage := a.stage
	advice := stage.advice
	workersWithCapacity := func(allowed func(id string) bool) []string {
		var workers []string
		for _, other := range c.candidates(now, stage, nil, func(w *worker) bool { return allowed(w.entry.ID) }) {
			if c.chooseWorker(now, stage, a.task, []*worker{other}) != nil {
				workers = append(workers, other.entry.ID)
			}
		}
		return workers
	}
	if stage.job.workflow.Queue.Advice == nil {
		if len(workersWithCapacity(func(string) bool { return true })) > 0 {
			c.stop(a, CauseDrained)
		}
		return nil
	}
	if advice == nil || advice.inFlight {
		return nil
	}
	if len(workersWithCapacity(func(id string) bool { return advice.valid(id, now.BootTime+c.config.StopTime) })) > 0 {
		c.stop(a, CauseDrained)
		return nil
	}
	if !c.mayCallPolicy(now, stage) || advice.requestedAt > 0 && now.BootTime-advice.requestedAt < adviceRetryPause {
		return nil
	}
	workers := workersWithCapacity(func(id string) bool { return advice.usable(id, now.BootTime) })
	if len(workers) == 0 {
		workers = workersWithCapacity(func(id string) bool { return !advice.decided(id) })
	}
	if len(workers) == 0 {
		return nil
	}
	return c.callPolicy(now, stage, workers[:min(len(workers), maxWorkersPerCall)])
}
