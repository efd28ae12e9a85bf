package tenure_test

import (
	"context"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"cairnbay/internal/fake/store"
	"cairnbay/internal/process/layout"
	"cairnbay/internal/process/tenure"
	"cairnbay/internal/process/timer"
)

var _ = Describe("the shards of a class", func() {
	const leaseTTL = 600 * time.Millisecond
	var (
		fakeStore *store.Store
		clock     *timer.Service
		log       *logrus.Entry
	)
	BeforeEach(func() {
		clock = timer.New()
		DeferCleanup(clock.Close)
		fakeStore = store.New(store.Config{Clock: clock})
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		log = logger.WithField("test", true)
	})
	// start starts an instance that would divide the class into shards.
	start := func(name string, cores float64, shards int) *tenure.Tenure {
		started := tenure.New(tenure.Config{
			Store: fakeStore.For(name), Log: log, Clock: clock, BootTime: timer.Boot,
			Instance: name, Address: name + ":1", Cores: cores, LeaseTTL: leaseTTL, WatchStallTimeout: time.Second,
			Classes: func() []string { return []string{"a"} },
			Divide: func(_ context.Context, class string) (layout.Layout, bool) {
				return layout.Layout{Class: class, Shards: shards}, shards > 0
			},
			OnAcquired: func(tenure.Claim) {}, OnLost: func(tenure.Claim) {},
		})
		DeferCleanup(started.Close)
		return started
	}
	owners := func(instance *tenure.Tenure) func() map[string]string {
		return func() map[string]string {
			names := make(map[string]string)
			for shard, owner := range instance.Owners() {
				names[shard] = owner.Instance
			}
			return names
		}
	}

	// Guards against the loss of a claim through late news of the one before it.
	It("stay with an owner that abandons a former claim", func() {
		acquired := make(chan tenure.Claim, 1)
		lost := make(chan tenure.Claim, 1)
		instance := tenure.New(tenure.Config{
			Store: fakeStore.For("n"), Log: log, Clock: clock, BootTime: timer.Boot,
			Instance: "n", Address: "n:1", Cores: 1, LeaseTTL: leaseTTL, WatchStallTimeout: time.Second,
			Classes:    func() []string { return []string{"a"} },
			Divide:     undivided,
			OnAcquired: func(claim tenure.Claim) { acquired <- claim }, OnLost: func(claim tenure.Claim) { lost <- claim },
		})
		DeferCleanup(instance.Close)
		var first, second tenure.Claim
		Eventually(acquired, "4s").Should(Receive(&first))
		instance.Abandon(first)
		Eventually(lost, "4s").Should(Receive(Equal(first)))
		Eventually(acquired, "4s").Should(Receive(&second))
		instance.Abandon(first)
		Consistently(lost, "200ms").ShouldNot(Receive())
	})

	It("are read from the store also while the watch tells nothing", func() {
		instance := start("n", 1, 0)
		Eventually(instance.Synced, "4s").Should(BeTrue())
		fakeStore.SetWatchesSilent(true)
		value, err := layout.Layout{Class: "b", Shards: 2}.Encode()
		Expect(err).NotTo(HaveOccurred())
		fakeStore.Force("cairnbay/live/layout/b", value)
		layouts, err := instance.ReadLayouts(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(layouts).To(HaveKey("b"))
		Expect(instance.Layouts()).To(HaveKey("b"))
		fakeStore.SetDown(true)
		_, err = instance.ReadLayouts(context.Background())
		Expect(err).To(HaveOccurred())
	})

	It("go to the strongest instances, one each", func() {
		weak := start("weak", 0.2, 3)
		for _, name := range []string{"strong1", "strong2", "strong3"} {
			start(name, 0.8, 3)
		}
		Eventually(owners(weak), "4s").Should(HaveLen(3))
		Expect(owners(weak)()).To(ConsistOf("strong1", "strong2", "strong3"))
	})

	It("are the same on instances that would divide the class differently", func() {
		first, second := start("first", 1, 2), start("second", 1, 5)
		Eventually(func() bool { _, ok := first.Layout("a"); return ok }, "4s").Should(BeTrue())
		Eventually(func() bool { _, ok := second.Layout("a"); return ok }, "4s").Should(BeTrue())
		here, _ := first.Layout("a")
		there, _ := second.Layout("a")
		Expect(here.Shards).To(Equal(there.Shards))
	})

	It("stay as they are when the instances come back with other resources", func() {
		first := start("first", 1, 2)
		Eventually(owners(first), "4s").Should(HaveLen(2))
		first.Close()
		second := start("second", 1, 7)
		Eventually(func() bool { _, ok := second.Layout("a"); return ok }, "4s").Should(BeTrue())
		divided, _ := second.Layout("a")
		Expect(divided.Shards).To(Equal(2))
	})

	It("are one for a class that had an owner before classes were divided", func() {
		_, err := fakeStore.Put(context.Background(), "cairnbay/generation/a", nil, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		instance := start("first", 1, 4)
		Eventually(owners(instance), "4s").Should(Equal(map[string]string{"a": "first"}))
	})

	It("have no owner before the class is divided", func() {
		instance := start("first", 1, 0)
		Consistently(owners(instance), "1s").Should(BeEmpty())
	})

	It("get new owners at once when several instances resign", func() {
		var strong []*tenure.Tenure
		for _, name := range []string{"s1", "s2", "s3"} {
			strong = append(strong, start(name, 0.8, 3))
		}
		spare := start("spare1", 0.8, 3)
		start("spare2", 0.8, 3)
		start("spare3", 0.8, 3)
		Eventually(owners(spare), "4s").Should(HaveLen(3))
		leaving := strong
		for _, instance := range leaving {
			instance.Resign(context.Background())
		}
		resignedAt := time.Now()
		Eventually(func() bool {
			for _, owner := range owners(spare)() {
				if owner == "s1" || owner == "s2" || owner == "s3" {
					return false
				}
			}
			return len(owners(spare)()) == 3
		}, "4s").Should(BeTrue())
		Expect(time.Since(resignedAt)).To(BeNumerically("<", 2*time.Second))
		Eventually(owners(spare), "1s").Should(ConsistOf("spare1", "spare2", "spare3"))
	})
})
