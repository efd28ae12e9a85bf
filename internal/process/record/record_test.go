package record_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/fake/clock"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/fake/suite"
	"cairnbay/internal/process/record"
)

func TestRecord(t *testing.T) {
	suite.Run(t, "record")
}

func discardLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger.WithField("test", true)
}

const fenceKey = "generation"

var _ = Describe("the journal of a shard", func() {
	var (
		fakeStore *store.Store
		fence     cairnbay.Expectation
		writer    *record.Writer
	)
	open := func(generation uint64) *record.Writer {
		return record.New(record.Config{
			Store: fakeStore, Commit: fakeStore.Commit, Shard: "c", Generation: generation, Fence: fence, Log: discardLog(),
		})
	}
	BeforeEach(func() {
		fakeStore = store.New(store.Config{Clock: clock.New()})
		revision, err := fakeStore.Put(context.Background(), fenceKey, []byte("1"), 0, 0)
		Expect(err).NotTo(HaveOccurred())
		fence = cairnbay.Expectation{Key: fenceKey, Revision: revision}
		writer = open(1)
		DeferCleanup(func() { writer.Close() })
	})

	cancelled := func(id string) []*cairnbayv1.WorkRecord {
		return []*cairnbayv1.WorkRecord{{Cancelled: id}}
	}
	appendRecord := func(id string) chan error {
		done := make(chan error, 1)
		writer.Append(cancelled(id), func(err error) { done <- err })
		return done
	}
	tryAppend := func(id string) chan error {
		done := make(chan error, 1)
		writer.TryAppend(cancelled(id), func(err error) { done <- err })
		return done
	}
	loadIDs := func() (ids []string) {
		journal, err := record.Load(context.Background(), fakeStore, "c")
		Expect(err).NotTo(HaveOccurred())
		for _, entry := range journal.Records {
			if entry.GetRestartAt() == "" {
				ids = append(ids, entry.GetCancelled())
			}
		}
		return ids
	}

	It("preserves the order of records across generations", func() {
		for n := range 3 {
			Eventually(appendRecord(fmt.Sprint("a", n)), "2s").Should(Receive(BeNil()))
		}
		writer.Close()
		writer = open(2)
		Eventually(appendRecord("b"), "2s").Should(Receive(BeNil()))
		Expect(loadIDs()).To(Equal([]string{"a0", "a1", "a2", "b"}))
	})

	It("stores records that are queued together in one write", func() {
		var pending sync.WaitGroup
		for n := range 50 {
			pending.Add(1)
			writer.Append(cancelled(fmt.Sprint(n)), func(error) { pending.Done() })
		}
		pending.Wait()
		Expect(writer.Writes()).To(BeNumerically("<=", 3))
		Expect(loadIDs()).To(HaveLen(50))
	})

	It("stores a record once when the answer to its write is lost", func() {
		fakeStore.LoseAnswers(1)
		Eventually(appendRecord("a"), "3s").Should(Receive(BeNil()))
		Expect(loadIDs()).To(Equal([]string{"a"}))
	})

	It("repeats a write that was lost", func() {
		fakeStore.LoseWrites(2)
		Eventually(appendRecord("a"), "3s").Should(Receive(BeNil()))
		Expect(loadIDs()).To(Equal([]string{"a"}))
	})

	It("stops once a newer owner exists", func() {
		_, err := fakeStore.Put(context.Background(), fenceKey, []byte("2"), fence.Revision, 0)
		Expect(err).NotTo(HaveOccurred())
		Eventually(appendRecord("a"), "2s").Should(Receive(MatchError(cairnbay.ErrFenced)))
		Eventually(appendRecord("b"), "2s").Should(Receive(MatchError(cairnbay.ErrFenced)))
		Expect(loadIDs()).To(BeEmpty())
	})

	// Guards against a refusal of an accepted job: the store has a write without an answer, and
	// the next owner has removed its segment after reading it.
	It("does not say that records are not stored if an earlier try may have stored them", func() {
		writer.Close()
		fencings := make(chan struct{}, 10)
		writer = record.New(record.Config{
			Store: fakeStore, Shard: "c", Generation: 1, Fence: fence, Log: discardLog(),
			OnFenced: func() { fencings <- struct{}{} },
			Commit: func(ctx context.Context, batch cairnbay.Batch) (cairnbay.Revision, error) {
				revision, err := fakeStore.Commit(ctx, batch)
				if err != nil {
					return revision, err
				}
				fakeStore.Force(fenceKey, []byte("2"))
				fakeStore.Drop(batch.Puts[0].Key)
				return 0, cairnbay.ErrUnknown
			},
		})
		Eventually(appendRecord("a"), "3s").Should(Receive(MatchError(cairnbay.ErrUnknown)))
		Eventually(appendRecord("b"), "2s").Should(Receive(MatchError(cairnbay.ErrFenced)))
		Expect(fencings).To(HaveLen(1))
	})

	It("withdraws only the entries of TryAppend while the store refuses writes", func() {
		fakeStore.SetDown(true)
		ended, submitted := appendRecord("end"), tryAppend("submission")
		var err error
		Eventually(submitted, "3s").Should(Receive(&err))
		Expect(errors.Is(err, cairnbay.ErrUnavailable)).To(BeTrue())
		Consistently(ended, "200ms").ShouldNot(Receive())
		Eventually(writer.Stalled, "1s").Should(BeTrue())
		fakeStore.SetDown(false)
		Eventually(ended, "3s").Should(Receive(BeNil()))
		Expect(loadIDs()).To(Equal([]string{"end"}))
	})

	It("does not withdraw an entry that may be stored", func() {
		fakeStore.LoseAnswers(1)
		before := fakeStore.Counts().Puts
		submitted := tryAppend("submission")
		Eventually(func() int { return fakeStore.Counts().Puts }, "2s", "1ms").Should(BeNumerically(">", before))
		fakeStore.SetDown(true)
		Consistently(submitted, "900ms").ShouldNot(Receive())
		fakeStore.SetDown(false)
		Eventually(submitted, "3s").Should(Receive(BeNil()))
		Expect(loadIDs()).To(Equal([]string{"submission"}))
	})

	It("holds only the rewritten and later records after a rewrite", func() {
		for n := range 3 {
			Eventually(appendRecord(fmt.Sprint("a", n)), "2s").Should(Receive(BeNil()))
		}
		done := make(chan error, 1)
		writer.Compact(cancelled("kept"), func(err error) { done <- err })
		after := appendRecord("after")
		Eventually(done, "2s").Should(Receive(BeNil()))
		Eventually(after, "2s").Should(Receive(BeNil()))
		Expect(loadIDs()).To(Equal([]string{"kept", "after"}))
		Expect(writer.Segments()).To(Equal(2))
	})

	It("is unchanged by an interrupted rewrite", func() {
		Eventually(appendRecord("a"), "2s").Should(Receive(BeNil()))
		fakeStore.SetDown(true)
		writer.Compact(cancelled("kept"), func(error) {})
		time.Sleep(100 * time.Millisecond)
		writer.Close()
		fakeStore.SetDown(false)
		Expect(loadIDs()).To(Equal([]string{"a"}))
	})

	It("reports an unknown outcome for a pending record when the writer closes", func() {
		fakeStore.SetDown(true)
		done := appendRecord("a")
		time.Sleep(50 * time.Millisecond)
		writer.Close()
		Eventually(done).Should(Receive(MatchError(cairnbay.ErrUnknown)))
	})
})
