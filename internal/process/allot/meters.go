package allot

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// meters are the counters of one shard.
type meters struct {
	asked, moved, refused, announced *metrics.Counter
}

func newMeters(set *metrics.Set, shard string) meters {
	if set == nil {
		set = metrics.NewSet()
	}
	counter := func(name string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("%s{shard=%q}", name, shard))
	}
	return meters{
		asked: counter("cairnbay_quota_requests_total"), moved: counter("cairnbay_quota_parts_moved_total"),
		refused: counter("cairnbay_quota_requests_refused_total"), announced: counter("cairnbay_quota_overdrafts_total"),
	}
}
