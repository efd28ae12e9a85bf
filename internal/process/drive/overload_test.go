package drive_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/fake/agent"
	"cairnbay/internal/fake/suite"
	"cairnbay/internal/process/drive"
)

// limitedAgent charges the owner's processor time for each call to a worker: half
// before the order is sent and half before its answer is handled. Charges follow one
// another, so the owner's capacity does not depend on the machine's speed.
type limitedAgent struct {
	*agent.Fleet
	turn sync.Mutex
	// free is the time from which the next charge can begin.
	free time.Time
	// slowdown multiplies the charges of an owner that has only a part of its
	// processor; 0 for 1.
	slowdown int
	// refuses says which starts the workers refuse for want of a ticket; nil for none.
	refuses func(order cairnbay.AgentStart) bool
}

const (
	// startCost and holdCost are the processor times of a start and of a renewal.
	startCost = 4 * time.Millisecond
	holdCost  = time.Millisecond
)

func (a *limitedAgent) charge(cost time.Duration) {
	a.turn.Lock()
	defer a.turn.Unlock()
	if now := time.Now(); a.free.Before(now) {
		a.free = now
	}
	a.free = a.free.Add(cost * time.Duration(max(a.slowdown, 1)))
	time.Sleep(time.Until(a.free))
}

// Start loses the answer if it is handled after the timeout, as a connection does.
func (a *limitedAgent) Start(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentStart) (time.Duration, error) {
	a.charge(startCost / 2)
	clock, err := time.Duration(0), error(cairnbay.ErrInvalidTicket)
	if a.refuses == nil || !a.refuses(order) {
		clock, err = a.Fleet.Start(ctx, target, order)
	}
	a.charge(startCost / 2)
	if ctx.Err() != nil {
		return 0, cairnbay.ErrUnknown
	}
	return clock, err
}

// Stop costs as much as a start, and loses late answers as Start does.
func (a *limitedAgent) Stop(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentStop) (time.Duration, error) {
	a.charge(startCost / 2)
	clock, err := a.Fleet.Stop(ctx, target, order)
	a.charge(startCost / 2)
	if ctx.Err() != nil {
		return 0, cairnbay.ErrUnknown
	}
	return clock, err
}

// Hold loses late answers as Start does.
func (a *limitedAgent) Hold(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentHold) (cairnbay.AgentState, error) {
	a.charge(holdCost / 2)
	state, err := a.Fleet.Hold(ctx, target, order)
	for answerBy := time.Now().Add(order.Wait); err == nil && len(state.Ended) == 0 && time.Now().Before(answerBy); {
		time.Sleep(10 * time.Millisecond)
		state, err = a.Fleet.Hold(ctx, target, order)
	}
	a.charge(holdCost / 2)
	if ctx.Err() != nil {
		return cairnbay.AgentState{}, cairnbay.ErrUnknown
	}
	return state, err
}

// overload counts the jobs that were offered to an owner, and those that it accepted
// and refused.
type overload struct {
	// workflow returns the job with an ID; nil for a job without a gang.
	workflow func(id string) cairnbay.Workflow

	mu       sync.Mutex
	offered  int
	accepted []string
	refused  int
	running  sync.WaitGroup
}

// offer submits jobs at a steady rate for a time.
func (o *overload) offer(owner *drive.Drive, name string, interval, length time.Duration) {
	for n, endsAt := 0, time.Now().Add(length); time.Now().Before(endsAt); n++ {
		o.offered++
		o.running.Go(func() {
			id := fmt.Sprintf("%s-%d", name, n)
			workflow := job(id, overloadTasks)
			if o.workflow != nil {
				workflow = o.workflow(id)
			}
			verdict := submit(owner, workflow, 3*time.Second)
			o.mu.Lock()
			defer o.mu.Unlock()
			switch verdict {
			case accepted:
				o.accepted = append(o.accepted, id)
			case refused:
				o.refused++
			}
		})
		time.Sleep(interval)
	}
}

const (
	// overloadTasks and one more are the tasks of a job.
	overloadTasks = 9
	// overloadWorkers have room for more tasks than the owner can start.
	overloadWorkers = 40
	// fullInterval is the interval of jobs that takes the whole processor: ten starts
	// of 4 ms and ten renewals with their ends, beside 80 renewals a second.
	fullInterval = 60 * time.Millisecond
)

// newLimitedOwner starts an owner of workers that charge it for each call.
func newLimitedOwner() (*cluster, *drive.Drive) {
	c := newCluster(overloadWorkers)
	c.agent = &limitedAgent{Fleet: c.fleet}
	c.runTime.Store(int64(100 * time.Millisecond))
	c.lease = 5 * time.Second
	owner := c.startOwner()
	DeferCleanup(owner.Close)
	c.accept(owner, "first")
	Eventually(jobState(owner, "first"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
	return c, owner
}

// offerHalf offers half of the load of a whole processor, first for two seconds to recover
// in, and returns the jobs of the seconds after them.
func (o *overload) offerHalf(owner *drive.Drive, name string) *overload {
	o.offer(owner, name+"-settle", 2*fullInterval, 2*time.Second)
	var after overload
	after.offer(owner, name+"-after", 2*fullInterval, 3*time.Second)
	after.running.Wait()
	o.running.Wait()
	return &after
}

// maxTroubled is how many times the control may refuse jobs, which shows that the machine
// has less time for an owner than half of the load takes.
const maxTroubled = 3

var _ = Describe("an owner past the limit of its processor", Label(suite.Timing), func() {
	for _, excess := range []float64{1.5, 3} {
		It(fmt.Sprintf("at %v times its capacity runs nothing twice, loses nothing and recovers within two seconds", excess), func() {
			c, owner := newLimitedOwner()
			// The control has never been past its limit.
			_, control := newLimitedOwner()
			var load overload
			for try := 1; ; try++ {
				name := fmt.Sprint("try", try)
				load.offer(owner, name+"-over", time.Duration(float64(fullInterval)/excess), 10*time.Second)
				var untroubled *overload
				var side sync.WaitGroup
				side.Go(func() { untroubled = new(overload).offerHalf(control, name) })
				after := load.offerHalf(owner, name)
				side.Wait()
				AddReportEntry("jobs", fmt.Sprintf("accepted %d, refused %d, then accepted %d, refused %d of %d; the control accepted %d, refused %d of %d",
					len(load.accepted), load.refused, len(after.accepted), after.refused, after.offered, len(untroubled.accepted), untroubled.refused, untroubled.offered))
				load.accepted = append(load.accepted, after.accepted...)
				if len(untroubled.accepted) < untroubled.offered {
					Expect(try).To(BeNumerically("<", maxTroubled), "the machine is too busy to tell whether the owner recovers")
					continue
				}
				Expect(after.refused).To(BeZero(), "refused after the recovery")
				Expect(after.accepted).To(HaveLen(after.offered))
				break
			}
			for _, id := range load.accepted {
				Eventually(jobState(owner, id), "20s").Should(Equal(cairnbay.WorkflowCompleted), id)
			}
			Expect(c.fleet.Broken()).To(BeEmpty())
			Expect(load.accepted).NotTo(BeEmpty())
		})
	}
})
