package shard

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairnbay"
	"cairnbay/internal/fake/oracle"
	stand "cairnbay/internal/fake/worker"
)

// machine takes random steps in a world.
type machine struct{ *world }

func (m machine) life(t *rapid.T) *life {
	if len(m.lives) == 0 {
		m.takeOver()
	}
	// The newest lives are drawn most.
	back := rapid.IntRange(0, min(2, len(m.lives)-1)).Draw(t, "life")
	return m.lives[len(m.lives)-1-back]
}

func (m machine) replace(t *rapid.T) {
	if len(m.lives) > 6 {
		t.Skip("enough lives")
	}
	m.takeOver()
}

func (m machine) submit(t *rapid.T) { m.submitTo(t, m.life(t)) }

func (m machine) submitTo(t *rapid.T, to *life) {
	m.world.submit(to, rapid.IntRange(1, 5).Draw(t, "tasks"), rapid.Bool().Draw(t, "at most once"))
}

func (m machine) cancelOne(t *rapid.T) {
	if m.nextID == 0 {
		t.Skip("no job")
	}
	index := rapid.IntRange(1, m.nextID).Draw(t, "job")
	m.cancel(m.life(t), cairnbay.JobID(fmt.Sprint("job-", index)))
}

func (m machine) killOne(t *rapid.T) {
	if len(m.listed) < worldWorkers || rapid.IntRange(0, 9).Draw(t, "kill") > 0 {
		t.Skip("no worker dies")
	}
	m.kill(rapid.IntRange(0, worldWorkers-1).Draw(t, "worker"))
}

func (m machine) tickOne(t *rapid.T) { m.tick(m.life(t)) }

func (m machine) sendOne(t *rapid.T) {
	of := m.life(t)
	if len(of.calls) == 0 {
		t.Skip("no call")
	}
	at := rapid.IntRange(0, len(of.calls)-1).Draw(t, "call")
	action := of.calls[at]
	of.calls = append(of.calls[:at:at], of.calls[at+1:]...)
	switch rapid.IntRange(0, 3).Draw(t, "fate") {
	case 0:
		m.send(of, action, true)
	case 1:
		of.late = append(of.late, action)
		m.answer(of, action, reply{err: cairnbay.ErrUnknown})
	default:
		m.send(of, action, false)
	}
}

// arrive lets a call that its owner gave up take effect.
func (m machine) arrive(t *rapid.T) {
	m.arriveAll(m.life(t))
}

func (m machine) arriveAll(of *life) {
	late := of.late
	of.late = nil
	for _, action := range late {
		perform(m.find(action.Worker), action)
	}
}

func (m machine) deliverOne(t *rapid.T) { m.deliver(m.life(t)) }

func (m machine) writeOne(t *rapid.T) { m.write(m.life(t)) }

func (m machine) advance(t *rapid.T) {
	m.hand.Advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
}

func (m machine) passTime(t *rapid.T) {
	m.pass(time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second)
}

func (m machine) cutOne(t *rapid.T) {
	of := m.life(t)
	id := m.all[rapid.IntRange(0, worldWorkers-1).Draw(t, "worker")].ID
	of.cut[id] = !of.cut[id]
}

func (m machine) pauseOne(t *rapid.T) {
	of := m.life(t)
	of.paused = !of.paused
}

func (m machine) flipStore(*rapid.T) { m.down = !m.down }

func (m machine) copyLog(t *rapid.T) {
	if m.down {
		t.Skip("store down")
	}
	m.stale = m.log.Clone()
}

// sendAll sends the calls of one life and delivers the answers, while its
// journal stands still.
func (m machine) sendAll(of *life) {
	calls := of.calls
	of.calls = nil
	for _, call := range calls {
		m.send(of, call, false)
	}
	for len(of.answers) > 0 && !of.paused {
		m.deliver(of)
	}
}

// contest lets a new life take over that cannot reach one worker, while the
// former goes on, or is paused with its calls still on their way.
func (m machine) contest(t *rapid.T) {
	if len(m.lives) > 6 {
		t.Skip("enough lives")
	}
	former := m.lives[len(m.lives)-1]
	if rapid.Bool().Draw(t, "with new work") {
		m.submitTo(t, former)
		for range former.writes {
			m.write(former)
		}
	}
	if rapid.Bool().Draw(t, "calls sent") {
		m.sendAll(former)
	}
	if rapid.Bool().Draw(t, "former paused") {
		former.paused = true
		former.late = append(former.late, former.calls...)
		former.calls = nil
	}
	m.takeOver()
	id := m.all[rapid.IntRange(0, worldWorkers-1).Draw(t, "unreached")].ID
	m.lives[len(m.lives)-1].cut[id] = true
	m.passTime(t)
	if rapid.Bool().Draw(t, "late calls arrive") {
		m.arriveAll(former)
		m.check(t)
	}
}

// pauseAtSend pauses an owner between its decision and the send, lets a
// successor wait until former tasks have ended, and lets the calls go out then.
func (m machine) pauseAtSend(t *rapid.T) {
	if len(m.lives) > 6 {
		t.Skip("enough lives")
	}
	former := m.lives[len(m.lives)-1]
	m.submitTo(t, former)
	for range former.writes {
		m.write(former)
	}
	former.paused = true
	calls := former.calls
	former.calls = nil
	m.takeOver()
	id := m.all[rapid.IntRange(0, worldWorkers-1).Draw(t, "unreached")].ID
	m.lives[len(m.lives)-1].cut[id] = true
	m.pass(worldConfirm + worldLease + 2*time.Second)
	former.late = append(former.late, calls...)
	m.arriveAll(former)
}

func (m machine) settleAll(*rapid.T) { m.settle() }

// check judges the promises by what the workers themselves recorded.
func (m machine) check(t *rapid.T) {
	runs := map[cairnbay.TaskID][]stand.Run{}
	for i, fake := range m.workers {
		records := fake.Records()
		if !records.MaxCharged.Fits(records.Capacity) {
			t.Fatalf("capacity: %s was charged %v of %v", records.Worker, records.MaxCharged, records.Capacity)
		}
		for _, run := range records.Runs {
			run.Started -= m.skews[i]
			run.Ended -= m.skews[i]
			runs[run.Task] = append(runs[run.Task], run)
		}
	}
	for task, all := range runs {
		checkOnePlace(t, task, all)
		if all[0].AtMostOnce && len(all) > 1 {
			t.Fatalf("at most once: %s was started %d times", task, len(all))
		}
	}
}

func checkOnePlace(t *rapid.T, task cairnbay.TaskID, runs []stand.Run) {
	for i, one := range runs {
		for _, two := range runs[i+1:] {
			if overlap(one, two) && overlap(two, one) {
				t.Fatalf("one place: %s ran twice at once, under epochs %s and %s", task, one.Epoch, two.Epoch)
			}
		}
	}
}

// overlap says whether one was still running when two had started.
func overlap(one, two stand.Run) bool {
	return one.Reason == "" || one.Ended > two.Started
}

// finish ends all faults, lets one owner work on, and expects every
// acknowledged job to end and every worker to be empty.
func (m machine) finish(t *rapid.T) {
	m.down = false
	for _, of := range m.lives {
		of.calls, of.late, of.answers, of.writes = nil, nil, nil, nil
		of.paused = true
	}
	m.takeOver()
	last := m.lives[len(m.lives)-1]
	m.pass(90 * time.Second)
	m.check(t)
	for id, job := range m.acked {
		known := m.log.Jobs[id]
		if known == nil {
			t.Fatalf("acknowledged: %s is not in the journal", id)
		}
		if known.FinalCount() != job.Tasks && !m.cancelled[id] {
			t.Fatalf("acknowledged: %s has %d of %d tasks ended: %v", id, known.FinalCount(), job.Tasks, last.core.Jobs(m.hand.Now()))
		}
	}
	if free, total := last.placer.Free(); free != total {
		t.Fatalf("capacity: %v of %v is free when nothing runs; held %d, jobs %v", free, total, len(last.core.held), last.placer.Jobs())
	}
}

func drive(t *rapid.T, plan faultPlan, actions func(machine) map[string]func(*rapid.T)) {
	m := machine{newWorld(plan)}
	m.takeOver()
	m.pass(2 * time.Second)
	t.Repeat(actions(m))
	m.finish(t)
}

// allActions are the steps of a machine.
func (m machine) allActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"take over": m.replace, "submit": m.submit, "submit more": m.submit,
		"tick": m.tickOne, "send": m.sendOne, "send more": m.sendOne, "arrive": m.arrive,
		"deliver": m.deliverOne, "deliver more": m.deliverOne, "write": m.writeOne,
		"advance": m.advance, "pass": m.passTime, "settle": m.settleAll,
		"send all": func(t *rapid.T) { m.sendAll(m.life(t)) }, "contest": m.contest,
		"pause at send": m.pauseAtSend,
		"cancel":        m.cancelOne, "kill": m.killOne, "cut": m.cutOne, "pause": m.pauseOne,
		"store": m.flipStore, "copy": m.copyLog,
		"": m.check,
	}
}

// fewActions are the steps that defects of takeover show in soonest.
func (m machine) fewActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"take over": m.replace, "submit": m.submit, "settle": m.settleAll, "pass": m.passTime,
		"send all": func(t *rapid.T) { m.sendAll(m.life(t)) }, "contest": m.contest, "write": m.writeOne,
		"pause at send": m.pauseAtSend,
		"":              m.check,
	}
}

func TestOwnersAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { drive(t, faultPlan{}, machine.allActions) })
}

func TestOracleFindsDefects(t *testing.T) {
	scenarios := map[string]struct {
		plan faultPlan
		want string
	}{
		"fencing off":                     {plan: faultPlan{noFencing: true}, want: ""},
		"mark raised after the start":     {plan: faultPlan{core: defectMarkLate}, want: "at most once"},
		"unaccounted tasks freed early":   {plan: faultPlan{core: defectFreesEarly}, want: ""},
		"renewing after being fenced":     {plan: faultPlan{core: defectIgnoresFence}, want: ""},
		"calls without a deadline":        {plan: faultPlan{core: defectUnbounded}, want: ""},
		"acknowledged before the journal": {plan: faultPlan{acksEarly: true}, want: "acknowledged"},
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			found := oracle.Finds(func(t *rapid.T) { drive(t, scenario.plan, machine.fewActions) })
			if found == "" || !strings.Contains(found, scenario.want) {
				t.Fatalf("the oracle found %q", found)
			}
			t.Log(strings.SplitN(found, "\n", 2)[0])
		})
	}
}
