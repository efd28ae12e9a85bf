// Package commit stores a shard's journal in the platform's store: the state that
// must outlive the shard's owner. Records are batched, and each write is one
// compare-and-swap on the next slot of a ring. A takeover writes a slot as well,
// which fences the previous owner.
package commit

import "cairnbay"

// Record is one entry of the journal. Exactly one field is set.
type Record struct {
	// Accept adds a job.
	Accept *cairnbay.Job `json:"accept,omitempty"`
	// Cancel marks jobs as cancelled.
	Cancel []cairnbay.JobID `json:"cancel,omitempty"`
	// Mark raises a job's high-water mark.
	Mark *Mark `json:"mark,omitempty"`
	// End sets the final state of a task.
	End *End `json:"end,omitempty"`
	// Forget removes finished jobs.
	Forget []cairnbay.JobID `json:"forget,omitempty"`
	// Workers replaces the set of workers that the owner may start tasks on.
	Workers []WorkerRef `json:"workers,omitempty"`
}

// Mark is the high-water mark of an at-most-once job: tasks with an index below
// UpTo may have been started.
type Mark struct {
	Job  cairnbay.JobID `json:"job"`
	UpTo int            `json:"up_to"`
}

// End is the final state of a task.
type End struct {
	Task  cairnbay.TaskID    `json:"task"`
	State cairnbay.TaskState `json:"state"`
}

// WorkerRef is a worker of the shard.
type WorkerRef struct {
	ID       string             `json:"id"`
	Address  string             `json:"address"`
	Rack     string             `json:"rack,omitempty"`
	Capacity cairnbay.Resources `json:"capacity,omitzero"`
}
