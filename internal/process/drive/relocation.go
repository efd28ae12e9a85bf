package drive

import (
	"github.com/sirupsen/logrus"

	"cairnbay/internal/process/sched"
)

func relocationKind(relocation sched.Relocation) string {
	if relocation.Copy {
		return "copy"
	}
	return "move"
}

// logRelocations logs the slow runs that the last plan has moved or copied; the caller
// holds the lock.
func (d *Drive) logRelocations() {
	for _, relocation := range d.core.TakeRelocations() {
		d.meters.attemptRelocated(relocation)
		d.config.Log.WithFields(logrus.Fields{
			"job": relocation.Task.Job, "task": taskIndexes(relocation.Task), "attempt": relocation.Attempt,
			"worker": relocation.Worker, "kind": relocationKind(relocation), "target": relocation.Target,
			"percent": relocation.Percent, "slowdown": relocation.Slowdown,
			"remaining_ms": relocation.Remaining.Milliseconds(), "gain_ms": relocation.Gain.Milliseconds(),
		}).Info("slow run moved or copied")
	}
}
