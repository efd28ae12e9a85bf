package shard

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/commit"
)

var _ = Describe("Core", func() {
	var cluster *testCluster

	BeforeEach(func() {
		cluster = newTestCluster(faultPlan{})
		cluster.takeOver()
		cluster.runFor(2 * time.Second)
	})

	newestOwner := func() *testOwner { return cluster.owners[len(cluster.owners)-1] }

	countRuns := func() int {
		count := 0
		for _, fake := range cluster.workers {
			count += len(fake.Records().Runs)
		}
		return count
	}

	// takeStarts removes the starts from an owner's pending calls and returns
	// them.
	takeStarts := func(owner *testOwner) []Action {
		var starts, others []Action
		for _, call := range owner.pendingCalls {
			if call.Kind == ActStart {
				starts = append(starts, call)
			} else {
				others = append(others, call)
			}
		}
		owner.pendingCalls = others
		return starts
	}

	// acceptJob submits a job and journals its acceptance, without sending
	// starts.
	acceptJob := func(tasks int, atMostOnce bool) {
		owner := newestOwner()
		cluster.submit(owner, tasks, atMostOnce)
		for len(owner.pendingWrites) > 0 {
			cluster.writeNext(owner)
		}
	}

	It("does not repeat a start whose answer was lost when the task has ended", func() {
		acceptJob(1, false)
		for _, start := range takeStarts(newestOwner()) {
			cluster.send(newestOwner(), start, true)
		}
		cluster.clock.Advance(1500 * time.Millisecond)
		cluster.runFor(5 * time.Second)
		Expect(countRuns()).To(Equal(1))
		Expect(cluster.journal.Jobs["job-1"].FinalCount()).To(Equal(1))
	})

	It("stops a task that is final in the journal and releases its resources", func() {
		acceptJob(2, false)
		cluster.flush()
		task := cairnbay.TaskID{Job: "job-1", Index: 1}
		cluster.journal.Apply(commit.Record{End: &commit.End{Task: task, State: cairnbay.TaskDone}})
		newestOwner().paused = true
		cluster.takeOver()
		cluster.runFor(10 * time.Second)
		free, total := newestOwner().placer.Free()
		Expect(free).To(Equal(total))
	})

	It("starts no at-most-once task until the store confirms its mark", func() {
		owner := newestOwner()
		acceptJob(4, true)
		cluster.storeDown = true
		cluster.runFor(3 * time.Second)
		started := countRuns()
		cluster.storeDown = false
		cluster.runFor(40 * time.Second)
		Expect(countRuns()).To(Equal(4))
		Expect(started).To(BeNumerically("<=", owner.core.jobs["job-1"].Mark))
	})

	It("does not restart the tasks of a lost worker until they have certainly ended", func() {
		acceptJob(3, false)
		cluster.flush()
		owner := newestOwner()
		placed := owner.core.placements[cairnbay.TaskID{Job: "job-1", Index: 2}]
		Expect(placed).NotTo(BeNil())
		owner.unreachable[placed.worker.ref.ID] = true
		cluster.runFor(testTaskLease)
		Expect(owner.core.Status(cluster.clock.Now()).Unaccounted).To(BeNumerically(">", 0))
		before := countRuns()
		Expect(before).To(Equal(3))
		cluster.runFor(stopRenewAfter + testTaskLease + testQuorumValidity)
		Expect(countRuns()).To(BeNumerically(">", before))
	})

	It("does not acknowledge an unjournaled end after the task was given up", func() {
		acceptJob(1, true)
		cluster.flush()
		owner := newestOwner()
		placed := owner.core.placements[cairnbay.TaskID{Job: "job-1"}]
		Expect(placed).NotTo(BeNil())
		cluster.storeDown = true
		owner.unreachable[placed.worker.ref.ID] = true
		cluster.runFor(stopRenewAfter + testTaskLease + 2*testQuorumValidity)
		owner.unreachable[placed.worker.ref.ID] = false
		cluster.runFor(2 * time.Second)
		owner.paused = true
		cluster.storeDown = false
		cluster.takeOver()
		cluster.runFor(10 * time.Second)
		Expect(countRuns()).To(Equal(1))
		Expect(cluster.journal.Jobs["job-1"].FinalCount()).To(Equal(1))
	})

	DescribeTable("starts an at-most-once task only once when its worker is killed",
		func(claimed bool) {
			acceptJob(1, true)
			cluster.flush()
			placed := newestOwner().core.placements[cairnbay.TaskID{Job: "job-1"}]
			Expect(placed).NotTo(BeNil())
			index := int(placed.worker.ref.ID[1] - '0')
			newestOwner().paused = true
			cluster.takeOver()
			newestOwner().unreachable[cluster.instances[(index+1)%testWorkers].ID] = true
			newestOwner().unreachable[placed.worker.ref.ID] = !claimed
			cluster.runFor(time.Second)
			cluster.kill(index)
			cluster.runFor(25 * time.Second)
			newestOwner().unreachable = map[string]bool{}
			cluster.runFor(10 * time.Second)
			newestOwner().paused = true
			cluster.takeOver()
			cluster.runFor(40 * time.Second)
			Expect(countRuns()).To(Equal(1))
			Expect(cluster.journal.Jobs["job-1"].FinalCount()).To(Equal(1))
		},
		Entry("before the claim", false),
		Entry("after the claim", true),
	)

	type scenario struct {
		unreachable    int
		phase          Phase
		wait           time.Duration
		phaseAfterWait Phase
	}
	scenarios := map[string]scenario{
		"all workers": {unreachable: 0, phase: PhaseActive, wait: 0, phaseAfterWait: PhaseActive},
		"a majority":  {unreachable: 1, phase: PhasePartial, wait: 6 * time.Second, phaseAfterWait: PhaseActive},
		"a minority":  {unreachable: 2, phase: PhaseClaiming, wait: 10 * time.Second, phaseAfterWait: PhaseClaiming},
		"no worker":   {unreachable: 3, phase: PhaseClaiming, wait: 10 * time.Second, phaseAfterWait: PhaseClaiming},
	}
	for name, scenario := range scenarios {
		It("is in the expected phase, at once and after the wait, when it reaches "+name, func() {
			newestOwner().paused = true
			cluster.takeOver()
			for _, instance := range cluster.listed[:scenario.unreachable] {
				newestOwner().unreachable[instance.ID] = true
			}
			cluster.runFor(time.Second)
			Expect(newestOwner().core.Phase()).To(Equal(scenario.phase))
			cluster.runFor(scenario.wait)
			Expect(newestOwner().core.Phase()).To(Equal(scenario.phaseAfterWait))
		})
	}
})
