package owner

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cairnbay"
)

func takeovers(id cairnbay.ShardID, copied bool) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`cairnbay_owner_takeovers_total{shard=%q,copied="%t"}`, id, copied))
}

func fencedTotal(id cairnbay.ShardID) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`cairnbay_owner_fenced_total{shard=%q}`, id))
}

func labelsOf(job cairnbay.Job) cairnbay.Labels {
	return cairnbay.Labels{Kind: string(job.Kind), Band: job.Band.String(), Team: job.Team}
}

// observe records a confirmed start.
func (o *Owner) observe(job cairnbay.Job, waited time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf(`cairnbay_owner_wait_seconds{band=%q}`, job.Band)).Update(waited.Seconds())
	if o.config.Recorder != nil {
		o.config.Recorder.ObserveWait(labelsOf(job), waited)
	}
}

// markWaited records how long a start waited for its mark.
func (o *Owner) markWaited(waited time.Duration) {
	metrics.GetOrCreateHistogram("cairnbay_owner_mark_wait_seconds").Update(waited.Seconds())
	if o.config.OnMarkWait != nil {
		o.config.OnMarkWait(waited)
	}
}

// finished records a task's final state; an unknown one is kept in full.
func (o *Owner) finished(job cairnbay.Job, task cairnbay.TaskID, state cairnbay.TaskState) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`cairnbay_owner_tasks_total{state=%q}`, state)).Inc()
	if o.config.Recorder == nil {
		return
	}
	o.config.Recorder.CountOutcome(labelsOf(job), string(state))
	if state == cairnbay.TaskUnknown {
		o.config.Recorder.RecordException(cairnbay.Exception{
			UnixMS: o.config.Clock.Wall().UnixMilli(), Name: "task_unknown", Promise: cairnbay.PromiseAtMostOnce,
			Fields: map[string]string{"task": task.String()},
		})
	}
}
