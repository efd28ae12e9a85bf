package pull_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strconv"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
	"cairnbay/internal/process/pull"
)

func TestPull(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pull")
}

// network is instances that call each other without a transport, on one clock.
type network struct {
	mu        sync.Mutex
	now       time.Duration
	instances map[string]*instance
}

// instance has a version as its configuration; the value is the version in decimal.
type instance struct {
	cairnbayv1connect.RelayClient
	*pull.Puller
	name    string
	network *network
	// mu guards version and silent, which rounds in the background read.
	mu      sync.Mutex
	version uint64
	// silent instances lose every call, and answer none.
	silent bool
	// delay is how long an answer waits before the caller handles it.
	delay time.Duration
}

func (n *network) boot() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.now
}

func (n *network) advance(by time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now += by
}

func (n *network) add(version uint64) *instance {
	made := &instance{name: fmt.Sprint("n", len(n.instances)), network: n, version: version}
	made.Puller = pull.New(pull.Config{
		Current: made.current, Adopt: made.adopt, Peers: made.peers, BootTime: n.boot,
		Client: func(address string) cairnbayv1connect.RelayClient { return n.instances[address] },
		Log:    logrus.NewEntry(&logrus.Logger{}), Metrics: metrics.NewSet(),
	})
	n.instances[made.name] = made
	return made
}

func newNetwork() *network {
	return &network{now: time.Hour, instances: make(map[string]*instance)}
}

func (i *instance) current() (uint64, []byte) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.version, []byte(strconv.FormatUint(i.version, 10))
}

func (i *instance) setVersion(version uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.version = version
}

func (i *instance) setSilent(silent bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.silent = silent
}

func (i *instance) isSilent() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.silent
}

func (i *instance) adopt(value []byte) {
	version, err := strconv.ParseUint(string(value), 10, 64)
	i.mu.Lock()
	defer i.mu.Unlock()
	if err == nil && version > i.version {
		i.version = version
	}
}

func (i *instance) peers() map[string]string {
	peers := make(map[string]string)
	for name := range i.network.instances {
		if name != i.name {
			peers[name] = name
		}
	}
	return peers
}

func (i *instance) PullConfiguration(
	_ context.Context, request *connect.Request[cairnbayv1.PullConfigurationRequest],
) (*connect.Response[cairnbayv1.PullConfigurationResponse], error) {
	if i.isSilent() {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("lost"))
	}
	answer := i.Answer(request.Msg.GetVersion())
	i.network.advance(i.delay)
	return connect.NewResponse(answer), nil
}

var _ = Describe("pulls between instances", func() {
	ctx := context.Background()
	var (
		net       *network
		own, peer *instance
	)
	BeforeEach(func() {
		net = newNetwork()
		own, peer = net.add(5), net.add(0)
		net.advance(10 * time.Second)
	})

	// Guards against a version that reverts, against one that an instance without the
	// store never gets, and against an age that an answer makes too low.
	DescribeTable("adopt what is newer, and confirm the version in force only by an equal one",
		func(version uint64, heard time.Duration, silent bool, expected uint64, confirmed bool) {
			peer.version, peer.silent = version, silent
			if heard >= 0 {
				peer.Confirm(net.boot() - heard)
			}
			own.Round(ctx)
			Expect(own.version).To(Equal(expected))
			if confirmed {
				Expect(own.Age()).To(Equal(heard))
			} else {
				Expect(own.Age()).To(Equal(time.Duration(math.MaxInt64)))
			}
		},
		Entry("newer", uint64(6), time.Second, false, uint64(6), true),
		Entry("the same", uint64(5), time.Second, false, uint64(5), true),
		Entry("the same, confirmed long ago", uint64(5), 9*time.Second, false, uint64(5), true),
		Entry("newer, never confirmed", uint64(6), time.Duration(-1), false, uint64(6), false),
		Entry("older", uint64(4), time.Second, false, uint64(5), false),
		Entry("no configuration", uint64(0), time.Second, false, uint64(5), false),
		Entry("no answer", uint64(6), time.Second, true, uint64(5), false),
	)

	It("cost less than 200 bytes of messages if nothing is newer", func() {
		peer.version = 5
		peer.Confirm(net.boot() - time.Second)
		request := &cairnbayv1.PullConfigurationRequest{Version: 5}
		Expect(proto.Size(request) + proto.Size(peer.Answer(5))).To(BeNumerically("<", 200))
		Expect(peer.Answer(5).GetValue()).To(BeEmpty())
		Expect(peer.Answer(4).GetValue()).To(Equal([]byte("5")))
	})

	It("bring a version in time to a third of the instances that do not reach the store", func() {
		for trial := range 50 {
			cluster := newNetwork()
			for i := range 36 {
				made := cluster.add(1)
				made.silent = i%12 == 11
				if i%3 > 0 {
					made.version = 2
					made.Confirm(cluster.boot())
				}
			}
			// Three seconds have six periods; one goes by before the first round.
			for range 5 {
				for _, instance := range cluster.instances {
					instance.Round(ctx)
				}
			}
			for _, instance := range cluster.instances {
				Expect(instance.version).To(BeEquivalentTo(2), "trial %d, %s", trial, instance.name)
			}
		}
	})

	It("keep an instance that has just started with a stale read out of service until it is compared", func() {
		peer.version = 6
		peer.Confirm(net.boot())
		starting := net.add(4)
		starting.Confirm(net.boot())
		Expect(starting.OutOfDate()).To(BeTrue())
		own.silent = true
		for starting.version != 6 {
			starting.Round(ctx)
		}
		Expect(starting.OutOfDate()).To(BeFalse())
	})

	It("do not keep the first instance out of service for long", func() {
		alone := newNetwork()
		first := alone.add(4)
		first.Confirm(alone.boot())
		alone.advance(2100 * time.Millisecond)
		first.Round(ctx)
		Expect(first.OutOfDate()).To(BeFalse())
	})

	It("show an instance as out of date while others are not, but none in an outage for all", func() {
		peer.version = 5
		own.Confirm(net.boot())
		peer.Confirm(net.boot())
		own.Round(ctx)
		Expect(own.OutOfDate()).To(BeFalse())
		net.advance(pull.MaxAge + time.Second)
		Expect(own.OutOfDate()).To(BeTrue(), "no answer of another instance")
		own.Round(ctx)
		Expect(own.OutOfDate()).To(BeFalse(), "the other one is out of date as well")
		Expect(own.Age()).To(Equal(pull.MaxAge + time.Second))
		peer.Confirm(net.boot())
		own.Round(ctx)
		Expect(own.Age()).To(BeZero())
	})

	// Guards against an instance that serves callers with old keys after a pause, since the
	// others were out of date before it.
	It("do not take what was so before a pause for an outage for all", func() {
		peer.version = 5
		own.Confirm(net.boot())
		net.advance(pull.MaxAge + time.Second)
		peer.delay = pull.MaxAge + time.Second
		own.Round(ctx)
		Expect(own.OutOfDate()).To(BeTrue())
		peer.delay = 0
		own.Round(ctx)
		Expect(own.OutOfDate()).To(BeFalse())
	})

	It("are awaited by the first call after a suspension, and not by the next ones if they are in vain", func() {
		peer.version = 5
		own.Confirm(net.boot())
		own.Round(ctx)
		own.Start()
		DeferCleanup(own.Close)
		own.AwaitFresh(ctx)
		peer.setVersion(6)
		net.advance(time.Minute)
		peer.Confirm(net.boot())
		own.AwaitFresh(ctx)
		version, _ := own.current()
		Expect(version).To(BeEquivalentTo(6))

		peer.setSilent(true)
		net.advance(time.Minute)
		startedAt := time.Now()
		for range 1000 {
			own.AwaitFresh(ctx)
		}
		Expect(time.Since(startedAt)).To(BeNumerically("<", time.Second))
	})

	It("confirm by the store's answers, at the time of the request after a suspension", func() {
		watch := &fakeStore{}
		observed := own.Observe(watch, 900*time.Millisecond)
		_, err := observed.List(ctx, "p")
		Expect(err).NotTo(HaveOccurred())
		Expect(own.Age()).To(BeZero())
		events, err := observed.Watch(ctx, "p", 1)
		Expect(err).NotTo(HaveOccurred())
		watch.next = func() ([]cairnbay.Event, error) { net.advance(time.Second); return nil, nil }
		_, err = events.Next(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(own.Age()).To(Equal(100 * time.Millisecond))
		watch.next = func() ([]cairnbay.Event, error) { net.advance(time.Minute); return make([]cairnbay.Event, 1), nil }
		_, err = events.Next(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(own.Age()).To(Equal(time.Minute))
		watch.next = func() ([]cairnbay.Event, error) { net.advance(time.Second); return nil, cairnbay.ErrUnavailable }
		_, err = events.Next(ctx)
		Expect(err).To(MatchError(cairnbay.ErrUnavailable))
		Expect(own.Age()).To(Equal(time.Minute + time.Second))
	})
})

// fakeStore is a store and its only watch, whose events are those of next.
type fakeStore struct {
	cairnbay.Store
	next func() ([]cairnbay.Event, error)
}

func (*fakeStore) List(context.Context, string) (cairnbay.Listing, error) {
	return cairnbay.Listing{}, nil
}

func (s *fakeStore) Watch(context.Context, string, cairnbay.Revision) (cairnbay.Watch, error) {
	return s, nil
}

func (s *fakeStore) Next(context.Context) ([]cairnbay.Event, error) { return s.next() }
func (*fakeStore) Close() error                                     { return nil }
