package pull

import (
	"context"
	"time"

	"cairnbay"
)

// Observe returns a store for the reads of the configuration, of which each answer
// confirms the version in force. hold is how long the store holds a watch without
// events. The time of an answer is that of its request, since the process may have been
// suspended before it read the answer. An answer without events after a hold says that
// there were none until its end.
func (p *Puller) Observe(store cairnbay.Store, hold time.Duration) cairnbay.Store {
	return &observedStore{Store: store, puller: p, hold: hold}
}

type observedStore struct {
	cairnbay.Store
	puller *Puller
	hold   time.Duration
}

// List implements cairnbay.Store.
func (s *observedStore) List(ctx context.Context, prefix string) (cairnbay.Listing, error) {
	sentAt := s.puller.config.BootTime()
	listing, err := s.Store.List(ctx, prefix)
	if err == nil {
		s.puller.Confirm(sentAt)
	}
	return listing, err
}

// Watch implements cairnbay.Store.
func (s *observedStore) Watch(ctx context.Context, prefix string, from cairnbay.Revision) (cairnbay.Watch, error) {
	watch, err := s.Store.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	return &observedWatch{Watch: watch, store: s}, nil
}

type observedWatch struct {
	cairnbay.Watch
	store *observedStore
}

// Next implements cairnbay.Watch.
func (w *observedWatch) Next(ctx context.Context) ([]cairnbay.Event, error) {
	puller := w.store.puller
	sentAt := puller.config.BootTime()
	events, err := w.Watch.Next(ctx)
	if err != nil {
		return nil, err
	}
	if len(events) == 0 && puller.config.BootTime()-sentAt >= w.store.hold {
		sentAt += w.store.hold
	}
	puller.Confirm(sentAt)
	return events, nil
}
