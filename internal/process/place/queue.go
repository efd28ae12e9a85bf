package place

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"

	"cairnbay"
	"cairnbay/internal/process/quota"
	"cairnbay/internal/process/share"
)

// queue holds the waiting jobs. Jobs of one shape fit on the same workers, and
// those of one group also share their team and quota, so that a decision looks at
// each shape instead of each job.
type queue struct {
	subqueues [cairnbay.Bands][]*subqueue
	shapes    map[shapeKey]*shape
	blocked   map[*shape]struct{}
	teams     map[string]*team
	// parked are the groups that wait until the use of an account falls.
	parked map[*quota.Account][]*group
	// borrowers are the groups beyond their quota, which are tried after all work
	// within quota.
	borrowers []*group
}

// shapeKey determines where a task fits, apart from its quota.
type shapeKey struct {
	size cairnbay.Resources
	kind cairnbay.Kind
	// gang is how many tasks start together, 1 for jobs that are not gangs.
	gang       int
	atMostOnce bool
}

// shape is all waiting work that fits on the same workers.
type shape struct {
	key shapeKey
	// blocked is set when the shape fits nowhere, until a worker gains enough
	// capacity for it.
	blocked       bool
	subqueueCount int
}

// subqueue is the work of one shape in one band.
type subqueue struct {
	band        cairnbay.Band
	shape       *shape
	groups      groupHeap
	groupsByKey map[groupKey]*group
	// nextClaim is the earliest time of the next claim after a failed one.
	nextClaim time.Duration
}

type groupKey struct {
	team    *team
	account *quota.Account
}

// group is the work of one team on one branch in a subqueue.
type group struct {
	subqueue  *subqueue
	key       groupKey
	jobs      jobHeap
	heapIndex int
	// parkedOn is the account that the group waits for; borrowing is set while
	// it is among the borrowers. Otherwise it is in the heap of its subqueue.
	parkedOn  *quota.Account
	borrowing bool
}

// team is a team's weight and its use of the shard.
type team struct {
	name   string
	weight float64
	used   cairnbay.Resources
	// share is the dominant share divided by the weight.
	share float64
	// lastStartByBand is when a task of each band last started.
	lastStartByBand [cairnbay.Bands]time.Duration
	groups          []*group
	jobs            int
}

func newQueue() *queue {
	return &queue{
		shapes:  make(map[shapeKey]*shape),
		blocked: make(map[*shape]struct{}),
		teams:   make(map[string]*team),
		parked:  make(map[*quota.Account][]*group),
	}
}

// add queues a job, which must not be in the queue.
func (q *queue) add(added *job, key shapeKey) {
	destination := q.groupFor(added, key)
	heap.Push(&destination.jobs, added)
	added.group = destination
	destination.subqueue.nextClaim = 0
	destination.fixOrder()
}

// remove removes a job, or does nothing if it is not in the queue.
func (q *queue) remove(removed *job) {
	from := removed.group
	if from == nil {
		return
	}
	heap.Remove(&from.jobs, removed.heapIndex)
	removed.group = nil
	if from.jobs.Len() > 0 {
		from.fixOrder()
		return
	}
	q.dropGroup(from)
}

func (q *queue) groupFor(added *job, key shapeKey) *group {
	inSubqueue := q.subqueueFor(added.band, key)
	mapKey := groupKey{team: added.team, account: added.account}
	if found, ok := inSubqueue.groupsByKey[mapKey]; ok {
		return found
	}
	created := &group{subqueue: inSubqueue, key: mapKey}
	inSubqueue.groupsByKey[mapKey] = created
	added.team.groups = append(added.team.groups, created)
	heap.Push(&inSubqueue.groups, created)
	return created
}

func (q *queue) subqueueFor(band cairnbay.Band, key shapeKey) *subqueue {
	ofShape := q.shapeFor(key)
	for _, existing := range q.subqueues[band] {
		if existing.shape == ofShape {
			return existing
		}
	}
	created := &subqueue{band: band, shape: ofShape, groupsByKey: make(map[groupKey]*group)}
	ofShape.subqueueCount++
	q.subqueues[band] = append(q.subqueues[band], created)
	return created
}

func (q *queue) shapeFor(key shapeKey) *shape {
	if existing, ok := q.shapes[key]; ok {
		return existing
	}
	created := &shape{key: key}
	q.shapes[key] = created
	return created
}

func (q *queue) dropGroup(dropped *group) {
	q.unlink(dropped)
	delete(dropped.subqueue.groupsByKey, dropped.key)
	dropped.key.team.groups = removeGroup(dropped.key.team.groups, dropped)
	if len(dropped.subqueue.groupsByKey) == 0 {
		q.dropSubqueue(dropped.subqueue)
	}
}

func (q *queue) dropSubqueue(dropped *subqueue) {
	subqueues := q.subqueues[dropped.band]
	for i, existing := range subqueues {
		if existing == dropped {
			subqueues[i] = subqueues[len(subqueues)-1]
			q.subqueues[dropped.band] = subqueues[:len(subqueues)-1]
			break
		}
	}
	dropped.shape.subqueueCount--
	if dropped.shape.subqueueCount == 0 {
		delete(q.shapes, dropped.shape.key)
		delete(q.blocked, dropped.shape)
	}
}

// unlink removes a group from its subqueue, the parked groups or the borrowers.
func (q *queue) unlink(removed *group) {
	switch {
	case removed.parkedOn != nil:
		q.parked[removed.parkedOn] = removeGroup(q.parked[removed.parkedOn], removed)
		removed.parkedOn = nil
	case removed.borrowing:
		q.borrowers = removeGroup(q.borrowers, removed)
		removed.borrowing = false
	default:
		heap.Remove(&removed.subqueue.groups, removed.heapIndex)
	}
}

func removeGroup(groups []*group, dropped *group) []*group {
	return slices.DeleteFunc(groups, func(existing *group) bool { return existing == dropped })
}

// pick returns the first group of a band whose shape is not blocked and whose
// team's share is at most limit, nil if there is none.
func (q *queue) pick(band cairnbay.Band, limit float64) *group {
	var best *group
	for _, candidate := range q.subqueues[band] {
		if candidate.shape.blocked || candidate.groups.Len() == 0 {
			continue
		}
		head := candidate.groups[0]
		if head.key.team.share > limit {
			continue
		}
		if best == nil || head.before(best) {
			best = head
		}
	}
	return best
}

// pickBorrower returns the first borrower whose shape is not blocked, nil if there
// is none.
func (q *queue) pickBorrower() *group {
	var best *group
	for _, candidate := range q.borrowers {
		if candidate.subqueue.shape.blocked {
			continue
		}
		if best == nil || candidate.subqueue.band < best.subqueue.band ||
			candidate.subqueue.band == best.subqueue.band && candidate.before(best) {
			best = candidate
		}
	}
	return best
}

// park makes a group wait until the use of account falls.
func (q *queue) park(parked *group, account *quota.Account) {
	q.unlink(parked)
	parked.parkedOn = account
	q.parked[account] = append(q.parked[account], parked)
}

// unpark returns the groups that wait for account to their subqueues.
func (q *queue) unpark(account *quota.Account) {
	for _, parked := range q.parked[account] {
		parked.parkedOn = nil
		heap.Push(&parked.subqueue.groups, parked)
	}
	delete(q.parked, account)
}

func (q *queue) unparkAll() {
	accounts := slices.SortedFunc(maps.Keys(q.parked), func(a, b *quota.Account) int {
		return cmp.Compare(a.Path, b.Path)
	})
	for _, account := range accounts {
		q.unpark(account)
	}
}

// moveToBorrowers moves a group to the borrowers.
func (q *queue) moveToBorrowers(borrower *group) {
	q.unlink(borrower)
	borrower.borrowing = true
	q.borrowers = append(q.borrowers, borrower)
}

// returnBorrowers returns all borrowers to their subqueues.
func (q *queue) returnBorrowers() {
	for _, borrower := range q.borrowers {
		borrower.borrowing = false
		heap.Push(&borrower.subqueue.groups, borrower)
	}
	q.borrowers = q.borrowers[:0]
}

// block marks a shape that fits nowhere now.
func (q *queue) block(unfit *shape) {
	unfit.blocked = true
	q.blocked[unfit] = struct{}{}
}

// unblock unblocks the shapes that fit in the free capacity of a worker.
func (q *queue) unblock(free cairnbay.Resources) {
	for unfit := range q.blocked {
		if unfit.key.size.Fits(free) {
			unfit.blocked = false
			delete(q.blocked, unfit)
		}
	}
}

func (q *queue) unblockAll() {
	for unfit := range q.blocked {
		unfit.blocked = false
	}
	clear(q.blocked)
}

// teamFor returns a team's record, which it creates if there is none.
func (q *queue) teamFor(name string, weight float64) *team {
	if existing, ok := q.teams[name]; ok {
		return existing
	}
	created := &team{name: name, weight: weight}
	q.teams[name] = created
	return created
}

// chargeTeam changes the capacity charged to a team and reorders its groups.
func (q *queue) chargeTeam(charged *team, size, total cairnbay.Resources) {
	charged.used = charged.used.Add(size)
	charged.share = share.Of(charged.used).Weighted(total, charged.weight)
	for _, affected := range charged.groups {
		affected.fixOrder()
	}
}

// rerank recomputes all shares after a change of total or weights.
func (q *queue) rerank(total cairnbay.Resources) {
	for _, name := range slices.Sorted(maps.Keys(q.teams)) {
		q.chargeTeam(q.teams[name], cairnbay.Resources{}, total)
	}
}

// fixOrder restores the order of the subqueue after the group changed.
func (g *group) fixOrder() {
	if g.parkedOn == nil && !g.borrowing {
		heap.Fix(&g.subqueue.groups, g.heapIndex)
	}
}

// before orders groups by their team's share, then by the arrival of their first
// job.
func (g *group) before(other *group) bool {
	if g.key.team.share != other.key.team.share {
		return g.key.team.share < other.key.team.share
	}
	head, otherHead := g.jobs[0], other.jobs[0]
	return cmp.Or(
		cmp.Compare(head.enqueuedAt, otherHead.enqueuedAt),
		cmp.Compare(head.spec.ID, otherHead.spec.ID),
	) < 0
}
