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
	// claimTimeout gives up a claim whose victims do not end.
	claimTimeout = 15 * time.Second
	// claimRetry is how long a line waits after no victims were found.
	claimRetry = 100 * time.Millisecond
	// claimCandidates bounds the workers for which a plan is made.
	claimCandidates = 16
	// claimsPerPass bounds the claims that one Decide makes.
	claimsPerPass = 32
	// reasonClaimed is the reason of a start on claimed room.
	reasonClaimed = "patient or borrowed work made room"
)

// claim holds room on workers for waiting tasks of a job while victims end.
type claim struct {
	asker asker
	// workers has one entry a task.
	workers []*worker
	since   time.Duration
}

// makeRoom claims room for the urgent work that fits nowhere.
func (p *pass) makeRoom() {
	p.claimRoom(cairnbay.BandUrgent, claimKind{wanted: mayPreempt})
}

// takeBack claims what was borrowed for the work within quota that fits nowhere.
func (p *pass) takeBack(band cairnbay.Band) {
	if p.engine.borrowed > 0 {
		p.claimRoom(band, claimKind{wanted: func(*job) bool { return true }, reclaims: true})
	}
}

// claimKind says which jobs may claim room, and whose.
type claimKind struct {
	wanted   func(*job) bool
	reclaims bool
}

// claims says whether a job may claim room for a task that has no claim yet.
func (k claimKind) claims(asked *job) bool {
	return asked.unclaimed() > 0 && k.wanted(asked)
}

// mayPreempt says whether a job may hold back patient work: ageing gives the
// rank of urgent work, not its rights.
func mayPreempt(asked *job) bool {
	return asked.spec.Band == cairnbay.BandUrgent && asked.branch.Placing.Preempt
}

// claimRoom claims room for the blocked work of a band, in order, until nothing
// more can be claimed.
func (p *pass) claimRoom(band cairnbay.Band, kind claimKind) {
	for p.claims < claimsPerPass && !p.full() {
		head := p.firstUnclaimed(band, kind)
		if head == nil {
			return
		}
		if !p.withinQuota(head) {
			continue
		}
		p.claims++
		if !p.claim(asker{job: head, reclaims: kind.reclaims, now: p.now}) {
			head.group.line.claimAt = p.now + claimRetry
		}
	}
}

// firstUnclaimed returns the job that goes first among those that wait for
// capacity and have no claim yet; nil when there is none. A line without such
// a job is left alone for a while.
func (p *pass) firstUnclaimed(band cairnbay.Band, kind claimKind) *job {
	var first *job
	for _, candidate := range p.engine.queue.lines[band] {
		if !candidate.shape.blocked || p.now < candidate.claimAt {
			continue
		}
		head := candidate.first(kind.claims)
		if head == nil {
			candidate.claimAt = p.now + claimRetry
			continue
		}
		if first == nil || head.group.before(first.group) {
			first = head
		}
	}
	return first
}

// first returns a wanted job of the line's first group that has one.
func (l *line) first(wanted func(*job) bool) *job {
	var first *job
	for _, candidate := range l.groups {
		if first != nil && !candidate.before(first.group) {
			continue
		}
		for _, head := range candidate.jobs {
			if wanted(head) {
				first = head
				break
			}
		}
	}
	return first
}

// withinQuota says whether a job is within its quotas; otherwise its group is put
// where it belongs.
func (p *pass) withinQuota(head *job) bool {
	verdict, account := head.account.Evaluate(p.engine.needOf(head))
	if verdict == quota.Within {
		return true
	}
	p.engine.holdByQuota(head, account)
	if verdict == quota.Refused || head.spec.AtMostOnce {
		p.engine.queue.park(head.group, account)
	} else {
		p.engine.queue.setAside(head.group)
	}
	return false
}

// unclaimed counts the waiting tasks without a claim.
func (j *job) unclaimed() int { return j.waiting() - j.claimed }

// claim makes room for one task, or for all of a gang; it returns false and
// changes nothing when that is not possible.
func (p *pass) claim(asking asker) bool {
	count := 1
	if asking.job.spec.Kind == cairnbay.KindGang {
		count = asking.job.waiting()
	}
	made := &claim{asker: asking, since: p.now}
	var plans []plan
	for len(plans) < count {
		next, ok := p.engine.cheapestPlan(asking)
		if !ok {
			break
		}
		plans = append(plans, next)
		made.workers = append(made.workers, next.worker)
		p.engine.pencil(next, asking, 1)
	}
	for _, undone := range slices.Backward(plans) {
		p.engine.pencil(undone, asking, -1)
	}
	if len(plans) < count {
		return false
	}
	p.engine.addClaim(made, p.now)
	for _, agreed := range plans {
		p.holdBack(agreed, asking)
	}
	return true
}

// pencil marks a plan's victims and room as taken (sign 1) or no longer (-1).
func (e *Engine) pencil(marked plan, asking asker, sign int) {
	on := marked.worker
	on.held = on.held.Add(asking.job.spec.Size.Times(sign))
	for _, victim := range marked.victims {
		victim.run.planned = sign > 0
		on.coming = on.coming.Add(victim.frees().Times(sign))
		recountRun(victim.run)
	}
	e.reindex(on, asking.now)
}

// cheapestPlan looks for the worker on which room costs the least.
func (e *Engine) cheapestPlan(asking asker) (best plan, ok bool) {
	seen := 0
	e.reclaimable.Ascend(asking.job.spec.Size, func(slot int) bool {
		seen++
		made, possible := e.planOn(asking, e.bySlot[slot])
		if possible && (!ok || made.cost < best.cost) {
			best, ok = made, true
		}
		return seen < claimCandidates && (!ok || best.cost > 0)
	})
	return best, ok
}

func (e *Engine) addClaim(added *claim, now time.Duration) {
	e.claims = append(e.claims, added)
	added.asker.job.claimed += len(added.workers)
	for _, on := range added.workers {
		on.held = on.held.Add(added.asker.job.spec.Size)
		e.reindex(on, now)
	}
}

// dropClaim gives up the room that a claim holds.
func (e *Engine) dropClaim(dropped *claim, now time.Duration) {
	e.claims = slices.DeleteFunc(e.claims, func(known *claim) bool { return known == dropped })
	dropped.asker.job.claimed -= len(dropped.workers)
	if dropped.asker.job.group != nil {
		dropped.asker.job.group.line.claimAt = 0
	}
	for _, on := range dropped.workers {
		on.held = on.held.Sub(dropped.asker.job.spec.Size)
		e.reindex(on, now)
	}
}

// settleClaims drops the claims that are void and starts the tasks of those
// whose room is free.
func (p *pass) settleClaims() {
	for _, current := range slices.Clone(p.engine.claims) {
		if p.engine.void(current, p.now) {
			p.engine.dropClaim(current, p.now)
			continue
		}
		if p.engine.ready(current) && p.fitsLimit(len(current.workers)) {
			p.startClaimed(current)
		}
	}
}

// void says whether a claim has lost its purpose or waited too long.
func (e *Engine) void(checked *claim, now time.Duration) bool {
	asking := checked.asker.job
	if e.jobs[asking.spec.ID] != asking || asking.group == nil || asking.unclaimed() < 0 {
		return true
	}
	if now-checked.since > claimTimeout {
		return true
	}
	for _, on := range checked.workers {
		if e.workers[on.state.ID] != on || !e.open(on, now) {
			return true
		}
	}
	verdict, _ := asking.account.Evaluate(e.needOf(asking))
	return verdict != quota.Within
}

// ready says whether all tasks of a claim fit where it holds room.
func (e *Engine) ready(checked *claim) bool {
	size := checked.asker.job.spec.Size
	needs := make(map[*worker]cairnbay.Resources, len(checked.workers))
	for _, on := range checked.workers {
		needs[on] = needs[on].Add(size)
		if !needs[on].Fits(on.free()) {
			return false
		}
	}
	return true
}

func (p *pass) startClaimed(started *claim) {
	p.engine.dropClaim(started, p.now)
	for _, on := range started.workers {
		p.start(started.asker.job, on, reasonClaimed, false)
	}
	p.engine.settle(started.asker.job, p.now)
}

// holdOfClaims tells which claims a job waits for.
func (e *Engine) holdOfClaims(asked *job, now time.Duration) hold {
	var workers []string
	var oldest time.Duration
	for _, known := range e.claims {
		if known.asker.job != asked {
			continue
		}
		oldest = max(oldest, now-known.since)
		for _, on := range known.workers {
			workers = append(workers, on.state.ID)
		}
	}
	slices.SortFunc(workers, cmp.Compare[string])
	return hold{constraint: constraintPreemption, detail: fmt.Sprintf(
		"other tasks make room for it on %v, for %s so far", slices.Compact(workers), oldest.Round(time.Millisecond))}
}
