package agent

import (
	"time"

	"cairnbay"
)

// runTime is how long a task runs on a worker.
func (f *Fleet) runTime(on *worker, task cairnbay.WorkflowTask) time.Duration {
	if f.config.Slowness == nil {
		return f.config.RunTime(task)
	}
	return time.Duration(float64(f.config.RunTime(task)) * f.config.Slowness(on.address))
}
