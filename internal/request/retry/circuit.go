package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"cairnbay"
)

const (
	// failuresToOpen is how many failures in a row open a circuit.
	failuresToOpen = 3
	// shortestOpen and longestOpen bound how long a circuit stays open; it
	// doubles with each failed probe.
	shortestOpen = 500 * time.Millisecond
	longestOpen  = 30 * time.Second
	// probeTime is how long one probe keeps other requests away.
	probeTime = time.Second
	// mostOpen is the share of upstreams that circuits may keep away; beyond it
	// the fault is not the upstreams' and circuits are passed over.
	mostOpen = 0.5
)

type circuit struct {
	failures int
	// openFor is zero while closed; until is when the next probe may go.
	openFor time.Duration
	until   time.Duration
}

// Circuits keeps one circuit for each upstream of a service.
type Circuits struct {
	clock cairnbay.Clock

	mu       sync.Mutex
	random   *rand.Rand
	circuits map[string]*circuit
	open     int
}

// NewCircuits returns circuits that are all closed.
func NewCircuits(clock cairnbay.Clock, seed uint64) *Circuits {
	return &Circuits{
		clock:    clock,
		random:   rand.New(rand.NewPCG(seed, 0)),
		circuits: map[string]*circuit{},
	}
}

// Avoid says whether the upstream is to be left alone now. Total is how many
// upstreams there are.
func (c *Circuits) Avoid(upstream string, total int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == 0 || float64(c.open) > mostOpen*float64(total) {
		return false
	}
	known := c.circuits[upstream]
	return known != nil && known.openFor > 0 && c.clock.Now() < known.until
}

// Begin is called when the upstream was chosen: while its circuit is open this
// is the probe, and others are kept away until it is over.
func (c *Circuits) Begin(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == 0 {
		return
	}
	if known := c.circuits[upstream]; known != nil && known.openFor > 0 {
		known.until = c.clock.Now() + probeTime
	}
}

// Succeeded closes the upstream's circuit.
func (c *Circuits) Succeeded(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.circuits[upstream]
	if known == nil {
		return
	}
	if known.openFor > 0 {
		c.open--
	}
	delete(c.circuits, upstream)
}

// Failed counts a failure, and opens the circuit when it was one too many.
func (c *Circuits) Failed(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.circuits[upstream]
	if known == nil {
		known = &circuit{}
		c.circuits[upstream] = known
	}
	known.failures++
	switch {
	case known.openFor > 0:
		known.openFor = min(longestOpen, 2*known.openFor)
	case known.failures >= failuresToOpen:
		known.openFor = shortestOpen
		c.open++
	default:
		return
	}
	jitter := 0.75 + 0.5*c.random.Float64()
	known.until = c.clock.Now() + time.Duration(jitter*float64(known.openFor))
}

// OpenCount counts the open circuits.
func (c *Circuits) OpenCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// Prune forgets the circuits of upstreams that are gone.
func (c *Circuits) Prune(listed func(upstream string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for upstream, known := range c.circuits {
		if listed(upstream) {
			continue
		}
		if known.openFor > 0 {
			c.open--
		}
		delete(c.circuits, upstream)
	}
}
