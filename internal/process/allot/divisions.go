package allot

import (
	"context"
	"errors"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/mirror"
	"cairnbay/internal/process/quota"
)

const (
	// loadRetryPause is the pause before the keys are read again after a failure, or after
	// a reading that is older than the claim.
	loadRetryPause = 50 * time.Millisecond
	// createWait is how long the mirror may take to bring the keys that another owner has
	// created first.
	createWait = 50 * time.Millisecond
	// maxCreateTries bounds the tries to create a division before a pause of askPeriod. The
	// second one usually does, after a conflict about other divisions of the transaction.
	maxCreateTries = 3
)

// load reads the keys after the claim, and returns false if that has failed. What is read
// at a revision below that of the claim may lack the last writes of the former owner.
func (o *Owner) load() bool {
	o.mu.Lock()
	loaded := o.loaded
	o.mu.Unlock()
	if loaded {
		return true
	}
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	listing, err := o.config.Store.List(ctx, keyPrefix)
	if err != nil || listing.Revision < o.config.Claim.Fence.Revision {
		o.config.Log.WithError(err).WithField("revision", listing.Revision).Warn("quota divisions not read")
		o.wakeAfter(loadRetryPause)
		return false
	}
	o.mu.Lock()
	o.loaded = true
	if len(listing.Entries) > 0 && o.config.Claim.Generation > 1 {
		for _, known := range o.workspaces {
			known.overdrafts[""] = told{share: quota.Share{quota.Whole, quota.Whole, quota.Whole}, until: o.config.BootTime() + listenTime}
		}
		o.wakeAfter(listenTime)
	}
	o.mu.Unlock()
	for _, entry := range listing.Entries {
		o.observe(entry)
	}
	o.push()
	o.config.Log.WithField("divisions", len(listing.Entries)).Info("quota divisions read")
	o.mirror = mirror.New(mirror.Config{
		Store: o.config.Store, Prefix: keyPrefix, Log: o.config.Log, StallTimeout: o.config.WatchStallTimeout,
		OnChange: func(changes []cairnbay.Event) {
			for _, change := range changes {
				// A deleted key is never created again by an owner that knows it: others may
				// still use their parts.
				if change.Kind == cairnbay.EventPut {
					o.observe(change.Entry)
				} else {
					o.config.Log.WithField("key", change.Entry.Key).Error("quota division deleted; the last one stays in use")
				}
			}
			if len(changes) > 0 {
				o.push()
			}
		},
	})
	return true
}

// wakeAfter wakes run after a pause.
func (o *Owner) wakeAfter(pause time.Duration) {
	o.config.Clock.At(o.config.Clock.Now()+pause, func(time.Duration) { o.Wake() })
}

// observe adopts the division of an entry, also of a workspace that no configuration has
// yet.
func (o *Owner) observe(entry cairnbay.Entry) {
	name := strings.TrimPrefix(entry.Key, keyPrefix)
	division, err := decodeDivision(entry.Value)
	if err != nil {
		o.config.Log.WithError(err).WithField("key", entry.Key).Error("quota division not decoded")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.workspaces[name]
	if known == nil {
		// Its terms come with a configuration. A reading by then may be older than the claim.
		known = newWorkspace(o.config.Claim.Shard)
		o.workspaces[name] = known
	}
	if known.holder.Observe(entry.Revision, division) {
		close(o.changed)
		o.changed = make(chan struct{})
	}
}

// read reads the key of a workspace and adopts its division. A key that does not exist is
// no error.
func (o *Owner) read(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := o.config.Store.Get(ctx, keyPrefix+name)
	if errors.Is(err, cairnbay.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	o.observe(entry)
	return nil
}

// create writes the divisions that do not exist, with equal parts for the shards of all
// layouts. Owners that start together begin with different workspaces.
func (o *Owner) create() {
	tries := make(map[string]int)
	for o.ctx.Err() == nil {
		missing := o.missing(tries)
		if len(missing) == 0 {
			return
		}
		o.createBatch(missing)
		for _, name := range missing {
			tries[name]++
		}
	}
}

// missing returns up to maxWorkspaces names of workspaces without a division.
func (o *Owner) missing(tries map[string]int) (names []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(o.workspaces)) {
		known := o.workspaces[name]
		if !known.Quota.IsZero() && !known.holder.Known() && !known.holder.Pending() && tries[name] < maxCreateTries {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	batches := (len(names) + maxWorkspaces - 1) / maxWorkspaces
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(o.config.Claim.Shard)) // never fails
	first := int(hash.Sum32()) % batches * maxWorkspaces
	return names[first:min(first+maxWorkspaces, len(names))]
}

func (o *Owner) createBatch(names []string) {
	shards := o.config.Shards()
	if !slices.Contains(shards, o.config.Claim.Shard) {
		shards = append(shards, o.config.Claim.Shard)
	}
	slices.Sort(shards)
	writes := make(map[string]quota.Write)
	o.mu.Lock()
	for _, name := range names {
		if write, ok := o.workspaces[name].holder.Create(quota.EqualDivision(shards)); ok {
			o.workspaces[name].pendingSince = o.config.BootTime()
			writes[name] = write
		}
	}
	o.mu.Unlock()
	if len(writes) == 0 {
		return
	}
	err := o.commit(writes)
	if err == nil {
		o.config.Log.WithField("workspaces", len(writes)).Info("quotas divided")
		return
	}
	if !errors.Is(err, cairnbay.ErrConflict) {
		o.config.Log.WithError(err).Warn("quotas not divided")
		return
	}
	o.awaitKnown(names)
	for _, name := range names {
		if !o.knows(name) {
			if err := o.read(o.ctx, name); err != nil {
				o.config.Log.WithError(err).WithField("workspace", name).Warn("quota division not read")
			}
		}
	}
	// Those that still do not exist conflicted because of others in the transaction.
	o.mu.Lock()
	for _, name := range names {
		if write, ok := writes[name]; ok && !o.workspaces[name].holder.Known() {
			o.workspaces[name].holder.End(write, quota.NoEffect, 0)
		}
	}
	o.mu.Unlock()
	o.push()
}

func (o *Owner) knows(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.workspaces[name].holder.Known()
}

// awaitKnown waits up to createWait for the mirror to bring the divisions.
func (o *Owner) awaitKnown(names []string) {
	timeout := time.NewTimer(createWait)
	defer timeout.Stop()
	for {
		o.mu.Lock()
		changed := o.changed
		o.mu.Unlock()
		if !slices.ContainsFunc(names, func(name string) bool { return !o.knows(name) }) {
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			return
		case <-o.ctx.Done():
			return
		}
	}
}

// settle settles the writes whose outcome has been open for settleDelay.
func (o *Owner) settle() {
	now := o.config.BootTime()
	var open []string
	o.mu.Lock()
	for name, known := range o.workspaces {
		if known.holder.Pending() && now-known.pendingSince > settleDelay && len(open) < maxWorkspaces {
			open = append(open, name)
		}
	}
	o.mu.Unlock()
	if len(open) == 0 {
		return
	}
	for _, name := range open {
		if err := o.read(o.ctx, name); err != nil {
			o.config.Log.WithError(err).WithField("workspace", name).Warn("quota division not read")
			return
		}
	}
	writes := make(map[string]quota.Write)
	o.mu.Lock()
	for _, name := range open {
		if write, ok := o.workspaces[name].holder.Settle(); ok {
			writes[name] = write
		}
	}
	allowed := len(writes) == 0 || o.mayTransact()
	o.mu.Unlock()
	if len(writes) > 0 && allowed {
		if err := o.commit(writes); err != nil {
			o.config.Log.WithError(err).Warn("parts of quotas stay lowered until their keys are read")
		}
	}
	o.push()
}

// commit writes divisions in one transaction under the fence of the claim, and handles
// its outcome.
func (o *Owner) commit(writes map[string]quota.Write) error {
	batch := cairnbay.Batch{Expect: []cairnbay.Expectation{o.config.Claim.Fence}}
	for name, write := range writes {
		value, err := encodeDivision(name, write.Division)
		if err != nil {
			return err
		}
		batch.Expect = append(batch.Expect, cairnbay.Expectation{Key: keyPrefix + name, Revision: write.Expect})
		batch.Puts = append(batch.Puts, cairnbay.Put{Key: keyPrefix + name, Value: value})
	}
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	revision, err := o.config.Store.Commit(ctx, batch)
	outcome := quota.Unsettled
	switch {
	case err == nil:
		outcome = quota.Stored
	case errors.Is(err, cairnbay.ErrUnavailable), errors.Is(err, cairnbay.ErrRateLimited):
		outcome = quota.NoEffect
	}
	o.mu.Lock()
	for name, write := range writes {
		o.workspaces[name].holder.End(write, outcome, revision)
	}
	o.mu.Unlock()
	o.push()
	return err
}

func encodeDivision(name string, division quota.Division) ([]byte, error) {
	message := &cairnbayv1.QuotaDivision{Workspace: name, Nonce: rand.Uint64()}
	for _, shard := range slices.Sorted(maps.Keys(division)) {
		share := division[shard]
		message.Parts = append(message.Parts, &cairnbayv1.QuotaPart{
			Shard: shard, MilliCpu: uint32(share[0]), MemoryMb: uint32(share[1]), Accelerators: uint32(share[2]),
		})
	}
	return proto.Marshal(message)
}

// decodeDivision decodes the value of a key. Errors: ErrInvalid for parts that exceed the
// quota, and those of the encoding.
func decodeDivision(value []byte) (quota.Division, error) {
	var message cairnbayv1.QuotaDivision
	if err := proto.Unmarshal(value, &message); err != nil {
		return nil, err
	}
	division := make(quota.Division, len(message.GetParts()))
	for _, part := range message.GetParts() {
		division[part.GetShard()] = quota.Share{int64(part.GetMilliCpu()), int64(part.GetMemoryMb()), int64(part.GetAccelerators())}
	}
	return division, division.Check()
}
