package sched

import (
	"time"

	"cairnbay"
)

// Best-effort tasks use the processors that other tasks leave idle, and slow down serving
// tasks beside them by amounts that only the reported tails show.
const (
	// maxSharingTail is the share of its target up to which the tail of each serving task
	// on a worker must be for a best-effort task to start beside it, and maxSharedTail the
	// one above which best-effort tasks stop.
	maxSharingTail = 0.7
	maxSharedTail  = 0.9
	// sharingSettleTime is the time after which the reports show the effect of a start or
	// stop: a tail is that of the last half second, and a worker reports at least every
	// 500 ms.
	sharingSettleTime = time.Second
	// minSharingPause is how long no best-effort task starts beside the serving tasks of a
	// worker after one had to stop there. It doubles with each further stop up to
	// maxSharingPause, and starts anew once there was none for as long.
	minSharingPause = time.Second
	maxSharingPause = 32 * time.Second
	// sharingCost is the placement cost of a worker where best-effort and serving tasks
	// share the processors. It outweighs all other costs.
	sharingCost = 100.0
)

// sharing is what the sharing of a worker between best-effort and serving tasks has shown.
type sharing struct {
	// stoppedAt is when a best-effort task last had to stop, 0 for never.
	stoppedAt time.Duration
	// pause is the one after that stop.
	pause time.Duration
}

// tail is the last reported tail of a serving attempt, as a share of its target.
type tail struct {
	share float64
	// reportedAt is the boot time at which the report was handled.
	reportedAt time.Duration
}

// noteTail keeps the load that a worker reports of a serving attempt.
func (a *attempt) noteTail(now Moment, load int) {
	if a.stage == nil || a.stage.spec.TailTarget <= 0 {
		return
	}
	reported := time.Duration(load) * time.Millisecond
	a.tail = tail{reported.Seconds() / a.stage.spec.TailTarget.Seconds(), now.BootTime}
}

// highestTail is the highest tail of the serving tasks on a worker, as a share of their
// targets. It is certain if all of them have been reported recently.
func (w *worker) highestTail(now Moment) (share float64, certain bool) {
	certain = true
	for _, a := range w.attempts {
		if a.stage == nil || a.stage.spec.TailTarget <= 0 {
			continue
		}
		certain = certain && a.tail.reportedAt > 0 && now.BootTime-a.tail.reportedAt <= progressWindow
		share = max(share, a.tail.share)
	}
	return share, certain
}

// mayShare reports whether a best-effort task of a stage may start on a worker beside its
// serving tasks. Those start one after the other, so that the tails show the effect of each,
// except the members of a gang, which work only together.
func (w *worker) mayShare(now Moment, stage *stage) bool {
	if w.serving == 0 {
		return true
	}
	if w.sharing.stoppedAt > 0 && now.BootTime-w.sharing.stoppedAt < w.sharing.pause {
		return false
	}
	for _, a := range w.attempts {
		if a.stage == nil || !a.stage.spec.BestEffort || stage.spec.Gang && a.stage == stage {
			continue
		}
		if a.phase != phaseRunning || now.BootTime-a.startedAt < sharingSettleTime {
			return false
		}
	}
	share, certain := w.highestTail(now)
	return certain && share <= maxSharingTail
}

// sharingPenalty is the placement cost of the tasks of the other kind on a worker.
func (w *worker) sharingPenalty(now Moment, spec *cairnbay.WorkflowStep) float64 {
	switch {
	case spec.BestEffort && w.serving > 0:
		share, _ := w.highestTail(now)
		return sharingCost + share
	case spec.TailTarget > 0:
		return sharingCost * float64(w.bestEffort)
	}
	return 0
}

// judgeSharing stops best-effort tasks on a worker that has reported a tail near its
// target: the latest one, and all of them if the target is exceeded.
func (c *Core) judgeSharing(now Moment, w *worker) {
	if w.serving == 0 || w.bestEffort == 0 {
		return
	}
	share, _ := w.highestTail(now)
	if share <= maxSharedTail || share <= 1 && now.BootTime-w.sharing.stoppedAt < sharingSettleTime {
		return
	}
	var latest *attempt
	var stopped []*attempt
	for _, a := range w.attempts {
		if a.stage == nil || !a.stage.spec.BestEffort || a.stopCause != "" {
			continue
		}
		stopped = append(stopped, a)
		if latest == nil || a.startedAt > latest.startedAt || a.startedAt == latest.startedAt && a.number > latest.number {
			latest = a
		}
	}
	if latest == nil {
		return
	}
	if share <= 1 {
		stopped = []*attempt{latest}
	}
	for _, a := range stopped {
		c.stop(a, CauseDisturbing)
		c.abortGang(a)
	}
	w.sharing.noteStop(now)
}

// noteStop begins the pause after a stop.
func (s *sharing) noteStop(now Moment) {
	switch {
	case s.stoppedAt == 0 || now.BootTime-s.stoppedAt > s.pause+maxSharingPause:
		s.pause = minSharingPause
	default:
		s.pause = min(2*s.pause, maxSharingPause)
	}
	s.stoppedAt = now.BootTime
}
