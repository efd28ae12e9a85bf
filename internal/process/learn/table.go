// Package learn estimates run times from those seen. Estimates only order work;
// nothing is granted or ended by them.
package learn

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
)

const (
	// minSamples is how many run times are needed before they count.
	minSamples = 3
	// weight is the part that a new run time has in the estimate.
	weight = 0.2
	// maxKeys bounds the kinds of work that are remembered.
	maxKeys = 10000
)

// Key names work that is expected to run for as long as other such work.
type Key struct {
	Branch  string
	Command string
}

// Table holds an exponentially weighted mean of run times by key. It is not
// safe for concurrent use.
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

// Observe adds the run time of a task that ended well.
func (t *Table) Observe(key Key, ranFor time.Duration) {
	known, _ := t.estimates.Get(key)
	if known.samples == 0 {
		known.mean = ranFor
	} else {
		known.mean += time.Duration(weight * float64(ranFor-known.mean))
	}
	known.samples++
	t.estimates.Add(key, known)
}

// Estimate returns the estimate, or declared while too little was seen.
func (t *Table) Estimate(key Key, declared time.Duration) time.Duration {
	known, ok := t.estimates.Get(key)
	if !ok || known.samples < minSamples {
		return declared
	}
	return known.mean
}
