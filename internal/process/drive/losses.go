package drive

import (
	"github.com/sirupsen/logrus"

	"cairnbay/internal/process/sched"
)

// handleWorkerLoss counts the attempts of a worker as lost, once they can
// certainly no longer run; the caller holds the lock.
func (d *Drive) handleWorkerLoss(id, reason string, cause sched.LossCause) {
	d.reportLoss(id, reason, d.core.HandleWorkerLoss(d.now(), id, cause))
	d.resolveInherited(id)
}

// reportLoss logs and stores the loss of a worker; the caller holds the lock.
func (d *Drive) reportLoss(id, reason string, loss sched.WorkerLoss) {
	lost := loss.Lost
	d.config.Log.WithFields(logrus.Fields{"worker": id, "reason": reason, "attempts": len(lost)}).Warn("worker lost")
	for _, attempt := range lost {
		d.config.Log.WithFields(logrus.Fields{
			"job": attempt.Task.Job, "task": taskIndexes(attempt.Task), "attempt": attempt.Attempt, "worker": id,
			"ran_at_least_ms": attempt.RanAtLeast.Milliseconds(),
		}).Info("attempt lost")
	}
	d.meters.workerLost(reason, len(lost))
	d.logGivenUp()
	if len(loss.Records) > 0 {
		d.writer.Append(encodeRecords(loss.Records), func(err error) {
			if err != nil {
				return
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			d.handleStored(loss.Records)
		})
	}
	d.requestPlan()
}

// logGivenUp logs the jobs that were given up because of crashed workers; the caller
// holds the lock.
func (d *Drive) logGivenUp() {
	for _, given := range d.core.TakeGivenUp() {
		d.meters.jobGivenUp()
		d.config.Log.WithFields(logrus.Fields{
			"job": given.Task.Job, "task": taskIndexes(given.Task), "workers": given.Workers, "crashes": len(given.Workers),
		}).Warn("job given up: a task crashes its workers")
	}
}
