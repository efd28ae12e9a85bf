package shard

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/commit"
)

var _ = Describe("Core", func() {
	var tested *world

	BeforeEach(func() {
		tested = newWorld(faultPlan{})
		tested.takeOver()
		tested.pass(2 * time.Second)
	})

	newest := func() *life { return tested.lives[len(tested.lives)-1] }

	runs := func() int {
		count := 0
		for _, fake := range tested.workers {
			count += len(fake.Records().Runs)
		}
		return count
	}

	// startsOf takes the starts off a life's calls.
	startsOf := func(of *life) []Action {
		var starts, others []Action
		for _, call := range of.calls {
			if call.Kind == ActStart {
				starts = append(starts, call)
			} else {
				others = append(others, call)
			}
		}
		of.calls = others
		return starts
	}

	// accept submits a job and journals its acceptance, without sending starts.
	accept := func(tasks int, atMostOnce bool) {
		of := newest()
		tested.submit(of, tasks, atMostOnce)
		for len(of.writes) > 0 {
			tested.write(of)
		}
	}

	It("sends no start again whose task ended before the answer was missed", func() {
		accept(1, false)
		for _, start := range startsOf(newest()) {
			tested.send(newest(), start, true)
		}
		tested.hand.Advance(1500 * time.Millisecond)
		tested.pass(5 * time.Second)
		Expect(runs()).To(Equal(1))
		Expect(tested.log.Jobs["job-1"].FinalCount()).To(Equal(1))
	})

	It("stops a task that is final in the journal, and frees what it took", func() {
		accept(2, false)
		tested.settle()
		task := cairnbay.TaskID{Job: "job-1", Index: 1}
		tested.log.Apply(commit.Record{End: &commit.End{Task: task, State: cairnbay.TaskDone}})
		newest().paused = true
		tested.takeOver()
		tested.pass(10 * time.Second)
		free, total := newest().placer.Free()
		Expect(free).To(Equal(total))
	})

	It("starts no at-most-once task while the store does not confirm its mark", func() {
		of := newest()
		accept(4, true)
		tested.down = true
		tested.pass(3 * time.Second)
		started := runs()
		tested.down = false
		tested.pass(40 * time.Second)
		Expect(runs()).To(Equal(4))
		Expect(started).To(BeNumerically("<=", of.core.jobs["job-1"].Mark))
	})

	It("keeps the tasks of a lost worker until they have certainly ended", func() {
		accept(3, false)
		tested.settle()
		of := newest()
		held := of.core.held[cairnbay.TaskID{Job: "job-1", Index: 2}]
		Expect(held).NotTo(BeNil())
		of.cut[held.worker.ref.ID] = true
		tested.pass(worldLease)
		Expect(of.core.Status(tested.hand.Now()).Unaccounted).To(BeNumerically(">", 0))
		before := runs()
		Expect(before).To(Equal(3))
		tested.pass(stopRenewAfter + worldLease + worldConfirm)
		Expect(runs()).To(BeNumerically(">", before))
	})

	It("lets a worker forget no end that only it knows, though its tasks were given up", func() {
		accept(1, true)
		tested.settle()
		of := newest()
		held := of.core.held[cairnbay.TaskID{Job: "job-1"}]
		Expect(held).NotTo(BeNil())
		tested.down = true
		of.cut[held.worker.ref.ID] = true
		tested.pass(stopRenewAfter + worldLease + 2*worldConfirm)
		of.cut[held.worker.ref.ID] = false
		tested.pass(2 * time.Second)
		of.paused = true
		tested.down = false
		tested.takeOver()
		tested.pass(10 * time.Second)
		Expect(runs()).To(Equal(1))
		Expect(tested.log.Jobs["job-1"].FinalCount()).To(Equal(1))
	})

	DescribeTable("never takes a task for unstarted whose worker died before it was asked",
		func(claimed bool) {
			accept(1, true)
			tested.settle()
			held := newest().core.held[cairnbay.TaskID{Job: "job-1"}]
			Expect(held).NotTo(BeNil())
			index := int(held.worker.ref.ID[1] - '0')
			newest().paused = true
			tested.takeOver()
			newest().cut[tested.all[(index+1)%worldWorkers].ID] = true
			newest().cut[held.worker.ref.ID] = !claimed
			tested.pass(time.Second)
			tested.kill(index)
			tested.pass(25 * time.Second)
			newest().cut = map[string]bool{}
			tested.pass(10 * time.Second)
			newest().paused = true
			tested.takeOver()
			tested.pass(40 * time.Second)
			Expect(runs()).To(Equal(1))
			Expect(tested.log.Jobs["job-1"].FinalCount()).To(Equal(1))
		},
		Entry("by the claim", false),
		Entry("again after it", true),
	)

	type scenario struct {
		unreached int
		phase     Phase
		after     time.Duration
		then      Phase
	}
	scenarios := map[string]scenario{
		"all workers": {unreached: 0, phase: PhaseActive, after: 0, then: PhaseActive},
		"a majority":  {unreached: 1, phase: PhasePartial, after: 6 * time.Second, then: PhaseActive},
		"a minority":  {unreached: 2, phase: PhaseClaiming, after: 10 * time.Second, then: PhaseClaiming},
		"nobody":      {unreached: 3, phase: PhaseClaiming, after: 10 * time.Second, then: PhaseClaiming},
	}
	for name, scenario := range scenarios {
		It("takes over as far as it is safe when it reaches "+name, func() {
			newest().paused = true
			tested.takeOver()
			for _, instance := range tested.listed[:scenario.unreached] {
				newest().cut[instance.ID] = true
			}
			tested.pass(time.Second)
			Expect(newest().core.Phase()).To(Equal(scenario.phase))
			tested.pass(scenario.after)
			Expect(newest().core.Phase()).To(Equal(scenario.then))
		})
	}
})
