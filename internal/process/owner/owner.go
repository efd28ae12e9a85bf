// Package owner runs the shards that this member owns. It assigns shards by
// rendezvous hashing, takes them over, drives their decision cores and serves
// requests for their jobs.
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

// Timing of shard assignment and takeover.
const (
	// defaultStableFor is how long a member must rank first for a shard
	// before it takes the shard over.
	defaultStableFor = 300 * time.Millisecond
	// defaultRemoteTakeoverAfter is how long a data centre must have had no live
	// member before members elsewhere take over its shards.
	defaultRemoteTakeoverAfter = 30 * time.Second
	// assignPeriod is the time between two assignment checks.
	assignPeriod = 250 * time.Millisecond
	// tickPeriod is the time between two ticks of a shard's core.
	tickPeriod = 100 * time.Millisecond
	// takeoverTimeout bounds the store calls of a takeover, workerCallTimeout one
	// call to a worker and peerCallTimeout one call to a member.
	takeoverTimeout   = 5 * time.Second
	workerCallTimeout = time.Second
	peerCallTimeout   = 2 * time.Second
	// reopenPeriod is the time between two attempts to take over the journal
	// while a shard runs from a replica.
	reopenPeriod = 2 * time.Second
	// Backoff after a failed takeover or after fencing, doubled each time. Jitter
	// multiplies it by 0.5 to 1.5.
	minBackoff = time.Second
	maxBackoff = 30 * time.Second
	// failureMemory is how long after the last failure the failures in a row count. It
	// exceeds the longest backoff with jitter and the takeover after it.
	failureMemory = 2 * maxBackoff
)

// Config holds the dependencies and settings of an Owner.
type Config struct {
	Clock   cairnbay.Clock
	Members cairnbay.Members
	// Store holds the journals.
	Store     cairnbay.Store
	Worker    cairnbay.Worker
	NewPlacer func(shard cairnbay.ShardID) cairnbay.Placer
	Settings  cairnbay.SettingsSource
	// Instances returns the platform's most recent instance list.
	Instances func() []cairnbay.Instance
	// Peer returns a client for another member, false when it is not reachable.
	Peer     func(memberID string) (cairnbayv1connect.MemberServiceClient, bool)
	Recorder cairnbay.Recorder
	Log      *logrus.Entry

	// StableFor is how long this member must rank first for a shard before it
	// takes the shard over. Default 300 ms.
	StableFor time.Duration
	// RemoteTakeoverAfter is how long a data centre must have had no live member
	// before members elsewhere take over its shards. Default 30 s.
	RemoteTakeoverAfter time.Duration
	// TaskLease, QuorumValidity, RenewWait and GoneAfter default to the values of
	// package shard; see shard.Config.
	TaskLease      time.Duration
	QuorumValidity time.Duration
	RenewWait      time.Duration
	GoneAfter      time.Duration
	// MarkWindow is the number of tasks by which one journal record raises a job's
	// high-water mark (commit.Mark). Above zero it overrides the settings.
	MarkWindow int
	// MarkAhead raises high-water marks before a start needs them.
	MarkAhead bool
	// OnMarkWait is called with the time that each start waited for its mark. Optional.
	OnMarkWait func(waited time.Duration)
	// Seed seeds the backoff jitter; 0 derives it from the member's ID.
	Seed uint64
}

func (c Config) withDefaults() Config {
	if c.StableFor == 0 {
		c.StableFor = defaultStableFor
	}
	if c.RemoteTakeoverAfter == 0 {
		c.RemoteTakeoverAfter = defaultRemoteTakeoverAfter
	}
	if c.Log == nil {
		c.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	if c.Seed == 0 {
		c.Seed = score("seed", c.Members.Self().ID)
	}
	return c
}

// Owner takes over and runs the shards assigned to this member.
type Owner struct {
	config Config
	// incarnation is "ID@start time in Unix ms" of this process; it is the instance
	// in the epochs of its runners.
	incarnation  string
	cancel       context.CancelFunc
	context      context.Context
	wake         chan struct{}
	spans        *spans
	stopPeriodic func()
	goroutines   sync.WaitGroup

	mu       sync.Mutex
	random   *rand.Rand
	closed   bool
	draining bool
	shards   map[cairnbay.ShardID]*shardOwnership
	// announced holds, for each shard, the owner reported with the highest epoch. An
	// entry remains after its member has lost the shard.
	announced map[cairnbay.ShardID]announcement
	replicas  map[cairnbay.ShardID]*replica
	// retired holds replaced runners that still have to be closed.
	retired []*runner
	// emptySince holds, by data centre, the clock time at which it was first seen
	// without an eligible member.
	emptySince map[string]time.Duration
}

// shardOwnership is this member's state for one shard: its rank, takeovers and
// runner.
type shardOwnership struct {
	// firstSince is the time since which this member has ranked first, -1 while
	// another member does.
	firstSince time.Duration
	// retryAt is the earliest time of the next takeover.
	retryAt time.Duration
	// failures counts failed takeovers in a row, and fencings while this member ranks
	// first; it determines the backoff. failedAt is the time of the last one.
	failures int
	failedAt time.Duration
	// fencingEpoch is the epoch that fenced the last runner, zero if it was fenced
	// through its journal only.
	fencingEpoch cairnbay.Epoch
	takingOver   bool
	runner       *runner
}

// announcement is a heartbeat's report that a member owns a shard.
type announcement struct {
	memberID   string
	epoch      cairnbay.Epoch
	receivedAt time.Duration
}

// New starts an Owner. Close stops it without a handover.
func New(config Config) *Owner {
	config = config.withDefaults()
	self := config.Members.Self()
	ctx, cancel := context.WithCancel(context.Background())
	owner := &Owner{
		config: config, incarnation: fmt.Sprintf("%s@%d", self.ID, self.StartedUnixMS),
		cancel: cancel, context: ctx, wake: make(chan struct{}, 1),
		spans:      newSpans(),
		random:     rand.New(rand.NewPCG(config.Seed, 1)),
		shards:     map[cairnbay.ShardID]*shardOwnership{},
		announced:  map[cairnbay.ShardID]announcement{},
		replicas:   map[cairnbay.ShardID]*replica{},
		emptySince: map[string]time.Duration{},
	}
	owner.stopPeriodic = config.Clock.Every(assignPeriod, func(time.Duration) { owner.notify() })
	config.Members.OnChange(owner.notify)
	config.Settings.OnChange(owner.applySettings)
	owner.goroutines.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-owner.wake:
				owner.assignShards()
			}
		}
	})
	owner.notify()
	return owner
}

// notify requests an assignment check.
func (o *Owner) notify() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// applySettings passes a new settings version to every runner.
func (o *Owner) applySettings(settings *cairnbay.Settings) {
	for _, runner := range o.runners() {
		runner.step(func(core *shard.Core, now time.Duration) { core.SetSettings(settings, now) })
	}
}

// runners lists the runners of the shards owned now.
func (o *Owner) runners() []*runner {
	o.mu.Lock()
	defer o.mu.Unlock()
	var runners []*runner
	for _, ownership := range o.shards {
		if ownership.runner != nil {
			runners = append(runners, ownership.runner)
		}
	}
	return runners
}

// runnerOf returns the runner of a shard, nil when this member does not own it.
func (o *Owner) runnerOf(id cairnbay.ShardID) *runner {
	o.mu.Lock()
	defer o.mu.Unlock()
	if ownership := o.shards[id]; ownership != nil {
		return ownership.runner
	}
	return nil
}

// Close stops every runner immediately. Running tasks continue until their leases
// lapse, unless a successor claims their workers.
func (o *Owner) Close() {
	o.stopPeriodic()
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.cancel()
	o.goroutines.Wait()
	o.closeRetired()
	for _, runner := range o.runners() {
		runner.close()
	}
}

// markWindow returns the mark window of a job's branch, in tasks.
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

// replica is this member's copy of a journal that another member writes.
type replica struct {
	journal *commit.Replica
	pulling bool
}
