package audit

import (
	"slices"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// merge sums up records of one life that follow each other. Exceptions and gaps
// are kept in full; a settings version is kept at its first sight only. Waiting
// times keep the given precision.
func merge(records []*cairnbayv1.AuditRecord, precision int) *cairnbayv1.AuditRecord {
	first, last := records[0], records[len(records)-1]
	merged := &cairnbayv1.AuditRecord{
		Instance: first.Instance, DataCentre: first.DataCentre, StartedUnixMs: first.StartedUnixMs,
		FirstSequence: first.FirstSequence, LastSequence: last.LastSequence, Previous: first.Previous,
		FromUnixMs: first.FromUnixMs, UntilUnixMs: last.UntilUnixMs, Final: last.Final,
	}
	merged.Waits = mergeWaits(records, precision)
	merged.Outcomes = mergeCounts(records, (*cairnbayv1.AuditRecord).GetOutcomes)
	merged.Refusals = mergeCounts(records, (*cairnbayv1.AuditRecord).GetRefusals)
	merged.Promises = mergePromises(records)
	merged.Samples = mergeSamples(records)
	for _, record := range records {
		merged.Exceptions = append(merged.Exceptions, record.Exceptions...)
		merged.Gaps = append(merged.Gaps, record.Gaps...)
		for _, version := range record.Versions {
			merged.Versions = appendVersion(merged.Versions, version)
		}
	}
	return merged
}

func appendVersion(versions []*cairnbayv1.AuditVersion, next *cairnbayv1.AuditVersion) []*cairnbayv1.AuditVersion {
	if len(versions) > 0 && versions[len(versions)-1].Version == next.Version {
		return versions
	}
	return append(versions, next)
}

func mergeWaits(records []*cairnbayv1.AuditRecord, precision int) []*cairnbayv1.AuditWait {
	byLabels := make(map[cairnbay.Labels]buckets)
	for _, record := range records {
		for _, wait := range record.Waits {
			labels := LabelsOf(wait.Labels)
			if byLabels[labels] == nil {
				byLabels[labels] = make(buckets)
			}
			byLabels[labels].add(wait, precision)
		}
	}
	var waits []*cairnbayv1.AuditWait
	for labels, counted := range byLabels {
		waits = append(waits, counted.pack(labels))
	}
	slices.SortFunc(waits, func(a, b *cairnbayv1.AuditWait) int { return compareLabels(a.Labels, b.Labels) })
	return waits
}

func mergeCounts(
	records []*cairnbayv1.AuditRecord, of func(*cairnbayv1.AuditRecord) []*cairnbayv1.AuditCount,
) []*cairnbayv1.AuditCount {
	totals := make(map[countKey]uint64)
	for _, record := range records {
		for _, count := range of(record) {
			totals[countKey{Labels: LabelsOf(count.Labels), name: count.Name}] += count.Count
		}
	}
	var merged []*cairnbayv1.AuditCount
	for key, total := range totals {
		merged = append(merged, &cairnbayv1.AuditCount{Labels: wireLabels(key.Labels), Name: key.name, Count: total})
	}
	slices.SortFunc(merged, compareCounts)
	return merged
}

func mergePromises(records []*cairnbayv1.AuditRecord) []*cairnbayv1.AuditPromise {
	var merged []*cairnbayv1.AuditPromise
	for _, name := range cairnbay.AllPromises() {
		total := &cairnbayv1.AuditPromise{Promise: string(name)}
		for _, record := range records {
			for _, counted := range record.Promises {
				if counted.Promise == total.Promise {
					total.Held += counted.Held
					total.Broken += counted.Broken
				}
			}
		}
		if total.Held+total.Broken > 0 {
			merged = append(merged, total)
		}
	}
	return merged
}

func mergeSamples(records []*cairnbayv1.AuditRecord) []*cairnbayv1.AuditSample {
	byName := make(map[string]*cairnbayv1.AuditSample)
	for _, record := range records {
		for _, sample := range record.Samples {
			byName[sample.Name] = JoinSamples(byName[sample.Name], sample)
		}
	}
	var merged []*cairnbayv1.AuditSample
	for _, sample := range byName {
		merged = append(merged, sample)
	}
	slices.SortFunc(merged, func(a, b *cairnbayv1.AuditSample) int { return compareText(a.Name, b.Name) })
	return merged
}

// JoinSamples adds a sample to what is known of its gauge; known may be nil and
// is changed otherwise.
func JoinSamples(known, sample *cairnbayv1.AuditSample) *cairnbayv1.AuditSample {
	if known == nil {
		return &cairnbayv1.AuditSample{
			Name: sample.Name, Unit: sample.Unit, Min: sample.Min, Max: sample.Max, Sum: sample.Sum, Count: sample.Count,
		}
	}
	known.Min = min(known.Min, sample.Min)
	known.Max = max(known.Max, sample.Max)
	known.Sum += sample.Sum
	known.Count += sample.Count
	return known
}
