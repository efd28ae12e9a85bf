package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
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

// world is one run of a case: the platform's stand-ins, the instances and the record.
type world struct {
	trouble bool
	folder  string
	temp    string
	host    string
	began0  time.Time
	store   *store
	address string
	nodes   []*node
	runners []*runner
	proxies []*proxy

	mu      sync.Mutex
	out     *os.File
	specs   map[string]*stepSpec
	runs    map[string][]*taskRun
	gangs   map[string]map[string]time.Time
	version int
	broken  []string
	taken   map[int]bool
	// cutZone is the zone that is cut off, cutFence the fence of the owner there.
	cutZone  string
	cutFence uint64
	// late is the share of starts that get no answer and are carried out later.
	late float64
}

// taskRun is one start of a task as its runner has seen it.
type taskRun struct {
	runner      string
	run         int
	fence       uint64
	began, over time.Time
	how         string
	noted       time.Time
}

func newWorld(folder string) *world {
	w := &world{
		trouble: os.Getenv("TROUBLE") != "0", folder: folder, began0: time.Now(),
		specs: map[string]*stepSpec{}, runs: map[string][]*taskRun{}, gangs: map[string]map[string]time.Time{}, taken: map[int]bool{},
		host: fmt.Sprintf("127.%d.%d.", 10+rand.Intn(200), rand.Intn(250)),
	}
	var err error
	if w.out, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		w.cannot("record: %v", err)
	}
	if w.temp, err = os.MkdirTemp("", "rig3-"); err != nil {
		w.cannot("temporary folder: %v", err)
	}
	w.store = newStore()
	w.address = w.serveOn(w.store)
	return w
}

func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.out, "%8.3f %s\n", time.Since(w.began0).Seconds(), fmt.Sprintf(format, args...))
}

// cannot ends a case that couldn't run.
func (w *world) cannot(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case couldn't run: "+format+"\n", args...)
	w.close()
	os.Exit(2)
}

// fail notes a broken rule.
func (w *world) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.log("BROKEN: %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

// finish ends the case with the exit status for what was seen.
func (w *world) finish() {
	w.close()
	if len(w.broken) > 0 {
		fmt.Println("broken:", strings.Join(w.broken, "; "))
		os.Exit(1)
	}
	fmt.Println("held")
	os.Exit(0)
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	if w.temp != "" {
		_ = os.RemoveAll(w.temp)
	}
}

// freeAddress returns a loopback address with a free port.
func (w *world) freeAddress() string {
	return w.host + "99:" + strconv.Itoa(w.freePort(w.host+"99"))
}

func (w *world) freePort(ip string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for range 1000 {
		port := 20000 + rand.Intn(12000)
		if w.taken[port] {
			continue
		}
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			continue
		}
		_ = listener.Close()
		w.taken[port] = true
		return port
	}
	panic("no free port")
}

func (w *world) serveOn(handler http.Handler) string {
	listener, err := net.Listen("tcp", w.freeAddress())
	if err != nil {
		w.cannot("listen: %v", err)
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

// spec returns what a task does, nil for one that no client sent.
func (w *world) spec(task string) *stepSpec {
	w.mu.Lock()
	defer w.mu.Unlock()
	parts := strings.Split(task, ".")
	return w.specs[parts[0]+"."+parts[2]]
}

func (w *world) began(runner, task string, number int, fence uint64, payload string) {
	w.log("start  %s run %d on %s fence %d", task, number, runner, fence)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[task] = append(w.runs[task], &taskRun{runner: runner, run: number, fence: fence, began: time.Now()})
	parts := strings.Split(task, ".")
	key := fmt.Sprintf("%s/%d", strings.Join(parts[:3], "."), number)
	if w.gangs[key] == nil {
		w.gangs[key] = map[string]time.Time{}
	}
	w.gangs[key][task] = time.Now()
}

func (w *world) gangBegan(task string, number, size int) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	parts := strings.Split(task, ".")
	members := w.gangs[fmt.Sprintf("%s/%d", strings.Join(parts[:3], "."), number)]
	if len(members) < size {
		return time.Time{}, false
	}
	latest := time.Time{}
	for _, at := range members {
		if at.After(latest) {
			latest = at
		}
	}
	return latest, true
}

func (w *world) over(runner, task string, number int, how string) {
	w.log("end    %s run %d on %s: %s", task, number, runner, how)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs[task] {
		if r.runner == runner && r.run == number && r.how == "" {
			r.how, r.over = how, time.Now()
		}
	}
}

func (w *world) noted(runner string, e ended) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs[e.task] {
		if r.runner == runner && r.run == e.run && r.noted.IsZero() {
			r.noted = time.Now()
		}
	}
}

// taskRuns returns the starts of a task so far.
func (w *world) taskRuns(task string) (runs []taskRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs[task] {
		runs = append(runs, *r)
	}
	return runs
}

// node is one process of the system.
type node struct {
	w                  *world
	name, zone         string
	ip                 string
	front, ready       int
	first, last        int
	settings           string
	store, advice      string
	mu                 sync.Mutex
	process            *exec.Cmd
	log                *os.File
	exited             chan struct{}
	extra              func(settings string) string
	memoryMB, descript int
}

const nodeSettings = `node = %q
role = "entry"
class = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "r"
port-range = [%d,%d]
seeds = []
bootstrap = true
counts-as-loss = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "call"
advice = ""
[zones]
za = "r"
zb = "r"
zc = "r"
[listen]
front = "%s:%d"
ready = "%s:%d"
[limits]
cpu-share = 0.4
cores = 1
memory-mb = 284
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
stable-window-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-stretch-ms = 5000
recovery-s = 12
hold-max-ms = 10000
stop-ms = 400
gang-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
cross-rack-factor = 2
save-s = 2
restore-ms = 100
notice-ms = 4500
move-s = 1.5
upkeep-s = 2
require-fence = true
lease-ms = 3000
thaw-ms = 300
pace-ms = 100
harm-ms = 4000
[platform]
address = %q
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
`

// addNode adds an instance; storeAddress is where it finds the store.
func (w *world) addNode(zone, storeAddress string) *node {
	index := len(w.nodes) + 1
	n := &node{w: w, name: fmt.Sprintf("edge-%s-%d", zone, index), zone: zone, ip: w.host + strconv.Itoa(20+index), store: storeAddress}
	n.first, n.front, n.ready = w.freePort(n.ip), w.freePort(n.ip), w.freePort(n.ip)
	n.last = max(w.freePort(n.ip), n.first+1)
	if n.last <= n.first {
		n.last = n.first + 1
	}
	n.settings = filepath.Join(w.temp, n.name+".toml")
	text := fmt.Sprintf(nodeSettings, n.name, n.ip, zone, n.first, n.last, n.ip, n.front, n.ip, n.ready, storeAddress)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		w.cannot("settings: %v", err)
	}
	w.nodes = append(w.nodes, n)
	return n
}

// start starts the process with the command of the deploy file.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil && n.alive() {
		return
	}
	out := os.Getenv("RIG3_LOGS")
	if out == "" {
		out = n.w.temp
	}
	logFile, err := os.OpenFile(filepath.Join(out, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.w.cannot("log: %v", err)
	}
	n.process = exec.Command("target/cairnbay", "node")
	n.process.Env = []string{"CAIRNBAY_BOOT=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	n.process.Stdout, n.process.Stderr = logFile, logFile
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		n.w.cannot("%s doesn't start: %v", n.name, err)
	}
	exited, process := make(chan struct{}), n.process
	n.exited = exited
	go func() {
		err := process.Wait()
		n.w.log("process %s ends: %v", n.name, err)
		close(exited)
	}()
	n.w.log("process %s starts", n.name)
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.w.log("signal %v to %s", s, n.name)
		_ = n.process.Process.Signal(s)
	}
}

// kill ends the process for good.
func (n *node) kill() {
	n.mu.Lock()
	process, exited := n.process, n.exited
	n.mu.Unlock()
	if process == nil {
		return
	}
	select {
	case <-exited:
	default:
		_ = process.Process.Signal(syscall.SIGCONT)
		_ = process.Process.Kill()
		<-exited
	}
}

func (n *node) alive() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

func (n *node) awaitReady(limit time.Duration) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get(fmt.Sprintf("http://%s:%d/readiness", n.ip, n.ready))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == 200 {
				return
			}
		}
	}
	n.w.cannot("%s isn't ready", n.name)
}

// answer is what a client got; status 0 for none.
type answer struct {
	status int
	body   string
	err    error
}

const hostName = "ficu95.example"

// ask makes a client's call to an instance and records it.
func (w *world) ask(n *node, method, path string, body any, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var reader io.Reader
	if body != nil {
		text, _ := json.Marshal(body)
		reader = bytes.NewReader(text)
	}
	request, _ := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", n.ip, n.front, path), reader)
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	sent := time.Now()
	response, err := client.Do(request)
	if err != nil {
		w.log("client %s %s at %s: no answer after %d ms (%v)", method, path, n.name, time.Since(sent).Milliseconds(), err)
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	got := answer{status: response.StatusCode, body: strings.TrimSpace(string(text))}
	w.log("client %s %s at %s: %d %s (%d ms)", method, path, n.name, got.status, got.body, time.Since(sent).Milliseconds())
	return got
}

// state asks for a job's state, retrying at the instances in turn; "" if none answers.
func (w *world) state(path string, nodes ...*node) string {
	for try := range 4 {
		n := nodes[try%len(nodes)]
		got := w.ask(n, "GET", path, nil, 3*time.Second)
		if got.status == 200 {
			var state struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal([]byte(got.body), &state)
			return state.State
		}
		if got.status == 410 {
			return "410"
		}
	}
	return ""
}

func jobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// route is a queue of the configuration.
type route struct {
	prefix, service string
	priority        int
	attempts        int
	stretch         float64
	targetMS        int
}

// configure writes the operator's configuration.
func (w *world) configure(services []string, routes ...route) {
	w.version += 1 + rand.Intn(3)
	rows, names := []map[string]any{}, []map[string]any{}
	for _, s := range services {
		names = append(names, map[string]any{"name": s, "rejects-overload": false})
	}
	for i, r := range routes {
		rows = append(rows, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": hostName, "prefix": r.prefix, "kind": "non_idempotent", "timeout-ms": 3000,
			"target-latency-ms": r.targetMS, "priority": r.priority, "service": r.service, "max-attempts": r.attempts, "stretch": r.stretch,
		})
	}
	text, _ := json.Marshal(map[string]any{"version": w.version, "routes": rows, "services": names, "limits": map[string]any{}})
	w.store.write("op/config", text)
	w.log("operator: version %d is acknowledged", w.version)
}

// addRunner adds and starts a runner.
func (w *world) addRunner(service, zone string, cpu, mem, gpu int, labels ...string) *runner {
	r := &runner{w: w, service: service, zone: zone, cpu: cpu, mem: mem, gpu: gpu, labels: labels}
	w.runners = append(w.runners, r)
	r.start()
	return r
}

// submit hands a job in until it is accepted.
func (w *world) submit(path string, body map[string]any, nodes ...*node) bool {
	for try := range 12 {
		got := w.ask(nodes[try%len(nodes)], "POST", path, body, 3*time.Second)
		if got.status == 200 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// sleepUntil waits until a time since the start.
func (w *world) sleepUntil(at time.Duration) { time.Sleep(time.Until(w.began0.Add(at))) }

// proxy forwards connections, and does harm where it is told.
type proxy struct {
	address, target string
	zone            string
	mu              sync.Mutex
	silent          bool
	conns           map[net.Conn]bool
}

func (w *world) addProxy(target string) *proxy {
	p := &proxy{target: target, conns: map[net.Conn]bool{}}
	listener, err := net.Listen("tcp", w.freeAddress())
	if err != nil {
		w.cannot("proxy: %v", err)
	}
	p.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	w.proxies = append(w.proxies, p)
	return p
}

// setSilent lets no byte pass, either way, without a sign of it.
func (p *proxy) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
	if !silent {
		return
	}
}

func (p *proxy) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

func (p *proxy) forward(conn net.Conn) {
	defer conn.Close()
	for p.isSilent() {
		time.Sleep(20 * time.Millisecond)
	}
	onward, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer onward.Close()
	done := make(chan struct{}, 2)
	pipe := func(to, from net.Conn) {
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			for p.isSilent() {
				time.Sleep(20 * time.Millisecond)
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pipe(onward, conn)
	go pipe(conn, onward)
	<-done
}
