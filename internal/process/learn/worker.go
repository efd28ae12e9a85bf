package learn

import (
	"math"
	"time"
)

// Worker is what is known of the speed of one worker, in logarithms of the time that it
// takes relative to others.
type Worker struct {
	id, label string
	// prior is the slowness that is expected of the worker without its runs.
	prior float64
	// weights and total are the sums of the folded runs.
	weights, total float64
	// runs are those of stages that are not closed, and the latest others, oldest first.
	runs  []*observation
	dirty bool
	// evaluatedAt is when the estimate was made, 0 for a restored one.
	evaluatedAt time.Duration
	// inStage is used while a stage is evaluated.
	inStage stageShare
	// slowness is the usual slowness, variance that of its estimate.
	slowness, variance float64
	// usual and usualVariance are the same without the runs.
	usual, usualVariance float64
	// disturbedBy is the slowness beyond the usual one while the worker is disturbed, 0
	// otherwise. It was last seen at disturbedAt, and first at disturbedSince.
	disturbedBy                 float64
	disturbedAt, disturbedSince time.Duration
}

// stageShare is the part that the runs on one worker have in a stage.
type stageShare struct {
	runs, weight, total float64
}

const (
	// priorSlowness is the variance of the slowness of workers before any run: a quarter of
	// the workers at 0.55 and the others at 1.2 times the usual speed.
	priorSlowness = 0.12
	// certainVariance is that of an error of 15 %.
	certainVariance = 0.0225
	// maxWeight bounds the weight of folded runs, to about those of the last 20.
	maxWeight = 400.0
	// outlierScore bounds the deviation with which a run counts, in standard deviations.
	outlierScore = 3.0
	// minDisturbance is the least slowness beyond the usual one of a disturbed worker, a
	// factor of two; disturbances are a factor of five.
	minDisturbance = 0.693
	// disturbedRuns is the number of runs in a row that show a disturbance. A single task
	// may be long by itself.
	disturbedRuns = 2
	// disturbedTime is how long a worker counts as disturbed after the last slow run was
	// seen. Without new work, it is tried again then.
	disturbedTime = 3 * time.Second
	// maxDisturbance is the time after which a worker that is still disturbed is taken to
	// be slow. Disturbances last about 6 s.
	maxDisturbance = 20 * time.Second
	// slownessHalfLife is the time in which folded runs lose half their weight, so that a
	// worker that gets no work because it was slow is tried again.
	slownessHalfLife = 2 * time.Minute
	// maxOpenRuns bounds the runs that are kept, and foldAge their age once their stage is
	// closed. Until then they are compared with later ones.
	maxOpenRuns = 32
	foldAge     = 5 * time.Second
)

// known reports whether any run of the worker has been evaluated.
func (w *Worker) known() bool {
	return w.variance < priorSlowness
}

// Known reports whether any run of the worker has been evaluated.
func (w *Worker) Known() bool {
	return w.known()
}

// Certain reports whether the slowness is known to about 15 %.
func (w *Worker) Certain() bool {
	return w.variance < certainVariance
}

// Disturbed reports whether the worker is much slower than usual.
func (w *Worker) Disturbed() bool {
	return w.disturbedBy > 0
}

// present is the slowness now.
func (w *Worker) present() float64 {
	return w.slowness + w.disturbedBy
}

func (w *Worker) add(seen *observation) {
	if len(w.runs) >= maxOpenRuns {
		if oldest := w.runs[0]; oldest.final {
			w.fold(oldest)
		}
		w.remove(w.runs[0])
	}
	w.runs = append(w.runs, seen)
}

func (w *Worker) remove(seen *observation) {
	for i, other := range w.runs {
		if other == seen {
			w.runs = append(w.runs[:i:i], w.runs[i+1:]...)
			return
		}
	}
}

// fold adds a run to the sums of the worker.
func (w *Worker) fold(seen *observation) {
	if seen.ignored || !seen.evaluated {
		return
	}
	weight := 1 / seen.residualVariance
	w.weights += weight
	w.total += weight * w.bounded(seen)
	if excess := w.weights / maxWeight; excess > 1 {
		w.weights /= excess
		w.total /= excess
	}
}

// bounded is the slowness by a run, not further from the usual one than is likely.
func (w *Worker) bounded(seen *observation) float64 {
	limit := outlierScore * math.Sqrt(seen.residualVariance+w.usualVariance)
	return min(max(seen.residual, w.usual-limit), w.usual+limit)
}

// evaluate estimates the slowness from the prior, the folded and the open runs.
func (w *Worker) evaluate(now time.Duration) {
	for len(w.runs) > 0 && w.runs[0].stage.closed && now-w.runs[0].at > foldAge {
		w.fold(w.runs[0])
		w.runs = w.runs[1:]
	}
	// Restored runs have no time; their weight was reduced by the restore.
	if w.evaluatedAt > 0 && now > w.evaluatedAt {
		decay := math.Exp2(-float64(now-w.evaluatedAt) / float64(slownessHalfLife))
		w.weights *= decay
		w.total *= decay
	}
	w.evaluatedAt = now
	weights, total := 1/priorSlowness+w.weights, w.prior/priorSlowness+w.total
	w.usual, w.usualVariance = total/weights, 1/weights
	w.detectDisturbance(now)
	for _, seen := range w.runs {
		if seen.ignored || !seen.evaluated {
			continue
		}
		weight := 1 / seen.residualVariance
		weights += weight
		total += weight * w.bounded(seen)
	}
	w.slowness, w.variance = total/weights, 1/weights
}

// beyond is the slowness of a run beyond the usual one, and whether it is more than chance
// explains.
func (w *Worker) beyond(seen *observation) (excess float64, slow bool) {
	excess = seen.residual - w.usual
	return excess, excess > max(minDisturbance, outlierScore*math.Sqrt(seen.residualVariance+w.usualVariance))
}

// detectDisturbance marks the worker as disturbed if its latest runs are all much
// slower than usual, and clears the mark if the latest one is not, or after a time. The
// runs of a disturbed worker are ignored, unless it stays slow.
func (w *Worker) detectDisturbance(now time.Duration) {
	normal := time.Duration(-1)
	for _, seen := range w.runs {
		if _, slow := w.beyond(seen); seen.evaluated && !slow {
			seen.ignored = false
			normal = max(normal, seen.at)
		}
	}
	count, total, latest := 0, 0.0, time.Duration(0)
	for _, seen := range w.runs {
		if excess, slow := w.beyond(seen); seen.evaluated && slow && seen.at > normal {
			count++
			total += excess
			latest = max(latest, seen.at)
		}
	}
	switch {
	case count >= disturbedRuns && now-latest <= disturbedTime:
		if w.disturbedBy == 0 && now-w.disturbedAt > 2*disturbedTime {
			w.disturbedSince = now
		}
		w.disturbedBy, w.disturbedAt = total/float64(count), now
		w.ignoreSlow(now, normal)
	case count == 0 || now-w.disturbedAt > disturbedTime:
		w.disturbedBy = 0
	}
}

// ignoreSlow ignores the runs since the last normal one. A worker that is slow for longer
// than a disturbance lasts has become slow: what was known of it is discarded.
func (w *Worker) ignoreSlow(now, normal time.Duration) {
	if now-w.disturbedSince > maxDisturbance {
		w.weights, w.total, w.disturbedBy = 0, 0, 0
		w.disturbedSince = now
		for _, seen := range w.runs {
			seen.ignored = false
		}
		return
	}
	for _, seen := range w.runs {
		if seen.at > normal {
			seen.ignored = true
		}
	}
}
