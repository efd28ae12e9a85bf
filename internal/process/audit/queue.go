package audit

import (
	"cmp"
	"slices"
	"sync"

	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// maxChunkBytes bounds the sealed records that one store value groups; a single
// larger record goes alone.
const maxChunkBytes = 512 << 10

// pendingRecord is sealed and waits for the store.
type pendingRecord struct {
	record *cairnbayv1.AuditRecord
	sealed *cairnbayv1.SealedAudit
}

func (p pendingRecord) size() int {
	return len(p.sealed.Body) + len(p.sealed.Digest) + len(p.sealed.Signature) + len(p.sealed.PublicKey)
}

// queue holds the records that the store has not confirmed, oldest first.
type queue struct {
	mu      sync.Mutex
	limit   int
	size    int
	pending []pendingRecord
	// tried counts the records at the head that are part of a write in progress;
	// doubted says that it may have taken effect.
	tried   int
	doubted bool
}

func (q *queue) open(limit int) {
	q.limit = limit
}

func (q *queue) bytes() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.size
}

func (q *queue) add(pending pendingRecord) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = append(q.pending, pending)
	q.size += pending.size()
}

// group fixes the head of the queue as the next write and returns it. It
// returns the same records until confirm.
func (q *queue) group() []pendingRecord {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.tried == 0 {
		q.tried = q.fit()
	}
	return append([]pendingRecord(nil), q.pending[:q.tried]...)
}

func (q *queue) fit() int {
	total := 0
	for i, pending := range q.pending {
		total += pending.size()
		if i > 0 && total > maxChunkBytes {
			return i
		}
	}
	return len(q.pending)
}

// confirm forgets the records that group returned.
func (q *queue) confirm() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, pending := range q.pending[:q.tried] {
		q.size -= pending.size()
	}
	q.pending = append([]pendingRecord(nil), q.pending[q.tried:]...)
	q.tried, q.doubted = 0, false
}

// doubt fixes the group until it is confirmed, since its write may have taken
// effect.
func (q *queue) doubt() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.doubted = true
}

// release lets the next group differ, unless an earlier write of it is in doubt.
func (q *queue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.doubted {
		q.tried = 0
	}
}

// shed drops the oldest records beyond the limit that are not part of an
// unsettled write, and returns the gaps that must be declared for them.
func (q *queue) shed() (gaps []*cairnbayv1.AuditGap, dropped int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.size > q.limit && len(q.pending) > q.tried+1 {
		oldest := q.pending[q.tried]
		q.pending = append(q.pending[:q.tried], q.pending[q.tried+1:]...)
		q.size -= oldest.size()
		gaps = append(gaps, gapsOf(oldest)...)
		dropped++
	}
	return joinGaps(gaps), dropped
}

// gapsOf returns the gap that dropping a record makes, and the dropped records
// that it declared, whose declaration goes with it.
func gapsOf(dropped pendingRecord) []*cairnbayv1.AuditGap {
	gaps := []*cairnbayv1.AuditGap{{
		FromUnixMs: dropped.record.FromUnixMs, UntilUnixMs: dropped.record.UntilUnixMs,
		FirstSequence: dropped.record.FirstSequence, LastSequence: dropped.record.LastSequence,
		LastDigest: dropped.sealed.Digest, Cause: GapBufferFull,
	}}
	for _, gap := range dropped.record.Gaps {
		if gap.FirstSequence > 0 {
			gaps = append(gaps, gap)
		}
	}
	return gaps
}

// joinGaps merges gaps whose sequence numbers follow each other.
func joinGaps(gaps []*cairnbayv1.AuditGap) []*cairnbayv1.AuditGap {
	slices.SortFunc(gaps, func(a, b *cairnbayv1.AuditGap) int { return cmp.Compare(a.FirstSequence, b.FirstSequence) })
	var joined []*cairnbayv1.AuditGap
	for _, gap := range gaps {
		if len(joined) == 0 || joined[len(joined)-1].LastSequence+1 != gap.FirstSequence {
			joined = append(joined, gap)
			continue
		}
		last := joined[len(joined)-1]
		last.UntilUnixMs = gap.UntilUnixMs
		last.LastSequence = gap.LastSequence
		last.LastDigest = gap.LastDigest
	}
	return joined
}
