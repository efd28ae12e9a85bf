package tenure

import (
	"context"
	"errors"
	"time"

	"cairnbay"
	"cairnbay/internal/process/layout"
)

// divideClasses stores the layout of each class that has none, when it is this
// instance's turn.
func (t *Tenure) divideClasses(ctx context.Context) {
	if !t.mirror.Synced() {
		return
	}
	for _, class := range t.config.Classes() {
		if !t.mayDivide(class) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		if divided, ok := t.config.Divide(ctx, class); ok {
			t.divide(ctx, divided)
		}
		cancel()
	}
}

// mayDivide reports whether a class has no layout and the instances before this one
// have had their turn to store one. They stand in the same line as for a shard.
func (t *Tenure) mayDivide(class string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, divided := t.layouts[class]; divided || t.stopping || t.lease == 0 || !t.registered() {
		return false
	}
	now := t.config.BootTime()
	since, ok := t.divideDelayStart[class]
	if !ok {
		t.divideDelayStart[class] = now + settleTime
		return false
	}
	return now-since >= time.Duration(t.rank(class, nil))*rankDelay
}

// divide stores a layout unless the class has one. A class that had an owner before
// classes were divided keeps its journal, and so one shard.
func (t *Tenure) divide(ctx context.Context, divided layout.Layout) {
	log := t.config.Log.WithField("class", divided.Class)
	batch := cairnbay.Batch{Expect: []cairnbay.Expectation{{Key: layoutPrefix + divided.Class}}}
	if divided.Shards > 1 {
		_, err := t.config.Store.Get(ctx, generationPrefix+divided.Class)
		switch {
		case err == nil:
			divided = layout.Layout{Class: divided.Class, Shards: 1}
		case errors.Is(err, cairnbay.ErrNotFound):
			batch.Expect = append(batch.Expect, cairnbay.Expectation{Key: generationPrefix + divided.Class})
		default:
			log.WithError(err).Warn("class not divided")
			return
		}
	}
	value, err := divided.Encode()
	if err != nil {
		log.WithError(err).Error("layout not encoded")
		return
	}
	batch.Puts = []cairnbay.Put{{Key: layoutPrefix + divided.Class, Value: value}}
	// Whatever the outcome, the watch tells which layout is stored.
	if _, err := t.config.Store.Commit(ctx, batch); err != nil && !errors.Is(err, cairnbay.ErrConflict) {
		log.WithError(err).Warn("layout not stored")
	}
}
