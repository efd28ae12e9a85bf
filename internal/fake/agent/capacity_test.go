package agent_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
)

// room is the capacity for a number of tasks.
func room(tasks int) cairnbay.Resources {
	return cairnbay.Resources{MilliCPU: 1000, MemoryMB: 100}.Times(tasks)
}

var _ = Describe("a start on a worker that has shrunk", func() {
	type change struct {
		wait  time.Duration
		tasks int
	}
	DescribeTable("exceeds its capacity only after the grace", func(tasks int, exceeds bool, changes ...change) {
		b := newBench()
		for _, change := range changes {
			b.fleet.Resize(worker(0), room(change.tasks))
			b.now += change.wait
		}
		for index := range tasks {
			b.startTask(worker(0), cairnbay.WorkflowTask{Job: "k", Step: 1, Index: index}, 1, time.Minute)
		}
		if exceeds {
			Expect(b.fleet.Broken()).NotTo(BeEmpty())
		} else {
			Expect(b.fleet.Broken()).To(BeEmpty())
		}
	},
		Entry("once, within the grace", 4, false, change{0, 4}, change{time.Second, 0}),
		Entry("once, after the grace", 1, true, change{0, 4}, change{shrinkGrace, 0}),
		Entry("twice, within the grace of both", 4, false, change{0, 4}, change{time.Second, 0}, change{time.Second, 3}),
		Entry("twice, after the grace of the first", 3, true, change{0, 4}, change{shrinkGrace - 1, 2}, change{1, 1}),
		Entry("twice, within the grace of the second", 2, false, change{0, 4}, change{shrinkGrace - 1, 2}, change{1, 1}),
		Entry("and grown again, beyond both", 5, true, change{0, 4}, change{time.Second, 0}, change{time.Second, 3}),
	)
})
