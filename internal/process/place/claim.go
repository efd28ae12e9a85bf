package place

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cairnbay"
	"cairnbay/internal/process/quota"
)

const (
	// claimTimeout is the age at which a claim that has not started its tasks is
	// dropped. It exceeds checkpointGrace, so that a late checkpoint can still be
	// stopped.
	claimTimeout = 15 * time.Second
	// claimRetry is how long no claim is tried for a subqueue after one failed or
	// none of its jobs was eligible.
	claimRetry = 100 * time.Millisecond
	// claimCandidates limits the workers for which a preemption plan is made,
	// and so the time of one Decide.
	claimCandidates = 16
	// claimsPerPass limits the claims that one Decide tries, and so its time.
	claimsPerPass = 32
	// reasonClaimed is the reason of a start on claimed capacity.
	reasonClaimed = "starts on capacity that a claim set aside for it"
)

// claim sets capacity aside on workers for waiting tasks of a job while the
// preempted tasks end.
type claim struct {
	request claimRequest
	// workers has one entry for each task.
	workers   []*worker
	createdAt time.Duration
}

// claimForUrgent claims capacity for urgent work that fits nowhere.
func (p *pass) claimForUrgent() {
	p.claimForBand(cairnbay.BandUrgent, claimRule{eligible: mayPreempt})
}

// claimBorrowed claims borrowed capacity for work within its quota that fits
// nowhere.
func (p *pass) claimBorrowed(band cairnbay.Band) {
	if p.engine.borrowed > 0 {
		p.claimForBand(band, claimRule{eligible: func(*job) bool { return true }, reclaimsBorrowed: true})
	}
}

// claimRule selects the jobs that may claim capacity and the tasks that they
// may preempt: borrowed ones (started beyond a quota) if reclaimsBorrowed is set,
// else patient ones (of the batch and best-effort bands).
type claimRule struct {
	eligible         func(*job) bool
	reclaimsBorrowed bool
}

// mayClaim reports whether a job may claim capacity for a task that has no claim.
func (r claimRule) mayClaim(pending *job) bool {
	return pending.unclaimed() > 0 && r.eligible(pending)
}

// mayPreempt reports whether a job may preempt patient work. Work that has aged
// into the urgent band is queued there but may not preempt.
func mayPreempt(pending *job) bool {
	return pending.spec.Band == cairnbay.BandUrgent && pending.branch.Placing.Preempt
}

// claimForBand claims capacity for the blocked work of a band, in order, until
// nothing more can be claimed.
func (p *pass) claimForBand(band cairnbay.Band, rule claimRule) {
	for p.claimAttempts < claimsPerPass && !p.full() {
		head := p.firstUnclaimed(band, rule)
		if head == nil {
			return
		}
		if !p.admitByQuota(head) {
			continue
		}
		p.claimAttempts++
		if !p.claimCapacity(claimRequest{job: head, reclaimsBorrowed: rule.reclaimsBorrowed, now: p.now}) {
			head.group.subqueue.nextClaim = p.now + claimRetry
		}
	}
}

// firstUnclaimed returns the first job that waits for capacity and has no claim,
// nil if there is none. A subqueue without such a job is skipped for claimRetry.
func (p *pass) firstUnclaimed(band cairnbay.Band, rule claimRule) *job {
	var first *job
	for _, candidate := range p.engine.queue.subqueues[band] {
		if !candidate.shape.blocked || p.now < candidate.nextClaim {
			continue
		}
		head := candidate.firstJob(rule.mayClaim)
		if head == nil {
			candidate.nextClaim = p.now + claimRetry
			continue
		}
		if first == nil || head.group.before(first.group) {
			first = head
		}
	}
	return first
}

// firstJob returns an eligible job of the first group that has one. The jobs of the
// group are searched in heap order, which is not their policy's order.
func (s *subqueue) firstJob(eligible func(*job) bool) *job {
	var first *job
	for _, candidate := range s.groups {
		if first != nil && !candidate.before(first.group) {
			continue
		}
		for _, head := range candidate.jobs {
			if eligible(head) {
				first = head
				break
			}
		}
	}
	return first
}

// admitByQuota reports whether a job is within its quotas. If it is not, its
// group is moved to the borrowers, or parked where it may not borrow.
func (p *pass) admitByQuota(head *job) bool {
	verdict, account := head.account.Evaluate(p.engine.nextStartSize(head))
	if verdict == quota.Within {
		return true
	}
	p.engine.setQuotaWaitReason(head, account)
	if verdict == quota.Refused || head.spec.AtMostOnce {
		p.engine.queue.park(head.group, account)
	} else {
		p.engine.queue.moveToBorrowers(head.group)
	}
	return false
}

// unclaimed counts the waiting tasks without a claim.
func (j *job) unclaimed() int { return j.waiting() - j.claimedTasks }

// claimCapacity frees capacity for one task, or for all tasks of a gang. It returns
// false and changes nothing if that is not possible.
func (p *pass) claimCapacity(req claimRequest) bool {
	count := 1
	if req.job.spec.Kind == cairnbay.KindGang {
		count = req.job.waiting()
	}
	created := &claim{request: req, createdAt: p.now}
	var plans []preemptPlan
	for len(plans) < count {
		next, ok := p.engine.cheapestPlan(req)
		if !ok {
			break
		}
		plans = append(plans, next)
		created.workers = append(created.workers, next.worker)
		p.engine.applyTentatively(next, req, 1)
	}
	for _, planned := range slices.Backward(plans) {
		p.engine.applyTentatively(planned, req, -1)
	}
	if len(plans) < count {
		return false
	}
	p.engine.addClaim(created, p.now)
	for _, plan := range plans {
		p.preempt(plan, req)
	}
	return true
}

// applyTentatively adds a plan's victims and claimed capacity to the worker's
// account (sign 1) or removes them (-1).
func (e *Engine) applyTentatively(plan preemptPlan, req claimRequest, sign int) {
	host := plan.worker
	host.claimed = host.claimed.Add(req.job.spec.Size.Times(sign))
	for _, victim := range plan.victims {
		victim.run.inPlan = sign > 0
		host.releasing = host.releasing.Add(victim.freedCapacity().Times(sign))
		updateReclaimable(victim.run)
	}
	e.reindex(host, req.now)
}

// cheapestPlan returns the cheapest preemption plan among up to claimCandidates
// workers.
func (e *Engine) cheapestPlan(req claimRequest) (best preemptPlan, ok bool) {
	examined := 0
	e.reclaimable.Ascend(req.job.spec.Size, func(slot int) bool {
		examined++
		candidate, possible := e.planPreemption(req, e.bySlot[slot])
		if possible && (!ok || candidate.cost < best.cost) {
			best, ok = candidate, true
		}
		return examined < claimCandidates && (!ok || best.cost > 0)
	})
	return best, ok
}

func (e *Engine) addClaim(added *claim, now time.Duration) {
	e.claims = append(e.claims, added)
	added.request.job.claimedTasks += len(added.workers)
	for _, host := range added.workers {
		host.claimed = host.claimed.Add(added.request.job.spec.Size)
		e.reindex(host, now)
	}
}

// dropClaim releases the capacity that a claim sets aside.
func (e *Engine) dropClaim(dropped *claim, now time.Duration) {
	e.claims = slices.DeleteFunc(e.claims, func(existing *claim) bool { return existing == dropped })
	dropped.request.job.claimedTasks -= len(dropped.workers)
	if dropped.request.job.group != nil {
		dropped.request.job.group.subqueue.nextClaim = 0
	}
	for _, host := range dropped.workers {
		host.claimed = host.claimed.Sub(dropped.request.job.spec.Size)
		e.reindex(host, now)
	}
}

// processClaims drops the claims that are void and starts the tasks of those
// whose capacity is free.
func (p *pass) processClaims() {
	for _, current := range slices.Clone(p.engine.claims) {
		if p.engine.isClaimVoid(current, p.now) {
			p.engine.dropClaim(current, p.now)
			continue
		}
		if p.engine.isClaimReady(current) && p.fitsLimit(len(current.workers)) {
			p.startClaimed(current)
		}
	}
}

// isClaimVoid reports whether a claim is no longer needed or possible, or has
// timed out.
func (e *Engine) isClaimVoid(checked *claim, now time.Duration) bool {
	pending := checked.request.job
	if e.jobs[pending.spec.ID] != pending || pending.group == nil || pending.unclaimed() < 0 {
		return true
	}
	if now-checked.createdAt > claimTimeout {
		return true
	}
	for _, host := range checked.workers {
		if e.workers[host.state.ID] != host || !e.isSchedulable(host, now) {
			return true
		}
	}
	verdict, _ := pending.account.Evaluate(e.nextStartSize(pending))
	return verdict != quota.Within
}

// isClaimReady reports whether all tasks of a claim fit on its workers.
func (e *Engine) isClaimReady(checked *claim) bool {
	size := checked.request.job.spec.Size
	needs := make(map[*worker]cairnbay.Resources, len(checked.workers))
	for _, host := range checked.workers {
		needs[host] = needs[host].Add(size)
		if !needs[host].Fits(host.free()) {
			return false
		}
	}
	return true
}

func (p *pass) startClaimed(started *claim) {
	p.engine.dropClaim(started, p.now)
	for _, host := range started.workers {
		p.start(started.request.job, host, reasonClaimed, false)
	}
	p.engine.updateJob(started.request.job, p.now)
}

// claimWaitReason describes the claims that a job waits for.
func (e *Engine) claimWaitReason(pending *job, now time.Duration) waitReason {
	var workers []string
	var oldest time.Duration
	for _, existing := range e.claims {
		if existing.request.job != pending {
			continue
		}
		oldest = max(oldest, now-existing.createdAt)
		for _, host := range existing.workers {
			workers = append(workers, host.state.ID)
		}
	}
	slices.SortFunc(workers, cmp.Compare[string])
	return waitReason{constraint: constraintPreemption, detail: fmt.Sprintf(
		"waits for other tasks to free capacity on %v, for %s so far", slices.Compact(workers), oldest.Round(time.Millisecond))}
}
