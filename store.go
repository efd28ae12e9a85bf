package cairnbay

import (
	"context"
	"time"
)

// Limits of the platform's key-value service.
const (
	// MaxValueBytes is the largest value, in bytes, that the store accepts.
	MaxValueBytes = 1 << 20
)

// Revision is the version of a key. It increases with every write to the store;
// zero means that the key does not exist.
type Revision uint64

// LeaseID identifies a store lease; zero means none.
type LeaseID uint64

// Entry is one key of the store with its value.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    LeaseID
}

// EventKind is the kind of change that a watch event reports.
type EventKind uint8

// Kinds of watch events.
const (
	// EventPut reports a created or changed key.
	EventPut EventKind = iota + 1
	// EventDelete reports a deleted key, or a key whose lease expired.
	EventDelete
)

// Event is one change reported by a watch. Events arrive in order of revision.
type Event struct {
	Kind  EventKind
	Entry Entry
}

// Listing is the result of a list: the entries ordered by key, and the revision
// of the store at which they were read.
type Listing struct {
	Entries  []Entry
	Revision Revision
}

// Watch is an open watch. A watch may fail silently, so that Next never returns;
// callers must therefore re-read the keys from time to time.
type Watch interface {
	// Next blocks until there is at least one event, the context ends or the watch
	// breaks. Errors: ErrUnavailable, ErrCompacted, ErrClosed, or the context's.
	Next(ctx context.Context) ([]Event, error)
	// Close ends the watch.
	Close() error
}

// Store is the platform's key-value service.
//
// Every method may fail with ErrUnavailable (no effect), ErrRateLimited (no
// effect) or ErrUnknown (the write may have taken effect; read the key to find
// out).
type Store interface {
	// Get reads one key. Errors: ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys with a prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Put writes a key if its revision is still expect (0: must not exist).
	// Errors: ErrConflict, ErrTooLarge, ErrLeaseLapsed.
	Put(ctx context.Context, key string, value []byte, expect Revision, lease LeaseID) (Revision, error)
	// Delete removes a key if its revision is still expect. Errors:
	// ErrConflict, ErrNotFound.
	Delete(ctx context.Context, key string, expect Revision) error
	// Grant creates a lease that expires unless it is renewed within ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its ttl. Errors: ErrLeaseLapsed.
	Renew(ctx context.Context, lease LeaseID) error
	// Watch reports changes below a prefix after revision from. Errors:
	// ErrCompacted.
	Watch(ctx context.Context, prefix string, from Revision) (Watch, error)
}

// Purpose is the reason for a store call. Call budgets and metrics are kept per
// purpose.
type Purpose uint8

// Purposes, in descending order of priority.
const (
	// PurposeJournal is for the journals of shards.
	PurposeJournal Purpose = iota
	// PurposeSettings is for operators' settings.
	PurposeSettings
	// PurposeKeys is for idempotency keys.
	PurposeKeys
	// PurposeAudit is for audit records.
	PurposeAudit
	// Purposes is the number of purposes.
	Purposes
)

// String returns the purpose in snake case.
func (p Purpose) String() string {
	names := [...]string{"journal", "settings", "keys", "audit"}
	if int(p) < len(names) {
		return names[p]
	}
	return "other"
}

// PurposedStore provides a Store per purpose, so that calls are counted and
// limited per purpose.
type PurposedStore interface {
	// For returns the Store for the calls of a purpose.
	For(purpose Purpose) Store
}
