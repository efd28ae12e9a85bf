package agent

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cairnbay"
)

// CrashPlan says which tasks crash the worker that starts them.
type CrashPlan struct {
	// Deadly says whether a task crashes its workers; nil for none.
	Deadly func(task cairnbay.WorkflowTask) bool
	// After is the time from the start of such a task to the crash.
	After func() time.Duration
	// Downtime is how long a crashed worker is away. Then another life answers at its
	// address.
	Downtime time.Duration
}

// Life is one life of a worker.
type Life struct {
	ID, Address string
	// BornUnixMS is what the worker says of the start of its process, 0 if it does not.
	BornUnixMS int64
	Capacity   cairnbay.Resources
}

// bornUnixMS is when a life began by the clock of its machine, which jumps back now and
// then.
func bornUnixMS(life int) int64 {
	const start, jump, period = 1_000_000_000, 600_000, 3
	return start + int64(life)*1000 - int64(life%period)*jump
}

// Lives lists the workers that answer, in order of their IDs.
func (f *Fleet) Lives() []Life {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	var lives []Life
	for _, w := range f.workers {
		if !w.gone && !w.down {
			lives = append(lives, f.describe(w))
		}
	}
	slices.SortFunc(lives, func(a, b Life) int { return strings.Compare(a.ID, b.ID) })
	return lives
}

// CurrentID returns the ID of the current life of a worker, also while it is down, and an
// empty one for a worker that does not exist or is gone.
func (f *Fleet) CurrentID(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	w := f.current[name]
	if w == nil || w.gone {
		return ""
	}
	return w.id
}

func (f *Fleet) describe(w *worker) Life {
	life := Life{ID: w.id, Address: w.address, Capacity: w.capacity}
	if f.config.Incarnations {
		life.BornUnixMS = bornUnixMS(w.life)
	}
	return life
}

// CrashFor crashes a worker for the plan's downtime.
func (f *Fleet) CrashFor(id string) {
	f.set(id, func(w *worker) { f.crash(w, f.config.Now()) })
}

// Restart crashes a worker, which is back after a while under the same name and with
// another capacity. Within ShrinkGrace it may be given what the former life had room for:
// it carries out starts that were meant for that one.
func (f *Fleet) Restart(id string, downtime time.Duration, capacity cairnbay.Resources) {
	f.set(id, func(w *worker) {
		f.crash(w, f.config.Now())
		w.backAt, w.keepsName = f.config.Now()+downtime, true
		w.former = append(w.former, formerCapacity{w.capacity, w.backAt})
		w.capacity = capacity
		f.settleCrashes(f.config.Now())
	})
}

// Resize changes the capacity of a worker. What runs there goes on.
func (f *Fleet) Resize(id string, capacity cairnbay.Resources) {
	f.set(id, func(w *worker) {
		now := f.config.Now()
		w.former = slices.DeleteFunc(w.former, func(former formerCapacity) bool { return now-former.until >= f.config.ShrinkGrace })
		w.former = append(w.former, formerCapacity{w.capacity, now})
		w.capacity = capacity
	})
}

// CrashCount is the number of workers that crashed under a deadly task.
func (f *Fleet) CrashCount(task cairnbay.WorkflowTask) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	return f.crashes[task]
}

// crash ends all that runs on a worker, without ends that anybody sees; the caller
// holds the lock.
func (f *Fleet) crash(w *worker, now time.Duration) {
	w.down, w.backAt, w.keepsName = true, now+f.config.Crash.Downtime, f.config.Incarnations
	f.clear(w, now)
}

// LostAfter lists the run times of the attempts of a job's tasks that ended with their
// workers, by task.
func (f *Fleet) LostAfter(job string) map[cairnbay.WorkflowTask][]time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	lost := make(map[cairnbay.WorkflowTask][]time.Duration)
	for task, after := range f.lost {
		if task.Job == job {
			lost[task] = slices.Clone(after)
		}
	}
	return lost
}

// clear forgets what runs on a worker that crashes now; the caller holds the lock.
func (f *Fleet) clear(w *worker, now time.Duration) {
	var gangs []*gang
	for _, task := range w.inOrder() {
		f.lost[task] = append(f.lost[task], now-w.running[task].started)
		gangs = append(gangs, w.running[task].gang)
	}
	clear(w.running)
	w.sorted = nil
	for _, one := range gangs {
		f.endGang(one, cairnbay.AgentGangEnded)
	}
}

// settleCrashes crashes the workers under deadly tasks, and brings crashed ones back as
// another life; the caller holds the lock.
func (f *Fleet) settleCrashes(now time.Duration) {
	plan := f.config.Crash
	var back []*worker
	for _, w := range f.workers {
		if w.gone {
			continue
		}
		if w.down && now >= w.backAt {
			w.down, w.gone = false, true
			back = append(back, w)
		}
		if w.down || plan.Deadly == nil {
			continue
		}
		if crashedAt, crashes := f.deadlyCrash(w, now); crashes {
			f.crash(w, crashedAt)
		}
	}
	for _, w := range back {
		next := &worker{address: w.address, life: w.life + 1, capacity: w.capacity}
		name := fmt.Sprintf("%s+%d", w.address, next.life)
		if w.keepsName {
			name, next.cut, next.mute, next.former = cairnbay.WorkerName(w.id), w.cut, w.mute, w.former
		}
		f.addLife(name, next)
	}
}

// deadlyCrash returns when a worker has crashed under its deadly tasks, and counts the
// crash for all of them that had begun; the caller holds the lock.
func (f *Fleet) deadlyCrash(w *worker, now time.Duration) (at time.Duration, crashes bool) {
	after := f.config.Crash.After()
	var deadly []cairnbay.WorkflowTask
	for _, task := range w.inOrder() {
		if !f.config.Crash.Deadly(task) {
			continue
		}
		deadly = append(deadly, task)
		if due := w.running[task].started + after; due <= now && (!crashes || due < at) {
			at, crashes = due, true
		}
	}
	for _, task := range deadly {
		if crashes && w.running[task].started <= at {
			f.crashes[task]++
		}
	}
	return at, crashes
}
