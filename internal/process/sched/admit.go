package sched

import (
	"fmt"
	"time"

	"cairnbay"
)

// Reasons of a refusal.
const (
	// ReasonNoWorkers is for a class without capacity on workers that do not drain.
	ReasonNoWorkers = "no_workers"
	// ReasonNeverFits is for a job with a step that no empty worker can run.
	ReasonNeverFits = "never_fits"
	// ReasonJobTooLarge is for a job whose Footprint exceeds MaxJobFootprint.
	ReasonJobTooLarge = "job_too_large"
	// ReasonMemory is for an owner that has no memory left for the job.
	ReasonMemory = "owner_memory"
	// ReasonQueueTooLong is for an expected wait beyond the slack.
	ReasonQueueTooLong = "queue_too_long"
)

// Admission is the decision on a submission.
type Admission struct {
	Accept bool
	// Invalid is set for a job that no owner accepts at any time.
	Invalid bool
	Reason  string
	// Detail names what Reason is about, empty for most.
	Detail string
	// RetryAfter is the time until the caller should submit again; set only on
	// a refusal.
	RetryAfter time.Duration
	// ExpectedWait is the estimated time until the job's first task starts.
	// Slack is the longest wait after which the job still ends within
	// maxLatenessFactor times its objective, or within its objective if it is surplus.
	// Both are 0 where no worker can run the job.
	ExpectedWait, Slack time.Duration
	// Surplus is set for a job beyond the rate of its workspace, see fairness.
	Surplus bool
}

const (
	// packingEfficiency is the share of a class's capacity that tasks can use;
	// the rest is lost to fragmentation between tasks of different sizes.
	packingEfficiency = 0.85
	// maxLatenessFactor times the latency objective is the longest latency that
	// has a value by the users' rules.
	maxLatenessFactor = 3
	// unrunnableRetryAfter is the RetryAfter where the class has no workers, or
	// none that a step fits on.
	unrunnableRetryAfter = 2 * time.Second
)

// Admit decides on a submission. A job is refused if its expected wait exceeds
// its slack, except long-running jobs and those with occurrences. Jobs that may
// only miss their objective are accepted, since late stages are placed last;
// refusing them left workers idle between gangs.
func (c *Core) Admit(now Moment, workflow cairnbay.Workflow) Admission {
	footprint := Footprint(&workflow)
	if footprint > MaxJobFootprint {
		return Admission{
			Invalid: true, Reason: ReasonJobTooLarge, Detail: fmt.Sprintf("needs %d MB, at most %d MB", toMB(footprint), MaxJobFootprint>>20),
		}
	}
	if !c.memory.admits(footprint) {
		return Admission{Reason: ReasonMemory, RetryAfter: unrunnableRetryAfter}
	}
	capacity, runnable := c.classCapacity(workflow.Steps)
	if capacity.IsZero() {
		return Admission{Reason: ReasonNoWorkers, RetryAfter: unrunnableRetryAfter}
	}
	if !runnable {
		return Admission{Reason: ReasonNeverFits, RetryAfter: unrunnableRetryAfter}
	}
	if resource := c.tooLargeForQuota(&workflow); resource != "" {
		return Admission{
			Reason: ReasonQuotaTooSmall, Detail: "workspace " + workflow.Workspace + ", " + resource, RetryAfter: unrunnableRetryAfter,
		}
	}
	criticalPath := c.criticalPath(&workflow)
	if c.fairness.appliesTo(c.group(workflow.Workspace)) {
		return c.admitFairly(now, workflow, capacity, criticalPath)
	}
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

// expectedWait estimates the time that the class takes for the waiting tasks of
// ready stages of equal or higher priority. Late stages do not count, since the
// new job precedes them.
func (c *Core) expectedWait(now Moment, workflow cairnbay.Workflow, capacity cairnbay.Resources) time.Duration {
	var workAhead [cairnbay.Dimensions]float64
	for stage := range c.readyStages {
		if stage.job.workflow.Queue.Priority > workflow.Queue.Priority || c.urgency(now, stage) > urgencyPatient {
			continue
		}
		c.addWork(&workAhead, stage)
	}
	uses := func(dimension int) bool { return usesDimension(workflow.Steps, dimension) }
	return timeForWork(workAhead, capacity, uses)
}

// updateBacklog estimates the time that the class takes for all waiting tasks of
// ready stages.
func (c *Core) updateBacklog() {
	var work [cairnbay.Dimensions]float64
	for stage := range c.readyStages {
		c.addWork(&work, stage)
	}
	capacity, _ := c.classCapacity(nil)
	c.fairness.capacity = capacity
	c.backlog = timeForWork(work, capacity, func(int) bool { return true })
}

// timeForWork is the time that workers with a capacity take for work, by the
// scarcest of the resources that count.
func timeForWork(work [cairnbay.Dimensions]float64, capacity cairnbay.Resources, counts func(dimension int) bool) time.Duration {
	longest := time.Duration(0)
	for i, total := range capacity.Values() {
		if total <= 0 || !counts(i) {
			continue
		}
		longest = max(longest, time.Duration(work[i]/(float64(total)*packingEfficiency)*float64(time.Second)))
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
	seconds := c.expectedRunTime(c.uses.Admit, stage).Seconds() * float64(stage.waiting)
	for i, amount := range demand(stage.spec).Values() {
		work[i] += seconds * float64(amount)
	}
}
