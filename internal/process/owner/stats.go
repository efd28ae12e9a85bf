package owner

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cairnbay"
	"cairnbay/internal/process/shard"
)

// statsPeriod is the time between two updates of a shard's metrics.
const statsPeriod = 5 * time.Second

// setMetrics sets the placement metrics of a shard.
func setMetrics(id cairnbay.ShardID, stats cairnbay.PlacerStats) {
	for band, waiting := range stats.Waiting {
		name := fmt.Sprintf(`cairnbay_place_waiting_tasks{shard=%q,band=%q}`, id, cairnbay.Band(band))
		metrics.GetOrCreateGauge(name, nil).Set(float64(waiting))
	}
	gauges := []struct {
		name  string
		value int
	}{
		{"running_tasks", stats.Running},
		{"claimed_tasks", stats.Claimed},
		{"reserved_workers", stats.Reserved},
		{"throttled_tasks", stats.Throttled},
		{"stopping_tasks", stats.Stopping},
		{"borrowed_tasks", stats.Borrowed},
		{"quarantined_workers", stats.Quarantined},
	}
	for _, gauge := range gauges {
		name := fmt.Sprintf(`cairnbay_place_%s{shard=%q}`, gauge.name, id)
		metrics.GetOrCreateGauge(name, nil).Set(float64(gauge.value))
	}
	counterName := fmt.Sprintf(`cairnbay_place_quarantines_held_off_total{shard=%q}`, id)
	metrics.GetOrCreateCounter(counterName).Set(stats.HeldOff)
}

// publishStats sets the shard's metrics to the placer's current statistics.
func (r *runner) publishStats() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.core.Phase() == shard.PhaseFenced {
		return
	}
	if stats, ok := r.core.Stats(r.owner.config.Clock.Now()); ok {
		setMetrics(r.shard, stats)
	}
}

// clearStats sets the shard's metrics to zero when the runner closes.
func (r *runner) clearStats() {
	setMetrics(r.shard, cairnbay.PlacerStats{})
}
