package sched

import (
	"cmp"
	"slices"
	"time"

	"cairnbay"
)

// advice is what the policy service has said of a step.
type advice struct {
	asking  bool
	askedAt time.Duration
	// asked are the workers that it has judged; the verdict never changes.
	asked map[string]bool
	// tickets are of the workers that it allows.
	tickets map[string]ticket
}

type ticket struct {
	ticket string
	until  time.Duration
}

const (
	// ticketMargin is the validity left that a start needs to reach its worker.
	ticketMargin = 150 * time.Millisecond
	// mostAsked bounds the workers of one call to the policy service.
	mostAsked = 40
	// spareTime bounds what is asked about beyond the workers that hold capacity,
	// as a share of the time that a call takes anyway: the tickets serve for the
	// step's next tasks, and for the case that a worker refuses.
	spareTime = 0.5
	// lanePipeline is how many short calls may be under way on one lane, so that
	// it has work while an answer is on its way.
	lanePipeline = 2
	// askAhead is how long before a step is ready its policy is asked for, beyond
	// the time that the service takes; it is well below a ticket's validity.
	askAhead = 500 * time.Millisecond
	// adviceRetry is the pause after a call that failed or allowed no worker.
	adviceRetry = 500 * time.Millisecond
)

// MaxShortAdvice is the longest call to the policy service that counts as short.
// A long call ahead of it would take many times its own time.
const MaxShortAdvice = 100 * time.Millisecond

// lanes counts the calls to the policy service, short and long ones apart.
type lanes struct {
	short, long int
}

func (l *lanes) of(takes time.Duration) *int {
	if takes <= MaxShortAdvice {
		return &l.short
	}
	return &l.long
}

// SetAdviceLimits bounds the calls to the policy service that are under way at once.
// The service goes on with a call that nobody waits for any more, so calls
// beyond what it can take only delay the others.
func (c *Core) SetAdviceLimits(short, long int) {
	c.limit = lanes{max(short, 1) * lanePipeline, max(long, 1)}
}

// mayAsk says whether a call about the stage may be made now.
func (c *Core) mayAsk(stage *stage) bool {
	terms := stage.job.workflow.Queue.Advice
	return *c.asking.of(terms.Decide) < *c.limit.of(terms.Decide)
}

func newAdvice() *advice {
	return &advice{asked: make(map[string]bool), tickets: make(map[string]ticket)}
}

func (a *advice) valid(worker string, now time.Duration) bool {
	got, ok := a.tickets[worker]
	return ok && got.until > now+ticketMargin
}

func (a *advice) allowed(worker string) bool {
	_, ok := a.tickets[worker]
	return ok
}

// planAdvice asks for the verdict on workers not judged yet, or for new tickets
// of allowed workers on which the stage has room; that room is held meanwhile.
func (c *Core) planAdvice(now Moment, stage *stage, kept held) []Action {
	if !c.mayAsk(stage) {
		return nil
	}
	verdict := stage.advice
	allowed := func(w *worker) bool { return verdict.allowed(w.entry.ID) }
	if placed := c.place(now, stage, kept, allowed); len(placed) > 0 {
		return c.ask(now, stage, c.refreshed(now, stage, placed))
	}
	if verdict.askedAt > 0 && now.BootTime-verdict.askedAt < adviceRetry {
		return nil
	}
	fresh := func(w *worker) bool { return !verdict.asked[w.entry.ID] }
	unjudged := c.candidates(now, stage, nil, fresh)
	if len(unjudged) == 0 {
		if soon := c.makeRoom(now, stage, kept); len(soon) > 0 && !c.freshFor(now, stage, soon) {
			return c.ask(now, stage, soon)
		}
		return nil
	}
	c.roomiestFirst(stage, unjudged)
	workers := make([]string, 0, mostAsked)
	for _, worker := range unjudged[:min(len(unjudged), mostAsked)] {
		workers = append(workers, worker.entry.ID)
	}
	return c.ask(now, stage, workers)
}

// roomiestFirst sorts workers by how many tasks of the stage they have room for.
func (c *Core) roomiestFirst(stage *stage, workers []*worker) {
	slices.SortFunc(workers, func(a, b *worker) int {
		return cmp.Or(
			-cmp.Compare(a.roomFor(stage.spec), b.roomFor(stage.spec)),
			cmp.Compare(a.entry.ID, b.entry.ID),
		)
	})
}

// planAhead asks about steps that will soon be ready, so that they need not wait
// for the policy service then.
func (c *Core) planAhead(now Moment) (actions []Action) {
	var soon []*stage
	for _, job := range c.jobs {
		if job.workflow.Queue.Advice == nil || job.ended || len(job.workflow.Steps) == 1 {
			continue
		}
		for _, stage := range job.stages {
			if stage.advice != nil || stage.waiting < len(stage.tasks) || stage.ready() {
				continue
			}
			if c.readyIn(now, stage) <= job.workflow.Queue.Advice.Decide+askAhead {
				soon = append(soon, stage)
			}
		}
	}
	slices.SortFunc(soon, func(a, b *stage) int { return c.compare(now, a, b) })
	for _, stage := range soon {
		if c.mayAsk(stage) {
			stage.advice = newAdvice()
			actions = append(actions, c.planAdvice(now, stage, nil)...)
		}
	}
	return actions
}

// readyIn estimates when the steps before a stage are done.
func (c *Core) readyIn(now Moment, stage *stage) time.Duration {
	longest := time.Duration(0)
	for _, earlier := range stage.spec.After {
		before := stage.job.stages[stageKey{stage.key.occurrence, earlier}]
		if before == nil || before.waiting > 0 || !before.ready() {
			return farAhead
		}
		for i := range before.tasks {
			if attempt := before.tasks[i].attempt; attempt != nil {
				longest = max(longest, c.remaining(now, attempt))
			}
		}
	}
	return longest
}

// refreshed names the workers that hold capacity for the stage, and a few more
// that the policy allows.
func (c *Core) refreshed(now Moment, stage *stage, placed []*attempt) []string {
	var workers []string
	for _, attempt := range placed {
		if !slices.Contains(workers, attempt.worker.entry.ID) {
			workers = append(workers, attempt.worker.entry.ID)
		}
	}
	spare := c.candidates(now, stage, nil, func(w *worker) bool {
		return stage.advice.allowed(w.entry.ID) && !slices.Contains(workers, w.entry.ID)
	})
	c.roomiestFirst(stage, spare)
	more := min(len(spare), mostAsked-len(workers))
	if terms := stage.job.workflow.Queue.Advice; terms.PerWorker > 0 {
		more = min(more, int(spareTime*float64(terms.Decide)/float64(terms.PerWorker)))
	}
	for _, worker := range spare[:max(more, 0)] {
		workers = append(workers, worker.entry.ID)
	}
	return workers
}

// freshFor says whether the tickets of workers stay valid until a start on them.
func (c *Core) freshFor(now Moment, stage *stage, workers []string) bool {
	for _, worker := range workers {
		if !stage.advice.valid(worker, now.BootTime+c.config.StopTime) {
			return false
		}
	}
	return true
}

func (c *Core) ask(now Moment, stage *stage, workers []string) []Action {
	terms := stage.job.workflow.Queue.Advice
	stage.advice.asking = true
	stage.advice.askedAt = now.BootTime
	*c.asking.of(terms.Decide)++
	c.advising[stage.ref(0)] = stage
	return []Action{{Advise: &AdviseAction{
		Step: stage.ref(0), Workers: workers,
		ExpectedDuration: terms.Decide + time.Duration(len(workers))*terms.PerWorker,
	}}}
}

// HandleAdvice takes the policy service's verdict on some workers of a step, or the
// failure of the call. It returns the starts that waited for it.
func (c *Core) HandleAdvice(now Moment, step cairnbay.WorkflowTask, asked []string, tickets []cairnbay.Ticket, err error) []Action {
	stage := c.advising[step]
	if stage == nil {
		return nil
	}
	delete(c.advising, step)
	*c.asking.of(stage.job.workflow.Queue.Advice.Decide)--
	verdict := stage.advice
	verdict.asking = false
	c.changes++
	if err == nil {
		valid := stage.job.workflow.Queue.Advice.Valid
		for _, worker := range asked {
			verdict.asked[worker] = true
		}
		for _, got := range tickets {
			verdict.tickets[got.Worker] = ticket{got.Ticket, now.BootTime + valid}
		}
	}
	return c.startReserved(now, stage)
}

// startReserved starts the attempts that waited for tickets, and gives back the
// capacity of those that got none.
func (c *Core) startReserved(now Moment, stage *stage) []Action {
	var ready, refused []*attempt
	for i := range stage.tasks {
		attempt := stage.tasks[i].attempt
		if attempt == nil || attempt.phase != phaseReserved {
			continue
		}
		if stage.advice.valid(attempt.worker.entry.ID, now.BootTime) && attempt.worker.usable() {
			ready = append(ready, attempt)
		} else {
			refused = append(refused, attempt)
		}
	}
	if stage.spec.Gang && len(refused) > 0 {
		refused = append(refused, ready...)
		ready = nil
	}
	for _, attempt := range refused {
		c.detach(attempt)
	}
	return c.startPlaced(now, stage, ready)
}

// roomFor counts the tasks of a step that the worker has room for.
func (w *worker) roomFor(spec *cairnbay.WorkflowStep) int {
	room := tasksIn(need(spec), w.free())
	if spec.MaxPerWorker > 0 {
		room = min(room, spec.MaxPerWorker)
	}
	return room
}

// tasksIn counts how often a size fits into what is free.
func tasksIn(size, free cairnbay.Resources) int {
	room := maxRoom
	sizes, frees := size.Values(), free.Values()
	for i := range sizes {
		if sizes[i] > 0 {
			room = min(room, int(max(frees[i], 0)/sizes[i]))
		}
	}
	return room
}

// maxRoom stands for a worker that a step's tasks never fill.
const maxRoom = 1000
