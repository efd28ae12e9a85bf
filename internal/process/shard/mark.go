package shard

import (
	"time"

	"cairnbay/internal/process/commit"
)

// wantMark notes the mark that a start of an at-most-once task needs: the end
// of the task's window, or of the next one when marks are raised ahead.
func (c *Core) wantMark(known *job, index int) {
	window := max(1, c.config.MarkWindow(known.Job))
	if c.config.MarkAhead {
		index += window / 2
	}
	upTo := min(known.Job.Tasks, (index/window+1)*window)
	if upTo <= max(known.asked, known.wanted) {
		return
	}
	known.wanted = upTo
	c.marks = append(c.marks, known)
}

// raiseMarks journals the marks that are wanted, in one go.
func (c *Core) raiseMarks(now time.Duration) {
	var raised []commit.Mark
	var records []commit.Record
	for _, known := range c.marks {
		if known.wanted <= known.asked {
			continue
		}
		known.asked = known.wanted
		mark := commit.Mark{Job: known.Job.ID, UpTo: known.asked}
		raised = append(raised, mark)
		records = append(records, commit.Record{Mark: &mark})
	}
	c.marks = nil
	if len(records) == 0 {
		return
	}
	c.journal(now, true, records, func(now time.Duration) {
		for _, mark := range raised {
			c.marked(mark, now)
		}
	})
}

// marked sends the starts that a confirmed mark covers.
func (c *Core) marked(mark commit.Mark, now time.Duration) {
	known := c.jobs[mark.Job]
	if known == nil {
		return
	}
	known.Mark = max(known.Mark, mark.UpTo)
	waiting := known.marking
	known.marking = nil
	for _, placed := range waiting {
		switch {
		case c.held[placed.task] != placed:
		case placed.task.Index >= known.Mark:
			known.marking = append(known.marking, placed)
		default:
			c.config.OnMarkWait(now - placed.since)
			c.queueStart(placed)
			c.sendStarts(placed.worker, now)
		}
	}
}
