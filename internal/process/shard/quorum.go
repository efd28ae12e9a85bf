package shard

import (
	"slices"
	"time"
)

// A replica's set of workers may be older than the journal's. Three quarters of
// the replica's set and a majority of the journal's have a worker in common if
// the sets differ by less than a quarter of the workers.
const (
	replicaQuorumNumerator   = 3
	replicaQuorumDenominator = 4
)

// voters lists the workers in the journal's set that are not gone.
func (c *Core) voters() []*worker {
	var voters []*worker
	for _, worker := range c.workers {
		if worker.recorded && !worker.gone {
			voters = append(voters, worker)
		}
	}
	return voters
}

// quorum returns how many voters are needed.
func (c *Core) quorum(voters int) int {
	if c.config.FromReplica {
		return max(voters/2+1, (voters*replicaQuorumNumerator+replicaQuorumDenominator-1)/replicaQuorumDenominator)
	}
	return voters/2 + 1
}

func (c *Core) quorumClaimed() bool {
	voters := c.voters()
	claimed := 0
	for _, voter := range voters {
		if voter.claimed {
			claimed++
		}
	}
	return len(voters) > 0 && claimed >= c.quorum(len(voters))
}

// updateQuorum sets quorumConfirmedAt to the latest time t such that a quorum
// of voters has answered calls decided at t or later.
func (c *Core) updateQuorum() {
	var times []time.Duration
	voters := c.voters()
	for _, voter := range voters {
		if voter.claimed {
			times = append(times, voter.confirmedAt)
		}
	}
	required := c.quorum(len(voters))
	c.quorate = len(voters) > 0 && len(times) >= required
	if !c.quorate {
		return
	}
	slices.Sort(times)
	c.quorumConfirmedAt = times[len(times)-required]
}

// actUntil returns the time until which a call may take effect.
func (c *Core) actUntil() time.Duration {
	return c.quorumConfirmedAt + c.config.QuorumValidity
}

// mayAct reports whether calls with an effect may be sent.
func (c *Core) mayAct(now time.Duration) bool {
	return c.quorate && (now < c.actUntil() || c.defect == defectIgnoredFence)
}

// notAfter returns actUntil on the worker's clock, or 0, which sets no
// deadline, before the worker's first clock reading. The worker read its clock
// before its answer arrived, so the deadline is not after actUntil unless the
// clocks drift.
func (c *Core) notAfter(worker *worker) time.Duration {
	if c.defect == defectNoDeadline || c.defect == defectIgnoredFence || worker.clockReading == 0 {
		return 0
	}
	return worker.clockReading + c.actUntil() - worker.clockReadAt
}
