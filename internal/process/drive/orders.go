package drive

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

// execute runs each action in a goroutine of its own.
func (d *Drive) execute(actions []sched.Action) {
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

// delivery is what an order takes from the link to its worker when it is sent.
type delivery struct {
	link   *link
	target cairnbay.AgentTarget
	// sent is the boot time, leaseEnd the end of the lease on the worker's clock; 0 for an
	// order that grants none.
	sent, leaseEnd time.Duration
	token          uint64
	// attempt is what a start orders.
	attempt sched.PlacedAttempt
}

// prepareStart returns the delivery of a start sent now. An attempt that was counted as lost
// since the plan may have been started elsewhere. Errors: ErrOverloaded if the start may not
// be sent, ErrInvalidTicket if its ticket has expired since the plan.
func (d *Drive) prepareStart(action *sched.StartAction) (delivery, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.core.IsOrdered(action) {
		return delivery{}, cairnbay.ErrOverloaded
	}
	if action.TicketExpired(d.config.BootTime()) {
		return delivery{}, cairnbay.ErrInvalidTicket
	}
	sending, ok := d.prepareOrder(action.Target.Worker)
	if !ok || !d.mayExtend(sending.link, sending.sent) {
		return delivery{}, cairnbay.ErrOverloaded
	}
	sending.leaseEnd = sending.link.grantLease(sending.sent, d.config.Lease)
	sending.attempt = sched.PlacedAttempt{Task: action.Task, Attempt: action.Attempt}
	return sending, nil
}

// prepareStop returns the delivery of a stop sent now; false if it may not be sent.
func (d *Drive) prepareStop(action *sched.StopAction) (delivery, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.prepareOrder(action.Target.Worker)
}

// prepareOrder returns the delivery of an order without a lease that is sent to a worker
// now; false if no order may be sent. The caller holds the lock.
func (d *Drive) prepareOrder(worker string) (delivery, bool) {
	l := d.links[worker]
	sent := d.config.BootTime()
	if l == nil || l.answeredAt == 0 || l.doubtedAt > 0 || !d.ownershipConfirmed(sent) {
		return delivery{}, false
	}
	return delivery{link: l, target: l.target(), sent: sent, token: l.lineage.token}, true
}

// handleAnswer stores the worker's clock from the answer to an order, removes a worker at
// whose address another one answered, and fences this owner if the worker reported a newer one.
func (d *Drive) handleAnswer(order delivery, clock time.Duration, err error) {
	l := order.link
	if errors.Is(err, cairnbay.ErrFenced) {
		d.handleFencedCall(l, order.token)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case l.superseded || l.dropped:
	case errors.Is(err, cairnbay.ErrReplaced):
		d.dropReplaced(l, order.target.Address)
	case errors.Is(err, cairnbay.ErrUnknown) && order.leaseEnd > 0:
		d.noteUnanswered(l, order.attempt)
	case err != nil:
	case l.isOtherRun(clock, order.sent):
		d.handleOtherClock(l, clock, order.sent)
	default:
		l.updateClock(clock, d.config.BootTime())
		d.core.HandleAnswer(l.entry.ID, clock)
	}
}

// start orders an attempt, up to maxStartTries times while the outcome is unknown.
func (d *Drive) start(action *sched.StartAction) {
	sending, err := d.prepareStart(action)
	if err != nil {
		// Nothing was sent, so the order has certainly had no effect.
		d.startSettled(0)
		d.handleStarted(action, d.config.BootTime(), err)
		return
	}
	order := cairnbay.AgentStart{
		Task: action.Task, Attempt: action.Attempt, Payload: action.Payload,
		LeaseEnd: sending.leaseEnd, Token: sending.token, Checkpoint: action.Checkpoint, Ticket: action.Ticket,
	}
	for try := 1; ; try++ {
		var clock time.Duration
		ctx, cancel := context.WithTimeout(d.ctx, time.Duration(try)*startTimeout+d.allowance())
		clock, err = d.config.Agent.Start(ctx, sending.target, order)
		cancel()
		d.handleAnswer(sending, clock, err)
		if try == 1 {
			took := time.Duration(0)
			if err == nil {
				took = d.config.BootTime() - sending.sent
			}
			d.startSettled(took)
		}
		if try > 1 && refusesRetry(err) {
			// An earlier try may have started the task, and the task may have ended
			// since.
			err = errors.Join(cairnbay.ErrUnknown, err)
			break
		}
		if !errors.Is(err, cairnbay.ErrUnknown) || try == maxStartTries || !d.mayRetry(action, sending) {
			break
		}
		d.config.Log.WithError(err).WithFields(logrus.Fields{
			"job": action.Task.Job, "task": taskIndexes(action.Task), "attempt": action.Attempt, "worker": action.Target.Worker,
		}).Info("start repeated")
	}
	d.handleStarted(action, sending.sent, err)
}

const (
	// maxStartTries bounds how often a start without an answer is sent. Starts are
	// idempotent by attempt, even when a repeated one arrives late.
	maxStartTries = 3
	// startTimeout bounds the first try; each further try gets this much more.
	// Answers take milliseconds. Three tries take at most 900 ms, and the start of
	// an urgent task may be delayed by one second.
	startTimeout = 150 * time.Millisecond
	// stopTimeout bounds one stop call. Plans repeat the stop until it is answered.
	stopTimeout = 400 * time.Millisecond
	// patience times the lateness is added to the timeouts of calls to workers: an
	// answer that this owner has not handled yet is not a lost one.
	patience = 2
)

// countStarts counts the starts of actions about to be executed; the caller holds
// the lock.
func (d *Drive) countStarts(actions []sched.Action) {
	for _, action := range actions {
		if action.Start != nil {
			d.pacer.inFlight++
			d.reportPrediction(action.Start)
		}
	}
}

// allowance is what the timeout of a call to a worker adds for the lateness of this
// owner.
func (d *Drive) allowance() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return patience * max(d.late.recent, d.pacer.latency)
}

// startSettled takes a start off those in flight, after its first try was answered or
// was silent for its timeout. took is the time of an answer, 0 without one.
func (d *Drive) startSettled(took time.Duration) {
	d.mu.Lock()
	d.pacer.inFlight--
	if took > 0 {
		d.pacer.answered(took)
	}
	resume := d.startsHeld && d.pacer.free() > int(d.pacer.limit)/2
	d.mu.Unlock()
	if resume {
		d.requestPlan()
	}
}

// refusesRetry says whether a repeated start was refused. The refusal does not
// tell whether an earlier try took effect.
func refusesRetry(err error) bool {
	return err != nil && !errors.Is(err, cairnbay.ErrUnknown) &&
		!errors.Is(err, cairnbay.ErrFenced) && !errors.Is(err, cairnbay.ErrReplaced)
}

// mayRetry says whether a start may be sent again, now: the core must still have the
// attempt, and half of its lease must be left.
func (d *Drive) mayRetry(action *sched.StartAction, order delivery) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.BootTime()
	if d.ctx.Err() != nil || order.link.superseded || order.link.doubtedAt > 0 || now-order.sent >= d.config.Lease/2 || !d.ownershipConfirmed(now) ||
		!d.core.IsOrdered(action) {
		return false
	}
	order.link.grantedAt = now
	return true
}

// handleStarted logs the result of a start and passes it to the core. sent is when the start
// was first sent, or given up without that.
func (d *Drive) handleStarted(action *sched.StartAction, sent time.Duration, err error) {
	d.meters.startFinished(action.Waited, err)
	log := d.config.Log.WithFields(logrus.Fields{
		"job": action.Task.Job, "task": taskIndexes(action.Task), "attempt": action.Attempt,
		"worker": action.Target.Worker, "waited_ms": action.Waited.Milliseconds(),
		"resumed": action.Checkpoint != "", "trial": action.Trial, "copy": action.Copy,
	})
	if errors.Is(err, cairnbay.ErrInvalidTicket) {
		log = log.WithFields(logrus.Fields{
			"ticket_age_ms":  (sent - action.TicketArrivedAt).Milliseconds(),
			"ticket_call_ms": (action.TicketArrivedAt - action.TicketCalledAt).Milliseconds(),
		})
	}
	if err != nil {
		log.WithError(err).Warn("start failed")
	} else {
		log.Info("attempt started")
	}
	d.mu.Lock()
	d.core.HandleStart(d.now(), action, err)
	if errors.Is(err, cairnbay.ErrUnknown) {
		d.core.SetReachable(d.now(), action.Target.Worker, false)
	}
	d.mu.Unlock()
	if err != nil || action.Probe {
		d.requestPlan()
	}
}

// stop orders the end of an attempt, once.
func (d *Drive) stop(action *sched.StopAction) {
	sending, ok := d.prepareStop(action)
	if !ok {
		d.handleStopped(action, cairnbay.ErrOverloaded)
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, stopTimeout+d.allowance())
	clock, err := d.config.Agent.Stop(ctx, sending.target, cairnbay.AgentStop{
		Task: action.Task, Attempt: action.Attempt, Token: sending.token,
	})
	cancel()
	d.handleAnswer(sending, clock, err)
	log := d.config.Log.WithFields(logrus.Fields{
		"job": action.Task.Job, "task": taskIndexes(action.Task), "attempt": action.Attempt,
		"worker": action.Target.Worker, "cause": action.Cause,
	})
	if err != nil {
		log.WithError(err).Warn("stop failed")
	} else {
		log.Info("attempt stopped")
	}
	d.handleStopped(action, err)
}

// handleStopped passes the result of a stop to the core.
func (d *Drive) handleStopped(action *sched.StopAction, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.HandleStop(d.now(), action, err)
}

const (
	// adviseGrace is how much longer than expected a call to the policy service
	// may take.
	adviseGrace = 1500 * time.Millisecond
	// adviseQueueFactor scales the expected duration of a call: calls for other
	// classes that the instance owns may be queued before it.
	adviseQueueFactor = 2
)

// callAdvisor calls the policy service, which knows the workers by their names.
func (d *Drive) callAdvisor(ctx context.Context, action *sched.AdviseAction) ([]cairnbay.Ticket, error) {
	named := *action
	named.Workers = workerNames(action.Workers)
	tickets, err := d.config.Advise(ctx, &named)
	return ticketsByID(tickets, action.Workers), err
}

// workerNames returns the names of workers, each once.
func workerNames(ids []string) []string {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		if name := cairnbay.WorkerName(id); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// ticketsByID returns the tickets of the workers that were asked about, by their IDs. A ticket
// goes to all runs of a process with the worker's name: the service does not tell which of
// them is the current one, and the others refuse it.
func ticketsByID(tickets []cairnbay.Ticket, asked []string) (byID []cairnbay.Ticket) {
	for _, granted := range tickets {
		for _, id := range asked {
			if cairnbay.WorkerName(id) == granted.Worker {
				byID = append(byID, cairnbay.Ticket{Worker: id, Ticket: granted.Ticket})
			}
		}
	}
	return byID
}

// advise calls the policy service for a step and executes the decisions that
// follow from its tickets.
func (d *Drive) advise(action *sched.AdviseAction) {
	ctx, cancel := context.WithTimeout(d.ctx, adviseQueueFactor*action.ExpectedDuration+adviseGrace)
	calledAt := d.config.BootTime()
	tickets, err := d.callAdvisor(ctx, action)
	cancel()
	log := d.config.Log.WithFields(logrus.Fields{
		"job": action.Step.Job, "task": taskIndexes(action.Step), "workers": len(action.Workers),
		"allowed": len(tickets), "took_ms": (d.config.BootTime() - calledAt).Milliseconds(),
		"expected_ms": action.ExpectedDuration.Milliseconds(),
	})
	if err != nil {
		log.WithError(err).Warn("policy service failed")
	} else {
		log.Info("policy service answered")
	}
	d.mu.Lock()
	actions := d.core.HandleAdvice(d.now(), action.Step, calledAt, action.Workers, tickets, err)
	d.countStarts(actions)
	d.mu.Unlock()
	d.execute(actions)
	d.requestPlan()
}
