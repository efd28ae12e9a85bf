package drive

import (
	"slices"
	"time"
)

// replacedWorker is a listed worker at whose address another one answers. Its entry may be
// out of date, or ahead of the worker's move to the address.
type replacedWorker struct {
	address string
	// retryAt is the boot time from which it is called again, pause the time before that.
	retryAt, pause time.Duration
}

const (
	// minReplacedPause is the pause before a listed worker is called again after another
	// one has answered at its address. It doubles each time up to maxReplacedPause.
	minReplacedPause = time.Second
	maxReplacedPause = 32 * time.Second
)

// dropReplaced removes a run of a worker at whose address another one answers. A former run
// at another address is the current one again, since the entry of this one may have been out
// of date. It returns false if the run has another address by now. The caller holds the lock.
func (d *Drive) dropReplaced(l *link, address string) bool {
	if l.entry.Address != address {
		return false
	}
	pause := minReplacedPause
	if gone, ok := d.replaced[l.entry.ID]; ok && gone.address == l.entry.Address {
		pause = min(2*gone.pause, maxReplacedPause)
	}
	d.replaced[l.entry.ID] = replacedWorker{l.entry.Address, d.config.BootTime() + pause, pause}
	g := l.lineage
	for i, former := range slices.Backward(g.former) {
		if former.entry.Address != address {
			d.dropRun(l, "replaced")
			d.reinstate(g, i)
			return true
		}
	}
	d.drop(l, "replaced")
	return true
}

// retryReplaced calls the replaced workers again that are still listed; the caller holds
// the lock.
func (d *Drive) retryReplaced() {
	for id := range d.replaced {
		if entry, ok := d.listed[id]; ok && d.links[id] == nil {
			d.addWorker(entry)
		}
	}
}

// isReplaced says whether the pause before a worker is called at an address again is not
// over; the caller holds the lock.
func (d *Drive) isReplaced(id, address string) bool {
	gone, ok := d.replaced[id]
	return ok && gone.address == address && d.config.BootTime() < gone.retryAt
}
