package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["takeover"] = takeover }

// takeover stops the owner of the service. The store is down for a moment after the next
// owner has claimed it, and one runner is cut off for a moment after it has answered that
// owner once.
func takeover(w *world, trouble bool) error {
	const (
		job     = "5c0e7a21d94b36f8"
		runners = 6
		workMS  = 25000
		storeMS = 2700
		cutFor  = 3 * time.Second
	)
	if err := w.build(3, runners, 16000); err != nil {
		return err
	}
	steps := []any{map[string]any{"count": runners, "cpu": 9000, "mem-mb": 1024, "est-runtime-ms": workMS}}
	if err := w.submit(job, fmt.Sprint(workMS), steps); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	// Three more runners have room for what has to start again.
	for i := range 2 {
		extra, err := w.startRunner(fmt.Sprintf("i-1%03d", i), runnerAddress(runners+i)+w.runners[0].address[strings.Index(w.runners[0].address, ":"):], 16000)
		if err != nil {
			return err
		}
		w.runners = append(w.runners, extra)
	}
	time.Sleep(3 * time.Second)
	var once, cutOnce sync.Once
	w.store.mu.Lock()
	w.store.onTxn = func(keys []string) {
		for _, key := range keys {
			if !trouble || !strings.HasPrefix(key, "cairnbay/generation/") {
				continue
			}
			once.Do(func() {
				go func() {
					w.log("store: %s written; down for %d ms", key, storeMS)
					w.store.setMode(storeBusy, 0)
					time.Sleep(storeMS * time.Millisecond)
					w.store.setMode(storeUp, storeMS*time.Millisecond)
					w.log("store: up")
				}()
			})
		}
	}
	w.store.mu.Unlock()
	for _, one := range w.runners[:runners] {
		before := one.fence
		answered := false
		one.onHold = func(fence uint64, until int64) {
			if fence <= before {
				return
			}
			if !answered {
				answered = true
				w.log("runner %s: first hold of the next owner, until-ms %d", one.id, until)
				return
			}
			if trouble && until == 0 {
				cutOnce.Do(func() {
					w.log("runner %s: second hold of the next owner, until-ms %d; lease ends in %v", one.id, until, time.Until(one.leaseBy))
					one.setCut(true)
					go func() {
						time.Sleep(cutFor)
						one.setCut(false)
					}()
				})
			}
		}
	}
	owner := w.owner()
	w.log("SIGTERM to the owner, %s", owner.name)
	owner.command.Process.Signal(syscall.SIGTERM)
	deadline := time.Now().Add(70 * time.Second)
	for time.Now().Before(deadline) {
		time.Sleep(500 * time.Millisecond)
		if w.state(job) == "completed" {
			return nil
		}
	}
	return fmt.Errorf("the job has not ended")
}
