package main

import (
	"fmt"
	"time"
)

func init() { cases["crashes"] = crashes }

// crashes has one task run while runners crash, one at a time. None of its runs ends
// failed, so the job may not be shown as failed.
func crashes(w *world, trouble bool) error {
	const (
		job     = "5c0e7a21d94b36f8"
		runners = 8
		// The work takes 6 s; each crash comes 3 s after a start.
		workMS = 6000
		count  = 5
		down   = 3 * time.Second
	)
	hits := make(chan *runner, count+5)
	w.onStart = func(r *runner, _ *run) { hits <- r }
	if err := w.build(3, runners, 16000); err != nil {
		return err
	}
	steps := []any{map[string]any{"count": 1, "cpu": 2000, "mem-mb": 1024, "est-runtime-ms": workMS}}
	if err := w.submit(job, fmt.Sprint(workMS), steps); err != nil {
		return err
	}
	crashed := 0
	deadline := time.Now().Add(95 * time.Second)
	for time.Now().Before(deadline) {
		select {
		case at := <-hits:
			if !trouble || crashed >= count {
				continue
			}
			crashed++
			time.Sleep(3 * time.Second)
			at.crash()
			w.log("crash %d of %d", crashed, count)
			go func(number int) {
				time.Sleep(down)
				if _, err := w.startRunner(fmt.Sprintf("i-%04d", 100+number), at.address, 16000); err != nil {
					w.log("runner not started again: %v", err)
				}
			}(crashed)
		case <-time.After(500 * time.Millisecond):
			switch state := w.state(job); state {
			case "completed":
				return nil
			case "failed", "cancelled":
				w.breaks("LOST: job %s is shown as %s; ends failed listed by runners: %d, cancellations: 0, crashes of runners: %d", job, state, w.failures(job+".0.0.0"), crashed)
				return nil
			}
		}
	}
	return fmt.Errorf("the job has not ended")
}
