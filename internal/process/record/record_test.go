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
	"cairnbay/internal/process/record"
)

func TestRecord(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "record")
}

func quiet() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger.WithField("test", true)
}

const fenceKey = "generation"

var _ = Describe("the journal of a class", func() {
	var (
		kept   *store.Store
		fence  cairnbay.Expectation
		writer *record.Writer
	)
	open := func(generation uint64) *record.Writer {
		return record.New(record.Config{
			Store: kept, Commit: kept.Commit, Class: "c", Generation: generation, Fence: fence, Log: quiet(),
		})
	}
	BeforeEach(func() {
		kept = store.New(store.Config{Clock: clock.New()})
		revision, err := kept.Put(context.Background(), fenceKey, []byte("1"), 0, 0)
		Expect(err).NotTo(HaveOccurred())
		fence = cairnbay.Expectation{Key: fenceKey, Revision: revision}
		writer = open(1)
		DeferCleanup(func() { writer.Close() })
	})

	cancelled := func(id string) []*cairnbayv1.WorkRecord {
		return []*cairnbayv1.WorkRecord{{Cancelled: id}}
	}
	append1 := func(id string) chan error {
		done := make(chan error, 1)
		writer.Append(cancelled(id), func(err error) { done <- err })
		return done
	}
	offer := func(id string) chan error {
		done := make(chan error, 1)
		writer.TryAppend(cancelled(id), func(err error) { done <- err })
		return done
	}
	loaded := func() (ids []string) {
		journal, err := record.Load(context.Background(), kept, "c")
		Expect(err).NotTo(HaveOccurred())
		for _, one := range journal.Records {
			if one.GetRestartAt() == "" {
				ids = append(ids, one.GetCancelled())
			}
		}
		return ids
	}

	It("keeps records in order over generations", func() {
		for n := range 3 {
			Eventually(append1(fmt.Sprint("a", n)), "2s").Should(Receive(BeNil()))
		}
		writer.Close()
		writer = open(2)
		Eventually(append1("b"), "2s").Should(Receive(BeNil()))
		Expect(loaded()).To(Equal([]string{"a0", "a1", "a2", "b"}))
	})

	It("lets records that come together share a write", func() {
		var all sync.WaitGroup
		for n := range 50 {
			all.Add(1)
			writer.Append(cancelled(fmt.Sprint(n)), func(error) { all.Done() })
		}
		all.Wait()
		Expect(writer.Writes()).To(BeNumerically("<=", 3))
		Expect(loaded()).To(HaveLen(50))
	})

	It("settles a write whose answer was lost", func() {
		kept.LoseAnswers(1)
		Eventually(append1("a"), "3s").Should(Receive(BeNil()))
		Expect(loaded()).To(Equal([]string{"a"}))
	})

	It("repeats a write that was lost", func() {
		kept.LoseWrites(2)
		Eventually(append1("a"), "3s").Should(Receive(BeNil()))
		Expect(loaded()).To(Equal([]string{"a"}))
	})

	It("stops once another owner has begun", func() {
		_, err := kept.Put(context.Background(), fenceKey, []byte("2"), fence.Revision, 0)
		Expect(err).NotTo(HaveOccurred())
		Eventually(append1("a"), "2s").Should(Receive(MatchError(cairnbay.ErrFenced)))
		Eventually(append1("b"), "2s").Should(Receive(MatchError(cairnbay.ErrFenced)))
		Expect(loaded()).To(BeEmpty())
	})

	It("withdraws what is worth nothing later, and keeps the rest, while the store refuses", func() {
		kept.SetDown(true)
		kept1, offered := append1("end"), offer("submission")
		var err error
		Eventually(offered, "3s").Should(Receive(&err))
		Expect(errors.Is(err, cairnbay.ErrUnavailable)).To(BeTrue())
		Consistently(kept1, "200ms").ShouldNot(Receive())
		Expect(writer.StalledFor()).To(BeNumerically(">", 0))
		kept.SetDown(false)
		Eventually(kept1, "3s").Should(Receive(BeNil()))
		Expect(loaded()).To(Equal([]string{"end"}))
	})

	It("never withdraws what may be stored", func() {
		kept.LoseAnswers(1)
		before := kept.Counts().Puts
		offered := offer("submission")
		Eventually(func() int { return kept.Counts().Puts }, "2s", "1ms").Should(BeNumerically(">", before))
		kept.SetDown(true)
		Consistently(offered, "900ms").ShouldNot(Receive())
		kept.SetDown(false)
		Eventually(offered, "3s").Should(Receive(BeNil()))
		Expect(loaded()).To(Equal([]string{"submission"}))
	})

	It("is replaced by a rewrite as a whole", func() {
		for n := range 3 {
			Eventually(append1(fmt.Sprint("a", n)), "2s").Should(Receive(BeNil()))
		}
		done := make(chan error, 1)
		writer.Compact(cancelled("kept"), func(err error) { done <- err })
		after := append1("after")
		Eventually(done, "2s").Should(Receive(BeNil()))
		Eventually(after, "2s").Should(Receive(BeNil()))
		Expect(loaded()).To(Equal([]string{"kept", "after"}))
		Expect(writer.Segments()).To(Equal(2))
	})

	It("is unchanged by a rewrite that is broken off", func() {
		Eventually(append1("a"), "2s").Should(Receive(BeNil()))
		kept.SetDown(true)
		writer.Compact(cancelled("kept"), func(error) {})
		time.Sleep(100 * time.Millisecond)
		writer.Close()
		kept.SetDown(false)
		Expect(loaded()).To(Equal([]string{"a"}))
	})

	It("says that it does not know when it closes", func() {
		kept.SetDown(true)
		done := append1("a")
		time.Sleep(50 * time.Millisecond)
		writer.Close()
		Eventually(done).Should(Receive(MatchError(cairnbay.ErrUnknown)))
	})
})
