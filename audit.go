package cairnbay

import "time"

// Outcome is what the system says of a request.
type Outcome string

// Outcomes, as sent in the header OutcomeHeader.
const (
	// OutcomeNotRun says that the request certainly did not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown says that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeDone says that the request ran and this is its whole answer.
	OutcomeDone Outcome = "done"
)

// Headers between callers, members and upstreams.
const (
	// OutcomeHeader carries the Outcome of a request.
	OutcomeHeader = "Cairnbay-Outcome"
	// ServiceHeader names the service; the first part of the path does where it
	// is missing.
	ServiceHeader = "Cairnbay-Service"
	// TeamHeader names the team of the caller.
	TeamHeader = "Cairnbay-Team"
	// BandHeader is "interactive" or "patient".
	BandHeader = "Cairnbay-Band"
	// DeadlineHeader is the caller's patience in milliseconds.
	DeadlineHeader = "Cairnbay-Deadline-Ms"
	// RequestHeader carries the request ID.
	RequestHeader = "Cairnbay-Request-Id"
	// ForwardedHeader names the data centre that forwarded the request.
	ForwardedHeader = "Cairnbay-Forwarded-By"
	// KeyHeader is the idempotency key.
	KeyHeader = "Idempotency-Key"
	// LeavingHeader on an upstream's answer says that it takes no new work.
	LeavingHeader = "Cairnbay-Leaving"
)

// Promise is one of the brief's lasting promises.
type Promise string

// Promises, in the order of the brief.
const (
	PromiseCapacity   Promise = "capacity_never_exceeded"
	PromiseOnePlace   Promise = "task_in_one_place"
	PromiseWholeReply Promise = "whole_answer_to_own_request"
	PromiseNotRun     Promise = "not_run_means_not_run"
	PromiseAtMostOnce Promise = "non_idempotent_at_most_once"
	PromiseLeaving    Promise = "leaving_upstream_no_new_work"
	PromiseGraceful   Promise = "planned_stop_cuts_nothing"
	PromiseSettings   Promise = "settings_in_force_never_revert"
)

// AllPromises lists them in order.
func AllPromises() []Promise {
	return []Promise{
		PromiseCapacity, PromiseOnePlace, PromiseWholeReply, PromiseNotRun,
		PromiseAtMostOnce, PromiseLeaving, PromiseGraceful, PromiseSettings,
	}
}

// Labels say whom an observation is about; empty parts are left out.
type Labels struct {
	Kind string `json:"kind,omitempty"`
	Band string `json:"band,omitempty"`
	Team string `json:"team,omitempty"`
}

// Exception is one thing worth keeping in full.
type Exception struct {
	UnixMS  int64             `json:"unix_ms"`
	Name    string            `json:"name"`
	Promise Promise           `json:"promise,omitempty"`
	Broken  bool              `json:"broken,omitempty"`
	Fields  map[string]string `json:"fields,omitempty"`
}

// Recorder takes what the audit keeps. Its methods do not block.
type Recorder interface {
	// ObserveWait adds a waiting time before work started.
	ObserveWait(labels Labels, waited time.Duration)
	// CountOutcome counts a request's outcome, or a task's final state.
	CountOutcome(labels Labels, outcome string)
	// CountRefusal counts a refusal by its reason.
	CountRefusal(labels Labels, reason string)
	// CountPromise counts a check of a promise that held.
	CountPromise(promise Promise, checks uint64)
	// RecordException keeps an exception in full.
	RecordException(exception Exception)
}
