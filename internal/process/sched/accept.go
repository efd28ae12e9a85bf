package sched

import (
	"time"

	"cairnbay"
)

// Accept adds a job whose acceptance is in the store. inherited is set if a
// former owner accepted it. A job that the core already has is left unchanged.
func (c *Core) Accept(now Moment, workflow cairnbay.Workflow, inherited bool) {
	if c.jobs[workflow.ID] != nil {
		return
	}
	accepted := &job{
		workflow: workflow, workspace: c.workspace(workflow.Workspace), group: c.group(workflow.Workspace), inherited: inherited, acceptedAt: now.BootTime,
		stages: make(map[stageKey]*stage), memory: &c.memory,
	}
	accepted.account(jobFootprint + int64(len(workflow.Payload)))
	if accepted.workspace != nil && accepted.workspace.seenAt == 0 {
		accepted.workspace.seenAt = now.BootTime
	}
	age := time.Duration(now.UnixMS-workflow.AcceptedUnixMS) * time.Millisecond
	accepted.firstAcceptedAt = now.BootTime - max(age, 0)
	c.updateDeadline(accepted)
	c.jobs[workflow.ID] = accepted
	accepted.group.addJob(accepted, inherited)
	if workflow.Occurrences == 0 {
		accepted.addOccurrence()
	}
	c.updateReadyStages(accepted)
}

// HasJob reports whether the job was accepted and not removed since.
func (c *Core) HasJob(id string) bool {
	return c.jobs[id] != nil
}

// LatencyObjective is the time from submission to completion that the queue
// aims at for a job with this critical path.
func LatencyObjective(queue cairnbay.Queue, criticalPath time.Duration) time.Duration {
	return time.Duration(queue.Stretch*float64(criticalPath)) + queue.TargetLatency
}

// Cancel ends a job and reports whether it exists.
func (c *Core) Cancel(now Moment, id string) bool {
	job := c.jobs[id]
	if job == nil {
		return false
	}
	if job.cancelled {
		return true
	}
	job.cancelled = true
	c.endJob(now, job)
	return true
}

// endJob ends a job and stops its attempts.
func (c *Core) endJob(now Moment, job *job) {
	job.markEnded(now)
	for _, stage := range job.stages {
		c.endGangWait(now, stage, GangNotBegun)
	}
	c.updateReadyStages(job)
	if job.attempts == 0 {
		return
	}
	for _, worker := range c.sortedWorkers {
		for _, attempt := range worker.attempts {
			if attempt.stage != nil && attempt.stage.job == job {
				c.stop(attempt, CauseCancelled)
			}
		}
	}
}

// stop marks an attempt for a stop. An attempt that has not been ordered yet is
// detached at once.
func (c *Core) stop(a *attempt, cause EndCause) {
	if a.phase == phaseReserved {
		c.detach(a)
		return
	}
	if a.stopCause == "" {
		a.stopCause = cause
	}
}

// State returns the state of a job as shown to callers.
func (c *Core) State(id string) cairnbay.WorkflowState {
	job := c.jobs[id]
	if job == nil {
		return cairnbay.WorkflowUnknown
	}
	return job.state()
}

// IsWhole reports whether no other shard has a portion of a job, as layout.Assign spreads
// only jobs whose tasks last. It is false for a job of which only the end is known.
func (c *Core) IsWhole(id string) bool {
	job := c.jobs[id]
	if job == nil || len(job.workflow.Steps) == 0 {
		return false
	}
	step := &job.workflow.Steps[0]
	return len(job.workflow.Steps) > 1 || !step.LongRunning || step.Gang || step.Rack != ""
}

// Persisting reports whether a job has ended but its last records are not in
// the store yet, so that callers still see it running.
func (c *Core) Persisting(id string) bool {
	job := c.jobs[id]
	return job != nil && job.ended && !job.cancelled && job.unwritten > 0
}

// WaitingJobs counts the accepted jobs of a queue that have started no task. A job whose
// path is not known counts by the name of its queue.
func (c *Core) WaitingJobs(path cairnbay.QueuePath, name string) int {
	count := 0
	for _, job := range c.jobs {
		if job.started || job.ended {
			continue
		}
		known := job.workflow.Queue.Path()
		if known == path || known == (cairnbay.QueuePath{}) && job.workflow.Queue.Name == name {
			count++
		}
	}
	return count
}

// MayHaveJobsOf reports whether any job is of a queue, or may be: the queue of a job that
// ended under a former owner is not known.
func (c *Core) MayHaveJobsOf(queue cairnbay.QueuePath) bool {
	for _, job := range c.jobs {
		if path := job.workflow.Queue.Path(); path == queue || path == (cairnbay.QueuePath{}) {
			return true
		}
	}
	return false
}

// updateReadyStages updates readyStages for a job. A stage is ready if its
// predecessors are done, some of its tasks wait, its job has not ended and its
// gang is not being aborted.
func (c *Core) updateReadyStages(job *job) {
	for _, stage := range job.stages {
		if stage.waiting > 0 && !job.ended && !stage.gangAborting && stage.ready() {
			if _, ok := c.readyStages[stage]; !ok {
				c.readyStages[stage] = struct{}{}
				c.changeCount++
			}
			continue
		}
		delete(c.readyStages, stage)
		if stage.waiting == 0 {
			stage.restartWait = restartWait{}
		}
	}
}

// countFailure counts a failed attempt and marks the job as failed and ended
// after MaxAttempts failures of a task or gang; stopping its attempts is left
// to the caller. Long-running steps have no limit, nor has MaxAttempts 0. It
// returns false for an attempt that was counted before.
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
		stage.job.markEnded(now)
	}
	return true
}

// runTimeRatio is the exponential moving average of measured over declared run
// time for the tasks of a queue.
type runTimeRatio struct {
	ratio        float64
	observations int
}

// Bounds of one observed ratio and its weight in the average.
const (
	// runTimeSmoothing averages over about the last twenty tasks of a queue.
	runTimeSmoothing = 0.05
	minRunTimeRatio  = 0.3
	maxRunTimeRatio  = 4.0
	// minRunTimeObservations is the number of observations from which the ratio
	// is used.
	minRunTimeObservations = 5
)

func (c *Core) observeRunTime(queue string, declared, measured time.Duration) {
	if declared <= 0 || measured <= 0 {
		return
	}
	average := c.runTimeRatios[queue]
	if average == nil {
		average = &runTimeRatio{ratio: 1}
		c.runTimeRatios[queue] = average
	}
	average.observations++
	observed := min(max(float64(measured)/float64(declared), minRunTimeRatio), maxRunTimeRatio)
	average.ratio += runTimeSmoothing * (observed - average.ratio)
}

// runTime is the estimated run time of one task of a step.
func (c *Core) runTime(queue string, spec *cairnbay.WorkflowStep) time.Duration {
	average := c.runTimeRatios[queue]
	if average == nil || average.observations < minRunTimeObservations {
		return spec.RunTime
	}
	return time.Duration(float64(spec.RunTime) * average.ratio)
}

// updateDeadline sets a job's critical path and deadline. Declared run times
// are rough, so a completed step counts with its longest measured run time, and
// a partly completed one with at least that. Only the first occurrence is
// considered.
func (c *Core) updateDeadline(job *job) {
	job.criticalPath = criticalPath(job.workflow.Steps, func(step int) time.Duration {
		declared := c.expectedStepRunTime(c.config.Learn.Order, &job.workflow, step)
		stage := job.stages[stageKey{0, step}]
		if c.config.Learn.Order && stage != nil && stage.runs != nil {
			declared = c.predictRunTime(stage, nil).Median
		}
		switch {
		case stage == nil || stage.longestRunTime == 0:
			return declared
		case stage.done == len(stage.tasks):
			return stage.longestRunTime
		default:
			return max(declared, stage.longestRunTime)
		}
	})
	job.deadline = job.firstAcceptedAt + LatencyObjective(job.workflow.Queue, job.criticalPath)
}

// criticalPath is the estimated run time of the longest chain of steps.
func (c *Core) criticalPath(workflow *cairnbay.Workflow) time.Duration {
	return criticalPath(workflow.Steps, func(step int) time.Duration {
		return c.expectedStepRunTime(c.uses.Admit, workflow, step)
	})
}

func criticalPath(steps []cairnbay.WorkflowStep, runTime func(step int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i := range steps {
		start := time.Duration(0)
		for _, predecessor := range steps[i].After {
			start = max(start, ends[predecessor])
		}
		ends[i] = start + runTime(i)
		longest = max(longest, ends[i])
	}
	return longest
}
