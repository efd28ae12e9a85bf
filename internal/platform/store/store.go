// Package store calls the platform's key-value service over HTTP with JSON. It
// defines the service's wire format, which the fake store shares.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"cairnbay"
)

var _ cairnbay.Store = (*Store)(nil)

const (
	defaultPollWait = 30 * time.Second
	// pollSlack is the time for the answer beyond the poll wait; a poll that takes
	// longer fails with ErrUnavailable.
	pollSlack = 2 * time.Second
	// maxAnswerBytes is how much of an answer is read; a longer answer fails to
	// decode. A listing may hold many values.
	maxAnswerBytes = 64 << 20
)

// Config configures a Store.
type Config struct {
	// Address is the host:port of the service.
	Address string
	// Caller identifies this instance to the service.
	Caller string
	// Client makes the calls; nil defaults to http.DefaultClient.
	Client *http.Client
	// PollWait is how long the service holds one long poll of a watch; 0
	// defaults to 30 s.
	PollWait time.Duration
}

// Store implements cairnbay.Store.
type Store struct {
	config Config
}

// New returns a Store; it makes no call.
func New(config Config) *Store {
	if config.Client == nil {
		config.Client = http.DefaultClient
	}
	if config.PollWait == 0 {
		config.PollWait = defaultPollWait
	}
	return &Store{config: config}
}

// Get implements cairnbay.Store.
func (s *Store) Get(ctx context.Context, key string) (cairnbay.Entry, error) {
	var answer WireEntry
	err := s.do(ctx, wireCall{method: http.MethodGet, path: PathKeys, query: url.Values{"key": {key}}}, &answer)
	return FromWire(answer), errors.Annotatef(err, "get %q", key)
}

// List implements cairnbay.Store.
func (s *Store) List(ctx context.Context, prefix string) (cairnbay.Listing, error) {
	var answer WireListing
	err := s.do(ctx, wireCall{method: http.MethodGet, path: PathList, query: url.Values{"prefix": {prefix}}}, &answer)
	if err != nil {
		return cairnbay.Listing{}, errors.Annotatef(err, "list %q", prefix)
	}
	listing := cairnbay.Listing{Revision: answer.Revision}
	for _, entry := range answer.Entries {
		listing.Entries = append(listing.Entries, FromWire(entry))
	}
	return listing, nil
}

// Put implements cairnbay.Store.
func (s *Store) Put(
	ctx context.Context, key string, value []byte, expect cairnbay.Revision, lease cairnbay.LeaseID,
) (cairnbay.Revision, error) {
	if len(value) > cairnbay.MaxValueBytes {
		return 0, errors.Annotatef(cairnbay.ErrTooLarge, "put %q of %d bytes, at most %d are allowed",
			key, len(value), cairnbay.MaxValueBytes)
	}
	var answer WireRevision
	put := WirePut{Key: key, Value: value, Expect: expect, Lease: lease}
	err := s.do(ctx, wireCall{method: http.MethodPut, path: PathKeys, body: put}, &answer)
	return answer.Revision, errors.Annotatef(err, "put %q", key)
}

// Delete implements cairnbay.Store.
func (s *Store) Delete(ctx context.Context, key string, expect cairnbay.Revision) error {
	query := url.Values{"key": {key}, "expect": {formatRevision(expect)}}
	err := s.do(ctx, wireCall{method: http.MethodDelete, path: PathKeys, query: query}, nil)
	return errors.Annotatef(err, "delete %q", key)
}

// Grant implements cairnbay.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (cairnbay.LeaseID, error) {
	var answer WireLease
	grant := WireLease{TTLMS: ttl.Milliseconds()}
	err := s.do(ctx, wireCall{method: http.MethodPost, path: PathLeases, body: grant}, &answer)
	return answer.Lease, errors.Annotatef(err, "grant a lease")
}

// Renew implements cairnbay.Store.
func (s *Store) Renew(ctx context.Context, lease cairnbay.LeaseID) error {
	err := s.do(ctx, wireCall{method: http.MethodPost, path: PathRenew, body: WireLease{Lease: lease}}, nil)
	return errors.Annotatef(err, "renew lease %d", lease)
}

// Watch implements cairnbay.Store. It makes no call and never fails; errors such as
// ErrCompacted are returned by the first Next.
func (s *Store) Watch(_ context.Context, prefix string, from cairnbay.Revision) (cairnbay.Watch, error) {
	return &watch{store: s, prefix: prefix, from: from, closed: make(chan struct{})}, nil
}

// watch receives events by long polls. Each poll starts after the revision of the
// last received event.
type watch struct {
	store  *Store
	prefix string
	// from is the revision after which the next poll starts.
	from cairnbay.Revision

	closeOnce sync.Once
	closed    chan struct{}
}

// Next implements cairnbay.Watch.
func (w *watch) Next(ctx context.Context) ([]cairnbay.Event, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-w.closed:
			cancel()
		case <-ctx.Done():
		}
	}()
	for {
		events, err := w.poll(ctx)
		if w.isClosed() {
			return nil, errors.Annotatef(cairnbay.ErrClosed, "watch %q", w.prefix)
		}
		if ctx.Err() != nil {
			return nil, errors.Trace(ctx.Err())
		}
		if err != nil {
			return nil, errors.Annotatef(err, "watch %q", w.prefix)
		}
		if len(events) > 0 {
			return events, nil
		}
	}
}

// Close implements cairnbay.Watch.
func (w *watch) Close() error {
	w.closeOnce.Do(func() { close(w.closed) })
	return nil
}

func (w *watch) isClosed() bool {
	select {
	case <-w.closed:
		return true
	default:
		return false
	}
}

// poll makes one long poll; no events means that the wait ended without any.
func (w *watch) poll(ctx context.Context) ([]cairnbay.Event, error) {
	wait := w.store.config.PollWait
	ctx, cancel := context.WithTimeout(ctx, wait+pollSlack)
	defer cancel()
	query := url.Values{
		"prefix": {w.prefix}, "from": {formatRevision(w.from)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var answer WireEvents
	if err := w.store.do(ctx, wireCall{method: http.MethodGet, path: PathWatch, query: query}, &answer); err != nil {
		return nil, err
	}
	events := make([]cairnbay.Event, 0, len(answer.Events))
	for _, event := range answer.Events {
		events = append(events, cairnbay.Event{Kind: event.Kind, Entry: FromWire(event.Entry)})
		w.from = max(w.from, event.Entry.Revision)
	}
	return events, nil
}

func formatRevision(revision cairnbay.Revision) string {
	return strconv.FormatUint(uint64(revision), 10)
}

// wireCall describes one request to the service.
type wireCall struct {
	method string
	path   string
	query  url.Values
	body   any
}

func (c wireCall) isWrite() bool {
	return c.method != http.MethodGet
}

// do makes a request and decodes its answer. A nil answer discards the body.
func (s *Store) do(ctx context.Context, call wireCall, answer any) error {
	request, err := s.newRequest(ctx, call)
	if err != nil {
		return err
	}
	response, err := s.config.Client.Do(request)
	if err != nil {
		return unansweredError(call, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return unansweredError(call, err)
	}
	if response.StatusCode != http.StatusOK {
		return decodeError(call, response.StatusCode, content)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return unansweredError(call, err)
	}
	return nil
}

func (s *Store) newRequest(ctx context.Context, call wireCall) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: s.config.Address, Path: call.path, RawQuery: call.query.Encode()}
	var body []byte
	if call.body != nil {
		encoded, err := json.Marshal(call.body)
		if err != nil {
			return nil, errors.Trace(err)
		}
		body = encoded
	}
	request, err := http.NewRequestWithContext(ctx, call.method, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set(CallerHeader, s.config.Caller)
	return request, nil
}

// unansweredError returns the sentinel error of a call without a valid answer:
// ErrUnknown for a write that may have taken effect, ErrUnavailable for a read or a
// failed dial.
func unansweredError(call wireCall, err error) error {
	var op *net.OpError
	dialFailed := errors.As(err, &op) && op.Op == "dial"
	if call.isWrite() && !dialFailed {
		return errors.Annotatef(cairnbay.ErrUnknown, "%v", err)
	}
	return errors.Annotatef(cairnbay.ErrUnavailable, "%v", err)
}

// decodeError returns the sentinel error for the code in the answer, or
// unansweredError if the code is unknown or the body is not valid.
func decodeError(call wireCall, status int, content []byte) error {
	var wireError WireError
	if err := json.Unmarshal(content, &wireError); err != nil {
		return unansweredError(call, errors.Errorf("status %d with a body that is not valid JSON", status))
	}
	for _, sentinel := range wireErrors {
		if wireError.Code == sentinel.Error() {
			return errors.Annotatef(sentinel, "%s", wireError.Message)
		}
	}
	return unansweredError(call, errors.Errorf("status %d, code %q", status, wireError.Code))
}

// wireErrors are the sentinel errors that the service returns by code.
var wireErrors = []errors.ConstError{
	cairnbay.ErrNotFound, cairnbay.ErrConflict, cairnbay.ErrUnavailable, cairnbay.ErrUnknown,
	cairnbay.ErrRateLimited, cairnbay.ErrTooLarge, cairnbay.ErrLeaseLapsed, cairnbay.ErrCompacted,
	cairnbay.ErrInvalid,
}
