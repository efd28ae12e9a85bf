package place

import (
	"cmp"
	"slices"
	"time"

	"cairnbay"
)

// throttleCost is the part of a stop's cost that a throttle counts for: the
// task keeps its work and only runs on later.
const throttleCost = 0.1

// victim is a task that is held back to make room.
type victim struct {
	run  *run
	kind cairnbay.DecisionKind
	cost float64
}

// plan is how room is made for a task on one worker.
type plan struct {
	worker  *worker
	victims []victim
	cost    float64
}

// asker is the work that room is made for.
type asker struct {
	job *job
	// reclaims says that it takes back what others borrowed, instead of
	// holding back patient work.
	reclaims bool
	now      time.Duration
}

// mayTake says whether a task may be held back for the asker.
func (a asker) mayTake(taken *run) bool {
	if !taken.reclaimable() || taken.job == a.job {
		return false
	}
	if !a.reclaims {
		return taken.job.spec.Band >= cairnbay.BandBatch
	}
	return taken.borrowed && taken.job.spec.Band >= a.job.spec.Band &&
		taken.job.account.OverQuota(taken.size)
}

// costOf rates a task as a victim of the asker; what was borrowed is as patient
// as best effort.
func (a asker) costOf(rated *run) (cost float64, ok bool) {
	view := cairnbay.VictimView{
		Job: rated.job.spec, Task: rated.task(),
		RanFor: a.now - rated.placedAt, Charged: rated.size,
	}
	if a.reclaims {
		view.Job.Band = cairnbay.BandBestEffort
	}
	return rated.job.policy.VictimCost(view)
}

// planOn returns the cheapest way to make room for one task of the asker on a
// worker; ok is false when there is none.
func (e *Engine) planOn(asking asker, on *worker) (made plan, ok bool) {
	lacking := asking.job.spec.Size.Sub(on.promised())
	if lacking.Fits(cairnbay.Resources{}) {
		return plan{worker: on}, true
	}
	candidates := victimsOn(asking, on)
	if lacking.MemoryMB <= 0 && lacking.Accelerators <= 0 {
		if chosen, enough := takeVictims(lacking, throttles(candidates)); enough {
			return newPlan(on, chosen), true
		}
	}
	chosen, enough := takeVictims(lacking, candidates)
	return newPlan(on, chosen), enough
}

func newPlan(on *worker, chosen []victim) plan {
	made := plan{worker: on, victims: chosen}
	for _, victim := range chosen {
		made.cost += victim.cost
	}
	return made
}

// victimsOn lists the tasks that may be held back, the cheapest first.
func victimsOn(asking asker, on *worker) []victim {
	var candidates []victim
	for _, candidate := range on.runs {
		if !asking.mayTake(candidate) {
			continue
		}
		if cost, ok := asking.costOf(candidate); ok {
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

// throttles turns stops into throttles of the tasks that are not throttled yet.
func throttles(candidates []victim) []victim {
	var throttled []victim
	for _, candidate := range candidates {
		if candidate.run.throttled {
			continue
		}
		candidate.kind = cairnbay.DecideThrottle
		candidate.cost *= throttleCost
		throttled = append(throttled, candidate)
	}
	return throttled
}

// takeVictims takes the cheapest victims until they free what is lacking, and
// then spares those that turn out not to be needed, the dearest first.
func takeVictims(lacking cairnbay.Resources, candidates []victim) (chosen []victim, enough bool) {
	for _, candidate := range candidates {
		if lacking.Fits(cairnbay.Resources{}) {
			break
		}
		chosen = append(chosen, candidate)
		lacking = lacking.Sub(candidate.frees())
	}
	if !lacking.Fits(cairnbay.Resources{}) {
		return nil, false
	}
	for i := len(chosen) - 1; i >= 0; i-- {
		if without := lacking.Add(chosen[i].frees()); without.Fits(cairnbay.Resources{}) {
			lacking = without
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	return chosen, true
}

// frees is what holding the victim back makes free.
func (v victim) frees() cairnbay.Resources {
	if v.kind == cairnbay.DecideThrottle {
		return cairnbay.Resources{MilliCPU: v.run.size.MilliCPU}
	}
	return v.run.size
}

// reclaimable says whether a task may be held back for somebody: it runs for
// certain, may run again, is patient or borrowed, and is not on its way out.
func (r *run) reclaimable() bool {
	if !r.confirmed || r.planned || r.stopping != 0 || r.job.spec.AtMostOnce {
		return false
	}
	if r.job.spec.Kind == cairnbay.KindGang && r.job.counts.of(cairnbay.TaskStarting) > 0 {
		return false
	}
	return r.borrowed || r.job.spec.Band >= cairnbay.BandBatch
}

// recountRun brings the worker's sum of reclaimable capacity up to date.
func recountRun(changed *run) {
	var counted cairnbay.Resources
	if changed.reclaimable() {
		counted = changed.size
	}
	changed.worker.reclaimable = changed.worker.reclaimable.Add(counted).Sub(changed.reclaimed)
	changed.reclaimed = counted
}

// promised is what is free for claims: what is free now or about to be, less
// what other claims hold.
func (w *worker) promised() cairnbay.Resources {
	return w.free().Add(w.coming).Sub(w.held)
}
