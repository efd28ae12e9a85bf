package budget

import (
	"context"
	"time"

	"cairnbay"
)

var _ cairnbay.Store = (*purposeStore)(nil)

// purposeStore makes the calls of one purpose under the budget.
type purposeStore struct {
	budget  *Budget
	purpose cairnbay.Purpose
}

// Get implements cairnbay.Store.
func (s *purposeStore) Get(ctx context.Context, key string) (entry cairnbay.Entry, err error) {
	err = s.budget.do(ctx, classRead, s.purpose, func(ctx context.Context) (err error) {
		entry, err = s.budget.config.Store.Get(ctx, key)
		return err
	})
	return entry, err
}

// List implements cairnbay.Store.
func (s *purposeStore) List(ctx context.Context, prefix string) (listing cairnbay.Listing, err error) {
	err = s.budget.do(ctx, classRead, s.purpose, func(ctx context.Context) (err error) {
		listing, err = s.budget.config.Store.List(ctx, prefix)
		return err
	})
	return listing, err
}

// Put implements cairnbay.Store. It never repeats a write; see PutConfirmed.
func (s *purposeStore) Put(
	ctx context.Context, key string, value []byte, expect cairnbay.Revision, lease cairnbay.LeaseID,
) (revision cairnbay.Revision, err error) {
	err = s.budget.do(ctx, classWrite, s.purpose, func(ctx context.Context) (err error) {
		revision, err = s.budget.config.Store.Put(ctx, key, value, expect, lease)
		return err
	})
	return revision, err
}

// Delete implements cairnbay.Store.
func (s *purposeStore) Delete(ctx context.Context, key string, expect cairnbay.Revision) error {
	return s.budget.do(ctx, classWrite, s.purpose, func(ctx context.Context) error {
		return s.budget.config.Store.Delete(ctx, key, expect)
	})
}

// Grant implements cairnbay.Store.
func (s *purposeStore) Grant(ctx context.Context, ttl time.Duration) (lease cairnbay.LeaseID, err error) {
	err = s.budget.do(ctx, classWrite, s.purpose, func(ctx context.Context) (err error) {
		lease, err = s.budget.config.Store.Grant(ctx, ttl)
		return err
	})
	return lease, err
}

// Renew implements cairnbay.Store.
func (s *purposeStore) Renew(ctx context.Context, lease cairnbay.LeaseID) error {
	return s.budget.do(ctx, classWrite, s.purpose, func(ctx context.Context) error {
		return s.budget.config.Store.Renew(ctx, lease)
	})
}

// Watch implements cairnbay.Store. Opening a watch takes a token and counts as a
// read, even if the store makes its first call only in Next; the calls of Next are
// neither limited, counted nor bounded.
func (s *purposeStore) Watch(ctx context.Context, prefix string, from cairnbay.Revision) (watch cairnbay.Watch, err error) {
	err = s.budget.do(ctx, classRead, s.purpose, func(ctx context.Context) (err error) {
		watch, err = s.budget.config.Store.Watch(ctx, prefix, from)
		return err
	})
	return watch, err
}
