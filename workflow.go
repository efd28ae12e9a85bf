package cairnbay

import (
	"context"
	"time"
)

// Workflow is a job of one or more steps, as submitted by a caller.
type Workflow struct {
	// ID is chosen by the caller and makes a repeated submission the same job.
	ID string
	// Queue is the queue that took it, as it was then. Class names the workers
	// that run it.
	Queue Queue
	Class string
	// Payload is opaque and handed to every task.
	Payload string
	Steps   []WorkflowStep
	// Occurrences is how often the steps run by time; 0 for a job that runs once
	// at its acceptance. Occurrence k is due at FirstDueUnixMS + k*IntervalMS.
	Occurrences    int
	FirstDueUnixMS int64
	IntervalMS     int64
	// AcceptedUnixMS is the wall clock of the owner at acceptance.
	AcceptedUnixMS int64
}

// WorkflowStep is a set of like tasks.
type WorkflowStep struct {
	Tasks int
	Size  Resources
	// RunTime is the caller's rough estimate for one task.
	RunTime time.Duration
	// After lists earlier steps, by index, that must be done first.
	After []int
	// Gang tasks start together and end together.
	Gang bool
	// SameRack tasks run slower when spread over racks.
	SameRack bool
	// Label must be among a worker's labels; empty for any worker.
	Label string
	// Rack is where the input lies; other racks run the step slower.
	Rack string
	// MaxPerWorker bounds the step's tasks on one worker; 0 for no bound.
	MaxPerWorker int
	// Speculative tasks may run in several copies.
	Speculative bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool
	// Checkpoints says that a stopped task can resume from saved progress.
	Checkpoints bool
	// BestEffort tasks take idle processors; Size.MilliCPU is not reserved.
	BestEffort bool
	// Image names the program; tasks of one image behave alike.
	Image string
	// TailTarget is the tail response time that a serving task must stay below;
	// 0 for a task that serves nobody.
	TailTarget time.Duration
	// DisruptionBudget is how many tasks of a long-running step may be
	// unavailable at once by the system's own actions.
	DisruptionBudget int
}

// Queue is one branch of the operators' configuration that takes workflows.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	Class  string
	// Priority orders queues; 0 goes first and may preempt others.
	Priority    int
	MaxAttempts int
	// Stretch times the longest chain of work, plus TargetLatency, is the
	// objective for the time from submission to completion.
	Stretch       float64
	TargetLatency time.Duration
	// Timeout bounds how long a caller's request may take.
	Timeout time.Duration
	// Advice is set where a policy service picks the workers of each step.
	Advice *AdviceTerms
}

// AdviceTerms say what a call to the policy service costs and how long its
// tickets last.
type AdviceTerms struct {
	Decide    time.Duration
	PerWorker time.Duration
	Valid     time.Duration
}

// Routing is one version of the operators' configuration.
type Routing struct {
	Version uint64
	Queues  []Queue
	// Classes lists the worker classes.
	Classes []WorkerClass
}

// WorkerClass is a pool of workers.
type WorkerClass struct {
	Name string
	// Spare says that the class's machines are off until they move to another.
	Spare bool
}

// ServingClasses names the classes whose workers run tasks.
func (r *Routing) ServingClasses() []string {
	var names []string
	for _, class := range r.Classes {
		if !class.Spare {
			names = append(names, class.Name)
		}
	}
	return names
}

// WorkerEntry is what a worker has registered about itself.
type WorkerEntry struct {
	// ID names one life of the worker.
	ID         string
	Class      string
	Address    string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   Resources
	Draining   bool
}

// WorkflowState is where a workflow stands.
type WorkflowState uint8

// States of a workflow. WorkflowUnknown is for one that was never accepted or
// is no longer kept.
const (
	WorkflowUnknown WorkflowState = iota
	// WorkflowPending has started no task.
	WorkflowPending
	WorkflowRunning
	// WorkflowCompleted says that every task has ended done, and that this is in
	// the store.
	WorkflowCompleted
	// WorkflowFailed says that a task used up its attempts.
	WorkflowFailed
	WorkflowCancelled
)

var workflowStates = [...]string{"unknown", "pending", "running", "completed", "failed", "cancelled"}

// String returns the state in snake case.
func (s WorkflowState) String() string {
	if int(s) < len(workflowStates) {
		return workflowStates[s]
	}
	return "invalid"
}

// WorkflowTask names one task of a workflow.
type WorkflowTask struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// AgentTarget addresses one life of a worker; another life at the same address
// refuses the call with ErrReplaced.
type AgentTarget struct {
	Worker  string
	Address string
}

// AgentStart orders the start of a task.
type AgentStart struct {
	Task    WorkflowTask
	Attempt int
	Payload string
	// LeaseEnd is on the worker's clock and covers all that the worker runs.
	LeaseEnd   time.Duration
	Token      uint64
	Checkpoint string
	// Ticket is the policy service's permission; empty where none is needed.
	Ticket string
}

// AgentStop orders the end of one attempt. A worker that has not begun the
// attempt refuses it from then on.
type AgentStop struct {
	Task    WorkflowTask
	Attempt int
	Token   uint64
}

// AgentThrottle sets the share of its speed that a task may work at.
type AgentThrottle struct {
	Task    WorkflowTask
	Attempt int
	Percent int
	Token   uint64
}

// AgentHold renews the worker's lease and asks for its state.
type AgentHold struct {
	// LeaseEnd is on the worker's clock; 0 does not renew.
	LeaseEnd time.Duration
	Token    uint64
	// Acked lets the worker forget ends with a sequence up to it.
	Acked uint64
	// Wait lets the worker answer late, once a task ends.
	Wait time.Duration
}

// AgentTask is a task that a worker has.
type AgentTask struct {
	Task       WorkflowTask
	Attempt    int
	Checkpoint string
	// Percent is the progress of the task.
	Percent int
	// Load is the tail response time in milliseconds of a serving task, else the
	// processors in use in thousandths of a core.
	Load int
}

// AgentEndReason says how an attempt ended.
type AgentEndReason string

// Reasons of an attempt's end. EndDone, EndFailed, EndStopped and EndLapsed of
// EndReason have the same meaning.
const (
	AgentDone    AgentEndReason = "done"
	AgentFailed  AgentEndReason = "failed"
	AgentStopped AgentEndReason = "stopped"
	AgentLapsed  AgentEndReason = "lapsed"
	// AgentBroken says that another member of the gang ended.
	AgentBroken AgentEndReason = "broken"
	// AgentAlone says that the gang's other members did not come in time.
	AgentAlone AgentEndReason = "alone"
)

// AgentEnd is an attempt that ended on a worker.
type AgentEnd struct {
	Sequence   uint64
	Task       WorkflowTask
	Attempt    int
	Reason     AgentEndReason
	Checkpoint string
}

// AgentState is a worker's answer to AgentHold.
type AgentState struct {
	// Clock is the worker's monotonic clock at the answer.
	Clock   time.Duration
	Running []AgentTask
	Ended   []AgentEnd
}

// Agent calls the agent of a worker that runs workflow tasks.
//
// Every method may fail with ErrFenced (a higher token was seen), ErrReplaced
// (another life answers), ErrOverloaded (refused, nothing done), ErrUnavailable
// (not sent) or ErrUnknown (may take effect, also later). Start may also fail
// with ErrStaleAttempt, ErrStartExpired, ErrNoRoom, ErrInvalidTicket or
// ErrInvalid; none of these starts the task, but ErrStaleAttempt and ErrNoRoom
// renew the lease. Answers carry the worker's clock.
type Agent interface {
	Start(ctx context.Context, target AgentTarget, order AgentStart) (time.Duration, error)
	Stop(ctx context.Context, target AgentTarget, order AgentStop) (time.Duration, error)
	Throttle(ctx context.Context, target AgentTarget, order AgentThrottle) (time.Duration, error)
	Hold(ctx context.Context, target AgentTarget, order AgentHold) (AgentState, error)
}

// Ticket permits the tasks of one step on one worker.
type Ticket struct {
	Worker string
	Ticket string
}

// Advisor asks the policy service which of the workers may run a step; the
// verdict on a step never changes. Errors: ErrRateLimited, ErrUnavailable,
// ErrUnknown.
type Advisor interface {
	Advise(ctx context.Context, job string, occurrence, step int, workers []string) ([]Ticket, error)
}

// Expectation is a condition of a Batch: the key's revision, 0 for absent.
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

// Batch is an all-or-nothing change of the store.
type Batch struct {
	Expect []Expectation
	Puts   []Put
	Delete []string
}

// BatchStore is a Store that commits several keys at once.
type BatchStore interface {
	Store
	// Commit applies the batch. Errors: ErrConflict with none of it done,
	// ErrLeaseLapsed, ErrUnavailable, ErrRateLimited, ErrUnknown.
	Commit(ctx context.Context, batch Batch) (Revision, error)
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}
