package place_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnbay"
	"cairnbay/internal/process/place"
)

// machine drives a placer through random sequences of calls and faults.
type machine struct {
	*oracle
	// report receives the findings of the oracle.
	report       reporter
	jobSerial    int
	workerSerial int
	version      uint64
}

func newMachine(t *rapid.T, report reporter, placer cairnbay.Placer) *machine {
	driver := &machine{oracle: newOracle(placer), report: report}
	driver.changeSettings(t)
	for range 4 {
		driver.addWorker(t)
	}
	return driver
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":         func(*rapid.T) { m.checkFree(m.report) },
		"worker":   m.addWorker,
		"toggle":   m.toggleWorker,
		"drop":     func(t *rapid.T) { m.drop(m.report, draw(t, "worker", sortedKeys(m.workers))) },
		"enqueue":  m.enqueue,
		"enqueue2": m.enqueue,
		"cancel":   func(t *rapid.T) { m.cancel(draw(t, "job", sortedKeys(m.jobs))) },
		"decide":   func(t *rapid.T) { m.decide(m.report, rapid.IntRange(1, 20).Draw(t, "limit")) },
		"decide2":  func(*rapid.T) { m.decide(m.report, 100) },
		"confirm":  m.confirm,
		"confirm2": m.confirm,
		"refuse":   m.refuseStart,
		"end":      m.endTask,
		"settings": m.changeSettings,
		"takeover": m.takeOver,
		"forget":   m.forget,
		"time": func(t *rapid.T) {
			m.now += rapid.SampledFrom([]time.Duration{1, time.Second, time.Minute}).Draw(t, "passed")
		},
	}
}

func (m *machine) addWorker(t *rapid.T) {
	m.workerSerial++
	state := cairnbay.WorkerState{
		ID:       fmt.Sprintf("w%d", m.workerSerial),
		Rack:     rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "rack"),
		Capacity: cores(rapid.Int64Range(4, 10).Draw(t, "capacity")), Usable: true,
	}
	m.workers[state.ID] = state
	m.placer.SetWorker(state, m.now)
}

func (m *machine) toggleWorker(t *rapid.T) {
	state := m.workers[draw(t, "worker", sortedKeys(m.workers))]
	state.Usable = !state.Usable
	m.workers[state.ID] = state
	m.placer.SetWorker(state, m.now)
}

func (m *machine) enqueue(t *rapid.T) {
	m.jobSerial++
	job := drawJob(t, m.jobSerial)
	if err := m.placer.Enqueue(job, cairnbay.Progress{}, m.now); err == nil {
		m.jobs[job.ID] = job
	}
}

func (m *machine) confirm(t *rapid.T) {
	starting := m.placedTasks(func(placed *placement) bool { return !placed.running })
	task := draw(t, "task", starting)
	m.placements[task].running = true
	m.placer.Started(task, m.placements[task].attempt, m.now)
}

func (m *machine) refuseStart(t *rapid.T) {
	task := draw(t, "task", m.placedTasks(func(placed *placement) bool { return !placed.running }))
	result := rapid.SampledFrom([]cairnbay.StartResult{cairnbay.StartNoRoom, cairnbay.StartRefused, ""}).Draw(t, "result")
	m.refuse(m.report, task, result)
}

func (m *machine) endTask(t *rapid.T) {
	task := draw(t, "task", m.placedTasks(func(*placement) bool { return true }))
	reason := rapid.SampledFrom([]cairnbay.EndReason{
		cairnbay.EndDone, cairnbay.EndFailed, cairnbay.EndStopped, cairnbay.EndCheckpointed, cairnbay.EndLapsed,
	}).Draw(t, "reason")
	m.end(m.report, task, reason)
}

// takeOver replaces the engine by a new one, which gets the journaled jobs and the
// running tasks of the workers, in either order.
func (m *machine) takeOver(t *rapid.T) {
	if _, withoutDefect := m.placer.(*place.Engine); !withoutDefect {
		t.Skip("only for an engine without a defect")
	}
	m.placer = place.New(place.Config{Shard: "s"})
	m.placer.SetSettings(m.settings, m.now)
	for _, id := range sortedKeys(m.workers) {
		m.placer.SetWorker(m.workers[id], m.now)
	}
	if rapid.Bool().Draw(t, "claims_first") {
		m.adoptAll()
		m.enqueueAll(t)
		return
	}
	m.enqueueAll(t)
	m.adoptAll()
}

func (m *machine) adoptAll() {
	for _, task := range m.placedTasks(func(*placement) bool { return true }) {
		found := m.placements[task]
		found.running, found.stopping = true, false
		m.placer.Adopt(found.worker, cairnbay.RunningTask{
			Task: task, Attempt: found.attempt, Size: m.jobs[task.Job].Size, Throttled: found.throttled,
		}, m.now)
	}
}

func (m *machine) enqueueAll(t *rapid.T) {
	for _, id := range sortedKeys(m.jobs) {
		progress := cairnbay.Progress{Final: make(map[int]cairnbay.TaskState), Attempts: make(map[int]int)}
		for index := range m.jobs[id].Tasks {
			task := cairnbay.TaskID{Job: id, Index: index}
			if state, ended := m.final[task]; ended {
				progress.Final[index] = state
			}
			if attempts := m.attempts[task]; attempts > 0 {
				progress.Attempts[index] = attempts
			}
		}
		if err := m.placer.Enqueue(m.jobs[id], progress, m.now); err != nil {
			t.Fatalf("job %q could not be enqueued again: %v", id, err)
		}
	}
}

// forget forgets a job. The placer must ignore the call for one that has not ended.
func (m *machine) forget(t *rapid.T) {
	id := draw(t, "job", sortedKeys(m.jobs))
	ended := m.waiting(m.jobs[id]) == 0
	for task := range m.placements {
		ended = ended && task.Job != id
	}
	m.placer.Forget(id)
	if ended {
		delete(m.jobs, id)
	}
}

func (m *machine) changeSettings(t *rapid.T) {
	m.version++
	m.settings = drawSettings(t, m.version)
	m.placer.SetSettings(m.settings, m.now)
}

func TestEngineInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		driver := newMachine(t, t, place.New(place.Config{Shard: "s"}))
		t.Repeat(driver.actions())
		driver.finish(t)
		if leaks := place.Leaks(driver.placer.(*place.Engine)); len(leaks) > 0 {
			t.Fatalf("still charged or counted: %v", leaks)
		}
	})
}
