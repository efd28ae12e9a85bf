package drive

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cairnbay"
	"cairnbay/internal/process/sched"
)

// meters are the metrics of one shard.
type meters struct {
	set          *metrics.Set
	shard        string
	attemptsLost *metrics.Counter
	// startWait is the time from the acceptance of a job to the result of a start
	// order for one of its tasks, failed ones included, in seconds.
	startWait *metrics.Histogram
}

func newMeters(set *metrics.Set, shard string) meters {
	if set == nil {
		set = metrics.NewSet()
	}
	m := meters{set: set, shard: shard}
	m.attemptsLost = m.counter("cairnbay_attempts_lost_total", "")
	m.startWait = set.GetOrCreateHistogram(fmt.Sprintf("cairnbay_start_wait_seconds{shard=%q}", shard))
	return m
}

// counter returns the counter of the shard with the given additional labels,
// written as `,name="value"`.
func (m meters) counter(name, labels string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("%s{shard=%q%s}", name, m.shard, labels))
}

func (m meters) attemptEnded(reason cairnbay.AgentEndReason) {
	m.counter("cairnbay_attempts_ended_total", fmt.Sprintf(",reason=%q", reason)).Inc()
}

// workerLost counts a worker that was lost with some attempts.
func (m meters) workerLost(reason string, attempts int) {
	m.attemptsLost.Add(attempts)
	if attempts > 0 {
		m.counter("cairnbay_workers_lost_total", fmt.Sprintf(",reason=%q", reason)).Inc()
	}
}

func (m meters) workerRestarted() {
	m.counter("cairnbay_workers_restarted_total", "").Inc()
}

func (m meters) attemptUnlisted() {
	m.counter("cairnbay_attempts_unlisted_total", "").Inc()
}

// attemptRelocated counts a slow run that was moved or copied.
func (m meters) attemptRelocated(relocation sched.Relocation) {
	m.counter("cairnbay_attempts_relocated_total", fmt.Sprintf(",kind=%q", relocationKind(relocation))).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("cairnbay_relocation_gain_seconds{shard=%q}", m.shard)).Update(relocation.Gain.Seconds())
}

func (m meters) jobGivenUp() {
	m.counter("cairnbay_jobs_given_up_total", "").Inc()
}

func (m meters) gangIncomplete(cause sched.IncompleteCause) {
	m.counter("cairnbay_gangs_incomplete_total", fmt.Sprintf(",cause=%q", cause)).Inc()
}

// gangWaited adds the waiting time of a gang that starts or whose job has ended.
func (m meters) gangWaited(wait sched.GangWait) {
	width := "narrow"
	if wait.Members >= wideGangMembers {
		width = "wide"
	}
	labels := fmt.Sprintf(",width=%q,event=%q", width, wait.Event)
	m.counter("cairnbay_gang_waits_total", labels).Inc()
	for reason, waited := range wait.ByReason {
		seconds := m.set.GetOrCreateFloatCounter(fmt.Sprintf("cairnbay_gang_wait_seconds_total{shard=%q,width=%q,reason=%q}", m.shard, width, reason))
		seconds.Add(waited.Seconds())
	}
}

func (m meters) startFinished(waited time.Duration, err error) {
	result := "started"
	m.startWait.Update(waited.Seconds())
	if err != nil {
		result = "failed"
		m.counter("cairnbay_starts_refused_total", fmt.Sprintf(",reason=%q", refusalReason(err))).Inc()
	}
	m.counter("cairnbay_attempts_ordered_total", fmt.Sprintf(",result=%q", result)).Inc()
}

// refusalReason names why a start failed.
func refusalReason(err error) string {
	switch {
	case errors.Is(err, cairnbay.ErrUnknown):
		return "no_answer"
	case errors.Is(err, cairnbay.ErrInvalidTicket):
		return "ticket"
	case errors.Is(err, cairnbay.ErrNoRoom):
		return "no_room"
	case errors.Is(err, cairnbay.ErrFenced), errors.Is(err, cairnbay.ErrReplaced):
		return "replaced"
	case errors.Is(err, cairnbay.ErrOverloaded), errors.Is(err, cairnbay.ErrUnavailable):
		return "not_sent"
	default:
		return "other"
	}
}

// tasksHeldBack reports the tasks that wait until a former owner is settled.
func (m meters) tasksHeldBack(tasks int) {
	m.set.GetOrCreateGauge(fmt.Sprintf("cairnbay_tasks_waiting_for_former_owner{shard=%q}", m.shard), nil).Set(float64(tasks))
}

// stepsWaiting reports the steps that wait for the policy service.
func (m meters) stepsWaiting(byReason map[sched.AdviceWaitReason]int) {
	for _, reason := range []sched.AdviceWaitReason{
		sched.AdviceWaitAnswer, sched.AdviceWaitLimit, sched.AdviceWaitBackoff, sched.AdviceWaitWorkers, sched.AdviceWaitRoom,
		sched.AdviceWaitTicket, sched.AdviceWaitTurn,
	} {
		name := fmt.Sprintf("cairnbay_steps_waiting_for_policy{shard=%q,reason=%q}", m.shard, reason)
		m.set.GetOrCreateGauge(name, nil).Set(float64(byReason[reason]))
	}
}

func (m meters) submitted(verdict Verdict) {
	// The detail of a reason names a workspace, which would make a series for each.
	reason, _, _ := strings.Cut(verdict.Reason, reasonSeparator)
	m.counter("cairnbay_submissions_total",
		fmt.Sprintf(",verdict=%q,reason=%q", verdictName(verdict.Kind), reason)).Inc()
}
