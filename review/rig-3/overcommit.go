package main

import (
	"fmt"
	"time"
)

// overcommit: large jobs with many occurrences are accepted beside a small one. Each fits by
// itself; together they need more memory than an owner holds.
func overcommit(w *world) {
	w.configure([]string{"docket"}, route{"/lohu930/", "docket", 1, 3, 10, 60000})
	for i, zone := range []string{"za", "zb", "zc"} {
		w.addNode(zone, w.address).start()
		for j := range 4 {
			w.addRunner("docket", zone, 32000, 65536, 0, "a", fmt.Sprintf("r%d-%d", i+1, j+1))
		}
	}
	for _, n := range w.nodes {
		n.awaitReady(15 * time.Second)
	}
	time.Sleep(3 * time.Second)
	now := time.Now().UnixMilli()
	small := jobID()
	w.mu.Lock()
	w.specs[small+".0"] = &stepSpec{work: 500 * time.Millisecond, cpu: 100}
	w.specs[small+".1"] = &stepSpec{work: 500 * time.Millisecond, cpu: 10}
	w.mu.Unlock()
	due := now + 35000
	if !w.submit("/lohu930/"+small, map[string]any{
		"spec": "x", "repeat-count": 3, "first-ms": due, "interval-ms": 5000, "steps": []any{step(1, 100, 16, 500, nil), step(60, 10, 1, 500, map[string]any{"after": []int{0}})},
	}, w.nodes...) {
		w.cannot("the small job isn't accepted")
	}
	if w.trouble {
		for range 10 {
			id := jobID()
			w.mu.Lock()
			w.specs[id+".0"] = &stepSpec{work: 90 * time.Second, cpu: 10}
			w.specs[id+".1"] = &stepSpec{work: 500 * time.Millisecond, cpu: 10}
			w.mu.Unlock()
			w.ask(w.nodes[0], "POST", "/lohu930/"+id, map[string]any{
				"spec": "y", "repeat-count": 600, "first-ms": now + 5000, "interval-ms": 40,
				"steps": []any{step(1, 10, 1, 90000, nil), step(40, 10, 1, 500, map[string]any{"after": []int{0}})},
			}, 3*time.Second)
		}
	}
	time.Sleep(time.Until(time.UnixMilli(due + 45000)))
	busy, room := 0, 0
	for _, r := range w.runners {
		r.mu.Lock()
		room += r.cpu
		busy += 10 * len(r.running)
		r.mu.Unlock()
	}
	w.state("/lohu930/"+small, w.nodes...)
	for k := range 3 {
		if runs := w.taskRuns(fmt.Sprintf("%s.%d.0.0", small, k)); len(runs) == 0 {
			w.fail("LOST: occurrence %d of the small job has no run %d s after its time, with about %d of %d thousandths of cores in use", k, 45-5*k, busy, room)
		}
	}
}
