// Package judge decides from the stand-ins' and callers' own records whether
// each promise was kept. It reads nothing that the scheduler wrote.
package judge

import (
	"fmt"

	"cairnbay"
)

// State is what can be said of a promise.
type State string

// States of a promise.
const (
	// Held says that every check passed.
	Held State = "held"
	// Broken says that a check failed; the evidence names it.
	Broken State = "broken"
	// NotShown says that nothing was recorded that could be checked.
	NotShown State = "cannot_be_shown"
)

// maxEvidence bounds the evidence kept for one promise.
const maxEvidence = 20

// Verdict is what the records say of one promise.
type Verdict struct {
	Promise cairnbay.Promise `json:"promise"`
	State   State            `json:"state"`
	Checks  uint64           `json:"checks"`
	// Failures counts failed checks; Evidence describes the first of them.
	Failures uint64   `json:"failures"`
	Evidence []string `json:"evidence,omitempty"`
}

func (v *Verdict) check(ok bool, format string, arguments ...any) {
	v.Checks++
	if ok {
		return
	}
	v.Failures++
	if len(v.Evidence) < maxEvidence {
		v.Evidence = append(v.Evidence, fmt.Sprintf(format, arguments...))
	}
}

func (v *Verdict) settle() {
	switch {
	case v.Failures > 0:
		v.State = Broken
	case v.Checks == 0:
		v.State = NotShown
	default:
		v.State = Held
	}
}

// Check returns one verdict a promise, in the order of cairnbay.AllPromises.
func Check(input Input) []Verdict {
	checks := map[cairnbay.Promise]func(Input, *Verdict){
		cairnbay.PromiseCapacity:   checkCapacity,
		cairnbay.PromiseOnePlace:   checkOnePlace,
		cairnbay.PromiseWholeReply: checkWholeReply,
		cairnbay.PromiseNotRun:     checkNotRun,
		cairnbay.PromiseAtMostOnce: checkAtMostOnce,
		cairnbay.PromiseLeaving:    checkLeaving,
		cairnbay.PromiseGraceful:   checkGraceful,
		cairnbay.PromiseSettings:   checkSettings,
	}
	var verdicts []Verdict
	for _, promise := range cairnbay.AllPromises() {
		verdict := Verdict{Promise: promise}
		checks[promise](input, &verdict)
		verdict.settle()
		verdicts = append(verdicts, verdict)
	}
	return verdicts
}

// Record hands the verdicts to a recorder, so that an audit shows them.
func Record(recorder cairnbay.Recorder, verdicts []Verdict) {
	for _, verdict := range verdicts {
		recorder.CountPromise(verdict.Promise, verdict.Checks-verdict.Failures)
		for _, evidence := range verdict.Evidence {
			recorder.RecordException(cairnbay.Exception{
				Name: "promise_broken", Promise: verdict.Promise, Broken: true,
				Fields: map[string]string{"evidence": evidence},
			})
		}
	}
}
