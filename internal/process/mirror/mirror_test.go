package mirror_test

import (
	"context"
	"io"
	"maps"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"cairnbay"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/process/mirror"
	"cairnbay/internal/process/timer"
)

func TestMirror(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "mirror")
}

// view applies the changes that a mirror reports.
type view struct {
	mu     sync.Mutex
	values map[string]string
}

func (v *view) apply(changes []cairnbay.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, change := range changes {
		if change.Kind == cairnbay.EventDelete {
			delete(v.values, change.Entry.Key)
			continue
		}
		v.values[change.Entry.Key] = string(change.Entry.Value)
	}
}

func (v *view) get() map[string]string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.values)
}

var _ = Describe("a mirror", func() {
	for _, poll := range []time.Duration{0, 50 * time.Millisecond} {
		Describe(map[bool]string{true: "that watches", false: "that polls"}[poll == 0], func() {
			var (
				fakeStore *store.Store
				m         *mirror.Mirror
				reported  *view
			)
			put := func(key, value string) { fakeStore.Force(key, []byte(value)) }
			BeforeEach(func() {
				clock := timer.New()
				DeferCleanup(clock.Close)
				fakeStore = store.New(store.Config{Clock: clock})
				put("a/1", "one")
				put("b/1", "other")
				reported = &view{values: make(map[string]string)}
				logger := logrus.New()
				logger.SetOutput(io.Discard)
				m = mirror.New(mirror.Config{
					Store: fakeStore, Prefix: "a/", Log: logger.WithField("test", true),
					StallTimeout: 300 * time.Millisecond, PollInterval: poll, OnChange: reported.apply,
				})
				DeferCleanup(m.Close)
			})

			It("reports the changes below its prefix", func() {
				Eventually(reported.get).Should(Equal(map[string]string{"a/1": "one"}))
				put("a/2", "two")
				put("a/1", "uno")
				Eventually(reported.get).Should(Equal(map[string]string{"a/1": "uno", "a/2": "two"}))
				fakeStore.Drop("a/1")
				Eventually(reported.get).Should(Equal(map[string]string{"a/2": "two"}))
				Expect(m.Synced()).To(BeTrue())
				_, ok := m.Get("a/2")
				Expect(ok).To(BeTrue())
			})

			It("reports failure during an outage and catches up afterwards", func() {
				Eventually(m.Synced).Should(BeTrue())
				fakeStore.SetDown(true)
				Eventually(m.Failing, "3s").Should(BeTrue())
				put("a/2", "two")
				fakeStore.Drop("a/1")
				fakeStore.SetDown(false)
				Eventually(reported.get, "3s").Should(Equal(map[string]string{"a/2": "two"}))
				Eventually(m.Failing).Should(BeFalse())
			})

			It("reports a change made while the watch stalls and the history is compacted", func() {
				Eventually(m.Synced).Should(BeTrue())
				fakeStore.SetWatchesSilent(true)
				put("a/2", "two")
				fakeStore.Compact()
				fakeStore.SetWatchesSilent(false)
				Eventually(reported.get, "3s").Should(Equal(map[string]string{"a/1": "one", "a/2": "two"}))
			})
		})
	}

	It("is not synced before the store has answered", func() {
		clock := timer.New()
		DeferCleanup(clock.Close)
		fakeStore := store.New(store.Config{Clock: clock})
		fakeStore.SetDown(true)
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		m := mirror.New(mirror.Config{
			Store: fakeStore, Prefix: "a/", Log: logger.WithField("test", true), StallTimeout: time.Second,
			OnChange: func([]cairnbay.Event) {},
		})
		DeferCleanup(m.Close)
		Consistently(m.Synced, "200ms").Should(BeFalse())
		// The store is still down.
		_, err := fakeStore.Get(context.Background(), "a/1")
		Expect(err).To(HaveOccurred())
	})
})
