package sched

import (
	"maps"
	"time"

	"cairnbay"
)

// GangWaitReason is what a gang that is ready to start waits for.
type GangWaitReason string

// Reasons for which a gang waits. Once it needs nothing but the result of a plan, the last
// one goes on.
const (
	// GangWaitDecision is a call on workers about which the policy service was not asked
	// before, or the pause before the next one.
	GangWaitDecision GangWaitReason = "policy_decision"
	// GangWaitTicket is a call for tickets of the workers on which the gang can start.
	GangWaitTicket GangWaitReason = "tickets"
	// GangWaitPolicy is the limit of calls to the policy service, or the pause after calls
	// that failed or whose tickets were refused.
	GangWaitPolicy GangWaitReason = "policy_busy"
	// GangWaitCapacity is the work that still runs on the workers reserved for the gang.
	GangWaitCapacity GangWaitReason = "reserved_capacity"
	// GangWaitReservation is the limit of gangs with reservations.
	GangWaitReservation GangWaitReason = "reservation_limit"
	// GangWaitWorkers is a lack of workers that the gang may use, whenever they are free.
	GangWaitWorkers GangWaitReason = "too_few_workers"
)

// GangWaitEvent is why a GangWait is reported.
type GangWaitEvent string

// Events with a report.
const (
	GangStarted GangWaitEvent = "started"
	// GangLate is the first plan in which the gang can no longer meet its objective.
	GangLate GangWaitEvent = "late"
	// GangNotBegun is the end of the job before the gang has started.
	GangNotBegun GangWaitEvent = "ended_without_start"
)

// GangWait reports how long a gang has waited and for what.
type GangWait struct {
	Event GangWaitEvent
	// Step identifies the step; its Index is that of the first task.
	Step    cairnbay.WorkflowTask
	Queue   string
	Members int
	Waited  time.Duration
	// ByReason sums up to Waited.
	ByReason map[GangWaitReason]time.Duration
	// Evaluated is the number of workers on which the policy service has decided, Allowed
	// the number of those that it allows.
	Evaluated, Allowed int
}

// gangWait accumulates the waiting time of a gang.
type gangWait struct {
	reason GangWaitReason
	// from is when the gang began to wait, last when byReason was brought up to date.
	from, last time.Duration
	byReason   map[GangWaitReason]time.Duration
	// late is set once GangLate is reported.
	late bool
}

// noteGangWait adds the time since the last note to the former reason.
func (c *Core) noteGangWait(now Moment, stage *stage, reason GangWaitReason) {
	wait := stage.gangWait
	if wait == nil {
		if _, ready := c.readyStages[stage]; !ready || !stage.spec.Gang {
			return
		}
		wait = &gangWait{from: now.BootTime, last: now.BootTime, byReason: make(map[GangWaitReason]time.Duration)}
		stage.gangWait = wait
	}
	if wait.reason != "" {
		wait.byReason[wait.reason] += now.BootTime - wait.last
	}
	wait.reason, wait.last = reason, now.BootTime
}

// noteGangLate reports a gang once it can no longer meet its objective.
func (c *Core) noteGangLate(now Moment, entry rankedStage) {
	wait := entry.stage.gangWait
	if wait == nil || wait.late || entry.urgency < urgencyLate {
		return
	}
	wait.late = true
	c.reportGangWait(now, entry.stage, GangLate)
}

// endGangWait reports a gang that starts or whose job has ended.
func (c *Core) endGangWait(now Moment, stage *stage, event GangWaitEvent) {
	if !stage.spec.Gang || stage.gangWait == nil {
		return
	}
	c.reportGangWait(now, stage, event)
	stage.gangWait = nil
}

func (c *Core) reportGangWait(now Moment, stage *stage, event GangWaitEvent) {
	wait := stage.gangWait
	c.noteGangWait(now, stage, wait.reason)
	report := GangWait{
		Event: event, Step: stage.ref(0), Queue: stage.job.workflow.Queue.Name, Members: len(stage.tasks),
		Waited: now.BootTime - wait.from, ByReason: maps.Clone(wait.byReason),
	}
	if stage.advice != nil {
		report.Evaluated, report.Allowed = len(stage.advice.evaluated), len(stage.advice.tickets)
	}
	c.gangWaits = append(c.gangWaits, report)
}

// TakeGangWaits returns the reports since the last call.
func (c *Core) TakeGangWaits() []GangWait {
	taken := c.gangWaits
	c.gangWaits = nil
	return taken
}
