package sched

import "time"

const (
	// discardShare bounds the work that moves and copies discard, as a share of the
	// running resource-time of discardWindow.
	discardShare = 0.05
	// patientDiscardShare is the bound beyond which patient work discards nothing, so
	// that the moves of the many patient runs on a disturbed worker leave enough for
	// urgent ones.
	patientDiscardShare = 0.02
	// discardWindow is the time over which both are counted.
	discardWindow = 10 * time.Second
	// discardBucket is the resolution of the window.
	discardBucket  = time.Second
	discardBuckets = int(discardWindow / discardBucket)
)

// discards counts the resource-time of the last discardWindow, in seconds of a whole
// worker: that of all attempts, and what moves and copies have discarded of it.
type discards struct {
	buckets [discardBuckets]struct{ used, discarded float64 }
	// bucket is the number of the current bucket since boot, countedAt when the use was
	// counted last.
	bucket    int64
	countedAt time.Duration
}

// advance drops the buckets that are older than the window.
func (d *discards) advance(now Moment) {
	current := int64(now.BootTime / discardBucket)
	for steps := 0; d.bucket < current && steps < discardBuckets; steps++ {
		d.bucket++
		clear(d.buckets[d.bucket%int64(discardBuckets):][:1])
	}
	d.bucket = current
}

// count adds what is in use since the last call. A pause of the owner counts as one
// bucket at most, since nothing is known of it.
func (d *discards) count(now Moment, workers []*worker) {
	d.advance(now)
	elapsed := min(now.BootTime-d.countedAt, discardBucket).Seconds()
	if d.countedAt == 0 {
		elapsed = 0
	}
	d.countedAt = now.BootTime
	used := 0.0
	for _, w := range workers {
		if len(w.attempts) > 0 {
			used += w.used.DominantShare(w.entry.Capacity)
		}
	}
	d.buckets[d.bucket%int64(discardBuckets)].used += used * elapsed
}

// allow reports whether an amount may be discarded within a share, and counts it if so.
func (d *discards) allow(now Moment, amount, share float64) bool {
	d.advance(now)
	used, discarded := 0.0, amount
	for _, bucket := range d.buckets {
		used += bucket.used
		discarded += bucket.discarded
	}
	if discarded > share*used {
		return false
	}
	d.buckets[d.bucket%int64(discardBuckets)].discarded += amount
	return true
}
