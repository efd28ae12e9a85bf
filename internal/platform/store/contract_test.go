package store_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/fake/clock"
	fake "cairnbay/internal/fake/store"
	"cairnbay/internal/platform/store"
)

func TestStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform store")
}

// contract specifies the behaviour of every cairnbay.Store; it runs against the
// fake store and against the adapter in front of the fake store.
func contract(open func(backing *fake.Store) cairnbay.Store) {
	var (
		ctx       context.Context
		fakeClock *clock.Clock
		backing   *fake.Store
		tested    cairnbay.Store
	)
	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 20*time.Second)
		DeferCleanup(cancel)
		fakeClock = clock.New()
		backing = fake.New(fake.Config{Clock: fakeClock})
		tested = open(backing)
	})
	put := func(key, value string, expect cairnbay.Revision) cairnbay.Revision {
		GinkgoHelper()
		revision, err := tested.Put(ctx, key, []byte(value), expect, 0)
		Expect(err).NotTo(HaveOccurred())
		return revision
	}

	It("creates, swaps, reads, lists and deletes", func() {
		first := put("a/1", "one", 0)
		second := put("a/2", "two", 0)
		put("b/1", "other", 0)
		third := put("a/1", "uno", first)
		Expect(third).To(BeNumerically(">", second))

		entry, err := tested.Get(ctx, "a/1")
		Expect(err).NotTo(HaveOccurred())
		Expect(entry).To(Equal(cairnbay.Entry{Key: "a/1", Value: []byte("uno"), Revision: third}))
		listing, err := tested.List(ctx, "a/")
		Expect(err).NotTo(HaveOccurred())
		Expect(listing.Entries).To(HaveLen(2))
		Expect(listing.Entries[0].Key).To(Equal("a/1"))
		Expect(listing.Revision).To(Equal(third))

		Expect(tested.Delete(ctx, "a/1", third)).To(Succeed())
		_, err = tested.Get(ctx, "a/1")
		Expect(err).To(MatchError(cairnbay.ErrNotFound))
	})

	It("refuses invalid writes and leaves the entry unchanged", func() {
		first := put("k", "one", 0)
		scenarios := []struct {
			name string
			call func() error
			want error
		}{
			{"create of an existing key", func() error {
				_, err := tested.Put(ctx, "k", nil, 0, 0)
				return err
			}, cairnbay.ErrConflict},
			{"swap at a revision that is not the current one", func() error {
				_, err := tested.Put(ctx, "k", nil, first+1, 0)
				return err
			}, cairnbay.ErrConflict},
			{"value over the limit", func() error {
				_, err := tested.Put(ctx, "k", make([]byte, cairnbay.MaxValueBytes+1), first, 0)
				return err
			}, cairnbay.ErrTooLarge},
			{"put under a lease never granted", func() error {
				_, err := tested.Put(ctx, "k", nil, first, 99)
				return err
			}, cairnbay.ErrLeaseLapsed},
			{"delete at a revision that is not the current one", func() error { return tested.Delete(ctx, "k", first+1) }, cairnbay.ErrConflict},
			{"delete of a missing key", func() error { return tested.Delete(ctx, "none", 0) }, cairnbay.ErrNotFound},
			{"renewal of a lease never granted", func() error { return tested.Renew(ctx, 99) }, cairnbay.ErrLeaseLapsed},
		}
		for _, scenario := range scenarios {
			Expect(scenario.call()).To(MatchError(scenario.want), scenario.name)
			entry, err := tested.Get(ctx, "k")
			Expect(err).NotTo(HaveOccurred(), scenario.name)
			Expect(entry.Revision).To(Equal(first), scenario.name)
		}
	})

	It("deletes leased keys when the lease lapses", func() {
		lease, err := tested.Grant(ctx, 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
		_, err = tested.Put(ctx, "leased", nil, 0, lease)
		Expect(err).NotTo(HaveOccurred())
		fakeClock.Advance(9 * time.Second)
		Expect(tested.Renew(ctx, lease)).To(Succeed())
		fakeClock.Advance(9 * time.Second)
		_, err = tested.Get(ctx, "leased")
		Expect(err).NotTo(HaveOccurred())
		fakeClock.Advance(time.Second)
		_, err = tested.Get(ctx, "leased")
		Expect(err).To(MatchError(cairnbay.ErrNotFound))
		Expect(tested.Renew(ctx, lease)).To(MatchError(cairnbay.ErrLeaseLapsed))
	})

	It("reports each change below the prefix once, and resumes from a revision", func() {
		first := put("w/1", "one", 0)
		watch, err := tested.Watch(ctx, "w/", 0)
		Expect(err).NotTo(HaveOccurred())
		defer watch.Close()
		events, err := watch.Next(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(HaveLen(1))
		Expect(events[0].Entry.Revision).To(Equal(first))

		put("x/1", "unwatched", 0)
		Expect(tested.Delete(ctx, "w/1", first)).To(Succeed())
		events, err = watch.Next(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(HaveLen(1))
		Expect(events[0].Kind).To(Equal(cairnbay.EventDelete))

		resumed, err := tested.Watch(ctx, "w/", first)
		Expect(err).NotTo(HaveOccurred())
		defer resumed.Close()
		replayed, err := resumed.Next(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(replayed).To(Equal(events))
	})

	It("delivers events to Next, and ends a wait on Close", func() {
		watch, err := tested.Watch(ctx, "w/", 0)
		Expect(err).NotTo(HaveOccurred())
		type result struct {
			events []cairnbay.Event
			err    error
		}
		results := make(chan result)
		next := func() {
			events, err := watch.Next(ctx)
			results <- result{events, err}
		}
		go next()
		put("w/1", "one", 0)
		Expect((<-results).events).To(HaveLen(1))
		go next()
		Expect(watch.Close()).To(Succeed())
		Expect((<-results).err).To(MatchError(cairnbay.ErrClosed))
	})

	It("returns ErrCompacted for an old revision that is compacted", func() {
		put("w/1", "one", 0)
		backing.Compact()
		watch, err := tested.Watch(ctx, "w/", 0)
		if err == nil {
			_, err = watch.Next(ctx)
		}
		Expect(err).To(MatchError(cairnbay.ErrCompacted))
	})

	It("distinguishes a write with unknown outcome from one without effect", func() {
		scenarios := []struct {
			name    string
			fault   func()
			want    error
			effect  bool
			restore func()
		}{
			{"down", func() { backing.SetDown(true) }, cairnbay.ErrUnavailable, false, func() { backing.SetDown(false) }},
			{"answer lost", func() { backing.LoseAnswers(1) }, cairnbay.ErrUnknown, true, func() {}},
			{"write lost", func() { backing.LoseWrites(1) }, cairnbay.ErrUnknown, false, func() {}},
		}
		for _, scenario := range scenarios {
			scenario.fault()
			_, err := tested.Put(ctx, scenario.name, nil, 0, 0)
			Expect(err).To(MatchError(scenario.want), scenario.name)
			scenario.restore()
			_, err = tested.Get(ctx, scenario.name)
			if scenario.effect {
				Expect(err).NotTo(HaveOccurred(), scenario.name)
			} else {
				Expect(err).To(MatchError(cairnbay.ErrNotFound), scenario.name)
			}
		}
	})

	It("returns ErrUnknown for a write that exceeds its deadline at a slow store", func() {
		backing.SetSlow(time.Hour)
		short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		_, err := tested.Put(short, "slow", nil, 0, 0)
		Expect(err).To(MatchError(cairnbay.ErrUnknown))
	})

	It("returns no events from a silent watch that the store no longer serves, while a new watch receives them", func() {
		silent, err := tested.Watch(ctx, "w/", 0)
		Expect(err).NotTo(HaveOccurred())
		bounded, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		waitErrors := make(chan error)
		waitsBefore := backing.Counts().Waits
		go func() {
			_, err := silent.Next(bounded)
			waitErrors <- err
		}()
		Eventually(func() int { return backing.Counts().Waits }).Should(BeNumerically(">", waitsBefore))
		backing.SilenceWatches()
		put("w/1", "one", 0)
		Expect(<-waitErrors).To(MatchError(context.DeadlineExceeded))

		fresh, err := tested.Watch(ctx, "w/", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(fresh.Next(ctx)).To(HaveLen(1))
	})
}

var _ = Describe("the fake", func() {
	contract(func(backing *fake.Store) cairnbay.Store { return backing })
})

var _ = Describe("the adapter", func() {
	contract(func(backing *fake.Store) cairnbay.Store {
		server := httptest.NewServer(backing.Handler())
		DeferCleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		return store.New(store.Config{Address: server.Listener.Addr().String(), Client: server.Client()})
	})

	It("returns ErrUnavailable for a write when the connection is refused", func() {
		server := httptest.NewServer(nil)
		address := server.Listener.Addr().String()
		server.Close()
		adapter := store.New(store.Config{Address: address})
		_, err := adapter.Put(context.Background(), "k", nil, 0, 0)
		Expect(err).To(MatchError(cairnbay.ErrUnavailable))
	})
})

var _ = Describe("the fake's limits", func() {
	It("refuses calls over the rate limit, and is unavailable to a caller that is cut off", func() {
		fakeClock := clock.New()
		backing := fake.New(fake.Config{Clock: fakeClock, WritesPerSecond: 2, ReadsPerSecond: 1})
		ctx := context.Background()
		_, err := backing.Put(ctx, "a", nil, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = backing.Put(ctx, "b", nil, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = backing.Put(ctx, "c", nil, 0, 0)
		Expect(err).To(MatchError(cairnbay.ErrRateLimited))
		fakeClock.Advance(time.Second)
		backing.SetCut("x", true)
		_, err = backing.For("x").Put(ctx, "c", nil, 0, 0)
		Expect(err).To(MatchError(cairnbay.ErrUnavailable))
		_, err = backing.For("y").Put(ctx, "c", nil, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(backing.Counts().RateLimited).To(Equal(1))
	})
})
