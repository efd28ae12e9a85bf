package allot

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/quota"
	"cairnbay/internal/process/sched"
)

const (
	// callTimeout bounds a call to another owner, which commits one transaction.
	callTimeout = 500 * time.Millisecond
	// roundTime bounds one round of requests, which are made one after another: each
	// transaction changes the same keys.
	roundTime = time.Second
	// failedPause is how long the owner of a shard is not asked after a call to it failed.
	failedPause = time.Second
	// movedWait is how long the mirror may take to bring a division that was moved, before
	// it is read.
	movedWait = 30 * time.Millisecond
	// announcement is the latest start in a request that only tells of an overdraft, and
	// coverStart that of a request to cover one: it precedes all work.
	announcement = 0
	coverStart   = 1
)

// need is what the part of a workspace lacks.
type need struct {
	name string
	// target is the part that would be enough, in the resources that lack.
	target quota.Share
	latest int64
}

// ask requests what is missing for the work that the parts hold back. Work above a
// lowered quota counts as well: the other owners must not start work beside it.
func (o *Owner) ask() {
	now := o.config.BootTime()
	// A lowered quota may leave an overdraft, of which the others must hear at once.
	if wait := o.askedAt + askPeriod - now; !o.adopted.Swap(false) && o.askedAt > 0 && wait > 0 {
		if o.askDueAt <= now {
			o.askDueAt = now + wait
			o.wakeAfter(wait)
		}
		return
	}
	needs, overdrafts := o.needs()
	if len(needs) == 0 && len(overdrafts) == 0 {
		return
	}
	o.askedAt = now
	o.announce(overdrafts)
	ctx, cancel := context.WithTimeout(o.ctx, roundTime)
	defer cancel()
	for _, shard := range o.donors(needs) {
		if ctx.Err() != nil {
			return
		}
		rows := o.rows(shard, needs)
		if len(rows) == 0 {
			continue
		}
		o.meters.asked.Inc()
		moved, err := o.request(ctx, shard, rows)
		if err != nil {
			o.failedAt[shard] = o.config.BootTime()
			o.config.Log.WithError(err).WithField("asked", shard).Warn("part of a quota not requested")
			continue
		}
		o.awaitMoved(ctx, moved, needs)
	}
}

// needs returns what is missing, and the overdrafts by workspace.
func (o *Owner) needs() (needs []need, overdrafts map[string]quota.Share) {
	overdrafts = make(map[string]quota.Share)
	o.core.Edit(func(now sched.Moment, core *sched.Core) {
		if core == nil {
			return
		}
		demands := core.QuotaDemands(now)
		o.mu.Lock()
		defer o.mu.Unlock()
		for name, known := range o.workspaces {
			if known.Quota.IsZero() || !known.holder.Known() {
				continue
			}
			charged := quota.ShareFor(core.QuotaCharged(name), known.Quota)
			over := charged.Sub(known.holder.Part())
			if over.IsZero() {
				continue
			}
			overdrafts[name] = over
			needs = append(needs, need{name, limitedTo(charged, over), coverStart})
		}
		for _, held := range demands {
			known := o.workspaces[held.Workspace]
			if known == nil || !known.holder.Known() {
				continue
			}
			o.logHeld(known, held)
			known.dropClaims(quota.Claimant{Shard: o.config.Claim.Shard, LatestStartUnixMS: held.LatestStartUnixMS})
			core.SetWorkspaces([]sched.WorkspaceTerms{known.terms()})
			if _, overdrawn := overdrafts[held.Workspace]; overdrawn {
				continue
			}
			target := quota.ShareFor(held.Use.Add(held.Wanted), known.Quota).Add(known.overdrawnElsewhere())
			target = target.Min(quota.Share{quota.Whole, quota.Whole, quota.Whole})
			needs = append(needs, need{held.Workspace, limitedTo(target, quota.ShareFor(held.Missing, known.Quota)), held.LatestStartUnixMS})
		}
	})
	slices.SortFunc(needs, func(a, b need) int { return cmp.Or(cmp.Compare(a.latest, b.latest), cmp.Compare(a.name, b.name)) })
	return needs, overdrafts
}

// limitedTo returns the share in the resources in which another one is above 0.
func limitedTo(share, other quota.Share) quota.Share {
	for i := range share {
		if other[i] == 0 {
			share[i] = 0
		}
	}
	return share
}

// logHeld logs a start that is held back, at most once in heldLogPeriod for a workspace;
// the caller holds the lock.
func (o *Owner) logHeld(known *workspace, held sched.QuotaDemand) {
	now := o.config.BootTime()
	if known.heldLoggedAt > 0 && now-known.heldLoggedAt < heldLogPeriod {
		return
	}
	known.heldLoggedAt = now
	o.config.Log.WithFields(logrus.Fields{
		"workspace": held.Workspace, "job": held.Job, "part": known.terms().Part, "use": held.Use, "missing": held.Missing,
		"held_ms": held.HeldFor.Milliseconds(),
	}).Info("start held back by a quota")
}

// donors returns the other shards with a part of what is needed, the largest first.
func (o *Owner) donors(needs []need) (shards []string) {
	sizes := make(map[string]int64)
	o.mu.Lock()
	for _, lacking := range needs {
		for shard, share := range o.workspaces[lacking.name].holder.Division() {
			if shard == o.config.Claim.Shard {
				continue
			}
			for i, amount := range limitedTo(share, lacking.target) {
				if lacking.target[i] > 0 {
					sizes[shard] += amount
				}
			}
		}
	}
	o.mu.Unlock()
	for shard, size := range sizes {
		if size > 0 {
			shards = append(shards, shard)
		}
	}
	slices.SortFunc(shards, func(a, b string) int { return cmp.Or(-cmp.Compare(sizes[a], sizes[b]), cmp.Compare(a, b)) })
	return shards
}

// rows returns what is still missing and a shard has a part of.
func (o *Owner) rows(shard string, needs []need) (rows []*cairnbayv1.QuotaNeed) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, lacking := range needs {
		holder := o.workspaces[lacking.name].holder
		missing := limitedTo(lacking.target.Sub(holder.Part()), holder.Division()[shard])
		if !missing.IsZero() && len(rows) < maxWorkspaces {
			rows = append(rows, encodeNeed(lacking.name, missing, lacking.latest))
		}
	}
	return rows
}

func encodeNeed(name string, share quota.Share, latest int64) *cairnbayv1.QuotaNeed {
	return &cairnbayv1.QuotaNeed{
		Workspace: name, MilliCpu: uint32(share[0]), MemoryMb: uint32(share[1]), Accelerators: uint32(share[2]), LatestStartUnixMs: latest,
	}
}

// request asks the owner of a shard, and returns the workspaces of which it moved parts.
// A shard without an owner gives none.
func (o *Owner) request(ctx context.Context, shard string, rows []*cairnbayv1.QuotaNeed) ([]string, error) {
	address := o.config.Address(shard)
	if failedAt := o.failedAt[shard]; address == "" || failedAt > 0 && o.config.BootTime()-failedAt < failedPause {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := o.config.Client(address).RequestQuota(ctx, connect.NewRequest(&cairnbayv1.RequestQuotaRequest{
		Shard: shard, ForShard: o.config.Claim.Shard, Needs: rows,
	}))
	if err != nil {
		return nil, err
	}
	return response.Msg.GetMoved(), nil
}

// awaitMoved waits for the divisions that were moved: a part rises only by what the key
// says.
func (o *Owner) awaitMoved(ctx context.Context, moved []string, needs []need) {
	if len(moved) == 0 {
		return
	}
	behind := func() (names []string) {
		o.mu.Lock()
		defer o.mu.Unlock()
		for _, lacking := range needs {
			if slices.Contains(moved, lacking.name) && !lacking.target.Sub(o.workspaces[lacking.name].holder.Part()).IsZero() {
				names = append(names, lacking.name)
			}
		}
		return names
	}
	timeout := time.NewTimer(movedWait)
	defer timeout.Stop()
	for len(behind()) > 0 {
		o.mu.Lock()
		changed := o.changed
		o.mu.Unlock()
		select {
		case <-changed:
			continue
		case <-ctx.Done():
			return
		case <-timeout.C:
		}
		for _, name := range behind() {
			if err := o.read(ctx, name); err != nil {
				o.config.Log.WithError(err).WithField("workspace", name).Warn("quota division not read")
			}
		}
		break
	}
	o.push()
}

// announce tells the owners of all other shards of the overdrafts, all at once.
func (o *Owner) announce(overdrafts map[string]quota.Share) {
	if len(overdrafts) == 0 {
		return
	}
	rows := make([]*cairnbayv1.QuotaNeed, 0, len(overdrafts))
	for name, over := range overdrafts {
		rows = append(rows, encodeNeed(name, over, announcement))
	}
	o.meters.announced.Inc()
	var calls sync.WaitGroup
	for _, shard := range o.config.Shards() {
		if shard == o.config.Claim.Shard {
			continue
		}
		calls.Go(func() {
			if _, err := o.request(o.ctx, shard, rows); err != nil {
				o.config.Log.WithError(err).WithField("told", shard).Warn("use above a quota not told")
			}
		})
	}
	calls.Wait()
}

// Give serves a request of the owner of another shard.
func (o *Owner) Give(ctx context.Context, request *cairnbayv1.RequestQuotaRequest) *cairnbayv1.RequestQuotaResponse {
	response := &cairnbayv1.RequestQuotaResponse{Owner: true}
	writes, given := o.lower(request)
	if len(writes) == 0 {
		if len(request.GetNeeds()) > 0 && request.GetNeeds()[0].GetLatestStartUnixMs() != announcement {
			o.meters.refused.Inc()
		}
		return response
	}
	if err := o.commit(writes); err != nil {
		o.config.Log.WithError(err).WithField("for", request.GetForShard()).Warn("part of a quota not moved")
		o.resolveConflict(ctx, writes)
		return response
	}
	for name := range writes {
		response.Moved = append(response.Moved, name)
		o.meters.moved.Inc()
		o.config.Log.WithFields(logrus.Fields{
			"workspace": name, "for": request.GetForShard(), "millionths": given[name],
		}).Info("part of a quota moved")
	}
	return response
}

// resolveConflict reads the keys after a write that was not confirmed.
func (o *Owner) resolveConflict(ctx context.Context, writes map[string]quota.Write) {
	for name := range writes {
		if err := o.read(ctx, name); err != nil {
			// The part stays lowered; settle reads the key again.
			o.config.Log.WithError(err).WithField("workspace", name).Warn("quota division not read")
		}
	}
	o.push()
}

// lower decides what to give and lowers the parts at once, before any write.
func (o *Owner) lower(request *cairnbayv1.RequestQuotaRequest) (writes map[string]quota.Write, given map[string]quota.Share) {
	writes, given = make(map[string]quota.Write), make(map[string]quota.Share)
	forShard := request.GetForShard()
	o.core.Edit(func(now sched.Moment, core *sched.Core) {
		o.mu.Lock()
		defer o.mu.Unlock()
		tokenTaken := false
		for _, row := range request.GetNeeds() {
			known := o.workspaces[row.GetWorkspace()]
			if known == nil || known.Quota.IsZero() || forShard == o.config.Claim.Shard {
				continue
			}
			asked := quota.Share{int64(row.GetMilliCpu()), int64(row.GetMemoryMb()), int64(row.GetAccelerators())}
			if row.GetLatestStartUnixMs() == announcement {
				known.overdrafts[forShard] = told{share: asked, until: o.config.BootTime() + overdraftTime}
				if core != nil {
					core.SetWorkspaces([]sched.WorkspaceTerms{known.terms()})
				}
				continue
			}
			if core == nil {
				// What the part is used for is not known yet.
				continue
			}
			kept, precedes := o.kept(now, core, known, forShard, row.GetLatestStartUnixMs())
			share := quota.Grant(known.holder.Part(), kept, asked)
			if share.Of(known.Quota).IsZero() || known.holder.Pending() || len(writes) >= maxWorkspaces || !tokenTaken && !o.mayTransact() {
				share = quota.Share{}
			} else if write, ok := known.holder.Give(forShard, share); ok {
				tokenTaken = true
				known.pendingSince = o.config.BootTime()
				writes[known.Name], given[known.Name] = write, share
			}
			known.claim(forShard, precedes, told{asked.Sub(share), o.config.BootTime() + claimTime, row.GetLatestStartUnixMs()})
			core.SetWorkspaces([]sched.WorkspaceTerms{known.terms()})
		}
	})
	return writes, given
}

const (
	// keepTime is how long work that is held back keeps half of the quota and more that is
	// not enough for it. It is below the 3 s for which other work that fits may have nothing
	// running while less than half of the quota is used. Less may be kept for longer: a gang
	// collects its part as the tasks of other shards end.
	keepTime  = 2 * time.Second
	halfQuota = quota.Whole / 2
)

// claim notes what another shard still lacks for work that precedes that of this one.
// Otherwise the work of this shard would take what its own tasks leave before the next
// request, and a gang elsewhere would never start.
func (w *workspace) claim(shard string, precedes bool, lacking told) {
	if !precedes || lacking.share.IsZero() {
		delete(w.claims, shard)
		return
	}
	w.claims[shard] = lacking
}

// dropClaims forgets the claims for work that no longer precedes that of this shard.
func (w *workspace) dropClaims(own quota.Claimant) {
	maps.DeleteFunc(w.claims, func(shard string, claimed told) bool {
		return own.Precedes(quota.Claimant{Shard: shard, LatestStartUnixMS: claimed.latest})
	})
}

// kept is the share that the shard does not give: what it uses, and what its own waiting
// work needs if that has the earlier latest start; precedes says that the asker's has it.
func (o *Owner) kept(
	now sched.Moment, core *sched.Core, known *workspace, forShard string, latest int64,
) (kept quota.Share, precedes bool) {
	use := core.QuotaUse(known.Name)
	kept = quota.ShareFor(use, known.Quota)
	wanted, ok := core.QuotaWanted(now, known.Name)
	own := quota.Claimant{Shard: o.config.Claim.Shard, LatestStartUnixMS: wanted.LatestStartUnixMS}
	if !ok || !own.Precedes(quota.Claimant{Shard: forShard, LatestStartUnixMS: latest}) {
		return kept, true
	}
	unused := limitedTo(known.holder.Part().Sub(kept), quota.ShareFor(known.Quota, known.Quota))
	if wanted.Missing != (cairnbay.Resources{}) && wanted.HeldFor > keepTime && slices.Max(unused[:]) >= halfQuota {
		return kept, false
	}
	return kept.Max(quota.ShareFor(use.Add(wanted.Wanted), known.Quota)), false
}
