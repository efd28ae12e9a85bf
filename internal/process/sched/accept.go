package sched

import (
	"time"

	"cairnbay"
)

// Accept takes a job whose acceptance is in the store.
func (c *Core) Accept(now Moment, workflow cairnbay.Workflow, inherited bool) {
	if c.jobs[workflow.ID] != nil {
		return
	}
	accepted := &job{
		workflow: workflow, inherited: inherited, accepted: now.BootTime,
		stages: make(map[stageKey]*stage),
	}
	age := time.Duration(now.UnixMS-workflow.AcceptedUnixMS) * time.Millisecond
	accepted.arrived = now.BootTime - max(age, 0)
	c.schedule(accepted)
	c.jobs[workflow.ID] = accepted
	if workflow.Occurrences == 0 {
		accepted.addOccurrence()
	}
	c.reindex(accepted)
}

// HasJob says whether the job was accepted and is still kept.
func (c *Core) HasJob(id string) bool {
	return c.jobs[id] != nil
}

// LatencyObjective is the time from submission to completion within which a job of
// the queue is in time.
func LatencyObjective(queue cairnbay.Queue, chain time.Duration) time.Duration {
	return time.Duration(queue.Stretch*float64(chain)) + queue.TargetLatency
}

// Cancel ends a job and reports whether it is known.
func (c *Core) Cancel(now Moment, id string) bool {
	job := c.jobs[id]
	if job == nil {
		return false
	}
	if job.cancelled {
		return true
	}
	job.cancelled = true
	c.end(now, job)
	return true
}

// end stops all that a job still runs.
func (c *Core) end(now Moment, job *job) {
	job.end(now)
	c.reindex(job)
	if job.attempts == 0 {
		return
	}
	for _, worker := range c.ordered {
		for _, attempt := range worker.attempts {
			if attempt.stage != nil && attempt.stage.job == job {
				c.stop(attempt, CauseCancelled)
			}
		}
	}
}

// stop marks an attempt for a stop; one that was not ordered yet ends at once.
func (c *Core) stop(a *attempt, cause EndCause) {
	if a.phase == phaseReserved {
		c.detach(a)
		return
	}
	if a.ending == "" {
		a.ending = cause
	}
}

// State returns what callers are told of a job.
func (c *Core) State(id string) cairnbay.WorkflowState {
	job := c.jobs[id]
	if job == nil {
		return cairnbay.WorkflowUnknown
	}
	return job.state()
}

// Persisting says whether a job has ended and only the store's answer is missing for
// callers to be told.
func (c *Core) Persisting(id string) bool {
	job := c.jobs[id]
	return job != nil && job.ended && !job.cancelled && job.unwritten > 0
}

// WaitingJobs counts the accepted jobs of a queue that have started no task.
func (c *Core) WaitingJobs(queue string) int {
	count := 0
	for _, job := range c.jobs {
		if !job.begun && !job.ended && job.workflow.Queue.Name == queue {
			count++
		}
	}
	return count
}

// reindex puts the stages of a job into the set of open ones, or takes them
// out.
func (c *Core) reindex(job *job) {
	for _, stage := range job.stages {
		if stage.waiting > 0 && !job.ended && !stage.gangBroken && stage.ready() {
			if _, ok := c.open[stage]; !ok {
				c.open[stage] = struct{}{}
				c.changes++
			}
			continue
		}
		delete(c.open, stage)
	}
}

// countFailure counts a failed attempt, and fails the job once the attempts of
// the task, or of the gang, are used up. It returns false for one that was
// counted before.
func (c *Core) countFailure(now Moment, stage *stage, task *task, number int) bool {
	failures := &task.failures
	if stage.spec.Gang {
		failures = &stage.gangFailures
	}
	if !failures.add(number) {
		return false
	}
	limit := stage.job.workflow.Queue.MaxAttempts
	if !stage.spec.LongRunning && limit > 0 && len(*failures) >= limit {
		stage.job.failed = true
		stage.job.end(now)
	}
	return true
}

// paceEstimate learns how far a queue's declared run times are off.
type paceEstimate struct {
	factor float64
	seen   int
}

// Limits of the learnt factor, and the weight of one observation.
const (
	// paceWeight lets about the last twenty tasks of a queue decide.
	paceWeight = 0.05
	paceMin    = 0.3
	paceMax    = 4.0
	// paceTrust is how many observations it takes before the factor is used.
	paceTrust = 5
)

func (c *Core) learn(queue string, declared, took time.Duration) {
	if declared <= 0 || took <= 0 {
		return
	}
	estimate := c.pace[queue]
	if estimate == nil {
		estimate = &paceEstimate{factor: 1}
		c.pace[queue] = estimate
	}
	estimate.seen++
	ratio := min(max(float64(took)/float64(declared), paceMin), paceMax)
	estimate.factor += paceWeight * (ratio - estimate.factor)
}

// runTime is the expected run time of a task of a step.
func (c *Core) runTime(queue string, spec *cairnbay.WorkflowStep) time.Duration {
	estimate := c.pace[queue]
	if estimate == nil || estimate.seen < paceTrust {
		return spec.RunTime
	}
	return time.Duration(float64(spec.RunTime) * estimate.factor)
}

// schedule sets a job's deadline. Declared run times are rough, so what its
// tasks have really taken counts instead once they have run.
func (c *Core) schedule(job *job) {
	job.chain = chain(job.workflow.Steps, func(step int) time.Duration {
		spec := &job.workflow.Steps[step]
		declared := c.runTime(job.workflow.Queue.Name, spec)
		stage := job.stages[stageKey{0, step}]
		switch {
		case stage == nil || stage.longest == 0:
			return declared
		case stage.done == len(stage.tasks):
			return stage.longest
		default:
			return max(declared, stage.longest)
		}
	})
	job.deadline = job.arrived + LatencyObjective(job.workflow.Queue, job.chain)
}

// chain is the expected time of the longest chain of steps.
func (c *Core) chain(workflow *cairnbay.Workflow) time.Duration {
	return chain(workflow.Steps, func(step int) time.Duration {
		return c.runTime(workflow.Queue.Name, &workflow.Steps[step])
	})
}

func chain(steps []cairnbay.WorkflowStep, takes func(step int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i := range steps {
		start := time.Duration(0)
		for _, earlier := range steps[i].After {
			start = max(start, ends[earlier])
		}
		ends[i] = start + takes(i)
		longest = max(longest, ends[i])
	}
	return longest
}
