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
	// doubles with each failed probe.
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
	// openTime is how long the circuit stays open after a failure; zero while closed.
	openTime time.Duration
	// probeAt is when the next probe may be sent.
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

// NewCircuits returns closed circuits; seed is for the jitter of the open times.
func NewCircuits(clock cairnbay.Clock, seed uint64) *Circuits {
	return &Circuits{
		clock:    clock,
		random:   rand.New(rand.NewPCG(seed, 0)),
		circuits: map[string]*circuitState{},
	}
}

// Avoid reports whether requests must avoid the upstream now. Total is the number of
// upstreams of the service.
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
// open, the request is a probe, and further requests avoid the upstream until the
// probe ends or times out.
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

// Failed counts a failure, opens the circuit after too many in a row, and extends the
// open time when a probe has failed.
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
