package store

import (
	"bytes"
	"context"

	"github.com/juju/errors"

	"cairnbay"
)

var _ cairnbay.BatchStore = (*Caller)(nil)

// Commit implements cairnbay.BatchStore. It counts as one put.
func (c *Caller) Commit(ctx context.Context, batch cairnbay.Batch) (cairnbay.Revision, error) {
	var revision cairnbay.Revision
	err := c.write(ctx, &c.store.counts.Puts, func() (err error) {
		revision, err = c.store.commit(batch)
		return err
	})
	if err != nil {
		return 0, errors.Annotatef(err, "commit")
	}
	return revision, nil
}

// Revoke implements cairnbay.BatchStore.
func (c *Caller) Revoke(ctx context.Context, lease cairnbay.LeaseID) error {
	err := c.write(ctx, &c.store.counts.Renews, func() error {
		if c.store.leases[lease] == nil {
			return errors.Annotatef(cairnbay.ErrLeaseLapsed, "lease %d", lease)
		}
		delete(c.store.leases, lease)
		c.store.dropLeased(lease)
		return nil
	})
	return errors.Annotatef(err, "revoke")
}

func (s *Store) commit(batch cairnbay.Batch) (cairnbay.Revision, error) {
	for _, expect := range batch.Expect {
		if found := s.entries[expect.Key].Revision; found != expect.Revision {
			return 0, errors.Annotatef(cairnbay.ErrConflict, "key %q is at revision %d, not %d", expect.Key, found, expect.Revision)
		}
	}
	for _, put := range batch.Puts {
		if len(put.Value) > cairnbay.MaxValueBytes {
			return 0, errors.Annotatef(cairnbay.ErrTooLarge, "key %q", put.Key)
		}
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			return 0, errors.Annotatef(cairnbay.ErrLeaseLapsed, "lease %d of key %q", put.Lease, put.Key)
		}
	}
	s.revision++
	for _, put := range batch.Puts {
		entry := cairnbay.Entry{Key: put.Key, Value: bytes.Clone(put.Value), Revision: s.revision, Lease: put.Lease}
		s.entries[put.Key] = entry
		s.record(cairnbay.Event{Kind: cairnbay.EventPut, Entry: entry})
	}
	for _, key := range batch.Delete {
		delete(s.entries, key)
		s.record(cairnbay.Event{Kind: cairnbay.EventDelete, Entry: cairnbay.Entry{Key: key, Revision: s.revision}})
	}
	return s.revision, nil
}

// Drop removes keys without notice to their owner, as a revocation does.
func (s *Store) Drop(keys ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		if _, ok := s.entries[key]; ok {
			s.drop(key)
		}
	}
}

// Force writes a key as the platform itself does, whatever faults are set.
func (s *Store) Force(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	entry := cairnbay.Entry{Key: key, Value: bytes.Clone(value), Revision: s.revision}
	s.entries[key] = entry
	s.record(cairnbay.Event{Kind: cairnbay.EventPut, Entry: entry})
}
