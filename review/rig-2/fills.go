package main

import (
	"fmt"
	"time"
)

func init() { cases["fills"] = fills }

// fills hands in a job whose tasks fill while each runner has a task that serves. Runners
// have most of their processors and memory free.
func fills(w *world, trouble bool) error {
	const (
		serving, filling = "00000000000000dd", "00000000000000ee"
		runners          = 8
		workMS           = 3000
		watch            = 60 * time.Second
	)
	if err := w.build(3, runners, 16000); err != nil {
		return err
	}
	steps := []any{map[string]any{
		"count": runners, "cpu": 2000, "mem-mb": 1024, "est-runtime-ms": 400, "long-running": true,
		"target-ms": 5000, "image": "listener", "max-per-server": 1,
	}}
	if err := w.submit(serving, "0", steps); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	batch := map[string]any{"count": 4, "cpu": 1000, "mem-mb": 512, "est-runtime-ms": workMS, "image": "batch"}
	if trouble {
		batch["fills"] = true
	}
	if err := w.submit(filling, fmt.Sprint(workMS), []any{batch}); err != nil {
		return err
	}
	for begun := time.Now(); time.Since(begun) < watch; time.Sleep(500 * time.Millisecond) {
		if w.state(filling) == "completed" {
			return nil
		}
	}
	w.mu.Lock()
	started := w.starts[filling+".0.0.0"] + w.starts[filling+".0.0.1"] + w.starts[filling+".0.0.2"] + w.starts[filling+".0.0.3"]
	w.mu.Unlock()
	w.breaks("LOST: the accepted job %s has had nothing running for %v (starts of its tasks: %d); 16 of 128 cores are in use", filling, watch, started)
	return nil
}
