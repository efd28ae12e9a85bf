package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"cairnbay"
	"cairnbay/internal/process/layout"
	"cairnbay/internal/process/relay"
)

// divideSettleTime is how long the number of a class's workers must stay the same
// before the class is divided. Workers that start with the instances register within
// it.
const divideSettleTime = 300 * time.Millisecond

// census is what divide has seen of the workers of the classes without a layout.
type census struct {
	mu sync.Mutex
	// counts and since are the last number of workers and the time since which it is
	// the same, by class.
	counts map[string]int
	since  map[string]time.Duration
}

// settled notes the number of workers of a class in a list that was asked for at one time
// and handled at another, and reports whether it has stayed the same for
// divideSettleTime. The list speaks of a time in between.
func (c *census) settled(class string, workers int, asked, handled time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts, c.since = make(map[string]int), make(map[string]time.Duration)
	}
	if _, seen := c.since[class]; !seen || c.counts[class] != workers {
		c.counts[class], c.since[class] = workers, handled
	}
	return asked-c.since[class] >= divideSettleTime
}

// divide returns the division of a class by its workers and by the strongest
// instances; false while the class has no workers or their number changes.
func (n *Node) divide(ctx context.Context, class string) (layout.Layout, bool) {
	asked := n.config.Clock.Now()
	listing, err := n.config.Platform.Store.List(ctx, n.config.Platform.WorkerPrefix)
	if err != nil {
		n.config.Log.WithError(err).WithField("class", class).Warn("workers not listed for the division")
		return layout.Layout{}, false
	}
	var workers []cairnbay.WorkerEntry
	for _, entry := range listing.Entries {
		worker, err := n.config.Platform.DecodeWorker(entry.Key, entry.Value)
		if err != nil {
			n.config.Log.WithError(err).Warn("invalid worker entry ignored")
			continue
		}
		if worker.Class == class {
			workers = append(workers, worker)
		}
	}
	settled := n.census.settled(class, len(workers), asked, n.config.Clock.Now())
	if len(workers) == 0 || !settled {
		return layout.Layout{}, false
	}
	cores := n.config.Cores
	if published := n.publishedTenure.Load(); published != nil {
		for _, node := range published.Nodes() {
			cores = max(cores, node.Cores)
		}
	}
	return layout.Divide(class, workers, cores), true
}

// layout returns the division of a class, false while it has none.
func (n *Node) layout(class string) (layout.Layout, bool) {
	if published := n.publishedTenure.Load(); published != nil {
		return published.Layout(class)
	}
	return layout.Layout{}, false
}

// position returns the place of a shard among the shards of all classes.
func (n *Node) position(shard string) relay.Position {
	var names []string
	for _, class := range n.classes() {
		if divided, ok := n.layout(class); ok {
			names = append(names, divided.Names()...)
		}
	}
	slices.Sort(names)
	return relay.Position{Index: max(slices.Index(names, shard), 0), Shards: len(names)}
}
