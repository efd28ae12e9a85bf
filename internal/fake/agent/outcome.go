package agent

import (
	"time"
)

// Started says whether any task of a job has begun.
func (f *Fleet) Started(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.started[job]
}

// LastStart is when a task of a job last began, on the clock of the fleet; 0 for never.
func (f *Fleet) LastStart(job string) (last time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for task, begun := range f.begun {
		if task.Job == job {
			last = max(last, begun)
		}
	}
	return last
}

// Done counts the tasks of a job that have ended done, acknowledged or not.
func (f *Fleet) Done(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	return len(f.ended[job])
}
