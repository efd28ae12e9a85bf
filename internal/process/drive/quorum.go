package drive

import (
	"cmp"
	"slices"
	"time"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

const (
	// quorumShare is the share of the workers listed in the journal that must accept the token
	// of an owner which the store does not confirm. Its successor excludes such a quorum as soon
	// as more than the rest accept it. So an owner without the store bears the loss of one zone of
	// three, and a successor the loss of one zone of two with the owner.
	quorumShare = 0.6
	// DefaultMaxStoreSilence is the default of Config.MaxStoreSilence.
	DefaultMaxStoreSilence = 30 * time.Second
	// storeReads is how many reads of the fence fit into MaxStoreSilence, so that an outage of the
	// store begins with most of it left.
	storeReads = 6
)

// storePeriod is the longest time between reads of the fence that have an answer.
func (d *Drive) storePeriod() time.Duration {
	return d.config.MaxStoreSilence / storeReads
}

// authority is what an owner's right to give orders rests on.
type authority string

const (
	authorityNone    authority = "none"
	authorityStore   authority = "store"
	authorityWorkers authority = "workers"
)

// usedWorker is a worker that the journal may list as used. Owners and their successors count
// the same set: that of the journal at a claim.
type usedWorker struct {
	// since is the generation of the owner from which on the journal lists it without a pause.
	since uint64
	// certain says that the journal lists it. Otherwise a record about it may be under way.
	certain bool
	// releasing says that the latest record about it is its release.
	releasing bool
}

// markUsed returns the entry of a worker about which a record is going to be appended; the
// caller holds the lock.
func (d *Drive) markUsed(l *link) *usedWorker {
	entry := d.used[l.entry.ID]
	if entry == nil || entry.releasing {
		entry = &usedWorker{since: d.config.Claim.Generation}
		d.addUsed(l.entry.ID, entry)
	}
	l.used = entry
	return entry
}

// addUsed adds the entry of a worker, or replaces it; the caller holds the lock.
func (d *Drive) addUsed(id string, entry *usedWorker) {
	if d.used[id] == nil {
		d.usedNames[cairnbay.WorkerName(id)]++
	}
	d.used[id] = entry
}

// removeUsed removes the entry of a worker; the caller holds the lock.
func (d *Drive) removeUsed(id string) {
	name := cairnbay.WorkerName(id)
	delete(d.used, id)
	if d.usedNames[name]--; d.usedNames[name] == 0 {
		delete(d.usedNames, name)
	}
}

// markListed notes that the record of a used worker is stored; the caller holds the lock.
func (d *Drive) markListed(l *link) {
	if l.used != nil {
		l.used.certain = true
	}
}

// release is the record by which the journal no longer lists a worker, and what to call, with
// the lock, once it is stored.
type release struct {
	record *cairnbayv1.WorkRecord
	stored func()
}

// release returns the release of a worker; the caller holds the lock.
func (d *Drive) release(l *link) release {
	id, entry := l.entry.ID, d.used[l.entry.ID]
	if entry != nil {
		entry.certain, entry.releasing = false, true
	}
	l.used = nil
	return release{&cairnbayv1.WorkRecord{Released: id}, func() {
		if entry != nil && d.used[id] == entry {
			d.removeUsed(id)
		}
	}}
}

// journalRelease records that nothing runs on a worker, so that the next owner
// does not wait for it. The worker is journaled again before it gets tasks again.
// The caller holds the lock.
func (d *Drive) journalRelease(l *link) {
	if !l.journaled && (l.used == nil || l.journaling) {
		return
	}
	l.journaled, l.unconfining = false, false
	l.releases++
	released := d.release(l)
	d.writer.Append([]*cairnbayv1.WorkRecord{released.record}, func(err error) {
		if err != nil {
			d.config.Log.WithError(err).Warn("worker release not stored")
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		released.stored()
	})
}

// acceptedSince is the number of workers listed in the journal that accepted the token by a
// renewal sent after a boot time; the caller holds the lock.
func (d *Drive) acceptedSince(sent time.Duration) (count int) {
	for _, link := range d.links {
		if link.used != nil && link.used.certain && link.confirmedAt > max(sent, 0) {
			count++
		}
	}
	return count
}

// isQuorum says whether so many workers confirm an owner. The runs of one worker's process count
// once: several may be listed while the store is away. The caller holds the lock.
func (d *Drive) isQuorum(accepted int) bool {
	return accepted > 0 && float64(accepted) >= quorumShare*float64(len(d.usedNames))
}

// confirmedByWorkers says whether a quorum accepted the token within confirmWindow; the caller
// holds the lock.
func (d *Drive) confirmedByWorkers(now time.Duration) bool {
	return d.isQuorum(d.acceptedSince(now - confirmWindow))
}

// authority returns what the right to give orders rests on; the caller holds the lock.
func (d *Drive) authority(now time.Duration) authority {
	switch age := now - d.ownedAt; {
	case d.fenced:
		return authorityNone
	case age <= confirmWindow:
		return authorityStore
	case age <= d.config.MaxStoreSilence && d.confirmedByWorkers(now):
		return authorityWorkers
	default:
		return authorityNone
	}
}

// formerWorker is the runs of a worker's process that the journal listed at the claim.
type formerWorker struct {
	links []*link
	// since is the generation of the owner from which on the journal listed the first of them.
	since uint64
}

// addFormer adds a run that the journal listed; the caller holds the lock.
func (d *Drive) addFormer(l *link) {
	name := cairnbay.WorkerName(l.entry.ID)
	known := d.formerNames[name]
	if known == nil {
		known = &formerWorker{since: l.used.since}
		d.formerNames[name] = known
		d.formerWorkers = append(d.formerWorkers, known)
	}
	known.links, known.since = append(known.links, l), min(known.since, l.used.since)
}

// isUnaccounted says whether a former owner may still be accepted by an inherited run: it has
// not answered this owner and is not known to have ended. The caller holds the lock.
func (d *Drive) isUnaccounted(l *link) bool {
	if l.answeredAt > 0 {
		return false
	}
	_, inherited := d.inherited[l.entry.ID]
	return inherited
}

// updateFormerRuns notes, from an answer to a renewal, whether a worker runs what former owners
// ordered, and whether its answer excludes them; the caller holds the lock.
func (d *Drive) updateFormerRuns(l *link, state cairnbay.AgentState) {
	l.formerRuns = slices.ContainsFunc(state.Running, func(running cairnbay.AgentTask) bool {
		return running.Attempt <= d.config.Sched.AttemptBase
	})
	d.formersExcluded = d.formersExcluded || d.excludesFormerQuorums()
}

// mayExtend says whether the lease of a worker may be extended. While a former owner may have a
// quorum, it may count the lease as ended, and start elsewhere what it has ordered there. The
// caller holds the lock.
func (d *Drive) mayExtend(l *link, now time.Duration) bool {
	return !l.formerRuns || d.formersExcluded || d.onlyOwnFormer() || now >= d.detachedUntil()
}

// onlyOwnFormer says whether only a former process of this instance could give orders; the
// caller holds the lock.
func (d *Drive) onlyOwnFormer() bool {
	return d.config.Claim.AfterRestart && d.settled+1 == d.config.Claim.Generation
}

// detachedUntil is the boot time until which a former owner may go on without the store, which
// has confirmed none since the claim.
func (d *Drive) detachedUntil() time.Duration {
	return d.openedAt + leaseTime(d.config.MaxStoreSilence)
}

// excludesFormerQuorums says whether no former owner can be confirmed by workers any more. Each
// one from the last settled owner on counts by the workers that the journal listed under it:
// those listed only since may all accept this owner without an effect on it. The caller holds
// the lock.
func (d *Drive) excludesFormerQuorums() bool {
	slices.SortFunc(d.formerWorkers, func(a, b *formerWorker) int { return cmp.Compare(a.since, b.since) })
	unaccounted := 0
	for i, worker := range d.formerWorkers {
		if slices.ContainsFunc(worker.links, d.isUnaccounted) {
			unaccounted++
		}
		if i+1 < len(d.formerWorkers) && d.formerWorkers[i+1].since <= max(worker.since, d.settled) {
			continue
		}
		if unaccounted > 0 && float64(unaccounted) >= quorumShare*float64(i+1) {
			return false
		}
	}
	return true
}
