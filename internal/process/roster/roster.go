// Package roster polls the platform's list and provides its latest snapshot.
package roster

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cairnbay"
)

const (
	// pollPeriod is short enough to report a leaving upstream well within two
	// seconds of its mark on the list, while the list answers promptly.
	pollPeriod = 750 * time.Millisecond
	// pollTimeout limits one read of the list.
	pollTimeout = 2 * time.Second
	// missingRetention is how long an instance that is missing from the list stays
	// in the snapshot, unless it was marked as leaving. The list may omit a live
	// instance for a while.
	missingRetention = 20 * time.Second
)

// Config configures a Roster.
type Config struct {
	Clock  cairnbay.Clock
	Lister cairnbay.Lister
	Log    *logrus.Entry
}

// listedInstance is an instance and the time of the last read that listed it.
type listedInstance struct {
	instance   cairnbay.Instance
	lastListed time.Duration
}

// Roster polls the list. While reads fail it provides the last snapshot.
type Roster struct {
	config      Config
	stopTicks   func()
	cancelPolls context.CancelFunc
	polls       sync.WaitGroup

	mu   sync.RWMutex
	rows map[string]listedInstance
	// instances is the snapshot, built from rows.
	instances []cairnbay.Instance
	lastRead  time.Duration
	// failing says that the last read failed.
	failing bool
	// polling says that a read started by a tick is in progress.
	polling         bool
	changeCallbacks []func()
}

// New reads the list once, waiting up to pollTimeout, and starts polling it. A
// failed first read is logged and leaves the snapshot empty. Close stops the polling.
func New(ctx context.Context, config Config) *Roster {
	ctx, cancelPolls := context.WithCancel(ctx)
	roster := &Roster{config: config, cancelPolls: cancelPolls, rows: make(map[string]listedInstance)}
	roster.poll(ctx)
	roster.stopTicks = config.Clock.Every(pollPeriod, func(time.Duration) { roster.startPoll(ctx) })
	return roster
}

// Close stops the polling and waits for a read in progress.
func (r *Roster) Close() {
	r.stopTicks()
	r.cancelPolls()
	r.polls.Wait()
}

// Instances returns the current snapshot, ordered by ID. The caller must not modify
// it.
func (r *Roster) Instances() []cairnbay.Instance {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.instances
}

// Health says whether the last read succeeded, and when the last successful read
// ended on the roster's clock, or zero before the first.
func (r *Roster) Health() (ok bool, lastRead time.Duration) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return !r.failing, r.lastRead
}

// OnChange calls changed after each read that changed the snapshot.
func (r *Roster) OnChange(changed func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changeCallbacks = append(r.changeCallbacks, changed)
}

// startPoll polls on a new goroutine unless a poll is in progress.
func (r *Roster) startPoll(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.polling || ctx.Err() != nil {
		return
	}
	r.polling = true
	r.polls.Go(func() {
		r.poll(ctx)
	})
}

func (r *Roster) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	snapshot, err := r.config.Lister.List(ctx)
	if err != nil {
		r.recordFailure(err)
		return
	}
	for _, changed := range r.merge(snapshot) {
		changed()
	}
}

func (r *Roster) recordFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.polling = false
	if !r.failing {
		r.config.Log.WithError(err).Warn("cannot read the platform's list; using the last snapshot")
	}
	r.failing = true
}

// merge merges a snapshot into the rows and returns the callbacks to run when it
// changed the instances.
func (r *Roster) merge(snapshot cairnbay.Snapshot) []func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock.Now()
	r.polling = false
	r.failing = false
	r.lastRead = now
	for _, instance := range snapshot.Instances {
		r.rows[instance.ID] = listedInstance{instance: instance, lastListed: now}
	}
	for id, row := range r.rows {
		if now-row.lastListed > missingRetention || (row.lastListed < now && row.instance.Leaving) {
			delete(r.rows, id)
		}
	}
	instances := sortedInstances(r.rows)
	if equalInstances(instances, r.instances) {
		return nil
	}
	r.instances = instances
	return append([]func(){}, r.changeCallbacks...)
}

func sortedInstances(rows map[string]listedInstance) []cairnbay.Instance {
	instances := make([]cairnbay.Instance, 0, len(rows))
	for _, row := range rows {
		instances = append(instances, row.instance)
	}
	sort.Slice(instances, func(i, j int) bool { return instances[i].ID < instances[j].ID })
	return instances
}

func equalInstances(a, b []cairnbay.Instance) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
