package relay_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/relay"
	"cairnbay/internal/process/sched"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

// advisor counts the calls of one instance, which it serves one at a time.
type advisor struct {
	mu    sync.Mutex
	turn  sync.Mutex
	calls int
	// takes is how long each call takes.
	takes time.Duration
	fails bool
}

func (a *advisor) Advise(_ context.Context, _ string, _, _ int, workers []string) ([]cairnbay.Ticket, error) {
	a.mu.Lock()
	a.calls++
	fails := a.fails
	a.mu.Unlock()
	if fails {
		return nil, cairnbay.ErrUnavailable
	}
	a.turn.Lock()
	defer a.turn.Unlock()
	time.Sleep(a.takes)
	return []cairnbay.Ticket{{Worker: workers[0], Ticket: "t"}}, nil
}

func (a *advisor) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

var _ = Describe("lanes to the policy service", func() {
	const instances = 6
	var (
		advisors map[string]*advisor
		peers    map[string]string
		lanes    *relay.AdvicePool
	)
	none := func(string) *drive.Drive { return nil }
	BeforeEach(func() {
		advisors, peers = make(map[string]*advisor), make(map[string]string)
		for i := range instances {
			name := fmt.Sprintf("n%d", i)
			advisors[name] = &advisor{}
			served := relay.New(relay.Config{Drive: none, Advisor: advisors[name]})
			server := httptest.NewServer(served.Handler())
			DeferCleanup(server.Close)
			peers[name] = server.Listener.Addr().String()
		}
		own := relay.New(relay.Config{Drive: none, Advisor: advisors["n0"], Client: httptest.NewServer(nil).Client()})
		lanes = relay.NewAdvicePool(own, "n0", func() map[string]string { return peers })
	})
	ask := func(takes time.Duration, backwards bool) error {
		_, err := lanes.Advise(context.Background(), &sched.AdviseAction{
			Step: cairnbay.WorkflowTask{Job: "j"}, Workers: []string{"w"}, ExpectedDuration: takes,
		}, backwards)
		return err
	}
	used := func() (names []string) {
		for name, advisor := range advisors {
			if advisor.count() > 0 {
				names = append(names, name)
			}
		}
		return names
	}

	It("are spread over the instances, and short calls have some of their own", func() {
		short, long := lanes.Limits()
		Expect([]int{short, long}).To(Equal([]int{2, 4}))
		for range 8 {
			Expect(ask(300*time.Millisecond, false)).To(Succeed())
		}
		Expect(used()).To(HaveLen(4))
		for range 4 {
			Expect(ask(20*time.Millisecond, false)).To(Succeed())
		}
		Expect(used()).To(HaveLen(6))
	})

	DescribeTable("are divided so that a burst of short calls has time for each step",
		func(count, short, long int) {
			several := make(map[string]string, count)
			for i := range count {
				several[fmt.Sprintf("n%d", i)] = "address"
			}
			divided := relay.NewAdvicePool(relay.New(relay.Config{Drive: none}), "n0", func() map[string]string { return several })
			gotShort, gotLong := divided.Limits()
			Expect([]int{gotShort, gotLong}).To(Equal([]int{short, long}))
		},
		Entry("one instance has both", 1, 1, 1),
		Entry("two share", 2, 2, 2),
		Entry("three", 3, 1, 2),
		Entry("five, as after the loss of two of seven", 5, 2, 3),
		Entry("seven", 7, 3, 4),
		Entry("nine", 9, 4, 5),
		Entry("thirty-nine", 39, 16, 23),
	)

	It("are taken from both ends by two owners", func() {
		Expect(ask(300*time.Millisecond, false)).To(Succeed())
		first := used()
		Expect(ask(300*time.Millisecond, true)).To(Succeed())
		Expect(used()).To(HaveLen(len(first) + 1))
	})

	It("leave out an instance whose call failed", func() {
		for _, advisor := range advisors {
			advisor.fails = true
		}
		Expect(ask(300*time.Millisecond, false)).NotTo(Succeed())
		failed := used()
		Expect(failed).To(HaveLen(1))
		for name, advisor := range advisors {
			advisor.fails = name == failed[0]
		}
		for range 6 {
			Expect(ask(time.Millisecond+150*time.Millisecond, false)).To(Succeed())
		}
		Expect(advisors[failed[0]].count()).To(Equal(1))
	})
})
