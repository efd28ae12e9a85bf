package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "svc"
	hostName    = "queue.example"
	prefix      = "/q1/"
)

// world holds the stand-ins and the instances of the system, and records what they see.
type world struct {
	store *kvStore
	dir   string
	out   *os.File

	mu      sync.Mutex
	begun   time.Time
	runners []*runner
	nodes   []*node
	// live are the runs at work, by task.
	live map[string][]string
	// counts of what runners saw, by task.
	starts               map[string]int
	failed               map[string]int
	done                 map[string]int
	broken               []string
	frontPort, readyPort int
	// starting guards closed and the start of processes.
	starting sync.Mutex
	closed   bool
	// onStart is called with each start, without the lock of the runner.
	onStart func(r *runner, one *run)
}

// node is one process of the system.
type node struct {
	name, ip string
	command  *exec.Cmd
	exited   chan struct{}
	mu       sync.Mutex
	lines    []string
}

func newWorld(record string) (*world, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-rig")
	if err != nil {
		return nil, err
	}
	return &world{
		store: newStore(), dir: dir, out: out, begun: time.Now(), live: map[string][]string{},
		starts: map[string]int{}, failed: map[string]int{}, done: map[string]int{},
	}, nil
}

func (w *world) log(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, values...))
}

// breaks records that a rule was broken.
func (w *world) breaks(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	w.log("RULE BROKEN: %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

// lengthOf reads the run time in milliseconds that the spec begins with; 0 for a task that
// lasts.
func (w *world) lengthOf(spec string) time.Duration {
	ms, _ := strconv.Atoi(spec)
	return time.Duration(ms) * time.Millisecond
}

func (w *world) runStarted(r *runner, one *run) {
	w.log("runner %s starts %s run %d", r.id, one.task, one.number)
	w.mu.Lock()
	w.starts[one.task]++
	w.live[one.task] = append(w.live[one.task], fmt.Sprintf("run %d on %s", one.number, r.id))
	live := append([]string(nil), w.live[one.task]...)
	doneBefore, onStart := w.done[one.task], w.onStart
	w.mu.Unlock()
	if len(live) > 1 {
		w.breaks("TWICE: %s runs at the same time as %s", one.task, strings.Join(live, " and as "))
	}
	if doneBefore > 0 {
		w.log("%s starts after a run of it has ended done", one.task)
	}
	if onStart != nil {
		go onStart(r, one)
	}
}

func (w *world) runEnded(id string, one *run, how string) {
	w.log("runner %s: %s run %d ends: %s", id, one.task, one.number, how)
	w.mu.Lock()
	defer w.mu.Unlock()
	left := w.live[one.task][:0]
	for _, text := range w.live[one.task] {
		if text != fmt.Sprintf("run %d on %s", one.number, id) {
			left = append(left, text)
		}
	}
	w.live[one.task] = left
	switch how {
	case "done":
		w.done[one.task]++
	case "failed":
		w.failed[one.task]++
	}
}

// failures is how many runs of a task have ended failed.
func (w *world) failures(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed[task]
}

// freePort returns a port that is free on the loopback address.
func freePort() int {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

// build starts the store, the runners and the instances, and waits until these are ready.
func (w *world) build(nodes, runners, cpu int) error {
	storeAddress := fmt.Sprintf("127.0.1.1:%d", freePort())
	if _, err := w.store.listen(storeAddress); err != nil {
		return err
	}
	go w.store.expireLoop(make(chan struct{}))
	w.store.write("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "q1", "host": hostName, "prefix": prefix, "service": serviceName, "timeout-ms": 3000,
			"target-latency-ms": 1000, "priority": 1, "max-attempts": 4, "stretch": 2,
		}},
		"services": []any{map[string]any{"name": serviceName}},
	})
	port := freePort()
	for i := range runners {
		started, err := w.startRunner(fmt.Sprintf("i-%04d", i), fmt.Sprintf("%s:%d", runnerAddress(i), port), cpu)
		if err != nil {
			return err
		}
		w.runners = append(w.runners, started)
	}
	ports := []int{freePort(), freePort(), freePort()}
	first := 20000 + os.Getpid()%20000
	for i := range nodes {
		ip := fmt.Sprintf("127.0.3.%d", 10+i)
		name := fmt.Sprintf("edge-z1-%d", i+1)
		settings := fmt.Sprintf(`node = %q
role = "entry"
class = "edge"
serves = ["edge"]
ip = %q
zone = "z1"
region = "r"
port-range = [%d,%d]
heartbeat-ms = 1500
contracts = ["base","drain","config","recover","sched","platform"]
orders = "call"
[zones]
z1 = "r"
[listen]
front = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[limits]
cpu-share = 0.4
cores = 1
memory-mb = 284
max-fds = 4100
link-mbps = 1000.0
[bounds]
drain-ms = 2000
grace-s = 6
config-apply-ms = 2000
hold-max-ms = 10000
stop-ms = 200
gang-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
status_s = 120
cross-rack-factor = 2
[platform]
address = %q
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
`, name, ip, first, first+15, ip, ports[0], ip, ports[1], ip, ports[2], storeAddress)
		if err := os.WriteFile(filepath.Join(w.dir, name+".toml"), []byte(settings), 0o600); err != nil {
			return err
		}
		w.nodes = append(w.nodes, &node{name: name, ip: ip})
	}
	w.frontPort, w.readyPort = ports[0], ports[1]
	for _, one := range w.nodes {
		if err := w.start(one); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// start starts an instance with the command of the deploy file.
func (w *world) start(n *node) error {
	w.starting.Lock()
	defer w.starting.Unlock()
	if w.closed {
		return fmt.Errorf("the play is over")
	}
	command := exec.Command("target/cairnbay", "node")
	command.Env = append(os.Environ(), "CAIRNBAY_BOOT="+filepath.Join(w.dir, n.name+".toml"))
	output, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	command.Stderr = w.out
	if err := command.Start(); err != nil {
		return err
	}
	n.command, n.exited = command, make(chan struct{})
	w.log("instance %s is started, process %d", n.name, command.Process.Pid)
	go func() {
		n.read(output)
		err := command.Wait()
		w.log("instance %s has ended: %v", n.name, err)
		close(n.exited)
	}()
	return nil
}

func (n *node) read(output io.Reader) {
	scanner := bufio.NewScanner(output)
	scanner.Buffer(make([]byte, 1<<20), 1<<20)
	for scanner.Scan() {
		n.mu.Lock()
		n.lines = append(n.lines, scanner.Text())
		n.mu.Unlock()
	}
}

// has reports whether the instance has logged a line with all of the texts.
func (n *node) has(texts ...string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, line := range n.lines {
		all := true
		for _, text := range texts {
			all = all && strings.Contains(line, text)
		}
		if all {
			return true
		}
	}
	return false
}

// owner returns the running instance that has logged last that it has claimed the service.
func (w *world) owner() *node {
	for _, one := range w.nodes {
		select {
		case <-one.exited:
			continue
		default:
		}
		if one.has("shard claimed") {
			return one
		}
	}
	return nil
}

func (w *world) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, one := range w.nodes {
		for {
			response, err := http.Get(fmt.Sprintf("http://%s:%d/readiness", one.ip, w.readyPort))
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", one.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for w.owner() == nil {
		if time.Now().After(deadline) {
			return fmt.Errorf("the service has no owner")
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.log("all instances are ready")
	return nil
}

var caller = &http.Client{Timeout: 3 * time.Second}

// call makes a client's call to an instance.
func (w *world) call(n *node, method, path string, body any) (int, string) {
	var content io.Reader
	if body != nil {
		text, _ := json.Marshal(body)
		content = bytes.NewReader(text)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", n.ip, w.frontPort, path), content)
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", "3000")
	response, err := caller.Do(request)
	if err != nil {
		w.log("client: %s %s at %s: no answer: %v", method, path, n.name, err)
		return 0, ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	w.log("client: %s %s at %s: %d %s", method, path, n.name, response.StatusCode, strings.TrimSpace(string(text)))
	return response.StatusCode, string(text)
}

// anyNode returns an instance that runs.
func (w *world) anyNode() *node {
	for _, one := range w.nodes {
		select {
		case <-one.exited:
		default:
			return one
		}
	}
	return nil
}

// submit hands a job in until it is accepted.
func (w *world) submit(id, spec string, steps []any) error {
	for range 5 {
		status, _ := w.call(w.anyNode(), http.MethodPost, prefix+id, map[string]any{"spec": spec, "steps": steps})
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state asks for the state of a job.
func (w *world) state(id string) string {
	status, text := w.call(w.anyNode(), http.MethodGet, prefix+id, nil)
	var body struct {
		State string `json:"state"`
	}
	json.Unmarshal([]byte(text), &body)
	if status == http.StatusGone {
		return "unknown"
	}
	return body.State
}

// close ends every process that was started, and lets none start any more.
func (w *world) close() {
	w.starting.Lock()
	w.closed = true
	w.starting.Unlock()
	for _, one := range w.nodes {
		if one.command == nil {
			continue
		}
		select {
		case <-one.exited:
		default:
			one.command.Process.Signal(syscall.SIGKILL)
			<-one.exited
		}
	}
	os.RemoveAll(w.dir)
	w.out.Close()
}
