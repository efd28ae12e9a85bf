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

// view is what the changes of a mirror add up to.
type view struct {
	mu   sync.Mutex
	keys map[string]string
}

func (v *view) change(changes []cairnbay.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, change := range changes {
		if change.Kind == cairnbay.EventDelete {
			delete(v.keys, change.Entry.Key)
			continue
		}
		v.keys[change.Entry.Key] = string(change.Entry.Value)
	}
}

func (v *view) get() map[string]string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.keys)
}

var _ = Describe("a mirror", func() {
	for _, poll := range []time.Duration{0, 50 * time.Millisecond} {
		Describe(map[bool]string{true: "that watches", false: "that polls"}[poll == 0], func() {
			var (
				kept     *store.Store
				followed *mirror.Mirror
				seen     *view
			)
			put := func(key, value string) { kept.Force(key, []byte(value)) }
			BeforeEach(func() {
				clock := timer.New()
				DeferCleanup(clock.Close)
				kept = store.New(store.Config{Clock: clock})
				put("a/1", "one")
				put("b/1", "other")
				seen = &view{keys: make(map[string]string)}
				logger := logrus.New()
				logger.SetOutput(io.Discard)
				followed = mirror.New(mirror.Config{
					Store: kept, Prefix: "a/", Log: logger.WithField("test", true),
					StallTimeout: 300 * time.Millisecond, PollInterval: poll, OnChange: seen.change,
				})
				DeferCleanup(followed.Close)
			})

			It("follows its prefix", func() {
				Eventually(seen.get).Should(Equal(map[string]string{"a/1": "one"}))
				put("a/2", "two")
				put("a/1", "uno")
				Eventually(seen.get).Should(Equal(map[string]string{"a/1": "uno", "a/2": "two"}))
				kept.Drop("a/1")
				Eventually(seen.get).Should(Equal(map[string]string{"a/2": "two"}))
				Expect(followed.Synced()).To(BeTrue())
				_, ok := followed.Get("a/2")
				Expect(ok).To(BeTrue())
			})

			It("catches up after an outage, and says that the store is lost meanwhile", func() {
				Eventually(followed.Synced).Should(BeTrue())
				kept.SetDown(true)
				Eventually(followed.Failing, "3s").Should(BeTrue())
				put("a/2", "two")
				kept.Drop("a/1")
				kept.SetDown(false)
				Eventually(seen.get, "3s").Should(Equal(map[string]string{"a/2": "two"}))
				Eventually(followed.Failing).Should(BeFalse())
			})

			It("misses nothing when the history is dropped or a watch is silent", func() {
				Eventually(followed.Synced).Should(BeTrue())
				kept.SetWatchesSilent(true)
				put("a/2", "two")
				kept.Compact()
				kept.SetWatchesSilent(false)
				Eventually(seen.get, "3s").Should(Equal(map[string]string{"a/1": "one", "a/2": "two"}))
			})
		})
	}

	It("knows nothing before the store has answered", func() {
		clock := timer.New()
		DeferCleanup(clock.Close)
		kept := store.New(store.Config{Clock: clock})
		kept.SetDown(true)
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		followed := mirror.New(mirror.Config{
			Store: kept, Prefix: "a/", Log: logger.WithField("test", true), StallTimeout: time.Second,
			OnChange: func([]cairnbay.Event) {},
		})
		DeferCleanup(followed.Close)
		Consistently(followed.Synced, "200ms").Should(BeFalse())
		_, err := kept.Get(context.Background(), "a/1")
		Expect(err).To(HaveOccurred())
	})
})
