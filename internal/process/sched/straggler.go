package sched

import (
	"cmp"
	"slices"
	"time"

	"cairnbay"
)

const (
	// minRelocationGain is how much sooner a task must end elsewhere. It covers the
	// spread of stop times and of the time to a start.
	minRelocationGain = 300 * time.Millisecond
	// minGainShare is the same as a share of the expected run time, since the estimate
	// for a longer run is off by more.
	minGainShare = 0.15
	// resumeTime is the usual time to resume from a checkpoint.
	resumeTime = 350 * time.Millisecond
	// disturbanceTime is how long a worker is usually slow, and minDisturbanceLeft what
	// is left of it at least as long as it is slow.
	disturbanceTime    = 6 * time.Second
	minDisturbanceLeft = time.Second
	// silenceBeforeCopy is how long a worker must be silent before speculative tasks
	// that run there are copied; a single lost answer is made good sooner.
	silenceBeforeCopy = 500 * time.Millisecond
	// assessInterval is the least time between two considerations of the slow runs: plans
	// may follow each other within a millisecond.
	assessInterval = 50 * time.Millisecond
	// maxTargetSearches bounds the searches for an idle worker in one plan, each of which
	// looks at all workers.
	maxTargetSearches = 16
	// avoidanceTime is how long after the acceptance of its job urgent work rather waits
	// than starts on a disturbed worker, where it would take several times as long.
	avoidanceTime = 1500 * time.Millisecond
	// maxAvoidedShare is the share of disturbed workers up to which urgent work waits.
	// Beyond it the others have no capacity for what it would wait for.
	maxAvoidedShare = 0.25
	// maxSilentShare is the share of silent workers up to which their speculative tasks are
	// copied. If more are silent, the owner is more likely cut off itself, and the runs go on.
	maxSilentShare = 0.25
	// urgentPriority is the priority of queues whose tasks are moved without a
	// checkpoint even if their job is not late yet.
	urgentPriority = 0
)

// Relocation is a run that was moved or copied because it was slow, for logs.
type Relocation struct {
	Task    cairnbay.WorkflowTask
	Attempt int
	Worker  string
	// Copy is set if the run goes on beside a second one.
	Copy bool
	// Target is the worker of the copy, or one that can take the moved task.
	Target  string
	Percent int
	// Remaining is the predicted time to the end of the run, Gain how much sooner the
	// task is expected to end.
	Remaining, Gain time.Duration
	// Slowdown is the expected rate of progress divided by the recent one, 0 for a silent
	// worker.
	Slowdown float64
}

// TakeRelocations returns the moves and copies since the last call.
func (c *Core) TakeRelocations() []Relocation {
	taken := c.relocations
	c.relocations = nil
	return taken
}

// straggler is a run that is expected to end sooner on another worker.
type straggler struct {
	attempt         *attempt
	copies          bool
	remaining, gain time.Duration
	// discarded is the run time that the move or copy discards.
	discarded time.Duration
}

// planStragglers moves or copies the slow runs that are expected to end sooner on an
// idle worker: it stops them, so that they start again elsewhere, or starts a second
// attempt of a task of a speculative step.
func (c *Core) planStragglers(now Moment) (actions []Action) {
	if !c.uses.Straggler {
		return nil
	}
	if c.ticked {
		c.discards.count(now, c.sortedWorkers)
		c.surveyWorkers(now)
	}
	if len(c.slow) == 0 || now.BootTime-c.assessedAt < assessInterval {
		return nil
	}
	c.assessedAt = now.BootTime
	searches := 0
	fruitless := make(map[*stage]bool)
	for _, s := range c.findStragglers(now) {
		stage := s.attempt.stage
		if fruitless[stage] || s.copies && c.quotaRoom(now, stage) < 1 {
			continue
		}
		if searches++; searches > maxTargetSearches {
			break
		}
		target, calls := c.findTarget(now, s)
		actions = append(actions, calls...)
		if target == nil {
			fruitless[stage] = true
			continue
		}
		amount := s.attempt.size.DominantShare(s.attempt.worker.entry.Capacity) * s.discarded.Seconds()
		share := discardShare
		if stage.job.workflow.Queue.Priority > urgentPriority {
			share = patientDiscardShare
		}
		if c.discards.allow(now, amount, share) {
			actions = append(actions, c.relocate(now, s, target)...)
		}
	}
	return actions
}

// surveyWorkers counts the disturbed and the silent workers, and considers the
// speculative runs on silent ones.
func (c *Core) surveyWorkers(now Moment) {
	c.disturbedWorkers, c.silentWorkers = 0, 0
	for _, w := range c.sortedWorkers {
		if w.disturbed(now) {
			c.disturbedWorkers++
		}
		if !w.unreachable {
			continue
		}
		c.silentWorkers++
		for _, a := range w.attempts {
			if a.silent(now) && a.stage != nil && a.stage.spec.Speculative {
				c.slow[a] = struct{}{}
			}
		}
	}
}

// findStragglers returns the slow runs for which a move or a copy is expected to gain
// enough, urgent ones and those that gain most first.
func (c *Core) findStragglers(now Moment) []straggler {
	var found []straggler
	for a := range c.slow {
		if s, ok := c.assess(now, a); ok {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, func(a, b straggler) int {
		return cmp.Or(
			cmp.Compare(a.attempt.stage.job.workflow.Queue.Priority, b.attempt.stage.job.workflow.Queue.Priority),
			-cmp.Compare(a.gain, b.gain),
			cmp.Compare(a.attempt.ref.Job, b.attempt.ref.Job),
			cmp.Compare(a.attempt.ref.Occurrence, b.attempt.ref.Occurrence),
			cmp.Compare(a.attempt.ref.Step, b.attempt.ref.Step),
			cmp.Compare(a.attempt.ref.Index, b.attempt.ref.Index),
			cmp.Compare(a.attempt.number, b.attempt.number),
		)
	})
	return found
}

// relocatable reports whether the task of a slow run may be moved or copied at all.
func (c *Core) relocatable(now Moment, a *attempt) bool {
	if a.stage == nil || a.task == nil || a.task.attempt != a || a.task.copy != nil || a.task.done ||
		a.task.relocated || a.stage.job.ended || a.trialWeight > 0 || a.task.notBefore > now.BootTime ||
		c.blockInherited && a.stage.job.inherited {
		return false
	}
	return !c.needsTrial(a.stage, a.task) && !a.stage.history(a.task).suspected()
}

// silent reports whether the worker of an attempt has been silent for so long that a
// speculative task is copied, whether the attempt runs or is to be stopped.
func (a *attempt) silent(now Moment) bool {
	return a.worker.unreachable && now.BootTime-a.worker.unreachableSince >= silenceBeforeCopy && a.phase != phaseReserved
}

// assess predicts the end of a slow run where it is and elsewhere.
func (c *Core) assess(now Moment, a *attempt) (straggler, bool) {
	if !c.relocatable(now, a) {
		return straggler{}, false
	}
	copies := c.mayCopy(a.stage, a.task)
	p, w := &a.progress, a.worker
	switch {
	case w.unreachable && !a.proven():
		// It may have crashed the worker, and would crash another one.
		return straggler{}, false
	case copies && a.silent(now) && float64(c.silentWorkers) <= maxSilentShare*float64(len(c.workers)):
	case w.unreachable:
		// The run cannot be stopped for certain.
		return straggler{}, false
	case !judgesProgress(a) || a.stopCause != "" || !p.fresh(now) || !c.stillSlow(now, a):
		return straggler{}, false
	case !p.unchanged && !p.dropped() && now.BootTime-w.steadyAt <= progressWindow:
		// Others progress as expected on the same worker, so the task is a long one.
		return straggler{}, false
	}
	expected, _ := c.siblingRunTime(now, a.stage)
	remaining := c.predictedRemaining(now, a, expected)
	queue := &a.stage.job.workflow.Queue
	// The deadline is that of the first occurrence.
	late := a.stage.job.workflow.Occurrences == 0 && now.BootTime+remaining > a.stage.job.deadline
	resumes := a.task.checkpoint != ""
	if !late && queue.Priority > urgentPriority && (copies || !resumes) {
		return straggler{}, false
	}
	elsewhere, discarded := expected, a.ranAtLeast()
	if resumes {
		saved := float64(a.task.checkpointPercent) / 100
		elsewhere = time.Duration((1-saved)*float64(expected)) + resumeTime
		discarded = time.Duration(max(float64(p.percent())/100-saved, 0) * float64(expected) * max(p.slowdown, 1))
	}
	cost := elsewhere
	if copies {
		// One of both attempts is stopped, usually the first.
		discarded += elsewhere
	} else {
		cost += c.config.StopTime
		discarded += c.config.StopTime
	}
	if queue.Advice != nil && !a.stage.advice.anyValid(now.BootTime+c.config.StopTime) {
		cost += queue.Advice.Decide
	}
	gain := remaining - cost
	if gain < max(minRelocationGain, time.Duration(minGainShare*float64(expected))) {
		return straggler{}, false
	}
	return straggler{a, copies, remaining, gain, discarded}, true
}

// stillSlow judges a run again: reports of its siblings may have come after its own.
func (c *Core) stillSlow(now Moment, a *attempt) bool {
	c.judgeRate(now, a)
	if a.progress.slow && now.BootTime-a.worker.steadyAt > progressWindow {
		a.worker.markDisturbed(now)
	}
	return a.progress.slow
}

// predictedRemaining predicts how much longer a slow run takes: it goes on at its recent
// rate until the worker recovers, and then at the usual one.
func (c *Core) predictedRemaining(now Moment, a *attempt, expected time.Duration) time.Duration {
	w, p := a.worker, &a.progress
	since, rate := w.disturbedSince, p.rate
	if w.unreachable {
		since, rate = w.unreachableSince, 0
	} else if !w.disturbed(now) {
		since = now.BootTime
	}
	left := max(disturbanceTime-(now.BootTime-since), minDisturbanceLeft).Seconds()
	work := float64(100 - p.percent())
	if rate*left >= work {
		return seconds(work / rate)
	}
	usualRate := 100 / (expected.Seconds() * w.slowness())
	return seconds(left + (work-rate*left)/usualRate)
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

// anyValid reports whether any ticket lasts until a time.
func (a *advice) anyValid(until time.Duration) bool {
	if a == nil {
		return false
	}
	for worker := range a.tickets {
		if a.valid(worker, until) {
			return true
		}
	}
	return false
}

// findTarget returns an idle worker for a straggler, or a call for the tickets that it
// needs there.
func (c *Core) findTarget(now Moment, s straggler) (*worker, []Action) {
	stage, task := s.attempt.stage, s.attempt.task
	idle := func(allowed func(id string) bool) []*worker {
		return c.candidates(now, stage, c.reservations, func(w *worker) bool {
			return w != s.attempt.worker && !w.disturbed(now) && stage.spec.Size.Fits(w.free()) && allowed(w.entry.ID)
		})
	}
	if stage.job.workflow.Queue.Advice == nil {
		return c.chooseWorker(now, stage, task, idle(func(string) bool { return true })), nil
	}
	advice := stage.advice
	if advice == nil || advice.inFlight {
		return nil, nil
	}
	startsAt := now.BootTime
	if !s.copies {
		startsAt += c.config.StopTime
	}
	if target := c.chooseWorker(now, stage, task, idle(func(id string) bool { return advice.valid(id, startsAt) })); target != nil {
		return target, nil
	}
	if !c.mayCallPolicy(now, stage) || advice.requestedAt > 0 && now.BootTime-advice.requestedAt < adviceRetryPause {
		return nil, nil
	}
	workers := idle(func(id string) bool { return advice.usable(id, now.BootTime) })
	if len(workers) == 0 {
		workers = idle(func(id string) bool { return !advice.decided(id) })
	}
	if len(workers) == 0 {
		return nil, nil
	}
	c.sortByFit(stage, workers)
	ids := make([]string, 0, maxWorkersPerCall)
	for _, w := range workers[:min(len(workers), maxWorkersPerCall)] {
		ids = append(ids, w.entry.ID)
	}
	return nil, c.callPolicy(now, stage, ids)
}

// relocate moves or copies a straggler.
func (c *Core) relocate(now Moment, s straggler, target *worker) []Action {
	a := s.attempt
	if s.copies && c.startLimit <= 0 {
		return nil
	}
	a.task.relocated = true
	c.relocations = append(c.relocations, Relocation{
		Task: a.ref, Attempt: a.number, Worker: a.worker.entry.ID, Copy: s.copies, Target: target.entry.ID,
		Percent: a.progress.percent(), Remaining: s.remaining, Gain: s.gain, Slowdown: a.progress.slowdown,
	})
	if s.copies {
		return c.startPlaced(now, a.stage, []*attempt{c.reserveCopy(now, a.stage, a.task, target)})
	}
	a.task.failedOn = a.worker.entry.ID
	c.stop(a, CauseStraggling)
	return []Action{sendStop(now, a)}
}

// avoidsDisturbed reports whether the waiting tasks of a stage do not start on disturbed
// workers.
func (c *Core) avoidsDisturbed(now Moment, stage *stage) bool {
	return c.config.Learn.Straggler && stage.job.workflow.Queue.Priority <= urgentPriority && !stage.spec.LongRunning &&
		now.BootTime-stage.job.acceptedAt < avoidanceTime &&
		float64(c.disturbedWorkers) <= maxAvoidedShare*float64(len(c.workers))
}
