package route

import (
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/slots"
	"cairnbay/internal/request/queue"
)

const (
	service    = "quoting"
	dataCentre = "tallinn-a"
	beatPeriod = 500 * time.Millisecond
	// goneAfter is how long after a cut members stop seeing each other.
	goneAfter = 3 * time.Second
	mebibyte  = 1 << 20
)

// station is one runner: what exceeds its slots waits there.
type station struct {
	factor  float64
	running int
	waiting []func()
}

// entry is one entry instance with its real table and queue.
type entry struct {
	id    string
	model *model
	table *slots.Table
	queue *queue.Queue
	live  []cairnbay.Member
}

// Self is this instance.
func (e *entry) Self() cairnbay.Member { return cairnbay.Member{ID: e.id, DataCentre: dataCentre} }

// Live lists who it sees.
func (e *entry) Live() []cairnbay.Member { return e.live }

// Trusted is always true.
func (e *entry) Trusted() bool { return true }

// OnChange is not used.
func (e *entry) OnChange(func()) {}

// fixedSettings holds one version.
type fixedSettings struct{ current *cairnbay.Settings }

// Current is the version.
func (f fixedSettings) Current() *cairnbay.Settings { return f.current }

// OnChange tells of the version.
func (f fixedSettings) OnChange(adopted func(*cairnbay.Settings)) { adopted(f.current) }

// model is entry instances before runners in computed time.
type model struct {
	clock    *eventClock
	stations map[string]*station
	list     []cairnbay.Instance
	entries  []*entry
	cut      func(a, b int) bool
	totals   totals
}

// totals are what the model measured.
type totals struct {
	waits    *hdrhistogram.Histogram
	over     int
	refused  int
	done     int
	bytes    int
	messages int
}

func newModel(mode slots.Mode, members int, factors []float64) *model {
	m := &model{clock: &eventClock{}, stations: map[string]*station{}, cut: func(int, int) bool { return false }}
	m.totals.waits = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for i, factor := range factors {
		id := "quoting-" + strconv.Itoa(i)
		m.stations[id] = &station{factor: factor}
		m.list = append(m.list, cairnbay.Instance{
			ID: id, Kind: cairnbay.InstanceUpstream, DataCentre: dataCentre, Class: service, Address: id, Slots: slotsPerRunner,
		})
	}
	for i := range members {
		id := "entry-" + strconv.Itoa(i)
		m.entries = append(m.entries, &entry{id: id, model: m})
		m.list = append(m.list, cairnbay.Instance{ID: id, Kind: cairnbay.InstanceEntry, DataCentre: dataCentre})
	}
	m.see(m.entries)
	branch := &cairnbay.Branch{Request: cairnbay.Request{SlotGrants: string(mode)}}
	settings := fixedSettings{&cairnbay.Settings{Services: map[string]*cairnbay.Branch{service: branch}}}
	for _, entry := range m.entries {
		entry.start(settings)
	}
	m.clock.Every(beatPeriod, m.beat)
	return m
}

func (e *entry) start(settings cairnbay.SettingsSource) {
	e.table = slots.New(slots.Config{
		Self: e.id, DataCentre: dataCentre, Clock: e.model.clock, Members: e, Settings: settings,
		Instances: func() []cairnbay.Instance { return e.model.list },
	})
	e.queue = queue.New(queue.Config{
		Service: service, Clock: e.model.clock, Slots: e.table,
		Limits: func() queue.Limits { return queue.Limits{Length: 100000, Bytes: mebibyte} },
	})
	e.table.OnFree(func(string) { e.queue.Dispatch() })
}

// see makes these entries see each other and nobody else.
func (m *model) see(side []*entry) {
	var live []cairnbay.Member
	for _, entry := range side {
		live = append(live, entry.Self())
	}
	for _, entry := range side {
		entry.live = live
	}
}

func (m *model) beat(time.Duration) {
	for i, from := range m.entries {
		for j := i + 1; j < len(m.entries); j++ {
			if !m.cut(i, j) {
				m.send(from, m.entries[j])
				m.send(m.entries[j], from)
			}
		}
	}
}

func (m *model) send(from, to *entry) {
	beat := &cairnbayv1.Heartbeat{}
	from.table.FillHeartbeat(to.Self(), beat)
	if size := proto.Size(beat); size > 0 {
		m.totals.bytes += size
		m.totals.messages++
	}
	to.table.HandleHeartbeat(from.Self(), beat)
}

// arrive puts one request of the load into its entry's queue.
func (m *model) arrive(request arrival) {
	entry := m.entries[request.member]
	item := &queue.Item{Team: "team", Weight: 1, Deadline: m.clock.now + patience}
	item.Done = func(result queue.Result) {
		if result.Err != nil {
			m.totals.refused++
			return
		}
		m.work(entry, item, result.Slot, request)
	}
	entry.queue.Push(item)
}

// work runs a request on its runner, once the runner has room.
func (m *model) work(entry *entry, item *queue.Item, slot slots.Slot, request arrival) {
	taken := m.clock.now
	station := m.stations[slot.Upstream.ID]
	begin := func() {
		station.running++
		if request.at >= warmUp {
			_ = m.totals.waits.RecordValue((m.clock.now - request.at).Microseconds())
		}
		length := time.Duration(float64(request.work) * station.factor)
		m.clock.At(m.clock.now+length, func(now time.Duration) {
			station.end()
			m.totals.done++
			entry.queue.Finish(item, now-taken)
			entry.table.Release(slot, true)
		})
	}
	if station.running < slotsPerRunner {
		begin()
		return
	}
	station.waiting = append(station.waiting, begin)
	m.totals.over = max(m.totals.over, len(station.waiting))
}

func (s *station) end() {
	s.running--
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		next()
	}
}
