// Package drive runs a worker class that this instance owns: it executes the
// decisions of package sched, renews the leases of the workers, writes the
// journal and answers submissions.
package drive

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/record"
	"cairnbay/internal/process/sched"
	"cairnbay/internal/process/tenure"
)

// Config sets up a Drive.
type Config struct {
	Claim tenure.Claim
	Store cairnbay.BatchStore
	Agent cairnbay.Agent
	// AdviceLimits returns how many short and how many long calls to the policy
	// service may be under way at once.
	AdviceLimits func() (short, long int)
	// Advise calls the policy service, from whichever instance has free capacity.
	Advise func(ctx context.Context, action *sched.AdviseAction) ([]cairnbay.Ticket, error)
	Clock  cairnbay.Clock
	// BootTime is the boot-time clock.
	BootTime func() time.Duration
	Log      *logrus.Entry
	// Metrics is where the counters are registered; nil for no metrics.
	Metrics *metrics.Set
	Sched   sched.Config
	// MaxSegments is the number of segments from which the journal is rewritten.
	MaxSegments int
	// Lease is how long a worker's tasks may run after a renewal.
	Lease time.Duration
	// EntryTTL is how long a worker stays on the platform's list after its last
	// contact with the platform.
	EntryTTL time.Duration
	// OnFenced is called once, when a worker has reported a newer owner.
	OnFenced func()
}

// Drive owns one class until it is closed.
type Drive struct {
	config  Config
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
	writer  *record.Writer
	planDue chan struct{}
	meters  meters

	mu     sync.Mutex
	core   *sched.Core
	links  map[string]*link
	listed map[string]cairnbay.WorkerEntry
	// listRead says that the list has been read at least once.
	listRead bool
	// pending are the submissions being stored, by job ID.
	pending map[string]*submission
	// recordsStored is closed and replaced when records of a worker are stored.
	recordsStored chan struct{}
	loaded        bool
	fenced        bool
	// pendingCancels counts the cancellations being stored.
	pendingCancels int
	compacting     bool
	// inherited are the workers of former owners that have not answered yet.
	inherited map[string]struct{}
	// settled is the latest generation whose owner has recorded that no earlier
	// owner can give orders any more.
	settled uint64
	// inheritedEndAt is the boot time from which inherited workers that have not
	// answered can run nothing any more; 0 while it is not known.
	inheritedEndAt time.Duration
}

const (
	// confirmWindow is how long an owner may give orders after a majority of its
	// workers accepted its token. It covers two rounds of renewals.
	confirmWindow = 2500 * time.Millisecond
	// clockDriftFactor allows for a worker's clock that is 2 % slow.
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
	// loadTimeout bounds one attempt to read the journal.
	loadTimeout = 4 * time.Second
	// attemptsPerOwner is the size of each owner's own range of attempt numbers.
	attemptsPerOwner = 1000
)

// New starts to run the class of a claim.
func New(config Config) *Drive {
	ctx, cancel := context.WithCancel(context.Background())
	config.Log = config.Log.WithField("class", config.Claim.Class)
	config.Sched.AttemptBase = int(config.Claim.Generation-1) * attemptsPerOwner
	d := &Drive{
		config: config, ctx: ctx, cancel: cancel, planDue: make(chan struct{}, 1),
		core: sched.New(config.Sched), links: make(map[string]*link),
		listed: make(map[string]cairnbay.WorkerEntry), pending: make(map[string]*submission), recordsStored: make(chan struct{}),
		inherited: make(map[string]struct{}), meters: newMeters(config.Metrics, config.Claim.Class),
	}
	d.writer = record.New(record.Config{
		Store: config.Store, Commit: config.Store.Commit, Class: config.Claim.Class,
		Generation: config.Claim.Generation, Fence: config.Claim.Fence, Log: config.Log,
	})
	d.done.Go(d.run)
	return d
}

// Close stops running the class. Tasks on workers run on until their lease ends
// or the next owner takes them over.
func (d *Drive) Close() {
	d.cancel()
	d.writer.Close()
	d.done.Wait()
	d.config.Log.Info("owner stopped")
}

// Flush waits until all queued journal records are stored. Errors: ErrFenced,
// ErrUnknown when the drive closes first, or the context's error.
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
	cancel := d.config.Clock.Every(planPeriod, func(time.Duration) {
		d.mu.Lock()
		d.core.Tick()
		d.mu.Unlock()
		d.requestPlan()
	})
	defer cancel()
	defer d.config.Clock.Every(compactPeriod, func(time.Duration) { d.compact() })()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.planDue:
		}
		time.Sleep(planDelay)
		d.plan()
	}
}

// requestPlan makes run plan soon. It does not block.
func (d *Drive) requestPlan() {
	select {
	case d.planDue <- struct{}{}:
	default:
	}
}

// load rebuilds the state from the journal. It retries until it succeeds, and
// returns false if the drive is closed first.
func (d *Drive) load() bool {
	for {
		ctx, cancel := context.WithTimeout(d.ctx, loadTimeout)
		journal, err := record.Load(ctx, d.config.Store, d.config.Claim.Class)
		cancel()
		if err == nil {
			d.writer.AddSegments(journal.SegmentKeys)
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
	workers := make(map[string]cairnbay.WorkerEntry)
	for _, rec := range records {
		switch {
		case rec.GetAccepted() != nil:
			d.core.Accept(now, DecodeWorkflow(rec.GetAccepted()), true)
		case rec.GetCancelled() != "":
			d.core.Cancel(now, rec.GetCancelled())
		case rec.GetDone() != nil:
			d.core.Replay(now, decodeRecord(sched.RecordDone, rec.GetDone()))
		case rec.GetFailed() != nil:
			d.core.Replay(now, decodeRecord(sched.RecordFailed, rec.GetFailed()))
		case rec.GetWorker() != nil:
			workers[rec.GetWorker().GetId()] = decodeWorker(d.config.Claim.Class, rec.GetWorker())
		case rec.GetReleased() != "":
			delete(workers, rec.GetReleased())
		case rec.GetSettled() > 0:
			d.settled = rec.GetSettled()
		}
	}
	for id, entry := range workers {
		d.inherited[id] = struct{}{}
		d.core.SetWorker(entry)
		if _, ok := d.listed[id]; !ok {
			d.core.SetUnlisted(id)
		}
		d.openLink(entry, true)
	}
	for id, entry := range d.listed {
		if _, ok := workers[id]; !ok {
			d.addWorker(entry)
		} else {
			d.core.SetWorker(entry)
			d.links[id].draining = entry.Draining
		}
	}
	if len(workers) > 0 {
		d.core.BeginRecovery()
	} else {
		d.recordSettled()
	}
	d.loaded = true
	counts := d.core.Counts()
	d.config.Log.WithFields(logrus.Fields{
		"records": len(records), "jobs": counts.Jobs, "workers": len(workers),
		"token": d.config.Claim.Token, "generation": d.config.Claim.Generation,
		"took_ms": (d.config.BootTime() - d.config.Claim.ClaimedAt).Milliseconds(),
	}).Info("owner started")
	d.requestPlan()
}

// SetWorkers replaces the list of the class's workers. Unlisted workers get no
// new tasks.
func (d *Drive) SetWorkers(entries []cairnbay.WorkerEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]cairnbay.WorkerEntry, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = entry
	}
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
		if entry.Draining && !link.draining && link.journaled {
			link.entry.Draining = true
			d.writer.Append([]*cairnbayv1.WorkRecord{{Worker: encodeWorker(link.entry)}}, d.logStoreFailure("worker drain"))
		}
		link.draining = entry.Draining
		if !link.dropped {
			d.core.SetWorker(entry)
		}
		return
	}
	d.core.SetWorker(entry)
	d.openLink(entry, false)
}

// handleWorkerLoss counts the attempts of a worker as lost, once they can
// certainly no longer run; the caller holds the lock.
func (d *Drive) handleWorkerLoss(id, reason string) {
	lost := d.core.HandleWorkerLoss(id)
	d.config.Log.WithFields(logrus.Fields{"worker": id, "reason": reason, "attempts": len(lost)}).Warn("worker lost")
	for _, attempt := range lost {
		d.config.Log.WithFields(logrus.Fields{
			"job": attempt.Task.Job, "task": taskIndexes(attempt.Task), "attempt": attempt.Attempt, "worker": id,
		}).Info("attempt lost")
	}
	d.meters.attemptsLost.Add(len(lost))
	d.resolveInherited(id)
	d.requestPlan()
}

// resolveInherited removes a worker from the inherited ones, once every attempt
// that a former owner started there is known; the caller holds the lock.
func (d *Drive) resolveInherited(id string) {
	if _, ok := d.inherited[id]; !ok {
		return
	}
	delete(d.inherited, id)
	if len(d.inherited) == 0 {
		d.core.EndRecovery()
		d.recordSettled()
		d.config.Log.WithField("took_ms", (d.config.BootTime() - d.config.Claim.ClaimedAt).Milliseconds()).
			Info("former owner settled")
	}
}

// expireInherited counts inherited workers that have not answered as lost, once
// their leases have certainly ended; the caller holds the lock.
func (d *Drive) expireInherited(now time.Duration) {
	d.dropDeparted(now)
	if len(d.inherited) == 0 {
		return
	}
	if d.inheritedEndAt == 0 {
		if d.config.Claim.AfterRestart && d.settled+1 == d.config.Claim.Generation {
			// Only the former process of this instance could renew these leases.
			d.inheritedEndAt = d.config.Claim.ClaimedAt + d.maxLeaseTime()
			return
		}
		if d.confirmedLinks(now)*2 > len(d.links) {
			// The former owner stops renewals confirmWindow after it lost the
			// majority of the workers; its last grant ends one full lease later.
			d.inheritedEndAt = now + confirmWindow + d.maxLeaseTime()
		}
		return
	}
	if now < d.inheritedEndAt {
		return
	}
	for id := range d.inherited {
		if l := d.links[id]; l != nil {
			d.recordRelease(l)
		}
		d.handleWorkerLoss(id, "inherited_lease_ended")
		if entry, ok := d.listed[id]; ok {
			d.core.SetWorker(entry)
		}
	}
}

// dropDeparted drops inherited workers that were draining and are no longer
// listed; the caller holds the lock. A worker leaves the list EntryTTL after its
// last contact, so its lease ends EntryTTL earlier than that of a worker which
// the former owner could reach until now. This holds only if the store has been
// healthy throughout, since an outage of the store also empties the list.
func (d *Drive) dropDeparted(now time.Duration) {
	if !d.listRead || d.config.Claim.StoreHealthyFor < d.config.EntryTTL+leftTimeout {
		return
	}
	if now-d.config.Claim.ClaimedAt < max(leftTimeout, confirmWindow+d.maxLeaseTime()-d.config.EntryTTL) {
		return
	}
	for id := range d.inherited {
		l := d.links[id]
		if _, listed := d.listed[id]; l != nil && !listed && l.draining && l.answeredAt == 0 {
			d.drop(l, "left")
		}
	}
}

// maxLeaseTime is how long after its grant a lease has certainly ended, even on
// a slow worker clock.
func (d *Drive) maxLeaseTime() time.Duration {
	return time.Duration(float64(d.config.Lease)*clockDriftFactor) + transitMargin
}

// recordSettled stores, for the next owner, that no owner before this one can
// give orders any more; the caller holds the lock.
func (d *Drive) recordSettled() {
	d.settled = d.config.Claim.Generation
	d.writer.Append([]*cairnbayv1.WorkRecord{{Settled: d.settled}}, d.logStoreFailure("settlement"))
}

// confirmedLinks counts the workers that accepted the token within
// confirmWindow; the caller holds the lock.
func (d *Drive) confirmedLinks(now time.Duration) int {
	count := 0
	for _, link := range d.links {
		if link.confirmedAt > 0 && now-link.confirmedAt <= confirmWindow {
			count++
		}
	}
	return count
}

// ownershipConfirmed says whether orders may be given: within confirmWindow, the
// token was claimed or a majority of the workers accepted it. The caller holds
// the lock.
func (d *Drive) ownershipConfirmed(now time.Duration) bool {
	if d.fenced {
		return false
	}
	return now-d.config.Claim.ClaimedAt <= confirmWindow || d.confirmedLinks(now)*2 > len(d.links)
}

// fence stops all orders after a worker has reported a newer owner.
func (d *Drive) fence(worker string) {
	d.mu.Lock()
	first := !d.fenced
	d.fenced = true
	d.mu.Unlock()
	if first {
		d.config.Log.WithFields(logrus.Fields{"worker": worker, "token": d.config.Claim.Token}).
			Warn("fenced by a newer owner")
		d.cancel()
		d.config.OnFenced()
	}
}

// plan lets the core decide and executes the actions that result.
func (d *Drive) plan() {
	short, long := d.config.AdviceLimits()
	d.mu.Lock()
	d.core.SetAdviceLimits(short, long)
	now := d.now()
	d.expireInherited(now.BootTime)
	var actions []sched.Action
	if d.ownershipConfirmed(now.BootTime) {
		actions = d.core.Plan(now)
	}
	d.mu.Unlock()
	d.execute(actions)
}

// Counts returns the numbers of jobs, tasks and workers of the class.
func (d *Drive) Counts() sched.Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Counts()
}

// compact removes expired jobs, and rewrites the journal without them once it
// has MaxSegments segments. A rewrite starts only while no acceptance or
// cancellation is being stored, since the state does not contain those yet.
func (d *Drive) compact() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded || d.fenced {
		return
	}
	for _, id := range d.core.RemoveExpired(d.now()) {
		d.config.Log.WithField("job", id).Info("job forgotten")
	}
	segmentsBefore := d.writer.Segments()
	if d.compacting || segmentsBefore < d.config.MaxSegments || len(d.pending) > 0 || d.pendingCancels > 0 {
		return
	}
	d.compacting = true
	records := d.snapshot()
	d.writer.Compact(records, func(err error) {
		d.config.Log.WithError(err).WithFields(logrus.Fields{
			"records": len(records), "segments_before": segmentsBefore, "segments": d.writer.Segments(),
		}).Info("journal rewritten")
		d.mu.Lock()
		d.compacting = false
		d.mu.Unlock()
	})
}

// snapshot returns the records that rebuild the present state; the caller holds
// the lock.
func (d *Drive) snapshot() (records []*cairnbayv1.WorkRecord) {
	if d.settled > 0 {
		records = append(records, &cairnbayv1.WorkRecord{Settled: d.settled})
	}
	for _, link := range d.links {
		if link.journaled || !link.lapsed {
			records = append(records, &cairnbayv1.WorkRecord{Worker: encodeWorker(link.entry)})
		}
	}
	for _, job := range d.core.Snapshot() {
		records = append(records, &cairnbayv1.WorkRecord{Accepted: EncodeWorkflow(&job.Workflow)})
		records = append(records, encodeRecords(job.Records)...)
		if job.Cancelled {
			records = append(records, &cairnbayv1.WorkRecord{Cancelled: job.Workflow.ID})
		}
	}
	return records
}
