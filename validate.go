package cairnbay

import (
	"math"
	"net"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// maxAmount bounds the capacity of one worker in each dimension, so that sums over a
// million workers stay within 64 bits.
const maxAmount = 1 << 40

// Validate checks an entry that another process has written. Errors: ErrInvalid for an
// address without a port of TCP, or for a capacity below 0 or above 2^40 in any dimension.
func (w *WorkerEntry) Validate() error {
	if err := validateAddress(w.Address); err != nil {
		return errors.Annotatef(err, "worker %s", w.ID)
	}
	return errors.Annotatef(w.Capacity.validate(), "worker %s", w.ID)
}

// Validate checks a row that another process has written. Errors: ErrInvalid as for a
// WorkerEntry, and for limits below 0.
func (i *Instance) Validate() error {
	if err := validateAddress(i.Address); err != nil {
		return errors.Annotatef(err, "instance %s", i.ID)
	}
	if i.Slots < 0 || i.Connections < 0 {
		return errors.Annotatef(ErrInvalid, "instance %s: %d slots, %d connections", i.ID, i.Slots, i.Connections)
	}
	return errors.Annotatef(i.Capacity.validate(), "instance %s", i.ID)
}

// Limits of the fields of a workflow, so that they fit into the journal's form and sums of
// them into 64 bits.
const (
	maxWorkflowTime = 365 * 24 * time.Hour
	maxDueUnixMS    = 1 << 42
	// maxIDBytes bounds the ID of a job, which each record of its tasks repeats.
	maxIDBytes = 256
)

// Validate checks a workflow from a caller. Errors: ErrInvalid for an ID of more than 256
// bytes, for a number below 0 or above its limit, for a step without tasks, and for one after
// itself or a later one.
func (w *Workflow) Validate() error {
	if len(w.ID) > maxIDBytes {
		return errors.Annotatef(ErrInvalid, "job ID of %d bytes, at most %d", len(w.ID), maxIDBytes)
	}
	if err := validateNumbers(
		number{"occurrences", int64(w.Occurrences), math.MaxInt32}, number{"first due time", w.FirstDueUnixMS, maxDueUnixMS},
		number{"interval", w.IntervalMS, maxWorkflowTime.Milliseconds()},
	); err != nil {
		return errors.Annotatef(err, "job %s", w.ID)
	}
	if len(w.Steps) == 0 {
		return errors.Annotatef(ErrInvalid, "job %s has no steps", w.ID)
	}
	for index := range w.Steps {
		if err := w.Steps[index].validate(index); err != nil {
			return errors.Annotatef(err, "job %s: step %d", w.ID, index)
		}
	}
	return nil
}

func (s *WorkflowStep) validate(index int) error {
	if s.Tasks == 0 {
		return errors.Annotate(ErrInvalid, "no tasks")
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return errors.Annotatef(ErrInvalid, "comes after step %d", earlier)
		}
	}
	if err := s.Size.validate(); err != nil {
		return err
	}
	return validateNumbers(
		number{"tasks", int64(s.Tasks), math.MaxInt32}, number{"tasks on a worker", int64(s.MaxPerWorker), math.MaxInt32},
		number{"unavailable tasks", int64(s.DisruptionBudget), math.MaxInt32},
		number{"run time", int64(s.RunTime), int64(maxWorkflowTime)}, number{"tail target", int64(s.TailTarget), int64(maxWorkflowTime)},
	)
}

// number is a field and the largest value that it may have.
type number struct {
	name         string
	value, limit int64
}

func validateNumbers(numbers ...number) error {
	for _, checked := range numbers {
		if checked.value < 0 || checked.value > checked.limit {
			return errors.Annotatef(ErrInvalid, "%s: %d is not between 0 and %d", checked.name, checked.value, checked.limit)
		}
	}
	return nil
}

func (r Resources) validate() error {
	for _, amount := range r.Values() {
		if amount < 0 || amount > maxAmount {
			return errors.Annotatef(ErrInvalid, "capacity %d", amount)
		}
	}
	return nil
}

func validateAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Annotatef(ErrInvalid, "address %q: %v", address, err)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 || host == "" {
		return errors.Annotatef(ErrInvalid, "address %q", address)
	}
	return nil
}
