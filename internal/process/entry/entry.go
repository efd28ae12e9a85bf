// Package entry assembles one entry instance out of its parts.
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

// platformTimeout bounds a call to the platform or a worker whose own context
// allows longer; a watch's wait is the longest of them.
const platformTimeout = 40 * time.Second

// Config sets up an Entry.
type Config struct {
	Settings config.Settings
	Clock    cairnbay.Clock
	Log      *logrus.Entry
	// Dial makes connections to the platform, workers and members; nil takes
	// the network's own.
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
	// warm says that the instance has once been able to serve every service.
	warm    bool
	started time.Duration
}

// New starts an entry instance; it serves callers once settings are in force.
// An unreachable platform does not keep it from starting. Errors: those of
// listening, and ErrInvalid for unusable certificates.
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

// open reads the certificates and takes the three addresses.
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
	if err := e.servers.open(settings, e.certs); err != nil {
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

// startPlatform connects to the store, the list and the audit.
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
		Lister: lister.New(lister.Config{URL: "http://" + settings.ListAddress, Client: e.list}),
		Log:    e.config.Log,
	})
}

// newClient makes a client of the platform whose bytes count for a purpose.
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

// sharers is how many instances share the store's rate.
func (e *Entry) sharers() int {
	if e.member == nil {
		return 1
	}
	return len(e.member.Live())
}

// startMember joins the other members and follows the settings.
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
		Keeper:     e.isKeeper,
		Log:        e.config.Log,
	})
}

// settingsVersion is asked for by heartbeats, the first of which may go out
// before the follower is there.
func (e *Entry) settingsVersion() (version uint64, digest string) {
	e.mu.Lock()
	follower := e.follower
	e.mu.Unlock()
	if follower == nil {
		return 0, ""
	}
	return follower.Version()
}

// startRequests sets up the path from callers to upstreams.
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

// keyTTL is how long outcomes of a service's keys are remembered; 0 takes the
// default.
func (e *Entry) keyTTL(service string) time.Duration {
	current := e.follower.Current()
	if current == nil || current.Services[service] == nil {
		return 0
	}
	return current.Services[service].Request.KeyTTL
}

// startOwner takes part in owning shards.
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

// serve starts answering on the three addresses.
func (e *Entry) serve() {
	e.cutoff = cutoff.New(cutoff.Config{
		Clock:             e.config.Clock,
		StoreFailingFor:   func() time.Duration { return e.budget.Health().FailingFor },
		LastRemoteContact: e.lastRemote,
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
	_, members := cairnbayv1connect.NewMemberServiceHandler(&service{entry: e})
	e.servers.serve(e.router, e.tracedHandler("member", members), e.tracedHandler("operator", e.admin), &quietLog{clock: e.config.Clock, log: e.config.Log})
}

// CallersAddress is where callers reach the instance.
func (e *Entry) CallersAddress() string { return e.servers.callers.address() }

// MembersAddress is where other members reach it.
func (e *Entry) MembersAddress() string { return e.servers.members.address() }

// OperatorsAddress is where operators reach it.
func (e *Entry) OperatorsAddress() string { return e.servers.operators.address() }

// Members lists the members that it sees.
func (e *Entry) Members() []cairnbay.Member { return e.member.Live() }

// DataCentre is where it stands.
func (e *Entry) DataCentre() string { return e.config.Settings.DataCentre }

// ready is nil once callers may be sent here.
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
		return e.warmUp()
	}
}

// warmUpLimit is how long an instance waits for slots before it takes requests
// all the same; what it cannot serve it then refuses.
const warmUpLimit = 20 * time.Second

// warmUp says which service a new instance has no slots of yet: requests sent
// to it would wait though other instances could serve them.
func (e *Entry) warmUp() error {
	if e.warm || e.config.Clock.Now()-e.started > warmUpLimit {
		e.warm = true
		return nil
	}
	for _, service := range e.slots.Services() {
		if totals := e.slots.Totals(service); totals.Upstreams > 0 && totals.Slots == 0 {
			return errors.Errorf("no slots of service %q have been lent to the instance yet", service)
		}
	}
	e.warm = true
	return nil
}
