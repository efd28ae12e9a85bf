// Package owner runs the shards that this member owns: it chooses them by
// rendezvous, takes them over, drives their decision cores and answers for
// their jobs.
package owner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cairnbay"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
	"cairnbay/internal/process/commit"
	"cairnbay/internal/process/shard"
)

// Times of choosing shards.
const (
	// defaultSettle is how long the rendezvous choice must stand before a
	// member claims.
	defaultSettle = 300 * time.Millisecond
	// defaultForeignAfter is how long a data centre must have had no live
	// member before members elsewhere take its shards.
	defaultForeignAfter = 30 * time.Second
	// choosePeriod is the time between two looks at the choice.
	choosePeriod = 250 * time.Millisecond
	// tickPeriod drives the cores.
	tickPeriod = 100 * time.Millisecond
	// takeTimeout bounds a takeover's store calls, callTimeout one call to a
	// worker, peerTimeout one call to a member.
	takeTimeout = 5 * time.Second
	callTimeout = time.Second
	peerTimeout = 2 * time.Second
	// reopenPeriod is the time between two tries to reach the journal while
	// the owner works from a copy.
	reopenPeriod = 2 * time.Second
	// Backoff after having been outbid, doubled each time.
	backoffFloor   = time.Second
	backoffCeiling = 30 * time.Second
)

// Config holds what an Owner depends on.
type Config struct {
	Clock   cairnbay.Clock
	Members cairnbay.Members
	// Store is the platform's store as used for journals.
	Store     cairnbay.Store
	Worker    cairnbay.Worker
	NewPlacer func(shard cairnbay.ShardID) cairnbay.Placer
	Settings  cairnbay.SettingsSource
	// Instances is the platform's list as last seen.
	Instances func() []cairnbay.Instance
	// Peer reaches another member.
	Peer     func(memberID string) (cairnbayv1connect.MemberServiceClient, bool)
	Recorder cairnbay.Recorder
	Log      *logrus.Entry

	// StableFor and RemoteTakeoverAfter default to 300 ms and 30 s.
	StableFor           time.Duration
	RemoteTakeoverAfter time.Duration
	// TaskLease, QuorumValidity, RenewWait and GoneAfter default to those of package shard.
	TaskLease      time.Duration
	QuorumValidity time.Duration
	RenewWait      time.Duration
	GoneAfter      time.Duration
	// MarkWindow overrides the settings' window where above zero.
	MarkWindow int
	// MarkAhead raises marks before a start needs them.
	MarkAhead bool
	// OnMarkWait is told how long each start waited for its mark; optional.
	OnMarkWait func(waited time.Duration)
	// Seed feeds the jitter; 0 takes one from the member's ID.
	Seed uint64
}

func (c Config) withDefaults() Config {
	if c.StableFor == 0 {
		c.StableFor = defaultSettle
	}
	if c.RemoteTakeoverAfter == 0 {
		c.RemoteTakeoverAfter = defaultForeignAfter
	}
	if c.Log == nil {
		c.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	if c.Seed == 0 {
		c.Seed = score("seed", c.Members.Self().ID)
	}
	return c
}

// Owner owns shards.
type Owner struct {
	config  Config
	life    string
	cancel  context.CancelFunc
	context context.Context
	wake    chan struct{}
	spans   *spans
	forget  func()
	group   sync.WaitGroup

	mu       sync.Mutex
	random   *rand.Rand
	closed   bool
	draining bool
	shards   map[cairnbay.ShardID]*claim
	// holders is who said on heartbeats to hold a shard.
	holders map[cairnbay.ShardID]holder
	copies  map[cairnbay.ShardID]*replica
	// retired are runs that were replaced and have to be closed.
	retired []*run
	// lonely is since when a data centre has had no live member.
	lonely map[string]time.Duration
}

// claim is how a shard stands with this member.
type claim struct {
	// chosen is since when this member has been the choice, -1 while it is not.
	chosen    time.Duration
	notBefore time.Duration
	outbid    int
	rival     cairnbay.Epoch
	taking    bool
	run       *run
}

// holder is a member that said to hold a shard.
type holder struct {
	member string
	epoch  cairnbay.Epoch
	heard  time.Duration
}

// New starts owning shards. Close ends it without handing over.
func New(config Config) *Owner {
	config = config.withDefaults()
	self := config.Members.Self()
	ctx, cancel := context.WithCancel(context.Background())
	owner := &Owner{
		config: config, life: fmt.Sprintf("%s@%d", self.ID, self.StartedUnixMS),
		cancel: cancel, context: ctx, wake: make(chan struct{}, 1),
		spans:   newSpans(),
		random:  rand.New(rand.NewPCG(config.Seed, 1)),
		shards:  map[cairnbay.ShardID]*claim{},
		holders: map[cairnbay.ShardID]holder{},
		copies:  map[cairnbay.ShardID]*replica{},
		lonely:  map[string]time.Duration{},
	}
	owner.forget = config.Clock.Every(choosePeriod, func(time.Duration) { owner.nudge() })
	config.Members.OnChange(owner.nudge)
	config.Settings.OnChange(owner.adopt)
	owner.group.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-owner.wake:
				owner.choose()
			}
		}
	})
	owner.nudge()
	return owner
}

func (o *Owner) nudge() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// adopt passes a new settings version to every shard.
func (o *Owner) adopt(settings *cairnbay.Settings) {
	for _, run := range o.runs() {
		run.step(func(core *shard.Core, now time.Duration) { core.SetSettings(settings, now) })
	}
}

// runs lists the shards owned at the moment.
func (o *Owner) runs() []*run {
	o.mu.Lock()
	defer o.mu.Unlock()
	var runs []*run
	for _, claim := range o.shards {
		if claim.run != nil {
			runs = append(runs, claim.run)
		}
	}
	return runs
}

// runOf returns the run of a shard, nil when this member does not own it.
func (o *Owner) runOf(id cairnbay.ShardID) *run {
	o.mu.Lock()
	defer o.mu.Unlock()
	if claim := o.shards[id]; claim != nil {
		return claim.run
	}
	return nil
}

// Close stops owning at once; tasks run on until a successor claims them or
// their leases lapse.
func (o *Owner) Close() {
	o.forget()
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.cancel()
	o.group.Wait()
	o.closeRetired()
	for _, run := range o.runs() {
		run.close()
	}
}

// markWindow gives the window of a job by its branch.
func (o *Owner) markWindow(job cairnbay.Job) int {
	if o.config.MarkWindow > 0 {
		return o.config.MarkWindow
	}
	settings := o.config.Settings.Current()
	if settings != nil {
		if branch := settings.Branches[job.Branch]; branch != nil && branch.Placing.MarkWindow > 0 {
			return branch.Placing.MarkWindow
		}
	}
	return shard.DefaultMarkWindow
}

// replica is a copy of another member's journal.
type replica struct {
	copied  *commit.Replica
	pulling bool
}
