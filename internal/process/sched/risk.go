package sched

import "time"

const (
	// riskSmoothing is the weight of one start in the share of a queue's starts that
	// crash their workers.
	riskSmoothing = 0.02
	// maxQueueRisk is the share from which every start of the queue is on trial.
	maxQueueRisk = 0.1
	// riskTime is how long after a crash the tasks of the suspects' queues are placed
	// where a crash harms few jobs.
	riskTime = 10 * time.Second
)

// queueRisk is what is known of a queue of which some tasks crash their workers.
type queueRisk struct {
	// until is when its tasks cease to be placed where a crash harms few jobs.
	until time.Duration
	// share is the share of its starts that crash their workers, an exponential moving
	// average.
	share float64
}

// riskRaise is what a crash has added to the share of a queue.
type riskRaise struct {
	queue *queueRisk
	added float64
}

// raise counts a start that has crashed its worker with a probability.
func (r *queueRisk) raise(probability float64) riskRaise {
	added := riskSmoothing * (probability - r.share)
	r.share += added
	return riskRaise{queue: r, added: added}
}

// undo takes the raise back, as far as later starts have not outweighed it.
func (r riskRaise) undo() {
	r.queue.share = max(r.queue.share-r.added, 0)
}

// queueRisk returns the risk of the stage's queue, and adds it where it is missing.
func (c *Core) queueRisk(stage *stage) *queueRisk {
	name := stage.job.workflow.Queue.Name
	if c.queueRisks[name] == nil {
		c.queueRisks[name] = &queueRisk{}
	}
	return c.queueRisks[name]
}

// observeHarmlessStart counts an attempt that has not crashed its worker in the share of
// its queue, once.
func (c *Core) observeHarmlessStart(a *attempt) {
	if a.harmless || a.stage == nil {
		return
	}
	a.harmless = true
	if queue := c.queueRisks[a.stage.job.workflow.Queue.Name]; queue != nil {
		queue.share -= riskSmoothing * queue.share
	}
}

// otherJobs counts the jobs beside a given one that have attempts on the worker.
func (w *worker) otherJobs(given *job) int {
	jobs := make(map[*job]struct{})
	for _, attempt := range w.attempts {
		if attempt.stage != nil && attempt.stage.job != given {
			jobs[attempt.stage.job] = struct{}{}
		}
	}
	return len(jobs)
}
