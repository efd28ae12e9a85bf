package drive_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"cairnbay"
	"cairnbay/internal/fake/agent"
	"cairnbay/internal/process/timer"
)

var _ = Describe("a speculative run on a worker that turns slow", func() {
	// Guards against a takeover that stops one of both attempts, and against moves and
	// copies that leave no trace in the log.
	It("is copied, with a log line, and a new owner lets both attempts run", func() {
		c := newCluster(0)
		c.learn.Straggler = true
		c.fleet = agent.New(agent.Config{
			Now: timer.Boot,
			RunTime: func(task cairnbay.WorkflowTask) time.Duration {
				if task.Job == "beside" {
					return 15 * time.Second
				}
				return time.Second
			},
			Copies: func(task cairnbay.WorkflowTask) bool { return task.Job == "j" },
			Size:   func(cairnbay.WorkflowTask) cairnbay.Resources { return job("", 1).Steps[0].Size },
		})
		for _, id := range []string{"w0", "w1", "w2", "w3", "w4", "w5"} {
			c.workers = append(c.workers, id)
			c.fleet.Add(id, cairnbay.Resources{MilliCPU: 4000, MemoryMB: 400})
		}
		hook := test.NewLocal(c.log.Logger)
		logged := func(message string) []*logrus.Entry {
			return slices.DeleteFunc(hook.AllEntries(), func(entry *logrus.Entry) bool { return entry.Message != message })
		}
		owner := c.startOwner()
		DeferCleanup(func() { owner.Close() })
		// What runs for some seconds gives the bound of discarded work.
		Eventually(func() any { return submit(owner, job("beside", 8), time.Second) }, "10s").Should(Equal(accepted))
		time.Sleep(4 * time.Second)
		workflow := job("j", 4)
		workflow.Steps[0].Speculative, workflow.Steps[0].MaxPerWorker = true, 1
		workflow.Steps[0].RunTime = time.Second
		Expect(submit(owner, workflow, time.Second)).To(Equal(accepted))
		runs := func(id string) bool {
			return slices.ContainsFunc(c.fleet.Running(id), func(task cairnbay.WorkflowTask) bool { return task.Job == "j" })
		}
		Eventually(func() bool { return slices.ContainsFunc(c.workers, runs) }, "2s", "1ms").Should(BeTrue())
		c.fleet.Slow(c.workers[slices.IndexFunc(c.workers, runs)], 10)
		Eventually(func() int { return len(logged("slow run moved or copied")) }, "3s", "1ms").Should(BeNumerically(">", 0))
		copied := logged("slow run moved or copied")[0].Data
		Expect(copied).To(HaveKeyWithValue("kind", "copy"))
		target, ok := copied["target"].(string)
		Expect(ok).To(BeTrue())
		Eventually(func() bool { return runs(target) }, "1s", "1ms").Should(BeTrue())
		starts := c.fleet.Starts()
		owner.Close()
		owner = c.startOwner()
		Eventually(func() int { return c.fleet.Done("j") }, "5s", "5ms").Should(BeNumerically(">=", 4))
		Expect(c.fleet.Starts()).To(BeNumerically("<=", starts+1), "beside the second step nothing starts again")
		Eventually(jobState(owner, "j"), "5s").Should(Equal(cairnbay.WorkflowCompleted))
		for _, stopped := range logged("attempt stopped") {
			if stopped.Data["task"] == copied["task"] {
				Expect(stopped.Data["cause"]).To(BeEquivalentTo("already_done"))
			}
		}
		Expect(c.fleet.Broken()).To(BeEmpty())
	})
})
