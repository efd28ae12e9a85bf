package drive

import (
	"fmt"
	"time"

	"cairnbay/internal/process/sched"
)

const (
	// maxNamedWorkspaces bounds the workspaces with metrics of their own, so that the
	// number of metrics does not grow with the configuration.
	maxNamedWorkspaces = 10
	// otherWorkspaces is the label of the rest, publicJobs that of jobs without one.
	otherWorkspaces = "(others)"
	publicJobs      = "(none)"
	// shareMeterPeriod is the time between updates; metrics are scraped less often.
	shareMeterPeriod = time.Second
)

// shareMeters exports the shares of the largest workspaces of a shard, and of the rest
// together.
type shareMeters struct {
	meters    meters
	updatedAt time.Duration
	// exported are the names of the metrics that exist.
	exported map[string]struct{}
}

func newShareMeters(m meters) *shareMeters {
	return &shareMeters{meters: m, exported: make(map[string]struct{})}
}

// update exports the current shares; the caller holds the lock of the core.
func (m *shareMeters) update(now time.Duration, core *sched.Core) {
	if now-m.updatedAt < shareMeterPeriod {
		return
	}
	m.updatedAt = now
	current := make(map[string]float64)
	for i, workspace := range core.WorkspaceShares() {
		label := workspace.Name
		switch {
		case label == "":
			label = publicJobs
		case i >= maxNamedWorkspaces:
			label = otherWorkspaces
		}
		current[m.name("cairnbay_workspace_share", label)] += workspace.Share
		current[m.name("cairnbay_workspace_jobs", label)] += float64(workspace.Jobs)
		current[m.name("cairnbay_workspace_surplus_jobs", label)] += float64(workspace.Surplus)
	}
	for name, value := range current {
		m.meters.set.GetOrCreateGauge(name, nil).Set(value)
		m.exported[name] = struct{}{}
	}
	m.removeExcept(current)
}

// removeExcept removes the metrics that are not current; all for a shard that this
// instance no longer owns.
func (m *shareMeters) removeExcept(current map[string]float64) {
	for name := range m.exported {
		if _, ok := current[name]; !ok {
			m.meters.set.UnregisterMetric(name)
			delete(m.exported, name)
		}
	}
}

func (m *shareMeters) name(metric, workspace string) string {
	return fmt.Sprintf("%s{shard=%q,workspace=%q}", metric, m.meters.shard, workspace)
}
