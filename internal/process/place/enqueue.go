package place

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/process/learn"
	"cairnbay/internal/process/policy"
)

// Enqueue adds a job. A job that was accepted before, which its progress shows, is
// added even if it can never fit.
// Errors: ErrNeverFits with the constraint (the job is not added), ErrInvalid.
func (e *Engine) Enqueue(spec cairnbay.Job, progress cairnbay.Progress, now time.Duration) error {
	if err := checkSpec(spec); err != nil {
		return err
	}
	if !wasAccepted(progress) {
		if err := e.checkFits(spec); err != nil {
			return err
		}
	}
	if _, exists := e.jobs[spec.ID]; exists {
		return errors.Annotatef(cairnbay.ErrInvalid, "job %q already exists", spec.ID)
	}
	if err := checkProgress(spec, progress); err != nil {
		return err
	}
	added := newJob(spec, progress, now)
	added.policy, _ = policy.For(spec.Kind)
	added.team = e.queue.teamFor(spec.Team, e.teamWeight(spec.Team))
	added.team.jobs++
	e.jobs[spec.ID] = added
	e.reevaluate(added, now)
	e.adoptOrphans(added, now)
	e.setAgeingTimer(added, now)
	return nil
}

// wasAccepted reports whether the job was accepted before: its progress then has
// a map that is not nil, even if empty.
func wasAccepted(progress cairnbay.Progress) bool {
	return progress.Final != nil || progress.Attempts != nil
}

// Check reports whether Enqueue would accept the job. Errors: ErrNeverFits,
// ErrInvalid.
func (e *Engine) Check(spec cairnbay.Job) error {
	if err := checkSpec(spec); err != nil {
		return err
	}
	return e.checkFits(spec)
}

func (e *Engine) checkFits(spec cairnbay.Job) error {
	if reason := e.neverFits(spec); reason.constraint != "" {
		return errors.Annotatef(cairnbay.ErrNeverFits, "job %q: %s", spec.ID, reason.detail)
	}
	return nil
}

func checkSpec(spec cairnbay.Job) error {
	invalid := func(format string, arguments ...any) error {
		message := fmt.Sprintf(format, arguments...)
		return errors.Annotatef(cairnbay.ErrInvalid, "job %q: %s", spec.ID, message)
	}
	if spec.ID == "" {
		return invalid("id is missing")
	}
	if _, ok := policy.For(spec.Kind); !ok {
		return invalid("kind %q does not exist", spec.Kind)
	}
	if spec.Band >= cairnbay.Bands {
		return invalid("band %d does not exist", spec.Band)
	}
	if spec.Tasks <= 0 {
		return invalid("tasks is %d and must be above zero", spec.Tasks)
	}
	if spec.Size.IsZero() {
		return invalid("size is zero")
	}
	for _, amount := range spec.Size.Values() {
		if amount < 0 {
			return invalid("size %+v has a negative amount", spec.Size)
		}
	}
	return nil
}

func checkProgress(spec cairnbay.Job, progress cairnbay.Progress) error {
	for index, state := range progress.Final {
		if index < 0 || index >= spec.Tasks || !state.Final() {
			return errors.Annotatef(cairnbay.ErrInvalid,
				"job %q: progress gives task %d of %d the state %q", spec.ID, index, spec.Tasks, state)
		}
	}
	return nil
}

// neverFits returns the constraint that rules out every start of the job with the
// present workers and settings; the constraint is empty if there is none. In a
// shard without workers only quotas are checked.
func (e *Engine) neverFits(spec cairnbay.Job) waitReason {
	if reason := e.neverFitsQuota(spec); reason.constraint != "" {
		return reason
	}
	if len(e.workers) == 0 {
		return waitReason{}
	}
	return e.neverFitsWorkers(spec)
}

func (e *Engine) neverFitsQuota(spec cairnbay.Job) waitReason {
	demand := spec.Size.Times(tasksPerStart(spec))
	account := e.ledger.Account(spec.Branch).TooSmallFor(demand, !spec.AtMostOnce)
	if account == nil {
		return waitReason{}
	}
	return waitReason{
		constraint: constraintNeverFits,
		setting:    e.settingPath(account.Path, account.Quota, demand),
		detail: fmt.Sprintf("it needs %s at once and the quota of branch %q is %s",
			formatSize(demand), account.Path, formatSize(account.Quota)),
	}
}

func (e *Engine) neverFitsWorkers(spec cairnbay.Job) waitReason {
	needed, fitting := tasksPerStart(spec), 0
	var largest cairnbay.Resources
	for capacity, count := range e.capacities {
		fitting += count * fitCount(spec.Size, capacity)
		largest = maxPerDimension(largest, capacity)
	}
	switch {
	case fitting == 0:
		return waitReason{
			constraint: constraintNeverFits,
			detail: fmt.Sprintf("a task needs %s and no worker of shard %q has that much; the largest amounts are %s",
				formatSize(spec.Size), e.config.Shard, formatSize(largest)),
		}
	case fitting < needed:
		return waitReason{
			constraint: constraintNeverFits,
			detail: fmt.Sprintf("%d tasks of %s must start together and shard %q has places for %d when empty",
				needed, formatSize(spec.Size), e.config.Shard, fitting),
		}
	default:
		return waitReason{}
	}
}

// tasksPerStart returns how many tasks of the job must start together.
func tasksPerStart(spec cairnbay.Job) int {
	if spec.Kind == cairnbay.KindGang {
		return spec.Tasks
	}
	return 1
}

// fitCount returns how many times size fits in capacity.
func fitCount(size, capacity cairnbay.Resources) int {
	times, bounded := int64(0), false
	amounts := capacity.Values()
	for i, need := range size.Values() {
		if need <= 0 {
			continue
		}
		if fits := max(amounts[i], 0) / need; !bounded || fits < times {
			times, bounded = fits, true
		}
	}
	return int(times)
}

func maxPerDimension(a, b cairnbay.Resources) cairnbay.Resources {
	return cairnbay.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// reevaluate applies the present settings and workers to a job and updates its
// place in the queue.
func (e *Engine) reevaluate(target *job, now time.Duration) {
	target.branch = e.branchOf(target.spec.Branch)
	account := e.ledger.Account(target.spec.Branch)
	if target.account != account {
		e.queue.remove(target)
		target.account = account
	}
	target.unfitReason = e.neverFits(target.spec)
	if target.group == nil {
		// The policy orders queued jobs by run time, so the estimate changes only
		// while the job is outside the heap.
		target.expectedRunTime = e.expectedRunTime(target)
	}
	e.updateQueue(target, now)
}

// updateQueue queues a job, removes it or moves it to another band after its
// state has changed.
func (e *Engine) updateQueue(changed *job, now time.Duration) {
	band := e.agedBand(changed, now)
	key := shapeOf(changed)
	if !e.mayStart(changed, now) {
		e.queue.remove(changed)
		changed.band = band
		return
	}
	if changed.group != nil {
		if changed.band == band && changed.group.subqueue.shape.key == key {
			return
		}
		e.queue.remove(changed)
	}
	changed.band = band
	changed.waitReason = waitReason{}
	e.queue.add(changed, key)
}

// undeclaredRunTime is what the run times of a job that declares none are relative to.
const undeclaredRunTime = time.Second

// learnKind is the kind of the job's tasks and the time that their run times are relative
// to. Jobs that declare no run time are kinds of their own.
func (j *job) learnKind() (kind learn.Kind, reference time.Duration) {
	if j.spec.RunTime <= 0 {
		return learn.Kind{Queue: j.spec.Branch, Image: j.spec.Command}, undeclaredRunTime
	}
	return learn.Kind{Queue: j.spec.Branch, Image: j.spec.Command, Width: 1}, j.spec.RunTime
}

// expectedRunTime is the predicted run time of a job's tasks; the declared one while none
// has finished.
func (e *Engine) expectedRunTime(target *job) time.Duration {
	kind, reference := target.learnKind()
	if target.spec.RunTime <= 0 && !e.runTimes.Knows(kind) {
		return target.spec.RunTime
	}
	return e.runTimes.Predict(kind, nil, nil, reference).Median
}

func shapeOf(pending *job) shapeKey {
	key := shapeKey{
		size: pending.spec.Size, kind: pending.spec.Kind,
		gang: 1, atMostOnce: pending.spec.AtMostOnce,
	}
	if pending.spec.Kind == cairnbay.KindGang {
		key.gang = pending.waiting()
	}
	return key
}

// mayStart reports whether a job has a task that could start now if there were
// capacity, and records any other reason why it waits.
func (e *Engine) mayStart(pending *job, now time.Duration) bool {
	if pending.waiting() == 0 {
		return false
	}
	if pending.unfitReason.constraint != "" {
		pending.waitReason = pending.unfitReason
		return false
	}
	if now < pending.retryAt {
		pending.waitReason = waitReason{constraint: constraintRetry, detail: "its tasks fail on every worker; the next start is delayed"}
		return false
	}
	if pending.pauseCount > 0 && len(pending.runs) > 0 {
		pending.waitReason = waitReason{constraint: constraintRetry, detail: "its tasks fail on every worker, so the next one starts when the running ones have ended"}
		return false
	}
	if pending.spec.Kind == cairnbay.KindGang && len(pending.runs) > 0 {
		pending.waitReason = waitReason{constraint: constraintGang, detail: "its other tasks have to end before it starts as a whole"}
		return false
	}
	return true
}

// starvingSince returns the time from which the job ages: the latest of its
// enqueueing, its last start and its team's last start in the job's own band. The
// waiting jobs of a team therefore do not age while other jobs of the team start in
// that band.
func (j *job) starvingSince() time.Duration {
	return max(j.lastStartAt, j.team.lastStartByBand[j.spec.Band])
}

// agedBand returns the band in which a job waits: one band higher for each
// AgeBoost in which its team has not started work of the job's own band.
func (e *Engine) agedBand(aged *job, now time.Duration) cairnbay.Band {
	boost := aged.branch.Placing.AgeBoost
	band := aged.spec.Band
	if boost <= 0 {
		return band
	}
	steps := (now - aged.starvingSince()) / boost
	if steps >= time.Duration(band) {
		return 0
	}
	return band - cairnbay.Band(steps)
}
