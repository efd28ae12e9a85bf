// Package demo runs the main job in one process on embedded stand-ins, with
// failures on the way, and judges every promise by the stand-ins' records.
package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/fake/judge"
	"cairnbay/internal/fake/stand"
	"cairnbay/internal/process/admin"
	"cairnbay/internal/process/timer"
)

// Config sets up a run.
type Config struct {
	// Progress takes one line an event; Logs takes the instances' logs.
	Progress io.Writer
	Logs     io.Writer
	Seed     uint64
	// PerSecond is how many requests callers send.
	PerSecond int
}

const (
	// runLimit ends a run that does not end by itself.
	runLimit = 28 * time.Second
	// readyLimit bounds the wait until all instances serve.
	readyLimit = 8 * time.Second
	// loadTime is how long callers send requests.
	loadTime = 15 * time.Second
	// finishLimit bounds the wait for jobs after the load.
	finishLimit = 5 * time.Second
	// stopLimit bounds the planned stops at the end.
	stopLimit = 5 * time.Second
	// entries is how many entry instances run.
	entries = 7
	// cutDataCentre is cut off while the run goes on.
	cutDataCentre = "maardu"
)

// run is one run of the demo.
type run struct {
	config   Config
	clock    cairnbay.Clock
	platform *stand.Stand
	fleet    *fleet
	balancer *balancer
	caller   *caller
	operator *operator
	started  time.Duration

	mu       sync.Mutex
	jobs     map[cairnbay.JobID]submission
	accepted []judge.Accepted
}

// Run runs the demo and returns its report.
func Run(ctx context.Context, config Config) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	clock := timer.New()
	defer clock.Close()
	platform, err := stand.New(stand.Config{
		Clock: clock, Layout: stand.Vihmavesi(),
		StoreListen: "127.0.0.1:0", ListListen: "127.0.0.1:0", ListLag: time.Second,
		WritesPerSecond: 400, ReadsPerSecond: 2000,
	})
	if err != nil {
		return Report{}, err
	}
	defer platform.Close()
	balancer := newBalancer()
	r := &run{
		config: config, clock: clock, platform: platform, balancer: balancer,
		fleet:    newFleet(clock, platform, balancer, config.Logs),
		caller:   newCaller(clock, balancer, config.Seed),
		operator: newOperator(),
		started:  clock.Now(),
		jobs:     make(map[cairnbay.JobID]submission),
	}
	return r.run(ctx)
}

func (r *run) say(format string, values ...any) {
	at := (r.clock.Now() - r.started).Seconds()
	fmt.Fprintf(r.config.Progress, "%5.1f s  %s\n", at, fmt.Sprintf(format, values...))
}

func (r *run) run(ctx context.Context) (Report, error) {
	watching, stopWatching := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	watchers.Go(func() { r.balancer.run(watching) })
	watchers.Go(func() { r.fleet.watch(watching) })
	defer watchers.Wait()
	defer stopWatching()

	if err := r.startAll(ctx); err != nil {
		return Report{}, err
	}
	loading, stopLoading := context.WithTimeout(ctx, loadTime)
	defer stopLoading()
	var load sync.WaitGroup
	load.Go(func() { r.caller.run(loading, r.config.PerSecond) })
	err := r.play(ctx)
	load.Wait()
	if err != nil {
		return Report{}, err
	}
	open := r.finishJobs(ctx)
	stopWatching()
	watchers.Wait()
	if err := r.stopAll(ctx); err != nil {
		return Report{}, err
	}
	report := r.report(open)
	audited, err := r.auditReport(ctx)
	if err != nil {
		return Report{}, err
	}
	report.Audit = audited
	return report, nil
}

// startAll starts the entry instances, applies the settings and waits until
// all of them serve.
func (r *run) startAll(ctx context.Context) error {
	dataCentres := stand.Vihmavesi().DataCentres
	for index := range entries {
		dataCentre := dataCentres[index%len(dataCentres)]
		if err := r.fleet.start(ctx, fmt.Sprintf("entry-%d", index+1), dataCentre); err != nil {
			return err
		}
	}
	r.say("%d entry instances started in %d data centres", entries, len(dataCentres))
	if err := r.await(ctx, "know each other", func() int { return r.known(ctx) }); err != nil {
		return err
	}
	if err := r.apply(ctx, declarations(1), "first tree", readyLimit); err != nil {
		return err
	}
	return r.await(ctx, "serve", r.balancer.ready)
}

// await waits until a count has reached all entry instances.
func (r *run) await(ctx context.Context, what string, count func() int) error {
	limit := r.clock.Now() + readyLimit
	for count() < entries {
		if r.clock.Now() > limit || ctx.Err() != nil {
			return errors.Errorf("only %d of %d entry instances %s after %v", count(), entries, what, readyLimit)
		}
		pause(ctx, checkPeriod)
	}
	r.say("all entry instances %s", what)
	return nil
}

// known is how many members one instance sees.
func (r *run) known(ctx context.Context) int {
	status, err := r.operator.status(ctx, r.fleet.operators(cutDataCentre))
	if err != nil {
		return 0
	}
	return len(status.Members)
}

func (r *run) apply(ctx context.Context, files map[string]string, why string, wait time.Duration) error {
	applied, err := r.operator.apply(ctx, r.fleet.operators(cutDataCentre), files, why, wait)
	if err != nil {
		return errors.Annotate(err, "apply")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted = append(r.accepted, judge.Accepted{Version: applied.Version, AtMS: r.fleet.nowMS()})
	r.say("settings version %d applied: %d changes, in force on %d members", applied.Version, len(applied.Plan.Changes), len(applied.InForce))
	return nil
}

// event is one thing that happens at a time after the load began.
type event struct {
	at  time.Duration
	run func(ctx context.Context) error
}

// play lets the events happen while callers send requests.
func (r *run) play(ctx context.Context) error {
	began := r.clock.Now()
	for _, next := range r.events() {
		pause(ctx, began+next.at-r.clock.Now())
		if err := ctx.Err(); err != nil {
			return errors.Annotate(err, "the demo took too long")
		}
		if err := next.run(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) events() []event {
	return []event{
		{0, func(ctx context.Context) error { return r.submitAll(ctx) }},
		{2 * time.Second, func(context.Context) error {
			r.say("runner tallinn-a-quoting-runner-00 shown as leaving")
			return r.platform.Leave("tallinn-a-quoting-runner-00")
		}},
		{3 * time.Second, func(context.Context) error {
			r.say("entry-1 killed")
			r.fleet.kill("entry-1")
			return nil
		}},
		{5 * time.Second, func(ctx context.Context) error { return r.replace(ctx) }},
		{6 * time.Second, func(context.Context) error {
			r.say("%s cut off from the platform and the other data centres", cutDataCentre)
			r.platform.Isolate(cutDataCentre)
			r.fleet.cutOff(cutDataCentre, true)
			return nil
		}},
		{7 * time.Second, func(ctx context.Context) error {
			return r.submit(ctx, "urgent", urgentJob())
		}},
		{8 * time.Second, func(ctx context.Context) error {
			return r.apply(ctx, declarations(2), "more attempts", time.Second)
		}},
		{11 * time.Second, func(context.Context) error {
			r.say("%s joined again", cutDataCentre)
			r.platform.Rejoin(cutDataCentre)
			r.fleet.cutOff(cutDataCentre, false)
			return nil
		}},
	}
}

// replace makes a planned stop of one instance and starts another.
func (r *run) replace(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	if err := r.fleet.stop(limited, "entry-2"); err != nil {
		return errors.Annotate(err, "planned stop of entry-2")
	}
	r.say("entry-2 stopped as planned, entry-8 started in its place")
	return r.fleet.start(ctx, "entry-8", "tallinn-b")
}

func (r *run) submitAll(ctx context.Context) error {
	for _, job := range firstJobs() {
		if err := r.submit(ctx, job.kind, job.spec); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) submit(ctx context.Context, kind string, spec admin.JobSpec) error {
	at := r.fleet.nowMS()
	submitted, err := r.operator.submit(ctx, r.fleet.operators(cutDataCentre), spec)
	if err != nil {
		return errors.Annotatef(err, "submit of %s", kind)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[submitted.Job] = submission{kind: kind, atMS: at}
	r.say("%s job %s of %d tasks accepted by shard %s", kind, submitted.Job, spec.Tasks, submitted.Shard)
	return nil
}

// finishJobs waits until every job that ends by itself has ended, and returns
// how many have not.
func (r *run) finishJobs(ctx context.Context) int {
	limit := r.clock.Now() + finishLimit
	for {
		open := r.openJobs(ctx)
		if open == 0 || r.clock.Now() > limit || ctx.Err() != nil {
			r.say("%d jobs not finished", open)
			return open
		}
		pause(ctx, checkPeriod)
	}
}

func (r *run) openJobs(ctx context.Context) int {
	views, err := r.operator.jobs(ctx, r.fleet.operators(""))
	if err != nil {
		return len(r.jobs)
	}
	done := make(map[cairnbay.JobID]bool)
	for _, view := range views {
		done[view.Job.ID] = view.Done
	}
	open := 0
	for id, job := range r.jobs {
		if job.kind != "service" && !done[id] {
			open++
		}
	}
	return open
}

func (r *run) stopAll(ctx context.Context) error {
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
	defer cancel()
	err := r.fleet.stopAll(limited)
	r.say("all entry instances stopped as planned")
	return err
}

func (r *run) report(open int) Report {
	input := r.platform.Records()
	input.Calls = r.caller.calls
	input.Accepted = r.accepted
	r.fleet.record(&input)
	report := Report{
		Waits:      waitingTimes(input, r.caller.bands, r.jobs),
		Packing:    packing(input),
		StoreCalls: r.platform.Store.Counts().Total(),
		TaskStarts: countStarts(input),
		Requests:   len(input.Calls),
		Refusals:   r.caller.refusals,
		Unreached:  r.caller.unreached,
		JobsOpen:   open,
		Verdicts:   judge.Check(input),
		TookMS:     (r.clock.Now() - r.started).Milliseconds(),
	}
	if report.TaskStarts > 0 {
		report.StoreCallsAStart = float64(report.StoreCalls) / float64(report.TaskStarts)
	}
	return report
}

func pause(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case <-ctx.Done():
	case <-timeout.C:
	}
}
