package learn

import "math"

// State is what one owner passes to the next, in logarithms.
type State struct {
	Kinds   []KindState
	Workers []WorkerState
}

// KindState is the ratio of run time to declared time of a kind.
type KindState struct {
	Kind                   Kind
	Mean, Variance, Weight float64
}

// WorkerState is the usual slowness of a worker relative to the mean.
type WorkerState struct {
	ID                     string
	Mean, Variance, Weight float64
}

const (
	// maxStateKinds and maxStateWorkers bound a State: at up to 60 bytes each it stays
	// below 32 KB.
	maxStateKinds   = 50
	maxStateWorkers = 300
	// restoredShare is the share of its weight that restored state has, since some of it
	// is out of date.
	restoredShare = 0.5
)

// State returns what is known of the kinds used last and of the present workers.
func (m *Model) State() State {
	var state State
	keys := m.kinds.Keys()
	for i := len(keys) - 1; i >= 0 && len(state.Kinds) < maxStateKinds; i-- {
		if kind, ok := m.kinds.Peek(keys[i]); ok && kind.stages > priorStages {
			state.Kinds = append(state.Kinds, KindState{keys[i], kind.mean, kind.between, kind.stages})
		}
	}
	for _, worker := range m.listed {
		if worker.known() && len(state.Workers) < maxStateWorkers {
			state.Workers = append(state.Workers, WorkerState{
				worker.id, worker.slowness - m.meanSlowness, worker.variance, 1/worker.variance - 1/priorSlowness,
			})
		}
	}
	return state
}

// Restore replaces what is known by an earlier state. Invalid values are left out. The
// workers that the state names need not be present.
func (m *Model) Restore(state State) {
	m.kinds.Purge()
	for _, restored := range state.Kinds {
		if !valid(restored.Mean, restored.Variance, restored.Weight) {
			continue
		}
		kind := m.kind(restored.Kind)
		kind.mean, kind.between = restored.Mean, max(restored.Variance, minVariance)
		kind.stages = min(max(restored.Weight*restoredShare, priorStages), maxStages)
	}
	for _, restored := range state.Workers {
		if !valid(restored.Mean, restored.Variance, restored.Weight) {
			continue
		}
		worker, ok := m.workers.Get(restored.ID)
		if !ok {
			worker = &Worker{id: restored.ID}
			m.workers.Add(restored.ID, worker)
		}
		worker.weights = min(restored.Weight*restoredShare, maxWeight)
		worker.total = worker.weights * restored.Mean
		worker.evaluate(m.summarisedAt)
	}
	m.changed = true
}

// valid reports whether the values can have come from a State.
func valid(mean, variance, weight float64) bool {
	const maxRatio = 7.0 // A factor of about 1100 either way.
	return math.Abs(mean) <= maxRatio && variance > 0 && variance < math.MaxFloat32 && weight >= 0 && weight < math.MaxFloat32
}

// Change is a measure of how much the state differs from an earlier one: the largest
// difference of a mean in logarithms, infinite if a kind or a worker is new.
func (state State) Change(earlier State) float64 {
	kinds := make(map[Kind]float64, len(earlier.Kinds))
	for _, kind := range earlier.Kinds {
		kinds[kind.Kind] = kind.Mean
	}
	workers := make(map[string]float64, len(earlier.Workers))
	for _, worker := range earlier.Workers {
		workers[worker.ID] = worker.Mean
	}
	largest := 0.0
	note := func(mean, before float64, known bool) {
		if !known {
			largest = math.Inf(1)
		}
		largest = max(largest, math.Abs(mean-before))
	}
	for _, kind := range state.Kinds {
		before, known := kinds[kind.Kind]
		note(kind.Mean, before, known)
	}
	for _, worker := range state.Workers {
		before, known := workers[worker.ID]
		note(worker.Mean, before, known)
	}
	return largest
}
