package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cairnbay"
	"cairnbay/internal/process/quota"
	"cairnbay/internal/process/share"
)

const (
	// useHalfLife is the half-life of the average use of a workspace. It is short, so
	// that a workspace that was idle accumulates no credit for a burst.
	useHalfLife = 5 * time.Second
	// currentPart is the part of the current use in the use by which workspaces are
	// compared. With a half it is the average to which the current use leads within one
	// half-life, so that each start counts at once.
	currentPart = 0.5
	// minPart is the least part of the class that a group may hold before its work comes
	// last: with few jobs at a time, the use of a small workspace is uneven. With 0.06, the
	// jobs of small workspaces came behind those of a large one that overloaded the class.
	minPart = 0.1
	// overloadMemory is how long a group counts as overloading the class after it held its
	// part, or had work that waited because of that. With 1 s, and without regard to the
	// work that waits, a burst of 6 s alternated between both states and stopped the work
	// of others each time.
	overloadMemory = 5 * time.Second
	// guaranteedPart is the part of its own part of the class that a group holds before its
	// work comes last, also while it overloads the class: others, who may hold up to minPart
	// each, could take all of it otherwise.
	guaranteedPart = 0.6
	// minWeight bounds the weights by which shares are divided. A weight of 0 entitles to
	// nothing, yet the work is done when there is capacity.
	minWeight = 0.01
)

// fairness holds the shares of the workspaces. It has no effect on decisions unless the
// configuration has workspaces and at least two groups have jobs.
type fairness struct {
	// configured is set while the configuration has workspaces.
	configured bool
	groups     map[string]*group
	// sequence holds the groups in the order of their creation, so that sums do not
	// depend on the order of a map.
	sequence []*group
	// active counts the groups that have jobs.
	active int
	// meanWeight is the mean of the configured weights.
	meanWeight float64
	// capacity is that of the class at the last tick.
	capacity cairnbay.Resources
	// fairLevel is the share over weight of each group if those with jobs divide the
	// whole class.
	fairLevel   float64
	refreshedAt time.Duration
	// now is the time of the current plan.
	now   time.Duration
	order stageOrder
}

// group is the work that competes as one: that of a workspace, or all jobs without one.
type group struct {
	name     string
	fairness *fairness
	// weight is that of the configuration; known is set once it has the workspace.
	weight float64
	known  bool
	// account holds what the attached attempts reserve.
	account *quota.Account
	// average is the exponential average of what the account has held.
	average share.Use
	// level is the dominant share divided by the weight, valid unless stale.
	level float64
	stale bool
	// jobs counts the jobs that have not ended.
	jobs int
	// activeAt is when it last had some.
	activeAt time.Duration
	// heldBackAt is when work of the group last came in the second pass, see stageOrder;
	// heldBack is set once that has happened.
	heldBackAt time.Duration
	heldBack   bool
	bucket     bucket
	// inherited are the jobs of former owners of which it is not decided yet whether they
	// are surplus.
	inherited []*job
	// waiting are the positions of the stages of the current tier that are not planned
	// yet, heapIndex the group's place among the others; see stageOrder.
	waiting   []int
	heapIndex int
}

func newFairness() *fairness {
	return &fairness{groups: make(map[string]*group), meanWeight: 1}
}

// setWeight adopts the weight of a workspace. A workspace that is no longer in the
// configuration keeps its weight, since its accepted jobs run on.
func (c *Core) setWeight(term WorkspaceTerms) {
	f := c.fairness
	f.configured = true
	group := c.group(term.Name)
	group.weight, group.known = term.Weight, true
	sum, count := 0.0, 0
	for _, group := range f.sequence {
		if group.known {
			sum += group.weight
			count++
		}
	}
	if sum > 0 {
		f.meanWeight = sum / float64(count)
	}
	f.markStale()
}

// group returns the group of a workspace, and that of the jobs without one for the empty
// name.
func (c *Core) group(name string) *group {
	f := c.fairness
	if known := f.groups[name]; known != nil {
		return known
	}
	created := &group{name: name, fairness: f, heapIndex: notInHeap, stale: true}
	if workspace := c.workspace(name); workspace != nil {
		created.account = workspace.account
	} else {
		created.account = &quota.Account{}
	}
	f.groups[name] = created
	f.sequence = append(f.sequence, created)
	return created
}

// shareWeight is the weight that divides shares. A group that the configuration does not
// have counts as a mean workspace.
func (g *group) shareWeight() float64 {
	if !g.known {
		return max(g.fairness.meanWeight, minWeight)
	}
	return max(g.weight, minWeight)
}

// entitledRate is the number of jobs a second that are not surplus.
func (g *group) entitledRate() float64 {
	if !g.known {
		return math.Inf(1)
	}
	return g.weight
}

// addJob counts an accepted job and decides whether it is surplus. The jobs of former
// owners wait for settleInherited, since a journal may list them in any order.
func (g *group) addJob(added *job, inherited bool) {
	g.jobs++
	if g.jobs == 1 {
		g.fairness.active++
		g.fairness.updateFairLevel()
	}
	if inherited {
		g.inherited = append(g.inherited, added)
		return
	}
	g.settleInherited()
	added.surplus = g.known && !g.bucket.take(added.workflow.AcceptedUnixMS, g.entitledRate())
}

// settleInherited decides which inherited jobs are surplus, in the order of their
// acceptance by the wall clock of the owner that accepted them. It does nothing while the
// weight is not known.
func (g *group) settleInherited() {
	if len(g.inherited) == 0 || !g.known {
		return
	}
	slices.SortFunc(g.inherited, func(a, b *job) int {
		return cmp.Or(
			cmp.Compare(a.workflow.AcceptedUnixMS, b.workflow.AcceptedUnixMS),
			cmp.Compare(a.workflow.ID, b.workflow.ID),
		)
	})
	for _, job := range g.inherited {
		job.surplus = !g.bucket.take(job.workflow.AcceptedUnixMS, g.entitledRate())
	}
	g.inherited = nil
}

// removeJob counts the end of a job.
func (g *group) removeJob() {
	g.jobs--
	if g.jobs == 0 {
		g.fairness.active--
		g.fairness.updateFairLevel()
	}
}

// charge notes that the account has changed. The group of the jobs without a workspace
// has an account of its own, to which the change is added.
func (g *group) charge(size cairnbay.Resources) {
	if g.name == "" {
		g.account.Charge(size)
	}
	g.stale = true
	g.fairness.order.noteChange(g, size)
}

// current returns the share over weight.
func (g *group) current() float64 {
	if g.stale {
		use := g.average.Mix(share.Of(g.account.Used), currentPart)
		g.level = use.Weighted(g.fairness.capacity, g.shareWeight())
		g.stale = false
	}
	return g.level
}

// overPart reports whether the group holds more than its part of the class, if those
// with jobs divide the whole class by weight.
func (g *group) overPart() bool {
	return g.current() > max(g.fairness.fairLevel, minPart/g.shareWeight())
}

// holdBack reports whether the group's work comes in the second pass, see stageOrder.
func (g *group) holdBack() bool {
	if g.overPart() {
		g.noteOverload()
	}
	return g.overloads() && g.current() >= guaranteedPart*g.fairness.fairLevel
}

func (g *group) noteOverload() {
	g.heldBack, g.heldBackAt = true, g.fairness.now
}

// overloads reports whether work of the group came last in recent plans, because the group
// holds its part of the class or the work is surplus.
func (g *group) overloads() bool {
	return g.heldBack && g.fairness.now-g.heldBackAt < overloadMemory
}

// groupsByOverload reports whether some group with jobs overloads the class, and whether
// some does not.
func (f *fairness) groupsByOverload() (some, others bool) {
	for _, group := range f.sequence {
		if group.jobs > 0 {
			overloads := group.overloads()
			some, others = some || overloads, others || !overloads
		}
	}
	return some, others
}

// refresh brings the averages up to now. It is called with each tick, so that the use is
// nearly constant between two calls.
func (f *fairness) refresh(now time.Duration) {
	elapsed := now - f.refreshedAt
	f.refreshedAt = now
	part := 1 - math.Exp2(-elapsed.Seconds()/useHalfLife.Seconds())
	for _, group := range f.sequence {
		group.settleInherited()
		if group.jobs > 0 {
			group.activeAt = now
		}
		group.average = group.average.Mix(share.Of(group.account.Used), part)
		group.stale = true
	}
	f.updateFairLevel()
}

func (f *fairness) markStale() {
	for _, group := range f.sequence {
		group.stale = true
	}
	f.updateFairLevel()
}

func (f *fairness) updateFairLevel() {
	sum := f.activeWeight()
	f.fairLevel = math.Inf(1)
	if sum > 0 {
		f.fairLevel = 1 / sum
	}
}

// activeWeight is the sum of the weights of the groups that have jobs, or had some a
// moment ago: a small workspace is often without a job for a moment.
func (f *fairness) activeWeight() (sum float64) {
	for _, group := range f.sequence {
		if group.jobs > 0 || group.activeAt > 0 && f.refreshedAt-group.activeAt < useHalfLife {
			sum += group.shareWeight()
		}
	}
	return sum
}

// applies reports whether decisions depend on shares: whenever at most one group has
// jobs, they are those of a class without workspaces.
func (f *fairness) applies() bool {
	return f.configured && f.active > 1
}

// appliesTo is applies as it is once a group has a job more.
func (f *fairness) appliesTo(g *group) bool {
	return f.applies() || f.configured && f.active == 1 && g.jobs == 0
}

// isSurplus reports whether a job is placed after others as surplus.
func (c *Core) isSurplus(job *job) bool {
	return job.surplus && c.fairness.applies()
}

// WorkspaceShare describes a workspace's part of the class, for metrics.
type WorkspaceShare struct {
	// Name is empty for the jobs without a workspace.
	Name   string
	Weight float64
	// Share is the dominant share of the class in use.
	Share float64
	// Jobs counts those that have not ended, Surplus the ones among them that are surplus.
	Jobs, Surplus int
}

// WorkspaceShares returns the shares of the workspaces, the largest weights first. It is
// empty while the configuration has no workspaces.
func (c *Core) WorkspaceShares() []WorkspaceShare {
	if !c.fairness.configured {
		return nil
	}
	surplus := make(map[*group]int)
	for _, job := range c.jobs {
		if !job.ended && job.surplus {
			surplus[job.group]++
		}
	}
	shares := make([]WorkspaceShare, 0, len(c.fairness.sequence))
	for _, group := range c.fairness.sequence {
		shares = append(shares, WorkspaceShare{
			Name: group.name, Weight: group.shareWeight(), Jobs: group.jobs, Surplus: surplus[group],
			Share: share.Of(group.account.Used).Dominant(c.fairness.capacity),
		})
	}
	slices.SortFunc(shares, func(a, b WorkspaceShare) int {
		return cmp.Or(-cmp.Compare(a.Weight, b.Weight), cmp.Compare(a.Name, b.Name))
	})
	return shares
}
