package fault

import "time"

const (
	// firstQuarantine is doubled with each further one, up to maxQuarantine.
	firstQuarantine = time.Minute
	maxQuarantine   = time.Hour
	// probesToPass is how many probes must end well in a row.
	probesToPass = 3
	// maxShare is the part of a shard's workers that may be out at once.
	maxShare = 0.2
)

// State is how far a worker is trusted.
type State uint8

// States of a worker.
const (
	// Healthy takes all work.
	Healthy State = iota
	// Quarantined takes none.
	Quarantined
	// Probation takes one probe at a time.
	Probation
)

// String returns the state in snake case.
func (s State) String() string {
	return [...]string{"healthy", "quarantined", "probation"}[s]
}

// Detector decides which workers of a shard are in quarantine. It is not safe for
// concurrent use.
type Detector struct {
	evidence *evidence
	held     map[string]*quarantine
	// HeldOff counts the quarantines that were due and would have taken too
	// many workers out.
	HeldOff uint64
}

// quarantine is what is known of a worker that was taken out of use.
type quarantine struct {
	out    bool
	until  time.Duration
	passed int
	rounds int
}

// New returns a detector without evidence.
func New() *Detector {
	return &Detector{evidence: newEvidence(), held: make(map[string]*quarantine)}
}

// Observe takes the end of a job's task on one of a shard's workers and says
// whether the worker's state changed.
func (d *Detector) Observe(worker, job string, failed bool, workers int, now time.Duration) bool {
	d.evidence.observe(worker, job, failed, now)
	switch d.State(worker, now) {
	case Probation:
		return d.probed(worker, job, failed, now)
	case Healthy:
		return failed && d.judge(worker, workers, now)
	default:
		return false
	}
}

// judge puts a worker into quarantine if its failures are not chance.
func (d *Detector) judge(worker string, workers int, now time.Duration) bool {
	jobs, probability := d.evidence.tail(worker)
	if jobs < minFailures || probability >= significance {
		return false
	}
	if !d.hasRoom(workers) {
		d.HeldOff++
		return false
	}
	d.hold(worker, now)
	return true
}

// hasRoom says whether one more worker may be out: fewer than the greatest
// share, at least one, and never the last.
func (d *Detector) hasRoom(workers int) bool {
	out := 0
	for _, known := range d.held {
		if known.out {
			out++
		}
	}
	return out < max(1, int(maxShare*float64(workers))) && out < workers-1
}

func (d *Detector) hold(worker string, now time.Duration) {
	added := d.held[worker]
	if added == nil {
		added = &quarantine{}
		d.held[worker] = added
	}
	length := min(firstQuarantine<<min(added.rounds, 10), maxQuarantine)
	added.out, added.passed = true, 0
	added.rounds++
	added.until = now + length
}

// probed takes the end of a probe. The failure of a job that fails elsewhere
// too says nothing.
func (d *Detector) probed(worker, job string, failed bool, now time.Duration) bool {
	known := d.held[worker]
	switch {
	case failed && d.evidence.suspect(job):
		return false
	case failed:
		d.hold(worker, now)
		return true
	}
	known.passed++
	if known.passed < probesToPass {
		return false
	}
	known.out = false
	d.evidence.dropWorker(worker)
	return true
}

// State returns how far a worker is trusted.
func (d *Detector) State(worker string, now time.Duration) State {
	known := d.held[worker]
	switch {
	case known == nil || !known.out:
		return Healthy
	case now < known.until:
		return Quarantined
	default:
		return Probation
	}
}

// ProbeAfter is when a quarantined worker may be probed.
func (d *Detector) ProbeAfter(worker string) time.Duration {
	if known := d.held[worker]; known != nil {
		return known.until
	}
	return 0
}

// IsSuspect says whether a job is taken for the cause of its failures.
func (d *Detector) IsSuspect(job string) bool { return d.evidence.suspect(job) }

// Forget drops a worker that is gone.
func (d *Detector) Forget(worker string) {
	d.evidence.dropWorker(worker)
	delete(d.held, worker)
}
