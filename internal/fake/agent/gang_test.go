package agent_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/fake/agent"
)

func TestAgent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agent")
}

const (
	// members is the number of tasks of the gangs under test, of which each worker
	// has room for one.
	members  = 3
	runTime  = 400 * time.Millisecond
	gangTime = 2 * time.Second
	token    = 7
	// shrinkGrace is how long what a worker had room for counts.
	shrinkGrace = 5 * time.Second
)

// bench is a fleet in virtual time.
type bench struct {
	fleet *agent.Fleet
	now   time.Duration
	acked map[string]uint64
	// failing is the member that ends failed on attempt 1; -1 for none.
	failing int
}

func newBench() *bench {
	b := &bench{now: time.Second, acked: make(map[string]uint64), failing: -1}
	size := cairnbay.Resources{MilliCPU: 1000, MemoryMB: 100}
	b.fleet = agent.New(agent.Config{
		Now:     func() time.Duration { return b.now },
		RunTime: func(cairnbay.WorkflowTask) time.Duration { return runTime },
		Fails:   func(task cairnbay.WorkflowTask, attempt int) bool { return task.Index == b.failing && attempt == 1 },
		Size:    func(cairnbay.WorkflowTask) cairnbay.Resources { return size },
		// The second step is no gang.
		Gang: func(task cairnbay.WorkflowTask) int {
			if task.Step == 1 {
				return 0
			}
			return members
		},
		GangTime:    gangTime,
		ShrinkGrace: shrinkGrace,
	})
	for index := range members {
		b.fleet.Add(worker(index), size)
	}
	return b
}

func worker(index int) string { return fmt.Sprint("w", index) }

func task(index int) cairnbay.WorkflowTask { return cairnbay.WorkflowTask{Job: "j", Index: index} }

func (b *bench) startTask(on string, task cairnbay.WorkflowTask, attempt int, lease time.Duration) {
	_, err := b.fleet.Start(context.Background(), cairnbay.AgentTarget{Worker: on}, cairnbay.AgentStart{
		Task: task, Attempt: attempt, LeaseEnd: b.now + lease, Token: token,
	})
	Expect(err).NotTo(HaveOccurred())
}

// start starts members on the workers of their indexes.
func (b *bench) start(attempt int, indexes ...int) {
	for _, index := range indexes {
		b.startTask(worker(index), task(index), attempt, time.Minute)
	}
}

func (b *bench) state(index int) cairnbay.AgentState {
	state, err := b.fleet.Hold(context.Background(), cairnbay.AgentTarget{Worker: worker(index)}, cairnbay.AgentHold{
		Token: token, Acked: b.acked[worker(index)],
	})
	Expect(err).NotTo(HaveOccurred())
	return state
}

// acknowledge takes note of all ends of a worker.
func (b *bench) acknowledge(index int) {
	ends := b.state(index).Ended
	b.acked[worker(index)] = ends[len(ends)-1].Sequence
	b.state(index)
}

// reasons are how the attempts on each worker ended, in their order.
func (b *bench) reasons() (reasons [][]cairnbay.AgentEndReason) {
	for index := range members {
		var ended []cairnbay.AgentEndReason
		for _, end := range b.state(index).Ended {
			ended = append(ended, end.Reason)
		}
		reasons = append(reasons, ended)
	}
	return reasons
}

func (b *bench) percents() (percents []int) {
	for index := range members {
		for _, running := range b.state(index).Running {
			percents = append(percents, running.Percent)
		}
	}
	return percents
}

// each is the same end on every worker.
func each(first, second, third cairnbay.AgentEndReason) [][]cairnbay.AgentEndReason {
	return [][]cairnbay.AgentEndReason{{first}, {second}, {third}}
}

var _ = Describe("a gang on workers", func() {
	It("works from the start of its last member on, and ends done as a whole", func() {
		b := newBench()
		b.start(1, 0, 1)
		b.now += time.Second
		Expect(b.percents()).To(Equal([]int{0, 0}))
		b.start(1, 2)
		b.now += runTime / 2
		Expect(b.percents()).To(Equal([]int{50, 50, 50}))
		b.now += runTime/2 - time.Millisecond
		Expect(b.fleet.Done("j")).To(BeZero())
		b.now += time.Millisecond
		Expect(b.fleet.Done("j")).To(Equal(members))
		Expect(b.reasons()).To(Equal(each(cairnbay.AgentDone, cairnbay.AgentDone, cairnbay.AgentDone)))
		Expect(b.fleet.IncompleteEnds()).To(BeEmpty())
		Expect(b.fleet.Broken()).To(BeEmpty())
	})

	It("holds capacity while it waits", func() {
		b := newBench()
		b.start(1, 0)
		b.startTask(worker(0), cairnbay.WorkflowTask{Job: "k", Step: 1}, 1, time.Minute)
		Expect(b.fleet.Broken()).To(ConsistOf(ContainSubstring("over its capacity")))
	})

	It("ends alone after the gang time, and its other members end broken", func() {
		b := newBench()
		startedAt := b.now
		b.start(1, 0)
		b.now += time.Second
		b.start(1, 1)
		b.now += time.Second - time.Millisecond
		Expect(b.fleet.IncompleteEnds()).To(BeEmpty())
		b.now += time.Millisecond
		Expect(b.fleet.IncompleteEnds()).To(Equal([]agent.IncompleteEnd{{Worker: "w0", Task: task(0), Attempt: 1, At: startedAt + gangTime}}))
		Expect(b.reasons()).To(Equal([][]cairnbay.AgentEndReason{{cairnbay.AgentGangIncomplete}, {cairnbay.AgentGangEnded}, nil}))
		Expect(b.fleet.Done("j")).To(BeZero())
		Expect(b.fleet.Broken()).To(BeEmpty())
	})

	It("is not made complete by a member of another run", func() {
		b := newBench()
		b.start(1, 0, 1)
		b.start(2, 2)
		b.now += runTime
		Expect(b.percents()).To(Equal([]int{0, 0, 0}))
		b.now += gangTime
		Expect(b.fleet.IncompleteEnds()).To(HaveLen(2))
		Expect(b.fleet.Done("j")).To(BeZero())
	})

	DescribeTable("ends broken where one member ends otherwise",
		func(complete bool, end func(*bench), first cairnbay.AgentEndReason) {
			b := newBench()
			b.start(1, 0, 1)
			if complete {
				b.start(1, 2)
			}
			end(b)
			expected := each(first, cairnbay.AgentGangEnded, cairnbay.AgentGangEnded)
			if !complete {
				expected[2] = nil
			}
			Expect(b.reasons()).To(Equal(expected))
			Expect(b.fleet.IncompleteEnds()).To(BeEmpty())
			Expect(b.fleet.Done("j")).To(BeZero())
		},
		Entry("stopped while it works", true, stopFirst, cairnbay.AgentStopped),
		Entry("stopped while it waits", false, stopFirst, cairnbay.AgentStopped),
		Entry("failed", true, func(b *bench) {
			b.failing = 0
			b.now += runTime
		}, cairnbay.AgentFailed),
	)

	It("ends broken where the lease of one member ends", func() {
		b := newBench()
		b.startTask(worker(0), task(0), 1, runTime/2)
		b.start(1, 1, 2)
		b.now += runTime
		Expect(b.reasons()).To(Equal(each(cairnbay.AgentLapsed, cairnbay.AgentGangEnded, cairnbay.AgentGangEnded)))
	})

	It("ends broken where the worker of one member crashes", func() {
		b := newBench()
		b.start(1, 0, 1, 2)
		b.fleet.Crash(worker(0))
		for _, index := range []int{1, 2} {
			Expect(b.state(index).Ended).To(ConsistOf(HaveField("Reason", cairnbay.AgentGangEnded)))
			Expect(b.state(index).Running).To(BeEmpty())
		}
	})

	It("is done as a whole once the end of one member is acknowledged", func() {
		b := newBench()
		b.start(1, 0, 1, 2)
		b.now += runTime
		b.acknowledge(1)
		b.start(2, 0)
		Expect(b.fleet.Broken()).To(ConsistOf(ContainSubstring("after an acknowledged end")))
	})

	It("must not start again before an end that is acknowledged then", func() {
		b := newBench()
		b.start(1, 0, 1, 2)
		b.now += runTime
		Expect(b.fleet.Done("j")).To(Equal(members))
		b.now += time.Second
		b.start(2, 0)
		Expect(b.fleet.Broken()).To(BeEmpty())
		b.acknowledge(1)
		Expect(b.fleet.Broken()).To(ConsistOf(ContainSubstring("acknowledged now")))
	})

	It("leaves steps that are no gangs as they are", func() {
		b := newBench()
		b.startTask(worker(0), cairnbay.WorkflowTask{Job: "j", Step: 1}, 1, time.Minute)
		b.now += runTime / 2
		Expect(b.state(0).Running).To(ConsistOf(HaveField("Percent", 50)))
		b.now += runTime / 2
		Expect(b.state(0).Ended).To(ConsistOf(HaveField("Reason", cairnbay.AgentDone)))
	})
})

func stopFirst(b *bench) {
	_, err := b.fleet.Stop(context.Background(), cairnbay.AgentTarget{Worker: worker(0)}, cairnbay.AgentStop{
		Task: task(0), Attempt: 1, Token: token,
	})
	Expect(err).NotTo(HaveOccurred())
}
