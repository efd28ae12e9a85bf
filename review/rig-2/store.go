package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeMode is how the platform's store treats calls.
type storeMode int

const (
	storeUp storeMode = iota
	// storeBusy refuses every call with 503.
	storeBusy
)

type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created-rev"`
	Lease   uint64 `json:"lease"`
	Removed bool   `json:"removed,omitempty"`
}

type grant struct {
	ttl   time.Duration
	until time.Time
}

// kvStore is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type kvStore struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	leases  map[uint64]*grant
	mode    storeMode
	changed chan struct{}
	// onTxn is called with the lock held after each transaction that took effect.
	onTxn func(keys []string)
}

const (
	storeDelay = 4 * time.Millisecond
	pageItems  = 500
)

func newStore() *kvStore {
	return &kvStore{rev: 1000, items: map[string]item{}, leases: map[uint64]*grant{}, changed: make(chan struct{})}
}

// setMode changes the mode. Leases pause while the store is down.
func (s *kvStore) setMode(mode storeMode, pausedFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	for _, held := range s.leases {
		held.until = held.until.Add(pausedFor)
	}
}

func (s *kvStore) expireLoop(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		s.mu.Lock()
		if s.mode == storeUp {
			for id, held := range s.leases {
				if time.Now().After(held.until) {
					s.endLease(id)
				}
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys. The caller holds the lock.
func (s *kvStore) endLease(id uint64) {
	delete(s.leases, id)
	for key, kept := range s.items {
		if kept.Lease == id {
			s.remove(key)
		}
	}
}

// remove deletes a key. The caller holds the lock.
func (s *kvStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.note(item{Key: key, Rev: s.rev, Removed: true})
}

// put writes a key. The caller holds the lock.
func (s *kvStore) put(key string, value []byte, lease uint64) {
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	written := item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: lease}
	s.items[key] = written
	s.note(written)
}

func (s *kvStore) note(event item) {
	s.history = append(s.history, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// write is a write of the operator or of a runner.
func (s *kvStore) write(key string, value any) bool {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != storeUp {
		return false
	}
	s.put(key, text, 0)
	return true
}

// drop is a removal by the operator or by the platform.
func (s *kvStore) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *kvStore) listen(address string) (*http.Server, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		s.mu.Lock()
		mode := s.mode
		s.mu.Unlock()
		if mode == storeBusy {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go server.Serve(listener)
	return server, nil
}

func answer(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(text)
}

func (s *kvStore) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"at": s.rev})
		return
	}
	answer(w, http.StatusOK, found)
}

func (s *kvStore) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	found := []item{}
	for key, kept := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, kept)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	answer(w, http.StatusOK, map[string]any{"items": found, "has-more": more, "at": s.rev})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, event := range s.history {
			if event.Rev > after && strings.HasPrefix(event.Key, prefix) {
				events = append(events, event)
			}
		}
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kvStore) txn(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"expected"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []item{}
	for _, expected := range call.Expected {
		kept, ok := s.items[expected.Key]
		if ok {
			current = append(current, kept)
		}
		holds = holds && kept.Rev == expected.Rev
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	keys := []string{}
	for _, write := range call.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		keys = append(keys, write.Key)
	}
	// One revision for the whole transaction, as for every change.
	s.rev++
	shared := s.rev
	for _, write := range call.Writes {
		created := shared
		if old, ok := s.items[write.Key]; ok {
			created = old.Created
		}
		written := item{Key: write.Key, Value: write.Value, Rev: shared, Created: created, Lease: write.Lease}
		s.items[write.Key] = written
		s.note(written)
	}
	for _, key := range call.Remove {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.note(item{Key: key, Rev: shared, Removed: true})
		}
	}
	if s.onTxn != nil {
		s.onTxn(keys)
	}
	answer(w, http.StatusOK, map[string]any{"rev": shared})
}

func (s *kvStore) grant(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTL int64 `json:"ttl-ms"`
	}
	json.NewDecoder(r.Body).Decode(&call)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	ttl := time.Duration(max(call.TTL, 1000)) * time.Millisecond
	s.leases[s.rev] = &grant{ttl: ttl, until: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.rev, "ttl-ms": ttl.Milliseconds()})
}

func (s *kvStore) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.leases[id]
	if held == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	held.until = time.Now().Add(held.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl-ms": held.ttl.Milliseconds()})
}

func (s *kvStore) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	w.WriteHeader(http.StatusOK)
}
