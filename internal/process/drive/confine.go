package drive

import (
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/sched"
)

// confine journals what may run on a draining worker, which gets no more tasks. The next
// owner then waits for that worker with these tasks only, and not with all that former
// owners accepted. The caller holds the lock.
func (d *Drive) confine(l *link) {
	_, inherited := d.inherited[l.entry.ID]
	if !l.draining || l.confined || !l.journaled || l.unconfining || inherited || l.answeredAt == 0 || l.endsTruncated || len(l.lineage.former) > 0 {
		return
	}
	l.confined, l.entry.Draining = true, true
	d.writer.Append([]*cairnbayv1.WorkRecord{d.workerRecord(l)}, d.logStoreFailure("draining worker"))
}

// unconfine lets a worker that is no longer draining take tasks once the journal says
// so; the caller holds the lock.
func (d *Drive) unconfine(l *link) {
	l.confined, l.unconfining, l.entry.Draining = false, true, false
	d.core.SetReachable(d.now(), l.entry.ID, false)
}

// workerRecord returns the record of a worker that is used; the caller holds the lock.
func (d *Drive) workerRecord(l *link) *cairnbayv1.WorkRecord {
	ref := encodeWorker(l.entry)
	ref.LongLease, ref.UsedSince = l.longLease, d.markUsed(l).since
	attempts := l.unanswered
	if l.confined {
		ref.Confined, ref.LongLease = true, l.longLease || len(l.unanswered) > 0
		attempts = d.core.PlacedOn(l.entry.ID)
	}
	for _, placed := range attempts {
		ref.Attempts = append(ref.Attempts, encodeTask(placed.Task, placed.Attempt))
	}
	return &cairnbayv1.WorkRecord{Worker: ref}
}

// decodePlaced returns the attempts that the record of a worker lists.
func decodePlaced(ref *cairnbayv1.WorkerRef) (placed []sched.PlacedAttempt) {
	for _, attempt := range ref.GetAttempts() {
		placed = append(placed, sched.PlacedAttempt{Task: decodeTask(attempt), Attempt: int(attempt.GetAttempt())})
	}
	return placed
}
