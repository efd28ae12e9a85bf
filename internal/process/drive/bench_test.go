package drive_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"cairnbay"
	"cairnbay/internal/fake/agent"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/logq"
	"cairnbay/internal/process/sched"
	"cairnbay/internal/process/tenure"
	"cairnbay/internal/process/timer"
	"cairnbay/platform"
	"cairnbay/platform/stand"
)

const (
	// standVariable makes the test binary serve the stand-ins of the platform, so
	// that their processor time is not counted as the owner's.
	standVariable = "CAIRNBAY_BENCH_WORKERS"
	// benchWorkers is the number of workers, benchTasks that of a job's tasks.
	benchWorkers, benchTasks = 120, 12
	benchRunTime             = 400 * time.Millisecond
	// benchInterval is the time between two jobs: 250 starts a second.
	benchInterval = 48 * time.Millisecond
)

// standAddresses are the addresses of the stand-ins in the serving process.
type standAddresses struct {
	Store   string
	Workers []string
}

func TestMain(m *testing.M) {
	if os.Getenv(standVariable) != "" {
		serveStand()
		return
	}
	os.Exit(m.Run())
}

// serveStand serves the stand-ins until the standard input is closed.
func serveStand() {
	clock := timer.New()
	fleet := agent.New(agent.Config{
		Now:     timer.Boot,
		RunTime: func(cairnbay.WorkflowTask) time.Duration { return benchRunTime },
		Size: func(cairnbay.WorkflowTask) cairnbay.Resources {
			return cairnbay.Resources{MilliCPU: 8000, MemoryMB: 100}
		},
	})
	listen := func(handler http.Handler) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		go func() { panic(http.Serve(listener, handler)) }()
		return listener.Addr().String()
	}
	addresses := standAddresses{Store: listen(stand.Store(store.New(store.Config{Clock: clock})))}
	for i := range benchWorkers {
		fleet.Add(fmt.Sprint("w", i), cairnbay.Resources{MilliCPU: 32_000, MemoryMB: 64_000})
		addresses.Workers = append(addresses.Workers, listen(stand.Worker(fleet)))
	}
	if err := json.NewEncoder(os.Stdout).Encode(addresses); err != nil {
		panic(err)
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// startStand starts the serving process.
func startStand(b *testing.B) standAddresses {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), standVariable+"=1")
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = input.Close()
		_ = command.Wait()
	})
	var addresses standAddresses
	if err := json.NewDecoder(bufio.NewReader(output)).Decode(&addresses); err != nil {
		b.Fatal(err)
	}
	return addresses
}

// BenchmarkDrive runs an owner against workers and a store over loopback at a
// steady rate and reports its processor time a start: submission, start, renewals,
// end, acknowledgement, journal and logs.
func BenchmarkDrive(b *testing.B) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	addresses := startStand(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	backend := platform.NewStore(platform.StoreConfig{Address: addresses.Store, Client: client})
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetFormatter(&logq.Formatter{TimestampFormat: "15:04:05.000"})
	clock := timer.New()
	defer clock.Close()
	revision, err := backend.Put(context.Background(), "generation", []byte("1"), 0, 0)
	if err != nil {
		b.Fatal(err)
	}
	owner := drive.New(drive.Config{
		Claim: tenure.Claim{
			Shard: class, Token: uint64(revision), Generation: 1, ClaimedAt: timer.Boot(),
			Fence: cairnbay.Expectation{Key: "generation", Revision: revision},
		},
		Store: backend, Agent: platform.NewAgent(&net.Dialer{}, time.Minute), Clock: clock, BootTime: timer.Boot, Log: logger.WithField("bench", true),
		Lease: 5 * time.Second, AdviceLimits: func() (int, int) { return 4, 4 },
		MaxSegments: 2000, MaxGrowth: 1 << 20, OnFenced: func() {},
		Sched: sched.Config{Retention: time.Minute, StopTime: 200 * time.Millisecond},
	})
	defer owner.Close()
	var entries []cairnbay.WorkerEntry
	for i, address := range addresses.Workers {
		entries = append(entries, cairnbay.WorkerEntry{
			ID: fmt.Sprint("w", i), Class: class, Address: address, Rack: fmt.Sprint("r", i%8),
			Capacity: cairnbay.Resources{MilliCPU: 32_000, MemoryMB: 64_000},
		})
	}
	owner.SetWorkers(entries)
	time.Sleep(time.Second)
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	used, startedAt := processorTime(), time.Now()
	b.ResetTimer()
	var running sync.WaitGroup
	var starts atomic.Int64
	for n := range max(b.N/benchTasks, 1) {
		running.Go(func() {
			if runBenchJob(owner, fmt.Sprint("j", n)) {
				starts.Add(benchTasks)
			}
		})
		time.Sleep(benchInterval)
	}
	running.Wait()
	b.StopTimer()
	var after runtime.MemStats
	runtime.ReadMemStats(&after)
	completed := float64(max(starts.Load(), 1))
	b.ReportMetric(float64((processorTime()-used).Microseconds())/completed, "cpu-us/start")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/completed, "allocs/start")
	b.ReportMetric(completed/time.Since(startedAt).Seconds(), "starts/s")
}

// runBenchJob submits a job and reports whether it completed.
func runBenchJob(owner *drive.Drive, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	verdict := owner.Submit(ctx, drive.Submission{Workflow: cairnbay.Workflow{
		ID: id, Class: class, Payload: "payload",
		Queue: cairnbay.Queue{Name: "q", Class: class, MaxAttempts: 3, Stretch: 3, TargetLatency: time.Minute},
		Steps: []cairnbay.WorkflowStep{{Tasks: benchTasks, Size: cairnbay.Resources{MilliCPU: 8000, MemoryMB: 100}, RunTime: benchRunTime}},
	}})
	for verdict.Kind == accepted && ctx.Err() == nil {
		if state, _ := owner.Inspect(ctx, id); state == cairnbay.WorkflowCompleted {
			return true
		}
		time.Sleep(benchRunTime)
	}
	return false
}

// processorTime is that of this process so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
