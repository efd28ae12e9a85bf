// Package oracle shows that a rapid property is able to fail: it runs one that
// has a seeded defect and expects rapid to find it.
package oracle

import (
	"flag"
	"fmt"
	"runtime"
	"sync"

	"pgregory.net/rapid"
)

// The search for a seeded defect is many short runs.
const (
	maxChecks = "15000"
	maxSteps  = "25"
)

// Finds runs the property and returns the failure that rapid reports, or an
// empty string when it finds none.
func Finds(property func(*rapid.T)) string {
	defer setFlag("rapid.checks", maxChecks)()
	defer setFlag("rapid.steps", maxSteps)()
	defer setFlag("rapid.nofailfile", "true")()
	defer setFlag("rapid.shrinktime", "1ms")()
	recorder := &recorder{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(recorder, property)
	}()
	<-done
	return recorder.failure()
}

// setFlag sets a flag and returns what puts it back.
func setFlag(name, value string) (restore func()) {
	known := flag.Lookup(name)
	before := known.Value.String()
	_ = flag.Set(name, value)
	return func() { _ = flag.Set(name, before) }
}

// recorder is a rapid.TB that keeps its first error instead of failing a test.
type recorder struct {
	mu     sync.Mutex
	failed bool
	first  string
}

func (r *recorder) fail(message string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.first == "" {
		r.first = message
	}
	r.failed = true
}

func (r *recorder) failure() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed && r.first == "" {
		return "failed"
	}
	return r.first
}

// Helper implements rapid.TB.
func (r *recorder) Helper() {}

// Name implements rapid.TB.
func (r *recorder) Name() string { return "seeded defect" }

// Logf implements rapid.TB.
func (r *recorder) Logf(string, ...any) {}

// Log implements rapid.TB.
func (r *recorder) Log(...any) {}

// Skipf implements rapid.TB.
func (r *recorder) Skipf(string, ...any) { r.SkipNow() }

// Skip implements rapid.TB.
func (r *recorder) Skip(...any) { r.SkipNow() }

// SkipNow implements rapid.TB.
func (r *recorder) SkipNow() { runtime.Goexit() }

// Errorf implements rapid.TB.
func (r *recorder) Errorf(format string, args ...any) { r.fail(fmt.Sprintf(format, args...)) }

// Error implements rapid.TB.
func (r *recorder) Error(args ...any) { r.fail(fmt.Sprint(args...)) }

// Fatalf implements rapid.TB.
func (r *recorder) Fatalf(format string, args ...any) {
	r.Errorf(format, args...)
	runtime.Goexit()
}

// Fatal implements rapid.TB.
func (r *recorder) Fatal(args ...any) {
	r.Error(args...)
	runtime.Goexit()
}

// FailNow implements rapid.TB.
func (r *recorder) FailNow() {
	r.Fail()
	runtime.Goexit()
}

// Fail implements rapid.TB.
func (r *recorder) Fail() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = true
}

// Failed implements rapid.TB.
func (r *recorder) Failed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed
}
