// Package learn predicts the run time of tasks from earlier runs. The logarithm of a
// run time is the sum of the declared time, the ratio of its kind or of its stage, the
// slowness of its worker and noise. Predictions only affect decisions; they neither
// reserve resources nor end tasks. The package has no clock; points in time are passed
// in.
package learn

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// Kind identifies tasks that are expected to have similar ratios of run time to
// declared time.
type Kind struct {
	Queue, Image string
	// Width is the width class of the step, see WidthClass.
	Width int
}

// WidthClass is the width class of a step with this many tasks: steps of one class
// differ by less than a factor of two.
func WidthClass(tasks int) int {
	return bits.Len(uint(max(tasks, 0)))
}

// Prediction is the predicted distribution of a run time. High is its 90th
// percentile.
type Prediction struct {
	Median, High time.Duration
}

const (
	// maxKinds and maxWorkers bound the memory; the least recently used is evicted.
	maxKinds   = 1000
	maxWorkers = 2000
	// priorBetween is the variance of the ratio among the stages of a kind before any is
	// known: declared times are off by up to 2.5 either way, spread evenly.
	priorBetween = 0.28
	// priorNoise is the variance among the tasks of one stage before any is known, which
	// differ by 15 to 30 %.
	priorNoise = 0.04
	// minVariance bounds the learned variances, 2 % each, against division by next to
	// nothing.
	minVariance = 0.0004
	// priorStages is the weight of the declared time in the mean of a kind, in stages.
	// priorSpread and priorTasks are those of the prior variances, in stages and in tasks.
	// The latter is high: until the workers are known, their differences look like noise.
	priorStages = 0.25
	priorSpread = 4.0
	priorTasks  = 40.0
	// maxStages and maxTasks bound the weight of earlier stages and tasks, so that older
	// ones decay.
	maxStages = 25.0
	maxTasks  = 100.0
	// highScore is the 90th percentile of the standard normal distribution.
	highScore = 1.2816
	// summaryPeriod is how often the workers are compared with each other.
	summaryPeriod = 500 * time.Millisecond
)

// Model holds what is known of kinds and workers. It is not safe for concurrent use.
type Model struct {
	kinds *lru.LRU[Kind, *kindRatio]
	// workers holds all workers, listed those that are present, in order of ID.
	workers *lru.LRU[string, *Worker]
	listed  []*Worker
	// dirtyStages and dirtyWorkers are evaluated by the next Update.
	dirtyStages  []*Stage
	dirtyWorkers []*Worker
	// summarisedAt is when the fields below were computed; changed says that a worker has
	// changed since.
	summarisedAt time.Duration
	changed      bool
	// meanSlowness is the mean over the listed workers.
	meanSlowness float64
	spread       Spread
	// observations counts finished runs, for Observations.
	observations uint64
}

// Spread describes how the present workers differ. Fast and Slow are the mean slowness
// of the fastest and of the slowest quarter, relative to the mean of all. Both are 1
// unless the difference is certainly above 10 %.
type Spread struct {
	Fast, Slow float64
	Wide       bool
}

// kindRatio is the distribution of the ratio of a kind, in logarithms.
type kindRatio struct {
	mean, between, noise float64
	// stages and tasks are the weights of mean and between, and of noise.
	stages, tasks float64
}

// New returns a model without observations.
func New() *Model {
	return &Model{kinds: newLRU[Kind, *kindRatio](maxKinds), workers: newLRU[string, *Worker](maxWorkers), spread: Spread{Fast: 1, Slow: 1}}
}

func newLRU[K comparable, V any](size int) *lru.LRU[K, V] {
	cache, err := lru.NewLRU[K, V](size, nil)
	if err != nil {
		// NewLRU fails only for a size below 1, and the sizes are constants.
		panic(err)
	}
	return cache
}

func (m *Model) kind(key Kind) *kindRatio {
	if known, ok := m.kinds.Get(key); ok {
		return known
	}
	added := &kindRatio{between: priorBetween, noise: priorNoise, stages: priorStages, tasks: priorTasks}
	m.kinds.Add(key, added)
	return added
}

// add counts the ratio of a stage that has a variance of its own.
func (k *kindRatio) add(ratio, variance float64) {
	before := ratio - k.mean
	k.stages = min(k.stages+1, maxStages)
	share := 1 / k.stages
	k.mean += share * before
	observed := max(before*(ratio-k.mean)-variance, 0)
	k.between = max(k.between+(observed-k.between)/(k.stages+priorSpread), minVariance)
}

// addNoise counts the squared deviation of a task from its stage.
func (k *kindRatio) addNoise(square float64) {
	k.tasks = min(k.tasks+1, maxTasks)
	k.noise = max(k.noise+(square-k.noise)/k.tasks, minVariance)
}

// uncertainty is the variance of the ratio of a stage of which no run is known.
func (k *kindRatio) uncertainty() float64 {
	return k.between * (1 + 1/k.stages)
}

// Predict predicts the run time of a task of a kind. A stage or a worker that is nil is
// not known; without a worker, it is that on the mean worker. The prediction is the
// declared time if nothing is known.
func (m *Model) Predict(key Kind, stage *Stage, worker *Worker, declared time.Duration) Prediction {
	ratio, variance := 0.0, priorBetween+priorNoise
	if stage != nil {
		ratio, variance = stage.ratio, stage.variance+stage.kind.noise
	} else if known, ok := m.kinds.Get(key); ok {
		ratio, variance = known.mean, known.uncertainty()+known.noise
	}
	if worker != nil {
		ratio += worker.present()
		variance += worker.variance
	} else {
		ratio += m.meanSlowness
	}
	median := scale(declared, ratio)
	return Prediction{median, scale(median, highScore*math.Sqrt(variance))}
}

// scale multiplies a duration by the exponential of a logarithm.
func scale(duration time.Duration, logarithm float64) time.Duration {
	if logarithm == 0 {
		return duration
	}
	return time.Duration(float64(duration) * math.Exp(logarithm))
}

// Slowness is the factor by which a worker takes longer than the mean worker, now.
func (m *Model) Slowness(worker *Worker) float64 {
	return math.Exp(worker.present() - m.meanSlowness)
}

// Spread describes how the present workers differ.
func (m *Model) Spread() Spread {
	return m.spread
}

// Observations counts the finished runs so far.
func (m *Model) Observations() uint64 {
	return m.observations
}

// Update evaluates the runs reported since the last call. Workers are seen against the
// other tasks of the same stage, whose declared time is wrong by the same factor.
func (m *Model) Update(now time.Duration) {
	for _, stage := range m.dirtyStages {
		stage.dirty = false
		stage.evaluate()
		for _, seen := range stage.runs {
			m.touch(seen.worker)
		}
	}
	m.dirtyStages = m.dirtyStages[:0]
	for _, worker := range m.dirtyWorkers {
		worker.dirty = false
		worker.evaluate(now)
		m.changed = true
	}
	m.dirtyWorkers = m.dirtyWorkers[:0]
	if now-m.summarisedAt >= summaryPeriod && m.changed {
		m.summarisedAt, m.changed = now, false
		m.summarise(now)
	}
}

func (m *Model) touch(worker *Worker) {
	if !worker.dirty {
		worker.dirty = true
		m.dirtyWorkers = append(m.dirtyWorkers, worker)
	}
}

const (
	// minKnownWorkers is the number of workers that must be known for a comparison.
	minKnownWorkers = 4
	// minSpread is the difference of the quarters from which it matters, 10 %.
	minSpread = 0.0953
	// quarterDistance is the distance of the means of the highest and lowest quarter of a
	// normal distribution, in standard deviations, and distanceError the deviation of that
	// distance among few workers, as a factor of the inverse root of their number.
	quarterDistance = 2.54
	distanceError   = 2.0
)

// summarise compares the present workers. The error of the estimates alone makes
// quarters of equal workers differ, and that much does not count.
func (m *Model) summarise(now time.Duration) {
	known := make([]float64, 0, len(m.listed))
	total, uncertainty := 0.0, 0.0
	m.updatePriors()
	for _, worker := range m.listed {
		worker.evaluate(now)
		total += worker.slowness
		if worker.known() {
			known = append(known, worker.slowness)
			uncertainty += worker.variance
		}
	}
	m.spread = Spread{Fast: 1, Slow: 1}
	if len(m.listed) == 0 {
		m.meanSlowness = 0
		return
	}
	m.meanSlowness = total / float64(len(m.listed))
	if len(known) < minKnownWorkers {
		return
	}
	slices.Sort(known)
	quarter := max(len(known)/4, 1)
	fast, slow := mean(known[:quarter]), mean(known[len(known)-quarter:])
	count := float64(len(known))
	byError := quarterDistance * (1 + distanceError/math.Sqrt(count)) * math.Sqrt(uncertainty/count)
	if square := (slow-fast)*(slow-fast) - byError*byError; square > minSpread*minSpread {
		m.spread = Spread{Fast: math.Exp(fast - m.meanSlowness), Slow: math.Exp(slow - m.meanSlowness), Wide: true}
	}
}

func mean(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total / float64(len(values))
}

// updatePriors sets the prior of each worker to the median of the known workers with
// the same label.
func (m *Model) updatePriors() {
	byLabel := make(map[string][]float64)
	for _, worker := range m.listed {
		if worker.label != "" && worker.known() {
			byLabel[worker.label] = append(byLabel[worker.label], worker.slowness)
		}
	}
	for label, values := range byLabel {
		if len(values) < minKnownWorkers {
			delete(byLabel, label)
			continue
		}
		slices.Sort(values)
	}
	for _, worker := range m.listed {
		worker.prior = 0
		if values := byLabel[worker.label]; len(values) > 0 {
			worker.prior = values[len(values)/2]
		}
	}
}

// AddWorker returns the worker with an ID and marks it as present. Label is its first
// label, whose other workers are its prior; it may be empty.
func (m *Model) AddWorker(id, label string) *Worker {
	added, ok := m.workers.Get(id)
	if !ok {
		added = &Worker{id: id, variance: priorSlowness}
		m.workers.Add(id, added)
	}
	added.label = label
	index, found := slices.BinarySearchFunc(m.listed, id, func(w *Worker, id string) int { return cmp.Compare(w.id, id) })
	if !found {
		m.listed = slices.Insert(m.listed, index, added)
	}
	m.changed = true
	return m.listed[min(index, len(m.listed)-1)]
}

// RemoveWorker excludes a worker from the comparison; what is known of it remains.
func (m *Model) RemoveWorker(id string) {
	m.listed = slices.DeleteFunc(m.listed, func(w *Worker) bool { return w.id == id })
	m.changed = true
}

// Observe counts a finished run of which neither worker nor stage is known.
func (m *Model) Observe(key Kind, declared, ran time.Duration) {
	if declared > 0 && ran > 0 {
		m.observations++
		m.kind(key).add(math.Log(float64(ran)/float64(declared)), 0)
	}
}

// Knows reports whether any run of a kind has been counted.
func (m *Model) Knows(key Kind) bool {
	known, ok := m.kinds.Peek(key)
	return ok && known.stages > priorStages
}
