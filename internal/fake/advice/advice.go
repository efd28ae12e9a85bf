// Package advice is an in-memory stand-in for the policy service, which decides on the
// workers of a step and issues tickets, and for the check of tickets by workers.
package advice

import (
	"strconv"
	"sync"
	"time"

	"cairnbay"
)

// Config sets up a Service.
type Config struct {
	// Now is the clock of the service and of the workers.
	Now func() time.Duration
	// Valid is how long a ticket is accepted after it was issued.
	Valid time.Duration
	// Permits says whether a worker may run a step, which never changes; nil for all.
	Permits func(step cairnbay.WorkflowTask, worker string) bool
	// Life returns the ID of the current run of a worker's process, by its name; nil for
	// workers that never restart.
	Life func(worker string) string
}

// Service issues tickets and checks them. Each holds for one step on one run of a
// worker's process.
type Service struct {
	config Config

	mu     sync.Mutex
	grants map[string]grant
	serial int
	counts Counts
}

// Counts counts calls, and starts whose ticket was refused.
type Counts struct {
	Calls, Refusals int
}

// grant is what a ticket permits. Its step has index 0.
type grant struct {
	step      cairnbay.WorkflowTask
	worker    string
	expiresAt time.Duration
}

// New returns a service that has issued no tickets.
func New(config Config) *Service {
	return &Service{config: config, grants: make(map[string]grant)}
}

// Issue returns a ticket for each of the workers that may run the step.
func (s *Service) Issue(step cairnbay.WorkflowTask, workers []string) []cairnbay.Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	step.Index = 0
	s.counts.Calls++
	tickets := make([]cairnbay.Ticket, 0, len(workers))
	for _, worker := range workers {
		if s.config.Permits != nil && !s.config.Permits(step, worker) {
			continue
		}
		s.serial++
		text := "ticket-" + strconv.Itoa(s.serial)
		s.grants[text] = grant{step, s.life(worker), s.config.Now() + s.config.Valid}
		tickets = append(tickets, cairnbay.Ticket{Worker: worker, Ticket: text})
	}
	return tickets
}

// Check is the check of a worker at a start. Errors: cairnbay.ErrInvalidTicket.
func (s *Service) Check(worker string, order cairnbay.AgentStart) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	step := order.Task
	step.Index = 0
	found, ok := s.grants[order.Ticket]
	if !ok || found.step != step || found.worker != worker || found.expiresAt <= s.config.Now() {
		s.counts.Refusals++
		return cairnbay.ErrInvalidTicket
	}
	return nil
}

// Counts returns the counts so far.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Service) life(worker string) string {
	if s.config.Life == nil {
		return worker
	}
	return s.config.Life(worker)
}
