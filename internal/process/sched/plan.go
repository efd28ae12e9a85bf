package sched

import (
	"cmp"
	"slices"
	"time"

	"cairnbay"
)

// Action is an order that the owner carries out. Exactly one field is set.
type Action struct {
	Start  *StartAction
	Stop   *StopAction
	Advise *AdviseAction
}

// StartAction starts an attempt.
type StartAction struct {
	Target     cairnbay.AgentTarget
	Task       cairnbay.WorkflowTask
	Attempt    int
	Payload    string
	Checkpoint string
	Ticket     string
	// Waited is the time from the job's acceptance by this owner to the start.
	Waited time.Duration
}

// StopAction stops an attempt.
type StopAction struct {
	Target  cairnbay.AgentTarget
	Task    cairnbay.WorkflowTask
	Attempt int
	Cause   EndCause
}

// AdviseAction requests tickets for the workers of a step from the policy
// service.
type AdviseAction struct {
	// Step identifies the step; its Index is 0.
	Step    cairnbay.WorkflowTask
	Workers []string
	// ExpectedDuration is the estimated duration of the call.
	ExpectedDuration time.Duration
}

const (
	// uncertainStartTimeout is how long an uncertain attempt may stay missing
	// from the worker's list before it is stopped.
	uncertainStartTimeout = 300 * time.Millisecond
	// stopRetryInterval is the pause between stops of one attempt.
	stopRetryInterval = 500 * time.Millisecond
	// ticketWaitLimit is how long an attempt may hold capacity without a
	// ticket.
	ticketWaitLimit = 3500 * time.Millisecond
)

// Tick makes the next Plan reconsider every ready stage, since some conditions
// depend on time alone.
func (c *Core) Tick() {
	c.changes++
	c.ticked = true
}

// Plan returns the actions that are due now.
func (c *Core) Plan(now Moment) []Action {
	c.createDueOccurrences(now)
	drains := c.planDrains(now)
	actions := append(c.planStops(now), drains...)
	actions = append(actions, c.planStarts(now)...)
	if c.ticked {
		c.ticked = false
		actions = append(actions, c.planEarlyAdvice(now)...)
	}
	return actions
}

// createDueOccurrences creates the stages of the occurrences that are due.
func (c *Core) createDueOccurrences(now Moment) {
	for _, job := range c.jobs {
		total := job.workflow.Occurrences
		if total == 0 || job.ended {
			continue
		}
		createdBefore := job.createdOccurrences
		for job.createdOccurrences < total && job.workflow.FirstDueUnixMS+int64(job.createdOccurrences)*job.workflow.IntervalMS <= now.UnixMS {
			job.addOccurrence()
		}
		if job.createdOccurrences > createdBefore {
			c.updateReadyStages(job)
		}
	}
}

func (c *Core) planStops(now Moment) (actions []Action) {
	for _, worker := range c.workers {
		for _, attempt := range worker.attempts {
			if attempt.phase == phaseReserved && now.BootTime-attempt.phaseSince > ticketWaitLimit {
				c.detach(attempt)
				c.changes++
				continue
			}
			if attempt.phase == phaseUncertain && now.BootTime-attempt.phaseSince > uncertainStartTimeout && attempt.stopCause == "" {
				attempt.stopCause = CauseStartUnanswered
				c.abortGang(attempt)
			}
			if attempt.stopCause == "" || worker.unreachable {
				continue
			}
			if attempt.stopSentAt > 0 && now.BootTime-attempt.stopSentAt < stopRetryInterval {
				continue
			}
			attempt.stopSentAt = now.BootTime
			actions = append(actions, Action{Stop: &StopAction{
				Target: worker.target(), Task: attempt.ref, Attempt: attempt.number, Cause: attempt.stopCause,
			}})
		}
	}
	return actions
}

func (w *worker) target() cairnbay.AgentTarget {
	return cairnbay.AgentTarget{Worker: w.entry.ID, Address: w.entry.Address}
}

// planStarts places waiting tasks in order of precedence.
func (c *Core) planStarts(now Moment) (actions []Action) {
	stages := make([]*stage, 0, len(c.readyStages))
	for stage := range c.readyStages {
		if stage.blockedAtChange == c.changes || (c.blockInherited && stage.job.inherited) {
			continue
		}
		stages = append(stages, stage)
	}
	slices.SortFunc(stages, func(a, b *stage) int { return c.comparePrecedence(now, a, b) })
	reservations := make(gangReservations)
	for _, stage := range stages {
		stageActions := c.planStage(now, stage, reservations)
		if len(stageActions) == 0 {
			stage.blockedAtChange = c.changes
		}
		actions = append(actions, stageActions...)
	}
	return actions
}

const (
	// gangUrgencyWidth is the number of members beyond the first from which a
	// gang gets the full lead, and gangUrgencyLead that lead, as a share of the
	// job's critical path.
	gangUrgencyWidth = 2.0
	gangUrgencyLead  = 0.5
)

// Classes of urgency, in order of precedence.
const (
	// urgencyInTime can still meet the objective, or has none.
	urgencyInTime = iota
	// urgencyLate misses the objective but still has a value.
	urgencyLate
	// urgencyExpired has no value any more.
	urgencyExpired
)

// urgency returns the class of a stage by the value of completing it: jobs that
// miss their objective yield to all that can still meet it.
func (c *Core) urgency(now Moment, stage *stage) int {
	job := stage.job
	if stage.spec.LongRunning || job.workflow.Occurrences > 0 {
		return urgencyInTime
	}
	slack := job.deadline - now.BootTime - c.runTime(job.workflow.Queue.Name, stage.spec)
	objective := LatencyObjective(job.workflow.Queue, job.criticalPath)
	switch {
	case slack > -objective/10:
		return urgencyInTime
	case slack > -2*objective:
		return urgencyLate
	default:
		return urgencyExpired
	}
}

func (c *Core) comparePrecedence(now Moment, a, b *stage) int {
	return cmp.Or(
		cmp.Compare(c.urgency(now, a), c.urgency(now, b)),
		cmp.Compare(a.job.workflow.Queue.Priority, b.job.workflow.Queue.Priority),
		cmp.Compare(c.latestStart(a), c.latestStart(b)),
		cmp.Compare(a.job.workflow.ID, b.job.workflow.ID),
		cmp.Compare(a.key.occurrence, b.key.occurrence),
		cmp.Compare(a.key.step, b.key.step),
	)
}

// latestStart is when a stage's job must start to meet its objective. Wide
// gangs get an earlier time, since capacity for all members is seldom free at
// once.
func (c *Core) latestStart(stage *stage) time.Duration {
	job := stage.job
	latest := job.deadline - job.criticalPath
	if stage.spec.Gang {
		width := min(float64(len(stage.tasks)-1)/gangUrgencyWidth, 1)
		latest -= time.Duration(width * gangUrgencyLead * float64(job.criticalPath))
	}
	return latest
}

// planStage places as many of a stage's waiting tasks as possible.
func (c *Core) planStage(now Moment, stage *stage, reservations gangReservations) []Action {
	terms := stage.job.workflow.Queue.Advice
	if terms == nil {
		placed := c.place(now, stage, reservations, anyWorker)
		if len(placed) == 0 {
			c.reserveForGang(now, stage, reservations)
		}
		c.preempt(now, stage, reservations)
		return c.startPlaced(now, stage, placed)
	}
	if stage.advice == nil {
		stage.advice = newAdvice()
	}
	if stage.advice.inFlight {
		return nil
	}
	hasTicket := func(w *worker) bool { return stage.advice.valid(w.entry.ID, now.BootTime) }
	placed := c.place(now, stage, reservations, hasTicket)
	if stage.waiting > 0 && len(stage.advice.tickets) > 0 {
		c.preempt(now, stage, reservations)
	}
	if len(placed) > 0 {
		return c.startPlaced(now, stage, placed)
	}
	return c.planAdvice(now, stage, reservations)
}

// startPlaced starts attempts that hold capacity.
func (c *Core) startPlaced(now Moment, stage *stage, placed []*attempt) (actions []Action) {
	if len(placed) > 0 {
		stage.job.started = true
	}
	for _, attempt := range placed {
		attempt.phase = phaseStarting
		attempt.phaseSince = now.BootTime
		attempt.partial = attempt.task.checkpoint != ""
		ticket := ""
		if stage.advice != nil {
			ticket = stage.advice.tickets[attempt.worker.entry.ID].value
		}
		actions = append(actions, Action{Start: &StartAction{
			Target: attempt.worker.target(), Task: attempt.ref, Attempt: attempt.number,
			Payload: stage.job.workflow.Payload, Checkpoint: attempt.task.checkpoint, Ticket: ticket,
			Waited: now.BootTime - stage.job.acceptedAt,
		}})
	}
	return actions
}
