package sched

import (
	"cmp"
	"slices"
	"time"

	"cairnbay"
)

// Action is an order for the owner to carry out; one field is set.
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
	// Waited is how long the task was ready before it was placed.
	Waited time.Duration
}

// StopAction stops an attempt.
type StopAction struct {
	Target  cairnbay.AgentTarget
	Task    cairnbay.WorkflowTask
	Attempt int
	Cause   EndCause
}

// AdviseAction asks the policy service about a step.
type AdviseAction struct {
	// Step names the step; its Index is 0.
	Step    cairnbay.WorkflowTask
	Workers []string
	// ExpectedDuration is how long the service is expected to take.
	ExpectedDuration time.Duration
}

const (
	// doubtPatience is how long a start without an answer may show up in the
	// worker's list before it is stopped.
	doubtPatience = 300 * time.Millisecond
	// stopRepeat is the pause between stops of one attempt.
	stopRepeat = 500 * time.Millisecond
	// reserveLimit is how long capacity is held for a ticket.
	reserveLimit = 3500 * time.Millisecond
)

// Tick lets the next Plan look at every waiting stage again, for what depends
// on time alone.
func (c *Core) Tick() {
	c.changes++
	c.ticked = true
}

// Plan returns what is to be done now.
func (c *Core) Plan(now Moment) []Action {
	c.addDue(now)
	drains := c.planDrains(now)
	actions := append(c.planStops(now), drains...)
	actions = append(actions, c.planStarts(now)...)
	if c.ticked {
		c.ticked = false
		actions = append(actions, c.planAhead(now)...)
	}
	return actions
}

// addDue makes the occurrences whose time has come.
func (c *Core) addDue(now Moment) {
	for _, job := range c.jobs {
		total := job.workflow.Occurrences
		if total == 0 || job.ended {
			continue
		}
		before := job.due
		for job.due < total && job.workflow.FirstDueUnixMS+int64(job.due)*job.workflow.IntervalMS <= now.UnixMS {
			job.addOccurrence()
		}
		if job.due > before {
			c.reindex(job)
		}
	}
}

func (c *Core) planStops(now Moment) (actions []Action) {
	for _, worker := range c.workers {
		for _, attempt := range worker.attempts {
			if attempt.phase == phaseReserved && now.BootTime-attempt.since > reserveLimit {
				c.detach(attempt)
				c.changes++
				continue
			}
			if attempt.phase == phaseDoubtful && now.BootTime-attempt.since > doubtPatience && attempt.ending == "" {
				attempt.ending = CauseStartUnanswered
				c.breakGang(attempt)
			}
			if attempt.ending == "" || worker.unreachable {
				continue
			}
			if attempt.stopSent > 0 && now.BootTime-attempt.stopSent < stopRepeat {
				continue
			}
			attempt.stopSent = now.BootTime
			actions = append(actions, Action{Stop: &StopAction{
				Target: worker.target(), Task: attempt.ref, Attempt: attempt.number, Cause: attempt.ending,
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
	stages := make([]*stage, 0, len(c.open))
	for stage := range c.open {
		if stage.blockedAt == c.changes || (c.blockInherited && stage.job.inherited) {
			continue
		}
		stages = append(stages, stage)
	}
	slices.SortFunc(stages, func(a, b *stage) int { return c.compare(now, a, b) })
	kept := make(held)
	for _, stage := range stages {
		started := c.planStage(now, stage, kept)
		if len(started) == 0 {
			stage.blockedAt = c.changes
		}
		actions = append(actions, started...)
	}
	return actions
}

const (
	// gangWide is how many members beyond the first make a gang fully urgent, and
	// gangLead how much earlier it then goes, in lengths of its own work.
	gangWide = 2.0
	gangLead = 0.5
)

// Classes of urgency, in order of precedence.
const (
	urgencyInTime = iota
	urgencyLate
	urgencyHopeless
)

// urgency sorts a stage by what finishing it is still worth: a job that can no
// longer be in time gives way to all that can.
func (c *Core) urgency(now Moment, stage *stage) int {
	job := stage.job
	if stage.spec.LongRunning || job.workflow.Occurrences > 0 {
		return urgencyInTime
	}
	left := job.deadline - now.BootTime - c.runTime(job.workflow.Queue.Name, stage.spec)
	objective := LatencyObjective(job.workflow.Queue, job.chain)
	switch {
	case left > -objective/10:
		return urgencyInTime
	case left > -2*objective:
		return urgencyLate
	default:
		return urgencyHopeless
	}
}

func (c *Core) compare(now Moment, a, b *stage) int {
	return cmp.Or(
		cmp.Compare(c.urgency(now, a), c.urgency(now, b)),
		cmp.Compare(a.job.workflow.Queue.Priority, b.job.workflow.Queue.Priority),
		cmp.Compare(c.latestStart(a), c.latestStart(b)),
		cmp.Compare(a.job.workflow.ID, b.job.workflow.ID),
		cmp.Compare(a.key.occurrence, b.key.occurrence),
		cmp.Compare(a.key.step, b.key.step),
	)
}

// latestStart is when a stage's job must start to be in time. Wide gangs count
// as more urgent, since room for all their members comes seldom.
func (c *Core) latestStart(stage *stage) time.Duration {
	job := stage.job
	latest := job.deadline - job.chain
	if stage.spec.Gang {
		width := min(float64(len(stage.tasks)-1)/gangWide, 1)
		latest -= time.Duration(width * gangLead * float64(job.chain))
	}
	return latest
}

// planStage places what it can of a stage's waiting tasks.
func (c *Core) planStage(now Moment, stage *stage, kept held) []Action {
	terms := stage.job.workflow.Queue.Advice
	if terms == nil {
		placed := c.place(now, stage, kept, anyWorker)
		if len(placed) == 0 {
			c.makeRoom(now, stage, kept)
		}
		c.preempt(now, stage, kept)
		return c.startPlaced(now, stage, placed)
	}
	if stage.advice == nil {
		stage.advice = newAdvice()
	}
	if stage.advice.asking {
		return nil
	}
	fresh := func(w *worker) bool { return stage.advice.valid(w.entry.ID, now.BootTime) }
	placed := c.place(now, stage, kept, fresh)
	if stage.waiting > 0 && len(stage.advice.tickets) > 0 {
		c.preempt(now, stage, kept)
	}
	if len(placed) > 0 {
		return c.startPlaced(now, stage, placed)
	}
	return c.planAdvice(now, stage, kept)
}

// startPlaced orders the start of attempts that hold their capacity.
func (c *Core) startPlaced(now Moment, stage *stage, placed []*attempt) (actions []Action) {
	if len(placed) > 0 {
		stage.job.begun = true
	}
	for _, attempt := range placed {
		attempt.phase = phaseStarting
		attempt.since = now.BootTime
		attempt.partial = attempt.task.checkpoint != ""
		ticket := ""
		if stage.advice != nil {
			ticket = stage.advice.tickets[attempt.worker.entry.ID].ticket
		}
		actions = append(actions, Action{Start: &StartAction{
			Target: attempt.worker.target(), Task: attempt.ref, Attempt: attempt.number,
			Payload: stage.job.workflow.Payload, Checkpoint: attempt.task.checkpoint, Ticket: ticket,
			Waited: now.BootTime - stage.job.accepted,
		}})
	}
	return actions
}
