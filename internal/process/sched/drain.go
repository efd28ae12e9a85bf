package sched

import "time"

// CauseDrained ends an attempt whose worker is about to leave.
const CauseDrained EndCause = "worker_leaves"

// drainWorth is the work that an attempt must have left to be moved off a worker
// that leaves; less is likely to end before it does.
const drainWorth = 1500 * time.Millisecond

// planDrains moves work off workers that leave: what leaves with its worker can
// only start again once the worker's lease has ended. Tasks that resume are
// stopped at once, tasks that last as soon as they have another place. Others
// run on, since they would lose what they did.
func (c *Core) planDrains(now Moment) (actions []Action) {
	for _, worker := range c.ordered {
		if !worker.entry.Draining || worker.unreachable {
			continue
		}
		for _, attempt := range worker.attempts {
			if attempt.stage == nil || attempt.phase != phaseRunning || attempt.ending != "" {
				continue
			}
			switch {
			case attempt.stage.spec.LongRunning:
				actions = append(actions, c.moveLasting(now, attempt)...)
			case attempt.stage.spec.Checkpoints && c.remaining(now, attempt) > drainWorth:
				c.stop(attempt, CauseDrained)
			}
		}
	}
	return actions
}

// moveLasting stops a task that lasts once another worker can take it, and asks
// for the tickets that it needs there.
func (c *Core) moveLasting(now Moment, a *attempt) []Action {
	stage := a.stage
	verdict := stage.advice
	roomy := func(allowed func(id string) bool) []string {
		var names []string
		for _, other := range c.candidates(now, stage, nil, func(w *worker) bool { return allowed(w.entry.ID) }) {
			if c.choose(stage, a.task, []*worker{other}) != nil {
				names = append(names, other.entry.ID)
			}
		}
		return names
	}
	if stage.job.workflow.Queue.Advice == nil {
		if len(roomy(func(string) bool { return true })) > 0 {
			c.stop(a, CauseDrained)
		}
		return nil
	}
	if verdict == nil || verdict.asking {
		return nil
	}
	if len(roomy(func(id string) bool { return verdict.valid(id, now.BootTime+c.config.StopTime) })) > 0 {
		c.stop(a, CauseDrained)
		return nil
	}
	if !c.mayAsk(stage) || verdict.askedAt > 0 && now.BootTime-verdict.askedAt < adviceRetry {
		return nil
	}
	workers := roomy(verdict.allowed)
	if len(workers) == 0 {
		workers = roomy(func(id string) bool { return !verdict.asked[id] })
	}
	if len(workers) == 0 {
		return nil
	}
	return c.ask(now, stage, workers[:min(len(workers), mostAsked)])
}
