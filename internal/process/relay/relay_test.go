package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/relay"
	"cairnbay/internal/process/sched"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

// advisor is the policy service for one instance. It counts the calls and serves
// one at a time.
type advisor struct {
	mu sync.Mutex
	// serving is held while a call is served.
	serving sync.Mutex
	calls   int
	// duration is how long each call takes.
	duration time.Duration
	fails    bool
}

func (a *advisor) Advise(_ context.Context, _ string, _, _ int, workers []string) ([]cairnbay.Ticket, error) {
	a.mu.Lock()
	a.calls++
	fails := a.fails
	a.mu.Unlock()
	if fails {
		return nil, cairnbay.ErrUnavailable
	}
	a.serving.Lock()
	defer a.serving.Unlock()
	time.Sleep(a.duration)
	return []cairnbay.Ticket{{Worker: workers[0], Ticket: "t"}}, nil
}

func (a *advisor) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

var _ = Describe("calls to the policy service", func() {
	const instances = 6
	var (
		advisors map[string]*advisor
		peers    map[string]string
		pool     *relay.AdvicePool
	)
	noDrive := func(string) *drive.Drive { return nil }
	BeforeEach(func() {
		advisors, peers = make(map[string]*advisor), make(map[string]string)
		for i := range instances {
			name := fmt.Sprintf("n%d", i)
			advisors[name] = &advisor{}
			peerRelay := relay.New(relay.Config{Drive: noDrive, Advisor: advisors[name]})
			server := httptest.NewServer(peerRelay.Handler())
			DeferCleanup(server.Close)
			peers[name] = server.Listener.Addr().String()
		}
		ownRelay := relay.New(relay.Config{Drive: noDrive, Advisor: advisors["n0"], Client: httptest.NewServer(nil).Client()})
		pool = relay.NewAdvicePool(ownRelay, "n0", func() map[string]string { return peers })
	})
	advise := func(duration time.Duration, position relay.Position) error {
		_, err := pool.Advise(context.Background(), &sched.AdviseAction{
			Step: cairnbay.WorkflowTask{Job: "j"}, Workers: []string{"w"}, ExpectedDuration: duration,
		}, position)
		return err
	}
	calledInstances := func() (names []string) {
		for name, advisor := range advisors {
			if advisor.count() > 0 {
				names = append(names, name)
			}
		}
		return names
	}

	It("are spread over the instances, some of which are reserved for short calls", func() {
		short, long := pool.Limits(relay.Position{Shards: 2})
		Expect([]int{short, long}).To(Equal([]int{2, 4}))
		for range 8 {
			Expect(advise(300*time.Millisecond, relay.Position{Shards: 2})).To(Succeed())
		}
		Expect(calledInstances()).To(HaveLen(4))
		for range 4 {
			Expect(advise(20*time.Millisecond, relay.Position{Shards: 2})).To(Succeed())
		}
		Expect(calledInstances()).To(HaveLen(6))
	})

	DescribeTable("are split between instances so that a burst of short calls has time for each step",
		func(count, short, long int) {
			splitPeers := make(map[string]string, count)
			for i := range count {
				splitPeers[fmt.Sprintf("n%d", i)] = "address"
			}
			splitPool := relay.NewAdvicePool(relay.New(relay.Config{Drive: noDrive}), "n0", func() map[string]string { return splitPeers })
			gotShort, gotLong := splitPool.Limits(relay.Position{Shards: 2})
			Expect([]int{gotShort, gotLong}).To(Equal([]int{short, long}))
		},
		Entry("one instance serves both", 1, 1, 1),
		Entry("two serve both", 2, 2, 2),
		Entry("three", 3, 1, 2),
		Entry("five, as after the loss of two of seven", 5, 2, 3),
		Entry("seven", 7, 3, 4),
		Entry("nine", 9, 4, 5),
		Entry("thirty-nine", 39, 16, 23),
	)

	It("of two owners are made from different ends of the list of instances", func() {
		Expect(advise(300*time.Millisecond, relay.Position{Shards: 2})).To(Succeed())
		first := calledInstances()
		Expect(advise(300*time.Millisecond, relay.Position{Index: 1, Shards: 2})).To(Succeed())
		Expect(calledInstances()).To(HaveLen(len(first) + 1))
	})

	// Guards against workers that count as refused because of an incomplete answer.
	It("fail if the answer has another number of tickets than of workers", func() {
		peer := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			answer, err := proto.Marshal(&cairnbayv1.AdviseResponse{Workers: []string{"w", "v"}, Tickets: []string{"t"}})
			Expect(err).NotTo(HaveOccurred())
			writer.Header().Set("Content-Type", "application/proto")
			_, err = writer.Write(answer)
			Expect(err).NotTo(HaveOccurred())
		}))
		DeferCleanup(peer.Close)
		for name := range peers {
			peers[name] = peer.Listener.Addr().String()
		}
		pool = relay.NewAdvicePool(relay.New(relay.Config{Drive: noDrive, Client: peer.Client()}), "another", func() map[string]string { return peers })
		Expect(advise(time.Second, relay.Position{Shards: 2})).To(MatchError(ContainSubstring("2 workers with 1 tickets")))
	})

	It("avoid an instance whose call failed", func() {
		for _, advisor := range advisors {
			advisor.fails = true
		}
		Expect(advise(300*time.Millisecond, relay.Position{Shards: 2})).NotTo(Succeed())
		failed := calledInstances()
		Expect(failed).To(HaveLen(1))
		for name, advisor := range advisors {
			advisor.fails = name == failed[0]
		}
		for range 6 {
			Expect(advise(time.Millisecond+150*time.Millisecond, relay.Position{Shards: 2})).To(Succeed())
		}
		Expect(advisors[failed[0]].count()).To(Equal(1))
	})
})
