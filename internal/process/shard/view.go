package shard

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"cairnbay"
)

// Status is what operators see of an owned shard.
type Status struct {
	Phase Phase
	// Workers counts the workers known, Claimed those that accepted the epoch,
	// Unreachable those that do not answer.
	Workers     int
	Claimed     int
	Unreachable int
	// Unaccounted counts tasks that may be on a worker which cannot be reached.
	Unaccounted int
	Running     int
	Free, Total cairnbay.Resources
	// Quorate says that a quorum of workers confirmed the epoch lately.
	Quorate bool
}

// Status returns what operators see.
func (c *Core) Status(now time.Duration) Status {
	status := Status{Phase: c.phase, Workers: len(c.workers), Quorate: c.mayAct(now)}
	status.Free, status.Total = c.placer.Free()
	for _, worker := range c.workers {
		if worker.claimed {
			status.Claimed++
		}
		if !worker.reachable(now) && !worker.gone {
			status.Unreachable++
		}
	}
	for _, placed := range c.held {
		if placed.worker.reachable(now) {
			status.Running++
		} else {
			status.Unaccounted++
		}
	}
	return status
}

// Stats returns the placer's figures; ok is false for a placer that has none.
func (c *Core) Stats(now time.Duration) (stats cairnbay.PlacerStats, ok bool) {
	shows, ok := c.placer.(cairnbay.StatsPlacer)
	if !ok {
		return stats, false
	}
	return shows.Stats(now), true
}

// Jobs lists the jobs of the shard.
func (c *Core) Jobs(now time.Duration) []cairnbay.JobView {
	views := c.placer.Jobs()
	for i := range views {
		views[i].Shard = c.config.Shard
		c.markUnaccounted(&views[i], now)
	}
	for _, known := range c.jobs {
		if !known.enqueued {
			views = append(views, c.viewOld(known))
		}
	}
	return views
}

// markUnaccounted moves the tasks on workers that cannot be reached.
func (c *Core) markUnaccounted(view *cairnbay.JobView, now time.Duration) {
	for task, placed := range c.held {
		if task.Job != view.Job.ID || placed.worker.reachable(now) {
			continue
		}
		state := cairnbay.TaskStarting
		if placed.started {
			state = cairnbay.TaskRunning
		}
		if view.Counts[state] > 0 {
			view.Counts[state]--
			view.Counts[cairnbay.TaskUnaccounted]++
		}
	}
}

// viewOld shows a job from before the takeover.
func (c *Core) viewOld(known *job) cairnbay.JobView {
	counts := map[cairnbay.TaskState]int{}
	for state, spans := range known.Final {
		counts[state] = spans.Count()
	}
	counts[cairnbay.TaskUnaccounted] = known.Job.Tasks - known.FinalCount()
	return cairnbay.JobView{Job: known.Job, Shard: c.config.Shard, Counts: counts, Done: known.done()}
}

// Explain tells why a job stands where it stands. Errors: ErrNotFound.
func (c *Core) Explain(id cairnbay.JobID, now time.Duration) (cairnbay.Explanation, error) {
	known := c.jobs[id]
	if known == nil {
		return cairnbay.Explanation{}, errors.Annotatef(cairnbay.ErrNotFound, "job %q in shard %q", id, c.config.Shard)
	}
	if !known.enqueued {
		return c.explainOld(known, now), nil
	}
	explained, err := c.placer.Explain(id, now)
	if err != nil {
		return explained, err
	}
	explained.Shard = c.config.Shard
	if waiting := len(known.marking); waiting > 0 {
		explained.Constraint = "mark"
		explained.Details = append(explained.Details, fmt.Sprintf(
			"%d starts wait until the store confirms the mark of this at-most-once job", waiting))
	}
	for task, placed := range c.held {
		if task.Job == id && !placed.worker.reachable(now) {
			explained.Details = append(explained.Details, fmt.Sprintf(
				"task %d may run on worker %q, which cannot be reached; it is started elsewhere only once it has certainly ended",
				task.Index, placed.worker.ref.ID))
		}
	}
	return explained, nil
}

func (c *Core) explainOld(known *job, now time.Duration) cairnbay.Explanation {
	explained := cairnbay.Explanation{Job: known.Job.ID, Shard: c.config.Shard, Constraint: "takeover"}
	if c.config.FromReplica && known.Job.AtMostOnce {
		explained.Constraint = "store"
		explained.Summary = "The store is down and the owner works from a copy of the journal; at-most-once tasks wait for the store."
		return explained
	}
	explained.Summary = "A new owner has taken the shard over and does not know yet where every task runs."
	for _, worker := range c.sortedWorkers() {
		if !worker.claimed && !worker.gone {
			explained.Details = append(explained.Details, fmt.Sprintf("worker %q has not accepted the claim", worker.ref.ID))
		}
	}
	if c.phase == PhasePartial {
		left := c.quorumAt + withDrift(c.config.QuorumValidity+c.config.TaskLease) - now
		explained.Details = append(explained.Details, fmt.Sprintf("at the latest in %s all former tasks have ended", max(0, left).Round(time.Second)))
	}
	return explained
}
