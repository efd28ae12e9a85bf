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
	"cairnbay/internal/process/detour"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/relay"
	"cairnbay/internal/process/timer"
)

func TestDetour(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "detour")
}

// silencer answers nothing while it is silent.
type silencer struct {
	cairnbay.BatchStore
	silent atomic.Bool
	calls  atomic.Int64
}

func (s *silencer) wait(ctx context.Context) error {
	s.calls.Add(1)
	if !s.silent.Load() {
		return nil
	}
	<-ctx.Done()
	return fmt.Errorf("%w: %w", cairnbay.ErrUnknown, ctx.Err())
}

func (s *silencer) Get(ctx context.Context, key string) (cairnbay.Entry, error) {
	if err := s.wait(ctx); err != nil {
		return cairnbay.Entry{}, err
	}
	return s.BatchStore.Get(ctx, key)
}

func (s *silencer) Commit(ctx context.Context, batch cairnbay.Batch) (cairnbay.Revision, error) {
	if err := s.wait(ctx); err != nil {
		return 0, err
	}
	return s.BatchStore.Commit(ctx, batch)
}

// instance is one with its relay.
type instance struct {
	own    *silencer
	detour *detour.Detour
	frozen atomic.Bool
}

var _ = Describe("a store that turns instances away", func() {
	const count = 4
	var (
		kept      *store.Store
		clock     *timer.Service
		instances []*instance
		ctx       context.Context
	)
	name := func(i int) string { return fmt.Sprintf("n%d", i) }

	BeforeEach(func() {
		clock = timer.New()
		DeferCleanup(clock.Close)
		kept = store.New(store.Config{Clock: clock})
		log := logrus.New()
		log.SetOutput(io.Discard)
		instances = nil
		var mu sync.Mutex
		addresses := make(map[string]string)
		for i := range count {
			one := &instance{own: &silencer{BatchStore: kept.For(name(i))}}
			served := relay.New(relay.Config{
				Client: http.DefaultClient, Drive: func(string) *drive.Drive { return nil },
				Store: func(ctx context.Context, call *cairnbayv1.StoreCall) *cairnbayv1.StoreAnswer {
					return one.detour.Serve(ctx, call)
				},
			})
			one.detour = detour.New(detour.Config{
				Store: one.own, Client: served.Client, Clock: clock, BootTime: timer.Boot,
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
			DeferCleanup(one.detour.Close)
			handler := served.Handler()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if one.frozen.Load() {
					for one.frozen.Load() {
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
			instances = append(instances, one)
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 10*time.Second)
		DeferCleanup(cancel)
	})

	// leave makes the instance notice that it is turned away.
	leave := func(one *instance) {
		GinkgoHelper()
		Eventually(func() error {
			_, err := one.detour.List(ctx, "a/")
			return err
		}).Should(Succeed())
	}

	It("is used over others, with the errors that it gives", func() {
		kept.SetCut(name(0), true)
		one := instances[0]
		leave(one)

		revision, err := one.detour.Put(ctx, "a/1", []byte("x"), 0, 0)
		Expect(err).NotTo(HaveOccurred())
		entry, err := one.detour.Get(ctx, "a/1")
		Expect(err).NotTo(HaveOccurred())
		Expect(entry).To(Equal(cairnbay.Entry{Key: "a/1", Value: []byte("x"), Revision: revision}))
		_, err = one.detour.Put(ctx, "a/1", []byte("y"), 0, 0)
		Expect(err).To(MatchError(cairnbay.ErrConflict))
		_, err = one.detour.Get(ctx, "a/2")
		Expect(err).To(MatchError(cairnbay.ErrNotFound))
		lease, err := one.detour.Grant(ctx, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(one.detour.Renew(ctx, lease)).To(Succeed())
		_, err = one.detour.Put(ctx, "a/leased", nil, 0, lease)
		Expect(err).NotTo(HaveOccurred())
		Expect(one.detour.Revoke(ctx, lease)).To(Succeed())
		Expect(one.detour.Renew(ctx, lease)).To(MatchError(cairnbay.ErrLeaseLapsed))
		listing, err := one.detour.List(ctx, "a/")
		Expect(err).NotTo(HaveOccurred())
		Expect(listing.Entries).To(HaveLen(1))
		Expect(one.detour.Delete(ctx, "a/1", revision)).To(Succeed())
	})

	It("is watched over others without losing an event, and directly again", func() {
		one := instances[0]
		first, err := one.detour.Put(ctx, "a/1", []byte("1"), 0, 0)
		Expect(err).NotTo(HaveOccurred())
		following, err := one.detour.Watch(ctx, "a/", 0)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(following.Close)
		next := func() string {
			GinkgoHelper()
			for {
				events, err := following.Next(ctx)
				if err == nil && len(events) > 0 {
					Expect(events).To(HaveLen(1))
					return string(events[0].Entry.Value)
				}
				Expect(ctx.Err()).NotTo(HaveOccurred())
			}
		}
		Expect(next()).To(Equal("1"))
		kept.SetCut(name(0), true)
		leave(one)
		second, err := instances[1].detour.Put(ctx, "a/1", []byte("2"), first, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(next()).To(Equal("2"))
		kept.SetCut(name(0), false)
		Eventually(one.detour.StoreReachable).Should(BeTrue())
		_, err = instances[1].detour.Put(ctx, "a/1", []byte("3"), second, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(next()).To(Equal("3"))
	})

	It("is called directly again once it answers", func() {
		one := instances[0]
		kept.SetCut(name(0), true)
		leave(one)
		kept.SetCut(name(0), false)
		Eventually(one.detour.StoreReachable).Should(BeTrue())
		for i := 1; i < count; i++ {
			kept.SetCut(name(i), true)
		}
		_, err := one.detour.List(ctx, "a/")
		Expect(err).NotTo(HaveOccurred())
	})

	It("is found over the one instance that reaches it", func() {
		for i := range count - 1 {
			kept.SetCut(name(i), true)
		}
		leave(instances[0])
		_, err := instances[0].detour.Put(ctx, "a/1", nil, 0, 0)
		Expect(err).NotTo(HaveOccurred())
	})

	It("is told to be down, at once and with few calls, when nobody reaches it", func() {
		kept.SetDown(true)
		one := instances[0]
		before := kept.Counts().Total()
		const calls = 20
		for range calls {
			began := time.Now()
			_, err := one.detour.Put(ctx, "a/1", nil, 0, 0)
			Expect(err).To(MatchError(cairnbay.ErrUnavailable))
			Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
		}
		Expect(kept.Counts().Total()-before).To(BeNumerically("<=", 2*calls), "calls made for others add to the load")
	})

	It("does not get a write twice whose answer did not come", func() {
		one := instances[0]
		one.own.silent.Store(true)
		short, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		_, err := one.detour.Put(short, "a/1", nil, 0, 0)
		Expect(err).To(MatchError(cairnbay.ErrUnknown))
		_, err = instances[1].detour.Get(ctx, "a/1")
		Expect(err).To(MatchError(cairnbay.ErrNotFound))
	})

	It("is read over others while the own way is silent", func() {
		_, err := instances[1].detour.Put(ctx, "a/1", []byte("x"), 0, 0)
		Expect(err).NotTo(HaveOccurred())
		one := instances[0]
		one.own.silent.Store(true)
		began := time.Now()
		entry, err := one.detour.Get(ctx, "a/1")
		Expect(err).NotTo(HaveOccurred())
		Expect(entry.Value).To(Equal([]byte("x")))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})

	It("gets a write over another instance once, also if that one freezes", func() {
		one := instances[0]
		kept.SetCut(name(0), true)
		leave(one)
		for i := 1; i < count; i++ {
			instances[i].frozen.Store(true)
		}
		_, err := one.detour.Put(ctx, "a/1", nil, 0, 0)
		for i := 1; i < count; i++ {
			instances[i].frozen.Store(false)
		}
		Expect(err).To(MatchError(cairnbay.ErrUnknown))
		Eventually(func() error {
			_, err := one.detour.Put(ctx, "a/1", nil, 0, 0)
			return err
		}).WithTimeout(5 * time.Second).Should(Succeed())
	})
})
