package sched

import (
	"slices"
	"time"

	"cairnbay"
	"cairnbay/internal/process/learn"
)

// job is one accepted workflow.
type job struct {
	workflow cairnbay.Workflow
	// workspace is nil for a job of a public queue.
	workspace *workspace
	// group is the work with which the job competes as one; surplus is set if the group
	// had more jobs than it is entitled to when this one was accepted.
	group   *group
	surplus bool
	// inherited is set for a job that a former owner accepted.
	inherited  bool
	acceptedAt time.Duration
	// firstAcceptedAt is when the job's first owner accepted it, acceptedAt
	// when the current owner did.
	firstAcceptedAt time.Duration
	// deadline is the latest completion that meets the latency objective.
	deadline time.Duration
	// criticalPath is the estimated run time of the longest chain of steps.
	criticalPath time.Duration
	stages       map[stageKey]*stage
	// started is set once a task is known to run or to have run. An order without
	// an answer does not count: callers would take the job for begun.
	started   bool
	ended     bool
	endedAt   time.Duration
	cancelled bool
	failed    bool
	// givenUp is the task for which the job was given up, nil for none.
	givenUp *cairnbay.WorkflowTask
	// unwritten counts records that are not in the store yet.
	unwritten int
	// attempts counts the job's attempts that hold capacity.
	attempts int
	// createdOccurrences is the number of occurrences whose stages exist.
	createdOccurrences int
	// memory accounts for footprint, what the job takes of it.
	memory    *memory
	footprint int64
	// unapplied are the records read from the store whose occurrence there was no room for.
	unapplied []Record
	// released says that the job has ended for good and only its identity is kept.
	released bool
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
	// waiting counts the tasks that are neither on a worker nor done.
	waiting int
	done    int
	// measured are the last run times of done tasks, on a worker of usual speed, and
	// expected is the run time that follows from them and from the reports of progress.
	measured []time.Duration
	expected expectedTime
	reports  uint64
	// longestRunTime is the longest measured run time of a done task.
	longestRunTime time.Duration
	// gangFailures are the failed attempts of a gang, crashes the crashes of workers
	// under any of its members.
	gangFailures attemptNumbers
	crashes      *crashHistory
	// crashed is set once a worker has crashed under any task.
	crashed bool
	// liveAttempts counts the stage's attempts that hold capacity.
	liveAttempts int
	// gangAborting is set while the members of a failed gang attempt are being
	// stopped.
	gangAborting bool
	advice       *advice
	// restartWait is set while tasks that last, and have run, wait.
	restartWait restartWait
	// blockedAtChange is the value of Core.changeCount when planning the stage
	// last yielded no action. The stage is skipped until the count grows.
	blockedAtChange uint64
	// replacesOnly is set in a plan if the share of its group lets the stage start no tasks
	// but those that ran before.
	replacesOnly      bool
	attemptsPerWorker map[string]int
	// quotaHeldSince is since when a gang waits for room in the part of its workspace.
	quotaHeldSince time.Duration
	// held are the reservations of a gang that waits.
	held heldReservations
	// blockedByGang is set if a reservation blocked a worker for the stage when it was last
	// placed, and reservedOutSince is since when that has left tasks waiting, 0 for not.
	blockedByGang    bool
	reservedOutSince time.Duration
	// gangWait is set while a gang is ready to start and waits.
	gangWait *gangWait
	// runs holds the learned run times of the stage, nil before the first.
	runs *learn.Stage
	// speedWeight is set before the stage is placed, see Core.speedWeight.
	speedWeight float64
	// fasterSince is when a task first waited for a faster worker, 0 for never.
	// waitingForFaster counts those that did when the stage was last placed.
	fasterSince      time.Duration
	waitingForFaster int
}

// task is one task of a stage.
type task struct {
	index int
	done  bool
	// attempt is the live attempt, copy a second one on another worker; only tasks of
	// a speculative step have one.
	attempt, copy *attempt
	lastAttempt   int
	// relocated is set once an attempt was moved or copied, which is done once.
	relocated bool
	// failures are the attempts that failed, crashes the crashes of workers under a task
	// of no gang.
	failures attemptNumbers
	crashes  *crashHistory
	// failedOn is the worker of the last failure or stall. Other workers are
	// preferred.
	failedOn string
	// usualWorker is where the next attempt would be placed if speed did not matter; empty
	// for the same worker.
	usualWorker string
	checkpoint  string
	// checkpointPercent is the progress at which checkpoint was first reported.
	checkpointPercent int
	// restarts counts the ends of a long-running task since its last run of
	// more than stableRunTime. notBefore is the earliest time of the next
	// start.
	restarts  int
	notBefore time.Duration
}

// attemptNumbers is a set of attempt numbers. A worker repeats an end until it
// is acknowledged, also to the next owner, and the set makes a failure count
// once.
type attemptNumbers []int

// add reports whether the number was new.
func (numbers *attemptNumbers) add(number int) bool {
	if slices.Contains(*numbers, number) {
		return false
	}
	*numbers = append(*numbers, number)
	return true
}

// stageAt returns the stage of an occurrence and creates the stages up to that
// occurrence where they are missing. It returns nil for a step or an occurrence
// that the workflow does not have, or that there is no room for.
func (j *job) stageAt(occurrence, step int) *stage {
	if !j.has(occurrence, step) {
		return nil
	}
	for j.createdOccurrences <= occurrence {
		if !j.addOccurrence() {
			return nil
		}
	}
	return j.stages[stageKey{occurrence, step}]
}

// has reports whether the workflow has a step of an occurrence that matters.
func (j *job) has(occurrence, step int) bool {
	return !j.released && occurrence >= 0 && occurrence < max(j.workflow.Occurrences, 1) && step >= 0 && step < len(j.workflow.Steps)
}

// addOccurrence creates the stages of the next occurrence; false if there is no room.
func (j *job) addOccurrence() bool {
	footprint := occurrenceFootprint(&j.workflow)
	if !j.memory.hasRoomFor(footprint) {
		return false
	}
	j.account(footprint)
	for step := range j.workflow.Steps {
		spec := &j.workflow.Steps[step]
		added := &stage{
			job: j, key: stageKey{j.createdOccurrences, step}, spec: spec,
			tasks: make([]task, spec.Tasks), waiting: spec.Tasks,
			attemptsPerWorker: make(map[string]int),
		}
		for i := range added.tasks {
			added.tasks[i].index = i
		}
		j.stages[added.key] = added
	}
	j.createdOccurrences++
	return true
}

// account adds to the footprint of the job.
func (j *job) account(footprint int64) {
	j.memory.used += footprint
	j.footprint += footprint
}

// release drops all but the identity of a job that has ended and of which nothing runs or
// is being stored.
func (j *job) release() {
	if j.released {
		return
	}
	j.released = true
	j.stages, j.unapplied, j.workflow.Payload = nil, nil, ""
	j.account(jobFootprint - j.footprint)
}

// endIfComplete ends the job once every stage of every occurrence is done.
func (j *job) endIfComplete(now Moment) {
	if j.ended || j.createdOccurrences < max(j.workflow.Occurrences, 1) {
		return
	}
	for _, stage := range j.stages {
		if stage.done < len(stage.tasks) {
			return
		}
	}
	j.markEnded(now)
}

// markEnded marks the job as ended, which prevents further starts.
func (j *job) markEnded(now Moment) {
	if j.ended {
		return
	}
	j.ended, j.endedAt = true, now.BootTime
	j.group.removeJob()
	for _, stage := range j.stages {
		stage.closeRuns()
	}
}

// state is the state that callers see. A job is shown as completed only once
// that is stored.
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
	case j.started:
		return cairnbay.WorkflowRunning
	default:
		return cairnbay.WorkflowPending
	}
}

// task returns the task with an index as callers and workers know it, nil if the stage
// does not have it.
func (s *stage) task(index int) *task {
	index -= s.spec.FirstIndex
	if index < 0 || index >= len(s.tasks) {
		return nil
	}
	return &s.tasks[index]
}

// ref names the stage's task at a position from 0.
func (s *stage) ref(position int) cairnbay.WorkflowTask {
	return cairnbay.WorkflowTask{
		Job: s.job.workflow.ID, Occurrence: s.key.occurrence, Step: s.key.step, Index: s.spec.FirstIndex + position,
	}
}

// latestAttempt is the highest attempt number that is known of a task, or of any member
// of its gang; 0 for none.
func (s *stage) latestAttempt(task *task) int {
	latest := task.lastAttempt
	if s.spec.Gang {
		for i := range s.tasks {
			latest = max(latest, s.tasks[i].lastAttempt)
		}
	}
	return latest
}

// finish marks a task as done.
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

// ready reports whether every step before this one is done.
func (s *stage) ready() bool {
	for _, step := range s.spec.After {
		predecessor := s.job.stages[stageKey{s.key.occurrence, step}]
		if predecessor == nil || predecessor.done < len(predecessor.tasks) {
			return false
		}
	}
	return true
}

// demand is the capacity that one task of the step reserves.
func demand(spec *cairnbay.WorkflowStep) cairnbay.Resources {
	size := spec.Size
	if spec.BestEffort {
		size.MilliCPU = 0
	}
	return size
}
