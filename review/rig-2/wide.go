package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

func init() { cases["wide"] = wide }

// memoryMB is the limit of the settings file; the platform kills a process above it.
const memoryMB = 284

// restartDelay is how long after its end a process is started again.
const restartDelay = 500 * time.Millisecond

// residentMB reads how much memory a process that this one has started uses.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) >= 2 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}

// supervise does what the platform does: it kills a process above its memory limit, and
// starts one that has ended again after a short delay.
func (w *world) supervise(stop <-chan struct{}, ends *int) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for _, one := range w.nodes {
			select {
			case <-one.exited:
				*ends++
				select {
				case <-stop:
					return
				case <-time.After(restartDelay):
				}
				if err := w.start(one); err != nil {
					w.log("instance %s is not started again: %v", one.name, err)
				}
			default:
				if used := residentMB(one.command.Process.Pid); used > memoryMB {
					w.log("platform: %s uses %d MB of %d and is killed", one.name, used, memoryMB)
					one.command.Process.Kill()
					<-one.exited
				}
			}
		}
	}
}

// wide has a client hand in one job that can never be done, since its step has far more
// tasks than the runners can take, beside a small job of another client.
func wide(w *world, trouble bool) error {
	const (
		small, large = "00000000000000bb", "00000000000000cc"
		count        = 2500000
		workMS       = 20000
		// The small job has ended long before it is asked for, for as long as finish_s.
		waitFor, askFor = 45 * time.Second, 14 * time.Second
	)
	if err := w.build(3, 8, 16000); err != nil {
		return err
	}
	ends, stop, stopped := 0, make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		w.supervise(stop, &ends)
	}()
	defer func() {
		close(stop)
		<-stopped
	}()
	job := func(tasks int) []any {
		return []any{map[string]any{"count": tasks, "cpu": 2000, "mem-mb": 1024, "est-runtime-ms": workMS}}
	}
	if err := w.submit(small, fmt.Sprint(workMS), job(2)); err != nil {
		return err
	}
	if trouble {
		// The client repeats the call as long as it is not told that the job was refused.
		for range 4 {
			status, _ := w.call(w.nodes[0], http.MethodPost, prefix+large, map[string]any{"spec": fmt.Sprint(workMS), "steps": job(count)})
			if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
	time.Sleep(waitFor)
	for begun := time.Now(); time.Since(begun) < askFor; time.Sleep(500 * time.Millisecond) {
		if w.state(small) == "completed" {
			return nil
		}
	}
	w.breaks("LOST: the accepted job %s gets no answer for %v, %v after its work; processes that ended since the other client's job came: %d", small, askFor, waitFor-workMS*time.Millisecond, ends)
	return nil
}
