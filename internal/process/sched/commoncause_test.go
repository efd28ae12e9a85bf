package sched_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

// newBusySite returns workers of 16 cores that each run a task without end, so that none is
// empty for a trial.
func newBusySite(workers int) *simulation {
	sim := newSimulation(config)
	for i := range workers {
		sim.addWorker(fmt.Sprintf("w%03d", i), cores(16, 64000))
	}
	sim.deadly = func(cairnbay.WorkflowTask) bool { return false }
	other := singleStep("other", quotes, workers, cores(4, 100), time.Hour)
	other.Steps[0].MaxPerWorker = 1
	sim.submit(other, false, time.Hour)
	sim.advance(time.Second)
	return sim
}

// Guards against tasks that wait for a trial each, one after the other, because they had
// just started on workers that were all lost at one instant.
var _ = Describe("many workers that are lost at one instant", func() {
	const restartTime = 2 * time.Second
	DescribeTable("are not blamed on the tasks that they had just started", func(workers, lost, suspects int) {
		sim := newBusySite(workers)
		// The last tasks start on the workers that are lost.
		for _, id := range sim.ids[lost:] {
			sim.unpolled[id] = true
			sim.core.SetReachable(sim.moment(), id, false)
		}
		sim.submit(lasting("lasting", "", suspects), false, time.Hour)
		Expect(sim.countRunning("lasting")).To(Equal(suspects))
		sim.crash(lost)
		clear(sim.unpolled)
		sim.advance(crashDowntime + restartTime)
		Expect(sim.countRunning("lasting")).To(Equal(suspects))
		Expect(sim.fleet.Broken()).To(BeEmpty())
	},
		Entry("a few suspects, a data centre of 48", 48, 16, 12),
		Entry("a data centre of 252", 252, 84, 60),
		Entry("a class as a whole", 48, 48, 40),
	)

	DescribeTable("are blamed on tasks that crash each of them", func(gang bool, lost int) {
		sim := newBusySite(48)
		sim.deadly = func(task cairnbay.WorkflowTask) bool { return task.Job == "wide" }
		wide := singleStep("wide", models, 24, cores(12, 100), time.Second)
		wide.Steps[0].Gang = gang
		sim.submit(wide, false, time.Second)
		sim.crash(lost)
		sim.advance(40 * time.Second)
		for i := range 24 {
			Expect(sim.fleet.CrashCount(task("wide", i))).To(BeNumerically("<=", maxCrashes))
		}
		Expect(sim.core.State("wide")).To(Equal(cairnbay.WorkflowFailed))
		Expect(sim.fleet.Broken()).To(BeEmpty())
	},
		Entry("a wide job", false, 0),
		Entry("a gang", true, 0),
		Entry("a wide job while others are lost for another cause", false, 20),
	)

	// Guards against tasks that crash worker after worker while others move to another class:
	// their runs are dropped without a crash.
	It("are not those that are dropped while they answer", func() {
		sim := newBusySite(8)
		sim.deadly = func(task cairnbay.WorkflowTask) bool { return task.Job == "deadly" }
		sim.eachStep = func() {
			for _, id := range []string{"moved0", "moved1"} {
				sim.core.SetWorker(cairnbay.WorkerEntry{ID: id, Address: id, Capacity: cores(1, 100)})
				sim.core.HandleHold(sim.moment(), id, sim.now, cairnbay.AgentState{})
				sim.core.HandleWorkerLoss(sim.moment(), id, sched.LossCrashed)
			}
		}
		sim.submit(lasting("deadly", "", 1), false, time.Hour)
		sim.advance(40 * time.Second)
		Expect(sim.core.State("deadly")).To(Equal(cairnbay.WorkflowFailed))
		Expect(sim.fleet.CrashCount(task("deadly", 0))).To(BeNumerically("<=", maxCrashes))
	})
})
