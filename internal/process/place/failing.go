package place

import (
	"fmt"
	"time"

	"cairnbay"
	"cairnbay/internal/process/fault"
	"cairnbay/internal/process/quota"
)

// reasonProbe is the reason of a start on a worker on probation.
const reasonProbe = "probes a worker on probation"

// observe takes the end of a task as evidence about its worker and job.
func (e *Engine) observe(ended *run, failed bool, now time.Duration) {
	on := ended.worker
	if failed {
		ended.job.avoided = on
	}
	changed := e.faults.Observe(on.state.ID, string(ended.job.spec.ID), failed, len(e.workers), now)
	if !changed {
		return
	}
	if e.faults.State(on.state.ID, now) == fault.Quarantined {
		until := e.faults.ProbeAfter(on.state.ID)
		e.alarms.add(alarm{at: until, worker: on})
	}
	e.reindex(on, now)
}

// pauseSuspect lets a job that fails on every worker wait before its next start,
// longer after each failure.
func (e *Engine) pauseSuspect(failed *job, now time.Duration) {
	const (
		firstPause = time.Second
		maxPause   = time.Minute
		maxDoubles = 6
	)
	if !e.faults.IsSuspect(string(failed.spec.ID)) {
		failed.pauses = 0
		return
	}
	failed.retryAt = now + min(firstPause<<min(failed.pauses, maxDoubles), maxPause)
	failed.pauses++
	e.alarms.add(alarm{at: failed.retryAt, job: failed})
}

// probe starts one task on each worker on probation that has none. Only
// patient work that may run again is used.
func (p *pass) probe() {
	for _, on := range p.engine.probation {
		if p.full() {
			return
		}
		if !p.engine.probed(on, p.now) {
			continue
		}
		if chosen := p.engine.probeJob(on); chosen != nil {
			p.start(chosen, on, reasonProbe, false)
			p.engine.settle(chosen, p.now)
		}
	}
}

// probed says whether the worker waits for a probe.
func (e *Engine) probed(on *worker, now time.Duration) bool {
	return e.open(on, now) && e.onProbation(on, now) && on.probes() == 0
}

func (e *Engine) onProbation(on *worker, now time.Duration) bool {
	return e.faults.State(on.state.ID, now) == fault.Probation
}

func (w *worker) probes() int {
	count := 0
	for _, run := range w.runs {
		if run.reason == reasonProbe {
			count++
		}
	}
	return count
}

// probeJob returns the first patient job that could probe the worker.
func (e *Engine) probeJob(on *worker) *job {
	for _, band := range [...]cairnbay.Band{cairnbay.BandBestEffort, cairnbay.BandBatch} {
		for _, candidate := range e.queue.lines[band] {
			if candidate.groups.Len() == 0 || !candidate.shape.key.size.Fits(on.available()) {
				continue
			}
			if head := candidate.groups[0].jobs[0]; e.mayProbe(head) {
				return head
			}
		}
	}
	return nil
}

func (e *Engine) mayProbe(head *job) bool {
	if head.spec.Kind != cairnbay.KindBatch || head.spec.AtMostOnce || e.faults.IsSuspect(string(head.spec.ID)) {
		return false
	}
	verdict, _ := head.account.Evaluate(head.spec.Size)
	return verdict == quota.Within
}

// updateProbation keeps the list of workers on probation.
func (e *Engine) updateProbation(on *worker, now time.Duration) {
	wanted := e.open(on, now) && e.onProbation(on, now)
	if wanted == on.probation {
		return
	}
	on.probation = wanted
	if wanted {
		e.probation = append(e.probation, on)
		return
	}
	kept := e.probation[:0]
	for _, known := range e.probation {
		if known != on {
			kept = append(kept, known)
		}
	}
	e.probation = kept
}

// Quarantines tells which workers are not trusted, for operators.
func (e *Engine) Quarantines(now time.Duration) map[string]string {
	untrusted := make(map[string]string)
	for id := range e.workers {
		switch e.faults.State(id, now) {
		case fault.Quarantined:
			untrusted[id] = fmt.Sprintf("quarantined for %s more", (e.faults.ProbeAfter(id) - now).Round(time.Second))
		case fault.Probation:
			untrusted[id] = "on probation: one probe at a time"
		}
	}
	return untrusted
}
