package listen

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"cairnbay"
)

// reason is why clients were turned away.
type reason string

const (
	// reasonConnections counts connections that were closed for new ones, reasonRefused new
	// ones that were closed.
	reasonConnections reason = "connections"
	reasonRefused     reason = "refused"
	// reasonMemory counts connections and requests that had to yield, or had no room, for the
	// memory of others; reasonWork requests for whose work there was none.
	reasonMemory reason = "memory"
	reasonWork   reason = "work"
)

// reportPeriod is the interval of the log lines about clients that were turned away.
const reportPeriod = 10 * time.Second

// reports counts the clients that were turned away and logs their number reportPeriod after
// the first of them, so that a flood costs one line a period.
type reports struct {
	config   Config
	counters map[reason]*metrics.Counter

	mu sync.Mutex
	// counts are those since the last line; a line is due while there are any.
	counts map[reason]int
}

func newReports(config Config) *reports {
	r := &reports{config: config, counters: make(map[reason]*metrics.Counter), counts: make(map[reason]int)}
	for _, reason := range []reason{reasonConnections, reasonRefused, reasonMemory, reasonWork} {
		r.counters[reason] = config.Metrics.GetOrCreateCounter(
			fmt.Sprintf("cairnbay_clients_turned_away_total{listener=%q,reason=%q}", config.Name, string(reason)))
	}
	return r
}

func (r *reports) add(reason reason, count int) {
	if count == 0 {
		return
	}
	r.counters[reason].Add(count)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.counts) == 0 {
		r.config.Clock.At(r.config.Clock.Now()+reportPeriod, func(time.Duration) { r.log() })
	}
	r.counts[reason] += count
}

// log logs the counts since the last line.
func (r *reports) log() {
	r.mu.Lock()
	counts := r.counts
	r.counts = make(map[reason]int)
	r.mu.Unlock()
	fields := logrus.Fields{"listener": r.config.Name}
	for reason, count := range counts {
		fields[string(reason)] = count
	}
	r.config.Log.WithFields(fields).Warn("clients turned away")
}

// serverErrorInterval is the minimum time between two logged server errors.
const serverErrorInterval = time.Minute

// errorLog is the error log of an HTTP server. It logs at most one entry per
// serverErrorInterval, with the number of entries suppressed since the last. It prevents a
// misconfigured peer that retries from flooding the log.
type errorLog struct {
	clock cairnbay.Clock
	log   *logrus.Entry

	mu         sync.Mutex
	next       time.Duration
	suppressed int
}

// Write implements io.Writer for the standard library's logger.
func (l *errorLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if now < l.next {
		l.suppressed++
		return len(line), nil
	}
	l.log.WithField("left_out", l.suppressed).Warn(string(bytes.TrimSpace(line)))
	l.next = now + serverErrorInterval
	l.suppressed = 0
	return len(line), nil
}
