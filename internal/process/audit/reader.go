package audit

import (
	"context"
	"time"

	"github.com/juju/errors"

	"cairnbay"
)

// RecordsPath is where the operators' API serves a Reader's answers.
const RecordsPath = "/v1/audit/records"

// MaxRange bounds the time that one answer covers; callers ask for longer times
// in parts.
const MaxRange = 25 * time.Hour

// Answer is what the operators' API returns: sealed records as they are kept,
// for the caller to verify.
type Answer struct {
	// Chunk is an encoded AuditChunk; see DecodeChunk.
	Chunk []byte `json:"chunk"`
}

// Reader serves records to the operators' API.
type Reader struct {
	// Store is used for audit records only.
	Store cairnbay.Store
}

// Read returns an Answer with the records from (inclusive) to to (exclusive).
// Errors: ErrInvalid for an empty time or one longer than MaxRange.
func (r Reader) Read(ctx context.Context, from, to time.Time) (any, error) {
	if !from.Before(to) || to.Sub(from) > MaxRange {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "the time from %s to %s is not between 0 and %s",
			from.Format(time.RFC3339), to.Format(time.RFC3339), MaxRange)
	}
	records, err := Read(ctx, r.Store, from, to, Filter{})
	if err != nil {
		return nil, err
	}
	chunk, err := EncodeChunk(records)
	return Answer{Chunk: chunk}, err
}
