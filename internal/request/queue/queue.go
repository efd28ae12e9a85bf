// Package queue orders the waiting requests of one service. Interactive requests
// go before patient ones, and the teams within a band get weighted fair shares. The
// queue is bounded in count and bytes, and refuses at once the requests that
// cannot finish before their deadline.
package queue

import (
	"sync"
	"time"

	"cairnbay"
	"cairnbay/internal/process/slots"
)

// Band is the priority class of a request.
type Band uint8

// Bands of requests.
const (
	// BandInteractive is for requests that a person waits for.
	BandInteractive Band = iota
	// BandPatient is for requests that tolerate waiting.
	BandPatient
	bandCount
)

var bandNames = [bandCount]string{"interactive", "patient"}

// String returns the name of the band, as used in BandHeader.
func (b Band) String() string {
	return bandNames[b]
}

// ParseBand parses the value of a BandHeader; anything but "patient" is interactive.
func ParseBand(name string) Band {
	if name == bandNames[BandPatient] {
		return BandPatient
	}
	return BandInteractive
}

// Result is the outcome of a queued item: a slot, or an error and the time after
// which a retry may succeed.
type Result struct {
	Slot slots.Slot
	Err  error
	// RetryAfter is the time to wait before a retry; zero with a slot, and when Close
	// refuses a waiting item.
	RetryAfter time.Duration
}

// Item is one waiting request.
type Item struct {
	Team string
	Band Band
	// Weight is the team's weight within the band; the share of a team is its weight
	// relative to the other teams with waiting items.
	Weight float64
	// Bytes is the size of the request, counted against Limits.Bytes.
	Bytes int64
	// Deadline is the time by which the request must end, on the clock of the queue.
	Deadline time.Duration
	// Avoid reports whether an upstream is used only if no other is free; nil avoids
	// none.
	Avoid func(upstream string) bool
	// Done is called once with the result, without a lock of the queue held; it is
	// not called for an item that Remove took out. Errors: ErrQueueFull, ErrDeadline,
	// ErrUnavailable (no upstream is left), ErrClosed.
	Done func(Result)

	queued bool
}

// Limits bound a queue.
type Limits struct {
	// Length is the maximum number of waiting items.
	Length int
	// Bytes is the maximum total size of the waiting items.
	Bytes int64
	// PatientFloor is the share of the running items, from 0 to 1, below which patient
	// work goes first. Up to this share of Length, patient items are not dropped for
	// interactive ones.
	PatientFloor float64
}

// Slots provides a queue with upstream slots.
type Slots interface {
	// Acquire takes a slot of an upstream that avoid does not exclude; false when
	// none is free.
	Acquire(service string, avoid func(upstream string) bool) (slots.Slot, bool)
	// Totals returns the number of upstreams and slots of the service, and the mean time
	// that a slot is held.
	Totals(service string) slots.Totals
	// SetWaiting reports the number of waiting requests.
	SetWaiting(service string, waiting int)
	// CountArrival counts one request, whether or not it is admitted.
	CountArrival(service string)
}

// Config holds the dependencies of a Queue.
type Config struct {
	Service string
	Clock   cairnbay.Clock
	Slots   Slots
	// Limits returns the limits in force; it is called on each Push and Dispatch.
	Limits func() Limits
	// Blocked reports whether an upstream must not be used for any item; nil blocks none.
	Blocked func(upstream string) bool
}

// sweepPeriod is the interval between checks for items that cannot meet their deadline.
const sweepPeriod = 50 * time.Millisecond

// Queue holds the waiting requests of one service on one entry instance.
type Queue struct {
	config    Config
	stopSweep func()

	mu      sync.Mutex
	bands   [bandCount]bandQueue
	waiting int
	bytes   int64
	running [bandCount]int
	closed  bool
}

// New returns an empty queue. Close stops its periodic sweep.
func New(config Config) *Queue {
	queue := &Queue{config: config}
	queue.stopSweep = config.Clock.Every(sweepPeriod, queue.sweep)
	return queue
}

// completion is an item with its result, collected under the lock and passed to
// Done after the lock is released.
type completion struct {
	item   *Item
	result Result
}

func notify(completions []completion) {
	for _, completion := range completions {
		completion.item.Done(completion.result)
	}
}

// Push queues the item, or refuses it, and starts items while slots are free. The
// item's Done may be called before Push returns.
func (q *Queue) Push(item *Item) {
	limits := q.config.Limits()
	q.config.Slots.CountArrival(q.config.Service)
	q.mu.Lock()
	completions, admitted := q.admit(item, limits)
	if admitted {
		q.bands[item.Band].push(item)
		q.updateCounts(item, 1)
	}
	completions = append(completions, q.startWaiting(limits)...)
	q.mu.Unlock()
	notify(completions)
}

// Remove takes the item out of the queue after its caller has disconnected. It
// returns true if the item was waiting; Done is then never called. It returns false if
// Done was called or is about to be called; a slot in the result must still be
// released.
func (q *Queue) Remove(item *Item) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !item.queued {
		return false
	}
	q.dequeue(item)
	return true
}

// Dispatch starts waiting items while slots are free; it is called when slots
// become free.
func (q *Queue) Dispatch() {
	limits := q.config.Limits()
	q.mu.Lock()
	completions := q.startWaiting(limits)
	q.mu.Unlock()
	notify(completions)
}

// Finish must be called when the request of a started item has ended, with the time
// that its slot was held, which is charged to the team's share.
func (q *Queue) Finish(item *Item, holdTime time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running[item.Band]--
	q.bands[item.Band].recordCost(item.Team, holdTime)
}

// Waiting returns the number of waiting items.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// Close refuses all waiting items, and items pushed later, with ErrClosed.
func (q *Queue) Close() {
	q.stopSweep()
	q.mu.Lock()
	q.closed = true
	var completions []completion
	for i := range q.bands {
		for _, item := range q.bands[i].all() {
			q.dequeue(item)
			completions = append(completions, completion{item, Result{Err: cairnbay.ErrClosed}})
		}
	}
	q.mu.Unlock()
	notify(completions)
}

// startWaiting takes slots for the waiting items in order until no slot or item is
// left. The lock must be held.
func (q *Queue) startWaiting(limits Limits) []completion {
	var completions []completion
	for {
		item := q.next(limits)
		if item == nil {
			return completions
		}
		slot, ok := q.acquire(item)
		if !ok {
			return completions
		}
		q.bands[item.Band].charge(item)
		q.dequeue(item)
		q.running[item.Band]++
		completions = append(completions, completion{item, Result{Slot: slot}})
	}
}

// acquire takes a slot of an upstream that is neither blocked nor avoided by the item.
// If there is none, it takes one of an avoided upstream that is not blocked, since the
// item would otherwise delay the items behind it.
func (q *Queue) acquire(item *Item) (slots.Slot, bool) {
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

// next returns the item to start next. Patient work goes first only while its share
// of the running items is below its floor.
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

func (q *Queue) dequeue(item *Item) {
	q.bands[item.Band].remove(item)
	q.updateCounts(item, -1)
}

// updateCounts records that the item was queued (change 1) or taken out (change -1).
func (q *Queue) updateCounts(item *Item, change int) {
	item.queued = change > 0
	q.waiting += change
	q.bytes += int64(change) * item.Bytes
	q.config.Slots.SetWaiting(q.config.Service, q.waiting)
}
