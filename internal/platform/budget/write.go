package budget

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"cairnbay"
)

// Write is a compare-and-swap for PutConfirmed.
type Write struct {
	Key    string
	Value  []byte
	Expect cairnbay.Revision
	Lease  cairnbay.LeaseID
	// Applied reports whether an entry proves that this write took effect. If nil, an
	// entry with an equal value is the proof; then no other writer may write an equal
	// value, and the value must not be overwritten before PutConfirmed returns.
	Applied func(cairnbay.Entry) bool
}

// PutConfirmed makes a write and resolves an unknown outcome: it reads the key back,
// and repeats the write while the key is still at the expected revision. Repeating is
// safe because the write is a compare-and-swap. It retries with pauses from
// firstBackoff, doubled up to maxBackoff, until the context ends.
//
// Errors: ErrConflict (the write had no effect), ErrUnknown (the outcome was still
// unknown when the context ended), ErrUnavailable or ErrRateLimited (the first
// attempt had no effect), ErrTooLarge and ErrLeaseLapsed.
func PutConfirmed(
	ctx context.Context, store cairnbay.Store, clock cairnbay.Clock, write Write,
) (cairnbay.Revision, error) {
	if write.Applied == nil {
		write.Applied = func(entry cairnbay.Entry) bool { return bytes.Equal(entry.Value, write.Value) }
	}
	revision, err := put(ctx, store, write)
	if !errors.Is(err, cairnbay.ErrUnknown) {
		return revision, err
	}
	for pause := firstBackoff; ; pause = min(maxBackoff, pause*2) {
		revision, resolved, err := resolve(ctx, store, write)
		if resolved {
			return revision, err
		}
		if !SleepWithJitter(ctx, clock, pause) {
			return 0, errors.Annotatef(cairnbay.ErrUnknown, "outcome of put %q not resolved: %v", write.Key, err)
		}
	}
}

func put(ctx context.Context, store cairnbay.Store, write Write) (cairnbay.Revision, error) {
	return store.Put(ctx, write.Key, write.Value, write.Expect, write.Lease)
}

// resolve reads the key once to find out whether the write took effect, and
// repeats the write if it did not. False means that the outcome is still unknown.
func resolve(ctx context.Context, store cairnbay.Store, write Write) (cairnbay.Revision, bool, error) {
	entry, err := store.Get(ctx, write.Key)
	if errors.Is(err, cairnbay.ErrNotFound) {
		entry, err = cairnbay.Entry{Key: write.Key}, nil
	}
	if err != nil {
		return 0, false, err
	}
	if entry.Revision != 0 && entry.Revision != write.Expect && write.Applied(entry) {
		return entry.Revision, true, nil
	}
	if entry.Revision != write.Expect {
		return 0, true, errors.Annotatef(cairnbay.ErrConflict, "key %q is at revision %d, not %d",
			write.Key, entry.Revision, write.Expect)
	}
	revision, err := put(ctx, store, write)
	if err == nil {
		return revision, true, nil
	}
	if errors.Is(err, cairnbay.ErrTooLarge) || errors.Is(err, cairnbay.ErrLeaseLapsed) {
		return 0, true, err
	}
	return 0, false, err
}

// SleepWithJitter waits for a random duration from half of maxWait to maxWait; false
// means that the context ended first.
func SleepWithJitter(ctx context.Context, clock cairnbay.Clock, maxWait time.Duration) bool {
	elapsed := make(chan struct{})
	half := maxWait / 2
	wait := half + rand.N(half+1)
	cancel := clock.At(clock.Now()+wait, func(time.Duration) { close(elapsed) })
	defer cancel()
	select {
	case <-elapsed:
		return true
	case <-ctx.Done():
		return false
	}
}
