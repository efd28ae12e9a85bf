package shard

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnbay"
	"cairnbay/internal/fake/oracle"
	fakeworker "cairnbay/internal/fake/worker"
)

// machine takes random steps in a testCluster.
type machine struct{ *testCluster }

func (m machine) drawOwner(t *rapid.T) *testOwner {
	if len(m.owners) == 0 {
		m.takeOver()
	}
	// rapid prefers small values, so the newest owners are drawn most.
	age := rapid.IntRange(0, min(2, len(m.owners)-1)).Draw(t, "owner")
	return m.owners[len(m.owners)-1-age]
}

func (m machine) startOwner(t *rapid.T) {
	if len(m.owners) > 6 {
		t.Skip("enough owners")
	}
	m.takeOver()
}

func (m machine) submit(t *rapid.T) { m.submitTo(t, m.drawOwner(t)) }

func (m machine) submitTo(t *rapid.T, owner *testOwner) {
	m.testCluster.submit(owner, rapid.IntRange(1, 5).Draw(t, "tasks"), rapid.Bool().Draw(t, "at most once"))
}

func (m machine) cancelOne(t *rapid.T) {
	if m.nextID == 0 {
		t.Skip("no job")
	}
	index := rapid.IntRange(1, m.nextID).Draw(t, "job")
	m.cancel(m.drawOwner(t), cairnbay.JobID(fmt.Sprint("job-", index)))
}

func (m machine) killOne(t *rapid.T) {
	if len(m.listed) < testWorkers || rapid.IntRange(0, 9).Draw(t, "kill") > 0 {
		t.Skip("no worker is killed")
	}
	m.kill(rapid.IntRange(0, testWorkers-1).Draw(t, "worker"))
}

func (m machine) tickOne(t *rapid.T) { m.tick(m.drawOwner(t)) }

func (m machine) sendOne(t *rapid.T) {
	owner := m.drawOwner(t)
	if len(owner.pendingCalls) == 0 {
		t.Skip("no call")
	}
	position := rapid.IntRange(0, len(owner.pendingCalls)-1).Draw(t, "call")
	action := owner.pendingCalls[position]
	owner.pendingCalls = append(owner.pendingCalls[:position:position], owner.pendingCalls[position+1:]...)
	switch rapid.IntRange(0, 3).Draw(t, "outcome") {
	case 0:
		m.send(owner, action, true)
	case 1:
		owner.lateCalls = append(owner.lateCalls, action)
		m.queueAnswer(owner, action, reply{err: cairnbay.ErrUnknown})
	default:
		m.send(owner, action, false)
	}
}

// executeLateCalls performs the calls that their owner had given up.
func (m machine) executeLateCalls(t *rapid.T) {
	m.executeLate(m.drawOwner(t))
}

func (m machine) executeLate(owner *testOwner) {
	late := owner.lateCalls
	owner.lateCalls = nil
	for _, action := range late {
		perform(m.findWorker(action.Worker), action)
	}
}

func (m machine) deliverOne(t *rapid.T) { m.deliverNext(m.drawOwner(t)) }

func (m machine) writeOne(t *rapid.T) { m.writeNext(m.drawOwner(t)) }

func (m machine) advanceClock(t *rapid.T) {
	m.clock.Advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
}

func (m machine) runForSeconds(t *rapid.T) {
	m.runFor(time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second)
}

func (m machine) toggleReachability(t *rapid.T) {
	owner := m.drawOwner(t)
	id := m.instances[rapid.IntRange(0, testWorkers-1).Draw(t, "worker")].ID
	owner.unreachable[id] = !owner.unreachable[id]
}

func (m machine) togglePause(t *rapid.T) {
	owner := m.drawOwner(t)
	owner.paused = !owner.paused
}

func (m machine) toggleStore(*rapid.T) { m.storeDown = !m.storeDown }

func (m machine) copyJournal(t *rapid.T) {
	if m.storeDown {
		t.Skip("store down")
	}
	m.staleJournal = m.journal.Clone()
}

// sendAll sends the calls of one owner and delivers the answers, without any
// journal write.
func (m machine) sendAll(owner *testOwner) {
	calls := owner.pendingCalls
	owner.pendingCalls = nil
	for _, call := range calls {
		m.send(owner, call, false)
	}
	for len(owner.pendingAnswers) > 0 && !owner.paused {
		m.deliverNext(owner)
	}
}

// contestOwnership starts a new owner that cannot reach one worker, while the
// former owner continues or is paused with its calls in flight.
func (m machine) contestOwnership(t *rapid.T) {
	if len(m.owners) > 6 {
		t.Skip("enough owners")
	}
	former := m.owners[len(m.owners)-1]
	if rapid.Bool().Draw(t, "with new work") {
		m.submitTo(t, former)
		for range former.pendingWrites {
			m.writeNext(former)
		}
	}
	if rapid.Bool().Draw(t, "calls sent") {
		m.sendAll(former)
	}
	if rapid.Bool().Draw(t, "former paused") {
		former.paused = true
		former.lateCalls = append(former.lateCalls, former.pendingCalls...)
		former.pendingCalls = nil
	}
	m.takeOver()
	id := m.instances[rapid.IntRange(0, testWorkers-1).Draw(t, "unreached")].ID
	m.owners[len(m.owners)-1].unreachable[id] = true
	m.runForSeconds(t)
	if rapid.Bool().Draw(t, "late calls arrive") {
		m.executeLate(former)
		m.checkInvariants(t)
	}
}

// pauseAtSend pauses an owner between decision and send, runs a successor until
// the former owner's tasks have ended, and then performs the calls.
func (m machine) pauseAtSend(t *rapid.T) {
	if len(m.owners) > 6 {
		t.Skip("enough owners")
	}
	former := m.owners[len(m.owners)-1]
	m.submitTo(t, former)
	for range former.pendingWrites {
		m.writeNext(former)
	}
	former.paused = true
	calls := former.pendingCalls
	former.pendingCalls = nil
	m.takeOver()
	id := m.instances[rapid.IntRange(0, testWorkers-1).Draw(t, "unreached")].ID
	m.owners[len(m.owners)-1].unreachable[id] = true
	m.runFor(testQuorumValidity + testTaskLease + 2*time.Second)
	former.lateCalls = append(former.lateCalls, calls...)
	m.executeLate(former)
}

func (m machine) flushAll(*rapid.T) { m.flush() }

// checkInvariants checks capacity, at most once and one place against the
// workers' own records.
func (m machine) checkInvariants(t *rapid.T) {
	runs := map[cairnbay.TaskID][]fakeworker.Run{}
	for i, fake := range m.workers {
		records := fake.Records()
		if !records.MaxCharged.Fits(records.Capacity) {
			t.Fatalf("capacity: worker %s was charged %v of %v", records.Worker, records.MaxCharged, records.Capacity)
		}
		for _, run := range records.Runs {
			run.Started -= m.clockOffsets[i]
			run.Ended -= m.clockOffsets[i]
			runs[run.Task] = append(runs[run.Task], run)
		}
	}
	for task, taskRuns := range runs {
		checkOnePlace(t, task, taskRuns)
		if taskRuns[0].AtMostOnce && len(taskRuns) > 1 {
			t.Fatalf("at most once: task %s was started %d times", task, len(taskRuns))
		}
	}
}

func checkOnePlace(t *rapid.T, task cairnbay.TaskID, runs []fakeworker.Run) {
	for i, first := range runs {
		for _, second := range runs[i+1:] {
			if overlap(first, second) && overlap(second, first) {
				t.Fatalf("one place: task %s ran twice at once, under epochs %s and %s", task, first.Epoch, second.Epoch)
			}
		}
	}
}

// overlap reports whether first was still running when second started.
func overlap(first, second fakeworker.Run) bool {
	return first.Reason == "" || first.Ended > second.Started
}

// checkRecovery ends all faults, runs one owner, and checks that every
// acknowledged job ends and every worker becomes empty.
func (m machine) checkRecovery(t *rapid.T) {
	m.storeDown = false
	for _, owner := range m.owners {
		owner.pendingCalls, owner.lateCalls, owner.pendingAnswers, owner.pendingWrites = nil, nil, nil, nil
		owner.paused = true
	}
	m.takeOver()
	survivor := m.owners[len(m.owners)-1]
	m.runFor(90 * time.Second)
	m.checkInvariants(t)
	for id, job := range m.acked {
		journaled := m.journal.Jobs[id]
		if journaled == nil {
			t.Fatalf("acknowledged: job %s is not in the journal", id)
		}
		if journaled.FinalCount() != job.Tasks && !m.cancelled[id] {
			t.Fatalf("acknowledged: job %s has %d of %d tasks final: %v", id, journaled.FinalCount(), job.Tasks, survivor.core.Jobs(m.clock.Now()))
		}
	}
	if free, total := survivor.placer.Free(); free != total {
		t.Fatalf("capacity: %v of %v is free after all jobs ended; placements %d, jobs %v", free, total, len(survivor.core.placements), survivor.placer.Jobs())
	}
}

func runMachine(t *rapid.T, plan faultPlan, actions func(machine) map[string]func(*rapid.T)) {
	m := machine{newTestCluster(plan)}
	m.takeOver()
	m.runFor(2 * time.Second)
	t.Repeat(actions(m))
	m.checkRecovery(t)
}

// allActions returns all steps of a machine. The "more" entries double the
// probability of a step, and rapid runs the entry "" after each step. rapid
// orders the steps by name, so a new name changes what the fixed seed draws.
func (m machine) allActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"take over": m.startOwner, "submit": m.submit, "submit more": m.submit,
		"tick": m.tickOne, "send": m.sendOne, "send more": m.sendOne, "arrive": m.executeLateCalls,
		"deliver": m.deliverOne, "deliver more": m.deliverOne, "write": m.writeOne,
		"advance": m.advanceClock, "pass": m.runForSeconds, "settle": m.flushAll,
		"send all": func(t *rapid.T) { m.sendAll(m.drawOwner(t)) }, "contest": m.contestOwnership,
		"pause at send": m.pauseAtSend,
		"cancel":        m.cancelOne, "kill": m.killOne, "cut": m.toggleReachability, "pause": m.togglePause,
		"store": m.toggleStore, "copy": m.copyJournal,
		"": m.checkInvariants,
	}
}

// takeoverActions returns the steps that expose takeover defects soonest.
func (m machine) takeoverActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"take over": m.startOwner, "submit": m.submit, "settle": m.flushAll, "pass": m.runForSeconds,
		"send all": func(t *rapid.T) { m.sendAll(m.drawOwner(t)) }, "contest": m.contestOwnership, "write": m.writeOne,
		"pause at send": m.pauseAtSend,
		"":              m.checkInvariants,
	}
}

func TestOwnersAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runMachine(t, faultPlan{}, machine.allActions) })
}

func TestOracleFindsDefects(t *testing.T) {
	scenarios := map[string]struct {
		plan faultPlan
		// want is part of the failure text; empty accepts any violation, because
		// several invariants can fail first.
		want string
	}{
		"fencing off":                     {plan: faultPlan{noFencing: true}, want: ""},
		"mark raised after the start":     {plan: faultPlan{coreDefect: defectLateMark}, want: "at most once"},
		"unaccounted tasks freed early":   {plan: faultPlan{coreDefect: defectEarlyRelease}, want: ""},
		"renewing after being fenced":     {plan: faultPlan{coreDefect: defectIgnoredFence}, want: ""},
		"calls without a deadline":        {plan: faultPlan{coreDefect: defectNoDeadline}, want: ""},
		"acknowledged before the journal": {plan: faultPlan{earlyAck: true}, want: "acknowledged"},
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			found := oracle.Finds(func(t *rapid.T) { runMachine(t, scenario.plan, machine.takeoverActions) })
			if found == "" || !strings.Contains(found, scenario.want) {
				t.Fatalf("the oracle found %q", found)
			}
			t.Log(strings.SplitN(found, "\n", 2)[0])
		})
	}
}
