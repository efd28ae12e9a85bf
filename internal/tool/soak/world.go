package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/fake/advice"
	"cairnbay/internal/fake/agent"
	"cairnbay/internal/fake/keys"
	"cairnbay/internal/fake/proxy"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/process/layout"
	"cairnbay/internal/process/timer"
	"cairnbay/platform"
	"cairnbay/platform/stand"
)

const (
	class  = "c"
	host   = "soak.test"
	prefix = "/q/"
	// runTime is how long a task runs.
	runTime = 250 * time.Millisecond
	// lastingTime is how long one runs that lasts, unless it is stopped.
	lastingTime = time.Hour
	// slowTime is how long one runs of a slow job: its second step starts later than
	// cancelBound after a cancellation in the first.
	slowTime = 7 * time.Second
	// gangTime is how long a member of a gang waits for the others, the shortest
	// time of the platform.
	gangTime = 3 * time.Second
	// proxyDelay is what a delaying proxy adds to each piece of bytes.
	proxyDelay = 120 * time.Millisecond
	// grace is the time from the stop signal to the kill; the settings say so too.
	grace = 6 * time.Second
	// portsEach is how many ports an instance has.
	portsEach = 10
	// crashAfter is the time from the start of a deadly task to the crash of its worker,
	// which is back after crashDowntime. livesPeriod is how often its new entry is
	// looked for.
	crashAfter    = 10 * time.Millisecond
	crashDowntime = time.Second
	// restartDowntime is how long a worker is away that restarts under its name.
	restartDowntime = 200 * time.Millisecond
	livesPeriod     = 100 * time.Millisecond
	// oddPeriod is how often the malformed entries are written.
	oddPeriod = time.Second
	// maxWorkerLease is the longest lease of a worker; the settings say so too.
	maxWorkerLease = 10 * time.Second
	// shrinkGrace is how long an owner may take to learn of a worker that has shrunk,
	// also while the store is away.
	shrinkGrace = 8 * time.Second
)

var (
	taskSize   = cairnbay.Resources{MilliCPU: 1000, MemoryMB: 100}
	workerSize = cairnbay.Resources{MilliCPU: 4000, MemoryMB: 400}
)

// world is the stand-ins and the processes under test.
type world struct {
	config  Config
	clock   *timer.Service
	store   *store.Store
	fleet   *agent.Fleet
	policy  *advice.Service
	terms   cairnbay.AdviceTerms
	servers []*http.Server
	// toStore and toWorker are the proxies in front of the stand-ins, by instance
	// and by worker.
	toStore  []*proxy.Proxy
	toWorker []*proxy.Proxy
	// workers are the current lives of the workers. firstLives are the lives from which
	// the fleet has brought those back.
	workers, firstLives []string
	shards              []string
	layout              layout.Layout
	lives               int
	// version is the last version of a configuration without workspaces.
	version int
	faults  int
	// book holds the keys of the workspaces; nil for a configuration without them.
	book *keys.Book
	// calmSince is the boot time, in nanoseconds, at which the last fault ended; 0 before.
	calmSince atomic.Int64
	// ownerEnds counts the faults that may replace an owner.
	ownerEnds int
	later     sync.WaitGroup
	// paused is the pause of an owner by pauseOwner; nil while there is none.
	paused atomic.Pointer[ownerPause]
	// deadly are the IDs of the jobs of which a task crashes its workers.
	deadly sync.Map
	// lasting are the IDs of the jobs whose tasks last.
	lasting sync.Map
	// slow are the IDs of the jobs whose steps run for slowTime each.
	slow sync.Map
	// long are the IDs of the jobs whose tasks run for longTime each.
	long sync.Map
	// gangs are the numbers of members of the jobs whose steps are gangs, by job ID.
	gangs sync.Map
	// began is the boot time at which the schedule of faults began, and calmFrom that, in
	// nanoseconds, at which the last fault had ended, also those of rotateInCalm.
	began    time.Duration
	calmFrom atomic.Int64

	mu        sync.Mutex
	quota     quotaCheck
	processes []*exec.Cmd
	stopped   bool
}

func newWorld(config Config) (*world, error) {
	clock := timer.New()
	w := &world{config: config, clock: clock, store: store.New(store.Config{Clock: clock}), terms: drawTerms(config.Seed)}
	w.policy = w.newPolicy()
	w.quota.tasks = config.Quota
	w.fleet = agent.New(agent.Config{
		Now: timer.Boot,
		RunTime: func(task cairnbay.WorkflowTask) time.Duration {
			if _, lasting := w.lasting.Load(task.Job); lasting {
				return lastingTime
			}
			if _, slow := w.slow.Load(task.Job); slow {
				return slowTime
			}
			if _, long := w.long.Load(task.Job); long {
				return longTime
			}
			return runTime
		},
		Fails: func(task cairnbay.WorkflowTask, attempt int) bool { return task.Index == 1 && attempt%3 == 1 },
		Size:  func(cairnbay.WorkflowTask) cairnbay.Resources { return taskSize },
		Gang:  func(task cairnbay.WorkflowTask) int { return w.gangSize(task.Job) }, GangTime: gangTime,
		Admit: w.policy.Check,
		Crash: agent.CrashPlan{
			Deadly: w.isDeadly, After: func() time.Duration { return crashAfter }, Downtime: crashDowntime,
		},
		ShrinkGrace: shrinkGrace, Incarnations: config.KeepNames, MaxLease: maxWorkerLease, ClockStart: clockOfLife,
	})
	storeAddress, err := w.serve(stand.Store(w.store))
	if err != nil {
		return nil, err
	}
	agents, err := w.serve(stand.Worker(w.fleet))
	if err != nil {
		return nil, err
	}
	if config.Workspaces > 0 {
		w.book = keys.New(config.Workspaces, rand.New(rand.NewPCG(config.Seed, keySequence)))
	}
	if err := w.divide(); err != nil {
		return nil, err
	}
	w.configure()
	for i := range config.Workers {
		front, err := proxy.New(proxy.Config{Target: agents, Delay: proxyDelay})
		if err != nil {
			return nil, errors.Trace(err)
		}
		w.toWorker = append(w.toWorker, front)
		w.workers, w.firstLives = append(w.workers, ""), append(w.firstLives, "")
		w.addLife(i)
	}
	clock.Every(livesPeriod, func(time.Duration) { w.followLives() })
	if config.OddEntries {
		w.putOddEntries(agents)
		clock.Every(oddPeriod, func(time.Duration) { w.putOddEntries(agents) })
	}
	if err := os.MkdirAll(config.Folder, 0o755); err != nil {
		return nil, errors.Trace(err)
	}
	w.processes = make([]*exec.Cmd, config.Instances)
	for i := range config.Instances {
		front, err := proxy.New(proxy.Config{Target: storeAddress, Delay: proxyDelay})
		if err != nil {
			return nil, errors.Trace(err)
		}
		w.toStore = append(w.toStore, front)
		advisor, err := w.serve(stand.Advisor(w.policy))
		if err != nil {
			return nil, err
		}
		text := stand.Settings(w.name(i), "127.0.0.1", config.FirstPort+i*portsEach, front.Address(), advisor)
		if err := os.WriteFile(w.file(i, "toml"), []byte(text), 0o644); err != nil {
			return nil, errors.Trace(err)
		}
		if err := w.run(i); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// isDeadly says whether a task crashes its workers: the first one of a deadly job.
func (w *world) isDeadly(task cairnbay.WorkflowTask) bool {
	_, ok := w.deadly.Load(task.Job)
	return ok && task.Step == 0 && task.Index == 0
}

// followLives writes the entries of workers that have come back from a crash.
func (w *world) followLives() {
	for _, life := range w.fleet.Lives() {
		w.mu.Lock()
		for worker, id := range w.workers {
			if id != life.ID && w.firstLives[worker] == life.Address {
				if cairnbay.WorkerName(id) != cairnbay.WorkerName(life.ID) {
					w.store.Drop(platform.WorkerPrefix + id)
				}
				w.workers[worker] = life.ID
				w.putEntry(worker, life)
			}
		}
		w.mu.Unlock()
	}
}

// worker is the current life of a worker.
func (w *world) worker(index int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.workers[index]
}

// resize changes the capacity of a worker and of its entry.
func (w *world) resize(index int, capacity cairnbay.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fleet.Resize(w.workers[index], capacity)
	for _, life := range w.fleet.Lives() {
		if life.ID == w.workers[index] {
			w.putEntry(index, life)
		}
	}
}

// putEntry writes the entry of a worker; the caller holds the lock.
func (w *world) putEntry(worker int, life agent.Life) {
	w.put(platform.WorkerPrefix+cairnbay.WorkerName(life.ID),
		stand.Entry(class, w.toWorker[worker].Address(), w.dataCentreName(worker), rackName(worker), life.Capacity, life.BornUnixMS))
}

// putOddEntries writes entries that are malformed, so that all instances read them again.
func (w *world) putOddEntries(address string) {
	for name, value := range stand.OddEntries(class, address) {
		w.put(platform.WorkerPrefix+"odd-"+name, value)
	}
}

// gangSize is the number of members of a job's gangs, 0 for a job without them.
func (w *world) gangSize(job string) int {
	members, ok := w.gangs.Load(job)
	if !ok {
		return 0
	}
	return members.(int)
}

func (w *world) serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Trace(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	w.servers = append(w.servers, server)
	go func() {
		// Serve always returns an error, ErrServerClosed at the end of the run.
		_ = server.Serve(listener)
	}()
	return listener.Addr().String(), nil
}

func (w *world) name(instance int) string {
	return fmt.Sprintf("n%d", instance)
}

// owner returns the instance that owns a shard, or another one if the store has no owner.
func (w *world) owner(ctx context.Context, shard string, another int) int {
	entry, err := w.store.Get(ctx, "cairnbay/live/owner/"+shard)
	if err != nil {
		return another
	}
	var holding cairnbayv1.Holding
	if err := proto.Unmarshal(entry.Value, &holding); err != nil {
		return another
	}
	for i := range w.processes {
		if w.name(i) == holding.GetInstance() {
			return i
		}
	}
	return another
}

func (w *world) file(instance int, ending string) string {
	return filepath.Join(w.config.Folder, w.name(instance)+"."+ending)
}

// front is where callers reach an instance.
func (w *world) front(instance int) string {
	return fmt.Sprintf("127.0.0.1:%d", w.config.FirstPort+instance*portsEach+2)
}

// put writes a key as the platform does, also while the store is down for
// everybody else.
func (w *world) put(key string, value []byte) {
	w.store.Force(key, value)
}

// configure writes the next configuration and returns its version.
func (w *world) configure() int {
	if w.book != nil {
		return w.book.Publish(timer.Boot, w.putTenants)
	}
	w.version++
	w.put(platform.RoutingKey, w.configuration())
	return w.version
}

// slots is the number of tasks for which a worker has room.
func (w *world) slots() int { return int(workerSize.MilliCPU / taskSize.MilliCPU) }

// rackName returns the rack of a worker, which stays with it over its lives.
func rackName(worker int) string {
	return fmt.Sprintf("r%d", worker/2)
}

// shardOf returns the number of the shard of a worker.
func (w *world) shardOf(worker int) int {
	return worker / 2 % w.config.Shards
}

// divide stores the layout of the class, since its few workers would make one shard.
func (w *world) divide() error {
	divided := layout.Layout{Class: class, Shards: w.config.Shards, Racks: make(map[string]int)}
	for worker := range w.config.Workers {
		divided.Racks[rackName(worker)] = w.shardOf(worker)
	}
	value, err := divided.Encode()
	if err != nil {
		return errors.Trace(err)
	}
	w.layout, w.shards = divided, divided.Names()
	w.put("cairnbay/live/layout/"+class, value)
	return nil
}

// addLife starts the next life of a worker.
func (w *world) addLife(worker int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lives++
	name := fmt.Sprintf("w%d-%d", worker, w.lives)
	life := w.fleet.Add(name, workerSize)
	w.workers[worker], w.firstLives[worker] = life.ID, name
	w.putEntry(worker, life)
}

// run starts an instance's process.
func (w *world) run(instance int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return nil
	}
	logs, err := os.OpenFile(w.file(instance, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Trace(err)
	}
	// The process has a descriptor of its own.
	defer func() { _ = logs.Close() }()
	command := exec.Command(w.config.Program, "node", "-settings", w.file(instance, "toml"))
	command.Stdout, command.Stderr = logs, logs
	// The instance ends with this process, however that ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Trace(err)
	}
	w.processes[instance] = command
	return nil
}

// signal sends a signal to an instance's process, and with restart waits for
// its end and starts it again.
func (w *world) signal(instance int, signal syscall.Signal, restart time.Duration) {
	w.mu.Lock()
	process := w.processes[instance]
	w.mu.Unlock()
	if process == nil || process.Process.Signal(signal) != nil || restart == 0 {
		return
	}
	w.mu.Lock()
	w.processes[instance] = nil
	w.mu.Unlock()
	w.later.Go(func() {
		// As on the platform, a process that does not end within its grace is
		// killed; one that is paused never would.
		kill := time.AfterFunc(grace, func() {
			if err := process.Process.Kill(); err != nil {
				fmt.Fprintln(w.config.Out, "instance not killed:", err)
			}
		})
		// The exit status of a process that was told to end says nothing.
		_ = process.Wait()
		kill.Stop()
		time.Sleep(restart)
		if err := w.run(instance); err != nil {
			fmt.Fprintln(w.config.Out, "instance not started:", err)
		}
	})
}

// heal ends all faults and lets every instance run.
func (w *world) heal() {
	w.later.Wait()
	w.store.SetDown(false)
	w.store.SetSlow(0)
	w.policy.ChangeFaults(func(faults *advice.Faults) { *faults = advice.Faults{} })
	// Callers submit more than a low quota completes within settleWait.
	w.changeQuota(w.config.Workers * w.slots())
	for _, front := range append(w.toStore, w.toWorker...) {
		front.Set(proxy.Pass)
	}
	for i := range w.toWorker {
		id := w.worker(i)
		w.fleet.Cut(id, false)
		w.fleet.Mute(id, false)
		w.resize(i, workerSize)
	}
	for i := range w.processes {
		w.signal(i, syscall.SIGCONT, 0)
	}
}

// close ends what the run has started, and nothing else.
func (w *world) close() {
	w.later.Wait()
	w.mu.Lock()
	w.stopped = true
	for _, process := range w.processes {
		if process == nil {
			continue
		}
		if process.Process.Kill() == nil {
			_ = process.Wait()
		}
	}
	w.mu.Unlock()
	for _, front := range append(w.toStore, w.toWorker...) {
		front.Close()
	}
	for _, server := range w.servers {
		// Callers are gone; what a connection still carries does not matter.
		_ = server.Close()
	}
	w.clock.Close()
}

// after undoes a fault once it has lasted.
func (w *world) after(ctx context.Context, length time.Duration, undo func()) {
	w.later.Go(func() {
		sleep(ctx, length)
		undo()
	})
}
