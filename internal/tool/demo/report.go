package demo

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cairnbay"
	"cairnbay/internal/fake/judge"
	"cairnbay/internal/tool/report"
)

// Wait is the waiting time before work of one kind started.
type Wait struct {
	Kind  string  `json:"kind"`
	Count int64   `json:"count"`
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
}

// Report is what a run of the demo shows, by the records of the stand-ins and
// the callers alone.
type Report struct {
	Waits []Wait `json:"waits"`
	// Packing is the share of the processors of workers in use that tasks were
	// granted, averaged over time.
	Packing float64 `json:"packing"`
	// StoreCalls counts all calls; StoreCallsAStart divides them by the task
	// starts.
	StoreCalls       int             `json:"store_calls"`
	TaskStarts       int             `json:"task_starts"`
	StoreCallsAStart float64         `json:"store_calls_a_start"`
	Requests         int             `json:"requests"`
	Refusals         map[string]int  `json:"refusals,omitempty"`
	Unreached        int             `json:"unreached"`
	JobsOpen         int             `json:"jobs_open"`
	Verdicts         []judge.Verdict `json:"verdicts"`
	TookMS           int64           `json:"took_ms"`
	// Audit is what the instances' own records show, for comparison; nothing is
	// judged by it.
	Audit report.Report `json:"audit"`
}

// Broken counts the promises that were not kept.
func (r Report) Broken() int {
	broken := 0
	for _, verdict := range r.Verdicts {
		if verdict.State == judge.Broken {
			broken++
		}
	}
	return broken
}

const (
	maxWaitMS      = 60_000
	waitDigits     = 3
	percentileHalf = 50
	percentileTail = 99
)

// waits gathers waiting times by kind.
type waits map[string]*hdrhistogram.Histogram

func (w waits) add(kind string, waitedMS int64) {
	known, ok := w[kind]
	if !ok {
		known = hdrhistogram.New(1, maxWaitMS, waitDigits)
		w[kind] = known
	}
	_ = known.RecordValue(min(max(waitedMS, 1), maxWaitMS))
}

func (w waits) rows() []Wait {
	rows := make([]Wait, 0, len(w))
	for kind, known := range w {
		rows = append(rows, Wait{
			Kind: kind, Count: known.TotalCount(),
			P50MS: float64(known.ValueAtPercentile(percentileHalf)),
			P99MS: float64(known.ValueAtPercentile(percentileTail)),
		})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Kind < rows[j].Kind })
	return rows
}

// submission is a job as the demo submitted it.
type submission struct {
	kind string
	atMS int64
}

// waitingTimes compares when work was asked for with when it started, by the
// records of callers, runners and workers.
func waitingTimes(input judge.Input, bands map[string]string, jobs map[cairnbay.JobID]submission) []Wait {
	found := make(waits)
	asked := make(map[string]int64, len(input.Calls))
	for _, call := range input.Calls {
		asked[call.RequestID] = call.FromMS
	}
	for _, runner := range input.Runners {
		for _, request := range runner.Requests {
			if at, ok := asked[request.RequestID]; ok && !request.Refused {
				found.add("request "+bands[request.RequestID], request.FromMS-at)
			}
		}
	}
	for task, fromMS := range firstRuns(input) {
		if job, ok := jobs[task.Job]; ok {
			found.add("task "+job.kind, fromMS-job.atMS)
		}
	}
	return found.rows()
}

// firstRuns finds when each task started for the first time.
func firstRuns(input judge.Input) map[cairnbay.TaskID]int64 {
	first := make(map[cairnbay.TaskID]int64)
	for _, worker := range input.Workers {
		for _, run := range worker.Runs {
			known, ok := first[run.Task]
			if !ok || run.FromMS < known {
				first[run.Task] = run.FromMS
			}
		}
	}
	return first
}

// packing is granted processors over those of workers while they run anything.
func packing(input judge.Input) float64 {
	var granted, held float64
	for _, worker := range input.Workers {
		g, h := workerPacking(worker, input.EndMS)
		granted += g
		held += h
	}
	if held == 0 {
		return 0
	}
	return granted / held
}

// workerPacking sums granted and held processor time of one worker.
func workerPacking(worker judge.Worker, endMS int64) (granted, held float64) {
	type edge struct {
		atMS   int64
		change int64
	}
	var edges []edge
	for _, run := range worker.Runs {
		until := run.UntilMS
		if until == 0 {
			until = endMS
		}
		edges = append(edges, edge{run.FromMS, run.Size.MilliCPU}, edge{until, -run.Size.MilliCPU})
	}
	sort.Slice(edges, func(i, j int) bool { return edges[i].atMS < edges[j].atMS })
	var used, lastMS int64
	for _, next := range edges {
		if used > 0 {
			granted += float64(used) * float64(next.atMS-lastMS)
			held += float64(worker.Capacity.MilliCPU) * float64(next.atMS-lastMS)
		}
		used += next.change
		lastMS = next.atMS
	}
	return granted, held
}

func countStarts(input judge.Input) int {
	starts := 0
	for _, worker := range input.Workers {
		starts += len(worker.Runs)
	}
	return starts
}

// Print writes the report as text.
func (r Report) Print(out io.Writer) {
	fmt.Fprintf(out, "\nran %.1f s: %d requests, %d task starts\n\n", time.Duration(r.TookMS*int64(time.Millisecond)).Seconds(), r.Requests, r.TaskStarts)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "WAITING BEFORE START\tCOUNT\tP50 MS\tP99 MS")
	for _, wait := range r.Waits {
		fmt.Fprintf(table, "%s\t%d\t%.0f\t%.0f\n", wait.Kind, wait.Count, wait.P50MS, wait.P99MS)
	}
	_ = table.Flush()
	fmt.Fprintf(out, "\npacking: %.0f %% of the processors of workers in use\n", r.Packing*100)
	fmt.Fprintf(out, "store: %d calls, %.2f a task start\n", r.StoreCalls, r.StoreCallsAStart)
	r.printRefusals(out)
	fmt.Fprintln(out)
	table = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PROMISE\tVERDICT\tCHECKS\tFAILED")
	for _, verdict := range r.Verdicts {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\n", verdict.Promise, verdict.State, verdict.Checks, verdict.Failures)
	}
	_ = table.Flush()
	r.printAudit(out)
	for _, verdict := range r.Verdicts {
		for _, evidence := range verdict.Evidence {
			fmt.Fprintf(out, "%s: %s\n", verdict.Promise, evidence)
		}
	}
}

// printAudit sums up what the audit says of the same run.
func (r Report) printAudit(out io.Writer) {
	states := make(map[string]int)
	for _, line := range r.Audit.Promises {
		states[string(line.State)]++
	}
	fmt.Fprintf(out, "\naudit: %d lives, %d faults in the chains, %d gaps; promises %v\n",
		len(r.Audit.Lives), len(r.Audit.Faults), len(r.Audit.Gaps), states)
}

func (r Report) printRefusals(out io.Writer) {
	kinds := make([]string, 0, len(r.Refusals))
	for kind := range r.Refusals {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	for _, kind := range kinds {
		fmt.Fprintf(out, "answered %s: %d\n", kind, r.Refusals[kind])
	}
	if r.Unreached > 0 {
		fmt.Fprintf(out, "no instance could be reached: %d\n", r.Unreached)
	}
	if r.JobsOpen > 0 {
		fmt.Fprintf(out, "jobs not finished: %d\n", r.JobsOpen)
	}
}
