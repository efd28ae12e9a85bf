package sched_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

// services is the queue of tasks that last.
var services = cairnbay.Queue{Name: "services", Prefix: "/services/", Priority: 1, MaxAttempts: 3, Stretch: 2.2, TargetLatency: time.Second}

// lasting returns a job with one task that lasts on each of a number of workers of 16 cores.
func lasting(id, workspace string, tasks int) cairnbay.Workflow {
	job := singleStep(id, services, tasks, cores(12, 100), time.Hour)
	job.Workspace, job.Steps[0].LongRunning, job.Steps[0].MaxPerWorker = workspace, true, 1
	return job
}

// entitled is the weight of a workspace none of whose jobs are surplus, with that of the
// others the same.
const entitled = 1000.0

// newSharedClass returns workers of 16 cores on which tasks of one workspace last that holds
// three quarters of them, while work of three others waits for all that is free.
func newSharedClass(workers int, weight float64) *simulation {
	const others = 3
	sim := newSimulation(config)
	for i := range workers {
		sim.addWorker(fmt.Sprintf("w%03d", i), cores(16, 64000))
	}
	terms := []sched.WorkspaceTerms{{Name: "large", Weight: weight}}
	for i := range others {
		terms = append(terms, sched.WorkspaceTerms{Name: fmt.Sprint("small", i), Weight: entitled})
	}
	sim.core.SetWorkspaces(terms)
	sim.submit(lasting("lasting", "large", workers), false, time.Hour)
	sim.advance(time.Second)
	for i := range 21 {
		job := singleStep(nthID(models, i), models, workers, cores(4, 100), 4*time.Second)
		job.Workspace = fmt.Sprint("small", i%others)
		sim.submit(job, false, 4*time.Second)
	}
	sim.advance(2 * time.Second)
	return sim
}

// crash takes down a number of workers at one instant.
func (sim *simulation) crash(workers int) {
	for _, life := range sim.fleet.Lives()[:workers] {
		sim.fleet.CrashFor(life.ID)
	}
}

func (sim *simulation) countRunning(job string) (count int) {
	for _, life := range sim.fleet.Lives() {
		for _, running := range sim.fleet.Running(life.ID) {
			if running.Job == job {
				count++
			}
		}
	}
	return count
}

// Guards against tasks that last and wait, after the loss of their workers, behind the
// backlog of other workspaces because their own holds more than its part of the class.
var _ = Describe("tasks that last, of a workspace that holds more than its part", func() {
	// restartTime is how long a lost task waits once its worker is back.
	const restartTime = time.Second
	DescribeTable("run again once lost workers are back", func(workers, lost int, weight float64) {
		sim := newSharedClass(workers, weight)
		Expect(sim.countRunning("lasting")).To(Equal(workers))
		sim.crash(lost)
		sim.advance(crashDowntime + restartTime)
		Expect(sim.countRunning("lasting")).To(Equal(workers))
		Expect(sim.fleet.Broken()).To(BeEmpty())
	},
		Entry("one of 48", 48, 1, entitled),
		Entry("a quarter of 48", 48, 12, entitled),
		Entry("a third of 252", 252, 84, entitled),
		Entry("all but a few", 48, 44, entitled),
		Entry("one of a surplus job", 48, 1, 0.0),
		Entry("a quarter, of a surplus job", 48, 12, 0.0),
	)

	DescribeTable("do not take those with them that have never run", func(weight float64) {
		const workers = 48
		sim := newSharedClass(workers, weight)
		sim.submit(lasting("wide", "large", workers), false, time.Hour)
		sim.advance(time.Second)
		Expect(sim.countRunning("wide")).To(BeZero())
		sim.crash(12)
		sim.advance(crashDowntime + restartTime)
		Expect(sim.countRunning("wide")).To(BeZero())
	},
		Entry("of entitled jobs", entitled),
		Entry("of surplus jobs", 0.0),
	)

	// Guards against tasks that never start while another one of their step may not run yet.
	It("leave the rest of their step its turn", func() {
		core, now := sched.New(config), sched.Moment{BootTime: time.Second, UnixMS: 1000}
		sequence := uint64(0)
		add := func(id string) {
			core.SetWorker(cairnbay.WorkerEntry{ID: id, Address: id, Capacity: cores(16, 64000)})
			core.HandleHold(now, id, now.BootTime, cairnbay.AgentState{})
		}
		plan := func() (started []cairnbay.WorkflowTask) {
			now.BootTime += 10 * time.Millisecond
			core.Tick()
			for _, action := range core.Plan(now) {
				core.HandleStart(now, action.Start, nil)
				started = append(started, action.Start.Task)
			}
			return started
		}
		core.SetWorkspaces([]sched.WorkspaceTerms{{Name: "large", Weight: entitled}, {Name: "small", Weight: entitled}})
		for i := range 6 {
			add(fmt.Sprint("f", i))
		}
		core.Accept(now, lasting("filler", "large", 6), false)
		Expect(plan()).To(HaveLen(6))
		add("a")
		core.Accept(now, lasting("pair", "large", 2), false)
		Expect(plan()).To(Equal([]cairnbay.WorkflowTask{task("pair", 0)}))
		tooLarge := singleStep("large", services, 1, cores(17, 100), time.Hour)
		tooLarge.Workspace = "small"
		core.Accept(now, tooLarge, false)
		now.BootTime += time.Minute
		Expect(plan()).To(BeEmpty())
		// A task that fails early waits before its third restart.
		for range 3 {
			sequence++
			core.HandleHold(now, "a", now.BootTime, cairnbay.AgentState{Ended: []cairnbay.AgentEnd{{
				Sequence: sequence, Task: task("pair", 0), Attempt: int(sequence), Reason: cairnbay.AgentFailed,
			}}})
			if sequence < 3 {
				Expect(plan()).To(Equal([]cairnbay.WorkflowTask{task("pair", 0)}))
			}
		}
		Expect(plan()).To(Equal([]cairnbay.WorkflowTask{task("pair", 1)}))
	})
})

var _ = Describe("a task that lasts and waits to run again", func() {
	It("is reported with the cause after 2 s, and each time its wait has doubled", func() {
		core, now := sched.New(config), sched.Moment{BootTime: time.Second, UnixMS: 1000}
		core.SetWorker(cairnbay.WorkerEntry{ID: "a", Address: "a", Capacity: cores(16, 64000)})
		core.HandleHold(now, "a", now.BootTime, cairnbay.AgentState{})
		core.Accept(now, lasting("j", "", 1), false)
		for _, action := range core.Plan(now) {
			core.HandleStart(now, action.Start, nil)
		}
		core.HandleWorkerLoss(now, "a", sched.LossDeparted)
		var waited []time.Duration
		for range 100 {
			core.Tick()
			core.Plan(now)
			for _, wait := range core.TakeRestartWaits() {
				Expect(wait.Reason).To(Equal(sched.RestartWaitRoom))
				Expect(wait.Waiting).To(Equal(1))
				waited = append(waited, wait.Waited)
			}
			now.BootTime += 100 * time.Millisecond
		}
		Expect(waited).To(Equal([]time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second}))
	})

	It("waits anew once it has run again", func() {
		core, now := sched.New(config), sched.Moment{BootTime: time.Second, UnixMS: 1000}
		run := func(worker string) {
			core.SetWorker(cairnbay.WorkerEntry{ID: worker, Address: worker, Capacity: cores(16, 64000)})
			core.HandleHold(now, worker, now.BootTime, cairnbay.AgentState{})
			core.Tick()
			actions := core.Plan(now)
			Expect(actions).To(HaveLen(1))
			core.HandleStart(now, actions[0].Start, nil)
		}
		core.Accept(now, lasting("j", "", 1), false)
		for _, worker := range []string{"a", "b", "c"} {
			run(worker)
			now.BootTime += time.Minute
			core.HandleWorkerLoss(now, worker, sched.LossDeparted)
			core.Tick()
			core.Plan(now)
			Expect(core.TakeRestartWaits()).To(BeEmpty())
			now.BootTime += time.Second
		}
	})
})
