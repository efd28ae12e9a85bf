package commit

import (
	"encoding/json"
	"fmt"
	"net/url"
	"sync"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"

	"cairnbay"
)

// Layout and limits of a journal in the store.
const (
	// ringSlots is the number of writes that the ring holds. A snapshot must cover a
	// slot before it is overwritten.
	ringSlots = 64
	// snapshotEvery is the number of writes between two snapshots. It is below
	// ringSlots, so that writes continue while snapshots fail.
	snapshotEvery = 32
	// maxJobsPerPart bounds a part of a snapshot well below the size limit of a
	// store value.
	maxJobsPerPart = 200
	// maxWeightPerWrite bounds the weight of a write of several tickets; a ticket is
	// never split. A job has weight acceptWeight, any other record weight 1.
	maxWeightPerWrite = 4000
	acceptWeight      = 20
	// maxSegmentBytes bounds a decompressed segment.
	maxSegmentBytes = 64 << 20
)

// segment is one value of the journal: a write, or a part of a snapshot.
type segment struct {
	// Generation is the takeover under which the segment was written. Sequence is the
	// number of the write or, in a snapshot, of the last write that it covers.
	Generation uint64 `json:"generation"`
	Sequence   uint64 `json:"sequence"`
	// Writer identifies the Journal that wrote the segment.
	Writer  string   `json:"writer"`
	Records []Record `json:"records,omitempty"`
	// Parts is the number of parts of a snapshot, 0 in a write. Part is the index of
	// this part, from 0.
	Parts   int         `json:"parts,omitempty"`
	Part    int         `json:"part,omitempty"`
	Jobs    []*JobState `json:"jobs,omitempty"`
	Workers []WorkerRef `json:"workers,omitempty"`
	// Order is the acceptance order of the job accepted last.
	Order uint64 `json:"order,omitempty"`
}

// The codecs are shared: EncodeAll and DecodeAll are safe for concurrent use.
var (
	encoder = sync.OnceValue(func() *zstd.Encoder {
		writer, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
		if err != nil {
			panic(err)
		}
		return writer
	})
	decoder = sync.OnceValue(func() *zstd.Decoder {
		reader, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSegmentBytes))
		if err != nil {
			panic(err)
		}
		return reader
	})
)

func (s *segment) encode() ([]byte, error) {
	plain, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Annotatef(err, "encode journal segment %d", s.Sequence)
	}
	return encoder().EncodeAll(plain, nil), nil
}

// decodeSegment decompresses and decodes a segment. Errors: ErrInvalid.
func decodeSegment(value []byte) (*segment, error) {
	plain, err := decoder().DecodeAll(value, nil)
	if err != nil {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "journal segment of %d bytes: %v", len(value), err)
	}
	decoded := &segment{}
	if err := json.Unmarshal(plain, decoded); err != nil {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "journal segment of %d bytes: %v", len(value), err)
	}
	return decoded, nil
}

// prefix returns the common prefix of the shard's keys in the store.
func prefix(shard cairnbay.ShardID) string {
	return "jobs/" + url.PathEscape(string(shard)) + "/"
}

// slotKey returns the key of the write with a sequence number.
func slotKey(shard cairnbay.ShardID, sequence uint64) string {
	return fmt.Sprintf("%slog/%02d", prefix(shard), sequence%ringSlots)
}

// snapshotKey returns the key of a part of a snapshot. Successive snapshots
// alternate between buffers 0 and 1.
func snapshotKey(shard cairnbay.ShardID, buffer, part int) string {
	return fmt.Sprintf("%ssnap/%d-%03d", prefix(shard), buffer, part)
}

// snapshot splits a state into segments of at most maxJobsPerPart jobs.
func snapshot(state *State, writer string) []*segment {
	jobs := state.JobsByOrder()
	parts := max(1, (len(jobs)+maxJobsPerPart-1)/maxJobsPerPart)
	segments := make([]*segment, parts)
	for part := range segments {
		from, to := part*maxJobsPerPart, min(len(jobs), (part+1)*maxJobsPerPart)
		segments[part] = &segment{
			Generation: state.Generation, Sequence: state.Sequence, Writer: writer,
			Parts: parts, Part: part, Jobs: jobs[from:to], Workers: state.Workers, Order: state.lastOrder,
		}
	}
	return segments
}

// restore builds a state from all parts of a snapshot.
func restore(parts []*segment) *State {
	state := NewState()
	for _, part := range parts {
		state.Generation, state.Sequence = part.Generation, part.Sequence
		state.Workers, state.lastOrder = part.Workers, part.Order
		for _, job := range part.Jobs {
			if job.Final == nil {
				job.Final = map[cairnbay.TaskState]Spans{}
			}
			state.Jobs[job.Job.ID] = job
		}
	}
	return state
}

// applySegment applies the write that follows the state's sequence.
func (s *State) applySegment(write *segment) {
	s.Generation, s.Sequence = write.Generation, write.Sequence
	for _, record := range write.Records {
		s.Apply(record)
	}
}
