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
		ctx  = context.Background()
		hand *clock.Clock
		fake *store.Store
	)

	BeforeEach(func() {
		hand = clock.New()
		fake = store.New(store.Config{Clock: hand})
	})

	config := func() Config {
		return Config{Shard: "tallinn-a/survey", Store: fake, Clock: hand, OwnerID: "member"}
	}

	It("groups what waits into one write and keeps the gap between two", func() {
		journal, err := Open(ctx, config())
		Expect(err).NotTo(HaveOccurred())
		defer journal.Close()
		done := make(chan error, 100)
		journal.Append(Urgent, accept(0), func(err error) { done <- err })
		hand.Advance(defaultMinGap)
		Eventually(done).Should(Receive(BeNil()))
		before := fake.Counts().Puts
		for i := range 50 {
			journal.Append(Urgent, accept(i+1), func(err error) { done <- err })
		}
		Consistently(done, 20*time.Millisecond).ShouldNot(Receive())
		hand.Advance(defaultMinGap)
		for range 50 {
			Eventually(done).Should(Receive(BeNil()))
		}
		Expect(fake.Counts().Puts - before).To(Equal(1))
	})

	It("recovers everything from a ring that has gone round several times", func() {
		journal, err := open(ctx, config())
		Expect(err).NotTo(HaveOccurred())
		const writes = 5 * ringSlots
		for i := range writes {
			journal.Append(Lazy, accept(i), func(err error) { Expect(err).NotTo(HaveOccurred()) })
			journal.flush(ctx)
		}
		state, err := Read(ctx, fake, "tallinn-a/survey")
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Jobs).To(HaveLen(writes))
		Expect(state).To(Equal(journal.State()))
		listing, err := fake.List(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(len(listing.Entries)).To(BeNumerically("<=", ringSlots+2*((writes+maxJobsPerPart-1)/maxJobsPerPart)))
	})

	It("goes on after an outage without losing or reordering records", func() {
		journal, err := Open(ctx, config())
		Expect(err).NotTo(HaveOccurred())
		defer journal.Close()
		fake.SetDown(true)
		done := make(chan int, 10)
		for i := range 3 {
			journal.Append(Urgent, accept(i), func(err error) {
				Expect(err).NotTo(HaveOccurred())
				done <- i
			})
		}
		hand.Advance(defaultMinGap)
		Eventually(journal.StoreDown).Should(BeTrue())
		fake.SetDown(false)
		Eventually(func() bool {
			hand.Advance(defaultBackoff)
			return len(done) == 3
		}).Should(BeTrue())
		for i := range 3 {
			Expect(<-done).To(Equal(i))
		}
		Expect(journal.StoreDown()).To(BeFalse())
	})

	It("tells two shards apart whose names share a beginning", func() {
		first := config()
		second := config()
		second.Shard = "tallinn-a/survey/2"
		one, err := open(ctx, first)
		Expect(err).NotTo(HaveOccurred())
		one.Append(Lazy, accept(0), func(error) {})
		one.flush(ctx)
		_, err = open(ctx, second)
		Expect(err).NotTo(HaveOccurred())
		state, err := Read(ctx, fake, first.Shard)
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Generation).To(Equal(uint64(1)))
		Expect(state.Jobs).To(HaveLen(1))
	})

	It("does not take back a record whose first write may still land", func() {
		journal, err := open(ctx, config())
		Expect(err).NotTo(HaveOccurred())
		ticket := journal.Append(Urgent, accept(0), func(error) {})
		fake.LoseWrites(1)
		journal.flush(ctx)
		fake.SetDown(true)
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
		"sent and refused":      {setUp: func() { fake.SetDown(true) }, want: cairnbay.ErrClosed},
		"sent and not answered": {setUp: func() { fake.LoseWrites(1) }, want: cairnbay.ErrUnknown},
	}
	for name, scenario := range scenarios {
		It("says on close what became of a record: "+name, func() {
			journal, err := open(ctx, config())
			Expect(err).NotTo(HaveOccurred())
			var told error
			journal.Append(Urgent, accept(0), func(err error) { told = err })
			scenario.setUp()
			if !scenario.unsent {
				journal.flush(ctx)
			}
			journal.fail(cairnbay.ErrClosed)
			Expect(told).To(MatchError(scenario.want))
		})
	}
})

var _ = Describe("Spans", func() {
	It("holds what was added, in as few spans as there are gaps", func() {
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
