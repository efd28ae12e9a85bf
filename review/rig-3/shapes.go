package main

import (
	"time"
)

// shapes hands in jobs of unusual shapes and looks whether every instance lives on.
func shapes(w *world) {
	w.configure([]string{"docket"}, route{"/lohu930/", "docket", 1, 3, 10, 60000}, route{"/a/", "docket", 0, 3, 2, 250})
	for i, zone := range []string{"za", "zb", "zc"} {
		w.addNode(zone, w.address).start()
		for j := range 2 {
			w.addRunner("docket", zone, 16000, 65536, 8*(i%2), "a", []string{"r1", "r2", "r3"}[i]+[]string{"-1", "-2"}[j])
		}
	}
	for _, n := range w.nodes {
		n.awaitReady(15 * time.Second)
	}
	time.Sleep(3 * time.Second)
	now := float64(time.Now().UnixMilli())
	one := func(m map[string]any) map[string]any { return map[string]any{"spec": "x", "steps": []any{m}} }
	bodies := []map[string]any{
		one(map[string]any{"count": 1}),
		one(map[string]any{"count": 3, "cpu": 1000}),
		one(map[string]any{"count": 3, "fills": true, "mem-mb": 10}),
		one(map[string]any{"count": 2, "gang": true, "mem-mb": 10}),
		one(map[string]any{"count": 2, "gang": true, "same-rack": true, "cpu": 1000, "speculative": true}),
		one(map[string]any{"count": 4, "long-running": true, "cpu": 1000, "image": "i", "target-ms": 50, "may-miss": 1}),
		one(map[string]any{"count": 4, "fills": true, "cpu": 16000, "image": "j", "mem-mb": 10, "est-runtime-ms": 800}),
		one(map[string]any{"count": 4, "gang": true, "long-running": true, "cpu": 1000, "max-per-server": 1}),
		{"spec": "x", "repeat-count": 5, "steps": []any{map[string]any{"count": 1, "cpu": 100}}},
		{"spec": "x", "repeat-count": 5, "first-ms": now + 1000, "steps": []any{map[string]any{"count": 1, "cpu": 100}}},
		{"spec": "x", "repeat-count": 5, "first-ms": now + 1000, "interval-ms": 0.5, "steps": []any{map[string]any{"count": 1, "cpu": 100}}},
		{"spec": "x", "repeat-count": 3, "first-ms": now + 500, "interval-ms": 300, "steps": []any{map[string]any{"count": 2, "cpu": 100, "gang": true}, map[string]any{"count": 1, "after": []int{0, 0}}}},
		{"spec": "x", "repeat-count": 2, "first-ms": now + 500, "interval-ms": 300, "steps": []any{map[string]any{"count": 2, "cpu": 100, "long-running": true}}},
		one(map[string]any{"count": 200, "cpu": 1, "max-per-server": 50, "affinity": "nowhere"}),
		one(map[string]any{"count": 2, "cpu": 1000, "required-label": "a", "speculative": true, "est-runtime-ms": 1}),
		one(map[string]any{"count": 2, "cpu": 1000, "speculative": true, "est-runtime-ms": 100000000}),
		one(map[string]any{"count": 2, "gpu": 1, "gang": true, "checkpointing": true}),
		{"spec": "x", "steps": []any{map[string]any{"count": 1, "long-running": true}, map[string]any{"count": 1, "after": []int{0}}}},
	}
	type job struct {
		id   string
		done bool
	}
	var jobs []job
	for i, body := range bodies {
		for k := range 3 {
			id := jobID()
			for s, row := range body["steps"].([]any) {
				m := row.(map[string]any)
				spec := &stepSpec{work: 700 * time.Millisecond, cpu: 100}
				if m["long-running"] == true {
					spec.lasts = true
				}
				if m["gang"] == true {
					spec.gang = m["count"].(int)
				}
				w.mu.Lock()
				w.specs[id+"."+string(rune('0'+s))] = spec
				w.mu.Unlock()
			}
			prefix := []string{"/lohu930/", "/a/"}[k%2]
			got := w.ask(w.nodes[(i+k)%3], "POST", prefix+id, body, 3*time.Second)
			if got.status == 200 {
				jobs = append(jobs, job{id: prefix + id})
			}
		}
	}
	time.Sleep(15 * time.Second)
	for _, n := range w.nodes {
		if !n.alive() {
			w.fail("process %s has ended by itself", n.name)
		}
	}
	for _, j := range jobs {
		w.state(j.id, w.nodes...)
	}
}
