// Package shard is the decision core of a shard's owner: claims under an
// epoch, quorum, starts, renewals, ends and takeover. It is pure: events go in
// with the time, actions come out, and the driver carries them out.
package shard

import (
	"slices"
	"time"

	"cairnbay"
	"cairnbay/internal/process/commit"
)

// Times of the ownership protocol; docs/design/ownership.md says how they
// bound each other.
const (
	// DefaultTaskLease is how long a task runs on without a renewal.
	DefaultTaskLease = 15 * time.Second
	// DefaultQuorumValidity is how long an owner acts on a confirmation by a quorum.
	DefaultQuorumValidity = 10 * time.Second
	// DefaultRenewWait is how long a worker may hold back its answer to a renewal
	// while nothing ends there.
	DefaultRenewWait = 3 * time.Second
	// renewGap is the least time between two renewals of a worker, probePeriod
	// that between calls which only ask.
	renewGap    = 200 * time.Millisecond
	probePeriod = 500 * time.Millisecond
	// DefaultGoneAfter is how long a worker must be missing on the platform's list
	// before it counts as gone.
	DefaultGoneAfter = 60 * time.Second
	// DefaultMarkWindow is how many at-most-once tasks one mark covers.
	DefaultMarkWindow = 64
	// unreachableAfter is how long after its due time an answer makes a worker
	// unusable; with failed calls it is the time since the last answer.
	unreachableAfter = 2 * time.Second
	// maxFailures in a row are not taken for an accident.
	maxFailures = 2
	// stopRenewAfter without an answer ends the renewals of a worker, so that
	// its tasks lapse.
	stopRenewAfter = 10 * time.Second
	// retryCall is the time between two tries of a failed call.
	retryCall = 200 * time.Millisecond
	// claimGrace is how long a quorum waits for the other workers before new
	// jobs are placed without them.
	claimGrace = time.Second
	// keepFinished is how long a finished job is shown.
	keepFinished = 10 * time.Minute
	// driftShare and driftFloor are added to every wait that another clock must
	// have passed.
	driftShare = 100
	driftFloor = 100 * time.Millisecond
	// decideLimit bounds the decisions of one call.
	decideLimit = 256
)

// Config says what a Core owns.
type Config struct {
	Shard  cairnbay.ShardID
	Placer cairnbay.Placer
	// Epoch is the epoch that the shard is claimed under.
	Epoch cairnbay.Epoch
	// State is the journal's content at the takeover.
	State *commit.State
	// FromReplica says that State is a copy which may lag behind the journal: no
	// at-most-once task is started from it.
	FromReplica bool
	// TaskLease, QuorumValidity, RenewWait and GoneAfter default to the constants above.
	TaskLease      time.Duration
	QuorumValidity time.Duration
	RenewWait      time.Duration
	GoneAfter      time.Duration
	// MarkWindow gives the window of a job; nil takes DefaultMarkWindow.
	MarkWindow func(job cairnbay.Job) int
	// MarkAhead asks for the next mark when half of the window is used up,
	// instead of when a start needs it.
	MarkAhead bool
	// OnMarkWait is told how long each start waited for its mark; optional.
	OnMarkWait func(waited time.Duration)
	// OnTaskStart is told of each start that a worker confirmed; optional.
	OnTaskStart func(job cairnbay.Job, waited time.Duration)
	// OnTaskFinal is told of each task that became final; optional.
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

func orDefault(value, otherwise time.Duration) time.Duration {
	if value == 0 {
		return otherwise
	}
	return value
}

// withDrift is how long to wait on this clock until wait has certainly passed
// on another.
func withDrift(wait time.Duration) time.Duration {
	return wait + wait/driftShare + driftFloor
}

// Core decides for one shard under one epoch. It is not safe for concurrent
// use.
type Core struct {
	config  Config
	placer  cairnbay.Placer
	phase   Phase
	rival   cairnbay.Epoch
	workers map[string]*worker
	jobs    map[cairnbay.JobID]*job
	// keys finds the job of a submission's key.
	keys map[string]cairnbay.JobID
	// held are the tasks that the placer knows to be on a worker.
	held map[cairnbay.TaskID]*placement
	// confirmed is the decision time of the newest calls that a quorum has
	// answered, valid while quorate.
	confirmed time.Duration
	quorate   bool
	// quorumAt is when a quorum had accepted the claim.
	quorumAt time.Duration
	// allClaimed says that every worker had accepted the claim when the jobs
	// from before the takeover were taken up.
	allClaimed bool
	draining   bool
	// marks are the jobs whose mark has to be raised.
	marks []*job
	// recording says that a new set of workers is being journaled.
	recording bool
	actions   []Action
	// waiting are what to do when records are confirmed, by token.
	waiting map[uint64]func(now time.Duration)
	token   uint64
	starts  uint64
	defect  defect
}

// New returns a core that claims the workers of the journal's set.
func New(config Config, now time.Duration) *Core {
	config = config.withDefaults()
	if config.State == nil {
		config.State = commit.NewState()
	}
	core := &Core{
		config: config, placer: config.Placer,
		workers: map[string]*worker{},
		jobs:    map[cairnbay.JobID]*job{},
		keys:    map[string]cairnbay.JobID{},
		held:    map[cairnbay.TaskID]*placement{},
		waiting: map[uint64]func(time.Duration){},
	}
	for _, ref := range config.State.Workers {
		core.addWorker(ref, now).recorded = true
	}
	for _, known := range config.State.JobsByOrder() {
		core.jobs[known.Job.ID] = &job{JobState: known}
		core.ReserveKey(known.Job.Key, known.Job.ID)
	}
	return core
}

// TakeActions returns what has to be carried out, oldest first, and forgets it.
func (c *Core) TakeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// Phase says how far the owner is.
func (c *Core) Phase() Phase {
	return c.phase
}

// FencedBy is the epoch that fenced the owner.
func (c *Core) FencedBy() cairnbay.Epoch {
	return c.rival
}

// Epoch is the epoch that the shard is claimed under.
func (c *Core) Epoch() cairnbay.Epoch {
	return c.config.Epoch
}

// Tick does what is due at now.
func (c *Core) Tick(now time.Duration) {
	if c.phase == PhaseFenced {
		return
	}
	for _, worker := range c.sortedWorkers() {
		c.tickWorker(worker, now)
	}
	c.advance(now)
	c.place(now)
	c.forgetFinished(now)
}

// Fence ends the owner: a higher epoch exists.
func (c *Core) Fence(rival cairnbay.Epoch) {
	if c.defect == defectIgnoresFence {
		return
	}
	c.phase = PhaseFenced
	c.rival = rival
	c.actions = nil
}

// SetSettings takes a new settings version.
func (c *Core) SetSettings(settings *cairnbay.Settings, now time.Duration) {
	c.placer.SetSettings(settings, now)
	c.place(now)
}

// Drain stops placing; what runs is renewed until a successor claims it.
func (c *Core) Drain() {
	c.draining = true
}

// advance moves on from a phase when its condition is met.
func (c *Core) advance(now time.Duration) {
	if c.phase == PhaseClaiming && c.quorumClaimed() {
		c.phase = PhasePartial
		c.quorumAt = now
	}
	if c.phase == PhasePartial && c.accounted(now) {
		c.phase = PhaseActive
		c.allClaimed = c.everyClaimed()
		c.enqueueOld(now)
	}
}

// accounted says whether no task from before the takeover can run on a worker
// that has not accepted the claim.
func (c *Core) accounted(now time.Duration) bool {
	if c.defect == defectFreesEarly {
		return true
	}
	if now >= c.quorumAt+withDrift(c.config.QuorumValidity+c.config.TaskLease) {
		return true
	}
	for _, worker := range c.workers {
		mayHold := worker.recorded || c.config.FromReplica
		if mayHold && !worker.claimed && !worker.gone {
			return false
		}
	}
	return true
}

// everyClaimed says whether every worker that may have been given a task has
// accepted the claim and still answers. What the journal does not know to have ended then shows
// on a worker, as running or as an end not yet acknowledged, or was never
// started.
func (c *Core) everyClaimed() bool {
	for _, worker := range c.workers {
		mayHold := worker.recorded || c.config.FromReplica
		if mayHold && (!worker.claimed || worker.blank || worker.gone || worker.dropped) {
			return false
		}
	}
	return true
}

// mayPlace says whether starts may be decided at now.
func (c *Core) mayPlace(now time.Duration) bool {
	switch {
	case c.draining, !c.mayAct(now):
		return false
	case c.phase == PhaseActive:
		return true
	default:
		return c.phase == PhasePartial && now >= c.quorumAt+claimGrace
	}
}

// journal appends records; then is called when they are confirmed.
func (c *Core) journal(now time.Duration, urgent bool, records []commit.Record, then func(now time.Duration)) {
	c.token++
	c.waiting[c.token] = then
	c.actions = append(c.actions, Action{
		Kind: ActJournal, DecidedAt: now, Records: records, Urgent: urgent, Token: c.token,
	})
}

// ConfirmRecords says that the records of a token are confirmed.
func (c *Core) ConfirmRecords(token uint64, now time.Duration) {
	then := c.waiting[token]
	delete(c.waiting, token)
	if then == nil || c.phase == PhaseFenced {
		return
	}
	then(now)
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
