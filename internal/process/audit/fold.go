package audit

import (
	"cmp"
	"context"
	"crypto/ed25519"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

const hoursOfDay = 24

// span names what a folded record covers, in its key.
type span string

const (
	spanHour span = "hour"
	spanDay  span = "day"
)

// precision is what a folded record keeps of waiting times.
func (s span) precision() int {
	if s == spanDay {
		return coarseBits
	}
	return fineBits
}

// Folder sums up records that are already kept, and deletes old ones. Each
// step may be repeated: a record is deleted only once one that covers it has
// been read back.
type Folder struct {
	// Instance and SigningKey are those of the instance that folds.
	Instance   string
	SigningKey ed25519.PrivateKey
	Store      cairnbay.Store
	// Folded counts the values that were folded.
	Folded int
}

// kept is one value of the store with its records.
type kept struct {
	entry   cairnbay.Entry
	records []chained
}

// FoldHour folds the minutes of one hour; an empty instance folds those of all.
func (f *Folder) FoldHour(ctx context.Context, hour time.Time, instance string) error {
	prefix := hourPrefix(hour)
	if instance != "" {
		prefix += instance + "/"
	}
	return f.foldPrefixes(ctx, spanHour, []string{prefix})
}

// FoldDay folds the hours of one day (UTC) of all instances.
func (f *Folder) FoldDay(ctx context.Context, day time.Time) error {
	var prefixes []string
	start := day.UTC().Truncate(hoursOfDay * time.Hour)
	for hour := range hoursOfDay {
		prefixes = append(prefixes, hourPrefix(start.Add(time.Duration(hour)*time.Hour)))
	}
	return f.foldPrefixes(ctx, spanDay, append(prefixes, dayPrefix(day)))
}

func (f *Folder) foldPrefixes(ctx context.Context, over span, prefixes []string) error {
	var values []kept
	for _, prefix := range prefixes {
		listing, err := f.Store.List(ctx, prefix)
		if err != nil {
			return errors.Annotatef(err, "audit records under %q", prefix)
		}
		for _, entry := range listing.Entries {
			if value, ok := intact(entry); ok {
				values = append(values, value)
			}
		}
	}
	values, err := f.sweep(ctx, values)
	if err != nil {
		return err
	}
	for _, run := range runsOf(values) {
		if err := f.foldRun(ctx, over, run); err != nil {
			return err
		}
	}
	return nil
}

// intact opens all records of a value; one that is not intact is left as it is,
// since it is evidence.
func intact(entry cairnbay.Entry) (kept, bool) {
	sealed, err := DecodeChunk(entry.Value)
	if err != nil || len(sealed) == 0 {
		return kept{}, false
	}
	value := kept{entry: entry}
	for _, one := range sealed {
		record, err := Open(one)
		if err != nil {
			return kept{}, false
		}
		value.records = append(value.records, chained{record: record, sealed: one})
	}
	return value, true
}

func (k kept) first() *cairnbayv1.AuditRecord { return k.records[0].record }
func (k kept) last() chained                  { return k.records[len(k.records)-1] }

// sweep puts values in order and deletes those that another one covers, which
// an interrupted fold has left.
func (f *Folder) sweep(ctx context.Context, values []kept) ([]kept, error) {
	slices.SortStableFunc(values, func(a, b kept) int {
		return cmp.Or(
			cmp.Compare(a.first().Instance, b.first().Instance),
			cmp.Compare(a.first().StartedUnixMs, b.first().StartedUnixMs),
			cmp.Compare(a.first().FirstSequence, b.first().FirstSequence),
			cmp.Compare(b.last().record.LastSequence, a.last().record.LastSequence),
		)
	})
	var needed []kept
	for _, value := range values {
		if len(needed) == 0 || !coversAll(needed[len(needed)-1], value) {
			needed = append(needed, value)
			continue
		}
		if err := f.remove(ctx, value); err != nil {
			return nil, err
		}
	}
	return needed, nil
}

// remove deletes a value that a folded record covers.
func (f *Folder) remove(ctx context.Context, value kept) error {
	err := f.Store.Delete(ctx, value.entry.Key, value.entry.Revision)
	if err == nil || errors.Is(err, cairnbay.ErrNotFound) {
		return nil
	}
	return errors.Annotatef(err, "audit records under %q", value.entry.Key)
}

// runsOf groups values of one life that follow each other.
func runsOf(values []kept) [][]kept {
	var runs [][]kept
	for _, value := range values {
		if last := len(runs) - 1; last >= 0 && follows(runs[last][len(runs[last])-1], value) {
			runs[last] = append(runs[last], value)
			continue
		}
		runs = append(runs, []kept{value})
	}
	return runs
}

func follows(before, after kept) bool {
	last, next := before.last(), after.first()
	return last.record.Instance == next.Instance && last.record.StartedUnixMs == next.StartedUnixMs &&
		last.record.LastSequence+1 == next.FirstSequence && slices.Equal(last.head(), next.Previous)
}

// foldRun writes one record for the run, reads it back and deletes what it
// covers. A run of one value, or one too large for a value, is left as it is.
func (f *Folder) foldRun(ctx context.Context, over span, run []kept) error {
	if len(run) < 2 {
		return nil
	}
	value, key, err := f.fold(over, run)
	if err != nil || len(value) > cairnbay.MaxValueBytes {
		return err
	}
	_, err = f.Store.Put(ctx, key, value, 0, 0)
	if err != nil && !errors.Is(err, cairnbay.ErrConflict) {
		return errors.Annotatef(err, "folded audit records under %q", key)
	}
	f.Folded += len(run)
	return f.deleteUnder(ctx, key, run)
}

func (f *Folder) fold(over span, run []kept) (value []byte, key string, err error) {
	var records []*cairnbayv1.AuditRecord
	var heads [][]byte
	for _, value := range run {
		for _, item := range value.records {
			records = append(records, item.record)
			heads = append(heads, item.head())
		}
	}
	merged := merge(records, over.precision())
	merged.Folded = heads
	if merged.Instance != f.Instance {
		merged.FoldedBy = f.Instance
	}
	sealed, err := Seal(merged, f.SigningKey)
	if err != nil {
		return nil, "", err
	}
	value, err = EncodeChunk([]*cairnbayv1.SealedAudit{sealed})
	return value, foldKey(over, merged), err
}

func foldKey(over span, record *cairnbayv1.AuditRecord) string {
	from := time.UnixMilli(record.FromUnixMs).UTC()
	prefix := hourPrefix(from)
	if over == spanDay {
		prefix = dayPrefix(from)
	}
	return fmt.Sprintf("%s%s/%s-%x-%08d", prefix, record.Instance, over, record.StartedUnixMs, record.FirstSequence)
}

// deleteUnder deletes the values whose records the value at key covers.
func (f *Folder) deleteUnder(ctx context.Context, key string, run []kept) error {
	entry, err := f.Store.Get(ctx, key)
	if err != nil {
		return errors.Annotatef(err, "folded audit records under %q", key)
	}
	folded, ok := intact(entry)
	if !ok {
		return errors.Annotatef(cairnbay.ErrInvalid, "folded audit records under %q are not intact", key)
	}
	for _, value := range run {
		if value.entry.Key == key || !coversAll(folded, value) {
			continue
		}
		if err := f.remove(ctx, value); err != nil {
			return err
		}
	}
	return nil
}

func coversAll(folded, value kept) bool {
	for _, item := range value.records {
		if !covers(folded.last(), item) {
			return false
		}
	}
	return true
}

// Expire deletes all records that begin in an hour, and with the last hour of a
// day the folded records of that day.
func (f *Folder) Expire(ctx context.Context, hour time.Time) error {
	prefixes := []string{hourPrefix(hour)}
	if hour.UTC().Hour() == hoursOfDay-1 {
		prefixes = append(prefixes, dayPrefix(hour))
	}
	for _, prefix := range prefixes {
		if err := f.removeAll(ctx, prefix); err != nil {
			return errors.Annotate(err, "expired")
		}
	}
	return nil
}

func (f *Folder) removeAll(ctx context.Context, prefix string) error {
	listing, err := f.Store.List(ctx, prefix)
	if err != nil {
		return errors.Annotatef(err, "audit records under %q", prefix)
	}
	for _, entry := range listing.Entries {
		if err := f.remove(ctx, kept{entry: entry}); err != nil {
			return err
		}
	}
	return nil
}
