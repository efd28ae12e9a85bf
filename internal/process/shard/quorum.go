package shard

import (
	"slices"
	"time"
)

// A copy of the journal may know an older set of workers, so its owner needs
// more than a majority: any set that differs by less than a quarter still has
// a worker in common.
const (
	copiedQuorumNumerator   = 3
	copiedQuorumDenominator = 4
)

// voters lists the workers of the journal's set that are not gone.
func (c *Core) voters() []*worker {
	var voters []*worker
	for _, worker := range c.workers {
		if worker.recorded && !worker.gone {
			voters = append(voters, worker)
		}
	}
	return voters
}

// quorum is how many of voters are needed.
func (c *Core) quorum(voters int) int {
	if c.config.FromReplica {
		return max(voters/2+1, (voters*copiedQuorumNumerator+copiedQuorumDenominator-1)/copiedQuorumDenominator)
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

// reconfirm works out when a quorum last confirmed the epoch: the time of the
// oldest call among the newest ones that make up a quorum.
func (c *Core) reconfirm() {
	var times []time.Duration
	voters := c.voters()
	for _, voter := range voters {
		if voter.claimed {
			times = append(times, voter.confirmed)
		}
	}
	need := c.quorum(len(voters))
	c.quorate = len(voters) > 0 && len(times) >= need
	if !c.quorate {
		return
	}
	slices.Sort(times)
	c.confirmed = times[len(times)-need]
}

// actUntil is the last moment at which a call may take effect.
func (c *Core) actUntil() time.Duration {
	return c.confirmed + c.config.QuorumValidity
}

// mayAct says whether calls with an effect may be sent.
func (c *Core) mayAct(now time.Duration) bool {
	return c.quorate && (now < c.actUntil() || c.defect == defectIgnoresFence)
}

// notAfter is actUntil on the worker's clock, rounded down: the worker's clock
// read answeredNow at the latest when the answer came.
func (c *Core) notAfter(worker *worker) time.Duration {
	if c.defect == defectUnbounded || c.defect == defectIgnoresFence || worker.answeredNow == 0 {
		return 0
	}
	return worker.answeredNow + c.actUntil() - worker.answeredAt
}
