package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

var _ = Describe("best-effort tasks and serving ones", func() {
	const target = 5000
	var (
		sim *simulation
		// own is the tail of each serving task alone, effect what each best-effort task
		// beside it adds.
		own, effect int
		// longestOver is the longest time in which a tail was over its target beside
		// best-effort tasks, overSince when it last began, by worker.
		longestOver time.Duration
		overSince   map[string]time.Duration
	)
	beside := func(running []cairnbay.WorkflowTask) (filling int) {
		for _, one := range running {
			if sim.jobs[one.Job].Steps[one.Step].BestEffort {
				filling++
			}
		}
		return filling
	}
	serve := func(id string, tasks int) {
		job := singleStep(id, quotes, tasks, cores(2, 1000), 2*time.Second)
		step := &job.Steps[0]
		step.LongRunning, step.MaxPerWorker, step.TailTarget = true, 1, target*time.Millisecond
		sim.submit(job, false, time.Hour)
	}
	fill := func(id string, tasks int, runTime time.Duration) {
		job := singleStep(id, meshes, tasks, cores(1, 500), runTime)
		job.Steps[0].BestEffort = true
		job.Steps[0].LongRunning = runTime >= time.Hour
		sim.submit(job, false, runTime)
	}

	BeforeEach(func() {
		sim = newSimulation(sched.Config{StopTime: 200 * time.Millisecond, Retention: time.Hour})
		sim.stopTime = 400 * time.Millisecond
		sim.saves = 500 * time.Millisecond
		own, effect, longestOver, overSince = 1000, 0, 0, make(map[string]time.Duration)
		sim.load = func(task cairnbay.WorkflowTask, running []cairnbay.WorkflowTask) int {
			if sim.jobs[task.Job].Steps[task.Step].TailTarget == 0 {
				return 1000
			}
			return own + effect*beside(running)
		}
		sim.eachStep = func() {
			for _, id := range sim.ids {
				running := sim.fleet.Running(id)
				filling := beside(running)
				if own+effect*filling <= target || filling == 0 || filling == len(running) {
					delete(overSince, id)
					continue
				}
				if _, ok := overSince[id]; !ok {
					overSince[id] = sim.now
				}
				longestOver = max(longestOver, sim.now-overSince[id])
			}
		}
		for _, id := range []string{"a", "b", "c"} {
			sim.addWorker(id, cores(4, 4000))
		}
	})

	// Guards against best-effort jobs that never start while each worker serves.
	It("run beside each other where the tails are far from their targets", func() {
		effect = 500
		serve("s", 3)
		sim.advance(2 * time.Second)
		fill("f", 4, 3*time.Second)
		sim.advance(2 * time.Second)
		Expect(sim.core.State("f")).To(Equal(cairnbay.WorkflowRunning))
		sim.advance(8 * time.Second)
		Expect(sim.core.State("f")).To(Equal(cairnbay.WorkflowCompleted))
		Expect(sim.stops).To(BeEmpty())
		Expect(sim.fleet.Broken()).To(BeEmpty())
	})

	It("share no worker while another one has room", func() {
		serve("s", 2)
		sim.advance(2 * time.Second)
		fill("f", 5, 3*time.Second)
		sim.advance(time.Second)
		Expect(sim.fleet.Running("a")).To(HaveLen(1))
		Expect(sim.fleet.Running("b")).To(HaveLen(1))
		Expect(sim.fleet.Running("c")).To(HaveLen(5))
	})

	// The tails must not exceed their targets for 4 s.
	DescribeTable("part soon where the tails show that one disturbs the other, and try again seldom",
		func(tail int) {
			effect = tail
			serve("s", 3)
			sim.advance(2 * time.Second)
			fill("f", 6, 20*time.Second)
			sim.advance(60 * time.Second)
			Expect(longestOver).To(BeNumerically("<=", time.Second))
			Expect(sim.stops[sched.CauseDisturbing]).To(And(BeNumerically(">=", 3), BeNumerically("<=", 18)))
			effect = 500
			sim.advance(180 * time.Second)
			Expect(sim.core.State("f")).To(Equal(cairnbay.WorkflowCompleted))
			Expect(sim.fleet.Broken()).To(BeEmpty())
		},
		Entry("with a tail near the target", 3800),
		Entry("with a tail over it", 6000),
	)

	// Guards against serving tasks that never start while each worker has best-effort ones.
	DescribeTable("run beside each other where the best-effort tasks were first",
		func(tail int, stops types.GomegaMatcher) {
			effect = tail
			fill("f", 3, time.Hour)
			sim.advance(2 * time.Second)
			serve("s", 3)
			sim.advance(10 * time.Second)
			for _, id := range sim.ids {
				Expect(sim.fleet.Running(id)).To(ContainElement(HaveField("Job", "s")))
			}
			Expect(longestOver).To(BeNumerically("<=", time.Second))
			Expect(sim.stops[sched.CauseDisturbing]).To(stops)
		},
		Entry("and do not disturb", 500, BeZero()),
		Entry("and give way", 60000, BeNumerically(">=", 3)),
	)

	DescribeTable("share no worker whose tail is near its target or not known",
		func(prepare func()) {
			serve("s", 3)
			sim.advance(2 * time.Second)
			prepare()
			sim.advance(2 * time.Second)
			fill("f", 4, 3*time.Second)
			sim.advance(5 * time.Second)
			Expect(sim.core.State("f")).To(Equal(cairnbay.WorkflowPending))
		},
		Entry("near its target", func() { own = 4000 }),
		Entry("not known", func() { sim.unpolled["a"], sim.unpolled["b"], sim.unpolled["c"] = true, true, true }),
	)
})
