// Package mirror maintains a local copy of the store's keys below a prefix.
package mirror

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cairnbay"
)

// Config configures a Mirror.
type Config struct {
	Store cairnbay.Store
	// Prefix selects the keys to copy.
	Prefix string
	Log    *logrus.Entry
	// StallTimeout is how long a watch may return nothing before it is closed and
	// the prefix is listed again; unused if PollInterval is set.
	StallTimeout time.Duration
	// PollInterval is the interval at which the prefix is listed; 0 uses a watch.
	// Polling is cheaper for keys that change more often than they are used.
	PollInterval time.Duration
	// OnChange receives changes in order, on the mirror's goroutine. It is first
	// called after the first listing, even if that is empty. A deletion found by a
	// listing has the last copied entry, not the revision of the deletion.
	OnChange func(changes []cairnbay.Event)
}

// Mirror updates its copy of a prefix until it is closed.
type Mirror struct {
	config Config
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex
	entries map[string]cairnbay.Entry
	synced  bool
	// failing is set after a failed listing or watch, until a listing succeeds.
	failing bool
}

const (
	// listTimeout bounds a listing; the store normally answers in milliseconds.
	listTimeout = 1500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the exponential backoff of failed
	// calls. The maximum is below the time in which a new configuration must be in
	// force.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 300 * time.Millisecond
)

// New starts to copy the prefix.
func New(config Config) *Mirror {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mirror{config: config, cancel: cancel, entries: make(map[string]cairnbay.Entry)}
	m.done.Go(func() { m.run(ctx) })
	return m
}

// Close stops the updates.
func (m *Mirror) Close() {
	m.cancel()
	m.done.Wait()
}

// Synced reports whether the prefix has been listed at least once.
func (m *Mirror) Synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.synced
}

// Get returns the entry of a key in the copy.
func (m *Mirror) Get(key string) (cairnbay.Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, ok := m.entries[key]
	return entry, ok
}

// Failing reports whether a listing or the watch has failed or stalled and no
// listing has succeeded since. A compacted history is not a failure.
func (m *Mirror) Failing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failing
}

func (m *Mirror) setFailing(failing bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failing = failing
}

func (m *Mirror) run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		revision, err := m.list(ctx)
		if err == nil {
			if m.Failing() {
				m.config.Log.WithField("prefix", m.config.Prefix).Info("store regained")
				m.setFailing(false)
			}
			delay = minRetryDelay
			err = m.follow(ctx, revision)
		}
		if ctx.Err() != nil {
			return
		}
		if !m.Failing() && !errors.Is(err, cairnbay.ErrCompacted) {
			m.config.Log.WithError(err).WithField("prefix", m.config.Prefix).Warn("store lost")
			m.setFailing(true)
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// list reads the prefix, and applies and reports its differences from the copy.
func (m *Mirror) list(ctx context.Context) (cairnbay.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := m.config.Store.List(ctx, m.config.Prefix)
	if err != nil {
		return 0, err
	}
	var changes []cairnbay.Event
	listed := make(map[string]struct{}, len(listing.Entries))
	m.mu.Lock()
	for _, entry := range listing.Entries {
		listed[entry.Key] = struct{}{}
		if m.entries[entry.Key].Revision < entry.Revision {
			changes = append(changes, cairnbay.Event{Kind: cairnbay.EventPut, Entry: entry})
		}
	}
	for key, entry := range m.entries {
		if _, ok := listed[key]; !ok {
			changes = append(changes, cairnbay.Event{Kind: cairnbay.EventDelete, Entry: entry})
		}
	}
	m.apply(changes)
	first := !m.synced
	m.synced = true
	m.mu.Unlock()
	if len(changes) > 0 || first {
		m.config.OnChange(changes)
	}
	return listing.Revision, nil
}

// apply applies changes to the copy. The caller holds the lock.
func (m *Mirror) apply(changes []cairnbay.Event) {
	for _, change := range changes {
		if change.Kind == cairnbay.EventDelete {
			delete(m.entries, change.Entry.Key)
			continue
		}
		m.entries[change.Entry.Key] = change.Entry
	}
}

// follow watches or polls the prefix, and applies and reports changes after a
// revision, until a call fails or the watch stalls.
func (m *Mirror) follow(ctx context.Context, revision cairnbay.Revision) error {
	if m.config.PollInterval > 0 {
		return m.poll(ctx)
	}
	watch, err := m.config.Store.Watch(ctx, m.config.Prefix, revision)
	if err != nil {
		return err
	}
	defer func() {
		if err := watch.Close(); err != nil {
			m.config.Log.WithError(err).Warn("watch not closed")
		}
	}()
	for {
		changes, err := m.nextEvents(ctx, watch)
		if err != nil {
			return err
		}
		m.mu.Lock()
		m.apply(changes)
		m.mu.Unlock()
		if len(changes) > 0 {
			m.config.OnChange(changes)
		}
	}
}

func (m *Mirror) poll(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(m.config.PollInterval):
		}
		if _, err := m.list(ctx); err != nil {
			return err
		}
	}
}

// nextEvents waits for the next events of a watch. Errors: of the watch, or
// context.DeadlineExceeded after StallTimeout.
func (m *Mirror) nextEvents(ctx context.Context, watch cairnbay.Watch) ([]cairnbay.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, m.config.StallTimeout)
	defer cancel()
	return watch.Next(ctx)
}
