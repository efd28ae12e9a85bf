package tenure

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// restore writes keys of this instance that the store has dropped.
func (t *Tenure) restore(ctx context.Context) {
	t.mu.Lock()
	_, shown := t.nodes[t.config.Instance]
	lease, stopping := t.lease, t.stopping
	var dropped []Claim
	for class, claim := range t.claims {
		if _, shown := t.owners[class]; !shown && t.config.BootTime()-claim.ClaimedAt > settleTime {
			dropped = append(dropped, claim)
		}
	}
	t.mu.Unlock()
	if stopping || lease == 0 || !t.mirror.Synced() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !shown {
		t.present(ctx, lease)
	}
	for _, claim := range dropped {
		revision, err := t.put(ctx, lease, claim.Class, 0, claim.Generation, claim.Fence, false)
		if err != nil {
			t.config.Log.WithError(err).WithField("class", claim.Class).Warn("owner key not restored")
			continue
		}
		t.mu.Lock()
		t.setOwner(claim.Class, Owner{t.config.Instance, t.config.Address, claim.Generation, revision})
		t.mu.Unlock()
	}
}

// put writes the owner key of a class if its revision is former, 0 for a class
// without owner, and the generation is as expected; raise makes it the next one.
func (t *Tenure) put(
	ctx context.Context, lease cairnbay.LeaseID, class string, former cairnbay.Revision,
	generation uint64, fence cairnbay.Expectation, raise bool,
) (cairnbay.Revision, error) {
	nonce := rand.Uint64()
	value, err := proto.Marshal(&cairnbayv1.Holding{
		Instance: t.config.Instance, Address: t.config.Address, Generation: generation, Nonce: nonce,
	})
	if err != nil {
		return 0, err
	}
	key := ownerPrefix + class
	batch := cairnbay.Batch{
		Expect: []cairnbay.Expectation{{Key: key, Revision: former}, fence},
		Puts:   []cairnbay.Put{{Key: key, Value: value, Lease: lease}},
	}
	if raise {
		batch.Puts = append(batch.Puts, cairnbay.Put{Key: fence.Key, Value: value})
	}
	revision, err := t.config.Store.Commit(ctx, batch)
	if !errors.Is(err, cairnbay.ErrUnknown) {
		return revision, err
	}
	stored, getErr := t.config.Store.Get(ctx, key)
	if getErr != nil {
		return 0, err
	}
	var holding cairnbayv1.Holding
	if proto.Unmarshal(stored.Value, &holding) != nil || holding.GetNonce() != nonce {
		return 0, err
	}
	return stored.Revision, nil
}

// compete claims classes without an owner, in order of this instance's rank.
func (t *Tenure) compete(ctx context.Context) {
	if !t.mirror.Synced() {
		return
	}
	for _, class := range t.config.Classes() {
		if t.due(class) {
			t.claim(ctx, class)
		}
	}
}

// due says whether this instance's turn to claim the class has come.
func (t *Tenure) due(class string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	owner, owned := t.owners[class]
	_, held := t.claims[class]
	if held || t.stopping || t.lease == 0 {
		return false
	}
	if owned {
		// The key of this instance's former life: nobody else may follow before
		// its lease ends.
		return owner.Instance == t.config.Instance
	}
	now := t.config.BootTime()
	since, ok := t.vacant[class]
	if !ok {
		// The first claim of a class waits until the instances see each other.
		t.vacant[class] = now + settleTime
		return false
	}
	return now-since >= time.Duration(t.rank(class))*rankDelay
}

// rank counts the instances that go before this one for a class: those that own
// fewer classes, then those with more processor time and bandwidth, then by
// rendezvous hashing. An owner's work grows with its class, not with its
// instance, so the strongest instances go first.
func (t *Tenure) rank(class string) int {
	load := make(map[string]int)
	for _, owner := range t.owners {
		load[owner.Instance]++
	}
	self := t.config
	rank := 0
	for _, node := range t.nodes {
		if node.Instance == self.Instance {
			continue
		}
		ahead := cmp.Or(
			cmp.Compare(load[node.Instance], load[self.Instance]),
			-cmp.Compare(node.Cores, self.Cores),
			-cmp.Compare(node.LinkMbps, self.LinkMbps),
			-cmp.Compare(score(class, node.Instance), score(class, self.Instance)),
		)
		if ahead < 0 {
			rank++
		}
	}
	return rank
}

// score is the weight of an instance for a class by rendezvous hashing.
func score(class, instance string) uint64 {
	return xxhash.Sum64String(class + "\x00" + instance)
}

// owned says whether this life of the instance has owned the class before.
func (t *Tenure) owned(class string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.everOwned[class]
}

func (t *Tenure) claim(ctx context.Context, class string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	log := t.config.Log.WithField("class", class)
	fence := cairnbay.Expectation{Key: generationPrefix + class}
	generation, formerLife := uint64(0), false
	stored, err := t.config.Store.Get(ctx, fence.Key)
	switch {
	case err == nil:
		var last cairnbayv1.Holding
		if err := proto.Unmarshal(stored.Value, &last); err != nil {
			log.WithError(err).Error("generation cannot be read")
			return
		}
		fence.Revision, generation = stored.Revision, last.GetGeneration()
		formerLife = last.GetInstance() == t.config.Instance && !t.owned(class)
	case !errors.Is(err, cairnbay.ErrNotFound):
		log.WithError(err).Warn("class not claimed")
		return
	}
	t.mu.Lock()
	lease, former := t.lease, cairnbay.Revision(0)
	if owner := t.owners[class]; owner.Instance == t.config.Instance {
		former = owner.revision
	}
	t.mu.Unlock()
	at := t.config.BootTime()
	revision, err := t.put(ctx, lease, class, former, generation+1, fence, true)
	if err != nil {
		log.WithError(err).Warn("class not claimed")
		t.mu.Lock()
		t.vacant[class] = t.config.BootTime()
		t.mu.Unlock()
		return
	}
	t.mu.Lock()
	calm := at - t.calmSince
	t.mu.Unlock()
	claim := Claim{
		Class: class, Token: uint64(revision), Generation: generation + 1, ClaimedAt: at, AfterRestart: formerLife, StoreHealthyFor: calm,
		Fence: cairnbay.Expectation{Key: fence.Key, Revision: revision},
	}
	t.mu.Lock()
	t.claims[class] = claim
	t.everOwned[class] = true
	t.setOwner(class, Owner{t.config.Instance, t.config.Address, claim.Generation, revision})
	t.mu.Unlock()
	log.WithFields(logrus.Fields{"token": claim.Token, "generation": claim.Generation}).Info("class claimed")
	t.config.OnAcquired(claim)
}
