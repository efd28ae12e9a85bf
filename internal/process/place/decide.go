package place

import (
	"time"

	"cairnbay"
	"cairnbay/internal/process/quota"
)

// candidateLimit limits the workers that a policy scores for one task, and so the
// time of one Decide.
const candidateLimit = 8

// Reasons of starts.
const (
	reasonBestFit = "best fit on the scarcest resource"
	reasonSpread  = "fewest tasks of the job in the rack"
	reasonGang    = "placed together with its gang"
)

// pass is the state of one call of Decide.
type pass struct {
	engine    *Engine
	now       time.Duration
	limit     int
	decisions []cairnbay.Decision
	// claimAttempts counts the claims that were tried.
	claimAttempts int
}

// Decide returns the next decisions, the most urgent first: at most limit, except
// as described at Engine.
func (e *Engine) Decide(now time.Duration, limit int) []cairnbay.Decision {
	e.reevaluateJobs(now)
	e.fireTimers(now)
	current := &pass{engine: e, now: now, limit: limit}
	e.stopLateCheckpoints(now)
	e.checkReservations(now)
	current.flush()
	current.processClaims()
	current.startWithinQuota(cairnbay.BandUrgent)
	current.claimForUrgent()
	current.processClaims()
	current.startReserved()
	current.unthrottle()
	current.probe()
	for band := range cairnbay.Bands {
		current.startWithinQuota(band)
		current.claimBorrowed(band)
	}
	current.processClaims()
	current.reserveMore()
	current.startBorrowers()
	e.queue.returnBorrowers()
	return current.decisions
}

// fireTimers handles the timers that are due.
func (e *Engine) fireTimers(now time.Duration) {
	for {
		due, ok := e.timers.popDue(now)
		if !ok {
			return
		}
		switch {
		case due.worker != nil && e.workers[due.worker.state.ID] == due.worker:
			e.reindex(due.worker, now)
		case due.job != nil && e.jobs[due.job.spec.ID] == due.job:
			e.onJobTimer(due.job, now)
		}
	}
}

func (p *pass) full() bool { return len(p.decisions) >= p.limit }

// fitsLimit reports whether count decisions may be returned together: they stay
// within the limit, or are the first ones.
func (p *pass) fitsLimit(count int) bool {
	return len(p.decisions) == 0 || len(p.decisions)+count <= p.limit
}

// startWithinQuota starts the work of a band that is within its quotas.
func (p *pass) startWithinQuota(band cairnbay.Band) {
	for !p.full() {
		next := p.engine.queue.pick(band, p.engine.shareLimit(band))
		if next == nil {
			return
		}
		p.startHead(next)
	}
}

// startHead starts the next work of a group, or records why it waits.
func (p *pass) startHead(next *group) {
	if head := next.jobs[0]; p.admitByQuota(head) {
		p.startOrBlock(next, head, false)
	}
}

// startBorrowers starts work beyond its quotas on the capacity that is left.
func (p *pass) startBorrowers() {
	for !p.full() {
		next := p.engine.queue.pickBorrower()
		if next == nil {
			return
		}
		head := next.jobs[0]
		verdict, account := head.account.Evaluate(p.engine.nextStartSize(head))
		if verdict == quota.Refused {
			p.engine.setQuotaWaitReason(head, account)
			p.engine.queue.park(next, account)
			continue
		}
		p.startOrBlock(next, head, true)
	}
}

// startOrBlock starts the next task of a job, or all tasks of a gang, and blocks
// the shape if it does not fit.
func (p *pass) startOrBlock(from *group, head *job, borrowed bool) {
	start := p.startOne
	if head.spec.Kind == cairnbay.KindGang {
		start = p.startGang
	}
	if p.engine.withReserved(head, p.now, func() bool { return start(head, borrowed) }) {
		return
	}
	p.engine.queue.block(from.subqueue.shape)
	if !borrowed {
		p.engine.reserveFor(head, p.now)
	}
}

// nextStartSize returns the capacity that the job's next start takes.
func (e *Engine) nextStartSize(pending *job) cairnbay.Resources {
	if pending.spec.Kind == cairnbay.KindGang {
		return pending.spec.Size.Times(pending.waiting())
	}
	return pending.spec.Size
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
	p.engine.updateJob(head, p.now)
	return true
}

// startGang starts all waiting tasks of a gang, or none. It returns true if it
// puts the gang off to the next Decide because the limit is too low, so that the
// shape is not blocked.
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
	p.engine.updateJob(head, p.now)
	return true
}

// start charges one task of the job to a worker and adds the decision.
func (p *pass) start(head *job, target *worker, reason string, borrowed bool) {
	index, since, ok := head.takeWaiting()
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
	head.lastStartAt = p.now
	head.team.lastStartByBand[head.spec.Band] = p.now
	p.engine.attach(started, p.now)
	started.freeAfter = target.free()
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
	updateReclaimable(attached)
	e.charge(attached.worker, attached.size, now)
}

// chargeOwners changes what is charged to a run's team and branches.
func (e *Engine) chargeOwners(charged *run, change cairnbay.Resources) {
	owner := charged.job
	owner.account.Charge(change)
	// If an amount falls, groups that wait for these accounts may start.
	if !(cairnbay.Resources{}).Fits(change) {
		owner.account.Each(e.queue.unpark)
	}
	e.queue.chargeTeam(owner.team, change, e.total)
}

// detach releases what a run was charged to its worker, team and branches.
func (e *Engine) detach(detached *run, now time.Duration) {
	owner := detached.job
	delete(owner.runs, detached.index)
	owner.countRack(detached.worker.rack, -1)
	delete(detached.worker.runs, detached.task())
	e.clearPreemption(detached)
	e.chargeOwners(detached, negative(detached.size))
	e.charge(detached.worker, negative(detached.size), now)
}

// clearPreemption removes a run from the accounts of preempted and borrowed runs.
func (e *Engine) clearPreemption(ended *run) {
	if ended.borrowed {
		e.borrowed--
	}
	if ended.requestedStop != 0 {
		ended.worker.releasing = ended.worker.releasing.Sub(ended.size)
	}
	ended.worker.reclaimable = ended.worker.reclaimable.Sub(ended.countedReclaimable)
	delete(e.stopping, ended)
	if ended.isThrottled {
		ended.worker.throttledCount--
		delete(e.throttledRuns, ended)
	}
}
