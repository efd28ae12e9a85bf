package apply

import (
	"context"
	"time"

	"cairnbay"
)

// isWatcher reports whether this member is the watcher, which watches the store for its
// data centre: the first live member by ID that is neither suspect nor leaving. If there
// is none, every member is a watcher. Members with different member lists can be watchers
// at the same time.
func (f *Follower) isWatcher() bool {
	self := f.config.Members.Self()
	for _, member := range f.config.Members.Live() {
		if member.DataCentre == self.DataCentre && !member.Suspect && !member.Leaving {
			return member.ID == self.ID
		}
	}
	return true
}

// watchLoop watches the head while this member is the watcher of its data centre.
func (f *Follower) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if f.isWatcher() {
			f.watchOnce(ctx)
		}
		sleep(ctx, f.config.Clock, watchRetryDelay)
	}
}

// watchOnce watches the head until the watch fails or another member becomes the
// watcher. Errors of the watch are not reported; readLoop reads the store as well.
func (f *Follower) watchOnce(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer f.config.Clock.Every(watcherReadInterval, func(time.Duration) {
		if !f.isWatcher() {
			cancel()
		}
	})()
	openCtx, cancelOpen := withCallTimeout(ctx, f.config.Clock)
	defer cancelOpen()
	_, revision, err := readHead(openCtx, f.config.Store)
	if err != nil {
		return
	}
	// Watching from one revision before the head's makes the head the first event.
	watch, err := f.config.Store.Watch(openCtx, HeadKey, max(revision, 1)-1)
	if err != nil {
		return
	}
	defer func() { _ = watch.Close() }()
	for {
		events, err := watch.Next(ctx)
		if err != nil {
			return
		}
		f.handleEvents(ctx, events)
	}
}

// handleEvents adopts the version of the last event.
func (f *Follower) handleEvents(ctx context.Context, events []cairnbay.Event) {
	newest := events[len(events)-1]
	if newest.Kind != cairnbay.EventPut {
		return
	}
	ctx, cancel := withCallTimeout(ctx, f.config.Clock)
	defer cancel()
	head, err := decodeHead(newest.Entry.Value)
	if err == nil {
		err = f.adoptHead(ctx, head)
	}
	if err != nil {
		f.failures.Inc()
		f.config.Log.WithError(err).Warn("cannot adopt the settings version seen by the watch")
	}
}
