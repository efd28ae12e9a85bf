package place_test

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnbay"
	"cairnbay/internal/process/place"
)

// pairedEngine makes the same calls on two engines and compares their decisions.
// It does not cover Adopt, because takeOver skips engines of other types.
type pairedEngine struct {
	*place.Engine
	other  *place.Engine
	report reporter
}

func (p pairedEngine) SetSettings(settings *cairnbay.Settings, now time.Duration) {
	p.Engine.SetSettings(settings, now)
	p.other.SetSettings(settings, now)
}

func (p pairedEngine) SetWorker(state cairnbay.WorkerState, now time.Duration) {
	p.Engine.SetWorker(state, now)
	p.other.SetWorker(state, now)
}

func (p pairedEngine) DropWorker(id string, now time.Duration) []cairnbay.TaskID {
	p.other.DropWorker(id, now)
	return p.Engine.DropWorker(id, now)
}

func (p pairedEngine) Enqueue(job cairnbay.Job, progress cairnbay.Progress, now time.Duration) error {
	_ = p.other.Enqueue(job, progress, now)
	return p.Engine.Enqueue(job, progress, now)
}

func (p pairedEngine) Cancel(id cairnbay.JobID, now time.Duration) []cairnbay.TaskView {
	p.other.Cancel(id, now)
	return p.Engine.Cancel(id, now)
}

func (p pairedEngine) Forget(id cairnbay.JobID) {
	p.other.Forget(id)
	p.Engine.Forget(id)
}

func (p pairedEngine) Started(task cairnbay.TaskID, attempt int, now time.Duration) {
	p.other.Started(task, attempt, now)
	p.Engine.Started(task, attempt, now)
}

func (p pairedEngine) NotStarted(task cairnbay.TaskID, attempt int, result cairnbay.StartResult, now time.Duration) {
	p.other.NotStarted(task, attempt, result, now)
	p.Engine.NotStarted(task, attempt, result, now)
}

func (p pairedEngine) Ended(worker string, end cairnbay.TaskEnd, now time.Duration) cairnbay.TaskState {
	p.other.Ended(worker, end, now)
	return p.Engine.Ended(worker, end, now)
}

func (p pairedEngine) Explain(id cairnbay.JobID, now time.Duration) (cairnbay.Explanation, error) {
	_, _ = p.other.Explain(id, now)
	return p.Engine.Explain(id, now)
}

func (p pairedEngine) Decide(now time.Duration, limit int) []cairnbay.Decision {
	decisions := p.Engine.Decide(now, limit)
	if otherDecisions := p.other.Decide(now, limit); !reflect.DeepEqual(decisions, otherDecisions) {
		p.report.Fatalf("the same calls led to %+v and to %+v", decisions, otherDecisions)
	}
	return decisions
}

func TestSameCallsSameDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := place.Config{Shard: "s"}
		driver := newCallDriver(t, t, pairedEngine{Engine: place.New(config), other: place.New(config), report: t})
		t.Repeat(driver.actions())
	})
}
