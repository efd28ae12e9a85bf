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

// newSharedClass returns workers of 16 cores on which tasks of one workspace last that holds
// three quarters of them, while work of three others waits for all that is free.
func newSharedClass(workers int) *simulation {
	const others = 3
	sim := newSimulation(config)
	for i := range workers {
		sim.addWorker(fmt.Sprintf("w%03d", i), cores(16, 64000))
	}
	terms := []sched.WorkspaceTerms{{Name: "large", Weight: 1000}}
	for i := range others {
		terms = append(terms, sched.WorkspaceTerms{Name: fmt.Sprint("small", i), Weight: 1000})
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
	DescribeTable("run again once lost workers are back", func(workers, lost int) {
		sim := newSharedClass(workers)
		Expect(sim.countRunning("lasting")).To(Equal(workers))
		sim.crash(lost)
		sim.advance(crashDowntime + restartTime)
		Expect(sim.countRunning("lasting")).To(Equal(workers))
		Expect(sim.fleet.Broken()).To(BeEmpty())
	},
		Entry("one of 48", 48, 1),
		Entry("a quarter of 48", 48, 12),
		Entry("a third of 252", 252, 84),
		Entry("all but a few", 48, 44),
	)

	It("do not take those with them that have never run", func() {
		const workers = 48
		sim := newSharedClass(workers)
		sim.submit(lasting("wide", "large", workers), false, time.Hour)
		sim.advance(time.Second)
		Expect(sim.countRunning("wide")).To(BeZero())
		sim.crash(12)
		sim.advance(crashDowntime + restartTime)
		Expect(sim.countRunning("wide")).To(BeZero())
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
