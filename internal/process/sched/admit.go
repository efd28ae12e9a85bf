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

// Admission is the verdict on a submission.
type Admission struct {
	Accept bool
	Reason string
	// RetryAfter is when the queue ahead is expected to be short enough.
	RetryAfter time.Duration
	// ExpectedWait is the expected time until the job's first task starts, and Slack how
	// long it may wait and still be worth something.
	ExpectedWait, Slack time.Duration
}

const (
	// packing is the share of a class's capacity that waiting work can be given:
	// the rest is lost between tasks of unlike sizes.
	packing = 0.85
	// worthFactor times the objective is when a late job is worth nothing more, by
	// the users' rules.
	worthFactor = 3
	// noWorkersRetry is the Retry-After while no worker is known.
	noWorkersRetry = 2 * time.Second
)

// Admit decides on a submission. It answers a load far above the class's
// capacity: a job is refused when the work ahead of it would take until it is
// worth nothing. Below that the order of waiting work decides, which lets a job
// that is late already give way to those that can be in time; refusing each job
// that might be late left workers idle between gangs.
func (c *Core) Admit(now Moment, workflow cairnbay.Workflow) Admission {
	capacity, fits := c.capacity(workflow.Steps)
	if capacity.IsZero() {
		return Admission{Reason: ReasonNoWorkers, RetryAfter: noWorkersRetry}
	}
	if !fits {
		return Admission{Reason: ReasonNeverFits, RetryAfter: noWorkersRetry}
	}
	chain := c.chain(&workflow)
	verdict := Admission{
		Accept:       true,
		Slack:        worthFactor*LatencyObjective(workflow.Queue, chain) - chain,
		ExpectedWait: c.wait(now, workflow, capacity),
	}
	if verdict.ExpectedWait > verdict.Slack && workflow.Occurrences == 0 && !workflow.Steps[0].LongRunning {
		verdict.Accept = false
		verdict.Reason = ReasonQueueTooLong
		verdict.RetryAfter = verdict.ExpectedWait - verdict.Slack
	}
	return verdict
}

// capacity sums what the known workers have, and says whether each step fits on
// one of them. Workers that have not answered a new owner yet count, since they
// do so within moments.
func (c *Core) capacity(steps []cairnbay.WorkflowStep) (total cairnbay.Resources, fits bool) {
	possible := make([]bool, len(steps))
	for _, worker := range c.ordered {
		if worker.entry.Draining {
			continue
		}
		total = total.Add(worker.entry.Capacity)
		for i := range steps {
			possible[i] = possible[i] || worker.admits(&steps[i])
		}
	}
	for _, ok := range possible {
		if !ok {
			return total, false
		}
	}
	return total, true
}

// wait estimates how long the work ahead of a new job keeps its class busy. Jobs
// that are late already do not go before it.
func (c *Core) wait(now Moment, workflow cairnbay.Workflow, capacity cairnbay.Resources) time.Duration {
	var ahead [cairnbay.Dimensions]float64
	for stage := range c.open {
		if stage.job.workflow.Queue.Priority > workflow.Queue.Priority || c.urgency(now, stage) > urgencyInTime {
			continue
		}
		c.addWork(&ahead, stage)
	}
	longest := time.Duration(0)
	for i, whole := range capacity.Values() {
		if whole <= 0 || !needs(workflow.Steps, i) {
			continue
		}
		longest = max(longest, time.Duration(ahead[i]/(float64(whole)*packing)*float64(time.Second)))
	}
	return longest
}

// needs says whether any step takes of the dimension.
func needs(steps []cairnbay.WorkflowStep, dimension int) bool {
	for i := range steps {
		if need(&steps[i]).Values()[dimension] > 0 {
			return true
		}
	}
	return false
}

// addWork adds the resource-seconds of a stage's waiting tasks.
func (c *Core) addWork(ahead *[cairnbay.Dimensions]float64, stage *stage) {
	seconds := c.runTime(stage.job.workflow.Queue.Name, stage.spec).Seconds() * float64(stage.waiting)
	for i, part := range need(stage.spec).Values() {
		ahead[i] += seconds * float64(part)
	}
}
