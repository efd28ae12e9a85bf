// Package drive carries out what sched decides for a worker class that this
// instance owns: it claims and holds the workers, keeps the journal and answers
// submissions.
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
	// AdviceLimits counts the calls to the policy service that can be under way at once,
	// short and long ones apart.
	AdviceLimits func() (short, long int)
	// Advise asks the policy service, on whichever instance has time for it.
	Advise func(ctx context.Context, action *sched.AdviseAction) ([]cairnbay.Ticket, error)
	Clock  cairnbay.Clock
	// BootTime is the boot-time clock.
	BootTime func() time.Duration
	Log      *logrus.Entry
	// Metrics takes the counters; nil keeps none.
	Metrics *metrics.Set
	Sched   sched.Config
	// MaxSegments is the length of the journal at which it is rewritten.
	MaxSegments int
	// Lease is what workers are granted with each renewal.
	Lease time.Duration
	// EntryTTL is how long a worker's entry on the list outlives its last
	// contact with the platform.
	EntryTTL time.Duration
	// OnFenced is called once when a newer owner has shown itself.
	OnFenced func()
}

// Drive owns one class until it is closed.
type Drive struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	writer *record.Writer
	kick   chan struct{}
	meters meters

	mu     sync.Mutex
	core   *sched.Core
	links  map[string]*link
	listed map[string]cairnbay.WorkerEntry
	// everListed says that the list has been read.
	everListed bool
	pending    map[string]*submission
	// noted is closed when the next records are in the store.
	noted  chan struct{}
	loaded bool
	fenced bool
	// cancelling counts cancellations on their way to the store, and compacting
	// says that a rewrite of the journal is.
	cancelling int
	compacting bool
	// inherited are the workers of former owners that have not answered yet.
	inherited map[string]struct{}
	// settled is the last owner that has met every worker of those before it.
	settled uint64
	// settleAt is when inherited workers that did not answer can run nothing
	// more; 0 until a majority of the workers has answered.
	settleAt time.Duration
}

const (
	// confirmWindow is how long an owner trusts its token after a majority of
	// its workers accepted it. It covers two rounds of renewals.
	confirmWindow = 2500 * time.Millisecond
	// driftFactor covers a worker's clock that is 2 % slow.
	driftFactor = 1.03
	// settleMargin covers the time that an order is on its way.
	settleMargin = 300 * time.Millisecond
	// planPeriod is how often decisions that depend on time alone are made.
	planPeriod = 200 * time.Millisecond
	// planGather lets events that come together share a plan.
	planGather = 3 * time.Millisecond
	// compactPeriod is how often ended jobs are forgotten and the journal's length
	// is looked at.
	compactPeriod = 100 * time.Millisecond
	// loadRetry is the pause between tries to read the journal.
	loadRetry = 200 * time.Millisecond
	// loadTimeout bounds reading the journal.
	loadTimeout = 4 * time.Second
	// attemptsPerOwner separates the attempt numbers of successive owners.
	attemptsPerOwner = 1000
)

// New starts to own the class of a claim.
func New(config Config) *Drive {
	ctx, cancel := context.WithCancel(context.Background())
	config.Log = config.Log.WithField("class", config.Claim.Class)
	config.Sched.AttemptBase = int(config.Claim.Generation-1) * attemptsPerOwner
	d := &Drive{
		config: config, ctx: ctx, cancel: cancel, kick: make(chan struct{}, 1),
		core: sched.New(config.Sched), links: make(map[string]*link),
		listed: make(map[string]cairnbay.WorkerEntry), pending: make(map[string]*submission), noted: make(chan struct{}),
		inherited: make(map[string]struct{}), meters: newMeters(config.Metrics, config.Claim.Class),
	}
	d.writer = record.New(record.Config{
		Store: config.Store, Commit: config.Store.Commit, Class: config.Claim.Class,
		Generation: config.Claim.Generation, Fence: config.Claim.Fence, Log: config.Log,
	})
	d.done.Go(d.run)
	return d
}

// Close stops owning the class. What runs on workers goes on until its lease
// ends or the next owner takes it over.
func (d *Drive) Close() {
	d.cancel()
	d.writer.Close()
	d.done.Wait()
	d.config.Log.Info("owner stopped")
}

// Flush waits until the journal is written, or the context ends.
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
		d.nudge()
	})
	defer cancel()
	defer d.config.Clock.Every(compactPeriod, func(time.Duration) { d.compact() })()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.kick:
		}
		time.Sleep(planGather)
		d.plan()
	}
}

func (d *Drive) nudge() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// load rebuilds the state from the journal; false if the drive was closed
// before that.
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
		case <-time.After(loadRetry):
		}
	}
}

func (d *Drive) replay(records []*cairnbayv1.WorkRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	known := make(map[string]cairnbay.WorkerEntry)
	for _, one := range records {
		switch {
		case one.GetAccepted() != nil:
			d.core.Accept(now, DecodeWorkflow(one.GetAccepted()), true)
		case one.GetCancelled() != "":
			d.core.Cancel(now, one.GetCancelled())
		case one.GetDone() != nil:
			d.core.Replay(now, decodeRecord(sched.RecordDone, one.GetDone()))
		case one.GetFailed() != nil:
			d.core.Replay(now, decodeRecord(sched.RecordFailed, one.GetFailed()))
		case one.GetWorker() != nil:
			known[one.GetWorker().GetId()] = decodeWorker(d.config.Claim.Class, one.GetWorker())
		case one.GetReleased() != "":
			delete(known, one.GetReleased())
		case one.GetSettled() > 0:
			d.settled = one.GetSettled()
		}
	}
	for id, entry := range known {
		d.inherited[id] = struct{}{}
		d.core.SetWorker(entry)
		if _, ok := d.listed[id]; !ok {
			d.core.SetUnlisted(id)
		}
		d.open(entry, true)
	}
	for id, entry := range d.listed {
		if _, ok := known[id]; !ok {
			d.addWorker(entry)
		} else {
			d.core.SetWorker(entry)
			d.links[id].draining = entry.Draining
		}
	}
	if len(known) > 0 {
		d.core.BeginRecovery()
	} else {
		d.noteSettled()
	}
	d.loaded = true
	counts := d.core.Counts()
	d.config.Log.WithFields(logrus.Fields{
		"records": len(records), "jobs": counts.Jobs, "workers": len(known),
		"token": d.config.Claim.Token, "generation": d.config.Claim.Generation,
		"took_ms": (d.config.BootTime() - d.config.Claim.ClaimedAt).Milliseconds(),
	}).Info("owner started")
	d.nudge()
}

// SetWorkers takes the class's workers on the platform's list.
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
			if was, ok := d.listed[id]; !ok || was.Draining != entry.Draining {
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
	d.listed, d.everListed = listed, true
	d.nudge()
}

// addWorker makes a listed worker known; the caller holds the lock.
func (d *Drive) addWorker(entry cairnbay.WorkerEntry) {
	if link := d.links[entry.ID]; link != nil {
		if entry.Draining && !link.draining && link.journaled {
			link.entry.Draining = true
			d.writer.Append([]*cairnbayv1.WorkRecord{{Worker: encodeWorker(link.entry)}}, d.logUnstored("worker's leaving"))
		}
		link.draining = entry.Draining
		if !link.replaced {
			d.core.SetWorker(entry)
		}
		return
	}
	d.core.SetWorker(entry)
	d.open(entry, false)
}

// lose gives up a worker whose attempts can certainly no longer run; the caller
// holds the lock.
func (d *Drive) lose(id, why string) {
	lost := d.core.HandleWorkerLoss(id)
	d.config.Log.WithFields(logrus.Fields{"worker": id, "reason": why, "attempts": len(lost)}).Warn("worker lost")
	for _, attempt := range lost {
		d.config.Log.WithFields(logrus.Fields{
			"job": attempt.Task.Job, "task": taskFields(attempt.Task), "attempt": attempt.Attempt, "worker": id,
		}).Info("attempt lost")
	}
	d.meters.lost.Add(len(lost))
	d.answered(id)
	d.nudge()
}

// answered takes note that nothing unknown of a former owner runs on a worker;
// the caller holds the lock.
func (d *Drive) answered(id string) {
	if _, ok := d.inherited[id]; !ok {
		return
	}
	delete(d.inherited, id)
	if len(d.inherited) == 0 {
		d.core.EndRecovery()
		d.noteSettled()
		d.config.Log.WithField("took_ms", (d.config.BootTime() - d.config.Claim.ClaimedAt).Milliseconds()).
			Info("former owner settled")
	}
}

// settle gives up waiting for inherited workers once their leases must have
// ended; the caller holds the lock.
func (d *Drive) settle(now time.Duration) {
	d.settleLeft(now)
	if len(d.inherited) == 0 {
		return
	}
	if d.settleAt == 0 {
		if d.config.Claim.AfterRestart && d.settled+1 == d.config.Claim.Generation {
			// Nobody but this instance's former life could renew what runs there.
			d.settleAt = d.config.Claim.ClaimedAt + d.leaseEnds()
			return
		}
		if d.confirmedLinks(now)*2 > len(d.links) {
			// A former owner stops renewing confirmWindow after it has lost its
			// majority; what it granted last lapses after the longest lease.
			d.settleAt = now + confirmWindow + d.leaseEnds()
		}
		return
	}
	if now < d.settleAt {
		return
	}
	for id := range d.inherited {
		if l := d.links[id]; l != nil {
			d.released(l)
		}
		d.lose(id, "inherited_lease_ended")
		if entry, ok := d.listed[id]; ok {
			d.core.SetWorker(entry)
		}
	}
}

// settleLeft gives up inherited workers that had announced that they leave and
// are not listed any more; the caller holds the lock. Their entries would still
// be there if they had not been silent for EntryTTL, so what the former owner
// granted ends that much sooner. That holds only if the store was there all the
// while, since entries also lapse with it.
func (d *Drive) settleLeft(now time.Duration) {
	if !d.everListed || d.config.Claim.StoreHealthyFor < d.config.EntryTTL+leftPatience {
		return
	}
	if now-d.config.Claim.ClaimedAt < max(leftPatience, confirmWindow+d.leaseEnds()-d.config.EntryTTL) {
		return
	}
	for id := range d.inherited {
		l := d.links[id]
		if _, listed := d.listed[id]; l != nil && !listed && l.draining && l.heard == 0 {
			d.drop(l, "left")
		}
	}
}

// leaseEnds is the time after which a lease granted now has certainly ended.
func (d *Drive) leaseEnds() time.Duration {
	return time.Duration(float64(d.config.Lease)*driftFactor) + settleMargin
}

// noteSettled tells the next owner that no owner before this one can give orders
// any more; the caller holds the lock.
func (d *Drive) noteSettled() {
	d.settled = d.config.Claim.Generation
	d.writer.Append([]*cairnbayv1.WorkRecord{{Settled: d.settled}}, d.logUnstored("settlement"))
}

// confirmedLinks counts the workers that accepted the token lately; the caller
// holds the lock.
func (d *Drive) confirmedLinks(now time.Duration) int {
	count := 0
	for _, link := range d.links {
		if link.confirmed > 0 && now-link.confirmed <= confirmWindow {
			count++
		}
	}
	return count
}

// inForce says whether orders may be given: the token was claimed, or accepted
// by a majority of the workers, a moment ago. The caller holds the lock.
func (d *Drive) inForce(now time.Duration) bool {
	if d.fenced {
		return false
	}
	return now-d.config.Claim.ClaimedAt <= confirmWindow || d.confirmedLinks(now)*2 > len(d.links)
}

// fence stops all orders, since a newer owner exists.
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

// plan makes decisions and carries them out.
func (d *Drive) plan() {
	short, long := d.config.AdviceLimits()
	d.mu.Lock()
	d.core.SetAdviceLimits(short, long)
	now := d.now()
	d.settle(now.BootTime)
	var actions []sched.Action
	if d.inForce(now.BootTime) {
		actions = d.core.Plan(now)
	}
	d.mu.Unlock()
	d.carryOut(actions)
}

// Counts returns the figures of the class.
func (d *Drive) Counts() sched.Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Counts()
}

// compact forgets jobs that ended long ago, and rewrites the journal without
// them once it has grown long. It waits for a moment in which no acceptance or
// cancellation is on its way, since those are in the journal's queue and not in
// the state yet.
func (d *Drive) compact() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded || d.fenced {
		return
	}
	for _, id := range d.core.RemoveExpired(d.now()) {
		d.config.Log.WithField("job", id).Info("job forgotten")
	}
	before := d.writer.Segments()
	if d.compacting || before < d.config.MaxSegments || len(d.pending) > 0 || d.cancelling > 0 {
		return
	}
	d.compacting = true
	records := d.snapshot()
	d.writer.Compact(records, func(err error) {
		d.config.Log.WithError(err).WithFields(logrus.Fields{
			"records": len(records), "segments_before": before, "segments": d.writer.Segments(),
		}).Info("journal rewritten")
		d.mu.Lock()
		d.compacting = false
		d.mu.Unlock()
	})
}

// snapshot returns the records that say what the journal says; the caller holds
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
