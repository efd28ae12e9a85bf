// Package cutoff reports the cuts of a member: the periods in which it reached
// neither the platform's store nor another data centre.
package cutoff

import (
	"strconv"
	"time"

	"cairnbay"
	"cairnbay/internal/process/audit"
)

const (
	// checkPeriod is the interval between checks of the store.
	checkPeriod = time.Second
	// contactSlack is the time at either end of a cut in which the last heartbeat of
	// another data centre does not count: it may still arrive after the store stopped
	// answering, or before the store answers again.
	contactSlack = 5 * time.Second
	// minCut is the shortest cut that is reported. A measured cut starts at the first
	// failed call of the store and ends at the check that finds the store answering,
	// up to one checkPeriod late.
	minCut = 3 * checkPeriod
)

// Config configures a Monitor.
type Config struct {
	Clock cairnbay.Clock
	// StoreFailingFor returns how long the store has failed to answer, 0 while it
	// answers.
	StoreFailingFor func() time.Duration
	// LastRemoteContact returns the time of the last heartbeat from a member of
	// another data centre, in the time of Clock.Now; negative if there was none.
	LastRemoteContact func() time.Duration
	// Report receives the exception for each cut, after its end.
	Report func(cairnbay.Exception)
}

// Monitor detects the cuts of a member and reports each after its end. No settings
// version can reach the member during a cut.
type Monitor struct {
	config Config
	cancel func()
	// failingSince is when the store stopped answering, -1 while it answers.
	failingSince time.Duration
}

// New returns a Monitor that checks the store once a second until Close.
func New(config Config) *Monitor {
	monitor := &Monitor{config: config, failingSince: -1}
	monitor.cancel = config.Clock.Every(checkPeriod, monitor.check)
	return monitor
}

// Close stops the checks.
func (m *Monitor) Close() {
	m.cancel()
}

// check tracks whether the store answers, and reports a cut when it answers again.
func (m *Monitor) check(now time.Duration) {
	failing := m.config.StoreFailingFor()
	switch {
	case failing > 0 && m.failingSince < 0:
		m.failingSince = now - failing
	case failing == 0 && m.failingSince >= 0:
		m.reportCut(now)
		m.failingSince = -1
	}
}

// reportCut reports the cut that ends now, unless it was too short or another data
// centre was reached during it.
func (m *Monitor) reportCut(now time.Duration) {
	if now-m.failingSince < minCut || m.remoteContactDuring(now) {
		return
	}
	wall := m.config.Clock.Wall().UnixMilli()
	m.config.Report(cairnbay.Exception{
		UnixMS: wall,
		Name:   audit.CutOffName,
		Fields: map[string]string{
			audit.CutOffFrom:  strconv.FormatInt(wall-(now-m.failingSince).Milliseconds(), 10),
			audit.CutOffUntil: strconv.FormatInt(wall, 10),
		},
	})
}

// remoteContactDuring reports whether the last heartbeat of another data centre
// arrived during the cut, more than contactSlack after its start and before its end.
// The slack at the end covers a cut that ends for the store and for the other data
// centres at the same time.
func (m *Monitor) remoteContactDuring(now time.Duration) bool {
	last := m.config.LastRemoteContact()
	return last > m.failingSince+contactSlack && last < now-contactSlack
}
