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

// observe records the end of a task as evidence about its worker and job.
func (e *Engine) observe(ended *run, failed bool, now time.Duration) {
	host := ended.worker
	if failed {
		ended.job.avoidedWorker = host
	}
	changed := e.faults.Observe(host.state.ID, string(ended.job.spec.ID), failed, len(e.workers), now)
	if !changed {
		return
	}
	if e.faults.State(host.state.ID, now) == fault.Quarantined {
		e.timers.add(timer{at: e.faults.ProbeAfter(host.state.ID), worker: host})
		e.timers.add(timer{at: e.faults.ProbationEnd(host.state.ID), worker: host})
	}
	e.reindex(host, now)
}

// pauseSuspect delays the next start of a job that fails on every worker, longer
// after each failure.
func (e *Engine) pauseSuspect(failed *job, now time.Duration) {
	// firstPause<<maxDoublings exceeds maxPause; the bound keeps the shift from
	// overflowing.
	const (
		firstPause   = time.Second
		maxPause     = time.Minute
		maxDoublings = 6
	)
	if !e.faults.IsSuspect(string(failed.spec.ID)) {
		failed.pauseCount = 0
		return
	}
	failed.retryAt = now + min(firstPause<<min(failed.pauseCount, maxDoublings), maxPause)
	failed.pauseCount++
	e.timers.add(timer{at: failed.retryAt, job: failed})
}

// probe starts one task on each worker on probation that runs none. It uses only
// patient work that may run again.
func (p *pass) probe() {
	for _, host := range p.engine.probation {
		if p.full() {
			return
		}
		if !p.engine.needsProbe(host, p.now) {
			continue
		}
		if chosen := p.engine.probeJob(host); chosen != nil {
			p.start(chosen, host, reasonProbe, false)
			p.engine.updateJob(chosen, p.now)
		}
	}
}

// needsProbe reports whether the worker is on probation and runs no probe.
func (e *Engine) needsProbe(host *worker, now time.Duration) bool {
	return e.isSchedulable(host, now) && e.onProbation(host, now) && host.activeProbes() == 0
}

func (e *Engine) onProbation(host *worker, now time.Duration) bool {
	return e.faults.State(host.state.ID, now) == fault.Probation
}

func (w *worker) activeProbes() int {
	count := 0
	for _, run := range w.runs {
		if run.reason == reasonProbe {
			count++
		}
	}
	return count
}

// probeJob returns the first patient job that may probe the worker.
func (e *Engine) probeJob(host *worker) *job {
	for _, band := range [...]cairnbay.Band{cairnbay.BandBestEffort, cairnbay.BandBatch} {
		for _, candidate := range e.queue.subqueues[band] {
			if candidate.groups.Len() == 0 || !candidate.shape.key.size.Fits(host.available()) {
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

// updateProbation updates the list of workers on probation.
func (e *Engine) updateProbation(host *worker, now time.Duration) {
	eligible := e.isSchedulable(host, now) && e.onProbation(host, now)
	if eligible == host.probation {
		return
	}
	host.probation = eligible
	if eligible {
		e.probation = append(e.probation, host)
		return
	}
	remaining := e.probation[:0]
	for _, existing := range e.probation {
		if existing != host {
			remaining = append(remaining, existing)
		}
	}
	e.probation = remaining
}

// Quarantines returns the workers in quarantine or on probation with a
// description of their state for operators.
func (e *Engine) Quarantines(now time.Duration) map[string]string {
	untrusted := make(map[string]string)
	for id := range e.workers {
		switch e.faults.State(id, now) {
		case fault.Quarantined:
			untrusted[id] = fmt.Sprintf("quarantined for %s more", (e.faults.ProbeAfter(id) - now).Round(time.Second))
		case fault.Probation:
			untrusted[id] = "on probation: runs one batch task at a time until it is trusted again"
		}
	}
	return untrusted
}
