package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMax = 10 * time.Second
	stopMS  = 200 * time.Millisecond
)

// run is one run of a task, as its runner saw it.
type run struct {
	task       string
	number     int
	runner     string
	start, end time.Time
	how        string
	spec       string
	// noted is when last-seen reached the end.
	noted    time.Time
	sequence int
	// until is when the task's work is done; zero for a task that lasts.
	until time.Time
	// outcome is how the run ends then.
	outcome string
}

// machine is a stand-in for one runner's machine; its address stays, and each life of
// the runner has an ID of its own.
type machine struct {
	world   *world
	index   int
	service string
	address string

	mu        sync.Mutex
	life      int
	id        string
	server    *http.Server
	born      time.Time
	fence     uint64
	leaseEnd  time.Duration
	running   map[string]*run
	ended     []*run
	closedRun map[string]int
	sequence  int
	change    chan struct{}
	alive     bool
	stopBeat  chan struct{}
}

func newMachine(w *world, index int, service string) *machine {
	m := &machine{world: w, index: index, service: service}
	listener := w.listen()
	m.address = listener.Addr().String()
	m.begin(listener)
	return m
}

// begin starts a life of the runner.
func (m *machine) begin(listener net.Listener) {
	m.mu.Lock()
	m.life++
	m.id = fmt.Sprintf("r%02d%04x", m.index, 0x1000+m.life*37+m.index)
	m.born, m.fence, m.leaseEnd, m.sequence = time.Now(), 0, 0, 0
	m.running, m.ended, m.closedRun = map[string]*run{}, nil, map[string]int{}
	m.change, m.alive, m.stopBeat = make(chan struct{}), true, make(chan struct{})
	life, stop := m.life, m.stopBeat
	m.server = &http.Server{Handler: http.HandlerFunc(m.serve)}
	server := m.server
	m.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go m.tick(life)
	go m.beat(stop)
}

// beat registers the runner in the store and writes its entry each heartbeat.
func (m *machine) beat(stop chan struct{}) {
	for sequence := 1; ; sequence++ {
		m.mu.Lock()
		id := m.id
		m.mu.Unlock()
		m.world.store.put("servers/"+id, map[string]any{
			"service": m.service, "address": m.address, "zone": "hall-a", "version": "1", "slots": 8,
			"state": "ready", "cold-left-ms": 0, "sequence": sequence,
			"capacity": map[string]int{"cpu": 16000, "mem-mb": 65536, "gpu": 0},
			"labels":   []string{"a", "rack-" + strconv.Itoa(m.index/5)},
		})
		select {
		case <-stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// crash ends the life of the runner: everything that runs there is gone. The next life
// answers at the same address after the pause; the old entry goes with it.
func (m *machine) crash(pause time.Duration) {
	m.mu.Lock()
	if !m.alive {
		m.mu.Unlock()
		return
	}
	m.alive = false
	close(m.stopBeat)
	old := m.id
	for _, r := range m.running {
		r.end, r.how = time.Now(), "runner crashed"
	}
	m.running = map[string]*run{}
	server := m.server
	m.mu.Unlock()
	_ = server.Close()
	m.world.note("runner %s at machine %d crashes; its machine is back in %v", old, m.index, pause)
	go func() {
		time.Sleep(4500 * time.Millisecond)
		m.world.store.drop("servers/" + old)
	}()
	go func() {
		time.Sleep(pause)
		listener, err := net.Listen("tcp", m.address)
		if err != nil {
			m.world.note("machine %d cannot listen again: %v", m.index, err)
			return
		}
		m.begin(listener)
		m.mu.Lock()
		m.world.note("machine %d is back as runner %s", m.index, m.id)
		m.mu.Unlock()
	}()
}

func (m *machine) clock() time.Duration { return 1000*time.Second + time.Since(m.born) }

// finish ends a run and lists its end; the caller holds the lock.
func (m *machine) finish(r *run, how string) {
	delete(m.running, r.task)
	m.sequence++
	r.end, r.how, r.sequence = time.Now(), how, m.sequence
	m.closedRun[r.task] = max(m.closedRun[r.task], r.number)
	m.ended = append(m.ended, r)
	close(m.change)
	m.change = make(chan struct{})
}

// tick ends runs whose time has come, and all when the lease ends.
func (m *machine) tick(life int) {
	for {
		time.Sleep(5 * time.Millisecond)
		m.mu.Lock()
		if !m.alive || m.life != life {
			m.mu.Unlock()
			return
		}
		lapsed := m.clock() > m.leaseEnd
		for _, r := range m.running {
			switch {
			case lapsed:
				m.finish(r, "lapsed")
			case !r.until.IsZero() && time.Now().After(r.until):
				m.finish(r, r.outcome)
			}
		}
		m.mu.Unlock()
	}
}

type call struct {
	Task     string  `json:"task"`
	Run      int     `json:"run"`
	Spec     string  `json:"spec"`
	UntilMS  int64   `json:"until-ms"`
	Fence    uint64  `json:"fence"`
	LastSeen int     `json:"last-seen"`
	WaitMS   int     `json:"wait-ms"`
	Percent  float64 `json:"percent"`
}

func (m *machine) extend(untilMS int64) {
	end := min(time.Duration(untilMS)*time.Millisecond, m.clock()+holdMax)
	m.leaseEnd = max(m.leaseEnd, end)
}

func (m *machine) serve(w http.ResponseWriter, r *http.Request) {
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if want := r.Header.Get("Expect-Instance"); want != "" && want != m.id || !m.alive {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	conflict := func(reason string) {
		reply(w, http.StatusConflict, map[string]any{"clock-ms": m.clock().Milliseconds(), "reason": reason})
	}
	if c.Fence < m.fence {
		conflict("fence")
		return
	}
	m.fence = c.Fence
	ok := func() { reply(w, http.StatusOK, map[string]any{"clock-ms": m.clock().Milliseconds()}) }
	switch r.URL.Path {
	case "/run-start":
		if there := m.running[c.Task]; there != nil && there.number == c.Run {
			m.extend(c.UntilMS)
			ok()
			return
		}
		if time.Duration(c.UntilMS)*time.Millisecond <= m.clock() {
			conflict("late")
			return
		}
		m.extend(c.UntilMS)
		if m.running[c.Task] != nil || c.Run <= m.closedRun[c.Task] {
			conflict("old")
			return
		}
		started := &run{task: c.Task, number: c.Run, runner: m.id, start: time.Now(), spec: c.Spec}
		started.until, started.outcome = workOf(c.Spec, started.start)
		m.running[c.Task] = started
		m.world.started(started)
		ok()
	case "/run-stop":
		m.closedRun[c.Task] = max(m.closedRun[c.Task], c.Run)
		if there := m.running[c.Task]; there != nil && there.number <= c.Run {
			life := m.life
			time.AfterFunc(stopMS/2, func() {
				m.mu.Lock()
				defer m.mu.Unlock()
				if m.alive && m.life == life && m.running[c.Task] == there {
					m.finish(there, "stopped")
				}
			})
		}
		ok()
	case "/pace":
		ok()
	case "/hold":
		m.hold(w, r.Context(), c)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// hold answers with what runs and what has ended; the caller holds the lock.
func (m *machine) hold(w http.ResponseWriter, ctx context.Context, c call) {
	if c.UntilMS > 0 {
		m.extend(c.UntilMS)
	}
	for len(m.ended) > 0 && m.ended[0].sequence <= c.LastSeen {
		m.ended[0].noted = time.Now()
		m.ended = m.ended[1:]
	}
	if wait := time.Duration(min(c.WaitMS, 2000)) * time.Millisecond; wait > 0 && len(m.ended) == 0 {
		change, life := m.change, m.life
		m.mu.Unlock()
		select {
		case <-change:
		case <-ctx.Done():
		case <-time.After(wait):
		}
		m.mu.Lock()
		if m.life != life || !m.alive {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range m.running {
		percent := 100
		if r.outcome == "done" {
			percent = min(99, int(100*time.Since(r.start)/r.until.Sub(r.start)))
		}
		if r.outcome != "done" && time.Since(r.start) < 500*time.Millisecond {
			percent = 0 // a short startup
		}
		running = append(running, []any{r.task, r.number, "", percent, 0})
	}
	for _, r := range m.ended[:min(len(m.ended), 500)] {
		ended = append(ended, []any{r.sequence, r.task, r.number, r.how, ""})
	}
	reply(w, http.StatusOK, map[string]any{"clock-ms": m.clock().Milliseconds(), "running": running, "ended": ended})
}

// workOf reads when and how a run ends: "work-ms=N" is done after N ms, and
// "fails-within-ms=A-B" is a task that lasts and fails at a time between the two. Any other
// spec is a task that lasts.
func workOf(spec string, start time.Time) (until time.Time, outcome string) {
	if text, found := strings.CutPrefix(spec, "work-ms="); found {
		ms, _ := strconv.Atoi(text)
		return start.Add(time.Duration(ms) * time.Millisecond), "done"
	}
	if text, found := strings.CutPrefix(spec, "fails-within-ms="); found {
		from, to, _ := strings.Cut(text, "-")
		least, _ := strconv.Atoi(from)
		most, _ := strconv.Atoi(to)
		return start.Add(time.Duration(least+rand.IntN(most-least)) * time.Millisecond), "failed"
	}
	return time.Time{}, ""
}
