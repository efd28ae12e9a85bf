package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"cairnbay"
)

const (
	// failuresToOpen is the number of consecutive failures that open a circuit.
	failuresToOpen = 3
	// minOpenTime and maxOpenTime bound the time that a circuit stays open, which
	// doubles with each failure while the circuit is open.
	minOpenTime = 500 * time.Millisecond
	maxOpenTime = 30 * time.Second
	// probeTimeout is the time during which a probe blocks further requests to the upstream.
	probeTimeout = time.Second
	// maxOpenShare is the share of upstreams with open circuits above which all
	// circuits are ignored, since the fault is then probably not in the upstreams.
	maxOpenShare = 0.5
)

// circuitState is the circuit breaker of one upstream.
type circuitState struct {
	// failures counts the failures since the last success.
	failures int
	// openTime is the time from a failure to the next probe, before jitter; zero while the
	// circuit is closed.
	openTime time.Duration
	// probeAt is the time from which a probe may be sent, on Circuits.clock.
	probeAt time.Duration
}

// Circuits holds a circuit breaker for each failing upstream of a service.
type Circuits struct {
	clock cairnbay.Clock

	mu       sync.Mutex
	random   *rand.Rand
	circuits map[string]*circuitState
	open     int
}

// NewCircuits returns Circuits in which every circuit is closed. The seed is for the
// random jitter of the open times.
func NewCircuits(clock cairnbay.Clock, seed uint64) *Circuits {
	return &Circuits{
		clock:    clock,
		random:   rand.New(rand.NewPCG(seed, 0)),
		circuits: map[string]*circuitState{},
	}
}

// Avoid reports whether the upstream's circuit is open and no probe is due. It is false
// for all upstreams while more than maxOpenShare of them have open circuits. Total is
// the number of upstreams of the service.
func (c *Circuits) Avoid(upstream string, total int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == 0 || float64(c.open) > maxOpenShare*float64(total) {
		return false
	}
	state := c.circuits[upstream]
	return state != nil && state.openTime > 0 && c.clock.Now() < state.probeAt
}

// Begin must be called before a request is sent to the upstream. If the circuit is
// open, the request counts as a probe, and Avoid returns true for the upstream until
// the probe succeeds or probeTimeout has passed; if the probe fails, for the new open
// time.
func (c *Circuits) Begin(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == 0 {
		return
	}
	if state := c.circuits[upstream]; state != nil && state.openTime > 0 {
		state.probeAt = c.clock.Now() + probeTimeout
	}
}

// Succeeded closes the upstream's circuit.
func (c *Circuits) Succeeded(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.circuits[upstream]
	if state == nil {
		return
	}
	if state.openTime > 0 {
		c.open--
	}
	delete(c.circuits, upstream)
}

// Failed counts a failure. Too many in a row open the circuit; each failure while the
// circuit is open doubles the open time, up to maxOpenTime.
func (c *Circuits) Failed(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.circuits[upstream]
	if state == nil {
		state = &circuitState{}
		c.circuits[upstream] = state
	}
	state.failures++
	switch {
	case state.openTime > 0:
		state.openTime = min(maxOpenTime, 2*state.openTime)
	case state.failures >= failuresToOpen:
		state.openTime = minOpenTime
		c.open++
	default:
		return
	}
	jitter := 0.75 + 0.5*c.random.Float64()
	state.probeAt = c.clock.Now() + time.Duration(jitter*float64(state.openTime))
}

// OpenCount returns the number of open circuits.
func (c *Circuits) OpenCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// Prune removes the circuits of upstreams that are no longer listed.
func (c *Circuits) Prune(listed func(upstream string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for upstream, state := range c.circuits {
		if listed(upstream) {
			continue
		}
		if state.openTime > 0 {
			c.open--
		}
		delete(c.circuits, upstream)
	}
}
