package fault_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay/internal/process/fault"
)

func TestFault(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fault")
}

const classSize = 35

// shift is half an hour of ends on a class of workers, one a second.
type shift struct {
	badWorkers map[int]bool
	badJobs    map[int]bool
	jobs       int
	chance     float64
}

// run returns the detector and the workers that were ever quarantined.
func (s shift) run(seed uint64) (*fault.Detector, map[int]bool) {
	random := rand.New(rand.NewPCG(seed, 1))
	detector, out := fault.New(), make(map[int]bool)
	for second := range 1800 {
		now := time.Duration(second) * time.Second
		worker, job := random.IntN(classSize), random.IntN(s.jobs)
		if detector.State(name(worker), now) != fault.Healthy {
			continue
		}
		failed := s.badWorkers[worker] || s.badJobs[job] || random.Float64() < s.chance
		if detector.Observe(name(worker), fmt.Sprint("j", job), failed, classSize, now) {
			out[worker] = true
		}
	}
	return detector, out
}

func name(worker int) string { return fmt.Sprint("w", worker) }

var _ = Describe("Ward", func() {
	bad := func(numbers ...int) map[int]bool {
		set := make(map[int]bool)
		for _, number := range numbers {
			set[number] = true
		}
		return set
	}
	DescribeTable("tells bad workers from bad jobs",
		func(load shift, want map[int]bool) {
			for seed := range uint64(20) {
				_, out := load.run(seed)
				Expect(out).To(Equal(want), "seed %d", seed)
			}
		},
		Entry("two workers fail all", shift{badWorkers: bad(3, 9), jobs: 200, chance: 0.01}, bad(3, 9)),
		Entry("one job fails everywhere", shift{badJobs: bad(0), jobs: 5, chance: 0.01}, bad()),
		Entry("many jobs fail everywhere", shift{badJobs: bad(0, 1, 2, 3, 4, 5), jobs: 12, chance: 0.01}, bad()),
		Entry("a worker fails all among bad jobs", shift{badWorkers: bad(7), badJobs: bad(0, 1), jobs: 40, chance: 0.01}, bad(7)),
	)

	It("never takes out more than a fifth of a class", func() {
		all := make(map[int]bool)
		for worker := range classSize {
			all[worker] = true
		}
		detector, out := shift{badWorkers: all, jobs: 2000}.run(1)
		Expect(len(out)).To(BeNumerically("<=", classSize/5))
		Expect(detector.IsSuspect("none")).To(BeFalse())
	})

	It("lets a worker back after three good probes, later after each relapse", func() {
		detector := fault.New()
		now := time.Duration(0)
		fail := func(job string) bool { return detector.Observe("w1", job, true, classSize, now) }
		Expect(fail("a")).To(BeFalse())
		Expect(fail("b")).To(BeFalse())
		Expect(fail("c")).To(BeTrue())
		Expect(detector.State("w1", now)).To(Equal(fault.Quarantined))
		now = detector.ProbeAfter("w1")
		Expect(detector.State("w1", now)).To(Equal(fault.Probation))
		Expect(fail("d")).To(BeTrue())
		Expect(detector.ProbeAfter("w1") - now).To(Equal(2 * time.Minute))
		now = detector.ProbeAfter("w1")
		for range 3 {
			detector.Observe("w1", "e", false, classSize, now)
		}
		Expect(detector.State("w1", now)).To(Equal(fault.Healthy))
	})
})

// BenchmarkVerdicts reports, for half an hour of a class of 35 workers with one
// end a second, how many sound workers are quarantined and how long one that
// fails all it starts goes undetected.
func BenchmarkVerdicts(b *testing.B) {
	for _, chance := range []float64{0.01, 0.05, 0.2} {
		b.Run(fmt.Sprint("chance_", chance), func(b *testing.B) {
			alarms, seen, ends := 0, 0, 0.0
			for seed := range b.N {
				_, out := shift{jobs: 200, chance: chance}.run(uint64(seed))
				alarms += len(out)
				if count := untilSeen(uint64(seed), chance); count > 0 {
					seen++
					ends += float64(count)
				}
			}
			b.ReportMetric(float64(alarms)/float64(b.N), "false_alarms/op")
			b.ReportMetric(float64(seen)/float64(b.N), "found/op")
			b.ReportMetric(ends/float64(max(1, seen)), "ends_until_found")
		})
	}
}

// untilSeen returns how many tasks a bad worker fails before its quarantine.
func untilSeen(seed uint64, chance float64) int {
	random := rand.New(rand.NewPCG(seed, 2))
	detector := fault.New()
	failed := 0
	for second := range 1800 {
		now := time.Duration(second) * time.Second
		worker, job := random.IntN(classSize), fmt.Sprint("j", random.IntN(200))
		if worker == 0 {
			failed++
		}
		if detector.Observe(name(worker), job, worker == 0 || random.Float64() < chance, classSize, now) && worker == 0 {
			return failed
		}
	}
	return 0
}
