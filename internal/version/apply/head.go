package apply

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/version/tree"
)

// Keys and key prefixes of the settings in the store.
const (
	// HeadKey is the key of the Head.
	HeadKey       = "settings/head"
	historyPrefix = "settings/history/"
	contentPrefix = "settings/content/"
)

const (
	// defaultChunkBytes stays below the store's limit for the size of a value.
	defaultChunkBytes = 900 << 10
	// maxChunks is the maximum number of content chunks that decodeHead accepts.
	maxChunks = 64
	// maxRecentRecords is the number of records in the head. A repeated change ID is
	// recognised only while its record is among them.
	maxRecentRecords        = 64
	defaultRetainedVersions = 1000
)

// Record is the history entry of a version.
type Record struct {
	Version  uint64 `json:"version"`
	Digest   string `json:"digest"`
	ChangeID string `json:"change_id"`
	Who      string `json:"who"`
	Why      string `json:"why"`
	UnixMS   int64  `json:"unix_ms"`
	// Content lists the keys of the content chunks, in order.
	Content []string `json:"content"`
}

// Head describes the newest version. It is stored under HeadKey and replaced by
// compare-and-swap, so that only one of several concurrent changes creates the next
// version.
type Head struct {
	Record
	// Recent lists the last records, including the head's own, the newest first.
	Recent []Record `json:"recent"`
}

// findChange returns the recent record with a change ID.
func (h *Head) findChange(changeID string) (Record, bool) {
	for _, record := range h.Recent {
		if record.ChangeID == changeID {
			return record, true
		}
	}
	return Record{}, false
}

// next returns the head that follows when a record is added.
func (h *Head) next(record Record) Head {
	recent := append([]Record{record}, h.Recent...)
	return Head{Record: record, Recent: recent[:min(len(recent), maxRecentRecords)]}
}

// decodeHead decodes and checks a head read from the store. Errors: ErrInvalid.
func decodeHead(value []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(value, &head); err != nil {
		return Head{}, errors.Annotatef(cairnbay.ErrInvalid, "settings head: %v", err)
	}
	if head.Version == 0 || len(head.Content) == 0 || len(head.Content) > maxChunks {
		return Head{}, errors.Annotatef(cairnbay.ErrInvalid, "settings head has version %d and %d content chunks",
			head.Version, len(head.Content))
	}
	return head, nil
}

// readHead reads the head and its revision; both are zero before the first version.
func readHead(ctx context.Context, store cairnbay.Store) (Head, cairnbay.Revision, error) {
	entry, err := store.Get(ctx, HeadKey)
	if errors.Is(err, cairnbay.ErrNotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, errors.Annotate(err, "read settings head")
	}
	head, err := decodeHead(entry.Value)
	return head, entry.Revision, err
}

// readContent reads a version's content and verifies its digest. Errors: ErrNotFound if
// the content was pruned, ErrInvalid.
func readContent(ctx context.Context, store cairnbay.Store, record Record) ([]byte, error) {
	var content []byte
	for _, key := range record.Content {
		entry, err := store.Get(ctx, key)
		if err != nil {
			return nil, errors.Annotatef(err, "read content of settings version %d", record.Version)
		}
		content = append(content, entry.Value...)
	}
	if tree.Digest(content) != record.Digest {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "content of settings version %d does not match its digest",
			record.Version)
	}
	return content, nil
}

// readTree reads the tree of a version; version 0 has the empty tree.
func readTree(ctx context.Context, store cairnbay.Store, record Record) (*tree.Tree, error) {
	if record.Version == 0 {
		return tree.New(nil, nil)
	}
	content, err := readContent(ctx, store, record)
	if err != nil {
		return nil, err
	}
	return tree.Decode(content)
}

// historyKey returns the key of a version's record in history. The version is padded
// with zeros, so that the keys sort by version.
func historyKey(version uint64) string {
	return fmt.Sprintf("%s%020d", historyPrefix, version)
}

// readRecord returns the record of a version, from the head or from history. Errors:
// ErrNotFound, ErrInvalid.
func readRecord(ctx context.Context, store cairnbay.Store, head Head, version uint64) (Record, error) {
	for _, record := range head.Recent {
		if record.Version == version {
			return record, nil
		}
	}
	entry, err := store.Get(ctx, historyKey(version))
	if err != nil {
		return Record{}, errors.Annotatef(err, "read record of settings version %d", version)
	}
	var record Record
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return Record{}, errors.Annotatef(cairnbay.ErrInvalid, "decode record of settings version %d: %v", version, err)
	}
	return record, nil
}
