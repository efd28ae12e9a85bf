package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"cairnbay/platform/stand"
)

const (
	// quotaWorkspace is the workspace of all jobs, quotaKey its API key.
	quotaWorkspace = "soak"
	quotaKey       = "soak-key"
	// quotaApply is how long after a change the former quota counts as well.
	quotaApply = 3 * time.Second
	// quotaOverage is the share above the quota that is no violation, beyond one task.
	quotaOverage = 0.1
	// quotaSamplePeriod is how often the running total is taken. Starts between two samples
	// count as one, so that a violation of a task or two may be missed, and none invented
	// as long as as many tasks end as start.
	quotaSamplePeriod = 2 * time.Millisecond
	// quotaLeast is the least quota, in tasks; a gang has at most six members.
	quotaLeast = 6
	// quotaChangeShare is one in so many faults that changes the quota as well.
	quotaChangeShare = 4
)

// quotaCheck compares what the workers run with the quota of the workspace.
type quotaCheck struct {
	// tasks is the quota, former the highest one that may still count until formerUntil.
	tasks, former int
	formerUntil   time.Time
	running       int
	broken        []string
}

// configuration returns the configuration in force, with the workspace if it has a quota.
func (w *world) configuration() []byte {
	if w.config.Quota == 0 {
		return stand.Config(w.version, class, host, prefix, w.terms)
	}
	return stand.TenantConfig(w.version, class, host, prefix, "", w.terms, []stand.Tenant{{
		Name: quotaWorkspace, APIKeys: []string{quotaKey}, Weight: 100, MilliCPU: int64(w.quota.tasks) * taskSize.MilliCPU,
	}})
}

// authenticate adds the key of the workspace to a call.
func (w *world) authenticate(request *http.Request) {
	if w.config.Quota > 0 {
		request.Header.Set("Authorization", "Token "+quotaKey)
	}
}

// changeQuota sets the quota to between quotaLeast and the one of the run.
func (w *world) changeQuota(tasks int) {
	if w.config.Quota == 0 {
		return
	}
	w.mu.Lock()
	if time.Now().After(w.quota.formerUntil) {
		w.quota.former = 0
	}
	w.quota.former, w.quota.formerUntil = max(w.quota.tasks, w.quota.former), time.Now().Add(quotaApply)
	w.quota.tasks = tasks
	w.mu.Unlock()
	w.configure()
}

// drawQuota changes the quota now and then, beside a fault.
func (w *world) drawQuota(random *rand.Rand) {
	if w.config.Quota <= quotaLeast || random.IntN(quotaChangeShare) > 0 {
		return
	}
	tasks := quotaLeast + random.IntN(w.config.Quota-quotaLeast+1)
	w.changeQuota(tasks)
	fmt.Fprintf(w.config.Out, "          quota of %d tasks, configuration %d\n", tasks, w.version)
}

// watchQuota takes the running total until the world is closed.
func (w *world) watchQuota() {
	if w.config.Quota > 0 {
		w.clock.Every(quotaSamplePeriod, func(time.Duration) { w.checkQuota() })
	}
}

func (w *world) checkQuota() {
	total := 0
	for _, life := range w.fleet.Lives() {
		total += len(w.fleet.Running(life.ID))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	bound := w.quota.tasks
	if time.Now().Before(w.quota.formerUntil) {
		bound = max(bound, w.quota.former)
	}
	if total > w.quota.running && float64(total) > float64(bound)*(1+quotaOverage)+1 {
		w.quota.broken = append(w.quota.broken, fmt.Sprintf("%d tasks run after a start, of a quota of %d", total, bound))
	}
	w.quota.running = total
}

// quotaBroken returns the violations seen.
func (w *world) quotaBroken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.quota.broken
}
