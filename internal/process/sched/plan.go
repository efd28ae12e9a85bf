package sched

import (
	"cmp"
	"maps"
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
	// TicketCalledAt is when the policy service was called for the ticket, TicketArrivedAt
	// when it answered, and TicketEndsAt is when it has certainly expired, in boot time; 0
	// without a ticket.
	TicketCalledAt, TicketArrivedAt, TicketEndsAt time.Duration
	// Probe is set if other tasks of the step wait for the answer, since the ticket may have
	// expired.
	Probe bool
	// Waited is the time from the job's acceptance by this owner to the start.
	Waited time.Duration
	// Trial is set for a suspect of a crash, see beginTrial.
	Trial bool
	// UsualWorker is where the attempt would have started if the speed of workers did not
	// matter; empty for the same worker.
	UsualWorker string
	// Predicted is the predicted run time there, and PredictedFrom what it is based on:
	// "step" for other tasks of the step, "kind" for earlier steps of the kind, "declared"
	// for none; empty without learned run times.
	Predicted     time.Duration
	PredictedFrom string
	// Copy is set while another attempt of the task runs.
	Copy bool
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
	// Step identifies the step; its Index is that of the first task.
	Step    cairnbay.WorkflowTask
	Workers []string
	// ExpectedDuration is the estimated duration of the call.
	ExpectedDuration time.Duration
}

const (
	// uncertainTimeout is how long an attempt may stay uncertain before it is
	// stopped.
	uncertainTimeout = 300 * time.Millisecond
	// stopRetryInterval is the pause between stops of one attempt.
	stopRetryInterval = 500 * time.Millisecond
	// ticketWaitLimit is how long an attempt may hold capacity without a
	// ticket.
	ticketWaitLimit = 3500 * time.Millisecond
)

// Tick makes the next Plan reconsider every ready stage and request tickets for
// steps that will soon be ready, and estimates the work that waits. The caller ticks at a fixed interval, since
// deadlines and pauses pass without an event.
func (c *Core) Tick() {
	c.changeCount++
	c.ticked = true
	c.updateBacklog()
}

// Plan returns the actions that are due now.
func (c *Core) Plan(now Moment) []Action {
	if c.ticked {
		c.updateLearned(now)
	}
	c.createDueOccurrences(now)
	if c.ticked {
		c.fairness.refresh(now.BootTime)
	}
	drains := c.planDrains(now)
	actions := append(c.planStops(now), drains...)
	actions = append(actions, c.planStarts(now)...)
	actions = append(actions, c.planStragglers(now)...)
	if c.ticked {
		c.ticked = false
		c.updateAdviceWaits(now)
		c.updateRestartWaits(now)
		actions = append(actions, c.planEarlyAdvice(now)...)
	}
	return actions
}

// createDueOccurrences creates the stages of the occurrences that are due, as far as there
// is room.
func (c *Core) createDueOccurrences(now Moment) {
	for _, job := range c.jobs {
		if job.ended {
			continue
		}
		createdBefore := job.createdOccurrences
		for job.nextDue(now) && job.addOccurrence() {
		}
		if job.createdOccurrences > createdBefore {
			c.applyRecords(now, job)
			c.updateReadyStages(job)
		}
	}
}

// nextDue reports whether the next occurrence is due. That of a job without occurrences is
// at once.
func (j *job) nextDue(now Moment) bool {
	if j.createdOccurrences >= max(j.workflow.Occurrences, 1) {
		return false
	}
	return j.workflow.Occurrences == 0 || j.workflow.FirstDueUnixMS+int64(j.createdOccurrences)*j.workflow.IntervalMS <= now.UnixMS
}

// applyRecords replays the records of a job for which there was no room before.
func (c *Core) applyRecords(now Moment, job *job) {
	records := job.unapplied
	job.unapplied = nil
	for _, record := range records {
		c.Replay(now, record)
	}
}

func (c *Core) planStops(now Moment) (actions []Action) {
	for _, worker := range c.workers {
		for _, attempt := range worker.attempts {
			if attempt.phase == phaseReserved && now.BootTime-attempt.phaseSince > ticketWaitLimit {
				c.detach(attempt)
				c.changeCount++
				continue
			}
			if attempt.phase == phaseUncertain && now.BootTime-attempt.phaseSince > uncertainTimeout && attempt.stopCause == "" {
				attempt.stopCause = CauseStartUnanswered
				c.abortGang(attempt)
			}
			if attempt.stopCause == "" || attempt.stopInFlight || c.isForeign(attempt) {
				continue
			}
			// A call to the worker has failed, but its orders may arrive. So it gets each
			// stop once; it is repeated once the worker answers.
			if worker.unreachable && attempt.stopSentAt > 0 {
				continue
			}
			if attempt.stopSentAt > 0 && now.BootTime-attempt.stopSentAt < stopRetryInterval {
				continue
			}
			actions = append(actions, sendStop(now, attempt))
		}
	}
	return actions
}

// isForeign says whether an attempt may be of another shard, which the worker belongs to now:
// this one neither lists the worker nor has the task, and knows of no end of the job.
func (c *Core) isForeign(a *attempt) bool {
	job := c.jobs[a.ref.Job]
	return a.stage == nil && !a.worker.listed && (job == nil || !job.ended)
}

// sendStop orders the stop of an attempt that is marked for it.
func sendStop(now Moment, a *attempt) Action {
	a.stopSentAt, a.stopInFlight = now.BootTime, true
	return Action{Stop: &StopAction{Target: a.worker.target(), Task: a.ref, Attempt: a.number, Cause: a.stopCause}}
}

func (w *worker) target() cairnbay.AgentTarget {
	return cairnbay.AgentTarget{Worker: w.entry.ID, Address: w.entry.Address}
}

// planStarts places waiting tasks in order of precedence.
func (c *Core) planStarts(now Moment) (actions []Action) {
	c.beginQuotaPlan(now)
	ranked := make([]rankedStage, 0, len(c.readyStages))
	skipped := false
	for stage := range c.readyStages {
		if stage.blockedAtChange == c.changeCount || (c.blockInherited && stage.job.inherited) {
			skipped = true
			continue
		}
		ranked = append(ranked, c.rankStage(now, stage))
	}
	reservations := c.heldReservations(now)
	c.plannedAt, c.reservations = now.BootTime, reservations
	c.widespreadFailures = c.failuresWidespread(now)
	c.updateIdle(now)
	maps.DeleteFunc(c.queueRisks, func(_ string, queue *queueRisk) bool { return queue.until <= now.BootTime })
	c.startsHeld = false
	c.maxTrials = trialBounds{}
	for entry := range c.inOrder(now, ranked, skipped) {
		if c.startLimit <= 0 {
			c.startsHeld = true
			break
		}
		stage := entry.stage
		stage.replacesOnly = entry.replacesOnly
		c.noteGangLate(now, entry)
		stageActions := c.planStage(now, stage, reservations)
		if len(stageActions) == 0 {
			stage.blockedAtChange = c.changeCount
		}
		actions = append(actions, stageActions...)
	}
	return actions
}

const (
	// fullLeadMembers is the number of members beyond the first with which the
	// latest start of a gang is earlier by the whole maxGangLead, a share of the
	// job's critical path.
	fullLeadMembers = 2.0
	maxGangLead     = 0.5
	// patientShare is the share of its objective that a stage must be able to wait
	// to count as patient.
	patientShare = 0.25
	// backlogFactor times the time for the work that waits is what patient work must
	// be able to wait as well: the policy service restricts many stages to a part of
	// the workers.
	backlogFactor = 2
)

// Levels of urgency by the estimated end.
const (
	// urgencyInTime meets the objective if it starts soon, or exceeds it by up to a
	// tenth. Long-running steps and jobs with occurrences always have this level.
	urgencyInTime = iota
	// urgencyPatient meets the objective even if it waits for patientShare of it, or
	// for backlogFactor times the work that waits now.
	urgencyPatient
	// urgencyLate ends within maxLatenessFactor times the objective.
	urgencyLate
	// urgencyExpired ends later than that, so its completion has no value.
	urgencyExpired
)

// urgency returns the level of a stage.
func (c *Core) urgency(now Moment, stage *stage) int {
	job := stage.job
	if stage.spec.LongRunning || job.workflow.Occurrences > 0 {
		return urgencyInTime
	}
	slack := job.deadline - now.BootTime - c.expectedRunTime(c.uses.Order, stage)
	objective := LatencyObjective(job.workflow.Queue, job.criticalPath)
	switch {
	case slack-c.gangLead(stage) > max(time.Duration(patientShare*float64(objective)), backlogFactor*c.backlog):
		return urgencyPatient
	case slack > -objective/10:
		return urgencyInTime
	case slack > -2*objective:
		return urgencyLate
	default:
		return urgencyExpired
	}
}

// precedence returns the rank of an urgency before priorities count. Late work
// precedes patient work of lower priority, which can still meet its objective
// after it; otherwise late gangs would wait until no work is patient.
func precedence(urgency int) int {
	if urgency == urgencyLate {
		return urgencyPatient
	}
	return urgency
}

// rankedStage is a stage with what its order depends on, computed once for a sort.
type rankedStage struct {
	stage               *stage
	urgency, precedence int
	surplus             bool
	latestStart         time.Duration
	// replacesOnly is set for an entry of only those tasks that last and may have run.
	replacesOnly bool
}

// rankStage ranks a stage. Nothing of a surplus job is entitled to be in time, so it never
// precedes what is patient.
func (c *Core) rankStage(now Moment, stage *stage) rankedStage {
	ranked := rankedStage{stage: stage, urgency: c.urgency(now, stage), latestStart: c.latestStart(stage)}
	ranked.precedence = precedence(ranked.urgency)
	if c.isSurplus(stage.job) {
		ranked.surplus, ranked.precedence = true, max(ranked.precedence, urgencyPatient)
	}
	return ranked
}

// comparePrecedence is the order of stages apart from shares, see stageOrder.
func comparePrecedence(a, b rankedStage) int {
	if order := cmp.Compare(a.precedence, b.precedence); order != 0 {
		return order
	}
	jobA, jobB := a.stage.job, b.stage.job
	if order := cmp.Compare(jobA.workflow.Queue.Priority, jobB.workflow.Queue.Priority); order != 0 {
		return order
	}
	if a.surplus != b.surplus {
		if a.surplus {
			return 1
		}
		return -1
	}
	return cmp.Or(
		cmp.Compare(a.urgency, b.urgency),
		cmp.Compare(a.latestStart, b.latestStart),
		cmp.Compare(jobA.workflow.ID, jobB.workflow.ID),
		cmp.Compare(a.stage.key.occurrence, b.stage.key.occurrence),
		cmp.Compare(a.stage.key.step, b.stage.key.step),
		compareReplaces(a, b),
	)
}

// compareReplaces puts the tasks of a stage that replace others before the rest of it.
func compareReplaces(a, b rankedStage) int {
	switch {
	case a.replacesOnly == b.replacesOnly:
		return 0
	case a.replacesOnly:
		return -1
	default:
		return 1
	}
}

// latestStart is when a job must start to meet its objective, whatever steps
// are done.
func (c *Core) latestStart(stage *stage) time.Duration {
	return stage.job.deadline - stage.job.criticalPath - c.gangLead(stage)
}

// gangLead is how much earlier a gang must start than a single task. It is longer
// for wide gangs, since capacity for all members is seldom free at once.
func (c *Core) gangLead(stage *stage) time.Duration {
	if !stage.spec.Gang {
		return 0
	}
	width := min(float64(len(stage.tasks)-1)/fullLeadMembers, 1)
	return time.Duration(width * maxGangLead * float64(stage.job.criticalPath))
}

// planStage returns the starts of a stage's waiting tasks that can be placed
// now, or a call for tickets. For other tasks it reserves or preempts capacity.
func (c *Core) planStage(now Moment, stage *stage, reservations gangReservations) []Action {
	if c.waitsForTrial(stage) || c.heldByQuota(now, stage) {
		return nil
	}
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
	// Gangs that wait for room lose more than others gain by starts during a call. But tasks
	// that last and have run must not wait while there is a worker for them.
	if stage.advice.inFlight && !stage.mayReplace() {
		return nil
	}
	hasTicket := func(w *worker) bool { return stage.advice.valid(w.entry.ID, now.BootTime) }
	placed := c.place(now, stage, reservations, hasTicket)
	if stage.advice.inFlight {
		return c.startPlaced(now, stage, c.keepProbe(now, stage, placed))
	}
	if stage.waiting > 0 && len(stage.advice.tickets) > 0 {
		c.preempt(now, stage, reservations)
	}
	if len(placed) > 0 {
		return c.startPlaced(now, stage, c.keepProbe(now, stage, placed))
	}
	return c.planAdvice(now, stage, reservations)
}

// startPlaced starts attempts that hold capacity.
func (c *Core) startPlaced(now Moment, stage *stage, placed []*attempt) (actions []Action) {
	c.startLimit -= len(placed)
	if len(placed) > 0 {
		c.endGangWait(now, stage, GangStarted)
	}
	for _, attempt := range placed {
		attempt.phase = phaseStarting
		attempt.phaseSince, attempt.orderedAt = now.BootTime, now.BootTime
		attempt.partial = attempt.task.checkpoint != ""
		granted, probe := ticket{}, false
		if stage.advice != nil {
			granted = stage.advice.tickets[attempt.worker.entry.ID]
			probe = stage.advice.uncertain(attempt.worker.entry.ID, now)
		}
		actions = append(actions, Action{Start: &StartAction{
			Target: attempt.worker.target(), Task: attempt.ref, Attempt: attempt.number,
			Payload: stage.job.workflow.Payload, Checkpoint: attempt.task.checkpoint,
			Ticket: granted.value, TicketCalledAt: granted.calledAt, TicketArrivedAt: granted.arrivedAt, TicketEndsAt: granted.endsAt, Probe: probe,
			Waited: now.BootTime - stage.job.acceptedAt, Trial: attempt.trialWeight > 0,
			UsualWorker: attempt.task.usualWorker,
			Copy:        attempt == attempt.task.copy,
		}})
		c.predictStart(attempt, actions[len(actions)-1].Start)
	}
	return actions
}
