package sched

import (
	"maps"
	"slices"
	"time"

	"cairnbay"
)

func anyWorker(*worker) bool { return true }

// place reserves workers for the waiting tasks of a stage: for as many as fit,
// or for a whole gang or none of it.
func (c *Core) place(now Moment, stage *stage, reservations gangReservations, allowed func(*worker) bool) []*attempt {
	size := demand(stage.spec)
	stage.speedWeight = c.speedWeight(now, stage)
	stage.blockedByGang = false
	defer stage.noteReservedOut(now)
	candidates := c.candidates(now, stage, reservations, func(w *worker) bool { return size.Fits(w.free()) && allowed(w) })
	room := c.quotaRoom(now, stage)
	if len(candidates) == 0 || room < stage.startUnit() {
		return nil
	}
	if stage.spec.Gang {
		placed := c.placeGang(now, stage, candidates)
		if len(placed) > 0 {
			reservations.release(stage)
		}
		return placed
	}
	var placed []*attempt
	stage.waitingForFaster = 0
	var faster fasterEnds
	for i := range stage.tasks {
		task := &stage.tasks[i]
		if task.done || task.attempt != nil || task.notBefore > now.BootTime || stage.replacesOnly && !stage.mayHaveRun(task) {
			continue
		}
		if len(placed) >= room {
			break
		}
		if c.needsTrial(stage, task) {
			if target := c.chooseTrialWorker(now, stage, task, candidates); target != nil {
				placed = append(placed, c.reserve(now, stage, task, target, max(task.lastAttempt, c.config.AttemptBase)+1))
			}
			continue
		}
		target := c.chooseWorker(now, stage, task, candidates)
		if target == nil {
			break
		}
		if c.endsSooner(now, stage, target, &faster, reservations, allowed) {
			stage.waitingForFaster++
			continue
		}
		placed = append(placed, c.reserve(now, stage, task, target, max(task.lastAttempt, c.config.AttemptBase)+1))
	}
	return placed
}

// candidates lists the workers that may take a task of the stage now and that
// allowed accepts, whatever their free capacity. allowed comes first among the
// checks that differ by stage: on a class full of work it rules out most workers.
func (c *Core) candidates(now Moment, stage *stage, reservations gangReservations, allowed func(*worker) bool) []*worker {
	var candidates []*worker
	avoid := c.avoidsDisturbed(now, stage)
	for _, worker := range c.sortedWorkers {
		if !c.acceptsTasks(now, worker) || !allowed(worker) || !worker.canRun(stage.spec) {
			continue
		}
		if avoid && worker.disturbed(now) {
			continue
		}
		if !c.mayUseReserved(now, stage, worker, reservations) {
			continue
		}
		if worker.reservedFor != nil && worker.reservedFor != stage && worker.reservedUntil > now.BootTime &&
			!worker.reservedFor.job.ended && stage.job.workflow.Queue.Priority >= worker.reservedFor.job.workflow.Queue.Priority &&
			!c.fitsBesideReservation(now, stage, worker) {
			continue
		}
		candidates = append(candidates, worker)
	}
	return candidates
}

// placeGang places every task of a gang, on one rack where the step asks for it
// and one has the capacity.
func (c *Core) placeGang(now Moment, stage *stage, candidates []*worker) []*attempt {
	if stage.gangAborting || stage.waiting < len(stage.tasks) {
		return nil
	}
	for i := range stage.tasks {
		if stage.tasks[i].notBefore > now.BootTime {
			return nil
		}
	}
	if c.needsTrial(stage, &stage.tasks[0]) {
		candidates = c.trialGroup(stage, candidates)
	}
	groups := c.speedGroups(stage, candidates)
	if stage.spec.SameRack {
		groups = append(byRack(candidates), candidates)
	}
	number := max(c.config.AttemptBase, stage.latestAttempt(&stage.tasks[0])) + 1
	for _, group := range groups {
		if placed := c.placeGangOn(now, stage, group, number); placed != nil {
			return placed
		}
	}
	return nil
}

func byRack(workers []*worker) [][]*worker {
	racks := make(map[string][]*worker)
	for _, worker := range workers {
		racks[worker.entry.Rack] = append(racks[worker.entry.Rack], worker)
	}
	groups := make([][]*worker, 0, len(racks)+1)
	for _, rack := range slices.Sorted(maps.Keys(racks)) {
		groups = append(groups, racks[rack])
	}
	return groups
}

func (c *Core) placeGangOn(now Moment, stage *stage, group []*worker, number int) []*attempt {
	var placed []*attempt
	for i := range stage.tasks {
		target := c.chooseWorker(now, stage, &stage.tasks[i], group)
		if target == nil {
			for _, attempt := range placed {
				c.detach(attempt)
			}
			return nil
		}
		placed = append(placed, c.reserve(now, stage, &stage.tasks[i], target, number))
	}
	return placed
}

func (c *Core) reserve(now Moment, stage *stage, task *task, target *worker, number int) *attempt {
	reserved := &attempt{
		stage: stage, task: task, ref: stage.ref(task.index), number: number,
		worker: target, size: demand(stage.spec), phase: phaseReserved, phaseSince: now.BootTime,
	}
	task.lastAttempt = number
	task.attempt = reserved
	stage.waiting--
	if target.reservedFor == stage {
		target.reservedFor = nil
	}
	target.attach(reserved)
	if c.needsTrial(stage, task) {
		c.beginTrial(reserved)
	}
	c.updateReadyStages(stage.job)
	return reserved
}

// Weights of the placement cost. The unit is a worker's whole capacity of one
// resource.
const (
	// crossRackCost is multiplied by the slowdown on another rack, and
	// outweighs most differences in fit.
	crossRackCost = 2.0
	// failedWorkerCost is added on the worker on which the task last failed or
	// stalled.
	failedWorkerCost = 6.0
	// unansweredCost is added on a worker that has not answered a start of late.
	unansweredCost = failedWorkerCost
	// failureCost is added for each failure or stall on the worker since its
	// last success.
	failureCost = 1.0
	// otherJobCost is added for each other job on the worker, for the tasks of a queue of
	// which some may crash their workers. A job is late whether one task or all are lost.
	otherJobCost = 1.0
)

// chooseWorker returns the worker with the lowest placement cost, nil if the
// task fits on none.
func (c *Core) chooseWorker(now Moment, stage *stage, task *task, candidates []*worker) *worker {
	var best, usual *worker
	lowest, usualLowest := 0.0, 0.0
	size := demand(stage.spec)
	_, risky := c.queueRisks[stage.job.workflow.Queue.Name]
	for _, worker := range candidates {
		if !size.Fits(c.freeFor(stage, worker)) || worker.trials > 0 && !stage.spec.Gang {
			continue
		}
		if _, taken := worker.attempts[stage.ref(task.index)]; taken {
			continue
		}
		// Tasks that were placed before may have used what a gang leaves free.
		if !c.mayUseReserved(now, stage, worker, c.reservations) {
			continue
		}
		if limit := stage.spec.MaxPerWorker; limit > 0 && stage.attemptsPerWorker[worker.entry.ID] >= limit {
			continue
		}
		if stage.spec.BestEffort && !worker.mayShare(now, stage) {
			continue
		}
		cost := c.placementCost(stage.spec, task, worker, size) + worker.sharingPenalty(now, stage.spec)
		if risky {
			cost += otherJobCost * float64(worker.otherJobs(stage.job))
		}
		if usual == nil || cost < usualLowest || cost == usualLowest && worker.entry.ID < usual.entry.ID {
			usual, usualLowest = worker, cost
		}
		cost += c.placementSpeedCost(stage, worker)
		if best == nil || cost < lowest || cost == lowest && worker.entry.ID < best.entry.ID {
			best, lowest = worker, cost
		}
	}
	task.usualWorker = ""
	if best != usual {
		task.usualWorker = usual.entry.ID
	}
	return best
}

// placementCost prefers the worker with the least capacity left over, since
// large tasks need empty workers. Best-effort tasks prefer the most idle
// processors.
func (c *Core) placementCost(spec *cairnbay.WorkflowStep, task *task, w *worker, size cairnbay.Resources) float64 {
	unused := w.free().Sub(size).Values()
	capacity := w.entry.Capacity.Values()
	cost := 0.0
	for i := range unused {
		if capacity[i] > 0 {
			cost += float64(unused[i]) / float64(capacity[i])
		}
	}
	if spec.BestEffort {
		cost = -float64(unused[0]) / float64(max(capacity[0], 1)) / float64(1+w.bestEffort)
	}
	if spec.TailTarget > 0 && w.serving == 0 {
		cost++
	}
	if spec.Rack != "" && w.entry.Rack != spec.Rack {
		cost += crossRackCost * (c.config.CrossRackFactor - 1)
	}
	if w.disturbedUntil > c.plannedAt || c.uses.Place && w.speed != nil && w.speed.Disturbed() {
		cost += disturbedCost
	}
	if task.failedOn == w.entry.ID {
		cost += failedWorkerCost
	}
	if w.health.unansweredUntil > c.plannedAt {
		cost += unansweredCost
	}
	return cost + failureCost*float64(w.health.recent(c.plannedAt))
}

// remainingTime estimates how much longer an attempt runs.
func (c *Core) remainingTime(now Moment, a *attempt) time.Duration {
	if a.stage == nil || a.stage.spec.LongRunning {
		return indefinite
	}
	return a.remaining(now, c.attemptRunTime(a))
}

// remaining estimates how much longer an attempt runs, by its progress or by the run time
// that was expected.
func (a *attempt) remaining(now Moment, expected time.Duration) time.Duration {
	if a.phase != phaseRunning {
		return expected
	}
	elapsed := now.BootTime - a.startedAt
	if a.percent >= minPredictivePercent && a.percentAt > a.startedAt {
		expected = time.Duration(float64(a.percentAt-a.startedAt) * 100 / float64(a.percent))
	}
	return max(expected-elapsed, 0)
}

const (
	// indefinite is the estimate for a task whose end cannot be predicted.
	// Estimates of this length or more are treated alike.
	indefinite = time.Hour
	// minPredictivePercent is the progress from which the end is extrapolated.
	minPredictivePercent = 15
)
