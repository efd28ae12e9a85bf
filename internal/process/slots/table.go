// Package slots shares the slots of upstreams between the entry instances of a
// data centre. Each upstream has a home member, chosen by rendezvous hashing,
// that grants its slots under short leases. Demands and grants are carried on
// heartbeats.
package slots

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cairnbay"
)

var _ cairnbay.HeartbeatDelegate = (*Table)(nil)

// Mode selects how slots are shared.
type Mode string

// Modes, as the setting slot_grants names them.
const (
	// ModeGrants grants slots by demand.
	ModeGrants Mode = "grants"
	// ModeEqual gives every member the same fixed share.
	ModeEqual Mode = "equal"
	// ModeLeastLoaded uses the upstream with the fewest slots in use by this
	// member, regardless of other members; slots may be over-committed.
	ModeLeastLoaded Mode = "least_loaded"
)

// Times and limits of grants.
const (
	// grantLease is how long a grant is valid, from the time of the demand that it
	// answers.
	grantLease = 4 * time.Second
	// reportMaxAge is the age after which a member's last report is stale.
	reportMaxAge = 2 * time.Second
	// homeSwitchWait is the time after its last report for which a member does not
	// report to a new home, so that the former one no longer counts it. It includes
	// 10 % for clock drift.
	homeSwitchWait = reportMaxAge * 11 / 10
	// majorityWait is how long a majority must have reported to a home before the
	// home treats the slots of the other members as returned. It includes 10 % of
	// the lease for clock drift.
	majorityWait = grantLease*11/10 + drainTime
	// drainTime is the longest time for which requests of a silent member may hold
	// slots after its grant has expired.
	drainTime = 30 * time.Second
	// floorSlots is the number of slots of an upstream that a member may use after
	// its grant has expired, so that it still serves when cut off. The home reserves
	// them.
	floorSlots = 2
	// rebalanceThreshold is the relative change of a member's share above which new
	// shares replace those in use.
	rebalanceThreshold = 0.07
	// minDemandShare is the minimum weight of a member, as a fraction of the total
	// demand.
	minDemandShare = 0.03
	// reportPeriod is the minimum time between two reports to one peer.
	reportPeriod = 900 * time.Millisecond
	// tickPeriod is how often demand is measured and slots are divided.
	tickPeriod = 250 * time.Millisecond
	// defaultSlots applies to an upstream without a number of slots on the
	// platform's list.
	defaultSlots = 8
)

// Config configures a Table.
type Config struct {
	// Self is the ID of this entry instance.
	Self       string
	DataCentre string
	Clock      cairnbay.Clock
	Members    cairnbay.Members
	Settings   cairnbay.SettingsSource
	// Instances returns the platform's list as last read.
	Instances func() []cairnbay.Instance
}

// Table tracks the slots of all upstreams of its data centre.
type Table struct {
	config Config
	cancel func()

	mu       sync.RWMutex
	services map[string]*service

	homeLedgers   homeLedgers
	reportTimes   reportTimes
	callbackMu    sync.Mutex
	freeCallbacks []func(service string)
}

// Slot is an acquired slot of an upstream.
type Slot struct {
	Upstream cairnbay.Instance
	// AcquiredAt is the time of Acquire on the table's clock.
	AcquiredAt time.Duration
	service    *service
	upstream   *upstream
}

// New returns a table and starts its ticks. Close stops them.
func New(config Config) *Table {
	table := &Table{config: config, services: map[string]*service{}}
	table.homeLedgers.ledgers = map[string]*ledger{}
	table.reportTimes.lastSent = map[string]time.Duration{}
	table.tick(config.Clock.Now())
	table.cancel = config.Clock.Every(tickPeriod, table.tick)
	return table
}

// Close stops the table's ticks.
func (t *Table) Close() {
	t.cancel()
}

// OnFree calls free whenever a slot of the service may have become free: after each
// release, raised grant and tick.
func (t *Table) OnFree(free func(service string)) {
	t.callbackMu.Lock()
	defer t.callbackMu.Unlock()
	t.freeCallbacks = append(t.freeCallbacks, free)
}

// Acquire acquires a slot of an upstream of the service. Upstreams for which avoid
// returns true are skipped; ok is false when no slot is free. The lock of the
// service is held while avoid runs; UpstreamCount may be called from there.
func (t *Table) Acquire(name string, avoid func(upstream string) bool) (slot Slot, ok bool) {
	svc := t.lookup(name)
	if svc == nil {
		return Slot{}, false
	}
	return svc.acquire(t.config.Clock.Now(), avoid)
}

// Release returns a slot after its request has ended. Its hold time enters the means
// if sampleHoldTime is set; the hold time of a failed request or a long answer does
// not show the upstream's speed.
func (t *Table) Release(slot Slot, sampleHoldTime bool) {
	slot.service.release(slot, t.config.Clock.Now(), sampleHoldTime)
	t.notifyFree(slot.service.name)
}

// SetWaiting sets the number of requests that wait for the service.
func (t *Table) SetWaiting(name string, waiting int) {
	if svc := t.lookup(name); svc != nil {
		svc.waiting.Store(int64(waiting))
	}
}

// CountArrival counts one request for the service, whether or not it is served.
func (t *Table) CountArrival(name string) {
	if svc := t.lookup(name); svc != nil {
		svc.arrived.Add(1)
	}
}

// MarkLeaving stops new work to an upstream that has itself announced that it
// leaves, until the list shows another address for it.
func (t *Table) MarkLeaving(upstream string) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, svc := range t.services {
		svc.markLeaving(upstream)
	}
}

// Totals holds the counts of a service over its upstreams.
type Totals struct {
	// Upstreams is the number of upstreams that are live and not leaving.
	Upstreams int
	// Slots is the number of slots that this member may use now, Used the number
	// that it uses.
	Slots int
	Used  int
	// MeanHoldTime is the moving mean of the time that a slot is held.
	MeanHoldTime time.Duration
}

// Totals returns the counts of a service; they are zero for an unknown one.
func (t *Table) Totals(name string) Totals {
	if svc := t.lookup(name); svc != nil {
		return svc.totals(t.config.Clock.Now())
	}
	return Totals{}
}

// UpstreamCount returns the number of upstreams of the service on the list at the
// last tick. It takes no lock of the service, so avoid may call it during Acquire.
func (t *Table) UpstreamCount(name string) int {
	if svc := t.lookup(name); svc != nil {
		return int(svc.listedCount.Load())
	}
	return 0
}

// Listed says whether the platform's list names the upstream for the service.
func (t *Table) Listed(name, upstream string) bool {
	if svc := t.lookup(name); svc != nil {
		return svc.isListed(upstream)
	}
	return false
}

// Services lists the services that have had upstreams in this data centre since
// New, ordered by name.
func (t *Table) Services() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	names := make([]string, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (t *Table) lookup(name string) *service {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.services[name]
}

func (t *Table) notifyFree(name string) {
	t.callbackMu.Lock()
	callbacks := t.freeCallbacks
	t.callbackMu.Unlock()
	for _, free := range callbacks {
		free(name)
	}
}

// tick reads the platform's list, divides slots and measures demand.
func (t *Table) tick(now time.Duration) {
	t.syncList()
	t.homeLedgers.tick(t, now)
	for _, name := range t.Services() {
		if svc := t.lookup(name); svc != nil {
			svc.measure(now)
		}
		t.notifyFree(name)
	}
}

// syncList updates the upstreams of this data centre from the platform's list.
func (t *Table) syncList() {
	listed := map[string][]cairnbay.Instance{}
	for _, instance := range t.config.Instances() {
		if instance.Kind == cairnbay.InstanceUpstream && instance.DataCentre == t.config.DataCentre {
			listed[instance.Class] = append(listed[instance.Class], instance)
		}
	}
	t.mu.Lock()
	for name := range listed {
		if t.services[name] == nil {
			t.services[name] = newService(name)
		}
	}
	services := make([]*service, 0, len(t.services))
	for _, svc := range t.services {
		services = append(services, svc)
	}
	t.mu.Unlock()
	for _, svc := range services {
		rows := listed[svc.name]
		slices.SortFunc(rows, func(a, b cairnbay.Instance) int { return cmp.Compare(a.ID, b.ID) })
		svc.syncUpstreams(rows, t.modeOf(svc.name))
	}
}

func (t *Table) modeOf(service string) Mode {
	settings := t.config.Settings.Current()
	if settings == nil || settings.Services[service] == nil {
		return ModeGrants
	}
	switch mode := Mode(settings.Services[service].Request.SlotGrants); mode {
	case ModeEqual, ModeLeastLoaded:
		return mode
	default:
		return ModeGrants
	}
}
