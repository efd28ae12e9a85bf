package sched_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

// imageJob is a job of one step of a program.
func imageJob(id, image string, queue cairnbay.Queue, tasks int, size cairnbay.Resources, declared time.Duration) cairnbay.Workflow {
	job := singleStep(id, queue, tasks, size, declared)
	job.Steps[0].Image = image
	job.Steps[0].Checkpoints = false
	return job
}

// newTrainedSimulation has two workers, of which w001 takes twice as long, and a core that
// has seen runs of two programs: "long" takes four times as long as declared and "exact"
// as long.
func newTrainedSimulation(uses sched.LearnUses) *simulation {
	sim := newSimulation(sched.Config{StopTime: 200 * time.Millisecond, Retention: time.Hour, Learn: uses})
	sim.slowness = func(worker string) float64 { return map[bool]float64{true: 2, false: 1}[worker == "w001"] }
	sim.addWorker("w000", cores(8, 8000))
	sim.addWorker("w001", cores(8, 8000))
	for n := range 20 {
		for image, factor := range map[string]float64{"exact": 1, "long": 4} {
			runTime := seconds(0.25 * factor)
			sim.submit(imageJob(fmt.Sprint(image, n), image, models, 2, cores(8, 1000), 250*time.Millisecond), false, runTime)
			sim.advance(2*runTime + time.Second)
		}
	}
	return sim
}

var _ = Describe("learned run times of programs of one queue", func() {
	DescribeTable("order stages by their latest start", func(uses sched.LearnUses, first string) {
		// Guards against slack by one ratio for all programs of a queue.
		sim := newTrainedSimulation(uses)
		sim.submit(imageJob("busy", "exact", models, 2, cores(8, 1000), time.Second), false, 500*time.Millisecond)
		var started []string
		sim.onStart = func(start *sched.StartAction) { started = append(started, start.Task.Job) }
		sim.submit(imageJob("a-long", "long", models, 2, cores(8, 1000), 500*time.Millisecond), false, 2*time.Second)
		sim.advance(10 * time.Millisecond)
		sim.submit(imageJob("b-exact", "exact", models, 2, cores(8, 1000), 500*time.Millisecond), false, 500*time.Millisecond)
		sim.advance(3 * time.Second)
		Expect(started[0]).To(Equal(first))
	},
		// The objective is four times the run time, so that the longer one may wait longer.
		Entry("with order", sched.LearnUses{Order: true}, "b-exact"),
		Entry("without", sched.LearnUses{Place: true}, "a-long"),
	)

	DescribeTable("give the expected wait at admission", func(uses sched.LearnUses, from, to time.Duration) {
		// Guards against jobs that are accepted and come too late, and against needless refusals.
		sim := newTrainedSimulation(uses)
		for n := range 10 {
			sim.submit(imageJob(fmt.Sprint("waiting", n), "long", models, 2, cores(8, 1000), time.Second), false, 4*time.Second)
		}
		// The first runs; nine wait, each of 4 s on both workers, 1.5 times that on their mean.
		admission := sim.core.Admit(sim.moment(), imageJob("next", "exact", models, 1, cores(8, 1000), time.Second))
		AddReportEntry("expected wait", admission.ExpectedWait.String())
		Expect(admission.ExpectedWait).To(BeNumerically(">", from))
		Expect(admission.ExpectedWait).To(BeNumerically("<", to))
	},
		Entry("with admit", sched.LearnUses{Admit: true}, 45*time.Second, 75*time.Second),
		Entry("without", sched.LearnUses{Place: true}, 10*time.Second, 44*time.Second),
	)

	DescribeTable("let only such work backfill a reserved worker that ends in time there", func(uses sched.LearnUses, backfilled bool) {
		// Guards against gangs that wait for a backfilled task on a slow worker.
		sim := newTrainedSimulation(uses)
		busy := singleStep("busy", quotes, 1, cores(8, 1000), 1200*time.Millisecond)
		sim.submit(busy, false, 1200*time.Millisecond)
		gang := imageJob("gang", "gang", meshes, 2, cores(8, 1000), time.Second)
		gang.Steps[0].Gang = true
		sim.submit(gang, false, time.Second)
		started := false
		sim.onStart = func(start *sched.StartAction) { started = started || start.Task.Job == "fill" }
		// It takes 0.9 s on the worker that is busy and 1.8 s on the slow one, which is free.
		sim.submit(imageJob("fill", "fill", catalogue, 1, cores(8, 1000), 900*time.Millisecond), false, 900*time.Millisecond)
		sim.advance(300 * time.Millisecond)
		Expect(started).To(Equal(backfilled))
	},
		Entry("with reserve", sched.LearnUses{Reserve: true}, false),
		Entry("without", sched.LearnUses{Place: true}, true),
	)
})

var _ = Describe("preemption with learned run times", func() {
	DescribeTable("stops the task that loses the least work", func(uses sched.LearnUses, stopped string) {
		core := sched.New(sched.Config{StopTime: 200 * time.Millisecond, Retention: time.Minute, Learn: uses})
		now := sched.Moment{BootTime: time.Second}
		ids := []string{"w0", "w1"}
		for n, id := range ids {
			core.SetWorker(cairnbay.WorkerEntry{ID: id, Capacity: cores(8, 8000)})
			core.HandleHold(now, id, now.BootTime, cairnbay.AgentState{})
			core.Accept(now, singleStep(fmt.Sprint("patient", n), models, 1, cores(8, 1000), 20*time.Second), false)
			for _, action := range core.Plan(now) {
				core.HandleStart(now, action.Start, nil)
			}
		}
		// w1 saves its progress just before the urgent job comes, w0 has not for long.
		for step, checkpoint := range []string{"a", "b"} {
			now.BootTime += 2 * time.Second
			for n, id := range ids {
				if n >= step {
					core.HandleHold(now, id, now.BootTime, cairnbay.AgentState{Running: []cairnbay.AgentTask{{
						Task: task(fmt.Sprint("patient", n), 0), Attempt: 1, Percent: 10 * (step + 1), Checkpoint: checkpoint,
					}}})
				}
			}
		}
		core.Accept(now, singleStep("urgent", quotes, 1, cores(8, 1000), time.Second), false)
		// It has little slack from now on.
		now.BootTime += 400 * time.Millisecond
		core.Tick()
		// The second plan orders the stops that the first decided.
		actions := append(core.Plan(now), core.Plan(now)...)
		var stops []string
		for _, action := range actions {
			if action.Stop != nil {
				stops = append(stops, action.Stop.Target.Worker)
			}
		}
		Expect(stops).To(ConsistOf(stopped))
	},
		Entry("with reserve", sched.LearnUses{Reserve: true}, "w1"),
		Entry("without", sched.LearnUses{}, "w0"),
	)
})

var _ = Describe("the uses of learned run times", func() {
	It("are read from a list of names", func() {
		for list, want := range map[string]sched.LearnUses{
			"": {}, "order,place": {Order: true, Place: true}, sched.AllLearnUses.String(): sched.AllLearnUses,
		} {
			uses, err := sched.ParseLearnUses(list)
			Expect(err).NotTo(HaveOccurred())
			Expect(uses).To(Equal(want))
		}
		for _, list := range []string{"all", "order,", "order;place"} {
			_, err := sched.ParseLearnUses(list)
			Expect(err).To(MatchError(ContainSubstring("want some of order, place, reserve, admit, straggler")))
		}
	})

	It("change nothing while no run is known", func() {
		// Guards against decisions that depend on the prior: workers answer nothing here.
		trace := func(uses sched.LearnUses) (trace []string) {
			sim := newSpeedSimulation(uses, twoSpeeds)
			sim.onStart = func(start *sched.StartAction) {
				trace = append(trace, fmt.Sprint(sim.now, start.Task, start.Target.Worker))
			}
			for _, id := range sim.ids {
				sim.unpolled[id] = true
			}
			sim.replay(speedLoad(2, 1), true, time.Second)
			return trace
		}
		without := trace(sched.LearnUses{})
		Expect(len(without)).To(BeNumerically(">", 100))
		Expect(trace(sched.AllLearnUses)).To(Equal(without))
	})
})
