// Package mirror keeps a copy of the store's keys below a prefix.
package mirror

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cairnbay"
)

// Config sets up a Mirror.
type Config struct {
	Store  cairnbay.Store
	Prefix string
	Log    *logrus.Entry
	// StallTimeout is the longest that a watch may say nothing before it is taken for
	// dead.
	StallTimeout time.Duration
	// PollInterval lists the prefix again once a period in place of a watch; 0 watches.
	// It is cheaper for keys that change more often than it matters.
	PollInterval time.Duration
	// OnChange takes changes in order, on the mirror's goroutine. It is first
	// called after the first listing, also when that was empty.
	OnChange func(changes []cairnbay.Event)
}

// Mirror follows a prefix until it is closed.
type Mirror struct {
	config Config
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex
	entries map[string]cairnbay.Entry
	synced  bool
	lost    bool
}

const (
	// listTimeout bounds a listing; the store answers in milliseconds.
	listTimeout = 1500 * time.Millisecond
	// retryFirst and retryMost are the pauses between failed calls. The longest
	// stays below the time in which a new configuration must be in force.
	retryFirst = 50 * time.Millisecond
	retryMost  = 300 * time.Millisecond
)

// New starts to follow the prefix.
func New(config Config) *Mirror {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mirror{config: config, cancel: cancel, entries: make(map[string]cairnbay.Entry)}
	m.done.Go(func() { m.run(ctx) })
	return m
}

// Close stops following.
func (m *Mirror) Close() {
	m.cancel()
	m.done.Wait()
}

// Synced says whether the prefix has been listed at least once.
func (m *Mirror) Synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.synced
}

// Get returns one key of the copy.
func (m *Mirror) Get(key string) (cairnbay.Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, ok := m.entries[key]
	return entry, ok
}

// Failing says whether the last call to the store failed.
func (m *Mirror) Failing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lost
}

func (m *Mirror) setLost(lost bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lost = lost
}

func (m *Mirror) run(ctx context.Context) {
	pause := retryFirst
	for ctx.Err() == nil {
		revision, err := m.list(ctx)
		if err == nil {
			if m.Failing() {
				m.config.Log.WithField("prefix", m.config.Prefix).Info("store regained")
				m.setLost(false)
			}
			pause = retryFirst
			err = m.follow(ctx, revision)
		}
		if ctx.Err() != nil {
			return
		}
		if !m.Failing() && !errors.Is(err, cairnbay.ErrCompacted) {
			m.config.Log.WithError(err).WithField("prefix", m.config.Prefix).Warn("store lost")
			m.setLost(true)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, retryMost)
	}
}

// list reads the prefix and reports how it differs from the copy.
func (m *Mirror) list(ctx context.Context) (cairnbay.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := m.config.Store.List(ctx, m.config.Prefix)
	if err != nil {
		return 0, err
	}
	var changes []cairnbay.Event
	present := make(map[string]struct{}, len(listing.Entries))
	m.mu.Lock()
	for _, entry := range listing.Entries {
		present[entry.Key] = struct{}{}
		if m.entries[entry.Key].Revision < entry.Revision {
			changes = append(changes, cairnbay.Event{Kind: cairnbay.EventPut, Entry: entry})
		}
	}
	for key, entry := range m.entries {
		if _, ok := present[key]; !ok {
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

// apply changes the copy; the caller holds the lock.
func (m *Mirror) apply(changes []cairnbay.Event) {
	for _, change := range changes {
		if change.Kind == cairnbay.EventDelete {
			delete(m.entries, change.Entry.Key)
			continue
		}
		m.entries[change.Entry.Key] = change.Entry
	}
}

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
		changes, err := m.next(ctx, watch)
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

func (m *Mirror) next(ctx context.Context, watch cairnbay.Watch) ([]cairnbay.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, m.config.StallTimeout)
	defer cancel()
	return watch.Next(ctx)
}
