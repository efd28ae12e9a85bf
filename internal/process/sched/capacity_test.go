package sched_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

// resize changes the capacity of a worker, which its list entry shows at once.
func (sim *simulation) resize(id string, capacity cairnbay.Resources) {
	sim.fleet.Resize(id, capacity)
	sim.core.SetWorker(cairnbay.WorkerEntry{ID: id, Address: id, Rack: "r-" + id, Capacity: capacity})
}

// advised returns a job of tasks of two cores whose workers the policy service selects.
func advised(id string, tasks int) cairnbay.Workflow {
	queue := models
	queue.Advice = &cairnbay.AdviceTerms{Decide: 300 * time.Millisecond, Valid: 2 * time.Second}
	return singleStep(id, queue, tasks, cores(2, 100), time.Second)
}

var _ = Describe("a worker whose capacity shrinks", func() {
	It("starts no task for which it has no room any more when the policy service answers", func() {
		sim := newSimulation(config)
		sim.addWorker("a", cores(4, 4000))
		// The ticket ends before the worker is free, so that it is requested again.
		sim.submit(singleStep("busy", quotes, 1, cores(4, 100), 4*time.Second), false, 4*time.Second)
		sim.submit(advised("j", 2), false, time.Second)
		sim.advance(4100 * time.Millisecond)
		Expect(sim.adviceCalls).To(HaveLen(1))
		sim.resize("a", cores(1, 4000))
		sim.advance(4 * time.Second)
		Expect(sim.fleet.Broken()).To(BeEmpty())
		Expect(sim.completed).NotTo(HaveKey("j"))
		sim.resize("a", cores(4, 4000))
		sim.advance(4 * time.Second)
		Expect(sim.completed).To(HaveKey("j"))
	})

	DescribeTable("starts nothing beyond it, and all jobs end once it has grown again", func(seed uint64) {
		sim := newSimulation(config)
		random := rand.New(rand.NewPCG(seed, seed))
		ids := []string{"a", "b", "c", "d"}
		for _, id := range ids {
			sim.addWorker(id, cores(8, 8000))
		}
		next := time.Duration(0)
		sim.eachStep = func() {
			if sim.now >= next && sim.now < 12*time.Second {
				next = sim.now + 150*time.Millisecond
				// To nothing, below what runs, and back within a second.
				sim.resize(ids[random.IntN(len(ids))], cores(float64(random.IntN(9)), 1000*random.Int64N(9)))
			}
		}
		var loads []load
		for i := range 30 {
			at := time.Duration(i) * 300 * time.Millisecond
			gang := gangOf(nthID(meshes, i), 2)
			loads = append(loads,
				load{at, singleStep(nthID(quotes, i), quotes, 4, cores(1.5, 700), 700*time.Millisecond), []time.Duration{700 * time.Millisecond}},
				load{at, advised(nthID(models, i), 2), []time.Duration{time.Second}},
				load{at, gang, []time.Duration{500 * time.Millisecond}},
			)
		}
		sim.replay(loads, false, 0)
		sim.advance(12*time.Second - min(sim.now, 12*time.Second))
		for _, id := range ids {
			sim.resize(id, cores(8, 8000))
		}
		sim.advance(time.Minute)
		Expect(sim.fleet.Broken()).To(BeEmpty())
		Expect(sim.completed).To(HaveLen(90))
	}, Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)))

	const used = 4
	shrinkTo := func(core *sched.Core, count float64) {
		core.SetWorker(cairnbay.WorkerEntry{ID: "a", Address: "a", Capacity: cores(count, 4000)})
	}
	newCore := func(now sched.Moment, jobs ...cairnbay.Workflow) *sched.Core {
		core := sched.New(sched.Config{AttemptBase: successionBase, StopTime: config.StopTime, Retention: time.Minute})
		for _, job := range jobs {
			core.Accept(now, job, false)
		}
		shrinkTo(core, 2*used)
		return core
	}
	answerStarts := func(core *sched.Core, now sched.Moment, err error) {
		for _, action := range core.Plan(now) {
			core.HandleStart(now, action.Start, err)
		}
	}

	DescribeTable("has no room for more while its tasks of four cores are", func(occupy func(core *sched.Core, now sched.Moment)) {
		now := sched.Moment{BootTime: time.Second, UnixMS: 1000}
		core := newCore(now, singleStep("j", quotes, 2, cores(used/2, 100), time.Second))
		occupy(core, now)
		core.Accept(now, singleStep("next", quotes, 1, cores(2, 100), time.Second), false)
		for _, count := range []float64{used + 1, used - 1, 0} {
			shrinkTo(core, count)
			Expect(startsOf(core.Plan(now))).To(BeEmpty(), "%v cores", count)
		}
		shrinkTo(core, used+2)
		Expect(startsOf(core.Plan(now))).To(Equal([]string{"next"}))
	},
		Entry("on their way to it", func(core *sched.Core, now sched.Moment) {
			core.HandleHold(now, "a", now.BootTime, cairnbay.AgentState{})
			Expect(startsOf(core.Plan(now))).To(HaveLen(2))
		}),
		Entry("running", func(core *sched.Core, now sched.Moment) {
			core.HandleHold(now, "a", now.BootTime, cairnbay.AgentState{})
			answerStarts(core, now, nil)
		}),
		Entry("started without an answer", func(core *sched.Core, now sched.Moment) {
			core.HandleHold(now, "a", now.BootTime, cairnbay.AgentState{})
			answerStarts(core, now, cairnbay.ErrUnknown)
		}),
		Entry("being stopped", func(core *sched.Core, now sched.Moment) {
			core.HandleHold(now, "a", now.BootTime, cairnbay.AgentState{})
			answerStarts(core, now, nil)
			core.Cancel(now, "j")
			for _, action := range core.Plan(now) {
				core.HandleStop(now, action.Stop, nil)
			}
		}),
		Entry("those of a former owner", func(core *sched.Core, now sched.Moment) {
			core.BeginRecovery()
			core.HandleHold(now, "a", now.BootTime, runs(
				cairnbay.AgentTask{Task: task("j", 0), Attempt: formerAttempt}, cairnbay.AgentTask{Task: task("j", 1), Attempt: formerAttempt},
			))
			core.EndRecovery()
		}),
	)

	DescribeTable("keeps a job that fits on no other worker until it has grown again", func(needed float64, job cairnbay.Workflow) {
		now := sched.Moment{BootTime: time.Second, UnixMS: 1000}
		core := newCore(now, job)
		core.HandleHold(now, "a", now.BootTime, cairnbay.AgentState{})
		shrinkTo(core, needed-1)
		Expect(core.Plan(now)).To(BeEmpty())
		now.BootTime += time.Minute
		core.Tick()
		Expect(core.Plan(now)).To(BeEmpty())
		Expect(core.State(job.ID)).To(Equal(cairnbay.WorkflowPending))
		shrinkTo(core, needed)
		Expect(startsOf(core.Plan(now))).To(HaveLen(job.Steps[0].Tasks))
	},
		Entry("of one large task", 6.0, singleStep("j", quotes, 1, cores(6, 100), time.Second)),
		Entry("of a gang", 8.0, gangOf("j", 2)),
	)
})
