package detour_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/fake/suite"
	"cairnbay/internal/process/detour"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/relay"
	"cairnbay/internal/process/timer"
)

func TestDetour(t *testing.T) {
	suite.Run(t, "detour")
}

// stallingStore does not answer Get and Commit while it is stalled.
type stallingStore struct {
	cairnbay.BatchStore
	stalled atomic.Bool
	calls   atomic.Int64
}

func (s *stallingStore) wait(ctx context.Context) error {
	s.calls.Add(1)
	if !s.stalled.Load() {
		return nil
	}
	<-ctx.Done()
	return fmt.Errorf("%w: %w", cairnbay.ErrUnknown, ctx.Err())
}

func (s *stallingStore) Get(ctx context.Context, key string) (cairnbay.Entry, error) {
	if err := s.wait(ctx); err != nil {
		return cairnbay.Entry{}, err
	}
	return s.BatchStore.Get(ctx, key)
}

func (s *stallingStore) Commit(ctx context.Context, batch cairnbay.Batch) (cairnbay.Revision, error) {
	if err := s.wait(ctx); err != nil {
		return 0, err
	}
	return s.BatchStore.Commit(ctx, batch)
}

// testInstance is a Detour with its direct store. Its relay does not answer while
// relayStalled is set.
type testInstance struct {
	direct       *stallingStore
	detour       *detour.Detour
	relayStalled atomic.Bool
}

var _ = Describe("a store that some instances cannot reach", func() {
	const count = 4
	var (
		fakeStore *store.Store
		clock     *timer.Service
		instances []*testInstance
		ctx       context.Context
	)
	name := func(i int) string { return fmt.Sprintf("n%d", i) }

	BeforeEach(func() {
		clock = timer.New()
		DeferCleanup(clock.Close)
		fakeStore = store.New(store.Config{Clock: clock})
		log := logrus.New()
		log.SetOutput(io.Discard)
		instances = nil
		var mu sync.Mutex
		addresses := make(map[string]string)
		for i := range count {
			instance := &testInstance{direct: &stallingStore{BatchStore: fakeStore.For(name(i))}}
			relayServer := relay.New(relay.Config{
				Client: http.DefaultClient, Drive: func(string) *drive.Drive { return nil },
				Store: func(ctx context.Context, call *cairnbayv1.StoreCall) *cairnbayv1.StoreAnswer {
					return instance.detour.Serve(ctx, call)
				},
			})
			instance.detour = detour.New(detour.Config{
				Store: instance.direct, Client: relayServer.Client, Clock: clock, BootTime: timer.Boot,
				Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
				Peers: func() map[string]string {
					mu.Lock()
					defer mu.Unlock()
					others := make(map[string]string)
					for other, address := range addresses {
						if other != name(i) {
							others[other] = address
						}
					}
					return others
				},
			})
			DeferCleanup(instance.detour.Close)
			handler := relayServer.Handler()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if instance.relayStalled.Load() {
					for instance.relayStalled.Load() {
						time.Sleep(10 * time.Millisecond)
					}
					return
				}
				handler.ServeHTTP(w, r)
			}))
			DeferCleanup(server.Close)
			mu.Lock()
			addresses[name(i)] = server.Listener.Addr().String()
			mu.Unlock()
			instances = append(instances, instance)
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 10*time.Second)
		DeferCleanup(cancel)
	})

	// awaitFailover calls the store until a call through another instance succeeds.
	awaitFailover := func(instance *testInstance) {
		GinkgoHelper()
		Eventually(func() error {
			_, err := instance.detour.List(ctx, "a/")
			return err
		}).Should(Succeed())
	}

	It("is called through other instances and returns the same errors", Label(suite.Timing), func() {
		fakeStore.SetCut(name(0), true)
		instance := instances[0]
		awaitFailover(instance)

		revision, err := instance.detour.Put(ctx, "a/1", []byte("x"), 0, 0)
		Expect(err).NotTo(HaveOccurred())
		entry, err := instance.detour.Get(ctx, "a/1")
		Expect(err).NotTo(HaveOccurred())
		Expect(entry).To(Equal(cairnbay.Entry{Key: "a/1", Value: []byte("x"), Revision: revision}))
		_, err = instance.detour.Put(ctx, "a/1", []byte("y"), 0, 0)
		Expect(err).To(MatchError(cairnbay.ErrConflict))
		_, err = instance.detour.Get(ctx, "a/2")
		Expect(err).To(MatchError(cairnbay.ErrNotFound))
		lease, err := instance.detour.Grant(ctx, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(instance.detour.Renew(ctx, lease)).To(Succeed())
		_, err = instance.detour.Put(ctx, "a/leased", nil, 0, lease)
		Expect(err).NotTo(HaveOccurred())
		Expect(instance.detour.Revoke(ctx, lease)).To(Succeed())
		Expect(instance.detour.Renew(ctx, lease)).To(MatchError(cairnbay.ErrLeaseLapsed))
		listing, err := instance.detour.List(ctx, "a/")
		Expect(err).NotTo(HaveOccurred())
		Expect(listing.Entries).To(HaveLen(1))
		Expect(instance.detour.Delete(ctx, "a/1", revision)).To(Succeed())
	})

	It("is watched through other instances, and directly again, without losing an event", func() {
		instance := instances[0]
		first, err := instance.detour.Put(ctx, "a/1", []byte("1"), 0, 0)
		Expect(err).NotTo(HaveOccurred())
		watch, err := instance.detour.Watch(ctx, "a/", 0)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(watch.Close)
		next := func() string {
			GinkgoHelper()
			for {
				events, err := watch.Next(ctx)
				if err == nil && len(events) > 0 {
					Expect(events).To(HaveLen(1))
					return string(events[0].Entry.Value)
				}
				Expect(ctx.Err()).NotTo(HaveOccurred())
			}
		}
		Expect(next()).To(Equal("1"))
		fakeStore.SetCut(name(0), true)
		awaitFailover(instance)
		second, err := instances[1].detour.Put(ctx, "a/1", []byte("2"), first, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(next()).To(Equal("2"))
		fakeStore.SetCut(name(0), false)
		Eventually(instance.detour.StoreReachable).Should(BeTrue())
		_, err = instances[1].detour.Put(ctx, "a/1", []byte("3"), second, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(next()).To(Equal("3"))
	})

	It("is called directly again once it answers", func() {
		instance := instances[0]
		fakeStore.SetCut(name(0), true)
		awaitFailover(instance)
		fakeStore.SetCut(name(0), false)
		Eventually(instance.detour.StoreReachable).Should(BeTrue())
		for i := 1; i < count; i++ {
			fakeStore.SetCut(name(i), true)
		}
		_, err := instance.detour.List(ctx, "a/")
		Expect(err).NotTo(HaveOccurred())
	})

	It("is called through the only instance that reaches it", func() {
		for i := range count - 1 {
			fakeStore.SetCut(name(i), true)
		}
		awaitFailover(instances[0])
		_, err := instances[0].detour.Put(ctx, "a/1", nil, 0, 0)
		Expect(err).NotTo(HaveOccurred())
	})

	It("is reported unavailable within 200 ms and with few calls when no instance reaches it", func() {
		fakeStore.SetDown(true)
		instance := instances[0]
		before := fakeStore.Counts().Total()
		const calls = 20
		for range calls {
			startedAt := time.Now()
			_, err := instance.detour.Put(ctx, "a/1", nil, 0, 0)
			Expect(err).To(MatchError(cairnbay.ErrUnavailable))
			Expect(time.Since(startedAt)).To(BeNumerically("<", 200*time.Millisecond))
		}
		Expect(fakeStore.Counts().Total()-before).To(BeNumerically("<=", 2*calls), "calls made for other instances add to the load")
	})

	It("is not sent a write through another instance after a direct write without an answer", func() {
		instance := instances[0]
		instance.direct.stalled.Store(true)
		shortCtx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		_, err := instance.detour.Put(shortCtx, "a/1", nil, 0, 0)
		Expect(err).To(MatchError(cairnbay.ErrUnknown))
		_, err = instances[1].detour.Get(ctx, "a/1")
		Expect(err).To(MatchError(cairnbay.ErrNotFound))
	})

	It("is read through other instances while direct calls stall", func() {
		_, err := instances[1].detour.Put(ctx, "a/1", []byte("x"), 0, 0)
		Expect(err).NotTo(HaveOccurred())
		instance := instances[0]
		instance.direct.stalled.Store(true)
		startedAt := time.Now()
		entry, err := instance.detour.Get(ctx, "a/1")
		Expect(err).NotTo(HaveOccurred())
		Expect(entry.Value).To(Equal([]byte("x")))
		Expect(time.Since(startedAt)).To(BeNumerically("<", time.Second))
	})

	It("is not sent a write through a second instance when the first does not answer", func() {
		instance := instances[0]
		fakeStore.SetCut(name(0), true)
		awaitFailover(instance)
		for i := 1; i < count; i++ {
			instances[i].relayStalled.Store(true)
		}
		_, err := instance.detour.Put(ctx, "a/1", nil, 0, 0)
		for i := 1; i < count; i++ {
			instances[i].relayStalled.Store(false)
		}
		Expect(err).To(MatchError(cairnbay.ErrUnknown))
		Eventually(func() error {
			_, err := instance.detour.Put(ctx, "a/1", nil, 0, 0)
			return err
		}).WithTimeout(5 * time.Second).Should(Succeed())
	})
})
