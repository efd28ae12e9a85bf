// Package entry assembles an entry instance from its components and runs it.
package entry

import (
	"context"
	"crypto/ed25519"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"cairnbay"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
	"cairnbay/internal/conn/listen"
	"cairnbay/internal/conn/pool"
	"cairnbay/internal/platform/budget"
	"cairnbay/internal/platform/lister"
	"cairnbay/internal/platform/store"
	"cairnbay/internal/platform/worker"
	"cairnbay/internal/process/admin"
	"cairnbay/internal/process/audit"
	"cairnbay/internal/process/certs"
	"cairnbay/internal/process/check"
	"cairnbay/internal/process/config"
	"cairnbay/internal/process/cutoff"
	"cairnbay/internal/process/keys"
	"cairnbay/internal/process/member"
	"cairnbay/internal/process/meter"
	"cairnbay/internal/process/owner"
	"cairnbay/internal/process/place"
	"cairnbay/internal/process/roster"
	"cairnbay/internal/process/slots"
	"cairnbay/internal/request/dedup"
	"cairnbay/internal/request/route"
	"cairnbay/internal/version/apply"
)

// platformTimeout bounds a call to the platform or a worker, including the
// reading of the response. It exceeds the wait of a watch, the longest call.
const platformTimeout = 40 * time.Second

// Config configures an Entry.
type Config struct {
	Settings config.Settings
	Clock    cairnbay.Clock
	Log      *logrus.Entry
	// Machine bounds what clients can make the instance hold.
	Machine listen.Machine
	// Dial opens connections to the platform, workers and members; nil uses the
	// operating system's network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Entry is one running entry instance.
type Entry struct {
	config  Config
	cancel  context.CancelFunc
	metrics *metrics.Set
	certs   *certs.Keeper
	// signingKey signs audit records; nil leaves them unsigned.
	signingKey ed25519.PrivateKey
	servers    servers
	store      *http.Client
	list       *http.Client
	workers    *http.Client

	meter    *meter.Meter
	budget   *budget.Budget
	roster   *roster.Roster
	member   *member.Member
	follower *apply.Follower
	audit    *audit.Audit
	cutoff   *cutoff.Monitor
	slots    *slots.Table
	pool     *pool.Pool
	upstream *check.Upstream
	keys     *keys.Keys
	router   *route.Router
	owner    *owner.Owner
	admin    *admin.Admin

	mu       sync.Mutex
	stopping bool
	// warmedUp is set once the instance has slots of every service with upstreams,
	// or warmUpTimeout has passed; it is never reset.
	warmedUp bool
	started  time.Duration
}

// New starts an entry instance, even if the platform is unreachable. The
// servers run when New returns; callers are served once settings are in force.
// The end of ctx does not stop the instance: call Stop or Kill. Errors: those
// of listening, and ErrInvalid for unusable certificates.
func New(ctx context.Context, config Config) (*Entry, error) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	entry := &Entry{config: config, cancel: cancel, metrics: metrics.NewSet(), started: config.Clock.Now()}
	if err := entry.open(); err != nil {
		cancel()
		return nil, err
	}
	entry.startPlatform(ctx)
	entry.startMember()
	entry.startRequests()
	entry.startOwner()
	entry.serve()
	return entry, nil
}

// open reads the certificates and the signing key and opens the three listeners.
func (e *Entry) open() error {
	settings := e.config.Settings
	if settings.TLS() {
		keeper, err := certs.New(certs.Config{
			CertificateFile: settings.CertificateFile, KeyFile: settings.KeyFile, AuthorityFile: settings.AuthorityFile,
			Clock: e.config.Clock, Log: e.config.Log,
		})
		if err != nil {
			return err
		}
		e.certs = keeper
	}
	if settings.SigningKeyFile != "" {
		key, err := certs.ReadSigningKey(settings.SigningKeyFile)
		if err != nil {
			e.closeCerts()
			return err
		}
		e.signingKey = key
	}
	if err := e.servers.open(e.config, e.certs, e.metrics); err != nil {
		e.closeCerts()
		return err
	}
	return nil
}

func (e *Entry) closeCerts() {
	if e.certs != nil {
		e.certs.Close()
	}
}

// startPlatform creates the clients of the store, the list and the workers, and
// starts reading the list.
func (e *Entry) startPlatform(ctx context.Context) {
	settings := e.config.Settings
	e.meter = meter.New(meter.Config{Clock: e.config.Clock, Metrics: e.metrics})
	e.store = e.newClient(meter.PurposeStore)
	e.list = e.newClient(meter.PurposeList)
	e.workers = e.newClient(meter.PurposeWorkers)
	e.budget = budget.New(budget.Config{
		Store: store.New(store.Config{
			Address: settings.StoreAddress, Caller: settings.Instance, Client: e.store,
		}),
		Clock:   e.config.Clock,
		Sharers: e.sharers,
		Metrics: e.metrics,
	})
	e.roster = roster.New(ctx, roster.Config{
		Clock:  e.config.Clock,
		Lister: lister.New(lister.Config{URL: "http://" + settings.ListAddress, Client: e.list, Log: e.config.Log}),
		Log:    e.config.Log,
	})
}

// newClient returns an HTTP client whose bytes the meter counts for a purpose.
func (e *Entry) newClient(purpose meter.Purpose) *http.Client {
	return &http.Client{
		Timeout: platformTimeout,
		Transport: e.traced(&http.Transport{
			DialContext:         e.meter.Dial(purpose, e.config.Dial),
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     time.Minute,
		}),
	}
}

// sharers returns the number of live members, which share the store's rate
// limit; 1 before the member has started.
func (e *Entry) sharers() int {
	if e.member == nil {
		return 1
	}
	return len(e.member.Live())
}

// startMember starts the membership, the settings follower and the audit.
func (e *Entry) startMember() {
	settings := e.config.Settings
	dialer := member.DialerConfig{
		DialContext:   e.meter.Dial(meter.PurposeMembers, e.config.Dial),
		WrapTransport: e.traced,
	}
	if e.certs != nil {
		dialer.TLS = e.certs.Client()
	}
	e.member = member.New(member.Config{
		ID:              settings.Instance,
		DataCentre:      settings.DataCentre,
		Address:         e.MembersAddress(),
		CallerAddress:   e.CallersAddress(),
		StartedUnixMS:   e.config.Clock.Wall().UnixMilli(),
		Clock:           e.config.Clock,
		Instances:       e.roster.Instances,
		SettingsVersion: e.settingsVersion,
		Dial:            member.NewDialer(dialer).Dial,
		Log:             e.config.Log,
		Metrics:         e.metrics,
	})
	follower := apply.NewFollower(apply.FollowerConfig{
		Store:    e.budget.For(cairnbay.PurposeSettings),
		Clock:    e.config.Clock,
		Members:  e.member,
		Peer:     e.member.Peer,
		Announce: func() { e.member.HeartbeatNow() },
		Log:      e.config.Log,
		Metrics:  e.metrics,
	})
	e.mu.Lock()
	e.follower = follower
	e.mu.Unlock()
	e.member.AddDelegate(follower)
	e.audit = audit.New(audit.Config{
		Instance:   settings.Instance,
		DataCentre: settings.DataCentre,
		Clock:      e.config.Clock,
		Store:      e.budget.For(cairnbay.PurposeAudit),
		Settings:   follower,
		SigningKey: e.signingKey,
		Samples:    e.samples,
		Metrics:    e.metrics,
		Keeper:     e.isAuditKeeper,
		Log:        e.config.Log,
	})
}

// settingsVersion returns the version in force for heartbeats. The first
// heartbeat may be sent before the follower exists; it carries version 0.
func (e *Entry) settingsVersion() (version uint64, digest string) {
	e.mu.Lock()
	follower := e.follower
	e.mu.Unlock()
	if follower == nil {
		return 0, ""
	}
	return follower.Version()
}

// startRequests creates the components that route requests to upstreams.
func (e *Entry) startRequests() {
	settings := e.config.Settings
	e.slots = slots.New(slots.Config{
		Self:       settings.Instance,
		DataCentre: settings.DataCentre,
		Clock:      e.config.Clock,
		Members:    e.member,
		Settings:   e.follower,
		Instances:  e.instances,
	})
	e.member.AddDelegate(e.slots)
	e.pool = pool.New(pool.Config{Clock: e.config.Clock})
	e.upstream = check.NewUpstream(check.UpstreamConfig{
		Upstream:   e.pool,
		Clock:      e.config.Clock,
		Recorder:   e.audit,
		Instances:  e.instances,
		Idempotent: pool.Idempotent,
	})
	e.keys = keys.New(keys.Config{
		Life:  rand.Uint64(),
		Clock: e.config.Clock,
		Store: e.budget.For(cairnbay.PurposeKeys),
		TTL:   e.keyTTL,
		Log:   e.config.Log,
	})
	e.router = route.New(route.Config{
		Self:       settings.Instance,
		DataCentre: settings.DataCentre,
		Clock:      e.config.Clock,
		Settings:   e.follower,
		Members:    e.member,
		Upstream:   e.upstream,
		Slots:      e.slots,
		Keys: dedup.New(dedup.Config{
			Self:    settings.Instance,
			Members: e.member,
			Local:   e.keys,
			Peer:    e.member.Peer,
			Log:     e.config.Log,
		}),
		Recorder: e.audit,
		Log:      e.config.Log,
	})
}

// keyTTL returns how long the outcomes of a service's idempotency keys are
// stored; 0 selects the default.
func (e *Entry) keyTTL(service string) time.Duration {
	current := e.follower.Current()
	if current == nil || current.Services[service] == nil {
		return 0
	}
	return current.Services[service].Request.KeyTTL
}

// startOwner starts the owner of shards.
func (e *Entry) startOwner() {
	shards := owner.New(owner.Config{
		Clock:   e.config.Clock,
		Members: e.member,
		Store:   e.budget.For(cairnbay.PurposeJournal),
		Worker: check.NewWorker(check.WorkerConfig{
			Worker:   worker.New(worker.Config{Client: e.workers}),
			Clock:    e.config.Clock,
			Recorder: e.audit,
		}),
		NewPlacer: func(shard cairnbay.ShardID) cairnbay.Placer { return place.New(place.Config{Shard: shard}) },
		Settings:  e.follower,
		Instances: e.instances,
		Peer:      e.member.Peer,
		Recorder:  e.audit,
		Log:       e.config.Log,
	})
	e.mu.Lock()
	e.owner = shards
	e.mu.Unlock()
	e.member.AddDelegate(shards)
}

// serve starts the cut-off monitor, the operators' API and the servers on the
// three addresses.
func (e *Entry) serve() {
	e.cutoff = cutoff.New(cutoff.Config{
		Clock:             e.config.Clock,
		StoreFailingFor:   func() time.Duration { return e.budget.Health().FailingFor },
		LastRemoteContact: e.lastRemoteContact,
		Report:            e.audit.RecordException,
	})
	e.admin = admin.New(admin.Config{
		Clock:     e.config.Clock,
		Settings:  e.follower,
		Rights:    &rights{settings: e.follower},
		Jobs:      e.owner,
		Changes:   newChanges(e),
		Records:   audit.Reader{Store: e.budget.For(cairnbay.PurposeAudit)},
		Recorder:  e.audit,
		Instances: e.instances,
		Status:    e.status,
		Ready:     e.ready,
		Metrics:   e.metrics,
		Log:       e.config.Log,
	})
	_, memberHandler := cairnbayv1connect.NewMemberServiceHandler(&service{entry: e})
	e.servers.serve(e.router, e.tracedHandler("member", memberHandler), e.tracedHandler("operator", e.admin))
}

// CallersAddress returns the host:port that serves callers.
func (e *Entry) CallersAddress() string { return e.servers.callers.Address() }

// MembersAddress returns the host:port that serves other members.
func (e *Entry) MembersAddress() string { return e.servers.members.Address() }

// OperatorsAddress returns the host:port that serves operators.
func (e *Entry) OperatorsAddress() string { return e.servers.operators.Address() }

// Members lists the live members as this instance sees them, including suspects.
func (e *Entry) Members() []cairnbay.Member { return e.member.Live() }

// DataCentre returns the name of the instance's data centre.
func (e *Entry) DataCentre() string { return e.config.Settings.DataCentre }

// ready returns nil if the instance can serve callers, otherwise the reason why
// it cannot.
func (e *Entry) ready() error {
	drained := e.isDrained()
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.stopping:
		return errors.New("the instance is stopping")
	case drained:
		return errors.New("the instance is drained by the settings")
	case e.follower.Current() == nil:
		return errors.New("no settings are in force yet")
	case len(e.roster.Instances()) == 0:
		return errors.New("the platform's list has not been read yet")
	default:
		return e.checkWarmUp()
	}
}

// warmUpTimeout is the time after New from which missing slots no longer keep
// the instance from being ready. It then refuses the requests that it cannot
// serve.
const warmUpTimeout = 20 * time.Second

// checkWarmUp returns an error that names a service that has upstreams but no
// slots on this instance: requests for the service would wait although other
// instances could serve them. The caller holds e.mu.
func (e *Entry) checkWarmUp() error {
	if e.warmedUp || e.config.Clock.Now()-e.started > warmUpTimeout {
		e.warmedUp = true
		return nil
	}
	for _, service := range e.slots.Services() {
		if totals := e.slots.Totals(service); totals.Upstreams > 0 && totals.Slots == 0 {
			return errors.Errorf("the instance has no slots of service %q yet", service)
		}
	}
	e.warmedUp = true
	return nil
}
