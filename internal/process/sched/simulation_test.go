package sched_test

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/fake/advice"
	"cairnbay/internal/fake/agent"
	"cairnbay/internal/process/sched"
)

func TestSched(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sched")
}

const (
	// token and lease are those of the simulated owner.
	token = 7
	lease = 6 * time.Second
	// holdInterval is the interval between holds of one worker.
	holdInterval = 50 * time.Millisecond
	// gangTime is how long a member of a gang waits for the others.
	gangTime = 3 * time.Second
	// crashDowntime is how long a crashed worker is away.
	crashDowntime = 3 * time.Second
)

// simulation drives a core against a fleet in virtual time.
type simulation struct {
	core  *sched.Core
	fleet *agent.Fleet
	now   time.Duration
	// ids are the worker IDs in hold order.
	ids   []string
	acked map[string]uint64
	// adviceCalls are the calls to the policy service in flight.
	adviceCalls []adviceCall
	// shortFree and longFree are the times at which each lane of the policy
	// service becomes free for short and for long calls. Without lanes, calls
	// run in parallel.
	shortFree, longFree []time.Duration
	// policy issues the tickets, which workers check; nil for tickets that are always valid.
	policy *advice.Service
	// transit is how long an answer of the policy service is under way; nil for none.
	transit func() time.Duration
	// adviceFails is the error of each call to the policy service, if it is set, and
	// adviceCount counts the calls.
	adviceFails error
	adviceCount int
	// allow reports whether the policy allows a worker; nil allows all.
	allow func(step cairnbay.WorkflowTask, worker string) bool
	// submitted and completed are the times of a job's first submission and of
	// its completion.
	submitted, completed map[string]time.Duration
	refused              map[string]bool
	jobs                 map[string]cairnbay.Workflow
	// runTimes are the true run times of the jobs' steps.
	runTimes map[string][]time.Duration
	stops    map[sched.EndCause]int
	// unpolled workers get no holds.
	unpolled map[string]bool
	// deadly says whether a task crashes its workers; nil for none, and for workers
	// that run the members of a gang apart from each other.
	deadly func(task cairnbay.WorkflowTask) bool
	// crashAfter is the time from the start of a deadly task to the crash of its worker.
	crashAfter time.Duration
	// slowness is the factor by which tasks take longer on a worker; nil for 1. noise is
	// the deviation of the run times of one step, in logarithms.
	slowness func(worker string) float64
	noise    float64
	// disturb changes the slowness of one worker, if it is set.
	disturb func(factor float64)
	// onStart is called with each start, if it is set.
	onStart func(*sched.StartAction)
	// onState is called with the state of each worker that answers, if it is set.
	onState func(cairnbay.AgentState)
	// stopTime is the time from the order of a stop to the end of the attempt.
	stopTime     time.Duration
	pendingStops []pendingStop
	// discarded is the run time that stops have discarded, by cause, and ran that of all
	// attempts.
	discarded map[sched.EndCause]time.Duration
	ran       time.Duration
	// variation multiplies the run time of a task; nil for 1. saves is the interval at
	// which the tasks of a step with checkpoints save their progress; 0 for never.
	variation func(task cairnbay.WorkflowTask) float64
	saves     time.Duration
	// holdPeriod is the longest time between two holds of a worker without an end;
	// 0 for holdInterval.
	holdPeriod time.Duration
	heldAt     map[string]time.Duration
	// records are those in the store.
	records []sched.Record
	// load is the load that a worker reports of a task while others run there; nil for 0.
	load func(task cairnbay.WorkflowTask, running []cairnbay.WorkflowTask) int
	// fails says whether an attempt fails; nil for none.
	fails func(task cairnbay.WorkflowTask, attempt int) bool
	// eachStep is called before each step of the simulation, if it is set.
	eachStep func()
	// trace is called with the actions of each plan, if it is set.
	trace func([]sched.Action)
}

type pendingStop struct {
	at   time.Duration
	stop *sched.StopAction
}

type adviceCall struct {
	// issueAt is when the service decides, answerAt when its answer arrives.
	issueAt, answerAt time.Duration
	calledAt          time.Duration
	action            *sched.AdviseAction
	tickets           []cairnbay.Ticket
	issued            bool
}

func newSimulation(config sched.Config) *simulation {
	sim := &simulation{
		core: sched.New(config), now: time.Second, acked: make(map[string]uint64),
		submitted: make(map[string]time.Duration), completed: make(map[string]time.Duration),
		refused: make(map[string]bool), jobs: make(map[string]cairnbay.Workflow),
		runTimes: make(map[string][]time.Duration), stops: make(map[sched.EndCause]int),
		discarded: make(map[sched.EndCause]time.Duration), heldAt: make(map[string]time.Duration),
		unpolled: make(map[string]bool), crashAfter: 10 * time.Millisecond,
	}
	sim.fleet = agent.New(agent.Config{
		Now: func() time.Duration { return sim.now },
		RunTime: func(task cairnbay.WorkflowTask) time.Duration {
			runTime := sim.runTime(task)
			if sim.variation != nil {
				runTime = time.Duration(sim.variation(task) * float64(runTime))
			}
			return runTime
		},
		Slowness: func(worker string) float64 {
			if sim.slowness == nil {
				return 1
			}
			return sim.slowness(worker)
		},
		Fails: func(task cairnbay.WorkflowTask, attempt int) bool {
			return sim.fails != nil && sim.fails(task, attempt)
		},
		Copies: func(task cairnbay.WorkflowTask) bool { return sim.jobs[task.Job].Steps[task.Step].Speculative },
		Saves: func(task cairnbay.WorkflowTask) time.Duration {
			if !sim.jobs[task.Job].Steps[task.Step].Checkpoints {
				return 0
			}
			return sim.saves
		},
		ResumeTime: 350 * time.Millisecond,
		Size: func(task cairnbay.WorkflowTask) cairnbay.Resources {
			step := sim.jobs[task.Job].Steps[task.Step]
			if step.BestEffort {
				step.Size.MilliCPU = 0
			}
			return step.Size
		},
		Load: func(task cairnbay.WorkflowTask, running []cairnbay.WorkflowTask) int {
			if sim.load == nil {
				return 0
			}
			return sim.load(task, running)
		},
		Gang: func(task cairnbay.WorkflowTask) int {
			if step := sim.jobs[task.Job].Steps[task.Step]; step.Gang && sim.deadly != nil {
				return step.Tasks
			}
			return 0
		},
		GangTime: gangTime,
		Admit: func(worker string, order cairnbay.AgentStart) error {
			if sim.policy == nil {
				return nil
			}
			return sim.policy.Check(worker, order)
		},
		Crash: agent.CrashPlan{
			Deadly: func(task cairnbay.WorkflowTask) bool { return sim.deadly != nil && sim.deadly(task) },
			After:  func() time.Duration { return sim.crashAfter }, Downtime: crashDowntime,
		},
	})
	return sim
}

// runTime is the true run time of a task on a worker of the usual speed, which depends
// only on the task.
func (sim *simulation) runTime(task cairnbay.WorkflowTask) time.Duration {
	usual := sim.runTimes[task.Job][task.Step]
	if sim.noise == 0 {
		return usual
	}
	random := rand.New(rand.NewPCG(xxhash.Sum64String(task.Job), uint64(task.Step*1000+task.Index)))
	return time.Duration(float64(usual) * math.Exp(sim.noise*random.NormFloat64()))
}

func (sim *simulation) moment() sched.Moment {
	return sched.Moment{BootTime: sim.now, UnixMS: sim.now.Milliseconds()}
}

func (sim *simulation) addWorker(id string, capacity cairnbay.Resources) {
	sim.ids = append(sim.ids, id)
	sim.fleet.Add(id, capacity)
	sim.core.SetWorker(cairnbay.WorkerEntry{ID: id, Address: id, Rack: "r-" + id, Capacity: capacity})
	sim.hold(id)
}

// submit submits a job, with admission control if admit is set.
func (sim *simulation) submit(job cairnbay.Workflow, admit bool, runTimes ...time.Duration) {
	if _, ok := sim.submitted[job.ID]; !ok {
		sim.submitted[job.ID] = sim.now
	}
	sim.jobs[job.ID], sim.runTimes[job.ID] = job, runTimes
	if admit && !sim.core.Admit(sim.moment(), job).Accept {
		sim.refused[job.ID] = true
		return
	}
	job.AcceptedUnixMS = sim.moment().UnixMS
	sim.core.Accept(sim.moment(), job, false)
	sim.plan()
}

func (sim *simulation) hold(id string) sched.HoldResult {
	sent := sim.now
	state, err := sim.fleet.Hold(context.Background(), cairnbay.AgentTarget{Worker: id}, cairnbay.AgentHold{
		Token: token, LeaseEnd: sim.now + lease, Acked: sim.acked[id],
	})
	if errors.Is(err, cairnbay.ErrReplaced) {
		sim.store(sim.core.HandleWorkerLoss(sim.moment(), id, sched.LossCrashed).Records)
		sim.ids = slices.DeleteFunc(sim.ids, func(other string) bool { return other == id })
	}
	if err != nil {
		sim.core.SetReachable(sim.moment(), id, false)
		return sched.HoldResult{}
	}
	sim.core.SetReachable(sim.moment(), id, true)
	if sim.onState != nil {
		sim.onState(state)
	}
	result := sim.core.HandleHold(sim.moment(), id, sent, state)
	sim.store(result.Records)
	sim.acked[id] = result.LastSequence
	return result
}

// store keeps records for the next owner.
func (sim *simulation) store(records []sched.Record) {
	sim.records = append(sim.records, records...)
	sim.core.RecordsStored(records)
}

func (sim *simulation) plan() {
	sim.execute(sim.core.Plan(sim.moment()))
}

func (sim *simulation) execute(actions []sched.Action) {
	if sim.trace != nil {
		sim.trace(actions)
	}
	ctx := context.Background()
	for _, action := range actions {
		switch {
		case action.Start != nil:
			if sim.onStart != nil {
				sim.onStart(action.Start)
			}
			clock, err := sim.fleet.Start(ctx, action.Start.Target, cairnbay.AgentStart{
				Task: action.Start.Task, Attempt: action.Start.Attempt, LeaseEnd: sim.now + lease, Token: token,
				Checkpoint: action.Start.Checkpoint, Ticket: action.Start.Ticket,
			})
			sim.core.HandleAnswer(action.Start.Target.Worker, clock)
			sim.core.HandleStart(sim.moment(), action.Start, err)
		case action.Stop != nil:
			sim.stops[action.Stop.Cause]++
			if sim.stopTime == 0 {
				sim.stop(action.Stop)
				continue
			}
			sim.pendingStops = append(sim.pendingStops, pendingStop{sim.now + sim.stopTime, action.Stop})
		case action.Advise != nil:
			sim.adviceCount++
			call := adviceCall{calledAt: sim.now, action: action.Advise}
			call.issueAt = sim.scheduleCall(action.Advise.ExpectedDuration)
			call.answerAt = call.issueAt
			if sim.transit != nil {
				call.answerAt += sim.transit()
			}
			sim.adviceCalls = append(sim.adviceCalls, call)
		}
	}
}

func (sim *simulation) stop(action *sched.StopAction) {
	sim.discarded[action.Cause] += sim.fleet.Unsaved(action.Target.Worker, action.Task)
	_, err := sim.fleet.Stop(context.Background(), action.Target, cairnbay.AgentStop{
		Task: action.Task, Attempt: action.Attempt, Token: token,
	})
	sim.core.HandleStop(sim.moment(), action, err)
}

// finishStops ends the attempts whose stop has taken its time.
func (sim *simulation) finishStops() {
	pending := sim.pendingStops
	sim.pendingStops = nil
	for _, one := range pending {
		if one.at > sim.now {
			sim.pendingStops = append(sim.pendingStops, one)
			continue
		}
		sim.stop(one.stop)
	}
}

// holdDue reports whether a worker answers its hold now: with an end, or after the
// period of holds.
func (sim *simulation) holdDue(id string) bool {
	if sim.holdPeriod > 0 && sim.now-sim.heldAt[id] < sim.holdPeriod && !sim.fleet.HasEnds(id, sim.acked[id]) {
		return false
	}
	sim.heldAt[id] = sim.now
	return !sim.unpolled[id]
}

// adviceLatency is the network time of a call to the policy service by way of
// another instance.
const adviceLatency = 10 * time.Millisecond

// setLanes limits the policy service to one call at a time on each lane.
func (sim *simulation) setLanes(short, long int) {
	sim.shortFree, sim.longFree = make([]time.Duration, short), make([]time.Duration, long)
	sim.core.SetAdviceLimits(short, long)
}

// scheduleCall assigns a call to the lane that is free first and returns the
// time of its answer.
func (sim *simulation) scheduleCall(expected time.Duration) time.Duration {
	lanes := sim.longFree
	if expected <= sched.MaxShortAdvice {
		lanes = sim.shortFree
	}
	if len(lanes) == 0 {
		return sim.now + expected
	}
	lane := 0
	for i, free := range lanes {
		if free < lanes[lane] {
			lane = i
		}
	}
	lanes[lane] = max(lanes[lane], sim.now) + expected
	return lanes[lane] + adviceLatency
}

// advance runs the simulation in small steps.
func (sim *simulation) advance(duration time.Duration) {
	const step = 10 * time.Millisecond
	for end := sim.now + duration; sim.now < end; {
		sim.now += step
		if sim.eachStep != nil {
			sim.eachStep()
		}
		sim.answerCalls()
		sim.finishStops()
		if sim.now%holdInterval == 0 {
			sim.followLives()
			for _, id := range slices.Clone(sim.ids) {
				if sim.holdDue(id) {
					sim.hold(id)
				}
			}
			sim.ran += time.Duration(sim.core.Counts().Running) * holdInterval
			sim.core.Tick()
			sim.plan()
		}
		sim.recordCompletions()
	}
}

// followLives adds the workers that have come back under another ID.
func (sim *simulation) followLives() {
	for _, life := range sim.fleet.Lives() {
		if !slices.Contains(sim.ids, life.ID) {
			sim.ids = append(sim.ids, life.ID)
			sim.core.SetWorker(cairnbay.WorkerEntry{
				ID: life.ID, Address: life.Address, Rack: "r-" + life.Address, Capacity: life.Capacity,
			})
		}
	}
}

func (sim *simulation) answerCalls() {
	var unanswered []adviceCall
	for _, call := range sim.adviceCalls {
		if call.issueAt <= sim.now && !call.issued {
			call.tickets, call.issued = sim.issue(call.action), true
		}
		if call.answerAt > sim.now {
			unanswered = append(unanswered, call)
			continue
		}
		sim.execute(sim.core.HandleAdvice(sim.moment(), call.action.Step, call.calledAt, call.action.Workers, call.tickets, sim.adviceFails))
	}
	sim.adviceCalls = unanswered
}

// issue returns the tickets of the workers that the policy allows.
func (sim *simulation) issue(action *sched.AdviseAction) (tickets []cairnbay.Ticket) {
	var allowed []string
	for _, id := range action.Workers {
		if sim.allow == nil || sim.allow(action.Step, id) {
			allowed = append(allowed, id)
			tickets = append(tickets, cairnbay.Ticket{Worker: id, Ticket: "t"})
		}
	}
	if sim.policy != nil {
		return sim.policy.Issue(action.Step, allowed)
	}
	return tickets
}

func (sim *simulation) recordCompletions() {
	for id := range sim.submitted {
		if _, ok := sim.completed[id]; !ok && sim.core.State(id) == cairnbay.WorkflowCompleted {
			sim.completed[id] = sim.now
		}
	}
}

// outcomeShares returns the shares of a queue's jobs that completed within
// their objective, that completed late but within three times the objective,
// and that were refused. The objective follows from the true run times.
func (sim *simulation) outcomeShares(queue string) (inTime, late, refused float64) {
	count := 0.0
	for id, submitted := range sim.submitted {
		job := sim.jobs[id]
		if job.Queue.Name != queue {
			continue
		}
		count++
		chain := time.Duration(0)
		for _, step := range sim.runTimes[id] {
			chain += step
		}
		objective := sched.LatencyObjective(job.Queue, chain)
		completed, ok := sim.completed[id]
		switch {
		case sim.refused[id]:
			refused++
		case ok && completed-submitted <= objective:
			inTime++
		case ok && completed-submitted <= 3*objective:
			late++
		}
	}
	return inTime / count, late / count, refused / count
}
