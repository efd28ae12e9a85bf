package cairnbay

import (
	"net"
	"strconv"

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
