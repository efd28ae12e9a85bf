package audit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// tallyShards spreads the counters over locks by team.
const tallyShards = 16

// tally holds the histograms and counters of the open minute.
type tally struct {
	shards [tallyShards]tallyShard
}

type tallyShard struct {
	mu     sync.Mutex
	limit  int
	waits  map[cairnbay.Labels]buckets
	counts map[countKey]uint64
	lost   uint64
	// spare are emptied buckets of the minute before, to be used again.
	spare []buckets
}

type countKey struct {
	cairnbay.Labels
	name    string
	refusal bool
}

func (t *tally) open(maxLabelSets int) {
	for i := range t.shards {
		t.shards[i].limit = max(1, maxLabelSets/tallyShards)
		t.shards[i].reset()
	}
}

func (t *tally) shard(labels cairnbay.Labels) *tallyShard {
	return &t.shards[xxhash.Sum64String(labels.Team)%tallyShards]
}

func (t *tally) observe(labels cairnbay.Labels, waited time.Duration) {
	t.shard(labels).observe(labels, waited)
}

func (t *tally) count(key countKey) {
	t.shard(key.Labels).count(key)
}

func (s *tallyShard) reset() {
	s.waits = make(map[cairnbay.Labels]buckets)
	s.counts = make(map[countKey]uint64)
	s.lost = 0
}

func (s *tallyShard) observe(labels cairnbay.Labels, waited time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counted, ok := s.waits[labels]
	if !ok {
		counted = s.add(labels)
	}
	counted[bucketOf(uint64(min(max(waited, 0), maxWait).Microseconds()), fineBits)]++
}

// add makes buckets for labels, or for their overflow when there are too many
// label sets.
func (s *tallyShard) add(labels cairnbay.Labels) buckets {
	if len(s.waits) >= s.limit {
		s.lost++
		labels.Team = OtherTeam
		if known, ok := s.waits[labels]; ok {
			return known
		}
	}
	counted := s.take()
	s.waits[labels] = counted
	return counted
}

func (s *tallyShard) take() buckets {
	if len(s.spare) == 0 {
		return make(buckets)
	}
	last := len(s.spare) - 1
	counted := s.spare[last]
	s.spare = s.spare[:last]
	return counted
}

func (s *tallyShard) count(key countKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.counts[key]; !ok && len(s.counts) >= countsPerLabelSet*s.limit {
		s.lost++
		key.Team = OtherTeam
	}
	s.counts[key]++
}

// countsPerLabelSet is how many outcomes and reasons a label set has room for.
const countsPerLabelSet = 8

// cut moves the counters into the record and starts new ones.
func (t *tally) cut(record *cairnbayv1.AuditRecord) {
	var lost uint64
	for i := range t.shards {
		lost += t.shards[i].cut(record)
	}
	if lost > 0 {
		record.Gaps = append(record.Gaps, &cairnbayv1.AuditGap{
			FromUnixMs: record.FromUnixMs, UntilUnixMs: record.UntilUnixMs, Cause: GapTooManyLabels, Lost: lost,
		})
	}
	slices.SortFunc(record.Waits, func(a, b *cairnbayv1.AuditWait) int { return compareLabels(a.Labels, b.Labels) })
	slices.SortFunc(record.Outcomes, compareCounts)
	slices.SortFunc(record.Refusals, compareCounts)
}

func (s *tallyShard) cut(record *cairnbayv1.AuditRecord) (lost uint64) {
	s.mu.Lock()
	waits, counts, lost := s.waits, s.counts, s.lost
	s.reset()
	s.mu.Unlock()
	for labels, counted := range waits {
		record.Waits = append(record.Waits, counted.pack(labels))
		clear(counted)
	}
	for key, count := range counts {
		wire := &cairnbayv1.AuditCount{Labels: wireLabels(key.Labels), Name: key.name, Count: count}
		if key.refusal {
			record.Refusals = append(record.Refusals, wire)
			continue
		}
		record.Outcomes = append(record.Outcomes, wire)
	}
	s.keep(waits)
	return lost
}

// keep puts emptied buckets aside for the next minute.
func (s *tallyShard) keep(waits map[cairnbay.Labels]buckets) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, counted := range waits {
		if len(s.spare) < s.limit {
			s.spare = append(s.spare, counted)
		}
	}
}

func wireLabels(labels cairnbay.Labels) *cairnbayv1.AuditLabels {
	return &cairnbayv1.AuditLabels{Kind: labels.Kind, Band: labels.Band, Team: labels.Team}
}

// LabelsOf returns the plain form of wire labels.
func LabelsOf(labels *cairnbayv1.AuditLabels) cairnbay.Labels {
	return cairnbay.Labels{Kind: labels.GetKind(), Band: labels.GetBand(), Team: labels.GetTeam()}
}

func compareLabels(a, b *cairnbayv1.AuditLabels) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Band, b.Band), cmp.Compare(a.Team, b.Team))
}

func compareCounts(a, b *cairnbayv1.AuditCount) int {
	return cmp.Or(compareLabels(a.Labels, b.Labels), cmp.Compare(a.Name, b.Name))
}
