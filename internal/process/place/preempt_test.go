package place_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/place"
)

// withSettings sets branches by path.
func withSettings(engine *place.Engine, branches map[string]cairnbay.Placing) {
	settings := &cairnbay.Settings{Version: 1, Branches: make(map[string]*cairnbay.Branch)}
	for path, placing := range branches {
		settings.Branches[path] = &cairnbay.Branch{Path: path, Placing: placing}
	}
	engine.SetSettings(settings, 0)
}

func kindsOf(decisions []cairnbay.Decision) []cairnbay.DecisionKind {
	var kinds []cairnbay.DecisionKind
	for _, decision := range decisions {
		kinds = append(kinds, decision.Kind)
	}
	return kinds
}

var _ = Describe("Preemption", func() {
	type scenario struct {
		patient func(*cairnbay.Job)
		urgent  cairnbay.Resources
		want    []cairnbay.DecisionKind
	}
	// Four patient tasks with 2 of 8 cores and 1 of 8 GB each use all cores of
	// the worker.
	DescribeTable("preempts as few tasks as needed and throttles before it stops",
		func(test scenario) {
			engine := newEngine(1)
			withSettings(engine, map[string]cairnbay.Placing{"": {Preempt: true}})
			patient := newSpec("patient", cairnbay.KindBatch, cairnbay.BandBatch, 4, 2)
			patient.Size.MemoryMB = 1024
			test.patient(&patient)
			enqueue(engine, patient)
			startAll(engine, 0)
			urgent := newSpec("urgent", cairnbay.KindBatch, cairnbay.BandUrgent, 1, 2)
			urgent.Size = test.urgent
			enqueue(engine, urgent)
			Expect(kindsOf(engine.Decide(time.Second, testLimit))).To(Equal(test.want))
		},
		Entry("throttles when only processors are short", scenario{
			patient: func(*cairnbay.Job) {},
			urgent:  cairnbay.Resources{MilliCPU: 3000, MemoryMB: 1024},
			want:    []cairnbay.DecisionKind{cairnbay.DecideThrottle, cairnbay.DecideThrottle, cairnbay.DecideStart},
		}),
		Entry("checkpoints tasks that can resume when memory is short", scenario{
			patient: func(job *cairnbay.Job) { job.Checkpoints = true },
			urgent:  cairnbay.Resources{MilliCPU: 1000, MemoryMB: 5000},
			want:    []cairnbay.DecisionKind{cairnbay.DecideCheckpoint},
		}),
		Entry("stops tasks that cannot resume when memory is short", scenario{
			patient: func(*cairnbay.Job) {},
			urgent:  cairnbay.Resources{MilliCPU: 3000, MemoryMB: 6000},
			want:    []cairnbay.DecisionKind{cairnbay.DecideStop, cairnbay.DecideStop},
		}),
		Entry("does not preempt a task that must not run twice", scenario{
			patient: func(job *cairnbay.Job) { job.AtMostOnce = true },
			urgent:  cairnbay.Resources{MilliCPU: 1000},
		}),
	)

	It("starts only the claiming job on freed capacity", func() {
		engine := newEngine(1)
		withSettings(engine, map[string]cairnbay.Placing{"": {Preempt: true}})
		enqueue(engine, newSpec("patient", cairnbay.KindBatch, cairnbay.BandBatch, 4, 2))
		startAll(engine, 0)
		enqueue(engine, newSpec("urgent", cairnbay.KindBatch, cairnbay.BandUrgent, 1, 4))
		enqueue(engine, newSpec("small", cairnbay.KindBatch, cairnbay.BandBatch, 1, 2))
		stops := engine.Decide(time.Second, testLimit)
		Expect(kindsOf(stops)).To(Equal([]cairnbay.DecisionKind{cairnbay.DecideStop, cairnbay.DecideStop}))
		explained, err := engine.Explain("urgent", time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(explained.Constraint).To(Equal("preemption"))
		// The first end frees too little for the urgent job, the second enough.
		for index, stop := range stops {
			end := cairnbay.TaskEnd{Task: stop.Task, Attempt: stop.Attempt, Reason: cairnbay.EndStopped}
			Expect(engine.Ended("w0", end, 2*time.Second)).To(Equal(cairnbay.TaskWaiting))
			Expect(startAll(engine, 2*time.Second)).To(HaveLen(index))
		}
	})

	It("stops a task whose checkpoint takes too long", func() {
		engine := newEngine(1)
		withSettings(engine, map[string]cairnbay.Placing{"": {Preempt: true}})
		patient := newSpec("patient", cairnbay.KindBatch, cairnbay.BandBatch, 1, 8)
		patient.Checkpoints = true
		enqueue(engine, patient)
		startAll(engine, 0)
		enqueue(engine, newSpec("urgent", cairnbay.KindBatch, cairnbay.BandUrgent, 1, 4))
		Expect(kindsOf(engine.Decide(time.Second, testLimit))).To(Equal([]cairnbay.DecisionKind{cairnbay.DecideCheckpoint}))
		// This is past checkpointGrace.
		Expect(kindsOf(engine.Decide(12*time.Second, testLimit))).To(Equal([]cairnbay.DecisionKind{cairnbay.DecideStop}))
	})

	It("reclaims borrowed capacity when another branch needs its quota", func() {
		engine := newEngine(1)
		withSettings(engine, map[string]cairnbay.Placing{
			"": {}, "a": {Quota: cores(4), Borrow: true}, "b": {Quota: cores(4)},
		})
		borrower := newSpec("borrower", cairnbay.KindBatch, cairnbay.BandBatch, 4, 2)
		borrower.Branch = "a"
		enqueue(engine, borrower)
		Expect(startAll(engine, 0)).To(HaveLen(4))
		owner := newSpec("owner", cairnbay.KindBatch, cairnbay.BandBatch, 4, 2)
		owner.Branch = "b"
		enqueue(engine, owner)
		stops := engine.Decide(time.Second, testLimit)
		Expect(kindsOf(stops)).To(Equal([]cairnbay.DecisionKind{cairnbay.DecideStop, cairnbay.DecideStop}))
		Expect(stops[0].Task.Job).To(Equal(cairnbay.JobID("borrower")))
	})
})
