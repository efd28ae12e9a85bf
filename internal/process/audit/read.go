package audit

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// Filter restricts what is read; empty parts restrict nothing.
type Filter struct {
	// Instances are instance IDs.
	Instances []string
}

func (f Filter) wants(instance string) bool {
	return len(f.Instances) == 0 || slices.Contains(f.Instances, instance)
}

// lookBack is how far before a moment a value that covers it may begin: a value
// groups the minutes of an outage, or of an hour, under the first of them.
const lookBack = 6 * time.Hour

// Read returns the sealed records that touch the time from (inclusive) to to
// (exclusive), as they are kept: folded days first, then in order of their keys.
// A value that cannot be decoded is returned as a record without digest, for
// Verify to report.
func Read(ctx context.Context, store cairnbay.Store, from, to time.Time, filter Filter) ([]*cairnbayv1.SealedAudit, error) {
	var found []*cairnbayv1.SealedAudit
	for _, prefix := range prefixesOf(from.UTC().Add(-lookBack), to.UTC()) {
		listing, err := store.List(ctx, prefix)
		if err != nil {
			return nil, errors.Annotatef(err, "audit records under %q", prefix)
		}
		for _, entry := range listing.Entries {
			if filter.wants(instanceOf(entry.Key)) {
				found = append(found, touching(entry, from, to)...)
			}
		}
	}
	return found, nil
}

// prefixesOf lists the prefixes under which values begin between two moments.
func prefixesOf(from, to time.Time) []string {
	var prefixes []string
	for at := from.Truncate(hoursOfDay * time.Hour); at.Before(to); at = at.Add(hoursOfDay * time.Hour) {
		prefixes = append(prefixes, dayPrefix(at))
	}
	for at := from.Truncate(time.Hour); at.Before(to); at = at.Add(time.Hour) {
		prefixes = append(prefixes, hourPrefix(at))
	}
	return prefixes
}

// instanceOf returns the instance in a key.
func instanceOf(key string) string {
	parts := strings.Split(key, "/")
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2]
}

func touching(entry cairnbay.Entry, from, to time.Time) []*cairnbayv1.SealedAudit {
	records, err := DecodeChunk(entry.Value)
	if err != nil {
		return []*cairnbayv1.SealedAudit{{Body: entry.Value}}
	}
	var found []*cairnbayv1.SealedAudit
	for _, sealed := range records {
		record, err := unpack(sealed.Body)
		if err != nil || touches(record, from.UnixMilli(), to.UnixMilli()) {
			found = append(found, sealed)
		}
	}
	return found
}

// touches says whether the record has time in common with the range; a record
// of no length counts where it begins.
func touches(record *cairnbayv1.AuditRecord, from, to int64) bool {
	return record.FromUnixMs < to && (record.UntilUnixMs > from || record.FromUnixMs >= from)
}
