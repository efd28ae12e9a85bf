package slots_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/fake/clock"
	"cairnbay/internal/process/slots"
)

const (
	dataCentre = "tallinn-a"
	service    = "quoting"
	perRunner  = 8
)

// member is one entry instance with a clock of its own, which stands still
// while the process is paused.
type member struct {
	id     string
	clock  *clock.Clock
	table  *slots.Table
	live   []string
	paused time.Duration
	taken  []slots.Slot
	// ended ran out while the process was paused.
	ended []slots.Slot
	group *group
}

func (m *member) Self() cairnbay.Member { return cairnbay.Member{ID: m.id, DataCentre: dataCentre} }
func (m *member) Trusted() bool         { return true }
func (m *member) OnChange(func())       {}

func (m *member) Live() []cairnbay.Member {
	var live []cairnbay.Member
	for _, id := range m.live {
		live = append(live, cairnbay.Member{ID: id, DataCentre: dataCentre})
	}
	return live
}

func (m *member) Current() *cairnbay.Settings {
	branch := &cairnbay.Branch{Request: cairnbay.Request{SlotGrants: m.group.mode}}
	return &cairnbay.Settings{Services: map[string]*cairnbay.Branch{service: branch}}
}

// source adapts the member to cairnbay.SettingsSource.
type source struct{ *member }

func (s source) OnChange(func(*cairnbay.Settings)) {}

// letter is a heartbeat under way.
type letter struct {
	from, to *member
	beat     *cairnbayv1.Heartbeat
}

// group is some members before some runners.
type group struct {
	mode    string
	runners []string
	members []*member
	late    []letter
	bytes   int
	now     time.Duration
}

func newGroup(mode string, members, runners int) *group {
	g := &group{mode: mode}
	for i := range runners {
		g.runners = append(g.runners, "quoting-"+strconv.Itoa(i))
	}
	var ids []string
	for i := range members {
		ids = append(ids, "entry-"+strconv.Itoa(i))
	}
	for _, id := range ids {
		m := &member{id: id, clock: clock.New(), live: ids, group: g}
		g.members = append(g.members, m)
	}
	for _, m := range g.members {
		m.table = slots.New(slots.Config{
			Self: m.id, DataCentre: dataCentre, Clock: m.clock, Members: m, Settings: source{m}, Instances: g.list,
		})
	}
	return g
}

func (g *group) list() []cairnbay.Instance {
	var list []cairnbay.Instance
	for _, id := range g.runners {
		list = append(list, cairnbay.Instance{
			ID: id, Kind: cairnbay.InstanceUpstream, DataCentre: dataCentre, Class: service, Slots: perRunner, Address: id,
		})
	}
	for _, m := range g.members {
		list = append(list, cairnbay.Instance{ID: m.id, Kind: cairnbay.InstanceEntry, DataCentre: dataCentre})
	}
	return list
}

// exchange makes one member call another; the answer is lost or late if told so.
func (g *group) exchange(from, to *member, fate string) {
	if from.paused > 0 || to.paused > 0 || fate == "lost" {
		return
	}
	g.send(from, to, fate)
	g.send(to, from, fate)
}

func (g *group) send(from, to *member, fate string) {
	beat := &cairnbayv1.Heartbeat{}
	from.table.FillHeartbeat(to.Self(), beat)
	g.bytes += proto.Size(beat)
	if fate == "late" {
		g.late = append(g.late, letter{from, to, beat})
		return
	}
	to.table.HandleHeartbeat(from.Self(), beat)
}

func (g *group) deliverLate() {
	for i := len(g.late) - 1; i >= 0; i-- {
		late := g.late[i]
		late.to.table.HandleHeartbeat(late.from.Self(), late.beat)
	}
	g.late = nil
}

// advance moves every clock; that of a paused process jumps when it resumes.
func (g *group) advance(by time.Duration) {
	for _, m := range g.members {
		if m.paused <= 0 {
			m.clock.Advance(by)
		}
	}
	g.now += by
	for _, m := range g.members {
		if m.paused > 0 {
			m.paused -= by
			m.resume()
		}
	}
	g.expire()
}

// resume lets a process whose pause is over see how much time went by.
func (m *member) resume() {
	if m.paused > 0 {
		return
	}
	m.clock.Jump(m.group.lag(m))
	for _, slot := range m.ended {
		m.table.Release(slot, true)
	}
	m.ended = nil
}

// lag is how far the member's clock is behind.
func (g *group) lag(m *member) time.Duration {
	return g.now - m.clock.Now()
}

func (g *group) beatAll() {
	for i, from := range g.members {
		for _, to := range g.members[i+1:] {
			g.exchange(from, to, "")
		}
	}
}

// used counts the slots in use of each runner, over all members.
func (g *group) used() map[string]int {
	used := map[string]int{}
	for _, m := range g.members {
		for _, slot := range m.taken {
			used[slot.Upstream.ID]++
		}
	}
	return used
}

func (g *group) total() int {
	sum := 0
	for _, count := range g.used() {
		sum += count
	}
	return sum
}

func (m *member) takeAll() {
	for {
		slot, ok := m.table.Acquire(service, nil)
		if !ok {
			return
		}
		m.taken = append(m.taken, slot)
	}
}

func (m *member) giveAll() {
	for _, slot := range m.taken {
		m.table.Release(slot, true)
	}
	m.taken = nil
}

func TestNoRunnerIsOverCommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup("grants", rapid.IntRange(1, 6).Draw(t, "members"), rapid.IntRange(1, 5).Draw(t, "runners"))
		pick := rapid.IntRange(0, len(g.members)-1)
		actions := map[string]func(*rapid.T){
			"beat": func(t *rapid.T) {
				from, to := g.members[pick.Draw(t, "from")], g.members[pick.Draw(t, "to")]
				if from != to {
					g.exchange(from, to, rapid.SampledFrom([]string{"", "", "lost", "late"}).Draw(t, "fate"))
				}
			},
			"beat_all":     func(*rapid.T) { g.beatAll() },
			"deliver_late": func(*rapid.T) { g.deliverLate() },
			"advance": func(t *rapid.T) {
				g.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"phase": func(t *rapid.T) { g.phase(t) },
			"pause": func(t *rapid.T) {
				m := g.members[pick.Draw(t, "member")]
				if m.paused <= 0 {
					m.paused = time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second
				}
			},
			"view": func(t *rapid.T) {
				m := g.members[pick.Draw(t, "member")]
				m.live = nil
				for _, other := range g.members {
					if other == m || rapid.Bool().Draw(t, "sees") {
						m.live = append(m.live, other.id)
					}
				}
			},
			"heal": func(*rapid.T) {
				var ids []string
				for _, m := range g.members {
					ids = append(ids, m.id)
				}
				for _, m := range g.members {
					m.live = ids
				}
			},
			"take": func(t *rapid.T) {
				if m := g.members[pick.Draw(t, "member")]; m.paused <= 0 {
					m.takeAll()
				}
			},
			"give": func(t *rapid.T) {
				if m := g.members[pick.Draw(t, "member")]; m.paused <= 0 {
					m.giveAll()
				}
			},
			"": func(t *rapid.T) { g.check(t) },
		}
		t.Repeat(actions)
	})
}

// phase lets time pass with members that see each other in sides of a cut, lose
// part of what they send, and use all they may.
func (g *group) phase(t *rapid.T) {
	side := map[*member]int{}
	for _, m := range g.members {
		side[m] = rapid.IntRange(0, 1).Draw(t, "side")
		if rapid.Bool().Draw(t, "follows") {
			m.live = nil
		}
	}
	for _, m := range g.members {
		for _, other := range g.members {
			if m.live == nil || len(m.live) < len(g.members) && side[m] == side[other] {
				m.see(other, side[m] == side[other])
			}
		}
	}
	cut := rapid.Bool().Draw(t, "cut")
	busy := rapid.IntRange(0, 1<<len(g.members)-1).Draw(t, "busy")
	for second := range rapid.IntRange(1, 45).Draw(t, "seconds") {
		g.advance(time.Second)
		for i, from := range g.members {
			for _, to := range g.members[i+1:] {
				if !cut || side[from] == side[to] {
					g.exchange(from, to, []string{"", "", "", "late"}[(second+i)%4])
				}
			}
			if busy>>i&1 == 1 && from.paused <= 0 {
				from.takeAll()
			} else if from.paused <= 0 {
				from.giveAll()
			}
		}
		g.check(t)
	}
}

// see puts other into the member's view, or leaves it out.
func (m *member) see(other *member, seen bool) {
	if (seen || m == other) && !slices.Contains(m.live, other.id) {
		m.live = append(m.live, other.id)
	}
}

func (g *group) check(t *rapid.T) {
	for id, used := range g.used() {
		if used > perRunner {
			t.Fatalf("runner %q has %d of %d slots in use", id, used, perRunner)
		}
	}
}

// expire ends the requests that ran as long as a request may. On the runner
// they end while the process that sent them is paused, too.
func (g *group) expire() {
	for _, m := range g.members {
		now := m.clock.Now() + g.lag(m)
		kept := m.taken[:0]
		for _, slot := range m.taken {
			switch {
			case now-slot.AcquiredAt < 30*time.Second:
				kept = append(kept, slot)
			case m.paused > 0:
				m.ended = append(m.ended, slot)
			default:
				m.table.Release(slot, true)
			}
		}
		m.taken = kept
	}
}

var _ = Describe("Table", func() {
	It("lends every slot once members agree, by demand", func() {
		g := newGroup("grants", 7, 35)
		busy := g.members[0]
		for range 60 {
			busy.takeAll()
			for range 300 {
				busy.table.CountArrival(service)
			}
			g.advance(500 * time.Millisecond)
			g.beatAll()
			busy.giveAll()
		}
		busy.takeAll()
		Expect(g.total()).To(BeNumerically(">", 35*perRunner*7/10))
		for _, m := range g.members[1:] {
			Expect(m.table.Totals(service).Slots).To(BeNumerically(">", 0))
		}
		sum := 0
		for _, m := range g.members {
			sum += m.table.Totals(service).Slots
		}
		Expect(sum).To(Equal(35 * perRunner))
	})

	It("keeps the floor when cut off, and no more", func() {
		g := newGroup("grants", 5, 10)
		for range 10 {
			g.advance(500 * time.Millisecond)
			g.beatAll()
		}
		cut := g.members[0]
		cut.live = []string{cut.id}
		cut.clock.Advance(time.Minute)
		g.now += time.Minute
		totals := cut.table.Totals(service)
		Expect(totals.Slots).To(BeNumerically(">", 0))
		Expect(totals.Slots).To(BeNumerically("<=", 10*2))
	})

	It("gives a leaving upstream no new work from its own sign on", func() {
		g := newGroup("grants", 1, 2)
		g.members[0].table.MarkLeaving("quoting-0")
		g.members[0].takeAll()
		Expect(g.used()).To(Equal(map[string]int{"quoting-1": perRunner}))
	})

	It("divides equally without messages", func() {
		g := newGroup("equal", 7, 35)
		sum := 0
		for _, m := range g.members {
			sum += m.table.Totals(service).Slots
		}
		Expect(sum).To(Equal(35 * perRunner))
		g.beatAll()
		Expect(g.bytes).To(BeZero())
	})

	It("stays under a third of the traffic ceiling", func() {
		const ceiling = 6 << 10
		g := newGroup("grants", 7, 35)
		const seconds = 60
		for range seconds * 2 {
			g.advance(500 * time.Millisecond)
			g.beatAll()
		}
		perMember := g.bytes / seconds / len(g.members)
		GinkgoWriter.Println("slot bytes a second a member:", perMember)
		Expect(perMember).To(BeNumerically("<", ceiling/3*2))
	})
})
