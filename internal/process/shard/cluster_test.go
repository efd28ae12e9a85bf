package shard

import (
	"context"
	"fmt"
	"time"

	"cairnbay"
	"cairnbay/internal/fake/clock"
	fakeworker "cairnbay/internal/fake/worker"
	"cairnbay/internal/process/commit"
	"cairnbay/internal/process/place"
)

const (
	testShardID        = cairnbay.ShardID("tallinn-a/survey")
	testWorkers        = 3
	testTaskLease      = 4 * time.Second
	testQuorumValidity = time.Second
	testRenewWait      = 500 * time.Millisecond
)

// offsetClock is a worker's own clock, at a fixed offset from the test clock.
type offsetClock struct {
	*clock.Clock
	offset time.Duration
}

// Now implements cairnbay.Clock.
func (c offsetClock) Now() time.Duration { return c.Clock.Now() + c.offset }

// faultPlan selects the faults that a test injects.
type faultPlan struct {
	coreDefect defect
	noFencing  bool
	// earlyAck acknowledges jobs before their write is confirmed.
	earlyAck bool
}

// testCluster simulates workers, a journal and successive owners of one shard.
// A replaced owner learns of its successor only from refused calls and writes.
type testCluster struct {
	plan         faultPlan
	clock        *clock.Clock
	workers      []*fakeworker.Worker
	clockOffsets []time.Duration
	// instances are all workers, listed those on the platform's list.
	instances []cairnbay.Instance
	listed    []cairnbay.Instance
	owners    []*testOwner

	// journal accepts writes only from the owner with the current generation.
	journal    *commit.State
	generation uint64
	bump       uint64
	storeDown  bool
	// staleJournal is an older copy of the journal.
	staleJournal *commit.State

	acked map[cairnbay.JobID]cairnbay.Job
	// cancelled are the jobs whose cancellation is in the journal.
	cancelled map[cairnbay.JobID]bool
	nextID    int
}

// testOwner is one owner from its takeover on.
type testOwner struct {
	core        *Core
	placer      *place.Engine
	generation  uint64
	fromReplica bool
	unreachable map[string]bool
	paused      bool
	// pendingCalls wait to be sent. lateCalls were given up by the owner and may
	// still arrive. pendingAnswers wait to be delivered.
	pendingCalls   []Action
	lateCalls      []Action
	pendingAnswers []func()
	pendingWrites  []Action
	submitted      map[uint64]cairnbay.Job
}

func newTestCluster(plan faultPlan) *testCluster {
	cluster := &testCluster{
		plan: plan, clock: clock.New(), journal: commit.NewState(), staleJournal: commit.NewState(),
		acked: map[cairnbay.JobID]cairnbay.Job{}, cancelled: map[cairnbay.JobID]bool{},
	}
	cluster.clock.Advance(time.Second)
	for i := range testWorkers {
		offset := time.Duration(i) * 100 * time.Second
		fake, err := fakeworker.New(fakeworker.Config{
			ID: fmt.Sprintf("w%d", i), DataCentre: "tallinn-a", Class: "survey",
			Capacity: cairnbay.Resources{MilliCPU: 3000}, Clock: offsetClock{cluster.clock, offset},
			RunTime: func(task cairnbay.TaskStart) time.Duration {
				return time.Duration(1+5*(task.Task.Index%4)) * time.Second
			},
		})
		if err != nil {
			panic(err)
		}
		fake.SetFaults(fakeworker.Faults{NoFencing: plan.noFencing, NoCapacityCheck: true})
		cluster.workers = append(cluster.workers, fake)
		cluster.clockOffsets = append(cluster.clockOffsets, offset)
		cluster.instances = append(cluster.instances, fake.Instance())
	}
	cluster.listed = cluster.instances
	return cluster
}

// takeOver starts a new owner: from the journal when the store is up, otherwise
// from the stale copy under a raised bump.
func (c *testCluster) takeOver() {
	owner := &testOwner{
		placer: place.New(place.Config{Shard: testShardID}), unreachable: map[string]bool{},
		submitted: map[uint64]cairnbay.Job{}, fromReplica: c.storeDown,
	}
	epoch := cairnbay.Epoch{Instance: fmt.Sprint("life-", len(c.owners))}
	state := c.journal.Clone()
	if c.storeDown {
		state = c.staleJournal.Clone()
		c.bump++
		epoch.Generation, epoch.Bump = c.generation, c.bump
	} else {
		c.generation++
		c.bump = 0
		epoch.Generation = c.generation
		c.journal.Generation = c.generation
	}
	owner.generation = epoch.Generation
	owner.core = New(Config{
		Shard: testShardID, Placer: owner.placer, Epoch: epoch, State: state, FromReplica: c.storeDown,
		TaskLease: testTaskLease, QuorumValidity: testQuorumValidity, RenewWait: testRenewWait, GoneAfter: 20 * time.Second,
		MarkWindow: func(cairnbay.Job) int { return 2 },
	}, c.clock.Now())
	owner.core.defect = c.plan.coreDefect
	c.owners = append(c.owners, owner)
	owner.core.SetInstances(c.listed, c.clock.Now())
	c.collectActions(owner)
}

// collectActions queues the core's pending actions.
func (c *testCluster) collectActions(owner *testOwner) {
	for _, action := range owner.core.TakeActions() {
		if action.Kind == ActJournal {
			owner.pendingWrites = append(owner.pendingWrites, action)
		} else {
			owner.pendingCalls = append(owner.pendingCalls, action)
		}
	}
}

func (c *testCluster) tick(owner *testOwner) {
	if owner.paused {
		return
	}
	owner.core.SetInstances(c.listed, c.clock.Now())
	owner.core.Tick(c.clock.Now())
	c.collectActions(owner)
}

// writeNext performs the oldest pending journal write of an owner. An owner of
// an older generation is fenced instead.
func (c *testCluster) writeNext(owner *testOwner) {
	if len(owner.pendingWrites) == 0 || c.storeDown || owner.fromReplica || owner.paused {
		return
	}
	action := owner.pendingWrites[0]
	owner.pendingWrites = owner.pendingWrites[1:]
	if owner.generation != c.generation {
		owner.core.Fence(cairnbay.Epoch{})
		owner.pendingWrites, owner.pendingCalls = nil, nil
		return
	}
	for _, record := range action.Records {
		c.forgetFinished(record.Forget)
		c.journal.Apply(record)
	}
	c.confirmWrite(owner, action)
	c.collectActions(owner)
}

// confirmWrite reports to an owner that its write is in the journal.
func (c *testCluster) confirmWrite(owner *testOwner, action Action) {
	job, submitted := owner.submitted[action.Token]
	cancelled := action.Records[0].Cancel
	switch {
	case submitted:
		c.acked[job.ID] = job
		owner.core.AddJob(job, c.clock.Now())
	case cancelled != nil:
		c.cancelled[cancelled[0]] = true
		owner.core.Cancel(cancelled, c.clock.Now())
	default:
		owner.core.ConfirmRecords(action.Token, c.clock.Now())
	}
}

// cancel requests the cancellation of a job from an owner.
func (c *testCluster) cancel(owner *testOwner, id cairnbay.JobID) {
	if owner.fromReplica || owner.paused || owner.core.Phase() == PhaseFenced {
		return
	}
	owner.pendingWrites = append(owner.pendingWrites, Action{Kind: ActJournal, Records: []commit.Record{{Cancel: []cairnbay.JobID{id}}}})
}

// kill ends a worker for good and removes it from the list at once.
func (c *testCluster) kill(index int) {
	c.workers[index].Kill()
	c.listed = append(append([]cairnbay.Instance(nil), c.instances[:index]...), c.instances[index+1:]...)
}

// forgetFinished removes finished jobs from the acknowledged ones. Jobs that
// were forgotten unfinished stay, so that checkRecovery reports them.
func (c *testCluster) forgetFinished(ids []cairnbay.JobID) {
	for _, id := range ids {
		if journaled := c.journal.Jobs[id]; journaled != nil && journaled.FinalCount() == journaled.Job.Tasks {
			delete(c.acked, id)
		}
	}
}

// submit submits a job to an owner.
func (c *testCluster) submit(owner *testOwner, tasks int, atMostOnce bool) {
	if owner.fromReplica || owner.paused || owner.core.Phase() == PhaseFenced {
		return
	}
	c.nextID++
	job := cairnbay.Job{
		ID: cairnbay.JobID(fmt.Sprint("job-", c.nextID)), Team: "t", Kind: cairnbay.KindBatch, Band: cairnbay.BandBatch,
		Class: "survey", Tasks: tasks, Size: cairnbay.Resources{MilliCPU: 1000}, AtMostOnce: atMostOnce,
	}
	// Submissions use tokens that the core does not.
	token := uint64(1)<<32 + uint64(c.nextID)
	owner.submitted[token] = job
	owner.pendingWrites = append(owner.pendingWrites, Action{Kind: ActJournal, Token: token, Records: []commit.Record{{Accept: &job}}})
	if c.plan.earlyAck {
		c.acked[job.ID] = job
	}
}

// send performs a call and queues its answer, or ErrUnknown if loseAnswer is
// set.
func (c *testCluster) send(owner *testOwner, action Action, loseAnswer bool) {
	target := c.findWorker(action.Worker)
	if owner.unreachable[action.Worker] {
		c.queueAnswer(owner, action, reply{err: cairnbay.ErrUnavailable})
		return
	}
	got := perform(target, action)
	if loseAnswer {
		got = reply{err: cairnbay.ErrUnknown}
	}
	c.queueAnswer(owner, action, got)
}

// reply is the answer to a call of any kind.
type reply struct {
	claim cairnbay.ClaimAnswer
	start cairnbay.StartAnswer
	renew cairnbay.RenewAnswer
	stop  cairnbay.StopAnswer
	err   error
}

func perform(target *fakeworker.Worker, action Action) (got reply) {
	ctx := context.Background()
	switch action.Kind {
	case ActClaim:
		got.claim, got.err = target.Claim(ctx, "", action.Claim)
	case ActStart:
		got.start, got.err = target.Start(ctx, "", action.Start)
	case ActRenew:
		// No call may block: the clock advances only between calls.
		action.Renew.Wait = 0
		got.renew, got.err = target.Renew(ctx, "", action.Renew)
	case ActStop:
		got.stop, got.err = target.Stop(ctx, "", action.Stop)
	}
	return got
}

// queueAnswer queues an answer for the core.
func (c *testCluster) queueAnswer(owner *testOwner, action Action, got reply) {
	owner.pendingAnswers = append(owner.pendingAnswers, func() {
		now := c.clock.Now()
		switch action.Kind {
		case ActClaim:
			owner.core.HandleClaimAnswer(action, got.claim, got.err, now)
		case ActStart:
			owner.core.HandleStartAnswer(action, got.start, got.err, now)
		case ActRenew:
			owner.core.HandleRenewAnswer(action, got.renew, got.err, now)
		case ActStop:
			owner.core.HandleStopAnswer(action, got.stop, got.err, now)
		}
		c.collectActions(owner)
	})
}

func (c *testCluster) findWorker(id string) *fakeworker.Worker {
	for i, instance := range c.instances {
		if instance.ID == id {
			return c.workers[i]
		}
	}
	panic("worker " + id + " does not exist")
}

// deliverNext delivers the oldest pending answer to an owner.
func (c *testCluster) deliverNext(owner *testOwner) {
	if len(owner.pendingAnswers) == 0 || owner.paused {
		return
	}
	answer := owner.pendingAnswers[0]
	owner.pendingAnswers = owner.pendingAnswers[1:]
	answer()
}

// flush performs all pending calls, answers and writes of the owners that are
// not paused, in several rounds because each answer can cause further calls.
func (c *testCluster) flush() {
	for range 6 {
		for _, owner := range c.owners {
			c.flushOwner(owner)
		}
	}
}

func (c *testCluster) flushOwner(owner *testOwner) {
	if owner.paused {
		return
	}
	calls := owner.pendingCalls
	owner.pendingCalls = nil
	for _, call := range calls {
		c.send(owner, call, false)
	}
	for len(owner.pendingAnswers) > 0 {
		c.deliverNext(owner)
	}
	for len(owner.pendingWrites) > 0 && !c.storeDown && !owner.fromReplica {
		c.writeNext(owner)
	}
}

// runFor advances the clock in steps; owners that are not paused tick and flush
// after each step.
func (c *testCluster) runFor(duration time.Duration) {
	const step = 250 * time.Millisecond
	for passed := time.Duration(0); passed < duration; passed += step {
		c.clock.Advance(step)
		for _, owner := range c.owners {
			c.tick(owner)
		}
		c.flush()
	}
}
