package main

import (
	"fmt"
	"time"
)

// dotID: one client submits a job whose ID has a dot. The jobs of all other clients have to go on.
func dotID(w *world) {
	w.configure([]string{"docket"}, route{"/lohu930/", "docket", 1, 3, 10, 60000})
	for i, zone := range []string{"za", "zb", "zc"} {
		w.addNode(zone, w.address).start()
		for j := range 2 {
			w.addRunner("docket", zone, 16000, 65536, 0, "a", []string{"r1", "r2", "r3"}[i]+[]string{"-1", "-2"}[j])
		}
	}
	for _, n := range w.nodes {
		n.awaitReady(15 * time.Second)
	}
	time.Sleep(3 * time.Second)
	lasting := jobID()
	w.mu.Lock()
	w.specs[lasting+".0"] = &stepSpec{lasts: true, cpu: 500}
	w.mu.Unlock()
	body := map[string]any{"spec": "x", "steps": []any{step(6, 500, 64, 500, map[string]any{"long-running": true, "max-per-server": 1})}}
	if !w.submit("/lohu930/"+lasting, body, w.nodes...) {
		w.cannot("a job isn't accepted")
	}
	if w.trouble {
		w.ask(w.nodes[0], "POST", "/lohu930/5c0e7a2.d94b36f8", map[string]any{"spec": "z", "steps": []any{step(1, 100, 16, 500, nil)}}, 3*time.Second)
	}
	time.Sleep(60 * time.Second)
	idle := 0
	for i := range 6 {
		runs := w.taskRuns(fmt.Sprintf("%s.0.0.%d", lasting, i))
		if len(runs) == 0 || runs[len(runs)-1].how != "" && time.Since(runs[len(runs)-1].over) > 9*time.Second {
			idle++
		}
	}
	if idle > 0 {
		w.fail("LOST: %d of 6 tasks that last have not run for 9 s, with six idle runners", idle)
	}
}
