package apply

import (
	"context"
	"encoding/json"

	"cairnbay"
)

// tidy keeps the new record in history, repairs the one before it in case its
// writer died, and drops the content of the version that leaves the window. The
// version is in force already, so failures here are left to later changes.
func (a *Applier) tidy(ctx context.Context, before Head, record Record) {
	a.keep(ctx, record)
	if before.Version > 0 {
		a.keep(ctx, before.Record)
	}
	if record.Version > a.config.RetainedVersions {
		a.prune(ctx, record.Version-a.config.RetainedVersions)
	}
}

func (a *Applier) keep(ctx context.Context, record Record) {
	value, err := json.Marshal(record)
	if err != nil {
		return
	}
	// A conflict says that it is kept already.
	_, _ = a.config.Store.Put(ctx, historyKey(record.Version), value, 0, 0)
}

// prune drops the content of one old version; its record stays.
func (a *Applier) prune(ctx context.Context, version uint64) {
	record, err := readRecord(ctx, a.config.Store, Head{}, version)
	if err != nil {
		return
	}
	a.drop(ctx, record.Content)
}

// drop deletes content that nothing needs any more.
func (a *Applier) drop(ctx context.Context, keys []string) {
	for _, key := range keys {
		entry, err := a.config.Store.Get(ctx, key)
		if err != nil {
			continue
		}
		_ = a.config.Store.Delete(ctx, key, entry.Revision)
	}
}

// Behind lists the live members on which a version is not in force yet.
func Behind(members cairnbay.Members, version uint64) []cairnbay.Member {
	var behind []cairnbay.Member
	for _, member := range members.Live() {
		if member.SettingsVersion < version {
			behind = append(behind, member)
		}
	}
	return behind
}

// AwaitAdoption waits until a version is in force on every live member, and returns
// those where it is not when the context ends.
func AwaitAdoption(ctx context.Context, clock cairnbay.Clock, members cairnbay.Members, version uint64) []cairnbay.Member {
	for {
		behind := Behind(members, version)
		if len(behind) == 0 || !pause(ctx, clock, awaitStep) {
			return behind
		}
	}
}
