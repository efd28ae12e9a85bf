package cairnbay

import (
	"context"
	"time"
)

// Workflow is a job of one or more steps that a caller submitted. It is separate
// from Job: a Placer places the tasks of a Job on Workers, while the tasks of a
// Workflow run on Agents.
type Workflow struct {
	// ID is chosen by the caller; repeated submissions with the same ID are the
	// same job.
	ID string
	// Queue is the queue that accepted the job, with its configuration at that
	// time. Class is the class of the workers that run the job.
	Queue Queue
	Class string
	// Workspace is the name of the workspace that submitted the job, empty for a job
	// of a public queue. It does not change while the job exists.
	Workspace string
	// Payload is passed to every task without interpretation.
	Payload string
	Steps   []WorkflowStep
	// Occurrences is the number of scheduled runs of the steps; 0 for a job that
	// runs once at its acceptance.
	Occurrences int
	// FirstDueUnixMS is when occurrence 0 is due; occurrence k is due k*IntervalMS
	// later.
	FirstDueUnixMS int64
	IntervalMS     int64
	// AcceptedUnixMS is the wall-clock time of acceptance on the owner.
	AcceptedUnixMS int64
}

// WorkflowStep is a set of identical tasks.
type WorkflowStep struct {
	Tasks int
	// FirstIndex is the index of the first task; above 0 only in a portion of a
	// workflow whose tasks are spread over several owners.
	FirstIndex int
	Size       Resources
	// RunTime is the caller's rough estimate for one task.
	RunTime time.Duration
	// After lists the indices of earlier steps that must complete first.
	After []int
	// Gang means that the tasks start together and end together.
	Gang bool
	// SameRack means that the tasks run slower when spread over racks.
	SameRack bool
	// Label must be among a worker's labels; empty for any worker.
	Label string
	// Rack holds the input data; tasks in other racks run slower.
	Rack string
	// MaxPerWorker limits the step's tasks on one worker; 0 for no limit.
	MaxPerWorker int
	// Speculative allows running several copies of a task. The scheduler runs at most
	// two, the second one while the first is slow.
	Speculative bool
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool
	// Checkpoints means that a stopped task can resume from saved progress.
	Checkpoints bool
	// BestEffort means that the tasks use idle processors; Size.MilliCPU is not
	// reserved.
	BestEffort bool
	// Image is the program; tasks of the same image behave alike.
	Image string
	// TailTarget is the upper limit for the tail response time of a serving task,
	// as the worker reports it; 0 for a task that serves no requests.
	TailTarget time.Duration
	// DisruptionBudget is how many tasks of a long-running step the system may
	// make unavailable at once. The scheduler does not use it.
	DisruptionBudget int
}

// Queue is a branch of the operators' configuration that accepts workflows.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	Class  string
	// Priority orders queues: a lower number has precedence and may preempt work
	// of a higher one.
	Priority    int
	MaxAttempts int
	// Stretch and TargetLatency set the objective for the time from submission to
	// completion: Stretch times the longest chain of steps, plus TargetLatency.
	Stretch       float64
	TargetLatency time.Duration
	// Timeout limits the duration of a caller's request.
	Timeout time.Duration
	// Public means that callers need no API key.
	Public bool
	// Advice is set if a policy service selects the workers of each step.
	Advice *AdviceTerms
}

// QueuePath is what callers address a queue by. It identifies the queue in all versions of
// the configuration: its name and its class may change.
type QueuePath struct {
	Host, Prefix string
}

// Path returns the path of the queue.
func (q *Queue) Path() QueuePath {
	return QueuePath{q.Host, q.Prefix}
}

// AdviceTerms describe the policy service. Decide is the fixed duration of a call,
// PerWorker the additional duration for each worker in the call, and Valid the
// lifetime of a ticket.
type AdviceTerms struct {
	Decide    time.Duration
	PerWorker time.Duration
	Valid     time.Duration
}

// CallDuration is how long a call about some workers takes by the terms.
func (t *AdviceTerms) CallDuration(workers int) time.Duration {
	return t.Decide + time.Duration(workers)*t.PerWorker
}

// Routing is one version of the operators' configuration for workflows: the queues
// that accept them and the worker classes.
type Routing struct {
	Version uint64
	Queues  []Queue
	// Classes lists the worker classes.
	Classes []WorkerClass
	// KeysRequired means that a request to a queue that is not public needs the key of
	// one of the Workspaces.
	KeysRequired bool
	Workspaces   []Workspace
}

// ClassOf returns the class of a queue, false if there is no such queue.
func (r *Routing) ClassOf(path QueuePath) (class string, ok bool) {
	for i := range r.Queues {
		if r.Queues[i].Path() == path {
			return r.Queues[i].Class, true
		}
	}
	return "", false
}

// WorkerClass is a pool of workers.
type WorkerClass struct {
	Name string
	// Spare means that the machines of the class are off until they move to
	// another class.
	Spare bool
}

// ServingClasses returns the names of the classes whose workers run tasks.
func (r *Routing) ServingClasses() []string {
	var names []string
	for _, class := range r.Classes {
		if !class.Spare {
			names = append(names, class.Name)
		}
	}
	return names
}

// WorkerEntry is the registration of a worker.
type WorkerEntry struct {
	// ID identifies one run of the worker process; see IncarnationID.
	ID         string
	Class      string
	Address    string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   Resources
	Draining   bool
}

// WorkflowState is the state of a workflow.
type WorkflowState uint8

// States of a workflow.
const (
	// WorkflowUnknown means that the workflow was never accepted or is no longer
	// stored.
	WorkflowUnknown WorkflowState = iota
	// WorkflowPending means that no task has started.
	WorkflowPending
	WorkflowRunning
	// WorkflowCompleted means that every task succeeded and that this is recorded
	// in the store.
	WorkflowCompleted
	// WorkflowFailed means that a task has used up its attempts.
	WorkflowFailed
	WorkflowCancelled
)

// Ended reports whether the state is final.
func (s WorkflowState) Ended() bool {
	return s >= WorkflowCompleted
}

var workflowStates = [...]string{"unknown", "pending", "running", "completed", "failed", "cancelled"}

// String returns the state in snake case.
func (s WorkflowState) String() string {
	if int(s) < len(workflowStates) {
		return workflowStates[s]
	}
	return "invalid"
}

// WorkflowTask identifies one task of a workflow.
type WorkflowTask struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// AgentTarget identifies a worker by ID and address. A worker with another ID at
// the same address rejects the call with ErrReplaced.
type AgentTarget struct {
	Worker  string
	Address string
}

// AgentStart orders the start of a task.
type AgentStart struct {
	Task    WorkflowTask
	Attempt int
	Payload string
	// LeaseEnd is the time on the worker's clock at which the worker ends all its
	// tasks unless the lease is renewed.
	LeaseEnd time.Duration
	// Token is the fencing token of the owner.
	Token      uint64
	Checkpoint string
	// Ticket is the permission of the policy service; empty if none is needed.
	Ticket string
}

// AgentStop orders the end of one attempt. A worker that has not started the
// attempt rejects a later start of it.
type AgentStop struct {
	Task    WorkflowTask
	Attempt int
	Token   uint64
}

// AgentThrottle limits the speed of a task.
type AgentThrottle struct {
	Task    WorkflowTask
	Attempt int
	// Percent is the share of full speed, 0 to 100, that the task may use.
	Percent int
	Token   uint64
}

// AgentHold is the periodic call that renews the worker's lease and requests its
// state.
type AgentHold struct {
	// LeaseEnd is on the worker's clock; 0 does not renew the lease.
	LeaseEnd time.Duration
	Token    uint64
	// Acked acknowledges all ends up to this sequence; the worker may delete
	// them.
	Acked uint64
	// Wait is how long the worker may delay its answer until a task ends.
	Wait time.Duration
}

// AgentTask is a task that runs on a worker.
type AgentTask struct {
	Task       WorkflowTask
	Attempt    int
	Checkpoint string
	// Percent is the completed part of the task, 0 to 100.
	Percent int
	// Load is the tail response time in milliseconds for a task with a TailTarget,
	// and the used processors in thousandths of a core for any other.
	Load int
}

// AgentEndReason is why an attempt ended.
type AgentEndReason string

// Reasons for the end of an attempt. AgentDone, AgentFailed, AgentStopped and
// AgentLapsed correspond to the values of EndReason.
const (
	AgentDone    AgentEndReason = "done"
	AgentFailed  AgentEndReason = "failed"
	AgentStopped AgentEndReason = "stopped"
	AgentLapsed  AgentEndReason = "lapsed"
	// AgentGangEnded means that another task of the gang ended.
	AgentGangEnded AgentEndReason = "broken"
	// AgentGangIncomplete means that the other tasks of the gang did not start in
	// time.
	AgentGangIncomplete AgentEndReason = "alone"
)

// AgentEnd reports an attempt that ended on a worker.
type AgentEnd struct {
	Sequence   uint64
	Task       WorkflowTask
	Attempt    int
	Reason     AgentEndReason
	Checkpoint string
}

// AgentState is a worker's answer to AgentHold.
type AgentState struct {
	// Worker is the ID of the run of the worker process that answered, the ID of the
	// target if the answer does not tell.
	Worker string
	// Clock is the worker's monotonic clock at the time of the answer.
	Clock   time.Duration
	Running []AgentTask
	// Ended lists the oldest ends that are not acknowledged.
	Ended []AgentEnd
	// EndsTruncated is set if Ended may lack later ends. An attempt that such a state does
	// not list may have ended.
	EndsTruncated bool
}

// Agent calls the agent of a worker that runs workflow tasks.
//
// Every method may fail with ErrFenced (the worker has accepted a higher token),
// ErrReplaced (the worker at the address has another ID), ErrOverloaded (no
// effect), ErrUnavailable (not sent) or ErrUnknown (may take effect now or
// later). Start may also fail with ErrStaleAttempt, ErrStartExpired, ErrNoRoom,
// ErrInvalidTicket or ErrInvalid; none of these starts the task, but
// ErrStaleAttempt and ErrNoRoom renew the lease. Returned durations are the
// worker's monotonic clock.
type Agent interface {
	// Start starts an attempt of a task and renews the worker's lease.
	Start(ctx context.Context, target AgentTarget, order AgentStart) (time.Duration, error)
	// Stop ends an attempt of a task.
	Stop(ctx context.Context, target AgentTarget, order AgentStop) (time.Duration, error)
	// Throttle limits the speed of a task.
	Throttle(ctx context.Context, target AgentTarget, order AgentThrottle) (time.Duration, error)
	// Hold renews the worker's lease and returns its state.
	Hold(ctx context.Context, target AgentTarget, order AgentHold) (AgentState, error)
}

// Ticket permits running the tasks of one step on one worker.
type Ticket struct {
	Worker string
	// Ticket is the opaque value that the worker checks at a start.
	Ticket string
}

// Advisor calls the policy service.
type Advisor interface {
	// Advise returns a ticket for each of the workers that may run the step. The
	// service never changes its verdict on a step. Errors: ErrRateLimited,
	// ErrUnavailable, ErrUnknown.
	Advise(ctx context.Context, job string, occurrence, step int, workers []string) ([]Ticket, error)
}

// Expectation is a condition of a Batch: the current revision of the key, 0 if it
// must not exist.
type Expectation struct {
	Key      string
	Revision Revision
}

// Put is one write of a Batch.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Batch is an atomic change of several keys. Nothing is written unless every
// expectation holds.
type Batch struct {
	Expect []Expectation
	Puts   []Put
	Delete []string
}

// BatchStore is a Store with atomic changes of several keys.
type BatchStore interface {
	Store
	// Commit applies the batch. Errors: ErrConflict (nothing was written),
	// ErrLeaseLapsed, ErrUnavailable, ErrRateLimited, ErrUnknown.
	Commit(ctx context.Context, batch Batch) (Revision, error)
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}
