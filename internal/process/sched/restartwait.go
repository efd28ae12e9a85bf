package sched

import (
	"time"

	"cairnbay"
)

// RestartWaitReason is what keeps tasks that last, and have run, from their next start.
type RestartWaitReason string

// Reasons for which a task waits for its next start. For a step that needs the policy
// service, those of AdviceWaitReason follow.
const (
	// RestartWaitRecovery is a former owner's task that may still run.
	RestartWaitRecovery RestartWaitReason = "recovery"
	// RestartWaitQuota is a lack of room in the part of the workspace.
	RestartWaitQuota RestartWaitReason = "quota"
	// RestartWaitTrialBound is a suspect that waits until fewer trials are under way,
	// RestartWaitTrialWorker one that waits for a worker of its own.
	RestartWaitTrialBound  RestartWaitReason = "trial_bound"
	RestartWaitTrialWorker RestartWaitReason = "trial_worker"
	// RestartWaitRoom is a lack of free capacity, RestartWaitTurn other work that goes first.
	RestartWaitRoom = RestartWaitReason(AdviceWaitRoom)
	RestartWaitTurn = RestartWaitReason(AdviceWaitTurn)
)

// restartWaitLimit is how long a task that lasts may wait for its next start before that is
// reported. A further report follows when the reason has changed, and after twice the time.
const restartWaitLimit = 2 * time.Second

// RestartWait reports a step of which tasks that last have run and wait for their next
// start.
type RestartWait struct {
	// Step identifies the step; its Index is that of the first task.
	Step   cairnbay.WorkflowTask
	Queue  string
	Reason RestartWaitReason
	Waited time.Duration
	// Waiting is the number of tasks that wait, Suspects that of those that may start on
	// trial only.
	Waiting, Suspects int
	// Trials is the sum of the crashes expected of the trials under way, and QueueRisk the
	// share of the queue's starts that crash their workers, both in thousandths.
	Trials, QueueRisk int
}

// restartWait is the state of a step that waits so.
type restartWait struct {
	from, reportAt time.Duration
	reason         RestartWaitReason
}

// updateRestartWaits reports the steps of which a task that lasts has waited for
// restartWaitLimit.
func (c *Core) updateRestartWaits(now Moment) {
	for stage := range c.readyStages {
		if !stage.replaces() {
			stage.restartWait = restartWait{}
			continue
		}
		wait := &stage.restartWait
		if wait.from == 0 {
			*wait = restartWait{from: now.BootTime, reportAt: now.BootTime + restartWaitLimit}
		}
		if now.BootTime-wait.from < restartWaitLimit {
			continue
		}
		if reason := c.restartWaitReason(now, stage); reason != wait.reason || now.BootTime >= wait.reportAt {
			wait.reason, wait.reportAt = reason, now.BootTime+(now.BootTime-wait.from)
			c.restartWaits = append(c.restartWaits, c.describeRestartWait(now, stage))
		}
	}
}

func (c *Core) restartWaitReason(now Moment, stage *stage) RestartWaitReason {
	unit := stage.startUnit()
	switch {
	case c.blockInherited && stage.job.inherited:
		return RestartWaitRecovery
	case c.quotaRoom(now, stage) < unit:
		return RestartWaitQuota
	case c.waitsForTrial(stage):
		return RestartWaitTrialBound
	case stage.advice != nil && (stage.advice.inFlight || c.fittingNow(now, stage, unit, false) < unit):
		return RestartWaitReason(c.adviceWaitReason(now, stage))
	case c.fittingNow(now, stage, unit, false) < unit:
		return RestartWaitRoom
	case c.waitingSuspects(stage) == stage.waiting:
		return RestartWaitTrialWorker
	case stage.advice != nil:
		return RestartWaitReason(c.adviceWaitReason(now, stage))
	default:
		return RestartWaitTurn
	}
}

func (c *Core) describeRestartWait(now Moment, stage *stage) RestartWait {
	report := RestartWait{
		Step: stage.ref(0), Queue: stage.job.workflow.Queue.Name, Reason: stage.restartWait.reason,
		Waited: now.BootTime - stage.restartWait.from, Waiting: stage.waiting, Suspects: c.waitingSuspects(stage),
		Trials: c.trials,
	}
	if queue := c.queueRisks[report.Queue]; queue != nil {
		report.QueueRisk = int(oneCrash * queue.share)
	}
	return report
}

// TakeRestartWaits returns the reports since the last call.
func (c *Core) TakeRestartWaits() []RestartWait {
	taken := c.restartWaits
	c.restartWaits = nil
	return taken
}
