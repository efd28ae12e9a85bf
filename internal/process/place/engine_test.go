package place_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/place"
)

// testLimit is a limit of decisions that no test reaches.
const testLimit = 100

// cores returns that many cores and as many gigabytes of memory.
func cores(count int64) cairnbay.Resources {
	return cairnbay.Resources{MilliCPU: count * 1000, MemoryMB: count * 1024}
}

// newEngine returns an engine with the given number of workers of 8 cores, two to
// a rack.
func newEngine(workers int) *place.Engine {
	engine := place.New(place.Config{Shard: "tallinn-a/survey"})
	for index := range workers {
		engine.SetWorker(cairnbay.WorkerState{
			ID: fmt.Sprintf("w%d", index), Rack: fmt.Sprintf("r%d", index/2),
			Capacity: cores(8), Usable: true,
		}, 0)
	}
	return engine
}

func newSpec(id string, kind cairnbay.Kind, band cairnbay.Band, tasks int, size int64) cairnbay.Job {
	return cairnbay.Job{
		ID: cairnbay.JobID(id), Branch: "survey", Team: "t1", Kind: kind, Band: band,
		Class: "survey", Tasks: tasks, Size: cores(size),
	}
}

func enqueue(engine *place.Engine, spec cairnbay.Job) {
	GinkgoHelper()
	Expect(engine.Enqueue(spec, cairnbay.Progress{}, 0)).To(Succeed())
}

// startAll calls Decide and confirms the starts; it returns the worker of each
// task.
func startAll(engine *place.Engine, now time.Duration) map[cairnbay.TaskID]string {
	workers := make(map[cairnbay.TaskID]string)
	for _, decision := range engine.Decide(now, testLimit) {
		if decision.Kind == cairnbay.DecideStart {
			engine.Started(decision.Task, decision.Attempt, now)
			workers[decision.Task] = decision.Worker
		}
	}
	return workers
}

var _ = Describe("Engine", func() {
	It("starts a gang whole or not at all", func() {
		engine := newEngine(2)
		enqueue(engine, newSpec("small", cairnbay.KindBatch, cairnbay.BandUrgent, 1, 1))
		enqueue(engine, newSpec("gang", cairnbay.KindGang, cairnbay.BandBatch, 4, 4))
		Expect(startAll(engine, 0)).To(HaveLen(1))
		engine.Ended("w0", cairnbay.TaskEnd{
			Task: cairnbay.TaskID{Job: "small"}, Attempt: 1, Reason: cairnbay.EndDone,
		}, 1)
		Expect(startAll(engine, 2)).To(HaveLen(4))
	})

	It("spreads a service over racks", func() {
		engine := newEngine(8)
		enqueue(engine, newSpec("web", cairnbay.KindService, cairnbay.BandService, 4, 2))
		racks := make(map[byte]bool)
		for _, worker := range startAll(engine, 0) {
			// newEngine puts the workers 2n and 2n+1 into rack n.
			racks[(worker[1]-'0')/2] = true
		}
		Expect(racks).To(HaveLen(4))
	})

	It("rejects a job that can never fit and names the constraint", func() {
		engine := newEngine(2)
		err := engine.Enqueue(newSpec("big", cairnbay.KindBatch, cairnbay.BandBatch, 1, 9), cairnbay.Progress{}, 0)
		Expect(err).To(MatchError(cairnbay.ErrNeverFits))
		Expect(err).To(MatchError(ContainSubstring("no worker of shard")))
		gang := newSpec("gang", cairnbay.KindGang, cairnbay.BandBatch, 3, 5)
		Expect(engine.Check(gang)).To(MatchError(ContainSubstring("places for 2")))
	})
})
