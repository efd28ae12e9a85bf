package owner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"cairnbay"
	"cairnbay/internal/bench/frame"
	"cairnbay/internal/process/commit"
	"cairnbay/internal/process/owner"
)

// markVariants are the windows compared; "_ahead" raises a mark when half of
// the window is used up.
var markVariants = []string{"1", "8", "64", "256", "8_ahead", "64_ahead", "256_ahead"}

const (
	// journalRun is the load before the crash.
	journalRun = 8 * time.Second
	// journalTasks is the backlog of at-most-once tasks.
	journalTasks = 4000
	// maxWait bounds the histogram of waits, in microseconds.
	maxWait = 60_000_000
)

// Journal compares windows of the high-water mark of at-most-once tasks. A
// size is the number of task slots of the shard, which run tasks of about a
// second. The owner dies together with a worker: with every worker there, its
// successor would know what was never started.
func Journal() frame.Experiment {
	return frame.Experiment{
		Name:     "journal",
		Summary:  "windows of the at-most-once mark: store writes a start, waits for the mark, unknown after a crash",
		Variants: markVariants,
		Run:      runJournal,
	}
}

func runJournal(ctx context.Context, setup frame.Setup) (frame.Result, error) {
	result := frame.Result{Experiment: "journal", Setup: setup}
	sizes := setup.Sizes
	if len(sizes) == 0 {
		sizes = []int{16, 96}
	}
	for _, size := range sizes {
		rows := make([]frame.Row, len(markVariants))
		group, ctx := errgroup.WithContext(ctx)
		for i, variant := range markVariants {
			if !frame.Wants(setup.Variants, variant) {
				continue
			}
			group.Go(func() error {
				var err error
				rows[i], err = journalRow(ctx, setup.Seed, variant, size)
				return err
			})
		}
		if err := group.Wait(); err != nil {
			return result, err
		}
		for _, row := range rows {
			if row.Variant != "" {
				result.Rows = append(result.Rows, row)
			}
		}
	}
	return result, nil
}

// waits gathers how long starts waited for their mark.
type waits struct {
	mu    sync.Mutex
	times *hdrhistogram.Histogram
	count int
}

func (w *waits) add(waited time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count++
	_ = w.times.RecordValue(min(waited.Microseconds(), maxWait))
}

func journalRow(ctx context.Context, seed uint64, variant string, slots int) (frame.Row, error) {
	var window int
	var rest string
	_, _ = fmt.Sscanf(variant, "%d%s", &window, &rest)
	waited := &waits{times: hdrhistogram.New(1, maxWait, 3)}
	const slotsPerWorker = 4
	made, err := newCell(cellConfig{
		seed: seed, workers: slots / slotsPerWorker, slots: slotsPerWorker, members: 2,
		shortest: 500 * time.Millisecond, longest: 1500 * time.Millisecond,
		tune: func(config *owner.Config) {
			config.TaskLease, config.QuorumValidity, config.RenewWait = 4*time.Second, time.Second, 300*time.Millisecond
			config.MarkWindow, config.MarkAhead, config.OnMarkWait = window, rest != "", waited.add
		},
	})
	if err != nil {
		return frame.Row{}, err
	}
	defer made.close()
	victim := made.waitActive()
	if victim == nil {
		return frame.Row{}, fmt.Errorf("no member took the shard over within %s", takeTimeLimit)
	}
	if _, _, err := victim.current().Submit(ctx, job(journalTasks, true)); err != nil {
		return frame.Row{}, err
	}
	before := made.store.Counts().Puts
	time.Sleep(journalRun)
	puts := made.store.Counts().Puts - before
	made.fleet.Remove(made.workers[0])
	injure(made, victim, "kill")
	time.Sleep(detect)
	successor := made.waitActive()
	if successor == nil {
		return frame.Row{}, fmt.Errorf("no successor within %s", takeTimeLimit)
	}
	time.Sleep(2 * time.Second)
	state, err := commit.Read(ctx, made.store, cellCentre+"/"+cellClass)
	if err != nil {
		return frame.Row{}, err
	}
	return frame.Row{Variant: variant, Size: slots, Figures: journalFigures(made, state, waited, puts)}, nil
}

func journalFigures(made *cell, state *commit.State, waited *waits, puts int) []frame.Figure {
	starts := 0
	for _, fake := range made.workers {
		starts += len(fake.Records().Runs)
	}
	twice := judge(made, 0, made.clock.Now()).twice
	unknown := 0
	for _, known := range state.Jobs {
		unknown += known.Final[cairnbay.TaskUnknown].Count()
	}
	waited.mu.Lock()
	defer waited.mu.Unlock()
	return []frame.Figure{
		{Name: "starts", Unit: "count", Value: float64(starts)},
		{Name: "store_writes", Unit: "writes/s", Value: float64(puts) / journalRun.Seconds()},
		{Name: "store_writes_a_start", Unit: "ratio", Value: float64(puts) / float64(max(1, starts))},
		{Name: "starts_that_waited", Unit: "ratio", Value: float64(waited.count) / float64(max(1, starts))},
		{Name: "mark_wait_p50", Unit: "ms", Value: float64(waited.times.ValueAtQuantile(50)) / 1000},
		{Name: "mark_wait_p99", Unit: "ms", Value: float64(waited.times.ValueAtQuantile(99)) / 1000},
		{Name: "unknown_after_crash", Unit: "count", Value: float64(unknown)},
		{Name: "ran_twice", Unit: "count", Value: float64(twice)},
	}
}
