package drive

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/learn"
	"cairnbay/internal/process/sched"
)

const (
	// learnedPeriod is the least interval between records of learned run times.
	learnedPeriod = 10 * time.Second
	// minLearnedChange is the change of a ratio, in logarithms, below which no record is
	// written; 5 %.
	minLearnedChange = 0.05
	// maxLearnedBytes bounds a record of learned run times.
	maxLearnedBytes = 32 << 10
)

// journaledRunTimes is what the journal says of run times, and when that was written.
type journaledRunTimes struct {
	at    time.Duration
	state learn.State
}

// journalLearned stores what is known of run times if it has changed. Without it the next
// owner knows less. The caller holds the lock.
func (d *Drive) journalLearned() {
	now := d.config.BootTime()
	if !d.config.Sched.Learn.Any() || now-d.learned.at < learnedPeriod {
		return
	}
	d.learned.at = now
	if state := d.core.LearnedState(); state.Change(d.learned.state) > minLearnedChange {
		d.writer.Append(d.learnedRecords(state), d.logStoreFailure("learned run times"))
		d.config.Log.WithFields(logrus.Fields{"kinds": len(state.Kinds), "workers": len(state.Workers)}).Debug("learned run times journaled")
	}
}

// learnedRecords returns the record of a state, none for an empty one; the caller holds
// the lock.
func (d *Drive) learnedRecords(state learn.State) []*cairnbayv1.WorkRecord {
	d.learned.state = state
	if len(state.Kinds) == 0 && len(state.Workers) == 0 {
		return nil
	}
	return []*cairnbayv1.WorkRecord{{Learned: encodeLearned(state)}}
}

// encodeLearned returns the message of a state. What exceeds maxLearnedBytes is left out.
func encodeLearned(state learn.State) *cairnbayv1.LearnedRunTimes {
	// framing bounds the bytes of a field's tag and length.
	const framing = 6
	message, size := &cairnbayv1.LearnedRunTimes{}, 0
	fits := func(row proto.Message) bool {
		size += proto.Size(row) + framing
		return size <= maxLearnedBytes
	}
	for _, worker := range state.Workers {
		row := &cairnbayv1.LearnedWorker{
			Id: worker.ID, Mean: float32(worker.Mean), Variance: float32(worker.Variance), Weight: float32(worker.Weight),
		}
		if !fits(row) {
			return message
		}
		message.Workers = append(message.Workers, row)
	}
	for _, kind := range state.Kinds {
		row := &cairnbayv1.LearnedKind{
			Queue: kind.Kind.Queue, Image: kind.Kind.Image, WidthClass: uint32(kind.Kind.Width),
			Mean: float32(kind.Mean), Variance: float32(kind.Variance), Weight: float32(kind.Weight),
		}
		if !fits(row) {
			return message
		}
		message.Kinds = append(message.Kinds, row)
	}
	return message
}

func decodeLearned(message *cairnbayv1.LearnedRunTimes) (state learn.State) {
	for _, row := range message.GetKinds() {
		state.Kinds = append(state.Kinds, learn.KindState{
			Kind: learn.Kind{Queue: row.GetQueue(), Image: row.GetImage(), Width: int(row.GetWidthClass())},
			Mean: float64(row.GetMean()), Variance: float64(row.GetVariance()), Weight: float64(row.GetWeight()),
		})
	}
	for _, row := range message.GetWorkers() {
		state.Workers = append(state.Workers, learn.WorkerState{
			ID: row.GetId(), Mean: float64(row.GetMean()), Variance: float64(row.GetVariance()), Weight: float64(row.GetWeight()),
		})
	}
	return state
}

// restoreLearned starts from what a former owner journaled; the caller holds the lock.
func (d *Drive) restoreLearned(message *cairnbayv1.LearnedRunTimes) {
	d.learned = journaledRunTimes{at: d.config.BootTime(), state: decodeLearned(message)}
	d.core.RestoreLearned(d.learned.state)
}

// reportPrediction counts a start by what its predicted run time is based on, and logs a
// start that the speed of the workers has moved.
func (d *Drive) reportPrediction(start *sched.StartAction) {
	if start.PredictedFrom == "" {
		return
	}
	d.meters.counter("cairnbay_run_time_predictions_total", fmt.Sprintf(",from=%q", start.PredictedFrom)).Inc()
	if start.UsualWorker == "" {
		return
	}
	d.meters.counter("cairnbay_starts_moved_by_speed_total", "").Inc()
	if d.config.Log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		d.config.Log.WithFields(logrus.Fields{
			"job": start.Task.Job, "task": taskIndexes(start.Task), "attempt": start.Attempt, "worker": start.Target.Worker,
			"usual_worker": start.UsualWorker, "predicted_ms": start.Predicted.Milliseconds(), "from": start.PredictedFrom,
		}).Debug("placement changed by learned run times")
	}
}

// reportRunTime compares the run time of an attempt with its prediction.
func (m meters) reportRunTime(ended sched.AttemptEnd) {
	if ended.Predicted > 0 && ended.RunTime > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf("cairnbay_run_time_ratio{shard=%q,queue=%q}", m.shard, ended.Queue)).
			Update(ended.RunTime.Seconds() / ended.Predicted.Seconds())
	}
}
