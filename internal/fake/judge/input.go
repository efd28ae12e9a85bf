package judge

import (
	"time"

	"cairnbay"
)

// Span is a stretch of time, in milliseconds of one common clock. UntilMS 0
// means that it has not ended.
type Span struct {
	FromMS  int64 `json:"from_ms"`
	UntilMS int64 `json:"until_ms,omitempty"`
}

// openEnd stands for the end of a span that has not ended.
const openEnd = int64(1) << 62

func (s Span) end() int64 {
	if s.UntilMS == 0 {
		return openEnd
	}
	return s.UntilMS
}

// overlaps says whether both have more than a moment in common.
func (s Span) overlaps(o Span) bool {
	return s.FromMS < o.end() && o.FromMS < s.end()
}

// Worker is a stand-in worker's own record.
type Worker struct {
	ID       string             `json:"id"`
	Capacity cairnbay.Resources `json:"capacity"`
	Runs     []Run              `json:"runs,omitempty"`
}

// Run is one run of a task on a worker.
type Run struct {
	Span
	Task       cairnbay.TaskID    `json:"task"`
	Attempt    int                `json:"attempt"`
	Size       cairnbay.Resources `json:"size"`
	AtMostOnce bool               `json:"at_most_once,omitempty"`
	// Throttled lists when the run held no processors.
	Throttled []Span `json:"throttled,omitempty"`
}

// Runner is a stand-in upstream's own record.
type Runner struct {
	ID string `json:"id"`
	// LeavingMS is when it was first said to be leaving, 0 for never.
	LeavingMS int64    `json:"leaving_ms,omitempty"`
	Requests  []Served `json:"requests,omitempty"`
}

// Served is one request as a runner saw it.
type Served struct {
	Span
	RequestID  string `json:"request_id"`
	Key        string `json:"key,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"`
	// Refused says that the runner refused it and did no work.
	Refused bool `json:"refused,omitempty"`
	// Whole says that the runner sent its answer to the end.
	Whole bool `json:"whole,omitempty"`
	// Answer identifies the answer's content (a digest).
	Answer string `json:"answer,omitempty"`
}

// Call is one request as its caller saw it.
type Call struct {
	Span
	RequestID string `json:"request_id"`
	Key       string `json:"key,omitempty"`
	// Via is the entry instance that answered.
	Via     string           `json:"via,omitempty"`
	Outcome cairnbay.Outcome `json:"outcome,omitempty"`
	// Cut says that the connection ended before the whole answer came, so that
	// the caller knows that it has no whole answer.
	Cut bool `json:"cut,omitempty"`
	// Answer identifies the content received.
	Answer string `json:"answer,omitempty"`
}

// Stop is a planned stop of an entry instance or a runner.
type Stop struct {
	Span
	Instance string `json:"instance"`
}

// Seen is a settings version as it came into force on a member.
type Seen struct {
	Member  string `json:"member"`
	Version uint64 `json:"version"`
	AtMS    int64  `json:"at_ms"`
}

// Accepted is a settings version as the operator's apply was confirmed.
type Accepted struct {
	Version uint64 `json:"version"`
	AtMS    int64  `json:"at_ms"`
}

// MemberLife is when a member lived, and when it was cut off from the platform
// and from all other members, so that no version could reach it.
type MemberLife struct {
	Span
	Member string `json:"member"`
	CutOff []Span `json:"cut_off,omitempty"`
}

// Input is everything that the stand-ins and the callers recorded, on one clock.
type Input struct {
	Workers  []Worker     `json:"workers,omitempty"`
	Runners  []Runner     `json:"runners,omitempty"`
	Calls    []Call       `json:"calls,omitempty"`
	Stops    []Stop       `json:"stops,omitempty"`
	Accepted []Accepted   `json:"accepted,omitempty"`
	Seen     []Seen       `json:"seen,omitempty"`
	Members  []MemberLife `json:"members,omitempty"`
	// EndMS is when the records were taken.
	EndMS int64 `json:"end_ms"`
	// LeavingGrace is how long a leaving runner may still get new work; zero
	// takes DefaultLeavingGrace.
	LeavingGrace time.Duration `json:"leaving_grace,omitempty"`
	// SettingsWithin is how soon a version is in force everywhere; zero takes
	// DefaultSettingsWithin.
	SettingsWithin time.Duration `json:"settings_within,omitempty"`
}

// Limits of the promises that name a time.
const (
	DefaultLeavingGrace   = 5 * time.Second
	DefaultSettingsWithin = 12 * time.Second
)

func (i Input) leavingGraceMS() int64 {
	if i.LeavingGrace == 0 {
		return DefaultLeavingGrace.Milliseconds()
	}
	return i.LeavingGrace.Milliseconds()
}

func (i Input) settingsWithinMS() int64 {
	if i.SettingsWithin == 0 {
		return DefaultSettingsWithin.Milliseconds()
	}
	return i.SettingsWithin.Milliseconds()
}
