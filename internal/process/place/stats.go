package place

import (
	"time"

	"cairnbay"
	"cairnbay/internal/process/fault"
)

// Stats are the statistics of a shard at one time.
type Stats = cairnbay.PlacerStats

var _ cairnbay.StatsPlacer = (*Engine)(nil)

// Stats returns the present statistics. It looks at every job and worker.
func (e *Engine) Stats(now time.Duration) Stats {
	stats := Stats{
		Throttled: len(e.throttledRuns), Stopping: len(e.stopping),
		Borrowed: e.borrowed, HeldOff: e.faults.HeldOff,
	}
	for _, counted := range e.jobs {
		stats.Waiting[counted.spec.Band] += counted.waiting()
		stats.Running += len(counted.runs)
		stats.Claimed += counted.claimedTasks
	}
	for _, current := range e.reservations {
		stats.Reserved += len(current.workers)
	}
	for id := range e.workers {
		if e.faults.State(id, now) != fault.Healthy {
			stats.Quarantined++
		}
	}
	return stats
}
