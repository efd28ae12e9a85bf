package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one task at work on a runner.
type run struct {
	task      string
	number    int
	startedAt time.Time
	length    time.Duration
	stopping  bool
}

// runner is one life of a stand-in runner, as PROTOCOL.md describes it.
type runner struct {
	world   *world
	id      string
	address string
	born    time.Time
	cpu     int

	mu      sync.Mutex
	server  *http.Server
	up      bool
	cut     bool
	fence   uint64
	leaseBy time.Time
	runs    map[string]*run
	ended   []any
	ends    uint64
	over    map[string]int
	changed chan struct{}
	stop    chan struct{}
	// onHold is called before a hold is handled; it may cut the runner off.
	onHold func(fence uint64, until int64)
}

const (
	holdMax  = 10 * time.Second
	stopTime = 200 * time.Millisecond
	beat     = 1500 * time.Millisecond
	// startupTime is how long a task that lasts takes until it is at work.
	startupTime = 400 * time.Millisecond
)

func (w *world) startRunner(id, address string, cpu int) (*runner, error) {
	r := &runner{
		world: w, id: id, address: address, born: time.Now(), cpu: cpu, up: true, runs: map[string]*run{},
		over: map[string]int{}, changed: make(chan struct{}), stop: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.handle(r.start))
	mux.HandleFunc("POST /run-stop", r.handle(r.halt))
	mux.HandleFunc("POST /hold", r.handle(r.hold))
	r.server = &http.Server{Handler: mux}
	go r.server.Serve(listener)
	go r.live()
	w.log("runner %s is up at %s", id, address)
	return r, nil
}

func (r *runner) entry() map[string]any {
	return map[string]any{
		"service": serviceName, "address": r.address, "zone": "z1", "version": "1", "slots": 8, "state": "ready",
		"cold-left-ms": 0, "sequence": time.Since(r.born).Milliseconds(),
		"capacity": map[string]int{"cpu": r.cpu, "mem-mb": 65536, "gpu": 0}, "labels": []string{"a", "r1"},
	}
}

// live sends heartbeats, ends runs in time and kills them when the lease lapses.
func (r *runner) live() {
	lastBeat := time.Time{}
	for {
		if r.reachable() && time.Since(lastBeat) >= beat && r.world.store.write("servers/"+r.id, r.entry()) {
			lastBeat = time.Now()
		}
		r.mu.Lock()
		for _, one := range r.runs {
			switch {
			case time.Now().After(r.leaseBy):
				r.finish(one, "lapsed")
			case one.length > 0 && time.Since(one.startedAt) >= one.length && !one.stopping:
				r.finish(one, "done")
			}
		}
		r.mu.Unlock()
		select {
		case <-r.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (r *runner) reachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up && !r.cut
}

// finish ends a run. The caller holds the lock.
func (r *runner) finish(one *run, how string) {
	if r.runs[one.task] != one {
		return
	}
	delete(r.runs, one.task)
	r.over[one.task] = max(r.over[one.task], one.number)
	r.ends++
	r.ended = append(r.ended, []any{r.ends, one.task, one.number, how, ""})
	r.world.runEnded(r.id, one, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// crash ends this life: everything that runs is gone, and connections are reset.
func (r *runner) crash() {
	r.mu.Lock()
	r.up = false
	for _, one := range r.runs {
		r.world.runEnded(r.id, one, "lost with the runner")
	}
	r.runs = map[string]*run{}
	r.mu.Unlock()
	close(r.stop)
	r.server.Close()
	r.world.log("runner %s has crashed", r.id)
}

func (r *runner) setCut(cut bool) {
	r.mu.Lock()
	r.cut = cut
	r.mu.Unlock()
	r.world.log("runner %s cut off: %v", r.id, cut)
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Until    int64  `json:"until-ms"`
	Fence    uint64 `json:"fence"`
	LastSeen uint64 `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() }

// handle decodes a call and refuses one for another life or with a lower fence.
func (r *runner) handle(next func(http.ResponseWriter, *http.Request, order)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		var call order
		if err := json.NewDecoder(req.Body).Decode(&call); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.onHold != nil && req.URL.Path == "/hold" {
			r.onHold(call.Fence, call.Until)
		}
		if !r.reachable() {
			// The call is lost: it is neither handled nor answered.
			<-req.Context().Done()
			return
		}
		if named := req.Header.Get("Expect-Instance"); named != "" && named != r.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		r.mu.Lock()
		if call.Fence < r.fence {
			r.mu.Unlock()
			r.refuse(w, "fence")
			return
		}
		r.fence = call.Fence
		r.mu.Unlock()
		next(w, req, call)
	}
}

func (r *runner) refuse(w http.ResponseWriter, reason string) {
	answer(w, http.StatusConflict, map[string]any{"clock-ms": r.clock(), "reason": reason})
}

// extend lengthens the lease. The caller holds the lock.
func (r *runner) extend(until int64) {
	if until == 0 {
		return
	}
	by := r.born.Add(time.Duration(until) * time.Millisecond)
	if latest := time.Now().Add(holdMax); by.After(latest) {
		by = latest
	}
	if by.After(r.leaseBy) {
		r.leaseBy = by
	}
}

func (r *runner) start(w http.ResponseWriter, _ *http.Request, call order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	existing := r.runs[call.Task]
	switch {
	case existing != nil && existing.number == call.Run:
	case call.Run <= r.over[call.Task] || existing != nil:
		r.extend(call.Until)
		r.refuse(w, "old")
		return
	case call.Until <= r.clock():
		r.refuse(w, "late")
		return
	default:
		r.extend(call.Until)
		one := &run{task: call.Task, number: call.Run, startedAt: time.Now(), length: r.world.lengthOf(call.Spec)}
		r.runs[call.Task] = one
		r.world.runStarted(r, one)
	}
	r.extend(call.Until)
	answer(w, http.StatusOK, map[string]any{"clock-ms": r.clock()})
}

func (r *runner) halt(w http.ResponseWriter, _ *http.Request, call order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if one := r.runs[call.Task]; one != nil && one.number <= call.Run && !one.stopping {
		one.stopping = true
		go func() {
			time.Sleep(stopTime)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.finish(one, "stopped")
		}()
	} else if one == nil {
		r.over[call.Task] = max(r.over[call.Task], call.Run)
	}
	answer(w, http.StatusOK, map[string]any{"clock-ms": r.clock()})
}

func (r *runner) hold(w http.ResponseWriter, req *http.Request, call order) {
	r.mu.Lock()
	r.extend(call.Until)
	kept := r.ended[:0]
	for _, end := range r.ended {
		if end.([]any)[0].(uint64) > call.LastSeen {
			kept = append(kept, end)
		}
	}
	r.ended = kept
	pending, changed := len(r.ended), r.changed
	r.mu.Unlock()
	if pending == 0 && call.Wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(call.Wait, 2000)) * time.Millisecond):
		case <-req.Context().Done():
			return
		}
	}
	if !r.reachable() {
		<-req.Context().Done()
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	running, ended := []any{}, []any{}
	for _, one := range r.runs {
		percent := 0
		switch {
		case one.length > 0:
			percent = min(int(100*time.Since(one.startedAt)/one.length), 99)
		case time.Since(one.startedAt) > startupTime:
			// A task that lasts is at work.
			percent = 100
		}
		running = append(running, []any{one.task, one.number, "", percent, 1000})
	}
	ended = append(ended, r.ended...)
	answer(w, http.StatusOK, map[string]any{"clock-ms": r.clock(), "running": running, "ended": ended})
}

func runnerAddress(index int) string { return fmt.Sprintf("127.0.2.%d", 10+index) }
