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

// counter is Slots that only counts.
type counter struct {
	free, all int
	upstreams int
	runTime   time.Duration
}

func (c *counter) Acquire(string, func(string) bool) (slots.Slot, bool) {
	if c.free == 0 {
		return slots.Slot{}, false
	}
	c.free--
	return slots.Slot{}, true
}

func (c *counter) Totals(string) slots.Totals {
	return slots.Totals{Upstreams: c.upstreams, Slots: c.all, Used: c.all - c.free, MeanHoldTime: c.runTime}
}

func (c *counter) SetWaiting(string, int) {}
func (c *counter) CountArrival(string)    {}

// bench is a queue before slots, in computed time.
type bench struct {
	clock *clock.Clock
	slots *counter
	queue *queue.Queue
}

func newBench(count int, limits queue.Limits) *bench {
	b := &bench{clock: clock.New(), slots: &counter{free: count, all: count, upstreams: 1, runTime: 50 * time.Millisecond}}
	b.queue = queue.New(queue.Config{Clock: b.clock, Slots: b.slots, Limits: func() queue.Limits { return limits }})
	return b
}

// load is one team's requests.
type load struct {
	team   string
	band   queue.Band
	perSec float64
	// patience is the time from arrival to deadline.
	patience time.Duration
}

// seen is what became of a team's requests.
type seen struct {
	waits   []time.Duration
	done    int
	inTime  int
	refused map[error]int
}

func (s *seen) p99() time.Duration {
	slices.Sort(s.waits)
	return s.waits[len(s.waits)*99/100]
}

// play runs Poisson loads for a time and returns what was seen by team.
func (b *bench) play(length time.Duration, loads ...load) map[string]*seen {
	result := map[string]*seen{}
	for i, load := range loads {
		team := &seen{refused: map[error]int{}}
		result[load.team] = team
		random := rand.New(rand.NewPCG(20261203, uint64(i)))
		at := 0.0
		var next func(now time.Duration)
		next = func(now time.Duration) {
			b.push(load, team, now, time.Duration(random.ExpFloat64()*float64(50*time.Millisecond)))
			at += random.ExpFloat64() / load.perSec
			if due := time.Duration(at * float64(time.Second)); due < length {
				b.clock.At(due, next)
			}
		}
		b.clock.At(0, next)
	}
	b.clock.Advance(length)
	return result
}

func (b *bench) push(load load, team *seen, arrived, work time.Duration) {
	item := &queue.Item{Team: load.team, Band: load.band, Weight: 1, Bytes: 1, Deadline: arrived + load.patience}
	item.Done = func(result queue.Result) {
		if result.Err != nil {
			team.refused[result.Err]++
			return
		}
		team.waits = append(team.waits, b.clock.Now()-arrived)
		b.clock.At(b.clock.Now()+work, func(now time.Duration) {
			team.done++
			if now <= item.Deadline {
				team.inTime++
			}
			b.slots.free++
			b.queue.Finish(item, work)
			b.queue.Dispatch()
		})
	}
	b.queue.Push(item)
}

var _ = Describe("Queue", func() {
	wide := queue.Limits{Length: 1000, Bytes: 1 << 20, PatientFloor: 0.1}
	const second = time.Second

	It("keeps another team's waiting p99 within 20 % when one team floods", func() {
		quiet := newBench(16, wide).play(60*second, load{"quiet", 0, 60, 5 * second}, load{"other", 0, 200, 5 * second})
		flooded := newBench(16, wide).play(60*second, load{"quiet", 0, 60, 5 * second}, load{"other", 0, 900, 5 * second})
		GinkgoWriter.Println("quiet team p99:", quiet["quiet"].p99(), "flooded:", flooded["quiet"].p99())
		Expect(flooded["quiet"].p99()).To(BeNumerically("<=", quiet["quiet"].p99()*12/10))
		Expect(flooded["quiet"].refused).To(BeEmpty())
	})

	It("keeps goodput above 95 % of capacity at three times capacity", func() {
		seen := newBench(16, wide).play(60*second, load{"team", 0, 960, second})["team"]
		goodput := float64(seen.inTime) / 60 / 320
		GinkgoWriter.Println("goodput:", goodput, "refused:", seen.refused)
		Expect(goodput).To(BeNumerically(">", 0.95))
	})

	It("serves interactive work first and leaves patient work its floor", func() {
		seen := newBench(16, wide).play(60*second,
			load{"interactive", queue.BandInteractive, 600, 5 * second}, load{"patient", queue.BandPatient, 600, 60 * second})
		share := float64(seen["patient"].done) / float64(seen["patient"].done+seen["interactive"].done)
		GinkgoWriter.Println("patient share:", share)
		const oneSlot = 1.0 / 16
		Expect(share).To(BeNumerically(">=", wide.PatientFloor))
		Expect(share).To(BeNumerically("<=", wide.PatientFloor+oneSlot))
	})

	It("refuses at once what cannot end before its deadline, with a time to come back", func() {
		b := newBench(0, wide)
		b.slots.all = 1
		var got []queue.Result
		push := func(patience time.Duration) {
			b.queue.Push(&queue.Item{Team: "t", Weight: 1, Deadline: b.clock.Now() + patience, Done: func(r queue.Result) { got = append(got, r) }})
		}
		for range 40 {
			push(10 * second)
		}
		Expect(got).To(BeEmpty())
		push(second)
		Expect(got).To(HaveLen(1))
		Expect(got[0].Err).To(MatchError(cairnbay.ErrDeadline))
		Expect(got[0].RetryAfter).To(BeNumerically(">=", 2*second))
		b.clock.Advance(10 * second)
		Expect(got).To(HaveLen(41))
	})

	type scenario struct {
		name    string
		waiting []string
		pushed  string
		victim  string
	}
	scenarios := []scenario{
		{name: "the pusher, when its own queue is the longest", waiting: []string{"a", "a", "a"}, pushed: "a", victim: "a3"},
		{name: "the newest of the longest queue", waiting: []string{"a", "a", "a"}, pushed: "b", victim: "a2"},
		{name: "the pusher, when queues are as long", waiting: []string{"a", "b", "c"}, pushed: "a", victim: "a3"},
	}
	for _, scenario := range scenarios {
		It("drops "+scenario.name+" when full", func() {
			b := newBench(0, queue.Limits{Length: 3, Bytes: 100})
			b.slots.all = 1
			var dropped []string
			for i, team := range append(scenario.waiting, scenario.pushed) {
				b.queue.Push(&queue.Item{Team: team, Weight: 1, Bytes: 1, Deadline: time.Hour, Done: func(r queue.Result) {
					Expect(r.Err).To(MatchError(cairnbay.ErrQueueFull))
					dropped = append(dropped, fmt.Sprint(team, i))
				}})
			}
			Expect(dropped).To(Equal([]string{scenario.victim}))
		})
	}

	It("refuses all at once when the last upstream is gone", func() {
		b := newBench(0, wide)
		var got error
		b.queue.Push(&queue.Item{Team: "t", Weight: 1, Deadline: time.Hour, Done: func(r queue.Result) { got = r.Err }})
		Expect(got).NotTo(HaveOccurred())
		b.slots.upstreams = 0
		b.clock.Advance(100 * time.Millisecond)
		Expect(got).To(MatchError(cairnbay.ErrUnavailable))
	})
})
