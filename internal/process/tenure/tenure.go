// Package tenure elects the instance that owns each shard of a worker class. Ownership
// is a key in the store that is attached to the owner's lease.
package tenure

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/fresh"
	"cairnbay/internal/process/layout"
	"cairnbay/internal/process/mirror"
	"cairnbay/internal/process/timer"
)

// Prefixes of the store's keys. Those below livePrefix are attached to leases.
const (
	livePrefix       = "cairnbay/live/"
	nodePrefix       = livePrefix + "node/"
	ownerPrefix      = livePrefix + "owner/"
	generationPrefix = "cairnbay/generation/"
	// layoutPrefix is below livePrefix, so that one watch follows both. Layouts are
	// attached to no lease.
	layoutPrefix = livePrefix + "layout/"
)

// Config configures a Tenure.
type Config struct {
	Store cairnbay.BatchStore
	Log   *logrus.Entry
	Clock cairnbay.Clock
	// BootTime returns the time since the machine started, suspension included.
	BootTime func() time.Duration
	// Instance is this instance's name, and Address the address that other
	// instances call it at.
	Instance   string
	Address    string
	DataCentre string
	// Cores is the processor capacity of this instance, in cores; LinkMbps is its
	// bandwidth in Mbit/s.
	Cores    float64
	LinkMbps float64
	// LeaseTTL is how long this instance's keys stay in the store after the last
	// renewal of its lease.
	LeaseTTL time.Duration
	// WatchStallTimeout is how long a watch may return nothing before it is
	// reopened.
	WatchStallTimeout time.Duration
	// Classes returns the classes that need owners.
	Classes func() []string
	// Divide returns the layout of a class that has none yet; false while its
	// workers are not known.
	Divide func(ctx context.Context, class string) (layout.Layout, bool)
	// OnAcquired is called after this instance becomes the owner of a shard, and
	// OnLost after the claim has ended. Neither may block. OnLost may run on any
	// goroutine and is not ordered with OnAcquired: the shard may have been claimed
	// again before.
	OnAcquired, OnLost func(claim Claim)
}

// Claim describes this instance's ownership of a shard.
type Claim struct {
	Shard string
	// Token is the fencing token, the revision at which the claim was written.
	// Workers reject orders with a lower token than one that they have seen.
	Token uint64
	// Generation is the number of this ownership of the shard, counted from 1.
	Generation uint64
	// Fence is the condition that the generation key is still at the revision of
	// this claim. Writes under it fail with cairnbay.ErrConflict after another claim
	// of the shard.
	Fence cairnbay.Expectation
	// AfterRestart reports that the previous owner was an earlier process of this
	// instance. That process has ended, so it gives no more orders.
	AfterRestart bool
	// ClaimedAt is the time just before the claim was written, on the boot-time
	// clock.
	ClaimedAt time.Duration
}

// Owner is the owner of a shard according to the store.
type Owner struct {
	Instance   string
	Address    string
	Generation uint64
	// revision is the revision of the owner key.
	revision cairnbay.Revision
}

// Node describes an instance whose lease is live.
type Node struct {
	Instance   string
	Address    string
	DataCentre string
	// Cores is the instance's processor capacity in cores, LinkMbps its bandwidth in
	// Mbit/s.
	Cores    float64
	LinkMbps float64
}

// lapsedNode is an instance whose key was deleted at a time on the boot-time clock.
type lapsedNode struct {
	Node
	deletedAt time.Duration
}

// Tenure renews this instance's lease, claims shards without an owner, and
// follows the instances and owners in the store.
type Tenure struct {
	config Config
	cancel context.CancelFunc
	done   sync.WaitGroup
	mirror *mirror.Mirror
	// layoutReads reads the layouts and adopts them.
	layoutReads *fresh.Reader[map[string]layout.Layout]
	// wake makes run check the shards, renewalDue makes renewLoop check the lease.
	wake, renewalDue chan struct{}
	// life is a random number that identifies this process in the instance key.
	life uint64

	mu     sync.Mutex
	owners map[string]Owner
	// ownerRevisions holds the highest applied revision of each owner key, by shard.
	ownerRevisions map[string]cairnbay.Revision
	nodes          map[string]Node
	layouts        map[string]layout.Layout
	// lapsedNodes holds the instances whose keys were deleted. After an outage of
	// the store that outlasted the leases, they are about to return.
	lapsedNodes map[string]lapsedNode
	// lapsedAt is the time on the boot-time clock at which this instance found its
	// own lease lapsed; 0 for never.
	lapsedAt time.Duration
	// claimDelayStart is the time, on the boot-time clock, at which the claim delay
	// of a shard without an owner starts: settleTime ahead when the shard is first
	// checked, otherwise the deletion of the owner key or the last failed claim.
	claimDelayStart map[string]time.Duration
	// divideDelayStart is the same for the layout of a class.
	divideDelayStart map[string]time.Duration
	claims           map[string]Claim
	// everClaimed holds the shards that this process has claimed at least once.
	everClaimed map[string]bool
	stopping    bool
	// lease is 0 before the first grant and after Resign.
	lease cairnbay.LeaseID
	// renewedAt is when the last renewal or grant was sent, on the boot-time clock. Only
	// renewLoop uses it.
	renewedAt time.Duration
	// changed is closed and replaced at each change of instances or owners.
	changed chan struct{}
}

const (
	// renewalsPerLease is the number of renewals per LeaseTTL.
	renewalsPerLease = 3
	// callTimeout bounds the store calls of one renewal or one restoreKeys together,
	// and those of the read and of the write of a claim; the store normally answers
	// in milliseconds.
	callTimeout = 700 * time.Millisecond
	// verifyTimeout bounds the read after a write without an answer. With
	// callTimeout it stays within the time between two renewals of the lease.
	verifyTimeout = 200 * time.Millisecond
	// layoutReadInterval is the least time between two reads of the layouts for callers.
	layoutReadInterval = 20 * time.Millisecond
	// pollPeriod is the interval between checks of the lease and of the shards
	// without an owner.
	pollPeriod = 100 * time.Millisecond
	// settleTime delays the first claims until instances that start together have
	// read each other's keys. A claim that is younger is not restored, since the
	// watch may not have returned its key yet.
	settleTime = 400 * time.Millisecond
	// returnTime is how long after an outage of the store the instances whose keys
	// lapsed in it are expected to return.
	returnTime = 3 * time.Second
	// rankDelay is the delay of a claim per rank, so that an instance claims a
	// shard only if those ranked before it have not.
	rankDelay = 250 * time.Millisecond
)

// New starts to register this instance and to claim shards in the background,
// until Resign or Close.
func New(config Config) *Tenure {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Tenure{
		config: config, cancel: cancel, wake: make(chan struct{}, 1), renewalDue: make(chan struct{}, 1), life: rand.Uint64(),
		owners: make(map[string]Owner), ownerRevisions: make(map[string]cairnbay.Revision), nodes: make(map[string]Node),
		layouts:         make(map[string]layout.Layout),
		lapsedNodes:     make(map[string]lapsedNode),
		claimDelayStart: make(map[string]time.Duration), divideDelayStart: make(map[string]time.Duration),
		claims: make(map[string]Claim), everClaimed: make(map[string]bool), changed: make(chan struct{}),
	}
	t.mirror = mirror.New(mirror.Config{
		Store: config.Store, Prefix: livePrefix, Log: config.Log, StallTimeout: config.WatchStallTimeout, OnChange: t.onChange,
	})
	t.layoutReads = fresh.New(fresh.Config[map[string]layout.Layout]{
		Timeout: callTimeout, Interval: layoutReadInterval, Read: t.readLayouts,
	})
	t.done.Go(func() { t.renewLoop(ctx) })
	t.done.Go(func() { t.run(ctx) })
	return t
}

// Close stops renewals, claims and the watch. It does not revoke the lease, so the
// keys of this instance stay until the lease lapses.
func (t *Tenure) Close() {
	t.cancel()
	t.done.Wait()
	t.mirror.Close()
	t.layoutReads.Close()
}

// Resign gives up all shards, stops claiming and revokes the lease. If the
// revocation fails, other instances can claim the shards only after LeaseTTL.
func (t *Tenure) Resign(ctx context.Context) {
	t.mu.Lock()
	t.stopping = true
	lease := t.lease
	t.lease = 0
	claims := slices.Collect(maps.Values(t.claims))
	clear(t.claims)
	t.mu.Unlock()
	for _, claim := range claims {
		t.config.OnLost(claim)
	}
	if lease == 0 {
		return
	}
	if err := t.config.Store.Revoke(ctx, lease); err != nil {
		t.config.Log.WithError(err).Warn("store lease not revoked; its keys stay until it lapses")
	}
}

// Abandon ends a claim of this instance after a worker or the store has reported a newer
// owner. The owner key stays as it is, and so does a later claim of the shard.
func (t *Tenure) Abandon(claim Claim) {
	shard := claim.Shard
	t.mu.Lock()
	current, claimed := t.claims[shard]
	claimed = claimed && current.Generation <= claim.Generation
	if claimed {
		delete(t.claims, shard)
	}
	t.mu.Unlock()
	if claimed {
		t.config.OnLost(current)
	}
}

// Owner returns the owner of a shard in the local copy of the store.
func (t *Tenure) Owner(shard string) (Owner, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	owner, ok := t.owners[shard]
	return owner, ok
}

// Owners returns the owners in the local copy of the store, by shard.
func (t *Tenure) Owners() map[string]Owner {
	t.mu.Lock()
	defer t.mu.Unlock()
	owners := make(map[string]Owner, len(t.owners))
	for shard, owner := range t.owners {
		owners[shard] = owner
	}
	return owners
}

// Layout returns the division of a class in the local copy of the store; false while
// it has none.
func (t *Tenure) Layout(class string) (layout.Layout, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found, ok := t.layouts[class]
	return found, ok
}

// Layouts returns the divisions of all classes, by class.
func (t *Tenure) Layouts() map[string]layout.Layout {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.layouts)
}

// ReadLayouts returns the divisions of all classes in the store at some time after the
// call. Errors: of the store, cairnbay.ErrClosed, or the context's.
func (t *Tenure) ReadLayouts(ctx context.Context) (map[string]layout.Layout, error) {
	return t.layoutReads.Get(ctx)
}

func (t *Tenure) readLayouts(ctx context.Context) (map[string]layout.Layout, error) {
	listing, err := t.config.Store.List(ctx, layoutPrefix)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	for _, entry := range listing.Entries {
		t.applyLayout(strings.TrimPrefix(entry.Key, layoutPrefix), cairnbay.Event{Kind: cairnbay.EventPut, Entry: entry})
	}
	t.mu.Unlock()
	return t.Layouts(), nil
}

// Changed returns a channel that is closed at the next change of instances or
// owners in the store.
func (t *Tenure) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Nodes returns the live instances, sorted by name.
func (t *Tenure) Nodes() []Node {
	t.mu.Lock()
	defer t.mu.Unlock()
	nodes := make([]Node, 0, len(t.nodes))
	for _, node := range t.nodes {
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(a.Instance, b.Instance) })
	return nodes
}

// Synced reports whether the instances and owners have been read at least once.
func (t *Tenure) Synced() bool {
	return t.mirror.Synced()
}

// StoreFailing reports whether reads of the instances and owners are failing, as
// defined by mirror.Mirror.Failing.
func (t *Tenure) StoreFailing() bool {
	return t.mirror.Failing()
}

// renewLoop renews the lease after each LeaseTTL/renewalsPerLease, or at the next
// check after a failure. It is apart from run: the calls of a claim may take longer
// than the lease lasts.
func (t *Tenure) renewLoop(ctx context.Context) {
	cancel := t.config.Clock.Every(pollPeriod, func(time.Duration) { timer.Signal(t.renewalDue) })
	defer cancel()
	lastRenewal := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.renewalDue:
		}
		now := t.config.BootTime()
		if lastRenewal > 0 && now-lastRenewal < t.config.LeaseTTL/renewalsPerLease {
			continue
		}
		if t.renew(ctx) {
			lastRenewal = now
		}
	}
}

// run restores keys, divides classes and claims shards, at each change of the keys
// and at least every pollPeriod.
func (t *Tenure) run(ctx context.Context) {
	cancel := t.config.Clock.Every(pollPeriod, func(time.Duration) { timer.Signal(t.wake) })
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		}
		t.restoreKeys(ctx)
		t.divideClasses(ctx)
		t.claimShards(ctx)
	}
}

// renew renews the lease, or gets a new one and registers this instance under
// it. It reports success; failures are logged.
func (t *Tenure) renew(ctx context.Context) bool {
	t.mu.Lock()
	lease, stopping := t.lease, t.stopping
	t.mu.Unlock()
	if stopping {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if lease != 0 {
		sent := t.config.BootTime()
		err := t.config.Store.Renew(ctx, lease)
		if err == nil {
			t.renewedAt = sent
			return true
		}
		if !errors.Is(err, cairnbay.ErrLeaseLapsed) {
			t.config.Log.WithError(err).Warn("store lease not renewed")
			return false
		}
		t.config.Log.WithField("since_renewal_ms", (sent - t.renewedAt).Milliseconds()).Warn("store lease lapsed")
		t.mu.Lock()
		t.lapsedAt = t.config.BootTime()
		t.mu.Unlock()
	}
	sent := t.config.BootTime()
	lease, err := t.config.Store.Grant(ctx, t.config.LeaseTTL)
	if err != nil {
		t.config.Log.WithError(err).Warn("store lease not granted")
		return false
	}
	t.mu.Lock()
	if stopping = t.stopping; !stopping {
		t.lease = lease
	}
	t.mu.Unlock()
	if stopping {
		// Resign has come during the calls, and does not know of this lease.
		if err := t.config.Store.Revoke(ctx, lease); err != nil {
			t.config.Log.WithError(err).Warn("store lease not revoked")
		}
		return true
	}
	t.renewedAt = sent
	return t.register(ctx, lease)
}

// register writes this instance's key. It reports success; failures are logged.
func (t *Tenure) register(ctx context.Context, lease cairnbay.LeaseID) bool {
	value, err := proto.Marshal(&cairnbayv1.Presence{
		Instance: t.config.Instance, Address: t.config.Address, Cores: t.config.Cores,
		DataCentre: t.config.DataCentre, Life: t.life, LinkMbps: t.config.LinkMbps,
	})
	if err != nil {
		t.config.Log.WithError(err).Error("instance key not written")
		return false
	}
	_, err = t.config.Store.Commit(ctx, cairnbay.Batch{
		Puts: []cairnbay.Put{{Key: nodePrefix + t.config.Instance, Value: value, Lease: lease}},
	})
	if err != nil {
		t.config.Log.WithError(err).Warn("instance key not written")
	}
	return err == nil
}
