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

// workload is half an hour of task ends on a class of workers, one per second.
type workload struct {
	faultyWorkers map[int]bool
	faultyJobs    map[int]bool
	jobs          int
	failureRate   float64
}

// run returns the detector and the workers that were quarantined at least once.
func (s workload) run(seed uint64) (*fault.Detector, map[int]bool) {
	random := rand.New(rand.NewPCG(seed, 1))
	detector, quarantined := fault.New(), make(map[int]bool)
	for second := range 1800 {
		now := time.Duration(second) * time.Second
		worker, job := random.IntN(classSize), random.IntN(s.jobs)
		if detector.State(workerName(worker), now) != fault.Healthy {
			continue
		}
		failed := s.faultyWorkers[worker] || s.faultyJobs[job] || random.Float64() < s.failureRate
		if detector.Observe(workerName(worker), fmt.Sprint("j", job), failed, classSize, now) {
			quarantined[worker] = true
		}
	}
	return detector, quarantined
}

func workerName(worker int) string { return fmt.Sprint("w", worker) }

var _ = Describe("Detector", func() {
	setOf := func(numbers ...int) map[int]bool {
		set := make(map[int]bool)
		for _, number := range numbers {
			set[number] = true
		}
		return set
	}
	DescribeTable("distinguishes faulty workers from faulty jobs",
		func(scenario workload, want map[int]bool) {
			for seed := range uint64(20) {
				_, quarantined := scenario.run(seed)
				Expect(quarantined).To(Equal(want), "seed %d", seed)
			}
		},
		Entry("two workers fail all tasks", workload{faultyWorkers: setOf(3, 9), jobs: 200, failureRate: 0.01}, setOf(3, 9)),
		Entry("one job fails everywhere", workload{faultyJobs: setOf(0), jobs: 5, failureRate: 0.01}, setOf()),
		Entry("many jobs fail everywhere", workload{faultyJobs: setOf(0, 1, 2, 3, 4, 5), jobs: 12, failureRate: 0.01}, setOf()),
		Entry("a worker fails all tasks and some jobs are faulty", workload{faultyWorkers: setOf(7), faultyJobs: setOf(0, 1), jobs: 40, failureRate: 0.01}, setOf(7)),
	)

	It("never quarantines more than a fifth of a class", func() {
		all := make(map[int]bool)
		for worker := range classSize {
			all[worker] = true
		}
		detector, quarantined := workload{faultyWorkers: all, jobs: 2000}.run(1)
		Expect(len(quarantined)).To(BeNumerically("<=", classSize/5))
		Expect(detector.IsSuspect("none")).To(BeFalse())
	})

	It("ends a quarantine after three good probes, and doubles it after a failed probe", func() {
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

// Guards against quarantines that count for as long as the worker is there.
var _ = Describe("Detector of a worker that was quarantined often", func() {
	It("forgets that once the worker has been healthy for as long as the longest quarantine", func() {
		detector := fault.New()
		now := time.Duration(0)
		quarantine := func() time.Duration {
			for job := range 3 {
				detector.Observe("w1", fmt.Sprint("j", now, job), true, classSize, now)
			}
			Expect(detector.State("w1", now)).To(Equal(fault.Quarantined))
			return detector.ProbeAfter("w1") - now
		}
		recover := func() {
			now = detector.ProbeAfter("w1")
			for range 3 {
				detector.Observe("w1", "probe", false, classSize, now)
			}
			Expect(detector.State("w1", now)).To(Equal(fault.Healthy))
		}
		Expect(quarantine()).To(Equal(time.Minute))
		recover()
		now += 50 * time.Minute
		Expect(quarantine()).To(Equal(2*time.Minute), "soon after the first")
		recover()
		now += 61 * time.Minute
		Expect(quarantine()).To(Equal(time.Minute))
		now = detector.ProbationEnd("w1") + 50*time.Minute
		Expect(quarantine()).To(Equal(2*time.Minute), "soon after a probation without probes")
	})
})

// BenchmarkVerdicts reports, for half an hour of a class of 35 workers with one
// task end per second, how many good workers are quarantined and how many tasks a
// worker that fails every task ends before its quarantine.
func BenchmarkVerdicts(b *testing.B) {
	for _, failureRate := range []float64{0.01, 0.05, 0.2} {
		b.Run(fmt.Sprint("chance_", failureRate), func(b *testing.B) {
			falseAlarms, found, ends := 0, 0, 0.0
			for seed := range b.N {
				_, quarantined := workload{jobs: 200, failureRate: failureRate}.run(uint64(seed))
				falseAlarms += len(quarantined)
				if count := failuresUntilQuarantine(uint64(seed), failureRate); count > 0 {
					found++
					ends += float64(count)
				}
			}
			b.ReportMetric(float64(falseAlarms)/float64(b.N), "false_alarms/op")
			b.ReportMetric(float64(found)/float64(b.N), "found/op")
			b.ReportMetric(ends/float64(max(1, found)), "ends_until_found")
		})
	}
}

// failuresUntilQuarantine returns how many tasks a faulty worker fails before its
// quarantine; 0 if it is never quarantined.
func failuresUntilQuarantine(seed uint64, failureRate float64) int {
	random := rand.New(rand.NewPCG(seed, 2))
	detector := fault.New()
	failures := 0
	for second := range 1800 {
		now := time.Duration(second) * time.Second
		worker, job := random.IntN(classSize), fmt.Sprint("j", random.IntN(200))
		if worker == 0 {
			failures++
		}
		if detector.Observe(workerName(worker), job, worker == 0 || random.Float64() < failureRate, classSize, now) && worker == 0 {
			return failures
		}
	}
	return 0
}
