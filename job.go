package cairnbay

import (
	"strconv"
	"time"
)

// Kind is the kind of work of a job or branch.
type Kind string

// Kinds of work.
const (
	// KindService is for long-running tasks that are restarted when lost.
	KindService Kind = "service"
	// KindBatch is for independent tasks that run to completion.
	KindBatch Kind = "batch"
	// KindGang is for tasks that must all start together.
	KindGang Kind = "gang"
)

// Band is the priority band of a job; a lower value has precedence.
type Band uint8

// Bands of work on workers.
const (
	// BandUrgent is for work that starts within seconds, by preemption if needed.
	BandUrgent Band = iota
	// BandService is for long-running services.
	BandService
	// BandBatch is for ordinary batch work.
	BandBatch
	// BandBestEffort is for work that runs on the remaining capacity.
	BandBestEffort
	// Bands is the number of bands.
	Bands
)

var bandNames = [Bands]string{"urgent", "service", "batch", "best_effort"}

// String returns the band in snake case.
func (b Band) String() string {
	if b < Bands {
		return bandNames[b]
	}
	return "band_" + strconv.Itoa(int(b))
}

// ParseBand returns the band with the given name; ok is false for an unknown
// name.
func ParseBand(name string) (band Band, ok bool) {
	for i, bandName := range bandNames {
		if bandName == name {
			return Band(i), true
		}
	}
	return 0, false
}

// MarshalText writes the band's name.
func (b Band) MarshalText() ([]byte, error) {
	return []byte(b.String()), nil
}

// UnmarshalText reads a band's name. Errors: ErrInvalid.
func (b *Band) UnmarshalText(text []byte) error {
	band, ok := ParseBand(string(text))
	if !ok {
		return ErrInvalid
	}
	*b = band
	return nil
}

// JobID identifies a job uniquely across all shards.
type JobID string

// ShardID identifies a shard by data centre and class ("tallinn-a/survey"); a
// shard that is split by rack group has a third segment.
type ShardID string

// Job is a declaration of work as accepted by the system.
type Job struct {
	ID JobID `json:"id"`
	// Key is an optional idempotency key: a repeated submission with the same key
	// refers to the first job.
	Key string `json:"key,omitempty"`
	// Branch is the path of the settings branch that governs the job.
	Branch string `json:"branch"`
	Team   string `json:"team"`
	Kind   Kind   `json:"kind"`
	Band   Band   `json:"band"`
	// DataCentre and Class select the shard; with an empty DataCentre the system
	// selects one.
	DataCentre string `json:"data_centre,omitempty"`
	Class      string `json:"class"`
	Tasks      int    `json:"tasks"`
	// Size is reserved in full for each task and is also its limit.
	Size Resources `json:"size"`
	// RunTime is the declared run time of a task. It only affects the order of
	// the queue.
	RunTime time.Duration `json:"run_time,omitempty"`
	// AtMostOnce forbids starting any task twice.
	AtMostOnce bool `json:"at_most_once,omitempty"`
	// Checkpoints means that the tasks can be checkpointed and resumed.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// GangRestart restarts the whole gang when one task fails, instead of
	// ending it.
	GangRestart bool `json:"gang_restart,omitempty"`
	// MaxAttempts limits the starts of one task; 0 uses the limit of the branch.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Command is passed to the worker without interpretation.
	Command string `json:"command,omitempty"`
	// SubmittedUnixMS is the wall-clock time of acceptance, in milliseconds.
	SubmittedUnixMS int64 `json:"submitted_unix_ms,omitempty"`
}

// TaskID identifies one task of a job by its index, from 0.
type TaskID struct {
	Job   JobID `json:"job"`
	Index int   `json:"index"`
}

// String returns "job/index".
func (t TaskID) String() string {
	return string(t.Job) + "/" + strconv.Itoa(t.Index)
}

// TaskState is the state of a task as known to the owner of its shard.
type TaskState string

// States of a task.
const (
	// TaskWaiting means that the task is queued.
	TaskWaiting TaskState = "waiting"
	// TaskStarting means that a start was sent to a worker and is not confirmed.
	TaskStarting TaskState = "starting"
	// TaskRunning means that the worker confirmed the start.
	TaskRunning TaskState = "running"
	// TaskUnaccounted means that the task may be running on an unreachable worker.
	TaskUnaccounted TaskState = "unaccounted"
	// TaskDone means that the task succeeded.
	TaskDone TaskState = "done"
	// TaskFailed means that the task failed and is not retried.
	TaskFailed TaskState = "failed"
	// TaskCancelled means that the task was cancelled.
	TaskCancelled TaskState = "cancelled"
	// TaskUnknown means that the task may have run and must not run again.
	TaskUnknown TaskState = "unknown"
)

// Final reports whether a task stays in this state for good.
func (s TaskState) Final() bool {
	switch s {
	case TaskDone, TaskFailed, TaskCancelled, TaskUnknown:
		return true
	default:
		return false
	}
}
