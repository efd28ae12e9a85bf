package record

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// rewrite is a rewrite of the journal under way. Its segments are stored one by
// one. The last one names the first in its RestartAt record, by which all older
// segments become obsolete, so that an interrupted rewrite changes nothing.
type rewrite struct {
	done func(error)
	// records are not stored yet.
	records []*cairnbayv1.WorkRecord
	// prefix starts the keys of its segments. They sort after those of all records
	// appended before the rewrite, and before those of all later ones.
	prefix string
	// parts counts the segments that are stored or being stored.
	parts int
	// obsolete holds the sorted keys of older segments still to be removed. It is
	// set when every segment of the rewrite is stored.
	obsolete []string
}

func newRewrite(key string, records []*cairnbayv1.WorkRecord, done func(error)) *rewrite {
	r := &rewrite{done: done, prefix: key}
	r.records = append(r.records, records...)
	r.records = append(r.records, &cairnbayv1.WorkRecord{RestartAt: r.firstKey()})
	return r
}

func (r *rewrite) firstKey() string {
	return r.key(1)
}

func (r *rewrite) key(part int) string {
	return fmt.Sprintf("%s-%08x", r.prefix, part)
}

// nextSegment returns the key and the records of the segment to store next; no
// records when all are stored.
func (r *rewrite) nextSegment() (key string, records []*cairnbayv1.WorkRecord) {
	size, count := 0, 0
	for count < len(r.records) && (count == 0 || size+proto.Size(r.records[count]) <= maxRewriteSegmentBytes) {
		size += proto.Size(r.records[count])
		count++
	}
	return r.key(r.parts + 1), r.records[:count]
}

// segmentStored notes that the segment of nextSegment is stored. keys are those of
// all stored segments.
func (r *rewrite) segmentStored(count int, keys []string) {
	r.parts++
	r.records = r.records[count:]
	if len(r.records) > 0 {
		return
	}
	for _, key := range keys {
		if key < r.firstKey() {
			r.obsolete = append(r.obsolete, key)
		}
	}
	slices.Sort(r.obsolete)
}
