package queue

import (
	"time"

	"cairnbay"
	"cairnbay/internal/process/slots"
)

const (
	// minRetryAfter is the shortest retry-after time returned to a refused caller.
	minRetryAfter = time.Second
	// minPatientShare is the lowest share of the slots assumed for patient work in
	// wait estimates while interactive work waits, even if PatientFloor is lower.
	minPatientShare = 0.05
	// deadlineMargin is the time that must be left before the deadline of a waiting
	// item, as a multiple of the mean hold time. If hold times are exponentially
	// distributed, three means are their 95th percentile.
	deadlineMargin = 3
)

// admit decides whether the item may be queued, and returns the refusals of the item
// or of the items dropped for it. It refuses with ErrClosed, ErrUnavailable (no
// upstream), ErrDeadline or ErrQueueFull. The lock must be held.
func (q *Queue) admit(item *Item, limits Limits) ([]completion, bool) {
	now := q.config.Clock.Now()
	totals := q.config.Slots.Totals(q.config.Service)
	wait := q.expectedWait(item, limits, totals.Slots, totals.MeanHoldTime)
	retryAfter := max(minRetryAfter, wait)
	if q.closed {
		return refuse(item, cairnbay.ErrClosed, minRetryAfter), false
	}
	if totals.Upstreams == 0 {
		return refuse(item, cairnbay.ErrUnavailable, minRetryAfter), false
	}
	margin := totals.MeanHoldTime
	if q.waiting > 0 || totals.Used >= totals.Slots {
		margin *= deadlineMargin
	}
	if now+wait+margin > item.Deadline {
		return refuse(item, cairnbay.ErrDeadline, retryAfter), false
	}
	var completions []completion
	for q.waiting >= limits.Length || q.bytes+item.Bytes > limits.Bytes {
		victim := q.victim(item, limits)
		if victim == nil {
			return append(completions, refuse(item, cairnbay.ErrQueueFull, retryAfter)...), false
		}
		q.dequeue(victim)
		completions = append(completions, refuse(victim, cairnbay.ErrQueueFull, retryAfter)...)
	}
	return completions, true
}

func refuse(item *Item, reason error, retryAfter time.Duration) []completion {
	return []completion{{item, Result{Err: reason, RetryAfter: retryAfter}}}
}

// victim returns the item to drop so that the given item can be queued, or nil if the
// given item must be refused. An interactive item takes the place of patient work
// while the patient band has more waiting items than PatientFloor times Length.
// Otherwise the victim comes from the item's own band, and only from a team whose
// weighted queue is longer than that of the item's team, the item included. Within a
// band it is the newest item of the team with the longest weighted queue.
//
// Source: McKenney, Stochastic Fairness Queueing, 1990 (drop from the longest
// queue).
func (q *Queue) victim(item *Item, limits Limits) *Item {
	reserved := limits.PatientFloor * float64(limits.Length)
	if item.Band == BandInteractive && float64(q.bands[BandPatient].waiting) > reserved {
		if victim, _ := q.bands[BandPatient].newestOfLongest(); victim != nil {
			return victim
		}
	}
	victim, length := q.bands[item.Band].newestOfLongest()
	if victim == nil || length <= q.bands[item.Band].weightedLengthWith(item) {
		return nil
	}
	return victim
}

// expectedWait estimates how long the item would wait, from the number of items ahead
// of it, the slots of this member and the mean time that a slot is held. While the
// other band has waiting items too, only the share of the slots of the item's band
// counts. It is zero without slots.
func (q *Queue) expectedWait(item *Item, limits Limits, slots int, meanHoldTime time.Duration) time.Duration {
	if slots == 0 {
		return 0
	}
	ahead := q.bands[item.Band].ahead(item)
	share := 1.0
	otherBand := &q.bands[BandPatient]
	if item.Band == BandPatient {
		otherBand = &q.bands[BandInteractive]
	}
	if otherBand.waiting > 0 {
		share = 1 - limits.PatientFloor
		if item.Band == BandPatient {
			share = max(limits.PatientFloor, minPatientShare)
		}
	}
	return time.Duration(ahead * float64(meanHoldTime) / (float64(slots) * share))
}

// sweep refuses the items that can no longer end before their deadline, and all
// items when no upstream is left.
func (q *Queue) sweep(now time.Duration) {
	totals := q.config.Slots.Totals(q.config.Service)
	q.mu.Lock()
	var completions []completion
	for i := range q.bands {
		for _, item := range q.bands[i].all() {
			reason := refusalReason(item, totals, now)
			if reason == nil {
				continue
			}
			q.dequeue(item)
			completions = append(completions, refuse(item, reason, minRetryAfter)...)
		}
	}
	q.mu.Unlock()
	notify(completions)
}

// refusalReason returns the error to refuse a waiting item with, or nil if the
// item may still be served in time.
func refusalReason(item *Item, totals slots.Totals, now time.Duration) error {
	switch {
	case totals.Upstreams == 0:
		return cairnbay.ErrUnavailable
	case now+deadlineMargin*totals.MeanHoldTime > item.Deadline:
		return cairnbay.ErrDeadline
	default:
		return nil
	}
}
