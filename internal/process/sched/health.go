package sched

import "time"

const (
	// failedBackoffBase is the pause for new tasks on a worker after
	// failuresBeforeBackoff failures in a row. It doubles with each further
	// failure, up to failedBackoffMax.
	failedBackoffBase     = time.Second
	failedBackoffMax      = 8 * time.Second
	failuresBeforeBackoff = 3
	// failureMemory is how long after the last failure the failures in a row count. It
	// exceeds the longest pause and the run of a task after it.
	failureMemory = 30 * time.Second
	// stalledBackoff is the pause for new tasks on a worker on which a task
	// stalled.
	stalledBackoff = 3 * time.Second
	// unansweredMemory is how long tasks prefer other workers to one that has not answered a
	// start, and again after that start is given up. It exceeds the time in which the members
	// of a gang are stopped and placed again.
	unansweredMemory = 3 * time.Second
	// widespreadShare is the share of the usable workers that pause because of failures
	// above which these are not put down to the workers.
	widespreadShare = 0.5
)

// health is what the ends of its tasks tell about a worker.
type health struct {
	// failures counts the failures and stalls since the last success, failedAt is the
	// last of them.
	failures int
	failedAt time.Duration
	// pausedUntil is the end of the pause for new tasks after failures, stalledUntil after
	// a stall.
	pausedUntil, stalledUntil time.Duration
	// unansweredUntil is how long a start without an answer counts.
	unansweredUntil time.Duration
}

// addFailure counts a failure that may be the worker's.
func (h *health) addFailure(now time.Duration) {
	h.add(now)
	if h.failures >= failuresBeforeBackoff {
		// The shift is bounded against overflow.
		pause := failedBackoffBase << min(h.failures-failuresBeforeBackoff, 3)
		h.pausedUntil = max(h.pausedUntil, now+min(pause, failedBackoffMax))
	}
}

// addStall counts an attempt without progress.
func (h *health) addStall(now time.Duration) {
	h.add(now)
	h.stalledUntil = now + stalledBackoff
}

// addUnanswered has tasks prefer other workers after a start without an answer.
func (h *health) addUnanswered(now time.Duration) {
	h.unansweredUntil = now + unansweredMemory
}

// addAnswered ends that preference: the worker has carried out a start.
func (h *health) addAnswered() {
	h.unansweredUntil = 0
}

func (h *health) add(now time.Duration) {
	h.failures = h.recent(now) + 1
	h.failedAt = now
}

// addSuccess forgets the failures. A pause that has begun goes on.
func (h *health) addSuccess() {
	h.failures = 0
}

// recent is the number of failures in a row that still count.
func (h *health) recent(now time.Duration) int {
	if now-h.failedAt > failureMemory {
		return 0
	}
	return h.failures
}

// paused reports whether the worker gets no new tasks. While failures are widespread, the
// pause after them is the shortest one: tasks would find no worker for as long as others
// fail.
func (h *health) paused(now time.Duration, widespread bool) bool {
	until := h.pausedUntil
	if widespread {
		until = min(until, h.failedAt+failedBackoffBase)
	}
	return max(until, h.stalledUntil) > now
}

// failuresWidespread reports whether more than widespreadShare of the usable workers pause
// because of failures.
func (c *Core) failuresWidespread(now Moment) bool {
	usable, paused := 0, 0
	for _, w := range c.sortedWorkers {
		if !w.usable() {
			continue
		}
		usable++
		if w.health.pausedUntil > now.BootTime {
			paused++
		}
	}
	return float64(paused) > widespreadShare*float64(usable)
}

// acceptsTasks reports whether a worker may get new tasks, whatever their kind.
func (c *Core) acceptsTasks(now Moment, w *worker) bool {
	return w.usable() && w.trials == 0 && w.refusedUntil <= now.BootTime &&
		!w.health.paused(now.BootTime, c.widespreadFailures)
}

// blamesWorker reports whether a failed attempt counts against its worker. A long-running
// task that was at work for a while has shown that the worker can run it, and one that the
// core does not have says nothing.
func blamesWorker(stage *stage, ran time.Duration) bool {
	return !stage.spec.LongRunning || ran > 0 && ran <= stableRunTime
}
