package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// stepSpec is what a runner knows of a step: the tasks themselves know what they do.
type stepSpec struct {
	work   time.Duration
	lasts  bool
	gang   int
	saves  time.Duration
	fails  func(runner string, run int) bool
	cpu    int
	size   int
	steps  int
	repeat int
}

// run is a task at work on a runner.
type run struct {
	task     string
	number   int
	began    time.Time
	stopping bool
}

type ended struct {
	at   time.Time
	n    uint64
	task string
	run  int
	how  string
}

// runner is one machine with one life at a time.
type runner struct {
	w       *world
	service string
	zone    string
	labels  []string
	cpu     int
	mem     int
	gpu     int

	mu       sync.Mutex
	id       string
	address  string
	listener net.Listener
	server   *http.Server
	up       bool
	epoch    time.Time
	until    time.Duration
	fence    uint64
	running  map[string]*run
	highest  map[string]int
	ends     []ended
	n        uint64
	draining bool
	changed  chan struct{}
	sequence int
	life     chan struct{}
	// hang says that calls get no answer; carry that they are carried out all the same.
	hang, carry bool
	// delay is how long an answer takes.
	delay time.Duration
	// born is the start of the life in Unix milliseconds, 0 if the runner doesn't tell; it keeps
	// its id over lives then.
	born int64
	// front, if set, is the proxy at the runner's address.
	front *callProxy
	// lapsedAt is when the lease was last seen to have ended.
	lapsedAt time.Time
}

func (r *runner) clock() time.Duration { return time.Since(r.epoch) }

// start begins a life at the runner's address.
func (r *runner) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.address == "" {
		r.address = r.w.freeAddress()
	}
	listener, err := net.Listen("tcp", r.address)
	for try := 0; err != nil && try < 50; try++ {
		time.Sleep(50 * time.Millisecond)
		listener, err = net.Listen("tcp", r.address)
	}
	if err != nil {
		r.w.cannot("runner does not listen: %v", err)
	}
	if r.born == 0 || r.id == "" {
		r.id = fmt.Sprintf("i-%010x", rand.Int63n(1<<40))
	}
	r.epoch = time.Now().Add(-time.Duration(100+rand.Intn(100000)) * time.Millisecond)
	if r.born != 0 {
		// The clock of each life starts anew.
		r.born = time.Now().UnixMilli()
		r.epoch = time.Now().Add(-time.Second)
	}
	r.until, r.fence, r.n, r.ends = 0, 0, 0, nil
	r.running, r.highest = map[string]*run{}, map[string]int{}
	r.changed, r.life = make(chan struct{}), make(chan struct{})
	r.listener, r.up, r.draining = listener, true, false
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.serve(r.runStart))
	mux.HandleFunc("POST /run-stop", r.serve(r.runStop))
	mux.HandleFunc("POST /hold", r.hold)
	mux.HandleFunc("POST /pace", r.serve(func(call) (int, map[string]any) { return 200, map[string]any{} }))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) })
	r.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(listener) }(r.server)
	go r.beat(r.id, r.life)
	go r.work(r.life)
	r.w.log("runner %s begins at %s (%s)", r.id, r.address, strings.Join(r.labels, ","))
}

// crash ends the life: all that runs is gone, and connections are reset.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	r.up = false
	close(r.life)
	_ = r.server.Close()
	var lost []string
	for task, at := range r.running {
		lost = append(lost, fmt.Sprintf("%s run %d after %d ms", task, at.number, time.Since(at.began).Milliseconds()))
		r.w.over(r.id, task, at.number, "lost")
	}
	sort.Strings(lost)
	r.running = map[string]*run{}
	r.w.log("runner %s crashes; lost: %v", r.id, lost)
	id := r.id
	// Its entry is removed after three heartbeat intervals of silence.
	if r.born == 0 {
		time.AfterFunc(3*heartbeat, func() { r.w.store.drop("servers/" + id) })
	}
}

const heartbeat = 1500 * time.Millisecond

func (r *runner) beat(id string, life chan struct{}) {
	written := time.Now()
	for {
		r.mu.Lock()
		r.sequence++
		state := "ready"
		if r.draining {
			state = "draining"
		}
		address := r.address
		if r.front != nil {
			address = r.front.address
		}
		fields := map[string]any{
			"service": r.service, "address": address, "zone": r.zone, "version": "v1", "slots": 8, "state": state,
			"cold-left-ms": 0, "capacity": map[string]int{"cpu": r.cpu, "mem-mb": r.mem, "gpu": r.gpu}, "labels": r.labels,
			"clock-ms": r.clock().Milliseconds(), "sequence": r.sequence,
		}
		if r.born != 0 {
			fields["born"] = r.born
		}
		entry, _ := json.Marshal(fields)
		r.mu.Unlock()
		select {
		case <-life:
			return
		default:
		}
		if !r.w.isCut(r.zone) {
			r.w.store.write("servers/"+id, entry)
			written = time.Now()
		} else if time.Since(written) > 3*heartbeat {
			r.w.store.drop("servers/" + id)
		}
		select {
		case <-life:
			return
		case <-time.After(heartbeat):
		}
	}
}

// work ends what is done, and all when the lease ends.
func (r *runner) work(life chan struct{}) {
	for {
		select {
		case <-life:
			return
		case <-time.After(10 * time.Millisecond):
		}
		r.mu.Lock()
		if r.clock() > r.until {
			r.lapsedAt = time.Now()
			for task := range r.running {
				r.end(task, "lapsed")
			}
		}
		for task, at := range r.running {
			spec := r.w.spec(task)
			switch {
			case at.stopping:
			case spec == nil || spec.lasts:
			case spec.fails != nil && spec.fails(r.id, at.number) && time.Since(at.began) > spec.work/2:
				r.end(task, "failed")
			case spec.gang > 1:
				if began, ok := r.w.gangBegan(task, at.number, spec.gang); ok && time.Since(began) > spec.work {
					r.end(task, "done")
				}
			case time.Since(at.began) > spec.work:
				r.end(task, "done")
			}
		}
		r.mu.Unlock()
	}
}

// end ends a run; the caller holds the lock.
func (r *runner) end(task string, how string) {
	at := r.running[task]
	delete(r.running, task)
	r.n++
	r.highest[task] = max(r.highest[task], at.number)
	r.ends = append(r.ends, ended{time.Now(), r.n, task, at.number, how})
	r.w.over(r.id, task, at.number, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// call has the fields of all calls.
type call struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMS    int64  `json:"until-ms"`
	Fence      uint64 `json:"fence"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	LastSeen   uint64 `json:"last-seen"`
	WaitMS     int64  `json:"wait-ms"`
	Percent    int    `json:"percent"`
}

// misdirected answers calls for another incarnation.
func (r *runner) misdirected(w http.ResponseWriter, req *http.Request) bool {
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(421)
		return true
	}
	return false
}

func (r *runner) serve(handle func(call) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		var c call
		if json.NewDecoder(req.Body).Decode(&c) != nil {
			w.WriteHeader(400)
			return
		}
		r.mu.Lock()
		if !r.up || r.misdirected(w, req) {
			r.mu.Unlock()
			return
		}
		if r.hang && !r.carry || r.w.sideCut(r.zone, c.Fence) {
			r.mu.Unlock()
			<-req.Context().Done()
			return
		}
		if c.UntilMS > 0 && c.Task != "" && r.w.isLate() {
			life := r.life
			r.mu.Unlock()
			time.AfterFunc(time.Duration(2000+rand.Intn(6000))*time.Millisecond, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				if r.up && r.life == life && !r.w.sideCut(r.zone, c.Fence) {
					r.w.log("late order: %s run %d", c.Task, c.Run)
					handle(c)
				}
			})
			<-req.Context().Done()
			return
		}
		status, body := handle(c)
		body["clock-ms"] = r.clock().Milliseconds()
		hang, delay := r.hang, r.delay
		r.mu.Unlock()
		if hang {
			<-req.Context().Done()
			return
		}
		time.Sleep(delay)
		reply(w, status, body)
	}
}

func (r *runner) fenced(c call) bool {
	if c.Fence < r.fence {
		return true
	}
	r.fence = c.Fence
	return false
}

func (r *runner) extend(untilMS int64) {
	until := min(time.Duration(untilMS)*time.Millisecond, r.clock()+holdMax)
	r.until = max(r.until, until)
}

const holdMax = 10 * time.Second

func (r *runner) runStart(c call) (int, map[string]any) {
	if r.fenced(c) {
		return 409, map[string]any{"reason": "fence"}
	}
	if at := r.running[c.Task]; at != nil && at.number == c.Run {
		r.extend(c.UntilMS)
		return 200, map[string]any{}
	}
	if time.Duration(c.UntilMS)*time.Millisecond < r.clock() {
		return 409, map[string]any{"reason": "late"}
	}
	r.extend(c.UntilMS)
	if r.highest[c.Task] >= c.Run || r.running[c.Task] != nil {
		return 409, map[string]any{"reason": "old"}
	}
	r.running[c.Task] = &run{c.Task, c.Run, time.Now(), false}
	r.w.began(r.id, c.Task, c.Run, c.Fence, c.Spec)
	return 200, map[string]any{}
}

const stopTime = 200 * time.Millisecond

func (r *runner) runStop(c call) (int, map[string]any) {
	if r.fenced(c) {
		return 409, map[string]any{"reason": "fence"}
	}
	r.highest[c.Task] = max(r.highest[c.Task], c.Run)
	at := r.running[c.Task]
	if at == nil || at.number > c.Run || at.stopping {
		return 200, map[string]any{}
	}
	at.stopping = true
	life := r.life
	time.AfterFunc(stopTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.life == life && r.running[c.Task] == at {
			r.end(c.Task, "stopped")
		}
	})
	return 200, map[string]any{}
}

func (r *runner) hold(w http.ResponseWriter, req *http.Request) {
	var c call
	if json.NewDecoder(req.Body).Decode(&c) != nil {
		w.WriteHeader(400)
		return
	}
	r.mu.Lock()
	if !r.up || r.misdirected(w, req) {
		r.mu.Unlock()
		return
	}
	if r.hang && !r.carry || r.w.sideCut(r.zone, c.Fence) {
		r.mu.Unlock()
		<-req.Context().Done()
		return
	}
	if r.fenced(c) {
		body := map[string]any{"clock-ms": r.clock().Milliseconds(), "reason": "fence"}
		r.mu.Unlock()
		reply(w, 409, body)
		return
	}
	if c.UntilMS > 0 {
		r.extend(c.UntilMS)
	}
	for len(r.ends) > 0 && r.ends[0].n <= c.LastSeen {
		if r.lapsedAt.Before(r.ends[0].at) {
			r.w.noted(r.id, r.ends[0])
		}
		r.ends = r.ends[1:]
	}
	life := r.life
	timeout := time.After(time.Duration(c.WaitMS) * time.Millisecond)
	for waiting := c.WaitMS > 0; waiting && len(r.ends) == 0; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-life:
			return
		case <-req.Context().Done():
			return
		}
		r.mu.Lock()
	}
	running, ends := [][]any{}, [][]any{}
	for task, at := range r.running {
		percent, tail := 100, 0
		if spec := r.w.spec(task); spec != nil && !spec.lasts {
			began, ok := at.began, true
			if spec.gang > 1 {
				began, ok = r.w.gangBegan(task, at.number, spec.gang)
			}
			percent = 0
			if ok {
				percent = min(int(100*time.Since(began)/spec.work), 99)
			}
			tail = spec.cpu
		}
		running = append(running, []any{task, at.number, "", percent, tail})
	}
	for _, e := range r.ends[:min(len(r.ends), 500)] {
		ends = append(ends, []any{e.n, e.task, e.run, e.how, ""})
	}
	body := map[string]any{"clock-ms": r.clock().Milliseconds(), "running": running, "ended": ends}
	if r.born != 0 {
		body["born"] = r.born
	}
	hang, delay := r.hang || r.w.sideCut(r.zone, c.Fence), r.delay
	r.mu.Unlock()
	if hang {
		<-req.Context().Done()
		return
	}
	time.Sleep(delay)
	reply(w, 200, body)
}

// isLate draws whether a start is carried out late.
func (w *world) isLate() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.late > 0 && rand.Float64() < w.late
}
