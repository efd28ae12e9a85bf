package apply

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
	"cairnbay/internal/version/tree"
)

var (
	_ cairnbay.SettingsSource    = (*Follower)(nil)
	_ cairnbay.HeartbeatDelegate = (*Follower)(nil)
)

// How often a follower looks by itself; both are jittered.
const (
	// holderReread bounds how long a silently dead watch goes unnoticed.
	holderReread = 3 * time.Second
	// otherReread is for members that do not hold their data centre's watch.
	otherReread = 8 * time.Second
	// callTimeout bounds one look at the store and one pull from a peer.
	callTimeout = 2 * time.Second
	// watchPause is the pause after a watch broke.
	watchPause = 500 * time.Millisecond
	// awaitStep is the pause between two looks at members.
	awaitStep = 100 * time.Millisecond
	// pullSources is how many peers are asked before the store is.
	pullSources = 3
)

// FollowerConfig sets up a Follower.
type FollowerConfig struct {
	// Store is the store as used for cairnbay.PurposeSettings.
	Store   cairnbay.Store
	Clock   cairnbay.Clock
	Members cairnbay.Members
	// Peer returns the client of a member.
	Peer func(id string) (cairnbayv1connect.MemberServiceClient, bool)
	// Announce sends heartbeats at once; called after a version was adopted
	// from the store. May be nil.
	Announce func()
	// Seed makes the jitter.
	Seed    uint64
	Log     logrus.FieldLogger
	Metrics *metrics.Set
}

// Follower holds the version in force on this member. It implements
// cairnbay.SettingsSource, and cairnbay.HeartbeatDelegate to hear of versions from peers.
type Follower struct {
	config  FollowerConfig
	current atomic.Pointer[version]
	wake    chan struct{}
	cancel  context.CancelFunc
	running sync.WaitGroup

	// adopting serialises adoption, so that callbacks see rising versions.
	adopting sync.Mutex
	steps    []step

	mu        sync.Mutex
	random    *rand.Rand
	callbacks []func(*cairnbay.Settings)
	// hinted is the peer that was last heard with a higher version.
	hinted string

	adopted map[source]*metrics.Counter
	failed  *metrics.Counter
}

// version is one adopted version, whole.
type version struct {
	settings *cairnbay.Settings
	tree     *tree.Tree
	content  []byte
}

// source says where a version came from.
type source string

const (
	fromStore source = "store"
	fromPeer  source = "peer"
)

// NewFollower starts a follower; it has no version until it finds one. Close
// ends it.
func NewFollower(config FollowerConfig) *Follower {
	config = followerDefaults(config)
	ctx, cancel := context.WithCancel(context.Background())
	follower := &Follower{
		config: config, cancel: cancel, wake: make(chan struct{}, 1),
		random: rand.New(rand.NewPCG(config.Seed, 2)),
		adopted: map[source]*metrics.Counter{
			fromStore: config.Metrics.GetOrCreateCounter(`cairnbay_settings_adopted_total{source="store"}`),
			fromPeer:  config.Metrics.GetOrCreateCounter(`cairnbay_settings_adopted_total{source="peer"}`),
		},
		failed: config.Metrics.GetOrCreateCounter(`cairnbay_settings_failures_total`),
	}
	config.Metrics.GetOrCreateGauge(`cairnbay_settings_version_number`, func() float64 {
		number, _ := follower.Version()
		return float64(number)
	})
	follower.running.Go(func() { follower.read(ctx) })
	follower.running.Go(func() { follower.watch(ctx) })
	return follower
}

func followerDefaults(config FollowerConfig) FollowerConfig {
	if config.Announce == nil {
		config.Announce = func() {}
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	if config.Log == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		config.Log = silent
	}
	return config
}

// Close ends the follower and waits for it.
func (f *Follower) Close() {
	f.cancel()
	f.running.Wait()
}

// Current implements cairnbay.SettingsSource.
func (f *Follower) Current() *cairnbay.Settings {
	if held := f.current.Load(); held != nil {
		return held.settings
	}
	return nil
}

// Tree returns the declarations in force, nil before the first version.
func (f *Follower) Tree() *tree.Tree {
	if held := f.current.Load(); held != nil {
		return held.tree
	}
	return nil
}

// Version returns the version in force and its digest; 0 before the first.
func (f *Follower) Version() (number uint64, digest string) {
	if settings := f.Current(); settings != nil {
		return settings.Version, settings.Digest
	}
	return 0, ""
}

// OnChange implements cairnbay.SettingsSource. A version that is in force
// already is reported at once.
func (f *Follower) OnChange(adopted func(*cairnbay.Settings)) {
	f.adopting.Lock()
	defer f.adopting.Unlock()
	f.mu.Lock()
	f.callbacks = append(f.callbacks, adopted)
	f.mu.Unlock()
	if settings := f.Current(); settings != nil {
		adopted(settings)
	}
}

// FillHeartbeat implements cairnbay.HeartbeatDelegate. The version itself stands in the
// sender's digest.
func (f *Follower) FillHeartbeat(_ cairnbay.Member, beat *cairnbayv1.Heartbeat) {
	_, beat.SettingsDigest = f.Version()
}

// HandleHeartbeat implements cairnbay.HeartbeatDelegate.
func (f *Follower) HandleHeartbeat(peer cairnbay.Member, beat *cairnbayv1.Heartbeat) {
	number, _ := f.Version()
	if beat.GetSelf().GetSettingsVersion() <= number {
		return
	}
	f.mu.Lock()
	f.hinted = peer.ID
	f.mu.Unlock()
	f.nudge()
}

func (f *Follower) nudge() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// read looks at peers when one is ahead, and at the store once a period.
func (f *Follower) read(ctx context.Context) {
	for {
		next := f.config.Clock.Now() + f.rereadPeriod()
		if err := f.readStore(ctx); err != nil {
			f.failed.Inc()
			f.config.Log.WithError(err).Debug("settings not read from the store")
		}
		f.pullAhead(ctx)
		for f.config.Clock.Now() < next {
			if !f.await(ctx, next) {
				return
			}
			f.pullAhead(ctx)
		}
	}
}

// await waits for a hint or a moment; false says that the follower ends.
func (f *Follower) await(ctx context.Context, until time.Duration) bool {
	over := make(chan struct{})
	defer f.config.Clock.At(until, func(time.Duration) { close(over) })()
	select {
	case <-f.wake:
	case <-over:
	case <-ctx.Done():
		return false
	}
	return true
}

func (f *Follower) rereadPeriod() time.Duration {
	period := otherReread
	if f.holdsWatch() {
		period = holderReread
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return period*3/4 + time.Duration(f.random.Int64N(int64(period/4)))
}

// readStore adopts the newest version of the store.
func (f *Follower) readStore(ctx context.Context) error {
	ctx, cancel := bounded(ctx, f.config.Clock)
	defer cancel()
	head, _, err := readHead(ctx, f.config.Store)
	if err != nil {
		return err
	}
	return f.takeHead(ctx, head)
}

func (f *Follower) takeHead(ctx context.Context, head Head) error {
	if number, _ := f.Version(); head.Version <= number {
		return nil
	}
	content, err := readContent(ctx, f.config.Store, head.Record)
	if err != nil {
		return err
	}
	label := tree.VersionInfo{Version: head.Version, Digest: head.Digest, ChangeID: head.ChangeID}
	return f.adopt(label, content, fromStore)
}

// adopt checks a content and brings it into force.
func (f *Follower) adopt(label tree.VersionInfo, content []byte, from source) error {
	if found := tree.Digest(content); found != label.Digest {
		return errors.Annotatef(cairnbay.ErrInvalid, "settings version %d has digest %s, not %s",
			label.Version, found, label.Digest)
	}
	decoded, err := tree.Decode(content)
	if err != nil {
		return errors.Annotatef(err, "settings version %d", label.Version)
	}
	return f.bring(label, &version{tree: decoded, content: content}, step{}, from)
}

// bring resolves a version and brings it into force, unless it is not above the
// one in force.
func (f *Follower) bring(label tree.VersionInfo, next *version, known step, from source) error {
	settings, err := next.tree.ResolveVersion(label)
	if err != nil {
		return errors.Annotatef(err, "settings version %d", label.Version)
	}
	next.settings = settings
	if !f.replace(next, known) {
		return nil
	}
	f.adopted[from].Inc()
	f.config.Log.WithFields(logrus.Fields{
		"version": label.Version, "change_id": label.ChangeID, "source": string(from),
	}).Info("settings version in force")
	if from == fromStore {
		f.config.Announce()
	}
	return nil
}

// replace swaps the version in and tells the subscribers, in rising order.
func (f *Follower) replace(next *version, known step) bool {
	f.adopting.Lock()
	defer f.adopting.Unlock()
	before := f.current.Load()
	if before != nil && next.settings.Version <= before.settings.Version {
		return false
	}
	f.remember(before, next, known)
	f.current.Store(next)
	f.mu.Lock()
	callbacks := f.callbacks
	f.mu.Unlock()
	for _, adopted := range callbacks {
		adopted(next.settings)
	}
	return true
}

// bounded ends the context after callTimeout.
func bounded(ctx context.Context, clock cairnbay.Clock) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	stop := clock.At(clock.Now()+callTimeout, func(time.Duration) { cancel() })
	return ctx, func() {
		stop()
		cancel()
	}
}

// pause waits for a span; false says that the context ended before.
func pause(ctx context.Context, clock cairnbay.Clock, span time.Duration) bool {
	over := make(chan struct{})
	defer clock.At(clock.Now()+span, func(time.Duration) { close(over) })()
	select {
	case <-over:
		return true
	case <-ctx.Done():
		return false
	}
}
