package sched

import (
	"container/heap"
	"iter"
	"slices"

	"cairnbay"
)

// stageOrder yields stages in order of precedence, and among those of one tier in turn
// between the groups: the next stage is always that of the group with the smallest share
// over weight. A heap of the groups follows the shares as starts change them.
type stageOrder struct {
	// groups is the heap of those with waiting stages in the current tier.
	groups []*group
	// changed are the groups whose shares may have changed since the last stage.
	changed []*group
	// following is set while stages are yielded.
	following bool
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
	return comparePrecedence(a.waiting[0], b.waiting[0]) < 0
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
func (o *stageOrder) noteChange(g *group) {
	if o.following {
		o.changed = append(o.changed, g)
	}
}

// all yields stages that are sorted by comparePrecedence.
func (o *stageOrder) all(sorted []rankedStage) iter.Seq[rankedStage] {
	return func(yield func(rankedStage) bool) {
		o.following = true
		defer func() { o.following, o.changed = false, o.changed[:0] }()
		for len(sorted) > 0 {
			end := 1
			for end < len(sorted) && sameTier(&sorted[0], &sorted[end]) {
				end++
			}
			if !o.tier(sorted[:end], yield) {
				return
			}
			sorted = sorted[end:]
		}
	}
}

// tier yields the stages of one tier.
func (o *stageOrder) tier(stages []rankedStage, yield func(rankedStage) bool) bool {
	o.groups = o.groups[:0]
	for _, entry := range stages {
		group := entry.stage.job.group
		if len(group.waiting) == 0 {
			group.current()
			o.Push(group)
		}
		group.waiting = append(group.waiting, entry)
	}
	heap.Init(o)
	for len(o.groups) > 0 {
		first := o.groups[0]
		entry := first.waiting[0]
		first.waiting = first.waiting[1:]
		if len(first.waiting) == 0 {
			heap.Pop(o)
		} else {
			heap.Fix(o, 0)
		}
		if !yield(entry) {
			o.clear()
			return false
		}
		o.followChanges()
	}
	return true
}

// followChanges restores the order of the groups after a stage was planned.
func (o *stageOrder) followChanges() {
	for _, group := range o.changed {
		if group.stale && group.heapIndex != notInHeap {
			group.current()
			heap.Fix(o, group.heapIndex)
		}
	}
	o.changed = o.changed[:0]
}

// clear drops the stages of a tier that are not to be planned.
func (o *stageOrder) clear() {
	for _, group := range o.groups {
		group.waiting, group.heapIndex = nil, notInHeap
	}
	o.groups = o.groups[:0]
}

// sameTier reports whether the share decides between two stages.
func sameTier(a, b *rankedStage) bool {
	return a.precedence == b.precedence && a.surplus == b.surplus &&
		a.stage.job.workflow.Queue.Priority == b.stage.job.workflow.Queue.Priority
}

// inOrder yields ranked stages in the order in which they are planned. skipped is set if
// other stages wait that the last plan could not place. Shares count only where the work
// that waits may not fit: otherwise the starts would be the same, on other workers.
func (c *Core) inOrder(ranked []rankedStage, skipped bool) iter.Seq[rankedStage] {
	slices.SortFunc(ranked, comparePrecedence)
	if !c.fairness.applies() || !skipped && c.allFit(ranked) {
		return slices.Values(ranked)
	}
	return c.fairness.order.all(ranked)
}

// allFit reports whether the class certainly has capacity for all tasks of the stages.
func (c *Core) allFit(ranked []rankedStage) bool {
	var wanted, free cairnbay.Resources
	for _, entry := range ranked {
		if entry.stage.blockedAtChange > 0 {
			return false
		}
		wanted = wanted.Add(demand(entry.stage.spec).Times(entry.stage.waiting))
	}
	for _, worker := range c.sortedWorkers {
		if worker.usable() {
			free = free.Add(worker.free())
		}
	}
	limits := free.Values()
	for i, amount := range wanted.Values() {
		if float64(amount) > packingEfficiency*float64(limits[i]) {
			return false
		}
	}
	return true
}
