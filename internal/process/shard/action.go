package shard

import (
	"time"

	"cairnbay"
	"cairnbay/internal/process/commit"
)

// ActionKind says what an Action asks for.
type ActionKind uint8

// Kinds of actions.
const (
	// ActClaim, ActStart, ActRenew and ActStop are calls to a worker.
	ActClaim ActionKind = iota + 1
	ActStart
	ActRenew
	ActStop
	// ActJournal appends records.
	ActJournal
)

// Action is one thing that the driver has to carry out. It gives the answer
// back with the method named for the kind.
type Action struct {
	Kind    ActionKind
	Worker  string
	Address string
	// DecidedAt is when the action was decided; a call is never sent before.
	DecidedAt time.Duration

	Claim cairnbay.ClaimRequest
	Start cairnbay.StartRequest
	Renew cairnbay.RenewRequest
	Stop  cairnbay.StopRequest

	// Records are appended to the journal; Token names them in
	// Core.ConfirmRecords.
	Records []commit.Record
	Urgent  bool
	Token   uint64
}

// Phase says how far the owner is.
type Phase uint8

// Phases of an owner.
const (
	// PhaseClaiming has no quorum of the shard's workers yet.
	PhaseClaiming Phase = iota
	// PhasePartial has a quorum; tasks from before the takeover may still run
	// on workers that it has not reached, so only new jobs are placed.
	PhasePartial
	// PhaseActive knows where every task is.
	PhaseActive
	// PhaseFenced has seen a higher epoch and does nothing any more.
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
