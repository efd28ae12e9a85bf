// Package cutoff notes the stretches in which a member could reach neither the
// platform nor another data centre.
package cutoff

import (
	"strconv"
	"time"

	"cairnbay"
	"cairnbay/internal/process/audit"
)

const (
	// period is how often the instance looks whether it is cut off.
	period = time.Second
	// slack is how long after the store fell silent a last heartbeat of
	// another data centre may still arrive.
	slack = 5 * time.Second
	// shortest is the shortest cut that is noted; a cut looks up to a period
	// longer at each end than it is.
	shortest = 3 * period
)

// Config sets up a Monitor.
type Config struct {
	Clock cairnbay.Clock
	// StoreFailingFor is how long the store has failed to answer, 0 while it answers.
	StoreFailingFor func() time.Duration
	// LastRemoteContact is when a member of another data centre was heard last.
	LastRemoteContact func() time.Duration
	Report            func(cairnbay.Exception)
}

// Monitor looks for stretches in which no settings version could arrive.
type Monitor struct {
	config Config
	cancel func()
	// since is when the store fell silent, -1 while it answers.
	since time.Duration
}

// New starts looking once a second. Close ends it.
func New(config Config) *Monitor {
	watch := &Monitor{config: config, since: -1}
	watch.cancel = config.Clock.Every(period, watch.look)
	return watch
}

// Close ends the looking.
func (w *Monitor) Close() {
	w.cancel()
}

func (w *Monitor) look(now time.Duration) {
	failing := w.config.StoreFailingFor()
	switch {
	case failing > 0 && w.since < 0:
		w.since = now - failing
	case failing == 0 && w.since >= 0:
		w.end(now)
		w.since = -1
	}
}

// end notes the stretch unless another data centre was heard during it.
func (w *Monitor) end(now time.Duration) {
	if now-w.since < shortest || w.heardDuring(now) {
		return
	}
	wall := w.config.Clock.Wall().UnixMilli()
	w.config.Report(cairnbay.Exception{
		UnixMS: wall,
		Name:   audit.CutOffName,
		Fields: map[string]string{
			audit.CutOffFrom:  strconv.FormatInt(wall-(now-w.since).Milliseconds(), 10),
			audit.CutOffUntil: strconv.FormatInt(wall, 10),
		},
	})
}

// heardDuring says whether another data centre was heard between the start of
// the stretch and its end; the cut may heal for both at once.
func (w *Monitor) heardDuring(now time.Duration) bool {
	last := w.config.LastRemoteContact()
	return last > w.since+slack && last < now-slack
}
