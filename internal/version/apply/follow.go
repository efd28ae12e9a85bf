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

// Timing of a follower. The read intervals are jittered to between 75% and 100%.
const (
	// watcherReadInterval is the interval between reads of the store on the watcher,
	// the member that watches the head for its data centre, and between its checks
	// that it is still the watcher. It limits the delay when the watch has stopped
	// delivering events without an error.
	watcherReadInterval = 3 * time.Second
	// readInterval is the interval between reads of the store on other members.
	readInterval = 8 * time.Second
	// callTimeout limits each read of the head and its content, the opening of the
	// watch, the adoption from a watch event, and each pull including its repetition
	// for the whole content.
	callTimeout = 2 * time.Second
	// watchRetryDelay is the delay after a failed watch, and the interval at which a
	// member checks whether it has become the watcher.
	watchRetryDelay = 500 * time.Millisecond
	// adoptionPollInterval is the delay between two checks in AwaitAdoption.
	adoptionPollInterval = 100 * time.Millisecond
	// maxPullPeers is the maximum number of peers tried in one round of pulls.
	maxPullPeers = 3
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	// Store is the store client for cairnbay.PurposeSettings.
	Store   cairnbay.Store
	Clock   cairnbay.Clock
	Members cairnbay.Members
	// Peer returns the client for a member; false if the member is unknown.
	Peer func(id string) (cairnbayv1connect.MemberServiceClient, bool)
	// Announce sends heartbeats at once. It is called after a version was adopted
	// from the store. May be nil.
	Announce func()
	// Seed initialises the random numbers for the jitter.
	Seed uint64
	// Log may be nil, which discards the log lines.
	Log logrus.FieldLogger
	// Metrics may be nil.
	Metrics *metrics.Set
}

// Follower holds the version in force on this member. It implements
// cairnbay.SettingsSource, and cairnbay.HeartbeatDelegate to learn the versions of peers.
type Follower struct {
	config  FollowerConfig
	current atomic.Pointer[adoptedVersion]
	wake    chan struct{}
	cancel  context.CancelFunc
	running sync.WaitGroup

	// adoptMu serialises adoption, so that callbacks receive increasing versions. It
	// also guards deltas.
	adoptMu sync.Mutex
	deltas  []delta

	// mu guards random, callbacks and hintedPeer.
	mu        sync.Mutex
	random    *rand.Rand
	callbacks []func(*cairnbay.Settings)
	// hintedPeer is the ID of the last peer whose heartbeat reported a higher version
	// since the last round of pulls; it may be empty.
	hintedPeer string

	adoptions map[source]*metrics.Counter
	// failures counts failed reads of the store, failed pulls and watch events that
	// could not be adopted; failures of the watch itself are not counted.
	failures *metrics.Counter
}

// adoptedVersion is an adopted version in its resolved, decoded and encoded form.
type adoptedVersion struct {
	settings *cairnbay.Settings
	tree     *tree.Tree
	content  []byte
}

// source is the origin of an adopted version, as in logs and metrics.
type source string

const (
	fromStore source = "store"
	fromPeer  source = "peer"
)

// NewFollower starts a follower, which has no version until it has read one from the
// store or a peer. Close stops it.
func NewFollower(config FollowerConfig) *Follower {
	config = followerDefaults(config)
	ctx, cancel := context.WithCancel(context.Background())
	follower := &Follower{
		config: config, cancel: cancel, wake: make(chan struct{}, 1),
		random: rand.New(rand.NewPCG(config.Seed, 2)),
		adoptions: map[source]*metrics.Counter{
			fromStore: config.Metrics.GetOrCreateCounter(`cairnbay_settings_adopted_total{source="store"}`),
			fromPeer:  config.Metrics.GetOrCreateCounter(`cairnbay_settings_adopted_total{source="peer"}`),
		},
		failures: config.Metrics.GetOrCreateCounter(`cairnbay_settings_failures_total`),
	}
	config.Metrics.GetOrCreateGauge(`cairnbay_settings_version_number`, func() float64 {
		number, _ := follower.Version()
		return float64(number)
	})
	follower.running.Go(func() { follower.readLoop(ctx) })
	follower.running.Go(func() { follower.watchLoop(ctx) })
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

// Close stops the follower and waits for its goroutines.
func (f *Follower) Close() {
	f.cancel()
	f.running.Wait()
}

// Current implements cairnbay.SettingsSource.
func (f *Follower) Current() *cairnbay.Settings {
	if current := f.current.Load(); current != nil {
		return current.settings
	}
	return nil
}

// Tree returns the declarations in force; nil before the first version.
func (f *Follower) Tree() *tree.Tree {
	if current := f.current.Load(); current != nil {
		return current.tree
	}
	return nil
}

// Version returns the version in force and its digest; 0 and "" before the first
// version.
func (f *Follower) Version() (number uint64, digest string) {
	if settings := f.Current(); settings != nil {
		return settings.Version, settings.Digest
	}
	return 0, ""
}

// OnChange implements cairnbay.SettingsSource. If a version is already in force, the
// callback is called with it at once.
func (f *Follower) OnChange(callback func(*cairnbay.Settings)) {
	f.adoptMu.Lock()
	defer f.adoptMu.Unlock()
	f.mu.Lock()
	f.callbacks = append(f.callbacks, callback)
	f.mu.Unlock()
	if settings := f.Current(); settings != nil {
		callback(settings)
	}
}

// FillHeartbeat implements cairnbay.HeartbeatDelegate. It adds only the settings
// digest, because the version number is part of the sender's own state.
func (f *Follower) FillHeartbeat(_ cairnbay.Member, beat *cairnbayv1.Heartbeat) {
	_, beat.SettingsDigest = f.Version()
}

// HandleHeartbeat implements cairnbay.HeartbeatDelegate.
func (f *Follower) HandleHeartbeat(peer cairnbay.Member, beat *cairnbayv1.Heartbeat) {
	inForce, _ := f.Version()
	if beat.GetSelf().GetSettingsVersion() <= inForce {
		return
	}
	f.mu.Lock()
	f.hintedPeer = peer.ID
	f.mu.Unlock()
	f.wakeReader()
}

// wakeReader makes readLoop pull from peers at once; it never blocks.
func (f *Follower) wakeReader() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// readLoop reads the store once an interval, and pulls from peers when one has a
// higher version.
func (f *Follower) readLoop(ctx context.Context) {
	for {
		nextRead := f.config.Clock.Now() + f.nextReadInterval()
		if err := f.readStore(ctx); err != nil {
			f.failures.Inc()
			f.config.Log.WithError(err).Debug("cannot read settings from the store")
		}
		f.pullFromPeers(ctx)
		for f.config.Clock.Now() < nextRead {
			if !f.waitForWake(ctx, nextRead) {
				return
			}
			f.pullFromPeers(ctx)
		}
	}
}

// waitForWake waits for wakeReader or until the given time; false means that the
// context has ended.
func (f *Follower) waitForWake(ctx context.Context, until time.Duration) bool {
	expired := make(chan struct{})
	defer f.config.Clock.At(until, func(time.Duration) { close(expired) })()
	select {
	case <-f.wake:
	case <-expired:
	case <-ctx.Done():
		return false
	}
	return true
}

// nextReadInterval returns the jittered interval until the next read of the store.
func (f *Follower) nextReadInterval() time.Duration {
	interval := readInterval
	if f.isWatcher() {
		interval = watcherReadInterval
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return interval*3/4 + time.Duration(f.random.Int64N(int64(interval/4)))
}

// readStore adopts the newest version in the store.
func (f *Follower) readStore(ctx context.Context) error {
	ctx, cancel := withCallTimeout(ctx, f.config.Clock)
	defer cancel()
	head, _, err := readHead(ctx, f.config.Store)
	if err != nil {
		return err
	}
	return f.adoptHead(ctx, head)
}

// adoptHead reads the content of a head and adopts it, if its version is newer than
// the one in force.
func (f *Follower) adoptHead(ctx context.Context, head Head) error {
	if inForce, _ := f.Version(); head.Version <= inForce {
		return nil
	}
	content, err := readContent(ctx, f.config.Store, head.Record)
	if err != nil {
		return err
	}
	info := tree.VersionInfo{Version: head.Version, Digest: head.Digest, ChangeID: head.ChangeID}
	return f.adopt(info, content, fromStore)
}

// adopt verifies the digest of the content and brings the version into force. Errors:
// ErrInvalid.
func (f *Follower) adopt(info tree.VersionInfo, content []byte, origin source) error {
	if digest := tree.Digest(content); digest != info.Digest {
		return errors.Annotatef(cairnbay.ErrInvalid, "settings version %d has digest %s, not %s",
			info.Version, digest, info.Digest)
	}
	decoded, err := tree.Decode(content)
	if err != nil {
		return errors.Annotatef(err, "settings version %d", info.Version)
	}
	return f.activate(info, &adoptedVersion{tree: decoded, content: content}, delta{}, origin)
}

// activate resolves a version and brings it into force, unless the version in force is
// at least as new. received is the delta from which a peer's version was built.
func (f *Follower) activate(info tree.VersionInfo, next *adoptedVersion, received delta, origin source) error {
	settings, err := next.tree.ResolveVersion(info)
	if err != nil {
		return errors.Annotatef(err, "settings version %d", info.Version)
	}
	next.settings = settings
	if !f.replace(next, received) {
		return nil
	}
	f.adoptions[origin].Inc()
	f.config.Log.WithFields(logrus.Fields{
		"version": info.Version, "change_id": info.ChangeID, "source": string(origin),
	}).Info("settings version in force")
	if origin == fromStore {
		f.config.Announce()
	}
	return nil
}

// replace brings a version into force and calls the callbacks; false means that the
// version in force is at least as new.
func (f *Follower) replace(next *adoptedVersion, received delta) bool {
	f.adoptMu.Lock()
	defer f.adoptMu.Unlock()
	before := f.current.Load()
	if before != nil && next.settings.Version <= before.settings.Version {
		return false
	}
	f.recordDelta(before, next, received)
	f.current.Store(next)
	f.mu.Lock()
	callbacks := f.callbacks
	f.mu.Unlock()
	for _, callback := range callbacks {
		callback(next.settings)
	}
	return true
}

// withCallTimeout returns a context that ends after callTimeout on the given clock.
func withCallTimeout(ctx context.Context, clock cairnbay.Clock) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	stop := clock.At(clock.Now()+callTimeout, func(time.Duration) { cancel() })
	return ctx, func() {
		stop()
		cancel()
	}
}

// sleep waits for a duration; false means that the context ended first.
func sleep(ctx context.Context, clock cairnbay.Clock, duration time.Duration) bool {
	expired := make(chan struct{})
	defer clock.At(clock.Now()+duration, func(time.Duration) { close(expired) })()
	select {
	case <-expired:
		return true
	case <-ctx.Done():
		return false
	}
}
