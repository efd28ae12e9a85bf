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

// job is a job with the state of its tasks.
type job struct {
	spec    cairnbay.Job
	policy  cairnbay.Policy
	branch  *cairnbay.Branch
	account *quota.Account
	team    *team
	// enqueuedAt is when the job was enqueued; lastStartAt is when Decide last
	// placed one of its tasks, enqueuedAt before that.
	enqueuedAt      time.Duration
	lastStartAt     time.Duration
	expectedRunTime time.Duration
	// band is the band in which the job waits; ageing raises it.
	band cairnbay.Band

	// states holds the state of each task, except "unaccounted", which is derived
	// from the state of the worker.
	states []cairnbay.TaskState
	counts tally
	// attempts and failures are by task index and hold no zeros.
	attempts map[int]int
	failures map[int]int
	// requeued are the tasks that wait for a further start; nextIndex is the
	// lowest index that may wait for its first start.
	requeued  []requeuedTask
	nextIndex int
	runs      map[int]*run
	racks     map[*rack]int

	cancelled bool
	// claimedTasks counts the waiting tasks that have a claim.
	claimedTasks int
	// stoppingGang is set while the tasks of a gang are being stopped; failed is
	// set on a gang that does not start again.
	stoppingGang bool
	failed       bool
	// timerSet is set while an ageing timer for the job is pending.
	timerSet bool
	// retryAt is when the job may start again after a failure; pauseCount is the
	// number of pauses since a task was last done, and sets the length of the next.
	retryAt    time.Duration
	pauseCount int
	// reserved is the job's reservation, nil if it has none.
	reserved *reservation
	// nextPlan is the earliest time of the next attempt to reserve workers.
	nextPlan time.Duration
	// avoidedWorker is the worker on which a task failed last.
	avoidedWorker *worker
	// group is nil while the job is not queued; heapIndex is its index in the
	// group.
	group     *group
	heapIndex int
	// waitReason is why the job is not queued or was passed over last.
	waitReason waitReason
	// unfitReason is why the job could not start even on an empty shard.
	unfitReason waitReason
}

// requeuedTask is a task that waits for a further start.
type requeuedTask struct {
	index int
	since time.Duration
}

// run is a task that runs on a worker or is being started there.
type run struct {
	job     *job
	index   int
	attempt int
	worker  *worker
	// size is the capacity that the run takes on its worker.
	size cairnbay.Resources
	// waitingSince is when the task began to wait for this start.
	waitingSince time.Duration
	placedAt     time.Duration
	confirmed    bool
	// borrowed is set on a run that was started beyond a quota.
	borrowed bool
	reason   string
	// freeAfter is the worker's free capacity after the run was placed.
	freeAfter cairnbay.Resources

	isThrottled bool
	// requestedStop is the kind of stop that was requested, 0 for none.
	requestedStop   cairnbay.DecisionKind
	stopRequestedAt time.Duration
	// inPlan is set while a preemption plan that is being made includes the run;
	// countedReclaimable is its part of the worker's reclaimable capacity.
	inPlan             bool
	countedReclaimable cairnbay.Resources
}

func (r *run) task() cairnbay.TaskID {
	return cairnbay.TaskID{Job: r.job.spec.ID, Index: r.index}
}

// waitReason is the constraint that keeps a job from starting its next task.
type waitReason struct {
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

// newJob returns a job whose tasks all wait, except those with a final state.
func newJob(spec cairnbay.Job, progress cairnbay.Progress, now time.Duration) *job {
	created := &job{
		spec: spec, band: spec.Band, enqueuedAt: now, lastStartAt: now,
		states: make([]cairnbay.TaskState, spec.Tasks),
		runs:   make(map[int]*run),
	}
	for index := range created.states {
		created.states[index] = cairnbay.TaskWaiting
	}
	for index, state := range progress.Final {
		created.states[index] = state
	}
	for _, state := range created.states {
		created.counts.add(state, 1)
	}
	created.attempts = maps.Clone(progress.Attempts)
	return created
}

func (j *job) waiting() int { return j.counts.of(cairnbay.TaskWaiting) }

func (j *job) setState(index int, state cairnbay.TaskState) {
	j.counts.add(j.states[index], -1)
	j.states[index] = state
	j.counts.add(state, 1)
}

// requeue makes a task wait for a further start.
func (j *job) requeue(index int, now time.Duration) {
	j.setState(index, cairnbay.TaskWaiting)
	j.requeued = append(j.requeued, requeuedTask{index: index, since: now})
}

// takeWaiting returns the task that starts next and the time since which it
// waits; ok is false if none waits. The task is taken off the list of requeued
// tasks, so the caller must start it or return it.
func (j *job) takeWaiting() (index int, since time.Duration, ok bool) {
	for len(j.requeued) > 0 {
		first := j.requeued[0]
		j.requeued = j.requeued[1:]
		if j.states[first.index] == cairnbay.TaskWaiting {
			return first.index, first.since, true
		}
	}
	for ; j.nextIndex < len(j.states); j.nextIndex++ {
		if j.states[j.nextIndex] == cairnbay.TaskWaiting {
			j.nextIndex++
			return j.nextIndex - 1, j.enqueuedAt, true
		}
	}
	return 0, 0, false
}

// returnWaiting undoes takeWaiting.
func (j *job) returnWaiting(index int, since time.Duration) {
	j.requeued = slices.Insert(j.requeued, 0, requeuedTask{index: index, since: since})
}

// countRack changes the number of the job's tasks in a rack. Batch jobs are not
// counted, as their policy does not look at racks.
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

// increment adds one to a counter and allocates the map if it is nil.
func increment(counters *map[int]int, index int) {
	if *counters == nil {
		*counters = make(map[int]int)
	}
	(*counters)[index]++
}

// maxAttempts returns how often a task may fail; 0 means no limit.
func (j *job) maxAttempts() int {
	if j.spec.MaxAttempts > 0 {
		return j.spec.MaxAttempts
	}
	return j.branch.Placing.MaxAttempts
}

func (j *job) queued() cairnbay.QueuedJob {
	return cairnbay.QueuedJob{
		Job: j.spec, Waiting: j.waiting(), WaitingSince: j.enqueuedAt, ExpectedRunTime: j.expectedRunTime,
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
	lastSlash := strings.LastIndexByte(path, '/')
	return path[:max(lastSlash, 0)]
}
