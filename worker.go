package cairnbay

import (
	"cmp"
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Epoch is the fencing token of a shard's owner. Epochs are ordered by
// generation (stored in the shard's journal), then bump (incremented without
// the store), then instance.
type Epoch struct {
	Generation uint64 `json:"generation"`
	Bump       uint64 `json:"bump"`
	Instance   string `json:"instance"`
}

// Compare returns -1, 0 or 1 if e is below, equal to or above other.
func (e Epoch) Compare(other Epoch) int {
	return cmp.Or(
		cmp.Compare(e.Generation, other.Generation),
		cmp.Compare(e.Bump, other.Bump),
		cmp.Compare(e.Instance, other.Instance),
	)
}

// String returns "generation.bump@instance".
func (e Epoch) String() string {
	return fmt.Sprintf("%d.%d@%s", e.Generation, e.Bump, e.Instance)
}

// TaskStart is a task to be started on a worker. Here and in the other messages
// to workers, JSON encodes durations as integers in nanoseconds.
type TaskStart struct {
	Task TaskID `json:"task"`
	// Attempt numbers the starts of the task; a later start has a higher number.
	// A start is idempotent by task and attempt: a worker answers a repeated
	// start with its first answer, even if that was a refusal.
	Attempt     int       `json:"attempt"`
	Size        Resources `json:"size"`
	AtMostOnce  bool      `json:"at_most_once,omitempty"`
	Checkpoints bool      `json:"checkpoints,omitempty"`
	Command     string    `json:"command,omitempty"`
	// Lease is how long the task keeps running without a lease renewal before the
	// worker stops it.
	Lease time.Duration `json:"lease"`
}

// RunningTask is a task that runs on a worker.
type RunningTask struct {
	Task      TaskID    `json:"task"`
	Attempt   int       `json:"attempt"`
	Size      Resources `json:"size"`
	Throttled bool      `json:"throttled,omitempty"`
	// Usage is measured by the worker and may be outdated.
	Usage Resources `json:"usage,omitzero"`
}

// DigestRunning returns a digest of running tasks and their attempts. It does not
// depend on their order; the digest of no tasks is 0.
func DigestRunning(tasks []RunningTask) uint64 {
	digest := uint64(0)
	for _, running := range tasks {
		digest ^= xxhash.Sum64String(running.Task.String() + "#" + strconv.Itoa(running.Attempt))
	}
	return digest
}

// EndReason is why a task ended on a worker.
type EndReason string

// End reasons.
const (
	// EndDone means that the task completed.
	EndDone EndReason = "done"
	// EndFailed means that the task itself failed.
	EndFailed EndReason = "failed"
	// EndStopped means that a stop call ended the task.
	EndStopped EndReason = "stopped"
	// EndCheckpointed means that a checkpoint call ended the task, which can
	// resume.
	EndCheckpointed EndReason = "checkpointed"
	// EndLapsed means that the worker ended the task because its lease expired.
	EndLapsed EndReason = "lapsed"
)

// TaskEnd reports a task that ended on a worker.
type TaskEnd struct {
	// Sequence numbers the ends on a worker; see RenewRequest.Acked.
	Sequence uint64        `json:"sequence"`
	Task     TaskID        `json:"task"`
	Attempt  int           `json:"attempt"`
	Reason   EndReason     `json:"reason"`
	RanFor   time.Duration `json:"ran_for"`
}

// ClaimRequest claims a worker under an epoch.
type ClaimRequest struct {
	Shard ShardID `json:"shard"`
	Epoch Epoch   `json:"epoch"`
}

// ClaimAnswer is the answer to a claim. For a refused claim, Accepted is the
// higher epoch and the error is ErrFenced.
type ClaimAnswer struct {
	Accepted Epoch         `json:"accepted"`
	Capacity Resources     `json:"capacity"`
	Running  []RunningTask `json:"running,omitempty"`
	// Ended lists the unacknowledged ends, oldest first.
	Ended []TaskEnd `json:"ended,omitempty"`
	// Former is the epoch accepted before this claim. It is zero if there was
	// none; the worker then has no record of earlier tasks.
	Former Epoch `json:"former,omitzero"`
	// Now is the worker's monotonic clock at the time of the answer.
	Now time.Duration `json:"now,omitempty"`
}

// StartRequest starts tasks under an epoch.
type StartRequest struct {
	Epoch Epoch       `json:"epoch"`
	Tasks []TaskStart `json:"tasks"`
	// NotAfter is the latest time, on the worker's clock, at which the call may
	// take effect; a call that arrives later fails with ErrDeadline. 0 sets no
	// limit.
	NotAfter time.Duration `json:"not_after,omitempty"`
}

// StartResult is the result of starting one task of a StartRequest.
type StartResult string

// Start results.
const (
	// StartAccepted means that this attempt of the task is running or has run.
	StartAccepted StartResult = "accepted"
	// StartNoRoom means that the task did not start because the free resources of
	// the worker are too small.
	StartNoRoom StartResult = "no_room"
	// StartRefused means that the task did not start for a reason other than
	// capacity, for example because another attempt of it is running.
	StartRefused StartResult = "refused"
)

// StartAnswer has one result per task, in the order of the request.
type StartAnswer struct {
	Accepted Epoch         `json:"accepted"`
	Results  []StartResult `json:"results,omitempty"`
}

// RenewRequest renews the leases of the tasks of one worker in one call.
type RenewRequest struct {
	Epoch Epoch `json:"epoch"`
	// Tasks are the tasks whose leases are renewed. The leases of other running
	// tasks expire.
	Tasks []TaskID `json:"tasks,omitempty"`
	// All renews every task that the worker runs; Tasks is then empty.
	All bool `json:"all,omitempty"`
	// Acked acknowledges all ends up to this sequence; the worker may delete
	// them.
	Acked uint64 `json:"acked"`
	// NotAfter is as in StartRequest.
	NotAfter time.Duration `json:"not_after,omitempty"`
	// Seen omits all ends up to this sequence from the answer.
	Seen uint64 `json:"seen,omitempty"`
	// Wait is how long the worker may delay its answer until it has an end above
	// Seen or accepts another epoch. Leases are renewed when the call arrives.
	Wait time.Duration `json:"wait,omitempty"`
	// Brief requests the digest of the running tasks instead of their list.
	Brief bool `json:"brief,omitempty"`
}

// RenewAnswer reports the worker's state.
type RenewAnswer struct {
	Accepted Epoch         `json:"accepted"`
	Running  []RunningTask `json:"running,omitempty"`
	Ended    []TaskEnd     `json:"ended,omitempty"`
	// Brief means that Running is omitted and that Digest is the digest of the
	// running tasks; see DigestRunning.
	Brief  bool   `json:"brief,omitempty"`
	Digest uint64 `json:"digest,omitempty"`
	// Now is the worker's monotonic clock at the time of the answer.
	Now time.Duration `json:"now,omitempty"`
}

// StopMode selects how a task is ended or slowed down.
type StopMode string

// Modes of a StopRequest.
const (
	// StopNow ends the task.
	StopNow StopMode = "stop"
	// StopCheckpoint saves the task's state and ends it.
	StopCheckpoint StopMode = "checkpoint"
	// StopThrottle reduces the processor time of the task. Its processors become
	// free; its memory and accelerators stay reserved.
	StopThrottle StopMode = "throttle"
	// StopUnthrottle reverts StopThrottle.
	StopUnthrottle StopMode = "unthrottle"
)

// StopRequest stops, checkpoints, throttles or unthrottles tasks on a worker.
type StopRequest struct {
	Epoch Epoch    `json:"epoch"`
	Mode  StopMode `json:"mode"`
	Tasks []TaskID `json:"tasks"`
}

// StopAnswer reports all unacknowledged ends, including those caused by the stop.
type StopAnswer struct {
	Accepted Epoch     `json:"accepted"`
	Ended    []TaskEnd `json:"ended,omitempty"`
}

// Worker calls a worker's control address (host:port).
//
// Every method may fail with ErrFenced (the worker has accepted a different
// epoch, which is in the answer), ErrUnavailable (no effect) or ErrUnknown (may
// have taken effect). A claim needs the accepted epoch or a higher one; the other
// calls need the accepted epoch.
type Worker interface {
	// Claim makes the caller's epoch the accepted one and returns the worker's
	// state.
	Claim(ctx context.Context, address string, request ClaimRequest) (ClaimAnswer, error)
	// Start starts tasks. Errors: also ErrDeadline.
	Start(ctx context.Context, address string, request StartRequest) (StartAnswer, error)
	// Renew renews the leases of tasks and returns the worker's state. Errors: also
	// ErrDeadline.
	Renew(ctx context.Context, address string, request RenewRequest) (RenewAnswer, error)
	// Stop stops, checkpoints, throttles or unthrottles tasks.
	Stop(ctx context.Context, address string, request StopRequest) (StopAnswer, error)
}
