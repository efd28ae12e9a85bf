package intake_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/fake/golden"
	"cairnbay/internal/request/intake"
)

func TestIntake(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "intake")
}

func view() intake.View {
	worker := func(id, dataCentre, class string, size cairnbay.Resources) cairnbay.Instance {
		return cairnbay.Instance{ID: id, Kind: cairnbay.InstanceWorker, DataCentre: dataCentre, Class: class, Capacity: size}
	}
	small := cairnbay.Resources{MilliCPU: 32_000, MemoryMB: 128_000}
	large := cairnbay.Resources{MilliCPU: 64_000, MemoryMB: 256_000, Accelerators: 8}
	return intake.View{
		Settings: &cairnbay.Settings{Branches: map[string]*cairnbay.Branch{
			"":                    {},
			"vihmavesi/catalogue": {Kind: cairnbay.KindBatch, Team: "prices", Placing: cairnbay.Placing{Band: cairnbay.BandBatch, MaxAttempts: 3}},
			"vihmavesi/models":    {Kind: cairnbay.KindGang, Team: "survey", Placing: cairnbay.Placing{Band: cairnbay.BandUrgent}},
		}},
		Instances: []cairnbay.Instance{
			worker("w1", "tallinn-a", "quoting", small),
			worker("w2", "tallinn-b", "quoting", small),
			worker("w3", "tallinn-b", "quoting", small),
			worker("w4", "maardu", "survey", large),
		},
	}
}

var size = cairnbay.Resources{MilliCPU: 1000, MemoryMB: 512}

var scenarios = []struct {
	name string
	job  cairnbay.Job
}{
	{"completed_from_its_branch", cairnbay.Job{Branch: "vihmavesi/catalogue", Class: "quoting", Tasks: 5, Size: size}},
	{"mistyped_branch_and_class", cairnbay.Job{Branch: "vihmavesi/catalog", Kind: "batch", Class: "quotin", Tasks: 1, Size: size}},
	{"every_invalid_field", cairnbay.Job{Branch: "vihmavesi/models", Kind: "swarm", Class: "survey", Tasks: 0, RunTime: -1, Size: cairnbay.Resources{Accelerators: -1}}},
	{"at_most_once_gang_that_restarts", cairnbay.Job{Branch: "vihmavesi/models", Class: "survey", Tasks: 2, Size: size, AtMostOnce: true, GangRestart: true}},
	{"too_large_for_any_worker", cairnbay.Job{Branch: "vihmavesi/models", Class: "survey", Tasks: 2, Size: cairnbay.Resources{MilliCPU: 1, MemoryMB: 1, Accelerators: 9}}},
	{"class_missing_in_data_centre", cairnbay.Job{Branch: "vihmavesi/models", DataCentre: "tallinn-a", Class: "survey", Tasks: 2, Size: size}},
}

var _ = Describe("Complete", func() {
	for _, scenario := range scenarios {
		It("matches the golden file "+scenario.name, func() {
			job, err := intake.Complete(scenario.job, view())
			var out strings.Builder
			fmt.Fprintf(&out, "%+v\nerror: %v\n", job, err)
			golden.Check(scenario.name, []byte(out.String()))
		})
	}

	It("returns ErrUnavailable while no settings are in force", func() {
		_, err := intake.Complete(cairnbay.Job{}, intake.View{})
		Expect(err).To(MatchError(cairnbay.ErrUnavailable))
	})
})
