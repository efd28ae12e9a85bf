package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cairnbay"
	"cairnbay/internal/fake/advice"
	"cairnbay/internal/process/timer"
)

const (
	// policySequence is the sequence of random numbers for the terms of the policy service,
	// and policySteps that for the workers that it permits.
	policySequence, policySteps = 1<<20 + 1, 1<<20 + 2
	// The terms are drawn up to these, with tickets that last for at least shortestTicket.
	longestDecision, longestPerWorker = 10 * time.Millisecond, time.Millisecond
	shortestTicket, longestTicket     = 500 * time.Millisecond, 1500 * time.Millisecond
	// leastPermitted is the least number of permitted workers of a shard, if it has as many:
	// a gang of six needs two, and one may have shrunk or crashed. Up to two more are
	// permitted.
	leastPermitted = 3
	// lateLeast and lateSpread bound by how much a late answer exceeds the validity of its
	// tickets, and lateShortest and lateMost how long answers are late.
	lateLeast, lateSpread  = 50 * time.Millisecond, 300 * time.Millisecond
	lateShortest, lateMost = 3 * time.Second, 7 * time.Second
)

// ticketFaults are the faults of a run with the flag -tickets.
var ticketFaults = []fault{adviceLate, pauseInstance}

// drawTerms draws the terms of the policy service, in whole milliseconds.
func drawTerms(seed uint64) cairnbay.AdviceTerms {
	random := rand.New(rand.NewPCG(seed, policySequence))
	draw := func(least, most time.Duration) time.Duration {
		return (least + time.Duration(random.Int64N(int64(most-least)+1))).Truncate(time.Millisecond)
	}
	return cairnbay.AdviceTerms{
		Decide: draw(0, longestDecision), PerWorker: draw(0, longestPerWorker), Valid: draw(shortestTicket, longestTicket),
	}
}

// newPolicy returns the policy service.
func (w *world) newPolicy() *advice.Service {
	return advice.New(advice.Config{
		Now: timer.Boot, Valid: w.terms.Valid, Decide: w.terms.Decide, PerWorker: w.terms.PerWorker,
		Permits: w.permits, Life: func(worker string) string { return w.fleet.CurrentID(worker) },
	})
}

// permits says whether the policy service permits a worker for a step: about four workers
// of each shard, or half of them with outages, in all their lives.
func (w *world) permits(step cairnbay.WorkflowTask, worker string) bool {
	number, err := strconv.Atoi(strings.TrimPrefix(strings.Split(worker, "-")[0], "w"))
	return err == nil && w.permitted(step)[number]
}

// permitted returns the numbers of the workers that may run a step. Beside held jobs it is half
// of the workers, so that a task that waits seldom does so for room on them.
func (w *world) permitted(step cairnbay.WorkflowTask) map[int]bool {
	name := fmt.Sprint(w.config.Seed, step.Job, step.Occurrence, step.Step)
	random := rand.New(rand.NewPCG(xxhash.Sum64String(name), policySteps))
	chosen, left := make(map[int]bool), make([]int, w.config.Shards)
	for shard := range left {
		left[shard] = leastPermitted + random.IntN(3)
		if w.config.holdsJobs() {
			left[shard] = max(left[shard], w.config.Workers/w.config.Shards/2)
		}
	}
	for _, worker := range random.Perm(w.config.Workers) {
		if shard := w.shardOf(worker); left[shard] > 0 {
			left[shard]--
			chosen[worker] = true
		}
	}
	return chosen
}

func adviceLate(ctx context.Context, w *world, random *rand.Rand, _ time.Duration) string {
	late := w.terms.Valid + lateLeast + time.Duration(random.Int64N(int64(lateSpread)))
	length := lateShortest + time.Duration(random.Int64N(int64(lateMost-lateShortest)))
	w.changeAdvice(ctx, length, func(faults *advice.Faults, on bool) {
		faults.Late = 0
		if on {
			faults.Late = late
		}
	})
	return fmt.Sprintf("policy service late by %v for %v", late, length)
}

func adviceLoses(ctx context.Context, w *world, _ *rand.Rand, length time.Duration) string {
	w.changeAdvice(ctx, length, func(faults *advice.Faults, on bool) { faults.Lost = on })
	return fmt.Sprintf("policy service loses answers for %v", length)
}

func adviceTruncates(ctx context.Context, w *world, _ *rand.Rand, length time.Duration) string {
	w.changeAdvice(ctx, length, func(faults *advice.Faults, on bool) { faults.Truncated = on })
	return fmt.Sprintf("policy service truncates answers for %v", length)
}

func adviceRefuses(ctx context.Context, w *world, _ *rand.Rand, length time.Duration) string {
	w.changeAdvice(ctx, length, func(faults *advice.Faults, on bool) { faults.Refused = on })
	return fmt.Sprintf("policy service refuses calls for %v", length)
}

// changeAdvice brings a fault of the policy service about and ends it once it has lasted.
func (w *world) changeAdvice(ctx context.Context, length time.Duration, set func(faults *advice.Faults, on bool)) {
	w.policy.ChangeFaults(func(faults *advice.Faults) { set(faults, true) })
	w.after(ctx, length, func() {
		w.policy.ChangeFaults(func(faults *advice.Faults) { set(faults, false) })
	})
}
