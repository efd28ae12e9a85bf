package queue

import (
	"time"

	"cairnbay"
	"cairnbay/internal/process/slots"
)

const (
	// leastRetryAfter is the shortest wait that a refused caller is told.
	leastRetryAfter = time.Second
	// leastPatientRate is the part of the slots that patient work is expected
	// to get while interactive work waits, when its floor is lower.
	leastPatientRate = 0.05
	// waitMargin is how many mean run times must be left before the deadline of
	// an item that waits: three is the 95th percentile of an exponential run time.
	waitMargin = 3
)

// admit decides whether the item may be queued. It may refuse the newest items
// of the team that waits most for its share, to make room for another team.
func (q *Queue) admit(item *Item, limits Limits) ([]ending, bool) {
	now := q.config.Clock.Now()
	totals := q.config.Slots.Totals(q.config.Service)
	wait := q.expectedWait(item, limits, totals.Slots, totals.MeanHoldTime)
	retryAfter := max(leastRetryAfter, wait)
	if q.closed {
		return refuse(item, cairnbay.ErrClosed, leastRetryAfter), false
	}
	if totals.Upstreams == 0 {
		return refuse(item, cairnbay.ErrUnavailable, leastRetryAfter), false
	}
	margin := totals.MeanHoldTime
	if q.waiting > 0 || totals.Used >= totals.Slots {
		margin *= waitMargin
	}
	if now+wait+margin > item.Deadline {
		return refuse(item, cairnbay.ErrDeadline, retryAfter), false
	}
	var endings []ending
	for q.waiting >= limits.Length || q.bytes+item.Bytes > limits.Bytes {
		victim := q.victim(item, limits)
		if victim == nil {
			return append(endings, refuse(item, cairnbay.ErrQueueFull, retryAfter)...), false
		}
		q.drop(victim)
		endings = append(endings, refuse(victim, cairnbay.ErrQueueFull, retryAfter)...)
	}
	return endings, true
}

func refuse(item *Item, reason error, retryAfter time.Duration) []ending {
	return []ending{{item, Result{Err: reason, RetryAfter: retryAfter}}}
}

// victim is the newest item of the longest queue for its weight: of patient work
// first, beyond its floor of the queue, and of the item's own band only when
// longer than the item's team's.
//
// Source: McKenney, Stochastic Fairness Queueing, 1990 (drop from the longest
// queue).
func (q *Queue) victim(item *Item, limits Limits) *Item {
	kept := limits.PatientFloor * float64(limits.Length)
	if item.Band == BandInteractive && float64(q.bands[BandPatient].waiting) > kept {
		if victim, _ := q.bands[BandPatient].longest(); victim != nil {
			return victim
		}
	}
	victim, length := q.bands[item.Band].longest()
	if victim == nil || length <= q.bands[item.Band].lengthWith(item) {
		return nil
	}
	return victim
}

// expectedWait is how long the item would wait, from what waits before it, the
// slots of this member and the mean time that one is held.
func (q *Queue) expectedWait(item *Item, limits Limits, slots int, runTime time.Duration) time.Duration {
	if slots == 0 {
		return 0
	}
	ahead := q.bands[item.Band].ahead(item)
	share := 1.0
	others := &q.bands[BandPatient]
	if item.Band == BandPatient {
		others = &q.bands[BandInteractive]
	}
	if others.waiting > 0 {
		share = 1 - limits.PatientFloor
		if item.Band == BandPatient {
			share = max(limits.PatientFloor, leastPatientRate)
		}
	}
	return time.Duration(ahead * float64(runTime) / (float64(slots) * share))
}

// sweep refuses the items that can no longer end before their deadline, and all
// when no upstream is left.
func (q *Queue) sweep(now time.Duration) {
	totals := q.config.Slots.Totals(q.config.Service)
	q.mu.Lock()
	var endings []ending
	for i := range q.bands {
		for _, item := range q.bands[i].all() {
			reason := hopeless(item, totals, now)
			if reason == nil {
				continue
			}
			q.drop(item)
			endings = append(endings, refuse(item, reason, leastRetryAfter)...)
		}
	}
	q.mu.Unlock()
	tell(endings)
}

// hopeless is why the item will not be served; nil if it may be.
func hopeless(item *Item, totals slots.Totals, now time.Duration) error {
	switch {
	case totals.Upstreams == 0:
		return cairnbay.ErrUnavailable
	case now+waitMargin*totals.MeanHoldTime > item.Deadline:
		return cairnbay.ErrDeadline
	default:
		return nil
	}
}
