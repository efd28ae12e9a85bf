package cairnbay

import "time"

// Clock provides the time and timers of a process. Callbacks run on a goroutine
// of the clock and must not block.
type Clock interface {
	// Now is monotonic time since the process started.
	Now() time.Duration
	// Wall is the wall clock, for records only.
	Wall() time.Time
	// Every calls tick once per period until cancel is called. Ticks missed
	// during a pause of the process are skipped.
	Every(period time.Duration, tick func(now time.Duration)) (cancel func())
	// At calls callback once after deadline, a time as returned by Now, unless it
	// is cancelled before.
	At(deadline time.Duration, callback func(now time.Duration)) (cancel func())
}
