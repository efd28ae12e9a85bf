package judge

import (
	"cmp"
	"slices"

	"cairnbay"
)

// change is what a worker's charge changes by at one moment.
type change struct {
	atMS int64
	by   cairnbay.Resources
}

// checkCapacity sums up what each worker ran at each moment.
func checkCapacity(input Input, verdict *Verdict) {
	for _, worker := range input.Workers {
		charged := cairnbay.Resources{}
		for _, step := range changes(worker) {
			charged = charged.Add(step.by)
			verdict.check(charged.Fits(worker.Capacity), "worker %q ran %+v of %+v at %d ms",
				worker.ID, charged, worker.Capacity, step.atMS)
		}
	}
}

// changes lists the charges of a worker in order of time, releases first.
func changes(worker Worker) []change {
	var steps []change
	for _, run := range worker.Runs {
		steps = appendSpan(steps, run.Span, run.Size)
		processors := cairnbay.Resources{MilliCPU: -run.Size.MilliCPU}
		for _, throttled := range run.Throttled {
			steps = appendSpan(steps, throttled, processors)
		}
	}
	slices.SortStableFunc(steps, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.atMS, b.atMS), cmp.Compare(a.by.DominantShare(worker.Capacity), b.by.DominantShare(worker.Capacity)))
	})
	return merge(steps)
}

func appendSpan(steps []change, span Span, size cairnbay.Resources) []change {
	steps = append(steps, change{atMS: span.FromMS, by: size})
	if span.UntilMS != 0 {
		steps = append(steps, change{atMS: span.UntilMS, by: cairnbay.Resources{}.Sub(size)})
	}
	return steps
}

// merge joins the changes of one millisecond, since the records do not tell
// their order.
func merge(steps []change) []change {
	var merged []change
	for _, step := range steps {
		if last := len(merged) - 1; last >= 0 && merged[last].atMS == step.atMS {
			merged[last].by = merged[last].by.Add(step.by)
			continue
		}
		merged = append(merged, step)
	}
	return merged
}

// placed is a run together with its worker.
type placed struct {
	Run
	worker string
}

func runsByTask(input Input) map[cairnbay.TaskID][]placed {
	byTask := make(map[cairnbay.TaskID][]placed)
	for _, worker := range input.Workers {
		for _, run := range worker.Runs {
			byTask[run.Task] = append(byTask[run.Task], placed{Run: run, worker: worker.ID})
		}
	}
	return byTask
}

// checkOnePlace compares each run of a task with the one that began before it.
func checkOnePlace(input Input, verdict *Verdict) {
	for task, runs := range runsByTask(input) {
		slices.SortFunc(runs, func(a, b placed) int { return cmp.Compare(a.FromMS, b.FromMS) })
		longest := runs[0]
		verdict.check(true, "")
		for _, run := range runs[1:] {
			verdict.check(!run.overlaps(longest.Span), "task %s ran on %q (attempt %d, from %d ms) while it ran on %q (attempt %d, %d to %d ms)",
				task, run.worker, run.Attempt, run.FromMS, longest.worker, longest.Attempt, longest.FromMS, longest.UntilMS)
			if run.end() > longest.end() {
				longest = run
			}
		}
	}
}

func checkTasksAtMostOnce(input Input, verdict *Verdict) {
	for task, runs := range runsByTask(input) {
		if !runs[0].AtMostOnce {
			continue
		}
		verdict.check(len(runs) == 1, "at-most-once task %s was started %d times, last on %q",
			task, len(runs), runs[len(runs)-1].worker)
	}
}
