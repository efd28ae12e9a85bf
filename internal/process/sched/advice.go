package sched

import (
	"cmp"
	"slices"
	"time"

	"cairnbay"
)

// advice holds the policy service's decision on the workers of a step and the
// state of the call for it.
type advice struct {
	// inFlight is set during a call about the step.
	inFlight    bool
	requestedAt time.Duration
	// evaluated holds when the service last decided on a worker, by worker ID. A decision
	// never changes, but a worker is also left out of an answer if the service does not
	// know it.
	evaluated map[string]time.Duration
	// recheckPause is the pause before the next call about workers that were left out.
	recheckPause time.Duration
	// tickets holds the latest ticket of each allowed worker, by worker ID, also once it has
	// expired or was refused: the worker remains allowed.
	tickets map[string]ticket
	// refusals counts the starts that were refused for their ticket.
	refusals int
	// failures counts the calls since the last start that failed or whose tickets were
	// refused, and retryAt is the earliest time of the next call. failed is set once the
	// last call is counted.
	failures int
	failed   bool
	retryAt  time.Duration
	// confirmedCall is when the call was sent of which a worker has accepted a ticket last.
	confirmedCall time.Duration
	// wait is the time without any start.
	wait adviceWait
}

const (
	// maxWorkersPerCall bounds the workers of one call to the policy service.
	maxWorkersPerCall = 40
	// maxGangWorkersPerCall is the same for a gang. All its members need allowed
	// workers at the same time, and a second call takes its fixed time again.
	maxGangWorkersPerCall = 100
	// spareCallShare bounds the time that workers without reserved capacity add
	// to a call, as a share of its fixed time. Their tickets serve the step's
	// next tasks, and repeated starts after a refusal.
	spareCallShare = 0.5
	// shortCallsPerLane is how many short calls may be in flight on one lane,
	// so that the lane stays busy while an answer is in transit.
	shortCallsPerLane = 2
	// adviceLead is how long before a step is ready its tickets are requested,
	// beyond the duration of the call. It is well below the validity of a
	// ticket, which must last until the start.
	adviceLead = 500 * time.Millisecond
	// minRecheckPause is the pause after the last call for a step of which the allowed
	// workers are too few, before the others are asked about again. It doubles with each
	// such call up to maxRecheckPause.
	minRecheckPause = 2 * time.Second
	maxRecheckPause = 32 * time.Second
	// adviceRetryPause is the minimum interval between the calls for a step
	// while no allowed worker has capacity, but some are allowed.
	adviceRetryPause = 500 * time.Millisecond
)

// MaxShortAdvice is the longest call to the policy service that counts as
// short. Short and long calls have separate limits, since a short call behind a
// long one would take many times its own duration.
const MaxShortAdvice = 100 * time.Millisecond

// callCounts counts calls to the policy service, short and long ones
// separately.
type callCounts struct {
	short, long int
}

// forDuration returns the count for calls of a duration, without the time per
// worker.
func (counts *callCounts) forDuration(expected time.Duration) *int {
	if expected <= MaxShortAdvice {
		return &counts.short
	}
	return &counts.long
}

// assumedTerms are those of a policy service that is known only by the starts that workers
// refuse: its calls may take long, and its tickets may expire soon.
var assumedTerms = cairnbay.AdviceTerms{Decide: time.Second, PerWorker: 10 * time.Millisecond, Valid: time.Second}

// learnAdviceTerms sets the terms of the policy service for a job whose queue had none when
// it was accepted, and of which a worker has refused a start for its ticket. They are those
// of the last other job of the queue, if one has any.
func (c *Core) learnAdviceTerms(j *job) {
	queue := &j.workflow.Queue
	if queue.Advice != nil {
		return
	}
	var latest *job
	for _, other := range c.jobs {
		if known := &other.workflow.Queue; known.Advice == nil || known.Path() != queue.Path() {
			continue
		}
		if latest == nil || other.acceptedAfter(latest) {
			latest = other
		}
	}
	terms := assumedTerms
	if latest != nil {
		terms = *latest.workflow.Queue.Advice
	}
	queue.Advice = &terms
}

// acceptedAfter orders jobs by their acceptance.
func (j *job) acceptedAfter(other *job) bool {
	if j.firstAcceptedAt != other.firstAcceptedAt {
		return j.firstAcceptedAt > other.firstAcceptedAt
	}
	return j.workflow.ID > other.workflow.ID
}

// SetAdviceLimits bounds the concurrent calls to the policy service by its
// number of lanes; a lane processes one call at a time. The service does not
// abort calls whose caller has given up, so calls beyond its capacity only
// delay others.
func (c *Core) SetAdviceLimits(short, long int) {
	c.callLimit = callCounts{max(short, 1) * shortCallsPerLane, max(long, 1)}
}

// mayCallPolicy reports whether the limit and the step's backoff allow another call for the
// stage.
func (c *Core) mayCallPolicy(now Moment, stage *stage) bool {
	terms := stage.job.workflow.Queue.Advice
	if stage.advice != nil && now.BootTime < stage.advice.retryAt {
		return false
	}
	return *c.inFlight.forDuration(terms.Decide) < *c.callLimit.forDuration(terms.Decide)
}

func newAdvice() *advice {
	return &advice{evaluated: make(map[string]time.Duration), tickets: make(map[string]ticket), recheckPause: minRecheckPause}
}

// decided reports whether the service has decided on the worker.
func (a *advice) decided(worker string) bool {
	_, ok := a.evaluated[worker]
	return ok
}

// allowed reports whether the worker has ever received a ticket.
func (a *advice) allowed(worker string) bool {
	_, ok := a.tickets[worker]
	return ok
}

// planAdvice requests new tickets for allowed workers with free capacity, which
// is reserved during the call, or else decisions on workers that are not
// evaluated yet.
func (c *Core) planAdvice(now Moment, stage *stage, reservations gangReservations) []Action {
	if !c.mayCallPolicy(now, stage) {
		c.noteGangWait(now, stage, GangWaitPolicy)
		return nil
	}
	advice := stage.advice
	placed := c.place(now, stage, reservations, func(w *worker) bool { return advice.trusted(w.entry.ID) })
	if len(placed) == 0 && advice.distrusts() {
		placed = c.place(now, stage, reservations, func(w *worker) bool { return advice.usable(w.entry.ID, now.BootTime) })
	}
	if len(placed) > 0 {
		c.noteGangWait(now, stage, GangWaitTicket)
		return c.callPolicy(now, stage, c.workersToRefresh(now, stage, placed))
	}
	if len(advice.tickets) > 0 && now.BootTime-advice.requestedAt < adviceRetryPause {
		return nil
	}
	unevaluated := c.candidates(now, stage, nil, func(w *worker) bool { return !advice.decided(w.entry.ID) })
	c.sortByFit(stage, unevaluated)
	if len(unevaluated) == 0 {
		unevaluated = c.workersToRecheck(now, stage)
	}
	if len(unevaluated) == 0 {
		reserved := c.reserveForGang(now, stage, reservations)
		afterCall := now.BootTime + stage.job.workflow.Queue.Advice.Decide + c.config.StopTime
		if len(reserved) == 0 || stage.held.startsAt > afterCall || c.ticketsValid(now, stage, reserved) {
			return nil
		}
		c.noteGangWait(now, stage, GangWaitTicket)
		stage.held.until = now.BootTime + ticketWaitLimit
		return c.callPolicy(now, stage, reserved)
	}
	c.noteGangWait(now, stage, GangWaitDecision)
	limit := maxWorkersPerCall
	if stage.spec.Gang {
		limit = maxGangWorkersPerCall
	}
	workers := make([]string, 0, limit)
	for _, worker := range unevaluated[:min(len(unevaluated), limit)] {
		workers = append(workers, worker.entry.ID)
	}
	return c.callPolicy(now, stage, workers)
}

// workersToRecheck lists the workers that are not allowed, those asked about longest ago
// first, once the pause is over, if the step does not fit on those that are allowed, even
// when nothing else runs there but what lasts.
func (c *Core) workersToRecheck(now Moment, stage *stage) []*worker {
	advice, needed := stage.advice, 1
	if stage.spec.Gang || stage.spec.LongRunning {
		needed = len(stage.tasks)
	}
	if !c.ticked || now.BootTime-advice.requestedAt < advice.recheckPause || c.fittingBesideLasting(now, stage, needed) >= needed {
		return nil
	}
	denied := c.candidates(now, stage, nil, func(w *worker) bool { return !advice.allowed(w.entry.ID) })
	slices.SortStableFunc(denied, func(a, b *worker) int {
		return cmp.Compare(advice.evaluated[a.entry.ID], advice.evaluated[b.entry.ID])
	})
	if len(denied) > 0 {
		advice.recheckPause = min(2*advice.recheckPause, maxRecheckPause)
	}
	return denied
}

// sortByFit sorts workers by the number of the stage's tasks that fit, most
// first. For a stage with little slack, fast workers come first among those on which any
// fits.
func (c *Core) sortByFit(stage *stage, workers []*worker) {
	slices.SortFunc(workers, func(a, b *worker) int {
		return cmp.Or(
			c.compareSpeed(stage, a, b),
			-cmp.Compare(a.fitCount(stage.spec), b.fitCount(stage.spec)),
			cmp.Compare(a.entry.ID, b.entry.ID),
		)
	})
}

// planEarlyAdvice requests tickets for steps that will soon be ready, so that
// the call overlaps with the steps before them.
func (c *Core) planEarlyAdvice(now Moment) (actions []Action) {
	var soon []rankedStage
	for _, job := range c.jobs {
		if job.workflow.Queue.Advice == nil || job.ended || len(job.workflow.Steps) == 1 {
			continue
		}
		for _, stage := range job.stages {
			if stage.advice != nil || stage.waiting < len(stage.tasks) || stage.ready() {
				continue
			}
			if c.timeUntilReady(now, stage) <= job.workflow.Queue.Advice.Decide+adviceLead {
				soon = append(soon, c.rankStage(now, stage))
			}
		}
	}
	slices.SortFunc(soon, comparePrecedence)
	for _, entry := range soon {
		stage := entry.stage
		if c.mayCallPolicy(now, stage) && !c.heldWhenReady(now, stage) {
			stage.advice = newAdvice()
			actions = append(actions, c.planAdvice(now, stage, nil)...)
		}
	}
	return actions
}

// timeUntilReady estimates how long it takes until the steps before a stage are
// done.
func (c *Core) timeUntilReady(now Moment, stage *stage) time.Duration {
	longest := time.Duration(0)
	for _, step := range stage.spec.After {
		predecessor := stage.job.stages[stageKey{stage.key.occurrence, step}]
		if predecessor == nil || predecessor.waiting > 0 || !predecessor.ready() {
			return indefinite
		}
		for i := range predecessor.tasks {
			attempts := predecessor.tasks[i].attempts()
			if len(attempts) == 0 {
				continue
			}
			if predecessor.spec.LongRunning {
				return indefinite
			}
			// The estimate of the queue is used, whatever is learned: a call later than by it
			// would be too recent to be repeated when the step is ready.
			expected := c.runTime(stage.job.workflow.Queue.Name, predecessor.spec)
			shortest := indefinite
			for _, attempt := range attempts {
				shortest = min(shortest, attempt.remaining(now, expected))
			}
			longest = max(longest, shortest)
		}
	}
	return longest
}

// workersToRefresh lists the workers that hold capacity for the stage, and a
// few more that the policy allows.
func (c *Core) workersToRefresh(now Moment, stage *stage, placed []*attempt) []string {
	var workers []string
	for _, attempt := range placed {
		if !slices.Contains(workers, attempt.worker.entry.ID) {
			workers = append(workers, attempt.worker.entry.ID)
		}
	}
	spare := c.candidates(now, stage, nil, func(w *worker) bool {
		return stage.advice.usable(w.entry.ID, now.BootTime) && !slices.Contains(workers, w.entry.ID)
	})
	c.sortByFit(stage, spare)
	extra := min(len(spare), maxWorkersPerCall-len(workers))
	if terms := stage.job.workflow.Queue.Advice; terms.PerWorker > 0 {
		extra = min(extra, int(spareCallShare*float64(terms.Decide)/float64(terms.PerWorker)))
	}
	for _, worker := range spare[:max(extra, 0)] {
		workers = append(workers, worker.entry.ID)
	}
	return workers
}

// ticketsValid reports whether the tickets of all workers remain valid for the
// time that a stop takes.
func (c *Core) ticketsValid(now Moment, stage *stage, workers []string) bool {
	for _, worker := range workers {
		if !stage.advice.valid(worker, now.BootTime+c.config.StopTime) {
			return false
		}
	}
	return true
}

func (c *Core) callPolicy(now Moment, stage *stage, workers []string) []Action {
	if len(workers) > maxGangWorkersPerCall {
		// The next call asks for the others.
		slices.SortStableFunc(workers, func(a, b string) int {
			return cmp.Compare(stage.advice.tickets[a].endsAt, stage.advice.tickets[b].endsAt)
		})
		workers = workers[:maxGangWorkersPerCall]
	}
	terms := stage.job.workflow.Queue.Advice
	stage.advice.inFlight, stage.advice.failed = true, false
	stage.advice.requestedAt = now.BootTime
	*c.inFlight.forDuration(terms.Decide)++
	c.adviceCalls[stage.ref(0)] = stage
	return []Action{{Advise: &AdviseAction{
		Step: stage.ref(0), Workers: workers,
		ExpectedDuration: terms.CallDuration(len(workers)),
	}}}
}

// HandleAdvice processes the policy service's decision on some workers of a
// step, or the failure of the call, which was sent at the boot time calledAt. It returns the
// starts that waited for it.
func (c *Core) HandleAdvice(
	now Moment, step cairnbay.WorkflowTask, calledAt time.Duration, evaluated []string, tickets []cairnbay.Ticket, err error,
) []Action {
	stage := c.adviceCalls[step]
	if stage == nil {
		return nil
	}
	delete(c.adviceCalls, step)
	*c.inFlight.forDuration(stage.job.workflow.Queue.Advice.Decide)--
	advice := stage.advice
	advice.inFlight = false
	c.changeCount++
	if err != nil {
		advice.noteFailure(now)
	} else {
		terms := stage.job.workflow.Queue.Advice
		for _, worker := range evaluated {
			advice.evaluated[worker] = now.BootTime
		}
		for _, granted := range tickets {
			next := newTicket(now, granted.Ticket, calledAt, terms.CallDuration(len(evaluated)), terms.Valid)
			next.refusals, next.pausedUntil = advice.tickets[granted.Worker].refusals, advice.tickets[granted.Worker].pausedUntil
			advice.tickets[granted.Worker] = next
		}
	}
	return c.startReserved(now, stage)
}

// startReserved starts the attempts that waited for tickets. It detaches those
// without a valid ticket or a usable worker, or whose worker has shrunk meanwhile,
// and with them the rest of their gang.
func (c *Core) startReserved(now Moment, stage *stage) []Action {
	var ready, refused []*attempt
	for i := range stage.tasks {
		attempt := stage.tasks[i].attempt
		if attempt == nil || attempt.phase != phaseReserved {
			continue
		}
		if stage.advice.valid(attempt.worker.entry.ID, now.BootTime) && attempt.worker.usable() &&
			!attempt.worker.overcommitted() && !c.exceedsPart(stage) {
			ready = append(ready, attempt)
		} else {
			refused = append(refused, attempt)
			if !stage.spec.Gang {
				// The room that it leaves in the part counts for the next one.
				c.detach(attempt)
			}
		}
	}
	if stage.spec.Gang && len(refused) > 0 {
		refused = append(refused, ready...)
		ready = nil
	}
	for _, attempt := range refused {
		c.detach(attempt)
	}
	return c.startPlaced(now, stage, c.keepProbe(now, stage, ready))
}

// fitCount counts the tasks of a step that fit into the worker's free capacity.
func (w *worker) fitCount(spec *cairnbay.WorkflowStep) int {
	count := countFits(demand(spec), w.free())
	if spec.MaxPerWorker > 0 {
		count = min(count, spec.MaxPerWorker)
	}
	return count
}

// countFits counts how many times a size fits into the free capacity.
func countFits(size, free cairnbay.Resources) int {
	count := maxFitCount
	sizes, available := size.Values(), free.Values()
	for i := range sizes {
		if sizes[i] > 0 {
			count = min(count, int(max(available[i], 0)/sizes[i]))
		}
	}
	return count
}

// maxFitCount bounds the count for tasks that reserve next to nothing.
const maxFitCount = 1000
