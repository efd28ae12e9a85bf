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
	// primeWindow is the time before the last start on a crashed worker within which
	// the prime suspects started.
	primeWindow = 50 * time.Millisecond
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
	// raises are what the crash has added to the risk of queues.
	raises []riskRaise
}

// GivenUp is a job that has failed because one of its tasks, or gangs, crashes the
// workers that start it.
type GivenUp struct {
	Task cairnbay.WorkflowTask
	// Workers are the workers that crashed under the task.
	Workers []string
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
				prompt:  attempt.crashedPromptly(),
			}, suspect)
		}
	}
	c.noteLoss(now, lost, noted)
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
			confirmed.raises = append(confirmed.raises, queue.raise(h.share()))
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

// withdrawCrash forgets the crash of a worker that answers.
func (c *Core) withdrawCrash(worker string) {
	withdrawn := c.crashes[worker]
	if withdrawn == nil {
		return
	}
	delete(c.crashes, worker)
	for _, h := range withdrawn.marked {
		h.forget(withdrawn)
	}
	withdrawn.suspects = nil
}

// forgetCrashes drops the removed jobs from the crashes that are kept, and crashes
// without any other. Their suspects still share the blame.
func (c *Core) forgetCrashes() {
	removed := func(h *crashHistory) bool { return c.jobs[h.stage.job.workflow.ID] != h.stage.job }
	for worker, kept := range c.crashes {
		kept.marked = slices.DeleteFunc(kept.marked, removed)
		suspects := len(kept.suspects)
		kept.suspects = slices.DeleteFunc(kept.suspects, removed)
		kept.unknownSuspects += suspects - len(kept.suspects)
		if len(kept.marked) == 0 {
			delete(c.crashes, worker)
		}
	}
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

// proveAttempt ends the trial of an attempt that has run for long enough, and acquits
// its task, or its gang once all members have.
func (c *Core) proveAttempt(now Moment, a *attempt) []Record {
	if a.stage == nil || a.task == nil || !a.proven() {
		return nil
	}
	c.observeHarmlessStart(a)
	h := a.stage.history(a.task)
	// A task that ends may still crash its worker late.
	if h.recurring() && !a.stage.spec.LongRunning {
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
