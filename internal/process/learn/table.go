// Package learn estimates the run time of tasks from earlier runs. Estimates only
// affect the order of work; they neither reserve resources nor end tasks.
package learn

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
)

const (
	// minSamples is the number of run times from which an estimate is used.
	minSamples = 3
	// sampleWeight is the weight of a new run time in the moving average.
	sampleWeight = 0.2
	// maxKeys limits the number of estimates; the least recently used is evicted.
	maxKeys = 10000
)

// Key identifies tasks that are expected to have similar run times.
type Key struct {
	Branch  string
	Command string
}

// Table holds an exponentially weighted moving average of run times per key. It
// is not safe for concurrent use.
type Table struct {
	estimates *expirable.LRU[Key, estimate]
}

type estimate struct {
	mean    time.Duration
	samples int
}

// New returns an empty table.
func New() *Table {
	return &Table{estimates: expirable.NewLRU[Key, estimate](maxKeys, nil, 0)}
}

// Observe adds the run time of a task that succeeded.
func (t *Table) Observe(key Key, ranFor time.Duration) {
	current, _ := t.estimates.Get(key)
	if current.samples == 0 {
		current.mean = ranFor
	} else {
		current.mean += time.Duration(sampleWeight * float64(ranFor-current.mean))
	}
	current.samples++
	t.estimates.Add(key, current)
}

// Estimate returns the estimated run time for key, or declared if there are too
// few samples.
func (t *Table) Estimate(key Key, declared time.Duration) time.Duration {
	current, ok := t.estimates.Get(key)
	if !ok || current.samples < minSamples {
		return declared
	}
	return current.mean
}
