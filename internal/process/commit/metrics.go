package commit

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cairnbay"
)

// journalMetrics holds the metrics of a shard's journal.
type journalMetrics struct {
	writes *metrics.Counter
	// tickets counts the confirmed tickets.
	tickets *metrics.Counter
	// readbacks counts the slots read because the outcome of a put was unclear.
	readbacks *metrics.Counter
	// failedFlushes counts flushes that failed, also those with an unclear outcome.
	failedFlushes *metrics.Counter
	snapshots     *metrics.Counter
	// writeSeconds is the duration of confirmed writes, with their read-back.
	writeSeconds *metrics.Histogram
}

func newMetrics(shard cairnbay.ShardID) *journalMetrics {
	counter := func(name string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf(`cairnbay_journal_%s_total{shard=%q}`, name, shard))
	}
	return &journalMetrics{
		writes: counter("writes"), tickets: counter("appends"), readbacks: counter("readbacks"),
		failedFlushes: counter("refusals"), snapshots: counter("snapshots"),
		writeSeconds: metrics.GetOrCreateHistogram(fmt.Sprintf(`cairnbay_journal_write_seconds{shard=%q}`, shard)),
	}
}

func (m *journalMetrics) observeWrite(tickets int, took time.Duration) {
	m.writes.Inc()
	m.tickets.Add(tickets)
	m.writeSeconds.Update(took.Seconds())
}
