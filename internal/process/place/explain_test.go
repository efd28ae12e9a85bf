package place_test

import (
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/fake/golden"
	"cairnbay/internal/process/place"
)

var _ = Describe("Explain", func() {
	type scenario struct {
		name    string
		arrange func(engine *place.Engine)
		job     cairnbay.JobID
	}
	const fill = 16 // tasks of one core that fill two workers
	arrange := func(engine *place.Engine, specs ...cairnbay.Job) {
		for _, spec := range specs {
			enqueue(engine, spec)
			startAll(engine, time.Second)
		}
	}
	batch := func(id string, tasks int, size int64) cairnbay.Job {
		spec := newSpec(id, cairnbay.KindBatch, cairnbay.BandBatch, tasks, size)
		spec.RunTime = time.Minute
		return spec
	}
	DescribeTable("describes why a job waits and why its tasks are where they are",
		func(test scenario) {
			engine := newEngine(2)
			test.arrange(engine)
			explained, err := engine.Explain(test.job, 2*time.Second)
			Expect(err).NotTo(HaveOccurred())
			text, err := json.MarshalIndent(explained, "", "  ")
			Expect(err).NotTo(HaveOccurred())
			golden.Check("explain_"+test.name, append(text, '\n'))
		},
		Entry("placed", scenario{name: "placed", job: "job", arrange: func(engine *place.Engine) {
			arrange(engine, batch("job", 2, 3))
		}}),
		Entry("quota", scenario{name: "quota", job: "job", arrange: func(engine *place.Engine) {
			settings := &cairnbay.Settings{Branches: map[string]*cairnbay.Branch{
				"": {}, "survey": {
					Path: "survey", Placing: cairnbay.Placing{Quota: cores(4)},
					Origins: map[string]string{"placing.quota.milli_cpu": ""},
				},
			}}
			engine.SetSettings(settings, 0)
			arrange(engine, batch("job", 3, 2))
		}}),
		Entry("capacity", scenario{name: "capacity", job: "job", arrange: func(engine *place.Engine) {
			arrange(engine, batch("fill", fill, 1), batch("job", 1, 2))
		}}),
		Entry("gang with a reservation", scenario{name: "gang", job: "gang", arrange: func(engine *place.Engine) {
			arrange(engine, batch("fill", fill, 1), newSpec("gang", cairnbay.KindGang, cairnbay.BandBatch, 2, 6))
		}}),
		Entry("no longer fits", scenario{name: "never", job: "job", arrange: func(engine *place.Engine) {
			enqueue(engine, batch("job", 1, 6))
			for index := range 2 {
				engine.SetWorker(cairnbay.WorkerState{ID: fmt.Sprintf("w%d", index), Capacity: cores(4), Usable: true}, 0)
			}
		}}),
	)
})
