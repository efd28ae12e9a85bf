// Package drive runs a shard of a worker class that this instance owns: it executes the
// decisions of package sched, renews the leases of the workers, writes the
// journal and answers submissions.
package drive

import (
	"cmp"
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/fresh"
	"cairnbay/internal/process/record"
	"cairnbay/internal/process/sched"
	"cairnbay/internal/process/tenure"
	"cairnbay/internal/process/timer"
)

// Config sets up a Drive.
type Config struct {
	Claim tenure.Claim
	Store cairnbay.BatchStore
	Agent cairnbay.Agent
	// AdviceLimits returns how many calls to the policy service may be under way at
	// once, short and long ones as divided by sched.MaxShortAdvice.
	AdviceLimits func() (short, long int)
	// Advise asks the policy service for the tickets of a step, through whichever
	// instance has free capacity. Errors: those of cairnbay.Advisor.
	Advise func(ctx context.Context, action *sched.AdviseAction) ([]cairnbay.Ticket, error)
	// Routing returns the configuration in force, nil until one was read; the versions
	// rise. nil for none.
	Routing func() *cairnbay.Routing
	Clock   cairnbay.Clock
	// BootTime returns the time since the machine started, suspension included.
	BootTime func() time.Duration
	Log      *logrus.Entry
	// Metrics is where the counters are registered; nil for no metrics.
	Metrics *metrics.Set
	Sched   sched.Config
	// MaxSegments is the length at which the journal is rewritten, in segments.
	MaxSegments int
	// MaxGrowth is the number of bytes of garbage, beyond as many as a rewrite would
	// write, at which the journal is rewritten.
	MaxGrowth int
	// Lease is how long a worker runs its tasks without a renewal.
	Lease time.Duration
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// MaxStoreSilence is how long an owner that the store does not confirm may go on by its
	// workers alone; 0 for DefaultMaxStoreSilence. Successors wait for as long if they reach too
	// few workers, so that it must be the same for all owners.
	MaxStoreSilence time.Duration
	// Workspaces returns the terms of the workspaces at the start; later changes come with
	// Edit. nil if the configuration has none. OnQuotaHeld is called after a plan that left
	// work out because of its workspace's part, and must not block; nil for none.
	Workspaces  func() []sched.WorkspaceTerms
	OnQuotaHeld func()
	// OnFenced is called once, after a worker or the store has told of a newer owner. It
	// must not call Close, which waits for it.
	OnFenced func()
}

// Drive is the running owner of one shard: it plans, sends orders to the
// workers, renews their leases and writes the journal, until it is closed or a
// worker or the store tells of a newer owner.
type Drive struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	writer *record.Writer
	// fence reads the revision of the last claim of the shard.
	fence *fresh.Reader[cairnbay.Revision]
	// planDue, compactDue and confirmDue wake the goroutines that plan, that check the
	// journal and that confirm the ownership.
	planDue, compactDue, confirmDue chan struct{}
	// tickDue says that the next plan must consider the time that has passed.
	tickDue     atomic.Bool
	meters      meters
	shareMeters *shareMeters
	// planDueAt is the boot time at which the next plan is due, in nanoseconds; 0
	// while none is.
	planDueAt atomic.Int64

	// mu guards the fields below and those of every link.
	mu   sync.Mutex
	core *sched.Core
	// links are the connections to the current runs of the workers, by worker ID, and
	// lineages all runs, by the workers' name.
	links    map[string]*link
	lineages map[string]*lineage
	// raisedToken is the highest token that a lineage has had, also one that was dropped
	// since: a worker that is back refuses a lower one.
	raisedToken uint64
	listed      map[string]cairnbay.WorkerEntry
	// elsewhere are the workers of other shards that tell the start of their process.
	elsewhere []cairnbay.WorkerEntry
	// listRead says that the list has been read at least once.
	listRead bool
	// replaced holds the workers that the list still contains although another worker
	// answers at their address.
	replaced map[string]replacedWorker
	// refusals are the IDs of the workers that have refused the token since they last
	// answered.
	refusals map[string]struct{}
	// pending are the submissions being stored, by job ID.
	pending map[string]*pendingSubmission
	// recordsStored is closed and replaced when records of attempt ends are stored.
	recordsStored chan struct{}
	// loaded says that the journal has been replayed.
	loaded bool
	// fenced says that a worker or the store has told of a newer owner.
	fenced bool
	// ownedAt is the latest boot time at which the shard is known from the store to have had
	// no newer owner. unconfirmed says that the last renewal was sent without a confirmed
	// ownership.
	ownedAt     time.Duration
	unconfirmed bool
	// lapseAt is the latest boot time by which leases of silent workers have ended; they count
	// as ended once the store has shown no newer owner after it.
	lapseAt time.Duration
	// detached says that the ownership rests on the workers since the store does not answer.
	detached bool
	// used are the workers that the journal may list as used, by worker ID, usedNames how many of
	// them have a name, and formerWorkers those that it listed at the claim, formerNames by name.
	used          map[string]*usedWorker
	usedNames     map[string]int
	formerWorkers []*formerWorker
	formerNames   map[string]*formerWorker
	// formersExcluded says that no former owner can be confirmed by workers any more.
	formersExcluded bool
	// openedAt is the boot time at which the claim was known to be in the store.
	openedAt time.Duration
	// formerSilentBy is what shows formerSilentAt.
	formerSilentBy silenceEvidence
	// pendingCancels counts the cancellations being stored.
	pendingCancels int
	// compacting says that the journal is being rewritten, rewrittenBytes is the size
	// of the last rewrite and rewrittenJobs the number of live jobs in it.
	compacting                    bool
	rewrittenBytes, rewrittenJobs int
	// late is how late this owner handles its events.
	late lateness
	// pacer bounds the starts in flight; startsHeld says that the last plan left some
	// out because of it.
	pacer      pacer
	startsHeld bool
	// heldSince is the boot time since which every plan has left starts out.
	heldSince time.Duration
	// inherited are the workers that former owners used and that have neither answered
	// this owner nor been counted as lost, by ID. recovering says that the tasks of former
	// owners are held back, as it is not known where they run.
	inherited  map[string]inheritance
	recovering bool
	// settled is the latest generation whose owner journaled that every worker of
	// the earlier owners has answered it, or that the worker's lease has ended.
	settled uint64
	// formerSilentAt is the boot time from which no former owner extends leases; 0 while
	// it is not known.
	formerSilentAt time.Duration
	learned        journaledRunTimes
}

const (
	// clockDriftFactor bounds the time that a lease takes on a worker's clock that is
	// up to 2 % slow, for which 1.0204 would do.
	clockDriftFactor = 1.03
	// transitMargin allows for the time that an order is in transit.
	transitMargin = 300 * time.Millisecond
	// planPeriod is the interval of plans for decisions that depend on time alone.
	planPeriod = 200 * time.Millisecond
	// planDelay is the pause before a plan, so that concurrent events share it.
	planDelay = 3 * time.Millisecond
	// compactPeriod is how often expired jobs and the journal's length are checked.
	compactPeriod = 100 * time.Millisecond
	// loadRetryPause is the pause between attempts to read the journal.
	loadRetryPause = 200 * time.Millisecond
	// minLoadTimeout bounds the first attempt to read the journal. It doubles with
	// each further one up to maxLoadTimeout, since a long journal takes long on a
	// slow link.
	minLoadTimeout = 4 * time.Second
	maxLoadTimeout = 32 * time.Second
	// attemptsPerOwner is how many attempt numbers are reserved for each owner, so
	// that successive owners use different ones for a task.
	attemptsPerOwner = 1000
)

// New starts to run the shard of a claim.
func New(config Config) *Drive {
	ctx, cancel := context.WithCancel(context.Background())
	config.Log = config.Log.WithField("shard", config.Claim.Shard)
	config.MaxStoreSilence = cmp.Or(config.MaxStoreSilence, DefaultMaxStoreSilence)
	config.Sched.AttemptBase = int(config.Claim.Generation-1) * attemptsPerOwner
	d := &Drive{
		config: config, ctx: ctx, cancel: cancel, planDue: make(chan struct{}, 1), compactDue: make(chan struct{}, 1), confirmDue: make(chan struct{}, 1),
		core: sched.New(config.Sched), links: make(map[string]*link), lineages: make(map[string]*lineage),
		listed: make(map[string]cairnbay.WorkerEntry), pending: make(map[string]*pendingSubmission), recordsStored: make(chan struct{}),
		inherited: make(map[string]inheritance), refusals: make(map[string]struct{}), replaced: make(map[string]replacedWorker), pacer: newPacer(), meters: newMeters(config.Metrics, config.Claim.Shard),
		ownedAt: config.Claim.ClaimedAt, formerSilentBy: evidenceAnswers, openedAt: config.BootTime(), used: make(map[string]*usedWorker), usedNames: make(map[string]int), formerNames: make(map[string]*formerWorker),
	}
	d.shareMeters = newShareMeters(d.meters)
	d.writer = record.New(record.Config{
		Store: config.Store, Commit: config.Store.Commit, Shard: config.Claim.Shard,
		Generation: config.Claim.Generation, Fence: config.Claim.Fence, Log: config.Log,
		OnFenced: func() { d.handleFenced(storeReporter) },
	})
	d.fence = newFence(config.Store, config.Claim.Fence.Key)
	d.setWorkspaces()
	d.done.Go(d.run)
	return d
}

// Close stops running the shard. Tasks on workers run on until their lease ends
// or the next owner takes them over.
func (d *Drive) Close() {
	d.cancel()
	d.writer.Close()
	d.fence.Close()
	d.done.Wait()
	d.shareMeters.removeExcept(nil)
	d.config.Log.Info("owner stopped")
}

// Flush waits until all queued journal records are stored. Errors: ErrFenced when
// a newer owner exists or the drive was closed before, ErrUnknown when it is
// closed meanwhile, or the context's error.
func (d *Drive) Flush(ctx context.Context) error {
	return d.writer.Flush(ctx)
}

func (d *Drive) now() sched.Moment {
	return sched.Moment{BootTime: d.config.BootTime(), UnixMS: time.Now().UnixMilli()}
}

func (d *Drive) run() {
	if !d.load() {
		return
	}
	// All callbacks of the clock share a goroutine, so that these must not wait for the
	// lock of an owner that is busy: the instance renews its lease by the same clock.
	defer d.config.Clock.Every(planPeriod, func(time.Duration) {
		d.tickDue.Store(true)
		d.requestPlan()
	})()
	defer d.config.Clock.Every(compactPeriod, func(time.Duration) { timer.Signal(d.compactDue) })()
	defer d.config.Clock.Every(confirmPeriod, func(time.Duration) { timer.Signal(d.confirmDue) })()
	d.done.Go(d.compactLoop)
	d.done.Go(d.confirmLoop)
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.planDue:
		}
		d.planDueAt.Store(int64(d.config.BootTime() + planDelay))
		time.Sleep(planDelay)
		d.plan()
	}
}

// requestPlan wakes the goroutine that plans. It does not block.
func (d *Drive) requestPlan() {
	timer.Signal(d.planDue)
}

// load rebuilds the state from the journal. It retries until it succeeds, each time
// with more time, and returns false if the drive is closed first.
func (d *Drive) load() bool {
	for timeout := minLoadTimeout; ; timeout = min(2*timeout, maxLoadTimeout) {
		ctx, cancel := context.WithTimeout(d.ctx, timeout)
		journal, err := record.Load(ctx, d.config.Store, d.config.Claim.Shard)
		cancel()
		if err == nil {
			d.writer.AddSegments(journal.SegmentKeys, journal.Bytes)
			d.confirmLoaded()
			d.replay(journal.Records)
			return true
		}
		d.config.Log.WithError(err).Warn("journal not read")
		select {
		case <-d.ctx.Done():
			return false
		case <-time.After(loadRetryPause):
		}
	}
}

// replay applies the records of the journal and opens links to the workers.
func (d *Drive) replay(records []*cairnbayv1.WorkRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	workers := make(map[string]*cairnbayv1.WorkerRef)
	for _, rec := range records {
		switch {
		case rec.GetAccepted() != nil:
			d.core.Accept(now, DecodeWorkflow(rec.GetAccepted()), true /* inherited */)
		case rec.GetCancelled() != "":
			d.core.Cancel(now, rec.GetCancelled())
		case rec.GetDone() != nil:
			d.core.Replay(now, decodeRecord(sched.RecordDone, rec.GetDone()))
		case rec.GetFailed() != nil:
			d.core.Replay(now, decodeRecord(sched.RecordFailed, rec.GetFailed()))
		case rec.GetCrashed() != nil:
			d.core.Replay(now, decodeCrash(rec.GetCrashed()))
		case rec.GetGivenUp() != nil:
			d.core.Replay(now, decodeRecord(sched.RecordGivenUp, rec.GetGivenUp()))
		case rec.GetWorker() != nil:
			workers[rec.GetWorker().GetId()] = rec.GetWorker()
		case rec.GetReleased() != "":
			delete(workers, rec.GetReleased())
		case rec.GetSettled() > 0:
			d.settled = rec.GetSettled()
		case rec.GetLearned() != nil:
			d.restoreLearned(rec.GetLearned())
		case rec.GetEnded() != nil:
			d.core.RestoreEnded(now, decodeEnded(rec.GetEnded()))
		}
	}
	if len(workers) > 0 {
		d.recovering = true
		d.core.BeginRecovery()
	}
	for _, ref := range workers {
		d.inherit(now, ref)
	}
	for id, entry := range d.listed {
		if _, ok := workers[id]; !ok {
			d.addWorker(entry)
		} else {
			d.core.SetWorker(entry)
			if link := d.links[id]; link != nil {
				link.draining = entry.Draining
				if link.confined && !entry.Draining {
					d.unconfine(link)
				}
			}
		}
	}
	d.supersedeMoved()
	d.endRecovery()
	if len(workers) == 0 {
		d.journalSettled()
	}
	d.setWorkspaces()
	d.loaded = true
	if held := d.core.HeldBack(now); len(held) > 0 {
		d.config.Log.WithFields(logrus.Fields{"jobs": len(held), "first": held[0]}).Error("not enough memory for the tasks of all accepted jobs")
	}
	counts := d.core.Counts()
	d.config.Log.WithFields(logrus.Fields{
		"records": len(records), "jobs": counts.Jobs, "workers": len(workers), "jobs_kb": counts.MemoryUsed >> 10,
		"token": d.config.Claim.Token, "generation": d.config.Claim.Generation,
		"took_ms": (d.config.BootTime() - d.config.Claim.ClaimedAt).Milliseconds(),
	}).Info("owner started")
	d.requestPlan()
}

// SetWorkers replaces the list of the shard's workers. Unlisted workers get no
// new tasks.
func (d *Drive) SetWorkers(entries []cairnbay.WorkerEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]cairnbay.WorkerEntry, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = entry
	}
	maps.DeleteFunc(d.replaced, func(id string, _ replacedWorker) bool {
		_, ok := listed[id]
		return !ok
	})
	if d.loaded {
		for id, entry := range listed {
			d.addWorker(entry)
			if previous, ok := d.listed[id]; !ok || previous.Draining != entry.Draining {
				d.config.Log.WithFields(logrus.Fields{
					"worker": id, "address": entry.Address, "draining": entry.Draining,
				}).Info("worker listed")
			}
		}
		for id := range d.listed {
			if _, ok := listed[id]; !ok {
				d.core.SetUnlisted(id)
				d.config.Log.WithField("worker", id).Info("worker no longer listed")
			}
		}
	}
	d.listed, d.listRead = listed, true
	d.requestPlan()
}

// addWorker adds or updates a listed worker; the caller holds the lock.
func (d *Drive) addWorker(entry cairnbay.WorkerEntry) {
	if link := d.links[entry.ID]; link != nil {
		link.draining = entry.Draining
		if link.confined && !entry.Draining {
			d.unconfine(link)
		}
		if link.unlisted {
			link.handleListed(entry)
		}
		if !link.dropped {
			d.core.SetWorker(entry)
			d.confine(link)
		}
		return
	}
	if known := d.lineages[cairnbay.WorkerName(entry.ID)]; known != nil && known.isKnown(entry.ID) {
		return
	}
	if d.isReplaced(entry.ID, entry.Address) {
		return
	}
	d.core.SetWorker(entry)
	d.openLink(entry, false)
}

// handleStored passes records that are in the store to the core and wakes the calls
// that wait for them; the caller holds the lock.
func (d *Drive) handleStored(records []sched.Record) {
	d.core.RecordsStored(records)
	close(d.recordsStored)
	d.recordsStored = make(chan struct{})
}

// plan updates the scheduling decisions and executes the actions that result.
func (d *Drive) plan() {
	short, long := d.config.AdviceLimits()
	d.mu.Lock()
	d.core.SetAdviceLimits(short, long)
	d.core.SetStartLimit(d.pacer.free())
	ticked := d.tickDue.Swap(false)
	if ticked {
		d.core.Tick()
		d.retryReplaced()
	}
	now := d.now()
	d.late.observe(now.BootTime - time.Duration(d.planDueAt.Swap(0)))
	d.core.SetHurried(d.late.hurried(now.BootTime))
	d.expireInherited(now.BootTime)
	var actions []sched.Action
	if d.ownershipConfirmed(now.BootTime) {
		actions = d.core.Plan(now)
		d.logRelocations()
		d.logGangWaits()
		if ticked {
			d.logAdviceWaits()
			d.logRestartWaits()
		}
	}
	d.countStarts(actions)
	d.observeHeldStarts(now.BootTime)
	if ticked {
		d.meters.tasksHeldBack(d.core.RecoveryWaiting())
	}
	quotaHeld := d.core.QuotaHeld()
	d.shareMeters.update(now.BootTime, d.core)
	d.mu.Unlock()
	d.reportQuotaHeld(quotaHeld)
	d.execute(actions)
}

// Counts returns the numbers of jobs, tasks and workers of the shard.
func (d *Drive) Counts() sched.Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Counts()
}
