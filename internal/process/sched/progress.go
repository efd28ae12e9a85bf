package sched

import (
	"math"
	"slices"
	"time"
)

const (
	// progressWindow bounds the age of the progress that decisions depend on. A worker
	// reports at least every 500 ms.
	progressWindow = time.Second
	// minProgressWindow is the least time between two reports from which a rate
	// follows; progress is rounded to whole percents.
	minProgressWindow = 200 * time.Millisecond
	// rateWindow is the time over which a rate is taken if the reports allow it: shorter
	// ones suffer from rounding, longer ones show a change of speed later.
	rateWindow = 400 * time.Millisecond
	// sampleSpacing is the least time between the samples that are kept, so that a
	// second takes a few, however often a worker reports.
	sampleSpacing = 150 * time.Millisecond
	// resumeGrace is the time from the start of a resumed attempt during which its
	// progress says nothing about its speed: resuming takes up to 600 ms.
	resumeGrace = 800 * time.Millisecond
	// maxJudgedPercent is the progress from which the rate is not judged, since the
	// last report before an end stays at it.
	maxJudgedPercent = 95
	// minSiblings is the number of runs of a step, finished or in progress, from which
	// they are used instead of the declared time: the run time that one in siblingPart
	// does not exceed. Up to two thirds may be slow, since a step often has half of its
	// tasks on one worker.
	minSiblings = 3
	siblingPart = 3
	// minSiblingPercent is the progress from which a run in progress counts as sibling.
	minSiblingPercent = 10
	// maxMeasured bounds the run times that are kept of a step.
	maxMeasured = 32
	// expectedTimeValidity is how long the expected run time of a step is kept before
	// it is computed again from the progress of its tasks.
	expectedTimeValidity = 100 * time.Millisecond
	// slowFactor is the slowdown from which a run counts as slow: the tasks of a step
	// differ by up to 30 %, workers of one class by up to 1.8, and a disturbance by 5.
	slowFactor = 2.5
	// uncertainSlowFactor is the same where only the declared time is known, which is
	// off by up to 2.5.
	uncertainSlowFactor = 6.0
	// steadyFactor is the slowdown up to which a run shows that its worker is healthy.
	steadyFactor = 1.5
	// disturbedTime is how long a worker counts as disturbed after its last slow
	// progress. A usual disturbance lasts 6 s and is seen within its first second.
	disturbedTime = 4 * time.Second
	// slownessSmoothing is the weight of one run in the slowness of a worker, and
	// maxLogSlowness bounds the logarithm of one observation.
	slownessSmoothing = 0.1
	maxLogSlowness    = 1.2
)

// sample is a reported progress on the worker's clock, so that neither the network nor
// a late owner distorts a rate.
type sample struct {
	clock   time.Duration
	percent int
}

// progress is the progress of an attempt within progressWindow, oldest first.
type progress struct {
	samples []sample
	// reportedAt is the boot time at which the last sample was handled.
	reportedAt time.Duration
	// rate is the recent rate in percent a second at most, leastRate at least, and best
	// the highest leastRate so far; 0 for unknown.
	rate, leastRate, best float64
	// unchanged is set while no sample of the window differs.
	unchanged bool
	// slowdown is the expected rate on a healthy worker divided by rate, 0 for unknown.
	slowdown float64
	// slow is set while the rate is too low for the step or for the attempt itself,
	// everSlow once it has been.
	slow, everSlow bool
}

func (p *progress) add(added sample) {
	count := len(p.samples)
	if count > 0 && added.clock <= p.samples[count-1].clock {
		return
	}
	if count >= 2 && added.clock-p.samples[count-2].clock < sampleSpacing {
		p.samples[count-1] = added
	} else {
		p.samples = append(p.samples, added)
	}
	fresh := slices.IndexFunc(p.samples, func(kept sample) bool { return added.clock-kept.clock <= progressWindow })
	p.samples = slices.Delete(p.samples, 0, fresh)
	p.updateRate()
}

// updateRate computes the rates: progress is rounded down, so that up to a percent more
// or less was made.
func (p *progress) updateRate() {
	p.rate, p.leastRate, p.unchanged = 0, 0, false
	if len(p.samples) < 2 {
		return
	}
	first, last := p.samples[0], p.samples[len(p.samples)-1]
	for _, earlier := range p.samples {
		if last.clock-earlier.clock >= rateWindow {
			first = earlier
		}
	}
	window := (last.clock - first.clock).Seconds()
	if window < minProgressWindow.Seconds() {
		return
	}
	made := float64(last.percent - first.percent)
	p.rate = max(made+1, 1) / window
	p.leastRate = max(made-1, 0) / window
	p.best = max(p.best, p.leastRate)
	p.unchanged = made <= 0
}

// percent is the last reported progress.
func (p *progress) percent() int {
	if len(p.samples) == 0 {
		return 0
	}
	return p.samples[len(p.samples)-1].percent
}

// dropped reports whether the rate is far below an earlier one of the same attempt.
func (p *progress) dropped() bool {
	return p.rate > 0 && p.best/p.rate >= slowFactor
}

// fresh reports whether the progress is recent enough to act on.
func (p *progress) fresh(now Moment) bool {
	return p.rate > 0 && now.BootTime-p.reportedAt <= progressWindow
}

// judgesProgress reports whether the progress of an attempt tells the speed of its
// worker. A gang advances with its slowest member, and best-effort tasks with what is
// idle.
func judgesProgress(a *attempt) bool {
	return a.stage != nil && a.task != nil && a.phase == phaseRunning &&
		!a.stage.spec.Gang && !a.stage.spec.LongRunning && !a.stage.spec.BestEffort
}

// sampleProgress adds the progress in a worker's report, with the worker's clock in it.
func (c *Core) sampleProgress(now Moment, a *attempt, clock time.Duration, percent int) {
	if !c.config.Learn.Straggler || !judgesProgress(a) {
		return
	}
	if a.partial && clock-a.knownAt < resumeGrace {
		return
	}
	if len(a.progress.samples) == 0 && !a.partial {
		a.progress.add(sample{clock: a.knownAt})
	}
	a.progress.add(sample{clock, percent})
	a.progress.reportedAt = now.BootTime
	a.stage.reports++
}

// judgeProgress compares the attempts on a worker that has reported with what is
// expected of them, and marks the worker as disturbed while all that is known of its
// speed is slow.
func (c *Core) judgeProgress(now Moment, w *worker) {
	if !c.config.Learn.Straggler {
		return
	}
	slow, steady := false, false
	for _, a := range w.attempts {
		p := &a.progress
		if p.reportedAt != now.BootTime || !judgesProgress(a) {
			continue
		}
		usualRate := c.judgeRate(now, a)
		slow = slow || p.slow
		steady = steady || usualRate > 0 && !p.slow && p.leastRate*steadyFactor >= usualRate
		if p.slow || p.slowdown >= slowFactor {
			c.slow[a] = struct{}{}
		} else {
			delete(c.slow, a)
		}
	}
	switch {
	case steady:
		w.disturbedUntil, w.steadyAt = 0, now.BootTime
	case slow:
		w.steadyAt = 0
		w.markDisturbed(now)
	}
}

// judgeRate decides whether the rate of an attempt is slow by what is known of its step
// now, and returns the usual rate; 0 if the rate cannot be judged.
func (c *Core) judgeRate(now Moment, a *attempt) (usualRate float64) {
	p, w := &a.progress, a.worker
	p.slow, p.slowdown = false, 0
	if p.rate == 0 || p.percent() >= maxJudgedPercent {
		return 0
	}
	expected, certain := c.siblingRunTime(now, a.stage)
	usualRate = 100 / (expected.Seconds() * w.slowness())
	p.slowdown = usualRate / p.rate
	limit := slowFactor
	if !certain && !w.disturbed(now) {
		limit = uncertainSlowFactor
	}
	p.slow = p.slowdown >= limit || p.dropped()
	p.everSlow = p.everSlow || p.slow
	return usualRate
}

// markDisturbed marks a worker of which nothing has progressed as expected since.
func (w *worker) markDisturbed(now Moment) {
	if !w.disturbed(now) {
		w.disturbedSince = now.BootTime
	}
	w.disturbedUntil = now.BootTime + disturbedTime
}

// siblingRunTime is the expected run time of a task of the step on a worker of usual
// speed. It is certain if it follows from other runs of the same step.
func (c *Core) siblingRunTime(now Moment, stage *stage) (expected time.Duration, certain bool) {
	kept := &stage.expected
	if kept.runTime > 0 && now.BootTime-kept.at < expectedTimeValidity && (kept.certain || kept.reports == stage.reports) {
		return kept.runTime, kept.certain
	}
	runTimes := slices.Clone(stage.measured)
	for i := range stage.tasks {
		for _, a := range stage.tasks[i].attempts() {
			if predicted, ok := a.predictedRunTime(); ok {
				runTimes = append(runTimes, predicted)
			}
		}
	}
	kept.at, kept.reports, kept.certain = now.BootTime, stage.reports, len(runTimes) >= minSiblings
	if kept.certain {
		slices.Sort(runTimes)
		kept.runTime = runTimes[(len(runTimes)-1)/siblingPart]
	} else {
		kept.runTime = max(c.runTime(stage.job.workflow.Queue.Name, stage.spec), time.Millisecond)
	}
	return kept.runTime, kept.certain
}

// expectedTime is the result of siblingRunTime at a point in time.
type expectedTime struct {
	at, runTime time.Duration
	certain     bool
	// reports is the number of reports from which it was computed.
	reports uint64
}

// predictedRunTime extrapolates a run in progress to a worker of usual speed.
func (a *attempt) predictedRunTime() (time.Duration, bool) {
	p := &a.progress
	if a.partial || a.phase != phaseRunning || len(p.samples) == 0 || p.percent() < minSiblingPercent {
		return 0, false
	}
	ran := p.samples[len(p.samples)-1].clock - a.knownAt
	if ran < minProgressWindow {
		return 0, false
	}
	return time.Duration(float64(ran) * 100 / float64(p.percent()) / a.worker.slowness()), true
}

// observeSpeed adds a finished run to those of its step and to the usual speed of its
// worker. Runs that were slow for a while do not tell the usual speed.
func (c *Core) observeSpeed(now Moment, a *attempt) {
	if !c.config.Learn.Straggler || a.partial || !a.known || !judgesProgress(a) || a.progress.everSlow {
		return
	}
	ran := a.ranAtLeast()
	if ran < minProgressWindow {
		return
	}
	w := a.worker
	if expected, certain := c.siblingRunTime(now, a.stage); certain && !w.disturbed(now) {
		observed := math.Log(ran.Seconds() / expected.Seconds())
		observed = min(max(observed, -maxLogSlowness), maxLogSlowness)
		w.logSlowness += slownessSmoothing * (observed - w.logSlowness)
	}
	a.stage.measured = append(a.stage.measured, time.Duration(float64(ran)/w.slowness()))
	if len(a.stage.measured) > maxMeasured {
		a.stage.measured = slices.Delete(a.stage.measured, 0, 1)
	}
}

// slowness is the usual run time on the worker relative to others.
func (w *worker) slowness() float64 {
	return math.Exp(w.logSlowness)
}

// disturbed reports whether the worker has been slow a moment ago.
func (w *worker) disturbed(now Moment) bool {
	return w.disturbedUntil > now.BootTime
}
