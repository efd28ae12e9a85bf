// Package logq writes log lines from a bounded queue, so that a slow reader of
// the output never blocks the process.
package logq

import (
	"io"
	"sync"
	"sync/atomic"
)

// Config sets up a Queue.
type Config struct {
	Out io.Writer
	// MaxLines bounds the lines that wait to be written.
	MaxLines int
}

// Queue is an io.Writer that takes one line a call. When it is full, lines are
// dropped and counted.
type Queue struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    sync.WaitGroup
	closed  sync.Once
}

// maxBatch bounds the bytes of one write to the output.
const maxBatch = 32 << 10

// New starts the writer.
func New(config Config) *Queue {
	q := &Queue{lines: make(chan []byte, config.MaxLines)}
	q.done.Go(func() {
		batch := make([]byte, 0, maxBatch)
		for line := range q.lines {
			batch = append(batch[:0], line...)
			for len(batch) < maxBatch && len(q.lines) > 0 {
				batch = append(batch, <-q.lines...)
			}
			if _, err := config.Out.Write(batch); err != nil {
				q.dropped.Add(1)
			}
		}
	})
	return q
}

// Write queues one line; it never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped counts the lines that were not written.
func (q *Queue) Dropped() uint64 {
	return q.dropped.Load()
}

// Close writes what is queued. Write must not be called afterwards.
func (q *Queue) Close() {
	q.closed.Do(func() { close(q.lines) })
	q.done.Wait()
}
