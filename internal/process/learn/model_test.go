package learn_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay/internal/process/learn"
)

func TestLearn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "learn")
}

// plant is an oracle: it draws run times from known distributions.
type plant struct {
	random *rand.Rand
	model  *learn.Model
	now    time.Duration
	// slowness are the true factors of the workers.
	slowness []float64
	workers  []*learn.Worker
	// noise is the deviation of the tasks of a step, error that of the declared times,
	// both in logarithms; ratio is common to all jobs.
	noise, error, ratio float64
	runs                int
}

var kind = learn.Kind{Queue: "quotes", Image: "price", Width: learn.WidthClass(10)}

const declared = 600 * time.Millisecond

func newPlant(seed uint64, slowness ...float64) *plant {
	p := &plant{random: rand.New(rand.NewPCG(seed, 1)), model: learn.New(), slowness: slowness, noise: 0.2, error: math.Log(2.5), ratio: 1}
	for n := range slowness {
		p.workers = append(p.workers, p.model.AddWorker(fmt.Sprintf("w%03d", n), ""))
	}
	return p
}

// step runs a step with one task on each of the given workers.
func (p *plant) step(workers ...int) {
	factor := p.ratio * math.Exp(p.error*(2*p.random.Float64()-1))
	stage := p.model.NewStage(kind, declared)
	longest := time.Second
	for task, n := range workers {
		ran := p.draw(factor, n)
		longest = max(longest, ran)
		stage.Progress(p.now, p.workers[n], task, ran/4, 25)
		stage.Finished(p.now+ran, p.workers[n], task, ran)
		p.runs++
	}
	p.now += longest
	p.model.Update(p.now)
	stage.Close()
	p.model.Update(p.now)
}

func (p *plant) draw(factor float64, worker int) time.Duration {
	return time.Duration(float64(declared) * factor * p.slowness[worker] * math.Exp(p.noise*p.random.NormFloat64()))
}

// some returns distinct workers at random.
func (p *plant) some(count int) []int {
	return p.random.Perm(len(p.slowness))[:count]
}

// slownessError is the mean error of the workers' slowness in logarithms, relative to the
// mean worker.
func (p *plant) slownessError() float64 {
	mean, total := 0.0, 0.0
	for _, slowness := range p.slowness {
		mean += math.Log(slowness) / float64(len(p.slowness))
	}
	for n, slowness := range p.slowness {
		total += math.Abs(math.Log(p.model.Slowness(p.workers[n])) - math.Log(slowness) + mean)
	}
	return total / float64(len(p.slowness))
}

// twoKinds are 40 workers of which a quarter runs at 0.55 and the rest at 1.2 times the
// usual speed.
func twoKinds() []float64 {
	slowness := make([]float64, 40)
	for n := range slowness {
		slowness[n] = 1 / 1.2
		if n%4 == 0 {
			slowness[n] = 1 / 0.55
		}
	}
	return slowness
}

func equal(count int) []float64 {
	return slices.Repeat([]float64{1}, count)
}

var _ = Describe("a model of run times", func() {
	It("predicts declared times and equal workers without observations", func() {
		p := newPlant(1, twoKinds()...)
		p.model.Update(time.Second)
		Expect(p.model.Predict(kind, nil, nil, declared).Median).To(Equal(declared))
		Expect(p.model.Predict(kind, p.model.NewStage(kind, declared), p.workers[0], declared).Median).To(Equal(declared))
		Expect(p.model.Spread()).To(Equal(learn.Spread{Fast: 1, Slow: 1}))
	})

	// Guards against predictions that converge too slowly, or to the wrong value.
	DescribeTable("predicts the median and the 90th percentile of single tasks",
		func(runs int, ratio, noise, medianError, highError float64) {
			median, high := 0.0, 0.0
			const seeds = 40
			for seed := range uint64(seeds) {
				p := newPlant(seed, equal(20)...)
				p.ratio, p.noise, p.error = ratio, noise, 0
				for range runs {
					p.step(p.some(1)...)
				}
				predicted := p.model.Predict(kind, nil, nil, declared)
				median += math.Abs(math.Log(predicted.Median.Seconds()/declared.Seconds()/ratio)) / seeds
				high += math.Abs(math.Log(predicted.High.Seconds()/declared.Seconds()/ratio)-1.2816*noise) / seeds
			}
			AddReportEntry("errors in logarithms", fmt.Sprintf("median %.3f, 90th percentile %.3f", median, high))
			Expect(median).To(BeNumerically("<", medianError))
			Expect(high).To(BeNumerically("<", highError))
		},
		Entry("after 5 runs", 5, 1.0, 0.2, 0.12, 0.65),
		Entry("after 20 runs", 20, 1.0, 0.2, 0.08, 0.25),
		Entry("after 100 runs", 100, 1.0, 0.2, 0.06, 0.12),
		Entry("declared ten times too low, after 5 runs", 5, 10.0, 0.2, 0.2, 1.4),
		Entry("declared ten times too low, after 20 runs", 20, 10.0, 0.2, 0.1, 0.5),
		Entry("declared ten times too low, after 100 runs", 100, 10.0, 0.2, 0.06, 0.15),
		Entry("declared ten times too high, after 20 runs", 20, 0.1, 0.2, 0.1, 0.5),
		Entry("heavy tails, after 20 runs", 20, 1.0, 0.8, 0.3, 0.4),
		Entry("heavy tails, after 100 runs", 100, 1.0, 0.8, 0.2, 0.3),
	)

	// Guards against slowness that is confused with the declared time of the job, which is
	// off by up to 2.5.
	DescribeTable("knows the slowness of workers from steps of ten tasks with wrong declared times",
		func(runsPerWorker int, bound float64) {
			total := 0.0
			const seeds = 20
			for seed := range uint64(seeds) {
				p := newPlant(seed, twoKinds()...)
				for p.runs < runsPerWorker*len(p.workers) {
					p.step(p.some(10)...)
				}
				if runsPerWorker > 2 {
					Expect(p.model.Spread().Wide).To(BeTrue(), "seed %d", seed)
				}
				total += p.slownessError() / seeds
			}
			AddReportEntry("mean error in logarithms", fmt.Sprintf("%.3f", total))
			Expect(total).To(BeNumerically("<", bound))
		},
		Entry("after 2 runs on each", 2, 0.2),
		Entry("after 5 runs on each", 5, 0.12),
		Entry("after 20 runs on each", 20, 0.07),
		Entry("after 100 runs on each", 100, 0.07),
	)

	It("knows the rest of a step from the progress of some of its tasks", func() {
		// Guards against predictions that wait for the end of a run.
		p := newPlant(3, twoKinds()...)
		for range 40 {
			p.step(p.some(10)...)
		}
		stage := p.model.NewStage(kind, declared)
		for task, n := range []int{0, 1, 2, 3} {
			stage.Progress(p.now, p.workers[n], task, p.draw(2.4, n)/5, 20)
		}
		p.model.Update(p.now)
		predicted := p.model.Predict(kind, stage, p.workers[4], declared)
		Expect(predicted.Median.Seconds()).To(BeNumerically("~", 2.4*0.6/0.55, 0.6))
	})

	It("sees no spread among equal workers", func() {
		// Guards against placement by noise.
		for seed := range uint64(20) {
			p := newPlant(seed, equal(40)...)
			for range 100 {
				p.step(p.some(10)...)
				Expect(p.model.Spread().Wide).To(BeFalse(), "seed %d", seed)
			}
		}
	})

	It("follows a worker that becomes slower, and declared times that change", func() {
		p := newPlant(5, equal(20)...)
		for range 100 {
			p.step(p.some(10)...)
		}
		p.slowness[0], p.ratio = 1.6, 2
		for range 120 {
			p.step(p.some(10)...)
		}
		Expect(p.model.Slowness(p.workers[0])).To(BeNumerically("~", 1.6, 0.25))
		Expect(p.model.Predict(kind, nil, nil, declared).Median.Seconds()).To(BeNumerically("~", 1.2, 0.4))
	})

	It("notices a worker that is five times slower for 6 s, and forgives it", func() {
		// Guards against a mark that stays, and against slowness learned from a disturbance.
		for seed := range uint64(20) {
			p := newPlant(seed, equal(20)...)
			for range 40 {
				p.step(p.some(10)...)
			}
			usual := p.model.Slowness(p.workers[0])
			p.slowness[0], p.error = 5, 0
			withFirst := func() []int {
				workers := p.random.Perm(19)[:10]
				for i := range workers {
					workers[i]++
				}
				workers[0] = 0
				return workers
			}
			for n := range 4 {
				p.step(withFirst()...)
				if n >= 2 {
					Expect(p.model.Slowness(p.workers[0])).To(BeNumerically(">", 2.5), "seed %d, run %d", seed, n)
					Expect(p.workers[0].Disturbed()).To(BeTrue())
				}
			}
			p.slowness[0] = 1
			for range 2 {
				p.step(withFirst()...)
			}
			Expect(p.workers[0].Disturbed()).To(BeFalse(), "seed %d", seed)
			Expect(p.model.Slowness(p.workers[0])).To(BeNumerically("~", usual, 0.3), "seed %d", seed)
		}
	})

	It("forgives a disturbed worker that gets no work", func() {
		p := newPlant(7, equal(20)...)
		for range 20 {
			p.step(p.some(10)...)
		}
		p.slowness[0] = 5
		for range 3 {
			p.step(0, 1, 2, 3, 4, 5, 6, 7)
		}
		Expect(p.workers[0].Disturbed()).To(BeTrue())
		for range 6 {
			p.step(10, 11, 12, 13)
		}
		Expect(p.workers[0].Disturbed()).To(BeFalse())
	})

	It("keeps its predictions across a restore, and leaves out invalid values", func() {
		p := newPlant(9, twoKinds()...)
		for range 60 {
			p.step(p.some(10)...)
		}
		state := p.model.State()
		Expect(state.Change(p.model.State())).To(BeZero())
		next := newPlant(9, twoKinds()...)
		Expect(math.IsInf(state.Change(next.model.State()), 1)).To(BeTrue())
		state.Workers = append(state.Workers, learn.WorkerState{ID: "bad", Mean: math.NaN(), Variance: 1, Weight: 1})
		next.model.Restore(state)
		// The clock is the time since boot, so that the first update may come at any value.
		next.model.Update(time.Hour)
		Expect(next.slownessError()).To(BeNumerically("<", 0.15))
		Expect(next.model.Spread().Wide).To(BeTrue())
		Expect(next.model.Predict(kind, nil, nil, declared).Median).To(BeNumerically("~", p.model.Predict(kind, nil, nil, declared).Median, 100*time.Millisecond))
	})

	It("tries a slow worker again that gets no work", func() {
		// Guards against a worker that was slow once and is avoided for good.
		p := newPlant(13, twoKinds()...)
		for range 60 {
			p.step(p.some(10)...)
		}
		slow := p.model.Slowness(p.workers[0])
		p.now += 20 * time.Minute
		p.step(1, 2, 3)
		Expect(p.model.Slowness(p.workers[0])).To(BeNumerically("<", slow-0.4))
		Expect(p.workers[0].Certain()).To(BeFalse())
	})

	It("takes the workers with the same label as the prior of a new one", func() {
		p := newPlant(11)
		for n, slowness := range twoKinds() {
			p.slowness = append(p.slowness, slowness)
			p.workers = append(p.workers, p.model.AddWorker(fmt.Sprintf("w%03d", n), map[bool]string{true: "old", false: "new"}[n%4 == 0]))
		}
		for range 40 {
			p.step(p.some(10)...)
		}
		unknown := p.model.AddWorker("x", "old")
		p.now += time.Second
		p.model.Update(p.now)
		Expect(p.model.Slowness(unknown)).To(BeNumerically(">", 1.4))
		Expect(unknown.Known()).To(BeFalse())
	})
})
