// Package sched decides how the workflows of one worker class wait, start,
// resume and end. It holds plain state and does no input or output: events go
// in, actions and records come out.
package sched

import (
	"time"

	"cairnbay"
)

// Moment is a point in time on the clocks that decisions depend on.
type Moment struct {
	// BootTime rises evenly, also while the machine is suspended.
	BootTime time.Duration
	// UnixMS is the wall clock, for occurrences that are due by time.
	UnixMS int64
}

// Config sets up a Core.
type Config struct {
	// AttemptBase is below the number of every attempt that this owner makes,
	// and at least that of every attempt of the owners before.
	AttemptBase int
	// CrossRackFactor is how much slower a step runs away from its rack.
	CrossRackFactor float64
	// Retention is how long an ended job is kept.
	Retention time.Duration
	// StopTime is how long a worker takes to stop a task.
	StopTime time.Duration
}

// Core is the state of one class. Its methods must not be called at the same
// time.
type Core struct {
	config  Config
	jobs    map[string]*job
	workers map[string]*worker
	// ordered are the workers by id, so that the same events lead to the same
	// decisions.
	ordered []*worker
	// open lists the stages with waiting tasks, in no order.
	open map[*stage]struct{}
	// advising are the stages with a call to the policy service under way.
	advising map[cairnbay.WorkflowTask]*stage
	// blockInherited keeps the tasks of former owners from starting until it is
	// known what still runs.
	blockInherited bool
	// changes counts events that may let a blocked stage place tasks.
	changes uint64
	pace    map[string]*paceEstimate
	// asking counts the calls to the policy service under way, within limit.
	asking, limit lanes
	// ticked says that time has passed since the last plan.
	ticked bool
}

// defaultLanes bounds the calls to the policy service until SetAdviceLimits is called.
const defaultLanes = 8

// New returns a core without jobs or workers.
func New(config Config) *Core {
	return &Core{
		config:   config,
		changes:  1,
		limit:    lanes{defaultLanes, defaultLanes},
		jobs:     make(map[string]*job),
		workers:  make(map[string]*worker),
		open:     make(map[*stage]struct{}),
		advising: make(map[cairnbay.WorkflowTask]*stage),
		pace:     make(map[string]*paceEstimate),
	}
}

// BeginRecovery says that the jobs loaded so far may have tasks that run on workers
// which have not answered yet.
func (c *Core) BeginRecovery() {
	c.blockInherited = true
}

// EndRecovery says that every worker that a former owner used has answered, or that
// its lease has certainly ended.
func (c *Core) EndRecovery() {
	c.blockInherited = false
	c.changes++
}

// RecordKind says what a Record is about.
type RecordKind uint8

// Kinds of records.
const (
	// RecordDone says that an attempt ended done.
	RecordDone RecordKind = iota + 1
	// RecordFailed says that an attempt ended failed.
	RecordFailed
)

// wholeGang as the index of a record's task stands for every task of a gang.
const wholeGang = -1

// Record is a change that must be in the store before the worker may forget
// the end that it stands for.
type Record struct {
	Kind RecordKind
	Task cairnbay.WorkflowTask
	// Attempt is the attempt that ended.
	Attempt int
}

// Replay applies a record read from the store. An ended job is kept for the
// whole retention from now on, since its end is not known.
func (c *Core) Replay(now Moment, record Record) {
	job := c.jobs[record.Task.Job]
	if job == nil {
		return
	}
	stage := job.stageAt(record.Task.Occurrence, record.Task.Step)
	if stage == nil {
		return
	}
	switch record.Kind {
	case RecordDone:
		if record.Task.Index == wholeGang {
			stage.finishAll()
		} else if task := stage.task(record.Task.Index); task != nil {
			stage.finish(task)
		}
		job.settle(now)
	case RecordFailed:
		if task := stage.task(record.Task.Index); task != nil {
			c.countFailure(now, stage, task, record.Attempt)
		}
	}
	c.reindex(job)
}

// RecordsStored says that records are in the store.
func (c *Core) RecordsStored(records []Record) {
	for _, record := range records {
		if job := c.jobs[record.Task.Job]; job != nil {
			job.unwritten--
		}
	}
}

// Counts are figures of a class for metrics and logs.
type Counts struct {
	Jobs, Workers, Usable int
	Waiting, Running      int
}

// Counts returns the present figures.
func (c *Core) Counts() Counts {
	counts := Counts{Jobs: len(c.jobs), Workers: len(c.workers)}
	for _, worker := range c.workers {
		if worker.usable() {
			counts.Usable++
		}
		counts.Running += len(worker.attempts)
	}
	for stage := range c.open {
		counts.Waiting += stage.waiting
	}
	return counts
}

// RemoveExpired drops jobs that ended longer ago than the retention.
func (c *Core) RemoveExpired(now Moment) (forgotten []string) {
	for id, job := range c.jobs {
		if job.ended && job.unwritten == 0 && job.attempts == 0 && now.BootTime-job.endedAt > c.config.Retention {
			delete(c.jobs, id)
			forgotten = append(forgotten, id)
		}
	}
	return forgotten
}

// JobRecord is all that must last of a job.
type JobRecord struct {
	Workflow  cairnbay.Workflow
	Cancelled bool
	Records   []Record
}

// Snapshot returns what must last of every job that is kept.
func (c *Core) Snapshot() []JobRecord {
	jobs := make([]JobRecord, 0, len(c.jobs))
	for _, job := range c.jobs {
		kept := JobRecord{Workflow: job.workflow, Cancelled: job.cancelled}
		for _, stage := range job.stages {
			kept.Records = append(kept.Records, stage.snapshot()...)
		}
		jobs = append(jobs, kept)
	}
	return jobs
}

func (s *stage) snapshot() (records []Record) {
	for _, number := range s.gangFailures {
		records = append(records, Record{RecordFailed, s.ref(0), number})
	}
	if s.spec.Gang && s.done == len(s.tasks) {
		return append(records, Record{RecordDone, s.ref(wholeGang), 0})
	}
	for i := range s.tasks {
		task := &s.tasks[i]
		for _, number := range task.failures {
			records = append(records, Record{RecordFailed, s.ref(i), number})
		}
		if task.done {
			records = append(records, Record{RecordDone, s.ref(i), task.last})
		}
	}
	return records
}
