package drive_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/fake/agent"
	"cairnbay/internal/process/drive"
)

// unreachableAgent has workers that cannot be reached while cut is set.
type unreachableAgent struct {
	*agent.Fleet
	cut atomic.Bool
}

func (a *unreachableAgent) Hold(
	ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentHold,
) (cairnbay.AgentState, error) {
	if a.cut.Load() {
		return cairnbay.AgentState{}, cairnbay.ErrUnavailable
	}
	return a.Fleet.Hold(ctx, target, order)
}

var _ = Describe("an owner that has not heard of its successor", func() {
	// Guards against answers that the successor has made untrue.
	DescribeTable("gives no answer that may be out of date", func(ask func(owner *drive.Drive) error) {
		c := newCluster(2)
		c.runTime.Store(int64(time.Minute))
		cutOff := &unreachableAgent{Fleet: c.fleet}
		c.agent = cutOff
		former := c.startOwner()
		DeferCleanup(former.Close)
		c.accept(former, "j")
		Eventually(jobState(former, "j"), "5s").Should(Equal(cairnbay.WorkflowRunning))
		cutOff.cut.Store(true)
		c.agent = nil
		successor := c.startOwner()
		DeferCleanup(successor.Close)
		Eventually(func() error {
			return successor.Cancel(context.Background(), drive.Cancellation{ID: "j"})
		}, "5s").Should(Succeed())
		// Answers may be as old as the last contact with the workers.
		time.Sleep(2600 * time.Millisecond)
		Expect(ask(former)).To(MatchError(cairnbay.ErrNotOwner))
	},
		Entry("to a repeated submission", func(owner *drive.Drive) error {
			if submit(owner, job("j", 3), time.Second) == notOwner {
				return cairnbay.ErrNotOwner
			}
			return nil
		}),
		Entry("to a question for the state of a job", func(owner *drive.Drive) error {
			_, err := owner.Inspect(context.Background(), "j")
			return err
		}),
		Entry("to a question for the length of a queue", func(owner *drive.Drive) error {
			_, err := owner.Length(context.Background(), drive.LengthInquiry{Name: "q"})
			return err
		}),
		Entry("to a question whether it has jobs of a queue", func(owner *drive.Drive) error {
			_, err := owner.Length(context.Background(), drive.LengthInquiry{
				Path: cairnbay.QueuePath{Prefix: "/new/"}, Absence: true,
			})
			return err
		}),
	)

	It("says that a job does not exist only if the store confirms the ownership", func() {
		c := newCluster(1)
		owner := c.startOwner()
		DeferCleanup(owner.Close)
		c.accept(owner, "j")
		Expect(owner.Cancel(context.Background(), drive.Cancellation{ID: "other"})).To(MatchError(cairnbay.ErrNotFound))
		c.store.SetDown(true)
		Expect(owner.Cancel(context.Background(), drive.Cancellation{ID: "other"})).To(MatchError(cairnbay.ErrUnconfirmed))
		_, err := owner.Inspect(context.Background(), "other")
		Expect(err).To(MatchError(cairnbay.ErrUnconfirmed))
		state, err := owner.Inspect(context.Background(), "j")
		Expect(err).NotTo(HaveOccurred())
		Expect(state).NotTo(Equal(cairnbay.WorkflowUnknown))
		length, err := owner.Length(context.Background(), drive.LengthInquiry{
			Path: cairnbay.QueuePath{Prefix: "/new/"}, Absence: true,
		})
		Expect(err).NotTo(HaveOccurred(), "the workers confirm the ownership")
		Expect(length.QueueAbsent).To(BeFalse())
		c.store.SetDown(false)
	})
})

// Guards against jobs that wait beside free workers, and leases that run out, while an owner
// that the store shows does not reach half of its workers.
var _ = DescribeTable("an owner that does not reach half of its workers", func(cutTime, downTime time.Duration, starts int) {
	c := newCluster(2)
	c.maxStoreSilence = 3 * time.Second
	owner := c.startOwner()
	DeferCleanup(owner.Close)
	c.accept(owner, "before")
	Eventually(jobState(owner, "before"), "10s").Should(Equal(cairnbay.WorkflowCompleted))
	c.runTime.Store(int64(time.Minute))
	c.fleet.Cut("w0", true)
	time.Sleep(cutTime)
	before := c.fleet.Starts()
	Expect(submit(owner, flatJob("j", 1), time.Second)).To(Equal(accepted))
	Eventually(func() []cairnbay.WorkflowTask { return c.fleet.Running("w1") }, "1s", "5ms").Should(HaveLen(1))
	c.store.SetDown(downTime > 0)
	time.Sleep(downTime)
	if starts == 0 {
		Eventually(func() []cairnbay.WorkflowTask { return c.fleet.Running("w1") }, "5s").Should(BeEmpty())
		return
	}
	Eventually(c.fleet.Starts, "3s", "10ms").Should(Equal(before + starts))
	Consistently(func() []cairnbay.WorkflowTask { return c.fleet.Running("w1") }, "3s").Should(HaveLen(starts))
},
	Entry("goes on with the others while the store shows it as the owner", 4*time.Second, time.Duration(0), 1),
	Entry("extends no lease once the store does not answer", 400*time.Millisecond, 4*time.Second, 0),
	Entry("extends no lease once the store has not answered for long, though the journal lists the others only", 4*time.Second, 4*time.Second, 0),
)

// Guards against tasks that a replaced owner starts on workers that its successor does not
// reach, though the store has refused its journal writes already.
var _ = DescribeTable("an owner whose journal write fails", func(fail func(c *cluster, owner *drive.Drive), goesOn bool) {
	c := newCluster(1)
	leasing := &leasingAgent{Fleet: c.fleet}
	c.agent = leasing
	c.startOwner().Close()
	leasing.formerToken.Store(uint64(c.fence.Revision))
	owner := c.startOwner()
	DeferCleanup(owner.Close)
	c.runTime.Store(int64(2 * time.Second))
	c.accept(owner, "running")
	c.accept(owner, "waiting")
	Eventually(c.fleet.Starts, "5s", "1ms").Should(Equal(4))
	fail(c, owner)
	time.Sleep(50 * time.Millisecond)
	leases := leasing.leases.Load()
	if goesOn {
		Eventually(c.fleet.Starts, "5s", "10ms").Should(BeNumerically(">", 4))
		return
	}
	Consistently(c.fleet.Starts, "3s", "10ms").Should(Equal(4))
	Expect(leasing.leases.Load()).To(Equal(leases))
},
	Entry("stops if the store refuses it because of a newer owner", func(c *cluster, owner *drive.Drive) {
		_, err := c.store.Put(context.Background(), c.fence.Key, []byte("successor"), c.fence.Revision, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(submit(owner, flatJob("j", 1), time.Second)).To(Equal(notOwner))
	}, false),
	Entry("goes on if the answer is lost", func(c *cluster, owner *drive.Drive) {
		c.store.LoseAnswers(1)
		Expect(submit(owner, flatJob("j", 1), 3*time.Second)).To(Equal(accepted))
	}, true),
	Entry("goes on if the store is away", func(c *cluster, owner *drive.Drive) {
		c.store.SetDown(true)
		Expect(submit(owner, flatJob("j", 1), 2*time.Second)).NotTo(Equal(accepted))
		c.store.SetDown(false)
	}, true),
)
