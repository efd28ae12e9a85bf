package listen

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cairnbay"
)

// account holds what the clients of a listener make the process hold.
type account struct {
	limits  Limits
	clock   cairnbay.Clock
	reports *reports

	mu sync.Mutex
	// connections and requests are those that hold memory.
	connections, requests map[*holding]struct{}
	// bytes is the sum over both, evictedBytes the part of evicted ones. evictedConnections
	// are evicted and not closed yet.
	bytes, evictedBytes int64
	evictedConnections  int
	// work is the sum of the reservations.
	work int64
	// released is closed and replaced when an evicted holding is closed.
	released chan struct{}
}

// holding is the memory that a connection or a request takes.
type holding struct {
	bytes, work int64
	// base is the part of bytes that a connection takes without a request.
	base int64
	// since is when it began to wait for bytes of the client.
	since time.Duration
	// serving counts the requests in progress that need no more bytes of the client. Such a
	// holding is not evicted.
	serving int
	// evicted is set when the holder was told to release the memory, closed when it has.
	evicted, closed bool
	// evict makes the holder release the memory soon. It must not block.
	evict func()
}

func newAccount(config Config) *account {
	return &account{
		limits: config.Limits, clock: config.Clock, reports: newReports(config),
		connections: make(map[*holding]struct{}), requests: make(map[*holding]struct{}),
		released: make(chan struct{}),
	}
}

// openConnection adds a connection. It returns false if there is no room for it.
func (a *account) openConnection(h *holding) bool {
	return a.try(reasonRefused, func() (verdict, []*holding) {
		var victims []*holding
		if len(a.connections)-a.evictedConnections >= a.limits.Connections {
			victims = a.evict(oldest(a.connections, max(int(float64(a.limits.Connections)*evictSlack), 1)))
			a.reports.add(reasonConnections, len(victims))
		}
		switch {
		case len(a.connections)-a.evictedConnections >= a.limits.Connections:
			return refused, victims
		case float64(len(a.connections)) >= float64(a.limits.Connections)*(1+releaseSlack):
			return releasing, victims
		}
		h.since, h.base = a.clock.Now(), connectionBytes
		a.connections[h] = struct{}{}
		verdict, more := a.grow(h, connectionBytes)
		if verdict != granted {
			delete(a.connections, h)
		}
		return verdict, append(victims, more...)
	})
}

// openRequest adds a request with the memory of its header. A request that needs no more bytes
// of its client is served at once. It returns false if there is no room for the request.
func (a *account) openRequest(h, connection *holding, bytes int64, complete bool) bool {
	a.mu.Lock()
	h.since = a.clock.Now()
	connection.since = h.since
	a.reset(connection)
	a.requests[h] = struct{}{}
	if complete {
		h.serving, connection.serving = 1, connection.serving+1
	}
	a.mu.Unlock()
	return a.add(h, bytes)
}

// abandon marks a request as evicted that has no room for its header.
func (a *account) abandon(h *holding) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !h.evicted {
		a.evict([]*holding{h})
	}
}

// isEvicted reports whether a holding has to release its memory.
func (a *account) isEvicted(h *holding) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return h.evicted
}

// complete notes that a request needs no more bytes of its client. It returns false if the
// request or its connection was evicted before.
func (a *account) complete(h, connection *holding) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.evicted || connection.evicted {
		return false
	}
	if h.serving == 0 {
		h.serving, connection.serving = 1, connection.serving+1
	}
	return true
}

// closeRequest removes a request.
func (a *account) closeRequest(h, connection *holding) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.serving > 0 {
		connection.serving--
	}
	connection.since = a.clock.Now()
	a.remove(a.requests, h)
}

// closeConnection removes a connection; again has no effect.
func (a *account) closeConnection(h *holding) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return
	}
	if h.evicted {
		a.evictedConnections--
	}
	a.remove(a.connections, h)
}

func (a *account) remove(from map[*holding]struct{}, h *holding) {
	delete(from, h)
	h.closed = true
	a.bytes -= h.bytes
	a.work -= h.work
	if h.evicted {
		a.evictedBytes -= h.bytes
		close(a.released)
		a.released = make(chan struct{})
	}
}

// reset returns a connection to the memory that it takes without a request.
func (a *account) reset(connection *holding) {
	if connection.closed {
		return
	}
	excess := connection.bytes - connection.base
	connection.bytes -= excess
	a.bytes -= excess
	if connection.evicted {
		a.evictedBytes -= excess
	}
}

// multiplex raises the base of a connection that carries many requests at once.
func (a *account) multiplex(connection *holding) {
	a.mu.Lock()
	defer a.mu.Unlock()
	connection.base = multiplexedBytes
}

// restart begins the time of a connection anew, as its client has begun a request.
func (a *account) restart(connection *holding) {
	a.mu.Lock()
	defer a.mu.Unlock()
	connection.since = a.clock.Now()
}

// add adds memory to a holding. It returns false if the holding has to release its memory
// instead.
func (a *account) add(h *holding, bytes int64) bool {
	return a.try(reasonMemory, func() (verdict, []*holding) { return a.grow(h, bytes) })
}

// reserve adds memory to a holding for as long as its request is served. It returns false if
// WorkBytes are exceeded, or as add does.
func (a *account) reserve(h *holding, bytes int64) bool {
	return a.try(reasonWork, func() (verdict, []*holding) {
		if a.work+bytes > a.limits.WorkBytes {
			return refused, nil
		}
		verdict, victims := a.grow(h, bytes)
		if verdict == granted {
			h.work += bytes
			a.work += bytes
		}
		return verdict, victims
	})
}

// verdict is the answer to a client that needs memory or a connection.
type verdict int

const (
	granted verdict = iota
	refused
	// releasing says that there will be room once evicted clients have released theirs.
	releasing
)

// releaseTimeout limits the wait for evicted clients.
const releaseTimeout = 100 * time.Millisecond

// try calls attempt, with the lock, until its verdict is final. A refusal counts as reason.
func (a *account) try(reason reason, attempt func() (verdict, []*holding)) bool {
	var timeout <-chan time.Time
	for {
		a.mu.Lock()
		verdict, victims := attempt()
		released := a.released
		a.mu.Unlock()
		evictAll(victims)
		switch verdict {
		case granted:
			return true
		case refused:
			a.reports.add(reason, 1)
			return false
		}
		if timeout == nil {
			timeout = time.After(releaseTimeout)
		}
		select {
		case <-released:
		case <-timeout:
			a.reports.add(reason, 1)
			return false
		}
	}
}

// grow adds memory to a holding. It evicts others, or the holding itself, if the limit is
// exceeded.
func (a *account) grow(h *holding, bytes int64) (verdict, []*holding) {
	if h.evicted || h.closed {
		return refused, nil
	}
	h.bytes += bytes
	a.bytes += bytes
	limit := a.limits.MemoryBytes
	var victims []*holding
	if excess := a.bytes - a.evictedBytes - limit; excess > 0 {
		victims = a.evict(costliest(a.clock.Now(), excess+int64(float64(limit)*evictSlack), a.requests, a.connections))
		a.reports.add(reasonMemory, len(victims))
	}
	kept := a.bytes - a.evictedBytes
	switch {
	case h.evicted:
		return refused, victims
	case kept <= limit && float64(a.bytes) <= float64(limit)*(1+releaseSlack):
		return granted, victims
	}
	h.bytes -= bytes
	a.bytes -= bytes
	if kept <= limit {
		return releasing, victims
	}
	return refused, victims
}

// evict marks holdings as evicted and returns them, for evictAll.
func (a *account) evict(victims []*holding) []*holding {
	for _, victim := range victims {
		victim.evicted = true
		a.evictedBytes += victim.bytes
		if _, connection := a.connections[victim]; connection {
			a.evictedConnections++
		}
	}
	return victims
}

// evictAll makes holders release their memory. Call it without the account's lock, which they
// take.
func evictAll(victims []*holding) {
	for _, victim := range victims {
		victim.evict()
	}
}

// evictable returns the holdings that wait for bytes of their clients.
func evictable(all ...map[*holding]struct{}) (waiting []*holding) {
	for _, holdings := range all {
		for h := range holdings {
			if h.serving == 0 && !h.evicted {
				waiting = append(waiting, h)
			}
		}
	}
	return waiting
}

// oldest returns the connections that have waited for the longest time, at most count.
func oldest(connections map[*holding]struct{}, count int) []*holding {
	waiting := evictable(connections)
	slices.SortFunc(waiting, func(a, b *holding) int { return cmp.Compare(a.since, b.since) })
	return waiting[:min(count, len(waiting))]
}

// costliest returns waiting holdings of at least the given bytes in total, those with the
// highest product of memory and age first: a client that sends much and stops yields before
// one that is slow with little.
func costliest(now time.Duration, bytes int64, all ...map[*holding]struct{}) []*holding {
	waiting := evictable(all...)
	cost := func(h *holding) float64 { return float64(h.bytes) * float64(now-h.since) }
	slices.SortFunc(waiting, func(a, b *holding) int {
		return cmp.Or(cmp.Compare(cost(b), cost(a)), cmp.Compare(b.bytes, a.bytes))
	})
	for i, h := range waiting {
		if bytes -= h.bytes; bytes <= 0 {
			return waiting[:i+1]
		}
	}
	return waiting
}
