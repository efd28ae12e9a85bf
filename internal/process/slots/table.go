// Package slots shares the slots of upstreams between the entry instances of a
// data centre. Each upstream has a home member, chosen by rendezvous hashing,
// that lends its slots under short leases carried on heartbeats.
package slots

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cairnbay"
)

var _ cairnbay.HeartbeatDelegate = (*Table)(nil)

// Mode chooses how slots are shared.
type Mode string

// Modes, as the setting slot_grants names them.
const (
	// ModeGrants lends slots by demand.
	ModeGrants Mode = "grants"
	// ModeEqual gives every member the same fixed share.
	ModeEqual Mode = "equal"
	// ModeLeastLoaded takes the upstream that this member loads least, without
	// regard to other members; slots may be over-committed.
	ModeLeastLoaded Mode = "least_loaded"
)

// Times and limits of loans.
const (
	// lease is how long a grant holds, counted from the demand it answers.
	lease = 4 * time.Second
	// reportFresh is how old a demand may be for its member to count as heard.
	reportFresh = 2 * time.Second
	// turnWait is how long a member reports to no home when the home changes, so
	// that the former one no longer counts it; 10 % is for drift between clocks.
	turnWait = reportFresh * 11 / 10
	// quarantine is how long a majority must have reported to a home before it
	// takes slots of the others for returned.
	quarantine = lease*11/10 + drainTime
	// drainTime is how long requests of a member that fell silent may run on.
	drainTime = 30 * time.Second
	// floorSlots is what a member keeps of an upstream when its grant lapses.
	floorSlots = 2
	// moveShare is the relative change of a member's share that moves slots.
	moveShare = 0.07
	// leastShare is the share of the demand that an idle member counts for.
	leastShare = 0.03
	// reportPeriod is the least time between two reports to one peer.
	reportPeriod = 900 * time.Millisecond
	// tickPeriod is how often demand is measured and slots are divided.
	tickPeriod = 250 * time.Millisecond
	// defaultSlots is assumed for an upstream whose list row names none.
	defaultSlots = 8
)

// Config is what a Table is made of.
type Config struct {
	Self       string
	DataCentre string
	Clock      cairnbay.Clock
	Members    cairnbay.Members
	Settings   cairnbay.SettingsSource
	// Instances is the platform's list as last read.
	Instances func() []cairnbay.Instance
}

// Table is this member's view of all upstreams of its data centre.
type Table struct {
	config Config
	cancel func()

	mu       sync.RWMutex
	services map[string]*service

	homes homes
	sent  sent
	onMu  sync.Mutex
	on    []func(service string)
}

// Slot is one taken slot of an upstream.
type Slot struct {
	Upstream cairnbay.Instance
	// AcquiredAt is when, on the clock of the table.
	AcquiredAt time.Duration
	service    *service
	entry      *upstream
}

// New returns a table that follows the list and the heartbeats. Close ends it.
func New(config Config) *Table {
	table := &Table{config: config, services: map[string]*service{}}
	table.homes.ledgers = map[string]*ledger{}
	table.sent.last = map[string]time.Duration{}
	table.tick(config.Clock.Now())
	table.cancel = config.Clock.Every(tickPeriod, table.tick)
	return table
}

// Close ends the table's ticks.
func (t *Table) Close() {
	t.cancel()
}

// OnFree calls free whenever a slot of the service may have become free.
func (t *Table) OnFree(free func(service string)) {
	t.onMu.Lock()
	defer t.onMu.Unlock()
	t.on = append(t.on, free)
}

// Acquire takes a slot of an upstream of the service that avoid does not name; ok
// is false when there is none.
func (t *Table) Acquire(name string, avoid func(upstream string) bool) (slot Slot, ok bool) {
	known := t.find(name)
	if known == nil {
		return Slot{}, false
	}
	return known.take(t.config.Clock.Now(), avoid)
}

// Release returns a slot after its request is over. Timed says that the time it was
// held tells the upstream's speed, which that of a failed request or a long
// answer does not.
func (t *Table) Release(slot Slot, timed bool) {
	slot.service.give(slot, t.config.Clock.Now(), timed)
	t.freed(slot.service.name)
}

// SetWaiting tells the table how many requests wait for the service.
func (t *Table) SetWaiting(name string, waiting int) {
	if known := t.find(name); known != nil {
		known.waiting.Store(int64(waiting))
	}
}

// CountArrival counts one request for the service, whether or not it is served.
func (t *Table) CountArrival(name string) {
	if known := t.find(name); known != nil {
		known.arrived.Add(1)
	}
}

// MarkLeaving stops new work to an upstream that said itself that it leaves,
// until the list shows it gone.
func (t *Table) MarkLeaving(upstream string) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, known := range t.services {
		known.markLeaving(upstream)
	}
}

// Totals are the counts of a service over its live upstreams.
type Totals struct {
	// Upstreams is how many are live and not leaving.
	Upstreams int
	// Slots is how many this member may use now; Used is how many it does.
	Slots int
	Used  int
	// MeanHoldTime is the mean time that a slot is held.
	MeanHoldTime time.Duration
}

// Totals returns the counts of a service.
func (t *Table) Totals(name string) Totals {
	if known := t.find(name); known != nil {
		return known.totals(t.config.Clock.Now())
	}
	return Totals{}
}

// UpstreamCount is how many upstreams of the service were live at the last tick; it
// may be called while a slot is taken.
func (t *Table) UpstreamCount(name string) int {
	if known := t.find(name); known != nil {
		return int(known.live.Load())
	}
	return 0
}

// Listed says whether the list shows the upstream for the service.
func (t *Table) Listed(name, upstream string) bool {
	if known := t.find(name); known != nil {
		return known.lists(upstream)
	}
	return false
}

// Services lists the services that have upstreams here.
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

func (t *Table) find(name string) *service {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.services[name]
}

func (t *Table) freed(name string) {
	t.onMu.Lock()
	on := t.on
	t.onMu.Unlock()
	for _, free := range on {
		free(name)
	}
}

// tick follows the list, measures demand and divides slots.
func (t *Table) tick(now time.Duration) {
	t.follow()
	t.homes.tick(t, now)
	for _, name := range t.Services() {
		if known := t.find(name); known != nil {
			known.measure(now)
		}
		t.freed(name)
	}
}

// follow takes the upstreams of this data centre from the list.
func (t *Table) follow() {
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
	for _, known := range t.services {
		services = append(services, known)
	}
	t.mu.Unlock()
	for _, known := range services {
		rows := listed[known.name]
		slices.SortFunc(rows, func(a, b cairnbay.Instance) int { return cmp.Compare(a.ID, b.ID) })
		known.follow(rows, t.mode(known.name))
	}
}

func (t *Table) mode(service string) Mode {
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
