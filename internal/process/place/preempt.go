package place

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"cairnbay"
)

// checkpointGrace is how long a checkpoint may take before the task is stopped.
const checkpointGrace = 10 * time.Second

// preempt carries out a plan: it adds throttles to the decisions and queues stops.
func (p *pass) preempt(plan preemptPlan, req claimRequest) {
	reason := fmt.Sprintf("frees capacity for job %q", req.job.spec.ID)
	for _, victim := range plan.victims {
		switch {
		case victim.kind == cairnbay.DecideThrottle:
			p.engine.throttle(victim.run, p.now)
			p.decisions = append(p.decisions, victim.run.decision(victim.kind, reason))
		case victim.run.job.spec.Kind == cairnbay.KindGang:
			p.engine.stopGang(victim.run.job, victim.kind, reason, p.now)
		default:
			p.engine.stop(victim.run, victim.kind, reason, p.now)
		}
	}
	p.flush()
}

// pendingDecision is a decision about a run that Decide has not returned yet.
type pendingDecision struct {
	run    *run
	kind   cairnbay.DecisionKind
	reason string
}

// flush moves pending decisions to the decisions of this Decide, up to its limit. It
// discards those about runs that have ended and throttles that were lifted.
func (p *pass) flush() {
	for len(p.engine.pendingDecisions) > 0 && !p.full() {
		next := p.engine.pendingDecisions[0]
		p.engine.pendingDecisions = p.engine.pendingDecisions[1:]
		if next.run.job.runs[next.run.index] != next.run {
			continue
		}
		if next.kind == cairnbay.DecideThrottle && !next.run.isThrottled {
			continue
		}
		p.decisions = append(p.decisions, next.run.decision(next.kind, next.reason))
	}
}

// decision returns a decision about a run on its worker.
func (r *run) decision(kind cairnbay.DecisionKind, reason string) cairnbay.Decision {
	return cairnbay.Decision{
		Kind: kind, Task: r.task(), Attempt: r.attempt, Worker: r.worker.state.ID, Reason: reason,
	}
}

// stop requests the end of a run; its capacity stays charged until it ends.
func (e *Engine) stop(stopped *run, kind cairnbay.DecisionKind, reason string, now time.Duration) {
	if stopped.requestedStop == 0 {
		stopped.worker.releasing = stopped.worker.releasing.Add(stopped.size)
	}
	stopped.requestedStop, stopped.stopRequestedAt = kind, now
	updateReclaimable(stopped)
	e.stopping[stopped] = struct{}{}
	e.pendingDecisions = append(e.pendingDecisions, pendingDecision{run: stopped, kind: kind, reason: reason})
	e.reindex(stopped.worker, now)
}

// stopLateCheckpoints stops the tasks whose checkpoint takes too long.
func (e *Engine) stopLateCheckpoints(now time.Duration) {
	var late []*run
	for stopping := range e.stopping {
		if stopping.requestedStop == cairnbay.DecideCheckpoint && now-stopping.stopRequestedAt > checkpointGrace {
			late = append(late, stopping)
		}
	}
	sortRuns(late)
	for _, run := range late {
		e.stop(run, cairnbay.DecideStop, "its checkpoint takes too long", now)
	}
}

func sortRuns(runs []*run) {
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.placedAt, b.placedAt), compareTasks(a.task(), b.task()))
	})
}

// throttle releases the processors of a run.
func (e *Engine) throttle(target *run, now time.Duration) {
	target.isThrottled = true
	target.worker.throttledCount++
	e.throttledRuns[target] = struct{}{}
	size := target.size
	size.MilliCPU = 0
	e.resize(target, size, now)
}

// resize changes the capacity that a run takes.
func (e *Engine) resize(resized *run, size cairnbay.Resources, now time.Duration) {
	change := size.Sub(resized.size)
	resized.size = size
	updateReclaimable(resized)
	e.chargeOwners(resized, change)
	e.charge(resized.worker, change, now)
}

// unthrottle restores the processors of throttled runs where they are free.
func (p *pass) unthrottle() {
	for len(p.engine.unthrottleQueue) > 0 && !p.full() {
		host := p.engine.unthrottleQueue[0]
		p.engine.unthrottleQueue = p.engine.unthrottleQueue[1:]
		host.unthrottleQueued = false
		p.unthrottleOn(host)
	}
}

func (p *pass) unthrottleOn(host *worker) {
	var throttled []*run
	for _, run := range host.runs {
		if run.isThrottled && run.requestedStop == 0 {
			throttled = append(throttled, run)
		}
	}
	sortRuns(throttled)
	for _, run := range throttled {
		full := run.job.spec.Size
		if full.MilliCPU > host.available().MilliCPU {
			continue
		}
		run.isThrottled = false
		host.throttledCount--
		delete(p.engine.throttledRuns, run)
		p.engine.resize(run, full, p.now)
		p.decisions = append(p.decisions, run.decision(cairnbay.DecideUnthrottle, "processors are free again"))
	}
}

// stopGang stops all tasks of a gang, so that it starts again or ends as a whole.
// A task that is not confirmed yet is stopped on its confirmation. An at-most-once
// gang is not stopped: its tasks run to their own end.
func (e *Engine) stopGang(target *job, kind cairnbay.DecisionKind, reason string, now time.Duration) {
	if target.spec.AtMostOnce || len(target.runs) == 0 {
		return
	}
	target.stoppingGang = true
	siblings := slices.Collect(maps.Values(target.runs))
	sortRuns(siblings)
	for _, run := range siblings {
		if run.confirmed && run.requestedStop == 0 {
			e.stop(run, kind, reason, now)
		}
	}
}
