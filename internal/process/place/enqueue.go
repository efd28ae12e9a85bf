package place

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/process/learn"
	"cairnbay/internal/process/policy"
)

// Enqueue takes up a job. A job with progress (a map that is not nil, even if
// empty) was accepted before: it is taken and held also where it never fits.
// Errors: ErrNeverFits with the constraint (the job is not taken), ErrInvalid.
func (e *Engine) Enqueue(spec cairnbay.Job, progress cairnbay.Progress, now time.Duration) error {
	if err := checkSpec(spec); err != nil {
		return err
	}
	if !journaled(progress) {
		if err := e.checkFits(spec); err != nil {
			return err
		}
	}
	if _, held := e.jobs[spec.ID]; held {
		return errors.Annotatef(cairnbay.ErrInvalid, "job %q is already queued", spec.ID)
	}
	if err := checkProgress(spec, progress); err != nil {
		return err
	}
	added := newJob(spec, progress, now)
	added.policy, _ = policy.For(spec.Kind)
	added.team = e.queue.teamFor(spec.Team, e.teamWeight(spec.Team))
	added.team.jobs++
	e.jobs[spec.ID] = added
	e.review(added, now)
	e.adoptOrphans(added, now)
	e.setAlarm(added, now)
	return nil
}

func journaled(progress cairnbay.Progress) bool {
	return progress.Final != nil || progress.Attempts != nil
}

// Check says whether Enqueue would take the job. Errors: ErrNeverFits,
// ErrInvalid.
func (e *Engine) Check(spec cairnbay.Job) error {
	if err := checkSpec(spec); err != nil {
		return err
	}
	return e.checkFits(spec)
}

func (e *Engine) checkFits(spec cairnbay.Job) error {
	if never := e.neverFits(spec); never.constraint != "" {
		return errors.Annotatef(cairnbay.ErrNeverFits, "job %q: %s", spec.ID, never.detail)
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
				"job %q: progress has task %d of %d as %q", spec.ID, index, spec.Tasks, state)
		}
	}
	return nil
}

// neverFits returns the constraint that no start of the job could ever meet
// with the workers and settings of now; the constraint is empty when there is
// none. A shard without workers rules nothing out.
func (e *Engine) neverFits(spec cairnbay.Job) hold {
	if never := e.neverWithinQuota(spec); never.constraint != "" {
		return never
	}
	if len(e.workers) == 0 {
		return hold{}
	}
	return e.neverOnWorkers(spec)
}

func (e *Engine) neverWithinQuota(spec cairnbay.Job) hold {
	need := spec.Size.Times(startsTogether(spec))
	account := e.ledger.Account(spec.Branch).TooSmallFor(need, !spec.AtMostOnce)
	if account == nil {
		return hold{}
	}
	return hold{
		constraint: constraintNeverFits,
		setting:    e.settingPath(account.Path, account.Quota, need),
		detail: fmt.Sprintf("it needs %s at once and the quota of branch %q is %s",
			describe(need), account.Path, describe(account.Quota)),
	}
}

func (e *Engine) neverOnWorkers(spec cairnbay.Job) hold {
	need, places := startsTogether(spec), 0
	var largest cairnbay.Resources
	for capacity, count := range e.capacities {
		places += count * timesIn(spec.Size, capacity)
		largest = maximum(largest, capacity)
	}
	switch {
	case places == 0:
		return hold{
			constraint: constraintNeverFits,
			detail: fmt.Sprintf("a task needs %s and no worker of shard %q has that; the most of each is %s",
				describe(spec.Size), e.config.Shard, describe(largest)),
		}
	case places < need:
		return hold{
			constraint: constraintNeverFits,
			detail: fmt.Sprintf("%d tasks of %s must start together and shard %q has places for %d when empty",
				need, describe(spec.Size), e.config.Shard, places),
		}
	default:
		return hold{}
	}
}

// startsTogether is how many tasks of the job must start at once.
func startsTogether(spec cairnbay.Job) int {
	if spec.Kind == cairnbay.KindGang {
		return spec.Tasks
	}
	return 1
}

// timesIn returns how many times size fits in room.
func timesIn(size, room cairnbay.Resources) int {
	times, bounded := int64(0), false
	rooms := room.Values()
	for i, need := range size.Values() {
		if need <= 0 {
			continue
		}
		if fit := max(rooms[i], 0) / need; !bounded || fit < times {
			times, bounded = fit, true
		}
	}
	return int(times)
}

func maximum(a, b cairnbay.Resources) cairnbay.Resources {
	return cairnbay.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// review takes a job's settings afresh and puts it where it belongs.
func (e *Engine) review(reviewed *job, now time.Duration) {
	reviewed.branch = e.branchOf(reviewed.spec.Branch)
	account := e.ledger.Account(reviewed.spec.Branch)
	if reviewed.account != account {
		e.queue.remove(reviewed)
		reviewed.account = account
	}
	reviewed.never = e.neverFits(reviewed.spec)
	if reviewed.group == nil {
		// The order of those in the queue must not change under it.
		reviewed.expected = e.learned.Estimate(reviewed.learnKey(), reviewed.spec.RunTime)
	}
	e.refresh(reviewed, now)
}

// refresh puts a job into the queue, takes it out or moves it to another band,
// after something about it changed.
func (e *Engine) refresh(refreshed *job, now time.Duration) {
	band := e.agedBand(refreshed, now)
	key := shapeOf(refreshed)
	if !e.mayStart(refreshed, now) {
		e.queue.remove(refreshed)
		refreshed.band = band
		return
	}
	if refreshed.group != nil {
		if refreshed.band == band && refreshed.group.line.shape.key == key {
			return
		}
		e.queue.remove(refreshed)
	}
	refreshed.band = band
	refreshed.held = hold{}
	e.queue.add(refreshed, key)
}

func (j *job) learnKey() learn.Key {
	return learn.Key{Branch: j.spec.Branch, Command: j.spec.Command}
}

func shapeOf(of *job) shapeKey {
	key := shapeKey{
		size: of.spec.Size, kind: of.spec.Kind,
		gang: 1, atMostOnce: of.spec.AtMostOnce,
	}
	if of.spec.Kind == cairnbay.KindGang {
		key.gang = of.waiting()
	}
	return key
}

// mayStart says whether a job has a task that could start now if there were
// room, and notes what else holds it.
func (e *Engine) mayStart(asked *job, now time.Duration) bool {
	if asked.waiting() == 0 {
		return false
	}
	if asked.never.constraint != "" {
		asked.held = asked.never
		return false
	}
	if now < asked.retryAt {
		asked.held = hold{constraint: constraintRetry, detail: "its last start failed; the next one waits a while"}
		return false
	}
	if asked.pauses > 0 && len(asked.runs) > 0 {
		asked.held = hold{constraint: constraintRetry, detail: "it fails wherever it runs, so one task is tried at a time"}
		return false
	}
	if asked.spec.Kind == cairnbay.KindGang && len(asked.runs) > 0 {
		asked.held = hold{constraint: constraintGang, detail: "its other tasks have to end before it starts as a whole"}
		return false
	}
	return true
}

// starvingSince is when a job's team last started work of the job's band, or when
// the job came. A long queue of one team does not age while it moves.
func (j *job) starvingSince() time.Duration {
	return max(j.progressed, j.team.started[j.spec.Band])
}

// agedBand is the band that a job waits in: one higher for each AgeBoost for
// which its team has not started work of the band.
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
