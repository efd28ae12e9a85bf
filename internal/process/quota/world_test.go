package quota_test

import (
	"fmt"

	"pgregory.net/rapid"

	"cairnbay"
	"cairnbay/internal/process/quota"
)

// Sizes of the modelled system: every task takes one processor.
const (
	machineWorkers   = 2
	workerCapacity   = 4
	highQuota        = 4
	lowQuota         = 2
	settlementRounds = 400
)

// defect is a fault in the use of a Holder that the machine must find.
type defect int

const (
	noDefect defect = iota
	// lowersLate gives a part away in the store and lowers it only with the answer.
	lowersLate
	// trustsAnswers raises a part by the answer to a request instead of by the key.
	trustsAnswers
	// forgetsLostWrites takes a write without an answer for one without effect.
	forgetsLostWrites
	// ignoresSilentWorkers counts only known attempts during recovery.
	ignoresSilentWorkers
	// readsBeforeClaim takes a reading of the key that is older than its claim.
	readsBeforeClaim
	// ignoresOverdrafts starts work while other shards run more than their part of a lowered
	// quota.
	ignoresOverdrafts
	// givesUsedParts grants from the whole part, whatever is in use.
	givesUsedParts
)

// jobTask is a task of a job in the journal of a shard.
type jobTask struct{ done bool }

// runner is a worker. It refuses calls with a fence below the highest it has seen.
type runner struct {
	fence   int
	running map[*jobTask]bool
}

// start is a command on its way to a worker.
type start struct {
	owner  *owner
	task   *jobTask
	target *runner
}

// request asks the owner of a shard for a part; reply carries what was given.
type request struct {
	from, to string
	asked    quota.Share
	latest   int64
}

// storedWrite is a write that its owner does not wait for any more.
type storedWrite struct {
	owner *owner
	write quota.Write
}

// owner is one owner of a shard; several of a shard may act at once.
type owner struct {
	shard      string
	generation int
	claimedAt  cairnbay.Revision
	holder     *quota.Holder
	// extra is what trustsAnswers has added to the part.
	extra quota.Share
	quota int64
	// inherited are the unfinished tasks at the claim, started the attempts of this owner
	// that are not known to have ended, claimed the workers that have answered.
	inherited map[*jobTask]bool
	attempts  map[*jobTask]*runner
	claimed   map[*runner]bool
	// overdrafts are what other shards have said to run above their parts.
	overdrafts map[string]int64
}

// world is a store with one key, the owners, their workers and all that is under way.
type world struct {
	t      *rapid.T
	defect defect
	names  []string
	quota  int64
	// bound is the highest quota that may still count.
	bound int64

	revision, keyRevision cairnbay.Revision
	division              quota.Division
	history               map[cairnbay.Revision]quota.Division
	fences                map[string]int
	late                  []storedWrite
	owners                map[string][]*owner
	workers               map[string][]*runner
	tasks                 map[string][]*jobTask
	starts                []start
	requests              []request
}

func newWorld(t *rapid.T, seeded defect) *world {
	w := &world{
		t: t, defect: seeded, quota: highQuota, bound: highQuota, history: make(map[cairnbay.Revision]quota.Division), fences: make(map[string]int),
		owners: make(map[string][]*owner), workers: make(map[string][]*runner), tasks: make(map[string][]*jobTask),
	}
	for i := range rapid.IntRange(2, 3).Draw(t, "shards") {
		w.names = append(w.names, fmt.Sprint("s", i))
	}
	for _, shard := range w.names {
		for range machineWorkers {
			w.workers[shard] = append(w.workers[shard], &runner{running: make(map[*jobTask]bool)})
		}
		w.takeOver(shard)
	}
	return w
}

func (w *world) drawShard() string {
	return rapid.SampledFrom(w.names).Draw(w.t, "shard")
}

func (w *world) drawOwner() *owner {
	owners := w.owners[w.drawShard()]
	return owners[len(owners)-1-rapid.IntRange(0, min(1, len(owners)-1)).Draw(w.t, "age")]
}

func (w *world) latest(shard string) *owner { return w.owners[shard][len(w.owners[shard])-1] }

// takeOver starts the next owner of a shard and fences the former one.
func (w *world) takeOver(shard string) {
	w.revision++
	w.fences[shard]++
	next := &owner{
		shard: shard, generation: w.fences[shard], claimedAt: w.revision, holder: quota.NewHolder(shard), quota: w.quota,
		inherited: make(map[*jobTask]bool), attempts: make(map[*jobTask]*runner), claimed: make(map[*runner]bool),
		overdrafts: make(map[string]int64),
	}
	if w.overdrawn() {
		// The next owner is told of overdrafts, and can tell its own, only after a while.
		w.bound = highQuota
	}
	for _, task := range w.tasks[shard] {
		if !task.done {
			next.inherited[task] = true
		}
	}
	w.owners[shard] = append(w.owners[shard], next)
}

// apply commits a write if its fence and its condition hold.
func (w *world) apply(by *owner, write quota.Write) bool {
	if w.fences[by.shard] != by.generation || w.keyRevision != write.Expect {
		return false
	}
	if err := write.Division.Check(); err != nil {
		w.t.Fatalf("stored: %v", err)
	}
	w.revision++
	w.keyRevision, w.division = w.revision, write.Division
	w.history[w.keyRevision] = w.division
	return true
}

// commit writes with a drawn outcome.
func (w *world) commit(by *owner, write quota.Write, healthy bool) {
	outcome := 0
	if !healthy {
		outcome = rapid.IntRange(0, 4).Draw(w.t, "outcome")
	}
	lost := quota.Unsettled
	if w.defect == forgetsLostWrites {
		lost = quota.NoEffect
	}
	switch outcome {
	case 1:
		by.holder.End(write, quota.NoEffect, 0)
	case 2:
		w.apply(by, write)
		by.holder.End(write, lost, 0)
	case 3:
		w.late = append(w.late, storedWrite{by, write})
		by.holder.End(write, lost, 0)
	default:
		if w.apply(by, write) {
			by.holder.End(write, quota.Stored, w.keyRevision)
		} else {
			by.holder.End(write, quota.Unsettled, 0)
		}
	}
}

// read reads the key, at an older revision where the store serves stale reads. The first
// reading must not be older than the claim.
func (w *world) read(by *owner, stale, healthy bool) {
	at := w.keyRevision
	if stale {
		oldest := cairnbay.Revision(0)
		if w.defect != readsBeforeClaim && !by.holder.Known() {
			oldest = by.claimedAt
		}
		listed := oldest + cairnbay.Revision(rapid.Uint64Range(0, uint64(w.revision-oldest)).Draw(w.t, "listed"))
		for at = listed; at > 0 && w.history[at] == nil; at-- {
		}
	}
	if at == 0 {
		if write, ok := by.holder.Create(quota.EqualDivision(w.names)); ok {
			w.commit(by, write, healthy)
		}
		return
	}
	by.holder.Observe(at, w.history[at])
}

// part is what the owner may use, in processors.
func (o *owner) part() int64 {
	part := o.ownPart()
	for shard, amount := range o.overdrafts {
		if shard != o.shard {
			part -= amount
		}
	}
	return max(part, 0)
}

func (o *owner) ownPart() int64 {
	return o.holder.Part().Add(o.extra).Of(cairnbay.Resources{MilliCPU: o.quota}).MilliCPU
}

// overdraft is how much the owner knows to run above its part.
func (o *owner) overdraft() int64 {
	return max(int64(len(o.attempts))-o.ownPart(), 0)
}

func (w *world) overdrawn() bool {
	for _, owners := range w.owners {
		if len(owners) > 0 && owners[len(owners)-1].overdraft() > 0 {
			return true
		}
	}
	return false
}

// announce tells all owners of the overdrafts. Once every owner has the latest quota and
// has heard of them, no other quota counts.
func (w *world) announce() {
	settled := w.defect != ignoresOverdrafts
	// A command under way was ordered under the former quota.
	adopted := len(w.starts) == 0
	for _, from := range w.names {
		for _, owners := range w.owners {
			for _, to := range owners {
				if settled {
					to.overdrafts[from] = w.latest(from).overdraft()
				}
				adopted = adopted && to.quota == w.quota
			}
		}
		adopted = adopted && len(w.latest(from).claimed) == machineWorkers
	}
	if adopted {
		w.bound = w.quota
	}
}

// use is what the owner counts as running.
func (w *world) use(o *owner) int64 {
	unknown, capacity := int64(0), int64(0)
	for _, worker := range w.workers[o.shard] {
		if !o.claimed[worker] {
			capacity += workerCapacity
		}
	}
	for task := range o.inherited {
		if o.attempts[task] == nil && !task.done {
			unknown++
		}
	}
	if w.defect == ignoresSilentWorkers {
		unknown = 0
	}
	return int64(len(o.attempts)) + min(unknown, capacity)
}

// claim lets a worker answer an owner: it learns what runs there.
func (w *world) claim(o *owner, worker *runner) {
	if worker.fence > o.generation {
		return
	}
	worker.fence = o.generation
	o.claimed[worker] = true
	for task := range worker.running {
		o.attempts[task] = worker
	}
}

// order starts a waiting task if the part has room, as the core does.
func (w *world) order(o *owner) bool {
	for _, task := range w.tasks[o.shard] {
		if task.done || o.attempts[task] != nil {
			continue
		}
		recovering := len(o.claimed) < machineWorkers
		if o.inherited[task] && recovering || !o.inherited[task] && o != w.latest(o.shard) {
			continue
		}
		if w.use(o)+1 > o.part() {
			return false
		}
		for _, worker := range w.workers[o.shard] {
			if o.claimed[worker] && len(worker.running) < workerCapacity {
				o.attempts[task] = worker
				w.starts = append(w.starts, start{o, task, worker})
				return true
			}
		}
	}
	return false
}

// execute carries out a command, and checks the bound at the start.
func (w *world) execute(command start) {
	if command.target.fence > command.owner.generation || command.task.done || len(command.target.running) >= workerCapacity {
		if command.owner.attempts[command.task] == command.target {
			delete(command.owner.attempts, command.task)
		}
		return
	}
	command.target.running[command.task] = true
	total := int64(0)
	for _, shard := range w.names {
		for _, worker := range w.workers[shard] {
			total += int64(len(worker.running))
		}
	}
	if total > w.bound {
		w.t.Fatalf("%d tasks run of a quota of %d", total, w.bound)
	}
}

// end completes a running task of a worker.
func (w *world) end(worker *runner, shard string) {
	for _, task := range w.tasks[shard] {
		if !worker.running[task] {
			continue
		}
		delete(worker.running, task)
		task.done = true
		for _, owner := range w.owners[shard] {
			if owner.claimed[worker] && worker.fence == owner.generation {
				delete(owner.attempts, task)
			}
		}
		return
	}
}

// ask requests what the owner's waiting tasks need beyond its part.
func (w *world) ask(o *owner, to string) {
	waiting := w.waiting(o)
	if waiting == 0 || to == o.shard || !o.holder.Known() {
		return
	}
	target := quota.ShareFor(cairnbay.Resources{MilliCPU: min(w.use(o)+waiting, o.quota)}, cairnbay.Resources{MilliCPU: o.quota})
	asked := target.Sub(o.holder.Part())
	if !asked.IsZero() {
		w.requests = append(w.requests, request{o.shard, to, asked, int64(len(w.tasks[o.shard]))})
	}
}

func (w *world) waiting(o *owner) (count int64) {
	for _, task := range w.tasks[o.shard] {
		if !task.done && o.attempts[task] == nil && (!o.inherited[task] || len(o.claimed) == machineWorkers) {
			count++
		}
	}
	return count
}

// give handles a request as the owner of the asked shard.
func (w *world) give(o *owner, asked request, healthy bool) {
	quotaOf := cairnbay.Resources{MilliCPU: o.quota}
	kept := quota.ShareFor(cairnbay.Resources{MilliCPU: w.use(o)}, quotaOf)
	if waiting := w.waiting(o); waiting > 0 &&
		(quota.Claimant{Shard: o.shard}).Precedes(quota.Claimant{Shard: asked.from}) {
		kept = quota.ShareFor(cairnbay.Resources{MilliCPU: w.use(o) + waiting}, quotaOf)
	}
	if w.defect == givesUsedParts {
		kept = quota.Share{}
	}
	given := quota.Grant(o.holder.Part(), kept, asked.asked)
	write, ok := o.holder.Give(asked.from, given)
	if !ok {
		return
	}
	if w.defect == lowersLate && !healthy {
		// The tasks that start before the answer use the part as it was.
		w.apply(o, write)
		o.extra = given
		w.run(o)
		o.extra = quota.Share{}
		o.holder.End(write, quota.Unsettled, 0)
		return
	}
	w.commit(o, write, healthy)
	if w.defect == trustsAnswers {
		to := w.latest(asked.from)
		to.extra = to.extra.Add(given)
	}
}
