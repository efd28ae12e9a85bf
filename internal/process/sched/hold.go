package sched

import (
	"cmp"
	"slices"
	"time"

	"cairnbay"
)

// mostHolders bounds the gangs that hold workers at once; more would leave
// single tasks without room.
const mostHolders = 3

// held names the workers on which a gang will have room, and when.
type held map[string]holder

type holder struct {
	stage *stage
	// ready is when the gang is expected to start there.
	ready time.Duration
}

// closedTo says whether a worker is kept for another stage, on which a task of
// this one would still run when it is to start.
func (h held) closedTo(stage *stage, worker string, ends time.Duration) bool {
	holder, ok := h[worker]
	return ok && holder.stage != stage && ends > holder.ready
}

func (h held) holders() int {
	seen := make(map[*stage]struct{})
	for _, holder := range h {
		seen[holder.stage] = struct{}{}
	}
	return len(seen)
}

// makeRoom keeps later stages off the workers on which a gang that found no
// room will have it first, and stops patient tasks there. It answers a class
// full of small tasks, among which a large gang would never find room for all
// its members at once. It returns the workers on which the gang will start
// within the time that a ticket takes.
func (c *Core) makeRoom(now Moment, stage *stage, kept held) []string {
	if !stage.spec.Gang || stage.gangBroken || kept.holders() >= mostHolders {
		return nil
	}
	allowed := c.candidates(now, stage, kept, func(w *worker) bool {
		return stage.advice == nil || stage.advice.allowed(w.entry.ID)
	})
	preempt := c.urgency(now, stage) == urgencyInTime
	chosen := c.chooseRoom(now, stage, allowed, preempt)
	ready := now.BootTime
	for _, one := range chosen {
		if preempt {
			for _, victim := range one.victims {
				c.stop(victim, CausePreempted)
			}
		}
		ready = max(ready, now.BootTime+one.wait)
	}
	var soon []string
	for _, one := range chosen {
		kept[one.worker.entry.ID] = holder{stage, ready}
		if stage.advice != nil && ready-now.BootTime <= stage.job.workflow.Queue.Advice.Decide+c.config.StopTime {
			soon = append(soon, one.worker.entry.ID)
		}
	}
	return soon
}

// room is what a worker offers to a gang.
type room struct {
	worker *worker
	// tasks is how many members fit once the victims are gone and wait has
	// passed.
	tasks   int
	victims []*attempt
	wait    time.Duration
}

// chooseRoom picks workers for every member of a gang, those that have room
// first; nil if there are not enough.
func (c *Core) chooseRoom(now Moment, stage *stage, allowed []*worker, preempt bool) []room {
	rooms := make([]room, 0, len(allowed))
	for _, worker := range allowed {
		if one := c.roomOn(now, stage, worker, preempt); one.tasks > 0 {
			rooms = append(rooms, one)
		}
	}
	slices.SortFunc(rooms, func(a, b room) int {
		return cmp.Or(
			cmp.Compare(a.wait, b.wait),
			cmp.Compare(len(a.victims), len(b.victims)),
			cmp.Compare(a.worker.entry.ID, b.worker.entry.ID),
		)
	})
	left := len(stage.tasks)
	for i, one := range rooms {
		left -= one.tasks
		if left <= 0 {
			return rooms[:i+1]
		}
	}
	return nil
}

// roomOn says how many members of a gang fit on a worker, and what has to end
// for that: patient tasks if they may be stopped, then whatever ends first.
func (c *Core) roomOn(now Moment, stage *stage, on *worker, preempt bool) room {
	one := room{worker: on}
	size, free := need(stage.spec), on.free()
	limit := wholeRoom(on, stage.spec)
	count := func() int {
		return min(tasksIn(size, free), limit)
	}
	if one.tasks = count(); one.tasks >= min(limit, len(stage.tasks)) {
		return one
	}
	running := make([]*attempt, 0, len(on.attempts))
	for _, attempt := range on.attempts {
		running = append(running, attempt)
	}
	wait := func(a *attempt) time.Duration {
		switch {
		case a.ending != "", preempt && c.patientFor(now, a, stage):
			return min(c.remaining(now, a), c.config.StopTime)
		default:
			return c.remaining(now, a)
		}
	}
	slices.SortFunc(running, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(wait(a), wait(b)), cmp.Compare(a.ref.Job, b.ref.Job), cmp.Compare(a.ref.Index, b.ref.Index))
	})
	var victims []*attempt
	for _, attempt := range running {
		if one.tasks >= min(limit, len(stage.tasks)) || wait(attempt) >= farAhead {
			break
		}
		free = free.Add(attempt.size)
		if preempt && c.patientFor(now, attempt, stage) {
			victims = append(victims, attempt)
		}
		if more := count(); more > one.tasks {
			one.tasks, one.wait, one.victims = more, wait(attempt), slices.Clone(victims)
		}
	}
	return one
}

// wholeRoom counts the tasks of a step that fit on the empty worker.
func wholeRoom(w *worker, spec *cairnbay.WorkflowStep) int {
	empty := worker{entry: w.entry}
	return empty.roomFor(spec)
}

// freeIn estimates when the worker has room for one task of the step.
func (c *Core) freeIn(now Moment, w *worker, spec *cairnbay.WorkflowStep) time.Duration {
	size, free := need(spec), w.free()
	if size.Fits(free) {
		return 0
	}
	ends := make([]*attempt, 0, len(w.attempts))
	for _, attempt := range w.attempts {
		ends = append(ends, attempt)
	}
	slices.SortFunc(ends, func(a, b *attempt) int {
		return cmp.Compare(c.remaining(now, a), c.remaining(now, b))
	})
	for _, attempt := range ends {
		free = free.Add(attempt.size)
		if size.Fits(free) {
			return c.remaining(now, attempt)
		}
	}
	return farAhead
}
