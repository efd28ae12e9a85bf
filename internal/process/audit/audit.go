// Package audit keeps what an entry instance saw, minute by minute, as a chain
// of digests in the platform's store, and reads and verifies it again.
package audit

import (
	"context"
	"sync"
	"time"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

var _ cairnbay.Recorder = (*Audit)(nil)

// minute is the span of one record.
const minute = time.Minute

// Audit implements cairnbay.Recorder. It seals one record a minute and writes
// it when the store takes it; until then the record waits in memory.
type Audit struct {
	config Config
	life   life
	tally  tally
	notes  notes
	queue  queue
	sealer *sealer
	chores *chores
	counts *counters

	// rolling keeps records in order while they are cut off and sealed.
	rolling sync.Mutex
	// writing lets one caller at a time use the store.
	writing sync.Mutex

	unsubscribe func()
	wake        chan struct{}
	// closing ends when Close is called.
	closing context.Context
	cancel  context.CancelFunc
	stopped chan struct{}
}

// life is the run of one process: when it began, on both clocks.
type life struct {
	instance   string
	dataCentre string
	wall       time.Time
	mono       time.Duration
}

// startedUnixMS tells two lives of one instance ID apart.
func (l life) startedUnixMS() int64 {
	return l.wall.UnixMilli()
}

// unixMS maps monotonic time to a wall clock that never steps back.
func (l life) unixMS(now time.Duration) int64 {
	return l.wall.Add(now - l.mono).UnixMilli()
}

// New starts keeping records. Close ends it.
func New(config Config) *Audit {
	config = config.withDefaults()
	closing, cancel := context.WithCancel(context.Background())
	audit := &Audit{
		config:  config,
		life:    newLife(config),
		sealer:  newSealer(config.SigningKey),
		wake:    make(chan struct{}, 1),
		closing: closing,
		cancel:  cancel,
		stopped: make(chan struct{}),
	}
	audit.counts = newCounters(config.Metrics)
	audit.chores = newChores(config, audit.counts)
	audit.queue.open(config.MaxPendingBytes)
	audit.tally.open(config.MaxLabelSets)
	audit.notes.open(audit.life.unixMS(config.Clock.Now()), config.MaxExceptions)
	if config.Settings != nil {
		config.Settings.OnChange(func(settings *cairnbay.Settings) { audit.SettingsInForce(settings.Version) })
	}
	audit.unsubscribe = config.Clock.Every(config.WritePeriod, func(time.Duration) { audit.nudge() })
	go func() {
		defer close(audit.stopped)
		audit.run()
	}()
	return audit
}

func newLife(config Config) life {
	return life{
		instance:   config.Instance,
		dataCentre: config.DataCentre,
		wall:       config.Clock.Wall(),
		mono:       config.Clock.Now(),
	}
}

// Close ends the audit without a last write; Flush comes first in a planned
// stop.
func (a *Audit) Close() {
	a.unsubscribe()
	a.cancel()
	<-a.stopped
}

// ObserveWait adds a waiting time before work started.
func (a *Audit) ObserveWait(labels cairnbay.Labels, waited time.Duration) {
	a.tally.observe(labels, waited)
}

// CountOutcome counts a request's outcome, or a task's final state.
func (a *Audit) CountOutcome(labels cairnbay.Labels, outcome string) {
	a.tally.count(countKey{Labels: labels, name: outcome})
}

// CountRefusal counts a refusal by its reason.
func (a *Audit) CountRefusal(labels cairnbay.Labels, reason string) {
	a.tally.count(countKey{Labels: labels, name: reason, refusal: true})
}

// CountPromise counts checks of a promise that held.
func (a *Audit) CountPromise(promise cairnbay.Promise, checks uint64) {
	a.notes.countPromise(promise, checks)
}

// RecordException keeps an exception in full.
func (a *Audit) RecordException(exception cairnbay.Exception) {
	if exception.UnixMS == 0 {
		exception.UnixMS = a.now()
	}
	a.notes.note(exception)
}

// SettingsInForce records that a settings version came into force here.
func (a *Audit) SettingsInForce(version uint64) {
	a.notes.settingsInForce(version, a.now())
}

func (a *Audit) now() int64 {
	return a.life.unixMS(a.config.Clock.Now())
}

func (a *Audit) nudge() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *Audit) run() {
	for {
		select {
		case <-a.closing.Done():
			return
		case <-a.wake:
		}
		a.sample()
		a.roll(a.now(), false)
		a.writePending()
		a.chores.run(a.closing, time.UnixMilli(a.now()))
	}
}

// writePending writes until the queue is empty or the store refuses.
func (a *Audit) writePending() {
	for a.closing.Err() == nil {
		wrote, err := a.writeChunk(a.closing)
		if err != nil {
			a.config.Log.WithError(err).WithField("pending_bytes", a.queue.bytes()).Warn("audit records wait for the store")
			return
		}
		if !wrote {
			return
		}
	}
}

// Flush seals what is open as the last record of a planned stop and writes all
// that is pending. It returns the context's error if the store does not take it
// in time.
func (a *Audit) Flush(ctx context.Context) error {
	a.sample()
	a.roll(a.now(), true)
	for {
		wrote, err := a.writeChunk(ctx)
		if err == nil && !wrote {
			return nil
		}
		if err != nil && !a.pause(ctx) {
			return err
		}
	}
}

// pause waits for one write period; false if the context ended first.
func (a *Audit) pause(ctx context.Context) bool {
	passed := make(chan struct{})
	cancel := a.config.Clock.At(a.config.Clock.Now()+a.config.WritePeriod, func(time.Duration) { close(passed) })
	defer cancel()
	select {
	case <-ctx.Done():
		return false
	case <-passed:
		return true
	}
}

func (a *Audit) sample() {
	if a.config.Samples == nil {
		return
	}
	for _, sample := range a.config.Samples() {
		a.notes.sample(sample)
	}
}

// roll seals the open minute once it is over, or at once if final.
func (a *Audit) roll(now int64, final bool) {
	a.rolling.Lock()
	defer a.rolling.Unlock()
	if !final && now/minute.Milliseconds() == a.notes.openedAt()/minute.Milliseconds() {
		return
	}
	record := a.cut(now, final)
	sealed, err := a.sealer.seal(record)
	if err != nil {
		a.config.Log.WithError(err).Error("audit record cannot be sealed")
		return
	}
	a.queue.add(pendingRecord{record: record, sealed: sealed})
	gaps, dropped := a.queue.shed()
	a.notes.declare(gaps)
	a.counts.dropped.Add(dropped)
	a.counts.sealed.Inc()
	a.counts.pending.Set(float64(a.queue.bytes()))
}

// cut takes what was gathered since the last record.
func (a *Audit) cut(now int64, final bool) *cairnbayv1.AuditRecord {
	record := a.notes.cut(now)
	a.tally.cut(record)
	record.Instance = a.life.instance
	record.DataCentre = a.life.dataCentre
	record.StartedUnixMs = a.life.startedUnixMS()
	record.Final = final
	a.sealer.link(record)
	return record
}

// Sealed is how many records this life has sealed.
func (a *Audit) Sealed() uint64 {
	a.rolling.Lock()
	defer a.rolling.Unlock()
	return a.sealer.sequence
}
