// Package stand runs the platform's stand-ins over loopback: the store, the
// list, workers, upstream runners and the links between data centres.
package stand

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/fake/links"
	"cairnbay/internal/fake/lister"
	"cairnbay/internal/fake/runner"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/fake/worker"
)

// Place is where the store and the list stand on the links.
const Place = "platform"

// Config sets up a Stand.
type Config struct {
	Clock  cairnbay.Clock
	Layout Layout
	// StoreListen and ListListen are host:port; port 0 takes a free one.
	StoreListen string
	ListListen  string
	// ListLag is how late the list shows changes.
	ListLag time.Duration
	// WritesPerSecond and ReadsPerSecond bound the store; 0 is unbounded.
	WritesPerSecond int
	ReadsPerSecond  int
}

// Stand is a running platform.
type Stand struct {
	Store *store.Store
	List  *lister.Lister
	Links *links.Links
	// StoreAddress and ListAddress are where instances reach them.
	StoreAddress string
	ListAddress  string

	config  Config
	workers map[string]*worker.Worker
	runners map[string]*runner.Runner
	order   []string
	closers []func()
	serving sync.WaitGroup

	leftMu sync.Mutex
	left   map[string]time.Duration
}

// New starts everything. Errors: those of listening.
func New(config Config) (*Stand, error) {
	stand := &Stand{
		Store: store.New(store.Config{
			Clock:           config.Clock,
			WritesPerSecond: config.WritesPerSecond,
			ReadsPerSecond:  config.ReadsPerSecond,
		}),
		List:    lister.New(lister.Config{Clock: config.Clock, Lag: config.ListLag}),
		Links:   links.New(),
		config:  config,
		workers: make(map[string]*worker.Worker),
		runners: make(map[string]*runner.Runner),
		left:    make(map[string]time.Duration),
	}
	if err := stand.start(); err != nil {
		stand.Close()
		return nil, err
	}
	return stand, nil
}

// Close ends everything at once.
func (s *Stand) Close() {
	for _, closer := range s.closers {
		closer()
	}
	s.serving.Wait()
}

func (s *Stand) start() error {
	var err error
	if s.StoreAddress, err = s.serve(s.config.StoreListen, s.Store.Handler()); err != nil {
		return errors.Annotate(err, "store")
	}
	if s.ListAddress, err = s.serve(s.config.ListListen, s.List.Handler()); err != nil {
		return errors.Annotate(err, "list")
	}
	for _, pool := range s.config.Layout.Pools {
		if err := s.startPool(pool); err != nil {
			return err
		}
	}
	for _, service := range s.config.Layout.Services {
		if err := s.startService(service); err != nil {
			return err
		}
	}
	return nil
}

// serve listens and serves a handler; it returns the address.
func (s *Stand) serve(listen string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return "", errors.Trace(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	s.serving.Go(func() { _ = server.Serve(listener) })
	s.closers = append(s.closers, func() { _ = server.Close() })
	address := listener.Addr().String()
	s.Links.Register(address, Place)
	return address, nil
}

func (s *Stand) startPool(pool Pool) error {
	for index := range pool.Workers {
		spot := s.config.Layout.spot(pool.Class+"-worker", index, pool.PerRack)
		started, err := worker.New(worker.Config{
			ID: spot.id, DataCentre: spot.dataCentre, Rack: spot.rack, Class: pool.Class,
			Capacity: pool.Capacity, Listen: "127.0.0.1:0", Clock: s.config.Clock,
			Seed: uint64(index), RunTime: RunTime,
		})
		if err != nil {
			return err
		}
		s.workers[spot.id] = started
		s.add(started.Instance(), started.Close)
	}
	return nil
}

func (s *Stand) startService(service Service) error {
	for index := range service.Runners {
		spot := s.config.Layout.spot(service.Name+"-runner", index, 1)
		started, err := runner.New(runner.Config{
			ID: spot.id, Service: service.Name, DataCentre: spot.dataCentre, Rack: spot.rack,
			Slots: s.config.Layout.Slots, Connections: s.config.Layout.Connections,
			Listen: "127.0.0.1:0", Clock: s.config.Clock,
		})
		if err != nil {
			return err
		}
		s.runners[spot.id] = started
		s.add(started.Instance(), started.Close)
	}
	return nil
}

func (s *Stand) add(instance cairnbay.Instance, closer func()) {
	s.order = append(s.order, instance.ID)
	s.closers = append(s.closers, closer)
	s.Links.Register(instance.Address, instance.DataCentre)
	s.List.Set(instance)
}

// Worker returns a worker by ID. Errors: ErrNotFound.
func (s *Stand) Worker(id string) (*worker.Worker, error) {
	found, ok := s.workers[id]
	if !ok {
		return nil, errors.Annotatef(cairnbay.ErrNotFound, "worker %q", id)
	}
	return found, nil
}

// Runner returns a runner by ID. Errors: ErrNotFound.
func (s *Stand) Runner(id string) (*runner.Runner, error) {
	found, ok := s.runners[id]
	if !ok {
		return nil, errors.Annotatef(cairnbay.ErrNotFound, "runner %q", id)
	}
	return found, nil
}

// Leave shows a runner as leaving on the list, while it still takes what it is
// sent; new work for it is then the senders' fault.
func (s *Stand) Leave(id string) error {
	found, err := s.Runner(id)
	if err != nil {
		return err
	}
	instance := found.Instance()
	instance.Leaving = true
	s.List.Set(instance)
	s.leftMu.Lock()
	defer s.leftMu.Unlock()
	if _, ok := s.left[id]; !ok {
		s.left[id] = s.config.Clock.Now()
	}
	return nil
}

// Instances lists workers and runners in the order of their start.
func (s *Stand) Instances() []cairnbay.Instance {
	instances := make([]cairnbay.Instance, 0, len(s.order))
	for _, id := range s.order {
		if started, ok := s.workers[id]; ok {
			instances = append(instances, started.Instance())
			continue
		}
		instances = append(instances, s.runners[id].Instance())
	}
	return instances
}

// Isolate cuts a data centre off from the platform and all others.
func (s *Stand) Isolate(dataCentre string) {
	for _, other := range s.others(dataCentre) {
		s.Links.Cut(dataCentre, other)
	}
}

// Rejoin undoes Isolate.
func (s *Stand) Rejoin(dataCentre string) {
	for _, other := range s.others(dataCentre) {
		s.Links.Heal(dataCentre, other)
	}
}

func (s *Stand) others(dataCentre string) []string {
	others := []string{Place}
	for _, other := range s.config.Layout.DataCentres {
		if other != dataCentre {
			others = append(others, other)
		}
	}
	return others
}

// RunTime reads how long a task runs from its command, "run DURATION"; any
// other command runs until it is stopped.
func RunTime(task cairnbay.TaskStart) time.Duration {
	text, ok := strings.CutPrefix(task.Command, "run ")
	if !ok {
		return 0
	}
	runTime, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return runTime
}
