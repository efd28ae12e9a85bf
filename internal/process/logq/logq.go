// Package logq writes log lines through a bounded queue, so that a slow reader of
// the output does not block the process.
package logq

import (
	"io"
	"sync"
	"sync/atomic"
)

// Config sets up a Queue.
type Config struct {
	// Out gets one or more whole lines with each write.
	Out io.Writer
	// MaxLines is the capacity of the queue, in lines.
	MaxLines int
}

// Queue is an io.Writer that queues one line per call. When the queue is full,
// lines are dropped and counted.
type Queue struct {
	lines     chan []byte
	dropped   atomic.Uint64
	done      sync.WaitGroup
	closeOnce sync.Once
}

// batchBytes is the size from which a write to the output takes no more lines.
const batchBytes = 32 << 10

// New starts the goroutine that writes the queued lines to config.Out.
func New(config Config) *Queue {
	q := &Queue{lines: make(chan []byte, config.MaxLines)}
	q.done.Go(func() {
		batch := make([]byte, 0, batchBytes)
		for line := range q.lines {
			batch = append(batch[:0], line...)
			for len(batch) < batchBytes && len(q.lines) > 0 {
				batch = append(batch, <-q.lines...)
			}
			if _, err := config.Out.Write(batch); err != nil {
				q.dropped.Add(1)
			}
		}
	})
	return q
}

// Write queues a copy of one line, or drops it. It never blocks or fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped, plus one for each failed write to
// the output.
func (q *Queue) Dropped() uint64 {
	return q.dropped.Load()
}

// Close writes the queued lines and stops the goroutine. Write must not be called
// afterwards.
func (q *Queue) Close() {
	q.closeOnce.Do(func() { close(q.lines) })
	q.done.Wait()
}
