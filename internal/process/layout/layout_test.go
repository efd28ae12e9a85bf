package layout_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cairnbay"
	"cairnbay/internal/process/layout"
)

func TestLayout(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "layout")
}

// fleet returns workers in racks of twelve, spread over data centres.
func fleet(workers, dataCentres int) []cairnbay.WorkerEntry {
	entries := make([]cairnbay.WorkerEntry, 0, workers)
	for i := range workers {
		rack := i / 12
		entries = append(entries, cairnbay.WorkerEntry{
			ID: fmt.Sprint("w", i), Class: "c", Rack: fmt.Sprint("r", rack), DataCentre: fmt.Sprint("d", rack%dataCentres),
		})
	}
	return entries
}

var _ = Describe("the division of a class", func() {
	It("leaves a class whole that one instance can run", func() {
		Expect(layout.Divide("c", fleet(252, 3), 0.8).Names()).To(Equal([]string{"c"}))
		Expect(layout.Divide("c", fleet(35, 3), 0.4).Names()).To(Equal([]string{"c"}))
		Expect(layout.Divide("c", nil, 0.4).Names()).To(Equal([]string{"c"}))
	})

	It("grows with the workers and with weaker instances", func() {
		Expect(layout.Divide("c", fleet(792, 5), 0.8).Shards).To(Equal(3))
		Expect(layout.Divide("c", fleet(400, 4), 0.8).Shards).To(Equal(2))
		Expect(layout.Divide("c", fleet(83, 5), 0.12).Shards).To(Equal(2))
		Expect(layout.Divide("c", fleet(5400, 5), 0.8).Shards).To(Equal(15))
	})

	It("gives each shard racks of every data centre and an equal part of the workers", func() {
		workers := fleet(792, 5)
		divided := layout.Divide("c", workers, 0.8)
		counts, dataCentres := make(map[string]int), make(map[string]map[string]bool)
		for i := range workers {
			shard := divided.ShardOfWorker(&workers[i])
			counts[shard]++
			if dataCentres[shard] == nil {
				dataCentres[shard] = make(map[string]bool)
			}
			dataCentres[shard][workers[i].DataCentre] = true
		}
		for _, shard := range divided.Names() {
			Expect(counts[shard]).To(BeNumerically("~", 792/3, 12))
			Expect(dataCentres[shard]).To(HaveLen(5))
		}
	})

	It("gives every job and every worker the same shard on every instance, whoever comes and goes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			workers := fleet(rapid.IntRange(1, 900).Draw(t, "workers"), rapid.IntRange(1, 5).Draw(t, "data centres"))
			divided := layout.Divide("c", workers, rapid.Float64Range(0.05, 1).Draw(t, "cores"))
			value, err := divided.Encode()
			Expect(err).NotTo(HaveOccurred())
			decoded, err := layout.Decode(value)
			Expect(err).NotTo(HaveOccurred())
			names := divided.Names()
			Expect(decoded.Names()).To(Equal(names))
			id := rapid.String().Draw(t, "job")
			Expect(names).To(ContainElement(divided.ShardOfJob(id)))
			Expect(decoded.ShardOfJob(id)).To(Equal(divided.ShardOfJob(id)))
			// A worker that comes later, in a rack known or unknown.
			worker := cairnbay.WorkerEntry{ID: rapid.String().Draw(t, "worker"), Rack: rapid.SampledFrom([]string{"r0", "r1", "other"}).Draw(t, "rack")}
			Expect(names).To(ContainElement(divided.ShardOfWorker(&worker)))
			Expect(decoded.ShardOfWorker(&worker)).To(Equal(divided.ShardOfWorker(&worker)))
		})
	})

	It("assigns every task of a job to exactly one shard, the home shard first", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			divided := layout.Divide("c", fleet(rapid.IntRange(1, 2000).Draw(t, "workers"), 3), 0.8)
			workflow := cairnbay.Workflow{ID: rapid.String().Draw(t, "job"), Steps: []cairnbay.WorkflowStep{{
				Tasks: rapid.IntRange(1, 200).Draw(t, "tasks"), LongRunning: rapid.Bool().Draw(t, "lasts"),
				Gang: rapid.Bool().Draw(t, "gang"), DisruptionBudget: rapid.IntRange(0, 5).Draw(t, "budget"),
			}}}
			step := workflow.Steps[0]
			assignments := divided.Assign(workflow)
			Expect(assignments[0].Shard).To(Equal(divided.ShardOfJob(workflow.ID)))
			seen, budget, shards := make(map[int]bool), 0, make(map[string]bool)
			for _, assigned := range assignments {
				portion := assigned.Workflow.Steps[0]
				shards[assigned.Shard] = true
				budget += portion.DisruptionBudget
				if step.DisruptionBudget > 0 {
					Expect(portion.DisruptionBudget).To(BeNumerically(">", 0))
				}
				Expect(portion.Tasks).To(BeNumerically(">", 0))
				for index := portion.FirstIndex; index < portion.FirstIndex+portion.Tasks; index++ {
					Expect(seen[index]).To(BeFalse())
					seen[index] = true
				}
			}
			Expect(seen).To(HaveLen(step.Tasks))
			Expect(seen[0]).To(BeTrue())
			Expect(shards).To(HaveLen(len(assignments)))
			Expect(budget).To(Equal(step.DisruptionBudget))
			if step.Gang || !step.LongRunning {
				Expect(assignments).To(HaveLen(1))
			}
		})
	})

	// vihmavesi-cairn-large, scale-1: 81 tasks that last, at most one a worker, in a
	// shard with 72 allowed workers, never ran whole.
	It("spreads tasks that last beyond what one shard has workers for", func() {
		divided := layout.Divide("c", fleet(792, 5), 0.8)
		assignments := divided.Assign(cairnbay.Workflow{ID: "j", Steps: []cairnbay.WorkflowStep{{Tasks: 81, MaxPerWorker: 1, LongRunning: true}}})
		Expect(assignments).To(HaveLen(3))
	})

	It("gives a worker whose entry has lost its rack to no shard, unless no worker has one", func() {
		worker := cairnbay.WorkerEntry{ID: "w0"}
		Expect(layout.Divide("c", fleet(792, 5), 0.8).ShardOfWorker(&worker)).To(BeEmpty())
		Expect(layout.Layout{Class: "c", Shards: 3}.ShardOfWorker(&worker)).NotTo(BeEmpty())
		Expect(layout.Divide("c", fleet(35, 5), 0.8).ShardOfWorker(&worker)).To(Equal("c"))
	})

	It("is not read from a malformed value", func() {
		for _, value := range [][]byte{nil, {0xff}, {0x10, 0x00}, {0x10, 0xff, 0x7f}} {
			_, err := layout.Decode(value)
			Expect(err).To(HaveOccurred())
		}
	})
})
