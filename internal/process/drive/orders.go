package drive

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

// carryOut sends each order on a goroutine of its own.
func (d *Drive) carryOut(actions []sched.Action) {
	for _, action := range actions {
		switch {
		case action.Start != nil:
			d.done.Go(func() { d.start(action.Start) })
		case action.Stop != nil:
			d.done.Go(func() { d.stop(action.Stop) })
		case action.Advise != nil:
			d.done.Go(func() { d.advise(action.Advise) })
		}
	}
}

// send prepares an order for a worker; nil if none may be given.
func (d *Drive) send(worker string) (l *link, sent, leaseEnd time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l = d.links[worker]
	sent = d.config.BootTime()
	if l == nil || l.heard == 0 || !d.inForce(sent) {
		return nil, 0, 0
	}
	return l, sent, l.grant(sent, d.config.Lease)
}

// took takes the worker's clock from an answer, and says whether the order met
// a newer owner or another life.
func (d *Drive) took(l *link, sent, clock time.Duration, err error) {
	if errors.Is(err, cairnbay.ErrFenced) {
		d.fence(l.entry.ID)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		l.hear(clock, sent, d.config.BootTime())
	}
}

func (d *Drive) start(action *sched.StartAction) {
	l, sent, leaseEnd := d.send(action.Target.Worker)
	if l == nil {
		d.started(action, cairnbay.ErrOverloaded)
		return
	}
	order := cairnbay.AgentStart{
		Task: action.Task, Attempt: action.Attempt, Payload: action.Payload,
		LeaseEnd: leaseEnd, Token: d.config.Claim.Token, Checkpoint: action.Checkpoint, Ticket: action.Ticket,
	}
	var err error
	for try := 1; ; try++ {
		var clock time.Duration
		ctx, cancel := context.WithTimeout(d.ctx, time.Duration(try)*startTimeout)
		clock, err = d.config.Agent.Start(ctx, action.Target, order)
		cancel()
		d.took(l, sent, clock, err)
		if try > 1 && refusesRepeat(err) {
			// An earlier try may have started the task, which may have ended.
			err = errors.Join(cairnbay.ErrUnknown, err)
			break
		}
		if !errors.Is(err, cairnbay.ErrUnknown) || try == startTries || !d.mayRepeat(sent) {
			break
		}
		d.config.Log.WithError(err).WithFields(logrus.Fields{
			"job": action.Task.Job, "task": taskFields(action.Task), "attempt": action.Attempt, "worker": action.Target.Worker,
		}).Info("start repeated")
	}
	d.started(action, err)
}

const (
	// startTries bounds how often a start without an answer is sent. A worker
	// takes repeats of one attempt for the same start, also those that arrive late.
	startTries = 3
	// startTimeout bounds the first try, and each further one by as much more.
	// Answers take milliseconds, and an urgent task has a second to spare.
	startTimeout = 150 * time.Millisecond
	// stopTimeout bounds a stop, which is repeated until it is answered.
	stopTimeout = 400 * time.Millisecond
)

// refusesRepeat says whether the answer to a repeated start refuses it, which
// tells nothing of the tries before.
func refusesRepeat(err error) bool {
	return err != nil && !errors.Is(err, cairnbay.ErrUnknown) &&
		!errors.Is(err, cairnbay.ErrFenced) && !errors.Is(err, cairnbay.ErrReplaced)
}

// mayRepeat says whether an order that was first sent at sent may be sent again.
func (d *Drive) mayRepeat(sent time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.BootTime()
	return d.ctx.Err() == nil && now-sent < d.config.Lease/2 && d.inForce(now)
}

func (d *Drive) started(action *sched.StartAction, err error) {
	d.meters.start(action.Waited, err)
	entry := d.config.Log.WithFields(logrus.Fields{
		"job": action.Task.Job, "task": taskFields(action.Task), "attempt": action.Attempt,
		"worker": action.Target.Worker, "waited_ms": action.Waited.Milliseconds(),
		"resumed": action.Checkpoint != "",
	})
	if err != nil {
		entry.WithError(err).Warn("start failed")
	} else {
		entry.Info("attempt started")
	}
	d.mu.Lock()
	if errors.Is(err, cairnbay.ErrReplaced) {
		if l := d.links[action.Target.Worker]; l != nil {
			d.drop(l, "replaced")
		}
	}
	d.core.HandleStart(d.now(), action, err)
	if errors.Is(err, cairnbay.ErrUnknown) {
		d.core.SetReachable(action.Target.Worker, false)
	}
	d.mu.Unlock()
	if err != nil {
		d.nudge()
	}
}

func (d *Drive) stop(action *sched.StopAction) {
	l, sent, _ := d.send(action.Target.Worker)
	if l == nil {
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, stopTimeout)
	clock, err := d.config.Agent.Stop(ctx, action.Target, cairnbay.AgentStop{
		Task: action.Task, Attempt: action.Attempt, Token: d.config.Claim.Token,
	})
	cancel()
	d.took(l, sent, clock, err)
	entry := d.config.Log.WithFields(logrus.Fields{
		"job": action.Task.Job, "task": taskFields(action.Task), "attempt": action.Attempt,
		"worker": action.Target.Worker, "cause": action.Cause,
	})
	if err != nil {
		entry.WithError(err).Warn("stop failed")
	} else {
		entry.Info("attempt stopped")
	}
	d.mu.Lock()
	d.core.HandleStop(d.now(), action, err)
	d.mu.Unlock()
}

const (
	// adviseGrace is how much longer than expected a call to the policy service
	// may take.
	adviseGrace = 1500 * time.Millisecond
	// adviseTurns is how many calls of an instance may stand before one: those of
	// the owners of the classes.
	adviseTurns = 2
)

func (d *Drive) advise(action *sched.AdviseAction) {
	ctx, cancel := context.WithTimeout(d.ctx, adviseTurns*action.ExpectedDuration+adviseGrace)
	asked := d.config.BootTime()
	tickets, err := d.config.Advise(ctx, action)
	cancel()
	entry := d.config.Log.WithFields(logrus.Fields{
		"job": action.Step.Job, "task": taskFields(action.Step), "workers": len(action.Workers),
		"allowed": len(tickets), "took_ms": (d.config.BootTime() - asked).Milliseconds(),
	})
	if err != nil {
		entry.WithError(err).Warn("policy service failed")
	} else {
		entry.Info("policy service answered")
	}
	d.mu.Lock()
	actions := d.core.HandleAdvice(d.now(), action.Step, action.Workers, tickets, err)
	d.mu.Unlock()
	d.carryOut(actions)
	d.nudge()
}
