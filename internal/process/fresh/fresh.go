// Package fresh shares reads between callers of which each needs one that began after its
// call. A caller that learns of an absence cannot use a read that was under way when it
// asked: what it looks for may have been written in between.
package fresh

import (
	"context"
	"sync"
	"time"

	"cairnbay"
	"cairnbay/internal/process/timer"
)

// Config configures a Reader.
type Config[T any] struct {
	// Read reads the value.
	Read func(ctx context.Context) (T, error)
	// Timeout bounds one read.
	Timeout time.Duration
	// Interval is the least time between the beginnings of two reads.
	Interval time.Duration
}

// Reader makes a read for all callers that wait when it begins. On a slow store several
// are under way.
type Reader[T any] struct {
	config Config[T]
	cancel context.CancelFunc
	done   sync.WaitGroup
	due    chan struct{}

	mu sync.Mutex
	// next is the read that has not begun, nil while nobody waits for one.
	next   *round[T]
	closed bool
}

// round is one read.
type round[T any] struct {
	// done is closed once value and err are set.
	done  chan struct{}
	value T
	err   error
}

// New starts a reader. Close stops it.
func New[T any](config Config[T]) *Reader[T] {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reader[T]{config: config, cancel: cancel, due: make(chan struct{}, 1)}
	r.done.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-r.due:
			}
			if next := r.take(); next != nil {
				r.done.Go(func() { r.read(ctx, next) })
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(config.Interval):
			}
		}
	})
	return r
}

func (r *Reader[T]) read(ctx context.Context, next *round[T]) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
	defer cancel()
	next.value, next.err = r.config.Read(ctx)
	close(next.done)
}

// Close ends the reads. Callers that wait get cairnbay.ErrClosed.
func (r *Reader[T]) Close() {
	r.cancel()
	r.done.Wait()
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	if next := r.take(); next != nil {
		next.err = cairnbay.ErrClosed
		close(next.done)
	}
}

// take returns the read that callers wait for, nil without any. Later callers wait for
// another one.
func (r *Reader[T]) take() *round[T] {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.next
	r.next = nil
	return next
}

// Get returns the result of a read that began after the call. Errors: those of the read,
// cairnbay.ErrClosed, or the context's.
func (r *Reader[T]) Get(ctx context.Context) (value T, err error) {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return value, cairnbay.ErrClosed
	}
	if r.next == nil {
		r.next = &round[T]{done: make(chan struct{})}
	}
	next := r.next
	r.mu.Unlock()
	timer.Signal(r.due)
	select {
	case <-ctx.Done():
		return value, ctx.Err()
	case <-next.done:
		return next.value, next.err
	}
}
