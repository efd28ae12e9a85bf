// Package node assembles an instance that schedules workflows on a platform: the
// HTTP interface for callers (gate), the calls between instances (relay), the
// election of an owner per shard of a worker class (tenure), and the scheduler of
// each shard that the instance owns (drive).
package node

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/conn/listen"
	"cairnbay/internal/process/allot"
	"cairnbay/internal/process/detour"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/mirror"
	"cairnbay/internal/process/pull"
	"cairnbay/internal/process/relay"
	"cairnbay/internal/process/sched"
	"cairnbay/internal/process/tenure"
	"cairnbay/internal/process/timer"
	"cairnbay/internal/request/gate"
)

// Platform holds the platform's adapters and formats.
type Platform struct {
	Store cairnbay.BatchStore
	Agent cairnbay.Agent
	// Advisor is nil if there is no policy service.
	Advisor cairnbay.Advisor
	Format  gate.Format
	// RoutingKey is the store key of the operators' configuration and
	// RoutingPrefix the prefix to watch for it. WorkerPrefix is the prefix of the
	// workers' entries.
	RoutingPrefix, RoutingKey, WorkerPrefix string
	DecodeRouting                           func(value []byte) (cairnbay.Routing, error)
	DecodeWorker                            func(key string, value []byte) (cairnbay.WorkerEntry, error)
	// DigestKeys replaces the API keys of a configuration by their digests, for other
	// instances. DecodeRouting decodes the result too.
	DigestKeys func(value []byte) ([]byte, error)
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath string
}

// Config sets up a Node.
type Config struct {
	Instance   string
	DataCentre string
	// CallerAddress, ReadyAddress, MemberAddress and MetricsAddress are the
	// addresses (host:port) to listen on.
	CallerAddress, ReadyAddress, MemberAddress, MetricsAddress string
	// Cores and LinkMbps are the processors and the bandwidth, in megabits per
	// second, that the instance may use.
	Cores, LinkMbps float64
	// Machine bounds what clients can make the instance hold.
	Machine listen.Machine
	// Grace is the time from the stop signal until the process is killed.
	Grace time.Duration
	// Lease is the duration of a worker's lease from each renewal.
	Lease time.Duration
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// StoreLease is how long this instance's keys remain after its last renewal.
	StoreLease time.Duration
	// WatchStallTimeout is how long a watch may report nothing before it is
	// replaced.
	WatchStallTimeout time.Duration
	// WatchHold is how long the store holds a watch without events.
	WatchHold time.Duration
	Sched     sched.Config
	Platform  Platform
	Clock     cairnbay.Clock
	Log       *logrus.Entry
	Metrics   *metrics.Set
	// MemberClient calls other instances.
	MemberClient *http.Client
}

// Node is a running instance.
type Node struct {
	config  Config
	routing atomic.Pointer[cairnbay.Routing]
	// shared is the version in force for other instances. adoptingVersion is
	// held by applyRouting, since the store and other instances report versions
	// concurrently.
	shared          atomic.Pointer[sharedRouting]
	adoptingVersion sync.Mutex
	// puller asks other instances for newer versions.
	puller *pull.Puller
	// detour calls the store, through another instance while this one cannot
	// reach it directly.
	detour *detour.Detour
	// publishedTenure holds the same value as tenure, for callbacks that may run
	// before New has set tenure.
	publishedTenure atomic.Pointer[tenure.Tenure]
	tenure          *tenure.Tenure
	relay           *relay.Relay
	// advicePool spreads calls to the policy service over the instances.
	advicePool *relay.AdvicePool
	// mirror is a copy of the operators' configuration, updated by a watch.
	mirror *mirror.Mirror
	gate   *gate.Gate
	// directStore is the store without the detour over other instances.
	directStore cairnbay.Store
	isolation   isolation
	// probing is set while a probe of the owners is running.
	probing atomic.Bool
	// stopping is set when Stop is called.
	stopping atomic.Bool
	servers  []*listen.Server
	// stopProbes cancels the timer of the probes.
	stopProbes func()
	background sync.WaitGroup

	// passing keeps the configurations in order that the owned shards adopt.
	passing sync.Mutex

	mu sync.Mutex
	// census is what this instance has seen of the workers of undivided classes.
	census census
	// ownedShards are the shards that this instance owns, by name.
	ownedShards map[string]*ownedShard
}

// ownedShard is a shard that this instance owns.
type ownedShard struct {
	claim   tenure.Claim
	drive   *drive.Drive
	workers *workerList
	quotas  *allot.Owner
}

const (
	// flushTimeout limits one attempt to write the journals of all owned classes
	// during a stop, and separately the revocation of the store lease.
	flushTimeout = 600 * time.Millisecond
	// drainDuration is how long a stopping instance keeps serving, so that the
	// load balancer removes it before connections close: two readiness checks and
	// a margin.
	drainDuration = 2500 * time.Millisecond
	// maxSegments is the journal length, in segments, at which a journal is
	// rewritten: one to two minutes of writes at the highest rate. A new owner
	// reads as many in a few pages.
	maxSegments = 2000
	// maxGrowth is the number of bytes after which a journal is rewritten. A new
	// owner reads them in about a second over a link of 10 Mbit/s.
	maxGrowth = 1 << 20
	// ownerFailureTimeout is how long calls to owners may fail before the instance
	// counts as isolated even if it reaches the store; a change of owner takes
	// less.
	ownerFailureTimeout = 2 * time.Second
	// probePeriod is how often an owner is probed while calls to owners fail.
	probePeriod = 400 * time.Millisecond
	// resignMargin is how long before the end of the grace period a stopping
	// instance stops retrying to write its journals. It leaves time for a last
	// attempt and for the revocation of the store lease.
	resignMargin = 1500 * time.Millisecond
	// exitMargin is the part of the grace period reserved for the exit of the
	// process.
	exitMargin = 500 * time.Millisecond
)

// New starts an instance. It fails if an address cannot be listened on.
func New(config Config) (*Node, error) {
	n := &Node{config: config, directStore: config.Platform.Store, ownedShards: make(map[string]*ownedShard)}
	n.relay = relay.New(relay.Config{
		Client: config.MemberClient, Drive: n.drive, Advisor: config.Platform.Advisor, Quota: n.giveQuota,
		Store: func(ctx context.Context, call *cairnbayv1.StoreCall) *cairnbayv1.StoreAnswer {
			return n.detour.Serve(ctx, call)
		},
		Configuration: func(version uint64) *cairnbayv1.PullConfigurationResponse { return n.puller.Answer(version) },
	})
	n.detour = detour.New(detour.Config{
		Store: config.Platform.Store, Peers: n.otherAddresses, Client: n.relay.Client,
		Clock: config.Clock, BootTime: timer.Boot, Log: config.Log, Metrics: config.Metrics,
	})
	config.Platform.Store, n.config.Platform.Store = n.detour, n.detour
	n.advicePool = relay.NewAdvicePool(n.relay, config.Instance, n.addresses)
	n.startConfiguration()
	n.tenure = tenure.New(tenure.Config{
		Store: config.Platform.Store, Log: config.Log, Clock: config.Clock, BootTime: timer.Boot,
		Instance: config.Instance, Address: config.MemberAddress, DataCentre: config.DataCentre,
		Cores: config.Cores, LinkMbps: config.LinkMbps, LeaseTTL: config.StoreLease, WatchStallTimeout: config.WatchStallTimeout,
		Classes: n.classes, Divide: n.divide, OnAcquired: n.acquire, OnLost: n.release,
	})
	n.publishedTenure.Store(n.tenure)
	n.gate = gate.New(gate.Config{
		Format: config.Platform.Format, Routing: n.routing.Load, Owners: n.tenure,
		Relay: n.relay, Drive: n.drive, Log: config.Log, Metrics: config.Metrics, AwaitFresh: n.awaitFresh, Fresh: n.puller.Fresh,
	})
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("GET "+config.Platform.ReadyPath, n.serveReady)
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc("GET /metrics", n.serveMetrics)
	stopProbes := config.Clock.Every(probePeriod, func(time.Duration) { n.probe() })
	stopChecks := config.Clock.Every(reachPeriod, func(time.Duration) { n.checkIsolation() })
	n.stopProbes = func() { stopProbes(); stopChecks() }
	for _, listener := range []struct {
		name, address string
		limits        listen.Limits
		handler       http.Handler
	}{
		{"members", config.MemberAddress, config.Machine.Share(limits, memberMemory, memberSockets, leastMemberMemory), n.relay.Handler()},
		{"callers", config.CallerAddress, callerLimits(config.Machine), n.closeConnections(n.gate)},
		{"readiness", config.ReadyAddress, config.Machine.Share(limits, checkMemory, checkSockets, leastCheckMemory), readyMux},
		{"metrics", config.MetricsAddress, config.Machine.Share(limits, checkMemory, checkSockets, leastCheckMemory), metricsMux},
	} {
		if err := n.listen(listener.name, listener.address, listener.limits, listener.handler); err != nil {
			return nil, err
		}
	}
	config.Log.WithFields(logrus.Fields{
		"instance": config.Instance, "data_centre": config.DataCentre, "callers": config.CallerAddress,
		"members": config.MemberAddress, "cores": config.Cores,
	}).Info("started")
	return n, nil
}

func (n *Node) listen(name, address string, limits listen.Limits, handler http.Handler) error {
	server, err := listen.New(listen.Config{
		Name: name, Address: address, Limits: limits, Clock: n.config.Clock, Log: n.config.Log, Metrics: n.config.Metrics,
	})
	if err != nil {
		return errors.Annotatef(err, "listen on %s", address)
	}
	n.servers = append(n.servers, server)
	n.background.Go(func() {
		if err := server.Serve(handler); err != nil {
			n.config.Log.WithError(err).WithField("address", address).Error("listener ended unexpectedly")
		}
	})
	return nil
}

// closeConnections wraps a handler. While the instance is stopping or isolated, or has a
// configuration that may be out of date, it closes each connection after the next answer, so that callers reconnect to
// another instance.
func (n *Node) closeConnections(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if n.stopping.Load() || n.isolated() || n.outOfDate() {
			writer.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(writer, request)
	})
}

// isolated reports whether the instance can serve no callers although other
// instances may: it is cut off, reaches neither the store nor the owners, or has
// reached no owner for ownerFailureTimeout.
func (n *Node) isolated() bool {
	failing := n.gate.FailingFor()
	return n.isolation.cutOff.Load() || failing > ownerFailureTimeout ||
		failing > 0 && n.tenure.StoreFailing() && n.mirror.Failing()
}

// probe checks whether owners are reachable again.
func (n *Node) probe() {
	if n.gate.FailingFor() == 0 || !n.probing.CompareAndSwap(false, true) {
		return
	}
	n.background.Go(func() {
		defer n.probing.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), probePeriod)
		defer cancel()
		n.gate.Probe(ctx)
	})
}

func (n *Node) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if n.stopping.Load() || n.routing.Load() == nil || !n.tenure.Synced() || n.isolated() || n.outOfDate() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

func (n *Node) serveMetrics(writer http.ResponseWriter, _ *http.Request) {
	n.config.Metrics.WritePrometheus(writer)
	metrics.WriteProcessMetrics(writer)
}

// applyRouting adopts changes of the operators' configuration, from the store or from
// another instance. It ignores versions that are not above the current one.
func (n *Node) applyRouting(changes []cairnbay.Event) {
	n.adoptingVersion.Lock()
	defer n.adoptingVersion.Unlock()
	for _, change := range changes {
		if change.Entry.Key != n.config.Platform.RoutingKey || change.Kind == cairnbay.EventDelete {
			continue
		}
		routing, err := n.config.Platform.DecodeRouting(change.Entry.Value)
		if err != nil {
			n.config.Log.WithError(err).Error("configuration not adopted")
			continue
		}
		current := n.routing.Load()
		if current != nil && routing.Version <= current.Version {
			n.config.Log.WithFields(logrus.Fields{"version": routing.Version, "in_force": current.Version}).
				Warn("configuration is not newer")
			continue
		}
		shared, err := n.config.Platform.DigestKeys(change.Entry.Value)
		if err != nil {
			n.config.Log.WithError(err).Error("configuration not adopted")
			continue
		}
		n.routing.Store(&routing)
		n.shared.Store(&sharedRouting{version: routing.Version, value: shared})
		n.config.Log.WithFields(logrus.Fields{
			"version": routing.Version, "queues": len(routing.Queues), "classes": routing.ServingClasses(),
			"workspaces": len(routing.Workspaces), "keys": keyCount(&routing), "pulled": change.Entry.Revision == 0,
		}).Info("configuration adopted")
		n.adoptWorkspaces()
	}
}

// classes returns the classes that need owners.
func (n *Node) classes() []string {
	routing := n.routing.Load()
	if routing == nil {
		return nil
	}
	return routing.ServingClasses()
}

// addresses returns the addresses of the live instances by name.
func (n *Node) addresses() map[string]string {
	addresses := make(map[string]string)
	for _, node := range n.tenure.Nodes() {
		addresses[node.Instance] = node.Address
	}
	return addresses
}

// otherAddresses returns the addresses of the live instances except this one, by
// name.
func (n *Node) otherAddresses() map[string]string {
	addresses := make(map[string]string)
	if published := n.publishedTenure.Load(); published != nil {
		for _, node := range published.Nodes() {
			if node.Instance != n.config.Instance {
				addresses[node.Instance] = node.Address
			}
		}
	}
	return addresses
}

// drive returns the drive of a shard that this instance owns, or nil.
func (n *Node) drive(shard string) *drive.Drive {
	n.mu.Lock()
	defer n.mu.Unlock()
	if owned := n.ownedShards[shard]; owned != nil {
		return owned.drive
	}
	return nil
}

// acquire starts the drive of a shard that this instance has claimed.
func (n *Node) acquire(claim tenure.Claim) {
	advise := func(ctx context.Context, action *sched.AdviseAction) ([]cairnbay.Ticket, error) {
		return n.advicePool.Advise(ctx, action, n.position(claim.Shard))
	}
	quotas := n.newQuotas(claim)
	shardDrive := drive.New(drive.Config{
		Claim: claim, Store: n.config.Platform.Store, Agent: n.config.Platform.Agent,
		Routing: n.routing.Load, Advise: advise, AdviceLimits: func() (int, int) { return n.advicePool.Limits(n.position(claim.Shard)) },
		Clock: n.config.Clock, BootTime: timer.Boot, Log: n.config.Log, Metrics: n.config.Metrics,
		Sched: n.config.Sched, Lease: n.config.Lease, MaxLease: n.config.MaxLease, MaxSegments: maxSegments, MaxGrowth: maxGrowth,
		OnFenced: func() {
			n.background.Go(func() {
				n.tenure.Abandon(claim)
				// The loss may have been reported before the drive was known.
				n.release(claim)
			})
		},
		Workspaces: quotas.Terms, OnQuotaHeld: quotas.Wake,
	})
	quotas.Start(shardDrive)
	acquired := &ownedShard{claim: claim, drive: shardDrive, workers: newWorkerList(n, claim.Shard, shardDrive), quotas: quotas}
	n.mu.Lock()
	previous := n.ownedShards[claim.Shard]
	n.ownedShards[claim.Shard] = acquired
	n.mu.Unlock()
	// A configuration may have been adopted before the shard was in the map.
	n.adoptWorkspaces()
	if previous != nil {
		n.background.Go(previous.close)
	}
}

// release closes the drive of a claim that has ended. A later claim of the shard keeps its
// drive.
func (n *Node) release(claim tenure.Claim) {
	n.mu.Lock()
	owned := n.ownedShards[claim.Shard]
	held := owned != nil && owned.claim.Generation <= claim.Generation
	if held {
		delete(n.ownedShards, claim.Shard)
	}
	n.mu.Unlock()
	if held {
		n.config.Log.WithFields(logrus.Fields{"shard": claim.Shard, "generation": claim.Generation}).Info("shard given up")
		n.background.Go(owned.close)
	}
}

func (o *ownedShard) close() {
	o.workers.close()
	o.quotas.Close()
	o.drive.Close()
}

// Stop shuts the instance down gracefully. It writes the journals, gives up the
// owned shards, keeps serving for drainDuration in total, and then waits for
// requests in flight until exitMargin before the end of the grace period.
func (n *Node) Stop() {
	startedAt := time.Now()
	n.stopping.Store(true)
	n.config.Log.Info("stopping")
	n.flushAndResign(startedAt)
	time.Sleep(max(drainDuration-time.Since(startedAt), 0))
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(n.config.Grace-exitMargin))
	defer cancel()
	for _, server := range n.servers {
		if err := server.Shutdown(ctx); err != nil {
			n.config.Log.WithError(err).Warn("requests still in flight at the end of the grace period")
		}
	}
	n.stopProbes()
	n.tenure.Close()
	n.mirror.Close()
	n.puller.Close()
	n.detour.Close()
	n.config.Log.WithField("took_ms", time.Since(startedAt).Milliseconds()).Info("stopped")
}

// flushAndResign writes the pending journal records and gives up all shards.
// While the store is unavailable no other instance can claim the shards, so the
// write is retried until resignMargin before the end of the grace period.
func (n *Node) flushAndResign(startedAt time.Time) {
	for {
		err := n.flush()
		if err == nil {
			break
		}
		n.config.Log.WithError(err).Warn("journal not flushed")
		if time.Since(startedAt) > n.config.Grace-resignMargin {
			break
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	n.tenure.Resign(ctx)
}

// flush writes the journals of all owned shards. A fenced shard is skipped, as
// its new owner writes the journal.
func (n *Node) flush() error {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	n.mu.Lock()
	shards := make([]*ownedShard, 0, len(n.ownedShards))
	for _, owned := range n.ownedShards {
		shards = append(shards, owned)
	}
	n.mu.Unlock()
	for _, owned := range shards {
		if err := owned.drive.Flush(ctx); err != nil && !errors.Is(err, cairnbay.ErrFenced) {
			return errors.Trace(err)
		}
	}
	return nil
}
