// Package apply measures the time from the acknowledgement of a settings
// version until it is in force on every member, by members and faults.
package apply

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/bench/cell"
	"cairnbay/internal/bench/frame"
	"cairnbay/internal/version/apply"
	"cairnbay/internal/version/tree"
)

// Variants: what members have besides the re-read of the store.
const (
	variantWatch  = "watch_and_peers"
	variantReread = "reread_only"
)

// Cases of faults.
const (
	caseSteady  = "steady"
	caseNoStore = "one_data_centre_without_store"
	caseSilent  = "watches_go_silent"
	caseHealed  = "after_a_cut_heals"
	caseLarge   = "steady_290_teams_5000_services"
)

const (
	centres = 6
	// settleFor lets members meet and adopt the first version.
	settleFor       = 3 * time.Second
	defaultDuration = 20 * time.Second
	// meanGap is the mean time between changes.
	meanGap = time.Second
	// wholeWithin bounds the wait for a version to be in force everywhere.
	wholeWithin = 30 * time.Second
	lookStep    = 2 * time.Millisecond
	cutFor      = 15 * time.Second
	teams       = 290
	services    = 5000
	smallTeams  = 10
)

// Experiment measures settings at several sizes.
func Experiment() frame.Experiment {
	return frame.Experiment{
		Name:     "settings",
		Summary:  "time until an acknowledged settings version is in force everywhere",
		Variants: []string{variantWatch, variantReread},
		Cases:    []string{caseSteady, caseNoStore, caseSilent, caseHealed, caseLarge},
		Run:      run,
	}
}

func run(ctx context.Context, setup frame.Setup) (frame.Result, error) {
	if len(setup.Sizes) == 0 {
		setup.Sizes = []int{36}
	}
	if setup.Duration == 0 {
		setup.Duration = defaultDuration
	}
	result := frame.Result{Experiment: "settings", Setup: setup}
	for _, size := range setup.Sizes {
		for _, variant := range Experiment().Variants {
			for _, name := range Experiment().Cases {
				if !frame.Wants(setup.Variants, variant) || !frame.Wants(setup.Cases, name) {
					continue
				}
				row, err := measure(ctx, setup, frame.Row{Variant: variant, Case: name, Size: size})
				if err != nil {
					return result, errors.Annotatef(err, "%s, %s, %d members", variant, name, size)
				}
				result.Rows = append(result.Rows, row)
				if setup.Progress != nil {
					fmt.Fprintf(setup.Progress, "%s %s %d: %v\n", row.Variant, row.Case, row.Size, row.Figures)
				}
			}
		}
	}
	return result, nil
}

// trial is one row being measured.
type trial struct {
	cell   *cell.Cell
	random *rand.Rand
	row    frame.Row
	tree   *tree.Tree
	number int

	mu sync.Mutex
	// adopted holds when each node had each version.
	adopted []map[uint64]time.Time
	// took is in microseconds.
	took *hdrhistogram.Histogram
}

func measure(ctx context.Context, setup frame.Setup, row frame.Row) (frame.Row, error) {
	running, err := cell.New(cell.Config{
		Centres: centres, PerCentre: max(1, row.Size/centres), Settings: true, Seed: setup.Seed,
	})
	if err != nil {
		return row, err
	}
	defer running.Close()
	measured := &trial{
		cell: running, row: row, random: rand.New(rand.NewPCG(setup.Seed, 3)),
		took: hdrhistogram.New(1, time.Hour.Microseconds(), 3),
	}
	measured.follow()
	if err := measured.begin(ctx); err != nil {
		return row, err
	}
	before, beforeBytes, start := running.Store.Counts(), measured.bytes(), time.Now()
	if row.Case == caseHealed {
		err = measured.heal(ctx)
	} else {
		err = measured.changes(ctx, setup.Duration)
	}
	if err != nil {
		return row, err
	}
	elapsed := time.Since(start).Seconds()
	calls := float64(running.Store.Counts().Total()-before.Total()) / elapsed
	traffic := float64(measured.bytes()-beforeBytes) / elapsed / float64(len(running.Nodes))
	return measured.result(calls, traffic), nil
}

func (t *trial) follow() {
	t.adopted = make([]map[uint64]time.Time, len(t.cell.Nodes))
	for i, node := range t.cell.Nodes {
		t.adopted[i] = make(map[uint64]time.Time)
		node.Follower.OnChange(func(settings *cairnbay.Settings) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.adopted[i][settings.Version] = time.Now()
		})
	}
}

func (t *trial) bytes() int64 {
	total := int64(0)
	for _, node := range t.cell.Nodes {
		total += node.Bytes()
	}
	return total
}

// begin makes the first version and the row's fault.
func (t *trial) begin(ctx context.Context) error {
	if t.row.Variant == variantReread {
		t.cell.Store.SetWatchesSilent(true)
	}
	sleep(ctx, settleFor)
	count, branches := smallTeams, smallTeams
	if t.row.Case == caseLarge {
		count, branches = teams, services
	}
	built, err := declare(count, branches)
	if err != nil {
		return err
	}
	t.tree = built
	if _, err := t.apply(ctx); err != nil {
		return err
	}
	if t.row.Case == caseNoStore {
		for _, node := range t.cell.Nodes {
			if node.DataCentre == t.cell.Nodes[0].DataCentre {
				t.cell.Store.SetCut(node.ID, true)
			}
		}
	}
	sleep(ctx, settleFor)
	return ctx.Err()
}

// apply makes one change by way of the last node.
func (t *trial) apply(ctx context.Context) (apply.Result, error) {
	t.number++
	edited, err := t.tree.WithEdits([]tree.Edit{{Name: "request.queue_length", Text: fmt.Sprint(t.number)}})
	if err != nil {
		return apply.Result{}, err
	}
	t.tree = edited
	last := t.cell.Nodes[len(t.cell.Nodes)-1]
	return last.Applier.Apply(ctx, apply.Request{
		Tree: edited, Overwrite: true, ChangeID: fmt.Sprintf("change-%d", t.number), Who: "bench", Why: "bench",
	})
}

// changes makes changes at random times and waits for each to be in force.
func (t *trial) changes(ctx context.Context, span time.Duration) error {
	for start := time.Now(); time.Since(start) < span; {
		if t.row.Case == caseSilent {
			t.cell.Store.SilenceWatches()
		}
		result, err := t.apply(ctx)
		if err != nil {
			return err
		}
		if err := t.await(ctx, result.Record.Version, time.Now()); err != nil {
			return err
		}
		gap := time.Duration(t.random.ExpFloat64() * float64(meanGap))
		if !sleep(ctx, min(gap, 4*meanGap)) {
			return ctx.Err()
		}
	}
	return nil
}

// heal cuts one data centre off from the store and the others, makes changes,
// and counts from the moment when the others can be reached again.
func (t *trial) heal(ctx context.Context) error {
	centre := t.cell.Nodes[0].DataCentre
	t.cell.CutCentre(centre)
	for _, node := range t.cell.Nodes {
		if node.DataCentre == centre {
			t.cell.Store.SetCut(node.ID, true)
		}
	}
	sleep(ctx, cutFor)
	result, err := t.apply(ctx)
	if err != nil {
		return err
	}
	sleep(ctx, cutFor)
	t.cell.CutCentre("")
	return t.await(ctx, result.Record.Version, time.Now())
}

// await records how long after start each member had the version.
func (t *trial) await(ctx context.Context, version uint64, start time.Time) error {
	for time.Since(start) < wholeWithin {
		if times, whole := t.times(version); whole {
			for _, at := range times {
				_ = t.took.RecordValue(max(1, at.Sub(start).Microseconds()))
			}
			return nil
		}
		if !sleep(ctx, lookStep) {
			return ctx.Err()
		}
	}
	return errors.Errorf("version %d not in force everywhere within %v", version, wholeWithin)
}

func (t *trial) times(version uint64) ([]time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var times []time.Time
	for i := range t.adopted {
		at, ok := t.adopted[i][version]
		if !ok {
			return nil, false
		}
		times = append(times, at)
	}
	return times, true
}

func (t *trial) result(calls, traffic float64) frame.Row {
	ms := func(name string, micros int64) frame.Figure {
		return frame.Figure{Name: name, Unit: "ms", Value: float64(micros) / 1000}
	}
	t.row.Size = len(t.cell.Nodes)
	t.row.Figures = []frame.Figure{
		{Name: "adoptions", Unit: "count", Value: float64(t.took.TotalCount())},
		ms("p50", t.took.ValueAtQuantile(50)), ms("p99", t.took.ValueAtQuantile(99)), ms("worst", t.took.Max()),
		{Name: "store_calls", Unit: "calls/s", Value: calls},
		{Name: "member_traffic", Unit: "bytes/s", Value: traffic},
	}
	return t.row
}

// declare returns a tree of teams with services.
func declare(count, branches int) (*tree.Tree, error) {
	var declared []tree.Branch
	for team := range count {
		declared = append(declared, tree.Branch{Path: fmt.Sprintf("team-%d", team), Values: []tree.Value{
			{Name: "placing.weight", Text: "2"}, {Name: "team", Text: fmt.Sprintf("team-%d", team)},
		}})
	}
	for service := range branches {
		declared = append(declared, tree.Branch{
			Path: fmt.Sprintf("team-%d/service-%d", service%count, service),
			Values: []tree.Value{
				{Name: "kind", Text: "service"},
				{Name: "request.timeout", Text: "5s"},
				{Name: "service", Text: fmt.Sprintf("service-%d", service)},
			},
		})
	}
	return tree.New(declared, nil)
}

func sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-ctx.Done():
		return false
	}
}
