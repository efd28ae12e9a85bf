package fault

import "time"

const (
	// firstQuarantine is the length of a worker's first quarantine; each further
	// quarantine is twice as long, up to maxQuarantine. They are forgotten once the worker
	// has been healthy for longer than maxQuarantine.
	firstQuarantine = time.Minute
	maxQuarantine   = time.Hour
	// maxProbation is the length of a probation in which too few probes ended: by then the
	// evidence against the worker has expired. Work that may not run twice cannot probe it.
	maxProbation = window
	// probesToPass is how many consecutive probes must succeed to end a quarantine.
	probesToPass = 3
	// maxQuarantinedShare is the largest fraction of a shard's workers that may be in
	// quarantine or probation at once.
	maxQuarantinedShare = 0.2
)

// State determines which tasks a worker gets.
type State uint8

// States of a worker.
const (
	// Healthy workers get all tasks.
	Healthy State = iota
	// Quarantined workers get no tasks.
	Quarantined
	// Probation workers get one task at a time as a probe.
	Probation
)

// String returns the state in snake case.
func (s State) String() string {
	return [...]string{"healthy", "quarantined", "probation"}[s]
}

// Detector quarantines the faulty workers of a shard. It is not safe for concurrent
// use.
type Detector struct {
	evidence    *evidence
	quarantines map[string]*quarantine
	// HeldOff counts the failures after which a quarantine was due but would have
	// exceeded the maximum number of quarantined workers; the same worker may count
	// several times.
	HeldOff uint64
}

// quarantine is the current or last quarantine of a worker.
type quarantine struct {
	// active is true until enough probes have passed.
	active bool
	// until is the time at which probation starts.
	until        time.Duration
	passedProbes int
	// healthyFrom is when enough probes had passed, while not active.
	healthyFrom time.Duration
	// total counts the quarantines of the worker, including this one, none of which began
	// more than maxQuarantine after the end of the one before.
	total int
}

// endsAt is when the worker has become or will become healthy without further probes.
func (q *quarantine) endsAt() time.Duration {
	if q.active {
		return q.until + maxProbation
	}
	return q.healthyFrom
}

// New returns a detector without evidence.
func New() *Detector {
	return &Detector{evidence: newEvidence(), quarantines: make(map[string]*quarantine)}
}

// Observe records the end of a job's task on one of the shard's workers, given the
// number of workers in the shard, and reports whether the worker's state changed.
func (d *Detector) Observe(worker, job string, failed bool, workers int, now time.Duration) bool {
	d.evidence.observe(worker, job, failed, now)
	switch d.State(worker, now) {
	case Probation:
		return d.observeProbe(worker, job, failed, now)
	case Healthy:
		return failed && d.evaluate(worker, workers, now)
	default:
		return false
	}
}

// evaluate quarantines a worker if its failures cannot be attributed to chance.
func (d *Detector) evaluate(worker string, workers int, now time.Duration) bool {
	failedJobs, probability := d.evidence.failureProbability(worker)
	if failedJobs < minFailures || probability >= significance {
		return false
	}
	if !d.belowLimit(workers, now) {
		d.HeldOff++
		return false
	}
	d.startQuarantine(worker, now)
	return true
}

// belowLimit reports whether one more worker may be quarantined. Workers in
// quarantine and probation may together reach maxQuarantinedShare, or one worker if
// that is less than one, but at least one worker stays healthy.
func (d *Detector) belowLimit(workers int, now time.Duration) bool {
	active := 0
	for worker := range d.quarantines {
		if d.State(worker, now) != Healthy {
			active++
		}
	}
	return active < max(1, int(maxQuarantinedShare*float64(workers))) && active < workers-1
}

// startQuarantine quarantines a worker for the first time or again.
func (d *Detector) startQuarantine(worker string, now time.Duration) {
	entry := d.quarantines[worker]
	if entry == nil {
		entry = &quarantine{}
		d.quarantines[worker] = entry
	}
	if now-entry.endsAt() > maxQuarantine {
		entry.total = 0
	}
	length := min(firstQuarantine<<min(entry.total, 10), maxQuarantine)
	entry.active, entry.passedProbes = true, 0
	entry.total++
	entry.until = now + length
}

// observeProbe records the end of a probe. The failure of a suspect job does not
// count, as the job fails on other workers too.
func (d *Detector) observeProbe(worker, job string, failed bool, now time.Duration) bool {
	entry := d.quarantines[worker]
	switch {
	case failed && d.evidence.isSuspect(job):
		return false
	case failed:
		d.startQuarantine(worker, now)
		return true
	}
	entry.passedProbes++
	if entry.passedProbes < probesToPass {
		return false
	}
	entry.active, entry.healthyFrom = false, now
	d.evidence.dropWorker(worker)
	return true
}

// State returns the state of a worker.
func (d *Detector) State(worker string, now time.Duration) State {
	entry := d.quarantines[worker]
	switch {
	case entry == nil || !entry.active || now >= entry.until+maxProbation:
		return Healthy
	case now < entry.until:
		return Quarantined
	default:
		return Probation
	}
}

// ProbeAfter returns the time from which a quarantined worker may be probed; 0 for a
// worker that was never quarantined.
func (d *Detector) ProbeAfter(worker string) time.Duration {
	if entry := d.quarantines[worker]; entry != nil {
		return entry.until
	}
	return 0
}

// ProbationEnd returns the time at which a worker's probation ends without probes; 0 for a
// worker that was never quarantined.
func (d *Detector) ProbationEnd(worker string) time.Duration {
	if entry := d.quarantines[worker]; entry != nil {
		return entry.until + maxProbation
	}
	return 0
}

// IsSuspect reports whether a job is considered the cause of its failures.
func (d *Detector) IsSuspect(job string) bool { return d.evidence.isSuspect(job) }

// Forget drops the evidence and the quarantine of a worker that is gone.
func (d *Detector) Forget(worker string) {
	d.evidence.dropWorker(worker)
	delete(d.quarantines, worker)
}
