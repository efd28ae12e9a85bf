package main

import (
	"fmt"
	"net"
	"strings"
	"time"
)

// lose ends a runner for good: its machine has lost power, so that calls to it hang.
func (r *runner) lose() {
	r.crash()
	// The socket takes connections and answers nothing.
	for range 50 {
		if _, err := net.Listen("tcp", r.address); err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// ownerOf returns the instance that owns a service, as its key in the store says.
func (w *world) ownerOf(service string) *node {
	value := w.store.value("cairnbay/live/owner/" + service)
	for _, n := range w.nodes {
		if strings.Contains(value, n.name) {
			return n
		}
	}
	return nil
}

// zoneLoss: a deployment of two zones loses one of them, with the instances and the runners
// there. What was accepted before has to go on in the other one.
func zoneLoss(w *world) {
	w.configure([]string{"docket"}, route{"/lohu930/", "docket", 1, 3, 10, 60000})
	for i, zone := range []string{"za", "zb"} {
		for j := range 2 {
			w.addNode(zone, w.address).start()
			for k := range 2 {
				w.addRunner("docket", zone, 16000, 65536, 0, "a", fmt.Sprintf("r%d-%d", i+1, 2*j+k+1))
			}
		}
	}
	for _, n := range w.nodes {
		n.awaitReady(15 * time.Second)
	}
	time.Sleep(3 * time.Second)
	lasting, batch := jobID(), jobID()
	w.specs[lasting+".0"] = &stepSpec{lasts: true, cpu: 1000}
	w.specs[batch+".0"] = &stepSpec{work: 15 * time.Second, cpu: 1000}
	lastingJob := map[string]any{"spec": "x", "steps": []any{step(8, 1000, 1024, 500, map[string]any{"long-running": true, "max-per-server": 2})}}
	batchJob := map[string]any{"spec": "y", "steps": []any{step(8, 1000, 1024, 15000, map[string]any{"max-per-server": 2})}}
	if !w.submit("/lohu930/"+lasting, lastingJob, w.nodes...) || !w.submit("/lohu930/"+batch, batchJob, w.nodes...) {
		w.cannot("a job isn't accepted")
	}
	time.Sleep(5 * time.Second)
	owner := w.ownerOf("docket")
	if owner == nil {
		w.cannot("no owner")
	}
	var left []*node
	for _, n := range w.nodes {
		if n.zone != owner.zone {
			left = append(left, n)
		}
	}
	if w.trouble {
		w.log("zone %s is lost, with the owner %s", owner.zone, owner.name)
		for _, n := range w.nodes {
			if n.zone == owner.zone {
				n.kill()
			}
		}
		for _, r := range w.runners {
			if r.zone == owner.zone {
				r.lose()
			}
		}
	}
	time.Sleep(75 * time.Second)
	now := time.Now()
	idle := 0
	for i := range 8 {
		task := fmt.Sprintf("%s.0.0.%d", lasting, i)
		runs := w.taskRuns(task)
		if len(runs) == 0 || runs[len(runs)-1].how != "" && now.Sub(runs[len(runs)-1].over) > 15*time.Second {
			idle++
			w.log("task %s has no run at the end: %d starts", task, len(runs))
		}
	}
	busy, room := 0, 0
	for _, r := range w.runners {
		r.mu.Lock()
		if r.up {
			room += r.cpu
			busy += 1000 * len(r.running)
		}
		r.mu.Unlock()
	}
	w.log("runners that are up have %d thousandths of cores, %d in use", room, busy)
	if idle > 0 {
		w.fail("LOST: %d of 8 tasks that last have not run for over 15 s, with %d of %d thousandths of cores in use", idle, busy, room)
	}
	if state := w.state("/lohu930/"+batch, left...); state != "completed" {
		w.fail("LOST: the batch job of 15 s is %q 75 s after the loss", state)
	}
}
