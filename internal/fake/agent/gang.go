package agent

import (
	"cmp"
	"slices"
	"time"

	"cairnbay"
)

// gangRun names one run of a gang: the members of a run share its attempt number.
type gangRun struct {
	job                       string
	occurrence, step, attempt int
}

func gangRunOf(task cairnbay.WorkflowTask, attempt int) gangRun {
	return gangRun{task.Job, task.Occurrence, task.Step, attempt}
}

func (r gangRun) compare(other gangRun) int {
	return cmp.Or(
		cmp.Compare(r.job, other.job), cmp.Compare(r.occurrence, other.occurrence),
		cmp.Compare(r.step, other.step), cmp.Compare(r.attempt, other.attempt),
	)
}

// gang is a run of a gang, from the start of its first member to the first end.
type gang struct {
	run gangRun
	// size is the number of tasks that the gang works with.
	size int
	// members are the starts so far, in their order.
	members []member
	// began is the start of the first member. A complete gang works from works on
	// until ends.
	began, works, ends time.Duration
	complete           bool
	// ended is set from the first end of a member, with which all others end.
	ended bool
}

type member struct {
	id     string
	worker *worker
	task   cairnbay.WorkflowTask
}

// IncompleteEnd is an end of a member that waited the gang time for the others. The
// others that wait with it end broken.
type IncompleteEnd struct {
	Worker  string
	Task    cairnbay.WorkflowTask
	Attempt int
	At      time.Duration
}

// IncompleteEnds lists the ends of members that waited the gang time for the others.
func (f *Fleet) IncompleteEnds() []IncompleteEnd {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	return slices.Clone(f.incomplete)
}

// gangSize is the number of tasks of a task's gang, 0 if it belongs to none.
func (f *Fleet) gangSize(task cairnbay.WorkflowTask) int {
	if f.config.Gang == nil {
		return 0
	}
	return f.config.Gang(task)
}

// join adds a start to its gang, which works from now on if it is the last one; nil
// for a task that belongs to no gang.
func (f *Fleet) join(id string, w *worker, order cairnbay.AgentStart, now time.Duration) *gang {
	size := f.gangSize(order.Task)
	if size == 0 {
		return nil
	}
	key := gangRunOf(order.Task, order.Attempt)
	joined := f.gangs[key]
	if joined == nil {
		joined = &gang{run: key, size: size, began: now}
		f.gangs[key] = joined
	}
	joined.members = append(joined.members, member{id, w, order.Task})
	if present := joined.present(); !joined.complete && len(present) == size {
		joined.complete, joined.works = true, now
		for _, one := range joined.members {
			joined.ends = max(joined.ends, now+f.runTime(one.worker, one.task))
		}
	}
	return joined
}

// present lists the tasks of the gang that have been started.
func (g *gang) present() (tasks []cairnbay.WorkflowTask) {
	for _, one := range g.members {
		if !slices.Contains(tasks, one.task) {
			tasks = append(tasks, one.task)
		}
	}
	return tasks
}

// running says whether a member is still there.
func (g *gang) running(one member) bool {
	return one.worker.running[one.task].gang == g
}

func (g *gang) percent(now time.Duration) int {
	if !g.complete {
		return 0
	}
	return percent(g.works, g.ends, now)
}

// settleGangs ends the gangs whose time has come, in a fixed order; the caller holds
// the lock.
func (f *Fleet) settleGangs(now time.Duration) {
	due := make([]*gang, 0, len(f.gangs))
	for _, one := range f.gangs {
		due = append(due, one)
	}
	slices.SortFunc(due, func(a, b *gang) int { return a.run.compare(b.run) })
	for _, one := range due {
		f.settleGang(now, one)
	}
}

// settleGang ends a gang at the first of these: the lease of a member ends, all are
// done or one has failed, or the first has waited the gang time.
func (f *Fleet) settleGang(now time.Duration, g *gang) {
	dueAt := g.began + f.config.GangTime
	if g.complete {
		dueAt = g.ends
	}
	first := slices.MinFunc(g.members, func(a, b member) int { return cmp.Compare(a.worker.lease, b.worker.lease) })
	switch {
	case first.worker.lease < min(now, dueAt):
		f.endMember(g, first, cairnbay.AgentLapsed)
	case dueAt > now:
	case !g.complete:
		f.incomplete = append(f.incomplete, IncompleteEnd{g.members[0].id, g.members[0].task, g.run.attempt, dueAt})
		f.endMember(g, g.members[0], cairnbay.AgentGangIncomplete)
	default:
		for _, one := range g.members {
			if f.config.Fails != nil && f.config.Fails(one.task, g.run.attempt) {
				f.endMember(g, one, cairnbay.AgentFailed)
				return
			}
		}
		f.endGang(g, cairnbay.AgentDone)
	}
}

// endMember ends one member, and with it the others.
func (f *Fleet) endMember(g *gang, one member, reason cairnbay.AgentEndReason) {
	f.end(one.worker, one.task, one.worker.running[one.task], reason)
}

// endGang ends what is left of a gang for one reason.
func (f *Fleet) endGang(g *gang, reason cairnbay.AgentEndReason) {
	if g == nil || g.ended {
		return
	}
	g.ended = true
	delete(f.gangs, g.run)
	if reason == cairnbay.AgentDone {
		tasks := g.present()
		for _, task := range tasks {
			f.together[task] = tasks
		}
	}
	for _, one := range g.members {
		if g.running(one) {
			f.end(one.worker, one.task, one.worker.running[one.task], reason)
		}
	}
}

// represented lists the tasks for which an end done of a task stands.
func (f *Fleet) represented(task cairnbay.WorkflowTask) []cairnbay.WorkflowTask {
	if tasks := f.together[task]; tasks != nil {
		return tasks
	}
	return []cairnbay.WorkflowTask{task}
}
