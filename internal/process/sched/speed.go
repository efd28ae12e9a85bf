package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// speedCost is the placement cost of a factor of e in speed, for a stage with little
	// slack. The workers of the users' classes differ by a factor of 1.25 to 2.2, which
	// outweighs most differences in fit.
	speedCost = 4.0
	// disturbedCost is the placement cost of a disturbed worker; it exceeds that of the
	// worker on which the task failed last, and for a stage with little slack that of a
	// factor of five in speed, the usual disturbance.
	disturbedCost = 8.0
	// exploreCost is added for each other task of the step on a worker of which little is
	// known. A worker is best seen against other tasks of the same step on other workers,
	// and best fit would place all on one.
	exploreCost = 0.5
	// minFasterGain is how much sooner a task must end on a faster worker that is not free
	// yet to wait for it, since the end of what runs there is an estimate, and
	// maxFasterWait bounds the time for which the tasks of a stage wait so.
	minFasterGain = 100 * time.Millisecond
	maxFasterWait = 500 * time.Millisecond
	// speedStep is the difference in speed, in logarithms, below which two workers count
	// as equally fast: 10 %.
	speedStep = 0.0953
)

// speedWeight says how much a stage prefers fast workers: 1 if one of its tasks would
// make the job late on a slow worker, -1 if it has slack for slow workers and should leave
// the fast ones to others, 0 in between or where the workers hardly differ.
func (c *Core) speedWeight(now Moment, stage *stage) float64 {
	spread := c.learned.model.Spread()
	if !c.uses.Place || !spread.Wide || stage.spec.LongRunning || stage.spec.BestEffort || stage.job.workflow.Occurrences > 0 {
		return 0
	}
	expected := c.predictRunTime(stage, nil)
	terms := stage.job.workflow.Queue
	left, after := stage.job.deadline-now.BootTime, c.timeAfter(stage)
	objective := LatencyObjective(terms, stage.job.criticalPath)
	slackOnFast := left - scaled(expected.Median+after, spread.Fast)
	// The slack is that with the rest of the job on slow workers. Where all its run times
	// are longer than declared, so is its objective, but not its fixed part.
	longer := float64(expected.High) / float64(max(expected.Median, 1))
	slackOnSlow := min(
		left-scaled(expected.High+after, spread.Slow),
		left+scaled(stage.job.criticalPath, terms.Stretch*(longer-1))-scaled(expected.Median+after, longer*spread.Slow),
	)
	switch {
	case slackOnFast < -2*objective:
		// Its completion has no value by then.
		return -1
	case slackOnSlow < 0:
		return 1
	case slackOnSlow > time.Duration(patientShare*float64(objective)):
		return -1
	}
	return 0
}

func scaled(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}

// timeAfter is the estimated run time of the longest chain of steps after a stage.
func (c *Core) timeAfter(stage *stage) time.Duration {
	steps := stage.job.workflow.Steps
	if len(steps) == 1 {
		return 0
	}
	ends := make([]time.Duration, len(steps))
	follows := make([]bool, len(steps))
	longest := time.Duration(0)
	for i := stage.key.step + 1; i < len(steps); i++ {
		for _, earlier := range steps[i].After {
			if earlier == stage.key.step || follows[earlier] {
				follows[i] = true
				ends[i] = max(ends[i], ends[earlier])
			}
		}
		if follows[i] {
			ends[i] += c.expectedStepRunTime(c.uses.Order, &stage.job.workflow, i)
			longest = max(longest, ends[i])
		}
	}
	return longest
}

// slownessLog is the logarithm of slowness.
func (c *Core) slownessLog(w *worker) float64 {
	return math.Log(c.slowness(w))
}

// placementSpeedCost is the part of the placement cost that depends on the speed of the
// worker.
func (c *Core) placementSpeedCost(stage *stage, w *worker) float64 {
	if !c.uses.Place || w.speed == nil {
		return 0
	}
	cost := 0.0
	if stage.speedWeight != 0 && !w.speed.Disturbed() {
		cost = stage.speedWeight * speedCost * c.slownessLog(w)
	}
	if c.learned.model.Spread().Wide && !w.speed.Certain() {
		cost += exploreCost * float64(stage.attemptsPerWorker[w.entry.ID])
	}
	return cost
}

// fasterWorkers lists, for a stage with little slack, how soon tasks could end on allowed
// workers that are not free yet, soonest first.
func (c *Core) fasterWorkers(now Moment, stage *stage, reservations gangReservations, allowed func(*worker) bool) []time.Duration {
	if stage.fasterSince > 0 && now.BootTime-stage.fasterSince > maxFasterWait {
		return nil
	}
	busy := c.candidates(now, stage, reservations, func(w *worker) bool {
		return allowed(w) && w.speed != nil && !w.speed.Disturbed() && !demand(stage.spec).Fits(w.free())
	})
	var ends []time.Duration
	for _, worker := range busy {
		if limit := stage.spec.MaxPerWorker; limit > 0 && stage.attemptsPerWorker[worker.entry.ID] >= limit {
			continue
		}
		if wait := c.timeUntilFit(now, worker, stage.spec); wait <= maxFasterWait {
			ends = append(ends, wait+c.predictRunTime(stage, worker).Median)
		}
	}
	slices.Sort(ends)
	return ends
}

// fasterEnds holds the result of fasterWorkers while a stage is placed.
type fasterEnds struct {
	listed bool
	ends   []time.Duration
}

// endsSooner reports whether a task that was placed on target would end clearly sooner on
// the next of the faster workers that are not free yet. They are only listed for a target
// that is slow, since that takes as long as a plan of the stage.
func (c *Core) endsSooner(now Moment, stage *stage, target *worker, faster *fasterEnds, reservations gangReservations, allowed func(*worker) bool) bool {
	if stage.speedWeight <= 0 || c.slownessLog(target)-math.Log(c.learned.model.Spread().Fast) < speedStep {
		return false
	}
	if !faster.listed {
		faster.listed, faster.ends = true, c.fasterWorkers(now, stage, reservations, allowed)
	}
	if len(faster.ends) == 0 || faster.ends[0]+minFasterGain > c.predictRunTime(stage, target).Median {
		return false
	}
	faster.ends = faster.ends[1:]
	if stage.fasterSince == 0 {
		stage.fasterSince = now.BootTime
	}
	return true
}

// speedGroups returns the workers in groups of similar speed, the preferred one first,
// and then all: a gang takes as long as its slowest member, so that fast workers beside a
// slow one are wasted. It is all workers if the speed does not matter.
func (c *Core) speedGroups(stage *stage, workers []*worker) [][]*worker {
	if stage.speedWeight == 0 {
		return [][]*worker{workers}
	}
	sorted := slices.Clone(workers)
	slices.SortStableFunc(sorted, func(a, b *worker) int {
		return cmp.Compare(stage.speedWeight*c.slownessLog(a), stage.speedWeight*c.slownessLog(b))
	})
	var groups [][]*worker
	for start, i := 0, 1; i <= len(sorted); i++ {
		if i == len(sorted) || math.Abs(c.slownessLog(sorted[i])-c.slownessLog(sorted[i-1])) > speedStep {
			groups = append(groups, sorted[start:i:i])
			start = i
		}
	}
	return append(groups, workers)
}

// compareSpeed orders workers for a stage with little slack, the fastest first, and by
// nothing for other stages.
func (c *Core) compareSpeed(stage *stage, a, b *worker) int {
	if stage.speedWeight <= 0 {
		return 0
	}
	class := func(w *worker) float64 {
		if w.speed != nil && w.speed.Disturbed() {
			return math.Inf(1)
		}
		return math.Round(c.slownessLog(w) / speedStep)
	}
	return cmp.Or(
		-cmp.Compare(min(a.fitCount(stage.spec), 1), min(b.fitCount(stage.spec), 1)),
		cmp.Compare(class(a), class(b)),
	)
}
