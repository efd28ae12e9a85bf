package node

import (
	"sync"
	"time"

	"cairnbay"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/mirror"
)

// workers follows the platform's entries of a class's workers.
type workers struct {
	node   *Node
	class  string
	drive  *drive.Drive
	mirror *mirror.Mirror
	cancel func()

	mu      sync.Mutex
	entries map[string]cairnbay.WorkerEntry
	// missing is when an entry went away. Entries that lapsed with the store come
	// back, so they count for a while.
	missing map[string]time.Duration
}

const (
	// missingPatience is how long an entry may be missing: the two seconds within
	// which entries are back after an outage of the store, and a margin.
	missingPatience = 2300 * time.Millisecond
	// listPeriod is how often the entries are read. A worker writes its entry
	// every second or two, but what matters in it must be seen within two.
	listPeriod    = 700 * time.Millisecond
	missingPeriod = 500 * time.Millisecond
)

func newWorkers(node *Node, class string, owned *drive.Drive) *workers {
	w := &workers{
		node: node, class: class, drive: owned,
		entries: make(map[string]cairnbay.WorkerEntry), missing: make(map[string]time.Duration),
	}
	w.mirror = mirror.New(mirror.Config{
		Store: node.config.Platform.Store, Prefix: node.config.Platform.WorkerPrefix, Log: node.config.Log,
		PollInterval: listPeriod, OnChange: w.see,
	})
	w.cancel = node.config.Clock.Every(missingPeriod, func(time.Duration) { w.expire() })
	return w
}

func (w *workers) close() {
	w.cancel()
	w.mirror.Close()
}

func (w *workers) see(changes []cairnbay.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, change := range changes {
		key := change.Entry.Key
		if change.Kind == cairnbay.EventDelete {
			if _, ok := w.entries[key]; ok {
				w.missing[key] = w.node.config.Clock.Now()
			}
			continue
		}
		entry, err := w.node.config.Platform.DecodeWorker(key, change.Entry.Value)
		if err != nil {
			w.node.config.Log.WithError(err).Warn("worker entry ignored")
			continue
		}
		if entry.Class != w.class {
			delete(w.entries, key)
			continue
		}
		w.entries[key] = entry
		delete(w.missing, key)
	}
	w.publish()
}

// expire drops entries that stayed away.
func (w *workers) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.node.config.Clock.Now()
	dropped := false
	for key, since := range w.missing {
		if now-since > missingPatience {
			delete(w.missing, key)
			delete(w.entries, key)
			dropped = true
		}
	}
	if dropped {
		w.publish()
	}
}

func (w *workers) publish() {
	entries := make([]cairnbay.WorkerEntry, 0, len(w.entries))
	for _, entry := range w.entries {
		entries = append(entries, entry)
	}
	w.drive.SetWorkers(entries)
}
