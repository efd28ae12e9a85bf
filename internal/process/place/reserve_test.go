package place_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/place"
)

// endTask ends the first attempt of a task on a worker.
func endTask(engine *place.Engine, task cairnbay.TaskID, worker string, reason cairnbay.EndReason, now time.Duration) {
	engine.Ended(worker, cairnbay.TaskEnd{Task: task, Attempt: 1, Reason: reason}, now)
}

var _ = Describe("Reservations", func() {
	It("starts a large gang although small tasks wait too, and backfills work that ends earlier", func() {
		engine := newEngine(2)
		long := newSpec("long", cairnbay.KindBatch, cairnbay.BandBatch, 40, 1)
		long.RunTime = time.Minute
		enqueue(engine, long)
		running := startAll(engine, 0)
		Expect(running).To(HaveLen(16))
		enqueue(engine, newSpec("gang", cairnbay.KindGang, cairnbay.BandBatch, 2, 8))
		short := newSpec("short", cairnbay.KindBatch, cairnbay.BandBatch, 1, 1)
		short.RunTime = time.Second
		short.Team = "t2"
		// One long task ends every second. Its capacity stays free for the gang,
		// except for work that ends before the gang can start.
		now := time.Second
		for index := range 16 {
			task := cairnbay.TaskID{Job: "long", Index: index}
			endTask(engine, task, running[task], cairnbay.EndDone, now)
			if index == 0 {
				enqueue(engine, short)
			}
			for task, worker := range startAll(engine, now) {
				if task.Job == "gang" {
					Expect(index).To(Equal(15))
					continue
				}
				Expect(task.Job).To(Equal(cairnbay.JobID("short")))
				endTask(engine, task, worker, cairnbay.EndDone, now)
			}
			now += time.Second
		}
		explained, err := engine.Explain("gang", now)
		Expect(err).NotTo(HaveOccurred())
		Expect(explained.Summary).To(Equal("2 tasks: 2 running"))
	})
})

var _ = Describe("Quarantine", func() {
	It("quarantines a worker on which every task fails and probes it later", func() {
		engine := newEngine(6)
		now := time.Second
		endFailingOnW3 := func(task cairnbay.TaskID, worker string) {
			reason := cairnbay.EndDone
			if worker == "w3" {
				reason = cairnbay.EndFailed
			}
			endTask(engine, task, worker, reason, now)
		}
		for index := range 12 {
			spec := newSpec(fmt.Sprintf("job%d", index), cairnbay.KindBatch, cairnbay.BandBatch, 6, 8)
			spec.MaxAttempts = 1
			enqueue(engine, spec)
			for task, worker := range startAll(engine, now) {
				endFailingOnW3(task, worker)
			}
			now += time.Second
		}
		Expect(engine.Quarantines(now)).To(HaveKey("w3"))
		enqueue(engine, newSpec("after", cairnbay.KindBatch, cairnbay.BandBatch, 12, 8))
		Expect(startAll(engine, now)).NotTo(ContainElement("w3"))
		now += 2 * time.Minute // past the quarantine
		Expect(startAll(engine, now)).To(HaveLen(1), "one probe")
		Expect(engine.Quarantines(now)["w3"]).To(ContainSubstring("probation"))
	})

	// Guards against workers that stay on probation for ever where nothing can probe them.
	It("ends a probation in which no batch work probed the worker", func() {
		engine := newEngine(2)
		now := time.Second
		for index := range 24 {
			spec := newSpec(fmt.Sprintf("job%d", index), cairnbay.KindBatch, cairnbay.BandBatch, 2, 8)
			spec.MaxAttempts = 1
			if index < 12 {
				enqueue(engine, spec)
			}
			for task, worker := range startAll(engine, now) {
				reason := cairnbay.EndDone
				if worker == "w1" {
					reason = cairnbay.EndFailed
				}
				endTask(engine, task, worker, reason, now)
			}
			now += time.Second
		}
		Expect(engine.Quarantines(now)).To(HaveKey("w1"))
		enqueue(engine, newSpec("service", cairnbay.KindService, cairnbay.BandService, 30, 8))
		Expect(startAll(engine, now)).NotTo(ContainElement("w1"))
		now += 10 * time.Minute
		Expect(startAll(engine, now)).To(BeEmpty())
		Expect(engine.Quarantines(now)["w1"]).To(ContainSubstring("probation"))
		now += 30 * time.Minute
		Expect(startAll(engine, now)).To(ContainElement("w1"))
		Expect(engine.Quarantines(now)).To(BeEmpty())
	})

	It("tries a job that fails everywhere one task at a time", func() {
		engine := newEngine(6)
		bad := newSpec("bad", cairnbay.KindBatch, cairnbay.BandBatch, 30, 8)
		bad.MaxAttempts = 3
		enqueue(engine, bad)
		for task, worker := range startAll(engine, 0) {
			endTask(engine, task, worker, cairnbay.EndFailed, time.Second)
		}
		Expect(engine.Quarantines(time.Second)).To(BeEmpty())
		Expect(startAll(engine, time.Second)).To(BeEmpty())
		// The longest pause is over by then.
		Expect(startAll(engine, 2*time.Minute)).To(HaveLen(1))
	})
})
