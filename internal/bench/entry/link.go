package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/bench/frame"
	"cairnbay/internal/bench/owner"
	"cairnbay/internal/fake/clock"
	fakestore "cairnbay/internal/fake/store"
	fakeworker "cairnbay/internal/fake/worker"
	"cairnbay/internal/platform/worker"
	"cairnbay/internal/process/audit"
	"cairnbay/internal/process/commit"
	"cairnbay/internal/process/meter"
	"cairnbay/internal/process/timer"
)

// countingStore counts calls and the bytes of values written.
type countingStore struct {
	cairnbay.Store
	calls, bytes atomic.Int64
}

// Put implements cairnbay.Store.
func (s *countingStore) Put(
	ctx context.Context, key string, value []byte, expect cairnbay.Revision, lease cairnbay.LeaseID,
) (cairnbay.Revision, error) {
	s.calls.Add(1)
	s.bytes.Add(int64(len(key) + len(value)))
	return s.Store.Put(ctx, key, value, expect, lease)
}

// journalSeconds is how long the journal is loaded, where the setup names no
// duration.
const journalSeconds = 5

// measureJournal writes the ends of tasks at a steady rate, in real time.
func measureJournal(ctx context.Context, setup frame.Setup, perSecond int) ([]frame.Figure, error) {
	service := timer.New()
	defer service.Close()
	store := &countingStore{Store: fakestore.New(fakestore.Config{Clock: service})}
	journal, err := commit.Open(ctx, commit.Config{Shard: "tallinn-a/quoting", Store: store, Clock: service, OwnerID: "entry-1"})
	if err != nil {
		return nil, err
	}
	defer journal.Close()
	seconds := journalSeconds
	if setup.Duration > 0 {
		seconds = max(1, int(setup.Duration.Seconds()))
	}
	accepted := make(chan error, 1)
	job := cairnbay.Job{
		ID: "job-1", Branch: "group-00/team-0000", Team: "team-0000", Kind: cairnbay.KindBatch, Band: cairnbay.BandBatch,
		Class: "quoting", Tasks: perSecond * seconds, Size: cairnbay.Resources{MilliCPU: 1000, MemoryMB: 4000},
	}
	journal.Append(commit.Urgent, []commit.Record{{Accept: &job}}, func(err error) { accepted <- err })
	if err := <-accepted; err != nil {
		return nil, err
	}
	callsBefore, bytesBefore, processor := store.calls.Load(), store.bytes.Load(), processorSeconds()
	started := time.Now()
	if err := writeEnds(ctx, journal, job, perSecond, started); err != nil {
		return nil, err
	}
	spent := time.Since(started).Seconds()
	return []frame.Figure{
		{Name: "store_calls", Unit: "calls/s", Value: float64(store.calls.Load()-callsBefore) / spent},
		{Name: "store_bytes", Unit: "bytes/s", Value: float64(store.bytes.Load()-bytesBefore) / spent},
		{Name: "processor", Unit: "ms/s", Value: (processorSeconds() - processor) * 1e3 / spent},
	}, nil
}

// writeEnds appends one end a task at the rate, open loop, and waits for the
// last.
func writeEnds(ctx context.Context, journal *commit.Journal, job cairnbay.Job, perSecond int, started time.Time) error {
	written := make(chan error, job.Tasks)
	gap := time.Second / time.Duration(perSecond)
	for index := range job.Tasks {
		if wait := time.Until(started.Add(gap * time.Duration(index))); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		end := &commit.End{Task: cairnbay.TaskID{Job: job.ID, Index: index}, State: cairnbay.TaskDone}
		journal.Append(commit.Lazy, []commit.Record{{End: end}}, func(err error) { written <- err })
	}
	for range job.Tasks {
		if err := <-written; err != nil {
			return err
		}
	}
	return nil
}

// renewals is how many calls are timed.
const renewals = 200

// measureRenewal renews all tasks of one worker over the adapter, on loopback.
func measureRenewal(ctx context.Context, _ frame.Setup, tasks int) ([]frame.Figure, error) {
	service := timer.New()
	defer service.Close()
	stand, err := fakeworker.New(fakeworker.Config{
		ID: "w1", Class: "quoting", Listen: "127.0.0.1:0", Clock: service,
		Capacity: cairnbay.Resources{MilliCPU: 1_000_000, MemoryMB: 1_000_000},
	})
	if err != nil {
		return nil, err
	}
	defer stand.Close()
	metered := meter.New(meter.Config{Clock: service})
	transport := &http.Transport{DialContext: metered.Dial(meter.PurposeWorkers, nil)}
	defer transport.CloseIdleConnections()
	link := worker.New(worker.Config{Client: &http.Client{Transport: transport}})
	address, epoch := stand.Instance().Address, cairnbay.Epoch{Generation: 1, Instance: "entry-1"}
	if err := fillWorker(ctx, link, address, epoch, tasks); err != nil {
		return nil, err
	}
	renew := func(brief bool) (float64, error) {
		metered.Samples()
		started := time.Now()
		for range renewals {
			if _, err := link.Renew(ctx, address, cairnbay.RenewRequest{Epoch: epoch, All: true, Brief: brief}); err != nil {
				return 0, err
			}
		}
		wire, err := wireBytes(metered, meter.PurposeWorkers, time.Since(started).Seconds())
		return wire / renewals, err
	}
	listed, err := renew(false)
	if err != nil {
		return nil, err
	}
	processor := processorSeconds()
	brief, err := renew(true)
	return []frame.Figure{
		{Name: "wire_list", Unit: "bytes/call", Value: listed},
		{Name: "wire_brief", Unit: "bytes/call", Value: brief},
		{Name: "processor_brief", Unit: "us/call", Value: (processorSeconds() - processor) * 1e6 / renewals},
	}, err
}

// measureOwner runs the owner's own experiment with busy or idle workers.
func measureOwner(variant string) func(context.Context, frame.Setup, int) ([]frame.Figure, error) {
	return func(ctx context.Context, setup frame.Setup, workers int) ([]frame.Figure, error) {
		result, err := owner.Control().Run(ctx, frame.Setup{
			Seed: setup.Seed, Sizes: []int{workers}, Variants: []string{variant}, Duration: setup.Duration,
		})
		if err != nil {
			return nil, err
		}
		if len(result.Rows) != 1 {
			return nil, errors.Errorf("experiment %q gave %d rows, want 1", result.Experiment, len(result.Rows))
		}
		return result.Rows[0].Figures, nil
	}
}

func fillWorker(ctx context.Context, link cairnbay.Worker, address string, epoch cairnbay.Epoch, tasks int) error {
	if _, err := link.Claim(ctx, address, cairnbay.ClaimRequest{Shard: "tallinn-a/quoting", Epoch: epoch}); err != nil {
		return err
	}
	request := cairnbay.StartRequest{Epoch: epoch}
	for index := range tasks {
		request.Tasks = append(request.Tasks, cairnbay.TaskStart{
			Task:    cairnbay.TaskID{Job: "tallinn-a.quoting.76ce605b-38ff-4d84-958c-4f3dc55844ab", Index: index},
			Attempt: 1, Size: cairnbay.Resources{MilliCPU: 2000, MemoryMB: 8000}, Lease: time.Hour,
		})
	}
	_, err := link.Start(ctx, address, request)
	return err
}

// wireBytes is what a meter counted for a purpose over the seconds since its
// last sample.
func wireBytes(metered *meter.Meter, purpose meter.Purpose, seconds float64) (float64, error) {
	for _, sample := range metered.Samples() {
		if sample.Name == "control_wire_"+string(purpose) {
			return sample.Value * 1e3 * seconds, nil
		}
	}
	return 0, errors.Errorf("no bytes were counted for %q", purpose)
}

// processorSeconds is what the process has used.
func processorSeconds() float64 {
	return meter.ProcessorTime().Seconds()
}

// measureAudit seals one busy minute of as many label sets.
func measureAudit(ctx context.Context, setup frame.Setup, labelSets int) ([]frame.Figure, error) {
	hand := clock.New()
	store := &countingStore{Store: fakestore.New(fakestore.Config{Clock: hand})}
	before := heapBytes()
	recorder := audit.New(audit.Config{Instance: "entry-1", DataCentre: "tallinn-a", Clock: hand, Store: store})
	defer recorder.Close()
	random := rand.New(rand.NewPCG(setup.Seed, uint64(labelSets)))
	const observations = 3000
	for i := range observations {
		set := i % labelSets
		labels := cairnbay.Labels{Kind: "batch", Band: fmt.Sprint(set % 5), Team: fmt.Sprint(set / 5)}
		recorder.ObserveWait(labels, time.Duration(random.ExpFloat64()*float64(40*time.Millisecond)))
		recorder.CountOutcome(labels, "done")
	}
	held := heapBytes() - before
	processor := processorSeconds()
	if err := recorder.Flush(ctx); err != nil {
		return nil, err
	}
	return []frame.Figure{
		{Name: "store_bytes", Unit: "bytes/min", Value: float64(store.bytes.Load())},
		{Name: "processor", Unit: "ms/min", Value: (processorSeconds() - processor) * 1e3},
		{Name: "memory", Unit: "bytes", Value: held},
	}, nil
}
