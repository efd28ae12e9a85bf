package cairnbay

import "github.com/juju/errors"

// Sentinel errors, tested with errors.Is.
const (
	// ErrNotFound says that the named thing does not exist.
	ErrNotFound = errors.ConstError("not found")
	// ErrConflict says that a compare-and-swap met another version, or that
	// two operators changed the same setting.
	ErrConflict = errors.ConstError("version conflict")
	// ErrUnavailable says that a call failed and certainly had no effect.
	ErrUnavailable = errors.ConstError("unavailable")
	// ErrUnknown says that a call failed and may have taken effect.
	ErrUnknown = errors.ConstError("outcome unknown")
	// ErrRateLimited says that the callee refused the call because of its rate;
	// the call had no effect.
	ErrRateLimited = errors.ConstError("rate limited")
	// ErrTooLarge says that a value or message is over its size limit.
	ErrTooLarge = errors.ConstError("too large")
	// ErrLeaseLapsed says that a lease has expired or was never granted.
	ErrLeaseLapsed = errors.ConstError("lease lapsed")
	// ErrCompacted says that a watch asked for a revision no longer kept.
	ErrCompacted = errors.ConstError("revision compacted")
	// ErrFenced says that a higher epoch has been accepted; the caller is no
	// longer the owner.
	ErrFenced = errors.ConstError("fenced by a higher epoch")
	// ErrNotOwner says that the member does not own the shard.
	ErrNotOwner = errors.ConstError("not the owner of the shard")
	// ErrNeverFits says that no worker could ever run the job.
	ErrNeverFits = errors.ConstError("job can never run")
	// ErrQueueFull says that a bounded queue has no room.
	ErrQueueFull = errors.ConstError("queue full")
	// ErrDeadline says that the work cannot start before its deadline.
	ErrDeadline = errors.ConstError("deadline cannot be met")
	// ErrClosed says that the receiver is shutting down.
	ErrClosed = errors.ConstError("closed")
	// ErrInvalid says that input failed a check; the message names it.
	ErrInvalid = errors.ConstError("invalid")
	// ErrForbidden says that the caller may not do this on the branch.
	ErrForbidden = errors.ConstError("forbidden")
	// ErrReplaced says that another life of the worker answers at its address.
	ErrReplaced = errors.ConstError("replaced by another life")
	// ErrOverloaded says that the callee refused the call and did nothing.
	ErrOverloaded = errors.ConstError("overloaded")
	// ErrStaleAttempt says that the worker has seen this attempt, or a later one, end.
	ErrStaleAttempt = errors.ConstError("attempt is not new")
	// ErrStartExpired says that the lease of a start had ended when it arrived.
	ErrStartExpired = errors.ConstError("lease had ended")
	// ErrNoRoom says that a worker has not enough left.
	ErrNoRoom = errors.ConstError("no room on the worker")
	// ErrInvalidTicket says that a worker did not accept the ticket of a start.
	ErrInvalidTicket = errors.ConstError("ticket not accepted")
	// ErrKeyReused says that an idempotency key was used with another body.
	ErrKeyReused = errors.ConstError("idempotency key reused with another body")
)
