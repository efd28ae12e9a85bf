package sched

import (
	"time"

	"cairnbay"
)

// Reasons of a refusal.
const (
	ReasonNoWorkers    = "no_workers"
	ReasonNeverFits    = "never_fits"
	ReasonQueueTooLong = "queue_too_long"
)

// Admission is the decision on a submission.
type Admission struct {
	Accept bool
	Reason string
	// RetryAfter is when the queue is expected to be short enough again.
	RetryAfter time.Duration
	// ExpectedWait is the estimated time until the job's first task starts.
	// Slack is how long the job may wait and still have a value.
	ExpectedWait, Slack time.Duration
}

const (
	// packingEfficiency is the share of a class's capacity that tasks can use;
	// the rest is lost to fragmentation between tasks of different sizes.
	packingEfficiency = 0.85
	// maxLatenessFactor is multiplied by the latency objective. By the users'
	// rules a job that takes longer has no value.
	maxLatenessFactor = 3
	// noWorkersRetryAfter is the Retry-After of a submission that no listed
	// worker can run.
	noWorkersRetryAfter = 2 * time.Second
)

// Admit decides on a submission. It sheds load far above the class's capacity:
// a job is refused if its expected wait exceeds its slack. Below that load, the
// order of waiting work lets late jobs yield to those that can meet their
// objective. Refusing every job that might be late left workers idle between
// gangs.
func (c *Core) Admit(now Moment, workflow cairnbay.Workflow) Admission {
	capacity, runnable := c.classCapacity(workflow.Steps)
	if capacity.IsZero() {
		return Admission{Reason: ReasonNoWorkers, RetryAfter: noWorkersRetryAfter}
	}
	if !runnable {
		return Admission{Reason: ReasonNeverFits, RetryAfter: noWorkersRetryAfter}
	}
	criticalPath := c.criticalPath(&workflow)
	admission := Admission{
		Accept:       true,
		Slack:        maxLatenessFactor*LatencyObjective(workflow.Queue, criticalPath) - criticalPath,
		ExpectedWait: c.expectedWait(now, workflow, capacity),
	}
	if admission.ExpectedWait > admission.Slack && workflow.Occurrences == 0 && !workflow.Steps[0].LongRunning {
		admission.Accept = false
		admission.Reason = ReasonQueueTooLong
		admission.RetryAfter = admission.ExpectedWait - admission.Slack
	}
	return admission
}

// classCapacity sums the capacity of the workers that are not draining and
// reports whether each step fits on one of them. Workers that have not answered
// a new owner yet count, since they answer shortly.
func (c *Core) classCapacity(steps []cairnbay.WorkflowStep) (total cairnbay.Resources, runnable bool) {
	stepRunnable := make([]bool, len(steps))
	for _, worker := range c.sortedWorkers {
		if worker.entry.Draining {
			continue
		}
		total = total.Add(worker.entry.Capacity)
		for i := range steps {
			stepRunnable[i] = stepRunnable[i] || worker.canRun(&steps[i])
		}
	}
	for _, ok := range stepRunnable {
		if !ok {
			return total, false
		}
	}
	return total, true
}

// expectedWait estimates how long the work ahead of a new job occupies its
// class. Late jobs do not count, since they yield to it.
func (c *Core) expectedWait(now Moment, workflow cairnbay.Workflow, capacity cairnbay.Resources) time.Duration {
	var workAhead [cairnbay.Dimensions]float64
	for stage := range c.readyStages {
		if stage.job.workflow.Queue.Priority > workflow.Queue.Priority || c.urgency(now, stage) > urgencyInTime {
			continue
		}
		c.addWork(&workAhead, stage)
	}
	longest := time.Duration(0)
	for i, total := range capacity.Values() {
		if total <= 0 || !usesDimension(workflow.Steps, i) {
			continue
		}
		longest = max(longest, time.Duration(workAhead[i]/(float64(total)*packingEfficiency)*float64(time.Second)))
	}
	return longest
}

// usesDimension reports whether any step reserves the resource.
func usesDimension(steps []cairnbay.WorkflowStep, dimension int) bool {
	for i := range steps {
		if demand(&steps[i]).Values()[dimension] > 0 {
			return true
		}
	}
	return false
}

// addWork adds the resource-seconds of a stage's waiting tasks.
func (c *Core) addWork(work *[cairnbay.Dimensions]float64, stage *stage) {
	seconds := c.runTime(stage.job.workflow.Queue.Name, stage.spec).Seconds() * float64(stage.waiting)
	for i, amount := range demand(stage.spec).Values() {
		work[i] += seconds * float64(amount)
	}
}
