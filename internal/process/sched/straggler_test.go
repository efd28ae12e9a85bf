package sched_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

// stragglerBench is a core with twelve busy and twelve idle workers of one task each. A job
// of four tasks runs on the idle ones.
type stragglerBench struct {
	core    *sched.Core
	now     sched.Moment
	starts  map[int]*sched.StartAction
	actions []sched.Action
}

// reportInterval is the interval of the reports of a worker.
const reportInterval = 500 * time.Millisecond

func newStragglerBench(job cairnbay.Workflow, stragglers bool) *stragglerBench {
	config := sched.Config{StopTime: 300 * time.Millisecond, Retention: time.Minute, Learn: sched.LearnUses{Straggler: stragglers}}
	b := &stragglerBench{core: sched.New(config), now: sched.Moment{BootTime: time.Second}, starts: make(map[int]*sched.StartAction)}
	for i := range 24 {
		id := nthID(cairnbay.Queue{Name: "w"}, i)
		b.core.SetWorker(cairnbay.WorkerEntry{ID: id, Address: id, Capacity: cores(4, 1000)})
		b.report(id)
	}
	b.accept(singleStep("beside", catalogue, 12, cores(4, 100), time.Hour))
	for range 20 {
		b.plan(reportInterval)
	}
	b.accept(job)
	return b
}

func (b *stragglerBench) accept(job cairnbay.Workflow) {
	b.core.Accept(b.now, job, false)
	for _, action := range b.core.Plan(b.now) {
		b.core.HandleAnswer(action.Start.Target.Worker, b.now.BootTime)
		b.core.HandleStart(b.now, action.Start, nil)
		b.starts[action.Start.Task.Index] = action.Start
	}
}

func (b *stragglerBench) report(id string, running ...cairnbay.AgentTask) {
	b.core.HandleHold(b.now, id, b.now.BootTime, cairnbay.AgentState{Clock: b.now.BootTime, Running: running})
}

func (b *stragglerBench) reportTask(index, percent int, checkpoint string) {
	start := b.starts[index]
	b.report(start.Target.Worker, cairnbay.AgentTask{
		Task: start.Task, Attempt: start.Attempt, Percent: percent, Checkpoint: checkpoint,
	})
}

func (b *stragglerBench) plan(after time.Duration) {
	b.now.BootTime += after
	b.core.Tick()
	b.actions = append(b.actions, b.core.Plan(b.now)...)
}

// runCase is a run that reports its progress beside three siblings of the same step.
type runCase struct {
	queue                    cairnbay.Queue
	declared                 time.Duration
	speculative, checkpoints bool
	gang, longRunning        bool
	// own and siblings are the reports of the progress, one each reportInterval.
	own, siblings []int
	// silent says that the worker is silent from the last report on, late that the owner
	// plans only two seconds after it.
	silent, late, disabled bool
}

var _ = Describe("a run that progresses", func() {
	const none, move, dup = "none", "move", "copy"
	patient := cairnbay.Queue{Name: "patient", Priority: 2, MaxAttempts: 4, Stretch: 4, TargetLatency: 3 * time.Second}
	DescribeTable("is stopped, copied or left alone", func(expected string, c runCase) {
		job := singleStep("j", c.queue, 4, cores(4, 100), c.declared)
		step := &job.Steps[0]
		step.Speculative, step.Checkpoints, step.Gang, step.LongRunning = c.speculative, c.checkpoints, c.gang, c.longRunning
		b := newStragglerBench(job, !c.disabled)
		b.actions = nil
		own := b.starts[0]
		for i, percent := range c.own {
			b.now.BootTime += reportInterval
			for sibling := 1; sibling < 4; sibling++ {
				b.reportTask(sibling, c.siblings[i], "")
			}
			saved := ""
			if c.checkpoints {
				saved = fmt.Sprint(percent)
			}
			b.reportTask(0, percent, saved)
			if i < len(c.own)-1 {
				b.plan(0)
			}
		}
		if c.silent {
			b.core.SetReachable(b.now, own.Target.Worker, false)
			b.plan(reportInterval)
		}
		if c.late {
			b.now.BootTime += 2 * time.Second
		}
		b.plan(0)
		seen := none
		for _, action := range b.actions {
			switch {
			case action.Stop != nil:
				Expect(action.Stop.Task).To(Equal(own.Task))
				Expect(action.Stop.Cause).To(Equal(sched.CauseStraggling))
				seen = move
			case action.Start != nil:
				Expect(action.Start.Task).To(Equal(own.Task))
				Expect(action.Start.Attempt).To(BeNumerically(">", own.Attempt))
				Expect(action.Start.Target).NotTo(Equal(own.Target))
				Expect(action.Start.Copy).To(BeTrue())
				seen = dup
			}
		}
		Expect(seen).To(Equal(expected))
	},
		Entry("five times slower than its siblings, urgent", move,
			runCase{queue: quotes, declared: 600 * time.Millisecond, own: []int{16}, siblings: []int{83}}),
		Entry("the same with mitigation off", none,
			runCase{queue: quotes, declared: 600 * time.Millisecond, own: []int{16}, siblings: []int{83}, disabled: true}),
		Entry("the same, speculative", dup,
			runCase{queue: quotes, declared: 600 * time.Millisecond, own: []int{16}, siblings: []int{83}, speculative: true}),
		Entry("the same, declared far too short", move,
			runCase{queue: quotes, declared: 250 * time.Millisecond, own: []int{16}, siblings: []int{83}}),
		Entry("as its siblings, declared far too short", none,
			runCase{queue: quotes, declared: 250 * time.Millisecond, own: []int{40, 80}, siblings: []int{42, 83}}),
		Entry("half as fast as its siblings, a long task", none,
			runCase{queue: quotes, declared: 600 * time.Millisecond, own: []int{42}, siblings: []int{83}}),
		Entry("five times slower, but almost done", none,
			runCase{queue: quotes, declared: 600 * time.Millisecond, own: []int{40, 80, 90}, siblings: []int{40, 80, 100}}),
		Entry("not at all, urgent", move,
			runCase{queue: quotes, declared: 1500 * time.Millisecond, own: []int{33, 33}, siblings: []int{33, 66}}),
		Entry("on evidence that is older than a second", none,
			runCase{queue: quotes, declared: 600 * time.Millisecond, own: []int{16}, siblings: []int{83}, late: true}),
		Entry("on a worker that is silent since", none,
			runCase{queue: quotes, declared: 600 * time.Millisecond, own: []int{16}, siblings: []int{83}, silent: true}),
		Entry("on a worker that is silent since, speculative", dup,
			runCase{queue: quotes, declared: 600 * time.Millisecond, own: []int{50}, siblings: []int{83}, silent: true, speculative: true}),
		// Guards against a second worker that crashes under a task before the loss of the first is certain (BUDGET).
		Entry("on a worker that is silent since its start, speculative", none,
			runCase{queue: quotes, declared: 600 * time.Millisecond, silent: true, speculative: true}),
		Entry("five times slower than before, patient, with a checkpoint", move,
			runCase{queue: patient, declared: 4 * time.Second, checkpoints: true, own: []int{12, 25, 27, 30}, siblings: []int{12, 25, 37, 50}}),
		Entry("five times slower than before, patient, without a checkpoint", none,
			runCase{queue: patient, declared: 4 * time.Second, own: []int{12, 25, 27, 30}, siblings: []int{12, 25, 37, 50}}),
		Entry("steadily, patient, slower by less than workers differ", none,
			runCase{queue: patient, declared: 4 * time.Second, checkpoints: true, own: []int{7, 14, 21, 28}, siblings: []int{12, 25, 37, 50}}),
		Entry("five times slower, a member of a gang", none,
			runCase{queue: quotes, declared: 600 * time.Millisecond, own: []int{16}, siblings: []int{83}, gang: true}),
		Entry("slowly, long-running", none,
			runCase{queue: quotes, declared: 600 * time.Millisecond, own: []int{16}, siblings: []int{83}, longRunning: true}),
	)

	It("is moved once only", func() {
		b := newStragglerBench(singleStep("j", quotes, 4, cores(4, 100), 600*time.Millisecond), true)
		b.now.BootTime += reportInterval
		for index, percent := range []int{16, 83, 83, 83} {
			b.reportTask(index, percent, "")
		}
		b.plan(0)
		own := b.starts[0]
		stopped := end(1, own.Task, own.Attempt, cairnbay.AgentStopped)
		b.core.HandleHold(b.now, own.Target.Worker, b.now.BootTime, cairnbay.AgentState{Ended: []cairnbay.AgentEnd{stopped}})
		b.actions = nil
		b.plan(0)
		Expect(b.actions).To(HaveLen(1))
		again := b.actions[0].Start
		Expect(again.Target).NotTo(Equal(own.Target))
		b.core.HandleAnswer(again.Target.Worker, b.now.BootTime)
		b.core.HandleStart(b.now, again, nil)
		b.starts[0], b.actions = again, nil
		for range 2 {
			b.now.BootTime += reportInterval
			b.reportTask(0, 16, "")
			b.plan(0)
		}
		Expect(b.actions).To(BeEmpty())
	})
})

var _ = Describe("a worker with slow progress", func() {
	var b *stragglerBench
	place := func(id string) string {
		b.core.Accept(b.now, singleStep(id, quotes, 1, cores(1, 10), 600*time.Millisecond), false)
		for _, action := range b.core.Plan(b.now) {
			if action.Start != nil && action.Start.Task.Job == id {
				return action.Start.Target.Worker
			}
		}
		return ""
	}
	BeforeEach(func() {
		b = newStragglerBench(singleStep("j", catalogue, 4, cores(3, 100), 4*time.Second), true)
		for _, percent := range []int{12, 25} {
			b.now.BootTime += reportInterval
			for index := range 4 {
				b.reportTask(index, percent, "")
			}
		}
		b.now.BootTime += reportInterval
		for index, percent := range []int{27, 37, 37, 37} {
			b.reportTask(index, percent, "")
		}
	})
	It("gets no urgent task for some seconds, though it fits best", func() {
		Expect(place("first")).NotTo(Equal(b.starts[0].Target.Worker))
	})
	It("gets one as soon as its progress has recovered", func() {
		b.now.BootTime += reportInterval
		b.reportTask(0, 40, "")
		Expect(place("first")).To(Equal(b.starts[0].Target.Worker))
	})
	It("gets one after some seconds without a report", func() {
		b.plan(5 * time.Second)
		Expect(place("first")).To(Equal(b.starts[0].Target.Worker))
	})
})
