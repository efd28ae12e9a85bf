package soak

import (
	"fmt"
	"time"

	"cairnbay"
	"cairnbay/internal/process/timer"
)

const (
	// calmLead is how long after the last fault the waits of jobs count, and waitBound how
	// long a job may have nothing running beside room for twice what its step starts at once.
	calmLead  = 4 * time.Second
	waitBound = 3 * time.Second
	// waitSamplePeriod is how often the workers are looked at, well below runTime.
	waitSamplePeriod = 50 * time.Millisecond
)

// waitCheck looks for accepted jobs that wait in calm beside free workers that they may use.
type waitCheck struct {
	world *world
	// waiting are the jobs, with the boot time since which each waits with room.
	waiting map[*job]time.Duration
	// sampledAt is the boot time of the last look at the workers.
	sampledAt time.Duration
	broken    []string
}

// newWaitCheck returns a check of the jobs that must complete.
func newWaitCheck(w *world, jobs []*job) *waitCheck {
	check := &waitCheck{world: w, waiting: make(map[*job]time.Duration)}
	for _, one := range jobs {
		if one.outcome == accepted && !one.deadly {
			check.waiting[one] = 0
		}
	}
	return check
}

// runUntil looks at the workers until it is told to stop.
func (c *waitCheck) runUntil(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(waitSamplePeriod):
			c.sample(timer.Boot())
		}
	}
}

// sample notes since when each job waits, and the violations.
func (c *waitCheck) sample(now time.Duration) {
	// A task may have run unseen since a look that is longer ago than it runs.
	unseen := now-c.sampledAt > runTime
	c.sampledAt = now
	running := make(map[string]bool)
	free := make(map[int]int)
	for i := range c.world.toWorker {
		tasks := c.world.fleet.Running(c.world.worker(i))
		free[i] = int(workerSize.MilliCPU/taskSize.MilliCPU) - len(tasks)
		for _, task := range tasks {
			running[task.Job] = true
		}
	}
	for one, since := range c.waiting {
		done := c.world.fleet.Done(one.id)
		atOnce := 1
		if one.gang {
			atOnce = one.tasks
		}
		step := cairnbay.WorkflowTask{Job: one.id, Step: done / one.tasks}
		switch {
		case done >= one.steps*one.tasks:
			delete(c.waiting, one)
		case unseen || running[one.id] || now < c.world.calmFrom+calmLead || c.room(step, free) < 2*atOnce:
			c.waiting[one] = now
		case now-since > waitBound:
			c.broken = append(c.broken, fmt.Sprintf(
				"in calm: nothing of step %d of job %s has run for %v beside room for %d tasks on permitted workers, %d start at once",
				step.Step, one.id, now-since, c.room(step, free), atOnce))
			delete(c.waiting, one)
		}
	}
}

// room counts the tasks for which the permitted workers of a job's shard have room.
func (c *waitCheck) room(step cairnbay.WorkflowTask, free map[int]int) (tasks int) {
	for worker := range c.world.permitted(step) {
		if c.world.shards[c.world.shardOf(worker)] == c.world.layout.ShardOfJob(step.Job) {
			tasks += max(free[worker], 0)
		}
	}
	return tasks
}
