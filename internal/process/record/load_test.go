package record_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/fake/clock"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/fake/suite"
	"cairnbay/internal/process/record"
)

// delayedStore delays the answers of a store, or loses calls while it is silent.
type delayedStore struct {
	*store.Store
	mu      sync.Mutex
	latency time.Duration
	silent  bool
	// commitsLeft is the number of commits that still take effect; below 0 for no
	// limit.
	commitsLeft int
}

func (d *delayedStore) Commit(ctx context.Context, batch cairnbay.Batch) (cairnbay.Revision, error) {
	d.mu.Lock()
	latency, silent := d.latency, d.silent || d.commitsLeft == 0
	if d.commitsLeft > 0 {
		d.commitsLeft--
	}
	d.mu.Unlock()
	if silent {
		<-ctx.Done()
		return 0, cairnbay.ErrUnknown
	}
	select {
	case <-ctx.Done():
		return 0, cairnbay.ErrUnknown
	case <-time.After(latency):
	}
	return d.Store.Commit(ctx, batch)
}

func (d *delayedStore) setSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
}

var _ = Describe("the journal under load", func() {
	var (
		delayed *delayedStore
		fence   cairnbay.Expectation
	)
	open := func(generation uint64) *record.Writer {
		writer := record.New(record.Config{
			Store: delayed, Commit: delayed.Commit, Shard: "c", Generation: generation, Fence: fence, Log: discardLog(),
		})
		DeferCleanup(writer.Close)
		return writer
	}
	BeforeEach(func() {
		delayed = &delayedStore{Store: store.New(store.Config{Clock: clock.New()}), commitsLeft: -1}
		revision, err := delayed.Put(context.Background(), fenceKey, []byte("1"), 0, 0)
		Expect(err).NotTo(HaveOccurred())
		fence = cairnbay.Expectation{Key: fenceKey, Revision: revision}
	})
	// appendFor appends a record every interval and returns how long each took
	// until it was stored.
	appendFor := func(writer *record.Writer, duration, interval time.Duration) []time.Duration {
		var (
			mu      sync.Mutex
			took    []time.Duration
			pending sync.WaitGroup
		)
		for startedAt := time.Now(); time.Since(startedAt) < duration; time.Sleep(interval) {
			pending.Add(1)
			appendedAt := time.Now()
			writer.Append([]*cairnbayv1.WorkRecord{{Cancelled: "job"}}, func(error) {
				mu.Lock()
				took = append(took, time.Since(appendedAt))
				mu.Unlock()
				pending.Done()
			})
		}
		pending.Wait()
		return took
	}

	It("stores records without a wait for earlier writes while the store is slow", func() {
		delayed.latency = 300 * time.Millisecond
		writer := open(1)
		appendFor(writer, 400*time.Millisecond, 20*time.Millisecond)
		// A record waits at most for its batch and for one answer.
		Expect(slices.Max(appendFor(writer, time.Second, 20*time.Millisecond))).To(BeNumerically("<", 450*time.Millisecond))
		Expect(writer.Stalled()).To(BeFalse())
	})

	It("goes on soon after a silent store answers again", Label(suite.Timing), func() {
		writer := open(1)
		appendFor(writer, 100*time.Millisecond, 20*time.Millisecond)
		delayed.setSilent(true)
		stored := make(chan error, 1)
		writer.Append([]*cairnbayv1.WorkRecord{{Cancelled: "job"}}, func(err error) { stored <- err })
		// The store returns right after a try.
		time.Sleep(1100 * time.Millisecond)
		Expect(writer.Stalled()).To(BeTrue())
		delayed.setSilent(false)
		Eventually(stored, "400ms", "5ms").Should(Receive(BeNil()))
	})

	It("stores records without a pause during a rewrite of a long journal", Label(suite.Timing), func() {
		if os.Getenv("CAIRNBAY_SKIP_KNOWN_RED") != "" {
			Skip("listed in KNOWN-RED.txt")
		}
		const segments, records = 2000, 20_000
		delayed.latency = 8 * time.Millisecond
		var keys []string
		for n := range segments {
			key := fmt.Sprintf("%s%08x-%08x", record.Prefix("c"), 0, n)
			_, err := delayed.Put(context.Background(), key, nil, 0, 0)
			Expect(err).NotTo(HaveOccurred())
			keys = append(keys, key)
		}
		writer := open(1)
		writer.AddSegments(keys, 0)
		kept := make([]*cairnbayv1.WorkRecord, records)
		for n := range kept {
			kept[n] = &cairnbayv1.WorkRecord{Done: &cairnbayv1.TaskRef{Job: fmt.Sprintf("%016x", n)}}
		}
		done := make(chan error, 1)
		writer.Compact(kept, func(err error) { done <- err })
		Expect(slices.Max(appendFor(writer, 2*time.Second, 5*time.Millisecond))).To(BeNumerically("<", 150*time.Millisecond))
		Eventually(done, "10s").Should(Receive(BeNil()))
		journal, err := record.Load(context.Background(), delayed, "c")
		Expect(err).NotTo(HaveOccurred())
		Expect(len(journal.SegmentKeys)).To(BeNumerically("<", segments/4))
		Expect(len(journal.Records)).To(BeNumerically(">", records))
	})

	It("holds the same state wherever a rewrite is cut off", Label(suite.Timing), func() {
		state := func(records []*cairnbayv1.WorkRecord) map[string]bool {
			jobs := make(map[string]bool)
			for _, rec := range records {
				if rec.GetCancelled() != "" {
					jobs[rec.GetCancelled()] = true
				}
			}
			return jobs
		}
		// Each job's record takes a segment of the rewrite of its own.
		payload := func(n int) string { return fmt.Sprintf("%d-%040000d", n, 0) }
		for commits := range 12 {
			writer := open(1)
			delayed.commitsLeft = -1
			before := make(map[string]bool)
			for n := range 4 {
				stored := make(chan error, 1)
				writer.Append([]*cairnbayv1.WorkRecord{{Cancelled: payload(n)}}, func(err error) { stored <- err })
				Eventually(stored).Should(Receive(BeNil()))
				before[payload(n)] = true
			}
			delayed.mu.Lock()
			delayed.commitsLeft = commits
			delayed.mu.Unlock()
			var kept []*cairnbayv1.WorkRecord
			for job := range before {
				kept = append(kept, &cairnbayv1.WorkRecord{Cancelled: job})
			}
			writer.Compact(kept, func(error) {})
			time.Sleep(time.Duration(commits+2) * 60 * time.Millisecond)
			writer.Close()
			journal, err := record.Load(context.Background(), delayed.Store, "c")
			Expect(err).NotTo(HaveOccurred())
			Expect(state(journal.Records)).To(Equal(before), "after %d commits", commits)
			for _, key := range journal.SegmentKeys {
				Expect(delayed.Delete(context.Background(), key, mustRevision(delayed, key))).To(Succeed())
			}
		}
	})
})

func mustRevision(from cairnbay.Store, key string) cairnbay.Revision {
	entry, err := from.Get(context.Background(), key)
	Expect(err).NotTo(HaveOccurred())
	return entry.Revision
}
