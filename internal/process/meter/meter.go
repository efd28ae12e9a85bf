// Package meter measures the network bytes of an instance by purpose, and the
// processor time and memory of its process, as metrics and audit samples. Control
// traffic is all traffic except that of callers and upstreams.
package meter

import (
	"context"
	"fmt"
	"net"
	"runtime/metrics"
	"sync"
	"syscall"
	"time"

	victoria "github.com/VictoriaMetrics/metrics"

	"cairnbay"
	"cairnbay/internal/process/audit"
)

// Purpose classifies the use of a connection or of processor time.
type Purpose string

// Purposes of connections and processor time.
const (
	PurposeMembers   Purpose = "members"
	PurposeWorkers   Purpose = "workers"
	PurposeStore     Purpose = "store"
	PurposeList      Purpose = "list"
	PurposeOperators Purpose = "operators"
	PurposePlacing   Purpose = "placing"
	// PurposeCallers and PurposeUpstreams carry the traffic of callers, which is
	// not control traffic.
	PurposeCallers   Purpose = "callers"
	PurposeUpstreams Purpose = "upstreams"
)

// isControl reports whether traffic of the purpose is control traffic.
func (p Purpose) isControl() bool {
	return p != PurposeCallers && p != PurposeUpstreams
}

// Config configures a Meter.
type Config struct {
	Clock cairnbay.Clock
	// Metrics is the set to register metrics in; if nil, only Samples reports
	// the values.
	Metrics *victoria.Set
}

// Meter counts network bytes and processor time. Its methods are safe for
// concurrent use.
type Meter struct {
	clock cairnbay.Clock
	set   *victoria.Set

	mu          sync.Mutex
	bytes       map[Purpose]*byteCounters
	lastReading reading
}

// byteCounters counts the bytes received and sent for one purpose.
type byteCounters struct {
	in, out *victoria.Counter
}

func (c *byteCounters) total() uint64 {
	return c.in.Get() + c.out.Get()
}

// reading holds the totals at one time of the clock: processor time since the start
// of the process, bytes since New.
type reading struct {
	at        time.Duration
	processor time.Duration
	bytes     map[Purpose]uint64
}

// New registers the gauges and returns a Meter with all byte counts at zero.
func New(config Config) *Meter {
	if config.Metrics == nil {
		config.Metrics = victoria.NewSet()
	}
	meter := &Meter{clock: config.Clock, set: config.Metrics, bytes: make(map[Purpose]*byteCounters)}
	meter.set.NewGauge("cairnbay_control_processor_seconds", func() float64 { return ProcessorTime().Seconds() })
	meter.set.NewGauge("cairnbay_control_memory_bytes", func() float64 { return float64(memoryBytes()) })
	meter.lastReading = meter.read()
	return meter
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial wraps dial so that the bytes of its connections are counted for a purpose.
// If dial is nil, it uses a net.Dialer.
func (m *Meter) Dial(purpose Purpose, dial DialFunc) DialFunc {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	counters := m.countersFor(purpose)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, counters: counters}, nil
	}
}

// Listener wraps listener so that the bytes of its connections are counted for a
// purpose.
func (m *Meter) Listener(purpose Purpose, listener net.Listener) net.Listener {
	return &countedListener{Listener: listener, counters: m.countersFor(purpose)}
}

// Busy adds processor time spent on a purpose. The caller measures it and
// must do no other work in the meantime.
func (m *Meter) Busy(purpose Purpose, spent time.Duration) {
	m.set.GetOrCreateFloatCounter(fmt.Sprintf("cairnbay_control_busy_seconds{purpose=%q}", purpose)).Add(spent.Seconds())
}

func (m *Meter) countersFor(purpose Purpose) *byteCounters {
	m.mu.Lock()
	defer m.mu.Unlock()
	counters, ok := m.bytes[purpose]
	if !ok {
		counters = &byteCounters{in: m.counter(purpose, "in"), out: m.counter(purpose, "out")}
		m.bytes[purpose] = counters
	}
	return counters
}

func (m *Meter) counter(purpose Purpose, direction string) *victoria.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("cairnbay_control_wire_bytes{purpose=%q,direction=%q}", purpose, direction))
}

// Samples returns the processor and network rates since the previous call and the
// current memory, for audit.Config.Samples. It returns nil if the clock has not
// advanced.
func (m *Meter) Samples() []audit.Sample {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, previous := m.read(), m.lastReading
	seconds := (now.at - previous.at).Seconds()
	if seconds <= 0 {
		return nil
	}
	m.lastReading = now
	samples := []audit.Sample{
		{Name: "control_processor", Unit: "cores", Value: (now.processor - previous.processor).Seconds() / seconds},
		{Name: "control_memory", Unit: "MB", Value: float64(memoryBytes()) / 1e6},
	}
	for purpose, total := range now.bytes {
		if purpose.isControl() {
			rate := float64(total-previous.bytes[purpose]) / seconds / 1e3
			samples = append(samples, audit.Sample{Name: "control_wire_" + string(purpose), Unit: "KB/s", Value: rate})
		}
	}
	return samples
}

// read returns the current totals. The caller must hold the lock, except in New.
func (m *Meter) read() reading {
	totals := reading{at: m.clock.Now(), processor: ProcessorTime(), bytes: make(map[Purpose]uint64)}
	for purpose, counters := range m.bytes {
		totals.bytes[purpose] = counters.total()
	}
	return totals
}

// ProcessorTime returns the user and system time used by the whole process, or 0
// if it cannot be read.
func ProcessorTime() time.Duration {
	usage := syscall.Rusage{}
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryBytes returns the memory that the Go runtime has mapped and not released
// to the operating system.
func memoryBytes() uint64 {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
	}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}

type countedConn struct {
	net.Conn
	counters *byteCounters
}

// Read implements net.Conn.
func (c *countedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.counters.in.Add(count)
	return count, err
}

// Write implements net.Conn.
func (c *countedConn) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.counters.out.Add(count)
	return count, err
}

type countedListener struct {
	net.Listener
	counters *byteCounters
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counters: l.counters}, nil
}
