package place_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnbay"
	"cairnbay/internal/process/place"
)

// finding is a violation that the oracle reports.
type finding string

// panicReporter panics with the finding, which ends the run.
type panicReporter struct{}

func (panicReporter) Fatalf(format string, arguments ...any) {
	panic(finding(fmt.Sprintf(format, arguments...)))
}

// doubleCapacity reports twice the capacity of each worker to the engine.
type doubleCapacity struct{ *place.Engine }

func (d doubleCapacity) SetWorker(state cairnbay.WorkerState, now time.Duration) {
	state.Capacity = state.Capacity.Times(2)
	d.Engine.SetWorker(state, now)
}

// Free returns the true amounts, so that checkFree does not find the defect.
func (d doubleCapacity) Free() (free, total cairnbay.Resources) {
	doubleFree, double := d.Engine.Free()
	total = cairnbay.Resources{
		MilliCPU: double.MilliCPU / 2, MemoryMB: double.MemoryMB / 2, Accelerators: double.Accelerators / 2,
	}
	return total.Sub(double.Sub(doubleFree)), total
}

// lostRelease ignores the ends of failed tasks.
type lostRelease struct{ *place.Engine }

func (d lostRelease) Ended(worker string, end cairnbay.TaskEnd, now time.Duration) cairnbay.TaskState {
	if end.Reason == cairnbay.EndFailed {
		return cairnbay.TaskFailed
	}
	return d.Engine.Ended(worker, end, now)
}

// splitGang drops the last start of each Decide.
type splitGang struct{ *place.Engine }

func (d splitGang) Decide(now time.Duration, limit int) []cairnbay.Decision {
	decisions := d.Engine.Decide(now, limit)
	if last := len(decisions) - 1; last > 0 && decisions[last].Kind == cairnbay.DecideStart {
		d.NotStarted(decisions[last].Task, decisions[last].Attempt, "", now)
		return decisions[:last]
	}
	return decisions
}

// runsAgain ignores that a task must not run twice.
type runsAgain struct{ *place.Engine }

func (d runsAgain) Enqueue(job cairnbay.Job, progress cairnbay.Progress, now time.Duration) error {
	job.AtMostOnce = false
	return d.Engine.Enqueue(job, progress, now)
}

// noQuotas ignores quotas.
type noQuotas struct{ *place.Engine }

func (d noQuotas) SetSettings(settings *cairnbay.Settings, now time.Duration) {
	changed := *settings
	changed.Branches = make(map[string]*cairnbay.Branch)
	for path, branch := range settings.Branches {
		unlimited := *branch
		unlimited.Placing.Quota = cairnbay.Resources{}
		changed.Branches[path] = &unlimited
	}
	d.Engine.SetSettings(&changed, now)
}

// earlyRelease frees the capacity of a task while its worker is unreachable.
type earlyRelease struct{ *place.Engine }

func (d earlyRelease) SetWorker(state cairnbay.WorkerState, now time.Duration) {
	if !state.Usable {
		d.DropWorker(state.ID, now)
	}
	d.Engine.SetWorker(state, now)
}

func TestOracleFindsDefects(t *testing.T) {
	defects := map[string]func(*place.Engine) cairnbay.Placer{
		"double_capacity": func(engine *place.Engine) cairnbay.Placer { return doubleCapacity{engine} },
		"lost_release":    func(engine *place.Engine) cairnbay.Placer { return lostRelease{engine} },
		"split_gang":      func(engine *place.Engine) cairnbay.Placer { return splitGang{engine} },
		"runs_again":      func(engine *place.Engine) cairnbay.Placer { return runsAgain{engine} },
		"no_quotas":       func(engine *place.Engine) cairnbay.Placer { return noQuotas{engine} },
		"early_release":   func(engine *place.Engine) cairnbay.Placer { return earlyRelease{engine} },
	}
	for name, addDefect := range defects {
		t.Run(name, func(t *testing.T) {
			var first finding
			rapid.Check(t, func(t *rapid.T) {
				found := findDefect(t, addDefect(place.New(place.Config{Shard: "s"})))
				if first == "" {
					first = found
				}
			})
			if first == "" {
				t.Fatal("no sequence of calls made the oracle report the defect")
			}
			t.Log(first)
		})
	}
}

// findDefect runs a defective placer and returns what the oracle reports, ""
// if it finds nothing.
func findDefect(t *rapid.T, placer cairnbay.Placer) (found finding) {
	defer func() {
		switch cause := recover().(type) {
		case nil:
		case finding:
			found = cause
		default:
			panic(cause)
		}
	}()
	driver := newCallDriver(t, panicReporter{}, placer)
	t.Repeat(driver.actions())
	driver.finish(panicReporter{})
	return ""
}
