package drive

import (
	"slices"

	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/sched"
)

// lineage is the runs of one worker's process, which share its name. Each run is a
// worker of its own to the core and has a link of its own. The platform delivers a call
// for one run to any other one: only the answer to a renewal tells which run it is.
type lineage struct {
	// current is the link to the latest run.
	current *link
	// former are the links to earlier runs whose attempts are not counted as lost yet.
	former []*link
	// token is the fencing token of calls to the current run. raise says that it must rise
	// before the next one, so that the current run refuses what is still on its way to a
	// former one; awaited says that a journal write was requested for that.
	token          uint64
	raise, awaited bool
	// over are the IDs of the latest runs that are known to have ended.
	over []string
}

// maxOver bounds the ended runs that a lineage remembers. An entry of the platform's list
// that is read late names one of the last runs.
const maxOver = 8

// isKnown says whether a run has a link or is known to have ended.
func (g *lineage) isKnown(id string) bool {
	return slices.Contains(g.over, id) || g.formerIndex(id) >= 0 || g.current != nil && g.current.entry.ID == id
}

func (g *lineage) formerIndex(id string) int {
	return slices.IndexFunc(g.former, func(l *link) bool { return l.entry.ID == id })
}

// restarted says whether other runs than the current one are known.
func (g *lineage) restarted() bool {
	return len(g.former) > 0 || len(g.over) > 0
}

// find returns the link to a run, nil if it has none.
func (g *lineage) find(id string) *link {
	if g.current != nil && g.current.entry.ID == id {
		return g.current
	}
	if index := g.formerIndex(id); index >= 0 {
		return g.former[index]
	}
	return nil
}

// findLink returns the link to a run of a worker, nil if it has none; the caller holds the
// lock.
func (d *Drive) findLink(id string) *link {
	if known := d.lineages[cairnbay.WorkerName(id)]; known != nil {
		return known.find(id)
	}
	return nil
}

// end remembers that a run has ended.
func (g *lineage) end(id string) {
	if slices.Contains(g.over, id) {
		return
	}
	g.over = append(g.over, id)
	g.over = g.over[max(0, len(g.over)-maxOver):]
}

// lineage returns the lineage of a worker; the caller holds the lock.
func (d *Drive) lineage(id string) *lineage {
	name := cairnbay.WorkerName(id)
	if d.lineages[name] == nil {
		d.lineages[name] = &lineage{token: max(d.config.Claim.Token, d.raisedToken)}
	}
	return d.lineages[name]
}

// restartable says whether another run of the worker may follow under its name.
func (l *link) restartable() bool {
	return cairnbay.WorkerName(l.entry.ID) != l.entry.ID
}

// raiseToken raises the token of a lineage if it must rise, and returns false while it
// cannot. Tokens must lie below that of the next owner; the revisions of this owner's
// journal writes do, and belong to no other owner. The caller holds the lock.
func (d *Drive) raiseToken(l *link) bool {
	g := l.lineage
	if !g.raise {
		return true
	}
	if revision := uint64(d.writer.Revision()); revision > g.token {
		g.token, g.raise, g.awaited = revision, false, false
		d.raisedToken = max(d.raisedToken, revision)
		return true
	}
	if !g.awaited {
		g.awaited = true
		d.writer.Append([]*cairnbayv1.WorkRecord{d.workerRecord(l)}, d.logStoreFailure("restarted worker"))
	}
	return false
}

// minRefusals is the number of restartable workers that must refuse the token of this
// owner for a newer one to be assumed, unless the store shows none. Each may have been
// called by the owner of another class, for which it works now or has worked.
const minRefusals = 2

// handleFencedCall handles the refusal of a call with the token. It stops this owner and
// returns true if there is a newer one, or if enough workers have refused it and the store
// does not answer.
func (d *Drive) handleFencedCall(l *link, token uint64) (fenced bool) {
	suspected := false
	d.mu.Lock()
	switch {
	case !l.restartable():
		fenced = true
	case l.superseded || l.dropped || token < l.lineage.token:
		// The worker refused what was meant for a former run.
	case l.unlisted:
		if !d.formerMayRun(l.lineage) && (l.lapsed || len(d.core.PlacedOn(l.entry.ID)) == 0) {
			d.drop(l, "unlisted")
		}
	default:
		// A newer owner of this shard has a higher token than any that this one can get.
		l.lineage.raise = true
		d.refusals[l.entry.ID] = struct{}{}
		suspected = len(d.refusals) >= min(minRefusals, d.presentLinks())
	}
	d.mu.Unlock()
	if suspected {
		fenced = d.confirm(d.ctx) != nil
		d.mu.Lock()
		clear(d.refusals)
		d.mu.Unlock()
	}
	if fenced {
		d.handleFenced(l.entry.ID)
	}
	return fenced
}

// supersede stops the calls to the current run, since another one is known. The tasks of
// the former run count as running until the other has answered. The caller holds the
// lock.
func (d *Drive) supersede(g *lineage) {
	former := g.current
	if former == nil {
		return
	}
	g.current = nil
	g.former = append(g.former, former)
	former.superseded = true
	d.extendFormerLease(former)
	// A run that has never answered has had no orders from this owner.
	g.raise = g.raise || former.answeredAt > 0
	delete(d.links, former.entry.ID)
	delete(d.refusals, former.entry.ID)
	d.core.SetReachable(d.now(), former.entry.ID, false)
}

// handleOtherRun handles the answer of another run to a renewal for the run of the link,
// which has therefore ended; the caller holds the lock.
func (d *Drive) handleOtherRun(l *link, answered string) {
	g := l.lineage
	d.supersede(g)
	g.end(l.entry.ID)
	if index := g.formerIndex(answered); index >= 0 {
		// The run of the link was not the latest one, or never existed.
		d.reinstate(g, index)
		return
	}
	entry := l.entry
	entry.ID = answered
	d.openUnlisted(entry)
}

// SetElsewhere replaces the list of the workers of other shards that tell the start of
// their process.
func (d *Drive) SetElsewhere(entries []cairnbay.WorkerEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.elsewhere = entries
	if d.loaded {
		d.supersedeMoved()
	}
}

// supersedeMoved stops the calls to the runs after which another one works in another
// shard; the caller holds the lock.
func (d *Drive) supersedeMoved() {
	for i := range d.elsewhere {
		listed := &d.elsewhere[i]
		g := d.lineages[cairnbay.WorkerName(listed.ID)]
		if g == nil || g.current == nil || !g.current.restartable() || g.isKnown(listed.ID) {
			continue
		}
		entry := g.current.entry
		entry.ID, entry.Address = listed.ID, listed.Address
		d.openUnlisted(entry)
	}
}

// openUnlisted opens a link to a run that the list of the shard does not contain; the
// caller holds the lock.
func (d *Drive) openUnlisted(entry cairnbay.WorkerEntry) {
	entry.Draining = false
	d.core.SetWorker(entry)
	d.core.SetUnlisted(entry.ID)
	d.openLink(entry, false).unlisted = true
}

// handleListed handles the first entry of a run that was known otherwise. The ID
// stays; it is read without the lock. So does the address of a run that has answered there.
func (l *link) handleListed(entry cairnbay.WorkerEntry) {
	l.unlisted = false
	if l.answeredAt == 0 {
		l.entry.Address = entry.Address
	}
	l.entry.Class, l.entry.DataCentre = entry.Class, entry.DataCentre
	l.entry.Rack, l.entry.Labels, l.entry.Capacity = entry.Rack, entry.Labels, entry.Capacity
}

// reinstate makes a former run the current one again; the caller holds the lock.
func (d *Drive) reinstate(g *lineage, index int) {
	l := g.former[index]
	g.former = slices.Delete(g.former, index, index+1)
	g.current, l.superseded = l, false
	d.links[l.entry.ID] = l
	// The core has removed the worker if its lease had ended.
	if entry, listed := d.listed[l.entry.ID]; listed {
		d.addWorker(entry)
	} else {
		d.core.SetWorker(l.entry)
		d.core.SetUnlisted(l.entry.ID)
	}
	d.core.SetReachable(d.now(), l.entry.ID, false)
	if !l.renewing {
		l.renewing = true
		d.done.Go(func() { d.renewLoop(l) })
	}
}

// endFormer counts the attempts of the former runs as lost, after the current one has
// answered, unless it lists them itself: it may have carried out orders meant for them.
// It returns the IDs of these runs and their releases. After a truncated
// state, the attempts that it does not list stay with the former runs. The caller holds
// the lock.
func (d *Drive) endFormer(l *link, state cairnbay.AgentState) (ended []string, released []release) {
	if state.EndsTruncated {
		for _, former := range l.lineage.former {
			d.core.HandOver(former.entry.ID, state)
		}
		return nil, nil
	}
	for _, former := range l.lineage.former {
		id := former.entry.ID
		if former.answeredAt > 0 || former.journaled {
			d.meters.workerRestarted()
			d.config.Log.WithFields(logrus.Fields{
				"worker": l.entry.ID, "former": id, "running": len(state.Running),
			}).Warn("worker restarted")
		}
		d.reportLoss(id, "restarted", d.core.HandleRestart(d.now(), id, former.lossCause(), state))
		if former.journaled || former.used != nil {
			former.journaled = false
			released = append(released, d.release(former))
		}
		former.dropped = true
		l.lineage.end(id)
		ended = append(ended, id)
		if former.answeredAt > 0 {
			// A call for the former run, with times of its clock, may have given this one
			// the longest lease.
			l.leaseEnd = max(l.leaseEnd, l.clock+d.config.MaxLease)
			l.longLeaseEnd = l.leaseEnd
		}
	}
	l.lineage.former = nil
	return ended, released
}

// expireFormer counts the attempts of former runs as lost whose leases have certainly
// ended while the current run does not answer; the caller holds the lock.
func (d *Drive) expireFormer(g *lineage) {
	for _, former := range g.former {
		if !former.lapsed && d.leaseEnded(former, d.config.BootTime()) {
			former.lapsed = true
			d.handleWorkerLoss(former.entry.ID, "lease_ended", sched.LossSilent)
			d.journalRelease(former)
		}
	}
}

// drop removes a worker and its link; the caller holds the lock.
func (d *Drive) drop(l *link, reason string) {
	d.dropRun(l, reason)
	d.dropLineage(l)
}

// dropRun removes the current run of a worker and its link; the caller holds the lock.
func (d *Drive) dropRun(l *link, reason string) {
	l.dropped, l.lineage.current = true, nil
	delete(d.links, l.entry.ID)
	delete(d.refusals, l.entry.ID)
	d.handleWorkerLoss(l.entry.ID, reason, l.lossCause())
	d.journalRelease(l)
}

// dropLineage forgets a worker of which no run is reached any more; the caller holds the
// lock.
func (d *Drive) dropLineage(l *link) {
	for _, former := range l.lineage.former {
		former.dropped = true
		d.handleWorkerLoss(former.entry.ID, "restarted", former.lossCause())
		d.journalRelease(former)
	}
	delete(d.lineages, cairnbay.WorkerName(l.entry.ID))
}

// lossCause is why the attempts of a run that is gone are lost.
func (l *link) lossCause() sched.LossCause {
	if l.draining {
		return sched.LossDeparted
	}
	return sched.LossCrashed
}
