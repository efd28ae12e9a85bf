// Package shard is the decision core of a shard's owner: claims under an epoch,
// quorum, starts, renewals, ends and takeover. It does no I/O: events come in
// with the current time, and the driver performs the actions that it returns.
// Times are readings of the owner's cairnbay.Clock unless a name says that they
// are the worker's.
package shard

import (
	"slices"
	"time"

	"cairnbay"
	"cairnbay/internal/process/commit"
)

// Times of the ownership protocol; docs/design/ownership.md says how they bound
// each other.
const (
	// DefaultTaskLease is how long a task runs without a renewal.
	DefaultTaskLease = 15 * time.Second
	// DefaultQuorumValidity is how long a quorum's confirmation of the epoch lets
	// an owner act.
	DefaultQuorumValidity = 10 * time.Second
	// DefaultRenewWait is how long a worker may delay its answer to a renewal
	// while no task ends there. It is below the quorum validity because an answer
	// confirms the epoch as of the time when its call was decided.
	DefaultRenewWait = 3 * time.Second
	// minRenewInterval is the least time between two renewals of a worker,
	// probeInterval that between two calls that renew no task and only query the
	// worker.
	minRenewInterval = 200 * time.Millisecond
	probeInterval    = 500 * time.Millisecond
	// DefaultGoneAfter is how long a worker must be missing from the platform's
	// list before it counts as gone.
	DefaultGoneAfter = 60 * time.Second
	// DefaultMarkWindow is the number of tasks by which one journal write raises
	// the mark of an at-most-once job. The mark is a task index in the journal:
	// only tasks below it may be started, so a successor knows that no task at or
	// above it was started.
	DefaultMarkWindow = 64
	// unreachableAfter is added to RenewWait to give the time without an answer
	// after which a worker is unreachable. After unreachableFailures failed calls
	// that time is unreachableAfter alone.
	unreachableAfter = 2 * time.Second
	// unreachableFailures is the number of consecutive failed calls that no
	// longer count as transient.
	unreachableFailures = 2
	// stopRenewAfter is the time without an answer after which a worker's tasks
	// are no longer renewed, so that their leases lapse.
	stopRenewAfter = 10 * time.Second
	// callRetryDelay is the time between two attempts at a failed call.
	callRetryDelay = 200 * time.Millisecond
	// claimGrace is the time from the quorum's claim to the first placement in
	// PhasePartial, in which the other workers can still accept the claim.
	claimGrace = time.Second
	// finishedRetention is how long a finished job remains visible.
	finishedRetention = 10 * time.Minute
	// driftDivisor and baseDrift give the margin for a wait that must also have
	// passed on another clock: wait/driftDivisor, which covers a rate difference
	// of 1 percent, plus baseDrift whatever the length of the wait.
	driftDivisor = 100
	baseDrift    = 100 * time.Millisecond
	// maxDecisionsPerCall bounds the decisions of one Placer.Decide call.
	maxDecisionsPerCall = 256
)

// Config configures a Core.
type Config struct {
	Shard  cairnbay.ShardID
	Placer cairnbay.Placer
	// Epoch is the epoch that the shard is claimed under.
	Epoch cairnbay.Epoch
	// State is the journal's content at the takeover.
	State *commit.State
	// FromReplica says that State is a copy that may lag behind the journal: no
	// at-most-once task is started from it.
	FromReplica bool
	// TaskLease, QuorumValidity, RenewWait and GoneAfter default to the constants
	// above.
	TaskLease      time.Duration
	QuorumValidity time.Duration
	RenewWait      time.Duration
	GoneAfter      time.Duration
	// MarkWindow returns the number of tasks by which one journal write raises
	// the mark of a job; nil uses DefaultMarkWindow.
	MarkWindow func(job cairnbay.Job) int
	// MarkAhead requests the next mark when half of the window is used, instead
	// of when a start needs it.
	MarkAhead bool
	// OnMarkWait is called with the time that each start waited for its mark;
	// optional.
	OnMarkWait func(waited time.Duration)
	// OnTaskStart is called for each start that a worker confirmed, with the time
	// that the task had waited when the start was decided; optional.
	OnTaskStart func(job cairnbay.Job, waited time.Duration)
	// OnTaskFinal is called for each task that became final; optional.
	OnTaskFinal func(job cairnbay.Job, task cairnbay.TaskID, state cairnbay.TaskState)
}

func (c Config) withDefaults() Config {
	c.TaskLease = orDefault(c.TaskLease, DefaultTaskLease)
	c.QuorumValidity = orDefault(c.QuorumValidity, DefaultQuorumValidity)
	c.RenewWait = orDefault(c.RenewWait, DefaultRenewWait)
	c.GoneAfter = orDefault(c.GoneAfter, DefaultGoneAfter)
	if c.MarkWindow == nil {
		c.MarkWindow = func(cairnbay.Job) int { return DefaultMarkWindow }
	}
	if c.OnMarkWait == nil {
		c.OnMarkWait = func(time.Duration) {}
	}
	if c.OnTaskStart == nil {
		c.OnTaskStart = func(cairnbay.Job, time.Duration) {}
	}
	if c.OnTaskFinal == nil {
		c.OnTaskFinal = func(cairnbay.Job, cairnbay.TaskID, cairnbay.TaskState) {}
	}
	return c
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}

// withDrift returns how long to wait on this clock so that wait has passed on
// any clock within the drift margin.
func withDrift(wait time.Duration) time.Duration {
	return wait + wait/driftDivisor + baseDrift
}

// Core makes the decisions for one shard under one epoch. It is not safe for
// concurrent use.
type Core struct {
	config   Config
	placer   cairnbay.Placer
	phase    Phase
	fencedBy cairnbay.Epoch
	workers  map[string]*worker
	jobs     map[cairnbay.JobID]*trackedJob
	// keys maps a submission's key to its job.
	keys map[string]cairnbay.JobID
	// placements are the tasks that the placer counts as placed on a worker.
	placements map[cairnbay.TaskID]*placement
	// quorumConfirmedAt is when a quorum last confirmed the epoch, as the
	// decision time of the calls that it answered; valid while quorate.
	quorumConfirmedAt time.Duration
	quorate           bool
	// quorumClaimedAt is when a quorum had accepted the claim.
	quorumClaimedAt time.Duration
	// allClaimed says that every worker had accepted the claim when the jobs from
	// before the takeover were enqueued.
	allClaimed bool
	draining   bool
	// markQueue lists the jobs whose mark has to be raised.
	markQueue []*trackedJob
	// recordingWorkers says that a new set of workers is being journaled.
	recordingWorkers bool
	actions          []Action
	// onConfirmed holds the callbacks for unconfirmed records, by token.
	onConfirmed map[uint64]func(now time.Duration)
	lastToken   uint64
	startCount  uint64
	defect      defect
}

// New returns a core that claims the workers in the journal's set.
func New(config Config, now time.Duration) *Core {
	config = config.withDefaults()
	if config.State == nil {
		config.State = commit.NewState()
	}
	core := &Core{
		config: config, placer: config.Placer,
		workers:     map[string]*worker{},
		jobs:        map[cairnbay.JobID]*trackedJob{},
		keys:        map[string]cairnbay.JobID{},
		placements:  map[cairnbay.TaskID]*placement{},
		onConfirmed: map[uint64]func(time.Duration){},
	}
	for _, ref := range config.State.Workers {
		core.addWorker(ref, now).recorded = true
	}
	for _, state := range config.State.JobsByOrder() {
		core.jobs[state.Job.ID] = &trackedJob{JobState: state}
		core.ReserveKey(state.Job.Key, state.Job.ID)
	}
	return core
}

// TakeActions returns the pending actions, oldest first, and clears them.
func (c *Core) TakeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// Phase returns the phase of the owner.
func (c *Core) Phase() Phase {
	return c.phase
}

// FencedBy returns the epoch that fenced the owner, zero if the owner is not
// fenced or the epoch is unknown.
func (c *Core) FencedBy() cairnbay.Epoch {
	return c.fencedBy
}

// Epoch returns the epoch that the shard is claimed under.
func (c *Core) Epoch() cairnbay.Epoch {
	return c.config.Epoch
}

// Tick sends the calls that are due at now and places waiting tasks. It must
// run regularly: claims, retries, timeouts and the removal of finished jobs
// depend on it.
func (c *Core) Tick(now time.Duration) {
	if c.phase == PhaseFenced {
		return
	}
	for _, worker := range c.sortedWorkers() {
		c.tickWorker(worker, now)
	}
	c.advancePhase(now)
	c.place(now)
	c.forgetFinished(now)
}

// Fence ends the owner's work: pending actions are discarded and nothing more
// is decided. higher is the epoch that replaced the owner's, zero if unknown.
func (c *Core) Fence(higher cairnbay.Epoch) {
	if c.defect == defectIgnoredFence {
		return
	}
	c.phase = PhaseFenced
	c.fencedBy = higher
	c.actions = nil
}

// SetSettings applies a new settings version.
func (c *Core) SetSettings(settings *cairnbay.Settings, now time.Duration) {
	c.placer.SetSettings(settings, now)
	c.place(now)
}

// Drain ends the placing of tasks for good; running tasks are renewed until a
// successor claims their workers.
func (c *Core) Drain() {
	c.draining = true
}

// advancePhase enters the next phase when its condition is met.
func (c *Core) advancePhase(now time.Duration) {
	if c.phase == PhaseClaiming && c.quorumClaimed() {
		c.phase = PhasePartial
		c.quorumClaimedAt = now
	}
	if c.phase == PhasePartial && c.allTasksAccounted(now) {
		c.phase = PhaseActive
		c.allClaimed = c.allWorkersClaimed()
		c.enqueueInherited(now)
	}
}

// allTasksAccounted reports whether no task from before the takeover can run on
// a worker that has not accepted the claim.
func (c *Core) allTasksAccounted(now time.Duration) bool {
	if c.defect == defectEarlyRelease {
		return true
	}
	if now >= c.quorumClaimedAt+withDrift(c.config.QuorumValidity+c.config.TaskLease) {
		return true
	}
	for _, worker := range c.workers {
		mayHaveTasks := worker.recorded || c.config.FromReplica
		if mayHaveTasks && !worker.claimed && !worker.gone {
			return false
		}
	}
	return true
}

// allWorkersClaimed reports whether every worker that may have been given a
// task has accepted the claim, had accepted an earlier epoch, and is neither
// gone nor dropped. Every task that is not final in the journal then either
// appears on a worker, as running or as an unacknowledged end, or was never
// started.
func (c *Core) allWorkersClaimed() bool {
	for _, worker := range c.workers {
		mayHaveTasks := worker.recorded || c.config.FromReplica
		if mayHaveTasks && (!worker.claimed || worker.hadNoEpoch || worker.gone || worker.dropped) {
			return false
		}
	}
	return true
}

// canPlace reports whether starts may be decided at now.
func (c *Core) canPlace(now time.Duration) bool {
	switch {
	case c.draining, !c.mayAct(now):
		return false
	case c.phase == PhaseActive:
		return true
	default:
		return c.phase == PhasePartial && now >= c.quorumClaimedAt+claimGrace
	}
}

// appendRecords journals records and calls onConfirmed when they are confirmed.
func (c *Core) appendRecords(now time.Duration, urgent bool, records []commit.Record, onConfirmed func(now time.Duration)) {
	c.lastToken++
	c.onConfirmed[c.lastToken] = onConfirmed
	c.actions = append(c.actions, Action{
		Kind: ActJournal, DecidedAt: now, Records: records, Urgent: urgent, Token: c.lastToken,
	})
}

// ConfirmRecords runs the callback of the records with the token, which are now
// in the journal.
func (c *Core) ConfirmRecords(token uint64, now time.Duration) {
	callback := c.onConfirmed[token]
	delete(c.onConfirmed, token)
	if callback == nil || c.phase == PhaseFenced {
		return
	}
	callback(now)
	c.place(now)
}

func (c *Core) sortedWorkers() []*worker {
	sorted := make([]*worker, 0, len(c.workers))
	for _, worker := range c.workers {
		sorted = append(sorted, worker)
	}
	slices.SortFunc(sorted, compareWorkers)
	return sorted
}
