package quota_test

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cairnbay/internal/fake/oracle"
)

func (w *world) draw(count int, label string) int {
	if count == 0 {
		w.t.Skip("no " + label)
	}
	return rapid.IntRange(0, count-1).Draw(w.t, label)
}

func (w *world) actions() map[string]func(*rapid.T) {
	act := func(step func()) func(*rapid.T) {
		return func(t *rapid.T) { w.t = t; step() }
	}
	return map[string]func(*rapid.T){
		"submit": act(func() {
			w.submit(w.drawShard(), rapid.IntRange(1, 6).Draw(w.t, "tasks"))
		}),
		// The next three are sequences that single steps seldom make.
		"serve": act(func() {
			shard := w.drawShard()
			w.submit(shard, rapid.IntRange(0, 3).Draw(w.t, "tasks"))
			w.serve(w.latest(shard))
		}),
		"move": act(func() {
			from, to := w.drawShard(), w.drawShard()
			before := len(w.requests)
			w.ask(w.latest(from), to)
			if len(w.requests) > before {
				asked := w.requests[before]
				w.requests = w.requests[:before]
				w.give(w.latest(to), asked, false)
			}
		}),
		"succeed": act(func() {
			shard := w.drawShard()
			if len(w.owners[shard]) < 3 {
				w.takeOver(shard)
			}
			o := w.latest(shard)
			w.read(o, rapid.Bool().Draw(w.t, "stale"), true)
			w.claim(o, w.workers[shard][rapid.IntRange(0, machineWorkers-1).Draw(w.t, "worker")])
			w.submit(shard, 3)
			w.run(o)
		}),
		"claim worker": act(func() {
			o := w.drawOwner()
			w.claim(o, w.workers[o.shard][rapid.IntRange(0, machineWorkers-1).Draw(w.t, "worker")])
		}),
		"plan": act(func() {
			o := w.drawOwner()
			if rapid.Bool().Draw(w.t, "at once") {
				w.run(o)
				return
			}
			for w.order(o) {
			}
		}),
		"execute": act(func() {
			i := w.draw(len(w.starts), "start")
			command := w.starts[i]
			w.starts = append(w.starts[:i:i], w.starts[i+1:]...)
			w.execute(command)
		}),
		"end": act(func() {
			shard := w.drawShard()
			w.end(w.workers[shard][rapid.IntRange(0, machineWorkers-1).Draw(w.t, "worker")], shard)
		}),
		"read": act(func() { w.read(w.drawOwner(), rapid.Bool().Draw(w.t, "stale"), false) }),
		"ask":  act(func() { w.ask(w.drawOwner(), w.drawShard()) }),
		"deliver": act(func() {
			i := w.draw(len(w.requests), "request")
			asked := w.requests[i]
			// A request may be lost, or delivered again later.
			if !rapid.Bool().Draw(w.t, "again") {
				w.requests = append(w.requests[:i:i], w.requests[i+1:]...)
			}
			w.give(w.latest(asked.to), asked, false)
		}),
		"settle": act(func() {
			o := w.drawOwner()
			if write, ok := o.holder.Settle(); ok {
				w.commit(o, write, false)
			}
		}),
		"late write": act(func() {
			i := w.draw(len(w.late), "write")
			write := w.late[i]
			w.late = append(w.late[:i:i], w.late[i+1:]...)
			w.apply(write.owner, write.write)
		}),
		"take over": act(func() {
			if shard := w.drawShard(); len(w.owners[shard]) < 3 {
				w.takeOver(shard)
			}
		}),
		"announce": act(w.announce),
		"change quota": act(func() {
			w.quota = rapid.SampledFrom([]int64{highQuota, lowQuota}).Draw(w.t, "quota")
			w.bound = max(w.bound, w.quota)
		}),
		"adopt quota": act(func() { w.drawOwner().quota = w.quota }),
		"adopt together": act(func() {
			for _, owners := range w.owners {
				for _, o := range owners {
					o.quota = w.quota
				}
			}
			w.announce()
		}),
	}
}

func (w *world) submit(shard string, tasks int) {
	for range tasks {
		w.tasks[shard] = append(w.tasks[shard], &jobTask{})
	}
}

// serve is an owner that reads the key, is answered by all workers and starts what it can.
func (w *world) serve(o *owner) {
	w.read(o, false, true)
	for _, worker := range w.workers[o.shard] {
		w.claim(o, worker)
	}
	w.run(o)
}

// run starts what the owner can, and carries out its commands.
func (w *world) run(o *owner) {
	for w.order(o) {
	}
	commands := w.starts
	w.starts = nil
	for _, command := range commands {
		w.execute(command)
	}
}

func (w *world) unfinished() bool {
	for _, tasks := range w.tasks {
		if slices.ContainsFunc(tasks, func(task *jobTask) bool { return !task.done }) {
			return true
		}
	}
	return false
}

// finish ends all faults and expects every task to run.
func (w *world) finish() {
	for round := 0; round < settlementRounds && (round == 0 || w.unfinished()); round++ {
		for _, shard := range w.names {
			o := w.latest(shard)
			o.quota = w.quota
			w.announce()
			for _, worker := range w.workers[shard] {
				w.claim(o, worker)
			}
			w.read(o, false, true)
			if write, ok := o.holder.Settle(); ok {
				w.commit(o, write, true)
			}
			for w.order(o) {
			}
			for _, other := range w.names {
				w.ask(o, other)
			}
			for _, asked := range w.requests {
				w.give(w.latest(asked.to), asked, true)
			}
			w.requests = nil
			for _, command := range w.starts {
				w.execute(command)
			}
			w.starts = nil
			for _, worker := range w.workers[shard] {
				for len(worker.running) > 0 {
					w.end(worker, shard)
				}
			}
		}
	}
	for shard, tasks := range w.tasks {
		for i, task := range tasks {
			if !task.done {
				w.t.Fatalf("task %d of %s does not run after the faults: %v", i, shard, w.division)
			}
		}
	}
}

// property takes random steps, of the kinds that are named if any are.
func property(seeded defect, kinds ...string) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(t, seeded)
		actions := w.actions()
		if len(kinds) > 0 {
			maps.DeleteFunc(actions, func(kind string, _ func(*rapid.T)) bool { return !slices.Contains(kinds, kind) })
		}
		t.Repeat(actions)
		w.t = t
		w.finish()
	}
}

// Guards against work above a quota, and parts that stay lost, whatever happens to owners,
// writes and messages.
func TestDivisionMachine(t *testing.T) {
	rapid.Check(t, property(noDefect))
}

// Guards against a machine that cannot fail. The steps are those that each defect needs.
func TestDivisionMachineFindsDefects(t *testing.T) {
	for name, seeded := range map[string]struct {
		defect defect
		kinds  []string
	}{
		"lowers late":            {lowersLate, []string{"serve", "move", "submit"}},
		"trusts answers":         {trustsAnswers, []string{"serve", "move", "plan", "submit"}},
		"forgets lost writes":    {forgetsLostWrites, []string{"serve", "move", "plan", "late write", "submit"}},
		"ignores silent workers": {ignoresSilentWorkers, []string{"serve", "succeed", "submit"}},
		"reads before its claim": {readsBeforeClaim, []string{"serve", "move", "succeed", "end"}},
		"ignores overdrafts":     {ignoresOverdrafts, []string{"serve", "change quota", "adopt together", "submit"}},
		"gives used parts":       {givesUsedParts, []string{"serve", "move"}},
	} {
		t.Run(name, func(t *testing.T) {
			found := oracle.Finds(property(seeded.defect, seeded.kinds...))
			if !strings.Contains(found, "tasks run of a quota") {
				t.Errorf("not found: %q", found)
			}
		})
	}
}
