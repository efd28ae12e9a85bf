package store

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"cairnbay"
)

var (
	_ cairnbay.Store = (*Caller)(nil)
	_ cairnbay.Watch = (*watch)(nil)
)

// Caller is the store as one caller uses it.
type Caller struct {
	store *Store
	name  string
}

// Get implements cairnbay.Store.
func (c *Caller) Get(ctx context.Context, key string) (cairnbay.Entry, error) {
	var entry cairnbay.Entry
	err := c.read(ctx, &c.store.counts.Gets, func() (err error) {
		entry, err = c.store.get(key)
		return err
	})
	return entry, errors.Annotatef(err, "get")
}

// List implements cairnbay.Store.
func (c *Caller) List(ctx context.Context, prefix string) (cairnbay.Listing, error) {
	var listing cairnbay.Listing
	err := c.read(ctx, &c.store.counts.Lists, func() error {
		listing = c.store.list(prefix)
		return nil
	})
	return listing, errors.Annotatef(err, "list %q", prefix)
}

// Put implements cairnbay.Store.
func (c *Caller) Put(
	ctx context.Context, key string, value []byte, expect cairnbay.Revision, lease cairnbay.LeaseID,
) (cairnbay.Revision, error) {
	var revision cairnbay.Revision
	err := c.write(ctx, &c.store.counts.Puts, func() (err error) {
		revision, err = c.store.put(write{key, value, expect, lease})
		return err
	})
	if err != nil {
		return 0, errors.Annotatef(err, "put")
	}
	return revision, nil
}

// Delete implements cairnbay.Store.
func (c *Caller) Delete(ctx context.Context, key string, expect cairnbay.Revision) error {
	err := c.write(ctx, &c.store.counts.Deletes, func() error { return c.store.remove(key, expect) })
	return errors.Annotatef(err, "delete")
}

// Grant implements cairnbay.Store.
func (c *Caller) Grant(ctx context.Context, ttl time.Duration) (cairnbay.LeaseID, error) {
	var id cairnbay.LeaseID
	err := c.write(ctx, &c.store.counts.Grants, func() error {
		id = c.store.grant(ttl)
		return nil
	})
	if err != nil {
		return 0, errors.Annotatef(err, "grant")
	}
	return id, nil
}

// Renew implements cairnbay.Store.
func (c *Caller) Renew(ctx context.Context, lease cairnbay.LeaseID) error {
	err := c.write(ctx, &c.store.counts.Renews, func() error { return c.store.renew(lease) })
	return errors.Annotatef(err, "renew")
}

// Watch implements cairnbay.Store.
func (c *Caller) Watch(_ context.Context, prefix string, from cairnbay.Revision) (cairnbay.Watch, error) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if c.store.faults.down || c.store.faults.cut[c.name] {
		return nil, errors.Annotatef(cairnbay.ErrUnavailable, "watch %q", prefix)
	}
	if _, err := c.store.since(prefix, from); err != nil {
		return nil, errors.Trace(err)
	}
	return &watch{caller: c, prefix: prefix, from: from, id: c.store.nextWatch(), closed: make(chan struct{})}, nil
}

func (s *Store) nextWatch() int {
	s.watches++
	return s.watches
}

// read makes a read with the store's faults.
func (c *Caller) read(ctx context.Context, count *int, act func() error) error {
	if err := c.delay(ctx); err != nil {
		return cairnbay.ErrUnavailable
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if err := c.store.admit(c.name, count, &c.store.reads); err != nil {
		return err
	}
	return act()
}

// write makes a write with the store's faults.
func (c *Caller) write(ctx context.Context, count *int, act func() error) error {
	err := c.writeNow(count, act)
	if errors.Is(err, cairnbay.ErrUnavailable) || errors.Is(err, cairnbay.ErrRateLimited) {
		return err
	}
	if c.delay(ctx) != nil {
		return cairnbay.ErrUnknown
	}
	return err
}

func (c *Caller) writeNow(count *int, act func() error) error {
	store := c.store
	store.mu.Lock()
	defer store.mu.Unlock()
	if err := store.admit(c.name, count, &store.writes); err != nil {
		return err
	}
	if lost(&store.faults.loseWrites) {
		return cairnbay.ErrUnknown
	}
	err := act()
	if lost(&store.faults.loseAnswers) {
		return cairnbay.ErrUnknown
	}
	return err
}

// delay waits while the store is slow.
func (c *Caller) delay(ctx context.Context) error {
	c.store.mu.Lock()
	slow := c.store.faults.slow
	c.store.mu.Unlock()
	if slow == 0 {
		return ctx.Err()
	}
	over := make(chan struct{})
	clock := c.store.config.Clock
	cancel := clock.At(clock.Now()+slow, func(time.Duration) { close(over) })
	defer cancel()
	select {
	case <-over:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// watch is a running watch of one caller.
type watch struct {
	caller *Caller
	prefix string
	from   cairnbay.Revision
	id     int
	closed chan struct{}
	ended  atomic.Bool
}

// Next implements cairnbay.Watch.
func (w *watch) Next(ctx context.Context) ([]cairnbay.Event, error) {
	if err := w.begin(); err != nil {
		return nil, errors.Annotatef(err, "watch %q", w.prefix)
	}
	for {
		events, changed, err := w.look()
		if err != nil {
			return nil, errors.Annotatef(err, "watch %q", w.prefix)
		}
		if len(events) > 0 {
			w.from = events[len(events)-1].Entry.Revision
			return events, nil
		}
		select {
		case <-changed:
		case <-w.closed:
			return nil, errors.Annotatef(cairnbay.ErrClosed, "watch %q", w.prefix)
		case <-ctx.Done():
			return nil, errors.Trace(ctx.Err())
		}
	}
}

// Close implements cairnbay.Watch.
func (w *watch) Close() error {
	if w.ended.CompareAndSwap(false, true) {
		close(w.closed)
	}
	return nil
}

func (w *watch) begin() error {
	store := w.caller.store
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.admit(w.caller.name, &store.counts.Waits, &store.reads)
}

// look returns new events, or the channel that is closed when to look again.
func (w *watch) look() ([]cairnbay.Event, <-chan struct{}, error) {
	store := w.caller.store
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.faults.silent || w.id <= store.faults.silentUpTo {
		return nil, store.changed, nil
	}
	if store.faults.down || store.faults.cut[w.caller.name] {
		return nil, nil, cairnbay.ErrUnavailable
	}
	events, err := store.since(w.prefix, w.from)
	return events, store.changed, err
}
