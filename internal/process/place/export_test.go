package place

import (
	"fmt"

	"cairnbay"
)

// Leaks lists what is still charged or counted although nothing runs.
func Leaks(engine *Engine) []string {
	var leaks []string
	report := func(name string, amount cairnbay.Resources) {
		if !amount.IsZero() {
			leaks = append(leaks, fmt.Sprintf("%s: %+v", name, amount))
		}
	}
	for id, worker := range engine.workers {
		report(id+" charged", worker.charged)
		report(id+" releasing", worker.releasing)
		report(id+" reclaimable", worker.reclaimable)
		if len(engine.claims) == 0 {
			report(id+" claimed", worker.claimed)
		}
	}
	for name, team := range engine.queue.teams {
		report("team "+name, team.used)
	}
	for _, path := range []string{"", "a", "b"} {
		report("branch "+path, engine.ledger.Account(path).Used)
	}
	if count := len(engine.stopping) + len(engine.throttledRuns) + engine.borrowed; count > 0 {
		leaks = append(leaks, fmt.Sprintf("%d runs preempted or borrowed", count))
	}
	return leaks
}
