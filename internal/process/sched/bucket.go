package sched

// bucket is a token bucket of the jobs that a workspace is entitled to. It holds one
// second's worth of them.
type bucket struct {
	tokens float64
	// atMS is the wall clock up to which tokens were added, 0 for a bucket that is full.
	atMS int64
}

// minBucketSize lets a workspace with a weight below one job a second have a job at all.
const minBucketSize = 1

// refilled returns the bucket as it is at a time. A time before that of an earlier call
// adds nothing: another instance's clock may be ahead.
func (b bucket) refilled(unixMS int64, perSecond float64) bucket {
	if perSecond <= 0 {
		return bucket{atMS: unixMS}
	}
	size := max(perSecond, minBucketSize)
	if b.atMS == 0 {
		return bucket{size, unixMS}
	}
	if elapsed := unixMS - b.atMS; elapsed > 0 {
		b.tokens += perSecond * float64(elapsed) / 1000
		b.atMS = unixMS
	}
	b.tokens = min(b.tokens, size)
	return b
}

// has reports whether a job that arrives at a time is within the rate.
func (b bucket) has(unixMS int64, perSecond float64) bool {
	return b.refilled(unixMS, perSecond).tokens >= 1
}

// take counts a job that was accepted at a time, and reports whether it is within the
// rate. A job beyond it takes nothing.
func (b *bucket) take(unixMS int64, perSecond float64) bool {
	*b = b.refilled(unixMS, perSecond)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
