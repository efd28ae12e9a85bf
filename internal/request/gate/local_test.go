package gate_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"cairnbay"
	"cairnbay/internal/fake/agent"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/relay"
	"cairnbay/internal/process/sched"
	"cairnbay/internal/process/tenure"
	"cairnbay/internal/process/timer"
	"cairnbay/internal/request/gate"
)

var (
	taskSize   = cairnbay.Resources{MilliCPU: 100, MemoryMB: 100}
	workerSize = cairnbay.Resources{MilliCPU: 4000, MemoryMB: 4000}
)

// localOwners are the owners of all shards in one process.
type localOwners struct {
	fleet *agent.Fleet
	store *store.Store
	clock *timer.Service
	log   *logrus.Entry
	// drives are the owners by shard, generations how many each shard has had.
	drives      map[string]*drive.Drive
	generations map[string]uint64
	fences      map[string]cairnbay.Expectation
	owners      owners
	// view is what gates know of the owners; nil for all of them.
	view gate.Owners
	// peer, if set, makes gates call the owners as those of another instance.
	peer *relay.Relay
	// transit is how long calls to them are under way.
	transit time.Duration
	// outdated says that configurations may be out of date.
	outdated atomic.Bool
	// runTime is that of each task.
	runTime time.Duration
	// routing is the configuration in force at the owners; nil for none.
	routing atomic.Pointer[cairnbay.Routing]
}

func newLocalOwners() *localOwners {
	l := &localOwners{
		clock: timer.New(), drives: make(map[string]*drive.Drive), generations: make(map[string]uint64),
		fences: make(map[string]cairnbay.Expectation), owners: owners{}, runTime: 2 * time.Hour,
	}
	DeferCleanup(l.clock.Close)
	l.store = store.New(store.Config{Clock: l.clock})
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	l.log = logger.WithField("test", true)
	l.fleet = agent.New(agent.Config{
		Now:     timer.Boot,
		RunTime: func(cairnbay.WorkflowTask) time.Duration { return l.runTime },
		Size:    func(cairnbay.WorkflowTask) cairnbay.Resources { return taskSize },
	})
	for _, divided := range l.owners.Layouts() {
		for _, shard := range divided.Names() {
			l.owners[shard] = tenure.Owner{Instance: "self"}
			l.replace(shard)
			DeferCleanup(func() { l.drives[shard].Close() })
		}
	}
	return l
}

// replace starts the next owner of a shard.
func (l *localOwners) replace(shard string) {
	if former := l.drives[shard]; former != nil {
		former.Close()
	}
	key := "generation/" + shard
	l.generations[shard]++
	revision, err := l.store.Put(context.Background(), key, []byte{1}, l.fences[shard].Revision, 0)
	Expect(err).NotTo(HaveOccurred())
	l.fences[shard] = cairnbay.Expectation{Key: key, Revision: revision}
	l.drives[shard] = drive.New(drive.Config{
		Claim: tenure.Claim{
			Shard: shard, Token: uint64(revision), Generation: l.generations[shard], ClaimedAt: timer.Boot(), Fence: l.fences[shard],
		},
		Store: l.store, Agent: l.fleet, Clock: l.clock, BootTime: timer.Boot, Log: l.log,
		Routing: l.routing.Load, Lease: 2 * time.Second, MaxSegments: 1000, MaxGrowth: 1 << 20,
		AdviceLimits: func() (int, int) { return 1, 1 },
		Sched:        sched.Config{Retention: time.Minute, StopTime: 50 * time.Millisecond},
		OnFenced:     func() {},
	})
}

// gate returns a gate beside these owners.
func (l *localOwners) gate(routing func() *cairnbay.Routing, workflow func(id string) cairnbay.Workflow) *gate.Gate {
	view := l.view
	if view == nil {
		view = l.owners
	}
	return gate.New(gate.Config{
		Format: gate.Format{
			DeadlineHeader: "Deadline-Ms",
			CountObjects:   func([]byte) int { return 1 },
			DecodeWorkflow: func(id string, _ []byte) (cairnbay.Workflow, error) { return workflow(id), nil },
			EncodeState:    func(state cairnbay.WorkflowState) ([]byte, error) { return []byte(state.String()), nil },
			EncodeQueueLength: func(count int) ([]byte, error) {
				return []byte{byte('0' + count)}, nil
			},
		},
		Routing: routing, Owners: view,
		Relay: l.peer, Drive: func(shard string) *drive.Drive {
			if l.peer != nil {
				return nil
			}
			return l.drives[shard]
		},
		Log: l.log, Metrics: metrics.NewSet(), Fresh: func() bool { return !l.outdated.Load() },
	})
}

// moveAway makes gates call the owners over the network.
func (l *localOwners) moveAway() {
	serving := relay.New(relay.Config{Drive: func(shard string) *drive.Drive { return l.drives[shard] }})
	server := httptest.NewServer(serving.Handler())
	DeferCleanup(server.Close)
	client := server.Client()
	client.Transport = slowLink{client.Transport, l.transit}
	l.peer = relay.New(relay.Config{Client: client})
	for shard := range l.owners {
		l.owners[shard] = tenure.Owner{Instance: "peer", Address: server.Listener.Addr().String()}
	}
}

// slowLink delays calls.
type slowLink struct {
	http.RoundTripper
	transit time.Duration
}

func (l slowLink) RoundTrip(request *http.Request) (*http.Response, error) {
	time.Sleep(l.transit)
	return l.RoundTripper.RoundTrip(request)
}

// supersede claims a shard for an instance of which its owner has not heard.
func (l *localOwners) supersede(shard string) {
	key := "generation/" + shard
	_, err := l.store.Put(context.Background(), key, []byte{2}, l.fences[shard].Revision, 0)
	Expect(err).NotTo(HaveOccurred())
}

// listLocalWorker adds the only worker of a shard.
func listLocalWorker(fleet *agent.Fleet, owner *drive.Drive, shard string) {
	id := "w-" + shard
	if !fleetHas(fleet, id) {
		fleet.Add(id, workerSize)
	}
	owner.SetWorkers([]cairnbay.WorkerEntry{{ID: id, Class: shard[:1], Address: id, Capacity: workerSize}})
}

func fleetHas(fleet *agent.Fleet, id string) bool {
	for _, life := range fleet.Lives() {
		if life.Address == id {
			return true
		}
	}
	return false
}
