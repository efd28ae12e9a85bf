package place_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"cairnbay"
)

// reporter ends a test at the first violation; rapid.T and panicReporter
// implement it.
type reporter interface {
	Fatalf(format string, arguments ...any)
}

// placement is a task on a worker, according to the decisions so far.
type placement struct {
	worker    string
	attempt   int
	running   bool
	throttled bool
	stopping  bool
}

// oracle checks the guarantees of a placer without knowledge of its algorithms.
type oracle struct {
	placer     cairnbay.Placer
	now        time.Duration
	settings   *cairnbay.Settings
	workers    map[string]cairnbay.WorkerState
	jobs       map[cairnbay.JobID]cairnbay.Job
	final      map[cairnbay.TaskID]cairnbay.TaskState
	placements map[cairnbay.TaskID]*placement
	// mayHaveRun holds the at-most-once tasks that a decided start may have started.
	mayHaveRun map[cairnbay.TaskID]bool
	// attempts is the last attempt of each task that was decided.
	attempts map[cairnbay.TaskID]int
}

func newOracle(placer cairnbay.Placer) *oracle {
	return &oracle{
		placer: placer, workers: make(map[string]cairnbay.WorkerState),
		jobs:       make(map[cairnbay.JobID]cairnbay.Job),
		final:      make(map[cairnbay.TaskID]cairnbay.TaskState),
		placements: make(map[cairnbay.TaskID]*placement), mayHaveRun: make(map[cairnbay.TaskID]bool),
		attempts: make(map[cairnbay.TaskID]int),
	}
}

// chargeOf returns the capacity that a placed task takes on its worker.
func (o *oracle) chargeOf(task cairnbay.TaskID) cairnbay.Resources {
	size := o.jobs[task.Job].Size
	if o.placements[task].throttled {
		size.MilliCPU = 0
	}
	return size
}

func (o *oracle) chargedOn(worker string) cairnbay.Resources {
	var sum cairnbay.Resources
	for task, placed := range o.placements {
		if placed.worker == worker {
			sum = sum.Add(o.chargeOf(task))
		}
	}
	return sum
}

// waiting counts a job's tasks that are neither final nor on a worker.
func (o *oracle) waiting(job cairnbay.Job) int {
	count := 0
	for index := range job.Tasks {
		task := cairnbay.TaskID{Job: job.ID, Index: index}
		if _, ended := o.final[task]; !ended && o.placements[task] == nil {
			count++
		}
	}
	return count
}

func (o *oracle) decide(t reporter, limit int) {
	waiting := make(map[cairnbay.JobID]int)
	for id, job := range o.jobs {
		waiting[id] = o.waiting(job)
	}
	starts := make(map[cairnbay.JobID]int)
	for _, decision := range o.placer.Decide(o.now, limit) {
		if decision.Kind == cairnbay.DecideStart {
			starts[decision.Task.Job]++
			o.checkStart(t, decision)
		} else {
			o.recordDecision(t, decision)
		}
	}
	for id, count := range starts {
		if o.jobs[id].Kind == cairnbay.KindGang && count != waiting[id] {
			t.Fatalf("gang %q started %d of %d waiting tasks", id, count, waiting[id])
		}
	}
	o.checkCapacity(t)
}

// checkStart checks a decided start and records it.
func (o *oracle) checkStart(t reporter, decision cairnbay.Decision) {
	task := decision.Task
	if _, exists := o.jobs[task.Job]; !exists {
		t.Fatalf("start of task %v of an unknown job", task)
	}
	if state, ended := o.final[task]; ended {
		t.Fatalf("start of task %v, which is %s", task, state)
	}
	if placed := o.placements[task]; placed != nil {
		t.Fatalf("start of task %v on %s while it is on %s", task, decision.Worker, placed.worker)
	}
	if o.mayHaveRun[task] {
		t.Fatalf("second start of at-most-once task %v", task)
	}
	if !o.workers[decision.Worker].Usable {
		t.Fatalf("start of task %v on unusable worker %s", task, decision.Worker)
	}
	if decision.Attempt <= o.attempts[task] {
		t.Fatalf("attempt %d of task %v was used before", decision.Attempt, task)
	}
	o.attempts[task] = decision.Attempt
	o.mayHaveRun[task] = o.jobs[task.Job].AtMostOnce
	o.placements[task] = &placement{worker: decision.Worker, attempt: decision.Attempt}
	o.checkQuota(t, o.jobs[task.Job])
}

// recordDecision checks and records a decision about a placed task.
func (o *oracle) recordDecision(t reporter, decision cairnbay.Decision) {
	victim := o.placements[decision.Task]
	job := o.jobs[decision.Task.Job]
	if victim == nil || victim.worker != decision.Worker || victim.attempt != decision.Attempt {
		t.Fatalf("decision of kind %d for task %v, which is not on %s", decision.Kind, decision.Task, decision.Worker)
	}
	if job.AtMostOnce {
		t.Fatalf("decision of kind %d for at-most-once task %v", decision.Kind, decision.Task)
	}
	switch decision.Kind {
	case cairnbay.DecideThrottle:
		victim.throttled = true
	case cairnbay.DecideUnthrottle:
		victim.throttled = false
	default:
		victim.stopping = true
	}
}

func (o *oracle) checkCapacity(t reporter) {
	for id, worker := range o.workers {
		if charged := o.chargedOn(id); !charged.Fits(worker.Capacity) {
			t.Fatalf("worker %s has capacity %+v and its tasks are charged %+v", id, worker.Capacity, charged)
		}
	}
}

// checkQuota checks the quotas of the branches of a task that was just placed.
func (o *oracle) checkQuota(t reporter, job cairnbay.Job) {
	for _, path := range []string{job.Branch, ""} {
		branch := o.settings.Branches[path]
		if branch.Placing.Borrow && !job.AtMostOnce {
			continue
		}
		used := o.usedBy(path).Values()
		for i, limit := range branch.Placing.Quota.Values() {
			if limit > 0 && job.Size.Values()[i] > 0 && used[i] > limit {
				t.Fatalf("branch %q uses %v, beyond its quota %+v, after a start of job %q", path, used, branch.Placing.Quota, job.ID)
			}
		}
	}
}

func (o *oracle) usedBy(path string) cairnbay.Resources {
	var sum cairnbay.Resources
	for task := range o.placements {
		if path == "" || o.jobs[task.Job].Branch == path {
			sum = sum.Add(o.chargeOf(task))
		}
	}
	return sum
}

// checkFree compares the free and total capacity of the placer with the oracle's.
func (o *oracle) checkFree(t reporter) {
	var free, total cairnbay.Resources
	for id, worker := range o.workers {
		if worker.Usable {
			total = total.Add(worker.Capacity)
			free = free.Add(worker.Capacity).Sub(o.chargedOn(id))
		}
	}
	if gotFree, gotTotal := o.placer.Free(); gotFree != free || gotTotal != total {
		t.Fatalf("engine has %+v free of %+v, oracle %+v of %+v", gotFree, gotTotal, free, total)
	}
}

// endPlaced reports the end of a placed task and checks its new state.
func (o *oracle) endPlaced(t reporter, task cairnbay.TaskID, reason cairnbay.EndReason) {
	ended := o.placements[task]
	delete(o.placements, task)
	state := o.placer.Ended(ended.worker, cairnbay.TaskEnd{Task: task, Attempt: ended.attempt, Reason: reason}, o.now)
	o.recordState(t, task, state)
	o.recordGangEnds(t, task.Job)
	if reason == cairnbay.EndDone && state != cairnbay.TaskDone {
		t.Fatalf("task %v ended as done and its state is %s", task, state)
	}
}

// recordState records the state of a task that left its worker.
func (o *oracle) recordState(t reporter, task cairnbay.TaskID, state cairnbay.TaskState) {
	if state.Final() {
		o.final[task] = state
		return
	}
	if state != cairnbay.TaskWaiting {
		t.Fatalf("task %v left its worker and its state is %s", task, state)
	}
	if o.mayHaveRun[task] {
		t.Fatalf("at-most-once task %v may have run and waits again", task)
	}
}

// recordGangEnds records the waiting tasks that ended with their gang.
func (o *oracle) recordGangEnds(t reporter, id cairnbay.JobID) {
	if o.jobs[id].Kind != cairnbay.KindGang {
		return
	}
	for index := range o.jobs[id].Tasks {
		task := cairnbay.TaskID{Job: id, Index: index}
		if _, ended := o.final[task]; ended || o.placements[task] != nil {
			continue
		}
		if state := o.stateOf(t, task); state != cairnbay.TaskWaiting {
			o.recordState(t, task, state)
		}
	}
}

// dropWorker drops a worker and checks the states of its tasks.
func (o *oracle) dropWorker(t reporter, id string) {
	unknown := o.placer.DropWorker(id, o.now)
	delete(o.workers, id)
	for task, placed := range o.placements {
		if placed.worker != id {
			continue
		}
		delete(o.placements, task)
		switch {
		case slices.Contains(unknown, task):
			o.final[task] = cairnbay.TaskUnknown
		case o.mayHaveRun[task]:
			t.Fatalf("at-most-once task %v was lost with %s and is not reported", task, id)
		default:
			o.recordState(t, task, o.stateOf(t, task))
		}
	}
}

func (o *oracle) stateOf(t reporter, task cairnbay.TaskID) cairnbay.TaskState {
	explained, err := o.placer.Explain(task.Job, o.now)
	if err != nil {
		t.Fatalf("explain %q: %v", task.Job, err)
	}
	return explained.Tasks[task.Index].State
}

func (o *oracle) cancel(id cairnbay.JobID) {
	o.placer.Cancel(id, o.now)
	for index := range o.jobs[id].Tasks {
		task := cairnbay.TaskID{Job: id, Index: index}
		if _, ended := o.final[task]; !ended && o.placements[task] == nil {
			o.final[task] = cairnbay.TaskCancelled
		}
	}
}

// undoStart undoes a decided start.
func (o *oracle) undoStart(t reporter, task cairnbay.TaskID, result cairnbay.StartResult) {
	refused := o.placements[task]
	delete(o.placements, task)
	o.mayHaveRun[task] = false
	o.placer.NotStarted(task, refused.attempt, result, o.now)
	if state := o.stateOf(t, task); state.Final() {
		o.final[task] = state
	}
}

// finish ends all placed tasks and checks that the free capacity is as expected;
// Leaks checks the other accounts.
func (o *oracle) finish(t reporter) {
	for _, task := range o.placedTasks(func(*placement) bool { return true }) {
		if !o.placements[task].running {
			o.placer.Started(task, o.placements[task].attempt, o.now)
		}
		o.endPlaced(t, task, cairnbay.EndDone)
	}
	o.checkFree(t)
}

// placedTasks returns the placed tasks that match, in a fixed order.
func (o *oracle) placedTasks(match func(*placement) bool) []cairnbay.TaskID {
	var tasks []cairnbay.TaskID
	for task, placed := range o.placements {
		if match(placed) {
			tasks = append(tasks, task)
		}
	}
	slices.SortFunc(tasks, func(a, b cairnbay.TaskID) int { return compareText(a.String(), b.String()) })
	return tasks
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func sortedKeys[V any, K ~string](items map[K]V) []K {
	return slices.Sorted(maps.Keys(items))
}

// draw picks one of the items, or skips the action if there are none.
func draw[T any](t *rapid.T, label string, items []T) T {
	if len(items) == 0 {
		t.Skip("no ", label)
	}
	return rapid.SampledFrom(items).Draw(t, label)
}

func drawSettings(t *rapid.T, version uint64) *cairnbay.Settings {
	settings := &cairnbay.Settings{Version: version, Branches: make(map[string]*cairnbay.Branch), Teams: make(map[string]*cairnbay.Branch)}
	for _, path := range []string{"", "a", "b"} {
		placing := cairnbay.Placing{
			Weight: 1, MaxAttempts: 2, Preempt: true, SpreadRacks: true,
			AgeBoost: rapid.SampledFrom([]time.Duration{0, time.Minute}).Draw(t, "age_boost"),
			Borrow:   rapid.Bool().Draw(t, "borrow"),
			Quota:    cores(rapid.SampledFrom([]int64{0, 0, 6, 12}).Draw(t, "quota")),
		}
		settings.Branches[path] = &cairnbay.Branch{Path: path, Placing: placing}
	}
	settings.Teams["t1"] = settings.Branches["a"]
	return settings
}

func drawJob(t *rapid.T, serial int) cairnbay.Job {
	kind := rapid.SampledFrom([]cairnbay.Kind{cairnbay.KindService, cairnbay.KindBatch, cairnbay.KindBatch, cairnbay.KindGang}).Draw(t, "kind")
	size := cores(rapid.Int64Range(1, 6).Draw(t, "cores"))
	size.MemoryMB /= rapid.Int64Range(1, 4).Draw(t, "memory_divisor")
	return cairnbay.Job{
		ID:     cairnbay.JobID(fmt.Sprintf("j%d", serial)),
		Branch: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "branch"),
		Team:   rapid.SampledFrom([]string{"t1", "t2"}).Draw(t, "team"),
		Kind:   kind, Band: cairnbay.Band(rapid.IntRange(0, int(cairnbay.Bands)-1).Draw(t, "band")),
		Tasks: rapid.IntRange(1, 5).Draw(t, "tasks"), Size: size,
		AtMostOnce:  rapid.IntRange(0, 3).Draw(t, "at_most_once") == 0,
		Checkpoints: rapid.Bool().Draw(t, "checkpoints"),
		GangRestart: rapid.Bool().Draw(t, "gang_restart"),
	}
}
