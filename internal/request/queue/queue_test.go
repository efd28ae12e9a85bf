package queue_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/fake/clock"
	"cairnbay/internal/process/slots"
	"cairnbay/internal/request/queue"
)

// fakeSlots counts the free slots of one service and names no upstreams.
type fakeSlots struct {
	free, total  int
	upstreams    int
	meanHoldTime time.Duration
}

func (s *fakeSlots) Acquire(string, func(string) bool) (slots.Slot, bool) {
	if s.free == 0 {
		return slots.Slot{}, false
	}
	s.free--
	return slots.Slot{}, true
}

func (s *fakeSlots) Totals(string) slots.Totals {
	return slots.Totals{Upstreams: s.upstreams, Slots: s.total, Used: s.total - s.free, MeanHoldTime: s.meanHoldTime}
}

func (s *fakeSlots) SetWaiting(string, int) {}
func (s *fakeSlots) CountArrival(string)    {}

// fixture is a queue with fake slots and a simulated clock.
type fixture struct {
	clock *clock.Clock
	slots *fakeSlots
	queue *queue.Queue
}

func newFixture(count int, limits queue.Limits) *fixture {
	f := &fixture{clock: clock.New(), slots: &fakeSlots{free: count, total: count, upstreams: 1, meanHoldTime: 50 * time.Millisecond}}
	f.queue = queue.New(queue.Config{Clock: f.clock, Slots: f.slots, Limits: func() queue.Limits { return limits }})
	return f
}

// load describes the requests of one team.
type load struct {
	team      string
	band      queue.Band
	perSecond float64
	// timeout is the time from arrival to deadline.
	timeout time.Duration
}

// teamStats counts the outcomes of a team's requests.
type teamStats struct {
	waits     []time.Duration
	completed int
	onTime    int
	refused   map[error]int
}

func (s *teamStats) p99() time.Duration {
	slices.Sort(s.waits)
	return s.waits[len(s.waits)*99/100]
}

// run simulates Poisson arrivals for the given time and returns the results by team.
func (f *fixture) run(length time.Duration, loads ...load) map[string]*teamStats {
	result := map[string]*teamStats{}
	for i, load := range loads {
		stats := &teamStats{refused: map[error]int{}}
		result[load.team] = stats
		random := rand.New(rand.NewPCG(20261203, uint64(i)))
		arrival := 0.0
		var arrive func(now time.Duration)
		arrive = func(now time.Duration) {
			f.push(load, stats, now, time.Duration(random.ExpFloat64()*float64(50*time.Millisecond)))
			arrival += random.ExpFloat64() / load.perSecond
			if due := time.Duration(arrival * float64(time.Second)); due < length {
				f.clock.At(due, arrive)
			}
		}
		f.clock.At(0, arrive)
	}
	f.clock.Advance(length)
	return result
}

func (f *fixture) push(load load, stats *teamStats, arrivedAt, holdTime time.Duration) {
	item := &queue.Item{Team: load.team, Band: load.band, Weight: 1, Bytes: 1, Deadline: arrivedAt + load.timeout}
	item.Done = func(result queue.Result) {
		if result.Err != nil {
			stats.refused[result.Err]++
			return
		}
		stats.waits = append(stats.waits, f.clock.Now()-arrivedAt)
		f.clock.At(f.clock.Now()+holdTime, func(now time.Duration) {
			stats.completed++
			if now <= item.Deadline {
				stats.onTime++
			}
			f.slots.free++
			f.queue.Finish(item, holdTime)
			f.queue.Dispatch()
		})
	}
	f.queue.Push(item)
}

var _ = Describe("Queue", func() {
	limits := queue.Limits{Length: 1000, Bytes: 1 << 20, PatientFloor: 0.1}
	const second = time.Second

	It("keeps the p99 wait of one team within 20 % while another team floods the queue", func() {
		baseline := newFixture(16, limits).run(60*second, load{"quiet", 0, 60, 5 * second}, load{"other", 0, 200, 5 * second})
		flooded := newFixture(16, limits).run(60*second, load{"quiet", 0, 60, 5 * second}, load{"other", 0, 900, 5 * second})
		GinkgoWriter.Println("quiet team p99:", baseline["quiet"].p99(), "flooded:", flooded["quiet"].p99())
		Expect(flooded["quiet"].p99()).To(BeNumerically("<=", baseline["quiet"].p99()*12/10))
		Expect(flooded["quiet"].refused).To(BeEmpty())
	})

	// Goodput counts the requests that end before their deadline. The capacity is 16
	// slots / 50 ms mean hold time = 320 requests per second.
	It("keeps goodput above 95 % of capacity at a load of three times capacity", func() {
		stats := newFixture(16, limits).run(60*second, load{"team", 0, 960, second})["team"]
		goodput := float64(stats.onTime) / 60 / 320
		GinkgoWriter.Println("goodput:", goodput, "refused:", stats.refused)
		Expect(goodput).To(BeNumerically(">", 0.95))
	})

	It("serves interactive work first and patient work up to its floor", func() {
		stats := newFixture(16, limits).run(60*second,
			load{"interactive", queue.BandInteractive, 600, 5 * second}, load{"patient", queue.BandPatient, 600, 60 * second})
		share := float64(stats["patient"].completed) / float64(stats["patient"].completed+stats["interactive"].completed)
		GinkgoWriter.Println("patient share:", share)
		const oneSlot = 1.0 / 16
		Expect(share).To(BeNumerically(">=", limits.PatientFloor))
		Expect(share).To(BeNumerically("<=", limits.PatientFloor+oneSlot))
	})

	It("refuses at once a request that cannot end before its deadline, with a retry-after time", func() {
		f := newFixture(0, limits)
		f.slots.total = 1
		var got []queue.Result
		push := func(timeout time.Duration) {
			f.queue.Push(&queue.Item{Team: "t", Weight: 1, Deadline: f.clock.Now() + timeout, Done: func(r queue.Result) { got = append(got, r) }})
		}
		for range 40 {
			push(10 * second)
		}
		Expect(got).To(BeEmpty())
		push(second)
		Expect(got).To(HaveLen(1))
		Expect(got[0].Err).To(MatchError(cairnbay.ErrDeadline))
		Expect(got[0].RetryAfter).To(BeNumerically(">=", 2*second))
		f.clock.Advance(10 * second)
		Expect(got).To(HaveLen(41))
	})

	type scenario struct {
		name    string
		waiting []string
		pushed  string
		victim  string
	}
	scenarios := []scenario{
		{name: "the pushed item of the team with the longest queue", waiting: []string{"a", "a", "a"}, pushed: "a", victim: "a3"},
		{name: "the newest item of the longest team queue", waiting: []string{"a", "a", "a"}, pushed: "b", victim: "a2"},
		{name: "the pushed item among equally long team queues", waiting: []string{"a", "b", "c"}, pushed: "a", victim: "a3"},
	}
	for _, scenario := range scenarios {
		It("drops "+scenario.name+" when full", func() {
			f := newFixture(0, queue.Limits{Length: 3, Bytes: 100})
			f.slots.total = 1
			var dropped []string
			for i, team := range append(scenario.waiting, scenario.pushed) {
				f.queue.Push(&queue.Item{Team: team, Weight: 1, Bytes: 1, Deadline: time.Hour, Done: func(r queue.Result) {
					Expect(r.Err).To(MatchError(cairnbay.ErrQueueFull))
					dropped = append(dropped, fmt.Sprint(team, i))
				}})
			}
			Expect(dropped).To(Equal([]string{scenario.victim}))
		})
	}

	It("refuses all waiting items when the last upstream is gone", func() {
		f := newFixture(0, limits)
		var got error
		f.queue.Push(&queue.Item{Team: "t", Weight: 1, Deadline: time.Hour, Done: func(r queue.Result) { got = r.Err }})
		Expect(got).NotTo(HaveOccurred())
		f.slots.upstreams = 0
		f.clock.Advance(100 * time.Millisecond)
		Expect(got).To(MatchError(cairnbay.ErrUnavailable))
	})
})
