package apply

import (
	"context"
	"encoding/json"

	"cairnbay"
)

// updateHistory writes the records of the new and of the previous version to history,
// the latter in case its writer crashed before it did so. It then deletes the content of
// the version that is no longer retained. The new version is already committed, so
// failures are ignored: the next change writes the new record again, but content that was
// not deleted remains.
func (a *Applier) updateHistory(ctx context.Context, previous Head, record Record) {
	a.writeRecord(ctx, record)
	if previous.Version > 0 {
		a.writeRecord(ctx, previous.Record)
	}
	if record.Version > a.config.RetainedVersions {
		a.pruneContent(ctx, record.Version-a.config.RetainedVersions)
	}
}

// writeRecord writes a record to history unless it is already there.
func (a *Applier) writeRecord(ctx context.Context, record Record) {
	value, err := json.Marshal(record)
	if err != nil {
		return
	}
	// A conflict means that the record is already in history.
	_, _ = a.config.Store.Put(ctx, historyKey(record.Version), value, 0, 0)
}

// pruneContent deletes the content of an old version but not its record.
func (a *Applier) pruneContent(ctx context.Context, version uint64) {
	// With an empty head, readRecord reads the record from history.
	record, err := readRecord(ctx, a.config.Store, Head{}, version)
	if err != nil {
		return
	}
	a.deleteContent(ctx, record.Content)
}

// deleteContent deletes content chunks. A chunk that cannot be deleted remains in the
// store.
func (a *Applier) deleteContent(ctx context.Context, keys []string) {
	for _, key := range keys {
		entry, err := a.config.Store.Get(ctx, key)
		if err != nil {
			continue
		}
		_ = a.config.Store.Delete(ctx, key, entry.Revision)
	}
}

// Behind returns the live members that last reported an older version.
func Behind(members cairnbay.Members, version uint64) []cairnbay.Member {
	var behind []cairnbay.Member
	for _, member := range members.Live() {
		if member.SettingsVersion < version {
			behind = append(behind, member)
		}
	}
	return behind
}

// AwaitAdoption waits until a version or a newer one is in force on every live member.
// If the context ends first, it returns the members that Behind lists.
func AwaitAdoption(ctx context.Context, clock cairnbay.Clock, members cairnbay.Members, version uint64) []cairnbay.Member {
	for {
		behind := Behind(members, version)
		if len(behind) == 0 || !sleep(ctx, clock, adoptionPollInterval) {
			return behind
		}
	}
}
