package drive

import (
	"slices"
	"time"

	"cairnbay"
)

// acceptedSince is the number of workers that accepted the token by a renewal sent after a boot
// time. Departed ones do not count, so that the others go on while many leave together. The
// caller holds the lock.
func (d *Drive) acceptedSince(sent time.Duration) (count int) {
	for _, link := range d.links {
		if !link.departed && link.confirmedAt > max(sent, 0) {
			count++
		}
	}
	return count
}

// isQuorum says whether so many workers confirm an owner: a majority. The caller holds the lock.
func (d *Drive) isQuorum(accepted int) bool {
	return accepted*2 > d.presentLinks()
}

// updateFormerRuns notes, from an answer to a renewal, whether a worker runs what former owners
// ordered, and whether its answer excludes them; the caller holds the lock.
func (d *Drive) updateFormerRuns(l *link, state cairnbay.AgentState) {
	l.formerRuns = slices.ContainsFunc(state.Running, func(running cairnbay.AgentTask) bool {
		return running.Attempt <= d.config.Sched.AttemptBase
	})
	d.formersExcluded = d.formersExcluded || d.isQuorum(d.acceptedSince(0))
}

// mayExtend says whether the lease of a worker may be extended. While a former owner may have a
// quorum, it may count the lease as ended, and start elsewhere what it has ordered there. The
// caller holds the lock.
func (d *Drive) mayExtend(l *link) bool {
	return !l.formerRuns || d.formersExcluded || d.onlyOwnFormer()
}

// onlyOwnFormer says whether only a former process of this instance could give orders; the
// caller holds the lock.
func (d *Drive) onlyOwnFormer() bool {
	return d.config.Claim.AfterRestart && d.settled+1 == d.config.Claim.Generation
}
