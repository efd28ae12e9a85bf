package sched

import (
	"time"

	"cairnbay"
)

// AdviceWaitReason is what keeps a step from its first start.
type AdviceWaitReason string

// Reasons for which a step waits that needs the policy service.
const (
	// AdviceWaitAnswer is a call to the policy service in flight.
	AdviceWaitAnswer AdviceWaitReason = "call_in_flight"
	// AdviceWaitLimit is the limit of calls to the policy service, AdviceWaitBackoff the
	// pause after calls that failed or whose tickets were refused.
	AdviceWaitLimit   AdviceWaitReason = "policy_busy"
	AdviceWaitBackoff AdviceWaitReason = "backoff"
	// AdviceWaitWorkers is a lack of workers that the policy service permits, whatever runs
	// on them.
	AdviceWaitWorkers AdviceWaitReason = "no_permitted_worker"
	// AdviceWaitRoom is a lack of free capacity on the permitted workers.
	AdviceWaitRoom AdviceWaitReason = "no_room"
	// AdviceWaitTicket is the lack of a valid ticket, though permitted workers have room.
	AdviceWaitTicket AdviceWaitReason = "no_ticket"
	// AdviceWaitTurn is a step with valid tickets that other work precedes.
	AdviceWaitTurn AdviceWaitReason = "other_work_first"
)

// adviceWaitLimit is how long a step may wait for its first start before that is reported.
// Each further report comes after twice the time.
const adviceWaitLimit = 2 * time.Second

// AdviceWait reports a step that needs the policy service and of which nothing runs.
type AdviceWait struct {
	// Step identifies the step; its Index is that of the first task.
	Step   cairnbay.WorkflowTask
	Queue  string
	Reason AdviceWaitReason
	Waited time.Duration
	// Evaluated is the number of workers on which the policy service has decided, Permitted
	// the number of those that it permits, and Valid that of the tickets that still hold.
	Evaluated, Permitted, Valid int
	// Refusals counts the starts that were refused for their ticket.
	Refusals int
	// SinceCall is the time since the last call for the step, 0 if there was none.
	SinceCall time.Duration
}

// adviceWait is the state of a step that waits for its first start.
type adviceWait struct {
	from, reportAt time.Duration
	// reason is that of the last report, empty before the first.
	reason AdviceWaitReason
}

// updateAdviceWaits reports the steps that have waited for adviceWaitLimit, and again each
// time their wait has doubled.
func (c *Core) updateAdviceWaits(now Moment) {
	clear(c.waitingSteps)
	for stage := range c.readyStages {
		if stage.advice == nil || stage.hasBegun() {
			continue
		}
		wait := &stage.advice.wait
		if wait.from == 0 {
			*wait = adviceWait{from: now.BootTime, reportAt: now.BootTime + adviceWaitLimit}
		}
		if now.BootTime >= wait.reportAt {
			wait.reason = c.adviceWaitReason(now, stage)
			wait.reportAt = now.BootTime + (now.BootTime - wait.from)
			c.adviceWaits = append(c.adviceWaits, c.describeAdviceWait(now, stage))
		}
		if wait.reason != "" {
			c.waitingSteps[wait.reason]++
		}
	}
}

// hasBegun reports whether any attempt of the stage is known to run or may run.
func (s *stage) hasBegun() bool {
	if s.liveAttempts == 0 {
		return false
	}
	for i := range s.tasks {
		for _, attempt := range s.tasks[i].attempts() {
			if attempt.phase == phaseRunning || attempt.phase == phaseUncertain {
				return true
			}
		}
	}
	return false
}

func (c *Core) adviceWaitReason(now Moment, stage *stage) AdviceWaitReason {
	unit := stage.startUnit()
	switch {
	case stage.advice.inFlight:
		return AdviceWaitAnswer
	case c.fittingNow(now, stage, unit, true) < unit:
		return AdviceWaitWorkers
	case c.fittingNow(now, stage, unit, false) < unit:
		return AdviceWaitRoom
	case stage.advice.anyValid(now.BootTime):
		return AdviceWaitTurn
	case now.BootTime < stage.advice.retryAt:
		return AdviceWaitBackoff
	case !c.mayCallPolicy(now, stage):
		return AdviceWaitLimit
	default:
		return AdviceWaitTicket
	}
}

func (c *Core) describeAdviceWait(now Moment, stage *stage) AdviceWait {
	advice := stage.advice
	report := AdviceWait{
		Step: stage.ref(0), Queue: stage.job.workflow.Queue.Name, Reason: advice.wait.reason,
		Waited: now.BootTime - advice.wait.from, Evaluated: len(advice.evaluated), Permitted: len(advice.tickets),
		Refusals: advice.refusals,
	}
	for worker := range advice.tickets {
		if advice.valid(worker, now.BootTime) {
			report.Valid++
		}
	}
	if advice.requestedAt > 0 {
		report.SinceCall = now.BootTime - advice.requestedAt
	}
	return report
}

// TakeAdviceWaits returns the reports since the last call.
func (c *Core) TakeAdviceWaits() []AdviceWait {
	taken := c.adviceWaits
	c.adviceWaits = nil
	return taken
}

// WaitingSteps counts, by the reason of their last report, the steps that have waited for
// longer than two seconds at the last tick. The result is valid until the next Plan.
func (c *Core) WaitingSteps() map[AdviceWaitReason]int {
	return c.waitingSteps
}
