package gate_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"cairnbay"
	"cairnbay/internal/fake/agent"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/process/drive"
	"cairnbay/internal/process/sched"
	"cairnbay/internal/process/tenure"
	"cairnbay/internal/process/timer"
	"cairnbay/internal/request/gate"
)

var _ = Describe("a job that is spread over shards", func() {
	const tasks = 16
	taskSize := cairnbay.Resources{MilliCPU: 100, MemoryMB: 100}
	workerSize := cairnbay.Resources{MilliCPU: 4000, MemoryMB: 4000}
	workflow := func(id string) cairnbay.Workflow {
		return cairnbay.Workflow{
			ID: id, Class: "c", Queue: cairnbay.Queue{Name: "wide", Class: "c", Stretch: 2, TargetLatency: time.Second},
			Steps: []cairnbay.WorkflowStep{{Tasks: tasks, LongRunning: true, Size: taskSize, RunTime: time.Second}},
		}
	}
	var (
		fleet      *agent.Fleet
		drives     map[string]*drive.Drive
		home, away string
		handler    *gate.Gate
	)
	listWorker := func(shard string) {
		id := "w-" + shard
		fleet.Add(id, workerSize)
		drives[shard].SetWorkers([]cairnbay.WorkerEntry{{ID: id, Class: "c", Address: id, Capacity: workerSize}})
	}
	BeforeEach(func() {
		clock := timer.New()
		DeferCleanup(clock.Close)
		fakeStore := store.New(store.Config{Clock: clock})
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		log := logger.WithField("test", true)
		fleet = agent.New(agent.Config{
			Now:     timer.Boot,
			RunTime: func(cairnbay.WorkflowTask) time.Duration { return 2 * time.Hour },
			Size:    func(cairnbay.WorkflowTask) cairnbay.Resources { return taskSize },
		})
		drives = make(map[string]*drive.Drive)
		shards := owners{}
		divided, _ := shards.Layout("c")
		for _, shard := range divided.Names() {
			shards[shard] = tenure.Owner{Instance: "self"}
			revision, err := fakeStore.Put(context.Background(), "generation/"+shard, []byte{1}, 0, 0)
			Expect(err).NotTo(HaveOccurred())
			drives[shard] = drive.New(drive.Config{
				Claim: tenure.Claim{
					Shard: shard, Token: uint64(revision), Generation: 1, ClaimedAt: timer.Boot(),
					Fence: cairnbay.Expectation{Key: "generation/" + shard, Revision: revision},
				},
				Store: fakeStore, Agent: fleet, Clock: clock, BootTime: timer.Boot, Log: log,
				Lease: 2 * time.Second, EntryTTL: 3 * time.Second, MaxSegments: 1000, MaxGrowth: 1 << 20,
				AdviceLimits: func() (int, int) { return 1, 1 },
				Sched:        sched.Config{Retention: time.Minute, StopTime: 50 * time.Millisecond},
				OnFenced:     func() {},
			})
			DeferCleanup(drives[shard].Close)
		}
		home, away = divided.ShardOfJob("j"), divided.Names()[0]
		if away == home {
			away = divided.Names()[1]
		}
		handler = gate.New(gate.Config{
			Format: gate.Format{
				DeadlineHeader: "Deadline-Ms",
				DecodeWorkflow: func(id string, _ []byte) (cairnbay.Workflow, error) { return workflow(id), nil },
			},
			Routing: func() *cairnbay.Routing { return routing }, Owners: shards,
			Drive: func(shard string) *drive.Drive { return drives[shard] },
			Log:   log, Metrics: metrics.NewSet(),
		})
	})
	send := func(method string) int {
		request := httptest.NewRequest(method, "http://x.test/wide/j", strings.NewReader("{}"))
		request.Header.Set("Deadline-Ms", "1500")
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, request)
		return response.Code
	}
	running := func(shard string) func() int {
		return func() int { return len(fleet.Running("w-" + shard)) }
	}

	It("starts no portion after a cancellation that was confirmed", func() {
		// The other shard refuses its portion while it has no worker.
		listWorker(home)
		Eventually(func() int { return send(http.MethodPost) }, "5s").Should(Equal(http.StatusGatewayTimeout))
		Eventually(running(home), "5s").Should(Equal(tasks / 2))
		Expect(send(http.MethodDelete)).To(Equal(http.StatusOK))
		Eventually(running(home), "5s").Should(BeZero())
		listWorker(away)
		Expect(send(http.MethodPost)).To(Equal(http.StatusOK), "repeated submission")
		Consistently(running(away), "1500ms").Should(BeZero())
	})
})
