package sched_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

// lastingJob is a job of tasks that run until they fail.
func lastingJob(id string, tasks, perWorker int, size cairnbay.Resources) cairnbay.Workflow {
	job := singleStep(id, catalogue, tasks, size, time.Second)
	job.Steps[0].LongRunning, job.Steps[0].MaxPerWorker, job.Steps[0].Checkpoints = true, perWorker, false
	return job
}

// failAfter makes every attempt of the jobs that last fail after a time between the two.
func failAfter(sim *simulation, shortest, longest time.Duration) {
	sim.fails = func(task cairnbay.WorkflowTask, _ int) bool { return sim.jobs[task.Job].Steps[task.Step].LongRunning }
	random := rand.New(rand.NewPCG(4, 4))
	sim.variation = func(task cairnbay.WorkflowTask) float64 {
		part := random.Float64()
		return float64(shortest+time.Duration(part*float64(longest-shortest))) / float64(sim.runTimes[task.Job][task.Step])
	}
}

// longestDown advances the simulation and returns the longest time for which a task of
// the jobs did not run.
func longestDown(sim *simulation, length time.Duration, tasks ...cairnbay.WorkflowTask) (longest time.Duration) {
	const step = 100 * time.Millisecond
	down := make(map[cairnbay.WorkflowTask]time.Duration)
	for range length / step {
		sim.advance(step)
		running := make(map[cairnbay.WorkflowTask]bool)
		for _, id := range sim.ids {
			for _, task := range sim.fleet.Running(id) {
				running[task] = true
			}
		}
		for _, task := range tasks {
			down[task] += step
			if running[task] {
				down[task] = 0
			}
			longest = max(longest, down[task])
		}
	}
	return longest
}

// maxDown is the longest time for which a task that lasts may be away while there is room.
const maxDown = 3 * time.Second

// Guards against tasks that last and stay down (LOST), since failures of tasks add up and
// close every worker.
var _ = DescribeTable("a class that runs nothing but tasks that last restarts them in time",
	func(workers, jobs, width, perWorker int, shortest, longest time.Duration) {
		sim := newSimulation(config)
		for i := range workers {
			sim.addWorker(fmt.Sprint("w", i), cores(16, 64000))
		}
		var tasks []cairnbay.WorkflowTask
		for i := range jobs {
			id := fmt.Sprint("j", i)
			for index := range width {
				tasks = append(tasks, task(id, index))
			}
			sim.jobs[id], sim.runTimes[id] = lastingJob(id, width, perWorker, cores(0.35, 400)), []time.Duration{time.Second}
		}
		failAfter(sim, shortest, longest)
		for i := range jobs {
			id := fmt.Sprint("j", i)
			sim.submit(sim.jobs[id], false, time.Second)
		}
		sim.advance(time.Second)
		Expect(longestDown(sim, 100*time.Second, tasks...)).To(BeNumerically("<=", maxDown))
	},
	Entry("five jobs, as in review/4", 6, 5, 24, 5, 20*time.Second, 70*time.Second),
	Entry("one wide job without a limit on a worker", 3, 1, 60, 0, 10*time.Second, 30*time.Second),
	Entry("failures just beyond a stable run", 4, 2, 20, 6, 4*time.Second, 8*time.Second),
	Entry("one worker", 1, 1, 12, 0, 15*time.Second, 40*time.Second),
)

// Guards against the same by tasks of other jobs that fail as soon as they start.
var _ = DescribeTable("tasks that fail at once keep no sound task down",
	func(workers, failing int, failTime time.Duration) {
		sim := newSimulation(config)
		for i := range workers {
			sim.addWorker(fmt.Sprint("w", i), cores(16, 64000))
		}
		const sound, width = "sound", 12
		sim.jobs["failing"], sim.runTimes["failing"] = lastingJob("failing", failing, 0, cores(0.35, 400)), []time.Duration{failTime}
		sim.fails = func(task cairnbay.WorkflowTask, _ int) bool { return true }
		sim.submit(sim.jobs["failing"], false, failTime)
		sim.advance(20 * time.Second)
		var tasks []cairnbay.WorkflowTask
		for index := range width {
			tasks = append(tasks, task(sound, index))
		}
		sim.submit(lastingJob(sound, width, 0, cores(0.5, 400)), false, 25*time.Second)
		Expect(longestDown(sim, 60*time.Second, tasks...)).To(BeNumerically("<=", maxDown))
	},
	Entry("in a few places", 6, 8, time.Second),
	Entry("everywhere", 6, 60, 1500*time.Millisecond),
	Entry("two workers", 2, 16, 300*time.Millisecond),
)

var _ = It("a worker on which every task fails gets few of them", func() {
	sim := newSimulation(config)
	for i := range 4 {
		sim.addWorker(fmt.Sprint("w", i), cores(4, 64000))
	}
	sick := make(map[cairnbay.WorkflowTask]int)
	starts := 0
	sim.onStart = func(start *sched.StartAction) {
		if start.Target.Worker == "w1" {
			sick[start.Task] = start.Attempt
			starts++
		}
	}
	sim.fails = func(task cairnbay.WorkflowTask, attempt int) bool { return sick[task] == attempt }
	const jobs = 40
	for i := range jobs {
		sim.submit(singleStep(fmt.Sprint("j", i), catalogue, 4, cores(1, 100), time.Second), false, time.Second)
		sim.advance(500 * time.Millisecond)
	}
	Expect(starts).To(BeNumerically("<", jobs))
})
