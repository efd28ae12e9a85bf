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
	// Decide plus PerWorker for each worker named is how long the service takes for a call.
	Decide, PerWorker time.Duration
	// Permits says whether a worker may run a step, which never changes; nil for all.
	Permits func(step cairnbay.WorkflowTask, worker string) bool
	// Life returns the ID of the current run of a worker's process, by its name, and an
	// empty one for a worker that the service does not know; nil for workers that never
	// restart.
	Life func(worker string) string
}

// Faults are what goes wrong with calls. The zero value is no fault.
type Faults struct {
	// Late is how long an answer is under way after its tickets were issued.
	Late time.Duration
	// Lost answers never arrive, and Truncated ones only in part. Refused calls are turned
	// away undecided.
	Lost, Truncated, Refused bool
}

// Service issues tickets and checks them. Each holds for one step on one run of a
// worker's process.
type Service struct {
	config Config

	mu     sync.Mutex
	grants map[string]grant
	serial int
	counts Counts
	faults Faults
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
	step.Index = 0
	permitted := make([]grant, 0, len(workers))
	for _, worker := range workers {
		if life := s.life(worker); life != "" && s.permits(step, worker) {
			permitted = append(permitted, grant{step: step, worker: life})
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Calls++
	tickets := make([]cairnbay.Ticket, 0, len(permitted))
	for _, granted := range permitted {
		s.serial++
		text := "ticket-" + strconv.Itoa(s.serial)
		granted.expiresAt = s.config.Now() + s.config.Valid
		s.grants[text] = granted
		tickets = append(tickets, cairnbay.Ticket{Worker: cairnbay.WorkerName(granted.worker), Ticket: text})
	}
	return tickets
}

// CallTime is how long the service takes for a call.
func (s *Service) CallTime(workers int) time.Duration {
	return s.config.Decide + time.Duration(workers)*s.config.PerWorker
}

// Faults returns the faults of calls that are made now.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// ChangeFaults changes the faults of the calls from now on.
func (s *Service) ChangeFaults(change func(faults *Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
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

func (s *Service) permits(step cairnbay.WorkflowTask, worker string) bool {
	return s.config.Permits == nil || s.config.Permits(step, worker)
}

func (s *Service) life(worker string) string {
	if s.config.Life == nil {
		return worker
	}
	return s.config.Life(worker)
}
