package sched

import (
	"time"

	"cairnbay"
	"cairnbay/internal/process/learn"
)

// learnedRunTimes connects the core with its model of run times.
type learnedRunTimes struct {
	model *learn.Model
	// moved are the jobs of which runs were reported since the last tick.
	moved map[*job]struct{}
}

func newLearnedRunTimes() learnedRunTimes {
	return learnedRunTimes{learn.New(), make(map[*job]struct{})}
}

func kindOf(queue string, spec *cairnbay.WorkflowStep) learn.Kind {
	return learn.Kind{Queue: queue, Image: spec.Image, Width: learn.WidthClass(spec.Tasks)}
}

// predictRunTime predicts the run time of a stage's task on a worker, or on the mean
// worker for nil. Without observations it is the declared time.
func (c *Core) predictRunTime(stage *stage, w *worker) learn.Prediction {
	var on *learn.Worker
	if w != nil {
		on = w.speed
	}
	return c.learned.model.Predict(kindOf(stage.job.workflow.Queue.Name, stage.spec), stage.runs, on, stage.spec.RunTime)
}

// slowness is the factor by which a worker takes longer than the mean worker, now. It is 1
// while nothing is known.
func (c *Core) slowness(w *worker) float64 {
	if w.speed == nil {
		return 1
	}
	return c.learned.model.Slowness(w.speed)
}

// predictStart sets the prediction in the order for an attempt.
func (c *Core) predictStart(a *attempt, start *StartAction) {
	if !c.config.Learn.Any() || a.stage.spec.LongRunning {
		return
	}
	a.predicted = c.predictRunTime(a.stage, a.worker).Median
	start.Predicted, start.PredictedFrom = a.predicted, "declared"
	switch {
	case a.stage.runs != nil && a.stage.runs.Known():
		start.PredictedFrom = "step"
	case c.learned.model.Knows(kindOf(a.stage.job.workflow.Queue.Name, a.stage.spec)):
		start.PredictedFrom = "kind"
	}
}

// expectedRunTime is the estimated run time of a stage's task, by the model if use is set.
func (c *Core) expectedRunTime(use bool, stage *stage) time.Duration {
	if use {
		return c.predictRunTime(stage, nil).Median
	}
	return c.runTime(stage.job.workflow.Queue.Name, stage.spec)
}

// expectedStepRunTime is expectedRunTime of a step that need not have a stage.
func (c *Core) expectedStepRunTime(use bool, job *cairnbay.Workflow, step int) time.Duration {
	spec := &job.Steps[step]
	if use {
		return c.learned.model.Predict(kindOf(job.Queue.Name, spec), nil, nil, spec.RunTime).Median
	}
	return c.runTime(job.Queue.Name, spec)
}

// runTimeOn is the estimated run time of a stage's task on a worker, for reservations.
func (c *Core) runTimeOn(stage *stage, w *worker) time.Duration {
	if c.uses.Reserve {
		return c.predictRunTime(stage, w).Median
	}
	return c.runTime(stage.job.workflow.Queue.Name, stage.spec)
}

// attemptRunTime is runTimeOn of an attempt, as it was predicted at its start: sorts ask
// for it many times, and progress soon tells more.
func (c *Core) attemptRunTime(a *attempt) time.Duration {
	if !c.uses.Reserve {
		return c.runTime(a.stage.job.workflow.Queue.Name, a.stage.spec)
	}
	if a.predicted == 0 {
		a.predicted = c.predictRunTime(a.stage, a.worker).Median
	}
	return a.predicted
}

// addSpeed makes the model aware of a listed worker. Later runs of its process are as
// fast.
func (c *Core) addSpeed(w *worker) {
	if !c.config.Learn.Any() {
		return
	}
	label := ""
	if len(w.entry.Labels) > 0 {
		label = w.entry.Labels[0]
	}
	w.speed = c.learned.model.AddWorker(cairnbay.WorkerName(w.entry.ID), label)
}

// removeSpeed excludes a removed worker from comparisons, unless another run of it is
// there.
func (c *Core) removeSpeed(w *worker) {
	if w.speed == nil {
		return
	}
	for _, other := range c.sortedWorkers {
		if other.speed == w.speed {
			return
		}
	}
	c.learned.model.RemoveWorker(cairnbay.WorkerName(w.entry.ID))
}

// learnsFrom reports whether an attempt's run time is evidence: it runs the task as a
// whole, is not being stopped, and does not depend on other workers as a gang does.
func (c *Core) learnsFrom(a *attempt) bool {
	return c.config.Learn.Any() && a.stage != nil && a.worker.speed != nil && !a.partial && a.stopCause == "" &&
		a.phase == phaseRunning && !a.stage.spec.LongRunning && !a.stage.spec.BestEffort && !a.stage.spec.Gang &&
		!a.stage.job.ended
}

// observeProgress reports the progress of an attempt to the model.
func (c *Core) observeProgress(now Moment, a *attempt) {
	if !c.learnsFrom(a) {
		return
	}
	c.runsOf(a.stage).Progress(now.BootTime, a.worker.speed, a.task.index, now.BootTime-a.startedAt, a.percent)
}

func (c *Core) runsOf(stage *stage) *learn.Stage {
	if stage.runs == nil {
		stage.runs = c.learned.model.NewStage(kindOf(stage.job.workflow.Queue.Name, stage.spec), stage.spec.RunTime)
	}
	c.learned.moved[stage.job] = struct{}{}
	return stage.runs
}

// observeDone reports the end of an attempt that completed its task to the model. It
// returns the run time to which the mean worker would have come.
func (c *Core) observeDone(now Moment, a *attempt, ran time.Duration) time.Duration {
	if !c.config.Learn.Any() || a.worker.speed == nil {
		return ran
	}
	usual := ran
	if c.config.Learn.Order {
		usual = time.Duration(float64(ran) / c.slowness(a.worker))
	}
	stage := a.stage
	switch {
	case stage.spec.Gang && stage.done == 0:
		// All members end together, by the slowest.
		slowest := c.slowness(a.worker)
		for i := range stage.tasks {
			if member := stage.tasks[i].attempt; member != nil {
				slowest = max(slowest, c.slowness(member.worker))
			}
		}
		c.learned.model.Observe(kindOf(stage.job.workflow.Queue.Name, stage.spec), stage.spec.RunTime, time.Duration(float64(ran)/slowest))
	case c.learnsFrom(a):
		c.runsOf(stage).Finished(now.BootTime, a.worker.speed, a.task.index, ran)
	}
	return usual
}

// dropRun discards what is known of an attempt that did not complete its task.
func (a *attempt) dropRun() {
	if a.stage != nil && a.stage.runs != nil && a.worker.speed != nil {
		a.stage.runs.Drop(a.worker.speed, a.task.index)
	}
}

// closeRuns counts the runs of a stage that has ended.
func (s *stage) closeRuns() {
	if s.runs != nil {
		s.runs.Close()
	}
}

// updateLearned evaluates the runs reported since the last tick.
func (c *Core) updateLearned(now Moment) {
	if !c.config.Learn.Any() {
		return
	}
	c.learned.model.Update(now.BootTime)
	for job := range c.learned.moved {
		if c.config.Learn.Order && !job.ended {
			c.updateDeadline(job)
		}
		delete(c.learned.moved, job)
	}
}

// LearnedState returns what the next owner of the class should know of run times.
func (c *Core) LearnedState() learn.State {
	return c.learned.model.State()
}

// RestoreLearned replaces what is known of run times by the state of a former owner.
func (c *Core) RestoreLearned(state learn.State) {
	if c.config.Learn.Any() {
		c.learned.model.Restore(state)
	}
}
