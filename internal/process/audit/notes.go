package audit

import (
	"slices"
	"sync"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// Causes of gaps.
const (
	// GapBufferFull dropped records that the store did not take in time.
	GapBufferFull = "buffer_full"
	// GapPaused says that the process stood still.
	GapPaused = "process_paused"
	// GapTooManyLabels counted observations under OtherTeam.
	GapTooManyLabels = "too_many_labels"
	// GapTooManyExceptions dropped exceptions beyond the limit of a minute.
	GapTooManyExceptions = "too_many_exceptions"
	// GapNoFinalRecord is found by Verify: the records end without a planned
	// stop, so that up to the last minute of the life is not shown.
	GapNoFinalRecord = "no_final_record"
)

// maxExceptionBytes bounds the text of one minute's exceptions, so that a record
// stays well below cairnbay.MaxValueBytes.
const maxExceptionBytes = 256 << 10

// pausedAfterMS is how long a record may span before a pause is declared.
const pausedAfterMS = 2 * 60 * 1000

// notes holds what the open minute keeps apart from counters.
type notes struct {
	mu            sync.Mutex
	maxExceptions int
	from          int64
	draft         *cairnbayv1.AuditRecord
	promises      map[cairnbay.Promise]*cairnbayv1.AuditPromise
	samples       map[string]*cairnbayv1.AuditSample
	version       uint64
	bytes         int
	lost          uint64
}

func (n *notes) open(from int64, maxExceptions int) {
	n.maxExceptions = maxExceptions
	n.from = from
	n.reset()
}

func (n *notes) reset() {
	n.draft = &cairnbayv1.AuditRecord{FromUnixMs: n.from}
	n.promises = make(map[cairnbay.Promise]*cairnbayv1.AuditPromise)
	n.samples = make(map[string]*cairnbayv1.AuditSample)
	n.bytes, n.lost = 0, 0
}

func (n *notes) openedAt() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.from
}

func (n *notes) promise(name cairnbay.Promise) *cairnbayv1.AuditPromise {
	known, ok := n.promises[name]
	if !ok {
		known = &cairnbayv1.AuditPromise{Promise: string(name)}
		n.promises[name] = known
	}
	return known
}

func (n *notes) countPromise(name cairnbay.Promise, checks uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.promise(name).Held += checks
}

// note keeps the exception, or only its count once the minute is full. A broken
// promise is counted in either case.
func (n *notes) note(exception cairnbay.Exception) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if exception.Broken && exception.Promise != "" {
		n.promise(exception.Promise).Broken++
	}
	size := exceptionBytes(exception)
	if len(n.draft.Exceptions) >= n.maxExceptions || n.bytes+size > maxExceptionBytes {
		n.lost++
		return
	}
	n.bytes += size
	n.draft.Exceptions = append(n.draft.Exceptions, &cairnbayv1.AuditException{
		UnixMs: exception.UnixMS, Name: exception.Name, Promise: string(exception.Promise),
		Broken: exception.Broken, Fields: exception.Fields,
	})
}

func exceptionBytes(exception cairnbay.Exception) int {
	size := len(exception.Name) + len(exception.Promise)
	for name, value := range exception.Fields {
		size += len(name) + len(value)
	}
	return size
}

func (n *notes) settingsInForce(version uint64, now int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.version = version
	n.draft.Versions = append(n.draft.Versions, &cairnbayv1.AuditVersion{Version: version, UnixMs: now})
}

func (n *notes) sample(sample Sample) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known, ok := n.samples[sample.Name]
	if !ok {
		known = &cairnbayv1.AuditSample{Name: sample.Name, Unit: sample.Unit, Min: sample.Value, Max: sample.Value}
		n.samples[sample.Name] = known
	}
	known.Min = min(known.Min, sample.Value)
	known.Max = max(known.Max, sample.Value)
	known.Sum += sample.Value
	known.Count++
}

// declare adds gaps to the open minute.
func (n *notes) declare(gaps []*cairnbayv1.AuditGap) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draft.Gaps = append(n.draft.Gaps, gaps...)
}

// cut returns the open minute as a record that ends now.
func (n *notes) cut(now int64) *cairnbayv1.AuditRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	record := n.draft
	record.UntilUnixMs = now
	for _, name := range cairnbay.AllPromises() {
		if counted, ok := n.promises[name]; ok {
			record.Promises = append(record.Promises, counted)
		}
	}
	for _, sample := range n.samples {
		record.Samples = append(record.Samples, sample)
	}
	slices.SortFunc(record.Samples, func(a, b *cairnbayv1.AuditSample) int { return compareText(a.Name, b.Name) })
	record.Gaps = append(record.Gaps, n.ownGaps(now)...)
	n.from = now
	n.reset()
	n.carryVersion(now)
	return record
}

// carryVersion repeats the version in force at the start of each minute, so
// that a record shows it even when nothing changed.
func (n *notes) carryVersion(now int64) {
	if n.version > 0 {
		n.draft.Versions = append(n.draft.Versions, &cairnbayv1.AuditVersion{Version: n.version, UnixMs: now})
	}
}

func (n *notes) ownGaps(now int64) []*cairnbayv1.AuditGap {
	var gaps []*cairnbayv1.AuditGap
	if n.lost > 0 {
		gaps = append(gaps, &cairnbayv1.AuditGap{FromUnixMs: n.from, UntilUnixMs: now, Cause: GapTooManyExceptions, Lost: n.lost})
	}
	if now-n.from > pausedAfterMS {
		gaps = append(gaps, &cairnbayv1.AuditGap{FromUnixMs: n.from, UntilUnixMs: now, Cause: GapPaused})
	}
	return gaps
}
