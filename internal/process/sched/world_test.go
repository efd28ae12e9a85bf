package sched_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/fake/agent"
	"cairnbay/internal/process/sched"
)

func TestSched(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sched")
}

const (
	// token is the owner's; lease what it grants.
	token = 7
	lease = 6 * time.Second
	// holdPeriod is how often the world asks each worker for its state.
	holdPeriod = 50 * time.Millisecond
)

// world drives a core against a fleet in virtual time.
type world struct {
	core  *sched.Core
	fleet *agent.Fleet
	now   time.Duration
	// ids are the workers, in the order in which they are held.
	ids  []string
	seen map[string]uint64
	// answers are calls to the policy service under way.
	answers []answer
	// short and long are when each lane to the policy service is free for calls
	// of that kind; without any, calls do not wait for each other.
	short, long []time.Duration
	// allow says which workers the policy allows; nil allows all.
	allow func(step cairnbay.WorkflowTask, worker string) bool
	// handed is when a job was first handed in, completed when it was done.
	handed, completed map[string]time.Duration
	refused           map[string]bool
	jobs              map[string]cairnbay.Workflow
	// runTimes are the true run times of the jobs' steps.
	runTimes map[string][]time.Duration
	stops    map[sched.EndCause]int
	// deaf workers are not asked for their state.
	deaf map[string]bool
}

type answer struct {
	at     time.Duration
	action *sched.AdviseAction
}

func newWorld(config sched.Config) *world {
	w := &world{
		core: sched.New(config), now: time.Second, seen: make(map[string]uint64),
		handed: make(map[string]time.Duration), completed: make(map[string]time.Duration),
		refused: make(map[string]bool), jobs: make(map[string]cairnbay.Workflow),
		runTimes: make(map[string][]time.Duration), stops: make(map[sched.EndCause]int),
		deaf: make(map[string]bool),
	}
	w.fleet = agent.New(agent.Config{
		Now: func() time.Duration { return w.now },
		RunTime: func(task cairnbay.WorkflowTask) time.Duration {
			return w.runTimes[task.Job][task.Step]
		},
		Size: func(task cairnbay.WorkflowTask) cairnbay.Resources {
			return w.jobs[task.Job].Steps[task.Step].Size
		},
	})
	return w
}

func (w *world) moment() sched.Moment {
	return sched.Moment{BootTime: w.now, UnixMS: w.now.Milliseconds()}
}

func (w *world) addWorker(id string, capacity cairnbay.Resources) {
	w.ids = append(w.ids, id)
	w.fleet.Add(id, capacity)
	w.core.SetWorker(cairnbay.WorkerEntry{ID: id, Address: id, Rack: "r-" + id, Capacity: capacity})
	w.hold(id)
}

// submit hands a job in; admission decides if asked to.
func (w *world) submit(job cairnbay.Workflow, admit bool, runTimes ...time.Duration) {
	if _, ok := w.handed[job.ID]; !ok {
		w.handed[job.ID] = w.now
	}
	w.jobs[job.ID], w.runTimes[job.ID] = job, runTimes
	if admit && !w.core.Admit(w.moment(), job).Accept {
		w.refused[job.ID] = true
		return
	}
	job.AcceptedUnixMS = w.moment().UnixMS
	w.core.Accept(w.moment(), job, false)
	w.plan()
}

func (w *world) hold(id string) sched.HoldResult {
	sent := w.now
	state, err := w.fleet.Hold(context.Background(), cairnbay.AgentTarget{Worker: id}, cairnbay.AgentHold{
		Token: token, LeaseEnd: w.now + lease, Acked: w.seen[id],
	})
	if err != nil {
		w.core.SetReachable(id, false)
		return sched.HoldResult{}
	}
	w.core.SetReachable(id, true)
	result := w.core.HandleHold(w.moment(), id, sent, state)
	w.core.RecordsStored(result.Records)
	w.seen[id] = result.LastSequence
	return result
}

func (w *world) plan() {
	w.carryOut(w.core.Plan(w.moment()))
}

func (w *world) carryOut(actions []sched.Action) {
	ctx := context.Background()
	for _, action := range actions {
		switch {
		case action.Start != nil:
			_, err := w.fleet.Start(ctx, action.Start.Target, cairnbay.AgentStart{
				Task: action.Start.Task, Attempt: action.Start.Attempt, LeaseEnd: w.now + lease, Token: token,
			})
			w.core.HandleStart(w.moment(), action.Start, err)
		case action.Stop != nil:
			w.stops[action.Stop.Cause]++
			_, err := w.fleet.Stop(ctx, action.Stop.Target, cairnbay.AgentStop{
				Task: action.Stop.Task, Attempt: action.Stop.Attempt, Token: token,
			})
			w.core.HandleStop(w.moment(), action.Stop, err)
		case action.Advise != nil:
			w.answers = append(w.answers, answer{w.answerAt(action.Advise.ExpectedDuration), action.Advise})
		}
	}
}

// adviceTrip is how long a call to the policy service is on its way, by another
// instance.
const adviceTrip = 10 * time.Millisecond

// setLanes limits the policy service to one call at a time on each lane.
func (w *world) setLanes(short, long int) {
	w.short, w.long = make([]time.Duration, short), make([]time.Duration, long)
	w.core.SetAdviceLimits(short, long)
}

// answerAt books a call on the lane that is free first.
func (w *world) answerAt(takes time.Duration) time.Duration {
	kind := w.long
	if takes <= sched.MaxShortAdvice {
		kind = w.short
	}
	if len(kind) == 0 {
		return w.now + takes
	}
	lane := 0
	for i, free := range kind {
		if free < kind[lane] {
			lane = i
		}
	}
	kind[lane] = max(kind[lane], w.now) + takes
	return kind[lane] + adviceTrip
}

// advance lets time pass in small steps.
func (w *world) advance(by time.Duration) {
	const step = 10 * time.Millisecond
	for end := w.now + by; w.now < end; {
		w.now += step
		w.answerAdvice()
		if w.now%holdPeriod == 0 {
			for _, id := range w.ids {
				if !w.deaf[id] {
					w.hold(id)
				}
			}
			w.core.Tick()
			w.plan()
		}
		w.noteCompleted()
	}
}

func (w *world) answerAdvice() {
	var later []answer
	for _, one := range w.answers {
		if one.at > w.now {
			later = append(later, one)
			continue
		}
		var tickets []cairnbay.Ticket
		for _, id := range one.action.Workers {
			if w.allow == nil || w.allow(one.action.Step, id) {
				tickets = append(tickets, cairnbay.Ticket{Worker: id, Ticket: "t"})
			}
		}
		w.carryOut(w.core.HandleAdvice(w.moment(), one.action.Step, one.action.Workers, tickets, nil))
	}
	w.answers = later
}

func (w *world) noteCompleted() {
	for id := range w.handed {
		if _, ok := w.completed[id]; !ok && w.core.State(id) == cairnbay.WorkflowCompleted {
			w.completed[id] = w.now
		}
	}
}

// share is the part of the jobs of a queue that completed within their
// objective, by their true run times.
func (w *world) share(queue string) (inTime, late, refused float64) {
	count := 0.0
	for id, handed := range w.handed {
		job := w.jobs[id]
		if job.Queue.Name != queue {
			continue
		}
		count++
		chain := time.Duration(0)
		for _, step := range w.runTimes[id] {
			chain += step
		}
		objective := sched.LatencyObjective(job.Queue, chain)
		completed, ok := w.completed[id]
		switch {
		case w.refused[id]:
			refused++
		case ok && completed-handed <= objective:
			inTime++
		case ok && completed-handed <= 3*objective:
			late++
		}
	}
	return inTime / count, late / count, refused / count
}

// Queues of the loads, after the users' sheets.
var (
	quotes = cairnbay.Queue{
		Name: "quotes", Priority: 0, MaxAttempts: 4, Stretch: 1.5, TargetLatency: 250 * time.Millisecond,
	}
	catalogue = cairnbay.Queue{
		Name: "catalogue", Priority: 2, MaxAttempts: 3, Stretch: 4, TargetLatency: 3 * time.Second,
	}
	meshes = cairnbay.Queue{
		Name: "meshes", Priority: 1, MaxAttempts: 4, Stretch: 2.2, TargetLatency: time.Second,
	}
	models = cairnbay.Queue{
		Name: "models", Priority: 2, MaxAttempts: 4, Stretch: 4, TargetLatency: 3 * time.Second,
	}
)

func cores(count float64, memory int64) cairnbay.Resources {
	return cairnbay.Resources{MilliCPU: int64(count * 1000), MemoryMB: memory}
}

// around draws a value spread around a mean.
func around(random *rand.Rand, mean, spread float64) float64 {
	return max(mean*(1+spread*random.NormFloat64()), mean/10)
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second)).Round(time.Millisecond)
}

// arrivals draws the moments of a Poisson stream.
func arrivals(random *rand.Rand, perSecond float64, from, until time.Duration) []time.Duration {
	var at []time.Duration
	for moment := from; ; {
		moment += seconds(random.ExpFloat64() / perSecond)
		if moment >= until {
			return at
		}
		at = append(at, moment)
	}
}

type load struct {
	at       time.Duration
	job      cairnbay.Workflow
	runTimes []time.Duration
}

func sorted(loads []load) []load {
	slices.SortStableFunc(loads, func(a, b load) int { return cmp.Compare(a.at, b.at) })
	return loads
}

// replay plays loads in order.
func (w *world) replay(loads []load, admit bool, settle time.Duration) {
	for _, one := range sorted(loads) {
		if one.at > w.now {
			w.advance(one.at - w.now)
		}
		w.submit(one.job, admit, one.runTimes...)
	}
	w.advance(settle)
}

func simple(id string, queue cairnbay.Queue, tasks int, size cairnbay.Resources, declared time.Duration) cairnbay.Workflow {
	return cairnbay.Workflow{ID: id, Queue: queue, Steps: []cairnbay.WorkflowStep{{
		Tasks: tasks, Size: size, RunTime: declared, Checkpoints: queue.Priority > 0,
	}}}
}

// name gives the n-th job of a queue its id.
func name(queue cairnbay.Queue, n int) string {
	return fmt.Sprintf("%s%03d", queue.Name, n)
}
