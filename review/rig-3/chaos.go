package main

import (
	"fmt"
	"math/rand"
	"sync"
	"syscall"
	"time"
)

// chaos plays disruptions drawn at random, on queues without advice.
func chaos(base *world) {
	w := &wide{world: base}
	w.configure([]string{"docket"}, route{"/lohu930/", "docket", 1, 100, 100, 60000}, route{"/a/", "docket", 0, 100, 100, 60000})
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
			w.addRunner("docket", zone, 16000, 65536, 0, "a", fmt.Sprintf("r%d-%d", i+1, j))
		}
	}
	for _, n := range w.nodes {
		n.awaitReady(15 * time.Second)
	}
	time.Sleep(3 * time.Second)
	end := time.Now().Add(100 * time.Second)
	var mu sync.Mutex
	accepted, cancelled := map[string]bool{}, map[string]bool{}
	go func() {
		for time.Now().Before(end.Add(-35 * time.Second)) {
			id := jobID()
			work := time.Duration(300+rand.Intn(6000)) * time.Millisecond
			count := 1 + rand.Intn(8)
			spec := &stepSpec{work: work, cpu: 1000}
			more := map[string]any{}
			switch rand.Intn(6) {
			case 0:
				spec.lasts = true
				more["long-running"] = true
			case 1:
				spec.gang = count
				more["gang"] = true
			}
			w.mu.Lock()
			w.specs[id+".0"] = spec
			w.specs[id+".1"] = &stepSpec{work: work / 2, cpu: 1000}
			w.mu.Unlock()
			steps := []any{step(count, 1000, 512, int(work.Milliseconds()), more)}
			if more["long-running"] == nil {
				steps = append(steps, step(2, 1000, 512, int(work.Milliseconds()/2), map[string]any{"after": []int{0}}))
			}
			path := []string{"/lohu930/", "/a/"}[rand.Intn(2)] + id
			go func() {
				if w.submit(path, map[string]any{"spec": id, "steps": steps}, w.nodes[rand.Intn(6)], w.nodes[rand.Intn(6)]) {
					mu.Lock()
					defer mu.Unlock()
					accepted[path] = true
				}
			}()
			if spec.lasts || rand.Intn(8) == 0 {
				mu.Lock()
				cancelled[path] = true
				mu.Unlock()
				time.AfterFunc(time.Duration(rand.Intn(20))*time.Second, func() {
					for range 3 {
						if w.ask(w.nodes[rand.Intn(6)], "DELETE", path, nil, 3*time.Second).status == 200 {
							return
						}
					}
				})
			}
			time.Sleep(150 * time.Millisecond)
		}
	}()
	for time.Now().Before(end.Add(-38 * time.Second)) {
		switch rand.Intn(7) {
		case 0, 1:
			if n := w.ownerOf("docket"); n != nil {
				n.signal(syscall.SIGKILL)
				time.AfterFunc(time.Duration(300+rand.Intn(3000))*time.Millisecond, n.start)
			}
		case 2:
			if n := w.ownerOf("docket"); n != nil {
				n.signal(syscall.SIGSTOP)
				time.AfterFunc(time.Duration(1500+rand.Intn(4000))*time.Millisecond, func() { n.signal(syscall.SIGCONT) })
			}
		case 3:
			if n := w.ownerOf("docket"); n != nil && w.highestFence() > 0 {
				w.cut(n.zone, w.highestFence())
				time.Sleep(time.Duration(2000+rand.Intn(4200)) * time.Millisecond)
				w.cut("", 0)
			}
		case 4:
			r := w.runners[rand.Intn(12)]
			r.crash()
			time.AfterFunc(time.Duration(500+rand.Intn(4000))*time.Millisecond, r.start)
		case 5:
			w.mu.Lock()
			w.late = 0.3
			w.mu.Unlock()
			time.AfterFunc(3*time.Second, func() { w.mu.Lock(); w.late = 0; w.mu.Unlock() })
		case 6:
			n := w.nodes[rand.Intn(6)]
			n.signal(syscall.SIGTERM)
			time.AfterFunc(6500*time.Millisecond, n.start)
		}
		time.Sleep(time.Duration(rand.Intn(4500)) * time.Millisecond)
	}
	time.Sleep(time.Until(end))
	open := 0
	mu.Lock()
	for path := range accepted {
		if cancelled[path] {
			continue
		}
		if state := w.state(path, w.nodes...); state != "completed" {
			open++
			w.log("open: %s is %q", path, state)
		}
	}
	w.log("%d accepted", len(accepted))
	mu.Unlock()
	if open > 0 {
		w.fail("%d accepted jobs aren't completed", open)
	}
	var tasks []string
	w.mu.Lock()
	for task := range w.runs {
		tasks = append(tasks, task)
	}
	w.mu.Unlock()
	pairs, again := 0, 0
	for _, task := range tasks {
		runs := w.taskRuns(task)
		for a := range runs {
			for b := range runs {
				x, y := runs[a], runs[b]
				if a < b {
					from, to := x.began, time.Now()
					if y.began.After(from) {
						from = y.began
					}
					for _, r := range []taskRun{x, y} {
						if r.how != "" && r.over.Before(to) {
							to = r.over
						}
					}
					if to.Sub(from) > 5*time.Millisecond {
						pairs++
						w.log("twice: %s %+v %+v", task, x, y)
					}
				}
				if x.how == "done" && !x.noted.IsZero() && y.began.After(x.over) {
					again++
					w.log("again: %s %+v %+v", task, x, y)
				}
			}
		}
	}
	if pairs+again > 0 {
		w.fail("TWICE: %d pairs, %d after done; %d tasks", pairs, again, len(tasks))
	}
	w.log("%d tasks", len(tasks))
}
