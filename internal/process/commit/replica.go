package commit

import (
	"sync"

	"github.com/juju/errors"

	"cairnbay"
)

// SegmentsAfter returns the encoded writes with a sequence higher than above, oldest
// first, and the journal's sequence. If one of these writes is no longer in the tail,
// it returns all parts of a snapshot of the confirmed state instead.
func (j *Journal) SegmentsAfter(above uint64) (segments [][]byte, sequence uint64, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	sequence = j.stored.state.Sequence
	if above >= sequence {
		return nil, sequence, nil
	}
	if len(j.stored.tail) > 0 && j.stored.tail[0].sequence <= above+1 {
		for _, write := range j.stored.tail {
			if write.sequence > above {
				segments = append(segments, write.value)
			}
		}
		return segments, sequence, nil
	}
	segments, err = encodeSnapshot(j.stored.state, j.writer)
	return segments, sequence, err
}

func encodeSnapshot(state *State, writer string) ([][]byte, error) {
	var segments [][]byte
	for _, part := range snapshot(state, writer) {
		value, err := part.encode()
		if err != nil {
			return nil, err
		}
		segments = append(segments, value)
	}
	return segments, nil
}

// Replica is a member's copy of a journal that another member writes. It may lack the
// newest writes: a task without a mark or an end in it may have been started.
type Replica struct {
	mu    sync.Mutex
	state *State
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{state: NewState()}
}

// Sequence returns the sequence number of the last applied write.
func (r *Replica) Sequence() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Sequence
}

// State returns a copy of the content.
func (r *Replica) State() *State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Clone()
}

// SegmentsAfter returns the replica as a snapshot, or nothing when its sequence is
// not higher than above.
func (r *Replica) SegmentsAfter(above uint64) (segments [][]byte, sequence uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if above >= r.state.Sequence {
		return nil, r.state.Sequence, nil
	}
	segments, err = encodeSnapshot(r.state, "copy")
	return segments, r.state.Sequence, err
}

// Apply adds the segments that SegmentsAfter returned. Errors: ErrInvalid; the
// replica then keeps its state from before the invalid segment.
func (r *Replica) Apply(segments [][]byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var parts []*segment
	for _, value := range segments {
		decoded, err := decodeSegment(value)
		if err != nil {
			return err
		}
		if decoded.Parts > 0 {
			parts = append(parts, decoded)
			continue
		}
		if err := r.applyWrite(decoded); err != nil {
			return err
		}
	}
	return r.restoreSnapshot(parts)
}

func (r *Replica) applyWrite(write *segment) error {
	if write.Sequence <= r.state.Sequence {
		return nil
	}
	if write.Sequence != r.state.Sequence+1 {
		return errors.Annotatef(cairnbay.ErrInvalid, "copy of a journal has write %d after %d, the writes between are missing", write.Sequence, r.state.Sequence)
	}
	r.state.applySegment(write)
	return nil
}

func (r *Replica) restoreSnapshot(parts []*segment) error {
	if len(parts) == 0 || parts[0].Sequence <= r.state.Sequence {
		return nil
	}
	if len(parts) != parts[0].Parts {
		return errors.Annotatef(cairnbay.ErrInvalid, "snapshot has %d of %d parts", len(parts), parts[0].Parts)
	}
	r.state = restore(parts)
	return nil
}
