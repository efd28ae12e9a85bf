package commit

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/fake/clock"
	"cairnbay/internal/fake/store"
)

func accept(index int) []Record {
	return []Record{{Accept: &cairnbay.Job{ID: cairnbay.JobID(fmt.Sprint("job-", index)), Tasks: 3}}}
}

var _ = Describe("Journal", func() {
	var (
		ctx       = context.Background()
		fakeClock *clock.Clock
		fakeStore *store.Store
	)

	BeforeEach(func() {
		fakeClock = clock.New()
		fakeStore = store.New(store.Config{Clock: fakeClock})
	})

	config := func() Config {
		return Config{Shard: "tallinn-a/survey", Store: fakeStore, Clock: fakeClock, OwnerID: "member"}
	}

	It("groups queued records into one write and keeps the minimum interval between two writes", func() {
		journal, err := Open(ctx, config())
		Expect(err).NotTo(HaveOccurred())
		defer journal.Close()
		done := make(chan error, 100)
		journal.Append(Urgent, accept(0), func(err error) { done <- err })
		fakeClock.Advance(defaultMinInterval)
		Eventually(done).Should(Receive(BeNil()))
		before := fakeStore.Counts().Puts
		for i := range 50 {
			journal.Append(Urgent, accept(i+1), func(err error) { done <- err })
		}
		Consistently(done, 20*time.Millisecond).ShouldNot(Receive())
		fakeClock.Advance(defaultMinInterval)
		for range 50 {
			Eventually(done).Should(Receive(BeNil()))
		}
		Expect(fakeStore.Counts().Puts - before).To(Equal(1))
	})

	It("recovers all records from a ring that has wrapped several times", func() {
		journal, err := open(ctx, config())
		Expect(err).NotTo(HaveOccurred())
		const writes = 5 * ringSlots
		for i := range writes {
			journal.Append(Lazy, accept(i), func(err error) { Expect(err).NotTo(HaveOccurred()) })
			journal.flush(ctx)
		}
		state, err := Read(ctx, fakeStore, "tallinn-a/survey")
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Jobs).To(HaveLen(writes))
		Expect(state).To(Equal(journal.State()))
		listing, err := fakeStore.List(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(len(listing.Entries)).To(BeNumerically("<=", ringSlots+2*((writes+maxJobsPerPart-1)/maxJobsPerPart)))
	})

	It("resumes after a store outage without losing or reordering records", func() {
		journal, err := Open(ctx, config())
		Expect(err).NotTo(HaveOccurred())
		defer journal.Close()
		fakeStore.SetDown(true)
		done := make(chan int, 10)
		for i := range 3 {
			journal.Append(Urgent, accept(i), func(err error) {
				Expect(err).NotTo(HaveOccurred())
				done <- i
			})
		}
		fakeClock.Advance(defaultMinInterval)
		Eventually(journal.StoreDown).Should(BeTrue())
		fakeStore.SetDown(false)
		Eventually(func() bool {
			fakeClock.Advance(defaultBackoff)
			return len(done) == 3
		}).Should(BeTrue())
		for i := range 3 {
			Expect(<-done).To(Equal(i))
		}
		Expect(journal.StoreDown()).To(BeFalse())
	})

	It("keeps two shards apart whose names share a prefix", func() {
		first := config()
		second := config()
		second.Shard = "tallinn-a/survey/2"
		journal, err := open(ctx, first)
		Expect(err).NotTo(HaveOccurred())
		journal.Append(Lazy, accept(0), func(error) {})
		journal.flush(ctx)
		_, err = open(ctx, second)
		Expect(err).NotTo(HaveOccurred())
		state, err := Read(ctx, fakeStore, first.Shard)
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Generation).To(Equal(uint64(1)))
		Expect(state.Jobs).To(HaveLen(1))
	})

	It("does not withdraw a record whose first write may still reach the store", func() {
		journal, err := open(ctx, config())
		Expect(err).NotTo(HaveOccurred())
		ticket := journal.Append(Urgent, accept(0), func(error) {})
		fakeStore.LoseWrites(1)
		journal.flush(ctx)
		fakeStore.SetDown(true)
		journal.flush(ctx)
		Expect(journal.Withdraw(ticket)).To(BeFalse())
	})

	type scenario struct {
		unsent bool
		setUp  func()
		want   error
	}
	scenarios := map[string]scenario{
		"never sent":            {unsent: true, setUp: func() {}, want: cairnbay.ErrClosed},
		"sent and refused":      {setUp: func() { fakeStore.SetDown(true) }, want: cairnbay.ErrClosed},
		"sent and not answered": {setUp: func() { fakeStore.LoseWrites(1) }, want: cairnbay.ErrUnknown},
	}
	for name, scenario := range scenarios {
		It("reports on close whether a record was written: "+name, func() {
			journal, err := open(ctx, config())
			Expect(err).NotTo(HaveOccurred())
			var reported error
			journal.Append(Urgent, accept(0), func(err error) { reported = err })
			scenario.setUp()
			if !scenario.unsent {
				journal.flush(ctx)
			}
			journal.terminate(cairnbay.ErrClosed)
			Expect(reported).To(MatchError(scenario.want))
		})
	}
})

var _ = Describe("Spans", func() {
	It("stores the indices in as few spans as the gaps between them allow", func() {
		var spans Spans
		for _, index := range []int{5, 1, 3, 2, 4, 9, 2} {
			spans = spans.Add(index)
		}
		Expect(spans).To(Equal(Spans{{From: 1, To: 6}, {From: 9, To: 10}}))
		Expect(spans.Count()).To(Equal(6))
		Expect(spans.Contains(6)).To(BeFalse())
		Expect(spans.Contains(9)).To(BeTrue())
	})
})
