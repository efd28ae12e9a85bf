package sched

import (
	"slices"
	"time"
)

const (
	// promptTime is the time from a start to a crash within which a coincidence is
	// unlikely.
	promptTime = 50 * time.Millisecond
	// A task is given up after maxPromptCrashes attempts that are blamed for a prompt
	// crash, or maxBlamedCrashes that are blamed for any, one of them alone.
	maxPromptCrashes = 2
	maxBlamedCrashes = 3
	// maxCrashes is the same for attempts under which workers have crashed unexplained,
	// whether they are blamed or not.
	maxCrashes = 5
	// recurringCrashes is the number of unexplained crashes under a task from which its
	// attempts are blamed for a crash at any time, and get a worker of their own.
	recurringCrashes = 3
)

// crashHistory holds the crashes of workers under a task, or under any member of a
// gang.
type crashHistory struct {
	stage *stage
	// task is the first member that was on a crashed worker for a gang.
	task  *task
	marks []crashMark
}

// crashMark is a crash under an attempt.
type crashMark struct {
	crash   *crash
	attempt int
	// started is set if the attempt has certainly run on the worker, prime if it was
	// among the last that the worker had started, and prompt if the worker certainly
	// ceased to answer within promptTime.
	started, prime, prompt bool
}

// history returns the crashes under a task, nil for none.
func (s *stage) history(task *task) *crashHistory {
	if s.spec.Gang {
		return s.crashes
	}
	return task.crashes
}

func (s *stage) historyOrNew(task *task) *crashHistory {
	s.crashed = true
	if existing := s.history(task); existing != nil {
		return existing
	}
	added := &crashHistory{stage: s, task: task}
	if s.spec.Gang {
		s.crashes = added
	} else {
		task.crashes = added
	}
	return added
}

// suspected reports whether a crash is blamed on the task, alone or with others.
func (h *crashHistory) suspected() bool {
	return h != nil && (h.recurring() || slices.ContainsFunc(h.marks, h.blamed))
}

// needsTrial reports whether the task may start on trial only: it is a prime suspect,
// or a suspect of several crashes. Most of the others are innocent.
func (h *crashHistory) needsTrial() bool {
	if h == nil {
		return false
	}
	prime := func(mark crashMark) bool { return mark.prime && h.blamed(mark) }
	return h.recurring() || slices.ContainsFunc(h.marks, prime) || h.countAttempts(h.blamed) > 1
}

func (h *crashHistory) blamed(mark crashMark) bool {
	return slices.Contains(mark.crash.suspects, h)
}

// recurring reports whether the workers of so many attempts have crashed, without
// another task to blame, that the task may be one that crashes them late.
func (h *crashHistory) recurring() bool {
	return h != nil && h.countAttempts(unexplained) >= recurringCrashes
}

func unexplained(mark crashMark) bool {
	return mark.started && mark.crash.confirmed && !mark.crash.explained
}

// guilty reports whether the crashes suffice to give the task up: so many attempts are
// blamed, one of them alone. The other suspects of a shared crash may have caused it.
func (h *crashHistory) guilty() bool {
	blamed := func(mark crashMark) bool { return mark.started && mark.crash.confirmed && h.blamed(mark) }
	alone := func(mark crashMark) bool {
		return blamed(mark) && len(mark.crash.suspects) == 1 && mark.crash.unknownSuspects == 0
	}
	prompt := func(mark crashMark) bool { return mark.prompt && blamed(mark) }
	return slices.ContainsFunc(h.marks, alone) && (h.countAttempts(prompt) >= maxPromptCrashes ||
		h.countAttempts(blamed) >= maxBlamedCrashes || h.countAttempts(unexplained) >= maxCrashes)
}

// countAttempts counts the attempts with a mark that counts. Several workers may crash
// under one attempt of a gang.
func (h *crashHistory) countAttempts(counts func(crashMark) bool) int {
	var numbers attemptNumbers
	for _, mark := range h.marks {
		if counts(mark) {
			numbers.add(mark.attempt)
		}
	}
	return len(numbers)
}

// records returns the records of a task's marks, or of those of one crash.
func (h *crashHistory) records(of *crash) (records []Record) {
	for _, mark := range h.marks {
		if mark.crash.confirmed && (of == nil || mark.crash == of) {
			records = append(records, Record{
				Kind: RecordCrashed, Task: h.stage.ref(h.task.index), Attempt: mark.attempt,
				Worker: mark.crash.worker, Suspect: h.blamed(mark), Started: mark.started, Prompt: mark.prompt,
			})
		}
	}
	return records
}

// forget removes the mark of a crash.
func (h *crashHistory) forget(forgotten *crash) {
	h.marks = slices.DeleteFunc(h.marks, func(mark crashMark) bool { return mark.crash == forgotten })
}

// clear removes the task from the suspects of all crashes, which it returns.
func (h *crashHistory) clear() (cleared []*crash) {
	if h == nil {
		return nil
	}
	for _, mark := range h.marks {
		if h.blamed(mark) {
			mark.crash.suspects = slices.DeleteFunc(mark.crash.suspects, func(other *crashHistory) bool { return other == h })
			cleared = append(cleared, mark.crash)
		}
	}
	if h.stage.spec.LongRunning {
		h.marks = nil
	}
	return cleared
}

// share is the probability that the task has caused a crash, if each suspect may have.
func (h *crashHistory) share() float64 {
	share := 0.0
	if h == nil {
		return share
	}
	for _, mark := range h.marks {
		if !h.blamed(mark) {
			continue
		}
		suspects := len(mark.crash.suspects)
		if mark.prime {
			suspects = mark.crash.primes()
		}
		share = max(share, 1/float64(max(suspects, 1)))
	}
	if h.recurring() {
		return 1
	}
	return share
}
