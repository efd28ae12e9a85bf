package shard

import (
	"time"

	"cairnbay"
	"cairnbay/internal/process/commit"
)

// ActionKind says which call or journal write an Action asks for.
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
	Kind ActionKind
	// Worker is the ID of the called worker, Address where it is called; both are
	// empty for ActJournal.
	Worker  string
	Address string
	// DecidedAt is the owner's clock when the action was decided; a call is never
	// sent earlier. Its answer confirms the epoch as of DecidedAt, not of the
	// arrival.
	DecidedAt time.Duration

	Claim cairnbay.ClaimRequest
	Start cairnbay.StartRequest
	Renew cairnbay.RenewRequest
	Stop  cairnbay.StopRequest

	// Records are appended to the journal; Core.ConfirmRecords takes their Token.
	// Urgent says that starts or the set of workers wait for the write.
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
	// PhasePartial has a quorum of workers that accepted the claim. Tasks from
	// before the takeover may still run on the other workers, so only jobs
	// accepted since the takeover are placed.
	PhasePartial
	// PhaseActive has accounted for every task from before the takeover: a worker
	// reported it, or it has certainly ended. Inherited jobs are placed again.
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
