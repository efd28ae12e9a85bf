package place_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnbay"
	"cairnbay/internal/process/place"
)

// callDriver drives a placer through random sequences of calls and faults.
type callDriver struct {
	*oracle
	// report receives the findings of the oracle.
	report       reporter
	jobSerial    int
	workerSerial int
	version      uint64
}

func newCallDriver(t *rapid.T, report reporter, placer cairnbay.Placer) *callDriver {
	driver := &callDriver{oracle: newOracle(placer), report: report}
	driver.changeSettings(t)
	for range 4 {
		driver.addWorker(t)
	}
	return driver
}

// actions returns the calls by name. Some are listed twice to be drawn more often;
// decide2 has a limit that is never reached. Time passes by 1 nanosecond, a second
// or a minute.
func (d *callDriver) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":         func(*rapid.T) { d.checkFree(d.report) },
		"worker":   d.addWorker,
		"toggle":   d.toggleWorker,
		"drop":     func(t *rapid.T) { d.dropWorker(d.report, draw(t, "worker", sortedKeys(d.workers))) },
		"enqueue":  d.enqueue,
		"enqueue2": d.enqueue,
		"cancel":   func(t *rapid.T) { d.cancel(draw(t, "job", sortedKeys(d.jobs))) },
		"decide":   func(t *rapid.T) { d.decide(d.report, rapid.IntRange(1, 20).Draw(t, "limit")) },
		"decide2":  func(*rapid.T) { d.decide(d.report, 100) },
		"confirm":  d.confirm,
		"confirm2": d.confirm,
		"refuse":   d.refuseStart,
		"end":      d.endTask,
		"settings": d.changeSettings,
		"takeover": d.takeOver,
		"forget":   d.forget,
		"time": func(t *rapid.T) {
			d.now += rapid.SampledFrom([]time.Duration{1, time.Second, time.Minute}).Draw(t, "passed")
		},
	}
}

func (d *callDriver) addWorker(t *rapid.T) {
	d.workerSerial++
	state := cairnbay.WorkerState{
		ID:       fmt.Sprintf("w%d", d.workerSerial),
		Rack:     rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "rack"),
		Capacity: cores(rapid.Int64Range(4, 10).Draw(t, "capacity")), Usable: true,
	}
	d.workers[state.ID] = state
	d.placer.SetWorker(state, d.now)
}

func (d *callDriver) toggleWorker(t *rapid.T) {
	state := d.workers[draw(t, "worker", sortedKeys(d.workers))]
	state.Usable = !state.Usable
	d.workers[state.ID] = state
	d.placer.SetWorker(state, d.now)
}

func (d *callDriver) enqueue(t *rapid.T) {
	d.jobSerial++
	job := drawJob(t, d.jobSerial)
	if err := d.placer.Enqueue(job, cairnbay.Progress{}, d.now); err == nil {
		d.jobs[job.ID] = job
	}
}

func (d *callDriver) confirm(t *rapid.T) {
	starting := d.placedTasks(func(placed *placement) bool { return !placed.running })
	task := draw(t, "task", starting)
	d.placements[task].running = true
	d.placer.Started(task, d.placements[task].attempt, d.now)
}

func (d *callDriver) refuseStart(t *rapid.T) {
	task := draw(t, "task", d.placedTasks(func(placed *placement) bool { return !placed.running }))
	result := rapid.SampledFrom([]cairnbay.StartResult{cairnbay.StartNoRoom, cairnbay.StartRefused, ""}).Draw(t, "result")
	d.undoStart(d.report, task, result)
}

func (d *callDriver) endTask(t *rapid.T) {
	task := draw(t, "task", d.placedTasks(func(*placement) bool { return true }))
	reason := rapid.SampledFrom([]cairnbay.EndReason{
		cairnbay.EndDone, cairnbay.EndFailed, cairnbay.EndStopped, cairnbay.EndCheckpointed, cairnbay.EndLapsed,
	}).Draw(t, "reason")
	d.endPlaced(d.report, task, reason)
}

// takeOver replaces the engine by a new one, which gets the journaled jobs and the
// running tasks of the workers, in either order.
func (d *callDriver) takeOver(t *rapid.T) {
	if _, withoutDefect := d.placer.(*place.Engine); !withoutDefect {
		t.Skip("only for an engine without a defect")
	}
	d.placer = place.New(place.Config{Shard: "s"})
	d.placer.SetSettings(d.settings, d.now)
	for _, id := range sortedKeys(d.workers) {
		d.placer.SetWorker(d.workers[id], d.now)
	}
	if rapid.Bool().Draw(t, "adopt_first") {
		d.adoptAll()
		d.enqueueAll(t)
		return
	}
	d.enqueueAll(t)
	d.adoptAll()
}

func (d *callDriver) adoptAll() {
	for _, task := range d.placedTasks(func(*placement) bool { return true }) {
		found := d.placements[task]
		found.running, found.stopping = true, false
		d.placer.Adopt(found.worker, cairnbay.RunningTask{
			Task: task, Attempt: found.attempt, Size: d.jobs[task.Job].Size, Throttled: found.throttled,
		}, d.now)
	}
}

func (d *callDriver) enqueueAll(t *rapid.T) {
	for _, id := range sortedKeys(d.jobs) {
		progress := cairnbay.Progress{Final: make(map[int]cairnbay.TaskState), Attempts: make(map[int]int)}
		for index := range d.jobs[id].Tasks {
			task := cairnbay.TaskID{Job: id, Index: index}
			if state, ended := d.final[task]; ended {
				progress.Final[index] = state
			}
			if attempts := d.attempts[task]; attempts > 0 {
				progress.Attempts[index] = attempts
			}
		}
		if err := d.placer.Enqueue(d.jobs[id], progress, d.now); err != nil {
			t.Fatalf("job %q could not be enqueued again: %v", id, err)
		}
	}
}

// forget forgets a job. The placer must ignore the call for one that has not ended.
func (d *callDriver) forget(t *rapid.T) {
	id := draw(t, "job", sortedKeys(d.jobs))
	ended := d.waiting(d.jobs[id]) == 0
	for task := range d.placements {
		ended = ended && task.Job != id
	}
	d.placer.Forget(id)
	if ended {
		delete(d.jobs, id)
	}
}

func (d *callDriver) changeSettings(t *rapid.T) {
	d.version++
	d.settings = drawSettings(t, d.version)
	d.placer.SetSettings(d.settings, d.now)
}

func TestEngineInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		driver := newCallDriver(t, t, place.New(place.Config{Shard: "s"}))
		t.Repeat(driver.actions())
		driver.finish(t)
		if leaks := place.Leaks(driver.placer.(*place.Engine)); len(leaks) > 0 {
			t.Fatalf("still charged or counted: %v", leaks)
		}
	})
}
