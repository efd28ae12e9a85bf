package learn

import (
	"math"
	"time"
)

// Stage holds the runs of the tasks of one step, whose ratio of run time to declared
// time has a common part. It refers to its Model, but is kept by the caller.
type Stage struct {
	model    *Model
	kind     *kindRatio
	declared time.Duration
	runs     []*observation
	dirty    bool
	// ratio is the logarithm of the common part, variance that of its estimate.
	ratio, variance float64
	// counted says that the stage is part of its kind.
	counted, closed bool
}

// observation is what is known of one run.
type observation struct {
	stage  *Stage
	worker *Worker
	task   int
	// value is the logarithm of the ratio of the run time to the declared time. error is
	// the variance of its measurement.
	value, error float64
	at           time.Duration
	// final says that the run has completed.
	final bool
	// ignored runs were on a disturbed worker.
	ignored bool
	// residual is the slowness of the worker by this run and the others of the stage, and
	// residualVariance its variance.
	residual, residualVariance float64
	// evaluated is set with residual.
	evaluated bool
}

const (
	// maxRuns bounds the runs of a stage that are kept.
	maxRuns = 64
	// minPercent is the progress from which the run time is extrapolated.
	minPercent = 8
	// timingError is the usual error of a measured time: the start is known when it is
	// answered, and progress is as old as the answer that reports it.
	timingError = 30 * time.Millisecond
	// minChange is the change of a run's extrapolated time, in logarithms, below which it
	// is not evaluated again, and minGain the same for the variance of its error.
	minChange = 0.04
	minGain   = 0.5
	// censoredError is the variance of a run time of which only a lower bound is known.
	censoredError = 0.1
	// robustScore is the deviation from which a run counts less, in standard deviations.
	robustScore = 2.0
	// robustRounds is the number of rounds in which the weights are adjusted.
	robustRounds = 3
)

// NewStage returns a stage without runs.
func (m *Model) NewStage(key Kind, declared time.Duration) *Stage {
	kind := m.kind(key)
	return &Stage{model: m, kind: kind, declared: declared, ratio: kind.mean, variance: kind.uncertainty()}
}

// Known reports whether any run of the stage has been evaluated.
func (s *Stage) Known() bool {
	return len(s.runs) > 0 && s.runs[0].evaluated
}

// Progress reports the progress of a running task, percent of it after elapsed. A run
// that shows none after longer than expected is one of which a lower bound is known.
func (s *Stage) Progress(now time.Duration, worker *Worker, task int, elapsed time.Duration, percent int) {
	if s.declared <= 0 || elapsed <= 0 {
		return
	}
	known := s.find(worker, task)
	if percent < minPercent {
		value := math.Log(float64(elapsed) / float64(s.declared))
		expected := s.ratio + worker.slowness
		if value <= expected+math.Sqrt(s.variance+s.kind.noise+worker.variance) || known != nil && value <= known.value+minChange {
			return
		}
		s.set(known, observation{stage: s, worker: worker, task: task, value: value, error: censoredError, at: now})
		return
	}
	value := math.Log(float64(elapsed) * 100 / float64(percent) / float64(s.declared))
	measured := square(1/float64(percent)) + square(float64(timingError)/float64(elapsed))
	if known != nil && math.Abs(value-known.value) < minChange && measured > minGain*known.error {
		return
	}
	s.set(known, observation{stage: s, worker: worker, task: task, value: value, error: measured, at: now})
}

// Finished reports the run time of a task that ran as a whole on one worker.
func (s *Stage) Finished(now time.Duration, worker *Worker, task int, ran time.Duration) {
	if s.declared <= 0 || ran <= 0 {
		return
	}
	s.model.observations++
	s.set(s.find(worker, task), observation{
		stage: s, worker: worker, task: task, value: math.Log(float64(ran) / float64(s.declared)),
		error: square(float64(timingError) / float64(ran)), at: now, final: true,
	})
}

// Drop discards a run that has stopped or failed.
func (s *Stage) Drop(worker *Worker, task int) {
	for i, seen := range s.runs {
		if seen.worker == worker && seen.task == task && !seen.final {
			s.runs = append(s.runs[:i:i], s.runs[i+1:]...)
			worker.remove(seen)
			s.markDirty()
			s.model.touch(worker)
			return
		}
	}
}

// Close counts what is known of a stage of which no more runs are reported.
func (s *Stage) Close() {
	if s.closed {
		return
	}
	s.evaluate()
	s.count()
	s.closed = true
	for _, seen := range s.runs {
		if !seen.final {
			seen.worker.remove(seen)
		}
		s.model.touch(seen.worker)
	}
	s.runs = nil
}

func (s *Stage) find(worker *Worker, task int) *observation {
	for _, seen := range s.runs {
		if seen.worker == worker && seen.task == task {
			return seen
		}
	}
	return nil
}

// set adds a run or replaces what is known of it.
func (s *Stage) set(known *observation, seen observation) {
	if s.closed || known != nil && known.final {
		return
	}
	switch {
	case known != nil:
		seen.ignored = known.ignored
		*known = seen
	case len(s.runs) < maxRuns:
		s.runs = append(s.runs, &seen)
		seen.worker.add(&seen)
	default:
		return
	}
	s.markDirty()
}

func (s *Stage) markDirty() {
	if !s.dirty {
		s.dirty = true
		s.model.dirtyStages = append(s.model.dirtyStages, s)
	}
}

// count adds the stage to its kind, once, by its finished runs.
func (s *Stage) count() {
	finished := 0
	for _, seen := range s.runs {
		if seen.final && !seen.ignored {
			finished++
		}
	}
	if s.counted || finished == 0 {
		return
	}
	s.counted = true
	s.kind.add(s.own())
	if finished < 2 {
		return
	}
	// The mean of the stage takes one of the deviations. The error of the workers' slowness
	// adds to them, and the part that a run has in that slowness reduces them; neither is
	// corrected.
	correction := float64(finished) / float64(finished-1)
	for _, seen := range s.runs {
		if seen.final && !seen.ignored {
			s.kind.addNoise(max(square(seen.value-seen.worker.slowness-s.ratio)*correction-seen.error, 0))
		}
	}
}

// own is the ratio by the runs of the stage alone, without its kind, and its variance.
func (s *Stage) own() (ratio, variance float64) {
	weights, total := s.sum(0, 0)
	return total / weights, 1 / weights
}

// sum adds the weights and the weighted ratios of the runs to those given. Runs that
// deviate much from the present ratio count less.
func (s *Stage) sum(weights, total float64) (newWeights, newTotal float64) {
	for _, seen := range s.runs {
		weight := s.weight(seen)
		weights += weight
		total += weight * (seen.value - seen.worker.slowness)
	}
	return weights, total
}

func (s *Stage) weight(seen *observation) float64 {
	if seen.ignored {
		return 0
	}
	variance := s.kind.noise + seen.error + seen.worker.variance
	deviation := math.Abs(seen.value-seen.worker.slowness-s.ratio) / math.Sqrt(variance+s.variance)
	return min(robustScore/max(deviation, robustScore), 1) / variance
}

// evaluate estimates the ratio of the stage, and the slowness of each worker by its run
// and the other runs.
func (s *Stage) evaluate() {
	priorWeight := 1 / s.kind.uncertainty()
	var weights, total float64
	// A first estimate without weights: what precedes it may be far off.
	s.variance = s.kind.uncertainty()
	for range robustRounds {
		weights, total = s.sum(priorWeight, priorWeight*s.kind.mean)
		s.ratio, s.variance = total/weights, 1/weights
	}
	// Other runs on the same worker say nothing of its slowness, and share the error of
	// the comparison.
	for _, seen := range s.runs {
		seen.worker.inStage = stageShare{}
	}
	for _, seen := range s.runs {
		weight, share := s.weight(seen), &seen.worker.inStage
		share.runs++
		share.weight += weight
		share.total += weight * (seen.value - seen.worker.slowness)
	}
	for _, seen := range s.runs {
		share := seen.worker.inStage
		others := max(weights-share.weight, priorWeight)
		seen.residual = seen.value - (total-share.total)/others
		seen.residualVariance = s.kind.noise + seen.error + share.runs/others
		seen.evaluated = true
	}
	if 2*s.finished() >= len(s.runs) {
		s.count()
	}
}

func (s *Stage) finished() int {
	count := 0
	for _, seen := range s.runs {
		if seen.final {
			count++
		}
	}
	return count
}

func square(value float64) float64 {
	return value * value
}
