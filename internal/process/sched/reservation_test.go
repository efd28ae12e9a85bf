package sched_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
)

// reservedClass is a class whose workers a waiting gang has reserved.
type reservedClass struct {
	*simulation
	workers int
}

// newReservedClass returns a class of workers with 16 cores, each of which runs a task of
// so many cores for a minute, and a gang that needs a part of each worker.
func newReservedClass(workers int, busy, member float64, gangs int) *reservedClass {
	r := &reservedClass{newSimulation(config), workers}
	for i := range workers {
		r.addWorker(fmt.Sprint("w", i), cores(16, 64000))
	}
	batch := singleStep("batch", catalogue, workers, cores(busy, 1000), time.Minute)
	batch.Steps[0].MaxPerWorker, batch.Steps[0].Checkpoints = 1, false
	r.submit(batch, false, time.Minute)
	r.advance(2 * time.Second)
	for i := range gangs {
		gang := singleStep(fmt.Sprint("gang", i), catalogue, workers, cores(member, 1000), 3*time.Second)
		gang.Steps[0].Gang = true
		r.submit(gang, false, 3*time.Second)
	}
	r.advance(2 * time.Second)
	return r
}

// Guards against jobs that last and get no start (LOST), since a gang that waits reserves
// every worker whole and for as long as it waits.
var _ = DescribeTable("a task that lasts starts in time though a gang waits for all workers",
	func(workers int, busy, member float64, gangs int, lasting ...cairnbay.Workflow) {
		r := newReservedClass(workers, busy, member, gangs)
		var tasks []cairnbay.WorkflowTask
		for _, job := range lasting {
			r.submit(job, false, time.Hour)
			for index := range job.Steps[0].Tasks {
				tasks = append(tasks, task(job.ID, index))
			}
		}
		Expect(longestDown(r.simulation, 20*time.Second, tasks...)).To(BeNumerically("<=", maxDown))
		r.advance(time.Minute)
		Expect(r.fleet.Broken()).To(BeEmpty())
	},
	Entry("beside the gang, as in review/5", 6, 7.0, 9.5, 1, lastingJob("l", 3, 0, cores(1, 1000))),
	Entry("beside the gang, two jobs that fill what it leaves", 6, 7.0, 9.5, 1,
		lastingJob("l", 6, 1, cores(4, 1000)), lastingJob("m", 6, 1, cores(2, 1000))),
	Entry("in place of a gang of whole workers", 4, 3.0, 16.0, 1, lastingJob("l", 2, 0, cores(1, 1000))),
	Entry("in place of several gangs", 8, 10.0, 14.0, 3, lastingJob("l", 8, 1, cores(5, 1000))),
	Entry("on one worker", 1, 7.0, 9.5, 1, lastingJob("l", 1, 0, cores(8, 1000))),
)

var _ = Describe("reservations of a gang", func() {
	It("are kept while tasks that last use what the gang leaves", func() {
		r := newReservedClass(6, 7, 9.5, 1)
		r.submit(lastingJob("l", 12, 0, cores(3, 1000)), false, time.Hour)
		r.advance(80 * time.Second)
		Expect(r.completed).To(HaveKey("gang0"))
		Expect(r.fleet.Broken()).To(BeEmpty())
	})

	// Guards against the same for work that ends (LOST), on a class that is mostly idle.
	It("keep no batch work from a class that is mostly idle", func() {
		r := newReservedClass(6, 3, 16, 1)
		r.submit(singleStep("b", catalogue, 4, cores(2, 1000), 5*time.Minute), false, 5*time.Minute)
		r.advance(maxDown)
		Expect(r.fleet.Started("b")).To(BeTrue())
	})

	It("keep long work from a class that is busy", func() {
		r := newReservedClass(6, 12, 16, 1)
		r.submit(singleStep("b", catalogue, 12, cores(2, 1000), 5*time.Minute), false, 5*time.Minute)
		r.advance(80 * time.Second)
		Expect(r.completed).To(HaveKey("gang0"))
	})
})
