// Package runner is a stand-in for an upstream instance: an HTTP server that
// works for a stated time, keeps its own record of every request, and fails in
// the ways that upstreams do.
//
// What a request asks for is in its query: work_ms, body_bytes, status, and
// chunks with chunk_ms for a long answer of flushed parts.
package runner

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"cairnbay"
)

// Config is what a Runner is made of.
type Config struct {
	ID         string
	Service    string
	DataCentre string
	Rack       string
	// Slots and Connections are what the platform's list says of it.
	Slots       int
	Connections int
	// Listen is host:port; port 0 takes a free one.
	Listen string
	Clock  cairnbay.Clock
	// PeaksOnly keeps no record of single requests.
	PeaksOnly bool
}

// Faults are the ways in which a Runner misbehaves; the zero value is none.
type Faults struct {
	// Delay is added to the work of every request.
	Delay time.Duration
	// Status answers every request at once with this status, not running it.
	Status int
	// CutAfter ends the connection after this many bytes of the body; 0 is off.
	CutAfter int
	// CutBeforeHeaders runs the request and ends the connection unanswered.
	CutBeforeHeaders bool
	// Crossed answers with the ID of another request.
	Crossed bool
	// StallAfter stops for good after this many bytes of the body; 0 is off.
	StallAfter int
	// Times is how many more requests the faults hit, counted down; runners may
	// share it. Nil hits all.
	Times *atomic.Int64
}

// hit says whether the faults hit the next request.
func (f Faults) hit() bool {
	return f.Times == nil || f.Times.Add(-1) >= 0
}

// Runner is a running stand-in.
type Runner struct {
	config   Config
	listener *listener
	server   *http.Server
	journal  *journal
	served   chan struct{}
	halt     context.CancelFunc
	halted   context.Context

	mu      sync.Mutex
	faults  Faults
	leaving bool
	leftAt  time.Duration
}

// connectionKey finds the connection in a request's context.
type connectionKey struct{}

// New starts a runner. Errors: those of net.Listen.
func New(config Config) (*Runner, error) {
	inner, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, errors.Annotatef(err, "runner %q", config.ID)
	}
	journal := &journal{keep: !config.PeaksOnly}
	halted, halt := context.WithCancel(context.Background())
	runner := &Runner{
		config:   config,
		listener: newListener(inner, journal),
		journal:  journal,
		served:   make(chan struct{}),
		halted:   halted,
		halt:     halt,
	}
	runner.server = &http.Server{
		Handler: runner,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, conn)
		},
	}
	go func() {
		defer close(runner.served)
		_ = runner.server.Serve(runner.listener)
	}()
	return runner, nil
}

// Instance is the runner's row on the platform's list, with its own view of
// whether it is leaving.
func (r *Runner) Instance() cairnbay.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return cairnbay.Instance{
		ID:          r.config.ID,
		Kind:        cairnbay.InstanceUpstream,
		DataCentre:  r.config.DataCentre,
		Rack:        r.config.Rack,
		Class:       r.config.Service,
		Address:     r.listener.Addr().String(),
		Leaving:     r.leaving,
		Slots:       r.config.Slots,
		Connections: r.config.Connections,
	}
}

// Records lists every request seen, in order of arrival.
func (r *Runner) Records() []Record {
	return r.journal.all()
}

// Peaks are the most concurrent requests and connections seen.
func (r *Runner) Peaks() Peaks {
	return r.journal.highest()
}

// SetFaults replaces the faults for requests that arrive from now on.
func (r *Runner) SetFaults(faults Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
}

// SetLeaving says whether the runner refuses new work with LeavingHeader.
func (r *Runner) SetLeaving(leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = leaving
	r.leftAt = r.config.Clock.Now()
}

// Silence makes every connection that is open now silent for good: deaf loses
// what callers send, mute loses what the runner sends. New connections work.
// It returns how many connections were hit.
func (r *Runner) Silence(deaf, mute bool) int {
	return r.listener.silence(deaf, mute)
}

// Close cuts everything and waits until the runner has stopped.
func (r *Runner) Close() {
	r.halt()
	_ = r.server.Close()
	r.listener.cut()
	<-r.served
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	faults, leaving, leftAt := r.state()
	if !faults.hit() {
		faults = Faults{}
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	record := r.describe(request, string(body))
	if leaving {
		record.AfterLeaving = max(1, record.Start-leftAt)
	}
	writer.Header().Set(cairnbay.RequestHeader, record.RequestID)
	if faults.Status != 0 {
		r.journal.refuse(record)
		writer.WriteHeader(faults.Status)
		return
	}
	if leaving {
		r.journal.refuse(record)
		writer.Header().Set(cairnbay.LeavingHeader, "true")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	index := r.journal.begin(record)
	whole := false
	defer func() { r.journal.finish(index, r.config.Clock.Now(), whole) }()
	whole = r.work(writer, request, faults)
}

func (r *Runner) state() (Faults, bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults, r.leaving, r.leftAt
}

func (r *Runner) describe(request *http.Request, body string) Record {
	record := Record{
		RequestID:  request.Header.Get(cairnbay.RequestHeader),
		Key:        request.Header.Get(cairnbay.KeyHeader),
		Method:     request.Method,
		Path:       request.URL.Path,
		Idempotent: idempotent(request.Method),
		Start:      r.config.Clock.Now(),
		Body:       body,
	}
	if conn, ok := request.Context().Value(connectionKey{}).(*connection); ok {
		record.Connection = conn.number
	}
	return record
}

func idempotent(method string) bool {
	return method != http.MethodPost && method != http.MethodPatch
}

// work runs one request and says whether its whole answer was sent.
func (r *Runner) work(writer http.ResponseWriter, request *http.Request, faults Faults) bool {
	query := request.URL.Query()
	r.sleep(milliseconds(query, "work_ms") + faults.Delay)
	if faults.CutBeforeHeaders {
		panic(http.ErrAbortHandler)
	}
	if faults.Crossed {
		writer.Header().Set(cairnbay.RequestHeader, "another-request")
	}
	if chunks := number(query, "chunks"); chunks > 0 {
		return r.stream(writer, request, chunks, milliseconds(query, "chunk_ms"))
	}
	status := number(query, "status")
	if status == 0 {
		status = http.StatusOK
	}
	size := number(query, "body_bytes")
	content := Body(request.Header.Get(cairnbay.RequestHeader), size)
	writer.Header().Set("Content-Length", strconv.Itoa(len(content)))
	writer.WriteHeader(status)
	return r.send(writer, content, faults)
}

func (r *Runner) send(writer http.ResponseWriter, content string, faults Faults) bool {
	if faults.CutAfter > 0 && faults.CutAfter < len(content) {
		_, _ = io.WriteString(writer, content[:faults.CutAfter])
		flush(writer)
		panic(http.ErrAbortHandler)
	}
	if faults.StallAfter > 0 && faults.StallAfter < len(content) {
		_, _ = io.WriteString(writer, content[:faults.StallAfter])
		flush(writer)
		<-r.halted.Done()
		return false
	}
	_, err := io.WriteString(writer, content)
	return err == nil
}

func (r *Runner) stream(writer http.ResponseWriter, request *http.Request, chunks int, pause time.Duration) bool {
	for i := range chunks {
		if i > 0 {
			r.sleep(pause)
		}
		if _, err := io.WriteString(writer, "chunk "+strconv.Itoa(i)+"\n"); err != nil {
			return false
		}
		flush(writer)
		if request.Context().Err() != nil {
			return false
		}
	}
	return true
}

// sleep waits on the machine's clock, since the work of a request is real.
func (r *Runner) sleep(pause time.Duration) {
	if pause <= 0 {
		return
	}
	wait := time.NewTimer(pause)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-r.halted.Done():
	}
}

// Body is the answer that a request with this ID gets: its ID and a line break,
// padded to size bytes.
func Body(requestID string, size int) string {
	content := requestID + "\n"
	if size <= len(content) {
		return content
	}
	return content + strings.Repeat(".", size-len(content))
}

func flush(writer http.ResponseWriter) {
	_ = http.NewResponseController(writer).Flush()
}

func number(query url.Values, name string) int {
	value, _ := strconv.Atoi(query.Get(name))
	return value
}

func milliseconds(query url.Values, name string) time.Duration {
	return time.Duration(number(query, name)) * time.Millisecond
}
