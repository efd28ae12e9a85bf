package place

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/process/quota"
)

// quotaSettings are the dotted names of the quota settings, in the order of
// cairnbay.Resources.Values.
var quotaSettings = [cairnbay.Dimensions]string{
	"placing.quota.milli_cpu", "placing.quota.memory_mb", "placing.quota.accelerators",
}

// Explain describes why a job waits and why its running tasks are where they are.
// Errors: ErrNotFound.
func (e *Engine) Explain(id cairnbay.JobID, now time.Duration) (cairnbay.Explanation, error) {
	target, ok := e.jobs[id]
	if !ok {
		return cairnbay.Explanation{}, errors.Annotatef(cairnbay.ErrNotFound,
			"job %q in shard %q", id, e.config.Shard)
	}
	e.reevaluateJobs(now)
	explained := cairnbay.Explanation{Job: id, Shard: e.config.Shard, Tasks: e.viewTasks(target)}
	explained.Summary = target.summary()
	if target.waiting() > 0 {
		e.explainWaiting(target, &explained, now)
	}
	explained.Details = append(explained.Details, e.explainPlaced(target, now)...)
	return explained, nil
}

// maxPlacedDetails limits the placed tasks that an explanation describes.
const maxPlacedDetails = 10

// explainPlaced describes why the job's first placed tasks are where they are.
func (e *Engine) explainPlaced(target *job, now time.Duration) []string {
	var details []string
	for _, view := range e.viewRuns(target) {
		if len(details) == maxPlacedDetails {
			return append(details, fmt.Sprintf("and %d more", len(target.runs)-maxPlacedDetails))
		}
		details = append(details, target.runs[view.Task.Index].describe(now))
	}
	return details
}

func (r *run) describe(now time.Duration) string {
	text := fmt.Sprintf("task %d is on worker %q in rack %q for %s: %s; free there after the start: %s",
		r.index, r.worker.state.ID, r.worker.state.Rack, (now - r.placedAt).Round(time.Millisecond), r.reason, formatSize(r.freeAfter))
	if r.borrowed {
		text += "; it is beyond the quota and may be preempted"
	}
	if r.isThrottled {
		text += "; it is throttled until its processors are free again"
	}
	if r.requestedStop != 0 {
		text += "; a stop is requested"
	}
	if !r.worker.state.Usable {
		text += fmt.Sprintf("; the worker is %s", r.worker.state.UnusableReason)
	}
	return text
}

func (j *job) summary() string {
	var parts []string
	for _, state := range orderedStates {
		if count := j.counts.of(state); count > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", count, state))
		}
	}
	return fmt.Sprintf("%d tasks: %s", j.spec.Tasks, strings.Join(parts, ", "))
}

func (e *Engine) explainWaiting(target *job, explained *cairnbay.Explanation, now time.Duration) {
	reason := e.waitReasonOf(target, now)
	explained.Constraint, explained.Setting = reason.constraint, reason.setting
	explained.Ahead = e.ahead(target)
	explained.Details = append(explained.Details, reason.detail,
		fmt.Sprintf("waits in band %s, %s after its last start or submission, with %d tasks ahead",
			target.band, (now-target.lastStartAt).Round(time.Millisecond), explained.Ahead))
}

// waitReasonOf returns what keeps the job's next task from starting now.
func (e *Engine) waitReasonOf(target *job, now time.Duration) waitReason {
	if target.claimedTasks > 0 {
		return e.claimWaitReason(target, now)
	}
	if target.group == nil || target.group.parkedOn != nil {
		return target.waitReason
	}
	if target.group.subqueue.shape.blocked {
		reason := e.capacityWaitReason(target)
		reason.detail += e.describeReservations(target, now)
		return reason
	}
	return waitReason{constraint: constraintRank, detail: "it fits and waits for its turn"}
}

func (e *Engine) capacityWaitReason(target *job) waitReason {
	if target.spec.Kind == cairnbay.KindGang {
		return waitReason{constraint: constraintGang, detail: fmt.Sprintf(
			"%d tasks of %s must start together and do not fit in the free capacity",
			target.waiting(), formatSize(target.spec.Size))}
	}
	return waitReason{constraint: constraintCapacity, detail: fmt.Sprintf(
		"no usable worker has %s free", formatSize(target.spec.Size))}
}

func (e *Engine) setQuotaWaitReason(head *job, account *quota.Account) {
	head.waitReason = waitReason{
		constraint: constraintQuota,
		setting:    e.settingPath(account.Path, account.Quota, account.Used.Add(e.nextStartSize(head))),
		detail: fmt.Sprintf("branch %q uses %s of its quota of %s",
			account.Path, formatSize(account.Used), formatSize(account.Quota)),
	}
}

// ahead estimates the tasks ahead of the job: the waiting tasks of the jobs that
// precede it by band, team share and arrival. It does not consider the order that
// a policy gives the jobs of one group.
func (e *Engine) ahead(target *job) int {
	count := 0
	for _, other := range e.jobs {
		if other != target && other.waiting() > 0 && goesBefore(other, target) {
			count += other.waiting()
		}
	}
	return count
}

func goesBefore(a, b *job) bool {
	return cmp.Or(
		cmp.Compare(a.band, b.band),
		cmp.Compare(a.team.share, b.team.share),
		cmp.Compare(a.enqueuedAt, b.enqueuedAt),
		cmp.Compare(a.spec.ID, b.spec.ID),
	) < 0
}

// settingPath returns the quota that requested exceeds: the branch that sets it
// and the setting's dotted name ("org/team:placing.quota.milli_cpu").
func (e *Engine) settingPath(path string, limit, requested cairnbay.Resources) string {
	name := quotaSettings[0]
	limits, amounts := limit.Values(), requested.Values()
	for i := range limits {
		if limits[i] > 0 && amounts[i] > limits[i] {
			name = quotaSettings[i]
			break
		}
	}
	origin := path
	if from, ok := e.branchOf(path).Origins[name]; ok {
		origin = from
	}
	return origin + ":" + name
}

func (e *Engine) viewTasks(target *job) []cairnbay.TaskView {
	views := make([]cairnbay.TaskView, len(target.states))
	for index, state := range target.states {
		views[index] = cairnbay.TaskView{
			Task:  cairnbay.TaskID{Job: target.spec.ID, Index: index},
			State: state, Attempt: target.attempts[index],
		}
	}
	for _, view := range e.viewRuns(target) {
		views[view.Task.Index] = view
	}
	return views
}

// viewRuns returns the job's tasks that are on a worker, by index.
func (e *Engine) viewRuns(target *job) []cairnbay.TaskView {
	views := make([]cairnbay.TaskView, 0, len(target.runs))
	for _, run := range target.runs {
		views = append(views, cairnbay.TaskView{
			Task: run.task(), State: run.visibleState(),
			Attempt: run.attempt, Worker: run.worker.state.ID,
		})
	}
	slices.SortFunc(views, func(a, b cairnbay.TaskView) int { return compareTasks(a.Task, b.Task) })
	return views
}

// reasonUnreachable is the UnusableReason that the shard's owner sets on a worker
// that does not answer; tasks on such a worker are shown as unaccounted.
const reasonUnreachable = "unreachable"

func (r *run) visibleState() cairnbay.TaskState {
	if !r.worker.state.Usable && r.worker.state.UnusableReason == reasonUnreachable {
		return cairnbay.TaskUnaccounted
	}
	return r.job.states[r.index]
}

// Jobs returns the jobs of the shard, by ID.
func (e *Engine) Jobs() []cairnbay.JobView {
	views := make([]cairnbay.JobView, 0, len(e.jobs))
	for _, listed := range e.jobs {
		views = append(views, e.viewJob(listed))
	}
	slices.SortFunc(views, func(a, b cairnbay.JobView) int { return cmp.Compare(a.Job.ID, b.Job.ID) })
	return views
}

func (e *Engine) viewJob(listed *job) cairnbay.JobView {
	counts := make(map[cairnbay.TaskState]int)
	for _, state := range orderedStates {
		if count := listed.counts.of(state); count > 0 {
			counts[state] = count
		}
	}
	for _, run := range listed.runs {
		if visible := run.visibleState(); visible != listed.states[run.index] {
			counts[listed.states[run.index]]--
			counts[visible]++
		}
	}
	return cairnbay.JobView{Job: listed.spec, Shard: e.config.Shard, Counts: counts, Done: listed.done()}
}

// formatSize formats an amount for messages.
func formatSize(size cairnbay.Resources) string {
	const milliPerCore = 1000
	text := fmt.Sprintf("%g cores, %d MB", float64(size.MilliCPU)/milliPerCore, size.MemoryMB)
	if size.Accelerators != 0 {
		text += fmt.Sprintf(", %d accelerators", size.Accelerators)
	}
	return text
}
