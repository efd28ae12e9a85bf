package sched

import (
	"slices"
	"time"

	"cairnbay"
)

// job is one accepted workflow.
type job struct {
	workflow cairnbay.Workflow
	// inherited jobs were accepted by a former owner.
	inherited bool
	accepted  time.Duration
	// arrived is when the job was accepted, by whichever owner.
	arrived time.Duration
	// deadline is when the job must be complete to be in time.
	deadline time.Duration
	// chain is the estimated time of the longest chain of steps.
	chain     time.Duration
	stages    map[stageKey]*stage
	begun     bool
	ended     bool
	endedAt   time.Duration
	cancelled bool
	failed    bool
	// unwritten counts records that are not in the store yet.
	unwritten int
	// attempts counts the attempts on workers.
	attempts int
	// due is the number of occurrences whose stages exist.
	due int
}

type stageKey struct {
	occurrence, step int
}

// stage is one step of one occurrence.
type stage struct {
	job   *job
	key   stageKey
	spec  *cairnbay.WorkflowStep
	tasks []task
	// waiting counts the tasks that are on no worker and not done.
	waiting int
	done    int
	// longest is the run time of the longest task that is done.
	longest time.Duration
	// gangFailures are the failed attempts of a gang.
	gangFailures attempts
	// live counts the attempts on workers.
	live int
	// gangBroken says that the attempt cannot succeed and is being ended.
	gangBroken bool
	advice     *advice
	// blockedAt is the count of changes at which nothing could be placed.
	blockedAt uint64
	perWorker map[string]int
}

// task is one task of a stage.
type task struct {
	index   int
	done    bool
	attempt *attempt
	last    int
	// failures are the attempts that ended failed.
	failures attempts
	// failedOn is the worker of the last failure, avoided where there is choice.
	failedOn   string
	checkpoint string
	// restarts and notBefore delay the next start of a task that keeps ending.
	restarts  int
	notBefore time.Duration
}

// attempts is a set of attempt numbers. A worker lists an end until it is
// acknowledged, also to the next owner, so each counts once.
type attempts []int

// add returns whether the attempt is new.
func (a *attempts) add(number int) bool {
	if slices.Contains(*a, number) {
		return false
	}
	*a = append(*a, number)
	return true
}

// stageAt returns the stage of an occurrence, making the occurrence's stages
// where they do not exist yet; nil if there is none.
func (j *job) stageAt(occurrence, step int) *stage {
	if occurrence < 0 || occurrence >= max(j.workflow.Occurrences, 1) || step < 0 || step >= len(j.workflow.Steps) {
		return nil
	}
	for j.due <= occurrence {
		j.addOccurrence()
	}
	return j.stages[stageKey{occurrence, step}]
}

func (j *job) addOccurrence() {
	for step := range j.workflow.Steps {
		spec := &j.workflow.Steps[step]
		added := &stage{
			job: j, key: stageKey{j.due, step}, spec: spec,
			tasks: make([]task, spec.Tasks), waiting: spec.Tasks,
			perWorker: make(map[string]int),
		}
		for i := range added.tasks {
			added.tasks[i].index = i
		}
		j.stages[added.key] = added
	}
	j.due++
}

// settle ends the job once every stage of every occurrence is done.
func (j *job) settle(now Moment) {
	if j.ended || j.due < max(j.workflow.Occurrences, 1) {
		return
	}
	for _, stage := range j.stages {
		if stage.done < len(stage.tasks) {
			return
		}
	}
	j.end(now)
}

// end marks the job as ended; nothing of it starts any more.
func (j *job) end(now Moment) {
	if !j.ended {
		j.ended, j.endedAt = true, now.BootTime
	}
}

// state is what callers are told. Completion shows only once it is stored.
func (j *job) state() cairnbay.WorkflowState {
	switch {
	case j.cancelled:
		return cairnbay.WorkflowCancelled
	case j.ended && j.unwritten > 0:
		return cairnbay.WorkflowRunning
	case j.failed:
		return cairnbay.WorkflowFailed
	case j.ended:
		return cairnbay.WorkflowCompleted
	case j.begun:
		return cairnbay.WorkflowRunning
	default:
		return cairnbay.WorkflowPending
	}
}

func (s *stage) task(index int) *task {
	if index < 0 || index >= len(s.tasks) {
		return nil
	}
	return &s.tasks[index]
}

func (s *stage) ref(index int) cairnbay.WorkflowTask {
	return cairnbay.WorkflowTask{
		Job: s.job.workflow.ID, Occurrence: s.key.occurrence, Step: s.key.step, Index: index,
	}
}

// finish marks a task done.
func (s *stage) finish(task *task) {
	if task.done {
		return
	}
	task.done = true
	s.done++
	if task.attempt == nil {
		s.waiting--
	}
}

func (s *stage) finishAll() {
	for i := range s.tasks {
		s.finish(&s.tasks[i])
	}
}

// ready says whether every step before this one is done.
func (s *stage) ready() bool {
	for _, earlier := range s.spec.After {
		before := s.job.stages[stageKey{s.key.occurrence, earlier}]
		if before == nil || before.done < len(before.tasks) {
			return false
		}
	}
	return true
}

// need is the capacity that one task of the step takes.
func need(spec *cairnbay.WorkflowStep) cairnbay.Resources {
	size := spec.Size
	if spec.BestEffort {
		size.MilliCPU = 0
	}
	return size
}
