package sched_test

import (
	"fmt"
	"math"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

// Guard against a job that takes the memory of its owner, and of each next one: it was stored
// before anything bounded its tasks.
var _ = Describe("the memory for jobs", func() {
	const mb = 1 << 20
	var (
		core *sched.Core
		now  sched.Moment
	)
	newCore := func(limits sched.MemoryLimits) {
		limited := config
		limited.Memory = limits
		core = sched.New(limited)
		core.SetWorker(cairnbay.WorkerEntry{ID: "w", Capacity: cores(8, 8000)})
		core.HandleHold(now, "w", now.BootTime, cairnbay.AgentState{})
	}
	tasks := func(id string, count int) cairnbay.Workflow {
		return singleStep(id, quotes, count, cores(1, 100), time.Second)
	}
	startsOf := func(job string) (count int) {
		core.Tick()
		for _, action := range core.Plan(now) {
			if action.Start != nil && action.Start.Task.Job == job {
				count++
			}
		}
		return count
	}
	BeforeEach(func() {
		now = sched.Moment{BootTime: time.Hour, UnixMS: 1_000_000}
		newCore(sched.MemoryLimits{Admit: 20 * mb, Hold: 40 * mb})
	})

	DescribeTable("no owner admits a job beyond the largest footprint",
		func(change func(workflow *cairnbay.Workflow)) {
			workflow := tasks("j", 1)
			change(&workflow)
			admission := core.Admit(now, workflow)
			Expect(admission.Accept).To(BeFalse())
			Expect(admission.Invalid).To(BeTrue())
			Expect(admission.Reason).To(Equal(sched.ReasonJobTooLarge))
		},
		Entry("many tasks", func(w *cairnbay.Workflow) { w.Steps[0].Tasks = 2_500_000 }),
		Entry("tasks beyond the journal's form", func(w *cairnbay.Workflow) { w.Steps[0].Tasks = 3_000_000_000 }),
		Entry("many steps", func(w *cairnbay.Workflow) {
			for range 20_000 {
				w.Steps = append(w.Steps, w.Steps[0])
			}
		}),
		Entry("many occurrences, long past", func(w *cairnbay.Workflow) { w.Occurrences, w.IntervalMS = math.MaxInt32, 1 }),
		Entry("occurrences times tasks", func(w *cairnbay.Workflow) { w.Occurrences, w.Steps[0].Tasks = 1000, 100 }),
		Entry("a long payload", func(w *cairnbay.Workflow) { w.Payload = strings.Repeat("x", 17*mb) }),
	)

	It("bounds all jobs together, and is free again when they have ended", func() {
		admitted := 0
		for ; admitted < 10; admitted++ {
			workflow := tasks(fmt.Sprint("j", admitted), 10_000)
			workflow.Steps[0].LongRunning = true // whatever the expected wait
			admission := core.Admit(now, workflow)
			if !admission.Accept {
				Expect(admission.Reason).To(Equal(sched.ReasonMemory))
				Expect(admission.RetryAfter).To(BeNumerically(">", 0))
				break
			}
			core.Accept(now, workflow, false)
		}
		Expect(admitted).To(Equal(4))
		before := core.Counts().MemoryUsed
		core.Cancel(now, "j0")
		Expect(core.RemoveExpired(now)).To(BeEmpty())
		Expect(core.Counts().MemoryUsed).To(BeNumerically("<", before-4*mb))
		Expect(core.State("j0")).To(Equal(cairnbay.WorkflowCancelled))
		now.BootTime += 2 * time.Hour
		Expect(core.RemoveExpired(now)).To(ConsistOf("j0"))
	})

	It("counts the submissions that are being stored", func() {
		Expect(core.Admit(now, tasks("j", 1)).Accept).To(BeTrue())
		core.SetPending(20 * mb)
		Expect(core.Admit(now, tasks("j", 1)).Reason).To(Equal(sched.ReasonMemory))
	})

	DescribeTable("a job from the journal that there is no room for is kept, and others run",
		func(count int) {
			core.Accept(now, tasks("large", count), true)
			core.Accept(now, tasks("small", 1), true)
			done := sched.Record{Kind: sched.RecordDone, Task: task("large", 7), Attempt: 3}
			core.Replay(now, done)
			result := core.HandleHold(now, "w", now.BootTime, cairnbay.AgentState{
				Ended: []cairnbay.AgentEnd{end(1, task("large", 8), 2, cairnbay.AgentDone)},
			})
			Expect(core.HeldBack(now)).To(ConsistOf("large"))
			Expect(core.State("large")).To(Equal(cairnbay.WorkflowRunning))
			Expect(startsOf("small")).To(Equal(1))
			Expect(result.Records).To(HaveLen(1))
			Expect(core.HandleHold(now, "w", now.BootTime, cairnbay.AgentState{
				Ended: []cairnbay.AgentEnd{end(1, task("large", 8), 2, cairnbay.AgentDone)},
			}).Records).To(BeEmpty(), "the repeated end")
			for _, record := range core.Snapshot() {
				if record.Workflow.ID == "large" {
					Expect(record.Records).To(ConsistOf(done, result.Records[0]))
				}
			}
			Expect(core.Cancel(now, "large")).To(BeTrue())
		},
		Entry("many tasks", 2_500_000),
		Entry("a count cut to the journal's form", -1_294_967_296),
	)

	It("a job from the journal starts once there is room, without the tasks that are done", func() {
		core.Accept(now, tasks("first", 60_000), true)
		core.Accept(now, tasks("second", 60_000), true)
		core.Replay(now, sched.Record{Kind: sched.RecordDone, Task: task("second", 0), Attempt: 3})
		Expect(core.HeldBack(now)).To(ConsistOf("second"))
		core.Cancel(now, "first")
		core.RemoveExpired(now)
		var started []int
		for _, action := range core.Plan(now) {
			if action.Start != nil {
				started = append(started, action.Start.Task.Index)
			}
		}
		Expect(started).NotTo(BeEmpty())
		Expect(started).NotTo(ContainElement(0))
		Expect(core.HeldBack(now)).To(BeEmpty())
	})

	It("does not hold a repeated job back that there is room for", func() {
		workflow := tasks("j", 1)
		workflow.Occurrences, workflow.IntervalMS = 10, 1
		core.Accept(now, workflow, true)
		Expect(core.HeldBack(now)).To(BeEmpty())
	})

	It("creates the occurrences of a job from the journal as far as there is room", func() {
		workflow := tasks("j", 1000)
		workflow.Occurrences, workflow.IntervalMS = math.MaxInt32, 1
		core.Accept(now, workflow, true)
		Expect(startsOf("j")).To(BeNumerically(">", 0))
		Expect(core.Counts().MemoryUsed).To(BeNumerically("<=", 40*mb))
	})
})
