package sched

import (
	"math"
	"slices"
	"time"

	"cairnbay"
)

const (
	// unknownWorkspaceTime is how long the jobs of a workspace wait that the configuration
	// in force does not have. Within it every instance adopts a newer configuration; after
	// it the workspace is assumed to be withdrawn, and its accepted jobs have no quota.
	unknownWorkspaceTime = 10 * time.Second
	// gangQuotaHold is how long, in each gangQuotaPeriod, the starts of a workspace are
	// held back for a gang that needs more than what is left of its part. Single tasks
	// would take what becomes free, and the gang would never start. It is shorter than the
	// 3 s for which a job that fits may have nothing running.
	gangQuotaHold   = 2 * time.Second
	gangQuotaPeriod = 6 * time.Second
	// maxCopies is how many attempts of one task of a speculative step may exist.
	maxCopies = 2
)

// ReasonQuotaTooSmall is for a job with a task, or a gang, larger than the whole quota
// of its workspace.
const ReasonQuotaTooSmall = "quota_too_small"

// partRoom counts the tasks of a size that the part of the workspace has room for.
func (w *workspace) partRoom(size, withheld cairnbay.Resources) int {
	room := math.MaxInt
	quota, part, sizes := w.terms.Quota.Values(), w.terms.Part.Values(), size.Values()
	used := w.use().Add(withheld).Values()
	for i, limit := range quota {
		if limit > 0 && sizes[i] > 0 {
			room = min(room, int(max(part[i]-used[i], 0)/sizes[i]))
		}
	}
	return room
}

// use is what is attached and, during recovery, what may run unknown.
func (w *workspace) use() cairnbay.Resources {
	return w.account.Used.Add(w.unknown)
}

// limited reports whether the workspace has a quota in any resource.
func (w *workspace) limited() bool {
	return !w.terms.Quota.IsZero()
}

// quotaRoom counts the tasks of the stage that may start within the part of its
// workspace. A replacement of a long-running task precedes other work.
func (c *Core) quotaRoom(now Moment, stage *stage) int {
	workspace := stage.job.workspace
	switch {
	case workspace == nil || !c.termsKnown:
		return math.MaxInt
	case !workspace.configured:
		if now.BootTime-workspace.seenAt < unknownWorkspaceTime {
			return 0
		}
		return math.MaxInt
	case !workspace.limited():
		return math.MaxInt
	case workspace.heldFor != nil && workspace.heldFor != stage:
		return 0
	case stage.replaces():
		return workspace.partRoom(demand(stage.spec), cairnbay.Resources{})
	default:
		return workspace.partRoom(demand(stage.spec), workspace.withheld)
	}
}

// startUnit is the least number of the stage's tasks that may start at once.
func (s *stage) startUnit() int {
	if s.spec.Gang {
		return len(s.tasks)
	}
	return 1
}

// replaces reports whether a task of a long-running step that ended waits for its next
// start.
func (s *stage) replaces() bool {
	return s.spec.LongRunning && slices.ContainsFunc(s.tasks, func(one task) bool {
		return !one.done && one.attempt == nil && one.lastAttempt > 0
	})
}

// mayReplace reports the same as far as is known: one of a former owner's tasks may have
// ended under that owner.
func (s *stage) mayReplace() bool {
	return s.replaces() || s.spec.LongRunning && s.job.inherited && s.waiting > 0
}

// mayHaveRun reports whether a task was ordered before, as far as is known: any of a former
// owner's may have been.
func (s *stage) mayHaveRun(task *task) bool {
	return task.lastAttempt > 0 || s.job.inherited
}

// heldByQuota reports whether nothing of the stage may start because of its workspace.
// For a limited time a gang that waits for room in the part holds back the stages of its
// workspace that come after it.
func (c *Core) heldByQuota(now Moment, stage *stage) bool {
	unit := stage.startUnit()
	if c.quotaRoom(now, stage) >= unit {
		stage.quotaHeldSince = 0
		return false
	}
	c.quotaHeld = true
	workspace := stage.job.workspace
	if !stage.spec.Gang || workspace.heldFor != nil || !workspace.configured {
		return true
	}
	if stage.quotaHeldSince == 0 {
		stage.quotaHeldSince = now.BootTime
	}
	whole := demand(stage.spec).Times(unit)
	if (now.BootTime-stage.quotaHeldSince)%gangQuotaPeriod < gangQuotaHold && !exceeds(workspace.terms.Quota, workspace.terms.Part, whole) {
		workspace.heldFor = stage
	}
	return true
}

// exceeds reports whether an amount is above a limit in a resource that has a quota.
func exceeds(quota, limit, amount cairnbay.Resources) bool {
	quotas, limits, amounts := quota.Values(), limit.Values(), amount.Values()
	for i := range quotas {
		if quotas[i] > 0 && amounts[i] > 0 && amounts[i] > limits[i] {
			return true
		}
	}
	return false
}

// exceedsPart reports whether the workspace of the stage has more in use than its part,
// in a resource that the stage needs.
func (c *Core) exceedsPart(stage *stage) bool {
	workspace := stage.job.workspace
	if workspace == nil || !workspace.limited() {
		return false
	}
	quota, part := workspace.terms.Quota.Values(), workspace.terms.Part.Values()
	used, sizes := workspace.use().Values(), demand(stage.spec).Values()
	for i := range quota {
		if quota[i] > 0 && sizes[i] > 0 && used[i] > part[i] {
			return true
		}
	}
	return false
}

// heldWhenReady reports whether the part has no room for a stage even once its
// predecessors have ended.
func (c *Core) heldWhenReady(now Moment, stage *stage) bool {
	workspace := stage.job.workspace
	if workspace == nil || !workspace.limited() {
		return c.quotaRoom(now, stage) < stage.startUnit()
	}
	var ending cairnbay.Resources
	for _, step := range stage.spec.After {
		if predecessor := stage.job.stages[stageKey{stage.key.occurrence, step}]; predecessor != nil {
			ending = ending.Add(demand(predecessor.spec).Times(predecessor.liveAttempts))
		}
	}
	return workspace.partRoom(demand(stage.spec), cairnbay.Resources{}.Sub(ending)) < stage.startUnit()
}

// beginQuotaPlan prepares the workspaces for a plan.
func (c *Core) beginQuotaPlan(now Moment) {
	c.quotaHeld = false
	if !c.termsKnown || len(c.workspaces) == 0 {
		return
	}
	c.updateUnknownUse()
	for _, workspace := range c.workspaces {
		workspace.heldFor, workspace.withheld = nil, cairnbay.Resources{}
	}
	for stage := range c.readyStages {
		workspace := stage.job.workspace
		if workspace == nil || !workspace.limited() || !stage.replaces() || c.blockInherited && stage.job.inherited {
			continue
		}
		if fits := c.fittingNow(now, stage, stage.waiting, true); fits > 0 {
			workspace.withheld = workspace.withheld.Add(demand(stage.spec).Times(fits))
		}
	}
}

// updateUnknownUse bounds what inherited jobs of each workspace may have running on
// workers that have not answered this owner: their unfinished tasks that are not known
// to run, and never more than these workers' capacity.
func (c *Core) updateUnknownUse() {
	for _, workspace := range c.workspaces {
		workspace.unknown = cairnbay.Resources{}
	}
	if !c.blockInherited {
		return
	}
	var silent cairnbay.Resources
	for _, worker := range c.sortedWorkers {
		if !worker.claimed {
			silent = silent.Add(worker.entry.Capacity)
		}
	}
	for _, job := range c.jobs {
		if !job.inherited || job.workspace == nil {
			continue
		}
		for _, stage := range job.stages {
			copies := 1
			if stage.spec.Speculative {
				copies = maxCopies
			}
			job.workspace.unknown = job.workspace.unknown.Add(demand(stage.spec).Times(stage.waiting * copies))
		}
	}
	for _, workspace := range c.workspaces {
		workspace.unknown = smaller(workspace.unknown, silent)
	}
}

// smaller returns the lesser amount of each resource.
func smaller(a, b cairnbay.Resources) cairnbay.Resources {
	return cairnbay.Resources{
		MilliCPU: min(a.MilliCPU, b.MilliCPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// larger returns the greater amount of each resource.
func larger(a, b cairnbay.Resources) cairnbay.Resources {
	return cairnbay.Resources{
		MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// QuotaHeld reports whether the last Plan left a stage out because of its workspace.
func (c *Core) QuotaHeld() bool {
	return c.quotaHeld
}

// QuotaCharged returns what a workspace is known to have in use in this shard.
func (c *Core) QuotaCharged(name string) cairnbay.Resources {
	workspace := c.workspaces[name]
	if workspace == nil {
		return cairnbay.Resources{}
	}
	return workspace.account.Used
}

// QuotaUse returns what a workspace has in use in this shard, with the bound on what may
// run unknown during recovery.
func (c *Core) QuotaUse(name string) cairnbay.Resources {
	workspace := c.workspaces[name]
	if workspace == nil {
		return cairnbay.Resources{}
	}
	if c.blockInherited {
		c.updateUnknownUse()
	}
	return workspace.use()
}

// tooLargeForQuota returns the resource in which a task or gang of the workflow exceeds
// the whole quota of its workspace, empty if none does.
func (c *Core) tooLargeForQuota(workflow *cairnbay.Workflow) string {
	workspace := c.workspaces[workflow.Workspace]
	if workspace == nil || !workspace.limited() {
		return ""
	}
	quota := workspace.terms.Quota.Values()
	for i := range workflow.Steps {
		spec := &workflow.Steps[i]
		whole := demand(spec)
		if spec.Gang {
			whole = whole.Times(spec.Tasks)
		}
		for dimension, amount := range whole.Values() {
			if quota[dimension] > 0 && amount > quota[dimension] {
				return resourceNames[dimension]
			}
		}
	}
	return ""
}

// resourceNames are the resources by dimension, for refusals.
var resourceNames = [cairnbay.Dimensions]string{"processors", "memory", "accelerators"}
