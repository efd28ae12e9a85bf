package sched_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

// Guards against jobs that never start: the part of their workspace was withheld for tasks
// of a former owner's job that have never run and find no room.
var _ = DescribeTable("tasks that last and have never run withhold no room from their workspace", func(inherited bool) {
	now := sched.Moment{BootTime: time.Second, UnixMS: 1000}
	core := sched.New(config)
	core.SetWorker(cairnbay.WorkerEntry{ID: "w", Address: "w", Capacity: cores(4, 64_000)})
	core.HandleHold(now, "w", now.BootTime, cairnbay.AgentState{})
	core.SetWorkspaces([]sched.WorkspaceTerms{
		{Name: "a", Weight: 1, Quota: cores(3, 0), Part: cores(3, 0)}, {Name: "b", Weight: 1},
	})
	other := singleStep("other", services, 1, cores(2, 100), time.Hour)
	other.Workspace, other.Steps[0].LongRunning = "b", true
	core.Accept(now, other, false)
	Expect(starts(core.Plan(now))).To(Equal(1))
	waiting := singleStep("waiting", services, 1, cores(3, 100), time.Hour)
	waiting.Workspace, waiting.Steps[0].LongRunning = "a", true
	core.Accept(now, waiting, inherited)
	Expect(starts(core.Plan(now))).To(BeZero())
	core.Accept(now, quotaJob("small", quotes, 1), false)
	core.Tick()
	now.BootTime += time.Second
	Expect(starts(core.Plan(now))).To(Equal(1))
},
	Entry("of this owner", false),
	Entry("of a former owner", true),
)
