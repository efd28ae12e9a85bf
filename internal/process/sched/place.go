package sched

import (
	"maps"
	"slices"
	"time"

	"cairnbay"
)

func anyWorker(*worker) bool { return true }

// place reserves workers for waiting tasks of a stage: for as many as fit, or
// for all of a gang or none.
func (c *Core) place(now Moment, stage *stage, kept held, allowed func(*worker) bool) []*attempt {
	candidates := c.candidates(now, stage, kept, allowed)
	if len(candidates) == 0 {
		return nil
	}
	if stage.spec.Gang {
		return c.placeGang(now, stage, candidates)
	}
	var placed []*attempt
	for i := range stage.tasks {
		task := &stage.tasks[i]
		if task.done || task.attempt != nil || task.notBefore > now.BootTime {
			continue
		}
		target := c.choose(stage, task, candidates)
		if target == nil {
			break
		}
		placed = append(placed, c.reserve(now, stage, task, target, max(task.last, c.config.AttemptBase)+1))
	}
	return placed
}

// candidates lists the workers that may take a task of the stage now, apart
// from their free capacity.
func (c *Core) candidates(now Moment, stage *stage, kept held, allowed func(*worker) bool) []*worker {
	var candidates []*worker
	ends := now.BootTime + c.runTime(stage.job.workflow.Queue.Name, stage.spec)
	if stage.spec.LongRunning {
		ends = now.BootTime + farAhead
	}
	for _, worker := range c.ordered {
		if !worker.usable() || worker.quietUntil > now.BootTime || !worker.admits(stage.spec) {
			continue
		}
		if kept.closedTo(stage, worker.entry.ID, ends) {
			continue
		}
		if worker.heldFor != nil && worker.heldFor != stage && worker.heldUntil > now.BootTime &&
			!worker.heldFor.job.ended && stage.job.workflow.Queue.Priority >= worker.heldFor.job.workflow.Queue.Priority {
			continue
		}
		if allowed(worker) {
			candidates = append(candidates, worker)
		}
	}
	return candidates
}

// placeGang places every task of a gang, on one rack where that matters.
func (c *Core) placeGang(now Moment, stage *stage, candidates []*worker) []*attempt {
	if stage.gangBroken || stage.waiting < len(stage.tasks) {
		return nil
	}
	for i := range stage.tasks {
		if stage.tasks[i].notBefore > now.BootTime {
			return nil
		}
	}
	groups := [][]*worker{candidates}
	if stage.spec.SameRack {
		groups = append(byRack(candidates), candidates)
	}
	number := c.config.AttemptBase
	for i := range stage.tasks {
		number = max(number, stage.tasks[i].last)
	}
	number++
	for _, group := range groups {
		if placed := c.tryGang(now, stage, group, number); placed != nil {
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

func (c *Core) tryGang(now Moment, stage *stage, group []*worker, number int) []*attempt {
	var placed []*attempt
	for i := range stage.tasks {
		target := c.choose(stage, &stage.tasks[i], group)
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
		worker: target, size: need(stage.spec), phase: phaseReserved, since: now.BootTime,
	}
	task.last = number
	task.attempt = reserved
	stage.waiting--
	if target.heldFor == stage {
		target.heldFor = nil
	}
	target.attach(reserved)
	c.reindex(stage.job)
	return reserved
}

// Weights of a worker's cost for a task, in shares of a worker's capacity.
const (
	// rackCost, times what a task loses on another rack, outweighs most
	// differences in fit.
	rackCost = 2.0
	// failedCost keeps a task off the worker on which it failed.
	failedCost = 6.0
	// strikeCost keeps work off workers that failed lately.
	strikeCost = 1.0
)

// choose returns the worker on which the task costs least, nil if none has
// room.
func (c *Core) choose(stage *stage, task *task, candidates []*worker) *worker {
	var best *worker
	lowest := 0.0
	size := need(stage.spec)
	for _, worker := range candidates {
		if !size.Fits(worker.free()) {
			continue
		}
		if _, taken := worker.attempts[stage.ref(task.index)]; taken {
			continue
		}
		if limit := stage.spec.MaxPerWorker; limit > 0 && stage.perWorker[worker.entry.ID] >= limit {
			continue
		}
		if stage.spec.BestEffort && worker.serving > 0 || stage.spec.TailTarget > 0 && worker.bestEffort > 0 {
			continue
		}
		cost := c.placeCost(stage.spec, task, worker, size)
		if best == nil || cost < lowest || cost == lowest && worker.entry.ID < best.entry.ID {
			best, lowest = worker, cost
		}
	}
	return best
}

// placeCost prefers the worker that the task fills best, since large tasks
// need whole workers; best-effort tasks go where most processors idle.
func (c *Core) placeCost(spec *cairnbay.WorkflowStep, task *task, w *worker, size cairnbay.Resources) float64 {
	left := w.free().Sub(size).Values()
	whole := w.entry.Capacity.Values()
	cost := 0.0
	for i := range left {
		if whole[i] > 0 {
			cost += float64(left[i]) / float64(whole[i])
		}
	}
	if spec.BestEffort {
		cost = -float64(left[0]) / float64(max(whole[0], 1)) / float64(1+w.bestEffort)
	}
	if spec.TailTarget > 0 && w.serving == 0 {
		cost++
	}
	if spec.Rack != "" && w.entry.Rack != spec.Rack {
		cost += rackCost * (c.config.CrossRackFactor - 1)
	}
	if task.failedOn == w.entry.ID {
		cost += failedCost
	}
	return cost + strikeCost*float64(w.strikes)
}

// remaining estimates how long an attempt still runs.
func (c *Core) remaining(now Moment, a *attempt) time.Duration {
	if a.stage == nil || a.stage.spec.LongRunning {
		return farAhead
	}
	if a.phase != phaseRunning {
		return c.runTime(a.stage.job.workflow.Queue.Name, a.stage.spec)
	}
	elapsed := now.BootTime - a.startedAt
	if a.percent >= percentTrust && a.percentAt > a.startedAt {
		whole := time.Duration(float64(a.percentAt-a.startedAt) * 100 / float64(a.percent))
		return max(whole-elapsed, 0)
	}
	return max(c.runTime(a.stage.job.workflow.Queue.Name, a.stage.spec)-elapsed, 0)
}

const (
	// farAhead stands for an end that cannot be foreseen.
	farAhead = time.Hour
	// percentTrust is the progress from which it predicts the end.
	percentTrust = 15
)
