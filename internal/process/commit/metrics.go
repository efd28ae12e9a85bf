package commit

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cairnbay"
)

// journalMetrics holds the metrics of a shard's journal.
type journalMetrics struct {
	writes    *metrics.Counter
	tickets   *metrics.Counter
	readbacks *metrics.Counter
	refusals  *metrics.Counter
	snapshots *metrics.Counter
	seconds   *metrics.Histogram
}

func newMetrics(shard cairnbay.ShardID) *journalMetrics {
	counter := func(name string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf(`cairnbay_journal_%s_total{shard=%q}`, name, shard))
	}
	return &journalMetrics{
		writes: counter("writes"), tickets: counter("appends"), readbacks: counter("readbacks"),
		refusals: counter("refusals"), snapshots: counter("snapshots"),
		seconds: metrics.GetOrCreateHistogram(fmt.Sprintf(`cairnbay_journal_write_seconds{shard=%q}`, shard)),
	}
}

func (m *journalMetrics) observeWrite(tickets int, took time.Duration) {
	m.writes.Inc()
	m.tickets.Add(tickets)
	m.seconds.Update(took.Seconds())
}
