package sched

import (
	"container/heap"
	"iter"
	"slices"

	"cairnbay"
)

// stageOrder yields stages in passes: the entitled work of the groups that do not overload
// the class, see group.holdBack, then their surplus, then the rest. Otherwise the urgent work
// of a group that overloads the class would precede all patient work of the others, and
// usual variations of the small ones would come behind it. Each pass goes by precedence, and
// among the stages of one tier by share over weight: the next stage is always that of the
// group with the smallest. A heap of the groups follows the shares as starts change them.
type stageOrder struct {
	// sorted are the stages by comparePrecedence, planned those that were yielded.
	sorted  []rankedStage
	planned []bool
	// groups is the heap of those with waiting stages in the current tier.
	groups []*group
	// changed are the groups whose shares may have changed since the last stage.
	changed []*group
	// following is set while stages are yielded.
	following bool
	pass      orderPass
	// usable is the capacity of the usable workers, free what is left of it.
	usable, free cairnbay.Resources
	// hold, if set, is called for each stage that waits because too little is free.
	hold func(*stage)
	// headroom is set if the last pass leaves some capacity free.
	headroom bool
	// overloaded is set if some group with jobs overloads the class.
	overloaded bool
}

// orderPass is one of the passes in which stages are planned.
type orderPass uint8

const (
	passEntitled orderPass = iota
	passSurplus
	passRest
)

// has reports whether a stage of a group that does not overload the class belongs to a pass.
func (p orderPass) has(entry *rankedStage) bool {
	return p == passRest || entry.urgency != urgencyExpired && entry.surplus == (p == passSurplus)
}

// headroomPart is the part of the class that the last pass leaves free while some group with
// jobs does not overload it. Without it, each urgent task of the others has to stop another
// one: on a full class that kept an eighth of it idle and made all patient work wait.
const headroomPart = 0.12

// mayTake reports whether a stage of the last pass may start tasks.
func (o *stageOrder) mayTake(stage *stage) bool {
	if !o.headroom {
		return true
	}
	usable, free := o.usable.Values(), o.free.Values()
	for i, size := range demand(stage.spec).Values() {
		if size > 0 && float64(free[i]) < headroomPart*float64(usable[i]) {
			return false
		}
	}
	return true
}

// notInHeap is the index of a group without waiting stages in the current tier.
const notInHeap = -1

// Len implements heap.Interface.
func (o *stageOrder) Len() int { return len(o.groups) }

// Less implements heap.Interface.
func (o *stageOrder) Less(i, j int) bool {
	a, b := o.groups[i], o.groups[j]
	if a.level != b.level {
		return a.level < b.level
	}
	return a.waiting[0] < b.waiting[0]
}

// Swap implements heap.Interface.
func (o *stageOrder) Swap(i, j int) {
	o.groups[i], o.groups[j] = o.groups[j], o.groups[i]
	o.groups[i].heapIndex, o.groups[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (o *stageOrder) Push(added any) {
	group := added.(*group)
	group.heapIndex = len(o.groups)
	o.groups = append(o.groups, group)
}

// Pop implements heap.Interface.
func (o *stageOrder) Pop() any {
	last := o.groups[len(o.groups)-1]
	o.groups = o.groups[:len(o.groups)-1]
	last.heapIndex = notInHeap
	return last
}

// noteChange notes that the share of a group may have changed.
func (o *stageOrder) noteChange(g *group, size cairnbay.Resources) {
	if o.following {
		o.free = o.free.Sub(size)
		o.changed = append(o.changed, g)
	}
}

// all yields stages that are sorted by comparePrecedence.
func (o *stageOrder) all(sorted []rankedStage) iter.Seq[rankedStage] {
	return func(yield func(rankedStage) bool) {
		o.sorted, o.planned, o.following = sorted, make([]bool, len(sorted)), true
		defer o.reset()
		for o.pass = passEntitled; o.pass <= passRest; o.pass++ {
			for from := 0; from < len(sorted); {
				to := from + 1
				for to < len(sorted) && sameTier(&sorted[from], &sorted[to]) {
					to++
				}
				if !o.tier(from, to, yield) {
					return
				}
				from = to
			}
		}
	}
}

// tier yields the stages of one tier that belong to the current pass.
func (o *stageOrder) tier(from, to int, yield func(rankedStage) bool) bool {
	for i := from; i < to; i++ {
		group := o.sorted[i].stage.job.group
		if o.planned[i] || !o.pass.has(&o.sorted[i]) || o.holdsBack(group) && !o.sorted[i].replacesOnly {
			continue
		}
		if o.pass == passRest && group.overloads() {
			group.noteOverload()
		}
		if group.heapIndex == notInHeap {
			group.waiting = group.waiting[:0]
			group.current()
			o.Push(group)
		}
		group.waiting = append(group.waiting, i)
	}
	heap.Init(o)
	for len(o.groups) > 0 {
		first := o.groups[0]
		next := first.waiting[0]
		o.planned[next] = true
		if first.waiting = first.waiting[1:]; len(first.waiting) == 0 {
			heap.Pop(o)
		} else {
			heap.Fix(o, 0)
		}
		entry := o.sorted[next]
		switch {
		case !o.isDue(&entry):
		case o.pass == passRest && !o.mayTake(entry.stage):
			o.hold(entry.stage)
		case !yield(entry):
			return false
		}
		o.followChanges()
	}
	return true
}

// isDue reports whether an entry needs a plan of its own: that of the tasks which replace
// others if the rest of the stage comes later, the other one if tasks still wait.
func (o *stageOrder) isDue(entry *rankedStage) bool {
	if entry.replacesOnly {
		return entry.stage.job.surplus || o.holdsBack(entry.stage.job.group)
	}
	return entry.stage.waiting > 0
}

// holdsBack reports whether the work of a group comes last, but for tasks that last and have
// run before: these only replace what the group held when they were lost.
func (o *stageOrder) holdsBack(g *group) bool {
	return o.pass < passRest && g.holdBack()
}

// keepReplacing leaves only such tasks to a group that is held back from now on, and reports
// whether it has any.
func (o *stageOrder) keepReplacing(g *group) bool {
	g.waiting = slices.DeleteFunc(g.waiting, func(i int) bool { return !o.sorted[i].replacesOnly })
	return len(g.waiting) > 0
}

// followChanges restores the order of the groups after a stage was planned.
func (o *stageOrder) followChanges() {
	for _, group := range o.changed {
		switch {
		case !group.stale || group.heapIndex == notInHeap:
		case o.holdsBack(group) && !o.keepReplacing(group):
			heap.Remove(o, group.heapIndex)
		default:
			group.current()
			heap.Fix(o, group.heapIndex)
		}
	}
	o.changed = o.changed[:0]
}

// reset drops the stages that are not to be planned.
func (o *stageOrder) reset() {
	for _, group := range o.groups {
		group.heapIndex = notInHeap
	}
	o.groups, o.changed, o.sorted, o.planned, o.following = o.groups[:0], o.changed[:0], nil, nil, false
}

// sameTier reports whether the share decides between two stages.
func sameTier(a, b *rankedStage) bool {
	return a.precedence == b.precedence && a.surplus == b.surplus &&
		a.stage.job.workflow.Queue.Priority == b.stage.job.workflow.Queue.Priority
}

// inOrder yields ranked stages in the order in which they are planned. skipped is set if
// other stages wait that the last plan could not place. Shares count only where the work
// that waits may not fit: otherwise the starts would be the same, on other workers.
func (c *Core) inOrder(now Moment, ranked []rankedStage, skipped bool) iter.Seq[rankedStage] {
	order := &c.fairness.order
	if c.fairness.applies() {
		c.fairness.now = now.BootTime
		order.usable, order.free = c.usableCapacity(now)
	}
	if !c.fairness.applies() || !skipped && allFit(ranked, order.free) {
		slices.SortFunc(ranked, comparePrecedence)
		return slices.Values(ranked)
	}
	ranked = addReplacements(ranked)
	slices.SortFunc(ranked, comparePrecedence)
	order.overloaded, order.headroom = c.fairness.groupsByOverload()
	order.hold = func(held *stage) { held.blockedAtChange = c.changeCount }
	return order.all(ranked)
}

// addReplacements adds an entry for the tasks of each stage that last and may have run.
// They are part of what their group was given, so neither its share nor a surplus of jobs
// delays their next start.
func addReplacements(ranked []rankedStage) []rankedStage {
	for _, entry := range ranked {
		if entry.stage.mayReplace() {
			entry.replacesOnly, entry.surplus, entry.precedence = true, false, precedence(entry.urgency)
			ranked = append(ranked, entry)
		}
	}
	return ranked
}

// usableCapacity sums the capacity of the usable workers, and what is free of it on those
// that are not reserved.
func (c *Core) usableCapacity(now Moment) (usable, free cairnbay.Resources) {
	for _, worker := range c.sortedWorkers {
		if !worker.usable() {
			continue
		}
		usable = usable.Add(worker.entry.Capacity)
		if worker.reservedFor == nil || worker.reservedUntil <= now.BootTime {
			free = free.Add(worker.free())
		}
	}
	return usable, free
}

// allFit reports whether the free capacity suffices for all tasks of the stages, and none
// has waited for it before.
func allFit(ranked []rankedStage, free cairnbay.Resources) bool {
	var wanted cairnbay.Resources
	for _, entry := range ranked {
		if entry.stage.blockedAtChange > 0 {
			return false
		}
		wanted = wanted.Add(demand(entry.stage.spec).Times(entry.stage.waiting))
	}
	limits := free.Values()
	for i, amount := range wanted.Values() {
		if float64(amount) > packingEfficiency*float64(limits[i]) {
			return false
		}
	}
	return true
}
