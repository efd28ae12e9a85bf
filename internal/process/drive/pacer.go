package drive

import "time"

// pacer bounds the starts that wait for their answers, so that answers are handled
// well before their calls time out. Otherwise an owner that is short of processor time
// repeats orders that were carried out, and has less time for all others.
type pacer struct {
	// inFlight counts the starts that are neither answered nor silent for longer than
	// the first timeout, so that workers that are cut off do not hold up the others.
	inFlight int
	// limit bounds inFlight, between minStartsInFlight and maxStartsInFlight.
	limit float64
	// latency is the moving average of the time that answers take.
	latency time.Duration
}

const (
	// maxStartsInFlight is reached only while answers are fast. More would start
	// urgent tasks after tasks that were less urgent when they became ready.
	maxStartsInFlight = 64
	// minStartsInFlight keeps a few workers busy at any latency.
	minStartsInFlight = 4
	// targetStartLatency is the average time of an answer above which the limit falls.
	// It is well below startTimeout, since single answers take longer.
	targetStartLatency = startTimeout / 3
	// latencyWeight is the inverse weight of one answer in the average, and of one slow
	// answer in the fall of the limit.
	latencyWeight = 16
	// limitRise is what the limit rises by with each answer in time.
	limitRise = 0.25
)

func newPacer() pacer {
	return pacer{limit: maxStartsInFlight}
}

// free is how many more starts may be ordered.
func (p *pacer) free() int {
	return int(p.limit) - p.inFlight
}

// answered notes an answer that took a time.
func (p *pacer) answered(took time.Duration) {
	p.latency += (took - p.latency) / latencyWeight
	if p.latency > targetStartLatency {
		p.limit = max(p.limit-p.limit/latencyWeight, minStartsInFlight)
		return
	}
	p.limit = min(p.limit+limitRise, maxStartsInFlight)
}
