package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["cancels"] = cancels }

// cancels has one runner crash for good that has a task that lasts, and tasks of other
// jobs, which their clients cancel one after the other.
func cancels(w *world, trouble bool) error {
	const (
		lasting = "00000000000000aa"
		others  = 8
		runners = 8
		every   = 4 * time.Second
		// The rule: from 6 s after its last run a task that lasts may not be without one
		// for 3 s.
		limit = 9 * time.Second
	)
	if err := w.build(3, 1, 32000); err != nil {
		return err
	}
	first := w.runners[0]
	if err := w.submit(lasting, "0", []any{map[string]any{"count": 1, "cpu": 1000, "mem-mb": 512, "est-runtime-ms": 1000, "long-running": true}}); err != nil {
		return err
	}
	job := func(i int) string { return fmt.Sprintf("%016x", 0x100+i) }
	for i := range others {
		if err := w.submit(job(i), "90000", []any{map[string]any{"count": 1, "cpu": 1000, "mem-mb": 512, "est-runtime-ms": 90000}}); err != nil {
			return err
		}
	}
	port := first.address[strings.Index(first.address, ":"):]
	for i := 1; i < runners; i++ {
		added, err := w.startRunner(fmt.Sprintf("i-%04d", i), runnerAddress(i)+port, 32000)
		if err != nil {
			return err
		}
		w.runners = append(w.runners, added)
	}
	time.Sleep(5 * time.Second)
	w.mu.Lock()
	startsBefore := w.starts[lasting+".0.0.0"]
	w.mu.Unlock()
	lost := time.Now()
	if trouble {
		first.crash()
		w.store.drop("servers/" + first.id)
	}
	again := func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.starts[lasting+".0.0.0"] > startsBefore
	}
	for i := range others {
		for begun := time.Now(); time.Since(begun) < every; time.Sleep(50 * time.Millisecond) {
			if trouble && again() {
				took := time.Since(lost)
				w.log("the task that lasts runs again %v after its runner crashed", took)
				if took > limit {
					w.breaks("LOST: the task that lasts was without a run for %.1f s, with seven runners nearly idle; at most 9 s are allowed", took.Seconds())
				}
				return nil
			}
		}
		if status, _ := w.call(w.nodes[i%len(w.nodes)], http.MethodDelete, prefix+job(i), nil); status/100 != 2 {
			w.log("the cancellation was not acknowledged")
		}
	}
	if !trouble {
		w.mu.Lock()
		defer w.mu.Unlock()
		if len(w.live[lasting+".0.0.0"]) != 1 {
			return fmt.Errorf("the task that lasts does not run")
		}
		return nil
	}
	for time.Since(lost) < 80*time.Second && !again() {
		time.Sleep(50 * time.Millisecond)
	}
	w.breaks("LOST: the task that lasts was without a run for %.1f s", time.Since(lost).Seconds())
	return nil
}
