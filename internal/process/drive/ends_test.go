package drive_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/fake/agent"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/timer"
)

// newEndsCluster returns a cluster with two workers, each with room for 40 tasks, that
// list some of their ends at a time.
func newEndsCluster(listedEnds int) *cluster {
	c := newCluster(0)
	c.fleet = agent.New(agent.Config{
		Now:     timer.Boot,
		RunTime: func(cairnbay.WorkflowTask) time.Duration { return time.Duration(c.runTime.Load()) },
		Size: func(cairnbay.WorkflowTask) cairnbay.Resources {
			return cairnbay.Resources{MilliCPU: 100, MemoryMB: 10}
		},
		ListedEnds: listedEnds,
	})
	for _, id := range []string{"w0", "w1"} {
		c.workers = append(c.workers, id)
		c.fleet.Add(id, cairnbay.Resources{MilliCPU: 4000, MemoryMB: 400})
	}
	return c
}

// flatJob is a job of small tasks without order.
func flatJob(id string, tasks int) cairnbay.Workflow {
	return cairnbay.Workflow{
		ID: id, Class: class,
		Queue: cairnbay.Queue{Name: "q", Class: class, MaxAttempts: 3, Stretch: 100, TargetLatency: time.Minute},
		Steps: []cairnbay.WorkflowStep{{Tasks: tasks, Size: cairnbay.Resources{MilliCPU: 100, MemoryMB: 10}, RunTime: runTime}},
	}
}

// Guards against tasks that are done and run again (TWICE), since their ends were beyond
// those that the worker listed at a time.
var _ = DescribeTable("an owner of workers that list a part of their ends runs no task twice",
	func(listedEnds, jobs, width int, disrupt func(*cluster, *drive.Drive) *drive.Drive) {
		const settleTime = 1500 * time.Millisecond
		c := newEndsCluster(listedEnds)
		c.runTime.Store(int64(700 * time.Millisecond))
		owner := c.startOwner()
		for i := range jobs {
			Eventually(func() cairnbayv1.SubmitVerdict { return submit(owner, flatJob(fmt.Sprint("j", i), width), time.Second) },
				"10s", "20ms").Should(Equal(accepted))
		}
		Eventually(c.fleet.Starts, "5s", "5ms").Should(Equal(jobs * width))
		c.store.SetDown(true)
		for i := range jobs {
			Eventually(func() int { return c.fleet.Done(fmt.Sprint("j", i)) }, "5s", "5ms").Should(Equal(width))
		}
		time.Sleep(settleTime)
		owner = disrupt(c, owner)
		DeferCleanup(func() { owner.Close() })
		for i := range jobs {
			Eventually(jobState(owner, fmt.Sprint("j", i)), "10s").Should(Equal(cairnbay.WorkflowCompleted))
		}
		Expect(c.fleet.Starts()).To(Equal(jobs * width))
		Expect(c.fleet.Broken()).To(BeEmpty())
	},
	Entry("after an outage of the store", 5, 2, 24, restoreStore),
	Entry("after an outage, many parts", 1, 1, 40, restoreStore),
	Entry("after an outage, all ends in one full part", 20, 1, 40, restoreStore),
	Entry("after an outage and a change of the owner", 5, 2, 24, replaceOwnerAfterOutage),
	Entry("after an outage and two changes of the owner", 3, 3, 20, func(c *cluster, owner *drive.Drive) *drive.Drive {
		return replaceOwnerAfterOutage(c, replaceOwnerAfterOutage(c, owner))
	}),
)

func restoreStore(c *cluster, owner *drive.Drive) *drive.Drive {
	c.store.SetDown(false)
	return owner
}

func replaceOwnerAfterOutage(c *cluster, owner *drive.Drive) *drive.Drive {
	owner.Close()
	c.store.SetDown(false)
	return c.startOwner()
}
