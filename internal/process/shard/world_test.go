package shard

import (
	"context"
	"fmt"
	"time"

	"cairnbay"
	"cairnbay/internal/fake/clock"
	stand "cairnbay/internal/fake/worker"
	"cairnbay/internal/process/commit"
	"cairnbay/internal/process/place"
)

const (
	worldShard   = cairnbay.ShardID("tallinn-a/survey")
	worldWorkers = 3
	worldLease   = 4 * time.Second
	worldConfirm = time.Second
	worldRenew   = 500 * time.Millisecond
)

// skewed is a worker's own clock.
type skewed struct {
	*clock.Clock
	by time.Duration
}

// Now implements cairnbay.Clock.
func (s skewed) Now() time.Duration { return s.Clock.Now() + s.by }

// faultPlan is a defect outside the core.
type faultPlan struct {
	core      defect
	noFencing bool
	// acksEarly acknowledges jobs before their write is confirmed.
	acksEarly bool
}

// world is workers, a journal and the lives of owners, most of which do not
// know that they were replaced.
type world struct {
	plan    faultPlan
	hand    *clock.Clock
	workers []*stand.Worker
	skews   []time.Duration
	// all are the instances of the workers, listed those on the platform's list.
	all    []cairnbay.Instance
	listed []cairnbay.Instance
	lives  []*life

	// log is the journal, written under generation only.
	log        *commit.State
	generation uint64
	bump       uint64
	down       bool
	// stale is a copy of the log from some time ago.
	stale *commit.State

	acked map[cairnbay.JobID]cairnbay.Job
	// cancelled are the jobs whose cancellation is in the journal.
	cancelled map[cairnbay.JobID]bool
	nextID    int
}

// life is one owner from its takeover on.
type life struct {
	core       *Core
	placer     *place.Engine
	generation uint64
	copied     bool
	cut        map[string]bool
	paused     bool
	// calls wait to be sent, late ones were given up by the owner and may still
	// arrive, answers wait to be delivered.
	calls   []Action
	late    []Action
	answers []func()
	writes  []Action
	submits map[uint64]cairnbay.Job
}

func newWorld(plan faultPlan) *world {
	made := &world{
		plan: plan, hand: clock.New(), log: commit.NewState(), stale: commit.NewState(),
		acked: map[cairnbay.JobID]cairnbay.Job{}, cancelled: map[cairnbay.JobID]bool{},
	}
	made.hand.Advance(time.Second)
	for i := range worldWorkers {
		skew := time.Duration(i) * 100 * time.Second
		fake, err := stand.New(stand.Config{
			ID: fmt.Sprintf("w%d", i), DataCentre: "tallinn-a", Class: "survey",
			Capacity: cairnbay.Resources{MilliCPU: 3000}, Clock: skewed{made.hand, skew},
			RunTime: func(task cairnbay.TaskStart) time.Duration {
				return time.Duration(1+5*(task.Task.Index%4)) * time.Second
			},
		})
		if err != nil {
			panic(err)
		}
		fake.SetFaults(stand.Faults{NoFencing: plan.noFencing, NoCapacityCheck: true})
		made.workers = append(made.workers, fake)
		made.skews = append(made.skews, skew)
		made.all = append(made.all, fake.Instance())
	}
	made.listed = made.all
	return made
}

// takeOver starts a new life: from the log when the store is up, else from the
// stale copy under a raised bump.
func (w *world) takeOver() {
	started := &life{
		placer: place.New(place.Config{Shard: worldShard}), cut: map[string]bool{},
		submits: map[uint64]cairnbay.Job{}, copied: w.down,
	}
	epoch := cairnbay.Epoch{Instance: fmt.Sprint("life-", len(w.lives))}
	state := w.log.Clone()
	if w.down {
		state = w.stale.Clone()
		w.bump++
		epoch.Generation, epoch.Bump = w.generation, w.bump
	} else {
		w.generation++
		w.bump = 0
		epoch.Generation = w.generation
		w.log.Generation = w.generation
	}
	started.generation = epoch.Generation
	started.core = New(Config{
		Shard: worldShard, Placer: started.placer, Epoch: epoch, State: state, FromReplica: w.down,
		TaskLease: worldLease, QuorumValidity: worldConfirm, RenewWait: worldRenew, GoneAfter: 20 * time.Second,
		MarkWindow: func(cairnbay.Job) int { return 2 },
	}, w.hand.Now())
	started.core.defect = w.plan.core
	w.lives = append(w.lives, started)
	started.core.SetInstances(w.listed, w.hand.Now())
	w.collect(started)
}

// collect takes the core's actions.
func (w *world) collect(of *life) {
	for _, action := range of.core.TakeActions() {
		if action.Kind == ActJournal {
			of.writes = append(of.writes, action)
		} else {
			of.calls = append(of.calls, action)
		}
	}
}

func (w *world) tick(of *life) {
	if of.paused {
		return
	}
	of.core.SetInstances(w.listed, w.hand.Now())
	of.core.Tick(w.hand.Now())
	w.collect(of)
}

// write carries out the oldest journal write of a life.
func (w *world) write(of *life) {
	if len(of.writes) == 0 || w.down || of.copied || of.paused {
		return
	}
	action := of.writes[0]
	of.writes = of.writes[1:]
	if of.generation != w.generation {
		of.core.Fence(cairnbay.Epoch{})
		of.writes, of.calls = nil, nil
		return
	}
	for _, record := range action.Records {
		w.forget(record.Forget)
		w.log.Apply(record)
	}
	w.confirm(of, action)
	w.collect(of)
}

// confirm tells a life that its write is in the journal.
func (w *world) confirm(of *life, action Action) {
	job, submitted := of.submits[action.Token]
	cancelled := action.Records[0].Cancel
	switch {
	case submitted:
		w.acked[job.ID] = job
		of.core.AddJob(job, w.hand.Now())
	case cancelled != nil:
		w.cancelled[cancelled[0]] = true
		of.core.Cancel(cancelled, w.hand.Now())
	default:
		of.core.ConfirmRecords(action.Token, w.hand.Now())
	}
}

// cancel asks a life to cancel a job.
func (w *world) cancel(at *life, id cairnbay.JobID) {
	if at.copied || at.paused || at.core.Phase() == PhaseFenced {
		return
	}
	at.writes = append(at.writes, Action{Kind: ActJournal, Records: []commit.Record{{Cancel: []cairnbay.JobID{id}}}})
}

// kill ends a worker for good; the list drops it at once.
func (w *world) kill(index int) {
	w.workers[index].Kill()
	w.listed = append(append([]cairnbay.Instance(nil), w.all[:index]...), w.all[index+1:]...)
}

// forget takes finished jobs off the acknowledged ones; others stay, and will
// be missed.
func (w *world) forget(ids []cairnbay.JobID) {
	for _, id := range ids {
		if known := w.log.Jobs[id]; known != nil && known.FinalCount() == known.Job.Tasks {
			delete(w.acked, id)
		}
	}
}

// submit asks a life to take a job.
func (w *world) submit(to *life, tasks int, atMostOnce bool) {
	if to.copied || to.paused || to.core.Phase() == PhaseFenced {
		return
	}
	w.nextID++
	job := cairnbay.Job{
		ID: cairnbay.JobID(fmt.Sprint("job-", w.nextID)), Team: "t", Kind: cairnbay.KindBatch, Band: cairnbay.BandBatch,
		Class: "survey", Tasks: tasks, Size: cairnbay.Resources{MilliCPU: 1000}, AtMostOnce: atMostOnce,
	}
	// Submissions use tokens that the core does not.
	token := uint64(1)<<32 + uint64(w.nextID)
	to.submits[token] = job
	to.writes = append(to.writes, Action{Kind: ActJournal, Token: token, Records: []commit.Record{{Accept: &job}}})
	if w.plan.acksEarly {
		w.acked[job.ID] = job
	}
}

// send makes a call and queues its answer. The answer is lost where lose says
// so.
func (w *world) send(of *life, action Action, lose bool) {
	target := w.find(action.Worker)
	if of.cut[action.Worker] {
		w.answer(of, action, reply{err: cairnbay.ErrUnavailable})
		return
	}
	got := perform(target, action)
	if lose {
		got = reply{err: cairnbay.ErrUnknown}
	}
	w.answer(of, action, got)
}

// reply is the answer to a call of any kind.
type reply struct {
	claim cairnbay.ClaimAnswer
	start cairnbay.StartAnswer
	renew cairnbay.RenewAnswer
	stop  cairnbay.StopAnswer
	err   error
}

func perform(target *stand.Worker, action Action) (got reply) {
	ctx := context.Background()
	switch action.Kind {
	case ActClaim:
		got.claim, got.err = target.Claim(ctx, "", action.Claim)
	case ActStart:
		got.start, got.err = target.Start(ctx, "", action.Start)
	case ActRenew:
		// Nothing waits here: time passes only between calls.
		action.Renew.Wait = 0
		got.renew, got.err = target.Renew(ctx, "", action.Renew)
	case ActStop:
		got.stop, got.err = target.Stop(ctx, "", action.Stop)
	}
	return got
}

// answer queues an answer for the core.
func (w *world) answer(of *life, action Action, got reply) {
	of.answers = append(of.answers, func() {
		now := w.hand.Now()
		switch action.Kind {
		case ActClaim:
			of.core.HandleClaimAnswer(action, got.claim, got.err, now)
		case ActStart:
			of.core.HandleStartAnswer(action, got.start, got.err, now)
		case ActRenew:
			of.core.HandleRenewAnswer(action, got.renew, got.err, now)
		case ActStop:
			of.core.HandleStopAnswer(action, got.stop, got.err, now)
		}
		w.collect(of)
	})
}

func (w *world) find(id string) *stand.Worker {
	for i, instance := range w.all {
		if instance.ID == id {
			return w.workers[i]
		}
	}
	panic("worker " + id + " does not exist")
}

// deliver gives a life its oldest answer.
func (w *world) deliver(to *life) {
	if len(to.answers) == 0 || to.paused {
		return
	}
	answer := to.answers[0]
	to.answers = to.answers[1:]
	answer()
}

// settle lets everything that is under way happen at once, for lives that are
// not paused.
func (w *world) settle() {
	for range 6 {
		for _, of := range w.lives {
			w.settleLife(of)
		}
	}
}

func (w *world) settleLife(of *life) {
	if of.paused {
		return
	}
	calls := of.calls
	of.calls = nil
	for _, call := range calls {
		w.send(of, call, false)
	}
	for len(of.answers) > 0 {
		w.deliver(of)
	}
	for len(of.writes) > 0 && !w.down && !of.copied {
		w.write(of)
	}
}

// pass lets time pass with all lives that are not paused at work.
func (w *world) pass(by time.Duration) {
	const step = 250 * time.Millisecond
	for passed := time.Duration(0); passed < by; passed += step {
		w.hand.Advance(step)
		for _, of := range w.lives {
			w.tick(of)
		}
		w.settle()
	}
}
