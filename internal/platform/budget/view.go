package budget

import (
	"context"
	"time"

	"cairnbay"
)

var _ cairnbay.Store = (*view)(nil)

// view is the store as used for one purpose.
type view struct {
	budget  *Budget
	purpose cairnbay.Purpose
}

// Get implements cairnbay.Store.
func (v *view) Get(ctx context.Context, key string) (entry cairnbay.Entry, err error) {
	err = v.budget.do(ctx, classRead, v.purpose, func(ctx context.Context) (err error) {
		entry, err = v.budget.config.Store.Get(ctx, key)
		return err
	})
	return entry, err
}

// List implements cairnbay.Store.
func (v *view) List(ctx context.Context, prefix string) (listing cairnbay.Listing, err error) {
	err = v.budget.do(ctx, classRead, v.purpose, func(ctx context.Context) (err error) {
		listing, err = v.budget.config.Store.List(ctx, prefix)
		return err
	})
	return listing, err
}

// Put implements cairnbay.Store. It is never repeated here; see PutConfirmed.
func (v *view) Put(
	ctx context.Context, key string, value []byte, expect cairnbay.Revision, lease cairnbay.LeaseID,
) (revision cairnbay.Revision, err error) {
	err = v.budget.do(ctx, classWrite, v.purpose, func(ctx context.Context) (err error) {
		revision, err = v.budget.config.Store.Put(ctx, key, value, expect, lease)
		return err
	})
	return revision, err
}

// Delete implements cairnbay.Store.
func (v *view) Delete(ctx context.Context, key string, expect cairnbay.Revision) error {
	return v.budget.do(ctx, classWrite, v.purpose, func(ctx context.Context) error {
		return v.budget.config.Store.Delete(ctx, key, expect)
	})
}

// Grant implements cairnbay.Store.
func (v *view) Grant(ctx context.Context, ttl time.Duration) (lease cairnbay.LeaseID, err error) {
	err = v.budget.do(ctx, classWrite, v.purpose, func(ctx context.Context) (err error) {
		lease, err = v.budget.config.Store.Grant(ctx, ttl)
		return err
	})
	return lease, err
}

// Renew implements cairnbay.Store.
func (v *view) Renew(ctx context.Context, lease cairnbay.LeaseID) error {
	return v.budget.do(ctx, classWrite, v.purpose, func(ctx context.Context) error {
		return v.budget.config.Store.Renew(ctx, lease)
	})
}

// Watch implements cairnbay.Store. Opening counts as a read; a wait is not
// bounded here.
func (v *view) Watch(ctx context.Context, prefix string, from cairnbay.Revision) (watch cairnbay.Watch, err error) {
	err = v.budget.do(ctx, classRead, v.purpose, func(ctx context.Context) (err error) {
		watch, err = v.budget.config.Store.Watch(ctx, prefix, from)
		return err
	})
	return watch, err
}
