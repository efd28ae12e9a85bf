package detour

import (
	"context"
	"time"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// Get implements cairnbay.Store.
func (d *Detour) Get(ctx context.Context, key string) (cairnbay.Entry, error) {
	answer, err := d.call(ctx, &cairnbayv1.StoreCall{Get: key})
	if err != nil || len(answer.GetEntries()) == 0 {
		return cairnbay.Entry{}, err
	}
	return decodeEntry(answer.GetEntries()[0]), nil
}

// List implements cairnbay.Store.
func (d *Detour) List(ctx context.Context, prefix string) (cairnbay.Listing, error) {
	answer, err := d.call(ctx, &cairnbayv1.StoreCall{Listing: true, List: prefix})
	if err != nil {
		return cairnbay.Listing{}, err
	}
	listing := cairnbay.Listing{Revision: cairnbay.Revision(answer.GetRevision())}
	for _, entry := range answer.GetEntries() {
		listing.Entries = append(listing.Entries, decodeEntry(entry))
	}
	return listing, nil
}

// Put implements cairnbay.Store.
func (d *Detour) Put(
	ctx context.Context, key string, value []byte, expect cairnbay.Revision, lease cairnbay.LeaseID,
) (cairnbay.Revision, error) {
	return d.Commit(ctx, cairnbay.Batch{
		Expect: []cairnbay.Expectation{{Key: key, Revision: expect}},
		Puts:   []cairnbay.Put{{Key: key, Value: value, Lease: lease}},
	})
}

// Delete implements cairnbay.Store.
func (d *Detour) Delete(ctx context.Context, key string, expect cairnbay.Revision) error {
	_, err := d.Commit(ctx, cairnbay.Batch{
		Expect: []cairnbay.Expectation{{Key: key, Revision: expect}},
		Delete: []string{key},
	})
	return err
}

// Commit implements cairnbay.BatchStore.
func (d *Detour) Commit(ctx context.Context, batch cairnbay.Batch) (cairnbay.Revision, error) {
	answer, err := d.call(ctx, &cairnbayv1.StoreCall{Commit: encodeBatch(batch)})
	return cairnbay.Revision(answer.GetRevision()), err
}

// Grant implements cairnbay.Store. A repeated call may grant a second lease, which
// lapses unused.
func (d *Detour) Grant(ctx context.Context, ttl time.Duration) (cairnbay.LeaseID, error) {
	answer, err := d.call(ctx, &cairnbayv1.StoreCall{GrantMs: ttl.Milliseconds()})
	return cairnbay.LeaseID(answer.GetLease()), err
}

// Renew implements cairnbay.Store.
func (d *Detour) Renew(ctx context.Context, lease cairnbay.LeaseID) error {
	_, err := d.call(ctx, &cairnbayv1.StoreCall{Renew: uint64(lease)})
	return err
}

// Revoke implements cairnbay.BatchStore.
func (d *Detour) Revoke(ctx context.Context, lease cairnbay.LeaseID) error {
	_, err := d.call(ctx, &cairnbayv1.StoreCall{Revoke: uint64(lease)})
	return err
}

// Serve makes a call for another instance, directly and never through peers. It
// answers cairnbay.ErrUnavailable without a call while direct calls fail.
func (d *Detour) Serve(ctx context.Context, call *cairnbayv1.StoreCall) *cairnbayv1.StoreAnswer {
	if !d.StoreReachable() {
		return encodeError(cairnbay.ErrUnavailable)
	}
	answer, err := perform(ctx, d.config.Store, call)
	if ctx.Err() == nil {
		d.recordDirect(err)
	}
	if err != nil {
		return encodeError(err)
	}
	return answer
}

// Watch implements cairnbay.Store. The store is first called by Next, so Watch
// returns no error.
func (d *Detour) Watch(_ context.Context, prefix string, from cairnbay.Revision) (cairnbay.Watch, error) {
	return &watch{detour: d, prefix: prefix, after: from}, nil
}

// watch returns the changes below a prefix, directly or through peers.
type watch struct {
	detour *Detour
	prefix string
	// after is the revision of the last event returned, or the one given to Watch.
	after cairnbay.Revision
	// direct is the direct watch of the store, nil while calls are made through
	// peers.
	direct cairnbay.Watch
}

// Next implements cairnbay.Watch.
func (w *watch) Next(ctx context.Context) (events []cairnbay.Event, err error) {
	if w.detour.usesPeers() {
		events, err = w.nextViaPeers(ctx)
	} else {
		events, err = w.nextDirect(ctx)
		if ctx.Err() != nil {
			// A watch that stalls until the caller's timeout counts as a failed call.
			err = ctx.Err()
		}
		w.detour.recordDirect(err)
	}
	if len(events) > 0 {
		w.after = events[len(events)-1].Entry.Revision
	}
	return events, err
}

func (w *watch) nextDirect(ctx context.Context) ([]cairnbay.Event, error) {
	if w.direct == nil {
		direct, err := w.detour.config.Store.Watch(ctx, w.prefix, w.after)
		if err != nil {
			return nil, err
		}
		w.direct = direct
	}
	return w.direct.Next(ctx)
}

func (w *watch) nextViaPeers(ctx context.Context) ([]cairnbay.Event, error) {
	if err := w.Close(); err != nil {
		w.detour.config.Log.WithError(err).Warn("watch not closed")
	}
	answer, err := w.detour.callPeers(ctx, &cairnbayv1.StoreCall{
		Watch: &cairnbayv1.StoreWatch{Prefix: w.prefix, After: uint64(w.after)},
	})
	if err != nil {
		return nil, err
	}
	return decodeEvents(answer.GetEntries()), nil
}

// Close implements cairnbay.Watch.
func (w *watch) Close() error {
	direct := w.direct
	w.direct = nil
	if direct == nil {
		return nil
	}
	return direct.Close()
}
