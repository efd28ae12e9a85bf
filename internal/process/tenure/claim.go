package tenure

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// restoreKeys writes the instance key and the owner keys of this instance's claims
// if the local copy of the store lacks them. Claims younger than settleTime are
// skipped.
func (t *Tenure) restoreKeys(ctx context.Context) {
	t.mu.Lock()
	registered := t.registered()
	lease, stopping := t.lease, t.stopping
	var missing []Claim
	for shard, claim := range t.claims {
		if _, hasOwner := t.owners[shard]; !hasOwner && t.config.BootTime()-claim.ClaimedAt > settleTime {
			missing = append(missing, claim)
		}
	}
	t.mu.Unlock()
	if stopping || lease == 0 || !t.mirror.Synced() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !registered {
		t.register(ctx, lease)
	}
	for _, claim := range missing {
		revision, err := t.putOwner(ctx, lease, claim.Shard, 0, claim.Generation, claim.Fence, false)
		if err != nil {
			t.config.Log.WithError(err).WithField("shard", claim.Shard).Warn("owner key not restored")
			continue
		}
		t.mu.Lock()
		t.setOwner(claim.Shard, Owner{t.config.Instance, t.config.Address, claim.Generation, revision})
		t.mu.Unlock()
	}
}

// putOwner writes the owner key of a shard with the given generation, and the
// generation key as well if writeGeneration is set. Errors: cairnbay.ErrConflict
// if the owner key is not at revision expected, 0 for a shard without an owner,
// or the generation key does not match fence; cairnbay.ErrUnknown if the write was
// not answered and a read does not show it; others of the store.
func (t *Tenure) putOwner(
	ctx context.Context, lease cairnbay.LeaseID, shard string, expected cairnbay.Revision,
	generation uint64, fence cairnbay.Expectation, writeGeneration bool,
) (cairnbay.Revision, error) {
	nonce := rand.Uint64()
	value, err := proto.Marshal(&cairnbayv1.Holding{
		Instance: t.config.Instance, Address: t.config.Address, Generation: generation, Nonce: nonce,
	})
	if err != nil {
		return 0, err
	}
	key := ownerPrefix + shard
	batch := cairnbay.Batch{
		Expect: []cairnbay.Expectation{{Key: key, Revision: expected}, fence},
		Puts:   []cairnbay.Put{{Key: key, Value: value, Lease: lease}},
	}
	if writeGeneration {
		batch.Puts = append(batch.Puts, cairnbay.Put{Key: fence.Key, Value: value})
	}
	revision, err := t.config.Store.Commit(ctx, batch)
	if !errors.Is(err, cairnbay.ErrUnknown) {
		return revision, err
	}
	// The write may have taken effect: the nonce identifies it on a read.
	readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), verifyTimeout)
	defer cancel()
	stored, getErr := t.config.Store.Get(readCtx, key)
	if getErr != nil {
		return 0, err
	}
	var holding cairnbayv1.Holding
	if proto.Unmarshal(stored.Value, &holding) != nil || holding.GetNonce() != nonce {
		return 0, err
	}
	return stored.Revision, nil
}

// claimShards claims each shard that this instance may claim now.
func (t *Tenure) claimShards(ctx context.Context) {
	if !t.mirror.Synced() {
		return
	}
	for _, shard := range t.shards() {
		if t.mayClaim(shard) {
			t.claim(ctx, shard)
		}
	}
}

// shards returns the sorted names of the shards of all classes that are divided.
func (t *Tenure) shards() (names []string) {
	for _, class := range t.config.Classes() {
		if divided, ok := t.Layout(class); ok {
			names = append(names, divided.Names()...)
		}
	}
	slices.Sort(names)
	return names
}

// mayClaim reports whether the shard has no owner and this instance's delay,
// which grows with its rank, has passed.
func (t *Tenure) mayClaim(shard string) bool {
	shards := t.shards()
	t.mu.Lock()
	defer t.mu.Unlock()
	owner, hasOwner := t.owners[shard]
	_, claimed := t.claims[shard]
	if claimed || t.stopping || t.lease == 0 {
		return false
	}
	if hasOwner {
		// An owner key of this instance without a claim was written before a
		// restart, or Abandon has ended its claim. Other instances must wait until
		// the key's lease lapses; this instance need not.
		return owner.Instance == t.config.Instance
	}
	if !t.registered() {
		return false
	}
	now := t.config.BootTime()
	since, ok := t.claimDelayStart[shard]
	if !ok {
		// The first check delays the claim, so that instances that start together
		// have read each other's keys and compute the same ranks.
		t.claimDelayStart[shard] = now + settleTime
		return false
	}
	return now-since >= time.Duration(t.rank(shard, shards))*rankDelay
}

// registered reports whether the local copy of the store has the key of this instance.
// Without it the lease may have lapsed with those of the others before a renewal has
// told so, and ranks would count none of them. The caller holds the lock.
func (t *Tenure) registered() bool {
	_, ok := t.nodes[t.config.Instance]
	return ok
}

// rank counts the instances that claim a shard before this one. The shards without
// an owner that sort before it count as owned by the first instance in their line,
// so that instances which lose several owners at once share their shards. The
// caller holds the lock.
func (t *Tenure) rank(shard string, shards []string) int {
	owned := make(map[string]int)
	for _, owner := range t.owners {
		owned[owner.Instance]++
	}
	nodes := t.expectedNodes()
	for _, earlier := range shards {
		if earlier >= shard {
			break
		}
		if _, hasOwner := t.owners[earlier]; !hasOwner && len(nodes) > 0 {
			first := slices.MinFunc(nodes, func(a, b Node) int { return compareClaimants(earlier, owned, a, b) })
			owned[first.Instance]++
		}
	}
	rank := 0
	self := Node{Instance: t.config.Instance, Cores: t.config.Cores, LinkMbps: t.config.LinkMbps}
	for _, node := range nodes {
		if node.Instance != self.Instance && compareClaimants(shard, owned, node, self) < 0 {
			rank++
		}
	}
	return rank
}

// compareClaimants orders the instances that may claim a shard: those with fewer
// owned shards first, then more cores, then more bandwidth, then a higher score. The
// load of an owner grows with its shard, whatever the resources of its instance, so
// instances with more resources come first.
func compareClaimants(shard string, owned map[string]int, a, b Node) int {
	return cmp.Or(
		cmp.Compare(owned[a.Instance], owned[b.Instance]),
		-cmp.Compare(a.Cores, b.Cores),
		-cmp.Compare(a.LinkMbps, b.LinkMbps),
		-cmp.Compare(score(shard, a.Instance), score(shard, b.Instance)),
	)
}

// expectedNodes returns the live instances. If the lease of this instance has lapsed
// of late, the store was out of reach for longer than a lease, and the instances
// whose keys lapsed with it are included: the first to return would otherwise
// claim every shard, however few resources it has. The caller holds the lock.
func (t *Tenure) expectedNodes() []Node {
	nodes := slices.Collect(maps.Values(t.nodes))
	now := t.config.BootTime()
	if t.lapsedAt == 0 || now-t.lapsedAt > returnTime {
		return nodes
	}
	for instance, lapsed := range t.lapsedNodes {
		if _, live := t.nodes[instance]; !live && t.lapsedAt-lapsed.deletedAt < returnTime {
			nodes = append(nodes, lapsed.Node)
		}
	}
	return nodes
}

// score returns the weight of an instance for a shard in rendezvous hashing.
func score(shard, instance string) uint64 {
	return xxhash.Sum64String(shard + "\x00" + instance)
}

// claimedBefore reports whether this process has claimed the shard before.
func (t *Tenure) claimedBefore(shard string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.everClaimed[shard]
}

// claim makes this instance the owner of a shard under the next generation and
// calls OnAcquired; failures are logged.
func (t *Tenure) claim(ctx context.Context, shard string) {
	readCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	log := t.config.Log.WithField("shard", shard)
	fence := cairnbay.Expectation{Key: generationPrefix + shard}
	generation, afterRestart := uint64(0), false
	stored, err := t.config.Store.Get(readCtx, fence.Key)
	switch {
	case err == nil:
		var holding cairnbayv1.Holding
		if err := proto.Unmarshal(stored.Value, &holding); err != nil {
			log.WithError(err).Error("generation key not decoded")
			return
		}
		fence.Revision, generation = stored.Revision, holding.GetGeneration()
		afterRestart = holding.GetInstance() == t.config.Instance && !t.claimedBefore(shard)
	case !errors.Is(err, cairnbay.ErrNotFound):
		log.WithError(err).Warn("shard not claimed")
		return
	}
	t.mu.Lock()
	lease, expected, stopping := t.lease, cairnbay.Revision(0), t.stopping
	if owner := t.owners[shard]; owner.Instance == t.config.Instance {
		expected = owner.revision
	}
	t.mu.Unlock()
	// Resign may have come during the read. An owner key without a lease never lapses.
	if stopping || lease == 0 {
		return
	}
	claimedAt := t.config.BootTime()
	// The write has a time of its own: if a slow store carries it out after it was
	// given up, the shard has an owner that does not know of it.
	writeCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := t.putOwner(writeCtx, lease, shard, expected, generation+1, fence, true)
	if err != nil {
		// A conflict means that another claim of the shard came first.
		log.WithError(err).Warn("shard not claimed")
		t.mu.Lock()
		t.claimDelayStart[shard] = t.config.BootTime()
		t.mu.Unlock()
		return
	}
	claim := Claim{
		Shard: shard, Token: uint64(revision), Generation: generation + 1, ClaimedAt: claimedAt, AfterRestart: afterRestart,
		Fence: cairnbay.Expectation{Key: fence.Key, Revision: revision},
	}
	t.mu.Lock()
	if t.stopping {
		// Resign has come during the write; the key goes with the lease.
		t.mu.Unlock()
		return
	}
	t.claims[shard] = claim
	t.everClaimed[shard] = true
	t.setOwner(shard, Owner{t.config.Instance, t.config.Address, claim.Generation, revision})
	t.mu.Unlock()
	log.WithFields(logrus.Fields{"token": claim.Token, "generation": claim.Generation}).Info("shard claimed")
	t.config.OnAcquired(claim)
}
