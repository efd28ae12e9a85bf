package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"time"
)

// callProxy passes calls on to a runner, and can hold one of them up.
type callProxy struct {
	address string
	runner  *runner
	mu      sync.Mutex
	// hold is asked for each call; the call waits until the channel that it returns is closed.
	hold func(path string, c call) <-chan struct{}
}

func (w *world) addCallProxy(r *runner) *callProxy {
	p := &callProxy{runner: r}
	p.address = w.serveOn(p)
	return p
}

func (p *callProxy) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	text, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	var c call
	_ = json.Unmarshal(text, &c)
	p.mu.Lock()
	hold := p.hold
	p.mu.Unlock()
	if hold != nil {
		if wait := hold(req.URL.Path, c); wait != nil {
			<-wait
		}
	}
	req.Body = io.NopCloser(bytes.NewReader(text))
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: p.runner.address})
	forward.Transport = &http.Transport{DisableKeepAlives: true}
	forward.ErrorLog = nil
	forward.ErrorHandler = func(rw http.ResponseWriter, _ *http.Request, _ error) {
		// A port without a listener resets the connection.
		if hijacker, ok := rw.(http.Hijacker); ok {
			if conn, _, err := hijacker.Hijack(); err == nil {
				if tcp, ok := conn.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
				_ = conn.Close()
			}
		}
	}
	forward.ServeHTTP(rw, req)
}

// crossed: a runner crashes and is back under its id a moment later, while one call to it is
// held up on the way.
func crossed(w *world) {
	w.configure([]string{"docket"}, route{"/lohu930/", "docket", 1, 30, 10, 60000})
	for i, zone := range []string{"za", "zb", "zc"} {
		w.addNode(zone, w.address).start()
		for j := range 2 {
			r := &runner{w: w, service: "docket", zone: zone, cpu: 16000, mem: 65536, born: 1, labels: []string{"a", []string{"r1", "r2", "r3"}[i] + []string{"-1", "-2"}[j]}}
			w.runners = append(w.runners, r)
			r.start()
		}
	}
	special := &runner{w: w, service: "docket", zone: "zc", cpu: 16000, mem: 65536, born: 1, labels: []string{"b", "r3-9"}}
	special.address = w.freeAddress()
	special.front = w.addCallProxy(special)
	w.runners = append(w.runners, special)
	special.start()
	for _, n := range w.nodes {
		n.awaitReady(15 * time.Second)
	}
	time.Sleep(4 * time.Second)
	job := func(work time.Duration) (string, map[string]any) {
		id := jobID()
		w.mu.Lock()
		w.specs[id+".0"] = &stepSpec{work: work, cpu: 1000}
		w.mu.Unlock()
		return id, map[string]any{"spec": "x", "steps": []any{step(1, 1000, 256, int(work.Milliseconds()), map[string]any{"required-label": "b"})}}
	}
	var tasks []string
	for range 5 {
		held, release := make(chan struct{}), make(chan struct{})
		var once sync.Once
		if w.trouble {
			special.front.mu.Lock()
			special.front.hold = func(path string, c call) <-chan struct{} {
				var wait <-chan struct{}
				if path == "/hold" && c.LastSeen > 0 {
					once.Do(func() { wait = release; close(held) })
				}
				return wait
			}
			special.front.mu.Unlock()
		}
		first, body := job(500 * time.Millisecond)
		tasks = append(tasks, first+".0.0.0")
		if !w.submit("/lohu930/"+first, body, w.nodes...) {
			w.cannot("a job isn't accepted")
		}
		if w.trouble {
			select {
			case <-held:
			case <-time.After(5 * time.Second):
				w.cannot("no call to hold up")
			}
			w.log("a call to %s is held up", special.id)
			special.crash()
			time.Sleep(200 * time.Millisecond)
			special.start()
		}
		second, body := job(80 * time.Millisecond)
		tasks = append(tasks, second+".0.0.0")
		w.submit("/lohu930/"+second, body, w.nodes...)
		time.Sleep(200 * time.Millisecond)
		close(release)
		w.log("the call goes on")
		time.Sleep(12 * time.Second)
	}
	for _, task := range tasks {
		runs := w.taskRuns(task)
		for a := range runs {
			for b := a + 1; b < len(runs); b++ {
				if runs[a].how == "done" && !runs[a].noted.IsZero() {
					w.fail("TWICE: %s: run %d ended done and was taken note of, run %d started %d ms after that", task, runs[a].run, runs[b].run, runs[b].began.Sub(runs[a].over).Milliseconds())
				}
			}
		}
	}
}
