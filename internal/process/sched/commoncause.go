package sched

import (
	"slices"
	"time"
)

const (
	// commonLosses is the number of workers of one data centre, lost within commonWindow and
	// with nothing to blame, from which the losses there and then have a common cause.
	commonLosses = 2
	// commonWindow exceeds the differences between the times at which the calls to workers
	// fail that are gone at one instant.
	commonWindow = time.Second
	// lossMemory exceeds the time until all losses of one instant are known: that of the
	// longest lease, or until the workers are back.
	lossMemory = 30 * time.Second
)

// loss is a worker that crashed or fell silent.
type loss struct {
	// at is when the worker ceased to answer.
	at         time.Duration
	dataCentre string
	crash      *crash
	// blameless is set if no task can have caused the loss by its start. A worker that is
	// dropped while it answers, since it works in another class, has not crashed.
	blameless bool
}

// near reports whether two workers of one data centre ceased to answer together.
func (l loss) near(other loss) bool {
	return l.dataCentre == other.dataCentre && (l.at-other.at).Abs() <= commonWindow
}

// noteLoss excuses the suspects of losses with a common cause. A task crashes the workers
// that start it, so workers that nothing had just started on show such a cause, whereas a
// wide job or a gang that crashes many workers at one instant is a suspect on each.
func (c *Core) noteLoss(now Moment, lost *worker, noted *crash) {
	added := loss{at: now.BootTime, dataCentre: lost.entry.DataCentre, crash: noted}
	if lost.unreachable {
		added.at = lost.unreachableSince
		added.blameless = len(noted.suspects) == 0 && noted.unknownSuspects == 0
	}
	c.losses = slices.DeleteFunc(c.losses, func(known loss) bool { return now.BootTime-known.at > lossMemory })
	c.losses = append(c.losses, added)
	for _, known := range c.losses {
		if !known.blameless && known.near(added) && c.hasCommonCause(known) {
			c.excuse(known.crash)
		}
	}
}

func (c *Core) hasCommonCause(of loss) bool {
	blameless := 0
	for _, known := range c.losses {
		if known.blameless && known.near(of) {
			blameless++
		}
	}
	return blameless >= commonLosses
}

// excuse acquits the suspects of one crash. Its marks remain on tasks that end, which may be
// those that crash their workers late.
func (c *Core) excuse(excused *crash) {
	if len(excused.suspects) == 0 {
		return
	}
	for _, h := range excused.suspects {
		if h.stage.spec.LongRunning {
			h.forget(excused)
		}
	}
	for _, raised := range excused.raises {
		raised.undo()
	}
	excused.suspects, excused.unknownSuspects, excused.raises = nil, 0, nil
	c.changeCount++
}
