// Package place decides which task of a shard runs on which worker. It holds
// the shard's workers and jobs in memory and is pure: it makes no calls, starts
// no goroutine and reads no clock.
package place

import (
	"maps"
	"slices"
	"time"

	"cairnbay"
	"cairnbay/internal/process/fault"
	"cairnbay/internal/process/index"
	"cairnbay/internal/process/learn"
	"cairnbay/internal/process/quota"
)

// Config configures an Engine.
type Config struct {
	// Shard is the shard's ID, shown in explanations and errors.
	Shard cairnbay.ShardID
}

// Engine implements cairnbay.Placer for one shard. It is not safe for
// concurrent use.
//
// The same calls in the same order give the same decisions. Decide returns the
// starts of a gang together. It may exceed its limit by a gang that is its
// first decision, by the throttles of one claim and by the unthrottles of one
// worker. The decisions about one worker must be carried out in order.
type Engine struct {
	config   Config
	settings *cairnbay.Settings
	ledger   *quota.Ledger
	queue    *queue
	timers   timerHeap

	workers map[string]*worker
	// bySlot holds the workers by slot, nil where a slot is unused.
	bySlot []*worker
	racks  map[string]*rack
	// rackList holds the racks in order of arrival; rackCursor is the index of
	// the rack that was searched last for a service.
	rackList   []*rack
	rackCursor int
	// capacities counts the workers by capacity.
	capacities map[cairnbay.Resources]int
	// orphanCount counts the tasks on workers that belong to no job held here.
	orphanCount int
	// trees index the free capacity of workers, each ordered by one dimension.
	trees [cairnbay.Dimensions]*index.Tree
	// reclaimable indexes workers by the capacity that is free or can be freed.
	reclaimable *index.Tree
	// total and charged are sums over the usable workers.
	total   cairnbay.Resources
	charged cairnbay.Resources

	jobs   map[cairnbay.JobID]*job
	claims []*claim
	// reservations are in order of creation.
	reservations []*reservation
	// nextGangPlan and nextReserve are the earliest times of the next gang plan
	// and of the next search in reserveMore.
	nextGangPlan time.Duration
	nextReserve  time.Duration
	// reservationCursor is the slot that was searched last for a reservation.
	reservationCursor int
	faults            *fault.Detector
	runTimes          *learn.Model
	// probation holds the workers that run one probe task at a time.
	probation []*worker
	// stopping holds the runs whose end was requested, throttledRuns those
	// without processors, and pendingDecisions the decisions about runs that
	// Decide has not returned yet.
	stopping         map[*run]struct{}
	throttledRuns    map[*run]struct{}
	pendingDecisions []pendingDecision
	// unthrottleQueue holds the workers with throttled tasks and free processors.
	unthrottleQueue []*worker
	// borrowed counts the runs that were started beyond a quota.
	borrowed int
	// stale is set when workers or settings change, until all jobs have been
	// reevaluated.
	stale bool
	// candidates is a buffer that is reused between searches for a worker.
	candidates []*worker
}

var _ cairnbay.Placer = (*Engine)(nil)

// New returns an engine without workers, jobs or settings.
func New(config Config) *Engine {
	engine := &Engine{
		config:   config,
		ledger:   quota.New(),
		faults:   fault.New(),
		runTimes: learn.New(),
		queue:    newQueue(),
		workers:  make(map[string]*worker),
		racks:    make(map[string]*rack),

		reclaimable:   index.New(0),
		stopping:      make(map[*run]struct{}),
		throttledRuns: make(map[*run]struct{}),

		capacities: make(map[cairnbay.Resources]int),
		jobs:       make(map[cairnbay.JobID]*job),
	}
	for dimension := range engine.trees {
		engine.trees[dimension] = index.New(dimension)
	}
	return engine
}

// SetSettings applies a settings version; the next Decide or Explain
// reevaluates every job.
func (e *Engine) SetSettings(settings *cairnbay.Settings, _ time.Duration) {
	e.settings = settings
	e.ledger.SetSettings(settings)
	for _, team := range e.queue.teams {
		team.weight = e.teamWeight(team.name)
	}
	e.stale = true
}

// reevaluateJobs reevaluates every job after a change of workers or settings.
func (e *Engine) reevaluateJobs(now time.Duration) {
	if !e.stale {
		return
	}
	e.stale = false
	e.queue.unparkAll()
	e.queue.unblockAll()
	e.queue.rerank(e.total)
	for _, id := range slices.Sorted(maps.Keys(e.jobs)) {
		e.reevaluate(e.jobs[id], now)
	}
}

// branchOf returns the settings branch that applies to a path: the path's own or
// that of its nearest parent, or an empty branch if neither exists.
func (e *Engine) branchOf(path string) *cairnbay.Branch {
	if e.settings == nil {
		return &emptyBranch
	}
	for {
		if branch, ok := e.settings.Branches[path]; ok {
			return branch
		}
		if path == "" {
			return &emptyBranch
		}
		path = parentPath(path)
	}
}

var emptyBranch cairnbay.Branch

func (e *Engine) teamWeight(name string) float64 {
	if e.settings == nil {
		return 1
	}
	branch, ok := e.settings.Teams[name]
	if !ok || branch.Placing.Weight <= 0 {
		return 1
	}
	return branch.Placing.Weight
}

// Free returns the uncharged and the total capacity of the usable workers.
func (e *Engine) Free() (free, total cairnbay.Resources) {
	return e.total.Sub(e.charged), e.total
}
