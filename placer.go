package cairnbay

import "time"

// WorkerState is a worker as the placing code sees it.
type WorkerState struct {
	ID       string
	Address  string
	Rack     string
	Capacity Resources
	// Usable says that new tasks may be placed there.
	Usable bool
	// UnusableReason names what makes it unusable ("leaving", "unreachable", "drained").
	UnusableReason string
}

// DecisionKind says what a Decision asks for.
type DecisionKind uint8

// Kinds of decisions.
const (
	// DecideStart starts a task on a worker.
	DecideStart DecisionKind = iota + 1
	// DecideThrottle frees the processors of a patient task.
	DecideThrottle
	// DecideUnthrottle gives them back.
	DecideUnthrottle
	// DecideCheckpoint ends a patient task that can resume.
	DecideCheckpoint
	// DecideStop ends a task that starts again from its beginning.
	DecideStop
)

// Decision is one thing that the owner has to carry out.
type Decision struct {
	Kind    DecisionKind
	Task    TaskID
	Attempt int
	Worker  string
	// Waited is how long the task had been waiting, for starts.
	Waited time.Duration
	// Reason is shown by explain and kept in the audit.
	Reason string
}

// Progress is what the journal knows of a job when it is taken up.
type Progress struct {
	// Final holds the state of tasks that have ended, by index.
	Final map[int]TaskState
	// Attempts holds the starts made so far, by index, where above zero.
	Attempts map[int]int
}

// TaskView is one task as shown to operators.
type TaskView struct {
	Task    TaskID    `json:"task"`
	State   TaskState `json:"state"`
	Attempt int       `json:"attempt,omitempty"`
	Worker  string    `json:"worker,omitempty"`
}

// Explanation tells why a job stands where it stands.
type Explanation struct {
	Job   JobID   `json:"job"`
	Shard ShardID `json:"shard"`
	// Summary is one sentence.
	Summary string `json:"summary"`
	// Constraint names what holds back the next task ("quota", "capacity",
	// "rank", "gang", "mark", "never_fits", "store"), empty if none does.
	Constraint string `json:"constraint,omitempty"`
	// Setting is the path of the setting that says so, where one does.
	Setting string `json:"setting,omitempty"`
	// Ahead is how many tasks stand before it in the queue.
	Ahead int `json:"ahead"`
	// Details are further sentences, one a fact.
	Details []string   `json:"details,omitempty"`
	Tasks   []TaskView `json:"tasks,omitempty"`
}

// JobView is a job as shown in lists.
type JobView struct {
	Job    Job               `json:"job"`
	Shard  ShardID           `json:"shard"`
	Counts map[TaskState]int `json:"counts"`
	Done   bool              `json:"done"`
}

// Placer holds one shard's workers and jobs in memory and decides what runs
// where. It is pure: it makes no calls, starts no goroutine and reads no
// clock. It is used under its owner's lock.
type Placer interface {
	// SetSettings takes a new settings version.
	SetSettings(settings *Settings, now time.Duration)
	// SetWorker adds a worker or changes its state.
	SetWorker(worker WorkerState, now time.Duration)
	// DropWorker removes a worker that is certainly gone. Its tasks wait
	// again, or end as TaskUnknown where they may not run twice; the latter
	// are returned.
	DropWorker(worker string, now time.Duration) []TaskID
	// Enqueue takes up a job. Errors: ErrNeverFits with the constraint (the
	// job is not taken), ErrInvalid.
	Enqueue(job Job, progress Progress, now time.Duration) error
	// Cancel ends the job's waiting tasks and returns those that are on a
	// worker and must be stopped.
	Cancel(job JobID, now time.Duration) []TaskView
	// Forget drops a job whose tasks are all final.
	Forget(job JobID)
	// Adopt takes a task that a worker's claim answer shows as running.
	Adopt(worker string, running RunningTask, now time.Duration)
	// Started confirms a decided start.
	Started(task TaskID, attempt int, now time.Duration)
	// NotStarted takes back a decided start that certainly did not happen.
	NotStarted(task TaskID, attempt int, result StartResult, now time.Duration)
	// Ended takes the end of a task and returns its new state: waiting for
	// another attempt, or final.
	Ended(worker string, end TaskEnd, now time.Duration) TaskState
	// Finalise makes a task final without an end from a worker.
	Finalise(task TaskID, state TaskState, now time.Duration)
	// Decide returns at most limit decisions. A start that is returned is
	// charged to its worker until it is confirmed, taken back or ended.
	Decide(now time.Duration, limit int) []Decision
	// Explain tells why a job stands where it stands. Errors: ErrNotFound.
	Explain(job JobID, now time.Duration) (Explanation, error)
	// Jobs lists the jobs held.
	Jobs() []JobView
	// Free sums the capacity not charged on usable workers.
	Free() (free, total Resources)
}

// PlacerStats are a shard's figures at one moment.
type PlacerStats struct {
	// Waiting counts the waiting tasks by the band of their job.
	Waiting [Bands]int
	// Running counts the tasks on workers, or on their way there.
	Running int
	// Claimed counts the waiting tasks for which others make room.
	Claimed int
	// Reserved counts the workers that are kept for a job.
	Reserved  int
	Throttled int
	Stopping  int
	// Borrowed counts the tasks that were started beyond a quota.
	Borrowed int
	// Quarantined counts the workers in quarantine or on probation.
	Quarantined int
	// HeldOff counts the quarantines, ever, that would have taken too many
	// workers out.
	HeldOff uint64
}

// StatsPlacer is a Placer that shows its figures.
type StatsPlacer interface {
	// Stats returns the figures of now; it costs a look at every job and worker.
	Stats(now time.Duration) PlacerStats
}

// Policy decides for one kind of work.
type Policy interface {
	// Kind is the kind of work that it decides for.
	Kind() Kind
	// Less orders two waiting jobs of the same band and share; the lower goes
	// first.
	Less(a, b QueuedJob) bool
	// Score rates a worker for a task of the job; the highest wins. ok is
	// false where the task must not go there.
	Score(job QueuedJob, worker WorkerView) (score float64, ok bool)
	// VictimCost rates a running task as a victim; the lowest is held back
	// first. ok is false for one that must not be touched.
	VictimCost(victim VictimView) (cost float64, ok bool)
}

// QueuedJob is a waiting job as a Policy sees it.
type QueuedJob struct {
	Job          Job
	Waiting      int
	WaitingSince time.Duration
	// ExpectedRunTime is the learnt run time of a task, 0 when nothing is known.
	ExpectedRunTime time.Duration
}

// WorkerView is a worker as a Policy sees it.
type WorkerView struct {
	Worker   string
	Rack     string
	Capacity Resources
	Free     Resources
	// SameJob and SameJobInRack count the job's tasks there already.
	SameJob       int
	SameJobInRack int
}

// VictimView is a running task as a Policy sees it.
type VictimView struct {
	Job     Job
	Task    TaskID
	RanFor  time.Duration
	Charged Resources
}
