// Package lister is a stand-in for the platform's list of instances: it lags,
// forgets and can be down.
package lister

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"cairnbay"
)

var _ cairnbay.Lister = (*Lister)(nil)

// Config sets up a Lister.
type Config struct {
	Clock cairnbay.Clock
	// Lag is how long a change takes to show.
	Lag time.Duration
}

// change is one row as it shall read from a moment on.
type change struct {
	at       time.Duration
	instance cairnbay.Instance
	removed  bool
}

// Lister holds the true list and shows it with a lag.
type Lister struct {
	config Config

	mu        sync.Mutex
	shown     map[string]cairnbay.Instance
	pending   []change
	forgotten map[string]bool
	down      bool
	version   uint64
	calls     uint64
}

// New returns an empty list.
func New(config Config) *Lister {
	return &Lister{
		config:    config,
		shown:     make(map[string]cairnbay.Instance),
		forgotten: make(map[string]bool),
	}
}

// Set adds or changes an instance.
func (l *Lister) Set(instance cairnbay.Instance) {
	l.enqueue(change{instance: instance})
}

// Remove takes an instance off the list.
func (l *Lister) Remove(id string) {
	l.enqueue(change{instance: cairnbay.Instance{ID: id}, removed: true})
}

func (l *Lister) enqueue(next change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next.at = l.config.Clock.Now() + l.config.Lag
	l.pending = append(l.pending, next)
}

// SetDown makes every call fail with ErrUnavailable.
func (l *Lister) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// SetForgotten leaves an instance out of the answers though it lives.
func (l *Lister) SetForgotten(id string, forgotten bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgotten[id] = forgotten
	l.version++
}

// Calls is how many lists were answered.
func (l *Lister) Calls() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// List implements cairnbay.Lister.
func (l *Lister) List(context.Context) (cairnbay.Snapshot, error) {
	snapshot, _, err := l.read()
	return snapshot, err
}

func (l *Lister) read() (cairnbay.Snapshot, uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.down {
		return cairnbay.Snapshot{}, 0, errors.Annotate(cairnbay.ErrUnavailable, "list")
	}
	l.settle()
	var rows []cairnbay.Instance
	for id, instance := range l.shown {
		if !l.forgotten[id] {
			rows = append(rows, instance)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].ID < rows[j].ID })
	return cairnbay.Snapshot{Instances: rows}, l.version, nil
}

// settle shows the changes whose lag has passed.
func (l *Lister) settle() {
	now := l.config.Clock.Now()
	for len(l.pending) > 0 && l.pending[0].at <= now {
		next := l.pending[0]
		l.pending = l.pending[1:]
		l.version++
		if next.removed {
			delete(l.shown, next.instance.ID)
			continue
		}
		l.shown[next.instance.ID] = next.instance
	}
}

// Handler serves the list as JSON on GET, with an entity tag.
func (l *Lister) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		snapshot, version, err := l.read()
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		tag := strconv.Quote(strconv.FormatUint(version, 10))
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(snapshot)
	})
}
