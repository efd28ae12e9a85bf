package shard

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"cairnbay"
)

// Status is the state of an owned shard for operators.
type Status struct {
	Phase Phase
	// Workers counts all workers, Claimed those that accepted the epoch.
	// Unreachable counts those, without the gone ones, that have not accepted the
	// epoch, have lost it, were dropped, or whose answer is overdue.
	Workers     int
	Claimed     int
	Unreachable int
	// Running counts the placements on reachable workers, including unconfirmed
	// starts, Unaccounted those on other workers. Free and Total sum the capacity
	// of the usable workers.
	Unaccounted int
	Running     int
	Free, Total cairnbay.Resources
	// Quorate says that a quorum of workers confirmed the epoch within
	// QuorumValidity.
	Quorate bool
}

// Status returns the state of the shard for operators.
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
	for _, placed := range c.placements {
		if placed.worker.reachable(now) {
			status.Running++
		} else {
			status.Unaccounted++
		}
	}
	return status
}

// Stats returns the placer's statistics; ok is false for a placer without any.
func (c *Core) Stats(now time.Duration) (stats cairnbay.PlacerStats, ok bool) {
	reporter, ok := c.placer.(cairnbay.StatsPlacer)
	if !ok {
		return stats, false
	}
	return reporter.Stats(now), true
}

// Jobs lists the jobs of the shard.
func (c *Core) Jobs(now time.Duration) []cairnbay.JobView {
	views := c.placer.Jobs()
	for i := range views {
		views[i].Shard = c.config.Shard
		c.countUnaccounted(&views[i], now)
	}
	for _, job := range c.jobs {
		if !job.enqueued {
			views = append(views, c.viewInherited(job))
		}
	}
	return views
}

// countUnaccounted counts the job's tasks on unreachable workers as unaccounted
// instead of starting or running.
func (c *Core) countUnaccounted(view *cairnbay.JobView, now time.Duration) {
	for task, placed := range c.placements {
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

// viewInherited returns the view of a job from before the takeover.
func (c *Core) viewInherited(job *trackedJob) cairnbay.JobView {
	counts := map[cairnbay.TaskState]int{}
	for state, spans := range job.Final {
		counts[state] = spans.Count()
	}
	counts[cairnbay.TaskUnaccounted] = job.Job.Tasks - job.FinalCount()
	return cairnbay.JobView{Job: job.Job, Shard: c.config.Shard, Counts: counts, Done: job.done()}
}

// Explain returns what the unfinished tasks of a job wait for. Errors:
// ErrNotFound and those of Placer.Explain.
func (c *Core) Explain(id cairnbay.JobID, now time.Duration) (cairnbay.Explanation, error) {
	job := c.jobs[id]
	if job == nil {
		return cairnbay.Explanation{}, errors.Annotatef(cairnbay.ErrNotFound, "job %q in shard %q", id, c.config.Shard)
	}
	if !job.enqueued {
		return c.explainInherited(job, now), nil
	}
	explained, err := c.placer.Explain(id, now)
	if err != nil {
		return explained, err
	}
	explained.Shard = c.config.Shard
	if waitingStarts := len(job.awaitingMark); waitingStarts > 0 {
		explained.Constraint = "mark"
		explained.Details = append(explained.Details, fmt.Sprintf(
			"%d starts wait for the store to confirm the mark of this at-most-once job", waitingStarts))
	}
	for task, placed := range c.placements {
		if task.Job == id && !placed.worker.reachable(now) {
			explained.Details = append(explained.Details, fmt.Sprintf(
				"task %d may run on worker %q, which cannot be reached; the task is started elsewhere only once it has certainly ended",
				task.Index, placed.worker.ref.ID))
		}
	}
	return explained, nil
}

func (c *Core) explainInherited(job *trackedJob, now time.Duration) cairnbay.Explanation {
	explained := cairnbay.Explanation{Job: job.Job.ID, Shard: c.config.Shard, Constraint: "takeover"}
	if c.config.FromReplica && job.Job.AtMostOnce {
		explained.Constraint = "store"
		explained.Summary = "The store is down and the owner works from a copy of the journal; at-most-once tasks wait for the store."
		return explained
	}
	explained.Summary = "A new owner has taken the shard over; it is not determined yet where every task from before the takeover runs."
	for _, worker := range c.sortedWorkers() {
		if !worker.claimed && !worker.gone {
			explained.Details = append(explained.Details, fmt.Sprintf("worker %q has not accepted the claim", worker.ref.ID))
		}
	}
	if c.phase == PhasePartial {
		remaining := c.quorumClaimedAt + withDrift(c.config.QuorumValidity+c.config.TaskLease) - now
		explained.Details = append(explained.Details, fmt.Sprintf("all tasks from before the takeover will have ended after at most %s", max(0, remaining).Round(time.Second)))
	}
	return explained
}
