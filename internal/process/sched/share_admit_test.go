package sched_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

// sharedCore has a hundred processors, and jobs of ten seconds on ten of them: each waiting
// job of a workspace is a second of the class.
func sharedCore(weights map[string]float64, waiting map[string]int) (*sched.Core, sched.Moment) {
	core, now := sched.New(config), sched.Moment{BootTime: time.Second, UnixMS: 1000}
	core.SetWorker(cairnbay.WorkerEntry{ID: "w", Address: "w", Capacity: cores(100, 100_000)})
	core.HandleHold(now, "w", now.BootTime, cairnbay.AgentState{})
	var terms []sched.WorkspaceTerms
	for name, weight := range weights {
		terms = append(terms, sched.WorkspaceTerms{Name: name, Weight: weight})
	}
	core.SetWorkspaces(terms)
	for name, count := range waiting {
		for n := range count {
			core.Accept(now, tenSeconds(fmt.Sprint(name, n), name), false)
		}
	}
	core.Tick()
	return core, now
}

func tenSeconds(id, workspace string) cairnbay.Workflow {
	job := singleStep(id, quotes, 10, cores(1, 100), 10*time.Second)
	job.Workspace, job.AcceptedUnixMS = workspace, 1000
	return job
}

var _ = Describe("admission of a workspace's job", func() {
	// A job of ten seconds has 15.25 s, and 45.75 s for any value: a slack of 35.75 s, or
	// of 5.25 s if it is surplus.
	for _, test := range []struct {
		name           string
		weights        map[string]float64
		waiting        map[string]int
		workspace      string
		reason         string
		surplus        bool
		atLeast, below time.Duration
	}{
		{"no backlog of its own beside a long one", map[string]float64{"a": 500, "b": 500}, map[string]int{"a": 200}, "b", "", false, 0, time.Second},
		{"a short backlog of its own beside a long one", map[string]float64{"a": 500, "b": 500}, map[string]int{"a": 200, "b": 5}, "b", "", false, 0, time.Second},
		{"a long backlog of its own", map[string]float64{"a": 500, "b": 500}, map[string]int{"a": 40, "b": 5}, "a", sched.ReasonWorkspaceQueueTooLong, false, 15 * time.Second, 22500 * time.Millisecond},
		{"a small weight", map[string]float64{"a": 500, "b": 100}, map[string]int{"a": 40, "b": 10}, "b", sched.ReasonWorkspaceQueueTooLong, false, 15 * time.Second, 22500 * time.Millisecond},
		{"surplus behind the work of others", map[string]float64{"a": 500, "b": 0}, map[string]int{"a": 6}, "b", sched.ReasonQueueTooLong, true, time.Second, 3 * time.Second},
		{"surplus in a class with little work", map[string]float64{"a": 500, "b": 0}, map[string]int{"a": 2}, "b", "", true, 0, time.Second},
		{"surplus behind surplus of its own", map[string]float64{"a": 500, "b": 2}, map[string]int{"a": 1, "b": 5}, "b", sched.ReasonWorkspaceQueueTooLong, true, time.Second, 22500 * time.Millisecond},
		{"one workspace alone", map[string]float64{"a": 500}, map[string]int{"a": 40}, "a", sched.ReasonQueueTooLong, false, time.Second, 20 * time.Second},
	} {
		It("counts the work of others up to their shares: "+test.name, func() {
			core, now := sharedCore(test.weights, test.waiting)
			retries := make(map[time.Duration]struct{})
			for n := range 20 {
				admission := core.Admit(now, tenSeconds(fmt.Sprint("new", n), test.workspace))
				Expect(admission.Reason).To(Equal(test.reason))
				Expect(admission.Accept).To(Equal(test.reason == ""))
				Expect(admission.Surplus).To(Equal(test.surplus))
				Expect(admission.RetryAfter).To(And(BeNumerically(">=", test.atLeast), BeNumerically("<", test.below)))
				retries[admission.RetryAfter] = struct{}{}
			}
			// Callers that come back at once would be refused again together.
			if test.reason == sched.ReasonWorkspaceQueueTooLong {
				Expect(len(retries)).To(BeNumerically(">", 10))
			}
		})
	}
})

// A journal lists jobs in any order after a rewrite. A new owner that took the order of the
// journal would make entitled jobs surplus.
var _ = Describe("a new owner", func() {
	It("decides what is surplus by the times of acceptance, also before it knows the weights", func() {
		inherit := func(termsFirst bool, order []int) int {
			core, now := sched.New(config), sched.Moment{BootTime: time.Second, UnixMS: 60_000}
			terms := []sched.WorkspaceTerms{{Name: "a", Weight: 2}}
			if termsFirst {
				core.SetWorkspaces(terms)
			}
			for _, n := range order {
				job := tenSeconds(fmt.Sprint("j", n), "a")
				// Two a second for ten seconds, and ten more at once in the middle.
				job.AcceptedUnixMS = int64(1000 + 500*n)
				if n >= 20 {
					job.AcceptedUnixMS = 5999
				}
				core.Accept(now, job, true)
			}
			core.SetWorkspaces(terms)
			core.Tick()
			core.Plan(now)
			return core.WorkspaceShares()[0].Surplus
		}
		order := rand.New(rand.NewPCG(1, 1)).Perm(30)
		Expect(inherit(true, order)).To(BeNumerically("~", 10, 1))
		Expect(inherit(false, order)).To(Equal(inherit(true, order)))
		Expect(inherit(true, rand.New(rand.NewPCG(2, 2)).Perm(30))).To(Equal(inherit(true, order)))
	})
})
