package runner

import (
	"sync"
	"time"
)

// Record is one request as the runner saw it.
type Record struct {
	RequestID  string
	Key        string
	Method     string
	Path       string
	Idempotent bool
	// Connection counts the runner's connections from 1.
	Connection int
	Start      time.Duration
	// End is zero while the request runs.
	End time.Duration
	// Refused says that the runner refused the request and did not run it.
	Refused bool
	// AfterLeaving is how long ago the runner had said that it is leaving;
	// zero when it had not.
	AfterLeaving time.Duration
	// Whole says that the whole answer was handed to the connection.
	Whole bool
	// Body is the request's body.
	Body string
}

// Peaks are the highest values seen.
type Peaks struct {
	Requests    int
	Connections int
}

// journal keeps the records and peaks of a runner.
type journal struct {
	mu      sync.Mutex
	records []Record
	peaks   Peaks
	running int
	open    int
	// keep is false once a load test asked for peaks only.
	keep bool
}

func (j *journal) begin(record Record) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.running++
	j.peaks.Requests = max(j.peaks.Requests, j.running)
	if !j.keep {
		return -1
	}
	j.records = append(j.records, record)
	return len(j.records) - 1
}

func (j *journal) refuse(record Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.keep {
		record.Refused = true
		j.records = append(j.records, record)
	}
}

func (j *journal) finish(index int, now time.Duration, whole bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.running--
	if index < 0 {
		return
	}
	j.records[index].End = now
	j.records[index].Whole = whole
}

func (j *journal) connected(change int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.open += change
	j.peaks.Connections = max(j.peaks.Connections, j.open)
}

func (j *journal) all() []Record {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Record(nil), j.records...)
}

func (j *journal) highest() Peaks {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.peaks
}
