package audit

import "github.com/VictoriaMetrics/metrics"

// counters are the metrics of one Audit.
type counters struct {
	sealed, dropped, folded, failures, written *metrics.Counter
	pending                                    *metrics.Gauge
}

func newCounters(set *metrics.Set) *counters {
	return &counters{
		sealed:   set.GetOrCreateCounter("cairnbay_audit_sealed_records"),
		dropped:  set.GetOrCreateCounter("cairnbay_audit_dropped_records"),
		folded:   set.GetOrCreateCounter("cairnbay_audit_folded_records"),
		failures: set.GetOrCreateCounter("cairnbay_audit_write_failures"),
		written:  set.GetOrCreateCounter("cairnbay_audit_written_bytes"),
		pending:  set.GetOrCreateGauge("cairnbay_audit_pending_bytes", nil),
	}
}
