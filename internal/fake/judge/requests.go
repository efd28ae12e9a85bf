package judge

import (
	"slices"

	"cairnbay"
)

// serving is a request together with the runner that saw it.
type serving struct {
	Served
	runner string
}

// served lists the requests that runners worked on, by a chosen name.
func served(input Input, name func(Served) string) map[string][]serving {
	found := make(map[string][]serving)
	for _, runner := range input.Runners {
		for _, request := range runner.Requests {
			if request.Refused || name(request) == "" {
				continue
			}
			found[name(request)] = append(found[name(request)], serving{Served: request, runner: runner.ID})
		}
	}
	return found
}

func byRequest(request Served) string { return request.RequestID }

func byKey(request Served) string { return request.Key }

// checkWholeReply looks for a run of the caller's own request, or of its
// idempotency key, that sent just the answer received.
func checkWholeReply(input Input, verdict *Verdict) {
	requests, keys := served(input, byRequest), served(input, byKey)
	for _, call := range input.Calls {
		if call.Cut {
			continue
		}
		verdict.check(call.Outcome != "", "request %q got an answer without an outcome", call.RequestID)
		if call.Outcome != cairnbay.OutcomeDone {
			continue
		}
		candidates := slices.Concat(requests[call.RequestID], keys[call.Key])
		verdict.check(sentWhole(candidates, call.Answer), "request %q got answer %q, which no runner sent whole to it (%d runs)",
			call.RequestID, call.Answer, len(candidates))
	}
}

func sentWhole(candidates []serving, answer string) bool {
	for _, run := range candidates {
		if run.Whole && run.Answer == answer {
			return true
		}
	}
	return false
}

func checkNotRun(input Input, verdict *Verdict) {
	requests := served(input, byRequest)
	for _, call := range input.Calls {
		if call.Cut || call.Outcome != cairnbay.OutcomeNotRun {
			continue
		}
		runs := requests[call.RequestID]
		verdict.check(len(runs) == 0, "request %q was answered not_run and ran on %s", call.RequestID, runnersOf(runs))
	}
}

func runnersOf(runs []serving) string {
	names := ""
	for _, run := range runs {
		names += run.runner + " "
	}
	return names
}

func checkAtMostOnce(input Input, verdict *Verdict) {
	runs := served(input, onceName)
	for name, seen := range runs {
		verdict.check(len(seen) == 1, "non-idempotent request %s ran %d times on %s", name, len(seen), runnersOf(seen))
	}
	checkTasksAtMostOnce(input, verdict)
}

// onceName names what may run once: the key if there is one, else the request.
func onceName(request Served) string {
	switch {
	case request.Idempotent:
		return ""
	case request.Key != "":
		return "key " + request.Key
	default:
		return "ID " + request.RequestID
	}
}

// checkLeaving counts what each leaving runner was sent after the grace.
func checkLeaving(input Input, verdict *Verdict) {
	for _, runner := range input.Runners {
		if runner.LeavingMS == 0 {
			continue
		}
		last := runner.LeavingMS + input.leavingGraceMS()
		verdict.check(true, "")
		for _, request := range runner.Requests {
			verdict.check(request.FromMS <= last, "runner %q, leaving since %d ms, got request %q at %d ms",
				runner.ID, runner.LeavingMS, request.RequestID, request.FromMS)
		}
	}
}

// checkGraceful looks for requests in progress that ended cut during a planned
// stop of the instance that carried them.
func checkGraceful(input Input, verdict *Verdict) {
	for _, stop := range input.Stops {
		verdict.check(true, "")
		for _, call := range input.Calls {
			if call.Via == stop.Instance && call.overlaps(stop.Span) {
				verdict.check(!call.Cut, "request %q was cut at %d ms in the planned stop of %q", call.RequestID, call.UntilMS, stop.Instance)
			}
		}
		for _, runner := range input.Runners {
			checkRunnerStop(runner, stop, verdict)
		}
	}
}

func checkRunnerStop(runner Runner, stop Stop, verdict *Verdict) {
	if runner.ID != stop.Instance {
		return
	}
	for _, request := range runner.Requests {
		if !request.Refused && request.overlaps(stop.Span) {
			verdict.check(request.Whole, "request %q was cut on runner %q in its planned stop", request.RequestID, runner.ID)
		}
	}
}
