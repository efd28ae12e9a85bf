package commit

import (
	"context"
	"sort"

	"github.com/juju/errors"

	"cairnbay"
)

// storedJournal is the content of a journal in the store, with the key revisions
// that the next writes expect.
type storedJournal struct {
	state     *State
	revisions map[string]cairnbay.Revision
	// snapshotSequence is the sequence of the newest complete snapshot,
	// snapshotBuffer the buffer that holds it: 0 or 1.
	snapshotSequence uint64
	snapshotBuffer   int
	// tail holds the newest encoded writes without a gap, oldest first and at most
	// ringSlots. After a read it starts behind the snapshot.
	tail []storedWrite
}

// storedWrite is an encoded write in the store.
type storedWrite struct {
	sequence uint64
	value    []byte
}

// Read returns the journal's content in the store without taking the journal
// over. Errors: the store's, ErrInvalid.
func Read(ctx context.Context, store cairnbay.Store, shard cairnbay.ShardID) (*State, error) {
	stored, err := read(ctx, store, shard)
	if err != nil {
		return nil, err
	}
	return stored.state, nil
}

func read(ctx context.Context, store cairnbay.Store, shard cairnbay.ShardID) (*storedJournal, error) {
	listing, err := store.List(ctx, prefix(shard))
	if err != nil {
		return nil, errors.Annotatef(err, "read journal of shard %q", shard)
	}
	stored := &storedJournal{state: NewState(), revisions: map[string]cairnbay.Revision{}}
	var writes []decodedWrite
	parts := map[string]*segment{}
	for _, entry := range listing.Entries {
		stored.revisions[entry.Key] = entry.Revision
		decoded, err := decodeSegment(entry.Value)
		if err != nil {
			return nil, errors.Annotatef(err, "key %q", entry.Key)
		}
		if decoded.Parts > 0 {
			parts[entry.Key] = decoded
		} else {
			writes = append(writes, decodedWrite{segment: decoded, value: entry.Value})
		}
	}
	stored.restoreNewest(shard, parts)
	return stored, stored.replay(shard, writes)
}

// decodedWrite is a write with its encoded value.
type decodedWrite struct {
	*segment
	value []byte
}

// restoreNewest restores the newest complete snapshot.
func (s *storedJournal) restoreNewest(shard cairnbay.ShardID, parts map[string]*segment) {
	for buffer := range 2 {
		newest := completeSnapshot(shard, buffer, parts)
		if newest == nil || newest[0].Sequence < s.state.Sequence {
			continue
		}
		s.state, s.snapshotSequence, s.snapshotBuffer = restore(newest), newest[0].Sequence, buffer
	}
}

// completeSnapshot returns the parts of a snapshot buffer in order, nil if a part is
// missing or belongs to another snapshot.
func completeSnapshot(shard cairnbay.ShardID, buffer int, parts map[string]*segment) []*segment {
	first := parts[snapshotKey(shard, buffer, 0)]
	if first == nil {
		return nil
	}
	complete := make([]*segment, first.Parts)
	for i := range complete {
		part := parts[snapshotKey(shard, buffer, i)]
		if part == nil || part.Sequence != first.Sequence || part.Writer != first.Writer {
			return nil
		}
		complete[i] = part
	}
	return complete
}

// replay applies the writes after the snapshot. Errors: ErrInvalid when one is
// missing.
func (s *storedJournal) replay(shard cairnbay.ShardID, writes []decodedWrite) error {
	sort.Slice(writes, func(i, j int) bool { return writes[i].Sequence < writes[j].Sequence })
	for _, write := range writes {
		if write.Sequence <= s.state.Sequence {
			continue
		}
		if write.Sequence != s.state.Sequence+1 {
			return errors.Annotatef(cairnbay.ErrInvalid, "journal of shard %q has write %d after %d, the writes between are missing", shard, write.Sequence, s.state.Sequence)
		}
		s.state.applySegment(write.segment)
		s.tail = append(s.tail, storedWrite{sequence: write.Sequence, value: write.value})
	}
	return nil
}
