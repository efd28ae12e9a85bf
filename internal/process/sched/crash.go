package sched

import (
	"slices"
	"time"

	"cairnbay"
)

// LossCause is what is known about the end of a lost worker.
type LossCause uint8

// Causes of a loss.
const (
	// LossCrashed is a worker that is gone without notice: another one answers at its
	// address, or the platform's list no longer has it.
	LossCrashed LossCause = iota + 1
	// LossSilent is a worker whose lease has ended in silence. It may have crashed or
	// be cut off.
	LossSilent
	// LossDeparted is a worker that was draining.
	LossDeparted
)

const (
	// provingTime is how long a worker must be known to have run an attempt that has
	// nothing to do with its crash. A task that crashes its worker does so as it
	// starts; one that does so later is found by recurringCrashes.
	provingTime = 300 * time.Millisecond
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
	// primeWindow is the time before the last start on a crashed worker within which
	// the prime suspects started.
	primeWindow = 50 * time.Millisecond
	// riskSmoothing is the weight of one start in the share of a queue's starts that
	// crash their workers.
	riskSmoothing = 0.02
	// maxQueueRisk is the share from which every start of the queue is on trial.
	maxQueueRisk = 0.1
	// riskTime is how long after a crash the tasks of the suspects' queues are placed
	// where a crash harms few jobs.
	riskTime = 10 * time.Second
	// recurringCrashes is the number of unexplained crashes under a task from which its
	// attempts are blamed for a crash at any time, and get a worker of their own.
	recurringCrashes = 3
)

// crash is the crash of one worker.
type crash struct {
	worker string
	// confirmed is unset while the worker may only be cut off.
	confirmed bool
	// marked are the tasks of which the worker had an attempt, suspects those of them
	// that may have caused the crash.
	marked, suspects []*crashHistory
	// unknownSuspects counts the attempts of tasks that the core does not have.
	unknownSuspects int
	// explained is set once one of the suspects has been given up.
	explained bool
}

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
	// among the last that the worker had started, and prompt if the worker ceased to
	// answer within promptTime.
	started, prime, prompt bool
}

// GivenUp is a job that has failed because one of its tasks, or gangs, crashes the
// workers that start it.
type GivenUp struct {
	Task cairnbay.WorkflowTask
	// Workers are the workers that crashed under the task.
	Workers []string
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

// mark adds a crash under an attempt.
func (c *crash) mark(h *crashHistory, mark crashMark, suspect bool) {
	mark.crash = c
	h.marks = append(h.marks, mark)
	if !slices.Contains(c.marked, h) {
		c.marked = append(c.marked, h)
	}
	if suspect && !slices.Contains(c.suspects, h) {
		c.suspects = append(c.suspects, h)
	}
}

// primes counts the prime suspects.
func (c *crash) primes() int {
	count := 0
	for _, h := range c.suspects {
		if slices.ContainsFunc(h.marks, func(mark crashMark) bool { return mark.crash == c && mark.prime }) {
			count++
		}
	}
	return count
}

// noteCrash blames the crash of a worker on the attempts that it had started last.
func (c *Core) noteCrash(now Moment, lost *worker, cause LossCause) []Record {
	noted := &crash{worker: lost.entry.ID}
	lastStart := time.Duration(0)
	for _, attempt := range lost.attempts {
		lastStart = max(lastStart, attempt.knownAt)
	}
	for _, attempt := range lost.attempts {
		if attempt.phase == phaseReserved {
			continue
		}
		if attempt.stage == nil {
			noted.unknownSuspects++
			continue
		}
		suspect := !attempt.proven() || attempt.stage.history(attempt.task).recurring()
		// A worker of a task that lasts crashes some day, whoever is to blame.
		if suspect || !attempt.stage.spec.LongRunning {
			noted.mark(attempt.stage.historyOrNew(attempt.task), crashMark{
				attempt: attempt.number,
				// A start without an answer may have reached a worker that was gone, but
				// nothing else crashes a worker just as a trial begins.
				started: attempt.known || attempt.trialWeight > 0,
				prime:   !attempt.known || attempt.knownAt >= lastStart-primeWindow,
				prompt:  attempt.known && lost.unreachable && lost.unreachableSince-attempt.startedAt <= promptTime,
			}, suspect)
		}
	}
	if len(noted.marked) == 0 {
		return nil
	}
	if cause == LossSilent {
		c.crashes[noted.worker] = noted
		return nil
	}
	return c.confirmCrash(now, noted)
}

// confirmCrash counts a crash against its suspects and returns what must be stored.
func (c *Core) confirmCrash(now Moment, confirmed *crash) []Record {
	confirmed.confirmed = true
	for _, h := range confirmed.suspects {
		if h.needsTrial() {
			queue := c.queueRisk(h.stage)
			queue.until = now.BootTime + riskTime
			queue.share += riskSmoothing * (h.share() - queue.share)
		}
	}
	var records []Record
	for _, h := range confirmed.marked {
		if h.stage.job.ended {
			continue
		}
		records = append(records, h.records(confirmed)...)
	}
	for _, record := range records {
		c.jobs[record.Task.Job].unwritten++
	}
	return append(records, c.judge(now, confirmed)...)
}

// queueRisk is what is known of a queue of which some tasks crash their workers.
type queueRisk struct {
	// until is when its tasks cease to be placed where a crash harms few jobs.
	until time.Duration
	// share is the share of its starts that crash their workers, an exponential moving
	// average.
	share float64
}

// queueRisk returns the risk of the stage's queue, and adds it where it is missing.
func (c *Core) queueRisk(stage *stage) *queueRisk {
	name := stage.job.workflow.Queue.Name
	if c.queueRisks[name] == nil {
		c.queueRisks[name] = &queueRisk{}
	}
	return c.queueRisks[name]
}

// observeHarmlessStart counts an attempt that has not crashed its worker, once.
func (c *Core) observeHarmlessStart(a *attempt) {
	if a.harmless || a.stage == nil {
		return
	}
	a.harmless = true
	if queue := c.queueRisks[a.stage.job.workflow.Queue.Name]; queue != nil {
		queue.share -= riskSmoothing * queue.share
	}
}

// otherJobs counts the jobs beside a given one that have attempts on the worker.
func (w *worker) otherJobs(given *job) int {
	jobs := make(map[*job]struct{})
	for _, attempt := range w.attempts {
		if attempt.stage != nil && attempt.stage.job != given {
			jobs[attempt.stage.job] = struct{}{}
		}
	}
	return len(jobs)
}

// withdrawCrash forgets the crash of a worker that answers.
func (c *Core) withdrawCrash(worker string) {
	withdrawn := c.crashes[worker]
	if withdrawn == nil {
		return
	}
	delete(c.crashes, worker)
	for _, h := range withdrawn.marked {
		h.marks = slices.DeleteFunc(h.marks, func(mark crashMark) bool { return mark.crash == withdrawn })
	}
	withdrawn.suspects = nil
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

// replayCrash applies a record of a crash. The suspects of a crash share its worker.
func (c *Core) replayCrash(stage *stage, task *task, record Record) {
	replayed := c.crashes[record.Worker]
	if replayed == nil {
		replayed = &crash{worker: record.Worker, confirmed: true}
		c.crashes[record.Worker] = replayed
	}
	replayed.mark(stage.historyOrNew(task), crashMark{
		attempt: record.Attempt, started: record.Started, prime: record.Suspect, prompt: record.Prompt,
	}, record.Suspect)
}

// judge gives up the guilty suspects of a crash.
func (c *Core) judge(now Moment, judged *crash) (records []Record) {
	for _, h := range slices.Clone(judged.suspects) {
		if h.stage.job.ended || !h.guilty() {
			continue
		}
		records = append(records, c.giveUp(now, h))
	}
	return records
}

// giveUp fails the job of a task that crashes its workers. The other suspects of those
// crashes are innocent of them.
func (c *Core) giveUp(now Moment, h *crashHistory) Record {
	ref := h.stage.ref(h.task.index)
	given := GivenUp{Task: ref}
	for _, mark := range h.marks {
		if h.blamed(mark) {
			mark.crash.explained = true
			mark.crash.suspects = []*crashHistory{h}
			given.Workers = append(given.Workers, mark.crash.worker)
		}
	}
	c.givenUp = append(c.givenUp, given)
	job := h.stage.job
	job.failed, job.givenUp = true, &ref
	job.unwritten++
	c.endJob(now, job)
	c.changeCount++
	return Record{Kind: RecordGivenUp, Task: ref}
}

// TakeGivenUp returns the jobs given up since the last call, for logs.
func (c *Core) TakeGivenUp() []GivenUp {
	taken := c.givenUp
	c.givenUp = nil
	return taken
}

// acquit clears a task, or a gang, of the crashes blamed on it: an attempt has run for
// long enough or is done. Those that remain suspects may be guilty now.
func (c *Core) acquit(now Moment, h *crashHistory) (records []Record) {
	for _, cleared := range h.clear() {
		records = append(records, c.judge(now, cleared)...)
	}
	c.changeCount++
	return records
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

// proveAttempt ends the trial of an attempt that has run for long enough, and acquits
// its task, or its gang once all members have.
func (c *Core) proveAttempt(now Moment, a *attempt) []Record {
	if a.stage == nil || a.task == nil || !a.proven() {
		return nil
	}
	c.observeHarmlessStart(a)
	h := a.stage.history(a.task)
	if h.recurring() {
		return nil
	}
	c.endTrial(a)
	if !h.suspected() {
		return nil
	}
	if a.stage.spec.Gang {
		for i := range a.stage.tasks {
			if member := a.stage.tasks[i].attempt; member == nil || !member.proven() {
				return nil
			}
		}
	}
	return c.acquit(now, h)
}
