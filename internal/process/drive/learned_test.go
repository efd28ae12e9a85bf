package drive_test

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/record"
	"cairnbay/internal/process/sched"
)

var _ = Describe("learned run times", func() {
	lastLearned := func(c *cluster) *cairnbayv1.LearnedRunTimes {
		journal, err := record.Load(context.Background(), c.store, class)
		Expect(err).NotTo(HaveOccurred())
		var learned *cairnbayv1.LearnedRunTimes
		for _, rec := range journal.Records {
			if rec.GetLearned() != nil {
				learned = rec.GetLearned()
			}
		}
		return learned
	}
	scrape := func(set *metrics.Set) string {
		var text bytes.Buffer
		set.WritePrometheus(&text)
		return text.String()
	}
	run := func(c *cluster, jobs int) (stop func()) {
		c.metrics = metrics.NewSet()
		owner := c.startOwner()
		DeferCleanup(owner.Close)
		for n := range jobs {
			id := fmt.Sprint("j", c.generation, "-", n)
			c.accept(owner, id)
			Eventually(jobState(owner, id), "10s").Should(Equal(cairnbay.WorkflowCompleted))
		}
		return owner.Close
	}

	It("are stored by a rewrite of the journal, and the next owner predicts by them", func() {
		// Guards against an owner that starts from declared run times again.
		c := newCluster(4)
		c.learn, c.maxSegments = sched.AllLearnUses, 10
		stop := run(c, 6)
		Eventually(func() any { return lastLearned(c) }, "5s").ShouldNot(BeNil())
		Expect(scrape(c.metrics)).To(ContainSubstring(`cairnbay_run_time_ratio_count{shard="c",queue="q"}`))
		stop()
		learned := lastLearned(c)
		Expect(learned.GetKinds()).NotTo(BeEmpty())
		Expect(learned.GetWorkers()).NotTo(BeEmpty())
		Expect(proto.Size(learned)).To(BeNumerically("<", 1000))
		run(c, 1)
		Expect(scrape(c.metrics)).To(MatchRegexp(`cairnbay_run_time_predictions_total{shard="c",from="kind"} [1-9]`))
		Expect(scrape(c.metrics)).NotTo(ContainSubstring(`from="declared"`))
		Expect(c.fleet.Broken()).To(BeEmpty())
	})

	It("are neither stored nor used without a use", func() {
		c := newCluster(2)
		c.maxSegments = 10
		run(c, 4)
		Consistently(func() any { return lastLearned(c) }, time.Second, "200ms").Should(BeNil())
		Expect(scrape(c.metrics)).NotTo(ContainSubstring("cairnbay_run_time"))
	})
})
