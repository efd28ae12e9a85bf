package place

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"cairnbay"
	"cairnbay/internal/process/quota"
)

// job is one job with the state of its tasks.
type job struct {
	spec    cairnbay.Job
	policy  cairnbay.Policy
	branch  *cairnbay.Branch
	account *quota.Account
	team    *team
	// since is when it was taken up; progressed is when a task last started,
	// and ageing counts from there.
	since      time.Duration
	progressed time.Duration
	expected   time.Duration
	// band is the band that it waits in, which ageing moves up.
	band cairnbay.Band

	// states holds each task's state but for "unaccounted", which follows from
	// the worker's.
	states []cairnbay.TaskState
	counts tally
	// attempts and failures are by index, where above zero.
	attempts map[int]int
	failures map[int]int
	// requeued are tasks that wait again; next is the lowest index that may
	// wait for its first start.
	requeued []requeued
	next     int
	runs     map[int]*run
	racks    map[*rack]int

	cancelled bool
	// claimed counts the waiting tasks for which claims hold room.
	claimed int
	// unwinding says that a gang's tasks are being stopped; failed that it
	// does not start again.
	unwinding bool
	failed    bool
	// alarmed says that an alarm for the job is pending.
	alarmed bool
	// retryAt ends the pause after a failure.
	retryAt time.Duration
	pauses  int
	// reserved is the reservation of workers for it.
	reserved *reservation
	// planAt is when a reservation is next tried.
	planAt time.Duration
	// avoided is the worker on which a task failed last.
	avoided *worker
	// group and position say where it stands in the queue.
	group    *group
	position int
	// held is why it is not waiting in the queue or was passed over last.
	held hold
	// never is why it could not start even on an empty shard.
	never hold
}

// requeued is a task that waits again.
type requeued struct {
	index int
	since time.Duration
}

// run is a task on a worker, or on its way there.
type run struct {
	job     *job
	index   int
	attempt int
	worker  *worker
	// size is what it holds of its worker.
	size cairnbay.Resources
	// waitingSince is when the task began to wait for this start.
	waitingSince time.Duration
	placedAt     time.Duration
	confirmed    bool
	// borrowed says that it was started beyond a quota.
	borrowed bool
	reason   string
	// left is what stayed free on the worker when it was placed there.
	left cairnbay.Resources

	throttled bool
	// stopping is the stop that was asked for, 0 for none.
	stopping   cairnbay.DecisionKind
	stoppingAt time.Duration
	// planned says that a plan in the making counts on its end; reclaimed is
	// what it adds to its worker's reclaimable capacity.
	planned   bool
	reclaimed cairnbay.Resources
}

func (r *run) task() cairnbay.TaskID {
	return cairnbay.TaskID{Job: r.job.spec.ID, Index: r.index}
}

// hold is what keeps a job from starting its next task.
type hold struct {
	constraint string
	setting    string
	detail     string
}

// Constraints of an Explanation.
const (
	constraintQuota      = "quota"
	constraintCapacity   = "capacity"
	constraintRank       = "rank"
	constraintGang       = "gang"
	constraintNeverFits  = "never_fits"
	constraintRetry      = "retry"
	constraintPreemption = "preemption"
)

// newJob makes a job; every task without a final state waits.
func newJob(spec cairnbay.Job, progress cairnbay.Progress, now time.Duration) *job {
	made := &job{
		spec: spec, band: spec.Band, since: now, progressed: now,
		states: make([]cairnbay.TaskState, spec.Tasks),
		runs:   make(map[int]*run),
	}
	for index := range made.states {
		made.states[index] = cairnbay.TaskWaiting
	}
	for index, state := range progress.Final {
		made.states[index] = state
	}
	for _, state := range made.states {
		made.counts.add(state, 1)
	}
	made.attempts = maps.Clone(progress.Attempts)
	return made
}

func (j *job) waiting() int { return j.counts.of(cairnbay.TaskWaiting) }

func (j *job) setState(index int, state cairnbay.TaskState) {
	j.counts.add(j.states[index], -1)
	j.states[index] = state
	j.counts.add(state, 1)
}

// requeue lets a task wait again.
func (j *job) requeue(index int, now time.Duration) {
	j.setState(index, cairnbay.TaskWaiting)
	j.requeued = append(j.requeued, requeued{index: index, since: now})
}

// nextWaiting returns the task that starts next and since when it waits; ok is
// false when none waits. The task is taken from the list of those that wait
// again, so the caller must start it or requeue it.
func (j *job) nextWaiting() (index int, since time.Duration, ok bool) {
	for len(j.requeued) > 0 {
		first := j.requeued[0]
		j.requeued = j.requeued[1:]
		if j.states[first.index] == cairnbay.TaskWaiting {
			return first.index, first.since, true
		}
	}
	for ; j.next < len(j.states); j.next++ {
		if j.states[j.next] == cairnbay.TaskWaiting {
			j.next++
			return j.next - 1, j.since, true
		}
	}
	return 0, 0, false
}

// putBack undoes nextWaiting.
func (j *job) putBack(index int, since time.Duration) {
	j.requeued = slices.Insert(j.requeued, 0, requeued{index: index, since: since})
}

// countRack notes that one more or one fewer of the tasks is in a rack, where
// the job's policy asks for that.
func (j *job) countRack(counted *rack, change int) {
	if j.spec.Kind == cairnbay.KindBatch {
		return
	}
	if j.racks == nil {
		j.racks = make(map[*rack]int)
	}
	j.racks[counted] += change
	if j.racks[counted] == 0 {
		delete(j.racks, counted)
	}
}

// increment adds one to a counter of a map that may not be made yet.
func increment(counters *map[int]int, index int) {
	if *counters == nil {
		*counters = make(map[int]int)
	}
	(*counters)[index]++
}

// maxAttempts bounds the failed starts of a task; 0 is unbounded.
func (j *job) maxAttempts() int {
	if j.spec.MaxAttempts > 0 {
		return j.spec.MaxAttempts
	}
	return j.branch.Placing.MaxAttempts
}

func (j *job) queued() cairnbay.QueuedJob {
	return cairnbay.QueuedJob{
		Job: j.spec, Waiting: j.waiting(), WaitingSince: j.since, ExpectedRunTime: j.expected,
	}
}

func (j *job) done() bool {
	return j.waiting() == 0 && len(j.runs) == 0
}

func sortTasks(tasks []cairnbay.TaskID) {
	slices.SortFunc(tasks, compareTasks)
}

func compareTasks(a, b cairnbay.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
}

func parentPath(path string) string {
	cut := strings.LastIndexByte(path, '/')
	return path[:max(cut, 0)]
}
