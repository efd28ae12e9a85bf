package cairnbay

import "time"

// Outcome reports to the caller whether a request ran.
type Outcome string

// Values of the header OutcomeHeader.
const (
	// OutcomeNotRun guarantees that the request did not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeDone means that the request ran and that the answer is complete.
	OutcomeDone Outcome = "done"
)

// Headers between callers, members and upstreams.
const (
	// OutcomeHeader carries the Outcome of a request.
	OutcomeHeader = "Cairnbay-Outcome"
	// ServiceHeader names the service. Without it, the first segment of the path
	// names the service.
	ServiceHeader = "Cairnbay-Service"
	// TeamHeader names the team of the caller.
	TeamHeader = "Cairnbay-Team"
	// BandHeader is "interactive" or "patient".
	BandHeader = "Cairnbay-Band"
	// DeadlineHeader is how long the caller waits for the answer, in milliseconds.
	DeadlineHeader = "Cairnbay-Deadline-Ms"
	// RequestHeader carries the request ID.
	RequestHeader = "Cairnbay-Request-Id"
	// ForwardedHeader names the data centre that forwarded the request.
	ForwardedHeader = "Cairnbay-Forwarded-By"
	// KeyHeader is the idempotency key.
	KeyHeader = "Idempotency-Key"
	// LeavingHeader on an upstream's answer means that the upstream takes no new
	// work.
	LeavingHeader = "Cairnbay-Leaving"
)

// Promise names a guarantee of the system that the audit checks.
type Promise string

// Promises, in the order in which reports list them.
const (
	// PromiseCapacity: the tasks on a worker never exceed its capacity.
	PromiseCapacity Promise = "capacity_never_exceeded"
	// PromiseOnePlace: a task never runs in two places at once.
	PromiseOnePlace Promise = "task_in_one_place"
	// PromiseWholeReply: a caller gets the complete answer to its own request.
	PromiseWholeReply Promise = "whole_answer_to_own_request"
	// PromiseNotRun: a request answered with OutcomeNotRun did not run.
	PromiseNotRun Promise = "not_run_means_not_run"
	// PromiseAtMostOnce: non-idempotent requests and at-most-once tasks run at
	// most once.
	PromiseAtMostOnce Promise = "non_idempotent_at_most_once"
	// PromiseLeaving: a leaving upstream gets no new requests.
	PromiseLeaving Promise = "leaving_upstream_no_new_work"
	// PromiseGraceful: a planned stop of an instance aborts no request.
	PromiseGraceful Promise = "planned_stop_cuts_nothing"
	// PromiseSettings: no member returns to an older settings version, and an
	// accepted version is in force everywhere in time.
	PromiseSettings Promise = "settings_in_force_never_revert"
)

// AllPromises returns the promises in the order of their declaration.
func AllPromises() []Promise {
	return []Promise{
		PromiseCapacity, PromiseOnePlace, PromiseWholeReply, PromiseNotRun,
		PromiseAtMostOnce, PromiseLeaving, PromiseGraceful, PromiseSettings,
	}
}

// Labels group the observations of the audit; empty fields are omitted.
type Labels struct {
	// Kind is "request" or the Kind of a job.
	Kind string `json:"kind,omitempty"`
	Band string `json:"band,omitempty"`
	Team string `json:"team,omitempty"`
}

// Exception is an event that the audit stores with all its fields; other
// observations are only counted.
type Exception struct {
	UnixMS int64  `json:"unix_ms"`
	Name   string `json:"name"`
	// Promise is the promise that the event concerns, if any; Broken means that
	// the event violates it.
	Promise Promise           `json:"promise,omitempty"`
	Broken  bool              `json:"broken,omitempty"`
	Fields  map[string]string `json:"fields,omitempty"`
}

// Recorder collects observations for the audit. Its methods do not block.
type Recorder interface {
	// ObserveWait adds a waiting time before work started.
	ObserveWait(labels Labels, waited time.Duration)
	// CountOutcome counts a request's outcome, or a task's final state.
	CountOutcome(labels Labels, outcome string)
	// CountRefusal counts a refusal by its reason.
	CountRefusal(labels Labels, reason string)
	// CountPromise adds a number of checks in which the promise held.
	CountPromise(promise Promise, checks uint64)
	// RecordException stores the exception with all its fields.
	RecordException(exception Exception)
}
