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

// quotaSettings are the dotted names of the quota's settings, in the order of
// cairnbay.Resources.Values.
var quotaSettings = [cairnbay.Dimensions]string{
	"placing.quota.milli_cpu", "placing.quota.memory_mb", "placing.quota.accelerators",
}

// Explain tells why a job stands where it stands. Errors: ErrNotFound.
func (e *Engine) Explain(id cairnbay.JobID, now time.Duration) (cairnbay.Explanation, error) {
	asked, ok := e.jobs[id]
	if !ok {
		return cairnbay.Explanation{}, errors.Annotatef(cairnbay.ErrNotFound,
			"job %q in shard %q", id, e.config.Shard)
	}
	e.reviewJobs(now)
	explained := cairnbay.Explanation{Job: id, Shard: e.config.Shard, Tasks: e.viewTasks(asked)}
	explained.Summary = asked.summary()
	if asked.waiting() > 0 {
		e.explainWaiting(asked, &explained, now)
	}
	explained.Details = append(explained.Details, e.explainPlaced(asked, now)...)
	return explained, nil
}

// maxPlacedDetails bounds the placed tasks that an explanation describes.
const maxPlacedDetails = 10

// explainPlaced tells why the job's first tasks on workers are where they are.
func (e *Engine) explainPlaced(asked *job, now time.Duration) []string {
	var details []string
	for _, view := range e.viewRuns(asked) {
		if len(details) == maxPlacedDetails {
			return append(details, fmt.Sprintf("and %d more", len(asked.runs)-maxPlacedDetails))
		}
		details = append(details, asked.runs[view.Task.Index].describe(now))
	}
	return details
}

func (r *run) describe(now time.Duration) string {
	text := fmt.Sprintf("task %d is on worker %q in rack %q since %s: %s, %s stayed free there",
		r.index, r.worker.state.ID, r.worker.state.Rack, (now - r.placedAt).Round(time.Millisecond), r.reason, describe(r.left))
	if r.borrowed {
		text += "; it is beyond the quota and may be taken back"
	}
	if r.throttled {
		text += "; it is throttled until its processors are free again"
	}
	if r.stopping != 0 {
		text += "; it is asked to end"
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

func (e *Engine) explainWaiting(asked *job, explained *cairnbay.Explanation, now time.Duration) {
	reason := e.holdOf(asked, now)
	explained.Constraint, explained.Setting = reason.constraint, reason.setting
	explained.Ahead = e.ahead(asked)
	explained.Details = append(explained.Details, reason.detail,
		fmt.Sprintf("waits in band %s since %s, with %d tasks ahead",
			asked.band, (now-asked.progressed).Round(time.Millisecond), explained.Ahead))
}

// holdOf is what holds the job's next task now.
func (e *Engine) holdOf(asked *job, now time.Duration) hold {
	if asked.claimed > 0 {
		return e.holdOfClaims(asked, now)
	}
	if asked.group == nil || asked.group.parkedAt != nil {
		return asked.held
	}
	if asked.group.line.shape.blocked {
		reason := e.holdByCapacity(asked)
		reason.detail += e.describeReservations(asked, now)
		return reason
	}
	return hold{constraint: constraintRank, detail: "it fits and waits for its turn"}
}

func (e *Engine) holdByCapacity(asked *job) hold {
	if asked.spec.Kind == cairnbay.KindGang {
		return hold{constraint: constraintGang, detail: fmt.Sprintf(
			"%d tasks of %s must start together and the free capacity does not hold them",
			asked.waiting(), describe(asked.spec.Size))}
	}
	return hold{constraint: constraintCapacity, detail: fmt.Sprintf(
		"no usable worker has %s free", describe(asked.spec.Size))}
}

func (e *Engine) holdByQuota(head *job, account *quota.Account) {
	head.held = hold{
		constraint: constraintQuota,
		setting:    e.settingPath(account.Path, account.Quota, account.Used.Add(e.needOf(head))),
		detail: fmt.Sprintf("branch %q holds %s of its quota %s",
			account.Path, describe(account.Used), describe(account.Quota)),
	}
}

// ahead counts the tasks that stand before the job in the queue.
func (e *Engine) ahead(asked *job) int {
	count := 0
	for _, other := range e.jobs {
		if other != asked && other.waiting() > 0 && goesBefore(other, asked) {
			count += other.waiting()
		}
	}
	return count
}

func goesBefore(a, b *job) bool {
	return cmp.Or(
		cmp.Compare(a.band, b.band),
		cmp.Compare(a.team.share, b.team.share),
		cmp.Compare(a.since, b.since),
		cmp.Compare(a.spec.ID, b.spec.ID),
	) < 0
}

// settingPath names the quota that wanted exceeds: the branch that sets it and
// the setting's dotted name ("org/team:placing.quota.milli_cpu").
func (e *Engine) settingPath(path string, limit, wanted cairnbay.Resources) string {
	name := quotaSettings[0]
	limits, amounts := limit.Values(), wanted.Values()
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

func (e *Engine) viewTasks(asked *job) []cairnbay.TaskView {
	views := make([]cairnbay.TaskView, len(asked.states))
	for index, state := range asked.states {
		views[index] = cairnbay.TaskView{
			Task:  cairnbay.TaskID{Job: asked.spec.ID, Index: index},
			State: state, Attempt: asked.attempts[index],
		}
	}
	for _, view := range e.viewRuns(asked) {
		views[view.Task.Index] = view
	}
	return views
}

// viewRuns shows the job's tasks that are on a worker, by index.
func (e *Engine) viewRuns(asked *job) []cairnbay.TaskView {
	views := make([]cairnbay.TaskView, 0, len(asked.runs))
	for _, run := range asked.runs {
		views = append(views, cairnbay.TaskView{
			Task: run.task(), State: run.visibleState(),
			Attempt: run.attempt, Worker: run.worker.state.ID,
		})
	}
	slices.SortFunc(views, func(a, b cairnbay.TaskView) int { return compareTasks(a.Task, b.Task) })
	return views
}

// whyUnreachable is the owner's word for a worker that does not answer.
const whyUnreachable = "unreachable"

func (r *run) visibleState() cairnbay.TaskState {
	if !r.worker.state.Usable && r.worker.state.UnusableReason == whyUnreachable {
		return cairnbay.TaskUnaccounted
	}
	return r.job.states[r.index]
}

// Jobs lists the jobs held, by ID.
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
		if seen := run.visibleState(); seen != listed.states[run.index] {
			counts[listed.states[run.index]]--
			counts[seen]++
		}
	}
	return cairnbay.JobView{Job: listed.spec, Shard: e.config.Shard, Counts: counts, Done: listed.done()}
}

// describe writes an amount for people.
func describe(size cairnbay.Resources) string {
	const milliPerCore = 1000
	text := fmt.Sprintf("%g cores, %d MB", float64(size.MilliCPU)/milliPerCore, size.MemoryMB)
	if size.Accelerators != 0 {
		text += fmt.Sprintf(", %d accelerators", size.Accelerators)
	}
	return text
}
