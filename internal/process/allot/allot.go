// Package allot keeps the division of the workspaces' quotas into parts of shards in the
// store, and moves parts between the owners of shards. Its decisions are those of package
// quota.
package allot

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"cairnbay"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
	"cairnbay/internal/process/mirror"
	"cairnbay/internal/process/quota"
	"cairnbay/internal/process/sched"
	"cairnbay/internal/process/tenure"
	"cairnbay/internal/process/timer"
)

// Core is the scheduler of the shard. Edit calls a function while no decision is made, and
// has the decisions made again afterwards. The core is nil until it knows what may run, and
// then has the terms of Owner.Terms.
type Core interface {
	Edit(edit func(now sched.Moment, core *sched.Core))
}

// Config configures an Owner.
type Config struct {
	Claim tenure.Claim
	Store cairnbay.BatchStore
	// Workspaces are those of the configuration in force.
	Workspaces []cairnbay.Workspace
	// Shards returns the shards of all layouts, and Address the address of a shard's owner,
	// empty if it has none.
	Shards  func() []string
	Address func(shard string) string
	// Client returns the client for the instance at an address.
	Client   func(address string) cairnbayv1connect.RelayClient
	Clock    cairnbay.Clock
	BootTime func() time.Duration
	Log      *logrus.Entry
	// Metrics is where the counters are registered; nil for no metrics.
	Metrics *metrics.Set
	// WatchStallTimeout is how long a watch may report nothing before it is replaced.
	WatchStallTimeout time.Duration
}

const (
	// keyPrefix precedes the name of a workspace in the store key of its division.
	keyPrefix = "cairnbay/quota/"
	// askPeriod is the least interval of requests for parts.
	askPeriod = 200 * time.Millisecond
	// maxWorkspaces is the number of divisions in one transaction. With their conditions
	// and the fence it has 31 entries, of the 32 that the store allows.
	maxWorkspaces = 15
	// transactionRate and transactionBurst bound the transactions of a shard for
	// reallocation, in transactions a second.
	transactionRate  = 4.0
	transactionBurst = 4.0
	// storeTimeout bounds a call to the store, which takes 4 ms, and 240 ms while it is
	// slow.
	storeTimeout = time.Second
	// settleDelay is how long the outcome of a write may stay open before the key is read,
	// and written without a change if that does not tell.
	settleDelay = 300 * time.Millisecond
	// overdraftTime is how long an overdraft of another shard counts after it was told; it
	// is told anew with each period of requests.
	overdraftTime = time.Second
	// listenTime is how long the owner of a shard that had one before starts nothing for
	// workspaces with a quota. The owners of other shards tell it of their overdrafts within
	// a period of requests, once they know of it.
	listenTime = 300 * time.Millisecond
	// claimTime is the same for what another shard lacks for work that precedes. It exceeds
	// askPeriod by little: two shards must not hold room for each other.
	claimTime = 300 * time.Millisecond
	// heldLogPeriod is the least interval of log lines about starts of one workspace that
	// are held back.
	heldLogPeriod = 5 * time.Second
)

// Owner divides quotas on behalf of the owner of one shard. Without a workspace that has
// a quota it calls neither the store nor other instances.
type Owner struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	core   Core
	wake   chan struct{}
	meters meters
	// mirror follows the keys from the first time that they are read.
	mirror *mirror.Mirror
	// failedAt is when a call to the owner of a shard last failed, askedAt when the last
	// requests were made; run alone uses them.
	failedAt map[string]time.Duration
	askedAt  time.Duration
	// askDueAt is when run is woken for the next requests, not in the future if it is not.
	askDueAt time.Duration
	// adopted is set by a new configuration until the next requests.
	adopted atomic.Bool

	// mu guards the fields below. It may be taken within Core.Edit, not around it.
	mu         sync.Mutex
	workspaces map[string]*workspace
	// loaded is set once the keys have been read after the claim.
	loaded bool
	// changed is closed and replaced when a division is observed.
	changed chan struct{}
	tokens  float64
	// tokensAt is when tokens were last added.
	tokensAt time.Duration
}

// workspace is what is known of one workspace.
type workspace struct {
	cairnbay.Workspace
	// configured is set once a configuration had the workspace.
	configured bool
	holder     *quota.Holder
	// pendingSince is when the holder's pending write began.
	pendingSince time.Duration
	// overdrafts are what other shards run above their parts, by shard. That of no shard is
	// the whole quota and lasts for listenTime.
	overdrafts map[string]told
	// claims are what other shards still lack for work that precedes that of this one.
	claims       map[string]told
	heldLoggedAt time.Duration
}

func newWorkspace(shard string) *workspace {
	return &workspace{holder: quota.NewHolder(shard), overdrafts: make(map[string]told), claims: make(map[string]told)}
}

// told is an amount that another shard has told, and until when it counts.
type told struct {
	share quota.Share
	until time.Duration
	// latest is the latest start of the work that a claim is for.
	latest int64
}

// New returns the Owner for a claim. It does nothing until Start is called.
func New(config Config) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	config.Log = config.Log.WithField("shard", config.Claim.Shard)
	o := &Owner{
		config: config, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1), meters: newMeters(config.Metrics, config.Claim.Shard),
		failedAt: make(map[string]time.Duration), workspaces: make(map[string]*workspace), changed: make(chan struct{}),
		tokens: transactionBurst, tokensAt: config.BootTime(),
	}
	o.adopt(config.Workspaces)
	return o
}

// Start begins to divide quotas for a core that has the terms of Terms.
func (o *Owner) Start(core Core) {
	o.core = core
	o.done.Go(o.run)
}

// Close ends the requests and the writes.
func (o *Owner) Close() {
	o.cancel()
	o.done.Wait()
}

// SetWorkspaces adopts the workspaces of a newer configuration.
func (o *Owner) SetWorkspaces(workspaces []cairnbay.Workspace) {
	o.adopt(workspaces)
	o.push()
	o.adopted.Store(true)
	timer.Signal(o.wake)
}

// adopt replaces the terms of the workspaces. A workspace that is no longer in the
// configuration keeps its terms, since its accepted jobs run on.
func (o *Owner) adopt(workspaces []cairnbay.Workspace) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, adopted := range workspaces {
		known := o.workspaces[adopted.Name]
		if known == nil {
			known = newWorkspace(o.config.Claim.Shard)
			o.workspaces[adopted.Name] = known
		}
		known.Workspace, known.configured = adopted, true
	}
}

// Terms returns the terms of all workspaces for the core.
func (o *Owner) Terms() []sched.WorkspaceTerms {
	o.mu.Lock()
	defer o.mu.Unlock()
	terms := make([]sched.WorkspaceTerms, 0, len(o.workspaces))
	for _, known := range o.workspaces {
		if known.configured {
			terms = append(terms, known.terms())
		}
	}
	return terms
}

// terms returns what the core may use: the part less what other shards run above theirs,
// and less what they claim. Claims leave this shard half of the quota, so that its work is
// not held back while less than half is used.
func (w *workspace) terms() sched.WorkspaceTerms {
	claimed := sum(w.claims).Min(quota.Share{halfQuota, halfQuota, halfQuota})
	part := w.holder.Part().Sub(w.overdrawnElsewhere()).Sub(claimed)
	return sched.WorkspaceTerms{Name: w.Name, Weight: w.Weight, Quota: w.Quota, Part: part.Of(w.Quota)}
}

func (w *workspace) overdrawnElsewhere() quota.Share {
	return sum(w.overdrafts)
}

func sum(amounts map[string]told) (total quota.Share) {
	for _, one := range amounts {
		total = total.Add(one.share)
	}
	return total
}

// limited reports whether any workspace has a quota.
func (o *Owner) limited() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, known := range o.workspaces {
		if !known.Quota.IsZero() {
			return true
		}
	}
	return false
}

// push passes the terms to the core.
func (o *Owner) push() {
	if o.core == nil {
		return
	}
	o.core.Edit(func(_ sched.Moment, core *sched.Core) {
		if core != nil {
			core.SetWorkspaces(o.Terms())
		}
	})
}

// Wake has the demands of the core considered soon. It does not block.
func (o *Owner) Wake() {
	timer.Signal(o.wake)
}

func (o *Owner) run() {
	defer o.config.Clock.Every(askPeriod, func(time.Duration) { timer.Signal(o.wake) })()
	defer func() {
		if o.mirror != nil {
			o.mirror.Close()
		}
	}()
	for {
		if o.limited() && o.load() {
			o.create()
			o.settle()
			if !o.expire() {
				o.ask()
			}
		}
		select {
		case <-o.ctx.Done():
			return
		case <-o.wake:
		}
	}
}

// expire forgets what other shards have not repeated, and reports whether listenTime has
// not passed.
func (o *Owner) expire() (listening bool) {
	now := o.config.BootTime()
	expired := false
	o.mu.Lock()
	for _, known := range o.workspaces {
		for _, amounts := range []map[string]told{known.overdrafts, known.claims} {
			before := len(amounts)
			maps.DeleteFunc(amounts, func(_ string, one told) bool { return one.until <= now })
			expired = expired || len(amounts) < before
		}
		if _, lasts := known.overdrafts[""]; lasts {
			listening = true
		}
	}
	o.mu.Unlock()
	if expired {
		o.push()
	}
	return listening
}

// mayTransact takes a token for a transaction; the caller holds the lock.
func (o *Owner) mayTransact() bool {
	now := o.config.BootTime()
	o.tokens = min(transactionBurst, o.tokens+(now-o.tokensAt).Seconds()*transactionRate)
	o.tokensAt = now
	if o.tokens < 1 {
		return false
	}
	o.tokens--
	return true
}
