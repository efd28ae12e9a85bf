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
	dataCentre     = "tallinn-a"
	service        = "quoting"
	slotsPerRunner = 8
)

// member is one entry instance with its own clock, which does not advance while the
// process is paused.
type member struct {
	id       string
	clock    *clock.Clock
	table    *slots.Table
	live     []string
	paused   time.Duration
	acquired []slots.Slot
	// ended holds the slots of requests that ended while the process was paused.
	ended   []slots.Slot
	cluster *cluster
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
	branch := &cairnbay.Branch{Request: cairnbay.Request{SlotGrants: m.cluster.mode}}
	return &cairnbay.Settings{Services: map[string]*cairnbay.Branch{service: branch}}
}

// source adapts the member to cairnbay.SettingsSource.
type source struct{ *member }

func (s source) OnChange(func(*cairnbay.Settings)) {}

// delayedBeat is a heartbeat that has not been delivered yet.
type delayedBeat struct {
	from, to *member
	beat     *cairnbayv1.Heartbeat
}

// cluster is a set of members that share the slots of a set of runners.
type cluster struct {
	mode    string
	runners []string
	members []*member
	delayed []delayedBeat
	bytes   int
	now     time.Duration
}

func newCluster(mode string, members, runners int) *cluster {
	c := &cluster{mode: mode}
	for i := range runners {
		c.runners = append(c.runners, "quoting-"+strconv.Itoa(i))
	}
	var ids []string
	for i := range members {
		ids = append(ids, "entry-"+strconv.Itoa(i))
	}
	for _, id := range ids {
		m := &member{id: id, clock: clock.New(), live: ids, cluster: c}
		c.members = append(c.members, m)
	}
	for _, m := range c.members {
		m.table = slots.New(slots.Config{
			Self: m.id, DataCentre: dataCentre, Clock: m.clock, Members: m, Settings: source{m}, Instances: c.instances,
		})
	}
	return c
}

func (c *cluster) instances() []cairnbay.Instance {
	var list []cairnbay.Instance
	for _, id := range c.runners {
		list = append(list, cairnbay.Instance{
			ID: id, Kind: cairnbay.InstanceUpstream, DataCentre: dataCentre, Class: service, Slots: slotsPerRunner, Address: id,
		})
	}
	for _, m := range c.members {
		list = append(list, cairnbay.Instance{ID: m.id, Kind: cairnbay.InstanceEntry, DataCentre: dataCentre})
	}
	return list
}

// exchange sends a heartbeat from one member to another and one back. Delivery
// "lost" drops both, "late" delays both until deliverDelayed.
func (c *cluster) exchange(from, to *member, delivery string) {
	if from.paused > 0 || to.paused > 0 || delivery == "lost" {
		return
	}
	c.send(from, to, delivery)
	c.send(to, from, delivery)
}

func (c *cluster) send(from, to *member, delivery string) {
	beat := &cairnbayv1.Heartbeat{}
	from.table.FillHeartbeat(to.Self(), beat)
	c.bytes += proto.Size(beat)
	if delivery == "late" {
		c.delayed = append(c.delayed, delayedBeat{from, to, beat})
		return
	}
	to.table.HandleHeartbeat(from.Self(), beat)
}

func (c *cluster) deliverDelayed() {
	for i := len(c.delayed) - 1; i >= 0; i-- {
		delayed := c.delayed[i]
		delayed.to.table.HandleHeartbeat(delayed.from.Self(), delayed.beat)
	}
	c.delayed = nil
}

// advance advances every clock; that of a paused process jumps when it resumes.
func (c *cluster) advance(by time.Duration) {
	for _, m := range c.members {
		if m.paused <= 0 {
			m.clock.Advance(by)
		}
	}
	c.now += by
	for _, m := range c.members {
		if m.paused > 0 {
			m.paused -= by
			m.resume()
		}
	}
	c.endRequests()
}

// resume adds the length of the pause to the clock of a process whose pause has
// ended, and releases the slots of the requests that ended meanwhile.
func (m *member) resume() {
	if m.paused > 0 {
		return
	}
	m.clock.Jump(m.cluster.clockLag(m))
	for _, slot := range m.ended {
		m.table.Release(slot, true)
	}
	m.ended = nil
}

// clockLag returns how far the member's clock is behind that of the cluster.
func (c *cluster) clockLag(m *member) time.Duration {
	return c.now - m.clock.Now()
}

func (c *cluster) exchangeAll() {
	for i, from := range c.members {
		for _, to := range c.members[i+1:] {
			c.exchange(from, to, "")
		}
	}
}

// usedSlots counts the slots in use of each runner over all members.
func (c *cluster) usedSlots() map[string]int {
	used := map[string]int{}
	for _, m := range c.members {
		for _, slot := range m.acquired {
			used[slot.Upstream.ID]++
		}
	}
	return used
}

func (c *cluster) totalUsed() int {
	sum := 0
	for _, count := range c.usedSlots() {
		sum += count
	}
	return sum
}

func (m *member) acquireAll() {
	for {
		slot, ok := m.table.Acquire(service, nil)
		if !ok {
			return
		}
		m.acquired = append(m.acquired, slot)
	}
}

func (m *member) releaseAll() {
	for _, slot := range m.acquired {
		m.table.Release(slot, true)
	}
	m.acquired = nil
}

func TestNoRunnerIsOverCommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster("grants", rapid.IntRange(1, 6).Draw(t, "members"), rapid.IntRange(1, 5).Draw(t, "runners"))
		pick := rapid.IntRange(0, len(c.members)-1)
		actions := map[string]func(*rapid.T){
			"beat": func(t *rapid.T) {
				from, to := c.members[pick.Draw(t, "from")], c.members[pick.Draw(t, "to")]
				if from != to {
					c.exchange(from, to, rapid.SampledFrom([]string{"", "", "lost", "late"}).Draw(t, "delivery"))
				}
			},
			"beat_all":     func(*rapid.T) { c.exchangeAll() },
			"deliver_late": func(*rapid.T) { c.deliverDelayed() },
			"advance": func(t *rapid.T) {
				c.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"phase": func(t *rapid.T) { c.runPhase(t) },
			"pause": func(t *rapid.T) {
				m := c.members[pick.Draw(t, "member")]
				if m.paused <= 0 {
					m.paused = time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second
				}
			},
			"view": func(t *rapid.T) {
				m := c.members[pick.Draw(t, "member")]
				m.live = nil
				for _, other := range c.members {
					if other == m || rapid.Bool().Draw(t, "visible") {
						m.live = append(m.live, other.id)
					}
				}
			},
			"heal": func(*rapid.T) {
				var ids []string
				for _, m := range c.members {
					ids = append(ids, m.id)
				}
				for _, m := range c.members {
					m.live = ids
				}
			},
			"take": func(t *rapid.T) {
				if m := c.members[pick.Draw(t, "member")]; m.paused <= 0 {
					m.acquireAll()
				}
			},
			"give": func(t *rapid.T) {
				if m := c.members[pick.Draw(t, "member")]; m.paused <= 0 {
					m.releaseAll()
				}
			},
			"": func(t *rapid.T) { c.checkCapacity(t) },
		}
		t.Repeat(actions)
	})
}

// runPhase advances time while members see only those on their side of a partition,
// part of the heartbeats arrives late, and the busy members use all their slots.
func (c *cluster) runPhase(t *rapid.T) {
	side := map[*member]int{}
	for _, m := range c.members {
		side[m] = rapid.IntRange(0, 1).Draw(t, "side")
		if rapid.Bool().Draw(t, "resetView") {
			m.live = nil
		}
	}
	for _, m := range c.members {
		for _, other := range c.members {
			if m.live == nil || len(m.live) < len(c.members) && side[m] == side[other] {
				m.setVisible(other, side[m] == side[other])
			}
		}
	}
	cut := rapid.Bool().Draw(t, "cut")
	busy := rapid.IntRange(0, 1<<len(c.members)-1).Draw(t, "busy")
	for second := range rapid.IntRange(1, 45).Draw(t, "seconds") {
		c.advance(time.Second)
		for i, from := range c.members {
			for _, to := range c.members[i+1:] {
				if !cut || side[from] == side[to] {
					c.exchange(from, to, []string{"", "", "", "late"}[(second+i)%4])
				}
			}
			if busy>>i&1 == 1 && from.paused <= 0 {
				from.acquireAll()
			} else if from.paused <= 0 {
				from.releaseAll()
			}
		}
		c.checkCapacity(t)
	}
}

// setVisible adds other to the members that m sees as live if visible. A member
// always sees itself.
func (m *member) setVisible(other *member, visible bool) {
	if (visible || m == other) && !slices.Contains(m.live, other.id) {
		m.live = append(m.live, other.id)
	}
}

func (c *cluster) checkCapacity(t *rapid.T) {
	for id, used := range c.usedSlots() {
		if used > slotsPerRunner {
			t.Fatalf("runner %q has %d of %d slots in use", id, used, slotsPerRunner)
		}
	}
}

// endRequests ends the requests that have run for the longest time allowed. On the
// runner they also end while the process that sent them is paused.
func (c *cluster) endRequests() {
	for _, m := range c.members {
		now := m.clock.Now() + c.clockLag(m)
		running := m.acquired[:0]
		for _, slot := range m.acquired {
			switch {
			case now-slot.AcquiredAt < 30*time.Second:
				running = append(running, slot)
			case m.paused > 0:
				m.ended = append(m.ended, slot)
			default:
				m.table.Release(slot, true)
			}
		}
		m.acquired = running
	}
}

var _ = Describe("Table", func() {
	It("grants every slot, by demand, once the members agree", func() {
		c := newCluster("grants", 7, 35)
		busy := c.members[0]
		for range 60 {
			busy.acquireAll()
			for range 300 {
				busy.table.CountArrival(service)
			}
			c.advance(500 * time.Millisecond)
			c.exchangeAll()
			busy.releaseAll()
		}
		busy.acquireAll()
		Expect(c.totalUsed()).To(BeNumerically(">", 35*slotsPerRunner*7/10))
		for _, m := range c.members[1:] {
			Expect(m.table.Totals(service).Slots).To(BeNumerically(">", 0))
		}
		sum := 0
		for _, m := range c.members {
			sum += m.table.Totals(service).Slots
		}
		Expect(sum).To(Equal(35 * slotsPerRunner))
	})

	It("keeps at most the floor slots of each upstream when cut off", func() {
		c := newCluster("grants", 5, 10)
		for range 10 {
			c.advance(500 * time.Millisecond)
			c.exchangeAll()
		}
		cut := c.members[0]
		cut.live = []string{cut.id}
		cut.clock.Advance(time.Minute)
		c.now += time.Minute
		totals := cut.table.Totals(service)
		Expect(totals.Slots).To(BeNumerically(">", 0))
		Expect(totals.Slots).To(BeNumerically("<=", 10*2))
	})

	It("gives a leaving upstream no new work once it has announced that it leaves", func() {
		c := newCluster("grants", 1, 2)
		c.members[0].table.MarkLeaving("quoting-0")
		c.members[0].acquireAll()
		Expect(c.usedSlots()).To(Equal(map[string]int{"quoting-1": slotsPerRunner}))
	})

	It("divides slots equally without messages", func() {
		c := newCluster("equal", 7, 35)
		sum := 0
		for _, m := range c.members {
			sum += m.table.Totals(service).Slots
		}
		Expect(sum).To(Equal(35 * slotsPerRunner))
		c.exchangeAll()
		Expect(c.bytes).To(BeZero())
	})

	It("stays under two thirds of the traffic ceiling", func() {
		const maxBytesPerSecond = 6 << 10
		c := newCluster("grants", 7, 35)
		const seconds = 60
		for range seconds * 2 {
			c.advance(500 * time.Millisecond)
			c.exchangeAll()
		}
		perMember := c.bytes / seconds / len(c.members)
		GinkgoWriter.Println("slot bytes per second and member:", perMember)
		Expect(perMember).To(BeNumerically("<", maxBytesPerSecond/3*2))
	})
})
