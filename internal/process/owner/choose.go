package owner

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"cairnbay"
)

// copiesPerShard is how many members besides the owner keep a copy of a
// shard's journal.
const copiesPerShard = 2

// score is a member's weight for a shard; the highest is chosen.
//
// Source: Thaler and Ravishankar, Using Name-Based Mappings to Increase Hit
// Rates, 1998 (rendezvous hashing).
func score(shard, member string) uint64 {
	return xxhash.Sum64String(shard + "\x00" + member)
}

// rank orders members by their score for a shard, highest first.
func rank(shard cairnbay.ShardID, members []cairnbay.Member) []cairnbay.Member {
	ranked := append([]cairnbay.Member(nil), members...)
	sort.Slice(ranked, func(i, j int) bool {
		a, b := score(string(shard), ranked[i].ID), score(string(shard), ranked[j].ID)
		if a != b {
			return a > b
		}
		return ranked[i].ID < ranked[j].ID
	})
	return ranked
}

// shardOf is the shard of a worker.
func shardOf(instance cairnbay.Instance) cairnbay.ShardID {
	return cairnbay.ShardID(instance.DataCentre + "/" + instance.Class)
}

// group sorts the workers of a list by shard.
func group(instances []cairnbay.Instance) map[cairnbay.ShardID][]cairnbay.Instance {
	grouped := map[cairnbay.ShardID][]cairnbay.Instance{}
	for _, instance := range instances {
		if instance.Kind == cairnbay.InstanceWorker {
			id := shardOf(instance)
			grouped[id] = append(grouped[id], instance)
		}
	}
	return grouped
}

// able lists the members that may own shards.
func able(members []cairnbay.Member) []cairnbay.Member {
	var found []cairnbay.Member
	for _, member := range members {
		if !member.Leaving && !member.Suspect {
			found = append(found, member)
		}
	}
	return found
}

// candidates are the members of the shard's data centre, or all when it has
// had none for long enough.
func (o *Owner) candidates(centre string, members []cairnbay.Member, now time.Duration) []cairnbay.Member {
	var local []cairnbay.Member
	for _, member := range members {
		if member.DataCentre == centre {
			local = append(local, member)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(local) > 0 {
		delete(o.lonely, centre)
		return local
	}
	since, known := o.lonely[centre]
	if !known {
		o.lonely[centre] = now
		return nil
	}
	if now-since < o.config.RemoteTakeoverAfter {
		return nil
	}
	return members
}

// choose looks at every shard: whose it should be, and whether this member has
// to take it over.
func (o *Owner) choose() {
	now := o.config.Clock.Now()
	members := able(o.config.Members.Live())
	for id, workers := range group(o.config.Instances()) {
		ranked := rank(id, o.candidates(workers[0].DataCentre, members, now))
		o.consider(id, ranked, now)
		if run := o.runOf(id); run != nil {
			run.setInstances(workers)
		}
	}
	o.collectFenced(now)
	o.closeRetired()
}

// consider starts a takeover when the choice has been this member for long
// enough.
func (o *Owner) consider(id cairnbay.ShardID, ranked []cairnbay.Member, now time.Duration) {
	self := o.config.Members.Self().ID
	o.mu.Lock()
	defer o.mu.Unlock()
	stands := o.shards[id]
	if stands == nil {
		stands = &claim{chosen: -1}
		o.shards[id] = stands
	}
	o.considerCopy(id, ranked, self)
	if len(ranked) == 0 || ranked[0].ID != self {
		stands.chosen = -1
		return
	}
	if stands.chosen < 0 {
		stands.chosen = now
	}
	ready := now-stands.chosen >= o.config.StableFor && now >= stands.notBefore
	if !ready || stands.run != nil || stands.taking || o.closed || o.draining || !o.config.Members.Trusted() {
		return
	}
	stands.taking = true
	o.group.Go(func() { o.take(id, stands) })
}

// considerCopy keeps a copy of the journal while this member is among the
// first after the owner.
func (o *Owner) considerCopy(id cairnbay.ShardID, ranked []cairnbay.Member, self string) {
	for i, member := range ranked {
		if i > copiesPerShard {
			break
		}
		if member.ID == self {
			if o.copies[id] == nil {
				o.copies[id] = newReplica()
			}
			return
		}
	}
	delete(o.copies, id)
}

// collectFenced ends the runs that another member has outbid.
func (o *Owner) collectFenced(now time.Duration) {
	for _, run := range o.runs() {
		rival, fenced := run.fencedBy()
		if !fenced {
			continue
		}
		o.mu.Lock()
		if stands := o.shards[run.shard]; stands != nil && stands.run == run {
			stands.run = nil
			stands.rival = rival
			o.backOff(stands, now)
		}
		o.mu.Unlock()
		run.close()
		fencedTotal(run.shard).Inc()
	}
}

// closeRetired ends the runs that were replaced.
func (o *Owner) closeRetired() {
	o.mu.Lock()
	retired := o.retired
	o.retired = nil
	o.mu.Unlock()
	for _, run := range retired {
		run.close()
	}
}

// backOff waits longer after each time of being outbid, with jitter.
func (o *Owner) backOff(stands *claim, now time.Duration) {
	wait := min(backoffFloor<<min(stands.outbid, 5), backoffCeiling)
	stands.outbid++
	stands.notBefore = now + wait/2 + time.Duration(o.random.Int64N(int64(wait)))
	stands.chosen = -1
}
