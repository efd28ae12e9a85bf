package detour

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// errorCodes maps the store's errors to their codes in calls between instances.
var errorCodes = []struct {
	code cairnbayv1.StoreError
	err  error
}{
	{cairnbayv1.StoreError_STORE_ERROR_NOT_FOUND, cairnbay.ErrNotFound},
	{cairnbayv1.StoreError_STORE_ERROR_CONFLICT, cairnbay.ErrConflict},
	{cairnbayv1.StoreError_STORE_ERROR_LEASE_LAPSED, cairnbay.ErrLeaseLapsed},
	{cairnbayv1.StoreError_STORE_ERROR_COMPACTED, cairnbay.ErrCompacted},
	{cairnbayv1.StoreError_STORE_ERROR_TOO_LARGE, cairnbay.ErrTooLarge},
	{cairnbayv1.StoreError_STORE_ERROR_RATE_LIMITED, cairnbay.ErrRateLimited},
	{cairnbayv1.StoreError_STORE_ERROR_UNAVAILABLE, cairnbay.ErrUnavailable},
}

// encodeError encodes an error as an answer. An error outside errorCodes becomes
// STORE_ERROR_UNKNOWN, as the call may have taken effect.
func encodeError(err error) *cairnbayv1.StoreAnswer {
	answer := &cairnbayv1.StoreAnswer{Error: cairnbayv1.StoreError_STORE_ERROR_UNKNOWN, Detail: err.Error()}
	for _, mapping := range errorCodes {
		if errors.Is(err, mapping.err) {
			answer.Error = mapping.code
			break
		}
	}
	return answer
}

func decodeError(answer *cairnbayv1.StoreAnswer) error {
	if answer.GetError() == cairnbayv1.StoreError_STORE_ERROR_UNSPECIFIED {
		return nil
	}
	for _, mapping := range errorCodes {
		if mapping.code == answer.GetError() {
			return fmt.Errorf("store call through another instance: %w: %s", mapping.err, answer.GetDetail())
		}
	}
	return fmt.Errorf("store call through another instance: %w: %s", cairnbay.ErrUnknown, answer.GetDetail())
}

func encodeEntry(entry cairnbay.Entry) *cairnbayv1.StoreEntry {
	return &cairnbayv1.StoreEntry{
		Key: entry.Key, Value: entry.Value, Revision: uint64(entry.Revision), Lease: uint64(entry.Lease),
	}
}

func decodeEntry(entry *cairnbayv1.StoreEntry) cairnbay.Entry {
	return cairnbay.Entry{
		Key: entry.GetKey(), Value: entry.GetValue(),
		Revision: cairnbay.Revision(entry.GetRevision()), Lease: cairnbay.LeaseID(entry.GetLease()),
	}
}

func decodeEvents(entries []*cairnbayv1.StoreEntry) []cairnbay.Event {
	events := make([]cairnbay.Event, 0, len(entries))
	for _, entry := range entries {
		kind := cairnbay.EventPut
		if entry.GetDeleted() {
			kind = cairnbay.EventDelete
		}
		events = append(events, cairnbay.Event{Kind: kind, Entry: decodeEntry(entry)})
	}
	return events
}

func encodeBatch(batch cairnbay.Batch) *cairnbayv1.StoreBatch {
	encoded := &cairnbayv1.StoreBatch{Delete: batch.Delete}
	for _, expect := range batch.Expect {
		encoded.Expect = append(encoded.Expect, &cairnbayv1.StoreEntry{Key: expect.Key, Revision: uint64(expect.Revision)})
	}
	for _, put := range batch.Puts {
		encoded.Puts = append(encoded.Puts, &cairnbayv1.StoreEntry{Key: put.Key, Value: put.Value, Lease: uint64(put.Lease)})
	}
	return encoded
}

func decodeBatch(batch *cairnbayv1.StoreBatch) cairnbay.Batch {
	decoded := cairnbay.Batch{Delete: batch.GetDelete()}
	for _, expect := range batch.GetExpect() {
		decoded.Expect = append(decoded.Expect, cairnbay.Expectation{
			Key: expect.GetKey(), Revision: cairnbay.Revision(expect.GetRevision()),
		})
	}
	for _, put := range batch.GetPuts() {
		decoded.Puts = append(decoded.Puts, cairnbay.Put{
			Key: put.GetKey(), Value: put.GetValue(), Lease: cairnbay.LeaseID(put.GetLease()),
		})
	}
	return decoded
}

// perform makes the store call that an encoded call describes. Errors: of the
// store.
func perform(ctx context.Context, store cairnbay.BatchStore, call *cairnbayv1.StoreCall) (*cairnbayv1.StoreAnswer, error) {
	answer := &cairnbayv1.StoreAnswer{}
	switch {
	case call.GetListing():
		listing, err := store.List(ctx, call.GetList())
		answer.Revision = uint64(listing.Revision)
		for _, entry := range listing.Entries {
			answer.Entries = append(answer.Entries, encodeEntry(entry))
		}
		return answer, err
	case call.GetCommit() != nil:
		revision, err := store.Commit(ctx, decodeBatch(call.GetCommit()))
		answer.Revision = uint64(revision)
		return answer, err
	case call.GetGrantMs() > 0:
		lease, err := store.Grant(ctx, time.Duration(call.GetGrantMs())*time.Millisecond)
		answer.Lease = uint64(lease)
		return answer, err
	case call.GetRenew() > 0:
		return answer, store.Renew(ctx, cairnbay.LeaseID(call.GetRenew()))
	case call.GetRevoke() > 0:
		return answer, store.Revoke(ctx, cairnbay.LeaseID(call.GetRevoke()))
	case call.GetWatch() != nil:
		return watchOnce(ctx, store, call.GetWatch())
	default:
		entry, err := store.Get(ctx, call.GetGet())
		answer.Entries = []*cairnbayv1.StoreEntry{encodeEntry(entry)}
		return answer, err
	}
}

// watchOnce opens a watch, returns its next events and closes it.
func watchOnce(ctx context.Context, store cairnbay.BatchStore, request *cairnbayv1.StoreWatch) (*cairnbayv1.StoreAnswer, error) {
	watcher, err := store.Watch(ctx, request.GetPrefix(), cairnbay.Revision(request.GetAfter()))
	if err != nil {
		return nil, err
	}
	events, err := watcher.Next(ctx)
	if closeErr := watcher.Close(); err == nil {
		err = closeErr
	}
	answer := &cairnbayv1.StoreAnswer{}
	for _, event := range events {
		entry := encodeEntry(event.Entry)
		entry.Deleted = event.Kind == cairnbay.EventDelete
		answer.Entries = append(answer.Entries, entry)
	}
	return answer, err
}
