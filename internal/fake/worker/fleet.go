package worker

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"cairnbay"
	wire "cairnbay/internal/platform/worker"
)

var (
	_ cairnbay.Worker = (*Fleet)(nil)
	_ cairnbay.Worker = (*Worker)(nil)
)

// Claim implements cairnbay.Worker for this worker, whatever the address.
func (w *Worker) Claim(ctx context.Context, _ string, request cairnbay.ClaimRequest) (cairnbay.ClaimAnswer, error) {
	return call(ctx, w, func() (cairnbay.ClaimAnswer, error) { return w.claim(request) })
}

// Start implements cairnbay.Worker.
func (w *Worker) Start(ctx context.Context, _ string, request cairnbay.StartRequest) (cairnbay.StartAnswer, error) {
	return call(ctx, w, func() (cairnbay.StartAnswer, error) { return w.start(request) })
}

// Renew implements cairnbay.Worker.
func (w *Worker) Renew(ctx context.Context, _ string, request cairnbay.RenewRequest) (cairnbay.RenewAnswer, error) {
	answer, err := call(ctx, w, func() (cairnbay.RenewAnswer, error) { return w.renew(request) })
	if err != nil || request.Wait == 0 || len(answer.Ended) > 0 {
		return answer, err
	}
	w.hold(ctx, request)
	return call(ctx, w, func() (cairnbay.RenewAnswer, error) { return w.look(request) })
}

// Stop implements cairnbay.Worker.
func (w *Worker) Stop(ctx context.Context, _ string, request cairnbay.StopRequest) (cairnbay.StopAnswer, error) {
	return call(ctx, w, func() (cairnbay.StopAnswer, error) { return w.stop(request) })
}

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 10 * time.Second

func (w *Worker) serve() error {
	listener, err := net.Listen("tcp", w.config.Listen)
	if err != nil {
		return err
	}
	w.config.Address = listener.Addr().String()
	w.server = &http.Server{Handler: wire.Handler(w), ReadHeaderTimeout: headerTimeout}
	w.served = make(chan struct{})
	go func() {
		defer close(w.served)
		_ = w.server.Serve(listener)
	}()
	return nil
}

// Fleet calls stand-in workers in the same process, by address.
type Fleet struct {
	mu      sync.RWMutex
	workers map[string]*Worker
}

// NewFleet returns a fleet of the workers.
func NewFleet(workers ...*Worker) *Fleet {
	fleet := &Fleet{workers: map[string]*Worker{}}
	for _, worker := range workers {
		fleet.Add(worker)
	}
	return fleet
}

// Add adds a worker.
func (f *Fleet) Add(worker *Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[worker.config.Address] = worker
}

// Remove takes a worker away; calls to it fail with ErrUnavailable.
func (f *Fleet) Remove(worker *Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.workers, worker.config.Address)
}

// Instances lists the fleet as the platform would.
func (f *Fleet) Instances() []cairnbay.Instance {
	f.mu.RLock()
	defer f.mu.RUnlock()
	instances := make([]cairnbay.Instance, 0, len(f.workers))
	for _, worker := range f.workers {
		instances = append(instances, worker.Instance())
	}
	return instances
}

func (f *Fleet) find(address string) (*Worker, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	worker, ok := f.workers[address]
	if !ok {
		return nil, errors.Annotatef(cairnbay.ErrUnavailable, "no worker at %q", address)
	}
	return worker, nil
}

// Claim implements cairnbay.Worker.
func (f *Fleet) Claim(ctx context.Context, address string, request cairnbay.ClaimRequest) (cairnbay.ClaimAnswer, error) {
	worker, err := f.find(address)
	if err != nil {
		return cairnbay.ClaimAnswer{}, err
	}
	return worker.Claim(ctx, address, request)
}

// Start implements cairnbay.Worker.
func (f *Fleet) Start(ctx context.Context, address string, request cairnbay.StartRequest) (cairnbay.StartAnswer, error) {
	worker, err := f.find(address)
	if err != nil {
		return cairnbay.StartAnswer{}, err
	}
	return worker.Start(ctx, address, request)
}

// Renew implements cairnbay.Worker.
func (f *Fleet) Renew(ctx context.Context, address string, request cairnbay.RenewRequest) (cairnbay.RenewAnswer, error) {
	worker, err := f.find(address)
	if err != nil {
		return cairnbay.RenewAnswer{}, err
	}
	return worker.Renew(ctx, address, request)
}

// Stop implements cairnbay.Worker.
func (f *Fleet) Stop(ctx context.Context, address string, request cairnbay.StopRequest) (cairnbay.StopAnswer, error) {
	worker, err := f.find(address)
	if err != nil {
		return cairnbay.StopAnswer{}, err
	}
	return worker.Stop(ctx, address, request)
}
