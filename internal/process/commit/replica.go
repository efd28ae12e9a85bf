package commit

import (
	"sync"

	"github.com/juju/errors"

	"cairnbay"
)

// SegmentsAfter returns what a copy that reaches up to above still lacks, as kept
// in the store, oldest first. A copy that is too far behind gets a snapshot.
func (j *Journal) SegmentsAfter(above uint64) (segments [][]byte, sequence uint64, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	sequence = j.at.state.Sequence
	if above >= sequence {
		return nil, sequence, nil
	}
	if len(j.at.tail) > 0 && j.at.tail[0].sequence <= above+1 {
		for _, write := range j.at.tail {
			if write.sequence > above {
				segments = append(segments, write.value)
			}
		}
		return segments, sequence, nil
	}
	segments, err = encodeSnapshot(j.at.state, j.writer)
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

// Replica is a member's copy of a journal that another member writes. It may
// lag, so it never proves that a task was not started.
type Replica struct {
	mu    sync.Mutex
	state *State
}

// NewReplica returns an empty copy.
func NewReplica() *Replica {
	return &Replica{state: NewState()}
}

// Sequence is how far the copy reaches.
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

// SegmentsAfter returns the whole copy as a snapshot, or nothing when it reaches no
// further than above.
func (r *Replica) SegmentsAfter(above uint64) (segments [][]byte, sequence uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if above >= r.state.Sequence {
		return nil, r.state.Sequence, nil
	}
	segments, err = encodeSnapshot(r.state, "copy")
	return segments, r.state.Sequence, err
}

// Apply adds segments as returned by Journal.SegmentsAfter. Errors: ErrInvalid; the
// copy then stays as it was before the faulty segment.
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
		if err := r.follow(decoded); err != nil {
			return err
		}
	}
	return r.restore(parts)
}

func (r *Replica) follow(write *segment) error {
	if write.Sequence <= r.state.Sequence {
		return nil
	}
	if write.Sequence != r.state.Sequence+1 {
		return errors.Annotatef(cairnbay.ErrInvalid, "copy of a journal has write %d after %d", write.Sequence, r.state.Sequence)
	}
	r.state.applySegment(write)
	return nil
}

func (r *Replica) restore(parts []*segment) error {
	if len(parts) == 0 || parts[0].Sequence <= r.state.Sequence {
		return nil
	}
	if len(parts) != parts[0].Parts {
		return errors.Annotatef(cairnbay.ErrInvalid, "snapshot has %d of %d parts", len(parts), parts[0].Parts)
	}
	r.state = restore(parts)
	return nil
}
