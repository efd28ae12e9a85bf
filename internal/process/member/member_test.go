package member_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
	"cairnbay/internal/fake/clock"
	"cairnbay/internal/fake/mesh"
	"cairnbay/internal/process/member"
	"cairnbay/internal/process/timer"
)

// server handles the calls to one member.
type server struct {
	cairnbayv1connect.UnimplementedMemberServiceHandler

	member *member.Member
}

func (s *server) Beat(
	ctx context.Context, request *connect.Request[cairnbayv1.BeatRequest],
) (*connect.Response[cairnbayv1.BeatResponse], error) {
	answer, err := s.member.HandleBeat(ctx, request.Msg)
	return connect.NewResponse(answer), err
}

// cluster is a set of members on one fake network, in virtual time.
type cluster struct {
	*WithT

	clock     *timer.Service
	mesh      *mesh.Mesh
	instances atomic.Pointer[[]cairnbay.Instance]
	members   map[string]*member.Member
	// version is the settings version of every member.
	version uint64
}

// runCluster starts members named after data centre and number, and calls test once
// they have exchanged heartbeats.
func runCluster(t *testing.T, dataCentres map[string]int, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		service := timer.New()
		defer service.Close()
		c := &cluster{
			WithT: NewWithT(t), clock: service, mesh: mesh.New(service, 1500*time.Microsecond),
			members: make(map[string]*member.Member),
		}
		var ids []string
		for dataCentre, count := range dataCentres {
			for number := range count {
				ids = append(ids, fmt.Sprintf("%s-%d", dataCentre, number))
			}
		}
		c.setList(ids...)
		for _, id := range ids {
			c.start(id, id, 1)
		}
		defer func() {
			for _, started := range c.members {
				started.Close()
			}
		}()
		time.Sleep(5 * time.Second)
		test(c)
	})
}

// setList sets the entry instances on the platform's list.
func (c *cluster) setList(ids ...string) {
	var list []cairnbay.Instance
	for _, id := range ids {
		list = append(list, cairnbay.Instance{ID: id, Kind: cairnbay.InstanceEntry, DataCentre: id[:1], Address: id})
	}
	c.instances.Store(&list)
}

func (c *cluster) start(id, address string, life int64) *member.Member {
	started := member.New(member.Config{
		ID: id, DataCentre: id[:1], Address: address, StartedUnixMS: life, Clock: c.clock,
		Instances:       func() []cairnbay.Instance { return *c.instances.Load() },
		SettingsVersion: func() (uint64, string) { return c.version, "" },
		Dial:            c.mesh.Dialer(address),
	})
	c.members[address] = started
	c.mesh.Attach(address, &server{member: started})
	return started
}

func (c *cluster) kill(address string) {
	c.mesh.Attach(address, nil)
	c.members[address].Close()
	delete(c.members, address)
}

// liveIDs lists the IDs of a member's Live, with a question mark after suspects.
func (c *cluster) liveIDs(address string) []string {
	var ids []string
	for _, other := range c.members[address].Live() {
		id := other.ID
		if other.Suspect {
			id += "?"
		}
		ids = append(ids, id)
	}
	return ids
}

func (c *cluster) setPartition(cut bool, sides ...[]string) {
	for _, a := range sides[0] {
		for _, b := range sides[1] {
			c.mesh.Cut(a, b, cut)
			c.mesh.Cut(b, a, cut)
		}
	}
}

func TestAllMembersLive(t *testing.T) {
	runCluster(t, map[string]int{"a": 3, "b": 3, "c": 3}, func(c *cluster) {
		for address := range c.members {
			c.Expect(c.liveIDs(address)).To(HaveLen(9), address)
		}
		time.Sleep(5 * time.Minute)
		for address := range c.members {
			c.Expect(c.liveIDs(address)).To(Equal([]string{"a-0", "a-1", "a-2", "b-0", "b-1", "b-2", "c-0", "c-1", "c-2"}), address)
			c.Expect(c.members[address].Trusted()).To(BeTrue())
		}
	})
}

func TestDetection(t *testing.T) {
	scenarios := []struct {
		name  string
		fault func(c *cluster)
		after time.Duration
		want  map[string][]string
	}{
		{
			"a stopped member is suspect", func(c *cluster) { c.kill("a-2") }, 5 * time.Second,
			map[string][]string{"a-0": {"a-0", "a-1", "a-2?", "b-0", "b-1"}},
		},
		{
			"a stopped member is gone in its data centre", func(c *cluster) { c.kill("a-2") }, 12 * time.Second,
			map[string][]string{"a-0": {"a-0", "a-1", "b-0", "b-1"}},
		},
		{
			"a stopped member is gone in every data centre", func(c *cluster) { c.kill("a-2") }, 60 * time.Second,
			map[string][]string{"a-0": {"a-0", "a-1", "b-0", "b-1"}, "b-1": {"a-0", "a-1", "b-0", "b-1"}},
		},
		{
			"a link cut in one direction removes no member", func(c *cluster) { c.mesh.Cut("a-0", "a-1", true) }, time.Minute,
			map[string][]string{"a-0": {"a-0", "a-1", "a-2", "b-0", "b-1"}, "a-1": {"a-0", "a-1", "a-2", "b-0", "b-1"}},
		},
		{"unresponsive connections are replaced", func(c *cluster) {
			c.mesh.Silence("a-0", "a-1")
			c.mesh.Silence("a-1", "a-0")
		}, 10 * time.Second, map[string][]string{"a-0": {"a-0", "a-1", "a-2", "b-0", "b-1"}}},
		{
			"live members missing from the list stay live", func(c *cluster) { c.setList() }, time.Minute,
			map[string][]string{"a-0": {"a-0", "a-1", "a-2", "b-0", "b-1"}},
		},
		{"members across a cut between data centres are gone", func(c *cluster) {
			c.setPartition(true, []string{"a-0", "a-1", "a-2"}, []string{"b-0", "b-1"})
		}, time.Minute, map[string][]string{"a-0": {"a-0", "a-1", "a-2"}, "b-0": {"b-0", "b-1"}}},
		{"all members of a data centre are replaced at once", func(c *cluster) {
			for number := range 3 {
				c.kill(fmt.Sprintf("a-%d", number))
			}
			c.setList("a-7", "a-8", "b-0", "b-1")
			c.start("a-7", "a-7", 2)
			c.start("a-8", "a-8", 2)
		}, time.Minute, map[string][]string{"a-7": {"a-7", "a-8", "b-0", "b-1"}, "b-1": {"a-7", "a-8", "b-0", "b-1"}}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			runCluster(t, map[string]int{"a": 3, "b": 2}, func(c *cluster) {
				scenario.fault(c)
				time.Sleep(scenario.after)
				for address, want := range scenario.want {
					c.Expect(c.liveIDs(address)).To(Equal(want), address)
				}
			})
		})
	}
}

func TestPartitionHeals(t *testing.T) {
	runCluster(t, map[string]int{"a": 3, "b": 3}, func(c *cluster) {
		sides := [][]string{{"a-0", "a-1", "a-2"}, {"b-0", "b-1", "b-2"}}
		c.setPartition(true, sides...)
		time.Sleep(3 * time.Minute)
		c.setPartition(false, sides...)
		time.Sleep(10 * time.Second)
		for address := range c.members {
			c.Expect(c.liveIDs(address)).To(HaveLen(6), address)
		}
	})
}

// TestMissingDigests checks that a peer which already has a member's full digest
// gets only its age until it reports the digest as missing, and that the full
// digest is requested for the age of an unknown member.
func TestMissingDigests(t *testing.T) {
	g := NewWithT(t)
	fakeClock := clock.New()
	receiver := member.New(member.Config{
		ID: "a-0", DataCentre: "a", Address: "a-0", Clock: fakeClock, Dial: mesh.New(fakeClock, 0).Dialer("a-0"),
	})
	defer receiver.Close()
	beat := func(id, dataCentre string, missing []string, digests ...*cairnbayv1.MemberDigest) *cairnbayv1.Heartbeat {
		answer, err := receiver.HandleBeat(context.Background(), &cairnbayv1.BeatRequest{Heartbeat: &cairnbayv1.Heartbeat{
			Self:    &cairnbayv1.MemberDigest{Id: id, DataCentre: dataCentre, Address: id, StartedUnixMs: 1},
			Missing: missing, Digest: digests,
		}})
		g.Expect(err).NotTo(HaveOccurred())
		return answer.GetHeartbeat()
	}
	beat("b-0", "b", nil)
	g.Expect(beat("a-1", "a", nil).GetDigest()[0].GetAddress()).To(Equal("b-0"))
	fakeClock.Advance(6 * time.Second)
	g.Expect(beat("a-1", "a", nil).GetDigest()).To(BeEmpty())
	fakeClock.Advance(6 * time.Second)
	beat("b-0", "b", nil)
	refreshed := beat("a-1", "a", nil, &cairnbayv1.MemberDigest{Id: "c-0", StartedUnixMs: 1})
	g.Expect(refreshed.GetDigest()).To(HaveLen(1))
	g.Expect(refreshed.GetDigest()[0].GetAddress()).To(BeEmpty())
	g.Expect(refreshed.GetMissing()).To(Equal([]string{"c-0"}))
	g.Expect(beat("a-1", "a", []string{"b-0"}).GetDigest()[0].GetAddress()).To(Equal("b-0"))
}

func TestLeave(t *testing.T) {
	runCluster(t, map[string]int{"a": 3, "b": 3}, func(c *cluster) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c.members["a-2"].Leave(ctx)
		for _, other := range c.members["a-0"].Live() {
			c.Expect(other.Leaving).To(Equal(other.ID == "a-2"))
		}
		time.Sleep(5 * time.Second)
		for _, other := range c.members["b-0"].Live() {
			c.Expect(other.Leaving).To(Equal(other.ID == "a-2"))
		}
	})
}

func TestSuperseded(t *testing.T) {
	runCluster(t, map[string]int{"a": 3}, func(c *cluster) {
		later := c.start("a-0", "elsewhere", 2)
		first := c.members["a-0"]
		time.Sleep(5 * time.Second)
		c.Expect(first.Superseded()).To(BeTrue())
		c.Expect(first.Trusted()).To(BeFalse())
		c.Expect(later.Superseded()).To(BeFalse())
		for _, other := range c.members["a-1"].Live() {
			if other.ID == "a-0" {
				c.Expect(other.Address).To(Equal("elsewhere"))
			}
		}
	})
}

func TestPause(t *testing.T) {
	g := NewWithT(t)
	fakeClock := clock.New()
	paused := member.New(member.Config{
		ID: "a-0", DataCentre: "a", Address: "a-0", Clock: fakeClock, Dial: mesh.New(fakeClock, 0).Dialer("a-0"),
	})
	defer paused.Close()
	receive := func(ids ...string) {
		for _, id := range ids {
			_, err := paused.HandleBeat(context.Background(), &cairnbayv1.BeatRequest{Heartbeat: &cairnbayv1.Heartbeat{
				Self: &cairnbayv1.MemberDigest{Id: id, DataCentre: "a", Address: id, StartedUnixMs: 1},
			}})
			g.Expect(err).NotTo(HaveOccurred())
		}
	}
	receive("a-1", "a-2", "a-3")
	fakeClock.Advance(time.Second)
	g.Expect(paused.Trusted()).To(BeTrue())
	fakeClock.Jump(time.Minute)
	g.Expect(paused.Trusted()).To(BeFalse())
	g.Expect(paused.Live()).To(HaveLen(4), "silence during its own pause removes no peer")
	receive("a-1")
	g.Expect(paused.Trusted()).To(BeFalse())
	receive("a-2")
	g.Expect(paused.Trusted()).To(BeTrue())
	fakeClock.Jump(time.Minute)
	fakeClock.Advance(20 * time.Second)
	g.Expect(paused.Trusted()).To(BeTrue(), "a member alone, with all peers gone, is trusted")
	g.Expect(paused.Live()).To(HaveLen(1))
}

func TestTraffic(t *testing.T) {
	const maxBytesPerSecond = 6 << 10
	for _, size := range []int{1, 6} {
		dataCentres := make(map[string]int)
		for _, dataCentre := range []string{"a", "b", "c", "d", "e", "f"} {
			dataCentres[dataCentre] = size
		}
		runCluster(t, dataCentres, func(c *cluster) {
			before := make(map[string]int)
			for address := range c.members {
				before[address] = c.mesh.Bytes(address)
			}
			const span = 20 * time.Second
			time.Sleep(span)
			highest := 0.0
			for address := range c.members {
				highest = max(highest, float64(c.mesh.Bytes(address)-before[address])/span.Seconds())
				c.Expect(c.liveIDs(address)).To(HaveLen(len(c.members)), address)
			}
			t.Logf("%d members: worst member sends and receives %.0f message bytes per second", len(c.members), highest)
			c.Expect(highest).To(BeNumerically("<", maxBytesPerSecond))
		})
	}
}

// laggingClock is a clock whose callbacks have not run yet after a pause.
type laggingClock struct {
	*clock.Clock
	offset atomic.Int64
}

func (c *laggingClock) Now() time.Duration { return c.Clock.Now() + time.Duration(c.offset.Load()) }

// TestPauseDetectedByHeartbeat: a heartbeat may be the first event after a pause; the length of the pause must
// not count as silence of the other members.
func TestPauseDetectedByHeartbeat(t *testing.T) {
	g := NewWithT(t)
	fakeClock := &laggingClock{Clock: clock.New()}
	paused := member.New(member.Config{
		ID: "a-0", DataCentre: "a", Address: "a-0", Clock: fakeClock, Dial: mesh.New(fakeClock, 0).Dialer("a-0"),
	})
	defer paused.Close()
	receive := func(id string) {
		_, err := paused.HandleBeat(context.Background(), &cairnbayv1.BeatRequest{Heartbeat: &cairnbayv1.Heartbeat{
			Self: &cairnbayv1.MemberDigest{Id: id, DataCentre: "a", Address: id, StartedUnixMs: 1},
		}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	receive("a-1")
	receive("a-2")
	receive("a-3")
	fakeClock.Advance(time.Second)
	fakeClock.offset.Store(int64(time.Minute))
	receive("a-1")
	g.Expect(paused.Trusted()).To(BeFalse())
	g.Expect(paused.Live()).To(HaveLen(4))
	receive("a-2")
	g.Expect(paused.Trusted()).To(BeTrue())
}
