package record

import (
	"context"

	jujuerrors "github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// Prefix returns the prefix of the store keys of a shard's journal.
func Prefix(shard string) string {
	return "cairnbay/journal/" + shard + "/"
}

// Journal is the stored journal of a shard.
type Journal struct {
	// Records are, oldest first, those of the last complete rewrite and all later
	// ones; all records if there was no rewrite.
	Records []*cairnbayv1.WorkRecord
	// SegmentKeys are the store keys of all segments, including those that a
	// rewrite has superseded and not removed yet.
	SegmentKeys []string
	// Bytes is the size of all segments.
	Bytes int
}

// Load reads the whole journal of a shard. It returns the store's error, or that
// of a segment that cannot be decoded.
func Load(ctx context.Context, store cairnbay.Store, shard string) (Journal, error) {
	listing, err := store.List(ctx, Prefix(shard))
	if err != nil {
		return Journal{}, jujuerrors.Annotatef(err, "journal of %s", shard)
	}
	var journal Journal
	segments := make([]*cairnbayv1.WorkSegment, 0, len(listing.Entries))
	// A rewrite ends with the record that names its first segment, so an incomplete
	// one is ignored. The latest complete one has the greatest key.
	restartAt := ""
	for _, entry := range listing.Entries {
		segment := &cairnbayv1.WorkSegment{}
		if err := proto.Unmarshal(entry.Value, segment); err != nil {
			return Journal{}, jujuerrors.Annotatef(err, "journal segment %s", entry.Key)
		}
		for _, record := range segment.GetRecords() {
			restartAt = max(restartAt, record.GetRestartAt())
		}
		segments = append(segments, segment)
		journal.SegmentKeys = append(journal.SegmentKeys, entry.Key)
		journal.Bytes += len(entry.Value)
	}
	for i, segment := range segments {
		if journal.SegmentKeys[i] >= restartAt {
			journal.Records = append(journal.Records, segment.GetRecords()...)
		}
	}
	return journal, nil
}
