package main

import (
	"time"
)

// badID: one client sends a submission with a malformed ID to each instance. The jobs of all
// other clients have to go on.
func badID(w *world) {
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
	var lasting, short []string
	for range 5 {
		id := jobID()
		w.mu.Lock()
		w.specs[id+".0"] = &stepSpec{lasts: true, cpu: 500}
		w.mu.Unlock()
		body := map[string]any{"spec": "x", "steps": []any{step(2, 500, 64, 500, map[string]any{"long-running": true})}}
		if !w.submit("/lohu930/"+id, body, w.nodes...) {
			w.cannot("a job isn't accepted")
		}
		lasting = append(lasting, "/lohu930/"+id)
	}
	for range 3 {
		id := jobID()
		w.mu.Lock()
		w.specs[id+".0"] = &stepSpec{work: 6 * time.Second, cpu: 500}
		w.mu.Unlock()
		if !w.submit("/lohu930/"+id, map[string]any{"spec": "y", "steps": []any{step(2, 500, 64, 6000, nil)}}, w.nodes...) {
			w.cannot("a job isn't accepted")
		}
		short = append(short, "/lohu930/"+id)
	}
	if w.trouble {
		for _, n := range w.nodes {
			w.ask(n, "POST", "/lohu930/%ff%fe5c0e7a21d94b36", map[string]any{"spec": "z", "steps": []any{step(1, 100, 16, 500, nil)}}, 3*time.Second)
		}
	}
	time.Sleep(4 * time.Second)
	missing := 0
	for i, path := range lasting {
		done := false
		for until := time.Now().Add(4 * time.Second); time.Now().Before(until) && !done; time.Sleep(200 * time.Millisecond) {
			status := w.ask(w.nodes[i%3], "DELETE", path, nil, 3*time.Second).status
			done = status >= 200 && status < 300 || status == 410
		}
		if !done {
			missing++
		}
	}
	if missing > 0 {
		w.fail("Acks: %d of %d cancels of accepted jobs have no 2xx or 410 after ack-ms", missing, len(lasting))
	}
	time.Sleep(10 * time.Second)
	for _, path := range short {
		if state := w.state(path, w.nodes...); state != "completed" {
			w.fail("job %s, all of whose tasks have ended done, is shown as %q", path, state)
		}
	}
	served := false
	for try := range 20 {
		id := jobID()
		w.mu.Lock()
		w.specs[id+".0"] = &stepSpec{work: time.Second, cpu: 500}
		w.mu.Unlock()
		served = w.ask(w.nodes[try%3], "POST", "/lohu930/"+id, map[string]any{"spec": "x", "steps": []any{step(1, 500, 64, 1000, nil)}}, 3*time.Second).status == 200
		if served {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	if !served {
		w.fail("no job is accepted any more")
	}
}
