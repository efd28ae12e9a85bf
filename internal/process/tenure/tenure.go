// Package tenure decides which instance owns each worker class, through keys of
// the store that live under one lease an instance.
package tenure

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/mirror"
)

// Keys of the store.
const (
	livePrefix       = "cairnbay/live/"
	nodePrefix       = livePrefix + "node/"
	ownerPrefix      = livePrefix + "owner/"
	generationPrefix = "cairnbay/generation/"
)

// Config sets up a Tenure.
type Config struct {
	Store cairnbay.BatchStore
	Log   *logrus.Entry
	Clock cairnbay.Clock
	// BootTime is the boot-time clock.
	BootTime func() time.Duration
	// Instance and Address name this instance and where others call it; Cores and
	// LinkMbps are the processor time and bandwidth that it has.
	Instance   string
	Address    string
	DataCentre string
	Cores      float64
	LinkMbps   float64
	// LeaseTTL is how long this instance's keys outlive its last renewal.
	LeaseTTL time.Duration
	// WatchStallTimeout is the longest silence of a watch.
	WatchStallTimeout time.Duration
	// Classes lists the classes that need an owner.
	Classes func() []string
	// OnAcquired is called when this instance becomes the owner of a class, OnLost
	// when it no longer is. They must not block.
	OnAcquired func(claim Claim)
	OnLost     func(class string)
}

// Claim is the ownership of a class by this instance.
type Claim struct {
	Class string
	// Token fences the owners before at the workers.
	Token uint64
	// Generation counts the owners of the class, from 1.
	Generation uint64
	// Fence is the key that changes with the next owner.
	Fence cairnbay.Expectation
	// AfterRestart says that the owner before was this instance before it started
	// again, and so gives no orders any more.
	AfterRestart bool
	// StoreHealthyFor is how long the store had answered this instance without a failure.
	StoreHealthyFor time.Duration
	// ClaimedAt is when the claim was made, on the boot-time clock.
	ClaimedAt time.Duration
}

// Owner is the owner of a class as the store shows it.
type Owner struct {
	Instance   string
	Address    string
	Generation uint64
	// revision is that of the owner's key.
	revision cairnbay.Revision
}

// Node is a live instance.
type Node struct {
	Instance   string
	Address    string
	DataCentre string
	Cores      float64
	LinkMbps   float64
}

// Tenure keeps this instance's lease and its claims.
type Tenure struct {
	config Config
	cancel context.CancelFunc
	done   sync.WaitGroup
	mirror *mirror.Mirror
	wake   chan struct{}
	life   uint64

	mu     sync.Mutex
	owners map[string]Owner
	// known is the newest revision of each owner key that was taken note of.
	known  map[string]cairnbay.Revision
	nodes  map[string]Node
	vacant map[string]time.Duration
	claims map[string]Claim
	// everOwned are the classes that this life of the instance has claimed.
	everOwned map[string]bool
	stopping  bool
	// calmSince is when the store last failed to renew the lease, or the start.
	calmSince time.Duration
	lease     cairnbay.LeaseID
	changed   chan struct{}
}

const (
	// renewals is how many renewals fit into the time of a lease.
	renewals = 3
	// callTimeout bounds a call to the store, which answers in milliseconds.
	callTimeout = 700 * time.Millisecond
	// pollPeriod is how often vacant classes are looked at.
	pollPeriod = 100 * time.Millisecond
	// settleTime lets the instances that start together see each other before
	// the first claims.
	settleTime = 400 * time.Millisecond
	// rankDelay separates the candidates for a class, so that the second tries
	// only when the first has not.
	rankDelay = 250 * time.Millisecond
)

// New joins the instances and competes for classes.
func New(config Config) *Tenure {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Tenure{
		config: config, cancel: cancel, wake: make(chan struct{}, 1), life: rand.Uint64(),
		owners: make(map[string]Owner), known: make(map[string]cairnbay.Revision), nodes: make(map[string]Node),
		vacant: make(map[string]time.Duration), claims: make(map[string]Claim), everOwned: make(map[string]bool),
		changed: make(chan struct{}), calmSince: config.BootTime(),
	}
	t.mirror = mirror.New(mirror.Config{
		Store: config.Store, Prefix: livePrefix, Log: config.Log, StallTimeout: config.WatchStallTimeout, OnChange: t.see,
	})
	t.done.Go(func() { t.run(ctx) })
	return t
}

// Close leaves without giving anything back.
func (t *Tenure) Close() {
	t.cancel()
	t.done.Wait()
	t.mirror.Close()
}

// Resign gives up all classes and stops competing.
func (t *Tenure) Resign(ctx context.Context) {
	t.mu.Lock()
	t.stopping = true
	lease := t.lease
	t.lease = 0
	classes := make([]string, 0, len(t.claims))
	for class := range t.claims {
		classes = append(classes, class)
	}
	clear(t.claims)
	t.mu.Unlock()
	for _, class := range classes {
		t.config.OnLost(class)
	}
	if lease == 0 {
		return
	}
	if err := t.config.Store.Revoke(ctx, lease); err != nil {
		t.config.Log.WithError(err).Warn("store lease not given back; it lapses")
	}
}

// Abandon gives up a class of which a worker has shown a newer owner.
func (t *Tenure) Abandon(class string) {
	t.mu.Lock()
	_, held := t.claims[class]
	delete(t.claims, class)
	t.mu.Unlock()
	if held {
		t.config.OnLost(class)
	}
}

// Owner returns the owner of a class.
func (t *Tenure) Owner(class string) (Owner, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	owner, ok := t.owners[class]
	return owner, ok
}

// Owners lists every class that has an owner.
func (t *Tenure) Owners() map[string]Owner {
	t.mu.Lock()
	defer t.mu.Unlock()
	owners := make(map[string]Owner, len(t.owners))
	for class, owner := range t.owners {
		owners[class] = owner
	}
	return owners
}

// Changed is closed at the next change of owners.
func (t *Tenure) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Nodes lists the live instances by name.
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

// Synced says whether the store has shown the instances at least once.
func (t *Tenure) Synced() bool {
	return t.mirror.Synced()
}

// StoreFailing says whether the last call for the instances' keys failed.
func (t *Tenure) StoreFailing() bool {
	return t.mirror.Failing()
}

func (t *Tenure) nudge() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *Tenure) run(ctx context.Context) {
	cancel := t.config.Clock.Every(pollPeriod, func(time.Duration) { t.nudge() })
	defer cancel()
	renewed := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		}
		now := t.config.BootTime()
		if renewed == 0 || now-renewed >= t.config.LeaseTTL/renewals {
			if t.renew(ctx) {
				renewed = now
			} else {
				t.mu.Lock()
				t.calmSince = now
				t.mu.Unlock()
			}
		}
		t.restore(ctx)
		t.compete(ctx)
	}
}

// renew keeps the lease alive, or takes a new one with the keys that go with
// it.
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
		err := t.config.Store.Renew(ctx, lease)
		if err == nil {
			return true
		}
		if !errors.Is(err, cairnbay.ErrLeaseLapsed) {
			t.config.Log.WithError(err).Warn("store lease not renewed")
			return false
		}
		t.config.Log.Warn("store lease lapsed")
	}
	lease, err := t.config.Store.Grant(ctx, t.config.LeaseTTL)
	if err != nil {
		t.config.Log.WithError(err).Warn("no store lease")
		return false
	}
	t.mu.Lock()
	t.lease = lease
	t.mu.Unlock()
	return t.present(ctx, lease)
}

// present writes this instance's key.
func (t *Tenure) present(ctx context.Context, lease cairnbay.LeaseID) bool {
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
