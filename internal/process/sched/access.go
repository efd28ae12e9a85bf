package sched

// JobWorkspace returns the workspace of a job, empty for a job of a public queue.
// known is false if the core does not have the job.
func (c *Core) JobWorkspace(id string) (workspace string, known bool) {
	job := c.jobs[id]
	if job == nil {
		return "", false
	}
	return job.workflow.Workspace, true
}
