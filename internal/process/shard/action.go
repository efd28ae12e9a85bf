package shard

import (
	"time"

	"cairnbay"
	"cairnbay/internal/process/commit"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	// ActClaim, ActStart, ActRenew and ActStop are calls to a worker.
	ActClaim ActionKind = iota + 1
	ActStart
	ActRenew
	ActStop
	// ActJournal appends records to the journal.
	ActJournal
)

// Action is a call or a journal write for the driver to perform. The driver
// reports the result of a call with the Handle method of its kind, and that of
// a write with Core.ConfirmRecords.
type Action struct {
	Kind    ActionKind
	Worker  string
	Address string
	// DecidedAt is when the action was decided; a call is never sent earlier.
	DecidedAt time.Duration

	Claim cairnbay.ClaimRequest
	Start cairnbay.StartRequest
	Renew cairnbay.RenewRequest
	Stop  cairnbay.StopRequest

	// Records are appended to the journal; Core.ConfirmRecords takes their Token.
	Records []commit.Record
	Urgent  bool
	Token   uint64
}

// Phase is the progress of an owner in taking over its shard.
type Phase uint8

// Phases of an owner.
const (
	// PhaseClaiming has no quorum of the shard's workers yet.
	PhaseClaiming Phase = iota
	// PhasePartial has a quorum; tasks from before the takeover may still run on
	// unreached workers, so only new jobs are placed.
	PhasePartial
	// PhaseActive has located every task from before the takeover.
	PhaseActive
	// PhaseFenced has seen a higher epoch and decides nothing any more.
	PhaseFenced
)

// String returns the phase in snake case.
func (p Phase) String() string {
	switch p {
	case PhaseClaiming:
		return "claiming"
	case PhasePartial:
		return "partial"
	case PhaseActive:
		return "active"
	default:
		return "fenced"
	}
}
