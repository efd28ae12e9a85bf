package shard

import (
	"time"

	"cairnbay/internal/process/commit"
)

// requireMark queues the mark that a start of an at-most-once task needs: the
// end of the task's window. With MarkAhead, a task in the second half of its
// window already requires the end of the next one.
func (c *Core) requireMark(job *trackedJob, index int) {
	window := max(1, c.config.MarkWindow(job.Job))
	if c.config.MarkAhead {
		index += window / 2
	}
	upTo := min(job.Job.Tasks, (index/window+1)*window)
	if upTo <= max(job.requestedMark, job.requiredMark) {
		return
	}
	job.requiredMark = upTo
	c.markQueue = append(c.markQueue, job)
}

// raiseMarks journals the queued marks in one write.
func (c *Core) raiseMarks(now time.Duration) {
	var raised []commit.Mark
	var records []commit.Record
	for _, job := range c.markQueue {
		if job.requiredMark <= job.requestedMark {
			continue
		}
		job.requestedMark = job.requiredMark
		mark := commit.Mark{Job: job.Job.ID, UpTo: job.requestedMark}
		raised = append(raised, mark)
		records = append(records, commit.Record{Mark: &mark})
	}
	c.markQueue = nil
	if len(records) == 0 {
		return
	}
	c.appendRecords(now, true, records, func(now time.Duration) {
		for _, mark := range raised {
			c.confirmMark(mark, now)
		}
	})
}

// confirmMark sends the starts that a confirmed mark covers.
func (c *Core) confirmMark(mark commit.Mark, now time.Duration) {
	job := c.jobs[mark.Job]
	if job == nil {
		return
	}
	job.Mark = max(job.Mark, mark.UpTo)
	waiting := job.awaitingMark
	job.awaitingMark = nil
	for _, placed := range waiting {
		switch {
		case c.placements[placed.task] != placed:
			// The start was withdrawn while it waited.
		case placed.task.Index >= job.Mark:
			job.awaitingMark = append(job.awaitingMark, placed)
		default:
			c.config.OnMarkWait(now - placed.since)
			c.queueStart(placed)
			c.sendStarts(placed.worker, now)
		}
	}
}
