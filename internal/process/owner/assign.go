package owner

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"cairnbay"
)

// replicasPerShard is the number of members besides the owner that hold a replica
// of a shard's journal.
const replicasPerShard = 2

// score is a member's rendezvous weight for a shard; the highest score owns it.
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

// shardOfWorker returns the shard that a worker belongs to.
func shardOfWorker(instance cairnbay.Instance) cairnbay.ShardID {
	return cairnbay.ShardID(instance.DataCentre + "/" + instance.Class)
}

// groupByShard groups the workers of an instance list by shard.
func groupByShard(instances []cairnbay.Instance) map[cairnbay.ShardID][]cairnbay.Instance {
	grouped := map[cairnbay.ShardID][]cairnbay.Instance{}
	for _, instance := range instances {
		if instance.Kind == cairnbay.InstanceWorker {
			id := shardOfWorker(instance)
			grouped[id] = append(grouped[id], instance)
		}
	}
	return grouped
}

// eligible filters the members that may own shards.
func eligible(members []cairnbay.Member) []cairnbay.Member {
	var found []cairnbay.Member
	for _, member := range members {
		if !member.Leaving && !member.Suspect {
			found = append(found, member)
		}
	}
	return found
}

// candidates returns the members of a shard's data centre, or all members once
// the data centre has had no eligible member for RemoteTakeoverAfter.
func (o *Owner) candidates(dataCentre string, members []cairnbay.Member, now time.Duration) []cairnbay.Member {
	var local []cairnbay.Member
	for _, member := range members {
		if member.DataCentre == dataCentre {
			local = append(local, member)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(local) > 0 {
		delete(o.emptySince, dataCentre)
		return local
	}
	since, found := o.emptySince[dataCentre]
	if !found {
		o.emptySince[dataCentre] = now
		return nil
	}
	if now-since < o.config.RemoteTakeoverAfter {
		return nil
	}
	return members
}

// assignShards ranks the members for every shard and takes over those that this
// member should own.
func (o *Owner) assignShards() {
	now := o.config.Clock.Now()
	members := eligible(o.config.Members.Live())
	for id, workers := range groupByShard(o.config.Instances()) {
		ranked := rank(id, o.candidates(workers[0].DataCentre, members, now))
		o.considerTakeover(id, ranked, now)
		if runner := o.runnerOf(id); runner != nil {
			runner.setInstances(workers)
		}
	}
	o.closeFenced(now)
	o.closeRetired()
}

// considerTakeover starts a takeover once this member has ranked first for
// StableFor.
func (o *Owner) considerTakeover(id cairnbay.ShardID, ranked []cairnbay.Member, now time.Duration) {
	self := o.config.Members.Self().ID
	o.mu.Lock()
	defer o.mu.Unlock()
	ownership := o.shards[id]
	if ownership == nil {
		ownership = &shardOwnership{firstSince: -1}
		o.shards[id] = ownership
	}
	o.updateReplica(id, ranked, self)
	if len(ranked) == 0 || ranked[0].ID != self {
		ownership.firstSince = -1
		return
	}
	if ownership.firstSince < 0 {
		ownership.firstSince = now
	}
	ready := now-ownership.firstSince >= o.config.StableFor && now >= ownership.retryAt
	if !ready || ownership.runner != nil || ownership.takingOver || o.closed || o.draining || !o.config.Members.Trusted() {
		return
	}
	ownership.takingOver = true
	o.goroutines.Go(func() { o.takeOver(id, ownership) })
}

// updateReplica creates the replica of a journal while this member ranks within
// the first replicasPerShard+1 members, and drops it otherwise.
func (o *Owner) updateReplica(id cairnbay.ShardID, ranked []cairnbay.Member, self string) {
	for i, member := range ranked {
		if i > replicasPerShard {
			break
		}
		if member.ID == self {
			if o.replicas[id] == nil {
				o.replicas[id] = newReplica()
			}
			return
		}
	}
	delete(o.replicas, id)
}

// closeFenced closes the runners that a newer epoch has fenced.
func (o *Owner) closeFenced(now time.Duration) {
	for _, runner := range o.runners() {
		epoch, fenced := runner.fencedBy()
		if !fenced {
			continue
		}
		o.mu.Lock()
		if ownership := o.shards[runner.shard]; ownership != nil && ownership.runner == runner {
			ownership.runner = nil
			ownership.fencingEpoch = epoch
			// A successor that ranks first here too is an intended change of owner.
			if ownership.firstSince >= 0 {
				o.backOff(ownership, now)
			}
		}
		o.mu.Unlock()
		runner.close()
		fencedCounter(runner.shard).Inc()
	}
}

// closeRetired closes the runners that were replaced.
func (o *Owner) closeRetired() {
	o.mu.Lock()
	retired := o.retired
	o.retired = nil
	o.mu.Unlock()
	for _, runner := range retired {
		runner.close()
	}
}

// backOff delays the next takeover, exponentially in the recent failures and with jitter.
// The shift is bounded because maxBackoff is below minBackoff<<5.
func (o *Owner) backOff(ownership *shardOwnership, now time.Duration) {
	if now-ownership.failedAt > failureMemory {
		ownership.failures = 0
	}
	ownership.failedAt = now
	wait := min(minBackoff<<min(ownership.failures, 5), maxBackoff)
	ownership.failures++
	ownership.retryAt = now + wait/2 + time.Duration(o.random.Int64N(int64(wait)))
	ownership.firstSince = -1
}
