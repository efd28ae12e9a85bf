package owner_test

import (
	"context"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
)

func batchJob(tasks int) cairnbay.Job {
	return cairnbay.Job{
		Team: "t", Kind: cairnbay.KindBatch, Band: cairnbay.BandBatch, Class: "survey", Tasks: tasks,
		Size: cairnbay.Resources{MilliCPU: 1000},
	}
}

var _ = Describe("Owner", func() {
	var cluster *cluster

	BeforeEach(func() {
		cluster = newCluster(5)
		for _, id := range []string{"a", "b", "c"} {
			cluster.join(id)
		}
		cluster.start()
		cluster.advanceUntil(func() bool { return cluster.activeMember() != nil })
	})

	memberOtherThan := func(excluded *member) *member {
		for _, member := range cluster.members {
			if member != excluded {
				return member
			}
		}
		return nil
	}

	expectOneRunPerTask := func() {
		GinkgoHelper()
		for task, count := range cluster.runningCounts() {
			Expect(count).To(Equal(1), task.String())
		}
	}

	It("runs a job submitted at another member and answers queries for it there", func() {
		cluster.runTime = time.Second
		at := memberOtherThan(cluster.activeMember())
		id := cluster.submit(at, batchJob(8))
		cluster.advanceUntil(func() bool {
			views, err := at.owner.Jobs(context.Background())
			return err == nil && len(views) == 1 && views[0].Done
		})
		explanation, err := at.owner.Explain(context.Background(), id)
		Expect(err).NotTo(HaveOccurred())
		Expect(explanation.Job).To(Equal(id))
		for task, count := range cluster.startCounts() {
			Expect(count).To(Equal(1), task.String())
		}
	})

	It("returns the accepted job when its key is submitted again", func() {
		job := batchJob(1)
		job.Key = "invoice-7"
		Expect(cluster.submit(cluster.activeMember(), job)).To(Equal(cluster.submit(cluster.activeMember(), job)))
	})

	It("rejects a job too large to run on any worker, and a job whose class has no workers in the data centre", func() {
		job := batchJob(1)
		job.Size.MilliCPU = 64000
		_, _, err := cluster.activeMember().owner.Submit(context.Background(), job)
		Expect(err).To(MatchError(cairnbay.ErrNeverFits))
		job.Class = "nowhere"
		_, _, err = cluster.activeMember().owner.Submit(context.Background(), job)
		Expect(err).To(MatchError(cairnbay.ErrNeverFits))
	})

	It("keeps every task running when the owner fails", func() {
		cluster.submit(cluster.activeMember(), batchJob(12))
		cluster.advanceUntil(func() bool { return len(cluster.runningCounts()) == 12 })
		former := cluster.activeMember()
		cluster.setDown(former)
		former.owner.Close()
		cluster.advanceUntil(func() bool { return cluster.activeMember() != nil })
		cluster.advanceUntil(func() bool { return len(cluster.runningCounts()) == 12 })
		cluster.clock.Advance(time.Second)
		expectOneRunPerTask()
		for task, count := range cluster.startCounts() {
			Expect(count).To(Equal(1), task.String())
		}
	})

	It("runs from a copy of the journal while the store is down, and from the journal after its return", func() {
		cluster.submit(cluster.activeMember(), batchJob(4))
		cluster.advanceUntil(func() bool { return len(cluster.runningCounts()) == 4 })
		for range 20 { // 1 s of heartbeats, in which the replicas pull the journal
			cluster.advanceUntil(func() bool { return true })
		}
		cluster.store.SetDown(true)
		former := cluster.activeMember()
		cluster.setDown(former)
		former.owner.Close()
		cluster.advanceUntil(func() bool { return cluster.activeMember() != nil })
		successor := cluster.activeMember()
		Expect(successor.owner.Shards()[0].Copied).To(BeTrue())
		_, _, err := successor.owner.Submit(context.Background(), batchJob(1))
		Expect(err).To(MatchError(cairnbay.ErrUnavailable))
		Expect(cluster.runningCounts()).To(HaveLen(4))
		cluster.store.SetDown(false)
		cluster.advanceUntil(func() bool {
			shards := successor.owner.Shards()
			return len(shards) == 1 && !shards[0].Copied && shards[0].Phase == "active"
		})
		cluster.submit(successor, batchJob(4))
		cluster.advanceUntil(func() bool { return len(cluster.runningCounts()) == 8 })
		expectOneRunPerTask()
	})

	It("hands over its shards before a planned stop", func() {
		cluster.submit(cluster.activeMember(), batchJob(6))
		cluster.advanceUntil(func() bool { return len(cluster.runningCounts()) == 6 })
		former := cluster.activeMember()
		done := make(chan error, 1)
		go func() { done <- former.owner.Handover(context.Background()) }()
		cluster.setDown(former)
		cluster.advanceUntil(func() bool { return len(done) == 1 })
		Expect(<-done).To(Succeed())
		cluster.advanceUntil(func() bool { return cluster.activeMember() != nil })
		Expect(cluster.runningCounts()).To(HaveLen(6))
		expectOneRunPerTask()
	})

	It("cancels the jobs of a shard with one journal write", func() {
		at := cluster.activeMember()
		var ids []cairnbay.JobID
		for range 5 {
			ids = append(ids, cluster.submit(at, batchJob(3)))
		}
		cluster.advanceUntil(func() bool { return len(cluster.runningCounts()) == 15 })
		before := cluster.store.Counts().Puts
		cancelled := make(chan int, 1)
		go func() {
			count, _ := at.owner.Cancel(context.Background(), ids)
			cancelled <- count
		}()
		cluster.advanceUntil(func() bool { return len(cancelled) == 1 })
		Expect(<-cancelled).To(Equal(5))
		Expect(cluster.store.Counts().Puts - before).To(Equal(1))
		cluster.advanceUntil(func() bool { return len(cluster.runningCounts()) == 0 })
	})

	// Guards against jobs that run on after their cancellation was answered with "not found".
	DescribeTable("cancels a job at a member whose list of instances is empty", func(atOwner bool) {
		at := cluster.activeMember()
		id := cluster.submit(at, batchJob(3))
		cluster.advanceUntil(func() bool { return len(cluster.runningCounts()) == 3 })
		if !atOwner {
			at = memberOtherThan(at)
		}
		cluster.setUnlisted(at)
		views, err := at.owner.Jobs(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(views).To(HaveLen(1))
		cancelled := make(chan error, 1)
		go func() {
			_, err := at.owner.Cancel(context.Background(), []cairnbay.JobID{id})
			cancelled <- err
		}()
		cluster.advanceUntil(func() bool { return len(cancelled) == 1 })
		Expect(<-cancelled).To(Succeed())
		cluster.advanceUntil(func() bool { return len(cluster.runningCounts()) == 0 })
	},
		Entry("that owns its shard", true),
		Entry("that does not own its shard", false),
	)

	DescribeTable("cancels no job of a shard that it does not know", func(id cairnbay.JobID, expected error) {
		_, err := cluster.activeMember().owner.Cancel(context.Background(), []cairnbay.JobID{id})
		Expect(err).To(MatchError(expected))
	},
		Entry("and does not say that there is none", cairnbay.JobID("tallinn-b.survey."+uuid.NewString()), cairnbay.ErrUnavailable),
		Entry("unless the ID is not that of a job", cairnbay.JobID("tallinn-b.survey.1"), cairnbay.ErrNotFound),
	)

	Describe("after several changes of owner", func() {
		// Guards against changes of owner that count as failures for the life of the process.
		It("has the next owner as soon as after the first one", func() {
			first := cluster.activeMember()
			var successor *member
			for range 7 {
				cluster.setDown(first)
				stopped := cluster.clock.Now()
				cluster.advanceUntil(func() bool { return cluster.activeMember() != nil })
				Expect(cluster.clock.Now() - stopped).To(BeNumerically("<", 5*time.Second))
				successor = cluster.activeMember()
				cluster.setUp(first)
				cluster.advanceUntil(func() bool {
					return len(first.owner.Shards()) == 1 && len(successor.owner.Shards()) == 0
				})
			}
		})

		It("has rare changes while members contend for the shard, and forgets that afterwards", func() {
			cluster.setAlone(true)
			cluster.takeovers(2 * time.Minute)
			Expect(cluster.takeovers(time.Minute)).To(BeNumerically("<", 12))

			cluster.setAlone(false)
			cluster.takeovers(3 * time.Minute)
			cluster.setAlone(true)
			Expect(cluster.takeovers(12 * time.Second)).To(BeNumerically(">=", 4))
		})
	})
})
