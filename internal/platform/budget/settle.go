package budget

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"cairnbay"
)

// Write is a compare-and-swap whose outcome has to be known.
type Write struct {
	Key    string
	Value  []byte
	Expect cairnbay.Revision
	Lease  cairnbay.LeaseID
	// Applied says whether an entry shows that this write took effect; nil
	// compares the whole value, which then must be unlike any other writer's
	// and never be overwritten while the write is being settled.
	Applied func(cairnbay.Entry) bool
}

// PutConfirmed makes a write and settles a lost answer: it reads the key back,
// and repeats the write while the key is still at the expected revision, which
// the compare-and-swap makes safe.
//
// Errors: ErrConflict (certainly without effect), ErrUnknown (still not known
// when the context ended), and ErrUnavailable or ErrRateLimited where the
// first attempt had no effect.
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
		revision, settled, err := settle(ctx, store, write)
		if settled {
			return revision, err
		}
		if !SleepWithJitter(ctx, clock, pause) {
			return 0, errors.Annotatef(cairnbay.ErrUnknown, "put %q not settled: %v", write.Key, err)
		}
	}
}

func put(ctx context.Context, store cairnbay.Store, write Write) (cairnbay.Revision, error) {
	return store.Put(ctx, write.Key, write.Value, write.Expect, write.Lease)
}

// settle looks once whether the write took effect, and repeats it if it did
// not yet.
func settle(ctx context.Context, store cairnbay.Store, write Write) (cairnbay.Revision, bool, error) {
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

// SleepWithJitter waits for about the span, with jitter; false says that the context
// ended before.
func SleepWithJitter(ctx context.Context, clock cairnbay.Clock, span time.Duration) bool {
	over := make(chan struct{})
	half := span / 2
	wait := half + rand.N(half+1)
	cancel := clock.At(clock.Now()+wait, func(time.Duration) { close(over) })
	defer cancel()
	select {
	case <-over:
		return true
	case <-ctx.Done():
		return false
	}
}
