package gate

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cairnbay"
	"cairnbay/internal/process/layout"
	"cairnbay/internal/process/pull"
	"cairnbay/internal/process/timer"
)

// queueMoveSettleTime is how long after a queue has got another class jobs may still be
// accepted in the former one: an instance has the older configuration, or a submission is
// under way.
const queueMoveSettleTime = 15 * time.Second

// formerClasses knows which shards of other classes certainly have no jobs of a queue, so
// that requests need not ask their owners. A queue that gets another class leaves its jobs
// in the former one. What is known holds only while the configuration in force is the
// newest: jobs accepted under a newer one may be in any class.
type formerClasses struct {
	mu      sync.Mutex
	routing *cairnbay.Routing
	// freshAt is the boot time at which the configuration was last known to be up to date.
	freshAt time.Duration
	// places are the queues of the configuration in force, each with its class.
	places map[queuePlace]*placeHistory
}

type queuePlace struct {
	path  cairnbay.QueuePath
	class string
}

type placeHistory struct {
	// settledAt is when no more jobs of the queue can be accepted in other classes. It is
	// zero for the first configuration that this process reads.
	settledAt time.Time
	// classesRead says that the classes were read from the store since this process has had
	// the configuration that leads the queue here.
	classesRead bool
	// absent are the shards of other classes that have no job of the queue.
	absent map[string]struct{}
}

// update adopts the configuration in force; fresh says whether it is known to be up to
// date. What is known of queues that keep their class remains, unless versions may have
// been missed that led them to another one and back.
func (f *formerClasses) update(routing *cairnbay.Routing, fresh bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := timer.Boot()
	missed := !fresh || now-f.freshAt > pull.MaxAge
	if fresh {
		f.freshAt = now
	}
	if f.routing == routing {
		return
	}
	var settledAt time.Time
	if f.routing != nil {
		settledAt = time.Now().Add(queueMoveSettleTime)
	}
	places := make(map[queuePlace]*placeHistory, len(routing.Queues))
	for i := range routing.Queues {
		place := placeOf(&routing.Queues[i])
		if places[place] = f.places[place]; places[place] == nil || missed {
			places[place] = &placeHistory{settledAt: settledAt, absent: make(map[string]struct{})}
		}
	}
	f.routing, f.places = routing, places
}

func placeOf(queue *cairnbay.Queue) queuePlace {
	return queuePlace{queue.Path(), queue.Class}
}

// unread returns nil if the classes were read for a queue, else all queues that a read is
// for.
func (f *formerClasses) unread(queue *cairnbay.Queue) []*placeHistory {
	f.mu.Lock()
	defer f.mu.Unlock()
	if history := f.places[placeOf(queue)]; history != nil && history.classesRead {
		return nil
	}
	return slices.Collect(maps.Values(f.places))
}

// setClassesRead records that the classes were read after unread had returned these.
func (f *formerClasses) setClassesRead(histories []*placeHistory) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, history := range histories {
		history.classesRead = true
	}
}

// layouts returns the divisions of all classes that may have jobs of a queue. It reads them
// from the store at the first request to a queue that is new or has got another class,
// since this instance may not have heard of a class that the queue has left. Errors:
// cairnbay.ErrUnconfirmed if the store does not answer.
func (g *Gate) layouts(ctx context.Context, queue *cairnbay.Queue) (map[string]layout.Layout, error) {
	if unread := g.former.unread(queue); unread != nil {
		if _, err := g.config.Owners.ReadLayouts(ctx); err != nil {
			return nil, cairnbay.ErrUnconfirmed
		}
		g.former.setClassesRead(unread)
	}
	return g.config.Owners.Layouts(), nil
}

// lacks reports whether a shard of another class certainly has no jobs of the queue.
func (f *formerClasses) lacks(queue *cairnbay.Queue, shard string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	history := f.places[placeOf(queue)]
	if history == nil {
		return false
	}
	_, absent := history.absent[shard]
	return absent
}

// setAbsent records that the owner of a shard, asked at that time, had no jobs of the
// queue.
func (f *formerClasses) setAbsent(queue *cairnbay.Queue, shard string, asked time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if history := f.places[placeOf(queue)]; history != nil && !asked.Before(history.settledAt) {
		history.absent[shard] = struct{}{}
	}
}
