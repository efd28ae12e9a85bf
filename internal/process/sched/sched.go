// Package sched decides how the workflows of one worker class queue, start,
// resume and end. It does no input or output: events go in, actions and records
// come out. The owner is the instance that schedules the class. A job is an
// accepted workflow, a stage one step of one occurrence, and an attempt one
// start of a task. Unexported points in time are boot times.
package sched

import (
	"math"
	"time"

	"cairnbay"
	"cairnbay/internal/process/quota"
)

// Moment is a point in time on the clocks that decisions depend on.
type Moment struct {
	// BootTime is the time since boot, including time in suspend.
	BootTime time.Duration
	// UnixMS is the wall clock in milliseconds; it decides when occurrences are
	// due.
	UnixMS int64
}

// Config holds the parameters of a Core.
type Config struct {
	// AttemptBase is at least the highest attempt number of any former owner.
	// Every attempt of this owner has a higher number.
	AttemptBase int
	// CrossRackFactor is the run time of a step away from its rack, relative to
	// its run time there.
	CrossRackFactor float64
	// Retention is how long an ended job stays in memory.
	Retention time.Duration
	// StopTime is how long a worker takes to stop a task.
	StopTime time.Duration
	// Learn says which decisions use learned run times.
	Learn LearnUses
	// Memory bounds the memory for jobs.
	Memory MemoryLimits
}

// Core is the scheduling state of one class. It is not safe for concurrent use.
type Core struct {
	config Config
	// uses are those of the configuration, none while the owner is hurried.
	uses    LearnUses
	jobs    map[string]*job
	memory  memory
	workers map[string]*worker
	// sortedWorkers holds the workers by ID, so that the same events lead to
	// the same placements.
	sortedWorkers []*worker
	// readyStages holds the stages that can start tasks: their predecessors are
	// done, and some of their tasks wait.
	readyStages map[*stage]struct{}
	// adviceCalls holds the stages with a call to the policy service in flight,
	// keyed by their first task.
	adviceCalls map[cairnbay.WorkflowTask]*stage
	// blockInherited prevents starts of former owners' tasks until their
	// running attempts are known.
	blockInherited bool
	// changeCount counts events that may let a blocked stage place tasks.
	changeCount   uint64
	runTimeRatios map[string]*runTimeRatio
	learned       learnedRunTimes
	// backlog is the time that the class takes for the tasks that waited at the
	// last tick.
	backlog time.Duration
	// inFlight counts the calls to the policy service in flight, bounded by
	// callLimit.
	inFlight, callLimit callCounts
	// ticked is set by Tick and cleared by Plan.
	ticked bool
	// startLimit is how many more starts may be ordered, startsHeld whether the last
	// plan left stages out because of it.
	startLimit int
	startsHeld bool
	// workspaces are those of the configuration and of accepted jobs, by name, and ledger
	// holds their accounts.
	workspaces map[string]*workspace
	ledger     *quota.Ledger
	// termsKnown is set by SetWorkspaces, quotaHeld if the last plan left a stage out
	// because of its workspace.
	termsKnown, quotaHeld bool
	fairness              *fairness
	// crashes are those of workers that were silent, and may be cut off and answer
	// again, and those read from the store, by worker ID.
	crashes map[string]*crash
	// losses are the workers lost within lossMemory.
	losses []loss
	// queueRisks holds the queues of which some tasks crash their workers, by name.
	queueRisks map[string]*queueRisk
	// givenUp are the jobs given up since the last TakeGivenUp.
	givenUp []GivenUp
	// trials is the sum of the weights of the attempts on trial, in thousandths.
	trials int
	// slow holds the attempts whose last report may show slow progress, assessedAt is
	// when they were last considered, discards counts what moves and copies discard,
	// and relocations lists those since the last TakeRelocations.
	slow        map[*attempt]struct{}
	assessedAt  time.Duration
	discards    discards
	relocations []Relocation
	// gangWaits are the reports since the last TakeGangWaits.
	gangWaits []GangWait
	// adviceWaits are the reports since the last TakeAdviceWaits, waitingSteps the result of
	// WaitingSteps.
	adviceWaits []AdviceWait
	// restartWaits are the reports since the last TakeRestartWaits.
	restartWaits []RestartWait
	waitingSteps map[AdviceWaitReason]int
	// disturbedWorkers and silentWorkers are counted at each tick. plannedAt is the boot
	// time of the last plan, reservations are those of its gangs.
	disturbedWorkers, silentWorkers int
	plannedAt                       time.Duration
	reservations                    gangReservations
	// widespreadFailures is set in a plan while most workers pause because of failures.
	widespreadFailures bool
	// idleSince is since when little of the class is in use, 0 for not.
	idleSince time.Duration
	// maxTrials are the bounds of trials in this plan, not set until a suspect waits.
	maxTrials trialBounds
}

// defaultCallLimit bounds the calls of each kind to the policy service until
// SetAdviceLimits is called.
const defaultCallLimit = 8

// New returns a core without jobs or workers.
func New(config Config) *Core {
	return &Core{
		config:        config,
		memory:        memory{limits: config.Memory},
		uses:          config.Learn,
		changeCount:   1,
		startLimit:    math.MaxInt,
		callLimit:     callCounts{defaultCallLimit, defaultCallLimit},
		jobs:          make(map[string]*job),
		workers:       make(map[string]*worker),
		readyStages:   make(map[*stage]struct{}),
		adviceCalls:   make(map[cairnbay.WorkflowTask]*stage),
		runTimeRatios: make(map[string]*runTimeRatio),
		learned:       newLearnedRunTimes(),
		queueRisks:    make(map[string]*queueRisk),
		crashes:       make(map[string]*crash),
		workspaces:    make(map[string]*workspace),
		ledger:        quota.New(),
		fairness:      newFairness(),
		slow:          make(map[*attempt]struct{}),
		waitingSteps:  make(map[AdviceWaitReason]int),
	}
}

// SetStartLimit bounds the starts of the next Plan. The stages that come last in
// precedence are left out, so that in a burst the order of starts follows what is
// urgent when each start can be sent. A stage that is begun gets all its starts.
func (c *Core) SetStartLimit(starts int) {
	c.startLimit = starts
}

// StartsHeld reports whether the last Plan left stages out because of the limit.
func (c *Core) StartsHeld() bool {
	return c.startsHeld
}

// BeginRecovery blocks the starts of inherited jobs, since their tasks may
// still run on workers that have not answered yet.
func (c *Core) BeginRecovery() {
	c.blockInherited = true
}

// RecoveryWaiting returns the number of tasks that BeginRecovery holds back.
func (c *Core) RecoveryWaiting() (tasks int) {
	if !c.blockInherited {
		return 0
	}
	for stage := range c.readyStages {
		if stage.job.inherited {
			tasks += stage.waiting
		}
	}
	return tasks
}

// EndRecovery unblocks inherited jobs. Every worker that a former owner used
// has answered by now, or its lease has certainly ended. So the members of a gang
// that are not known to run never started or have ended: EndRecovery stops the
// others and returns the number of such gangs.
func (c *Core) EndRecovery() (incompleteGangs int) {
	c.blockInherited = false
	c.changeCount++
	c.updateUnknownUse()
	for _, job := range c.jobs {
		for _, stage := range job.stages {
			if c.stopIncompleteGang(stage) {
				incompleteGangs++
			}
		}
	}
	return incompleteGangs
}

// RecordKind is the kind of a Record.
type RecordKind uint8

// Kinds of records.
const (
	// RecordDone is an attempt that completed its task.
	RecordDone RecordKind = iota + 1
	// RecordFailed is an attempt that failed.
	RecordFailed
	// RecordCrashed is an attempt whose worker crashed.
	RecordCrashed
	// RecordGivenUp is a task that was given up because its workers crashed.
	RecordGivenUp
)

// wholeGang is the task index of a record about every task of a gang.
const wholeGang = -1

// Record is the end of an attempt. It must be in the store before the end is
// acknowledged to the worker, which then drops it.
type Record struct {
	Kind RecordKind
	Task cairnbay.WorkflowTask
	// Attempt is the number of the attempt that ended.
	Attempt int
	// Worker is the worker that crashed. Suspect is set if the attempt may have caused
	// that, Started if it has certainly run there, and Prompt if the worker ceased to
	// answer just after the start. Only a RecordCrashed has them.
	Worker                   string
	Suspect, Started, Prompt bool
}

// Replay applies a record read from the store. The end time of the job is not
// stored, so its retention starts anew.
func (c *Core) Replay(now Moment, record Record) {
	job := c.jobs[record.Task.Job]
	if job == nil {
		return
	}
	stage := job.stageAt(record.Task.Occurrence, record.Task.Step)
	switch {
	case stage != nil:
	case !job.has(record.Task.Occurrence, record.Task.Step):
		return
	case record.Kind != RecordGivenUp:
		job.started = true
		job.unapplied = append(job.unapplied, record)
		return
	}
	job.started = true
	switch record.Kind {
	case RecordDone:
		if record.Task.Index == wholeGang {
			stage.finishAll()
			stage.crashes.clear()
		} else if task := stage.task(record.Task.Index); task != nil {
			stage.finish(task)
			task.crashes.clear()
		}
		job.endIfComplete(now)
	case RecordFailed:
		if task := stage.task(record.Task.Index); task != nil {
			c.countFailure(now, stage, task, record.Attempt)
		}
	case RecordCrashed:
		if task := stage.task(record.Task.Index); task != nil {
			c.replayCrash(stage, task, record)
		}
	case RecordGivenUp:
		job.failed, job.givenUp = true, &record.Task
		job.markEnded(now)
	}
	c.updateReadyStages(job)
}

// RecordsStored confirms that records are in the store.
func (c *Core) RecordsStored(records []Record) {
	for _, record := range records {
		if job := c.jobs[record.Task.Job]; job != nil {
			job.unwritten--
		}
	}
}

// Counts are the figures of a class for metrics and logs. Waiting counts the
// waiting tasks of ready stages, Running the attempts that hold capacity.
type Counts struct {
	Jobs, Workers, Usable int
	Waiting, Running      int
	// MemoryUsed is the sum of the footprints of all jobs, in bytes.
	MemoryUsed int64
}

// Counts returns the current figures.
func (c *Core) Counts() Counts {
	counts := Counts{Jobs: len(c.jobs), Workers: len(c.workers), MemoryUsed: c.memory.used}
	for _, worker := range c.workers {
		if worker.usable() {
			counts.Usable++
		}
		counts.Running += len(worker.attempts)
	}
	for stage := range c.readyStages {
		counts.Waiting += stage.waiting
	}
	return counts
}

// LiveJobs returns the number of jobs that have not ended.
func (c *Core) LiveJobs() int {
	live := 0
	for _, job := range c.jobs {
		if !job.ended {
			live++
		}
	}
	return live
}

// RemoveExpired removes jobs whose retention has passed and returns their IDs. Of those that
// ended before it keeps the identity.
func (c *Core) RemoveExpired(now Moment) (removed []string) {
	for id, job := range c.jobs {
		if !job.ended || job.unwritten > 0 || job.attempts > 0 {
			continue
		}
		job.release()
		if now.BootTime-job.endedAt > c.config.Retention {
			job.account(-job.footprint)
			delete(c.jobs, id)
			removed = append(removed, id)
		}
	}
	if len(removed) > 0 {
		c.forgetCrashes()
	}
	return removed
}

// JobRecord is the durable state of a job. Of a job that has ended and of which
// nothing runs, only the ID, the Workspace and the path of the Queue of Workflow, and
// Ended, are set.
type JobRecord struct {
	Workflow  cairnbay.Workflow
	Ended     cairnbay.WorkflowState
	Cancelled bool
	Records   []Record
}

// Snapshot returns the durable state of every job.
func (c *Core) Snapshot() []JobRecord {
	jobs := make([]JobRecord, 0, len(c.jobs))
	for _, job := range c.jobs {
		if job.ended && job.attempts == 0 && job.unwritten == 0 {
			identity := cairnbay.Workflow{
				ID: job.workflow.ID, Workspace: job.workflow.Workspace,
				Queue: cairnbay.Queue{Host: job.workflow.Queue.Host, Prefix: job.workflow.Queue.Prefix},
			}
			jobs = append(jobs, JobRecord{Workflow: identity, Ended: job.state()})
			continue
		}
		record := JobRecord{Workflow: job.workflow, Cancelled: job.cancelled}
		if job.givenUp != nil {
			record.Records = append(record.Records, Record{Kind: RecordGivenUp, Task: *job.givenUp})
		}
		for _, stage := range job.stages {
			record.Records = append(record.Records, stage.snapshot()...)
		}
		record.Records = append(record.Records, job.unapplied...)
		jobs = append(jobs, record)
	}
	return jobs
}

// EndedJob is what is known of a job that ended under a former owner, or that was cancelled
// before it arrived.
type EndedJob struct {
	ID    string
	State cairnbay.WorkflowState
	// Workspace is as in cairnbay.Workflow.
	Workspace string
	// Queue is the path of the job's queue, empty if it is not known.
	Queue cairnbay.QueuePath
}

// RestoreEnded adds a job of which only the end is known. Its retention starts anew.
func (c *Core) RestoreEnded(now Moment, ended EndedJob) {
	if c.jobs[ended.ID] != nil {
		return
	}
	c.jobs[ended.ID] = &job{
		workflow: cairnbay.Workflow{
			ID: ended.ID, Workspace: ended.Workspace,
			Queue: cairnbay.Queue{Host: ended.Queue.Host, Prefix: ended.Queue.Prefix},
		},
		ended: true, endedAt: now.BootTime, memory: &c.memory,
		cancelled: ended.State == cairnbay.WorkflowCancelled, failed: ended.State == cairnbay.WorkflowFailed,
	}
}

func (s *stage) snapshot() (records []Record) {
	for _, number := range s.gangFailures {
		records = append(records, Record{Kind: RecordFailed, Task: s.ref(0), Attempt: number})
	}
	if s.spec.Gang && s.done == len(s.tasks) {
		return append(records, Record{Kind: RecordDone, Task: s.ref(wholeGang)})
	}
	if s.crashes != nil {
		records = append(records, s.crashes.records(nil)...)
	}
	for i := range s.tasks {
		task := &s.tasks[i]
		for _, number := range task.failures {
			records = append(records, Record{Kind: RecordFailed, Task: s.ref(i), Attempt: number})
		}
		if task.done {
			records = append(records, Record{Kind: RecordDone, Task: s.ref(i), Attempt: task.lastAttempt})
		} else if task.crashes != nil {
			records = append(records, task.crashes.records(nil)...)
		}
	}
	return records
}
