package cairnbay

import "time"

// WorkerState is the state of a worker as input to placement.
type WorkerState struct {
	ID       string
	Address  string
	Rack     string
	Capacity Resources
	// Usable means that new tasks may be placed on the worker.
	Usable bool
	// UnusableReason is why it is not usable ("leaving", "unreachable", "drained").
	UnusableReason string
}

// DecisionKind is the action of a Decision. Only patient tasks are throttled,
// checkpointed or stopped: tasks of BandBatch and BandBestEffort and tasks beyond
// a quota, unless their job is AtMostOnce.
type DecisionKind uint8

// Kinds of decisions.
const (
	// DecideStart starts a task on a worker.
	DecideStart DecisionKind = iota + 1
	// DecideThrottle frees the processors of a patient task.
	DecideThrottle
	// DecideUnthrottle returns the processors to a throttled task.
	DecideUnthrottle
	// DecideCheckpoint ends a patient task that can resume.
	DecideCheckpoint
	// DecideStop ends a task that will restart from its beginning.
	DecideStop
)

// Decision is one action for the owner of the shard to carry out.
type Decision struct {
	Kind    DecisionKind
	Task    TaskID
	Attempt int
	Worker  string
	// Waited is how long the task waited for its start.
	Waited time.Duration
	// Reason is shown by explain and recorded in the audit.
	Reason string
}

// Progress is the journaled progress of a job that is enqueued again.
type Progress struct {
	// Final maps the index of each task that has ended to its state.
	Final map[int]TaskState
	// Attempts maps the index of each task that was started to the number of its
	// starts.
	Attempts map[int]int
}

// TaskView describes a task to operators.
type TaskView struct {
	Task    TaskID    `json:"task"`
	State   TaskState `json:"state"`
	Attempt int       `json:"attempt,omitempty"`
	Worker  string    `json:"worker,omitempty"`
}

// Explanation describes the state of a job and why its next task does not start.
type Explanation struct {
	Job   JobID   `json:"job"`
	Shard ShardID `json:"shard"`
	// Summary is one sentence.
	Summary string `json:"summary"`
	// Constraint names what blocks the next task; it is empty if nothing does.
	//
	//   - "quota": a quota of the branch or a parent is used up
	//   - "capacity": no worker has enough free resources
	//   - "rank": the task fits, but its turn has not come
	//   - "gang": the gang cannot start as a whole
	//   - "retry": a failed start is delayed or limited
	//   - "preemption": victims have to release their resources first
	//   - "never_fits": the job exceeds a quota or all workers even when nothing runs
	//   - "mark": the journal entry for an at-most-once start is not confirmed
	//   - "takeover": a new owner does not know yet where all tasks run
	//   - "store": the store is down, which blocks at-most-once tasks
	Constraint string `json:"constraint,omitempty"`
	// Setting is the path of the setting that imposes the constraint, if any.
	Setting string `json:"setting,omitempty"`
	// Ahead is the number of tasks before the job in the queue.
	Ahead int `json:"ahead"`
	// Details are further sentences, one per fact.
	Details []string   `json:"details,omitempty"`
	Tasks   []TaskView `json:"tasks,omitempty"`
}

// JobView summarises a job for lists.
type JobView struct {
	Job    Job               `json:"job"`
	Shard  ShardID           `json:"shard"`
	Counts map[TaskState]int `json:"counts"`
	Done   bool              `json:"done"`
}

// Placer assigns the tasks of one shard to its workers, in memory. It makes no
// calls, starts no goroutine and reads no clock. It is not safe for concurrent
// use; the owner of the shard locks it.
type Placer interface {
	// SetSettings applies a new settings version.
	SetSettings(settings *Settings, now time.Duration)
	// SetWorker adds a worker or changes its state.
	SetWorker(worker WorkerState, now time.Duration)
	// DropWorker removes a worker that is known to be gone. Its tasks are queued
	// again, except those that must not run twice: these end as TaskUnknown and
	// are returned.
	DropWorker(worker string, now time.Duration) []TaskID
	// Enqueue adds a job. Errors: ErrNeverFits, annotated with the constraint,
	// and ErrInvalid; in both cases the job is not added.
	Enqueue(job Job, progress Progress, now time.Duration) error
	// Cancel ends the job's waiting tasks and returns those that are on a worker
	// and must be stopped there.
	Cancel(job JobID, now time.Duration) []TaskView
	// Forget removes a job whose tasks are all final.
	Forget(job JobID)
	// Adopt registers a running task that a worker listed in its claim answer.
	Adopt(worker string, running RunningTask, now time.Duration)
	// Started confirms a start that Decide returned.
	Started(task TaskID, attempt int, now time.Duration)
	// NotStarted reverts a start that Decide returned and that did not happen.
	NotStarted(task TaskID, attempt int, result StartResult, now time.Duration)
	// Ended records the end of a task and returns its new state: waiting for
	// another attempt, or final.
	Ended(worker string, end TaskEnd, now time.Duration) TaskState
	// Finalise sets the final state of a task whose end no worker reported.
	Finalise(task TaskID, state TaskState, now time.Duration)
	// Decide returns at most limit decisions. A returned start is charged to its
	// worker until it is reverted or the task ends.
	Decide(now time.Duration, limit int) []Decision
	// Explain describes the state of a job. Errors: ErrNotFound.
	Explain(job JobID, now time.Duration) (Explanation, error)
	// Jobs returns all jobs of the shard.
	Jobs() []JobView
	// Free returns the uncharged and the total capacity of the usable workers.
	Free() (free, total Resources)
}

// PlacerStats are the metrics of a shard at one point in time.
type PlacerStats struct {
	// Waiting counts the waiting tasks by the band of their job.
	Waiting [Bands]int
	// Running counts the tasks on workers, including starts that are not yet
	// confirmed.
	Running int
	// Claimed counts the waiting tasks for which running tasks are being
	// preempted. It is unrelated to ClaimRequest.
	Claimed int
	// Reserved counts the workers that are reserved for a job.
	Reserved int
	// Throttled and Stopping count the tasks that are throttled, and those that
	// were ordered to stop and have not ended.
	Throttled int
	Stopping  int
	// Borrowed counts the tasks that were started beyond a quota.
	Borrowed int
	// Quarantined counts the workers in quarantine or on probation.
	Quarantined int
	// HeldOff is the number of quarantines omitted since the Placer was created,
	// because too many workers would have been out of use.
	HeldOff uint64
}

// StatsPlacer is a Placer that reports metrics.
type StatsPlacer interface {
	// Stats returns the current metrics. Its cost grows with the number of jobs
	// and workers.
	Stats(now time.Duration) PlacerStats
}

// Policy ranks jobs, workers and preemption victims for one kind of work.
type Policy interface {
	// Kind returns the kind of work that the policy applies to.
	Kind() Kind
	// Less orders two waiting jobs of the same band and share; the lesser job
	// starts first.
	Less(a, b QueuedJob) bool
	// Score rates a worker for a task of the job; the highest score wins. ok is
	// false if the task must not run on the worker.
	Score(job QueuedJob, worker WorkerView) (score float64, ok bool)
	// VictimCost rates the preemption of a running task; the task with the lowest
	// cost is preempted first. ok is false if the task must not be preempted.
	VictimCost(victim VictimView) (cost float64, ok bool)
}

// QueuedJob describes a waiting job to a Policy.
type QueuedJob struct {
	Job Job
	// Waiting is the number of waiting tasks, WaitingSince the time on the Clock
	// since which the job waits.
	Waiting      int
	WaitingSince time.Duration
	// ExpectedRunTime is the estimated run time of a task, 0 if unknown.
	ExpectedRunTime time.Duration
}

// WorkerView describes a worker to a Policy.
type WorkerView struct {
	Worker   string
	Rack     string
	Capacity Resources
	Free     Resources
	// SameJob and SameJobInRack count the tasks of the job that already run on the
	// worker and in its rack.
	SameJob       int
	SameJobInRack int
}

// VictimView describes a running task, a candidate for preemption, to a Policy.
type VictimView struct {
	Job     Job
	Task    TaskID
	RanFor  time.Duration
	Charged Resources
}
