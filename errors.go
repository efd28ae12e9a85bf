package cairnbay

import "github.com/juju/errors"

// Sentinel errors, tested with errors.Is.
const (
	// ErrNotFound means that the requested object does not exist.
	ErrNotFound = errors.ConstError("not found")
	// ErrConflict means that a compare-and-swap found another version, or that
	// two operators changed the same setting.
	ErrConflict = errors.ConstError("version conflict")
	// ErrUnavailable means that a call failed and had no effect.
	ErrUnavailable = errors.ConstError("unavailable")
	// ErrUnknown means that a call failed and may have taken effect.
	ErrUnknown = errors.ConstError("outcome unknown")
	// ErrRateLimited means that the callee rejected the call because of its
	// rate; the call had no effect.
	ErrRateLimited = errors.ConstError("rate limited")
	// ErrTooLarge means that a value or message exceeds its size limit.
	ErrTooLarge = errors.ConstError("too large")
	// ErrLeaseLapsed means that a lease has expired or was never granted.
	ErrLeaseLapsed = errors.ConstError("lease lapsed")
	// ErrCompacted means that a watch requested a revision that the store has
	// compacted.
	ErrCompacted = errors.ConstError("revision compacted")
	// ErrFenced means that the callee has accepted another fencing token (epoch,
	// agent token or journal generation); the caller is no longer the owner.
	ErrFenced = errors.ConstError("fenced by a higher epoch")
	// ErrUnconfirmed means that the store did not say whether the member is still the
	// owner of the shard.
	ErrUnconfirmed = errors.ConstError("ownership not confirmed by the store")
	// ErrNotOwner means that the member does not own the shard.
	ErrNotOwner = errors.ConstError("not the owner of the shard")
	// ErrNeverFits means that the job exceeds a quota or the capacity of all
	// workers, even when nothing else runs.
	ErrNeverFits = errors.ConstError("job can never run")
	// ErrQueueFull means that a bounded queue is full.
	ErrQueueFull = errors.ConstError("queue full")
	// ErrDeadline means that the work cannot start before its deadline, or that a
	// call reached a worker after its NotAfter. Neither has an effect.
	ErrDeadline = errors.ConstError("deadline cannot be met")
	// ErrClosed means that the receiver is shutting down.
	ErrClosed = errors.ConstError("closed")
	// ErrInvalid means that input failed validation; an annotation, if any, names
	// the check.
	ErrInvalid = errors.ConstError("invalid")
	// ErrForbidden means that the caller lacks the required right on the branch.
	ErrForbidden = errors.ConstError("forbidden")
	// ErrReplaced means that the worker restarted: its address now belongs to a
	// worker with another ID.
	ErrReplaced = errors.ConstError("replaced by another worker")
	// ErrOverloaded means that the callee rejected the call; the call had no
	// effect.
	ErrOverloaded = errors.ConstError("overloaded")
	// ErrStaleAttempt means that this attempt or a later one has already ended
	// on the worker.
	ErrStaleAttempt = errors.ConstError("attempt is not new")
	// ErrStartExpired means that a start arrived after the end of its lease.
	ErrStartExpired = errors.ConstError("lease ended before the start")
	// ErrNoRoom means that the free resources of a worker are too small for the
	// task.
	ErrNoRoom = errors.ConstError("no room on the worker")
	// ErrInvalidTicket means that a worker rejected the ticket of a start.
	ErrInvalidTicket = errors.ConstError("ticket not accepted")
	// ErrKeyReused means that an idempotency key was used with another body.
	ErrKeyReused = errors.ConstError("idempotency key reused with another body")
)
