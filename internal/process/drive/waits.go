package drive

import (
	"github.com/sirupsen/logrus"

	"cairnbay/internal/process/sched"
)

// wideGangMembers is the number of members from which metrics count a gang as wide.
const wideGangMembers = 8

// logAdviceWaits logs the steps that have waited for long for the policy service; the caller
// holds the lock.
func (d *Drive) logAdviceWaits() {
	for _, wait := range d.core.TakeAdviceWaits() {
		d.config.Log.WithFields(logrus.Fields{
			"job": wait.Step.Job, "occurrence": wait.Step.Occurrence, "step": wait.Step.Step, "queue": wait.Queue,
			"reason": wait.Reason, "waited_ms": wait.Waited.Milliseconds(), "evaluated": wait.Evaluated,
			"allowed": wait.Permitted, "valid_tickets": wait.Valid, "refused_tickets": wait.Refusals,
			"since_call_ms": wait.SinceCall.Milliseconds(),
		}).Warn("step waits for the policy service")
	}
	d.meters.stepsWaiting(d.core.WaitingSteps())
}

// logRestartWaits logs the steps of which tasks that last wait for long to run again; the
// caller holds the lock.
func (d *Drive) logRestartWaits() {
	for _, wait := range d.core.TakeRestartWaits() {
		d.config.Log.WithFields(logrus.Fields{
			"job": wait.Step.Job, "step": wait.Step.Step, "queue": wait.Queue, "reason": wait.Reason,
			"waited_ms": wait.Waited.Milliseconds(), "waiting": wait.Waiting, "suspects": wait.Suspects,
			"trials": wait.Trials, "queue_risk": wait.QueueRisk,
		}).Warn("lost tasks wait to run again")
	}
}

// logGangWaits logs the gangs that have started, have become late or have ended without a
// start; the caller holds the lock.
func (d *Drive) logGangWaits() {
	for _, wait := range d.core.TakeGangWaits() {
		if wait.Event != sched.GangLate {
			d.meters.gangWaited(wait)
		}
		fields := logrus.Fields{
			"job": wait.Step.Job, "step": wait.Step.Step, "queue": wait.Queue, "event": wait.Event, "members": wait.Members,
			"waited_ms": wait.Waited.Milliseconds(), "evaluated": wait.Evaluated, "allowed": wait.Allowed,
		}
		for reason, waited := range wait.ByReason {
			fields[string(reason)+"_ms"] = waited.Milliseconds()
		}
		d.config.Log.WithFields(fields).Info("gang waited")
	}
}
