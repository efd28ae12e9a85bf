package store

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/platform/store"
)

// maxRequestBytes bounds a request's body: a value in base64 with its key.
const maxRequestBytes = 2 * cairnbay.MaxValueBytes

// Handler serves the store to the adapter in internal/platform/store. A call
// whose outcome the fake loses ends in an aborted connection.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, serve func(caller *Caller, request *http.Request) (any, error)) {
		mux.HandleFunc(pattern, func(writer http.ResponseWriter, request *http.Request) {
			request.Body = http.MaxBytesReader(writer, request.Body, maxRequestBytes)
			answer, err := serve(s.For(request.Header.Get(store.CallerHeader)), request)
			respond(writer, answer, err)
		})
	}
	handle("GET "+store.PathKeys, serveGet)
	handle("GET "+store.PathList, serveList)
	handle("PUT "+store.PathKeys, servePut)
	handle("DELETE "+store.PathKeys, serveDelete)
	handle("POST "+store.PathLeases, serveGrant)
	handle("POST "+store.PathRenew, serveRenew)
	handle("GET "+store.PathWatch, serveWatch)
	return mux
}

func serveGet(caller *Caller, request *http.Request) (any, error) {
	entry, err := caller.Get(request.Context(), request.URL.Query().Get("key"))
	return store.ToWire(entry), err
}

func serveList(caller *Caller, request *http.Request) (any, error) {
	listing, err := caller.List(request.Context(), request.URL.Query().Get("prefix"))
	answer := store.WireListing{Revision: listing.Revision}
	for _, entry := range listing.Entries {
		answer.Entries = append(answer.Entries, store.ToWire(entry))
	}
	return answer, err
}

func servePut(caller *Caller, request *http.Request) (any, error) {
	var put store.WirePut
	if err := json.NewDecoder(request.Body).Decode(&put); err != nil {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "put: %v", err)
	}
	revision, err := caller.Put(request.Context(), put.Key, put.Value, put.Expect, put.Lease)
	return store.WireRevision{Revision: revision}, err
}

func serveDelete(caller *Caller, request *http.Request) (any, error) {
	query := request.URL.Query()
	expect, err := strconv.ParseUint(query.Get("expect"), 10, 64)
	if err != nil {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "delete: %v", err)
	}
	return struct{}{}, caller.Delete(request.Context(), query.Get("key"), cairnbay.Revision(expect))
}

func serveGrant(caller *Caller, request *http.Request) (any, error) {
	var ask store.WireLease
	if err := json.NewDecoder(request.Body).Decode(&ask); err != nil {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "grant: %v", err)
	}
	lease, err := caller.Grant(request.Context(), time.Duration(ask.TTLMS)*time.Millisecond)
	return store.WireLease{Lease: lease}, err
}

func serveRenew(caller *Caller, request *http.Request) (any, error) {
	var ask store.WireLease
	if err := json.NewDecoder(request.Body).Decode(&ask); err != nil {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "renew: %v", err)
	}
	return struct{}{}, caller.Renew(request.Context(), ask.Lease)
}

func serveWatch(caller *Caller, request *http.Request) (any, error) {
	query := request.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "watch: %v", err)
	}
	wait, err := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err != nil {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "watch: %v", err)
	}
	events, err := caller.await(request.Context(), query.Get("prefix"),
		cairnbay.Revision(from), time.Duration(wait)*time.Millisecond)
	answer := store.WireEvents{}
	for _, event := range events {
		answer.Events = append(answer.Events, store.WireEvent{Kind: event.Kind, Entry: store.ToWire(event.Entry)})
	}
	return answer, err
}

// await returns the first events of a new watch, or none after the wait. A
// silent watch does not even end its wait.
func (c *Caller) await(
	ctx context.Context, prefix string, from cairnbay.Revision, wait time.Duration,
) ([]cairnbay.Event, error) {
	opened, err := c.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	defer func() { _ = opened.Close() }()
	running := opened.(*watch)
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	clock := c.store.config.Clock
	defer clock.At(clock.Now()+wait, func(time.Duration) {
		if !c.store.isSilent(running.id) {
			cancel()
		}
	})()
	events, err := running.Next(waiting)
	if err != nil && waiting.Err() != nil && ctx.Err() == nil {
		return nil, nil
	}
	return events, err
}

func (s *Store) isSilent(watch int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.silent || watch <= s.faults.silentUpTo
}

// respond writes an answer or an error.
func respond(writer http.ResponseWriter, answer any, err error) {
	if errors.Is(err, cairnbay.ErrUnknown) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		answer = store.WireError{Code: code(err), Message: err.Error()}
	}
	content, encodeErr := json.Marshal(answer)
	if encodeErr != nil {
		http.Error(writer, encodeErr.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status(err))
	_, _ = writer.Write(content)
}

// statuses gives the HTTP status of each sentinel error.
var statuses = map[errors.ConstError]int{
	cairnbay.ErrNotFound:    http.StatusNotFound,
	cairnbay.ErrConflict:    http.StatusConflict,
	cairnbay.ErrUnavailable: http.StatusServiceUnavailable,
	cairnbay.ErrRateLimited: http.StatusTooManyRequests,
	cairnbay.ErrTooLarge:    http.StatusRequestEntityTooLarge,
	cairnbay.ErrLeaseLapsed: http.StatusGone,
	cairnbay.ErrCompacted:   http.StatusGone,
	cairnbay.ErrInvalid:     http.StatusBadRequest,
}

func status(err error) int {
	if err == nil {
		return http.StatusOK
	}
	for sentinel, status := range statuses {
		if errors.Is(err, sentinel) {
			return status
		}
	}
	return http.StatusInternalServerError
}

func code(err error) string {
	for sentinel := range statuses {
		if errors.Is(err, sentinel) {
			return sentinel.Error()
		}
	}
	return ""
}
