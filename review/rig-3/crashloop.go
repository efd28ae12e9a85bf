package main

import "time"

// crashLoop: the only runner with a label crashes and comes back several times, and stays up
// then. A job that needs the label is innocent of that, and none of its runs has ended failed.
func crashLoop(w *world) {
	w.configure([]string{"docket"}, route{"/lohu930/", "docket", 1, 3, 10, 60000})
	for i, zone := range []string{"za", "zb", "zc"} {
		w.addNode(zone, w.address).start()
		for j := range 2 {
			w.addRunner("docket", zone, 16000, 65536, 0, "a", []string{"r1", "r2", "r3"}[i]+[]string{"-1", "-2"}[j])
		}
	}
	special := w.addRunner("docket", "zc", 16000, 65536, 0, "b", "r3-9")
	for _, n := range w.nodes {
		n.awaitReady(15 * time.Second)
	}
	time.Sleep(3 * time.Second)
	id := jobID()
	w.specs[id+".0"] = &stepSpec{work: 8 * time.Second, cpu: 2000}
	path := "/lohu930/" + id
	if !w.submit(path, map[string]any{"spec": "x", "steps": []any{step(1, 2000, 1024, 8000, map[string]any{"required-label": "b"})}}, w.nodes...) {
		w.cannot("the job isn't accepted")
	}
	if w.trouble {
		go func() {
			for range 5 {
				time.Sleep(5 * time.Second)
				special.crash()
				time.Sleep(2 * time.Second)
				special.start()
			}
		}()
	}
	for until := time.Now().Add(75 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		switch state := w.state(path, w.nodes...); state {
		case "completed":
			return
		case "failed", "cancelled", "410":
			failed := 0
			for _, r := range w.taskRuns(id + ".0.0.0") {
				if r.how == "failed" {
					failed++
				}
			}
			w.fail("LOST: job %s is shown as %s; %d of its runs have ended failed, max-attempts is 3", id, state, failed)
			return
		}
	}
	w.fail("LOST: job %s isn't completed in time", id)
}
