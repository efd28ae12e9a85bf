package sched

import (
	"cmp"
	"slices"
	"time"

	"cairnbay"
)

// QuotaDemand is what the waiting work of a workspace needs beyond its part.
type QuotaDemand struct {
	Workspace string
	// Use is what is in use, Wanted the demand of the waiting tasks that can start now, and
	// Missing what the part lacks for both.
	Use, Wanted, Missing cairnbay.Resources
	// LatestStartUnixMS is the latest start of the most urgent of these tasks, HeldFor how
	// long it has been held back.
	LatestStartUnixMS int64
	HeldFor           time.Duration
	// Job is the most urgent job.
	Job string
}

// maxDemandStages bounds the stages of a workspace that are counted, most urgent first,
// since each is compared with the workers.
const maxDemandStages = 8

// QuotaDemands returns the workspaces of which waiting work is held back by their part
// and fits on workers now. Of urgent work that fits on no worker yet, one task or gang
// counts: it would otherwise get no part before others have taken what becomes free.
func (c *Core) QuotaDemands(now Moment) (demands []QuotaDemand) {
	waiting := make(map[*workspace][]*stage)
	for stage := range c.readyStages {
		if workspace := stage.job.workspace; workspace != nil && workspace.configured && workspace.limited() &&
			(!c.blockInherited || !stage.job.inherited) {
			waiting[workspace] = append(waiting[workspace], stage)
		}
	}
	for workspace, stages := range waiting {
		held := slices.ContainsFunc(stages, func(stage *stage) bool {
			return workspace.partRoom(demand(stage.spec), cairnbay.Resources{}) < stage.waiting
		})
		if !held {
			workspace.heldSince = 0
			continue
		}
		if found, ok := c.quotaWanted(now, workspace, stages, true); ok && !found.Missing.IsZero() {
			if workspace.heldSince == 0 {
				workspace.heldSince = now.BootTime
			}
			found.HeldFor = now.BootTime - workspace.heldSince
			demands = append(demands, found)
		} else {
			workspace.heldSince = 0
		}
	}
	slices.SortFunc(demands, func(a, b QuotaDemand) int {
		return cmp.Or(cmp.Compare(a.LatestStartUnixMS, b.LatestStartUnixMS), cmp.Compare(a.Workspace, b.Workspace))
	})
	return demands
}

// QuotaWanted returns what the waiting work of a workspace needs that fits on workers
// now, whether or not its part has room; false if nothing does.
func (c *Core) QuotaWanted(now Moment, name string) (QuotaDemand, bool) {
	workspace := c.workspaces[name]
	if workspace == nil || !workspace.configured || !workspace.limited() {
		return QuotaDemand{}, false
	}
	var stages []*stage
	for stage := range c.readyStages {
		if stage.job.workspace == workspace && (!c.blockInherited || !stage.job.inherited) {
			stages = append(stages, stage)
		}
	}
	wanted, ok := c.quotaWanted(now, workspace, stages, false)
	if workspace.heldSince > 0 {
		wanted.HeldFor = now.BootTime - workspace.heldSince
	}
	return wanted, ok
}

// quotaWanted adds up what the stages of a workspace need. urgentToo also counts one
// task or gang of urgent work that fits on no worker.
func (c *Core) quotaWanted(now Moment, w *workspace, stages []*stage, urgentToo bool) (QuotaDemand, bool) {
	ranked := make([]rankedStage, 0, len(stages))
	for _, stage := range stages {
		ranked = append(ranked, c.rankStage(now, stage))
	}
	slices.SortFunc(ranked, comparePrecedence)
	wanted := QuotaDemand{Workspace: w.terms.Name, Use: w.use()}
	found := false
	// Stages are counted against the same free capacity, which all together cannot exceed.
	free := c.freeCapacity()
	for _, entry := range ranked[:min(len(ranked), maxDemandStages)] {
		stage := entry.stage
		unit := stage.startUnit()
		if stage.waiting < unit || stage.gangAborting || exceeds(w.terms.Quota, w.terms.Quota, demand(stage.spec).Times(unit)) {
			continue
		}
		count := c.fittingNow(now, stage, stage.waiting, false)
		if count < unit && urgentToo && !found && entry.urgency == urgencyInTime &&
			c.fittingNow(now, stage, unit, true) >= unit {
			count = unit
			free = larger(free, demand(stage.spec).Times(unit))
		}
		if count < unit {
			continue
		}
		latest := now.UnixMS + (entry.latestStart - now.BootTime).Milliseconds()
		if !found || latest < wanted.LatestStartUnixMS {
			wanted.LatestStartUnixMS = latest
		}
		if !found {
			wanted.Job = stage.job.workflow.ID
		}
		found = true
		wanted.Wanted = wanted.Wanted.Add(demand(stage.spec).Times(count))
	}
	wanted.Wanted = smaller(wanted.Wanted, free)
	wanted.Missing = missingFrom(w.terms.Quota, w.terms.Part, wanted.Use, wanted.Wanted)
	return wanted, found
}

// freeCapacity sums what is free on usable workers.
func (c *Core) freeCapacity() (free cairnbay.Resources) {
	for _, worker := range c.sortedWorkers {
		if worker.usable() {
			free = free.Add(larger(worker.free(), cairnbay.Resources{}))
		}
	}
	return free
}

// missingFrom is what the part lacks for the use and the wanted amount, within the quota.
func missingFrom(quota, part, use, wanted cairnbay.Resources) cairnbay.Resources {
	quotas, parts, uses, wants := quota.Values(), part.Values(), use.Values(), wanted.Values()
	var missing [cairnbay.Dimensions]int64
	for i := range missing {
		if quotas[i] > 0 && wants[i] > 0 {
			missing[i] = max(min(uses[i]+wants[i], quotas[i])-parts[i], 0)
		}
	}
	return cairnbay.Resources{MilliCPU: missing[0], MemoryMB: missing[1], Accelerators: missing[2]}
}

// fittingNow counts the tasks of a stage, up to limit, that fit on the workers now, or
// on the workers if they were empty.
func (c *Core) fittingNow(now Moment, stage *stage, limit int, empty bool) int {
	return c.fitting(now, stage, limit, func(w *worker) int {
		if empty {
			return maxTasksOn(w, stage.spec)
		}
		return w.fitCount(stage.spec)
	})
}

// fittingBesideLasting counts the tasks of a stage, up to limit, that fit on the workers
// once all that ends there is gone.
func (c *Core) fittingBesideLasting(now Moment, stage *stage, limit int) int {
	return c.fitting(now, stage, limit, func(w *worker) int {
		lasting := worker{entry: w.entry}
		for _, a := range w.attempts {
			if a.stage != nil && a.stage != stage && a.stage.spec.LongRunning {
				lasting.used = lasting.used.Add(a.size)
			}
		}
		return lasting.fitCount(stage.spec)
	})
}

// fitting counts the tasks of a stage, up to limit, that fit on the workers that the policy
// service has not ruled out. fits counts those that fit on one.
func (c *Core) fitting(now Moment, stage *stage, limit int, fits func(*worker) int) int {
	count := 0
	for _, worker := range c.sortedWorkers {
		if count >= limit {
			break
		}
		if !c.acceptsTasks(now, worker) || !worker.canRun(stage.spec) {
			continue
		}
		if stage.advice != nil && stage.advice.decided(worker.entry.ID) && !stage.advice.allowed(worker.entry.ID) {
			continue
		}
		count += fits(worker)
	}
	return min(count, limit)
}
