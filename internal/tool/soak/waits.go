package soak

import (
	"fmt"
	"sync"
	"time"

	"cairnbay"
	"cairnbay/internal/process/timer"
)

const (
	// calmLead is how long after the last fault the waits of jobs count, and waitBound how
	// long a job may have nothing running beside room for twice what its step starts at once,
	// and a task that lasts may not run beside room for two.
	calmLead  = 4 * time.Second
	waitBound = 3 * time.Second
	// waitSamplePeriod is how often the workers are looked at, well below runTime.
	waitSamplePeriod = 50 * time.Millisecond
)

// wholeJob is the index of a waiter that is a job.
const wholeJob = -1

// waiter is a job, or by its index a task of a held job.
type waiter struct {
	job   *job
	index int
}

// waitCheck looks for accepted jobs, and for tasks of held jobs that were lost with their
// workers, that wait in calm beside free workers that they may use.
type waitCheck struct {
	world *world

	mu sync.Mutex
	// waiting are the jobs and tasks, with the boot time since which each waits with room.
	waiting map[waiter]time.Duration
	// ranAt is the boot time at which each task was last seen on a worker. again counts the
	// lost tasks that were seen running once more, and longest is the longest time between.
	ranAt   map[waiter]time.Duration
	again   int
	longest time.Duration
	// sampledAt is the boot time of the last look at the workers.
	sampledAt time.Duration
	broken    []string
}

// look is what the workers run at one moment, and the tasks for which each has room.
// formerAt is the boot time of the look before it.
type look struct {
	formerAt time.Duration
	jobs     map[string]bool
	tasks    map[cairnbay.WorkflowTask]bool
	free     map[int]int
}

// newWaitCheck returns a check of the jobs that must complete.
func newWaitCheck(w *world, jobs []*job) *waitCheck {
	check := &waitCheck{world: w, waiting: make(map[waiter]time.Duration), ranAt: make(map[waiter]time.Duration)}
	for _, one := range jobs {
		if one.outcome == accepted && !one.deadly {
			check.waiting[waiter{one, wholeJob}] = 0
		}
	}
	return check
}

// follow adds the tasks of a held job.
func (c *waitCheck) follow(one *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for index := range one.tasks {
		c.waiting[waiter{one, index}] = 0
	}
}

// start looks at the workers until stop is called.
func (c *waitCheck) start() (stop func()) {
	ended := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { c.runUntil(ended) })
	return func() {
		close(ended)
		watch.Wait()
	}
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

// look lists what runs.
func (c *waitCheck) look() look {
	seen := look{formerAt: c.sampledAt, jobs: make(map[string]bool), tasks: make(map[cairnbay.WorkflowTask]bool), free: make(map[int]int)}
	for i := range c.world.toWorker {
		tasks := c.world.fleet.Running(c.world.worker(i))
		seen.free[i] = c.world.slots() - len(tasks)
		for _, task := range tasks {
			seen.jobs[task.Job], seen.tasks[task] = true, true
		}
	}
	return seen
}

// sample notes since when each job and task waits, and the violations.
func (c *waitCheck) sample(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A task may have run unseen since a look that is longer ago than it runs.
	unseen := now-c.sampledAt > runTime
	seen := c.look()
	c.sampledAt = now
	calm := now >= time.Duration(c.world.calmFrom.Load())+calmLead
	for one, since := range c.waiting {
		if one.index != wholeJob {
			c.sampleTask(one, now, calm && !unseen, seen)
			continue
		}
		job := one.job
		done := c.world.fleet.Done(job.id)
		atOnce := 1
		if job.gang {
			atOnce = job.tasks
		}
		step := cairnbay.WorkflowTask{Job: job.id, Step: done / job.tasks}
		switch {
		case done >= job.steps*job.tasks:
			delete(c.waiting, one)
		case unseen || seen.jobs[job.id] || !calm || c.room(step, seen.free) < 2*atOnce:
			c.waiting[one] = now
		case now-since > waitBound:
			c.broken = append(c.broken, fmt.Sprintf(
				"in calm: nothing of step %d of job %s has run for %v beside room for %d tasks on permitted workers, %d start at once",
				step.Step, job.id, now-since, c.room(step, seen.free), atOnce))
			delete(c.waiting, one)
		}
	}
}

// sampleTask notes since when a task that lasts waits after the loss of its worker.
func (c *waitCheck) sampleTask(one waiter, now time.Duration, calm bool, seen look) {
	task := cairnbay.WorkflowTask{Job: one.job.id, Index: one.index}
	ranAt, ran := c.ranAt[one]
	switch {
	case seen.tasks[task]:
		if ran && ranAt < seen.formerAt {
			c.again++
			c.longest = max(c.longest, now-ranAt)
		}
		c.waiting[one], c.ranAt[one] = now, now
	case !ran || !calm || c.room(task, seen.free) < 2:
		c.waiting[one] = now
	case now-c.waiting[one] > waitBound:
		c.broken = append(c.broken, fmt.Sprintf(
			"in calm: task %d of job %s, which lasts, has not run for %v, of these %v beside room for %d tasks on permitted workers",
			one.index, one.job.id, now-ranAt, now-c.waiting[one], c.room(task, seen.free)))
		delete(c.waiting, one)
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

// summarise prints how long the lost tasks of held jobs have waited.
func (c *waitCheck) summarise() {
	now, waiting := c.sampledAt, 0
	longest := c.longest
	for _, ranAt := range c.ranAt {
		if ranAt < now {
			waiting++
			longest = max(longest, now-ranAt)
		}
	}
	fmt.Fprintf(c.world.config.Out, "outages: %d tasks that last were seen, runs again after a loss: %d, waiting at the end: %d, longest wait %v\n",
		len(c.ranAt), c.again, waiting, longest.Round(time.Millisecond))
}
