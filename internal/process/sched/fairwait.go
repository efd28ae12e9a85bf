package sched

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cairnbay"
	"cairnbay/internal/process/share"
)

// ReasonWorkspaceQueueTooLong is for an expected wait beyond the slack because of the
// waiting work of the job's own workspace.
const ReasonWorkspaceQueueTooLong = "workspace_queue_too_long"

const (
	// minWorkspaceRetryAfter is the least Retry-After: the bucket of a workspace holds
	// one second's worth of jobs, of which half is there again.
	minWorkspaceRetryAfter = 500 * time.Millisecond
	// maxWorkspaceRetryAfter bounds it: bursts last up to 8 s, and callers that come
	// back later find the class idle.
	maxWorkspaceRetryAfter = 15 * time.Second
	// retryJitter is the part of the Retry-After that is added at most, by the hash of
	// the job's ID, so that refused callers do not all come back at once.
	retryJitter = 0.5
)

// backlog is the waiting work of a group that a new job waits for, in resource-seconds.
type backlog struct {
	entitled, surplus [cairnbay.Dimensions]float64
}

// fairWait estimates the wait of a job among the work of several groups.
type fairWait struct {
	group    *group
	surplus  bool
	capacity cairnbay.Resources
	uses     func(dimension int) bool
	backlogs map[*group]*backlog
}

// admitFairly is Admit for a class that several groups use. An entitled job waits for the
// work of its own group and that of others up to their shares. A surplus job waits for
// all entitled work as well, except that of groups that overload the class, and is refused once it would miss its objective: late work
// has less value, and it would take capacity from work that is entitled to it.
func (c *Core) admitFairly(now Moment, workflow cairnbay.Workflow, capacity cairnbay.Resources, criticalPath time.Duration) Admission {
	group := c.group(workflow.Workspace)
	group.settleInherited()
	objective := LatencyObjective(workflow.Queue, criticalPath)
	admission := Admission{
		Accept: true, Slack: maxLatenessFactor*objective - criticalPath,
		Surplus: group.known && !group.bucket.has(now.UnixMS, group.entitledRate()),
	}
	if admission.Surplus {
		admission.Slack = objective - criticalPath
	}
	wait := fairWait{
		group: group, surplus: admission.Surplus, capacity: capacity,
		uses: func(dimension int) bool { return usesDimension(workflow.Steps, dimension) },
	}
	c.collectBacklogs(now, &wait, workflow.Queue.Priority)
	admission.ExpectedWait = wait.expected()
	if admission.ExpectedWait <= admission.Slack || workflow.Occurrences > 0 || workflow.Steps[0].LongRunning {
		return admission
	}
	admission.Accept = false
	admission.Reason = ReasonQueueTooLong
	retryAfter := admission.ExpectedWait - admission.Slack
	if drain := wait.drainTime(c.fairness.activeWeight()); drain > 0 {
		admission.Reason = ReasonWorkspaceQueueTooLong
		retryAfter = drain
	}
	retryAfter = min(max(retryAfter, minWorkspaceRetryAfter), maxWorkspaceRetryAfter)
	part := float64(xxhash.Sum64String(workflow.ID)%1024) / 1024
	admission.RetryAfter = retryAfter + time.Duration(part*retryJitter*float64(retryAfter))
	return admission
}

// collectBacklogs sums the work that precedes a job of a priority. Late stages and surplus
// do not precede entitled work.
func (c *Core) collectBacklogs(now Moment, wait *fairWait, priority int) {
	wait.backlogs = make(map[*group]*backlog)
	for stage := range c.readyStages {
		if !wait.surplus && (stage.job.surplus || stage.job.workflow.Queue.Priority > priority || c.urgency(now, stage) > urgencyPatient) {
			continue
		}
		work := wait.backlogs[stage.job.group]
		if work == nil {
			work = &backlog{}
			wait.backlogs[stage.job.group] = work
		}
		if stage.job.surplus {
			c.addWork(&work.surplus, stage)
		} else {
			c.addWork(&work.entitled, stage)
		}
	}
}

// expected is the time until the class has done the work that precedes the job, if it
// divides its capacity by weight: by the time at which the group's own work is done,
// each other group has got as much per weight, or all that it wants.
func (w *fairWait) expected() time.Duration {
	own := w.own()
	var ahead [cairnbay.Dimensions]float64
	for other, work := range w.backlogs {
		ratio := other.shareWeight() / w.group.shareWeight()
		for i := range ahead {
			switch {
			case !w.surplus:
				ahead[i] += min(work.entitled[i], own.entitled[i]*ratio)
			case other.overloads() && !w.group.overloads():
				ahead[i] += min(work.entitled[i]+work.surplus[i], (own.entitled[i]+own.surplus[i])*ratio)
			default:
				ahead[i] += work.entitled[i] + min(work.surplus[i], own.surplus[i]*ratio)
			}
		}
	}
	return timeForWork(ahead, w.capacity, w.uses)
}

// own is the work of the job's own group.
func (w *fairWait) own() backlog {
	if work := w.backlogs[w.group]; work != nil {
		return *work
	}
	return backlog{}
}

// drainTime is how long the group takes for its waiting work at the rate at which it is
// served: that of its average use, or of its part of the class if that is more.
func (w *fairWait) drainTime(activeWeight float64) time.Duration {
	own := w.own()
	part := packingEfficiency * w.group.shareWeight() / max(activeWeight, w.group.shareWeight())
	entitledTo := share.Of(w.capacity)
	longest := 0.0
	for i := range entitledTo {
		if rate := max(part*entitledTo[i], w.group.average[i]); rate > 0 && w.uses(i) {
			longest = max(longest, (own.entitled[i]+own.surplus[i])/rate)
		}
	}
	return time.Duration(longest * float64(time.Second))
}
