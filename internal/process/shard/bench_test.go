package shard

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTick measures an update with an unchanged platform list followed by
// a tick, by the number of waiting jobs.
func BenchmarkTick(b *testing.B) {
	for _, jobs := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint("jobs=", jobs), func(b *testing.B) {
			cluster := newTestCluster(faultPlan{})
			cluster.takeOver()
			cluster.runFor(2 * time.Second)
			owner := cluster.owners[0]
			for range jobs {
				cluster.submit(owner, 100, false)
			}
			cluster.flush()
			b.ResetTimer()
			for b.Loop() {
				owner.core.SetInstances(cluster.listed, cluster.clock.Now())
				owner.core.Tick(cluster.clock.Now())
				owner.pendingCalls = nil
			}
		})
	}
}
