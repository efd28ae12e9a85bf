package place

import (
	"cmp"
	"slices"
	"time"

	"cairnbay"
)

// throttleCostFactor is the cost of a throttle as a fraction of that of a stop:
// the task keeps its work and is only delayed.
const throttleCostFactor = 0.1

// victim is a task that may be preempted.
type victim struct {
	run  *run
	kind cairnbay.DecisionKind
	cost float64
}

// preemptPlan lists the tasks whose preemption lets a task fit on a worker.
type preemptPlan struct {
	worker  *worker
	victims []victim
	cost    float64
}

// claimRequest is a request to free capacity for a job.
type claimRequest struct {
	job *job
	// reclaimsBorrowed is set to preempt borrowed tasks instead of patient ones.
	reclaimsBorrowed bool
	now              time.Duration
}

// allowsVictim reports whether a task may be preempted for the request.
func (r claimRequest) allowsVictim(candidate *run) bool {
	if !candidate.reclaimable() || candidate.job == r.job {
		return false
	}
	if !r.reclaimsBorrowed {
		return candidate.job.spec.Band >= cairnbay.BandBatch
	}
	return candidate.borrowed && candidate.job.spec.Band >= r.job.spec.Band &&
		candidate.job.account.OverQuota(candidate.size)
}

// victimCost returns the cost of preempting a task; borrowed tasks are rated as
// best effort.
func (r claimRequest) victimCost(candidate *run) (cost float64, ok bool) {
	view := cairnbay.VictimView{
		Job: candidate.job.spec, Task: candidate.task(),
		RanFor: r.now - candidate.placedAt, Charged: candidate.size,
	}
	if r.reclaimsBorrowed {
		view.Job.Band = cairnbay.BandBestEffort
	}
	return candidate.job.policy.VictimCost(view)
}

// planPreemption returns the cheapest plan to fit one task of the request on a
// worker; ok is false if there is none.
func (e *Engine) planPreemption(req claimRequest, host *worker) (planned preemptPlan, ok bool) {
	missing := req.job.spec.Size.Sub(host.claimable())
	if missing.Fits(cairnbay.Resources{}) { // nothing is missing
		return preemptPlan{worker: host}, true
	}
	candidates := victimsOn(req, host)
	if missing.MemoryMB <= 0 && missing.Accelerators <= 0 {
		if chosen, enough := selectVictims(missing, asThrottles(candidates)); enough {
			return newPreemptPlan(host, chosen), true
		}
	}
	chosen, enough := selectVictims(missing, candidates)
	return newPreemptPlan(host, chosen), enough
}

func newPreemptPlan(host *worker, chosen []victim) preemptPlan {
	plan := preemptPlan{worker: host, victims: chosen}
	for _, victim := range chosen {
		plan.cost += victim.cost
	}
	return plan
}

// victimsOn returns the tasks on a worker that may be preempted, the cheapest
// first.
func victimsOn(req claimRequest, host *worker) []victim {
	var candidates []victim
	for _, candidate := range host.runs {
		if !req.allowsVictim(candidate) {
			continue
		}
		if cost, ok := req.victimCost(candidate); ok {
			candidates = append(candidates, victim{run: candidate, kind: stopKind(candidate), cost: cost})
		}
	}
	slices.SortFunc(candidates, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), compareTasks(a.run.task(), b.run.task()))
	})
	return candidates
}

func stopKind(stopped *run) cairnbay.DecisionKind {
	if stopped.job.spec.Checkpoints {
		return cairnbay.DecideCheckpoint
	}
	return cairnbay.DecideStop
}

// asThrottles returns throttles for the candidates that are not throttled yet.
func asThrottles(candidates []victim) []victim {
	var throttled []victim
	for _, candidate := range candidates {
		if candidate.run.isThrottled {
			continue
		}
		candidate.kind = cairnbay.DecideThrottle
		candidate.cost *= throttleCostFactor
		throttled = append(throttled, candidate)
	}
	return throttled
}

// selectVictims takes the cheapest victims until they free what is missing, and
// then drops those that turn out not to be needed, the most expensive first.
func selectVictims(missing cairnbay.Resources, candidates []victim) (chosen []victim, enough bool) {
	for _, candidate := range candidates {
		if missing.Fits(cairnbay.Resources{}) { // nothing is missing any more
			break
		}
		chosen = append(chosen, candidate)
		missing = missing.Sub(candidate.freedCapacity())
	}
	if !missing.Fits(cairnbay.Resources{}) {
		return nil, false
	}
	for i := len(chosen) - 1; i >= 0; i-- {
		if missingWithout := missing.Add(chosen[i].freedCapacity()); missingWithout.Fits(cairnbay.Resources{}) {
			missing = missingWithout
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	return chosen, true
}

// freedCapacity returns the capacity that preempting the victim frees.
func (v victim) freedCapacity() cairnbay.Resources {
	if v.kind == cairnbay.DecideThrottle {
		return cairnbay.Resources{MilliCPU: v.run.size.MilliCPU}
	}
	return v.run.size
}

// reclaimable reports whether a task may be preempted at all: its start is
// confirmed, it may run again, is patient or borrowed, and is not being stopped.
func (r *run) reclaimable() bool {
	if !r.confirmed || r.inPlan || r.requestedStop != 0 || r.job.spec.AtMostOnce {
		return false
	}
	if r.job.spec.Kind == cairnbay.KindGang && r.job.counts.of(cairnbay.TaskStarting) > 0 {
		return false
	}
	return r.borrowed || r.job.spec.Band >= cairnbay.BandBatch
}

// updateReclaimable updates the run's part of its worker's reclaimable capacity.
func updateReclaimable(changed *run) {
	var counted cairnbay.Resources
	if changed.reclaimable() {
		counted = changed.size
	}
	changed.worker.reclaimable = changed.worker.reclaimable.Add(counted).Sub(changed.countedReclaimable)
	changed.countedReclaimable = counted
}

// claimable returns the capacity that a new claim may use: what is free now or
// being released, less what other claims set aside.
func (w *worker) claimable() cairnbay.Resources {
	return w.free().Add(w.releasing).Sub(w.claimed)
}
