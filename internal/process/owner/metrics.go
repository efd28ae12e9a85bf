package owner

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cairnbay"
)

func takeoverCounter(id cairnbay.ShardID, fromReplica bool) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`cairnbay_owner_takeovers_total{shard=%q,copied="%t"}`, id, fromReplica))
}

func fencedCounter(id cairnbay.ShardID) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`cairnbay_owner_fenced_total{shard=%q}`, id))
}

func labelsOf(job cairnbay.Job) cairnbay.Labels {
	return cairnbay.Labels{Kind: string(job.Kind), Band: job.Band.String(), Team: job.Team}
}

// recordStart records the wait of a confirmed start.
func (o *Owner) recordStart(job cairnbay.Job, waited time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf(`cairnbay_owner_wait_seconds{band=%q}`, job.Band)).Update(waited.Seconds())
	if o.config.Recorder != nil {
		o.config.Recorder.ObserveWait(labelsOf(job), waited)
	}
}

// recordMarkWait records how long a start waited for its mark.
func (o *Owner) recordMarkWait(waited time.Duration) {
	metrics.GetOrCreateHistogram("cairnbay_owner_mark_wait_seconds").Update(waited.Seconds())
	if o.config.OnMarkWait != nil {
		o.config.OnMarkWait(waited)
	}
}

// recordFinalState counts a task's final state and reports TaskUnknown as an
// exception.
func (o *Owner) recordFinalState(job cairnbay.Job, task cairnbay.TaskID, state cairnbay.TaskState) {
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
