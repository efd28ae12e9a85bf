package place

import (
	"time"

	"cairnbay"
	"cairnbay/internal/process/quota"
)

// candidateLimit bounds the workers that a policy rates for one task.
const candidateLimit = 8

// Reasons of starts.
const (
	reasonBestFit = "best fit on the scarcest resource"
	reasonSpread  = "fewest tasks of the job in the rack"
	reasonGang    = "placed together with its gang"
)

// pass is one call of Decide.
type pass struct {
	engine    *Engine
	now       time.Duration
	limit     int
	decisions []cairnbay.Decision
	// claims counts the attempts to make room.
	claims int
}

// Decide returns at most limit decisions, the most pressing first.
func (e *Engine) Decide(now time.Duration, limit int) []cairnbay.Decision {
	e.reviewJobs(now)
	e.wake(now)
	current := &pass{engine: e, now: now, limit: limit}
	e.escalate(now)
	e.checkReservations(now)
	current.flush()
	current.settleClaims()
	current.drain(cairnbay.BandUrgent)
	current.makeRoom()
	current.settleClaims()
	current.startReserved()
	current.unthrottle()
	current.probe()
	for band := range cairnbay.Bands {
		current.drain(band)
		current.takeBack(band)
	}
	current.settleClaims()
	current.reserveMore()
	current.drainBorrowers()
	e.queue.returnBorrowers()
	return current.decisions
}

// wake handles the alarms that are due.
func (e *Engine) wake(now time.Duration) {
	for {
		due, ok := e.alarms.due(now)
		if !ok {
			return
		}
		switch {
		case due.worker != nil && e.workers[due.worker.state.ID] == due.worker:
			e.reindex(due.worker, now)
		case due.job != nil && e.jobs[due.job.spec.ID] == due.job:
			e.wakeJob(due.job, now)
		}
	}
}

func (p *pass) full() bool { return len(p.decisions) >= p.limit }

// fitsLimit says whether count decisions may be returned together: there is
// room for them, or nothing has been returned yet.
func (p *pass) fitsLimit(count int) bool {
	return len(p.decisions) == 0 || len(p.decisions)+count <= p.limit
}

// drain starts the work of a band that is within its quotas.
func (p *pass) drain(band cairnbay.Band) {
	for !p.full() {
		next := p.engine.queue.pick(band, p.engine.shareLimit(band))
		if next == nil {
			return
		}
		p.advance(next)
	}
}

// advance starts the next work of a group or notes what holds it.
func (p *pass) advance(next *group) {
	if head := next.jobs[0]; p.withinQuota(head) {
		p.startOrBlock(next, head, false)
	}
}

// drainBorrowers starts work beyond quotas with what is left.
func (p *pass) drainBorrowers() {
	for !p.full() {
		next := p.engine.queue.pickBorrower()
		if next == nil {
			return
		}
		head := next.jobs[0]
		verdict, account := head.account.Evaluate(p.engine.needOf(head))
		if verdict == quota.Refused {
			p.engine.holdByQuota(head, account)
			p.engine.queue.park(next, account)
			continue
		}
		p.startOrBlock(next, head, true)
	}
}

// startOrBlock starts the next task of a job, or all of a gang, where there is
// room, and blocks the shape where there is none.
func (p *pass) startOrBlock(from *group, head *job, borrowed bool) {
	start := p.startOne
	if head.spec.Kind == cairnbay.KindGang {
		start = p.startGang
	}
	if p.engine.withReserved(head, p.now, func() bool { return start(head, borrowed) }) {
		return
	}
	p.engine.queue.block(from.line.shape)
	if !borrowed {
		p.engine.reserveFor(head, p.now)
	}
}

// needOf is what the next start of a job takes.
func (e *Engine) needOf(asked *job) cairnbay.Resources {
	if asked.spec.Kind == cairnbay.KindGang {
		return asked.spec.Size.Times(asked.waiting())
	}
	return asked.spec.Size
}

func (p *pass) startOne(head *job, borrowed bool) bool {
	reason := reasonBestFit
	if head.spec.Kind == cairnbay.KindService {
		reason = reasonSpread
	}
	chosen := p.engine.choose(head)
	if chosen == nil {
		chosen, reason = p.engine.chooseReserved(head, p.now)
	}
	if chosen == nil {
		return false
	}
	p.start(head, chosen, reason, borrowed)
	p.engine.settle(head, p.now)
	return true
}

// startGang starts all waiting tasks of a gang, or none.
func (p *pass) startGang(head *job, borrowed bool) bool {
	if !p.fitsLimit(head.waiting()) {
		p.limit = len(p.decisions)
		return true
	}
	chosen := p.engine.chooseAll(head)
	if chosen == nil {
		return false
	}
	for _, target := range chosen {
		p.start(head, target, reasonGang, borrowed)
	}
	p.engine.settle(head, p.now)
	return true
}

// start charges one task of the job to a worker and decides its start.
func (p *pass) start(head *job, target *worker, reason string, borrowed bool) {
	index, since, ok := head.nextWaiting()
	if !ok {
		return
	}
	increment(&head.attempts, index)
	started := &run{
		job: head, index: index, attempt: head.attempts[index], worker: target,
		size: head.spec.Size, waitingSince: since, placedAt: p.now,
		borrowed: borrowed, reason: reason,
	}
	head.setState(index, cairnbay.TaskStarting)
	head.progressed = p.now
	head.team.started[head.spec.Band] = p.now
	p.engine.attach(started, p.now)
	started.left = target.free()
	p.decisions = append(p.decisions, cairnbay.Decision{
		Kind: cairnbay.DecideStart, Task: started.task(), Attempt: started.attempt,
		Worker: target.state.ID, Waited: p.now - since, Reason: reason,
	})
}

// attach charges a run to its worker, team and branches.
func (e *Engine) attach(attached *run, now time.Duration) {
	owner := attached.job
	owner.runs[attached.index] = attached
	owner.countRack(attached.worker.rack, 1)
	attached.worker.runs[attached.task()] = attached
	if attached.borrowed {
		e.borrowed++
	}
	e.chargeOwners(attached, attached.size)
	recountRun(attached)
	e.charge(attached.worker, attached.size, now)
}

// chargeOwners changes what a run's team and branches hold.
func (e *Engine) chargeOwners(charged *run, change cairnbay.Resources) {
	owner := charged.job
	owner.account.Charge(change)
	if !(cairnbay.Resources{}).Fits(change) {
		owner.account.Each(e.queue.unpark)
	}
	e.queue.use(owner.team, change, e.total)
}

// detach takes a run off its worker, team and branches.
func (e *Engine) detach(detached *run, now time.Duration) {
	owner := detached.job
	delete(owner.runs, detached.index)
	owner.countRack(detached.worker.rack, -1)
	delete(detached.worker.runs, detached.task())
	e.forgetHolding(detached)
	e.chargeOwners(detached, negative(detached.size))
	e.charge(detached.worker, negative(detached.size), now)
}

// forgetHolding removes the traces of a run that was held back or borrowed.
func (e *Engine) forgetHolding(gone *run) {
	if gone.borrowed {
		e.borrowed--
	}
	if gone.stopping != 0 {
		gone.worker.coming = gone.worker.coming.Sub(gone.size)
	}
	gone.worker.reclaimable = gone.worker.reclaimable.Sub(gone.reclaimed)
	delete(e.stopping, gone)
	if gone.throttled {
		gone.worker.throttled--
		delete(e.throttled, gone)
	}
}
