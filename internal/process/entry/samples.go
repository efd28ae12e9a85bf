package entry

import (
	"cmp"
	"slices"
	"time"

	"cairnbay"
	"cairnbay/internal/process/audit"
)

// samples returns the gauges that the audit records: the resource use of the
// control plane, and the packing of the shards that this instance owns.
func (e *Entry) samples() []audit.Sample {
	samples := e.meter.Samples()
	e.mu.Lock()
	owner := e.owner
	e.mu.Unlock()
	if owner == nil {
		return samples
	}
	var free, total cairnbay.Resources
	for _, shard := range owner.Shards() {
		free = free.Add(shard.Free)
		total = total.Add(shard.Total)
	}
	return append(samples, packing(total.Sub(free), total)...)
}

// packing returns the charged share (0 to 1) of each resource dimension, without
// the dimensions whose total is 0.
func packing(charged, total cairnbay.Resources) []audit.Sample {
	names := [cairnbay.Dimensions]string{"packing_cpu", "packing_memory", "packing_accelerators"}
	var samples []audit.Sample
	chargedValues, totalValues := charged.Values(), total.Values()
	for i, name := range names {
		if totalValues[i] > 0 {
			samples = append(samples, audit.Sample{Name: name, Unit: "share", Value: float64(chargedValues[i]) / float64(totalValues[i])})
		}
	}
	return samples
}

// isAuditKeeper reports whether this instance compacts and deletes old audit records,
// a task of the live member with the lowest ID. Two members may do it at the same
// time for a while: each write is a compare-and-swap.
func (e *Entry) isAuditKeeper() bool {
	live := e.member.Live()
	if len(live) == 0 {
		return false
	}
	lowest := slices.MinFunc(live, func(a, b cairnbay.Member) int { return cmp.Compare(a.ID, b.ID) })
	return lowest.ID == e.config.Settings.Instance
}

// lastRemoteContact returns the clock time of the last heartbeat from a live
// member of another data centre, or -1 if no such member is live.
func (e *Entry) lastRemoteContact() time.Duration {
	last := time.Duration(-1)
	for _, other := range e.member.Live() {
		if other.DataCentre != e.config.Settings.DataCentre {
			last = max(last, other.Heard)
		}
	}
	return last
}
