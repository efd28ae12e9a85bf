// Command rig runs one of the review's cases: it starts the project's own instances as
// processes on loopback addresses, with stand-ins of the platform's store, runners and
// clients, and says whether a rule was broken.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is one deployment: the store, the runners and the instances.
type world struct {
	dir      string
	record   *os.File
	began    time.Time
	trouble  bool
	store    *kvStore
	machines []*machine
	nodes    []*node
	// nextPort is where the search for free ports goes on.
	nextPort int
	// cpuShare is the setting cpu-share of the instances.
	cpuShare string
	// memoryMB is the memory beyond which the platform kills a process, 0 for no such limit.
	memoryMB int

	mu   sync.Mutex
	runs []*run
}

// node is one instance of the system.
type node struct {
	name, front, ready, settings string
	mu                           sync.Mutex
	command                      *exec.Cmd
	stopping                     bool
	exits                        int
}

// note writes a line to the record.
func (w *world) note(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, values...))
}

// started adds a run to those that the runners saw.
func (w *world) started(r *run) {
	w.mu.Lock()
	w.runs = append(w.runs, r)
	w.mu.Unlock()
	w.note("runner %s starts %s run %d", r.runner, r.task, r.number)
}

// listen opens a free loopback port.
func (w *world) listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail(err)
	}
	return listener
}

// fail ends a case that could not run.
func fail(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	if current != nil {
		current.note("the case could not run: %v", err)
		current.close()
	}
	os.Exit(2)
}

var current *world

// newWorld starts the store and the runners, by service.
func newWorld(recordPath string, runners map[string]int) *world {
	record, err := os.Create(recordPath)
	if err != nil {
		fail(err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fail(err)
	}
	w := &world{cpuShare: "0.4", dir: dir, record: record, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0", store: newStore(), nextPort: 21000 + rand.IntN(900)*40}
	current = w
	time.AfterFunc(115*time.Second, func() { fail(fmt.Errorf("the time is over")) })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		fail(fmt.Errorf("stopped by a signal"))
	}()
	for _, service := range []string{"docket", "exhibits"} {
		for range runners[service] {
			w.machines = append(w.machines, newMachine(w, len(w.machines), service))
		}
	}
	return w
}

// freePorts returns the first of ten free ports in a row.
func (w *world) freePorts() int {
	for ; ; w.nextPort += 10 {
		base := w.nextPort
		free := true
		for port := base; port < base+10 && free; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if free = err == nil; free {
				_ = listener.Close()
			}
		}
		if free {
			w.nextPort += 10
			return base
		}
	}
}

// startNodes starts the instances, each with the command of the deploy file.
func (w *world) startNodes(count int) {
	server := &http.Server{Handler: w.store}
	listener := w.listen()
	go func() { _ = server.Serve(listener) }()
	for i := range count {
		base := w.freePorts()
		n := &node{
			name: fmt.Sprintf("edge-hall-a-%d", i+1), front: fmt.Sprintf("127.0.0.1:%d", base+8),
			ready: fmt.Sprintf("127.0.0.1:%d", base+9), settings: filepath.Join(w.dir, fmt.Sprintf("node-%d.toml", i)),
		}
		text := fmt.Sprintf(`node = %q
role = "entry"
class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "hall-a"
region = "pnw"
port-range = [%d,%d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
orders = "call"
[zones]
hall-a = "pnw"
[listen]
front = %q
ready = %q
[limits]
cpu-share = %s
cores = 1
memory-mb = 284
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[bounds]
stable-window-ms = 3000
ack-ms = 4000
drain-ms = 2000
grace-s = 6
config-apply-ms = 2000
recovery-s = 12
hold-max-ms = 10000
stop-ms = 200
gang-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
cross-rack-factor = 2
save-s = 2
restore-ms = 100
lease-ms = 3000
[platform]
address = %q
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
`, n.name, base, base+7, n.front, n.ready, w.cpuShare, listener.Addr().String())
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			fail(err)
		}
		w.nodes = append(w.nodes, n)
		w.startNode(n)
	}
	for _, n := range w.nodes {
		if !w.until(15*time.Second, func() bool { return w.isReady(n) }) {
			fail(fmt.Errorf("%s is not ready within 15 s", n.name))
		}
	}
	w.note("%d instances are ready", count)
}

// startNode starts an instance, and again after a pause whenever its process ends, as the
// platform does.
func (w *world) startNode(n *node) {
	logs, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail(err)
	}
	command := exec.Command("target/cairnbay", "node")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CAIRNBAY_BOOT=" + n.settings}
	command.Stdout, command.Stderr = logs, logs
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		fail(err)
	}
	n.mu.Lock()
	n.command = command
	n.mu.Unlock()
	ended := make(chan struct{})
	if w.memoryMB > 0 {
		go w.watchMemory(n.name, command.Process, ended)
	}
	go func() {
		err := command.Wait()
		close(ended)
		_ = logs.Close()
		n.mu.Lock()
		stopping := n.stopping
		n.exits++
		n.mu.Unlock()
		if stopping {
			return
		}
		w.note("the process of %s has ended: %v", n.name, err)
		time.Sleep(500 * time.Millisecond)
		n.mu.Lock()
		stopping = n.stopping
		n.mu.Unlock()
		if !stopping {
			w.startNode(n)
		}
	}()
}

// watchMemory kills a process that exceeds memory-mb, as the platform does.
func (w *world) watchMemory(name string, process *os.Process, ended chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", process.Pid))
		fields := strings.Fields(string(text))
		if err != nil || len(fields) < 2 {
			continue
		}
		pages, _ := strconv.Atoi(fields[1])
		if used := pages * os.Getpagesize() >> 20; used > w.memoryMB {
			w.note("platform: the process of %s uses %d MB of %d MB and is killed", name, used, w.memoryMB)
			_ = process.Kill()
			return
		}
	}
}

// close ends every process that the case started.
func (w *world) close() {
	for _, n := range w.nodes {
		n.mu.Lock()
		n.stopping = true
		if n.command != nil && n.command.Process != nil {
			_ = n.command.Process.Signal(syscall.SIGKILL)
		}
		n.mu.Unlock()
	}
	time.Sleep(200 * time.Millisecond)
	if keep := os.Getenv("KEEP"); keep == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
	_ = w.record.Sync()
}

// listRuns writes every run that the runners saw to the record.
func (w *world) listRuns() {
	for _, m := range w.machines {
		m.mu.Lock()
		defer m.mu.Unlock()
	}
	at := func(moment time.Time) string {
		if moment.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.3f", moment.Sub(w.began).Seconds())
	}
	w.note("all runs: task, run, runner, start, end, how, noted by last-seen")
	for _, r := range w.runsOf("") {
		w.note("  %s %d %s %s %s %q %s", r.task, r.number, r.runner, at(r.start), at(r.end), r.how, at(r.noted))
	}
}

// finish writes the result and ends the program: 1 if the rule was broken, else 0.
func (w *world) finish(broken bool, format string, values ...any) {
	w.listRuns()
	w.note("result: "+format, values...)
	fmt.Printf(format+"\n", values...)
	w.close()
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

func (w *world) until(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}

var httpClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (w *world) isReady(n *node) bool {
	response, err := httpClient.Get("http://" + n.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// call makes a client's call to an instance; status 0 is no answer.
func (w *world) call(n *node, method, path string, body any, quiet bool) (status int, answer string) {
	var reader io.Reader
	if body != nil {
		text, _ := json.Marshal(body)
		reader = bytes.NewReader(text)
	}
	request, _ := http.NewRequest(method, "http://"+n.front+path, reader)
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", "3000")
	response, err := httpClient.Do(request)
	if err != nil {
		answer = "no answer: " + err.Error()
	} else {
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		status, answer = response.StatusCode, strings.TrimSpace(string(text))
	}
	if !quiet {
		w.note("client: %s %s at %s -> %d %s", method, path, n.name, status, answer)
	}
	return status, answer
}

// submit hands a job in, with repeats after a refusal or no answer, as clients do.
func (w *world) submit(path string, body any) bool {
	for try := range 20 {
		if status, _ := w.call(w.nodes[try%len(w.nodes)], http.MethodPost, path, body, false); status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for a job's state at any instance that answers.
func (w *world) state(path string, quiet bool) string {
	for try := range 4 {
		status, answer := w.call(w.nodes[try%len(w.nodes)], http.MethodGet, path, nil, quiet)
		switch status {
		case http.StatusOK:
			var body struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal([]byte(answer), &body)
			return body.State
		case http.StatusGone:
			return "410"
		}
	}
	return "no answer"
}

// runsOf returns the runs of the tasks whose name begins with a prefix.
func (w *world) runsOf(prefix string) []*run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []*run
	for _, r := range w.runs {
		if strings.HasPrefix(r.task, prefix) {
			found = append(found, r)
		}
	}
	return found
}

const host = "filings.example"

type route struct {
	name, prefix, service string
}

// configure writes a configuration, as the operator does.
func (w *world) configure(version int, routes ...route) {
	rows := []map[string]any{}
	for _, r := range routes {
		rows = append(rows, map[string]any{
			"name": r.name, "host": host, "prefix": r.prefix, "service": r.service, "timeout-ms": 3000,
			"target-latency-ms": 3000, "priority": 1, "max-attempts": 3, "stretch": 4.0,
		})
	}
	w.store.put("op/config", map[string]any{
		"version": version, "routes": rows, "limits": map[string]any{},
		"services": []map[string]any{
			{"name": "docket", "rejects-overload": false}, {"name": "exhibits", "rejects-overload": false},
		},
	})
	w.note("operator: the store has acknowledged version %d: %v", version, routes)
}
