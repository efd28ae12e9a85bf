// Package queue orders the waiting requests of one service: interactive above
// patient, weighted fair shares over teams within a band, bounded in count and
// bytes, and refused at once when they cannot start in time.
package queue

import (
	"sync"
	"time"

	"cairnbay"
	"cairnbay/internal/process/slots"
)

// Band is the precedence of a request.
type Band uint8

// Bands of requests.
const (
	// BandInteractive is a request that a person waits for.
	BandInteractive Band = iota
	// BandPatient may wait.
	BandPatient
	bandCount
)

var bandNames = [bandCount]string{"interactive", "patient"}

// String returns the band as BandHeader names it.
func (b Band) String() string {
	return bandNames[b]
}

// ParseBand reads a BandHeader; anything but "patient" is interactive.
func ParseBand(name string) Band {
	if name == bandNames[BandPatient] {
		return BandPatient
	}
	return BandInteractive
}

// Result is what became of a queued item: a slot, or an error with the time
// after which a new try may succeed.
type Result struct {
	Slot       slots.Slot
	Err        error
	RetryAfter time.Duration
}

// Item is one waiting request.
type Item struct {
	Team string
	Band Band
	// Weight is the team's share within the band.
	Weight float64
	Bytes  int64
	// Deadline is on the clock of the queue.
	Deadline time.Duration
	// Avoid names upstreams that are taken only when no other is free; nil
	// avoids none.
	Avoid func(upstream string) bool
	// Done is called once, without a lock of the queue held. Errors:
	// ErrQueueFull, ErrDeadline, ErrUnavailable (no upstream is left), ErrClosed.
	Done func(Result)

	queued bool
}

// Limits bound a queue.
type Limits struct {
	Length int
	Bytes  int64
	// PatientFloor is the share of the slots that patient work keeps.
	PatientFloor float64
}

// Slots is where a queue takes slots from.
type Slots interface {
	Acquire(service string, avoid func(upstream string) bool) (slots.Slot, bool)
	Totals(service string) slots.Totals
	SetWaiting(service string, waiting int)
	CountArrival(service string)
}

// Config is what a Queue is made of.
type Config struct {
	Service string
	Clock   cairnbay.Clock
	Slots   Slots
	Limits  func() Limits
	// Blocked says that an upstream must not be taken for any item; nil blocks none.
	Blocked func(upstream string) bool
}

// sweepPeriod is how often items whose deadline cannot be met are looked for.
const sweepPeriod = 50 * time.Millisecond

// Queue holds the waiting requests of one service on one entry instance.
type Queue struct {
	config Config
	cancel func()

	mu      sync.Mutex
	bands   [bandCount]band
	waiting int
	bytes   int64
	running [bandCount]int
	closed  bool
}

// New returns an empty queue. Close ends it.
func New(config Config) *Queue {
	queue := &Queue{config: config}
	queue.cancel = config.Clock.Every(sweepPeriod, queue.sweep)
	return queue
}

// ending is an item whose result is known, to be told without the lock.
type ending struct {
	item   *Item
	result Result
}

func tell(endings []ending) {
	for _, ending := range endings {
		ending.item.Done(ending.result)
	}
}

// Push queues the item, and starts it at once when a slot is free. The item's
// Done may be called before Push returns.
func (q *Queue) Push(item *Item) {
	limits := q.config.Limits()
	q.config.Slots.CountArrival(q.config.Service)
	q.mu.Lock()
	endings, admitted := q.admit(item, limits)
	if admitted {
		q.bands[item.Band].push(item)
		q.count(item, 1)
	}
	endings = append(endings, q.start(limits)...)
	q.mu.Unlock()
	tell(endings)
}

// Remove takes the item out when its caller has left; it says whether the item
// was still waiting, and Done is then not called.
func (q *Queue) Remove(item *Item) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !item.queued {
		return false
	}
	q.drop(item)
	return true
}

// Dispatch starts what free slots allow.
func (q *Queue) Dispatch() {
	limits := q.config.Limits()
	q.mu.Lock()
	endings := q.start(limits)
	q.mu.Unlock()
	tell(endings)
}

// Finish is called when a started item's request is over, with the time that
// its slot was held, which counts towards the team's share.
func (q *Queue) Finish(item *Item, held time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running[item.Band]--
	q.bands[item.Band].charge(item.Team, held)
}

// Waiting is how many items wait.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// Close refuses what waits, and whatever is pushed later.
func (q *Queue) Close() {
	q.cancel()
	q.mu.Lock()
	q.closed = true
	var endings []ending
	for i := range q.bands {
		for _, item := range q.bands[i].all() {
			q.drop(item)
			endings = append(endings, ending{item, Result{Err: cairnbay.ErrClosed}})
		}
	}
	q.mu.Unlock()
	tell(endings)
}

// start takes slots for the next items in order until there is none left.
func (q *Queue) start(limits Limits) []ending {
	var endings []ending
	for {
		item := q.next(limits)
		if item == nil {
			return endings
		}
		slot, ok := q.take(item)
		if !ok {
			return endings
		}
		q.bands[item.Band].start(item)
		q.drop(item)
		q.running[item.Band]++
		endings = append(endings, ending{item, Result{Slot: slot}})
	}
}

// take takes a slot for the item. One that avoids what is free takes it all the
// same, since it would hold up those behind it.
func (q *Queue) take(item *Item) (slots.Slot, bool) {
	if item.Avoid != nil {
		avoid := func(upstream string) bool {
			return item.Avoid(upstream) || q.config.Blocked != nil && q.config.Blocked(upstream)
		}
		if slot, ok := q.config.Slots.Acquire(q.config.Service, avoid); ok {
			return slot, true
		}
	}
	return q.config.Slots.Acquire(q.config.Service, q.config.Blocked)
}

// next is the item to start first. Patient work goes first only while it has
// less than its floor of what runs.
func (q *Queue) next(limits Limits) *Item {
	patient := q.bands[BandPatient].first()
	interactive := q.bands[BandInteractive].first()
	if interactive == nil {
		return patient
	}
	if patient == nil {
		return interactive
	}
	total := q.running[BandInteractive] + q.running[BandPatient] + 1
	if float64(q.running[BandPatient]) < limits.PatientFloor*float64(total) {
		return patient
	}
	return interactive
}

func (q *Queue) drop(item *Item) {
	q.bands[item.Band].remove(item)
	q.count(item, -1)
}

func (q *Queue) count(item *Item, change int) {
	item.queued = change > 0
	q.waiting += change
	q.bytes += int64(change) * item.Bytes
	q.config.Slots.SetWaiting(q.config.Service, q.waiting)
}
