package main

import (
	"fmt"
	"math/rand"
	"syscall"
	"time"
)

// moves leads a queue from one service to another and back, while clients lose answers and
// ask again elsewhere, and owners are killed or frozen.
func moves(base *world) {
	w := &wide{world: base}
	target := func(service string) {
		w.configure([]string{"docket", "exhibits"}, route{"/lohu930/", service, 1, 100, 100, 60000}, route{"/x/", "docket", 1, 100, 100, 60000}, route{"/y/", "exhibits", 1, 100, 100, 60000})
	}
	target("docket")
	zones := []string{"za", "zb", "zc"}
	for _, zone := range zones {
		for range 2 {
			w.addWideNode(zone)
		}
	}
	w.connect(zones...)
	for _, n := range w.nodes {
		n.start()
	}
	for i, zone := range zones {
		for j := range 4 {
			w.addRunner([]string{"docket", "exhibits"}[j%2], zone, 32000, 65536, 0, "a", fmt.Sprintf("r%d-%d", i+1, j))
		}
	}
	for _, n := range w.nodes {
		n.awaitReady(15 * time.Second)
	}
	time.Sleep(3 * time.Second)
	end := time.Now().Add(80 * time.Second)
	go func() {
		for time.Now().Before(end.Add(-10 * time.Second)) {
			id := jobID()
			w.mu.Lock()
			w.specs[id+".0"] = &stepSpec{work: 3 * time.Second, cpu: 100}
			w.mu.Unlock()
			body := map[string]any{"spec": id, "steps": []any{step(2, 100, 64, 3000, nil)}}
			go func() {
				// The first answers are lost: the client's connection breaks.
				for range 3 {
					w.ask(w.nodes[rand.Intn(6)], "POST", "/lohu930/"+id, body, time.Duration(5+rand.Intn(60))*time.Millisecond)
					time.Sleep(time.Duration(rand.Intn(400)) * time.Millisecond)
				}
				w.submit("/lohu930/"+id, body, w.nodes[rand.Intn(6)], w.nodes[rand.Intn(6)])
			}()
			time.Sleep(40 * time.Millisecond)
		}
	}()
	go func() {
		for i := 0; time.Now().Before(end.Add(-10 * time.Second)); i++ {
			time.Sleep(time.Duration(300+rand.Intn(3000)) * time.Millisecond)
			target([]string{"exhibits", "docket"}[i%2])
		}
	}()
	for time.Now().Before(end.Add(-12 * time.Second)) {
		service := []string{"docket", "exhibits"}[rand.Intn(2)]
		switch rand.Intn(4) {
		case 0:
			if n := w.ownerOf(service); n != nil {
				n.signal(syscall.SIGKILL)
				time.AfterFunc(time.Duration(300+rand.Intn(3000))*time.Millisecond, n.start)
			}
		case 1:
			n := w.nodes[rand.Intn(6)]
			n.signal(syscall.SIGSTOP)
			time.AfterFunc(time.Duration(1000+rand.Intn(3000))*time.Millisecond, func() { n.signal(syscall.SIGCONT) })
		}
		time.Sleep(time.Duration(rand.Intn(4500)) * time.Millisecond)
	}
	time.Sleep(time.Until(end))
	var jobs []string
	w.mu.Lock()
	for task := range w.runs {
		if task[len(task)-1] == '0' {
			jobs = append(jobs, task[:16])
		}
	}
	w.mu.Unlock()
	w.log("%d jobs", len(jobs))
	w.checkTwice(jobs, 2)
}
