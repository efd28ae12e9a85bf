package node

import (
	"maps"
	"slices"
	"sync"
	"time"

	"cairnbay"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/mirror"
	"cairnbay/internal/process/timer"
)

// workerList reads the entries of a shard's workers from the store and passes them
// to the drive of the shard.
type workerList struct {
	node   *Node
	shard  string
	drive  *drive.Drive
	mirror *mirror.Mirror
	cancel func()
	// expiryDue wakes the goroutine that removes missing entries; closing ends it.
	expiryDue, closing chan struct{}
	done               sync.WaitGroup

	mu      sync.Mutex
	entries map[string]cairnbay.WorkerEntry
	// missing maps the key of a deleted entry to the time of its deletion. Entries
	// that expire during an outage of the store reappear, so a deleted entry stays
	// in entries until missingTimeout.
	missing map[string]time.Duration
	// elsewhere holds the entries of the workers of other shards that tell the start of
	// their process. moved says that their IDs or addresses have changed.
	elsewhere map[string]cairnbay.WorkerEntry
	moved     bool
}

const (
	// missingTimeout is the minimum time for which a deleted entry stays in use.
	// After an outage of the store, the entries are back within two seconds; the
	// rest is a margin.
	missingTimeout = 2300 * time.Millisecond
	// listPeriod is how often the entries are read. Workers rewrite their entries
	// every one to two seconds, so a watch would cost more; a change that affects
	// scheduling must be applied within two seconds.
	listPeriod = 700 * time.Millisecond
	// expiryPeriod is how often missing entries are checked against
	// missingTimeout.
	expiryPeriod = 500 * time.Millisecond
)

func newWorkerList(node *Node, shard string, shardDrive *drive.Drive) *workerList {
	w := &workerList{
		node: node, shard: shard, drive: shardDrive,
		entries: make(map[string]cairnbay.WorkerEntry), missing: make(map[string]time.Duration),
		elsewhere: make(map[string]cairnbay.WorkerEntry),
		expiryDue: make(chan struct{}, 1), closing: make(chan struct{}),
	}
	w.mirror = mirror.New(mirror.Config{
		Store: node.config.Platform.Store, Prefix: node.config.Platform.WorkerPrefix, Log: node.config.Log,
		PollInterval: listPeriod, OnChange: w.applyChanges,
	})
	w.cancel = node.config.Clock.Every(expiryPeriod, func(time.Duration) { timer.Signal(w.expiryDue) })
	// The drive may be busy, and the callbacks of the clock must not wait for it.
	w.done.Go(func() {
		for {
			select {
			case <-w.closing:
				return
			case <-w.expiryDue:
				w.expire()
			}
		}
	})
	return w
}

func (w *workerList) close() {
	w.cancel()
	close(w.closing)
	w.mirror.Close()
	w.done.Wait()
}

// applyChanges updates the entries. An invalid entry is logged and does not
// replace its predecessor.
func (w *workerList) applyChanges(changes []cairnbay.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, change := range changes {
		key := change.Entry.Key
		if change.Kind == cairnbay.EventDelete {
			if _, ok := w.entries[key]; ok {
				w.missing[key] = w.node.config.Clock.Now()
			}
			w.removeElsewhere(key)
			continue
		}
		entry, err := w.node.config.Platform.DecodeWorker(key, change.Entry.Value)
		if err != nil {
			w.node.config.Log.WithError(err).Warn("invalid worker entry ignored")
			continue
		}
		if previous, ok := w.entries[key]; ok && entry.ID != previous.ID && cairnbay.WorkerName(entry.ID) == entry.ID {
			w.node.config.Log.WithField("worker", previous.ID).Warn("worker entry without the start of the process ignored")
			continue
		}
		divided, ok := w.node.layout(entry.Class)
		if !ok || divided.ShardOfWorker(&entry) != w.shard {
			delete(w.entries, key)
			w.addElsewhere(key, entry)
			continue
		}
		w.entries[key] = entry
		delete(w.missing, key)
		w.removeElsewhere(key)
	}
	w.publish()
}

// addElsewhere notes a worker of another shard, whose process may be a later run of a worker
// of this one; the caller holds w.mu.
func (w *workerList) addElsewhere(key string, entry cairnbay.WorkerEntry) {
	if cairnbay.WorkerName(entry.ID) == entry.ID {
		return
	}
	former := w.elsewhere[key]
	w.elsewhere[key] = entry
	w.moved = w.moved || former.ID != entry.ID || former.Address != entry.Address
}

// removeElsewhere forgets a worker of another shard; the caller holds w.mu.
func (w *workerList) removeElsewhere(key string) {
	if _, ok := w.elsewhere[key]; ok {
		delete(w.elsewhere, key)
		w.moved = true
	}
}

// expire removes entries that have been missing for missingTimeout.
func (w *workerList) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.node.config.Clock.Now()
	removed := false
	for key, since := range w.missing {
		if now-since > missingTimeout {
			delete(w.missing, key)
			delete(w.entries, key)
			removed = true
		}
	}
	if removed {
		w.publish()
	}
}

// publish passes the entries to the drive; the caller holds w.mu.
func (w *workerList) publish() {
	if w.moved {
		w.moved = false
		w.drive.SetElsewhere(slices.Collect(maps.Values(w.elsewhere)))
	}
	w.drive.SetWorkers(slices.Collect(maps.Values(w.entries)))
}
